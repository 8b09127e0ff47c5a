package balance

// Freshness: which members may serve a read, by the evidence of their logs.

import (
	"cmp"
	"time"
)

// fresh reports whether the known position of m is sufficient for q. Members that check reads themselves
// need no proof.
func (r *Router) fresh(q *request, m *member) bool {
	switch {
	case r.anyMember(q):
		return true
	case m.evidence.position == 0 || q.cls.Need == Session && m.evidence.position < q.wrote:
		return false
	}
	return !q.cls.bounded() || r.clock.Known && r.now <= r.sendBy(q, m)
}

// anyMember reports whether every member may be sent q, because its data is always good enough or because a
// member that lags too far refuses q itself.
func (r *Router) anyMember(q *request) bool {
	return r.s.Checks != ChecksNone || q.cls.Need == AnyData || q.cls.Need == Session && q.wrote == 0 && !q.cls.bounded()
}

// sendBy returns the time until which a bounded read may be sent to m on its known position. If m may be
// falling behind, it leaves a margin for a process that stalls between the decision and the send, as far as
// the bound allows. If m keeps up and its log stops just then, the answer shows that: see Stale.
func (r *Router) sendBy(q *request, m *member) time.Duration {
	by := m.evidence.position - r.clock.Ages + q.cls.Bound - slack
	if !r.keepsUp(q, m) {
		by -= r.holdUpMargin(q.cls)
	}
	return by
}

func (r *Router) holdUpMargin(c *class) time.Duration {
	return max(0, min(r.s.HoldUp-holdUpSlack, c.Bound/holdUpPart))
}

// keepsUp reports whether m's last known lag was small and the log of its group has moved recently. The
// known position of m is then old only because m has not been heard from lately.
func (r *Router) keepsUp(q *request, m *member) bool {
	lag := m.evidence.positionAt + r.clock.Ages - m.evidence.position
	return lag <= q.cls.Bound/keepsUpPart && r.age(m.group.newest) <= q.cls.Bound-slack-r.holdUpMargin(q.cls)
}

// Demand states what data a read's answer must be based on. The zero value demands nothing.
type Demand struct {
	Reach time.Duration // minimum position; 0 means any
	Bound time.Duration // maximum age at the time when the query had been written; 0 means any
}

// Refuted reports whether the role and position that came with an answer prove that the read ran on data
// that violates the demand, so that the answer must not be served. A primary's data is always current. The
// parameter written is the time at which the last byte of the query had been written.
func (d Demand) Refuted(role Role, position, written time.Duration, clock ClockBounds) bool {
	switch {
	case role == Primary, position == 0:
		return false
	case d.Reach > 0 && position+slack < d.Reach:
		return true
	}
	return d.Bound > 0 && clock.Known && written+clock.Ages-position > d.Bound
}

// demand returns the demand of q's class. Members that check reads themselves need no second check.
func (r *Router) demand(q *request) Demand {
	var d Demand
	if r.s.Checks != ChecksNone {
		return d
	}
	if q.cls.Need == Session {
		d.Reach = q.wrote
	}
	if q.cls.bounded() {
		d.Bound = max(q.cls.Bound, 1)
	}
	return d
}

// Stale reports whether an answer proves that its read ran on data older than its class allows.
func (r *Router) Stale(now time.Duration, e Outcome) bool {
	q := r.reqs[e.ID]
	return q != nil && e.Result == OK &&
		r.demand(q).Refuted(e.Role, e.Position, min(cmp.Or(e.Written, q.sentAt), now), r.clock)
}

// age returns how old a position is, without the protocol's slack for the uncertainty of the clock. Without
// clock bounds it may be any age.
func (r *Router) age(position time.Duration) time.Duration {
	if !r.clock.Known {
		return noBound
	}
	return r.now + r.clock.Ages - position
}

// probesPosition probes a replica for a fresh position, at most once per bound and less often if the replica
// lags far behind. It reports whether q waits for the answer. Without clock bounds q does not wait, as only
// a primary's answer to q itself helps.
func (r *Router) probesPosition(q *request) bool {
	var next *member
	n := 0
	for _, m := range r.usable { // the candidates of the draw that has just failed
		if !r.s.Probes || r.fresh(q, m) || !r.hasRoom(q, m, 1) || !r.clock.Known && m.evidence.position > 0 {
			continue
		}
		if m.probeOut && r.now-m.probedAt < beat {
			return r.clock.Known
		}
		if !m.probeOut && r.now-m.probedAt >= max(r.bound, min((m.probedAt+r.clock.Ages-m.evidence.position)/4, time.Second)) {
			if n++; r.rng.IntN(n) == 0 {
				next = m
			}
		}
	}
	if next != nil {
		r.probe(next)
	}
	return next != nil && r.clock.Known
}

// wrote returns the position of the last write that a session read must see, or 0 if there is none. It is
// the maximum of what the request carries and what is remembered.
func (r *Router) wrote(e Request) time.Duration {
	remembered := max(r.sessions[e.Session], r.floor)
	switch {
	case e.After > 0:
		return max(remembered, e.After+slack) // a commit position is rounded up: a member that states the same one may lack the commit
	case e.WriteAge > 0:
		return max(remembered, r.now-e.WriteAge+slack)
	}
	return remembered
}

// remember records a session's last write. When the memory is full it is cleared, and the floor is set above
// all forgotten writes.
func (r *Router) remember(key string, commit time.Duration) {
	commit = cmp.Or(commit, r.latestPosition(r.now))
	r.sessions[key], r.newest = max(commit, r.sessions[key]), max(commit, r.newest)
	if len(r.sessions) > sessionLimit {
		clear(r.sessions)
		r.floor = r.newest
	}
}

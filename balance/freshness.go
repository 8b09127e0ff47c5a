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
	case r.needsNoProof(q):
		return true
	case m.evidence.position == 0 || q.class.Need == Session && m.evidence.position < q.lastWrite:
		return false
	}
	return !q.class.bounded() || r.clock.Known && r.now <= r.sendBy(q, m)
}

// needsNoProof reports whether every member may be sent q, because its data is always good enough or because a
// member that lags too far refuses q itself.
func (r *Router) needsNoProof(q *request) bool {
	return r.settings.Checks != ChecksNone || q.class.Need == AnyData || q.class.Need == Session && q.lastWrite == 0 && !q.class.bounded()
}

// sendBy returns the time until which a bounded read may be sent to m on its known position. If m may be
// falling behind, it leaves a margin for a process that stalls between the decision and the send, as far as
// the bound allows. If m keeps up and its log stops just then, the answer shows that: see Stale.
func (r *Router) sendBy(q *request, m *member) time.Duration {
	deadline := m.evidence.position - r.clock.AgeOffset + q.class.Bound - slack
	if !r.keepsUp(q, m) {
		deadline -= r.sendDelayMargin(q.class)
	}
	return deadline
}

func (r *Router) sendDelayMargin(c *class) time.Duration {
	return max(0, min(r.settings.MaxSendDelay-sendDelaySlack, c.Bound/sendDelayDivisor))
}

// keepsUp reports whether m's last known lag was small and the log of its group has moved recently. The
// known position of m is then old only because m has not stated a newer one lately.
func (r *Router) keepsUp(q *request, m *member) bool {
	lag := m.evidence.positionNotAfter + r.clock.AgeOffset - m.evidence.position
	return lag <= q.class.Bound/lagDivisor && r.age(m.group.newestPosition) <= q.class.Bound-slack-r.sendDelayMargin(q.class)
}

// Demand states what data a read's answer must be based on. The zero value demands nothing.
type Demand struct {
	MinPosition time.Duration // minimum position; 0 means any
	MaxAge      time.Duration // maximum age at the time when the query had been written; 0 means any
}

// Violated reports whether the role and position that came with an answer prove that the read ran on data
// that violates the demand, so that the answer must not be served. A primary's data is always current. The
// parameter written is the time at which the last byte of the query had been written.
func (d Demand) Violated(role Role, position, written time.Duration, clock ClockBounds) bool {
	switch {
	case role == Primary, position == 0:
		return false
	case d.MinPosition > 0 && position+slack < d.MinPosition:
		return true
	}
	return d.MaxAge > 0 && clock.Known && written+clock.AgeOffset-position > d.MaxAge
}

// demand returns the demand of q's class. Members that check reads themselves need no second check.
func (r *Router) demand(q *request) Demand {
	var d Demand
	if r.settings.Checks != ChecksNone {
		return d
	}
	if q.class.Need == Session {
		d.MinPosition = q.lastWrite
	}
	if q.class.bounded() {
		d.MaxAge = max(q.class.Bound, 1)
	}
	return d
}

// Stale reports whether an answer proves that its read ran on data older than its class allows.
func (r *Router) Stale(now time.Duration, e Outcome) bool {
	q := r.requests[e.ID]
	return q != nil && e.Result == OK &&
		r.demand(q).Violated(e.Role, e.Position, min(cmp.Or(e.Written, q.sentAt), now), r.clock)
}

// age returns how old a position is, without the protocol's slack for the uncertainty of the clock. Without
// clock bounds it may be any age.
func (r *Router) age(position time.Duration) time.Duration {
	if !r.clock.Known {
		return unreachablePosition
	}
	return r.now + r.clock.AgeOffset - position
}

// probeForPosition probes a replica for a fresh position, at most once per bound and less often if the replica
// lags far behind. It reports whether q waits for the answer. Without clock bounds q does not wait, as only
// a primary's answer to q itself helps.
func (r *Router) probeForPosition(q *request) bool {
	var next *member
	drawn := 0
	for _, m := range r.candidates { // the candidates of the choice that has just failed
		if !r.settings.Probes || r.fresh(q, m) || !r.hasCapacity(q, m, 1) || !r.clock.Known && m.evidence.position > 0 {
			continue
		}
		if m.probing && r.now-m.probedAt < queueInterval {
			return r.clock.Known
		}
		if !m.probing && r.now-m.probedAt >= max(r.minBound, min((m.probedAt+r.clock.AgeOffset-m.evidence.position)/4, time.Second)) {
			if drawn++; r.rng.IntN(drawn) == 0 {
				next = m
			}
		}
	}
	if next != nil {
		r.probe(next)
	}
	return next != nil && r.clock.Known
}

// lastWrite returns the position of the last write that a session read must see, or 0 if there is none. It is
// the maximum of what the request carries and what is remembered.
func (r *Router) lastWrite(e Request) time.Duration {
	remembered := max(r.sessionWrites[e.Session], r.writeFloor)
	switch {
	case e.SessionPosition > 0:
		// A commit position is rounded up: a member that states the same one may lack the commit.
		return max(remembered, e.SessionPosition+slack)
	case e.WriteAge > 0:
		return max(remembered, r.now-e.WriteAge+slack)
	}
	return remembered
}

// rememberWrite records a session's last write. When the memory is full it is cleared, and writeFloor is
// raised to the newest of the forgotten writes.
func (r *Router) rememberWrite(key string, commit time.Duration) {
	commit = cmp.Or(commit, r.latestPosition(r.now))
	r.sessionWrites[key], r.newestWrite = max(commit, r.sessionWrites[key]), max(commit, r.newestWrite)
	if len(r.sessionWrites) > maxSessions {
		clear(r.sessionWrites)
		r.writeFloor = r.newestWrite
	}
}

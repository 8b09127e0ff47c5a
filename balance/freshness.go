package balance

// Which members are fresh enough for a read, by the evidence of their logs.

import (
	"cmp"
	"time"
)

// fresh says whether m may be sent q by its known position; members that check reads need no proof.
func (r *Router) fresh(q *request, m *member) bool {
	switch {
	case r.anyMember(q):
		return true
	case m.evidence.position == 0 || q.cls.Need == Session && m.evidence.position < q.wrote:
		return false
	}
	return !q.cls.bounded() || r.clock.Known && r.now <= r.sendBy(q, m)
}

// anyMember says that no member is too far behind for q, or one that is turns q away itself.
func (r *Router) anyMember(q *request) bool {
	return r.s.Checks != ChecksNone || q.cls.Need == AnyData || q.cls.Need == Session && q.wrote == 0 && !q.cls.bounded()
}

// sendBy is until when a bounded read may go to m on its known position. Where m may be falling behind it leaves time for a process
// that is held up between the last look and the write, as far as the bound has room for that. Where m keeps up and stands still just then,
// the answer tells: see Stale.
func (r *Router) sendBy(q *request, m *member) time.Duration {
	by := m.evidence.position - r.clock.AgeOffset + q.cls.Bound - slack
	if !r.keepsUp(q, m) {
		by -= r.holdUpMargin(q.cls)
	}
	return by
}

func (r *Router) holdUpMargin(c *class) time.Duration {
	return max(0, min(r.s.MaxSendDelay-holdUpSlack, c.Bound/holdUpPart))
}

// keepsUp says that m's log, as it was told last, was hardly behind, and that its group's log has moved since not long ago: what is
// known of m is then old only because nothing was heard of it lately.
func (r *Router) keepsUp(q *request, m *member) bool {
	lag := m.evidence.positionAt + r.clock.AgeOffset - m.evidence.position
	return lag <= q.cls.Bound/keepsUpPart && r.age(m.group.newest) <= q.cls.Bound-slack-r.holdUpMargin(q.cls)
}

// Demand is what the data behind a read's answer has to show. The zero value demands nothing.
type Demand struct {
	MinPosition time.Duration // the position that it must have reached; 0: any
	MaxAge      time.Duration // its age at most, when the query had been written; 0: any
}

// Violated says that what a member told with an answer proves that its read ran on other data than demanded: it must not be served. A
// primary's data is the present. Written is when the last byte of the query had been written.
func (d Demand) Violated(role Role, position, written time.Duration, clock ClockBounds) bool {
	switch {
	case role == Primary, position == 0:
		return false
	case d.MinPosition > 0 && position+slack < d.MinPosition:
		return true
	}
	return d.MaxAge > 0 && clock.Known && written+clock.AgeOffset-position > d.MaxAge
}

// demand is what q's class demands. Members that check reads need no second look.
func (r *Router) demand(q *request) Demand {
	var d Demand
	if r.s.Checks != ChecksNone {
		return d
	}
	if q.cls.Need == Session {
		d.MinPosition = q.wrote
	}
	if q.cls.bounded() {
		d.MaxAge = max(q.cls.Bound, 1)
	}
	return d
}

// Stale says that an answer proves that its read ran on data older than its class allows.
func (r *Router) Stale(now time.Duration, e Outcome) bool {
	q := r.reqs[e.ID]
	return q != nil && e.Result == OK &&
		r.demand(q).Violated(e.Role, e.Position, min(cmp.Or(e.Written, q.sentAt), now), r.clock)
}

// age is how old a position is, less the slack that the protocol has for what is not known of the clock; without bounds, any age.
func (r *Router) age(position time.Duration) time.Duration {
	if !r.clock.Known {
		return noBound
	}
	return r.now + r.clock.AgeOffset - position
}

// probesPosition re-probes a replica for q, once per bound and less often if far behind; q waits for the answer. While nothing bounds the clock
// q does not wait: only a primary's answer to it helps.
func (r *Router) probesPosition(q *request) bool {
	var next *member
	n := 0
	for _, m := range r.usable { // of the draw just made
		if !r.s.Probes || r.fresh(q, m) || !r.hasRoom(q, m, 1) || !r.clock.Known && m.evidence.position > 0 {
			continue
		}
		if m.probeOut && r.now-m.probedAt < beat {
			return r.clock.Known
		}
		if !m.probeOut && r.now-m.probedAt >= max(r.bound, min((m.probedAt+r.clock.AgeOffset-m.evidence.position)/4, time.Second)) {
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

// wrote gives the time of the last write that a session read must see, 0 for none: the latest of what it carries and what is remembered.
func (r *Router) wrote(e Request) time.Duration {
	remembered := max(r.sessions[e.Session], r.floor)
	switch {
	case e.SessionPosition > 0:
		return max(remembered, e.SessionPosition+slack) // a commit is told rounded up: of a member that told the same one this may be missing
	case e.WriteAge > 0:
		return max(remembered, r.now-e.WriteAge+slack)
	}
	return remembered
}

// remember keeps a session's last write. A full memory is emptied and leaves a floor above all forgotten.
func (r *Router) remember(key string, commit time.Duration) {
	commit = cmp.Or(commit, r.latestPosition(r.now))
	r.sessions[key], r.newest = max(commit, r.sessions[key]), max(commit, r.newest)
	if len(r.sessions) > sessionLimit {
		clear(r.sessions)
		r.floor = r.newest
	}
}

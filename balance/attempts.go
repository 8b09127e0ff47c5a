package balance

// The attempts of a request: when one is sent, whether another one is allowed, and how the request ends.

import (
	"cmp"
	"slices"
	"time"
)

// route sends q, queues it or ends it.
func (r *Router) route(q *request) {
	if q.done || q.at != nil {
		return
	}
	if late := r.hopeless(q); late || q.attempts >= r.s.MaxAttempts || !r.repeatable(q) {
		r.giveUp(q, NoAttemptLeft.unless(late, TooLate))
		return
	}
	if m := r.choose(q); m != nil {
		r.send(q, m)
		return
	}
	r.enqueue(q)
}

func (r *Router) send(q *request, m *member) {
	q.limit = 0
	if q.cls.Effect == Safe && !q.Lease {
		q.limit = r.usefulUntil(q) - r.now
		// A timeout that leaves no time for another attempt would only waste work that the host continues
		// with.
		if end := max(q.cls.Aim*6/10, 6*q.cls.took); m != q.group.primary && end+q.cls.attemptTime() <= q.limit {
			q.limit = end
		}
	}
	if len(m.out) == 0 {
		m.silentSince = r.now
	}
	m.out = append(m.out, q)
	m.of[q.cell]++
	q.at, q.sentAt, q.queued, q.withdrawn = m, r.now, false, false
	q.tried, q.attempts = append(q.tried, m), q.attempts+1
	if !r.clock.Known && m == r.primaryOf(q.group) {
		r.clockRead = q
	}
	r.do(Send{q.ID, m.Server, q.limit, r.grounds(q, m), r.demand(q)})
	if m == q.group.primary {
		r.wake(q.group) // the beat detects if the primary falls silent
	}
}

// end closes a request. Its record is kept while an attempt is in flight.
func (r *Router) end(q *request) {
	q.done = true
	delete(r.seqs, q.seq)
	if q.at == nil {
		delete(r.reqs, q.ID)
	} else if q.cls.Need != Write {
		r.withdraw(q)
	}
}

func (r *Router) withdraw(q *request) {
	if q.at != nil && !q.withdrawn && r.s.Cancel {
		q.withdrawn = true
		r.do(Cancel{q.ID, q.attempts - 1})
	}
}

// giveUp ends a request at once: with Refuse if that promise holds, otherwise with Fail.
func (r *Router) giveUp(q *request, why Why) {
	c, bad := q.cls, q.cell.badAttempts(q.group).replicas
	if q.at == nil && q.ranAt == 0 || c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll {
		r.do(Refuse{q.ID, min(cmp.Or(q.Over, refusedRetryAfter), r.s.MaxRetryAfter), why, bad})
	} else {
		r.do(Fail{q.ID, why, bad})
	}
	r.end(q)
}

// repeatable reports whether q may be sent again. Requests keyed within a zone may not once they were
// possibly executed, as the new primary may be in another zone.
func (r *Router) repeatable(q *request) bool {
	return q.ranAt == 0 || !q.Lease && q.cls.Effect == Safe || !q.Lease && q.cls.Effect == Keyed &&
		q.cls.Scope != ScopeZone && r.now-q.ranAt < q.cls.KeyTTL-4*r.s.Tick-r.s.HoldUp
}

// attemptTime returns the time that an attempt is expected to need.
func (c *class) attemptTime() time.Duration { return min(c.took*3/2, c.Aim/2) }

// expectedTime returns the time that an attempt for q is expected to need. An initial estimate must not
// refuse a request before half of its time has passed: that time may be short for other reasons, such as the
// shutdown of the process.
func (r *Router) expectedTime(q *request) time.Duration {
	if q.cls.answers < guessFades {
		return min(q.cls.attemptTime(), max((r.usefulUntil(q)-q.arrived)/2, 1))
	}
	return q.cls.attemptTime()
}

// hopeless reports whether q is unlikely to be answered in time. The expected time counts as at most half of
// the latency target; otherwise a class that was slow once would stay refused. A request that was never sent
// is not held beyond half of its time after the first try to send it: its client can retry.
func (r *Router) hopeless(q *request) bool {
	return r.now+r.expectedTime(q) > r.usefulUntil(q) ||
		q.attempts == 0 && r.now > q.arrived &&
			r.now-q.arrived+2*beat > cmp.Or(q.Patience, (q.Deadline-q.arrived)/2)
}

func (r *Router) usefulUntil(q *request) time.Duration {
	if q.cls.LateWorth > 0 || q.Lease {
		return q.Deadline
	}
	return min(q.Deadline, q.arrived-q.Elapsed+q.cls.Aim)
}

// refusedPause returns the average delay before q is sent again to the primary m, which did not execute it.
func (r *Router) refusedPause(q *request, m *member, result Result) time.Duration {
	if result == Full && r.warmth(m) < 1 { // refused requests count against the budget of a cold member as well
		q.coldDraw *= coldRetryFactor
		return coldPause
	}
	return retryPause << min(q.attempts-1, 4)
}

func (r *Router) onOutcome(e Outcome) {
	m, q := r.members[e.Server], r.reqs[e.ID]
	if m == nil {
		return
	}
	r.learnOutcome(m, e)
	if q == nil || q.at != m || e.Attempt != q.attempts-1 {
		return // late or duplicate
	}
	r.detach(q, m)
	r.noteResult(q, m, e)
	part, _ := r.part(q.cell, m, m.limit)
	// A cell with less than its share in flight is not the one that overloads a member.
	blamed := len(r.cells) == 1 || float64(m.of[q.cell]) >= part*q.cell.Weight
	r.adjustLimit(m, q.cell, q.cls, e.Result, e.Took, blamed)
	if e.Final || e.Result == OK {
		r.end(q)
	}
	r.goOn(q, m, e.Result)
	if e.Result == OK || e.Result == Miss {
		r.release(q.group)
	}
}

// detach removes an ended attempt from its member.
func (r *Router) detach(q *request, m *member) {
	m.out = slices.DeleteFunc(m.out, func(o *request) bool { return o == q })
	if m.of[q.cell]--; m.of[q.cell] == 0 {
		delete(m.of, q.cell)
	}
	if q.at = nil; r.clockRead == q {
		r.clockRead = nil
	}
}

// noteResult records what the end of q's attempt shows about m, about the members that q failed at before,
// and about q.
func (r *Router) noteResult(q *request, m *member, e Outcome) {
	primary := r.primaryOf(q.group)
	switch e.Result {
	case OK:
		for _, f := range q.failed {
			if f != m && f != primary && r.canBlacklist(f) {
				r.blacklist(f, f.fails >= failsMost) // q failed there and succeeded here, so the error was that member's
			}
		}
		m.downUntil, m.suspect, m.timeouts, m.fails = 0, false, 0, 0
		if q.cls.Need == Write && q.Session != "" && !r.s.TokensCarried {
			r.remember(q.Session, e.Position)
		}
	// A single connection may break for its own reasons: a probe shows whether the process is dead.
	case NoConnection, Reset:
		if m.suspect = true; !r.probe(m) {
			r.blacklist(m, false)
		}
	case Failed:
		q.failed = append(q.failed, m)
		m.fails++
	case TimedOut:
		// A timeout is blamed on the member only if it has answered nothing since the send.
		if q.limit > 0 && m.silentSince <= q.sentAt && m != primary && r.canBlacklist(m) {
			r.blacklist(m, true)
		}
	}
	switch e.Result {
	case OK, Failed, Garbled, Full, Miss, Stale:
		r.noteAlive(m)
	}
	if q.ranAt == 0 && !e.Result.NeverRan() {
		q.ranAt = q.sentAt
	}
}

// goOn retries q, queues it or ends it after its attempt at m ended with result.
func (r *Router) goOn(q *request, m *member, result Result) {
	g := q.group
	if (result == Full || result == NoConnection || result == NotSent) && m == r.primaryOf(g) {
		// Immediate retries by hundreds of routers would keep a full primary busy with nothing but
		// rejections.
		q.notBefore = r.now + r.jitter(r.refusedPause(q, m, result))
	}
	if g.searcher == q && (q.done || result != Miss) {
		g.searcher = nil
	}
	switch {
	case q.done:
	case q.notBefore > r.now || q.cls.Need == Write && result == Miss && g.primary == nil:
		r.enqueue(q) // waits for the next beat or answer
	case len(q.failed) >= 2:
		r.giveUp(q, FailsEverywhere) // it failed on two members, so no member is to blame
	default:
		r.route(q)
	}
}

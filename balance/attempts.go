package balance

// A request's attempts: when one goes out, whether another may, and how the request ends.

import (
	"cmp"
	"slices"
	"time"
)

// route sends q, parks it until it can be sent, or ends it.
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
	if q.cls.Effect == Safe && !q.Checkout {
		q.limit = r.usefulUntil(q) - r.now
		// An end too early for another attempt only throws away what the host goes on with.
		if end := max(q.cls.LatencyTarget*6/10, 6*q.cls.took); m != q.group.primary && end+q.cls.attemptTime() <= q.limit {
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
		r.wake(q.group) // it may fall silent
	}
}

// end closes a request; its record stays while an attempt is out.
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

// giveUp ends a request at once: refused where that is true, failed otherwise.
func (r *Router) giveUp(q *request, why Reason) {
	c, bad := q.cls, q.cell.badAttempts(q.group).replicas
	if q.at == nil && q.ranAt == 0 || c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll {
		r.do(Refuse{q.ID, min(cmp.Or(q.QuotaRetryAfter, refusedRetryAfter), r.s.MaxRetryAfter), why, bad})
	} else {
		r.do(Fail{q.ID, why, bad})
	}
	r.end(q)
}

// repeatable says whether q may go again; keyed within a zone not: the new primary may stand in another.
func (r *Router) repeatable(q *request) bool {
	return q.ranAt == 0 || !q.Checkout && q.cls.Effect == Safe || !q.Checkout && q.cls.Effect == Keyed &&
		q.cls.Scope != ScopeZone && r.now-q.ranAt < q.cls.KeyTTL-4*r.s.Tick-r.s.MaxSendDelay
}

func (c *class) attemptTime() time.Duration { return min(c.took*3/2, c.LatencyTarget/2) } // that an attempt needs

// expectedTime is the time that an attempt for q is expected to need. A guess turns nobody away before half of the request's time is gone:
// that time may be short for reasons of its own, such as the end of the process.
func (r *Router) expectedTime(q *request) time.Duration {
	if q.cls.answers < guessFades {
		return min(q.cls.attemptTime(), max((r.usefulUntil(q)-q.arrived)/2, 1))
	}
	return q.cls.attemptTime()
}

// hopeless says that q can hardly be answered in time. Half the aim is enough, or a slow class stayed shut.
// What was never sent is not held past half its time, once it has been tried: its client can come back.
func (r *Router) hopeless(q *request) bool {
	return r.now+r.expectedTime(q) > r.usefulUntil(q) ||
		q.attempts == 0 && r.now > q.arrived &&
			r.now-q.arrived+2*beat > cmp.Or(q.MaxWait, (q.Deadline-q.arrived)/2)
}

func (r *Router) usefulUntil(q *request) time.Duration {
	if q.cls.LateWorth > 0 || q.Checkout {
		return q.Deadline
	}
	return min(q.Deadline, q.arrived-q.Elapsed+q.cls.LatencyTarget)
}

// refusedPause is about how long q waits before it asks the primary m again, which did not run it.
func (r *Router) refusedPause(q *request, m *member, result Result) time.Duration {
	if result == QueueFull && r.warmth(m) < 1 { // its budget counts what it turns away as well
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
		return // late or doubled
	}
	r.detach(q, m)
	r.noteResult(q, m, e)
	part, _ := r.part(q.cell, m, m.limit)
	// A cell with less than its part out is not what overloads a member.
	blamed := len(r.cells) == 1 || float64(m.of[q.cell]) >= part*q.cell.Weight
	r.adjustLimit(m, q.cell, q.cls, e.Result, e.Took, blamed)
	if e.Final || e.Result == OK {
		r.end(q)
	}
	r.goOn(q, m, e.Result)
	if e.Result == OK || e.Result == Misdirected {
		r.release(q.group)
	}
}

// detach takes an attempt that has ended off its member.
func (r *Router) detach(q *request, m *member) {
	m.out = slices.DeleteFunc(m.out, func(o *request) bool { return o == q })
	if m.of[q.cell]--; m.of[q.cell] == 0 {
		delete(m.of, q.cell)
	}
	if q.at = nil; r.clockRead == q {
		r.clockRead = nil
	}
}

// noteResult takes what the end of q's attempt shows of m, of the members that q failed at before, and of q.
func (r *Router) noteResult(q *request, m *member, e Outcome) {
	primary := r.primaryOf(q.group)
	switch e.Result {
	case OK:
		for _, f := range q.failed {
			if f != m && f != primary && r.canBlacklist(f) {
				r.blacklist(f, f.fails >= failsMost) // what failed there runs here: that member's error
			}
		}
		m.downUntil, m.suspect, m.timeouts, m.fails = 0, false, 0, 0
		if q.cls.Need == Write && q.Session != "" && !r.s.TokensCarried {
			r.remember(q.Session, e.Position)
		}
	case NoConnection, Reset: // one may break for reasons of its own: a dead process answers no probe
		if m.suspect = true; !r.probe(m) {
			r.blacklist(m, false)
		}
	case Failed:
		q.failed = append(q.failed, m)
		m.fails++
	case TimedOut:
		// A time-out is this member's fault only if it has answered nothing at all meanwhile.
		if q.limit > 0 && m.silentSince <= q.sentAt && m != primary && r.canBlacklist(m) {
			r.blacklist(m, true)
		}
	}
	switch e.Result {
	case OK, Failed, Garbled, QueueFull, Misdirected, Stale:
		r.noteAlive(m)
	}
	if q.ranAt == 0 && !e.Result.NotExecuted() {
		q.ranAt = q.sentAt
	}
}

// goOn sends q again, lets it wait or ends it, after its attempt at m ended so.
func (r *Router) goOn(q *request, m *member, result Result) {
	g := q.group
	if (result == QueueFull || result == NoConnection || result == NotSent) && m == r.primaryOf(g) {
		// Sent back at once by hundreds of routers, rejects are all that a full primary gets to do.
		q.notBefore = r.now + r.jitter(r.refusedPause(q, m, result))
	}
	if g.searcher == q && (q.done || result != Misdirected) {
		g.searcher = nil
	}
	switch {
	case q.done:
	case q.notBefore > r.now || q.cls.Need == Write && result == Misdirected && g.primary == nil:
		r.enqueue(q) // waits for the next beat or answer
	case len(q.failed) >= 2:
		r.giveUp(q, FailsEverywhere) // it fails wherever it goes: no member's fault
	default:
		r.route(q)
	}
}

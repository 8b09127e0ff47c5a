package balance

// The attempts of a request: when one is sent, whether another one is allowed, and how the request ends.

import (
	"cmp"
	"slices"
	"time"
)

// route sends q, queues it or ends it.
func (r *Router) route(q *request) {
	if q.done || q.member != nil {
		return
	}
	if late := r.unlikelyInTime(q); late || q.attempts >= r.settings.MaxAttempts || !r.repeatable(q) {
		r.giveUp(q, NoAttemptLeft.unless(late, TooLate))
		return
	}
	if m := r.choose(q); m != nil {
		r.send(q, m)
		return
	}
	r.enqueue(q)
}

// send starts an attempt of q at m.
func (r *Router) send(q *request, m *member) {
	q.timeout = 0
	if q.class.Effect == Safe && !q.Checkout {
		q.timeout = r.answerBy(q) - r.now
		// A timeout that leaves no time for another attempt would only waste work that the host continues
		// with.
		if end := max(q.class.LatencyTarget*6/10, 6*q.class.latency); m != q.group.primary && end+q.class.attemptTime() <= q.timeout {
			q.timeout = end
		}
	}
	if len(m.inFlight) == 0 {
		m.silentSince = r.now
	}
	m.inFlight = append(m.inFlight, q)
	m.inFlightByCell[q.cell]++
	q.member, q.sentAt, q.queued, q.cancelSent = m, r.now, false, false
	q.tried, q.attempts = append(q.tried, m), q.attempts+1
	if !r.clock.Known && m == r.primaryOf(q.group) {
		r.clockRead = q
	}
	r.emit(Send{q.ID, m.Server, q.timeout, r.grounds(q, m), r.demand(q)})
	if m == q.group.primary {
		r.scheduleQueue(q.group) // the queue timer detects if the primary falls silent
	}
}

// finish closes a request. An attempt still in flight is canceled unless it is a write, and the record is kept
// until it ends.
func (r *Router) finish(q *request) {
	q.done = true
	delete(r.requestsBySeq, q.seq)
	if q.member == nil {
		delete(r.requests, q.ID)
	} else if q.class.Need != Write {
		r.cancelAttempt(q)
	}
}

// cancelAttempt cancels q's attempt in flight, once, if the settings allow it.
func (r *Router) cancelAttempt(q *request) {
	if q.member != nil && !q.cancelSent && r.settings.Cancel {
		q.cancelSent = true
		r.emit(Cancel{q.ID, q.attempts - 1})
	}
}

// giveUp ends a request at once: with Refuse if it was not executed or may be repeated without harm, otherwise
// with Fail.
func (r *Router) giveUp(q *request, reason Reason) {
	bad := q.cell.badAttempts(q.group).replicas
	if q.member == nil && q.possiblyExecutedAt == 0 || q.class.Effect == Safe || q.keyed() && q.class.Scope == ScopeAll {
		r.emit(Refuse{q.ID, min(cmp.Or(q.QuotaRetryAfter, refusedRetryAfter), r.settings.MaxRetryAfter), reason, bad})
	} else {
		r.emit(Fail{q.ID, reason, bad})
	}
	r.finish(q)
}

// repeatable reports whether q may be sent again. Requests keyed within a zone may not once they were
// possibly executed, as the new primary may be in another zone.
func (r *Router) repeatable(q *request) bool {
	switch {
	case q.possiblyExecutedAt == 0:
		return true
	case q.Checkout:
		return false
	case q.class.Effect == Safe:
		return true
	case !q.keyed() || q.class.Scope == ScopeZone:
		return false
	}
	return r.now-q.possiblyExecutedAt < q.class.KeyTTL-4*r.settings.Tick-r.settings.MaxSendDelay
}

// keyed reports whether members recognize a repeat of q by its key. The statements of a checkout are more than the one that a
// key stands for.
func (q *request) keyed() bool { return q.class.Effect == Keyed && !q.Unkeyed && !q.Checkout }

// attemptTime returns the time that an attempt is expected to need.
func (c *class) attemptTime() time.Duration { return min(c.latency*3/2, c.LatencyTarget/2) }

// expectedTime returns the time that an attempt for q is expected to need. An initial estimate must not
// refuse a request before half of its time has passed: that time may be short for other reasons, such as the
// shutdown of the process.
func (r *Router) expectedTime(q *request) time.Duration {
	if q.class.samples < estimateWindow {
		return min(q.class.attemptTime(), max((r.answerBy(q)-q.arrived)/2, 1))
	}
	return q.class.attemptTime()
}

// unlikelyInTime reports whether q is unlikely to be answered in time. The expected time counts as at most
// half of the latency target; otherwise a class that was slow once would stay refused. A request that was
// never sent is not held beyond half of its time after the first try to send it: its client can retry.
func (r *Router) unlikelyInTime(q *request) bool {
	return r.now+r.expectedTime(q) > r.answerBy(q) ||
		q.attempts == 0 && r.now > q.arrived &&
			r.now-q.arrived+2*queueInterval > cmp.Or(q.MaxWait, (q.Deadline-q.arrived)/2)
}

// answerBy returns the time after which an answer to q has no value.
func (r *Router) answerBy(q *request) time.Duration {
	if q.class.LateWorth > 0 || q.Checkout {
		return q.Deadline
	}
	return min(q.Deadline, q.arrived-q.Elapsed+q.class.LatencyTarget)
}

// refusedDelay returns the average delay before q is sent again to the primary m, which did not execute it.
func (r *Router) refusedDelay(q *request, m *member, result Result) time.Duration {
	if result == QueueFull && r.warmUpWeight(m) < 1 { // refused requests count against the budget of a cold member as well
		q.coldDraw *= coldRetryFactor
		return coldRetryDelay
	}
	return retryDelay << min(q.attempts-1, 4)
}

// onOutcome handles the end of an attempt.
func (r *Router) onOutcome(e Outcome) {
	m, q := r.members[e.Server], r.requests[e.ID]
	if m == nil {
		return
	}
	r.addOutcome(m, e)
	if q == nil || q.member != m || e.Attempt != q.attempts-1 {
		return // late or duplicate
	}
	r.detach(q, m)
	r.recordResult(q, m, e)
	share, _ := r.fairShare(q.cell, m, m.limit)
	// A cell with less than its share in flight is not the one that overloads a member.
	blamed := len(r.cells) == 1 || float64(m.inFlightByCell[q.cell]) >= share*q.cell.Weight
	r.adjustLimit(m, q.cell, q.class, e.Result, e.Took, blamed)
	if e.Final || e.Result == OK {
		r.finish(q)
	}
	r.retryOrFinish(q, m, e.Result)
	if e.Result == OK || e.Result == Misdirected {
		r.sendQueued(q.group)
	}
}

// detach removes an ended attempt from its member.
func (r *Router) detach(q *request, m *member) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(o *request) bool { return o == q })
	if m.inFlightByCell[q.cell]--; m.inFlightByCell[q.cell] == 0 {
		delete(m.inFlightByCell, q.cell)
	}
	if q.member = nil; r.clockRead == q {
		r.clockRead = nil
	}
}

// recordResult records what the end of q's attempt shows about m, about the members that q failed at before,
// and about q.
func (r *Router) recordResult(q *request, m *member, e Outcome) {
	primary := r.primaryOf(q.group)
	switch e.Result {
	case OK:
		for _, f := range q.failed {
			if f != m && f != primary && r.canEject(f) {
				// The request failed there and succeeded here, so that the error was that member's.
				r.eject(f, f.failures >= maxFailures)
			}
		}
		m.ejectedUntil, m.suspect, m.timeouts, m.failures = 0, false, 0, 0
		if q.class.Need == Write && q.Session != "" && !r.settings.TokensCarried {
			r.rememberWrite(q.Session, e.Position)
		}
	// A single connection may break for its own reasons: a probe shows whether the process is dead.
	case NoConnection, Reset:
		if m.suspect = true; !r.probe(m) {
			r.eject(m, false)
		}
	case Failed, SetupFailed:
		q.failed = append(q.failed, m)
		m.failures++
	case TimedOut:
		// A timeout is blamed on the member only if it has answered nothing since the send.
		if q.timeout > 0 && m.silentSince <= q.sentAt && m != primary && r.canEject(m) {
			r.eject(m, true)
		}
	}
	switch e.Result {
	case OK, Failed, Garbled, QueueFull, Misdirected, Stale, SetupFailed:
		r.recordAlive(m)
	}
	if q.possiblyExecutedAt == 0 && !e.Result.NotExecuted() {
		q.possiblyExecutedAt = q.sentAt
	}
}

// retryOrFinish retries q, queues it or ends it after its attempt at m ended with result.
func (r *Router) retryOrFinish(q *request, m *member, result Result) {
	g := q.group
	if (result == QueueFull || result == NoConnection || result == NotSent) && m == r.primaryOf(g) {
		// Immediate retries by hundreds of routers would keep a full primary busy with nothing but
		// rejections.
		q.notBefore = r.now + r.jitter(r.refusedDelay(q, m, result))
	}
	if g.searcher == q && (q.done || result != Misdirected) {
		g.searcher = nil
	}
	switch {
	case q.done:
	case q.notBefore > r.now || q.class.Need == Write && result == Misdirected && g.primary == nil:
		r.enqueue(q) // waits for the queue timer or an answer
	case len(q.failed) >= 2:
		r.giveUp(q, FailsEverywhere) // it failed on two members, so no member is to blame
	default:
		r.route(q)
	}
}

package exchange

import (
	"yokemast/balance"
)

// hostStatement is the event of a host's statement that is not part of an outcome.
type hostStatement struct {
	statement  balance.RemoteOutcome
	timeBounds balance.TimeBounds
	report     balance.Report
}

// Learned accepts a statement of a host that is not part of an outcome: one received after the outcome, or in
// an answer that is not complete and may yet fail.
func (x *Exchange) Learned(h balance.RemoteOutcome, timeBounds balance.TimeBounds, r balance.Report) {
	x.post(hostStatement{h, timeBounds, r})
}

// dropOutdated removes what was dated with bounds of the fleet's clock that have since proved wrong. The
// statement that a host is not primary and its position do not depend on these bounds and are kept.
func (x *Exchange) dropOutdated(timeBounds balance.TimeBounds, role *balance.Role, report *balance.Report) {
	if timeBounds.Epoch == x.clockEpoch {
		return
	}
	if *role == balance.Primary {
		*role = balance.Unknown
	}
	if report.Role == balance.Primary {
		report.Role = balance.Unknown
	}
	report.NotBefore = 0
}

func (x *Exchange) handleStatement(e hostStatement) {
	x.dropOutdated(e.timeBounds, &e.statement.Role, &e.report)
	if e.statement.Source != balance.FromPartialAnswer { // the outcome of the same answer is gossiped; entries are expensive in a large fleet
		x.addGossip(e.statement, e.timeBounds, e.report)
	}
	if e.report.Valid {
		e.statement.Position = max(e.statement.Position, e.report.Position)
	}
	e.statement.At, e.statement.NotBefore, e.statement.NotAfter = e.timeBounds.NotAfter, e.timeBounds.NotBefore, e.timeBounds.NotAfter
	x.decide(e.statement)
}

// handleOutcome handles the outcome of an attempt.
func (x *Exchange) handleOutcome(e Outcome) {
	x.dropOutdated(e.StatedAt, &e.Role, &e.Report)
	if x.isStale(e.Outcome) {
		e.Result, e.Value = balance.Stale, nil
	}
	x.cfg.Counters.Outcomes[e.Result].Add(1)
	o := x.pending[e.ID]
	if o == nil || e.Attempt != o.attempts-1 || !o.inFlight {
		return // the request was dropped after a panic of the module
	}
	o.inFlight, o.lastResult = false, e.Result
	if o.possiblyExecutedAt == 0 && !e.Result.NotExecuted() {
		o.possiblyExecutedAt = o.sentAt
	}
	if e.Result == balance.OK {
		x.logServed(o, e)
	} else {
		x.logAttemptEnded(o, e)
	}
	if e.Result == balance.OK && o.Write {
		x.recordWrite(x.cfg.Clock.Now(), e.Position)
	}
	if e.Result == balance.OK {
		x.answer(o, Answer{Kind: Served, Value: e.Value}, &x.cfg.Counters.Served)
	}
	e.Final = o.answered
	x.addGossip(balance.RemoteOutcome{Server: e.Server, Class: o.Class, Result: e.Result, Took: e.Took, Role: e.Role, Position: e.Position}, e.StatedAt, e.Report)
	x.decide(e.Outcome)
	x.release(o)
}

// isStale reports whether an answer proves that its read used data that is too old, as judged by the module. It
// returns false if the module panics.
func (x *Exchange) isStale(e balance.Outcome) (stale bool) {
	defer func() { _ = recover() }() // the same outcome is passed to decide next, which handles a panic
	return x.router.Stale(x.cfg.Clock.Now(), e)
}

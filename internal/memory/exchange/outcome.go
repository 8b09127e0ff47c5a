package exchange

import (
	"yokemast/balance"
)

// What becomes of attempts, and what hosts say of themselves with them and beside them.

type learning struct {
	heard  balance.RemoteOutcome
	made   balance.TimeBounds
	report balance.Report
}

// Learned takes what a host said of itself beside the outcomes: behind one, or in an answer that may yet break off.
func (x *Exchange) Learned(h balance.RemoteOutcome, made balance.TimeBounds, r balance.Report) {
	x.post(learning{h, made, r})
}

// dropOutdated takes out what was dated by bounds of the fleet's clock that have turned out wrong since. That a host is no primary, and
// its position, stand whatever the clock.
func (x *Exchange) dropOutdated(made balance.TimeBounds, role *balance.Role, report *balance.Report) {
	if made.Epoch == x.clockEpoch {
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

func (x *Exchange) learned(e learning) {
	x.dropOutdated(e.made, &e.heard.Role, &e.report)
	if e.heard.Source != balance.FromPartialAnswer { // the outcome of the same answer tells the others: a note is dear in a large fleet
		x.note(e.heard, e.made, e.report)
	}
	if e.report.Valid {
		e.heard.Position = max(e.heard.Position, e.report.Position)
	}
	e.heard.At, e.heard.NotBefore, e.heard.NotAfter = e.made.NotAfter, e.made.NotBefore, e.made.NotAfter
	x.decide(e.heard)
}

func (x *Exchange) outcome(e Outcome) {
	x.dropOutdated(e.StatedAt, &e.Role, &e.Report)
	if x.stale(e.Outcome) {
		e.Result, e.Value = balance.Stale, nil
	}
	x.cfg.Counters.Outcomes[e.Result].Add(1)
	o := x.open[e.ID]
	if o == nil || e.Attempt != o.attempts-1 || !o.out {
		return // of a request that a panic cut off
	}
	o.out, o.last = false, e.Result
	if o.ranAt == 0 && !e.Result.NotExecuted() {
		o.ranAt = o.sentAt
	}
	if e.Result == balance.OK {
		x.served(o, e)
	} else {
		x.attemptEnded(o, e)
	}
	if e.Result == balance.OK && o.Write {
		x.wrote(x.cfg.Clock.Now(), e.Position)
	}
	if e.Result == balance.OK {
		x.answer(o, Answer{Kind: Served, Value: e.Value}, &x.cfg.Counters.Served)
	}
	e.Final = o.answered
	x.note(balance.RemoteOutcome{Server: e.Server, Class: o.Class, Result: e.Result, Took: e.Took, Role: e.Role, Position: e.Position}, e.StatedAt, e.Report)
	x.decide(e.Outcome)
	x.forget(o)
}

// stale asks the module whether an answer proves that its read ran on data that is too old. A panic there says that it does not.
func (x *Exchange) stale(e balance.Outcome) (stale bool) {
	defer func() { _ = recover() }() // the same outcome is handed to the module next, which answers for the panic
	return x.router.Stale(x.cfg.Clock.Now(), e)
}

package exchange

import (
	"yokemast/balance"
)

// learning is the event of a host's statement that is not part of an outcome.
type learning struct {
	heard  balance.Heard
	made   balance.Made
	report balance.Report
}

// Learned accepts a statement of a host that is not part of an outcome: one received after the outcome, or in
// an answer that is not complete and may yet fail.
func (x *Exchange) Learned(h balance.Heard, made balance.Made, r balance.Report) {
	x.post(learning{h, made, r})
}

// dropOutdated removes what was dated with bounds of the fleet's clock that have since proved wrong. The
// statement that a host is not primary and its position do not depend on these bounds and are kept.
func (x *Exchange) dropOutdated(made balance.Made, role *balance.Role, report *balance.Report) {
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
	if e.heard.Source != balance.FromPart { // the outcome of the same answer is gossiped; entries are expensive in a large fleet
		x.note(e.heard, e.made, e.report)
	}
	if e.report.Has {
		e.heard.Position = max(e.heard.Position, e.report.Position)
	}
	e.heard.At, e.heard.NotBefore, e.heard.NotAfter = e.made.NotAfter, e.made.NotBefore, e.made.NotAfter
	x.decide(e.heard)
}

// outcome handles the outcome of an attempt.
func (x *Exchange) outcome(e Outcome) {
	x.dropOutdated(e.Made, &e.Role, &e.Report)
	if x.stale(e.Outcome) {
		e.Result, e.Value = balance.Stale, nil
	}
	x.cfg.Counters.Outcomes[e.Result].Add(1)
	o := x.open[e.ID]
	if o == nil || e.Attempt != o.attempts-1 || !o.out {
		return // the request was dropped after a panic of the module
	}
	o.out, o.last = false, e.Result
	if o.ranAt == 0 && !e.Result.NeverRan() {
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
	x.note(balance.Heard{Server: e.Server, Class: o.Class, Result: e.Result, Took: e.Took, Role: e.Role, Position: e.Position}, e.Made, e.Report)
	x.decide(e.Outcome)
	x.forget(o)
}

// stale reports whether an answer proves that its read used data that is too old, as judged by the module. It
// returns false if the module panics.
func (x *Exchange) stale(e balance.Outcome) (stale bool) {
	defer func() { _ = recover() }() // the same outcome is passed to decide next, which handles a panic
	return x.router.Stale(x.cfg.Clock.Now(), e)
}

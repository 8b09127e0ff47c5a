package exchange

import (
	"time"

	"yokemast/balance"
	"yokemast/internal/control/cells"
)

// request takes a request: what makes no sense is rejected, all else is the module's.
func (x *Exchange) request(r *Request) {
	x.cfg.Counters.Taken.Add(1)
	if x.cfg.Gossip != nil {
		x.cfg.Gossip.Credit()
	}
	class := x.classes[r.Class]
	reject := func(k Kind, reason string) {
		x.cfg.Counters.Rejected.Add(1)
		x.rejected(r, reason)
		a := Answer{Kind: k, Reason: reason}
		if s := x.cfg.Settings; k == Refused && s.RetryAfter {
			a.RetryAfter = min(retryAfter, s.MaxRetryAfter)
		}
		r.Answer <- a
	}
	switch {
	case class == nil:
		reject(Undefined, "unknown class")
		return
	case r.Write != (class.Need == balance.Write):
		// A write under a read's class would be repeated as freely as a read.
		reject(Undefined, "the statement does not fit its class")
		return
	case x.open[r.ID] != nil:
		// The module takes no notice of a doubled id, so its answer would never come.
		reject(Duplicate, "a request of this id is held")
		return
	}
	wait := class.Deadline
	if r.Wait > 0 && (r.Wait < wait || wait == 0) {
		wait = r.Wait
	}
	patience := time.Duration(0)
	if r.Checkout > 0 {
		// What waits for a host waits no longer than any of its class would.
		patience, wait = wait/2, r.Checkout
	}
	o := &open{Request: r, patience: patience, class: class, deadline: r.Arrived + max(wait-answerMargin, wait/2)}
	if x.endBy > 0 {
		o.deadline = min(o.deadline, x.endBy) // what is unanswered when the process ends is lost
	}
	v, err := x.admit(o)
	switch {
	case err != nil:
		x.cfg.Counters.Denied.Add(1)
		reject(Forbidden, err.Error())
		return
	case !x.groups[v.Group]:
		// The module would hold it for a member that may never come.
		reject(Refused, "no host of that group is listed")
		x.done(o)
		return
	}
	x.open[r.ID] = o
	x.pass(o, v)
}

// pass hands a request to the module, or lets it wait at a fence.
func (x *Exchange) pass(o *open, v cells.Verdict) {
	r := o.Request
	if o.waits = v.Kind == cells.Held; o.waits {
		x.cfg.Counters.Held.Add(1)
		return
	}
	q := balance.Request{ID: r.ID, Class: r.Class, Session: r.Session, Group: v.Group, Cell: v.Cell, SessionPosition: r.After,
		Deadline: o.deadline, Elapsed: x.tries.Observe(r.Class, o.class.Deadline, r.Wait), Retry: r.Retry, Checkout: r.Checkout > 0,
		MaxWait: o.patience}
	if o.again = q.Elapsed > 0; o.again {
		x.cfg.Counters.Again.Add(1)
	}
	if v.Since > 0 {
		q.MinPosition = x.cfg.Clock.fleetAtMost(v.Since)
	}
	if q.QuotaRetryAfter = r.QuotaRetryAfter; q.QuotaRetryAfter > 0 {
		x.cfg.Counters.Over.Add(1)
	} else if v.Kind == cells.OverLimit {
		x.cfg.Counters.Over.Add(1)
		q.QuotaRetryAfter = max(v.RetryAfter, 1)
	}
	x.decide(q)
}

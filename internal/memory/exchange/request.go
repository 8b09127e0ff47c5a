package exchange

import (
	"time"

	"yokemast/balance"
	"yokemast/internal/control/cells"
)

// handleRequest handles a new request. Invalid requests are rejected; all others are passed to the module, or
// to a fence.
func (x *Exchange) handleRequest(r *Request) {
	x.cfg.Counters.Taken.Add(1)
	if x.cfg.Gossip != nil {
		x.cfg.Gossip.Credit()
	}
	class := x.classes[r.Class]
	reject := func(k Kind, reason string) {
		x.cfg.Counters.Rejected.Add(1)
		x.logRejected(r, reason)
		a := Answer{Kind: k, Reason: reason}
		if s := x.cfg.Settings; k == Refused && s.RetryAfter {
			a.RetryAfter = min(unlistedRetryAfter, s.MaxRetryAfter)
		}
		r.Answer <- a
	}
	switch {
	case class == nil:
		reject(Undefined, "unknown class")
		return
	case r.Write != (class.Need == balance.Write):
		// A write in a class for reads would be retried as freely as a read.
		reject(Undefined, "the statement does not fit its class")
		return
	case x.pending[r.ID] != nil:
		// The module ignores a request with an id in use, so it would never be answered.
		reject(Duplicate, "a request of this id is held")
		return
	}
	wait := class.Deadline
	if r.Wait > 0 && (r.Wait < wait || wait == 0) {
		wait = r.Wait
	}
	maxHostWait := time.Duration(0)
	if r.Checkout > 0 {
		// A request that checks out a host waits for it for at most half of the time that it could otherwise
		// take in total. The checkout has a limit of its own.
		maxHostWait, wait = wait/2, r.Checkout
	}
	o := &pendingRequest{Request: r, maxHostWait: maxHostWait, class: class, deadline: r.Arrived + max(wait-answerMargin, wait/2)}
	o.ownDeadline = o.deadline
	if x.shutdownBy > 0 {
		o.deadline = min(o.deadline, x.shutdownBy) // unanswered requests are lost when the process exits
	}
	v, err := x.admit(o)
	switch {
	case err != nil:
		x.cfg.Counters.Denied.Add(1)
		reject(Forbidden, err.Error())
		return
	case !x.groups[v.Group]:
		// The module would hold the request for a member that may never be listed.
		reject(Refused, "no host of that group is listed")
		x.releaseTicket(o)
		return
	}
	x.pending[r.ID] = o
	x.dispatch(o, v)
}

// dispatch passes a request to the module, or leaves it waiting at a fence.
func (x *Exchange) dispatch(o *pendingRequest, v cells.Verdict) {
	r := o.Request
	if o.fenced = v.Kind == cells.Held; o.fenced {
		x.cfg.Counters.Held.Add(1)
		return
	}
	q := balance.Request{ID: r.ID, Class: r.Class, Session: r.Session, Group: v.Group, Cell: v.Cell, SessionPosition: r.After,
		Deadline: o.deadline, Elapsed: x.clientRetries.Observe(r.Class, o.class.Deadline, r.Wait), Retry: r.Retry, Checkout: r.Checkout > 0,
		MaxWait: o.maxHostWait, Unkeyed: r.Unkeyed && o.class.Effect == balance.Keyed}
	if o.clientRetry = q.Elapsed > 0; o.clientRetry {
		x.cfg.Counters.ClientRetries.Add(1)
	}
	if v.Since > 0 {
		q.MinPosition = x.cfg.Clock.maxFleetTime(v.Since)
	}
	if q.QuotaRetryAfter = r.QuotaRetryAfter; q.QuotaRetryAfter > 0 {
		x.cfg.Counters.OverQuota.Add(1)
	} else if v.Kind == cells.OverLimit {
		x.cfg.Counters.OverQuota.Add(1)
		q.QuotaRetryAfter = max(v.RetryAfter, 1)
	}
	x.decide(q)
}

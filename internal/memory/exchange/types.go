package exchange

import (
	"time"

	"yokemast/balance"
)

// Request is what a client asks for.
type Request struct {
	ID, Class, Session string
	User, Tenant       string // of its connection; that it claims to be of
	Group              int
	Write, Retry       bool
	Arrived            time.Duration
	Wait               time.Duration // the client's, from when it sent; 0: the class's deadline
	After              time.Duration // position that the read must see, by the fleet's clock; 0: none
	QuotaRetryAfter    time.Duration // above 0: more than its front lets it have; refused, to come back after as long
	Checkout           time.Duration // it keeps its host until its client is through, for so long at most; 0: it does not
	ClientDisconnected func() bool   // says, without waiting, whether its client has left; nil: that is not known before Gone
	Command            any           // for the host side: what to run
	Answer             chan<- Answer // takes the one answer; must have room for it
}

// Kind is the kind of a final answer.
type Kind int

const (
	Served    Kind = iota
	Refused        // it did not run, or may be run again: trying again is harmless
	Failed         // no promise
	Undefined      // it names a class that the settings lack, or does not fit its class
	Duplicate      // a request of that id is still held
	Forbidden      // its user may not act for its tenant
)

// Answer is a request's final answer.
type Answer struct {
	Kind       Kind
	Value      any // of a served one, as the host side gave it
	Reason     string
	RetryAfter time.Duration // of a refused one; 0: no advice
}

// Attempt is a request on its way to a host.
type Attempt struct {
	ID                 string
	Number             int
	Server             string
	Command            any
	ClientDisconnected func() bool   // as the request's
	Sent               time.Duration // when it was decided on
	Deadline           time.Duration // the gateway stops waiting then
	StartBy            time.Duration // it must not go out any later; 0: no such bound
	WriteBy            time.Duration // nor may its last byte: a host begins with it then; 0: no such bound
	Grounds            balance.Grounds
	Demand             balance.Demand // for an answer that is passed on before its outcome is told
	Keyed              bool           // its answer may be that of an earlier write with the same key
}

// Outcome ends an attempt: the module's outcome, and the value if it was served.
type Outcome struct {
	balance.Outcome
	Value any
}

// Hosts is the host side. No call may wait for the network; each Send ends in one Outcome, each Probe in one Probed.
type Hosts interface {
	Send(Attempt)
	Cancel(id string, attempt int)
	CancelUnsent(id string, attempt int) // ends it as not sent, if nothing of it has gone out yet; else it goes on
	Probe(server string)
	Members(list []Member) // entries that are new or changed
	// SetSendDeadline says that nothing new may go out to a host later than by, however long ago it was decided on; 0: it may again.
	SetSendDeadline(server string, by time.Duration)
	Forget(server string) // it is gone for good
}

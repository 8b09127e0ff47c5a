package exchange

import (
	"time"

	"yokemast/balance"
)

// Request is a client's request. Its times are by the local clock unless stated otherwise.
type Request struct {
	ID, Class, Session string
	User, Tenant       string // user of the connection, and the tenant that the request claims
	Group              int
	Write, Retry       bool
	Arrived            time.Duration
	Wait               time.Duration // how long the client waits from when it sent the request, or 0 for the class's deadline
	After              time.Duration // position that the read must see, by the fleet's clock, or 0 for none
	QuotaRetryAfter    time.Duration // if positive, the client is over its quota: the request is refused with this retryAfter
	Checkout           time.Duration // if positive, the request keeps its host until its client has finished, at most for this time
	Unkeyed            bool          // the request carries no key, which a class may demand of what is sent again
	ClientDisconnected func() bool   // reports without blocking whether the client has disconnected; nil if only CancelRequest reports that
	// Revoke ends the checkout once it is outside of a transaction, without blocking; nil if there is none. It may be called
	// any number of times.
	Revoke  func()
	Command any           // what the host side executes
	Answer  chan<- Answer // receives the single answer; must have buffer capacity for it
}

// Kind is the kind of a final answer.
type Kind int

const (
	Served    Kind = iota
	Refused        // not executed, or safe to execute again: the client may retry
	Failed         // it may or may not have been executed
	Undefined      // unknown class, or the statement does not fit its class
	Duplicate      // a request with the same id is pending
	Forbidden      // the user may not act for the tenant
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	Value      any // value of a served request, as returned by the host side
	Reason     string
	RetryAfter time.Duration // when the client of a refused request may retry, or 0 if unspecified
}

// Attempt is one send of a request to a host.
type Attempt struct {
	ID                 string
	Number             int
	Server             string
	Command            any
	ClientDisconnected func() bool   // as in Request
	Sent               time.Duration // when the module decided on it
	Deadline           time.Duration // when the gateway stops waiting for the answer
	StartBy            time.Duration // latest time at which its first byte may be sent, or 0 for no limit
	WriteBy            time.Duration // latest time for its last byte, with which a host starts execution, or 0 for no limit
	Grounds            balance.Grounds
	Demand             balance.Demand // for checking an answer that is relayed before its outcome is reported
	Keyed              bool           // the answer may be that of an earlier write with the same key
}

// Outcome is the end of an attempt: the outcome for the module, and the value if the request was served.
type Outcome struct {
	balance.Outcome
	Value any
}

// Hosts is the host side. No method may wait for the network. Each Send results in one call to Exchange.Outcome
// and each Probe in one call to Exchange.Probed.
type Hosts interface {
	Send(Attempt)
	Cancel(id string, attempt int)
	CancelUnsent(id string, attempt int) // ends an attempt as not sent if none of it has been sent, else has no effect
	Probe(server string)
	Members(list []Member) // new or changed entries
	// SetSendDeadline sets the time after which no new request may be sent to a host, whenever it was decided on. 0
	// removes the limit.
	SetSendDeadline(server string, by time.Duration)
	Forget(server string) // drops all state of a host that is removed for good
}

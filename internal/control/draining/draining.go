// Package draining knows until when a gateway may send new requests to hosts that drain or are gone. It does no I/O and has no
// clock.
//
// The grace of a drain runs from when discovery wrote the change to the gateway. The gateway reads its clock later than that: it
// may be held up for HoldUp between the arrival of the list and the reading, and once more between its last look at the clock
// and the first byte that it sends. Both are kept free at the end of the grace, so that a short grace ends at once.
//
// A host keeps the time of its first notification while it goes from draining to gone. It is forgotten when the host serves again. The list
// of another agent of discovery may be behind that of the agent which told the drain, so its word that the host serves ends nothing, unless
// it tells a later start, or is the one that told the drain last, in a list that is no older.
package draining

import "time"

// MaxSendDelay is how long a gateway may be held up between reading its clock and acting on what it read, by the platform's word.
const MaxSendDelay = 150 * time.Millisecond

// State is a host's state on the list.
type State int

// States of hosts.
const (
	Serving State = iota
	Draining
	Removed
)

func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	}
	return "gone"
}

// Open is the bound of a host that anything may go to.
const Open = time.Duration(0)

// Bound says until when new requests may be sent to a host.
type Bound struct {
	Server    string
	SendUntil time.Duration // by the gateway's clock; Open: there is no bound
}

// Rules are the settings that bound drains.
type Rules struct {
	Grace time.Duration // from the notification on
	// DroppedStayOpen: a host that went without having been listed as draining is not bound.
	DroppedStayOpen bool
}

// Notification is what a list tells of a host.
type Notification struct {
	Server string
	State  State
	At     time.Duration // when the list arrived
	// NotifiedAt is when the gateway, or an earlier process of it, was notified, if that is known to be earlier; 0: it is not.
	NotifiedAt time.Duration
	// Agent of discovery that told it; "": not known, and its word that a host serves ends no drain.
	Agent    string
	Revision int64 // of the agent's list
	// Unlisted says that the host is gone only in that a whole list lacks it. A list that is behind may not have it yet.
	Unlisted bool
	Started  time.Duration // the host's start as lists tell it, by the fleet's clock; 0: long ago, or not told
}

type host struct {
	state      State
	notifiedAt time.Duration
	drained    bool   // it was listed as draining
	agent      string // that told so last
	revision   int64  // of its list
	started    time.Duration
}

// endedBy says that a host which serves by this word does so after the drain: the word is later than what told the drain.
func (h host) endedBy(w Notification) bool {
	return w.Agent != "" && (w.Agent == h.agent && w.Revision >= h.revision || w.Started > h.started)
}

// Tracker is the state of all hosts that drain or are gone. It is not safe for concurrent use.
type Tracker struct {
	rules Rules
	hosts map[string]host
}

// New makes a tracker that knows of no host.
func New(rules Rules) *Tracker { return &Tracker{rules: rules, hosts: map[string]host{}} }

// Set takes what a list tells of a host, and gives the host's bound.
func (t *Tracker) Set(w Notification) Bound {
	h, known := t.hosts[w.Server]
	if w.State == Serving {
		if !known || h.endedBy(w) {
			delete(t.hosts, w.Server)
		}
		return Bound{Server: w.Server, SendUntil: t.Until(w.Server)}
	}
	if !known {
		h.notifiedAt = w.At
	}
	if w.NotifiedAt > 0 {
		h.notifiedAt = min(h.notifiedAt, w.NotifiedAt)
	}
	if !known || !w.Unlisted {
		h.agent, h.revision = w.Agent, w.Revision
	}
	h.state, h.drained, h.started = w.State, h.drained || w.State == Draining, max(h.started, w.Started)
	t.hosts[w.Server] = h
	return Bound{Server: w.Server, SendUntil: t.by(h)}
}

// State gives the state that holds of a host.
func (t *Tracker) State(server string) State { return t.hosts[server].state }

// NotifiedBy gives the agent of discovery that told last that a host drains or is gone, and the revision of its list; "": it serves, or the agent
// is not known.
func (t *Tracker) NotifiedBy(server string) (agent string, revision int64) {
	h := t.hosts[server]
	return h.agent, h.revision
}

// SetRules puts other rules in force, also for hosts that were notified before, and gives the bounds that hold now.
func (t *Tracker) SetRules(rules Rules) []Bound {
	if rules == t.rules {
		return nil
	}
	t.rules = rules
	bounds := make([]Bound, 0, len(t.hosts))
	for server, h := range t.hosts {
		bounds = append(bounds, Bound{Server: server, SendUntil: t.by(h)})
	}
	return bounds
}

// Until gives a host's bound.
func (t *Tracker) Until(server string) time.Duration {
	h, known := t.hosts[server]
	if !known {
		return Open
	}
	return t.by(h)
}

// NotifiedAt says when the gateway was first notified that a host drains or is gone; not ok: it serves.
func (t *Tracker) NotifiedAt(server string) (at time.Duration, ok bool) {
	h, ok := t.hosts[server]
	return h.notifiedAt, ok
}

// Forget drops a host that is gone for good.
func (t *Tracker) Forget(server string) { delete(t.hosts, server) }

func (t *Tracker) by(h host) time.Duration {
	if h.state == Removed && t.rules.DroppedStayOpen && !h.drained {
		return Open
	}
	// Never Open: a time before the clock's first reading is as good as any that is over.
	return max(h.notifiedAt+t.rules.Grace-2*MaxSendDelay, 1)
}

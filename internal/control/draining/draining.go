// Package draining computes until when a gateway may send new requests to hosts that drain or were removed.
// It does no I/O and does not read a clock.
//
// The grace of a drain starts when discovery writes the drain notification to the gateway. The gateway reads
// its clock later than that: it may be stalled for up to the maximum send delay between the arrival of the
// endpoint list and the reading of the clock, and again between the last reading of the clock and the first
// byte that it sends. Both delays are subtracted from the grace, so that a short grace ends at once.
//
// A host keeps the time of its first notification while its state changes from draining to removed. The time
// is dropped when the host serves again. The list of another discovery agent may lag behind that of the agent
// that notified about the drain. A statement of another agent that the host serves therefore does not end the
// drain, unless it has a later start time of the host. A statement of the agent that sent the last
// notification ends it if its list is not older.
package draining

import "time"

// MaxSendDelay is the maximum time between reading the clock and acting on the reading, as guaranteed by the
// platform.
const MaxSendDelay = 150 * time.Millisecond

// State is the state of a host in the endpoint list.
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

// Open means that there is no time limit: new requests may be sent to the host at any time.
const Open = time.Duration(0)

// Bound is the time until which new requests may be sent to a host.
type Bound struct {
	Server    string
	SendUntil time.Duration // on the gateway's clock, or Open if there is no limit
}

// Rules are the settings for hosts that drain or were removed.
type Rules struct {
	Grace time.Duration // time after the notification in which requests may be sent, before send delays are subtracted
	// DroppedStayOpen excludes hosts that were removed without having been listed as draining from the time
	// limit.
	DroppedStayOpen bool
}

// Notification is the statement of an endpoint list about a host.
type Notification struct {
	Server string
	State  State
	At     time.Duration // when the list arrived
	// NotifiedAt is when the gateway, or an old process of it, was notified earlier than At, or 0 if it was not.
	NotifiedAt time.Duration
	// Agent is the discovery agent that sent the list, or "" if it is not known. A list of an unknown agent
	// never ends a drain.
	Agent    string
	Revision int64 // of the agent's list
	// Unlisted marks a host that counts as removed only because it is absent from a snapshot. A snapshot that
	// lags may not contain the host yet.
	Unlisted bool
	Started  time.Duration // start time of the host on the fleet's clock, or 0 if it is long ago or not known
}

type host struct {
	state       State
	notifiedAt  time.Duration
	wasDraining bool          // it was listed as draining
	agent       string        // agent of the last notification that the host drains or was removed
	revision    int64         // of that agent's list
	started     time.Duration // latest start time that was stated, on the fleet's clock
}

// drainEndedBy reports whether n, a statement that the host serves, is newer than the notification of the
// drain.
func (h host) drainEndedBy(n Notification) bool {
	return n.Agent != "" && (n.Agent == h.agent && n.Revision >= h.revision || n.Started > h.started)
}

// Tracker holds the state of all hosts that drain or were removed. It is not safe for concurrent use.
type Tracker struct {
	rules Rules
	hosts map[string]host
}

// New returns a tracker without hosts.
func New(rules Rules) *Tracker { return &Tracker{rules: rules, hosts: map[string]host{}} }

// Set handles the statement of an endpoint list about a host and returns the time limit for the host.
func (t *Tracker) Set(n Notification) Bound {
	h, known := t.hosts[n.Server]
	if n.State == Serving {
		if !known || h.drainEndedBy(n) {
			delete(t.hosts, n.Server)
		}
		return Bound{Server: n.Server, SendUntil: t.Until(n.Server)}
	}
	if !known {
		h.notifiedAt = n.At
	}
	if n.NotifiedAt > 0 {
		h.notifiedAt = min(h.notifiedAt, n.NotifiedAt)
	}
	if !known || !n.Unlisted {
		h.agent, h.revision = n.Agent, n.Revision
	}
	h.state, h.wasDraining, h.started = n.State, h.wasDraining || n.State == Draining, max(h.started, n.Started)
	t.hosts[n.Server] = h
	return Bound{Server: n.Server, SendUntil: t.sendUntil(h)}
}

// State returns the current state of a host.
func (t *Tracker) State(server string) State { return t.hosts[server].state }

// NotifiedBy returns the discovery agent that last notified that a host drains or was removed, and the revision
// of its list. The agent is "" if the host serves or the agent is not known.
func (t *Tracker) NotifiedBy(server string) (agent string, revision int64) {
	h := t.hosts[server]
	return h.agent, h.revision
}

// SetRules applies new rules, also to hosts with an earlier notification, and returns the resulting time
// limits. It returns nil if the rules have not changed.
func (t *Tracker) SetRules(rules Rules) []Bound {
	if rules == t.rules {
		return nil
	}
	t.rules = rules
	bounds := make([]Bound, 0, len(t.hosts))
	for server, h := range t.hosts {
		bounds = append(bounds, Bound{Server: server, SendUntil: t.sendUntil(h)})
	}
	return bounds
}

// Until returns the time limit for a host, or Open if there is none.
func (t *Tracker) Until(server string) time.Duration {
	h, known := t.hosts[server]
	if !known {
		return Open
	}
	return t.sendUntil(h)
}

// NotifiedAt returns when the gateway was first notified that a host drains or was removed. ok is false if it
// serves.
func (t *Tracker) NotifiedAt(server string) (at time.Duration, ok bool) {
	h, ok := t.hosts[server]
	return h.notifiedAt, ok
}

// Forget drops a host that was removed permanently.
func (t *Tracker) Forget(server string) { delete(t.hosts, server) }

func (t *Tracker) sendUntil(h host) time.Duration {
	if h.state == Removed && t.rules.DroppedStayOpen && !h.wasDraining {
		return Open
	}
	// 0 would mean Open. Any time in the past gives the same result, so 1 is used for times before the
	// clock's start.
	return max(h.notifiedAt+t.rules.Grace-2*MaxSendDelay, 1)
}

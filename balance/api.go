// Package balance decides, for one query router, where each request of a sharded and replicated database
// goes, when it is tried again and when it is turned away. This file is the interface: the settings, the
// events a router is handed and the actions it answers with. The decisions have a file each.
package balance

import (
	"time"
)

// Times ("now", deadlines, start times) are readings of one clock with no particular zero. Positions of logs are readings of the
// fleet's clock; ClockBounds says how the two stand, and without it they are the same.

// Effect says what running a request twice would do.
type Effect int

const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries a key; members of its scope drop a repeat for a while
	Unsafe               // must never run twice
)

// Scope says which members drop the repeat of a keyed request.
type Scope int

const (
	ScopeAll   Scope = iota // any member
	ScopeZone               // the members in the zone of the one that may have run it
	ScopeGroup              // the members of the request's group
)

// Need says how current the data behind an answer must be.
type Need int

const (
	AnyData Need = iota // any member will do
	Bounded             // no older than Class.Bound when sent
	Session             // all that the session has written
	Latest              // all that was committed before the request came
	Write               // only the primary takes it
)

// Checks says what a member does with a read that it lags too far for.
type Checks int

const (
	ChecksNone   Checks = iota // answers from what it has
	ChecksRefuse               // Miss at once
	ChecksWait                 // waits a while, then Miss
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	Need                    Need
	Bound                   time.Duration // of Bounded reads; of Session ones too, where it is above 0
	Effect                  Effect
	Scope                   Scope         // of Keyed requests
	KeyTTL                  time.Duration // of Keyed requests
	LatencyTarget, Deadline time.Duration // wanted within, given up after
	Worth, LateWorth        float64       // LateWorth is a share of Worth
}

// bounded says that its reads may see data of some age only.
func (c *Class) bounded() bool { return c.Need == Bounded || c.Need == Session && c.Bound > 0 }

// Tenant is one customer and its share of the service.
type Tenant struct {
	Name   string
	PerSec float64 // requests a second, over all routers, inside its share; 0 means no limit
}

// Settings is what a router is told once, at start.
type Settings struct {
	Routers         int
	Tick            time.Duration // shortest gap between two events
	Classes         []Class
	Tenants         []Tenant
	OverShareWorth  float64
	Checks          Checks
	TokensCarried   bool // session reads say how old the session's last write is
	SubscribeToList bool // the list answers only when asked
	Probes, Cancel  bool // allowed
	RetryAfter      bool
	MaxRetryAfter   time.Duration
	MaxAttempts     int // default 6
	DrainGrace      time.Duration
	MaxSendDelay    time.Duration // that a send may take to get out; windows end as much earlier
	OverloadFactor  float64
	ColdShare       float64
	ColdTime        time.Duration
	DroppedStayOpen bool          // a member that left unlisted as draining may still be used
	Restarted       bool          // an earlier router knew members that this one does not
	Floor           time.Duration // with remembered tokens: until then sessions may have written through an earlier process
}

// SettingError says which setting makes no sense, and why.
type SettingError struct{ Setting, Reason string }

func (e SettingError) Error() string { return e.Setting + ": " + e.Reason }

// Checked returns the settings with absent ones filled in; the error names the one that makes no sense.
func (s Settings) Checked() (Settings, error) {
	for _, f := range []struct {
		name string
		v    float64
	}{{"Tick", float64(s.Tick)}, {"MaxRetryAfter", float64(s.MaxRetryAfter)},
		{"DrainGrace", float64(s.DrainGrace)}, {"HoldUp", float64(s.MaxSendDelay)}, {"ColdTime", float64(s.ColdTime)},
		{"MaxAttempts", float64(s.MaxAttempts)}, {"Routers", float64(s.Routers)}, {"ColdShare", s.ColdShare},
		{"OverloadFactor", s.OverloadFactor}, {"OverShareWorth", s.OverShareWorth}} {
		if !(f.v >= 0) {
			return s, SettingError{f.name, "negative"}
		}
	}
	if s.ColdShare > 1 {
		return s, SettingError{"ColdShare", "over 1"}
	}
	if len(s.Classes) == 0 {
		return s, SettingError{"Classes", "none given"}
	}
	named := map[string]bool{}
	for _, c := range s.Classes {
		if c.LatencyTarget < 0 || c.Deadline < 0 || c.Bound < 0 || c.KeyTTL < 0 {
			return s, SettingError{"Classes[" + c.Name + "]", "negative time"}
		}
		if named[c.Name] {
			return s, SettingError{"Classes[" + c.Name + "]", "named twice"}
		}
		named[c.Name] = true
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = 6
	}
	if s.Routers == 0 {
		s.Routers = 1
	}
	if s.Tick == 0 {
		s.Tick = time.Millisecond
	}
	if !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	return s, nil
}

// State is a member's state on the list.
type State int

const (
	Active State = iota
	Draining
	Removed
)

// Member is one entry of the list of servers.
type Member struct {
	Server  string
	Group   int
	State   State
	Primary bool // the list deems it the group's primary
	Weight  float64
	Started time.Duration // at the latest; 0: long ago
	// Incarnation is its start as the list told it: another value is another process. 0: Started tells.
	Incarnation time.Duration
	// SendUntil is until when anything new may go to a member that drains; 0: DrainGrace after the router hears of it, less
	// what it keeps free itself.
	SendUntil time.Duration
}

// Members hands the router the list, whole or changes only.
type Members struct {
	Snapshot bool
	List     []Member
}

// ListUnavailable says that a call for the list failed or the subscription ended; the old list stands.
type ListUnavailable struct{}

// Cell is a part of the clients, with what it may use of the hosts. Cells that may use the same member share it by
// weight: each can always have Reserve of its fair part of what the router keeps out there.
type Cell struct {
	ID      int             // 1 and up; requests of cell 0 or an unknown one use everything
	Weight  float64         // above 0
	Reserve float64         // 0 to 1
	Servers map[string]bool // those it may read from; nil: all, with no reserve there. Any cell may use the primary
}

// SettingsUpdate hands the router new settings, whole. A request under way keeps the class that it came with; limits, as the
// number of attempts, hold for it too. They are to be as Checked gives them.
type SettingsUpdate struct{ Settings Settings }

// Cells hands the router all cells there are. What is out or waits keeps its cell as it was.
type Cells struct{ List []Cell }

// Request is a client's request; the router owes it one final answer by Deadline.
type Request struct {
	ID, Class, Tenant, Session string
	Group, Cell                int
	Deadline                   time.Duration
	Elapsed                    time.Duration // its client has been at it for so long with earlier tries; 0: not known
	Retry                      bool
	SessionPosition            time.Duration // the position that the session must see, with carried tokens; 0: WriteAge tells
	WriteAge                   time.Duration // since the session's last write, with carried tokens; 0: none
	MinPosition                time.Duration // a position that a session which wrote must see too; 0: there is none
	QuotaRetryAfter            time.Duration // above 0: more than its share; refused, to come back after as long
	// Checkout says that its attempt keeps the member until its client is through, as a transaction does: it has no time-out
	// but the deadline, and never goes again once it may have run. Patience is how long it may wait to be sent; 0: half of
	// its time, as any.
	Checkout bool
	MaxWait  time.Duration
}

// Role of a member in its group.
type Role int

const (
	Unknown Role = iota
	Primary
	Replica
)

// Report is a member's word on itself, as old as it is.
type Report struct {
	Valid     bool
	Role      Role          // Unknown: it holds none
	Position  time.Duration // 0: not told
	NotBefore time.Duration // a primary's was made no earlier, as a primary's position is the present
}

// Result is how an attempt or a probe ended.
type Result int

const (
	OK Result = iota
	Failed
	QueueFull // never ran
	TimedOut
	NoConnection // never ran
	Reset
	Canceled
	NotSent     // never ran
	Misdirected // never ran
	Garbled     // what came back can't be read; it says nothing of the member but that it lives
	Stale       // a read ran on data older than its class allows, as the answer itself tells
)

// String is the result in a word or two.
func (x Result) String() string {
	return [...]string{"ok", "error", "turned away", "timed out", "no connection", "reset", "canceled", "not sent", "miss", "garbled", "stale"}[x]
}

// NotExecuted says that the attempt had no effect and will have none.
func (x Result) NotExecuted() bool {
	return x == QueueFull || x == NoConnection || x == NotSent || x == Misdirected
}

// Outcome ends an attempt; each Send gets exactly one.
type Outcome struct {
	ID       string
	Attempt  int
	Server   string
	Result   Result
	Took     time.Duration
	Final    bool // the request is over
	Role     Role
	Position time.Duration // 0: not told; after a write, its commit
	Report   Report
	StatedAt TimeBounds // when the member said so; nothing: between the attempt's start and now
	// Written is when the last byte of the query had been written; 0: when the attempt was sent.
	Written time.Duration
}

// ProbeResult ends a Probe.
type ProbeResult struct {
	Server   string
	Result   Result
	Took     time.Duration
	Report   Report
	StatedAt TimeBounds // NotAfter 0: now
}

// RemoteOutcome is how an attempt or a probe of another router's ended, as that router told.
type RemoteOutcome struct {
	Server, Class string // no class: a probe
	Result        Result
	Took          time.Duration
	Role          Role
	Position      time.Duration // 0: not told
	At            time.Duration // when it ended, at the earliest; 0: not known
	NotBefore     time.Duration // its role was told no earlier; of no use but of a primary's
	NotAfter      time.Duration // and no later; 0: now
	Source        Source        // FromGossip, or FromAnswer where this router's host side learnt it behind an outcome
}

// PriorEvidence is what an earlier router knew of a member, with times by this one's clock: an earlier process's, or that of a router
// which panicked.
type PriorEvidence struct {
	Server                                      string
	PrimaryNotBefore, ReplicaNotAfter, Position time.Duration // as in Seen
	Alive                                       bool          // it was not set aside
}

// ClockBounds says how this router's clock stands to the one that positions are read by.
type ClockBounds struct {
	Known     bool          // there are bounds: without them no position shows how old data is
	AgeOffset time.Duration // to be added to the ages of positions; may be below 0
	MaxOffset time.Duration // the positions' clock shows so much more than this one, at most
}

// ClockReplaced says that the bounds so far were wrong: a leader's word or a start that was dated by them does not count any more.
type ClockReplaced struct{}

// Timer is an After come due.
type Timer struct{ Tag int64 }

// RequestCanceled says that a request's client left; nothing more is owed.
type RequestCanceled struct{ ID string }

// Shutdown says that the router ends: what it holds has to be answered by then, however long its clients would wait.
type Shutdown struct{ By time.Duration }

// Event is one of Members, ListLost, Cells, Retune, Request, Outcome, ProbeResult, Heard, Inherited,
// ClockBounds, ClockReplaced, Timer, Gone, Ending.
type Event any

// MemberView is what a router believes of a member.
type MemberView struct {
	Server           string
	Group            int
	Limit            float64       // attempts that the router keeps out there at most
	InFlight         int           // those out
	WarmUpWeight     float64       // the least part of its capacity that it has, 0 to 1
	Usable           bool          // open for reads and not set aside
	Primary, Known   bool          // believed to be the primary; a position of it is known
	PrimaryNotBefore time.Duration // the newest word that it is the primary was made no earlier; 0: none
	ReplicaNotAfter  time.Duration // the newest word that it is none was made no later; 0: none
	Position         time.Duration // 0: not known
	Started          time.Duration // its last start, told or seen; 0: long ago
}

// Send starts an attempt; attempts of a request count from 0.
type Send struct {
	ID, Server string
	Timeout    time.Duration // 0: until the client gives up
	Grounds    Grounds
	Demand     Demand
}

// Reason is the reason for which a request is given up.
type Reason int

const (
	UnknownClass    Reason = iota // of a class that the settings lack
	Shed                          // by load shedding as it came: many attempts in its group end badly, or it is over its share
	TooLate                       // it can hardly be answered in time, or was not sent in half of its time
	NoAttemptLeft                 // its attempts are used up, or it must not go again
	FailsEverywhere               // it fails wherever it goes
	Overdue                       // its time is over
)

// String is the reason in a few words.
func (w Reason) String() string {
	return [...]string{"unknown class", "thinned", "too late", "no attempt left", "fails everywhere", "overdue"}[w]
}

func (w Reason) unless(other bool, than Reason) Reason {
	if other {
		return than
	}
	return w
}

// Refuse answers finally that the request did not run and a retry is harmless. Bad is the part of attempts at its group's
// replicas that ended badly lately, 0 to 1.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
	Reason     Reason
	Bad        float64
}

// Fail answers finally, promising nothing. Bad is as with Refuse.
type Fail struct {
	ID     string
	Reason Reason
	Bad    float64
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe checks on a member.
type Probe struct{ Server string }

// StartTimer asks for a Timer.
type StartTimer struct {
	Wait time.Duration
	Tag  int64
}

// PrimaryChange tells, for the log, that another member counts as a group's primary, or none, and the evidence that made it so.
type PrimaryChange struct {
	Group                                      int
	From, To                                   string // "": none
	Source                                     Source // of the last statement
	Server                                     string // the member that it was on, whose evidence follows
	PrimaryNotBefore, ReplicaNotAfter, Started time.Duration
}

// Watch subscribes to changes of the list.
type Watch struct{}

// Action is one of Send, Refuse, Fail, Cancel, Probe, After, Watch.
type Action any

// Package balance decides, for one router, to which member each request of a sharded and replicated database
// is sent, when it is retried and when it is refused. This file declares the interface: the settings, the
// events that a router handles and the actions that it returns. Each kind of decision has a file of its own.
package balance

import (
	"time"
)

// All times ("now", deadlines, start times) are readings of one clock whose zero is arbitrary. Log positions
// are readings of the fleet's clock. ClockBounds bounds the offset between the two clocks; until a router
// gets such an event, it takes them to be the same clock.

// Effect states what happens when a request is executed twice.
type Effect int

const (
	Safe   Effect = iota // idempotent: may be repeated any number of times
	Keyed                // carries a key; the members in its Scope ignore a repeat until KeyTTL has passed
	Unsafe               // must never be executed twice
)

// Scope states which members ignore the repeat of a keyed request.
type Scope int

const (
	ScopeAll   Scope = iota // all members
	ScopeZone               // the members in the zone of the member that possibly executed it
	ScopeGroup              // the members of the request's group
)

// Need states how current the data behind an answer must be.
type Need int

const (
	AnyData Need = iota // any member may answer
	Bounded             // no older than Class.Bound at the time of the send
	Session             // includes everything that the session has written
	Latest              // includes everything committed before the request arrived
	Write               // a write: only the primary executes it
)

// Checks states what a member does with a read for which its lag is too large.
type Checks int

const (
	ChecksNone   Checks = iota // answers from the data that it has
	ChecksRefuse               // refuses as misdirected at once
	ChecksWait                 // waits for a while, then refuses as misdirected
)

// Class describes one class of requests.
type Class struct {
	Name   string
	Need   Need
	Bound  time.Duration // maximum age of data for Bounded reads; if above 0, for Session reads as well
	Effect Effect
	Scope  Scope         // used by Keyed requests only
	KeyTTL time.Duration // used by Keyed requests only
	// LatencyTarget is the response time wanted; Deadline is the time after which the request is given up.
	LatencyTarget, Deadline time.Duration
	// Worth is the value of an answer within the latency target. LateWorth is the value of a late answer, as
	// a fraction of Worth.
	Worth, LateWorth float64
}

// bounded reports whether reads of the class have a maximum age of data.
func (c *Class) bounded() bool { return c.Need == Bounded || c.Need == Session && c.Bound > 0 }

// Tenant is one customer and its quota.
type Tenant struct {
	Name   string
	PerSec float64 // requests per second within its quota, over all routers; 0 means no limit
}

// Settings configures a Router. It is given to New and may be replaced later by a SettingsUpdate event.
type Settings struct {
	Routers         int           // number of routers in the fleet; 0 means 1
	Tick            time.Duration // minimum time between two events; 0 means 1 ms
	Classes         []Class
	Tenants         []Tenant
	OverShareWorth  float64 // factor on the worth of requests of tenants over their quota
	Checks          Checks
	TokensCarried   bool          // session reads carry the position or age of the last write; else the router remembers it
	SubscribeToList bool          // the list sends changes only after a Watch action
	Probes, Cancel  bool          // whether the router may probe members and cancel attempts
	RetryAfter      bool          // whether refusals may tell clients when to retry
	MaxRetryAfter   time.Duration // 0 if RetryAfter is false
	MaxAttempts     int           // 0 means 6
	DrainGrace      time.Duration // time after a drain notification; see Member.SendUntil
	MaxSendDelay    time.Duration // maximum delay between a decision and its send; time windows end earlier by this
	OverloadFactor  float64       // maximum load of a cold member, as a multiple of its capacity at the time; 0 if unknown
	ColdShare       float64       // fraction of its full capacity that a member has when it starts, 0 to 1
	ColdTime        time.Duration // time from the start to the full capacity, which grows linearly; 0 means no slow start
	DroppedStayOpen bool          // a member removed from the list without having been drained may still be used
	Restarted       bool          // a previous router knew members that this router does not know
	// Floor is the highest log position that sessions may have written through a previous process whose
	// memory of their writes is lost; 0 if there is none. It is not needed with TokensCarried.
	Floor time.Duration
}

// SettingError names an invalid setting and the reason why it is invalid.
type SettingError struct{ Setting, Reason string }

func (e SettingError) Error() string { return e.Setting + ": " + e.Reason }

// Checked returns the settings with defaults filled in. The error is a SettingError that names the first
// invalid setting.
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

// State is the state of a member on the member list. A removed member is no longer listed.
type State int

const (
	Active State = iota
	Draining
	Removed
)

// Member is one entry of the member list.
type Member struct {
	Server  string
	Group   int
	State   State
	Primary bool          // the list names it as the primary of the group
	Weight  float64       // relative share of reads
	Started time.Duration // latest possible start time of its process; 0 if it started long ago
	// Incarnation is the start time as the list states it: a different value means a different process. If
	// it is 0, Started is used instead.
	Incarnation time.Duration
	// SendUntil is the time until which new requests that need the primary may be sent to a draining member,
	// before the router subtracts its own margin. If it is 0, the time ends DrainGrace after the router was
	// notified.
	SendUntil time.Duration
}

// Members passes the member list to the router, as a snapshot or as a delta. Members that a snapshot does not
// contain are removed.
type Members struct {
	Snapshot bool
	List     []Member
}

// ListUnavailable reports that a call for the list failed or that the subscription ended. The previous list
// stays in force.
type ListUnavailable struct{}

// Cell is a subset of the clients and the members that they may use. Cells that may use the same member
// share it by weight: each is guaranteed the fraction Reserve of its fair share of the router's limit there.
type Cell struct {
	ID      int     // 1 or more; requests of cell 0 or of an unknown cell may use all members
	Weight  float64 // above 0
	Reserve float64 // fraction of its fair share, 0 to 1
	// Replicas that it may read from; nil means all, without a reserve. Any cell may use the primary.
	Servers map[string]bool
}

// SettingsUpdate replaces the settings, which must be as Checked returns them. An open request keeps its
// class, but new limits, such as the maximum number of attempts, apply to it.
type SettingsUpdate struct{ Settings Settings }

// Cells replaces the set of all cells. Requests that are queued or in flight keep the cell that they arrived
// with.
type Cells struct{ List []Cell }

// Request is a request of a client. The router gives it exactly one final answer, by Deadline at the latest.
type Request struct {
	ID, Class, Tenant, Session string
	Group, Cell                int
	Deadline                   time.Duration
	Elapsed                    time.Duration // time that the client spent on earlier attempts; 0 if unknown
	Retry                      bool
	// With carried tokens: the position that the session must see; 0 means that WriteAge states it.
	SessionPosition time.Duration
	// With carried tokens: time since the session's last write; 0 means that there was none.
	WriteAge time.Duration
	// An additional lower bound on the position for a session that has written; 0 means none.
	MinPosition time.Duration
	// Above 0: the request is over its quota and is refused with this time as RetryAfter.
	QuotaRetryAfter time.Duration
	// Checkout means that the attempt keeps the host connection until the client is finished, as a transaction
	// does. It then has no timeout except the deadline, and is never retried once it was possibly executed.
	// MaxWait is the maximum time that it may wait for its first send; 0 means half of the time until its
	// deadline, as for any other request.
	Checkout bool
	MaxWait  time.Duration
	// Unkeyed means that the request carries no key although its class is Keyed, so that members run a repeat again.
	Unkeyed bool
}

// Role is the role of a member in its group.
type Role int

const (
	Unknown Role = iota
	Primary
	Replica
)

// Report is a load report of a member. Its content may be older than the answer that it came with.
type Report struct {
	Valid    bool
	Role     Role          // Unknown if the report states no role
	Position time.Duration // 0 if the report states none
	// Earliest time at which a primary's report was made; a primary's position is the present, so the
	// position shows it.
	NotBefore time.Duration
}

// Result states how an attempt or a probe ended.
type Result int

const (
	OK Result = iota
	Failed
	QueueFull // the member refused it for lack of capacity; not executed
	TimedOut
	NoConnection // not executed
	Reset
	Canceled
	NotSent     // not executed
	Misdirected // refused by a member that is not the primary or lags too far; not executed
	Garbled     // the answer could not be parsed; it shows only that the member is alive
	Stale       // the answer shows that a read ran on data older than its class allows
	SetupFailed // the member failed what prepares its connection for the request; not executed
)

// String returns the name of the result as it appears in logs and reports.
func (x Result) String() string {
	return [...]string{"ok", "error", "turned away", "timed out", "no connection", "reset", "canceled", "not sent", "miss", "garbled", "stale", "setup failed"}[x]
}

// NotExecuted reports whether the attempt was not executed and will not be.
func (x Result) NotExecuted() bool {
	return x == QueueFull || x == NoConnection || x == NotSent || x == Misdirected || x == SetupFailed
}

// Outcome reports the end of an attempt. Each Send gets exactly one.
type Outcome struct {
	ID       string
	Attempt  int
	Server   string
	Result   Result
	Took     time.Duration
	Final    bool // the request has ended
	Role     Role
	Position time.Duration // 0 if unknown; after a write, the position of its commit
	Report   Report
	StatedAt TimeBounds // when the member made the statement; the zero value means between the start of the attempt and now
	// Written is the time at which the last byte of the query had been written, or 0 for the time of the
	// send.
	Written time.Duration
}

// ProbeResult reports the end of a probe.
type ProbeResult struct {
	Server   string
	Result   Result
	Took     time.Duration
	Report   Report
	StatedAt TimeBounds // a NotAfter of 0 means now
}

// RemoteOutcome reports how an attempt or a probe of another router ended, as that router stated in a gossip
// message.
type RemoteOutcome struct {
	Server, Class string // an empty class means a probe
	Result        Result
	Took          time.Duration
	Role          Role
	Position      time.Duration // 0 if unknown
	At            time.Duration // earliest time at which it ended; 0 if unknown
	NotBefore     time.Duration // earliest time of the statement on the role; used only if that role is Primary
	NotAfter      time.Duration // latest time of that statement; 0 means now
	// FromGossip, or FromAnswer if the host side of this router learned it after the outcome.
	Source Source
}

// PriorEvidence passes on what an earlier router knew about a member, with times by the clock of this router.
// The earlier router belonged to a previous process, or has panicked.
type PriorEvidence struct {
	Server                                      string
	PrimaryNotBefore, ReplicaNotAfter, Position time.Duration // as in MemberView
	Alive                                       bool          // the earlier router had not ejected it
}

// ClockBounds bounds the offset between this router's clock and the clock of log positions.
type ClockBounds struct {
	Known     bool          // if false there are no bounds, and no position shows how old the data is
	AgeOffset time.Duration // added to the ages of positions; may be negative
	MaxOffset time.Duration // maximum offset: the positions' clock minus this router's clock
}

// ClockReplaced reports that the previous bounds were wrong. Statements of a primary and start times that
// were dated by them no longer count.
type ClockReplaced struct{}

// Timer reports that the timer started by a StartTimer action has expired.
type Timer struct{ Tag int64 }

// RequestCanceled reports that the client of a request has disconnected. No answer is expected any more.
type RequestCanceled struct{ ID string }

// Shutdown reports that the process shuts down. All open requests must be answered by the time By, even if
// their deadlines are later.
type Shutdown struct{ By time.Duration }

// DeadlineChanged changes the deadline of an open request, also to a later one: after a Shutdown, an answer that is on its
// way is not cut off.
type DeadlineChanged struct {
	ID       string
	Deadline time.Duration
}

// Event is one of Members, ListUnavailable, Cells, SettingsUpdate, Request, Outcome, ProbeResult,
// RemoteOutcome, PriorEvidence, ClockBounds, ClockReplaced, Timer, RequestCanceled, Shutdown, DeadlineChanged.
type Event any

// MemberView is the router's view of a member.
type MemberView struct {
	Server       string
	Group        int
	Limit        float64 // maximum number of attempts in flight
	InFlight     int     // attempts in flight
	WarmUpWeight float64 // minimum fraction of its capacity that is available during slow start, 0 to 1
	Usable       bool    // accepts reads and is not ejected
	// Primary means that the router takes the member for the primary. Known means that a position of it is
	// known.
	Primary, Known   bool
	PrimaryNotBefore time.Duration // earliest time of the newest statement that it is the primary; 0 if there is none
	ReplicaNotAfter  time.Duration // latest time of the newest statement that it is a replica; 0 if there is none
	Position         time.Duration // 0 if unknown
	Started          time.Duration // its last start, as listed or observed; 0 if long ago
}

// Send starts an attempt. Attempts of a request are numbered from 0.
type Send struct {
	ID, Server string
	Timeout    time.Duration // 0 means no timeout except the deadline
	Grounds    Grounds
	Demand     Demand
}

// Reason is the reason for which a request is given up.
type Reason int

const (
	UnknownClass Reason = iota // the settings have no such class
	// Load shedding on arrival: many attempts in its group end badly, or it is over its quota.
	Shed
	TooLate         // an answer in time is unlikely, or it was not sent within half of its time
	NoAttemptLeft   // its attempts are used up, or it must not be retried
	FailsEverywhere // it failed on two members
	Overdue         // its deadline has passed
)

// String returns the name of the reason as it appears in logs and reports.
func (reason Reason) String() string {
	return [...]string{"unknown class", "thinned", "too late", "no attempt left", "fails everywhere", "overdue"}[reason]
}

// unless returns the alternative if the condition holds, else the reason itself.
func (reason Reason) unless(condition bool, alternative Reason) Reason {
	if condition {
		return alternative
	}
	return reason
}

// Refuse is a final answer: the request was not executed, or may be repeated without harm. Bad is the
// fraction of recent attempts on the group's replicas that ended badly, 0 to 1.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
	Reason     Reason
	Bad        float64
}

// Fail is a final answer that leaves open whether the request was executed. Bad is the same as in Refuse.
type Fail struct {
	ID     string
	Reason Reason
	Bad    float64
}

// Cancel stops waiting for the answer to an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe sends a health check to a member.
type Probe struct{ Server string }

// StartTimer starts a timer; a Timer event with the same Tag follows when it expires.
type StartTimer struct {
	Wait time.Duration
	Tag  int64
}

// PrimaryChange reports, for the log, that another member or none now counts as the primary of a group, and
// the evidence for it.
type PrimaryChange struct {
	Group                                      int
	From, To                                   string // empty means none
	Source                                     Source // source of the last statement
	Server                                     string // member that the last statement was about; the times below are its evidence
	PrimaryNotBefore, ReplicaNotAfter, Started time.Duration
}

// Watch subscribes to changes of the member list.
type Watch struct{}

// Action is one of Send, Refuse, Fail, Cancel, Probe, StartTimer, Watch.
type Action any

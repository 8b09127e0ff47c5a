// Package soak generates plans for runs of real gateway processes under faults. A plan depends on its seed alone, so that a run
// that violated a rule can be repeated, although the timing of the processes still depends on the machine.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yokemast/internal/testbed/linkfault"
)

// FirstInCI and LastInCI bound the seeds that are run if none are given.
const FirstInCI, LastInCI = 1, 12

// Kind is a kind of event.
type Kind string

// Kinds of events. Target is the index of the gateway for events of a gateway or its discovery agent, and the index of the
// host for events of a host.
const (
	AgentSilent    Kind = "agent silent"    // the agent answers neither calls in flight nor later ones
	AgentSlow      Kind = "agent slow"      // the agent takes 1.5 s for each answer
	AgentBusy      Kind = "agent busy"      // the agent rejects the next call after 1.9 s
	AgentResets    Kind = "agent resets"    // the agent resets connections
	AgentTruncates Kind = "agent truncates" // the agent closes the connection in the middle of a list
	AgentTrickles  Kind = "agent trickles"  // the agent begins answers and never completes them
	Reload         Kind = "reload"          // SIGHUP with unchanged settings
	Reloads        Kind = "reloads"         // SIGHUP every 0.2 s for a while
	Moves          Kind = "moves"           // SIGHUP every 0.2 s for a while, each switching to the agent's other address
	HoldUp         Kind = "hold up"         // the process is stopped for 0.15 s
	Restart        Kind = "restart"         // SIGTERM, SIGKILL as early as allowed, and a start
	Drain          Kind = "drain"           // the host is listed as draining; a primary keeps its role for a while
	Gone           Kind = "gone"            // the host is removed from the list
	Back           Kind = "back"            // the host is listed as serving
	Hang           Kind = "hang"            // the host receives requests and does not answer
	Crash          Kind = "crash"           // the host's process ends and starts again after a while
	Resets         Kind = "resets"          // the host resets all its connections
	FailOver       Kind = "fail over"       // the primary crashes and restarts as a follower at its last position; another takes over
	Deposed        Kind = "deposed"         // the primary hangs and is replaced; it resumes as a follower
	HandOver       Kind = "hand over"       // another host becomes primary, and shortly afterwards the first one again
	Lag            Kind = "lag"             // all replicas apply the log more slowly and lag by the event's Lag
	Burst          Kind = "burst"           // the gateway gets SIGHUP, SIGUSR1 and SIGHUP in a row and is then stopped briefly
	Series         Kind = "series"          // a planned restart with other signals before and after SIGTERM
	Kill           Kind = "kill"            // SIGKILL without SIGTERM, and a start
	HangButProbes  Kind = "hang but probes" // the group's primary answers only probes, with its last report; the log does not grow
	ReportsStop    Kind = "reports stop"    // the group's hosts make no load reports
	OldRole        Kind = "old role"        // the group's primary hands over, but its load report still states that it is the primary
	HeldAnswers    Kind = "held answers"    // the group's primary makes its answers, delays them, and sends them all together
	LogStalls      Kind = "log stalls"      // the group's replicas, without lag before, stop applying the log
	Link           Kind = "link"            // the gateway's links have a fault
)

// ageEvents are the events that make statements of hosts older than they appear. HangButProbes is drawn twice as often.
var ageEvents = []Kind{HangButProbes, HangButProbes, ReportsStop, OldRole, HeldAnswers, LogStalls}

// Event is one event of a run.
type Event struct {
	At     time.Duration // after the start of the run
	For    time.Duration // duration, or 0 for an event without one
	Kind   Kind
	Target int
	Lag    time.Duration // of replicas
	Group  int           // index of the affected group
	// With is an event of the gateway given by Target at the same time, or After later; empty for none. If it is a restart and
	// After is 0, the event begins when the next process starts.
	With    Kind
	After   time.Duration
	Next    bool // another host becomes primary before the hung one resumes
	Stalled bool // the group's replicas apply no log for the same duration
	Fault   linkfault.Fault
	Host    int // index of the host whose link has the fault; EveryHost for all links of the gateway
}

// EveryHost stands for all hosts.
const EveryHost = -1

// Age classifies the age of a field sent by hosts, discovery or other gateways.
type Age string

// Ages. Older is beyond the bound that the platform's documentation gives, if any.
const (
	Usual   Age = "usual"
	Allowed Age = "as old as allowed"
	Older   Age = "older"
)

// Bounds of ages in the platform's documentation.
const (
	ReportLeast, ReportMost = 59 * time.Millisecond, 190 * time.Millisecond // interval between two load reports
	KnownWithin             = 100 * time.Millisecond                        // until a gateway knows an answer that was written to it
	ListedWithin            = 6 * time.Second                               // until a change of a host is in the endpoint list
	RoleListedWithin        = 5 * time.Second                               // until a change of a role is in the endpoint list
)

// Ages are the ages of the received fields, by their source.
type Ages struct {
	Answers Age // role and position
	Reports Age // x0 and x1
	Starts  Age // up_since_ms
	Roles   Age // role in the endpoint list
	Gossip  Age // times in gossip messages
}

// Roles is the way in which the endpoint list states the primary.
type Roles string

// Ways to state roles.
const (
	RolesLate  Roles = "late"            // changes are listed after RoleLag
	RolesStart Roles = "as at the start" // changes are not listed
	RolesNever Roles = "never"           // entries state no role
)

func (e Event) String() string {
	out := fmt.Sprintf("%s %s %d for %s", e.At.Round(time.Millisecond), e.Kind, e.Target, e.For.Round(time.Millisecond))
	if e.Group > 0 {
		out += fmt.Sprintf(" in group %d", e.Group)
	}
	if e.With != "" {
		out += " with " + string(e.With)
	}
	if e.After > 0 {
		out += " after " + e.After.Round(time.Millisecond).String()
	}
	if e.Next {
		out += ", another leads"
	}
	if e.Kind == Link {
		out += fmt.Sprintf(" to host %d %s (%s)", e.Host, e.Fault.Kind, e.Fault.Max.Round(time.Millisecond))
	}
	if e.Stalled {
		out += ", logs stand still"
	}
	return out
}

// Plan is the plan of a run.
type Plan struct {
	Seed                  uint64
	Gateways, Hosts       int
	Clients               int // per gateway
	Length                time.Duration
	Grace                 time.Duration    // of drains
	Deadline, MaxDeadline time.Duration    // of reads, and of the class with the latest deadline
	Window                time.Duration    // for retries of the keyed class of writes; 0 if writes must not be executed twice
	Poll                  bool             // gateways subscribe to the endpoint list (membershipMode "ask"); otherwise it is pushed to them
	Skew                  time.Duration    // clock of hosts and clients minus that of the gateways
	Crowd                 bool             // many more clients that hold connections
	Roles                 Roles            // how the endpoint list states roles
	RoleLag, StartLag     time.Duration    // delay of roles and start times in the endpoint list
	Lag                   time.Duration    // of replicas
	Gossip                bool             // gateways exchange gossip messages
	EagerClients          int              // additional clients per gateway that send with hardly a pause
	SecondGroup           int              // number of hosts of a second group; 0 for a single group
	Reports               [2]time.Duration // bounds of the interval between two load reports
	Ages                  Ages
	Linked                []bool // by gateway, whether it reaches the hosts over links; nil if none does
	Events                []Event
}

// New returns the plan for a seed.
func New(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	between := func(lower, upper time.Duration) time.Duration {
		return lower + time.Duration(rng.Int64N(int64(upper-lower)))
	}
	p := Plan{Seed: seed, Gateways: 2 + rng.IntN(3), Hosts: 3 + rng.IntN(3), Clients: 4 + rng.IntN(5), Length: 16 * time.Second,
		Grace: between(200*time.Millisecond, time.Second), Deadline: between(250*time.Millisecond, 800*time.Millisecond),
		MaxDeadline: between(500*time.Millisecond, 3*time.Second), Poll: rng.IntN(3) == 0, Crowd: rng.IntN(4) == 0}
	if rng.IntN(2) == 0 {
		p.Window = between(300*time.Millisecond, 3*time.Second)
	}
	if rng.IntN(2) == 0 {
		const tenth = 100 * time.Millisecond
		p.Skew = []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second, tenth, -tenth, 3 * tenth, -3 * tenth, 5 * tenth,
			-5 * tenth}[rng.IntN(10)]
	}
	p.Roles = []Roles{RolesLate, RolesLate, RolesStart, RolesNever}[rng.IntN(4)]
	p.RoleLag, p.StartLag = between(300*time.Millisecond, 4*time.Second), between(0, 2*time.Second)
	p.Lag = []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 450 * time.Millisecond, 3 * time.Second}[rng.IntN(4)]
	p.Gossip = rng.IntN(2) == 0
	last := p.Length - 8*time.Second // leaves time to observe the effects of a drain near the end
	for range 4 + rng.IntN(4) {
		kinds := []Kind{AgentSilent, AgentSlow, AgentBusy, AgentResets, AgentTruncates, AgentTrickles, Reload, Reloads, Moves, HoldUp, HoldUp, Restart, Burst}
		e := Event{At: between(500*time.Millisecond, last), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(p.Gateways)}
		e.For = between(500*time.Millisecond, 4*time.Second)
		p.Events = append(p.Events, e)
	}
	for range 1 + rng.IntN(3) {
		kinds := []Kind{Hang, Crash, Resets}
		p.Events = append(p.Events, Event{At: between(500*time.Millisecond, last), For: between(500*time.Millisecond, 3*time.Second),
			Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(p.Hosts)})
	}
	for range 1 + rng.IntN(4) {
		kinds := []Kind{FailOver, FailOver, FailOver, Deposed, HandOver, Lag}
		p.Events = append(p.Events, Event{At: between(500*time.Millisecond, last), For: between(200*time.Millisecond, 3*time.Second),
			Kind: kinds[rng.IntN(len(kinds))], Lag: between(0, 3*time.Second)})
	}
	p.drains(rng, last)
	p.ages(rand.New(rand.NewPCG(seed, 0x61676573)), last)
	p.links(rand.New(rand.NewPCG(seed, 0x6c696e6b73)), last)
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// drains draws drains, some of which end with the host's removal or its return. One host is never drained. The first primary
// often is, and may keep its role for long.
func (p *Plan) drains(rng *rand.Rand, last time.Duration) {
	order := rng.Perm(p.Hosts)
	if first := slices.Index(order, 0); rng.IntN(2) == 0 {
		order[0], order[first] = order[first], order[0]
	}
	for _, host := range order[:1+rng.IntN(p.Hosts-2)] {
		at := 500*time.Millisecond + time.Duration(rng.Int64N(int64(last)))
		roleKept := 300*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Second)))
		p.Events = append(p.Events, Event{At: at, For: roleKept, Kind: Drain, Target: host})
		at += time.Duration(rng.Int64N(int64(3 * time.Second)))
		switch rng.IntN(3) {
		case 0:
			p.Events = append(p.Events, Event{At: at, Kind: Gone, Target: host})
		case 1:
			p.Events = append(p.Events, Event{At: at, Kind: Back, Target: host})
		}
	}
}

// ages draws the ages of received fields and events that increase them. It has its own random generator, so that the rest of the
// plan of a seed is the same as before ages were added.
func (p *Plan) ages(rng *rand.Rand, last time.Duration) {
	between := func(lower, upper time.Duration) time.Duration {
		return lower + time.Duration(rng.Int64N(int64(upper-lower)))
	}
	age := func() Age { return []Age{Usual, Allowed, Older}[rng.IntN(3)] }
	p.Ages = Ages{Answers: age(), Reports: age(), Starts: age(), Roles: age(), Gossip: age()}
	if rng.IntN(2) == 0 {
		p.SecondGroup = 3
	}
	if rng.IntN(4) == 0 {
		p.EagerClients = 12
	}
	p.Reports = [2]time.Duration{ReportLeast, ReportMost}
	startLag, roleLag := between(0, time.Second), between(0, time.Second)
	slow := between(ReportMost, 2*time.Second)
	switch p.Ages.Reports {
	case Allowed:
		p.Reports[0] = ReportMost - 10*time.Millisecond
	case Older:
		p.Reports = [2]time.Duration{slow, 2 * slow}
	}
	switch p.Ages.Starts {
	case Allowed:
		p.StartLag = ListedWithin - startLag
	case Older:
		p.StartLag = ListedWithin + 2*startLag
	}
	switch p.Ages.Roles {
	case Allowed:
		p.RoleLag = RoleListedWithin - roleLag
	case Older:
		p.RoleLag = RoleListedWithin + 3*roleLag
	}
	for range 2 + rng.IntN(3) {
		e := Event{At: between(500*time.Millisecond, last), For: between(300*time.Millisecond, 3*time.Second),
			Kind: ageEvents[rng.IntN(len(ageEvents))], Target: rng.IntN(p.Gateways), Next: rng.IntN(2) == 0}
		e.With = []Kind{"", HoldUp, Burst, Restart, Series, Kill, Kill}[rng.IntN(7)]
		if p.SecondGroup > 0 {
			e.Group = rng.IntN(2)
		}
		if e.With != "" && rng.IntN(2) == 0 {
			e.After = between(0, e.For)
		}
		e.Stalled = rng.IntN(2) == 0
		p.Events = append(p.Events, e)
	}
}

// maxConnectDelay is the maximum delay in establishing a connection, according to the platform's documentation of short days.
const maxConnectDelay = 1500 * time.Millisecond

// links draws, in half of the plans, the gateways that reach the hosts over links, and the faults of the links. Like ages, it
// has its own random generator.
func (p *Plan) links(rng *rand.Rand, last time.Duration) {
	if rng.IntN(2) == 0 {
		return
	}
	between := func(lower, upper time.Duration) time.Duration {
		return lower + time.Duration(rng.Int64N(int64(upper-lower)))
	}
	var linked []int
	p.Linked = make([]bool, p.Gateways)
	for _, i := range rng.Perm(p.Gateways)[:1+rng.IntN(p.Gateways)] {
		p.Linked[i], linked = true, append(linked, i)
	}
	for range 4 + rng.IntN(5) {
		e := Event{At: between(500*time.Millisecond, last), For: between(200*time.Millisecond, 4*time.Second), Kind: Link,
			Target: linked[rng.IntN(len(linked))], Host: EveryHost}
		if rng.IntN(3) > 0 {
			e.Host = rng.IntN(p.Hosts + p.SecondGroup)
		}
		e.Fault.Kind = linkfault.Kinds[rng.IntN(len(linkfault.Kinds))]
		switch e.Fault.Kind {
		case linkfault.ComesUpLate:
			e.Fault.Max = maxConnectDelay
		case linkfault.ClosesIdle, linkfault.ForgetsIdle:
			e.Fault.Max = between(10*time.Millisecond, 300*time.Millisecond)
		case linkfault.ResetsLater:
			e.Fault.Max = between(100*time.Millisecond, 3*time.Second)
		default:
			e.Fault.Max = between(10*time.Millisecond, time.Second)
		}
		p.Events = append(p.Events, e)
	}
}

// Package soak draws plans for runs of real gateways under faults. A plan comes from its seed alone, so that a run that broke a
// rule can be played again; what the processes make of it still depends on the machine.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yokemast/internal/testbed/linkfault"
)

// FirstInCI and LastInCI are the seeds that are played where none are named.
const FirstInCI, LastInCI = 1, 12

// Kind is a kind of event.
type Kind string

// Kinds of events. Those of a gateway and of its agent name it by Target, those of a host name the host.
const (
	AgentSilent    Kind = "agent silent"    // swallows the calls that are out, and all that come
	AgentSlow      Kind = "agent slow"      // takes 1.5 s for each answer
	AgentBusy      Kind = "agent busy"      // turns the next call away after 1.9 s
	AgentResets    Kind = "agent resets"    // resets connections
	AgentTruncates Kind = "agent truncates" // breaks off in the middle of a list
	AgentTrickles  Kind = "agent trickles"  // begins to answer and never ends
	Reload         Kind = "reload"          // SIGHUP, nothing changed
	Reloads        Kind = "reloads"         // SIGHUP every 0.2 s for a while
	Moves          Kind = "moves"           // SIGHUP every 0.2 s for a while, each to the agent's other address
	HoldUp         Kind = "hold up"         // the process is stopped for 0.15 s
	Restart        Kind = "restart"         // SIGTERM, SIGKILL at the earliest, and a start
	Drain          Kind = "drain"           // the host is listed as draining; a primary leads on for a while
	Gone           Kind = "gone"            // the host leaves the list
	Back           Kind = "back"            // the host is listed as serving
	Hang           Kind = "hang"            // the host takes requests and answers none
	Crash          Kind = "crash"           // the host's process dies, and starts again after a while
	Resets         Kind = "resets"          // the host resets all its connections
	FailOver       Kind = "fail over"       // the primary dies, comes back as a follower that stands where it stood, and another takes over
	Deposed        Kind = "deposed"         // the primary hangs and is replaced; awake again it follows
	HandOver       Kind = "hand over"       // leadership moves on, and comes back a moment later
	Lag            Kind = "lag"             // all replicas apply the log more slowly, and are as far behind as the event's Lag
	Burst          Kind = "burst"           // the gateway is told SIGHUP, SIGUSR1 and SIGHUP in a row, then is stopped for a moment
	Series         Kind = "series"          // a planned restart with other signals before and behind SIGTERM
	Kill           Kind = "kill"            // SIGKILL at once, and a start
	HangButProbes  Kind = "hang but probes" // the group's primary answers probes alone, by the report that it kept; the group's log stands still
	ReportsStop    Kind = "reports stop"    // the group's hosts make no load reports
	OldRole        Kind = "old role"        // the group's primary hands over, and its load report goes on to say that it leads
	HeldAnswers    Kind = "held answers"    // the group's primary makes its answers, holds them, and gives them all together
	LogStalls      Kind = "log stalls"      // the group's replicas, which kept up, apply nothing
	Link           Kind = "link"            // the gateway's links have a fault
)

// ageTroubles are the events that make what hosts tell older than it seems.
var ageTroubles = []Kind{HangButProbes, HangButProbes, ReportsStop, OldRole, HeldAnswers, LogStalls}

// Event is one thing that happens.
type Event struct {
	At     time.Duration // after the beginning
	For    time.Duration // how long it lasts; 0: it does not
	Kind   Kind
	Target int
	Lag    time.Duration // of replicas
	Group  int           // that it strikes, from 0
	// With is what happens to the gateway named by Target in the same moment, or that long After; "": nothing. With a restart and no
	// After the event begins when the next process starts.
	With    Kind
	After   time.Duration
	Next    bool // another host leads before the one that hangs is awake again
	Stalled bool // the logs of the group's replicas stand still for as long
	Fault   linkfault.Fault
	Host    int // the link to it has the fault; EveryHost: all links of the gateway have
}

// EveryHost stands for all hosts.
const EveryHost = -1

// Age is how old a field is that hosts, discovery or other gateways send.
type Age string

// Ages. Older ones are out of the pages' bounds, where those give any.
const (
	Usual   Age = "usual"
	Allowed Age = "as old as allowed"
	Older   Age = "older"
)

// Bounds of ages, by the pages.
const (
	ReportLeast, ReportMost = 59 * time.Millisecond, 190 * time.Millisecond // from one load report to the next
	KnownWithin             = 100 * time.Millisecond                        // an answer, after it was written
	ListedWithin            = 6 * time.Second                               // a change of the list
	RoleListedWithin        = 5 * time.Second                               // a role on the list
)

// Ages are those of the fields that others send, by what carries them.
type Ages struct {
	Answers Age // role and position
	Reports Age // x0 and x1
	Starts  Age // up_since_ms
	Roles   Age // the list's role
	Gossip  Age // the times in datagrams
}

// Roles is how the list tells who is the primary.
type Roles string

// Ways to tell roles.
const (
	RolesLate  Roles = "late"
	RolesStart Roles = "as at the start"
	RolesNever Roles = "never"
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

// Plan is a run.
type Plan struct {
	Seed                  uint64
	Gateways, Hosts       int
	Clients               int // of each gateway
	Length                time.Duration
	Grace                 time.Duration    // of drains
	Deadline, MaxDeadline time.Duration    // of reads, and of the class that waits longest
	Window                time.Duration    // of the keyed class of writes; 0: writes must not run twice
	Poll                  bool             // lists are asked for, not pushed
	Skew                  time.Duration    // what the others' clock shows more than the machine's
	Crowd                 bool             // many more clients, that hold connections
	Roles                 Roles            // how the list tells them
	RoleLag, StartLag     time.Duration    // by which it tells roles and starts late
	Lag                   time.Duration    // of replicas
	Gossip                bool             // gateways tell each other
	EagerClients          int              // clients of each gateway that ask with hardly a pause, beside the others
	SecondGroup           int              // hosts of a second group; 0: there is one group
	Reports               [2]time.Duration // bounds of the time from one load report to the next
	Ages                  Ages
	Linked                []bool // of each gateway, whether it reaches the hosts over links; nil: none does
	Events                []Event
}

// New draws the plan of a seed.
func New(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
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
	last := p.Length - 8*time.Second // what a drain near the end must keep to is still seen
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

// drains draws drains, some of which end in the host's leaving, or in its return. One host is never drained; the first primary
// often is, and may lead on for long.
func (p *Plan) drains(rng *rand.Rand, last time.Duration) {
	order := rng.Perm(p.Hosts)
	if first := slices.Index(order, 0); rng.IntN(2) == 0 {
		order[0], order[first] = order[first], order[0]
	}
	for _, host := range order[:1+rng.IntN(p.Hosts-2)] {
		at := 500*time.Millisecond + time.Duration(rng.Int64N(int64(last)))
		leads := 300*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Second)))
		p.Events = append(p.Events, Event{At: at, For: leads, Kind: Drain, Target: host})
		at += time.Duration(rng.Int64N(int64(3 * time.Second)))
		switch rng.IntN(3) {
		case 0:
			p.Events = append(p.Events, Event{At: at, Kind: Gone, Target: host})
		case 1:
			p.Events = append(p.Events, Event{At: at, Kind: Back, Target: host})
		}
	}
}

// ages draws how old what others send is, and events that make it older. It has a generator of its own, so that the rest of a seed's
// plan stays what it was before there was any of this.
func (p *Plan) ages(rng *rand.Rand, last time.Duration) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
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
			Kind: ageTroubles[rng.IntN(len(ageTroubles))], Target: rng.IntN(p.Gateways), Next: rng.IntN(2) == 0}
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

// lateUpMost is by how much connections come up late at most, by the page on short days.
const lateUpMost = 1500 * time.Millisecond

// links draws which gateways reach the hosts over links, and the faults of those, in half of the plans. As ages, it has a generator of
// its own.
func (p *Plan) links(rng *rand.Rand, last time.Duration) {
	if rng.IntN(2) == 0 {
		return
	}
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
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
			e.Fault.Max = lateUpMost
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

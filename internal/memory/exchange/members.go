package exchange

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/draining"
)

// Member is an entry of the list of hosts, with the address that this gateway reaches it at.
type Member struct {
	balance.Member
	Address string
	// NotifiedAt is when an earlier process of this gateway was notified that it drains or is gone; 0: not known.
	NotifiedAt       time.Duration
	NotifiedBy       string // agent of discovery that told that earlier process so; "": not known
	NotifiedRevision int64  // the revision of its list
}

// List is what an agent of discovery told: all hosts, or entries that changed.
type List struct {
	Agent    string // its address
	Revision int64
	At       time.Duration // when it arrived, or earlier, where the gateway counts as notified since then
	Snapshot bool
	Hosts    []Member

	inherited bool // it is what an earlier process knew, with starts that were rounded up
}

// members is a list whose states are those that hold.
type members struct {
	whole bool
	list  []Member
}

// bounds holds until when new requests may be sent to which host. A list binds from the moment that it is handed over, however
// far the event loop is behind; so it is safe for concurrent use.
type bounds struct {
	begunAt time.Duration // the process's first moment
	mu      sync.Mutex
	drains  *draining.Tracker
	known   map[string]time.Duration // hosts, with the latest start that was told of them
	agent   string                   // of the last list
	hosts   Hosts                    // nil until Run
}

func newBounds(s balance.Settings, begunAt time.Duration) *bounds {
	return &bounds{begunAt: begunAt, drains: draining.New(drainRules(s)), known: map[string]time.Duration{}}
}

func drainRules(s balance.Settings) draining.Rules {
	return draining.Rules{Grace: s.DrainGrace, DroppedStayOpen: s.DroppedStayOpen}
}

var drainStates = map[balance.State]draining.State{balance.Active: draining.Serving, balance.Draining: draining.Draining,
	balance.Removed: draining.Removed}

// states is drainStates the other way round.
var states = map[draining.State]balance.State{draining.Serving: balance.Active, draining.Draining: balance.Draining, draining.Removed: balance.Removed}

// take puts a list in force, and gives it with the states that hold, and the latest starts: a list that is behind takes none back. A host that drains when the process first hears of it may have done so
// since before the process began: what discovery's agent has counts as notified from the process's first moment.
func (b *bounds) take(l List) members {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, named := members{l.Snapshot, slices.Clone(l.Hosts)}, map[string]bool{}
	for i, m := range e.list {
		named[m.Server] = true
		b.tellLocked(b.drains.Set(b.wordLocked(l, m)))
		e.list[i].State, e.list[i].Started = states[b.drains.State(m.Server)], max(m.Started, b.known[m.Server])
	}
	if !l.Snapshot {
		return e
	}
	for server, started := range b.known {
		if !named[server] {
			b.tellLocked(b.drains.Set(draining.Notification{Server: server, State: draining.Removed, At: l.At, Agent: l.Agent, Revision: l.Revision, Unlisted: true,
				Started: started}))
		}
	}
	return e
}

// wordLocked is what a list tells of a host. Of an earlier process's, that a host serves ends no drain: what another list told may be later.
func (b *bounds) wordLocked(l List, m Member) draining.Notification {
	w := draining.Notification{Server: m.Server, State: drainStates[m.State], At: l.At, NotifiedAt: m.NotifiedAt, Agent: l.Agent, Revision: l.Revision,
		Started: m.Started}
	latest, known := b.known[m.Server]
	if !known {
		w.At = min(l.At, b.begunAt)
	}
	if w.State != draining.Serving {
		w.Started = max(latest, w.Started)
	}
	if m.Started < farAhead { // else an earlier process could not say when
		latest = max(latest, m.Started)
	}
	if b.known[m.Server] = latest; l.inherited {
		w.Agent, w.Revision = m.NotifiedBy, m.NotifiedRevision
		return w
	}
	b.agent = l.Agent
	return w
}

func (b *bounds) tellLocked(bound draining.Bound) {
	if b.hosts != nil {
		b.hosts.SetSendDeadline(bound.Server, bound.SendUntil)
	}
}

// retune puts the rules of new settings in force; changed says that bounds have moved.
func (b *bounds) retune(s balance.Settings) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	moved := b.drains.SetRules(drainRules(s))
	for _, bound := range moved {
		b.tellLocked(bound)
	}
	return len(moved) > 0
}

// renew tells the host side the bound that holds for a host now: it had not heard of the host before.
func (b *bounds) renew(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tellLocked(draining.Bound{Server: server, SendUntil: b.drains.Until(server)})
}

func (b *bounds) until(server string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.Until(server)
}

// toldBy is the agent of discovery that told last that a host drains or is gone, and the revision of its list.
func (b *bounds) toldBy(server string) (agent string, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.NotifiedBy(server)
}

// lastAgent is the agent of discovery whose list was taken last; "": none was.
func (b *bounds) lastAgent() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.agent
}

func (b *bounds) notifiedAt(server string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.NotifiedAt(server)
}

func (b *bounds) forget(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drains.Forget(server)
	delete(b.known, server)
}

func (b *bounds) serve(hosts Hosts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// Members hands over a list of hosts. What it says of hosts that drain or are gone binds at once.
func (x *Exchange) Members(l List) {
	e := x.bounds.take(l)
	for i, m := range e.list {
		if l.Hosts[i].State == balance.Active && m.State != balance.Active {
			toldBy, _ := x.bounds.toldBy(m.Server)
			x.cfg.Log.Info("host kept out: the list may be behind the one that told its drain", zap.String("host", m.Server),
				zap.String("agent", l.Agent), zap.String("told_by", toldBy))
		}
	}
	x.post(e)
}

// members takes a list. Its bounds may be older than what holds by now.
func (x *Exchange) members(e members) {
	now := x.cfg.Clock.Now()
	ev := balance.Members{Snapshot: e.whole, List: make([]balance.Member, 0, len(e.list))}
	local, named := make([]Member, 0, len(e.list)), map[string]bool{}
	for _, m := range e.list {
		named[m.Server] = true
		x.noteState(now, m)
		x.list[m.Server] = m
		if x.cfg.Gossip != nil {
			x.cfg.Gossip.AddHost(m.Server)
		}
		x.groups[m.Group] = true
		m.Member = x.bound(m)
		ev.List = append(ev.List, m.Member)
		local = append(local, m)
	}
	x.hosts.Members(local)
	for _, m := range e.list {
		x.bounds.renew(m.Server)
	}
	for server, m := range x.list {
		if e.whole && !named[server] && m.State != balance.Removed {
			m.State = balance.Removed
			x.noteState(now, m)
			x.list[server] = m
		}
		if m.State == balance.Removed {
			x.forgetHost(now, server)
		}
	}
	x.decide(ev)
	x.askClock()
	if x.cells != nil {
		x.carryOut(x.cells.UpdateMembers(now, e.whole, ev.List))
	}
}

const (
	// clockProbeCount is how many hosts are asked for the time at once, clockProbePause how long after that others are, and
	// clockProbeRounds how often: a host may be dead, or have no report yet.
	clockProbeCount  = 2
	clockProbePause  = 50 * time.Millisecond
	clockProbeRounds = 8
)

// askClock asks hosts for a position: until one has told any, each host that has ever started counts as one that has just done so.
// Primaries' positions are the newest, so they are asked where the list names any.
func (x *Exchange) askClock() {
	now := x.cfg.Clock.Now()
	if x.cfg.Clock.Bounds().HasMin || !x.cfg.Settings.Probes || len(x.clockProbes) > 0 || x.clockRounds >= clockProbeRounds ||
		now < x.clockAskAt {
		return
	}
	var serving, primaries []string
	for _, m := range x.list {
		if m.State != balance.Active {
			continue
		}
		if serving = append(serving, m.Server); m.Primary {
			primaries = append(primaries, m.Server)
		}
	}
	if len(primaries) > 0 {
		serving = primaries
	}
	if len(serving) == 0 {
		return
	}
	x.clockRounds++
	x.clockAskAt = now + clockProbePause
	slices.Sort(serving)
	rng := rand.New(rand.NewPCG(x.cfg.Seed, 0x636c6f636b+uint64(x.clockRounds))) // every gateway asks others, each time
	for _, i := range rng.Perm(len(serving))[:min(clockProbeCount, len(serving))] {
		if x.clockProbes == nil {
			x.clockProbes = map[string]bool{}
		}
		x.clockProbes[serving[i]] = true
		x.cfg.Counters.Probes.Add(1)
		x.hosts.Probe(serving[i])
	}
}

// bound is a list's entry as the module gets it: with until when anything new may go there, and times by this clock.
func (x *Exchange) bound(m Member) balance.Member {
	m.Member.SendUntil = x.bounds.until(m.Server)
	m.Member.Started, m.Member.Incarnation = x.startedAt(m.Started), m.Started
	return m.Member
}

// startedAt is the latest time by this clock at which a host may have started: one that is taken for warm too early falls. Before any
// host has told its position it may have just done so.
func (x *Exchange) startedAt(fleet time.Duration) time.Duration {
	if fleet == 0 {
		return 0
	}
	now, b := x.cfg.Clock.Now(), x.cfg.Clock.Bounds()
	if !b.HasMin {
		return now
	}
	return min(fleet-b.At(now).Min, now)
}

// noticeClock puts in force what is known by now of how this clock stands to the fleet's, and hands everybody the list anew where that
// changes starts by much.
func (x *Exchange) noticeClock() {
	x.askClock()
	if known := x.cfg.Clock.ForModule(); known != x.clock {
		x.clock = known
		x.decide(known)
	}
	epoch, b := x.cfg.Clock.Epoch(), x.cfg.Clock.Bounds()
	if x.clockEpoch != epoch {
		x.clockEpoch = epoch
		x.decide(balance.ClockReplaced{})
	} else if x.clockTold == b.HasMin && x.clockDoubted == b.Contradicted && x.clockBounded == b.HasMax {
		return
	}
	x.clockTold, x.clockDoubted, x.clockBounded = b.HasMin, b.Contradicted, b.HasMax
	x.cfg.Log.Info("fleet's clock", append([]zap.Field{zap.Bool("doubted", b.Contradicted), zap.Int("epoch", epoch)}, clockFields("", b, x.cfg.Clock.Now())...)...)
	e := members{}
	for _, m := range x.list {
		e.list = append(e.list, m)
	}
	x.members(e)
}

// forgetHost drops a host that left long ago: a fleet that is replaced again and again must not fill memory.
func (x *Exchange) forgetHost(now time.Duration, server string) {
	at, notified := x.bounds.notifiedAt(server)
	if !notified || now-at <= forgetAfter || x.bounds.until(server) == draining.Open {
		return
	}
	delete(x.list, server)
	x.bounds.forget(server)
	if x.cfg.Gossip != nil {
		x.cfg.Gossip.RemoveHost(server)
	}
	x.hosts.Forget(server)
}

// rebind hands the module the bounds that new settings have moved.
func (x *Exchange) rebind() {
	ev := balance.Members{}
	for _, m := range x.list {
		if m.State != balance.Active {
			ev.List = append(ev.List, x.bound(m))
		}
	}
	x.decide(ev)
}

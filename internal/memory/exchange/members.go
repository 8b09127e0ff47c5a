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

// Member is an entry of the endpoint list, with the address at which this gateway reaches the host.
type Member struct {
	balance.Member
	Address string
	// NotifiedAt is when an earlier process of this gateway was notified that the host drains or was removed,
	// or 0 if unknown.
	NotifiedAt       time.Duration
	NotifiedBy       string // agent of discovery that notified the earlier process, or "" if unknown
	NotifiedRevision int64  // revision of the endpoint list with that notification
}

// List is an endpoint list from an agent of discovery: a snapshot of all hosts, or a delta with the changed
// entries.
type List struct {
	Agent    string // address of the agent
	Revision int64
	At       time.Duration // when it arrived, or earlier if the gateway counts as notified from an earlier time
	Snapshot bool          // a snapshot
	Hosts    []Member

	inherited bool // comes from the handover state of an earlier process, with start times rounded up
}

// endpointList is the event of an endpoint list whose states and start times are the effective ones.
type endpointList struct {
	snapshot bool
	hosts    []Member
}

// sendDeadlines holds the time until which new requests may be sent to each host. An endpoint list takes effect
// as soon as it is passed to Members, however far the event loop is behind, so sendDeadlines is safe for
// concurrent use.
type sendDeadlines struct {
	processStart time.Duration // start of the process
	mu           sync.Mutex
	tracker      *draining.Tracker
	latestStart  map[string]time.Duration // latest listed start time of each known host
	agent        string                   // agent of discovery that sent the latest list
	hosts        Hosts                    // nil until Run is called
}

func newSendDeadlines(s balance.Settings, processStart time.Duration) *sendDeadlines {
	return &sendDeadlines{processStart: processStart, tracker: draining.New(drainRules(s)), latestStart: map[string]time.Duration{}}
}

func drainRules(s balance.Settings) draining.Rules {
	return draining.Rules{Grace: s.DrainGrace, DroppedStayOpen: s.DroppedStayOpen}
}

// drainStates maps the module's states of a host to those of package draining.
var drainStates = map[balance.State]draining.State{balance.Active: draining.Serving, balance.Draining: draining.Draining,
	balance.Removed: draining.Removed}

// memberStates is the inverse of drainStates.
var memberStates = map[draining.State]balance.State{draining.Serving: balance.Active, draining.Draining: balance.Draining, draining.Removed: balance.Removed}

// apply applies a list and returns it with the effective states and the latest known start times, so that an
// outdated list reverts neither. A host that drains when it is first listed may have been draining since before
// the process started, so the gateway counts as notified of that drain from the start of the process.
func (d *sendDeadlines) apply(l List) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied, named := endpointList{l.Snapshot, slices.Clone(l.Hosts)}, map[string]bool{}
	for i, m := range applied.hosts {
		named[m.Server] = true
		d.setLocked(d.tracker.Set(d.statementLocked(l, m)))
		applied.hosts[i].State, applied.hosts[i].Started = memberStates[d.tracker.State(m.Server)], max(m.Started, d.latestStart[m.Server])
	}
	if !l.Snapshot {
		return applied
	}
	for server, started := range d.latestStart {
		if !named[server] {
			d.setLocked(d.tracker.Set(draining.Notification{Server: server, State: draining.Removed, At: l.At, Agent: l.Agent, Revision: l.Revision, Unlisted: true,
				Started: started}))
		}
	}
	return applied
}

// statementLocked returns the statement of a list about a host. In an inherited list a serving state ends no
// drain, as the statement of another list may be newer.
func (d *sendDeadlines) statementLocked(l List, m Member) draining.Notification {
	statement := draining.Notification{Server: m.Server, State: drainStates[m.State], At: l.At, NotifiedAt: m.NotifiedAt, Agent: l.Agent, Revision: l.Revision,
		Started: m.Started}
	latest, known := d.latestStart[m.Server]
	if !known {
		statement.At = min(l.At, d.processStart)
	}
	if statement.State != draining.Serving {
		statement.Started = max(latest, statement.Started)
	}
	if m.Started < unreachedPosition { // otherwise the start time was converted without an upper bound of the fleet's clock
		latest = max(latest, m.Started)
	}
	if d.latestStart[m.Server] = latest; l.inherited {
		statement.Agent, statement.Revision = m.NotifiedBy, m.NotifiedRevision
		return statement
	}
	d.agent = l.Agent
	return statement
}

// setLocked sets the send deadline of a host at the host side.
func (d *sendDeadlines) setLocked(bound draining.Bound) {
	if d.hosts != nil {
		d.hosts.SetSendDeadline(bound.Server, bound.SendUntil)
	}
}

// updateSettings applies the drain rules of new settings and reports whether any send deadline changed.
func (d *sendDeadlines) updateSettings(s balance.Settings) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.tracker.SetRules(drainRules(s))
	for _, bound := range moved {
		d.setLocked(bound)
	}
	return len(moved) > 0
}

// resend sets the current send deadline of a host at the host side, which may not have known the host before.
func (d *sendDeadlines) resend(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLocked(draining.Bound{Server: server, SendUntil: d.tracker.Until(server)})
}

// deadline returns the time until which new requests may be sent to a host.
func (d *sendDeadlines) deadline(server string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Until(server)
}

// notifiedBy returns the agent of discovery that last notified the gateway that a host drains or was removed,
// and the revision of its list.
func (d *sendDeadlines) notifiedBy(server string) (agent string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.NotifiedBy(server)
}

// lastAgent returns the agent of discovery that sent the latest list, or "" if there was none.
func (d *sendDeadlines) lastAgent() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent
}

// notifiedAt returns when the gateway was notified that a host drains or was removed.
func (d *sendDeadlines) notifiedAt(server string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.NotifiedAt(server)
}

func (d *sendDeadlines) forget(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Forget(server)
	delete(d.latestStart, server)
}

// setHosts sets the host side that send deadlines are passed to.
func (d *sendDeadlines) setHosts(hosts Hosts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
}

// Members accepts an endpoint list. Drains and removals in it take effect immediately.
func (x *Exchange) Members(l List) {
	e := x.sendDeadlines.apply(l)
	for i, m := range e.hosts {
		if l.Hosts[i].State == balance.Active && m.State != balance.Active {
			notifiedBy, _ := x.sendDeadlines.notifiedBy(m.Server)
			x.cfg.Log.Info("host stays excluded: the endpoint list may be older than its drain notification", zap.String("host", m.Server),
				zap.String("agent", l.Agent), zap.String("told_by", notifiedBy))
		}
	}
	x.post(e)
}

// handleMembers handles an endpoint list. Send deadlines may have changed since it was applied.
func (x *Exchange) handleMembers(e endpointList) {
	now := x.cfg.Clock.Now()
	ev := balance.Members{Snapshot: e.snapshot, List: make([]balance.Member, 0, len(e.hosts))}
	local, named := make([]Member, 0, len(e.hosts)), map[string]bool{}
	for _, m := range e.hosts {
		named[m.Server] = true
		x.logStateChange(now, m)
		x.listed[m.Server] = m
		if x.cfg.Gossip != nil {
			x.cfg.Gossip.AddHost(m.Server)
		}
		x.groups[m.Group] = true
		m.Member = x.moduleMember(m)
		ev.List = append(ev.List, m.Member)
		local = append(local, m)
	}
	x.hosts.Members(local)
	for _, m := range e.hosts {
		x.sendDeadlines.resend(m.Server)
	}
	for server, m := range x.listed {
		if e.snapshot && !named[server] && m.State != balance.Removed {
			m.State = balance.Removed
			x.logStateChange(now, m)
			x.listed[server] = m
		}
		if m.State == balance.Removed {
			x.forgetHost(now, server)
		}
	}
	x.decide(ev)
	x.revokeDrainingCheckouts()
	x.probeForClock()
	if x.cells != nil {
		x.performCells(x.cells.UpdateMembers(now, e.snapshot, ev.List))
	}
}

// revokeDrainingCheckouts ends the checkouts at hosts that drain or were removed, once they are outside of a transaction: their
// clients go on at other hosts.
func (x *Exchange) revokeDrainingCheckouts() {
	for _, o := range x.pending {
		if o.Checkout > 0 && o.inFlight && x.sendDeadlines.deadline(o.server) != draining.Open {
			o.revokeCheckout()
		}
	}
}

const (
	// clockProbeCount is the number of hosts probed for the clock in one round, clockProbePause the time
	// between two rounds and clockProbeRounds the maximum number of rounds. There are several rounds as a host
	// may be dead or may not report its position yet.
	clockProbeCount  = 2
	clockProbePause  = 50 * time.Millisecond
	clockProbeRounds = 8
)

// probeForClock probes hosts for a position: until one is known, each host with a listed start counts as just
// started. Primaries have the newest positions, so only they are probed if any are listed.
func (x *Exchange) probeForClock() {
	now := x.cfg.Clock.Now()
	if x.cfg.Clock.Bounds().HasMin || !x.cfg.Settings.Probes || len(x.clockProbes) > 0 || x.clockRounds >= clockProbeRounds ||
		now < x.nextClockProbe {
		return
	}
	var serving, primaries []string
	for _, m := range x.listed {
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
	x.nextClockProbe = now + clockProbePause
	slices.Sort(serving)
	rng := rand.New(rand.NewPCG(x.cfg.Seed, 0x636c6f636b+uint64(x.clockRounds))) // each gateway probes different hosts in each round
	for _, i := range rng.Perm(len(serving))[:min(clockProbeCount, len(serving))] {
		if x.clockProbes == nil {
			x.clockProbes = map[string]bool{}
		}
		x.clockProbes[serving[i]] = true
		x.cfg.Counters.Probes.Add(1)
		x.hosts.Probe(serving[i])
	}
}

// moduleMember returns a list's entry as the module expects it: with its send deadline, and with times by the
// local clock.
func (x *Exchange) moduleMember(m Member) balance.Member {
	m.Member.SendUntil = x.sendDeadlines.deadline(m.Server)
	m.Member.Started, m.Member.Incarnation = x.startedAt(m.Started), m.Started
	return m.Member
}

// startedAt converts a start time of the fleet's clock to the latest possible time by the local clock, as a
// host that counts as warm too early would be overloaded. Until the position of any host is known the host
// counts as just started.
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

// checkClock notifies the module of changes to the known offset of the fleet's clock. If the offset became
// known, bounded or contradicted, or was replaced, it handles the endpoint list again, as start times may have
// moved by much.
func (x *Exchange) checkClock() {
	x.probeForClock()
	if known := x.cfg.Clock.ForModule(); known != x.clock {
		x.clock = known
		x.decide(known)
	}
	epoch, b := x.cfg.Clock.Epoch(), x.cfg.Clock.Bounds()
	if x.clockEpoch != epoch {
		x.clockEpoch = epoch
		x.decide(balance.ClockReplaced{})
	} else if x.clockKnown == b.HasMin && x.clockContradicted == b.Contradicted && x.clockBounded == b.HasMax {
		return
	}
	x.clockKnown, x.clockContradicted, x.clockBounded = b.HasMin, b.Contradicted, b.HasMax
	x.cfg.Log.Info("fleet's clock", append([]zap.Field{zap.Bool("doubted", b.Contradicted), zap.Int("epoch", epoch)}, clockFields("", b, x.cfg.Clock.Now())...)...)
	e := endpointList{}
	for _, m := range x.listed {
		e.hosts = append(e.hosts, m)
	}
	x.handleMembers(e)
}

// forgetHost drops a host that was removed more than forgetRemovedAfter ago.
func (x *Exchange) forgetHost(now time.Duration, server string) {
	at, notified := x.sendDeadlines.notifiedAt(server)
	if !notified || now-at <= forgetRemovedAfter || x.sendDeadlines.deadline(server) == draining.Open {
		return
	}
	delete(x.listed, server)
	x.sendDeadlines.forget(server)
	if x.cfg.Gossip != nil {
		x.cfg.Gossip.RemoveHost(server)
	}
	x.hosts.Forget(server)
}

// updateSendDeadlines passes the send deadlines that a settings update has changed to the module.
func (x *Exchange) updateSendDeadlines() {
	ev := balance.Members{}
	for _, m := range x.listed {
		if m.State != balance.Active {
			ev.List = append(ev.List, x.moduleMember(m))
		}
	}
	x.decide(ev)
}

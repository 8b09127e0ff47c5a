package exchange

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/control/gossip"
	"yokemast/internal/memory/counters"
)

// newPair returns an exchange with a listed primary p and a replica r. The test calls its handlers directly
// instead of Run.
func newPair(t *testing.T, clock Clock) (*Exchange, *hosts) {
	t.Helper()
	read := balance.Class{LatencyTarget: time.Minute, Deadline: time.Minute}
	view, own, order := read, read, read
	view.Name, view.Need, view.Bound = "view", balance.Bounded, time.Second
	own.Name, own.Need = "own", balance.Session
	order.Name, order.Need, order.Effect = "order", balance.Write, balance.Unsafe
	x, err := New(Config{Clock: clock, Log: zap.NewNop(), Counters: &counters.Set{}, Settings: balance.Settings{Probes: true, RetryAfter: true,
		TokensCarried: true, MaxRetryAfter: time.Second, DrainGrace: time.Second, Classes: []balance.Class{view, own, order}}})
	if err != nil {
		t.Fatal(err)
	}
	h := &hosts{}
	x.hosts = h
	x.sendDeadlines.setHosts(h)
	list := endpointList{snapshot: true}
	for _, id := range []string{"p", "r"} {
		list.hosts = append(list.hosts, Member{Address: "h:1", Member: balance.Member{Server: id, Group: 1, Primary: id == "p", Weight: 1}})
	}
	applyList(x, clock.Now(), list)
	return x, h
}

// request submits a request and returns the attempt that it results in, or nil.
func (h *hosts) request(x *Exchange, class string, after time.Duration) *Attempt {
	sent := len(h.sent)
	x.handle(x.cfg.Clock.Now(), &Request{ID: fmt.Sprint("request ", x.cfg.Counters.Taken.Get()), Class: class, Group: 1, Arrived: x.cfg.Clock.Now(), After: after,
		Write: class == "order", Answer: make(chan Answer, 1)})
	if len(h.sent) == sent {
		return nil
	}
	return &h.sent[len(h.sent)-1]
}

// handleStatement handles a statement that a host makes now.
func handleStatement(x *Exchange, server string, role balance.Role, position time.Duration) {
	now := x.cfg.Clock.Now()
	x.handle(now, hostStatement{balance.RemoteOutcome{Server: server, Result: balance.OK, Role: role, Position: position},
		balance.TimeBounds{NotBefore: now, NotAfter: now, Epoch: x.clockEpoch}, balance.Report{}})
}

// knownClock returns a clock that is known to agree with the fleet's.
func knownClock() Clock {
	c := NewClock()
	c.Inherit(c.Now(), fleetclock.Interval{})
	return c
}

// A module that replaces one that panicked keeps the hosts' own statements, so that the endpoint list does not
// override them.
func TestEvidenceSurvivesPanic(t *testing.T) {
	x, h := newPair(t, knownClock())
	handleStatement(x, "p", balance.Replica, 0)
	x.restart()
	if a := h.request(x, "own", x.cfg.Clock.Now()); a != nil {
		t.Errorf("a read is sent to %s on %+v, want it held", a.Server, a.Grounds)
	}
	handleStatement(x, "r", balance.Primary, 0)
	x.restart()
	if a := h.request(x, "own", x.cfg.Clock.Now()); a == nil || a.Server != "r" || a.Grounds.Kind != balance.PrimaryStatement {
		t.Errorf("a read is sent as %+v, want it sent to r on its statement", a)
	}
}

// proveBehind lets answers of two primaries at different times prove that the clock is behind the fleet's by
// the given time.
func proveBehind(clock Clock, by time.Duration) {
	now := clock.Now()
	for i, host := range []string{"p", "q", "p", "q"} {
		at := now + time.Duration(i-4)*20*time.Millisecond
		clock.Observe(fleetclock.Observation{Host: host, PrimaryPosition: at + by, Sent: at, Received: at})
	}
}

// Answers prove that the clock was behind. Data must count as older at once, also for reads that were already
// decided on, and statements dated by the wrong clock must be dropped. Positions are by the fleet's clock and
// are kept.
func TestReplacedClockAgesData(t *testing.T) {
	clock := knownClock()
	x, h := newPair(t, clock)
	x.checkClock()
	now := clock.Now()
	handleStatement(x, "r", balance.Replica, now-600*time.Millisecond) // the class's bound is 1 s
	a := h.request(x, "view", 0)
	if a == nil || a.Server != "r" || a.Grounds.Kind != balance.ByPosition || a.Grounds.Expired(clock.Now(), clock.ForModule()) {
		t.Fatalf("a read is sent as %+v, want it sent to r on its position", a)
	}
	proveBehind(clock, 600*time.Millisecond)
	if clock.Epoch() == 0 {
		t.Fatal("the interval of the clock is not replaced")
	}
	if !a.Grounds.Expired(clock.Now(), clock.ForModule()) {
		t.Error("a read that was decided on before may still be sent")
	}
	x.checkClock()
	// A statement that was dated in the previous epoch is handled in the new one.
	dated := clock.Now() // after all other statements of r
	x.handle(dated, hostStatement{balance.RemoteOutcome{Server: "r", Result: balance.OK, Role: balance.Primary}, balance.TimeBounds{NotBefore: dated,
		NotAfter: dated, Epoch: x.clockEpoch - 1}, balance.Report{}})
	x.router.Views(clock.Now(), func(s balance.MemberView) {
		if s.PrimaryNotBefore > 0 {
			t.Errorf("%s counts as primary by a statement that the wrong clock dated", s.Server)
		}
	})
	if a := h.request(x, "view", 0); a != nil && a.Grounds.Kind != balance.PresumedPrimary {
		t.Errorf("a read is sent to %s on %+v, want none, or one to a presumed primary", a.Server, a.Grounds)
	}
	handleStatement(x, "r", balance.Replica, clock.Now()+500*time.Millisecond)
	if a := h.request(x, "view", 0); a == nil || a.Server != "r" || a.Grounds.Kind != balance.ByPosition {
		t.Errorf("with a recent position of r a read is sent as %+v", a)
	}
}

// A single answer that contradicts the known offset must remove the upper bound at once.
func TestContradictionRemovesUpperBound(t *testing.T) {
	clock := knownClock()
	x, h := newPair(t, clock)
	x.checkClock()
	handleStatement(x, "r", balance.Replica, clock.Now())
	now := clock.Now()
	clock.Observe(fleetclock.Observation{Host: "r", Position: now + time.Second, Sent: now, Received: now})
	x.checkClock()
	if a := h.request(x, "view", 0); a != nil && a.Grounds.Kind == balance.ByPosition {
		t.Errorf("a read is sent to %s on a position whose age is unbounded", a.Server)
	}
}

// The position that a read must see and the positions of logs are both by the fleet's clock, so they can be
// compared without knowing the local clock's offset.
func TestSessionReadNeedsNoClock(t *testing.T) {
	clock := NewClock()
	x, h := newPair(t, clock)
	wrote := clock.Now() - 5*time.Second + time.Hour // the clock is an hour behind
	first := h.request(x, "own", wrote)
	if first == nil || first.Server != "p" {
		t.Fatalf("the read is sent as %+v, want it sent to p", first)
	}
	handleStatement(x, "r", balance.Replica, wrote) // hosts round up the position of a commit, so this log may end before it
	if a := h.request(x, "own", wrote); a != nil && a.Server == "r" {
		t.Error("the read is sent to a replica that lacks the write")
	}
	clock.Inherit(clock.Now(), fleetclock.Interval{Min: time.Hour, Max: time.Hour})
	x.checkClock()
	if a := h.request(x, "own", wrote); a != nil && a.Server == "r" {
		t.Error("once the clock is known the read is sent to a replica that lacks the write")
	}
	handleStatement(x, "r", balance.Replica, wrote+time.Millisecond)
	if a := h.request(x, "own", wrote); a == nil || a.Server != "r" {
		t.Errorf("the read is sent as %+v, want it sent to the replica that has the write", a)
	}
}

// The statement that a host is a replica takes effect also while the offset of the clock is unknown.
func TestReplicaStatementWithUnknownClock(t *testing.T) {
	x, h := newPair(t, NewClock())
	x.handle(x.cfg.Clock.Now(), hostStatement{balance.RemoteOutcome{Server: "p", Result: balance.OK, Role: balance.Replica},
		balance.TimeBounds{NotAfter: x.cfg.Clock.Now()}, balance.Report{}})
	if a := h.request(x, "own", x.cfg.Clock.Now()); a != nil {
		t.Errorf("a read is sent to %s on %+v, want it held", a.Server, a.Grounds)
	}
}

// A host's statement in an answer is gossiped once, with the outcome. Results of clock probes are not gossiped.
func TestReplicaStatementIsGossipedOnce(t *testing.T) {
	x, h := newPair(t, knownClock())
	x.cfg.Gossip = gossip.New(gossip.Config{Gateways: 3, Classes: x.cfg.Settings.Classes, Burst: 1e6})
	x.cfg.Gossip.AddHost("p")
	x.cfg.Gossip.AddHost("r")
	now := x.cfg.Clock.Now()
	a := h.request(x, "order", 0)
	statement := balance.RemoteOutcome{Server: a.Server, Result: balance.OK, Role: balance.Replica, Source: balance.FromPartialAnswer}
	x.handle(now, hostStatement{statement, balance.TimeBounds{NotAfter: now, Epoch: x.clockEpoch}, balance.Report{}})
	x.handle(now, Outcome{Outcome: balance.Outcome{ID: a.ID, Attempt: a.Number, Server: a.Server, Result: balance.Misdirected, Role: balance.Replica,
		StatedAt: balance.TimeBounds{NotBefore: now, NotAfter: now, Epoch: x.clockEpoch}}})
	x.clockProbes = map[string]bool{"r": true}
	x.handle(now, balance.ProbeResult{Server: "r", Result: balance.OK, StatedAt: balance.TimeBounds{NotAfter: now, Epoch: x.clockEpoch}})
	other := gossip.New(gossip.Config{Gateways: 3, Classes: x.cfg.Settings.Classes})
	other.AddHost("p")
	other.AddHost("r")
	entries, err := other.Receive(x.cfg.Clock.Now(), x.gossipOffsets(), x.cfg.Gossip.AppendMessage(x.cfg.Clock.Now(), x.gossipOffsets(), nil), nil)
	if err != nil || len(entries) != 1 || entries[0].Class != "order" || entries[0].Role != balance.Replica {
		t.Errorf("gossiped %+v, %v, want one entry of class order with the replica role", entries, err)
	}
}

// The new process of a hot restart takes the interval of the clock for proven, so a contradicted one is not
// handed over.
func TestContradictedClockIsNotHandedOver(t *testing.T) {
	clock := knownClock()
	x, _ := newPair(t, clock)
	if !x.handoverState().ClockKnown {
		t.Fatal("a known clock is not handed over")
	}
	now := clock.Now()
	clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now - time.Second, Sent: now, Received: now})
	if b := clock.Bounds(); !b.HasMax || !b.Contradicted {
		t.Fatalf("bounds %+v, want bounded and contradicted", b)
	}
	if x.handoverState().ClockKnown {
		t.Error("a contradicted clock is handed over")
	}
}

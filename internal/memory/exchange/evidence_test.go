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

// pair is an exchange that is driven by hand, with a listed primary p and a replica r.
func pair(t *testing.T, clock Clock) (*Exchange, *hosts) {
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
	x.bounds.serve(h)
	list := members{whole: true}
	for _, id := range []string{"p", "r"} {
		list.list = append(list.list, Member{Address: "h:1", Member: balance.Member{Server: id, Group: 1, Primary: id == "p", Weight: 1}})
	}
	take(x, clock.Now(), list)
	return x, h
}

// ask sends a request and gives the attempt that it leads to, if any.
func (h *hosts) ask(x *Exchange, class string, after time.Duration) *Attempt {
	sent := len(h.sent)
	x.handle(x.cfg.Clock.Now(), &Request{ID: fmt.Sprint("request ", x.cfg.Counters.Taken.Get()), Class: class, Group: 1, Arrived: x.cfg.Clock.Now(), After: after,
		Write: class == "order", Answer: make(chan Answer, 1)})
	if len(h.sent) == sent {
		return nil
	}
	return &h.sent[len(h.sent)-1]
}

// learn has a host say something of itself just now.
func learn(x *Exchange, server string, role balance.Role, position time.Duration) {
	now := x.cfg.Clock.Now()
	x.handle(now, learning{balance.RemoteOutcome{Server: server, Result: balance.OK, Role: role, Position: position},
		balance.TimeBounds{NotBefore: now, NotAfter: now, Epoch: x.clockEpoch}, balance.Report{}})
}

// known is a clock that is known to be right.
func known() Clock {
	c := NewClock()
	c.Inherit(c.Now(), fleetclock.Interval{})
	return c
}

// A module that takes the place of one that panicked knows what hosts said of themselves: the list's word is not believed against it.
func TestAPanicForgetsNoEvidence(t *testing.T) {
	x, h := pair(t, known())
	learn(x, "p", balance.Replica, 0)
	x.restart()
	if a := h.ask(x, "own", x.cfg.Clock.Now()); a != nil {
		t.Errorf("a read goes to %s on %+v", a.Server, a.Grounds)
	}
	learn(x, "r", balance.Primary, 0)
	x.restart()
	if a := h.ask(x, "own", x.cfg.Clock.Now()); a == nil || a.Server != "r" || a.Grounds.Kind != balance.PrimaryStatement {
		t.Errorf("a read goes to %+v", a)
	}
}

// behind lets answers of two primaries, which lie apart, show that the clock is behind the fleet's by so much.
func behind(clock Clock, by time.Duration) {
	now := clock.Now()
	for i, host := range []string{"p", "q", "p", "q"} {
		at := now + time.Duration(i-4)*20*time.Millisecond
		clock.Observe(fleetclock.Observation{Host: host, PrimaryPosition: at + by, Sent: at, Received: at})
	}
}

// Answers show that the clock was behind: at once data is as much older, also for a read that was decided on before, and a word that was
// dated by the wrong clock is dropped. A position is the fleet's and stays.
func TestDataIsOlderAsSoonAsTheClockTurnsOutBehind(t *testing.T) {
	clock := known()
	x, h := pair(t, clock)
	x.noticeClock()
	now := clock.Now()
	learn(x, "r", balance.Replica, now-600*time.Millisecond) // of a bound of 1 s
	a := h.ask(x, "view", 0)
	if a == nil || a.Server != "r" || a.Grounds.Kind != balance.ByPosition || a.Grounds.Expired(clock.Now(), clock.ForModule()) {
		t.Fatalf("a read goes to %+v", a)
	}
	behind(clock, 600*time.Millisecond)
	if clock.Epoch() == 0 {
		t.Fatal("the clock is not replaced")
	}
	if !a.Grounds.Expired(clock.Now(), clock.ForModule()) {
		t.Error("a read that was decided on before may still go out")
	}
	x.noticeClock()
	// What was dated before is handled after.
	dated := clock.Now() // after all that r said
	x.handle(dated, learning{balance.RemoteOutcome{Server: "r", Result: balance.OK, Role: balance.Primary}, balance.TimeBounds{NotBefore: dated,
		NotAfter: dated, Epoch: x.clockEpoch - 1}, balance.Report{}})
	x.router.Views(clock.Now(), func(s balance.MemberView) {
		if s.PrimaryNotBefore > 0 {
			t.Errorf("%s leads by a word that the wrong clock dated", s.Server)
		}
	})
	if a := h.ask(x, "view", 0); a != nil && a.Grounds.Kind != balance.PresumedPrimary {
		t.Errorf("a read goes to %s on %+v", a.Server, a.Grounds)
	}
	learn(x, "r", balance.Replica, clock.Now()+500*time.Millisecond)
	if a := h.ask(x, "view", 0); a == nil || a.Server != "r" || a.Grounds.Kind != balance.ByPosition {
		t.Errorf("with a position of lately a read goes to %+v", a)
	}
}

// One answer that contradicts what is known has the safe end hold at once.
func TestOneContradictionTakesTheSafeEnd(t *testing.T) {
	clock := known()
	x, h := pair(t, clock)
	x.noticeClock()
	learn(x, "r", balance.Replica, clock.Now())
	now := clock.Now()
	clock.Observe(fleetclock.Observation{Host: "r", Position: now + time.Second, Sent: now, Received: now})
	x.noticeClock()
	if a := h.ask(x, "view", 0); a != nil && a.Grounds.Kind == balance.ByPosition {
		t.Errorf("a read goes to %s on a position while nothing bounds its age", a.Server)
	}
}

// A position that a read must see is the fleet's, as those of logs are: no clock is needed to compare them.
func TestAnOwnReadNeedsNoClock(t *testing.T) {
	clock := NewClock()
	x, h := pair(t, clock)
	wrote := clock.Now() - 5*time.Second + time.Hour // the clock is an hour behind
	first := h.ask(x, "own", wrote)
	if first == nil || first.Server != "p" {
		t.Fatalf("it goes to %+v", first)
	}
	learn(x, "r", balance.Replica, wrote) // a commit is told rounded up: its log may end before
	if a := h.ask(x, "own", wrote); a != nil && a.Server == "r" {
		t.Error("it goes to a replica that lacks the write")
	}
	clock.Inherit(clock.Now(), fleetclock.Interval{Min: time.Hour, Max: time.Hour})
	x.noticeClock()
	if a := h.ask(x, "own", wrote); a != nil && a.Server == "r" {
		t.Error("it goes to a replica that lacks the write once the clock is known")
	}
	learn(x, "r", balance.Replica, wrote+time.Millisecond)
	if a := h.ask(x, "own", wrote); a == nil || a.Server != "r" {
		t.Errorf("it goes to %+v, not to the replica that has the write", a)
	}
}

// That a host follows binds also before it is known how the clock stands.
func TestAFollowersWordBindsBeforeTheClockIsKnown(t *testing.T) {
	x, h := pair(t, NewClock())
	x.handle(x.cfg.Clock.Now(), learning{balance.RemoteOutcome{Server: "p", Result: balance.OK, Role: balance.Replica},
		balance.TimeBounds{NotAfter: x.cfg.Clock.Now()}, balance.Report{}})
	if a := h.ask(x, "own", x.cfg.Clock.Now()); a != nil {
		t.Errorf("a read goes to %s on %+v", a.Server, a.Grounds)
	}
}

// What a host says in an answer is told to the other gateways once, with the outcome; what is asked for the clock is not told.
func TestAFollowersWordIsToldOnce(t *testing.T) {
	x, h := pair(t, known())
	x.cfg.Gossip = gossip.New(gossip.Config{Gateways: 3, Classes: x.cfg.Settings.Classes, Burst: 1e6})
	x.cfg.Gossip.AddHost("p")
	x.cfg.Gossip.AddHost("r")
	now := x.cfg.Clock.Now()
	a := h.ask(x, "order", 0)
	word := balance.RemoteOutcome{Server: a.Server, Result: balance.OK, Role: balance.Replica, Source: balance.FromPartialAnswer}
	x.handle(now, learning{word, balance.TimeBounds{NotAfter: now, Epoch: x.clockEpoch}, balance.Report{}})
	x.handle(now, Outcome{Outcome: balance.Outcome{ID: a.ID, Attempt: a.Number, Server: a.Server, Result: balance.Misdirected, Role: balance.Replica,
		StatedAt: balance.TimeBounds{NotBefore: now, NotAfter: now, Epoch: x.clockEpoch}}})
	x.clockProbes = map[string]bool{"r": true}
	x.handle(now, balance.ProbeResult{Server: "r", Result: balance.OK, StatedAt: balance.TimeBounds{NotAfter: now, Epoch: x.clockEpoch}})
	other := gossip.New(gossip.Config{Gateways: 3, Classes: x.cfg.Settings.Classes})
	other.AddHost("p")
	other.AddHost("r")
	heard, err := other.Receive(x.cfg.Clock.Now(), x.gossipOffsets(), x.cfg.Gossip.AppendMessage(x.cfg.Clock.Now(), x.gossipOffsets(), nil), nil)
	if err != nil || len(heard) != 1 || heard[0].Class != "order" || heard[0].Role != balance.Replica {
		t.Errorf("told %+v, %v", heard, err)
	}
}

// A process that follows takes an interval for proven: one in doubt is not handed over.
func TestAClockInDoubtIsNotHandedOver(t *testing.T) {
	clock := known()
	x, _ := pair(t, clock)
	if !x.survey().ClockKnown {
		t.Fatal("a clock that is known is not handed over")
	}
	now := clock.Now()
	clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now - time.Second, Sent: now, Received: now})
	if b := clock.Bounds(); !b.HasMax || !b.Contradicted {
		t.Fatalf("bounds %+v", b)
	}
	if x.survey().ClockKnown {
		t.Error("a doubted one is")
	}
}

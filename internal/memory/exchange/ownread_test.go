package exchange

import (
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

// A module that takes the place of one that panicked has no memory of what sessions wrote.
func TestAnOwnReadAfterAPanicSeesWhatWasWrittenBefore(t *testing.T) {
	x, h := pair(t, known())
	s := x.cfg.Settings
	s.TokensCarried = false
	x.retune(s)
	x.settle(x.cfg.Clock.Now() + 2*SettleAfter)
	learn(x, "p", balance.Primary, x.cfg.Clock.Now())
	write := h.ask(x, "order", 0)
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: write.ID, Server: "p", Result: balance.OK, Role: balance.Primary,
		Position: x.cfg.Clock.Now(), Final: true}})
	learn(x, "r", balance.Replica, x.newest-time.Millisecond)
	x.restart()
	if read := h.ask(x, "own", 0); read == nil || read.Server != "p" {
		t.Errorf("a read of the session is sent as %+v, want one to the primary", read)
	}
}

// The first answer of a primary was slow on its way back, so that positions seem to lie ahead of this clock.
func TestAnOwnReadIsNotServedByAReplicaBehindItAfterASlowFirstAnswer(t *testing.T) {
	for name, way := range map[string]time.Duration{"a slow answer": 40 * time.Millisecond, "a quick answer": 0} {
		t.Run(name, func(t *testing.T) {
			clock := NewClock()
			x, h := pair(t, clock)
			now := clock.Now()
			clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now - way, Sent: now - way, Received: now})
			x.noticeClock()
			learn(x, "p", balance.Replica, 0)
			stopped := clock.Now()
			time.Sleep(5 * time.Millisecond)
			if a := h.ask(x, "own", stopped+3*time.Millisecond); a != nil {
				t.Fatalf("it goes to %s on %+v", a.Server, a.Grounds)
			}
			time.Sleep(350 * time.Millisecond) // until replicas are asked, too
			learn(x, "r", balance.Replica, stopped)
			if n := len(h.sent); n > 0 {
				t.Errorf("it goes to %s, which is 3 ms behind it, on %+v; offset %+v", h.sent[0].Server, h.sent[0].Grounds, clock.Offset())
			}
		})
	}
}

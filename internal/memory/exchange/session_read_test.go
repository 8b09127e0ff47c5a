package exchange

import (
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

// A module that replaces one that panicked does not know the positions of sessions' writes.
func TestSessionReadAfterPanic(t *testing.T) {
	x, h := newPair(t, knownClock())
	s := x.cfg.Settings
	s.TokensCarried = false
	x.updateSettings(s)
	x.settleSettings(x.cfg.Clock.Now() + 2*SettleAfter)
	handleStatement(x, "p", balance.Primary, x.cfg.Clock.Now())
	write := h.request(x, "order", 0)
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: write.ID, Server: "p", Result: balance.OK, Role: balance.Primary,
		Position: x.cfg.Clock.Now(), Final: true}})
	handleStatement(x, "r", balance.Replica, x.newestWrite-time.Millisecond)
	x.restart()
	if read := h.request(x, "own", 0); read == nil || read.Server != "p" {
		t.Errorf("a read of the session is sent as %+v, want it sent to the primary", read)
	}
}

// The first answer of a primary was delayed on its way back. Dated by its arrival it would put the fleet's clock
// behind the local one, and later positions would seem to be ahead of the fleet's clock. A replica that lacks
// the session's write must not serve the read because of that.
func TestSessionReadAfterSlowFirstAnswer(t *testing.T) {
	for name, way := range map[string]time.Duration{"a slow answer": 40 * time.Millisecond, "a quick answer": 0} {
		t.Run(name, func(t *testing.T) {
			clock := NewClock()
			x, h := newPair(t, clock)
			now := clock.Now()
			clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now - way, Sent: now - way, Received: now})
			x.checkClock()
			handleStatement(x, "p", balance.Replica, 0)
			stopped := clock.Now()
			time.Sleep(5 * time.Millisecond)
			if a := h.request(x, "own", stopped+3*time.Millisecond); a != nil {
				t.Fatalf("the read is sent to %s on %+v, want it held", a.Server, a.Grounds)
			}
			time.Sleep(350 * time.Millisecond) // until replicas are considered, too
			handleStatement(x, "r", balance.Replica, stopped)
			if n := len(h.sent); n > 0 {
				t.Errorf("the read is sent to %s, which is 3 ms behind it, on %+v; offset %+v", h.sent[0].Server, h.sent[0].Grounds, clock.Offset())
			}
		})
	}
}

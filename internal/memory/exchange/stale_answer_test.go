package exchange

import (
	"testing"
	"time"

	"yokemast/balance"
)

// A read must not be served if the position in its own answer shows that the data was older than allowed.
func TestStaleAnswerIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		class   string
		age     time.Duration // of the answer's position when the read was sent
		expired bool
	}{
		"bounded, inside":         {"view", 900 * time.Millisecond, false},
		"bounded, too old":        {"view", 1200 * time.Millisecond, true},
		"session, not far enough": {"own", 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			x, h := newPair(t, knownClock())
			handleStatement(x, "r", balance.Replica, x.cfg.Clock.Now())
			answer := make(chan Answer, 1)
			now := x.cfg.Clock.Now()
			after := time.Duration(0)
			if c.class == "own" {
				after = now - time.Second
			}
			x.handle(now, &Request{ID: "read", Class: c.class, Group: 1, Arrived: now, After: after, Answer: answer})
			if len(h.sent) != 1 || h.sent[0].Server != "r" || h.sent[0].Demand == (balance.Demand{}) {
				t.Fatalf("sent %+v, want one attempt to r with a demand", h.sent)
			}
			sent := h.sent[0].Sent
			x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: "read", Server: "r", Result: balance.OK, Role: balance.Replica,
				Position: sent - c.age, StatedAt: balance.TimeBounds{NotBefore: sent, NotAfter: sent, Epoch: x.clockEpoch}}})
			select {
			case a := <-answer:
				if served := a.Kind == Served; served == c.expired {
					t.Errorf("served %t", served)
				}
			default:
				if !c.expired {
					t.Error("no answer")
				}
			}
		})
	}
}

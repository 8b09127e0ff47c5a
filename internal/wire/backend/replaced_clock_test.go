package backend

import (
	"net"
	"syscall"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

func TestAttemptNotSentAfterClockReplaced(t *testing.T) {
	r := newFixture(t, func(c net.Conn, _ int64) { _, _ = c.Write(append(role("follower"), row()...)) })
	r.clock.Inherit(r.clock.Now(), fleetclock.Interval{})
	epoch := r.clock.Epoch()
	r.b.cfg.DialControl = func(string, string, syscall.RawConn) error { // while the connection comes up
		for now := r.clock.Now(); r.clock.Epoch() == epoch; now += time.Millisecond {
			r.clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now + time.Hour, Sent: now, Received: now})
		}
		return nil
	}
	now := r.clock.Now()
	r.send("a", balance.Grounds{Kind: balance.ByPosition, Position: now, SendBy: now + time.Minute, AgeOffset: r.clock.ForModule().AgeOffset})
	if o := wait(t, r.outcomes, "the outcome"); o.Result != balance.NotSent {
		t.Errorf("result %v, want NotSent", o.Result)
	}
}

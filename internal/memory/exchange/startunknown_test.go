package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"yokemast/balance"
)

func TestAHostThatStartsLaterIsColdThoughNoHostHasToldAPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		x, _ := pair(t, clock)
		time.Sleep(time.Minute)
		now := clock.Now()
		take(x, now, members{list: []Member{{Address: "h:1", Member: balance.Member{Server: "r", Group: 1, Weight: 1, Started: now}}}})
		x.router.Look(now, func(s balance.Seen) {
			if s.Server == "r" && s.Started < now {
				t.Errorf("a host that was listed as just started counts as started %s ago", now-s.Started)
			}
		})
	})
}

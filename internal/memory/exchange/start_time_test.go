package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"yokemast/balance"
)

// While no position is known, a host that starts later must still count as just started.
func TestLateStartIsColdWithoutPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		x, _ := newPair(t, clock)
		time.Sleep(time.Minute)
		now := clock.Now()
		applyList(x, now, endpointList{hosts: []Member{{Address: "h:1", Member: balance.Member{Server: "r", Group: 1, Weight: 1, Started: now}}}})
		x.router.Views(now, func(s balance.MemberView) {
			if s.Server == "r" && s.Started < now {
				t.Errorf("a host that was listed as just started counts as started %s ago", now-s.Started)
			}
		})
	})
}

// An outdated list must not move a known start to an earlier time.
func TestOutdatedListKeepsStart(t *testing.T) {
	x, _, _ := newSingle(t)
	host := singleList(balance.Active).hosts[0]
	for i, started := range []time.Duration{x.processStart, 0, x.processStart - time.Hour} {
		host.Started = started
		x.handle(x.processStart, x.sendDeadlines.apply(List{Agent: "a", At: x.processStart, Hosts: []Member{host}, inherited: i == 0}))
		x.router.Views(x.cfg.Clock.Now(), func(s balance.MemberView) {
			if s.Started < x.processStart {
				t.Errorf("a host with a known start counts as started %s before it after a list with start %s", x.processStart-s.Started, started)
			}
		})
	}
}

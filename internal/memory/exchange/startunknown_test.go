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
		x.router.Views(now, func(s balance.MemberView) {
			if s.Server == "r" && s.Started < now {
				t.Errorf("a host that was listed as just started counts as started %s ago", now-s.Started)
			}
		})
	})
}

func TestAListThatIsBehindTakesNoStartBack(t *testing.T) {
	x, _, _ := fresh(t)
	host := only(balance.Active).list[0]
	for i, started := range []time.Duration{x.begunAt, 0, x.begunAt - time.Hour} {
		host.Started = started
		x.handle(x.begunAt, x.bounds.take(List{Agent: "a", At: x.begunAt, Hosts: []Member{host}, inherited: i == 0}))
		x.router.Views(x.cfg.Clock.Now(), func(s balance.MemberView) {
			if s.Started < x.begunAt {
				t.Errorf("a host whose start was told counts as started %s before it once a list tells %s", x.begunAt-s.Started, started)
			}
		})
	}
}

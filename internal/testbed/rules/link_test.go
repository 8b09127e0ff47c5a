package rules

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// What a gateway sends over a link counts when it is written, whenever it comes to the host; "": nothing is broken.
func TestWhatALinkDelaysCountsWhereTheGatewayStands(t *testing.T) {
	open, closed := func() bool { return true }, func() bool { return false }
	send := func(l *Ledger, host string, open func() bool) { l.SentTo(host, "a", time.Now(), time.Now(), open) }
	arrive := func(l *Ledger, host string) { time.Sleep(10 * time.Second); l.ArrivedOn(host, "a", 0, open) }
	for name, c := range map[string]struct {
		want string
		do   func(l *Ledger)
	}{
		"comes long after a drain": {"", func(l *Ledger) { l.Notified("n", "h", time.Now()); send(l, "h", open); arrive(l, "h") }},
		"is sent long after a drain": {"notified that it drains", func(l *Ledger) {
			l.Notified("n", "h", time.Now().Add(-1100*time.Millisecond))
			send(l, "h", open)
		}},
		"begins in time for a drain": {"", func(l *Ledger) {
			l.Notified("n", "h", time.Now())
			l.SentTo("h", "a", time.Now(), time.Now().Add(2*time.Second), open)
		}},
		"comes long after its client left": {"", func(l *Ledger) { l.Disconnected("a"); send(l, "h", open); arrive(l, "h") }},
		"is sent long after its client left": {"after its client left", func(l *Ledger) {
			l.Disconnected("a")
			time.Sleep(151 * time.Millisecond)
			send(l, "h", open)
		}},
		"comes again late, sent in time": {"", func(l *Ledger) { send(l, "h", closed); send(l, "i", open); arrive(l, "h"); arrive(l, "i") }},
		"is sent again late": {"comes again to i", func(l *Ledger) {
			send(l, "h", closed)
			time.Sleep(1100 * time.Millisecond)
			send(l, "i", open)
		}},
		"is out twice before it comes": {"is out at h and at i", func(l *Ledger) { send(l, "h", open); send(l, "i", open) }},
		"is out while its answer is on its way": {"is out at h and at i", func(l *Ledger) {
			send(l, "h", open)
			l.Over("h", "a")
			send(l, "i", open)
		}},
		"is seen late, given up before it went again": {"", func(l *Ledger) { send(l, "h", open); send(l, "i", closed) }},
		"is out once more after one that was seen late": {"is out at h and at j", func(l *Ledger) {
			send(l, "h", open)
			send(l, "i", closed)
			send(l, "j", open)
		}},
		"has been answered": {"", func(l *Ledger) { send(l, "h", open); l.Delivering("h", "a"); send(l, "i", open) }},
		"reads data as old as when it was sent": {"", func(l *Ledger) {
			position := time.Now()
			send(l, "h", open)
			time.Sleep(time.Second)
			l.Read("h", "a", time.Now(), position, 500*time.Millisecond)
		}},
		"reads data too old when it was sent": {"data 100ms too old", func(l *Ledger) {
			position := time.Now().Add(-600 * time.Millisecond)
			send(l, "h", open)
			time.Sleep(time.Second)
			l.Read("h", "a", time.Now(), position, 500*time.Millisecond)
		}},
		"knows a word that was held only once it has it": {"", func(l *Ledger) {
			l.Leadership("h", Leads)
			l.Leadership("h", Deposed)
			time.Sleep(time.Second)
			send(l, "h", closed)
			l.AnsweredAsFollower("h", "a")
			time.Sleep(time.Second)
			l.FollowerDelivered("n", "h", time.Now().Add(-time.Second))
			send(l, "h", open)
			l.Read("h", "a", time.Now(), time.Now().Add(-time.Minute), 0)
		}},
		"knows a word that was held": {"data 1m0s too old", func(l *Ledger) {
			l.Leadership("h", Leads)
			l.Leadership("h", Deposed)
			time.Sleep(time.Second)
			l.FollowerDelivered("n", "h", time.Now().Add(-500*time.Millisecond))
			time.Sleep(time.Second)
			send(l, "h", open)
			l.Read("h", "a", time.Now(), time.Now().Add(-time.Minute), 0)
		}},
		"has a word from before the host led": {"", func(l *Ledger) {
			made := time.Now()
			time.Sleep(time.Second)
			l.Leadership("h", Leads)
			l.Leadership("h", Deposed)
			time.Sleep(time.Second)
			l.FollowerDelivered("n", "h", made)
			time.Sleep(time.Second)
			send(l, "h", open)
			l.Read("h", "a", time.Now(), time.Now().Add(-time.Minute), 0)
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := &Ledger{Limits: Limits{Grace: time.Second, DisconnectGrace: 100 * time.Millisecond, Window: time.Second,
				Slack: 50 * time.Millisecond, KnownWithin: 100 * time.Millisecond}}
			l.SentVia("a", "n")
			l.of("a").write = true
			c.do(l)
			got := strings.Join(l.Violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("a request that %s: got %q, want %q", name, got, c.want)
			}
		})
	}
}

package rules

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// An attempt over a link counts when the gateway has written it. Checks that use its arrival at the host would blame the
// gateway for the link's delays.
func TestAttemptsOverLinksCountWhenWritten(t *testing.T) {
	open, closed := func() bool { return true }, func() bool { return false }
	send := func(l *Ledger, host string, open func() bool) { l.SentTo(host, "a", time.Now(), time.Now(), open) }
	arrive := func(l *Ledger, host string) { time.Sleep(10 * time.Second); l.ArrivedOnConn(host, "a", 0, open) }
	for name, c := range map[string]struct {
		want string // part of the violation, or empty for none
		do   func(l *Ledger)
	}{
		"arrives long after a drain": {"", func(l *Ledger) { l.Notified("n", "h", time.Now()); send(l, "h", open); arrive(l, "h") }},
		"is sent long after a drain": {"notified of the drain", func(l *Ledger) {
			l.Notified("n", "h", time.Now().Add(-1100*time.Millisecond))
			send(l, "h", open)
		}},
		"begins within the drain's grace": {"", func(l *Ledger) {
			l.Notified("n", "h", time.Now())
			l.SentTo("h", "a", time.Now(), time.Now().Add(2*time.Second), open)
		}},
		"arrives long after its client disconnected": {"", func(l *Ledger) { l.Disconnected("a"); send(l, "h", open); arrive(l, "h") }},
		"is sent long after its client disconnected": {"after its client disconnected", func(l *Ledger) {
			l.Disconnected("a")
			time.Sleep(151 * time.Millisecond)
			send(l, "h", open)
		}},
		"is retried within the window and arrives late": {"", func(l *Ledger) { send(l, "h", closed); send(l, "i", open); arrive(l, "h"); arrive(l, "i") }},
		"is retried after the window": {"was retried at i", func(l *Ledger) {
			send(l, "h", closed)
			time.Sleep(1100 * time.Millisecond)
			send(l, "i", open)
		}},
		"is in flight twice before it arrives": {"is in flight at h and at i", func(l *Ledger) { send(l, "h", open); send(l, "i", open) }},
		"is in flight while the link carries its answer": {"is in flight at h and at i", func(l *Ledger) {
			send(l, "h", open)
			l.AttemptEnded("h", "a")
			send(l, "i", open)
		}},
		"is seen late and was abandoned before its retry": {"", func(l *Ledger) { send(l, "h", open); send(l, "i", closed) }},
		"is in flight again after an attempt that was seen late": {"is in flight at h and at j", func(l *Ledger) {
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
		"is sent before a delayed follower statement counts as known": {"", func(l *Ledger) {
			l.Leadership("h", Leads)
			l.Leadership("h", Deposed)
			time.Sleep(time.Second)
			send(l, "h", closed)
			l.FollowerAnswered("h", "a")
			time.Sleep(time.Second)
			l.FollowerDelivered("n", "h", time.Now().Add(-time.Second))
			send(l, "h", open)
			l.Read("h", "a", time.Now(), time.Now().Add(-time.Minute), 0)
		}},
		"is sent after a delayed follower statement is known": {"data 1m0s too old", func(l *Ledger) {
			l.Leadership("h", Leads)
			l.Leadership("h", Deposed)
			time.Sleep(time.Second)
			l.FollowerDelivered("n", "h", time.Now().Add(-500*time.Millisecond))
			time.Sleep(time.Second)
			send(l, "h", open)
			l.Read("h", "a", time.Now(), time.Now().Add(-time.Minute), 0)
		}},
		"follows a follower statement from before the host led": {"", func(l *Ledger) {
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
			l.request("a").write = true
			c.do(l)
			got := strings.Join(l.Violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("a request that %s: got %q, want %q", name, got, c.want)
			}
		})
	}
}

package backend

import (
	"net"
	"strconv"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// inUse returns the number of connections that carry a query or are being opened.
func inUse(b *Backend) (n int) {
	hosts, _, _ := b.Stats()
	for _, h := range hosts {
		n += h.Open - h.Idle + h.Opening
	}
	return n
}

func TestCancelRacingAnswerEndsAttemptOnce(t *testing.T) {
	values := [][]byte{make([]byte, 10), make([]byte, pg.SmallValue+1000)}
	r := newFixture(t, func(c net.Conn, n int64) {
		time.Sleep(time.Duration(n%7) * 20 * time.Microsecond)
		_, _ = c.Write(append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: values[n%2]}, ""))...))
	})
	release := func(o exchange.Outcome) {
		if rest := o.Value.(pg.Value).Stream; rest != nil {
			rest.Close()
		}
	}
	served, canceled, unsent := 0, 0, 0
	for n := range 400 {
		id := strconv.Itoa(n)
		r.send(id, balance.Grounds{})
		time.Sleep(time.Duration(n%13) * 50 * time.Microsecond)
		r.b.Cancel(id, 0)
		o := wait(t, r.outcomes, id)
		switch {
		case o.ID == id && o.Result == balance.OK:
			served++
			release(o)
		case o.ID == id && o.Result == balance.Canceled:
			canceled++
		case o.ID == id && o.Result == balance.NotSent: // earlier attempts have not released their connections yet
			unsent++
		default:
			t.Fatalf("attempt %s: %+v", id, o)
		}
	}
	for end := time.Now().Add(testTimeout); inUse(r.b) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	r.send("last", balance.Grounds{})
	if o := wait(t, r.outcomes, "the last outcome"); o.ID != "last" || o.Result != balance.OK {
		t.Errorf("the attempt after the canceled ones: %+v", o)
	} else {
		release(o)
	}
	if len(r.outcomes) > 0 {
		t.Errorf("unexpected outcome: %+v", <-r.outcomes)
	}
	t.Logf("%d served, %d canceled, %d not sent", served, canceled, unsent)
}

// A client may disconnect while the process is stalled before the write. Nothing must be sent for it then,
// and the connection must be kept for other requests.
func TestNothingWrittenForDisconnectedClient(t *testing.T) {
	r := newFixture(t, func(c net.Conn, _ int64) { _, _ = c.Write(row()) })
	for name, command := range map[string]any{"statement": plainCommand{outcomes(nil)}, "conversation": bulkyCommand{}} {
		now := r.clock.Now()
		r.b.Send(exchange.Attempt{ID: name, Server: "s", Command: command, Sent: now, Deadline: now + testTimeout, ClientDisconnected: func() bool { return true }})
		if o := wait(t, r.outcomes, name); o.Result != balance.NotSent {
			t.Errorf("%s: result %v, want NotSent", name, o.Result)
		}
	}
	now := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: "stays", Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + testTimeout, ClientDisconnected: func() bool { return false }})
	if o := wait(t, r.outcomes, "the last outcome"); o.Result != balance.OK || r.queries.Load() != 1 {
		t.Errorf("with a connected client: result %v after %d queries, want OK after 1", o.Result, r.queries.Load())
	}
	if hosts, _, _ := r.b.Stats(); hosts["s"].Open == 0 {
		t.Error("no connection was kept")
	}
}

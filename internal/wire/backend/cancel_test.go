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

// inUse is how many connections carry a query or are being opened.
func inUse(b *Backend) (n int) {
	hosts, _, _ := b.Stats()
	for _, h := range hosts {
		n += h.Open - h.Idle + h.Opening
	}
	return n
}

func TestACancelThatMeetsTheAnswerEndsAnAttemptOnce(t *testing.T) {
	values := [][]byte{make([]byte, 10), make([]byte, pg.SmallValue+1000)}
	r := newRig(t, func(c net.Conn, n int64) {
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
		case o.ID == id && o.Result == balance.NotSent: // those before have not given their connections back yet
			unsent++
		default:
			t.Fatalf("attempt %s: %+v", id, o)
		}
	}
	for end := time.Now().Add(soon); inUse(r.b) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	r.send("last", balance.Grounds{})
	if o := wait(t, r.outcomes, "the last outcome"); o.ID != "last" || o.Result != balance.OK {
		t.Errorf("an attempt after them: %+v", o)
	} else {
		release(o)
	}
	if len(r.outcomes) > 0 {
		t.Errorf("told more: %+v", <-r.outcomes)
	}
	t.Logf("%d served, %d canceled, %d not sent", served, canceled, unsent)
}

// A client may have left while the process was held up on its way to the write: nothing begins for it, and the connection serves others.
func TestNothingIsWrittenForAClientThatHasLeft(t *testing.T) {
	r := newRig(t, func(c net.Conn, _ int64) { _, _ = c.Write(row()) })
	for name, command := range map[string]any{"statement": plain{outcomes(nil)}, "conversation": bulky{}} {
		now := r.clock.Now()
		r.b.Send(exchange.Attempt{ID: name, Server: "s", Command: command, Sent: now, Deadline: now + soon, ClientDisconnected: func() bool { return true }})
		if o := wait(t, r.outcomes, name); o.Result != balance.NotSent {
			t.Errorf("%s: it ended with %v", name, o.Result)
		}
	}
	now := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: "stays", Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + soon, ClientDisconnected: func() bool { return false }})
	if o := wait(t, r.outcomes, "the last outcome"); o.Result != balance.OK || r.queries.Load() != 1 {
		t.Errorf("for a client that stays it ended with %v, after %d queries", o.Result, r.queries.Load())
	}
	if hosts, _, _ := r.b.Stats(); hosts["s"].Open == 0 {
		t.Error("no connection was kept")
	}
}

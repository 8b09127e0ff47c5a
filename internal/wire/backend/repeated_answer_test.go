package backend

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

func TestAnAnswerThatComesTwiceServesNoOtherRequest(t *testing.T) {
	answer := func(value string) []byte {
		return append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(value)}, ""))...)
	}
	r := newFixture(t, func(c net.Conn, n int64) {
		if n == 1 { // repeats the first answer after the connection's minimum rest
			_, _ = c.Write(answer("first"))
		}
		_, _ = c.Write(answer([]string{"first", "second"}[n]))
	})
	for _, id := range []string{"first", "second"} {
		r.send(id, balance.Grounds{})
		o := wait(t, r.outcomes, id)
		if o.Result != balance.OK {
			continue // the request may fail
		}
		if got := string(o.Value.(pg.Value).Data); got != id {
			t.Errorf("request %s is served with the answer of request %s", id, got)
		}
	}
}

// A repeated answer that arrives while the process is stalled before writing the next query is in the buffer
// before that query. It must not be taken for the query's answer.
func TestInputBeforeQueryIsNotItsAnswer(t *testing.T) {
	for reading := range int64(4) {
		t.Run(fmt.Sprint("stalled at clock reading ", reading+1), func(t *testing.T) {
			answer := func(value string) []byte {
				return append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(value)}, ""))...)
			}
			hosts := make(chan net.Conn, 2)
			r := newFixture(t, func(c net.Conn, n int64) {
				hosts <- c
				_, _ = c.Write(answer([]string{"first", "second"}[n]))
			})
			r.send("first", balance.Grounds{})
			wait(t, r.outcomes, "the first outcome")
			host := wait(t, hosts, "the first query")
			var idleConn *conn
			for idleConn == nil {
				r.b.mu.Lock()
				for _, c := range r.b.conns {
					idleConn = c
				}
				r.b.mu.Unlock()
			}
			time.Sleep(DefaultMinRest + 10*time.Millisecond) // the connection may be used again
			var readings atomic.Int64
			stalledClock := r.clock.WithReadHook(func() {
				if readings.Add(1) != reading+1 {
					return
				}
				_, _ = host.Write(answer("first"))
				for socket.NothingReceived(idleConn) {
					time.Sleep(time.Millisecond)
				}
			})
			r.b.cfg.Clock, idleConn.clock = stalledClock, stalledClock
			r.send("second", balance.Grounds{})
			o := wait(t, r.outcomes, "the second outcome")
			if o.Result != balance.OK || string(o.Value.(pg.Value).Data) != "second" {
				t.Errorf("the second request ends with %+v", o)
			}
			if readings.Load() <= reading {
				t.Error("the process was not stalled")
			}
		})
	}
}

// A primary's position is its present time. An answer from a primary that is older than its query is the
// repeated answer to an earlier one.
func TestPrimaryAnswerOlderThanQueryNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		role         string
		age          time.Duration // of the second answer's position
		known, keyed bool
		want         balance.Result
	}{
		"position of the query":              {"leader", 0, true, false, balance.OK},
		"position slightly before the query": {"leader", 10 * time.Millisecond, true, false, balance.OK},
		"position of an earlier query":       {"leader", 2 * DefaultMinRest, true, false, balance.Garbled},
		"position of a lagging replica":      {"follower", 2 * DefaultMinRest, true, false, balance.OK},
		"position of an earlier keyed write": {"leader", 2 * DefaultMinRest, true, true, balance.OK},
		"clock without bounds":               {"leader", 2 * DefaultMinRest, false, false, balance.OK},
	} {
		t.Run(name, func(t *testing.T) {
			var r *fixture
			r = newFixture(t, func(conn net.Conn, n int64) {
				position := (r.clock.Now() - time.Duration(n)*c.age).Milliseconds()
				name := c.role
				if n == 0 && !c.known { // a primary's first answer would set the bounds
					name = "follower"
				}
				statements := pg.Append(role(name), pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", position))
				_, _ = conn.Write(append(statements, row()...))
			})
			if c.known {
				r.clock.Inherit(r.clock.Now(), fleetclock.Interval{})
			}
			for n, id := range []string{"first", "second"} {
				now := r.clock.Now()
				r.b.Send(exchange.Attempt{ID: id, Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + testTimeout, Keyed: c.keyed})
				want := balance.OK
				if n == 1 {
					want = c.want
				}
				if o := wait(t, r.outcomes, id); o.Result != want {
					t.Errorf("the %s request: result %v, want %v", id, o.Result, want)
				}
				time.Sleep(DefaultMinRest + 10*time.Millisecond) // the connection may be used again
			}
		})
	}
}

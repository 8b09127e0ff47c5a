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
	r := newRig(t, func(c net.Conn, n int64) {
		if n == 1 { // the first answer once more, later than a connection rests
			_, _ = c.Write(answer("first"))
		}
		_, _ = c.Write(answer([]string{"first", "second"}[n]))
	})
	for _, id := range []string{"first", "second"} {
		r.send(id, balance.Grounds{})
		o := wait(t, r.outcomes, id)
		if o.Result != balance.OK {
			continue // it may fail
		}
		if got := string(o.Value.(pg.Value).Data); got != id {
			t.Errorf("request %s is served with the answer of request %s", id, got)
		}
	}
}

// An answer that comes once more while the process is held up, on its way to write the next query, is there before that query.
func TestWhatIsThereBeforeAQueryIsNoAnswerToIt(t *testing.T) {
	for reading := range int64(4) {
		t.Run(fmt.Sprint("held up at reading ", reading+1), func(t *testing.T) {
			answer := func(value string) []byte {
				return append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(value)}, ""))...)
			}
			hosts := make(chan net.Conn, 2)
			r := newRig(t, func(c net.Conn, n int64) {
				hosts <- c
				_, _ = c.Write(answer([]string{"first", "second"}[n]))
			})
			r.send("first", balance.Grounds{})
			wait(t, r.outcomes, "the first outcome")
			host := wait(t, hosts, "the first query")
			var kept *conn
			for kept == nil {
				r.b.mu.Lock()
				for _, c := range r.b.conns {
					kept = c
				}
				r.b.mu.Unlock()
			}
			time.Sleep(DefaultMinRest + 10*time.Millisecond) // the connection may be used again
			var readings atomic.Int64
			held := r.clock.WithReadHook(func() {
				if readings.Add(1) != reading+1 {
					return
				}
				_, _ = host.Write(answer("first"))
				for socket.NothingReceived(kept) {
					time.Sleep(time.Millisecond)
				}
			})
			r.b.cfg.Clock, kept.clock = held, held
			r.send("second", balance.Grounds{})
			o := wait(t, r.outcomes, "the second outcome")
			if o.Result != balance.OK || string(o.Value.(pg.Value).Data) != "second" {
				t.Errorf("the second request ends with %+v", o)
			}
			if readings.Load() <= reading {
				t.Error("the process was not held up")
			}
		})
	}
}

// A primary sits at the present: an answer of its that is older than its query is that to an earlier one.
func TestAPrimarysAnswerThatIsOlderThanItsQueryIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		role         string
		age          time.Duration // of the second answer's position
		known, keyed bool
		want         balance.Result
	}{
		"of its query":               {"leader", 0, true, false, balance.OK},
		"of a host's moment before":  {"leader", 10 * time.Millisecond, true, false, balance.OK},
		"of an earlier query":        {"leader", 2 * DefaultMinRest, true, false, balance.Garbled},
		"of a replica that lags":     {"follower", 2 * DefaultMinRest, true, false, balance.OK},
		"of an earlier keyed write":  {"leader", 2 * DefaultMinRest, true, true, balance.OK},
		"while the clock is unknown": {"leader", 2 * DefaultMinRest, false, false, balance.OK},
	} {
		t.Run(name, func(t *testing.T) {
			var r *rig
			r = newRig(t, func(conn net.Conn, n int64) {
				position := (r.clock.Now() - time.Duration(n)*c.age).Milliseconds()
				name := c.role
				if n == 0 && !c.known { // a first primary's answer would make it known
					name = "follower"
				}
				notes := pg.Append(role(name), pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", position))
				_, _ = conn.Write(append(notes, row()...))
			})
			if c.known {
				r.clock.Inherit(r.clock.Now(), fleetclock.Interval{})
			}
			for n, id := range []string{"first", "second"} {
				now := r.clock.Now()
				r.b.Send(exchange.Attempt{ID: id, Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + soon, Keyed: c.keyed})
				want := balance.OK
				if n == 1 {
					want = c.want
				}
				if o := wait(t, r.outcomes, id); o.Result != want {
					t.Errorf("the %s request ends with %v, want %v", id, o.Result, want)
				}
				time.Sleep(DefaultMinRest + 10*time.Millisecond) // the connection may be used again
			}
		})
	}
}

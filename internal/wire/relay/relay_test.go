package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

const testTimeout = 10 * time.Second // far longer than any step of these tests takes

type outcomes chan exchange.Outcome

func (o outcomes) Outcome(e exchange.Outcome)                                      { o <- e }
func (outcomes) Probed(balance.ProbeResult)                                        {}
func (outcomes) Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report) {}

// host starts a host that answers every message with the same bytes.
func host(t *testing.T, answer []byte) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		_, _, _ = pg.ReadStartup(in)
		_, _ = c.Write(pg.AppendStartupResponse(nil, pg.StartSession))
		for {
			if _, _, err := pg.Read(in, 1000); err != nil {
				return
			}
			_, _ = c.Write(answer)
		}
	}()
	return l.Addr().String()
}

func parameter(name string, value any) []byte {
	return pg.Append(nil, pg.ParameterStatus, fmt.Appendf(nil, "%s\x00%v\x00", name, value))
}

// The position of an answer's data follows its rows. A gateway that forwards the rows at once serves stale data to a class
// that does not allow it.
func TestStaleAnswersAreNotServed(t *testing.T) {
	bounded, session := balance.Demand{MaxAge: time.Second}, balance.Demand{MinPosition: time.Second}
	for name, c := range map[string]struct {
		role   string
		age    time.Duration // of the position
		size   int           // of the value in bytes; 0 for no row
		demand balance.Demand
		want   balance.Result
	}{
		"inside the bound":            {"follower", 500 * time.Millisecond, 10, bounded, balance.OK},
		"too old":                     {"follower", 2 * time.Second, 10, bounded, balance.Stale},
		"of a primary":                {"leader", 2 * time.Second, 10, bounded, balance.OK},
		"any data":                    {"follower", 2 * time.Second, 10, balance.Demand{}, balance.OK},
		"a session's, not far enough": {"follower", 0, 10, session, balance.Stale},
		"too old, a large value":      {"follower", 2 * time.Second, pg.SmallValue, bounded, balance.Stale},
		"too old, cut at its end":     {"follower", 2 * time.Second, 2 * pg.SmallValue, bounded, balance.Reset},
		"too old, but no data":        {"follower", 2 * time.Second, 0, bounded, balance.OK},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newClock()
			if c.demand.MinPosition > 0 {
				c.demand.MinPosition += clock.Now()
			}
			complete := pg.Append(nil, pg.CommandComplete, []byte("SELECT 1\x00"))
			answer := complete
			if c.size > 0 {
				answer = pg.AppendRow(nil, pg.Value{Data: make([]byte, c.size)}, "SELECT 1")
			}
			answer = append(answer, parameter("node_role", c.role)...)
			answer = append(answer, parameter("replay_position", (clock.Now()-c.age).Milliseconds())...)
			b, to := startBackend(t, clock, host(t, pg.AppendReady(answer)))
			var served []byte
			checkout := New(pooling.NewSession(pg.Parameters{}), pooling.ByStatement, func(b []byte) error {
				served = append(served, b...)
				return nil
			}, &Batch{Messages: []Message{{Kind: pg.Query, Body: []byte("SELECT 1\x00")}}, Complete: true, Commands: pooling.Scan("SELECT 1")})
			b.Send(exchange.Attempt{ID: "a", Server: "s", Sent: clock.Now(), Deadline: clock.Now() + testTimeout, Command: checkout, Demand: c.demand})
			if o := <-to; o.Result != c.want {
				t.Errorf("outcome %v, want %v", o.Result, c.want)
			}
			if whole := bytes.Contains(served, complete); whole != (c.want == balance.OK) || c.want == balance.Stale && len(served) > 0 {
				t.Errorf("client received %d bytes, complete: %t", len(served), whole)
			}
		})
	}
}

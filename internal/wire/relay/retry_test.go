package relay

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// startPipelineHost starts a host that answers a Flush on its connection n with answer(n), and a Sync with ReadyForQuery.
func startPipelineHost(t *testing.T, answer func(n int) []byte) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn, n int) {
		defer c.Close()
		in := bufio.NewReader(c)
		_, _, _ = pg.ReadStartup(in)
		_, _ = c.Write(pg.AppendStartupResponse(nil, pg.StartSession))
		for {
			kind, _, err := pg.Read(in, 1000)
			if err != nil {
				return
			}
			switch kind {
			case pg.Flush:
				_, _ = c.Write(answer(n))
			case pg.Sync:
				_, _ = c.Write(pg.AppendReady(nil))
			}
		}
	}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, n)
		}
	}()
	return l.Addr().String()
}

// Guards against a pipeline that runs again on another connection as if that skipped its messages, as the connection before did
// after an error: the client would get no answer.
func TestRetriedPipelineIsAnsweredAfterErrorOnStaleHost(t *testing.T) {
	clock := newClock()
	const maxAge = time.Second
	address := startPipelineHost(t, func(n int) []byte {
		position := clock.Now()
		if n == 0 {
			position -= 2 * maxAge
		}
		out := pg.Append(pg.Append(nil, pg.ParseComplete), pg.BindComplete)
		out = append(out, pg.AppendRow(nil, pg.Value{Data: []byte("value")}, "SELECT 1")...)
		out = append(out, parameter("node_role", "follower")...)
		out = append(out, parameter("replay_position", position.Milliseconds())...)
		return pg.AppendError(out, &pg.Error{Code: "42601", Message: "no statement"})
	})
	b, to := startBackend(t, clock, address)
	query := pg.AppendParse(nil, pg.ParseMessage{Text: "SELECT 1"})[5:]
	broken := pg.AppendParse(nil, pg.ParseMessage{Text: "no statement"})[5:]
	bind := pg.AppendBind(nil, "", "", make([]byte, 6))[5:]
	describe := pg.AppendTarget(nil, pg.Describe, 'P', "")[5:]
	pipeline := &Batch{Messages: []Message{{Kind: pg.Parse, Body: query}, {Kind: pg.Bind, Body: bind}, {Kind: pg.Describe, Body: describe},
		{Kind: pg.Execute, Body: make([]byte, 5)}, {Kind: pg.Parse, Body: broken}, {Kind: pg.Flush}}, Commands: pooling.Scan("SELECT 1")}
	var mu sync.Mutex
	var received []byte
	checkout := New(pooling.NewSession(nil), pooling.ByTransaction, func(b []byte) error {
		mu.Lock()
		defer mu.Unlock()
		received = append(received, b...)
		return nil
	}, pipeline)
	send := func(number int) {
		b.Send(exchange.Attempt{ID: "a", Number: number, Server: "s", Sent: clock.Now(), Deadline: clock.Now() + testTimeout, Command: checkout,
			Demand: balance.Demand{MaxAge: maxAge}})
	}
	send(0)
	if o := <-to; o.Result != balance.Stale {
		t.Fatalf("the first attempt ended with %v", o.Result)
	}
	send(1)
	d := <-checkout.Done()
	mu.Lock()
	row, failure := bytes.Count(received, []byte("value")), bytes.Count(received, []byte("42601"))
	mu.Unlock()
	if !d.Keep || row != 1 || failure != 1 {
		t.Errorf("%+v, the client received %d rows and %d errors, want 1 and 1", d, row, failure)
	}
	checkout.Next(&Batch{Messages: []Message{{Kind: pg.Sync}}, Complete: true})
	if d, o := <-checkout.Done(), <-to; d.Keep || d.Err != nil || o.Result != balance.OK {
		t.Errorf("the Sync ended with %+v, outcome %v", d, o.Result)
	}
}

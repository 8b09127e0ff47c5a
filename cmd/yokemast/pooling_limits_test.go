package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/control"
	"yokemast/internal/wire/pg"
)

// A session that listens for notifications keeps its host connection, and other sessions use another one.
func TestPinnedSessionsKeepConnection(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 2), nil, nil)
	a, b := p.mustConnect(t), p.mustConnect(t)
	if _, err := a.Exec(t.Context(), "LISTEN orders"); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		for _, k := range []*pgx.Conn{a, b} {
			if _, err := queryText(t.Context(), k, "SELECT 'x'"); err != nil {
				t.Error(err)
			}
		}
	}
	if p.cluster.PeakConns() != 2 {
		t.Errorf("%d connections", p.cluster.PeakConns())
	}
	out, err := command(t, "pools", "--socket", p.socket)
	if err != nil || !strings.Contains(out, "listen:1") || !strings.HasPrefix(out, "POOL") || !strings.Contains(out, "s-0") {
		t.Errorf("%v: %s", err, out)
	}
}

func TestPoolLimitAndTenants(t *testing.T) {
	p := startPooled(t, 1, `(cells (cell "c") (tenant "apollo") (tenant "medi") (user "app" (tenants "apollo")) (user "other" (tenants "medi")))
		(pools (rest 0s) (pool "apollo" (tenant "apollo") (read view) (own own) (write order) (most 1)))`, nil, nil)
	a, b := p.mustConnect(t), p.mustConnect(t)
	tx, err := a.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var bad *pgconn.PgError
	if _, err := queryText(t.Context(), b, "SELECT 'x'"); !errors.As(err, &bad) || bad.Code != pg.CodeTooMany || bad.Detail == "" {
		t.Errorf("beyond the pool's limit: %v", err)
	}
	if err := tx.Rollback(t.Context()); err != nil {
		t.Error(err)
	}
	if got, err := queryText(t.Context(), b, "SELECT 'x'"); got != "x" || err != nil {
		t.Errorf("after the transaction: %q, %v", got, err)
	}
	c, err := clients.Start(p.address, "other", testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if got := c.Ask("SELECT 'x'"); got != "42601" {
		t.Errorf("another tenant's user gets %q", got)
	}
}

func TestUnsupportedStatements(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 2), nil, nil)
	c, err := clients.Start(p.address, "app", testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	for sql, want := range map[string]string{"COPY kv FROM STDIN": "0A000", "SELECT nonsense": "42601", "": "empty", "SELECT 'a'; SELECT 'b'": "row b"} {
		if got := c.Ask(sql); got != want {
			t.Errorf("%s: %q, want %q", sql, got, want)
		}
	}
	_, _ = c.Write(pg.Append(nil, pg.Function, []byte("xxxx")))
	if got := c.Answer(); got != "0A000" {
		t.Errorf("a function call: %q", got)
	}
	if strict := p.client(); strict.Ask("SELECT 'a'") != "42601" {
		t.Error("a user of no pool may ask general SQL")
	}
}

// peakConnections returns the highest number of host connections that the gateway had at a time. A host
// counts a connection until it notices that the gateway has closed it, so hosts may count a few more.
func (p *pooled) peakConnections(t *testing.T) int {
	t.Helper()
	var r control.PoolsReport
	if out, err := command(t, "pools", "--json", "--socket", p.socket); err != nil || json.Unmarshal([]byte(out), &r) != nil {
		t.Errorf("%v: %s", err, out)
	}
	return r.Peak
}

// 400 clients at 64 descriptors are all served in the end, and the pool's limit on host connections holds.
func TestFewDescriptorsAndManyClients(t *testing.T) {
	fewSockets := func(c string) string { return strings.Replace(c, `"sockets":1024`, `"sockets":64`, 1) }
	p := startPooled(t, 2, fmt.Sprintf(onePool, 8), fewSockets, nil)
	var served, refused atomic.Int64
	var work sync.WaitGroup
	for range 400 {
		work.Go(func() {
			for range 200 {
				c, err := clients.Start(p.address, "app", testTimeout)
				if err == nil {
					got := c.Ask("SELECT 'x'")
					c.Close()
					if got == "row x" {
						served.Add(1)
						return
					}
				}
				refused.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	work.Wait()
	if served.Load() != 400 {
		t.Errorf("%d of 400 clients were served, %d attempts were refused", served.Load(), refused.Load())
	}
	if peak := p.peakConnections(t); peak > 8 || p.cluster.PeakConns() > 2*8 { // a host may count a closing connection beside its successor
		t.Errorf("%d host connections, hosts counted %d", peak, p.cluster.PeakConns())
	}
	_ = p.cmd.Process.Signal(syscall.SIGUSR1)
	p.waitLog(`"panics":0`)
}

// Guards against a session that is refused because another, whose transaction's end is answered, still counts in its pool.
func TestPoolPlaceIsFreeOnceAnswered(t *testing.T) {
	p := startPooled(t, 1, strings.Replace(fmt.Sprintf(onePool, 1), "(read view)", "(read view) (most 1)", 1), nil, nil)
	var sessions [2]*clients.Client
	for i := range sessions {
		c, err := clients.Start(p.address, "app", testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		sessions[i] = c
	}
	const rounds = 500
	refused := 0
	for i := range rounds {
		first, second := sessions[i%2], sessions[1-i%2]
		for _, sql := range []string{"BEGIN", "ROLLBACK"} {
			if got := first.Ask(sql); got != "ready" {
				t.Fatalf("%s is answered %q", sql, got)
			}
		}
		if got := second.Ask("SELECT 'x'"); got == pg.CodeTooMany {
			refused++
		} else if got != "row x" {
			t.Fatalf("the other session is answered %q", got)
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d statements were refused right after the end of another session's transaction", refused, rounds)
	}
}

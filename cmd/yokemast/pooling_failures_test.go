package main

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
)

// A statement prepared through the gateway stays usable when the host crashes on which it was prepared.
func TestStatementIsPreparedAgainAfterHostCrash(t *testing.T) {
	p := startPooled(t, 3, fmt.Sprintf(onePool, 10), nil, nil)
	ctx, k := t.Context(), p.mustConnect(t)
	if _, err := k.Prepare(ctx, "mine", "SELECT 'mine'"); err != nil {
		t.Fatal(err)
	}
	for _, h := range p.cluster.Hosts()[1:] {
		h.Crash()
	}
	for range 5 {
		if got, err := queryText(ctx, k, "mine"); got != "mine" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// A client that disconnects in a transaction must leave neither an open transaction nor a setting on the host
// connection.
func TestOpenTransactionIsRolledBackOnDisconnect(t *testing.T) {
	for name, steps := range map[string][]string{
		"after BEGIN":      {"BEGIN"},
		"after a write":    {"BEGIN", "INSERT INTO kv (name, content) VALUES ('k', 'left')"},
		"after a failure":  {"BEGIN", "INSERT INTO kv (name, content) VALUES ('k', 'left')", "FAIL"},
		"in a savepoint":   {"BEGIN", "SAVEPOINT s", "INSERT INTO kv (name, content) VALUES ('k', 'left')"},
		"after a SET":      {"BEGIN", "SET app.session = 'left'"},
		"all in one query": {"BEGIN; SET app.session = 'left'; INSERT INTO kv (name, content) VALUES ('k', 'left')"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil) // one connection, so the next session gets the same
			c, err := clients.Start(p.address, "app", testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range steps {
				c.Ask(s)
			}
			c.Close()
			next := p.mustConnect(t)
			if got, err := queryText(t.Context(), next, "SHOW app.session"); got != "" || err != nil {
				t.Errorf("the next session reads the setting %q, %v", got, err)
			}
			if _, err := next.Exec(t.Context(), "INSERT INTO kv (name, content) VALUES ('k', 'next')"); err != nil {
				t.Error(err)
			}
			if ids := p.cluster.CommitsByID(); ids["left"] != 0 || ids["next"] != 1 || p.cluster.PeakConns() != 1 {
				t.Errorf("committed: %v, over %d connections", ids, p.cluster.PeakConns())
			}
		})
	}
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	p := startPooled(t, 1, strings.Replace(fmt.Sprintf(onePool, 1), "(idle 2s)", "(idle 100ms)", 1), nil, nil)
	c, err := clients.Start(p.address, "app", testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{"BEGIN", "INSERT INTO kv (name, content) VALUES ('k', 'left')"} {
		c.Ask(s)
	}
	if got := c.Answer(); got != "25P03, closed" {
		t.Errorf("the client is answered %q", got)
	}
	if _, err := p.mustConnect(t).Exec(t.Context(), "INSERT INTO kv (name, content) VALUES ('k', 'next')"); err != nil {
		t.Error(err)
	}
	if ids := p.cluster.CommitsByID(); ids["left"] != 0 || ids["next"] != 1 {
		t.Errorf("committed: %v", ids)
	}
}

func TestErrorInPipeline(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	k, ctx := p.mustConnect(t), t.Context()
	pipe := k.PgConn().StartPipeline(ctx)
	for i := range 10 {
		sql := fmt.Sprintf("SELECT '%d'", i)
		if i == 4 {
			sql = "FAIL"
		}
		pipe.SendQueryParams(sql, nil, nil, nil, nil)
	}
	if err := pipe.Sync(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for {
		r, err := pipe.GetResults()
		if err != nil {
			var bad *pgconn.PgError
			if errors.As(err, &bad) {
				got = append(got, bad.Code)
				continue
			}
			got = append(got, err.Error())
			break
		}
		if reader, ok := r.(*pgconn.ResultReader); ok {
			read := reader.Read()
			if read.Err != nil {
				var bad *pgconn.PgError
				errors.As(read.Err, &bad)
				got = append(got, bad.Code)
				continue
			}
			got = append(got, string(read.Rows[0][0]))
			continue
		}
		break
	}
	if err := pipe.Close(); err != nil {
		var bad *pgconn.PgError
		if !errors.As(err, &bad) {
			t.Error(err)
		}
	}
	if diff := cmp.Diff([]string{"0", "1", "2", "3", "22012"}, got[:min(5, len(got))]); diff != "" || len(got) > 5 {
		t.Errorf("%v: %s", got, diff)
	}
	if got, err := queryText(ctx, k, "SELECT 'after'"); got != "after" || err != nil {
		t.Errorf("after the pipeline: %q, %v", got, err)
	}
}

// A cancel request reaches only its own session's statement, not that of another session on the same host
// connection.
func TestCancel(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	a, b := p.mustConnect(t), p.mustConnect(t)
	ctx := t.Context()
	if _, err := queryText(ctx, a, "SELECT 'done'"); err != nil {
		t.Fatal(err)
	}
	sleeping := make(chan error, 1)
	go func() {
		_, err := b.Exec(ctx, "SELECT pg_sleep(0.3)")
		sleeping <- err
	}()
	time.Sleep(100 * time.Millisecond)
	if err := a.PgConn().CancelRequest(ctx); err != nil { // a's statement has ended, and its host connection runs b's
		t.Error(err)
	}
	if err := <-sleeping; err != nil {
		t.Errorf("another session's statement is canceled: %v", err)
	}
	go func() {
		_, err := b.Exec(ctx, "SELECT pg_sleep(20)")
		sleeping <- err
	}()
	time.Sleep(100 * time.Millisecond)
	if err := b.PgConn().CancelRequest(ctx); err != nil {
		t.Error(err)
	}
	var bad *pgconn.PgError
	if err := <-sleeping; !errors.As(err, &bad) || bad.Code != "57014" {
		t.Errorf("the session's own statement ends with %v", err)
	}
	if got, err := queryText(ctx, a, "SELECT 'next'"); got != "next" || err != nil {
		t.Errorf("the next statement on that connection: %q, %v", got, err)
	}
}

// Guards against a cancel request that a host handles late, when its connection already serves another session.
func TestLateCancelHitsNoOtherSession(t *testing.T) {
	const handledAfter = 1500 * time.Millisecond // the gateway waits for 1 s
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, func(h *hosts.Host) { h.CancelDelay = handledAfter })
	a, b := p.mustConnect(t), p.mustConnect(t)
	ctx := t.Context()
	first := make(chan error, 1)
	go func() {
		_, err := a.Exec(ctx, "SELECT pg_sleep(0.3)")
		first <- err
	}()
	time.Sleep(100 * time.Millisecond)
	canceled := time.Now()
	if err := a.PgConn().CancelRequest(ctx); err != nil {
		t.Error(err)
	}
	if err := <-first; err != nil {
		t.Error(err)
	}
	for time.Since(canceled) < 2*handledAfter {
		if _, err := b.Exec(ctx, "SELECT pg_sleep(0.05)"); err != nil {
			t.Fatalf("another session's statement ends with %v, %v after the cancel", err, time.Since(canceled))
		}
	}
}

// A commit whose answer is lost is reported to the client as an error and is not sent again.
func TestCommitWithLostAnswer(t *testing.T) {
	var close atomic.Bool
	p := startPooled(t, 1, fmt.Sprintf(onePool, 4), nil, func(h *hosts.Host) { h.AfterCommit = func() bool { return close.Swap(false) } })
	k, ctx := p.mustConnect(t), t.Context()
	for name, run := range map[string]func(id string) error{
		"of a transaction": func(id string) error {
			tx, err := k.Begin(ctx)
			if err != nil {
				return err
			}
			if _, err := tx.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('k', '"+id+"')"); err != nil {
				return err
			}
			close.Store(true)
			return tx.Commit(ctx)
		},
		"of a statement": func(id string) error {
			close.Store(true)
			_, err := k.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('k', '"+id+"')", pgx.QueryExecModeSimpleProtocol)
			return err
		},
	} {
		k = p.mustConnect(t)
		if err := run(name); err == nil {
			t.Errorf("%s: the client got no error", name)
		}
		if n := p.cluster.CommitsByID()[name]; n != 1 {
			t.Errorf("%s: committed %d times", name, n)
		}
	}
}

// Guards against a statement that runs twice because its class lets keyed requests go again although it carries no key.
func TestUnkeyedStatementRunsOnce(t *testing.T) {
	keyed := func(config string) string {
		return strings.Replace(config, `"name":"order","effect":"fragile","group":"all"`, `"name":"order","effect":"dedup","group":"all","keyTtl":3000000000`, 1)
	}
	for name, c := range map[string]struct {
		sql  string
		runs int // the stand-in runs a repeat again, whatever its key
		code string
	}{
		"with a key":                {insertText("x") + " /* k=1 */", 2, ""},
		"without a key":             {insertText("x"), 1, "58000"},
		"with a key for one of two": {insertText("x") + "; SELECT 'y' /* k=1 */", 1, "58000"},
		"transaction with a key":    {"BEGIN; " + insertText("x") + "; COMMIT /* k=1 */", 1, "58000"},
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			if mode != pgx.QueryExecModeSimpleProtocol && strings.Contains(c.sql, ";") {
				continue // one statement only
			}
			t.Run(fmt.Sprint(name, ", ", mode), func(t *testing.T) {
				t.Parallel()
				var lost atomic.Bool
				p := startPooled(t, 1, fmt.Sprintf(onePool, 4), keyed, func(h *hosts.Host) { h.AfterCommit = func() bool { return !lost.Swap(true) } })
				_, err := p.mustConnect(t).Exec(t.Context(), c.sql, mode)
				var refusal *pgconn.PgError
				if errors.As(err, &refusal); err != nil != (c.code != "") || err != nil && (refusal == nil || refusal.Code != c.code) {
					t.Errorf("answered %v, want %q", err, c.code)
				}
				if n := p.cluster.CommitsByID()["x"]; n != c.runs {
					t.Errorf("ran %d times, want %d", n, c.runs)
				}
			})
		}
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

// pooled is a gateway whose users share host connections, in front of a cluster of hosts that accept general
// SQL.
type pooled struct {
	*gateway
	cluster *hosts.Cluster
	socket  string
}

func startPooled(t testing.TB, n int, operatorText string, edit func(string) string, set func(*hosts.Host)) *pooled {
	t.Helper()
	c, err := hosts.NewCluster(1, "s-", n, nil, func(h *hosts.Host) {
		h.General = true
		if set != nil {
			set(h)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for _, h := range c.Hosts() {
		h.SetLag(5 * time.Millisecond)
	}
	path, socket := operatorFile(t, operatorText)
	return &pooled{startWith(t, edit, []string{"--operator", path}, c.Hosts()...), c, socket}
}

const onePool = `(pools (rest 0s) (total %d) (pool "apps" (user "app") (read view) (own own) (write order) (idle 2s)))`

func (p *pooled) connect(ctx context.Context) (*pgx.Conn, error) {
	host, port, _ := strings.Cut(p.address, ":")
	return pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=app dbname=store sslmode=disable", host, port))
}

func (p *pooled) mustConnect(t testing.TB) *pgx.Conn {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	k, err := p.connect(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close(context.Background()) })
	return k
}

// queryText runs a query that returns a single text value.
func queryText(ctx context.Context, k *pgx.Conn, sql string, args ...any) (string, error) {
	var s string
	err := k.QueryRow(ctx, sql, args...).Scan(&s)
	return s, err
}

// TestProofPooling runs 400 sessions of a real driver over 40 host connections while hosts crash and drain.
// Replay: go test ./cmd/yokemast -run TestProofPooling -v
func TestProofPooling(t *testing.T) {
	const sessions, connections, rounds = 400, 40, 6
	p := startPooled(t, 4, fmt.Sprintf(onePool, connections), nil, func(h *hosts.Host) { h.Work = time.Millisecond })
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Minute)
	defer stop()
	var leaked, foreign, wrong, lost, served, refused atomic.Int64
	var mu sync.Mutex
	acked := map[string]bool{}
	var work sync.WaitGroup
	var started sync.WaitGroup
	started.Add(sessions)
	for i := range sessions {
		rng := rand.New(rand.NewPCG(proofSeed, uint64(i)))
		work.Go(func() {
			markStarted := sync.OnceFunc(started.Done)
			defer markStarted()
			name := fmt.Sprint("session-", i)
			var k *pgx.Conn
			set := "" // the setting that the session was told is in effect
			for n := 0; n < rounds && ctx.Err() == nil; n++ {
				if k == nil || k.IsClosed() {
					var err error
					if k, err = p.connect(ctx); err != nil {
						refused.Add(1)
						time.Sleep(20 * time.Millisecond)
						n--
						continue
					}
					set = ""
					defer k.Close(context.Background())
				}
				markStarted()
				fail := func(err error) bool {
					if err == nil {
						served.Add(1)
						return false
					}
					lost.Add(1)
					return true
				}
				if set == "" {
					if _, err := k.Exec(ctx, "SET app.session = '"+name+"'"); fail(err) {
						continue
					}
					set = name
				}
				// Each session prepares another text under the same name.
				if _, err := k.Prepare(ctx, "mine", "SELECT '"+name+"'"); !fail(err) {
					if got, err := queryText(ctx, k, "mine"); !fail(err) && got != name {
						foreign.Add(1)
					}
				}
				value := fmt.Sprintf("%s-%d", name, n)
				switch rng.IntN(4) {
				case 0, 1: // a transaction that commits
					tx, err := k.Begin(ctx)
					if fail(err) {
						continue
					}
					_, err = tx.Exec(ctx, "INSERT INTO kv (name, content) VALUES ($1, $2)", name, value)
					if err == nil {
						err = tx.Commit(ctx)
					} else {
						_ = tx.Rollback(ctx)
					}
					if !fail(err) {
						mu.Lock()
						acked[value] = true
						mu.Unlock()
						if got, err := queryText(ctx, k, "SELECT content FROM kv WHERE name = $1", name); !fail(err) && got != value {
							wrong.Add(1)
							t.Logf("%s reads %q after it committed %q", name, got, value)
						}
					}
				case 2: // a transaction that changes the setting and is rolled back
					tx, err := k.Begin(ctx)
					if fail(err) {
						continue
					}
					_, err = tx.Exec(ctx, "SET app.session = 'rolled back'")
					if fail(errors.Join(err, tx.Rollback(ctx))) {
						continue
					}
				case 3:
					if got, err := queryText(ctx, k, "SELECT $1", value); !fail(err) && got != value {
						wrong.Add(1)
					}
				}
				if got, err := queryText(ctx, k, "SHOW app.session"); !fail(err) && got != set {
					leaked.Add(1)
					t.Logf("%s has the setting %q", name, got)
				}
			}
		})
	}
	started.Wait()
	// By the seed, a replica crashes and restarts, another drains, then the primary crashes and the drained
	// replica, listed as serving again, takes over.
	rng := rand.New(rand.NewPCG(proofSeed, 1000))
	all := p.cluster.Hosts()
	dies, drains := 1+rng.IntN(3), 0
	for drains = 1 + rng.IntN(3); drains == dies; drains = 1 + rng.IntN(3) {
	}
	all[dies].Crash()
	p.agent.Set(all[drains].ListEntry("DRAINING"))
	time.Sleep(200 * time.Millisecond)
	if err := all[dies].Restart(); err != nil {
		t.Error(err)
	}
	p.agent.Set(all[drains].ListEntry("SERVING"))
	all[0].Crash()
	p.cluster.Promote(all[drains])
	p.agent.Set(all[0].ListEntry("DELETED"), all[drains].ListEntry("SERVING"))
	work.Wait()
	doubled, missing := 0, 0
	ids := p.cluster.CommitsByID()
	for id, n := range ids {
		if n > 1 {
			doubled++
			t.Logf("%s is committed %d times", id, n)
		}
	}
	for id := range acked {
		if ids[id] == 0 {
			missing++
		}
	}
	t.Logf("seed %d: %d steps served, %d ended with an error, %d connections refused", proofSeed, served.Load(), lost.Load(), refused.Load())
	t.Logf("figure sessions=%d", sessions)
	peak := p.peakConnections(t)
	t.Logf("figure host_connections_most=%d", peak)
	t.Logf("figure host_connections_most_seen_by_hosts=%d", p.cluster.PeakConns())
	t.Logf("figure leaked_settings=%d", leaked.Load())
	t.Logf("figure foreign_statements=%d", foreign.Load())
	t.Logf("figure wrong_results=%d", wrong.Load())
	t.Logf("figure doubled_commits=%d", doubled)
	t.Logf("figure lost_commits=%d", missing)
	if leaked.Load()+foreign.Load()+wrong.Load() > 0 || doubled+missing > 0 || peak > connections || p.cluster.PeakConns() > connections*5/4 || served.Load() < 10*lost.Load() {
		t.Errorf("%d commits were acknowledged", len(acked))
	}
}

// Two sessions that share one host connection keep their own settings.
func TestSessionsKeepTheirSettings(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	a, b := p.mustConnect(t), p.mustConnect(t)
	for _, step := range []struct {
		k         *pgx.Conn
		sql, want string
	}{
		{a, "SET app.x = 'a'", ""}, {b, "SHOW app.x", ""}, {b, "SET app.x = 'b'", ""}, {a, "SHOW app.x", "a"}, {b, "SHOW app.x", "b"},
		{a, "BEGIN; SET app.x = 'gone'; ROLLBACK", ""}, {a, "SHOW app.x", "a"}, {a, "RESET app.x", ""}, {b, "SHOW app.x", "b"}, {a, "SHOW app.x", ""},
		{b, "DISCARD ALL", ""},
	} {
		if strings.HasPrefix(step.sql, "SHOW") {
			if got, err := queryText(t.Context(), step.k, step.sql); got != step.want || err != nil {
				t.Errorf("%s: %q, %v, want %q", step.sql, got, err, step.want)
			}
		} else if _, err := step.k.PgConn().Exec(t.Context(), step.sql).ReadAll(); err != nil {
			t.Errorf("%s: %v", step.sql, err)
		}
	}
	// As on a dedicated connection, DISCARD ALL removes the driver's prepared statements.
	if _, err := queryText(t.Context(), b, "SHOW app.x"); err == nil || !strings.Contains(err.Error(), "26000") || strings.Contains(err.Error(), "yk_") {
		t.Errorf("a statement prepared before DISCARD ALL: %v", err)
	}
	if got, err := queryText(t.Context(), b, "SHOW app.x", pgx.QueryExecModeSimpleProtocol); got != "" || err != nil {
		t.Errorf("after DISCARD ALL: %q, %v", got, err)
	}
}

func TestLongValuesAreStreamed(t *testing.T) {
	small := func(c string) string { return strings.Replace(c, `"memory_mb":192`, `"memory_mb":32`, 1) }
	p := startPooled(t, 1, fmt.Sprintf(onePool, 4), small, nil)
	k, ctx := p.mustConnect(t), t.Context()
	long := strings.Repeat("0123456789abcdef", 1<<16) // 1 MiB, more than a pipeline may hold
	for range 3 {
		if got, err := queryText(ctx, k, "SELECT $1", long); got != long || err != nil {
			t.Fatalf("%d bytes are returned, %v", len(got), err)
		}
		// In the middle of a pipeline, and after an error.
		b := &pgx.Batch{}
		b.Queue("SELECT 'before'")
		b.Queue("INSERT INTO kv (name, content) VALUES ($1, $2)", "k", long)
		b.Queue("SELECT 'after'")
		if err := k.SendBatch(ctx, b).Close(); err != nil {
			t.Fatal(err)
		}
		b = &pgx.Batch{}
		b.Queue("FAIL")
		b.Queue("SELECT $1", long)
		var bad *pgconn.PgError
		if err := k.SendBatch(ctx, b).Close(); !errors.As(err, &bad) || bad.Code != "22012" {
			t.Fatalf("after an error: %v", err)
		}
		if got, err := queryText(ctx, k, "SELECT $1", "short"); got != "short" || err != nil {
			t.Fatalf("after the pipeline: %.20q, %v", got, err)
		}
	}
	if n := p.cluster.CommitsByID()[long]; n != 3 {
		t.Errorf("the long value is committed %d times", n)
	}
}

// A Flush returns the answers so far, and statements after a failed one are skipped until the Sync.
func TestFlushReturnsPendingAnswers(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	c, err := clients.Start(p.address, "app", testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	kinds := func(n int) (out string) {
		for range n {
			kind, _, err := pg.Read(c.In, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			out += string(kind)
		}
		return out
	}
	ask := func(sql string, end byte) {
		out := pg.AppendParse(nil, pg.ParseMessage{Text: sql})
		out = pg.AppendBind(out, "", "", []byte{0, 0, 0, 0, 0, 0})
		out = pg.Append(out, pg.Execute, []byte("\x00\x00\x00\x00\x00"))
		_, _ = c.Write(pg.Append(out, end))
	}
	ask("SELECT 'x'", pg.Flush)
	if got := kinds(4); got != "12DC" {
		t.Errorf("a Flush returns %q", got)
	}
	ask("FAIL", pg.Flush)
	if got := kinds(3); got != "12E" {
		t.Errorf("a failed statement returns %q", got)
	}
	ask("SELECT 'skipped'", pg.Flush)
	ask("SELECT 'skipped'", pg.Sync)
	if got := kinds(1); got != "Z" {
		t.Errorf("the statements after the failure return %q", got)
	}
	ask("SELECT 'y'", pg.Sync)
	if got := kinds(5); got != "12DCZ" {
		t.Errorf("after the Sync: %q", got)
	}
}

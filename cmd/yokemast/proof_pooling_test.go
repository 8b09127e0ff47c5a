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

// pooled is a gateway whose users share host connections, before a cluster of general hosts.
type pooled struct {
	*gateway
	c      *hosts.Cluster
	socket string
}

func startPooled(t testing.TB, n int, own string, edit func(string) string, set func(*hosts.Host)) *pooled {
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
	path, socket := operatorFile(t, own)
	return &pooled{startWith(t, edit, []string{"--operator", path}, c.Hosts()...), c, socket}
}

const onePool = `(pools (rest 0s) (total %d) (pool "apps" (user "app") (read view) (own own) (write order) (idle 2s)))`

func (p *pooled) connect(ctx context.Context) (*pgx.Conn, error) {
	host, port, _ := strings.Cut(p.address, ":")
	return pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=app dbname=store sslmode=disable", host, port))
}

func (p *pooled) must(t testing.TB) *pgx.Conn {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	k, err := p.connect(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close(context.Background()) })
	return k
}

// one asks for one text.
func one(ctx context.Context, k *pgx.Conn, sql string, args ...any) (string, error) {
	var s string
	err := k.QueryRow(ctx, sql, args...).Scan(&s)
	return s, err
}

// TestProofPooling runs 400 sessions of a real driver over 40 host connections while hosts die and drain. Replay:
// go test ./cmd/yokemast -run TestProofPooling -v
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
			begun := sync.OnceFunc(started.Done)
			defer begun()
			mine := fmt.Sprint("session-", i)
			var k *pgx.Conn
			set := "" // what the session has set, as far as it was told
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
				begun()
				fail := func(err error) bool {
					if err == nil {
						served.Add(1)
						return false
					}
					lost.Add(1)
					return true
				}
				if set == "" {
					if _, err := k.Exec(ctx, "SET app.session = '"+mine+"'"); fail(err) {
						continue
					}
					set = mine
				}
				// The same name has another text in each session.
				if _, err := k.Prepare(ctx, "mine", "SELECT '"+mine+"'"); !fail(err) {
					if got, err := one(ctx, k, "mine"); !fail(err) && got != mine {
						foreign.Add(1)
					}
				}
				value := fmt.Sprintf("%s-%d", mine, n)
				switch rng.IntN(4) {
				case 0, 1: // a transaction that commits
					tx, err := k.Begin(ctx)
					if fail(err) {
						continue
					}
					_, err = tx.Exec(ctx, "INSERT INTO kv (name, content) VALUES ($1, $2)", mine, value)
					if err == nil {
						err = tx.Commit(ctx)
					} else {
						_ = tx.Rollback(ctx)
					}
					if !fail(err) {
						mu.Lock()
						acked[value] = true
						mu.Unlock()
						if got, err := one(ctx, k, "SELECT content FROM kv WHERE name = $1", mine); !fail(err) && got != value {
							wrong.Add(1)
							t.Logf("%s reads %q after it committed %q", mine, got, value)
						}
					}
				case 2: // one that sets and is rolled back
					tx, err := k.Begin(ctx)
					if fail(err) {
						continue
					}
					_, err = tx.Exec(ctx, "SET app.session = 'rolled back'")
					if fail(errors.Join(err, tx.Rollback(ctx))) {
						continue
					}
				case 3:
					if got, err := one(ctx, k, "SELECT $1", value); !fail(err) && got != value {
						wrong.Add(1)
					}
				}
				if got, err := one(ctx, k, "SHOW app.session"); !fail(err) && got != set {
					leaked.Add(1)
					t.Logf("%s has the setting %q", mine, got)
				}
			}
		})
	}
	started.Wait()
	// On the seed: a replica dies and comes back, another drains, then the primary dies and a replica takes over.
	rng := rand.New(rand.NewPCG(proofSeed, 1000))
	all := p.c.Hosts()
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
	p.c.Promote(all[drains])
	p.agent.Set(all[0].ListEntry("DELETED"), all[drains].ListEntry("SERVING"))
	work.Wait()
	doubled, missing := 0, 0
	ids := p.c.CommitsByID()
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
	most := p.peak(t)
	t.Logf("figure host_connections_most=%d", most)
	t.Logf("figure host_connections_most_seen_by_hosts=%d", p.c.PeakConns())
	t.Logf("figure leaked_settings=%d", leaked.Load())
	t.Logf("figure foreign_statements=%d", foreign.Load())
	t.Logf("figure wrong_results=%d", wrong.Load())
	t.Logf("figure doubled_commits=%d", doubled)
	t.Logf("figure lost_commits=%d", missing)
	if leaked.Load()+foreign.Load()+wrong.Load() > 0 || doubled+missing > 0 || most > connections || p.c.PeakConns() > connections*5/4 || served.Load() < 10*lost.Load() {
		t.Errorf("%d commits were acknowledged", len(acked))
	}
}

func TestSessionsKeepTheirSettings(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	a, b := p.must(t), p.must(t)
	for _, step := range []struct {
		k         *pgx.Conn
		sql, want string
	}{
		{a, "SET app.x = 'a'", ""}, {b, "SHOW app.x", ""}, {b, "SET app.x = 'b'", ""}, {a, "SHOW app.x", "a"}, {b, "SHOW app.x", "b"},
		{a, "BEGIN; SET app.x = 'gone'; ROLLBACK", ""}, {a, "SHOW app.x", "a"}, {a, "RESET app.x", ""}, {b, "SHOW app.x", "b"}, {a, "SHOW app.x", ""},
		{b, "DISCARD ALL", ""},
	} {
		if strings.HasPrefix(step.sql, "SHOW") {
			if got, err := one(t.Context(), step.k, step.sql); got != step.want || err != nil {
				t.Errorf("%s: %q, %v, want %q", step.sql, got, err, step.want)
			}
		} else if _, err := step.k.PgConn().Exec(t.Context(), step.sql).ReadAll(); err != nil {
			t.Errorf("%s: %v", step.sql, err)
		}
	}
	// As on a connection of its own, DISCARD ALL takes the driver's prepared statements away.
	if _, err := one(t.Context(), b, "SHOW app.x"); err == nil || !strings.Contains(err.Error(), "26000") || strings.Contains(err.Error(), "yk_") {
		t.Errorf("a statement prepared before DISCARD ALL: %v", err)
	}
	if got, err := one(t.Context(), b, "SHOW app.x", pgx.QueryExecModeSimpleProtocol); got != "" || err != nil {
		t.Errorf("after DISCARD ALL: %q, %v", got, err)
	}
}

func TestLongValuesAreStreamed(t *testing.T) {
	small := func(c string) string { return strings.Replace(c, `"memory_mb":192`, `"memory_mb":32`, 1) }
	p := startPooled(t, 1, fmt.Sprintf(onePool, 4), small, nil)
	k, ctx := p.must(t), t.Context()
	long := strings.Repeat("0123456789abcdef", 1<<16) // 1 MiB, more than a pipeline may hold
	for range 3 {
		if got, err := one(ctx, k, "SELECT $1", long); got != long || err != nil {
			t.Fatalf("%d bytes come back, %v", len(got), err)
		}
		// In the middle of a pipeline, and behind an error.
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
			t.Fatalf("behind an error: %v", err)
		}
		if got, err := one(ctx, k, "SELECT $1", "short"); got != "short" || err != nil {
			t.Fatalf("after it: %.20q, %v", got, err)
		}
	}
	if n := p.c.CommitsByID()[long]; n != 3 {
		t.Errorf("the long value is committed %d times", n)
	}
}

func TestFlushGivesWhatThereIs(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	c, err := clients.Start(p.address, "app", patience)
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
		t.Errorf("a Flush brings %q", got)
	}
	ask("FAIL", pg.Flush)
	if got := kinds(3); got != "12E" {
		t.Errorf("a failure brings %q", got)
	}
	ask("SELECT 'skipped'", pg.Flush)
	ask("SELECT 'skipped'", pg.Sync)
	if got := kinds(1); got != "Z" {
		t.Errorf("what follows it brings %q", got)
	}
	ask("SELECT 'y'", pg.Sync)
	if got := kinds(5); got != "12DCZ" {
		t.Errorf("after the Sync: %q", got)
	}
}

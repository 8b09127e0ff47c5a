package main

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

// settingsObserver checks at a host that each statement runs under the settings of its own session. A statement names its
// session in a constant 'session/text'; the session's setting app.session has the session's name, or is not set for nobody.
type settingsObserver struct {
	mu         sync.Mutex
	failures   int // number of statements that change a setting that still fail
	seen       int // number of statements that name their session
	violations []string
	statements map[string]int // how often each statement has run
}

var namedSession = regexp.MustCompile(`'(\w+)/`)

// beforeStatement implements hosts.Host.BeforeStatement.
func (o *settingsObserver) beforeStatement(text string, settings map[string]string) *pg.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.statements == nil {
		o.statements = map[string]int{}
	}
	o.statements[text]++
	lower := strings.ToLower(text)
	if o.failures > 0 && (strings.HasPrefix(lower, "set ") || strings.HasPrefix(lower, "reset ")) {
		o.failures--
		return &pg.Error{Code: "XX000", Message: "failed"}
	}
	if m := namedSession.FindStringSubmatch(text); m != nil {
		o.seen++
		if want := strings.TrimPrefix(m[1], "nobody"); settings["app.session"] != want {
			o.violations = append(o.violations, fmt.Sprintf("%s ran with app.session %q", text, settings["app.session"]))
		}
	}
	return nil
}

// failNext makes the next n statements fail that change a setting.
func (o *settingsObserver) failNext(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = n
}

// count returns how often a statement has run.
func (o *settingsObserver) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.statements[text]
}

// check reports all violations since the last call.
func (o *settingsObserver) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.violations {
		t.Error(v)
	}
	o.violations = nil
}

// settingsFailures are numbers of consecutive failures: one that a retry gets over, and more than any request has attempts.
var settingsFailures = []int{1, 1000}

// startObserved starts a gateway with one host connection to one host, whose statements are observed.
func startObserved(t *testing.T, operatorText string) (*pooled, *settingsObserver) {
	o := &settingsObserver{}
	return startPooled(t, 1, operatorText, nil, func(h *hosts.Host) { h.BeforeStatement = o.beforeStatement }), o
}

// Guards against a statement that runs under the settings of the connection's previous session, or under none, where the host
// fails the change to its own session's settings.
func TestNoStatementRunsWhereItsSettingsFailed(t *testing.T) {
	insert := func(text string) string { return "INSERT INTO kv (name, content) VALUES ('k', '" + text + "')" }
	forms := map[string]func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error{
		"read": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			_, err := queryText(ctx, k, "SELECT '"+name+"/read'", mode)
			return err
		},
		"write": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			_, err := k.Exec(ctx, insert(name+"/write"), mode)
			return err
		},
		"write with its value": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			_, err := queryText(ctx, k, insert(name+"/returning")+" RETURNING content", mode)
			return err
		},
		"large value": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			large := strings.Repeat("x", 3*pg.SmallValue)
			if mode == pgx.QueryExecModeSimpleProtocol {
				_, err := k.Exec(ctx, insert(name+"/"+large), mode)
				return err
			}
			_, err := k.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('"+name+"/large', $1)", mode, large)
			return err
		},
		"transaction": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			tx, err := k.Begin(ctx)
			if err != nil {
				return err
			}
			if _, err := tx.Exec(ctx, insert(name+"/transaction"), mode); err != nil {
				return err
			}
			return tx.Commit(ctx)
		},
		"read-only transaction": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			tx, err := k.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
			if err != nil {
				return err
			}
			if _, err := tx.Exec(ctx, "SELECT '"+name+"/read-only'", mode); err != nil {
				return err
			}
			return tx.Rollback(ctx)
		},
		"several statements": func(ctx context.Context, k *pgx.Conn, _ pgx.QueryExecMode, name string) error {
			_, err := k.Exec(ctx, insert(name+"/first")+"; SELECT '"+name+"/second'", pgx.QueryExecModeSimpleProtocol)
			return err
		},
		"pipeline": func(ctx context.Context, k *pgx.Conn, _ pgx.QueryExecMode, name string) error {
			var b pgx.Batch
			b.Queue(insert(name + "/queued"))
			b.Queue("SELECT '" + name + "/queued'")
			return k.SendBatch(ctx, &b).Close()
		},
		"pinned session": func(ctx context.Context, k *pgx.Conn, mode pgx.QueryExecMode, name string) error {
			if _, err := k.Exec(ctx, "LISTEN x", mode); err != nil {
				return err
			}
			_, err := k.Exec(ctx, insert(name+"/pinned"), mode)
			return err
		},
	}
	modes := map[string]pgx.QueryExecMode{"simple": pgx.QueryExecModeSimpleProtocol, "extended": pgx.QueryExecModeExec, "prepared": pgx.QueryExecModeCacheStatement}
	for mode, m := range modes {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			p, o := startObserved(t, fmt.Sprintf(onePool, 1))
			ctx := t.Context()
			// other puts another session's setting on the connection.
			other := p.mustConnect(t)
			if _, err := other.Exec(ctx, "SET app.session = 'other'"); err != nil {
				t.Fatal(err)
			}
			for form, run := range forms {
				for _, name := range []string{"mine", "nobody"} { // for nobody the setting is reset
					for _, failures := range settingsFailures {
						k := p.mustConnect(t)
						if name != "nobody" {
							if _, err := k.Exec(ctx, "SET app.session = '"+name+"'"); err != nil {
								t.Fatal(err)
							}
						}
						if got, err := queryText(ctx, other, "SELECT 'other/before'"); got != "other/before" || err != nil {
							t.Fatalf("%q, %v", got, err)
						}
						o.failNext(failures)
						err := run(ctx, k, m, name)
						o.failNext(0)
						if err == nil && failures > 1 && name != "nobody" { // a new connection serves nobody without a change
							t.Errorf("%s of %s is answered as done although no setting can be changed", form, name)
						}
						if err != nil && failures == 1 {
							t.Errorf("%s of %s is not tried again after one failure: %v", form, name, err)
						}
						if !k.IsClosed() && k.PgConn().TxStatus() == 'I' {
							if got, err := queryText(ctx, k, "SELECT '"+name+"/after'"); got != name+"/after" || err != nil {
								t.Errorf("%s of %s, afterwards: %q, %v", form, name, got, err)
							}
						}
						k.Close(ctx)
						o.check(t)
					}
				}
			}
			if o.seen < 8*len(forms) {
				t.Errorf("only %d statements were observed", o.seen)
			}
		})
	}
}

// Guards against the same where a session keeps its connection until it ends, which a session with a setting had before it.
func TestNoStatementRunsWhereItsSettingsFailedInSessionMode(t *testing.T) {
	p, o := startObserved(t, strings.Replace(fmt.Sprintf(onePool, 1), `(user "app")`, `(user "app") (mode session)`, 1))
	for _, failures := range settingsFailures {
		for _, sql := range []string{"SELECT 'nobody/read'", "INSERT INTO kv (name, content) VALUES ('k', 'nobody/write')"} {
			c, err := clients.Start(p.address, "app", testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if got := c.Ask("SET app.session = 'other'"); got != "ready" {
				t.Fatal(got)
			}
			c.Close()
			next := p.mustConnect(t)
			o.failNext(failures)
			_, _ = next.Exec(t.Context(), sql, pgx.QueryExecModeSimpleProtocol)
			o.failNext(0)
			next.Close(t.Context())
			o.check(t)
		}
	}
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

// These tests check what the gateway believes of a host connection after a failure or an unusual end.

// insertText is an INSERT of the value text.
func insertText(text string) string {
	return "INSERT INTO kv (name, content) VALUES ('k', '" + text + "')"
}

// extended returns the messages that run statements by the extended query protocol, without the Sync or Flush at their end.
func extended(statements ...string) (out []byte) {
	for _, sql := range statements {
		out = pg.AppendParse(out, pg.ParseMessage{Text: sql})
		out = pg.AppendBind(out, "", "", make([]byte, 6))
		out = pg.Append(out, pg.Execute, make([]byte, 5))
	}
	return out
}

// startClient connects as the user of the pool.
func (p *pooled) startClient(t *testing.T) *clients.Client {
	t.Helper()
	c, err := clients.Start(p.address, "app", testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// connectStarted connects with a startup message that sets app.session to "started".
func (p *pooled) connectStarted(t *testing.T) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://app@" + p.address + "/store?sslmode=disable&app.session=started")
	if err != nil {
		t.Fatal(err)
	}
	k, err := pgx.ConnectConfig(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close(context.Background()) })
	return k
}

// readUntil reads messages up to one of the given type, and returns the types of all.
func readUntil(t *testing.T, c *clients.Client, until byte) (kinds string) {
	t.Helper()
	for {
		kind, _, err := pg.Read(c.In, 1<<20)
		if err != nil {
			t.Fatalf("after messages of types %q: %v", kinds, err)
		}
		if kind != pg.ParameterStatus {
			kinds += string(kind)
		}
		if kind == until {
			return kinds
		}
	}
}

// Guards against a connection that goes to the next session with an open implicit transaction, or while the host skips
// messages, because its client left between a Flush and the Sync.
func TestClientLeavesBetweenFlushAndSync(t *testing.T) {
	for name, c := range map[string]struct {
		statement string
		until     byte
	}{
		"after a write":    {insertText("left"), pg.CommandComplete},
		"after a SET":      {"SET app.session = 'left'", pg.CommandComplete},
		"after an error":   {"FAIL", pg.ErrorResponse},
		"after a read":     {"SELECT 'left'", pg.CommandComplete},
		"before an answer": {"SELECT pg_sleep(0.2)", pg.ParseComplete},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
			left := p.startClient(t)
			_, _ = left.Write(pg.Append(extended(c.statement), pg.Flush))
			if c.until != pg.ParseComplete {
				readUntil(t, left, c.until)
			}
			left.Close()
			next := p.startClient(t)
			for _, ask := range [][2]string{{"SHOW app.session", "row "}, {insertText("next"), "ready"}, {"FAIL", "22012"}} {
				if got := next.Ask(ask[0]); got != ask[1] {
					t.Errorf("%s is answered %q to the next session, want %q", ask[0], got, ask[1])
				}
			}
			if ids := p.cluster.CommitsByID(); ids["left"] != 0 || ids["next"] != 1 {
				t.Errorf("committed: %v", ids)
			}
		})
	}
}

// Guards against a first batch that runs again, on this or another connection, because a message of a later one cannot be
// read.
func TestInvalidMessageDoesNotRepeatFirstBatch(t *testing.T) {
	for name, c := range map[string]struct {
		operator string
		first    string
	}{
		"in a transaction":    {fmt.Sprintf(onePool, 4), "BEGIN; " + insertText("first")},
		"in a pinned session": {fmt.Sprintf(onePool, 4), "LISTEN x; " + insertText("first")},
		"in session mode":     {strings.Replace(fmt.Sprintf(onePool, 4), `(user "app")`, `(user "app") (mode session)`, 1), insertText("first")},
	} {
		for kind, message := range map[string][]byte{
			"Parse":    pg.Append(nil, pg.Parse, []byte("x")),
			"Bind":     pg.Append(nil, pg.Bind, []byte("x")),
			"Describe": pg.Append(nil, pg.Describe, []byte("x")),
			"Execute":  pg.Append(nil, pg.Execute, []byte("x")),
			"Close":    pg.Append(nil, pg.Close, []byte("x")),
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				p, o := startObserved(t, c.operator)
				k := p.startClient(t)
				_, _ = k.Write(pg.Append(slices.Clone(message), pg.Sync))
				if got := k.Answer(); got != "08P01, closed" {
					t.Errorf("the invalid message is answered %q in the first batch", got)
				}
				k = p.startClient(t)
				if got := k.Ask(c.first); got != "ready" {
					t.Fatal(got)
				}
				_, _ = k.Write(pg.Append(message, pg.Sync))
				_ = k.SetReadDeadline(time.Now().Add(3 * time.Second))
				got := k.Answer()
				if got != "08P01, closed" {
					t.Errorf("the invalid message is answered %q in a later batch", got)
				}
				k.Close()
				time.Sleep(50 * time.Millisecond)
				if n := o.count(insertText("first")); n != 1 {
					t.Errorf("the first batch ran %d times", n)
				}
			})
		}
	}
}

// Guards against a SET that the session keeps although the error behind it, in a later part of the same pipeline, has undone
// it at the host.
func TestErrorAfterFlushUndoesSet(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	c := p.startClient(t)
	if got := c.Ask("SET app.session = 'first'"); got != "ready" {
		t.Fatal(got)
	}
	_, _ = c.Write(pg.Append(extended("SET app.session = 'undone'"), pg.Flush))
	readUntil(t, c, pg.CommandComplete)
	_, _ = c.Write(pg.Append(extended("FAIL"), pg.Sync))
	readUntil(t, c, pg.ReadyForQuery)
	for range 2 {
		if got := c.Ask("SHOW app.session"); got != "row first" {
			t.Errorf("the session reads %q", got)
		}
		if got := p.startClient(t).Ask("SHOW app.session"); got != "row " { // puts its own settings on the connection
			t.Errorf("another session reads %q", got)
		}
	}
}

// Guards against a session's startup settings that are lost by its RESET, and against those of another session that stay.
func TestResetReturnsToStartupSettings(t *testing.T) {
	for _, reset := range []string{"RESET app.session", "RESET ALL", "DISCARD ALL", "SET app.session TO DEFAULT"} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			t.Run(fmt.Sprint(reset, ", ", mode), func(t *testing.T) {
				t.Parallel()
				p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
				k := p.connectStarted(t)
				for _, sql := range []string{"SET app.session = 'changed'", reset} {
					if _, err := k.Exec(t.Context(), sql, mode); err != nil {
						t.Fatal(sql, err)
					}
				}
				tx, err := k.Begin(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				for _, sql := range []string{"SET app.session = 'in the transaction'", strings.Replace(reset, "DISCARD", "RESET", 1)} {
					if _, err := tx.Exec(t.Context(), sql, mode); err != nil {
						t.Fatal(sql, err)
					}
				}
				var got string
				if err := tx.QueryRow(t.Context(), "SHOW app.session", mode).Scan(&got); got != "started" || err != nil {
					t.Errorf("after %s in a transaction the session reads %q, %v", reset, got, err)
				}
				if err := tx.Rollback(t.Context()); err != nil {
					t.Fatal(err)
				}
				for range 2 {
					if got, err := queryText(t.Context(), k, "SHOW app.session", mode); got != "started" || err != nil {
						t.Errorf("after %s the session reads %q, %v", reset, got, err)
					}
					if got := p.startClient(t).Ask("SHOW app.session"); got != "row " {
						t.Errorf("after %s another session reads %q", reset, got)
					}
				}
			})
		}
	}
}

// Guards against a request of the platform that runs under the settings which a pooled session left on its connection.
func TestPlatformRequestsRunWithoutSessionSettings(t *testing.T) {
	p, o := startObserved(t, fmt.Sprintf(onePool, 1))
	k := p.startClient(t)
	platform, err := clients.Start(p.address, "backend", testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	for i, r := range []clients.Request{
		{Class: "order", Key: "nobody/key", Wait: 2 * time.Second, Write: true, Value: []byte("x")},
		{Class: "own", Key: "nobody/key", Wait: 2 * time.Second},
		{Class: "view", Key: "nobody/key", Wait: 2 * time.Second},
		{Class: "order", Key: "nobody/key", Wait: 2 * time.Second, Write: true, Value: make([]byte, pg.SmallValue+1)},
	} {
		if got := k.Ask(fmt.Sprintf("SET app.session = 'other%d'", i)); got != "ready" {
			t.Fatal(got)
		}
		if got := platform.Do(r, nil); got.Code != "" {
			t.Errorf("%s is answered %+v", r.Key, got)
		}
		if got := k.Ask(fmt.Sprintf("SELECT 'other%d/after'", i)); got != fmt.Sprintf("row other%d/after", i) {
			t.Errorf("the session is answered %q", got)
		}
	}
	o.check(t)
}

// Guards against a SET that is undone because an earlier batch of the session, already given up, ends after it.
func TestBatchGivenUpDoesNotUndoLaterSet(t *testing.T) {
	const (
		giveUp      = 2 * time.Second
		cancelAfter = 1700 * time.Millisecond // the gateway waits for 1 s for the end of a cancel, so until after giveUp
		canceledBy  = 3 * time.Second
	)
	edit := func(config string) string {
		return strings.Replace(config, `"effect":"fragile","group":"all","onTime":400000000,"giveUp":20000000000`,
			fmt.Sprintf(`"effect":"fragile","group":"all","onTime":400000000,"giveUp":%d`, giveUp), 1)
	}
	p := startPooled(t, 1, fmt.Sprintf(onePool, 4), edit, func(h *hosts.Host) {
		h.CancelDelay = 2 * canceledBy
		h.BeforeStatement = func(text string, _ map[string]string) *pg.Error {
			if text == insertText("slow") {
				time.Sleep(2 * canceledBy)
			}
			return nil
		}
	})
	k, ctx, start := p.mustConnect(t), t.Context(), time.Now()
	go func() {
		time.Sleep(cancelAfter)
		_ = k.PgConn().CancelRequest(ctx)
	}()
	_, err := k.Exec(ctx, insertText("slow"), pgx.QueryExecModeSimpleProtocol)
	if took := time.Since(start); err == nil || took < cancelAfter || took > canceledBy {
		t.Fatalf("the slow statement ended after %v with %v", took, err)
	}
	if _, err := k.Exec(ctx, "SET app.session = 'kept'", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(start.Add(canceledBy)))
	if got, err := queryText(ctx, k, "SHOW app.session", pgx.QueryExecModeSimpleProtocol); got != "kept" || err != nil {
		t.Errorf("the session reads %q, %v", got, err)
	}
}

// Guards against a connection that still has a session's startup settings but is believed to lack them, because the session ran
// a RESET on another connection in between.
func TestResetOnOneConnectionLeavesSettingsOfAnotherKnown(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 2), nil, nil)
	k := p.connectStarted(t)
	other, holder := p.startClient(t), p.startClient(t)
	session := func(sql string) {
		t.Helper()
		if _, err := k.Exec(t.Context(), sql, pgx.QueryExecModeSimpleProtocol); err != nil {
			t.Fatal(sql, err)
		}
	}
	hold := func(sql string) { // BEGIN takes the connection that was used last, COMMIT gives it back
		t.Helper()
		if got := holder.Ask(sql); got != "ready" {
			t.Fatal(sql, got)
		}
	}
	session("SHOW app.session")
	hold("BEGIN")
	session("SHOW app.session") // on the second connection, which now has the startup settings
	hold("COMMIT")
	session("SET app.session = 'changed'") // on the first one again
	session("RESET ALL")
	hold("BEGIN")
	session("SHOW app.session") // on the second one, which has what the session needs
	if got := other.Ask("SHOW app.session"); got != "row " {
		t.Errorf("another session reads %q", got)
	}
	if n := p.cluster.PeakConns(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against an error message that is written into the middle of a row, which the client takes for the row's end or for whose
// rest it waits for ever, when a host hangs within the row until the request's time is over, or closes the connection.
func TestHostStopsWithinRow(t *testing.T) {
	const giveUp = time.Second
	edit := func(config string) string {
		return strings.ReplaceAll(config, `"giveUp":20000000000`, fmt.Sprintf(`"giveUp":%d`, giveUp))
	}
	value := strings.Repeat("x", 3*pg.SmallValue)
	for name, messages := range map[string][]byte{
		"simple":   pg.AppendQuery(nil, insertText(value)+" RETURNING content"),
		"extended": pg.Append(extended(insertText(value)+" RETURNING content"), pg.Sync),
	} {
		for _, ends := range []bool{false, true} { // the host closes the connection 20 bytes before the row's end
			t.Run(fmt.Sprintf("%s, host ends %v", name, ends), func(t *testing.T) {
				t.Parallel()
				p := startPooled(t, 1, fmt.Sprintf(onePool, 1), edit, func(h *hosts.Host) {
					h.HangWithin = func(answer []byte) int {
						if len(answer) < len(value) {
							return -1
						}
						return bytes.LastIndexByte(answer, 'x') - 20
					}
					h.EndAfterHang = ends
				})
				c, start := p.startClient(t), time.Now()
				_, _ = c.Write(messages)
				got := c.ReadReply()
				if took := time.Since(start); !got.Closed || got.Row || took > 3*giveUp {
					t.Errorf("closed %v, row %v after %v", got.Closed, got.Row, took)
				}
			})
		}
	}
}

// Guards against a connection that is shared while its host skips messages, because a query came behind a failed pipeline that
// has no Sync yet: the host discards that query as well.
func TestQueryBehindFailedPipelineIsSkipped(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 2), nil, nil)
	c := p.startClient(t)
	if got := c.Ask("SET app.session = 'mine'"); got != "ready" {
		t.Fatal(got)
	}
	_, _ = c.Write(pg.Append(extended("FAIL"), pg.Flush))
	readUntil(t, c, pg.ErrorResponse)
	c.Send("SELECT 'skipped'")
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		if got := p.startClient(t).Ask("SHOW app.session"); got != "row " {
			t.Errorf("another session reads %q", got)
		}
	}
	_, _ = c.Write(pg.Append(nil, pg.Sync))
	if got := readUntil(t, c, pg.ReadyForQuery); got != string(pg.ReadyForQuery) {
		t.Errorf("the Sync is answered by messages of types %q", got)
	}
	if got := c.Ask("SHOW app.session"); got != "row mine" {
		t.Errorf("the session reads %q", got)
	}
}

// Guards against a statement whose effect on its connection is not noticed because its portal was bound by an earlier batch of
// the pipeline or of the transaction: the next session would get the connection with a setting of this one.
func TestEarlierPortalIsTracked(t *testing.T) {
	const set = "SET app.session = 'first'"
	bind := func(sql, portal string) []byte {
		return pg.AppendBind(pg.AppendParse(nil, pg.ParseMessage{Text: sql}), portal, "", make([]byte, 6))
	}
	execute := func(portal string) []byte {
		return pg.Append(nil, pg.Execute, append([]byte(portal), make([]byte, 5)...))
	}
	for name, batches := range map[string][][]byte{
		"unnamed, after a Flush":       {pg.Append(bind(set, ""), pg.Flush), pg.Append(execute(""), pg.Sync)},
		"named, after a Flush":         {pg.Append(bind(set, "p"), pg.Flush), pg.Append(execute("p"), pg.Sync)},
		"named, after two Flushes":     {pg.Append(bind(set, "p"), pg.Flush), pg.Append(bind("SELECT 'x'", ""), pg.Flush), pg.Append(execute("p"), pg.Sync)},
		"named, within a transaction":  {pg.AppendQuery(nil, "BEGIN"), pg.Append(bind(set, "p"), pg.Sync), pg.Append(execute("p"), pg.Sync), pg.AppendQuery(nil, "COMMIT")},
		"after a batch of another one": {pg.AppendQuery(nil, "BEGIN"), pg.Append(bind(set, "p"), pg.Sync), pg.AppendQuery(nil, "SELECT 'x'"), pg.Append(execute("p"), pg.Sync), pg.AppendQuery(nil, "COMMIT")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
			first := p.startClient(t)
			for i, batch := range batches {
				_, _ = first.Write(batch)
				until := pg.ReadyForQuery
				if i < len(batches)-1 && batch[len(batch)-5] == pg.Flush {
					until = pg.BindComplete
				}
				if kinds := readUntil(t, first, byte(until)); strings.ContainsRune(kinds, rune(pg.ErrorResponse)) {
					t.Errorf("batch %d is answered with an error: %q", i, kinds)
				}
			}
			if got := p.startClient(t).Ask("SHOW app.session"); got != "row " {
				t.Errorf("the next session's setting: %q", got)
			}
			if got := first.Ask("SHOW app.session"); got != "row first" {
				t.Errorf("the session's own setting: %q", got)
			}
		})
	}
}

package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/pg"
)

// askPipeline sends messages and a Sync, and returns the types of the answers, the code of the error if there is one, and the transaction
// status.
func askPipeline(t *testing.T, c *clients.Client, messages []byte) (kinds, code string, status byte) {
	t.Helper()
	_, _ = c.Write(pg.Append(messages, pg.Sync))
	for {
		kind, body, err := pg.Read(c.In, 1<<20)
		if err != nil {
			t.Fatalf("after messages of types %q: %v", kinds, err)
		}
		switch kind {
		case pg.ParameterStatus:
			continue
		case pg.ErrorResponse:
			code = pg.ReadError(body).Code
		case pg.ReadyForQuery:
			return kinds + string(kind), code, body[0]
		}
		kinds += string(kind)
	}
}

func parseNamed(name, sql string) []byte {
	return pg.AppendParse(nil, pg.ParseMessage{Name: name, Text: sql})
}

func runNamed(name string) []byte {
	return pg.Append(pg.AppendBind(nil, "", name, make([]byte, 6)), pg.Execute, make([]byte, 5))
}

// Guards against names of prepared statements that the session keeps or loses although the host has skipped their Parse or Close
// after an error in the same pipeline.
func TestSkippedMessagesLeavePreparedNames(t *testing.T) {
	const text, other = "SELECT 'text'", "SELECT 'other'"
	fail := extended("FAIL")
	for name, c := range map[string]struct {
		pipeline []byte // behind an error
		then     []byte
		want     string // types of the answers
	}{
		"a Parse of a known text":        {parseNamed("b", text), parseNamed("b", text), "1Z"},
		"a Parse of a new text":          {parseNamed("b", other), parseNamed("b", text), "1Z"},
		"a Close":                        {pg.AppendTarget(nil, pg.Close, 'S', "a"), runNamed("a"), "2DCZ"},
		"a Close and a Parse":            {append(pg.AppendTarget(nil, pg.Close, 'S', "a"), parseNamed("a", other)...), runNamed("a"), "2DCZ"},
		"a Parse and a Close":            {append(parseNamed("b", text), pg.AppendTarget(nil, pg.Close, 'S', "b")...), parseNamed("b", text), "1Z"},
		"a Parse of the unnamed":         {parseNamed("", other), runNamed("a"), "2DCZ"},
		"nothing but the failed Execute": {nil, runNamed("a"), "2DCZ"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
			k := p.startClient(t)
			if kinds, code, _ := askPipeline(t, k, parseNamed("a", text)); kinds != "1Z" {
				t.Fatalf("the first Parse is answered %q %s", kinds, code)
			}
			if _, code, _ := askPipeline(t, k, append(fail[:len(fail):len(fail)], c.pipeline...)); code != "22012" {
				t.Fatalf("the failing pipeline is answered %q", code)
			}
			if kinds, code, _ := askPipeline(t, k, c.then); kinds != c.want {
				t.Errorf("answered %q %s, want %q", kinds, code, c.want)
			}
		})
	}
}

// Guards against an error that the client gets while the host goes on as if there was none: what precedes a Parse under a name that is
// in use was committed, and the transaction went on.
func TestDuplicateNameFailsPipelineAtHost(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	k := p.startClient(t)
	const text = "SELECT 'text'"
	if kinds, code, _ := askPipeline(t, k, parseNamed("a", text)); kinds != "1Z" {
		t.Fatalf("the first Parse is answered %q %s", kinds, code)
	}
	for _, duplicate := range []string{text, "SELECT 'other'"} {
		if _, code, status := askPipeline(t, k, append(extended(insertText("undone")), parseNamed("a", duplicate)...)); code != "42P05" || status != 'I' {
			t.Errorf("a pipeline with a name in use is answered %q, status %c", code, status)
		}
		if got := k.Ask("BEGIN"); got != "ready" {
			t.Fatalf("BEGIN is answered %q", got)
		}
		if _, code, status := askPipeline(t, k, parseNamed("a", duplicate)); code != "42P05" || status != 'E' {
			t.Errorf("within a transaction a name in use is answered %q, status %c, want 42P05 and E", code, status)
		}
		_ = k.Ask("ROLLBACK")
	}
	if kinds, code, _ := askPipeline(t, k, runNamed("a")); kinds != "2DCZ" {
		t.Errorf("the statement of the name is answered %q %s", kinds, code)
	}
	if ids := p.cluster.CommitsByID(); ids["undone"] != 0 {
		t.Errorf("committed: %v", ids)
	}
}

// The text of an error names the statement as the client does.
func TestDuplicateNameErrorHasClientsName(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 1), nil, nil)
	k := p.startClient(t)
	_, _ = k.Write(pg.Append(append(parseNamed("customer", "SELECT 'x'"), parseNamed("customer", "SELECT 'y'")...), pg.Sync))
	for {
		kind, body, err := pg.Read(k.In, 1<<20)
		if err != nil || kind == pg.ReadyForQuery {
			t.Fatalf("no error came: %v", err)
		}
		if kind == pg.ErrorResponse {
			if e := pg.ReadError(body); !strings.Contains(e.Message, `"customer"`) {
				t.Errorf("the error is %q", e.Message)
			}
			return
		}
	}
}

// Guards against work that is committed although its client was told that the pipeline has failed: the gateway refused a message, and
// the host, which had got an earlier part up to a Flush, did not know of it.
func TestRefusedMessageUndoesItsPipeline(t *testing.T) {
	for name, c := range map[string]struct {
		message []byte
		code    string
	}{
		"a COPY":         {pg.AppendParse(nil, pg.ParseMessage{Text: "COPY kv FROM STDIN"}), "0A000"},
		"a long message": {pg.AppendParse(nil, pg.ParseMessage{Text: "SELECT '" + strings.Repeat("x", 100<<10) + "'"}), "54000"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPooled(t, 1, strings.Replace(fmt.Sprintf(onePool, 1), "(read view)", "(read view) (batch 65536)", 1), nil, nil)
			k := p.startClient(t)
			_, _ = k.Write(pg.Append(extended(insertText("undone")), pg.Flush))
			readUntil(t, k, pg.CommandComplete)
			_, _ = k.Write(pg.Append(c.message, pg.Sync))
			if _, body, err := pg.Read(k.In, 1<<20); err != nil || pg.ReadError(body).Code != c.code {
				t.Errorf("refused with %v, %q", err, body)
			}
			_, _ = k.Write(pg.AppendQuery(nil, "SELECT 'x'"))
			for err := error(nil); err == nil; { // up to the end of the session
				var kind byte
				if kind, _, err = pg.Read(k.In, 1<<20); kind == pg.DataRow {
					break
				}
			}
			if got := p.startClient(t).Ask(insertText("next")); got != "ready" {
				t.Errorf("the next session is answered %q", got)
			}
			if ids := p.cluster.CommitsByID(); ids["undone"] != 0 || ids["next"] != 1 {
				t.Errorf("committed: %v", ids)
			}
		})
	}
}

// Guards against a request that is allowed and routed as one of another tenant, that of the session's unnamed statement before.
func TestUnnamedStatementBelongsToItsOwnTenant(t *testing.T) {
	p := startPooled(t, 1, `(cells (claims yes) (cell "c") (tenant "apollo") (tenant "medi") (user "app" (tenants "apollo")))
		(pools (rest 0s) (pool "apollo" (tenant "apollo") (read view) (own own) (write order)))`, nil, nil)
	k := p.startClient(t)
	for _, c := range []struct{ tenant, code string }{{"apollo", ""}, {"medi", "42501"}, {"apollo", ""}} {
		if _, code, _ := askPipeline(t, k, extended("SELECT 'x' /* tenant="+c.tenant+" */")); code != c.code {
			t.Errorf("a statement of %s is answered %q, want %q", c.tenant, code, c.code)
		}
	}
}

// Guards against a DEALLOCATE that the gateway answers as if the host had run it: within a pipeline it told the client that the
// work before was committed, and in a failed transaction that it had run.
func TestDeallocateIsNotAnsweredForHost(t *testing.T) {
	p := startPooled(t, 1, fmt.Sprintf(onePool, 2), nil, nil)
	start := func() *clients.Client {
		k := p.startClient(t)
		if kinds, code, _ := askPipeline(t, k, parseNamed("a", "SELECT 'x'")); kinds != "1Z" {
			t.Fatalf("the Parse is answered %q %s", kinds, code)
		}
		return k
	}
	k := start()
	_, _ = k.Write(pg.Append(extended(insertText("piped")), pg.Flush))
	readUntil(t, k, pg.CommandComplete)
	got := k.Ask("DEALLOCATE a")
	k.Close()
	if got == "ready" {
		time.Sleep(50 * time.Millisecond) // what the gateway does after the client has left
	}
	if n := p.cluster.CommitsByID()["piped"]; (got == "ready") != (n == 1) {
		t.Errorf("DEALLOCATE behind a Flush is answered %q, and the INSERT before it was committed %d times", got, n)
	}
	k = start()
	if got := k.Ask("BEGIN"); got != "ready" {
		t.Fatalf("BEGIN is answered %q", got)
	}
	_ = k.Ask("FAIL")
	if got := k.Ask("DEALLOCATE a"); got != "25P02" {
		t.Errorf("in a failed transaction DEALLOCATE is answered %q", got)
	}
	_ = k.Ask("ROLLBACK")
	for _, want := range []string{"ready", "26000"} {
		if got := k.Ask("DEALLOCATE a"); got != want {
			t.Errorf("DEALLOCATE is answered %q, want %q", got, want)
		}
	}
}

package main

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/internal/wire/pg"
)

func TestBadInput(t *testing.T) {
	h := newHost(t, "s-1", "leader", nil)
	g := start(t, nil, h)
	view := comment("view", "")
	message := func(kind byte, body string) []byte { return pg.Append(nil, kind, []byte(body)) }
	query := func(q string) []byte { return pg.AppendQuery(nil, q) }
	sync := message(pg.Sync, "")
	for _, c := range []struct {
		name  string
		bytes []byte
		want  []string // the answers; "closed" where the gateway must close the connection
	}{
		{"another statement", query("DELETE FROM kv " + view), []string{"42601"}},
		{"another table", query("SELECT content FROM kw WHERE name = 'k' " + view), []string{"42601"}},
		{"two statements", query(read("k", view) + "; " + read("k", view)), []string{"42601"}},
		{"no comment", query("SELECT content FROM kv WHERE name = 'k'"), []string{"42601"}},
		{"open quote", query("SELECT content FROM kv WHERE name = 'k"), []string{"42601"}},
		{"odd hex digits", query(write("k", "9f0", comment("order", ""))), []string{"42601"}},
		{"a truncated comment", query("SELECT content FROM kv WHERE name = 'k' /* */"), []string{"42601"}},
		{"no id", query(read("k", "/* c=view,d=1,cluster=1 */")), []string{"42601"}},
		{"no class", query(read("k", "/* id=1,d=1,cluster=1 */")), []string{"42601"}},
		{"a duplicate field", query(read("k", comment("view", ",id=2"))), []string{"42601"}},
		{"a field that is not a number", query(read("k", comment("view", ",after=soon"))), []string{"42601"}},
		{"a position out of range", query(read("k", comment("own", ",after=9223372036854775807"))), []string{"42601"}},
		{"an unknown class", query(read("k", comment("other", ""))), []string{"42704"}},
		{"an unknown group", query(read("k", "/* id=2,c=view,d=900,cluster=7 */")), []string{"53300 come back"}},
		{"a write in a read's class", query(write("k", "9f", view)), []string{"42704"}},
		{"a value of over 4 MiB", query(write("k", strings.Repeat("9f", pg.MaxValue+1), view)), []string{"08P01"}},
		{"a large write in a read's class", query(write("k", strings.Repeat("9f", pg.SmallValue*3), view)), []string{"42704"}},
		{"a long message", message(pg.Query, strings.Repeat("x", 1<<20)), []string{"08P01"}},
		{"a query without its terminating zero byte", message(pg.Query, "SELECT 1"), []string{"08P01"}},
		{"no body", message(pg.Query, ""), []string{"08P01"}},
		{"an extended query", append(append(message(pg.Parse, "\x00SELECT 1\x00\x00\x00"), message(pg.Bind, "x")...),
			sync...), []string{"0A000"}},
		{"a function call", message(pg.Function, "xxxx"), []string{"0A000"}},
		{"a password", message(pg.Password, "x\x00"), []string{"08P01"}},
		{"only white space", query(" ;\n"), []string{"empty"}},
		{"an unknown message type", message('!', ""), []string{"08P01, closed"}},
		{"an unknown message type without its body", []byte{'!', 0, 1, 0, 0}, []string{"08P01, closed"}},
		{"a truncated message", []byte{'Q', 0, 0, 0, 9, 'S'}, []string{"08P01, closed"}},
		{"a length under 4", []byte{'Q', 0, 0, 0, 3}, []string{"08P01, closed"}},
		{"a length over the limit", []byte{'Q', 0x7f, 0xff, 0xff, 0xff}, []string{"08P01, closed"}},
		{"pipelined commands", append(query(""), query("x")...), []string{"empty", "42601"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := g.client()
			conn.Write(c.bytes)
			var got []string
			for range c.want {
				got = append(got, conn.Answer())
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			if !strings.HasSuffix(c.want[len(c.want)-1], "closed") {
				if got := conn.Ask(""); got != "empty" {
					t.Errorf("the next query on the connection is answered %q", got)
				}
			}
		})
	}
	if asked := h.Queries(); len(asked) != 0 {
		t.Errorf("a host received %.300q", asked)
	}
}

func TestStartup(t *testing.T) {
	h := newHost(t, "s-1", "leader", nil)
	g := start(t, nil, h)
	session := pg.AppendStartup(nil, "backend", "store")
	version := func(major, minor byte) []byte {
		return append([]byte{0, 0, 0, 9, 0, major, 0, minor}, 0)
	}
	for _, c := range []struct {
		name  string
		bytes []byte
		want  []string
	}{
		{"a query in the same segment", append(session[:len(session):len(session)],
			pg.AppendQuery(nil, read("k", comment("view", "")))...), []string{"ready", "row k"}},
		{"a later minor version", version(3, 2), []string{"ready"}},
		{"another version", version(2, 0), []string{"0A000, closed"}},
		{"a packet of another protocol", []byte("GET / HTTP/1.1\r\n\r\n"), []string{"08P01, closed"}},
		{"a cancel request", []byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 0, 0, 0, 0, 0}, []string{"closed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := g.dial()
			conn.Write(c.bytes)
			for _, want := range c.want {
				if got := conn.Answer(); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			}
		})
	}
	conn := g.dial()
	conn.Write([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	if b, err := conn.In.ReadByte(); b != 'N' || err != nil {
		t.Fatalf("SSLRequest is answered %q (%v)", b, err)
	}
	conn.Write(session)
	if got := conn.Answer(); got != "ready" {
		t.Errorf("after SSLRequest: %q", got)
	}
}

// A request with the id of a request in flight is refused, not sent a second time.
func TestDuplicateRequestIDIsRefused(t *testing.T) {
	release := make(chan struct{})
	h := newHost(t, "s-1", "leader", nil)
	h.Script = func(_ int, query string) []byte { <-release; return h.Row(query) }
	g := start(t, nil, h)
	a, b, query := g.client(), g.client(), write("k", "9f", comment("order", ""))
	a.Send(query)
	for len(h.Queries()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := b.Ask(query); got != "42710" {
		t.Errorf("the second is answered %q", got)
	}
	close(release)
	if got := a.Answer(); got != "row k" || len(h.Queries()) != 1 {
		t.Errorf("the first is answered %q after %d sends", got, len(h.Queries()))
	}
}

// The gateway refuses a message by its stated length, before the body arrives.
func TestLongMessageIsRefusedBeforeItArrives(t *testing.T) {
	c := start(t, nil, newHost(t, "s-1", "leader", nil)).client()
	c.Write([]byte{'Q', 3, 0x93, 0x87, 0})
	if kind, _, err := pg.Read(c.In, 1000); kind != pg.ErrorResponse {
		t.Errorf("got %c (%v)", kind, err)
	}
	if got := c.Answer(); got != "08P01, closed" { // the rest is never sent
		t.Errorf("then %q", got)
	}
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/wire/pg"
)

// The tests start the real program: this test's own binary, which runs main where it is told to.
func TestMain(m *testing.M) {
	if os.Getenv("YOKEMAST_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const patience = 20 * time.Second // nothing here takes nearly as long: what is waited for is lost if it runs out

// host is a database host. It answers each query as script says; nil means with the query's key as the row.
type host struct {
	net.Listener
	id, role string
	script   func(n int, query string) []byte // n counts from 0; nil: close the connection; empty: stay silent
	mu       sync.Mutex
	queries  []string
	ended    chan struct{}             // gets one for each connection that has ended
	brief    bool                      // closes after each answer
	trail    func(query string) []byte // sent a moment after each answer
}

func newHost(t *testing.T, id, role string, script func(n int, query string) []byte) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{Listener: l, id: id, role: role, script: script, ended: make(chan struct{}, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *host) serve(c net.Conn) {
	defer func() {
		c.Close()
		h.ended <- struct{}{}
	}()
	in := bufio.NewReader(c)
	if _, _, err := pg.ReadStartup(in); err != nil {
		return
	}
	c.Write(pg.AppendWelcome(nil, pg.StartSession))
	for {
		_, body, err := pg.Read(in, 1<<20)
		if err != nil {
			return
		}
		query := strings.TrimSuffix(string(body), "\x00")
		if query == "SHOW server_load" {
			c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(h.load())}, "SHOW")))
			continue
		}
		h.mu.Lock()
		n := len(h.queries)
		h.queries = append(h.queries, query)
		h.mu.Unlock()
		answer := h.row(query)
		if h.script != nil {
			if answer = h.script(n, query); answer == nil {
				return
			}
		}
		c.Write(answer)
		if h.trail != nil {
			time.AfterFunc(2*time.Millisecond, func() { c.Write(h.trail(query)) })
			time.Sleep(4 * time.Millisecond) // what was written behind the query waits as long
		}
		if h.brief {
			return
		}
	}
}

func (h *host) load() string {
	primary := 0
	if h.role == "leader" {
		primary = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, primary)
}

func (h *host) asked() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.queries...)
}

func (h *host) notes() []byte {
	out := pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+h.role+"\x00"))
	position := fmt.Sprintf("replay_position\x00%d\x00", time.Now().UnixMilli())
	return pg.Append(out, pg.ParameterStatus, []byte(position))
}

// row is the answer of a query served with its own key as the value.
func (h *host) row(query string) []byte {
	s, err := pg.ParseStatement([]byte(query))
	if err != nil {
		return h.refuse("08P01")
	}
	return pg.AppendReady(append(h.notes(), pg.AppendRow(nil, pg.Value{Data: []byte(s.Key), Format: 1}, s.Tag())...))
}

func (h *host) refuse(code string) []byte {
	return pg.AppendReady(append(h.notes(), pg.AppendError(nil, &pg.Error{Code: code, Message: "no"})...))
}

func (h *host) entry(phase string) map[string]any {
	return map[string]any{"id": h.id, "host_port": h.Addr().String(), "cell": 1, "phase": phase, "size": 1.0,
		"up_since_ms": 0, "role": h.role}
}

func list(revision int, complete bool, entries ...map[string]any) string {
	b, _ := json.Marshal(map[string]any{"revision": revision, "complete": complete, "members": entries})
	return string(b)
}

// gateway is a running program.
type gateway struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	path    string // of the configuration
	log     *logged
	lists   chan string   // what discovery answers next
	left    chan struct{} // gets one for each call to discovery that the gateway ended
}

const settingsJSON = `{"balancers":1,"step":5000000,"membershipMode":"push","clients":{},
	"contract":{"cold":16000000000,"coldFrom":0.25,"overloadFactor":4,"stopSendingWithin":1000000000},
	"domain":{"behind":"silent","consistency":["recent","own_writes","update"],"oldestData":[500000000,0,0],
		"tokens":"client","zero":0},
	"limits":{"connIdle":30000000000,"connectTimeout":2000000000,"maxAttempts":10,"maxRetryAfter":1000000000,
		"mayCancel":true,"probes":true,"retryAfter":true},
	"profiles":[{"name":"view","effect":"retryable","group":"all","onTime":10000000000,"giveUp":20000000000,"credit":1},
		{"name":"own","effect":"retryable","group":"all","onTime":10000000000,"giveUp":20000000000,"credit":1},
		{"name":"order","effect":"fragile","group":"all","onTime":400000000,"giveUp":20000000000,"credit":3,
			"lateWorth":0.7}],
	"report":{"columns":["x0","x1"],"how":"piggyback"}}`

var gateways atomic.Int64

// ownAddress is a loopback address that no other gateway of the tests has, whatever ports others are given.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:5432", 64+pid%128, pid/128%256, 1+gateways.Add(1))
}

func config(t *testing.T, known, discovery string, edit func(string) string) string {
	c := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		ownAddress(), discovery, known, settingsJSON)
	if edit != nil {
		c = edit(c)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(c), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func program(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), "YOKEMAST_TEST_MAIN=1")
	return cmd
}

// logged is what a running program logs.
type logged struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// waitLog waits until the log holds the text.
func (g *gateway) waitLog(text string) {
	g.t.Helper()
	for end := time.Now().Add(patience); !strings.Contains(g.log.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("no %s in the log: %s", text, g.log)
		}
	}
}

// start runs a gateway that knows the hosts and waits until it is ready.
func start(t *testing.T, edit func(string) string, hosts ...*host) *gateway {
	t.Helper()
	g := &gateway{t: t, log: &logged{}, lists: make(chan string, 10), left: make(chan struct{}, 1000)}
	var entries []map[string]any
	for _, h := range hosts {
		entries = append(entries, h.entry("SERVING"))
	}
	known := list(41, true, entries...)
	stop := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") == "0" {
			fmt.Fprint(w, list(41, false))
			return
		}
		select {
		case l := <-g.lists:
			fmt.Fprint(w, l)
		case <-r.Context().Done():
			g.left <- struct{}{}
		case <-stop:
		}
	}))
	g.path = config(t, known, agent.Listener.Addr().String(), edit)
	g.cmd = program(context.Background(), "serve", "--config", g.path)
	g.cmd.Env = append(g.cmd.Env, "ROUTER_DISCOVERY="+agent.Listener.Addr().String())
	g.cmd.Stderr = g.log
	b, _ := os.ReadFile(g.path)
	g.address = gjson.GetBytes(b, "listen").Str
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait()
		for _, bad := range []string{"DATA RACE", "panicked", "goroutine "} {
			if strings.Contains(g.log.String(), bad) {
				t.Errorf("%s in the log: %s", bad, g.log)
			}
		}
		close(stop)
		agent.Close()
	})
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", g.address); err == nil {
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the gateway does not listen: %s", g.log)
		}
	}
	c := g.client()
	defer c.Close()
	if got := c.ask(""); got != "empty" {
		t.Fatalf("the empty query is answered %q", got)
	}
	return g
}

// client is a client's connection, with its startup done.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (g *gateway) dial() *client {
	g.t.Helper()
	n, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	n.SetDeadline(time.Now().Add(patience))
	g.t.Cleanup(func() { n.Close() })
	return &client{n, g.t, bufio.NewReader(n)}
}

func (g *gateway) client() *client {
	g.t.Helper()
	c := g.dial()
	c.Write(pg.AppendStartup(nil, "backend", "store"))
	if got := c.answer(); got != "ready" {
		g.t.Fatalf("the startup is answered %q", got)
	}
	return c
}

// answer reads up to ReadyForQuery or the end and puts it in a word or two.
func (c *client) answer() string {
	said := "ready"
	for {
		kind, body, err := pg.Read(c.in, 1<<20)
		switch {
		case err != nil && said == "ready":
			return "closed"
		case err != nil:
			return said + ", closed"
		}
		switch kind {
		case pg.DataRow:
			v, err := pg.RowData(body)
			said = fmt.Sprintf("row %s", v)
			if err != nil {
				said = err.Error()
			}
		case pg.EmptyQueryResponse:
			said = "empty"
		case pg.ErrorResponse:
			e := pg.ReadError(body)
			said = e.Code
			if e.Detail != "" {
				said += " come back"
			}
		case pg.ReadyForQuery:
			return said
		}
	}
}

func (c *client) send(query string) { c.Write(pg.AppendQuery(nil, query)) }

func (c *client) ask(query string) string {
	c.t.Helper()
	c.send(query)
	return c.answer()
}

var ids = make(chan int, 1)

func init() { ids <- 0 }

// comment makes a comment with a new id.
func comment(class string, more string) string {
	n := <-ids
	ids <- n + 1
	return fmt.Sprintf("/* id=%016x,c=%s,d=15000,cluster=1%s */", n, class, more)
}

func read(key, comment string) string {
	return "SELECT content FROM kv WHERE name = '" + key + "' " + comment
}

func write(key, value, comment string) string {
	return `INSERT INTO kv (name, content) VALUES ('` + key + `', '\x` + value + `') RETURNING content ` + comment
}

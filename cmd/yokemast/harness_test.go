package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
)

// TestMain runs main instead of the tests if YOKEMAST_TEST_MAIN is set: the tests start their own binary as
// the program.
func TestMain(m *testing.M) {
	if os.Getenv("YOKEMAST_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const testTimeout = 20 * time.Second // far longer than any step of the tests takes

// newHost starts a scripted host that is closed at the end of the test.
func newHost(t testing.TB, id, role string, script func(n int, query string) []byte) *hosts.Host {
	t.Helper()
	h, err := hosts.New(id, role, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	return h
}

// gateway is a running process of the program.
type gateway struct {
	t       testing.TB
	cmd     *exec.Cmd
	address string
	path    string // of the configuration
	log     *logBuffer
	agent   *discovery.Server
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

// ownAddress returns a loopback address that no other gateway of the tests uses.
func ownAddress() string {
	pid, n := os.Getpid(), int(gateways.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:5432", 64+pid%128, (pid/128+64*(n/250))%256, 1+n%250)
}

func config(t testing.TB, known, discovery string, edit func(string) string) string {
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

// logBuffer collects the log of a running program.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// waitLog waits until the log contains the text.
func (g *gateway) waitLog(text string) {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(g.log.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("no %s in the log: %s", text, g.log)
		}
	}
}

// start runs a gateway configured with the hosts and waits until it is ready.
func start(t testing.TB, edit func(string) string, all ...*hosts.Host) *gateway {
	t.Helper()
	return startWith(t, edit, nil, all...)
}

// startWith is start with additional command-line arguments.
func startWith(t testing.TB, edit func(string) string, args []string, all ...*hosts.Host) *gateway {
	t.Helper()
	return startBehind(t, edit, nil, args, all...)
}

// startBehind is startWith with a discovery agent that calls before, if it is not nil, ahead of each answer.
func startBehind(t testing.TB, edit func(string) string, before func(int, http.ResponseWriter, *http.Request) bool, args []string,
	all ...*hosts.Host) *gateway {
	t.Helper()
	g := &gateway{t: t, log: &logBuffer{}}
	var entries []discovery.Entry
	for _, h := range all {
		entries = append(entries, h.ListEntry("SERVING"))
	}
	g.agent = discovery.New(entries...)
	g.agent.Before = before
	g.path = config(t, g.agent.Snapshot(), g.agent.Listener.Addr().String(), edit)
	g.cmd = program(context.Background(), append([]string{"serve", "--config", g.path}, args...)...)
	g.cmd.Env = append(g.cmd.Env, "ROUTER_DISCOVERY="+g.agent.Listener.Addr().String())
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
		g.agent.Close()
	})
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", g.address); err == nil {
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the gateway is not listening: %s", g.log)
		}
	}
	c := g.client()
	defer c.Close()
	if got := c.Ask(""); got != "empty" {
		t.Fatalf("the empty query is answered %q", got)
	}
	return g
}

func (g *gateway) dial() *clients.Client {
	g.t.Helper()
	c, err := clients.Dial(g.address, testTimeout)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	return c
}

// client returns a client connection that has completed its startup.
func (g *gateway) client() *clients.Client {
	g.t.Helper()
	c, err := clients.Start(g.address, "backend", testTimeout)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	return c
}

// comment returns a statement's comment with a new request id.
func comment(class string, more string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=15000,cluster=1%s */", clients.NewID(), class, more)
}

func read(key, comment string) string {
	return "SELECT content FROM kv WHERE name = '" + key + "' " + comment
}

func write(key, value, comment string) string {
	return `INSERT INTO kv (name, content) VALUES ('` + key + `', '\x` + value + `') RETURNING content ` + comment
}

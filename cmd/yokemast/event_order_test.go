package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

// Each test in this file forces an order of events that is rare in service, between two steps of the gateway.

// killDelay returns how long after SIGTERM the platform may send SIGKILL, if the longest deadline is 3 s or
// more.
func killDelay() time.Duration {
	if raceDetector { // the race detector sleeps for 1 s when a process exits
		return 4700 * time.Millisecond
	}
	return 3700 * time.Millisecond
}

// waitReceived waits until a host has received n queries.
func waitReceived(t testing.TB, h *hosts.Host, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(h.Queries()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the host received %d queries, want %d", len(h.Queries()), n)
		}
	}
}

// waitCounter waits until a counter of the program has the value n.
func (g *gateway) waitCounter(name string, n int) {
	g.t.Helper()
	want := fmt.Sprintf("%q:%d,", name, n)
	for end := time.Now().Add(testTimeout); !strings.Contains(g.log.String(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("no %s in the log: %s", want, g.log)
		}
		_ = g.cmd.Process.Signal(syscall.SIGUSR1)
	}
}

// Requests in flight at SIGTERM are answered before SIGKILL may come 3.7 s later, whatever their deadline.
func TestSIGTERMAnswersInFlightBeforeExit(t *testing.T) {
	silent := func(int, string) []byte { return []byte{} }
	for _, c := range []struct {
		name  string
		host  func(h *hosts.Host)
		query string
		want  string
	}{
		{"a write at a host that hangs", func(h *hosts.Host) { h.Script = silent }, write("k", "9f", comment("order", "")), "58000"},
		{"a write that every host refuses as not primary", func(h *hosts.Host) { h.Script = alwaysError("25006")(h) }, write("k", "9f", comment("order", "")), "53300 come back"},
		{"a write whose host connection is not established", func(h *hosts.Host) { h.OnSession = func(int) { time.Sleep(testTimeout) } },
			write("k", "9f", comment("order", "")), "53300 come back"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "s-1", "leader", nil)
			c.host(h)
			edit := func(s string) string { // late answers have a value in these classes, so requests are kept for long
				return strings.Replace(s, `"onTime":400000000,"giveUp":20000000000`, `"onTime":14000000000,"giveUp":20000000000`, 1)
			}
			g := start(t, edit, h)
			client := g.client()
			client.Send(c.query)
			g.waitCounter("requests_taken", 1)
			_ = g.cmd.Process.Signal(syscall.SIGTERM)
			signaledAt := time.Now()
			if got := client.Answer(); got != c.want {
				t.Errorf("answered %q, want %q", got, c.want)
			}
			if err := g.cmd.Wait(); err != nil {
				t.Errorf("the process ended with %v", err)
			}
			if took := time.Since(signaledAt); took > killDelay() {
				t.Errorf("the process ended %s after SIGTERM", took)
			}
			if strings.Contains(g.log.String(), "ending with requests unanswered") {
				t.Errorf("the process ended with unanswered requests: %s", g.log)
			}
		})
	}
}

// A request's deadline counts from when the client sent it, also while its earlier pipelined commands are
// being answered.
func TestDeadlineCountsFromSendWhenPipelined(t *testing.T) {
	for _, before := range []int{1, 20} { // reading must go on however many commands wait
		release := make(chan struct{})
		h := newHost(t, "s-1", "leader", nil)
		h.Script = func(_ int, query string) []byte { <-release; return h.Row(query) }
		edit := func(s string) string { return strings.ReplaceAll(s, `"onTime":10000000000`, `"onTime":1000000000`) }
		c := start(t, edit, h).client()
		var all []byte
		for range before {
			all = pg.AppendQuery(all, read("k", comment("own", "")))
		}
		shortComment := strings.Replace(comment("own", ""), "d=15000", "d=600", 1)
		all = pg.AppendQuery(all, read("brief", shortComment))
		_, _ = c.Write(all)
		waitReceived(t, h, 1)
		time.Sleep(700 * time.Millisecond) // the last request's deadline has passed
		close(release)
		for range before {
			if got := c.Answer(); got != "row k" {
				t.Fatalf("answered %q", got)
			}
		}
		if got := c.Answer(); got != "53300 come back" {
			t.Errorf("after %d commands: the request past its deadline is answered %q", before, got)
		}
		if n := len(h.Queries()); n != before {
			t.Errorf("after %d commands: %d queries were sent", before, n)
		}
	}
}

// withoutProbes turns probes off, so that a host gets connections for requests alone: a process that starts
// probes hosts to learn the clock offset.
func withoutProbes(s string) string { return strings.Replace(s, `"probes":true`, `"probes":false`, 1) }

// disconnects are the ways in which a client disconnects.
var disconnects = []struct {
	name  string
	leave func(c *clients.Client)
}{
	{"closes", func(c *clients.Client) { _ = c.Close() }},
	{"half-closes", func(c *clients.Client) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	{"resets", func(c *clients.Client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() }},
	{"sends Terminate", func(c *clients.Client) { _, _ = c.Write(pg.Append(nil, pg.Terminate, nil)) }},
}

// A client that disconnects with pipelined commands waiting is noticed at once, and none of them is sent to a
// host.
func TestClientDisconnectDropsPipelinedCommands(t *testing.T) {
	for _, l := range disconnects {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "s-1", "leader", func(int, string) []byte { return []byte{} })
			g := start(t, nil, h)
			c := g.client()
			var all []byte
			for range 100 {
				all = pg.AppendQuery(all, read("k", comment("own", "")))
			}
			_, _ = c.Write(all)
			waitReceived(t, h, 1)
			l.leave(c)
			select {
			case <-h.Ended:
			case <-time.After(5 * time.Second): // the request's deadline is 15 s
				t.Fatal("the attempt is still in flight")
			}
			g.waitCounter("clients_open", 0)
			if n := len(h.Queries()); n != 1 {
				t.Errorf("%d queries were sent", n)
			}
		})
	}
}

// A write can't be canceled once it is sent, but while its host connection is being established it is dropped
// when its client disconnects.
func TestClientDisconnectDropsUnsentWrite(t *testing.T) {
	for _, l := range disconnects {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			connecting, admit := make(chan struct{}, 1), make(chan struct{})
			h := newHost(t, "s-1", "leader", nil)
			h.OnSession = func(n int) {
				if n == 0 {
					connecting <- struct{}{}
					<-admit
				}
			}
			g := start(t, withoutProbes, h)
			c := g.client()
			c.Send(write("left", "9f", comment("order", "")))
			<-connecting
			l.leave(c)
			g.waitCounter("requests_gone", 1)
			close(admit)
			if got := g.client().Ask(write("stays", "9f", comment("order", ""))); got != "row stays" {
				t.Fatalf("answered %q", got)
			}
			for _, q := range h.Queries() {
				if strings.Contains(q, "'left'") {
					t.Errorf("sent to a host after its client had disconnected: %s", q)
				}
			}
		})
	}
}

// A keyed write may be retried only within its window: it must not be sent on a connection that is
// established later.
func TestNoRetryAfterKeyWindowOnLateConnection(t *testing.T) {
	connecting, admit := make(chan struct{}, 1000), make(chan struct{})
	var firstFailed atomic.Bool // set when the first attempt fails: later connections are established late
	h := newHost(t, "s-1", "leader", func(int, string) []byte { firstFailed.Store(true); return nil })
	h.OnSession = func(int) {
		if firstFailed.Load() {
			connecting <- struct{}{}
			<-admit
		}
	}
	edit := func(s string) string {
		return strings.Replace(s, `"effect":"fragile","group":"all","onTime":400000000`, `"effect":"dedup","group":"all","keyTtl":500000000,"onTime":14000000000`, 1)
	}
	c := start(t, edit, h).client()
	c.Send(write("k", "9f", comment("order", "")))
	select {
	case <-connecting: // the first attempt failed, and the retry waits for its connection
	case <-time.After(testTimeout):
		t.Fatal("the gateway makes no retry")
	}
	time.Sleep(600 * time.Millisecond) // the window of 0.5 s ends
	close(admit)
	if got := c.Answer(); !strings.HasPrefix(got, "53300") {
		t.Errorf("answered %q", got)
	}
	if n := len(h.Queries()); n != 1 {
		t.Errorf("%d attempts were sent", n)
	}
}

// A connection requested before the drain notification may be established after the drain grace: nothing is
// sent on it.
func TestNoSendAfterDrainGraceOnLateConnection(t *testing.T) {
	for _, how := range []string{"DRAINING", "DELETED", "not listed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			connecting, admit := make(chan struct{}, 1000), make(chan struct{})
			h := newHost(t, "s-1", "leader", nil)
			h.OnSession = func(int) {
				connecting <- struct{}{}
				<-admit
			}
			other := newHost(t, "s-2", "follower", nil)
			other.Script = alwaysError("25006")(other)
			g := start(t, withoutProbes, h, other)
			c := g.client()
			c.Send(write("k", "9f", strings.Replace(comment("order", ""), "d=15000", "d=4000", 1)))
			<-connecting
			if how == "not listed" {
				g.agent.Remove(h.ID)
			} else {
				g.agent.Set(h.ListEntry(how))
			}
			g.waitLog(`"msg":"hosts listed"`)
			notifiedAt := time.Now()
			time.Sleep(time.Until(notifiedAt.Add(1100 * time.Millisecond))) // the drain grace has ended
			close(admit)
			if got := c.Answer(); !strings.HasPrefix(got, "53300") {
				t.Errorf("answered %q", got)
			}
			if received := h.Queries(); len(received) > 0 {
				t.Errorf("sent to a host that is %s: %s", how, received)
			}
		})
	}
}

// Connections in the kernel's accept queue when the listener closes are served. The process is stopped at
// that moment, so that connections queue up.
func TestAcceptQueueIsServedAtShutdown(t *testing.T) {
	g := start(t, nil, newHost(t, "s-1", "leader", nil))
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	g.waitLog(`"msg":"ending"`)
	signaledAt := time.Now()
	_ = g.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(signaledAt.Add(2970 * time.Millisecond))) // just after the process would have stopped accepting
	var all []*clients.Client
	for range 10 {
		c := g.dial()
		_, _ = c.Write(pg.AppendQuery(pg.AppendStartup(nil, "backend", "store"), read("k", comment("own", ""))))
		all = append(all, c)
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	for i, c := range all {
		if got := c.Answer(); got != "ready" {
			t.Fatalf("client %d: the startup is answered %q", i, got)
		}
		if got := c.Answer(); got != "row k" && got != "53300 come back" {
			t.Fatalf("client %d: answered %q, %s after SIGTERM: %s", i, got, time.Since(signaledAt), g.log)
		}
	}
}

// A client that pipelines more commands than are read ahead is refused and closed; its earlier commands are
// answered, and other clients are served.
func TestTooManyPipelinedCommands(t *testing.T) {
	release := make(chan struct{})
	h := newHost(t, "s-1", "leader", nil)
	h.Script = func(n int, query string) []byte {
		if n == 0 {
			<-release
		}
		return h.Row(query)
	}
	g := start(t, nil, h)
	c := g.client()
	all := pg.AppendQuery(nil, read("k", comment("own", "")))
	for range 1500 {
		all = pg.AppendQuery(all, "")
	}
	_, _ = c.Write(all)
	g.waitCounter("clients_overrun", 1)
	if got := g.client().Ask(read("other", comment("own", ""))); got != "row other" {
		t.Errorf("another client is answered %q", got)
	}
	close(release)
	if got := c.Answer(); got != "row k" {
		t.Errorf("answered %q", got)
	}
	answers := 0
	got := c.Answer()
	for ; got == "empty"; got = c.Answer() {
		answers++
	}
	if answers != 1023 || got != "53300 come back, closed" {
		t.Errorf("%d answers, then %q", answers, got)
	}
}

// resetConn resets the connection of an HTTP call and reports whether it could.
func resetConn(w http.ResponseWriter) bool {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	return true
}

// agentFaults are the faults of a discovery agent. Each function reports whether it has handled the call.
var agentFaults = map[string]func(http.ResponseWriter, *http.Request) bool{
	"silent": func(_ http.ResponseWriter, r *http.Request) bool { <-r.Context().Done(); return true },
	"resets": func(w http.ResponseWriter, _ *http.Request) bool { return resetConn(w) },
	"busy": func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	},
	"never ends": func(w http.ResponseWriter, r *http.Request) bool {
		_, _ = w.Write([]byte(`{"revision":`))
		for r.Context().Err() == nil {
			_, _ = w.Write([]byte(" "))
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
		return true
	},
	"breaks off": func(w http.ResponseWriter, _ *http.Request) bool {
		_, _ = w.Write([]byte(`{"revision":42,"complete":true,"members":[]}`)) // a list without the end of the response
		w.(http.Flusher).Flush()
		return resetConn(w)
	},
}

// A change that a failed watch call misses takes effect within 6 s.
func TestListAfterFailedWatch(t *testing.T) {
	for name, trouble := range agentFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "s-1", "leader", nil)
			began := make(chan time.Time, 1)
			g := startBehind(t, nil, func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n != 1 {
					return false
				}
				began <- time.Now()
				return trouble(w, r)
			}, nil, h, newHost(t, "s-2", "follower", nil))
			at := <-began
			g.agent.Set(h.ListEntry("DRAINING"))
			g.waitLog(`"msg":"hosts listed"`)
			if took := time.Since(at); took > 6*time.Second {
				t.Errorf("the drain took effect after %s", took)
			}
			if strings.Contains(g.log.String(), `"revision":42,"entries":0`) {
				t.Errorf("a truncated list was used: %s", g.log)
			}
		})
	}
}

// A drain that the discovery agent lists at the start counts as notified from the start of the process,
// before the configuration is read. Reading it takes 0.3 s here, as the file is a pipe.
func TestFirstListCountsFromProcessStart(t *testing.T) {
	const reading = 300 * time.Millisecond
	h := newHost(t, "s-1", "leader", nil)
	agent := discovery.New(h.ListEntry("SERVING"))
	t.Cleanup(agent.Close)
	path := config(t, agent.Snapshot(), agent.Listener.Addr().String(), nil)
	agent.Set(h.ListEntry("DRAINING"))
	text, _ := os.ReadFile(path)
	pipe := path + ".pipe"
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	g := &gateway{t: t, log: &logBuffer{}}
	g.cmd = program(t.Context(), "serve", "--config", pipe)
	g.cmd.Stderr = g.log
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = g.cmd.Process.Kill(); _ = g.cmd.Wait() }()
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process has opened the file
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(reading) // how long the file takes to read
	_, _ = w.Write(text)
	_ = w.Close()
	g.waitLog(`"msg":"hosts listed"`)
	for line := range strings.Lines(g.log.String()) {
		if before := gjson.Get(line, "notified_before"); before.Exists() {
			if d, err := time.ParseDuration(before.Str); err != nil || d < reading {
				t.Errorf("the first list counts as notified %s before it arrived (%v)", before.Raw, err)
			}
		}
	}
}

// A gateway becomes ready within 5 s, whatever discovery does, and serves by the list in its configuration.
func TestReadyDuringDiscoveryFaults(t *testing.T) {
	for name, trouble := range agentFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			g := startBehind(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) bool { return trouble(w, r) }, nil, newHost(t, "s-1", "leader", nil))
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("the gateway was ready after %s", took)
			}
			if got := g.client().Ask(write("k", "9f", comment("order", ""))); got != "row k" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// Idle clients use up the connection limit while discovery is unreachable. When discovery returns, the list
// arrives and new clients are served.
func TestDiscoveryReturnsAtConnectionLimit(t *testing.T) {
	var unreachable atomic.Bool
	h := newHost(t, "s-1", "leader", nil)
	edit := func(s string) string { return strings.Replace(s, `"sockets":1024`, `"sockets":256`, 1) }
	g := startBehind(t, edit, func(_ int, w http.ResponseWriter, r *http.Request) bool {
		return unreachable.Load() && agentFaults["resets"](w, r)
	}, nil, h)
	unreachable.Store(true)
	g.agent.CloseClientConnections()
	g.waitLog(`"discovery failed"`)
	for range 400 { // more than the connection limit
		n, err := net.Dial("tcp", g.address)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		_, _ = n.Write(pg.AppendStartup(nil, "backend", "store"))
	}
	g.waitCounter("clients_accepted", 402)
	g.agent.Set(newHost(t, "s-2", "leader", nil).ListEntry("SERVING"))
	unreachable.Store(false)
	returnedAt := time.Now()
	g.waitLog(`"discovery answers again"`)
	if took := time.Since(returnedAt); took > 5*time.Second {
		t.Errorf("the list arrived after %s", took)
	}
	for end := time.Now().Add(testTimeout); ; {
		c, err := clients.Start(g.address, "backend", testTimeout)
		if err == nil {
			got := c.Ask(write("k", "9f", comment("order", "")))
			c.Close()
			if got == "row k" {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatalf("no client is served: %s", g.log)
		}
	}
}

// Whatever the order of SIGHUP and SIGTERM, accepted requests are answered and the process exits cleanly and
// in time.
func TestSignalsInAnyOrder(t *testing.T) {
	const hup, term = syscall.SIGHUP, syscall.SIGTERM
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice": {term, term}, "SIGHUP after SIGTERM": {term, hup}, "SIGTERM after SIGHUP": {hup, term},
		"two SIGHUP and SIGTERM": {hup, hup, term}, "all at once": {hup, term, hup, term, hup},
		"SIGTERM in a series of SIGHUP": append(append(slices.Repeat([]syscall.Signal{hup}, 100), term), slices.Repeat([]syscall.Signal{hup}, 100)...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			h := newHost(t, "s-1", "leader", nil)
			h.Script = func(_ int, query string) []byte { <-release; return h.Row(query) }
			g := start(t, nil, h)
			c := g.client()
			c.Send(write("k", "9f", comment("order", "")))
			waitReceived(t, h, 1)
			for _, s := range signals {
				_ = g.cmd.Process.Signal(s)
			}
			g.waitLog(`"msg":"ending"`)
			signaledAt := time.Now()
			close(release)
			if got := c.Answer(); got != "row k" {
				t.Errorf("answered %q", got)
			}
			if err := g.cmd.Wait(); err != nil {
				t.Errorf("the process ended with %v", err)
			}
			if took := time.Since(signaledAt); took > killDelay() {
				t.Errorf("the process ended %s after SIGTERM", took)
			}
		})
	}
	t.Run("SIGTERM before it is ready", func(t *testing.T) {
		t.Parallel()
		h := newHost(t, "s-1", "leader", nil)
		cmd := program(t.Context(), "serve", "--config", config(t, discovery.List(41, true, h.ListEntry("SERVING")), "127.0.0.1:1", nil))
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		// The program handles signals from its first line on, which it reaches well within 0.2 s.
		time.Sleep(200 * time.Millisecond)
		_ = cmd.Process.Signal(term)
		signaledAt := time.Now()
		if err := cmd.Wait(); err != nil {
			t.Errorf("the process ended with %v", err)
		}
		if took := time.Since(signaledAt); took > killDelay() {
			t.Errorf("the process ended %s after SIGTERM", took)
		}
	})
}

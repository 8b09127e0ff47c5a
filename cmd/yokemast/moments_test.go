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

// Each test here forces one order of events that is rare in service: what comes between two steps of the gateway.

// killAt is when SIGKILL may come after SIGTERM where the longest deadline is 3 s or more.
func killAt() time.Duration {
	if raceDetector { // it sleeps for a second of its own when a process ends
		return 4700 * time.Millisecond
	}
	return 3700 * time.Millisecond
}

// waitAsked waits until a host has got so many queries.
func waitAsked(t testing.TB, h *hosts.Host, n int) {
	t.Helper()
	for end := time.Now().Add(patience); len(h.Queries()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the host was asked %d times, not %d", len(h.Queries()), n)
		}
	}
}

// waitCounter waits until the running program counts as much.
func (g *gateway) waitCounter(name string, n int) {
	g.t.Helper()
	want := fmt.Sprintf("%q:%d,", name, n)
	for end := time.Now().Add(patience); !strings.Contains(g.log.String(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("no %s in the log: %s", want, g.log)
		}
		_ = g.cmd.Process.Signal(syscall.SIGUSR1)
	}
}

// SIGKILL may come 3.7 s after SIGTERM, whatever the deadline of what was taken before.
func TestWhatIsOpenAtSIGTERMIsAnsweredBeforeTheEnd(t *testing.T) {
	silent := func(int, string) []byte { return []byte{} }
	for _, c := range []struct {
		name  string
		host  func(h *hosts.Host)
		query string
		want  string
	}{
		{"a write at a host that hangs", func(h *hosts.Host) { h.Script = silent }, write("k", "9f", comment("order", "")), "58000"},
		{"a write that no primary takes", func(h *hosts.Host) { h.Script = always("25006")(h) }, write("k", "9f", comment("order", "")), "53300 come back"},
		{"a write whose connection does not come up", func(h *hosts.Host) { h.OnSession = func(int) { time.Sleep(patience) } },
			write("k", "9f", comment("order", "")), "53300 come back"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "s-1", "leader", nil)
			c.host(h)
			edit := func(s string) string { // late answers of these classes are worth something: they are held for long
				return strings.Replace(s, `"onTime":400000000,"giveUp":20000000000`, `"onTime":14000000000,"giveUp":20000000000`, 1)
			}
			g := start(t, edit, h)
			client := g.client()
			client.Send(c.query)
			g.waitCounter("requests_taken", 1)
			_ = g.cmd.Process.Signal(syscall.SIGTERM)
			told := time.Now()
			if got := client.Answer(); got != c.want {
				t.Errorf("answered %q, want %q", got, c.want)
			}
			if err := g.cmd.Wait(); err != nil {
				t.Errorf("it ended with %v", err)
			}
			if took := time.Since(told); took > killAt() {
				t.Errorf("it ended %s after SIGTERM", took)
			}
			if strings.Contains(g.log.String(), "ending with requests unanswered") {
				t.Errorf("something was not answered: %s", g.log)
			}
		})
	}
}

// A client's wait runs from when it sent, also while what it sent before is being answered.
func TestTimeRunsBehindOtherCommands(t *testing.T) {
	for _, before := range []int{1, 20} { // the reader must go on whatever waits
		release := make(chan struct{})
		h := newHost(t, "s-1", "leader", nil)
		h.Script = func(_ int, query string) []byte { <-release; return h.Row(query) }
		edit := func(s string) string { return strings.ReplaceAll(s, `"onTime":10000000000`, `"onTime":1000000000`) }
		c := start(t, edit, h).client()
		var all []byte
		for range before {
			all = pg.AppendQuery(all, read("k", comment("own", "")))
		}
		brief := strings.Replace(comment("own", ""), "d=15000", "d=600", 1)
		all = pg.AppendQuery(all, read("brief", brief))
		_, _ = c.Write(all)
		waitAsked(t, h, 1)
		time.Sleep(700 * time.Millisecond) // the time of the last one is over
		close(release)
		for range before {
			if got := c.Answer(); got != "row k" {
				t.Fatalf("answered %q", got)
			}
		}
		if got := c.Answer(); got != "53300 come back" {
			t.Errorf("behind %d: what had no time left is answered %q", before, got)
		}
		if n := len(h.Queries()); n != before {
			t.Errorf("behind %d: %d queries went out", before, n)
		}
	}
}

// withoutProbes edits settings so that the connections which a host gets are those of requests alone: a process that starts
// probes hosts for the time.
func withoutProbes(s string) string { return strings.Replace(s, `"probes":true`, `"probes":false`, 1) }

// leavings are the ways in which a client goes.
var leavings = []struct {
	name  string
	leave func(c *clients.Client)
}{
	{"closes", func(c *clients.Client) { _ = c.Close() }},
	{"ends its sending", func(c *clients.Client) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	{"resets", func(c *clients.Client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() }},
	{"says goodbye", func(c *clients.Client) { _, _ = c.Write(pg.Append(nil, pg.Terminate, nil)) }},
}

// A client that leaves with commands waiting is noticed at once, and none of them is sent on.
func TestClientThatLeavesWithCommandsWaiting(t *testing.T) {
	for _, l := range leavings {
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
			waitAsked(t, h, 1)
			l.leave(c)
			select {
			case <-h.Ended:
			case <-time.After(5 * time.Second): // its time is 15 s
				t.Fatal("the attempt is still out")
			}
			g.waitCounter("clients_open", 0)
			if n := len(h.Queries()); n != 1 {
				t.Errorf("%d queries went out", n)
			}
		})
	}
}

// A write can't be canceled once it is out, but before its connection has come up it is dropped with its client.
func TestNothingGoesOutForAClientThatHasLeft(t *testing.T) {
	for _, l := range leavings {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			coming, up := make(chan struct{}, 1), make(chan struct{})
			h := newHost(t, "s-1", "leader", nil)
			h.OnSession = func(n int) {
				if n == 0 {
					coming <- struct{}{}
					<-up
				}
			}
			g := start(t, withoutProbes, h)
			c := g.client()
			c.Send(write("left", "9f", comment("order", "")))
			<-coming
			l.leave(c)
			g.waitCounter("requests_gone", 1)
			close(up)
			if got := g.client().Ask(write("stays", "9f", comment("order", ""))); got != "row stays" {
				t.Fatalf("answered %q", got)
			}
			for _, q := range h.Queries() {
				if strings.Contains(q, "'left'") {
					t.Errorf("sent on after its client had left: %s", q)
				}
			}
		})
	}
}

// Within its window a keyed write may go again; a connection that comes up later must not carry it past that.
func TestAWindowMayCloseWhileAConnectionComesUp(t *testing.T) {
	coming, up := make(chan struct{}, 1000), make(chan struct{})
	var broke atomic.Bool // the first attempt has come, and breaks off: from then on connections come up late
	h := newHost(t, "s-1", "leader", func(int, string) []byte { broke.Store(true); return nil })
	h.OnSession = func(int) {
		if broke.Load() {
			coming <- struct{}{}
			<-up
		}
	}
	edit := func(s string) string {
		return strings.Replace(s, `"effect":"fragile","group":"all","onTime":400000000`, `"effect":"dedup","group":"all","keyTtl":500000000,"onTime":14000000000`, 1)
	}
	c := start(t, edit, h).client()
	c.Send(write("k", "9f", comment("order", "")))
	select {
	case <-coming: // the first attempt broke off, and the second is on its way
	case <-time.After(patience):
		t.Fatal("there is no second attempt")
	}
	time.Sleep(600 * time.Millisecond) // the window closes
	close(up)
	if got := c.Answer(); !strings.HasPrefix(got, "53300") {
		t.Errorf("answered %q", got)
	}
	if n := len(h.Queries()); n != 1 {
		t.Errorf("%d attempts went out", n)
	}
}

// A connection asked for before its host was told to drain may come up after the grace: nothing goes out on it then.
func TestAHostDrainsWhileAConnectionComesUp(t *testing.T) {
	for _, how := range []string{"DRAINING", "DELETED", "not listed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			coming, up := make(chan struct{}, 1000), make(chan struct{})
			h := newHost(t, "s-1", "leader", nil)
			h.OnSession = func(int) {
				coming <- struct{}{}
				<-up
			}
			other := newHost(t, "s-2", "follower", nil)
			other.Script = always("25006")(other)
			g := start(t, withoutProbes, h, other)
			c := g.client()
			c.Send(write("k", "9f", strings.Replace(comment("order", ""), "d=15000", "d=4000", 1)))
			<-coming
			if how == "not listed" {
				g.agent.Remove(h.ID)
			} else {
				g.agent.Set(h.ListEntry(how))
			}
			g.waitLog(`"msg":"hosts listed"`)
			told := time.Now()
			time.Sleep(time.Until(told.Add(1100 * time.Millisecond))) // the grace is over
			close(up)
			if got := c.Answer(); !strings.HasPrefix(got, "53300") {
				t.Errorf("answered %q", got)
			}
			if asked := h.Queries(); len(asked) > 0 {
				t.Errorf("sent to a host told %s: %s", how, asked)
			}
		})
	}
}

// What the kernel has accepted when the clients' address closes is served: the process is stopped over that moment.
func TestWhatWaitsToBeAcceptedAtTheEndIsTaken(t *testing.T) {
	g := start(t, nil, newHost(t, "s-1", "leader", nil))
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	g.waitLog(`"msg":"ending"`)
	told := time.Now()
	_ = g.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(told.Add(2970 * time.Millisecond))) // just after it would have stopped accepting
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
			t.Fatalf("client %d: answered %q, %s after SIGTERM: %s", i, got, time.Since(told), g.log)
		}
	}
}

// Who sends more at once than is read ahead is told so; what came before that is answered, and others are served.
func TestMoreCommandsThanAreReadAhead(t *testing.T) {
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

// resets resets the connection of a call.
func resets(w http.ResponseWriter) bool {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	return true
}

// troubles are what an agent can do with a call. Each gives whether it has answered.
var troubles = map[string]func(http.ResponseWriter, *http.Request) bool{
	"silent": func(_ http.ResponseWriter, r *http.Request) bool { <-r.Context().Done(); return true },
	"resets": func(w http.ResponseWriter, _ *http.Request) bool { return resets(w) },
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
		_, _ = w.Write([]byte(`{"revision":42,"complete":true,"members":[]}`)) // a list, and no end
		w.(http.Flusher).Flush()
		return resets(w)
	},
}

// Whatever becomes of a watch, what it misses is in force within 6 s.
func TestWhatABrokenWatchMissesComesInTime(t *testing.T) {
	for name, trouble := range troubles {
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
				t.Errorf("the drain was in force after %s", took)
			}
			if strings.Contains(g.log.String(), `"revision":42,"entries":0`) {
				t.Errorf("a list that broke off was used: %s", g.log)
			}
		})
	}
}

// What discovery's agent has counts as told from the process's first moment, before it has read its configuration.
func TestTheFirstListCountsFromBeforeTheConfigurationIsRead(t *testing.T) {
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
	g := &gateway{t: t, log: &logged{}}
	g.cmd = program(t.Context(), "serve", "--config", pipe)
	g.cmd.Stderr = g.log
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = g.cmd.Process.Kill(); _ = g.cmd.Wait() }()
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process reads
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(reading) // that the file takes
	_, _ = w.Write(text)
	_ = w.Close()
	g.waitLog(`"msg":"hosts listed"`)
	for line := range strings.Lines(g.log.String()) {
		if before := gjson.Get(line, "notified_before"); before.Exists() {
			if d, err := time.ParseDuration(before.Str); err != nil || d < reading {
				t.Errorf("the first list counts as told %s before it arrived (%v)", before.Raw, err)
			}
		}
	}
}

// A gateway is ready soon, whatever discovery does, and serves by the list that it was given.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			g := startBehind(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) bool { return trouble(w, r) }, nil, newHost(t, "s-1", "leader", nil))
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("it was ready after %s", took)
			}
			if got := g.client().Ask(write("k", "9f", comment("order", ""))); got != "row k" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// Idle clients fill all places while discovery is away. At its return the list comes, and who asks is served.
func TestDiscoveryComesBackToAFullHouse(t *testing.T) {
	var away atomic.Bool
	h := newHost(t, "s-1", "leader", nil)
	edit := func(s string) string { return strings.Replace(s, `"sockets":1024`, `"sockets":256`, 1) }
	g := startBehind(t, edit, func(_ int, w http.ResponseWriter, r *http.Request) bool {
		return away.Load() && troubles["resets"](w, r)
	}, nil, h)
	away.Store(true)
	g.agent.CloseClientConnections()
	g.waitLog(`"discovery failed"`)
	for range 400 { // as many as there are places, and more
		n, err := net.Dial("tcp", g.address)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		_, _ = n.Write(pg.AppendStartup(nil, "backend", "store"))
	}
	g.waitCounter("clients_accepted", 402)
	g.agent.Set(newHost(t, "s-2", "leader", nil).ListEntry("SERVING"))
	away.Store(false)
	back := time.Now()
	g.waitLog(`"discovery answers again"`)
	if took := time.Since(back); took > 5*time.Second {
		t.Errorf("the list came after %s", took)
	}
	for end := time.Now().Add(patience); ; {
		c, err := clients.Start(g.address, "backend", patience)
		if err == nil {
			got := c.Ask(write("k", "9f", comment("order", "")))
			c.Close()
			if got == "row k" {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatalf("nobody is served: %s", g.log)
		}
	}
}

// Signals may come in any order and at any stage: what was taken is answered, and the process ends in time, and cleanly.
func TestSignalsInAnyOrder(t *testing.T) {
	const hup, term = syscall.SIGHUP, syscall.SIGTERM
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice": {term, term}, "SIGHUP behind SIGTERM": {term, hup}, "SIGTERM behind SIGHUP": {hup, term},
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
			waitAsked(t, h, 1)
			for _, s := range signals {
				_ = g.cmd.Process.Signal(s)
			}
			g.waitLog(`"msg":"ending"`)
			told := time.Now()
			close(release)
			if got := c.Answer(); got != "row k" {
				t.Errorf("answered %q", got)
			}
			if err := g.cmd.Wait(); err != nil {
				t.Errorf("it ended with %v", err)
			}
			if took := time.Since(told); took > killAt() {
				t.Errorf("it ended %s after SIGTERM", took)
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
		// From its first line on it follows signals; a process that runs has passed that soon.
		time.Sleep(200 * time.Millisecond)
		_ = cmd.Process.Signal(term)
		told := time.Now()
		if err := cmd.Wait(); err != nil {
			t.Errorf("it ended with %v", err)
		}
		if took := time.Since(told); took > killAt() {
			t.Errorf("it ended %s after SIGTERM", took)
		}
	})
}

package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

// upgradable starts a gateway with a second address, in a folder that its next processes share.
func upgradable(t testing.TB, all ...*hosts.Host) (g *gateway, admin string) {
	t.Setenv("TMPDIR", t.TempDir())
	edit := withAdmin(&admin)
	return start(t, edit, all...), admin
}

// next starts another process of the gateway, with a second address of its own; env stands over what it is told else.
func (g *gateway) next(env ...string) (n *gateway, admin string) {
	g.t.Helper()
	admin = strings.Replace(ownAddress(), ":5432", ":8081", 1)
	n = &gateway{t: g.t, log: &logged{}, agent: g.agent, path: g.path, address: g.address}
	n.cmd = program(context.Background(), "serve", "--config", g.path)
	n.cmd.Env = append(append(n.cmd.Env, "ROUTER_DISCOVERY="+g.agent.Listener.Addr().String(), "ROUTER_ADMIN="+admin), env...)
	n.cmd.Stderr = n.log
	if err := n.cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		if s := n.log.String(); strings.Contains(s, "DATA RACE") || strings.Contains(s, "panicked") {
			g.t.Errorf("the next process: %s", s)
		}
	})
	return n, admin
}

// waitReady waits until the process says yes at its second address.
func (g *gateway) waitReady(admin string) {
	g.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(2 * time.Millisecond) {
		if c, err := net.Dial("tcp", admin); err == nil {
			c.Close()
			if call(g.t, "GET", admin, "/_ready") == 200 {
				return
			}
		}
		if time.Now().After(end) {
			g.t.Fatalf("it does not become ready: %s", g.log)
		}
	}
}

// ended waits for the end of a process, which must be one by itself.
func (g *gateway) ended() {
	g.t.Helper()
	done := make(chan error, 1)
	go func() { done <- g.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			g.t.Fatalf("%v: %s", err, g.log)
		}
	case <-time.After(patience):
		g.t.Fatalf("it does not end: %s", g.log)
	}
}

// reasons gives what the processes logged of requests that were not served. They must have ended: a line is written some time
// after the answer that it explains.
func reasons(all ...*gateway) string {
	var out strings.Builder
	for i, g := range all {
		for line := range strings.Lines(g.log.String()) {
			if explains(line) {
				fmt.Fprintf(&out, "\nprocess %d: %s", i, strings.TrimSpace(line))
			}
		}
	}
	return out.String()
}

func explains(line string) bool {
	for _, kind := range []string{"request rejected", "request given up", "attempt ended", "connection ended", "service"} {
		if strings.Contains(line, `"msg":"`+kind+`"`) {
			return true
		}
	}
	return false
}

// A host that holds reads of "slow" until it is told.
func holding(t testing.TB) (h *hosts.Host, release func()) {
	hold := make(chan struct{})
	h = newHost(t, "h1", "leader", nil)
	h.Script = func(_ int, q string) []byte {
		if strings.Contains(q, "'slow'") {
			<-hold
		}
		return h.Row(q)
	}
	return h, func() { close(hold) }
}

func TestUpgradeKeepsEveryConnection(t *testing.T) {
	h, release := holding(t)
	old, _ := upgradable(t, h)
	var idle []*clients.Client
	for range 40 {
		idle = append(idle, old.client())
	}
	fresh := old.dial() // connected, and has said nothing yet
	busy := old.client()
	busy.Send(write("slow", "9f", comment("order", "")))
	for end := time.Now().Add(patience); !asked(h, "slow"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the write does not reach its host")
		}
	}
	heir, admin := old.next()
	heir.waitReady(admin)
	old.waitLog(`"heir ready"`)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i, c := range idle {
		if got := c.Ask(read(fmt.Sprint("k", i), comment("view", ""))); got != fmt.Sprintf("row k%d", i) {
			t.Errorf("a client that was idle is answered %q", got)
		}
	}
	if c := old.client(); c.Ask(read("n", comment("view", ""))) != "row n" {
		t.Error("a new client is not served")
	}
	release()
	if got := busy.Answer(); got != "row slow" {
		t.Errorf("a write under way is answered %q", got)
	}
	_, _ = fresh.Write(startup())
	if got := fresh.Answer(); got != "ready" {
		t.Errorf("a client that had connected is answered %q", got)
	}
	if got := fresh.Ask(read("f", comment("view", ""))); got != "row f" {
		t.Errorf("a client that had connected is answered %q", got)
	}
	old.ended()
	heir.waitLog(`"elder gone"`)
	if got := busy.Ask(read("b", comment("view", ""))); got != "row b" {
		t.Errorf("the one that had been busy is answered %q", got)
	}
	// And once more: the heir has an heir.
	third, admin := heir.next()
	third.waitReady(admin)
	heir.waitLog(`"heir ready"`)
	if got := idle[0].Ask(read("x", comment("view", ""))); got != "row x" {
		t.Errorf("after a second upgrade a client is answered %q", got)
	}
}

// The platform starts an heir with the environment of the first start. Since then SIGHUP may have moved discovery.
func TestAnHeirAsksTheDiscoveryThatSIGHUPMovedTo(t *testing.T) {
	h := newHost(t, "h1", "leader", nil)
	old, _ := upgradable(t, h)
	moved := discovery.New(h.ListEntry("SERVING"))
	t.Cleanup(moved.Close)
	text, _ := os.ReadFile(old.path)
	old.reload(strings.Replace(string(text), gjson.GetBytes(text, "discovery").Str, moved.Listener.Addr().String(), 1))
	old.waitLog(`"agent":"` + moved.Listener.Addr().String() + `"`)
	heir, admin := old.next()
	heir.waitReady(admin)
	heir.waitLog(`"agent":"`)
	if strings.Contains(heir.log.String(), `"agent":"`+old.agent.Listener.Addr().String()+`"`) {
		t.Errorf("the heir asks the discovery of before: %s", heir.log)
	}
}

func TestUpgradesThatGoWrong(t *testing.T) {
	t.Run("the heir dies once it serves", func(t *testing.T) {
		old, _ := upgradable(t, newHost(t, "h1", "leader", nil))
		heir, admin := old.next()
		heir.waitReady(admin)
		old.waitLog(`"heir ready"`)
		_ = heir.cmd.Process.Kill()
		old.waitLog(`"heir lost"`)
		if got := old.client().Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("the old process answers %q", got)
		}
		again, admin := old.next()
		again.waitReady(admin)
		if got := old.client().Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("the next heir answers %q", got)
		}
	})
	t.Run("the heir dies before it is ready", func(t *testing.T) {
		old, admin := upgradable(t, newHost(t, "h1", "leader", nil))
		mute, err := net.Listen("tcp", "127.0.0.1:0") // a discovery that says nothing: the heir waits for it
		if err != nil {
			t.Fatal(err)
		}
		defer mute.Close()
		c := old.client()
		heir, _ := old.next("ROUTER_DISCOVERY=" + mute.Addr().String())
		old.waitLog(`"heir came"`)
		_ = heir.cmd.Process.Kill()
		old.waitLog(`"heir lost"`)
		if got := c.Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("a client of the old one is answered %q", got)
		}
		if got := call(t, "GET", admin, "/_ready"); got != 200 {
			t.Errorf("the old one says %d", got)
		}
		again, admin := old.next()
		again.waitReady(admin)
		if got := c.Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("the next heir answers %q", got)
		}
	})
	t.Run("another version of the handover", func(t *testing.T) {
		other := []byte{'y', 'm', 9, 1, 0, 0, 0, 0} // of a version that there is not
		old, _ := upgradable(t, newHost(t, "h1", "leader", nil))
		left, _ := filepath.Glob(filepath.Join(os.Getenv("TMPDIR"), "yokemast-*.sock"))
		if len(left) != 1 {
			t.Fatalf("%q", left)
		}
		stranger, err := net.Dial("unix", left[0])
		if err != nil {
			t.Fatal(err)
		}
		_, _ = stranger.Write(other)
		old.waitLog(`"no heir"`)
		_ = stranger.Close()
		heir, admin := old.next() // the stranger has not taken its place
		heir.waitReady(admin)
		heir.waitLog(`"took over"`)
		for _, g := range []*gateway{old, heir} {
			_ = g.cmd.Process.Kill()
			_, _ = g.cmd.Process.Wait()
		}
		_ = os.Remove(left[0])
		elder, err := net.Listen("unix", left[0])
		if err != nil {
			t.Fatal(err)
		}
		defer elder.Close()
		go func() {
			for {
				c, err := elder.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write(other)
			}
		}()
		alone, admin := old.next()
		alone.waitReady(admin) // by an address of its own
		alone.waitLog(`"no handover"`)
		if got := old.client().Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("the process that found another version answers %q", got)
		}
	})
	t.Run("the old one dies in the middle", func(t *testing.T) {
		old, _ := upgradable(t, newHost(t, "h1", "leader", nil))
		heir, admin := old.next()
		heir.waitReady(admin)
		_ = old.cmd.Process.Kill()
		heir.waitLog(`"elder gone"`)
		if got := old.client().Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("the heir answers %q", got)
		}
	})
	t.Run("the old one hangs", func(t *testing.T) {
		old, _ := upgradable(t, newHost(t, "h1", "leader", nil))
		if err := old.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		heir, admin := old.next()
		heir.waitReady(admin) // by an address of its own
		heir.waitLog(`"no handover"`)
		_ = old.cmd.Process.Kill()
		heir.waitLog(`"elder gone"`)
		if got := old.client().Ask(read("k", comment("view", ""))); got != "row k" {
			t.Errorf("the heir answers %q", got)
		}
		third, admin := heir.next() // it has found its place
		third.waitReady(admin)
		third.waitLog(`"took over"`)
	})
	t.Run("a third waits", func(t *testing.T) {
		h, release := holding(t)
		old, _ := upgradable(t, h)
		busy := old.client()
		busy.Send(read("slow", comment("view", "")))
		for end := time.Now().Add(patience); !asked(h, "slow"); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the read does not reach its host")
			}
		}
		heir, admin := old.next()
		heir.waitReady(admin)
		old.waitLog(`"heir ready"`)
		third, admin := old.next()
		time.Sleep(200 * time.Millisecond)
		if s := third.log.String(); strings.Contains(s, `"ready"`) {
			t.Errorf("a third process serves during an upgrade: %s", s)
		}
		_ = old.cmd.Process.Signal(syscall.SIGTERM)
		release()
		if got := busy.Answer(); got != "row slow" {
			t.Errorf("a read under way is answered %q", got)
		}
		old.ended()
		third.waitReady(admin)
		third.waitLog(`"took over"`)
		heir.waitLog(`"heir ready"`)
	})
	t.Run("SIGTERM comes before the heir is ready", func(t *testing.T) {
		old, _ := upgradable(t, newHost(t, "h1", "leader", nil))
		c := old.client()
		if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		signaled := time.Now()
		old.waitLog(`"ending"`)
		heir, admin := old.next()
		started := time.Since(signaled)
		heir.waitReady(admin)
		ready := time.Since(signaled)
		got := c.Ask(read("k", comment("view", "")))
		old.ended()
		if got != "row k" {
			_ = heir.cmd.Process.Signal(syscall.SIGTERM)
			heir.ended()
			t.Errorf("a client of the old one is answered %q; the heir was started %s and ready %s after SIGTERM: %s", got, started, ready,
				reasons(old, heir))
		}
	})
	t.Run("what is left is no socket", func(t *testing.T) {
		dir := t.TempDir()
		t.Setenv("TMPDIR", dir)
		var admin string
		edit := withAdmin(&admin)
		g := start(t, edit, newHost(t, "h1", "leader", nil))
		_ = g.cmd.Process.Kill()
		_, _ = g.cmd.Process.Wait()
		left, _ := filepath.Glob(filepath.Join(dir, "yokemast-*"))
		if len(left) != 2 {
			t.Fatalf("%q is left", left)
		}
		for _, f := range left {
			if strings.HasSuffix(f, ".sock") {
				_ = os.Remove(f)
				if err := os.WriteFile(f, []byte("torn"), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		heir, admin := g.next()
		heir.waitReady(admin)
		third, admin := heir.next()
		third.waitReady(admin)
		third.waitLog(`"took over"`)
	})
}

func startup() []byte { return pg.AppendStartup(nil, "backend", "store") }

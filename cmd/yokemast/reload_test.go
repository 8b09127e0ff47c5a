package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// reload writes another configuration, sends SIGHUP and waits until the gateway logs whether it uses the new
// one.
func (g *gateway) reload(text string) {
	g.t.Helper()
	countResults := func() int {
		return strings.Count(g.log.String(), "configuration read anew") + strings.Count(g.log.String(), "configuration is not used")
	}
	before := countResults()
	if err := os.WriteFile(g.path, []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
	if err := g.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		g.t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); countResults() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("SIGHUP has no effect: %s", g.log)
		}
	}
}

// A reload that replaces a class adds the new one at once and removes the old one only after the grace.
func TestSettingsUpdate(t *testing.T) {
	g := start(t, nil, newHost(t, "h1", "leader", nil), newHost(t, "h2", "follower", nil))
	old, _ := os.ReadFile(g.path)
	c := g.client()
	ask := func(class string) string { return c.Ask(read("k", comment(class, ""))) }
	if got := ask("glance"); got != "42704" {
		t.Fatalf("a class before it is added: %q", got)
	}
	// The class own is replaced by glance.
	g.reload(strings.Replace(string(old), `"name":"own"`, `"name":"glance"`, 1))
	g.waitLog(`"settings taken"`)
	if got := ask("glance"); !strings.HasPrefix(got, "row") {
		t.Errorf("an added class: %q", got)
	}
	if got := ask("own"); !strings.HasPrefix(got, "row") {
		t.Errorf("a removed class, within the grace: %q", got)
	}
	g.waitLog(`"settings settled"`)
	if got := ask("own"); got != "42704" {
		t.Errorf("a removed class, after the grace: %q", got)
	}
	if got := ask("glance"); !strings.HasPrefix(got, "row") {
		t.Errorf("an added class, after the grace: %q", got)
	}
}

// An invalid configuration is rejected as a whole, and the previous settings stay in force.
func TestInvalidSettingsAreRejected(t *testing.T) {
	g := start(t, nil, newHost(t, "h1", "leader", nil), newHost(t, "h2", "follower", nil))
	old, _ := os.ReadFile(g.path)
	good := strings.Replace(string(old), `"name":"own"`, `"name":"glance"`, 1)
	c := g.client()
	for name, text := range map[string]string{
		"empty":                    "",
		"cut off":                  good[:len(good)-10],
		"a missing key":            strings.Replace(good, `"maxRetryAfter":1000000000,`, "", 1),
		"a missing key of a class": strings.Replace(good, `"effect":"fragile",`, "", 1),
		"no deadline":              strings.Replace(good, `"giveUp":20000000000`, `"giveUp":0`, 1),
		"deadline is a string":     strings.Replace(good, `"giveUp":20000000000`, `"giveUp":"20s"`, 1),
		"attempts below 0":         strings.Replace(good, `"maxAttempts":10`, `"maxAttempts":-1`, 1),
		"no attempts":              strings.Replace(good, `"maxAttempts":10`, `"maxAttempts":0`, 1),
		"unknown effect":           strings.Replace(good, `"effect":"fragile"`, `"effect":"other"`, 1),
	} {
		if text == good {
			t.Fatalf("%s: the file is not invalid", name)
		}
		g.reload(text)
		if got := c.Ask(read("k", comment("glance", ""))); got != "42704" {
			t.Errorf("%s: the new class is answered %q", name, got)
		}
		if got := c.Ask(read("k", comment("own", ""))); !strings.HasPrefix(got, "row") {
			t.Errorf("%s: the old class is answered %q", name, got)
		}
	}
	if n := strings.Count(g.log.String(), "configuration is not used"); n != 9 {
		t.Errorf("%d files were not used, want 9: %s", n, g.log)
	}
}

// A request in flight keeps the settings of its class even if a reload removes the class.
func TestInFlightRequestSurvivesClassRemoval(t *testing.T) {
	hold := make(chan struct{})
	h := newHost(t, "h1", "leader", nil)
	h.Script = func(_ int, q string) []byte {
		if strings.Contains(q, "INSERT") {
			<-hold
		}
		return h.Row(q)
	}
	g := start(t, nil, h)
	old, _ := os.ReadFile(g.path)
	c := g.client()
	c.Send(write("k", "9f", comment("order", "")))
	for end := time.Now().Add(testTimeout); !hostReceived(h, "INSERT"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the write did not reach its host")
		}
	}
	g.reload(strings.Replace(string(old), `"name":"order"`, `"name":"buy"`, 1))
	g.waitLog(`"settings settled"`)
	close(hold)
	if got := c.Answer(); !strings.HasPrefix(got, "row") {
		t.Errorf("a request of a removed class: %q", got)
	}
}

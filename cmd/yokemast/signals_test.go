package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/wire/pg"
)

// After SIGTERM idle, busy and half-read clients are still answered before their connections are closed.
func TestSIGTERMFinishesAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	h := newHost(t, "s-1", "leader", nil)
	h.Script = func(_ int, query string) []byte { <-release; return h.Row(query) }
	g := start(t, nil, h)
	idle, busy, partial := g.client(), g.client(), g.client()
	whole := pg.AppendQuery(nil, write("m", "9f", comment("order", "")))
	partial.Write(append(pg.AppendQuery(nil, ""), whole[:40]...))
	if got := partial.Answer(); got != "empty" {
		t.Fatalf("the empty query is answered %q", got)
	}
	busy.Send(write("k", "9f", comment("order", "")))
	for len(h.Queries()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = g.cmd.Process.Signal(syscall.SIGUSR1)
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	g.waitLog(`"msg":"ending"`)
	if got := idle.Ask(""); got != "empty" {
		t.Errorf("a client that keeps using its connection is answered %q", got)
	}
	close(release)
	partial.Write(whole[40:])
	if got := partial.Answer(); got != "row m" {
		t.Errorf("the partly received request is answered %q", got)
	}
	if got := busy.Answer(); got != "row k" {
		t.Errorf("the accepted request is answered %q", got)
	}
	for _, c := range []*clients.Client{idle, busy, partial} {
		if got := c.Answer(); got != "closed" {
			t.Errorf("a connection is answered %q, not closed", got)
		}
	}
	if err := g.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v: %s", err, g.log)
	}
	for _, want := range []string{`"requests_taken":2,"requests_served":2,`, `"requests_taken":1,"requests_served":0,`} {
		if !strings.Contains(g.log.String(), want) {
			t.Errorf("no %s in the log: %s", want, g.log)
		}
	}
}

// A reload with another discovery address cancels the call to the old one and uses the new one's list, even
// if its revision is lower. A write in flight on a host that the new list drains is still answered.
func TestSIGHUPChangesDiscoveryAddress(t *testing.T) {
	a, b := newHost(t, "s-1", "leader", nil), newHost(t, "s-2", "leader", nil)
	release, calls := make(chan struct{}), make(chan string, 100)
	a.Script = func(n int, query string) []byte {
		if n > 0 {
			<-release
		}
		return a.Row(query)
	}
	g := start(t, nil, a)
	first := g.client() // positions are used only once a primary's answer has bounded the clock offset
	if got := first.Ask(write("k", "9f", comment("order", ""))); got != "row k" {
		t.Fatalf("the first write is answered %q", got)
	}
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if len(calls) > 1 {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, discovery.List(7, true, a.ListEntry("DRAINING"), b.ListEntry("SERVING"))) // a lower revision than the old agent's
	}))
	defer func() { next.CloseClientConnections(); next.Close() }()
	hup := func(config string, logged string) {
		t.Helper()
		if err := os.WriteFile(g.path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = g.cmd.Process.Signal(syscall.SIGHUP)
		g.waitLog(logged)
	}
	inFlight := g.client()
	inFlight.Send(write("k", "9f", comment("order", "")))
	for len(a.Queries()) < 2 {
		time.Sleep(time.Millisecond)
	}
	old, _ := os.ReadFile(g.path)
	hup(strings.Replace(string(old), `"cores":1.0`, `"cores":0`, 1), "limits.cores")
	if len(g.agent.Canceled) > 0 || len(calls) > 0 {
		t.Error("a bad configuration has an effect")
	}
	hup(strings.Replace(string(old), gjson.GetBytes(old, "discovery").Str, next.Listener.Addr().String(), 1), "read anew")
	select {
	case <-g.agent.Canceled: // at once: the old agent's long poll would have lasted for seconds
	case <-time.After(testTimeout):
		t.Error("the call to the old discovery is not canceled")
	}
	for len(calls) < 2 {
		time.Sleep(time.Millisecond)
	}
	if got := []string{<-calls, <-calls}; got[0] != "" || !strings.HasPrefix(got[1], "after=7&") {
		t.Errorf("the new discovery receives the queries %q", got)
	}
	c := g.client()
	for end := time.Now().Add(testTimeout); len(b.Queries()) == 0; { // the old primary is used until it is replaced
		c.Send(read("k", comment("view", "")))
		if got := c.Answer(); got != "row k" || time.Now().After(end) {
			t.Fatalf("answered %q: %s", got, g.log)
		}
	}
	close(release)
	if got := inFlight.Answer(); got != "row k" {
		t.Errorf("the request in flight is answered %q", got)
	}
}

// An invalid configuration ends serve and check with one line that names the field.
func TestBadConfiguration(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), testTimeout) // a process that accepts an invalid configuration would not exit
	defer stop()
	for field, edit := range map[string][2]string{
		"listen":                              {`"listen":"127.`, `"listen":"host.`},
		"discovery":                           {`"discovery":"127.0.0.1:1"`, `"discovery":7`},
		"limits.sockets":                      {`"sockets":1024`, `"sockets":3`},
		"limits.memory_mb":                    {`"memory_mb":192`, `"memory_mb":"all"`},
		"limits.cores":                        {`"cores":1.0`, `"cores":0`},
		"seed":                                {`"seed":"8c1f30d27a5be964"`, `"seed":null`},
		"known: list: revision":               {`"revision":41`, `"revision":[]`},
		"settings.step":                       {`"step":5000000`, `"step":"x"`},
		"settings.profiles.2.effect":          {`"effect":"fragile"`, `"effect":"x"`},
		"settings.domain.oldestData":          {`"oldestData":[500000000,0,0]`, `"oldestData":[]`},
		"settings: Classes[own]: named twice": {`"name":"view"`, `"name":"own"`},
		"not JSON":                            {`{"name"`, `{name`},
	} {
		for _, command := range []string{"serve", "check"} {
			path := config(t, discovery.List(41, true), "127.0.0.1:1", func(c string) string {
				return strings.Replace(c, edit[0], edit[1], 1)
			})
			out, err := program(ctx, command, "--config", path).CombinedOutput()
			exit, ok := err.(*exec.ExitError)
			if !ok || exit.ExitCode() == 0 || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), field) {
				t.Errorf("%s, %s: %v, %q", command, field, err, out)
			}
		}
	}
	if out, err := program(ctx, "check", "--config", config(t, discovery.List(41, true), "127.0.0.1:1", nil)).CombinedOutput(); err != nil {
		t.Errorf("a valid configuration: %v, %s", err, out)
	}
}

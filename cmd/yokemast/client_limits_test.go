package main

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/pg"
)

// Beyond the connection limit new clients are refused, and the earlier ones are still served.
func TestTooManyClients(t *testing.T) {
	h := newHost(t, "s-1", "leader", nil)
	g := start(t, func(c string) string { return strings.Replace(c, `"sockets":1024`, `"sockets":64`, 1) }, h)
	var all []*clients.Client
	refused := 0
	for range 20 {
		c := g.dial()
		c.Write(append(pg.AppendStartup(nil, "backend", "store"), pg.AppendQuery(nil, "")...))
		if got := c.Answer(); got != "ready" {
			t.Fatalf("the startup is answered %q", got)
		}
		switch got := c.Answer(); got {
		case "empty":
			all = append(all, c)
		case "53300 come back, closed":
			refused++
		default:
			t.Fatalf("answered %q", got)
		}
	}
	if refused == 0 || len(all) == 0 {
		t.Errorf("%d clients served, %d refused", len(all), refused)
	}
	if got := all[0].Ask(read("k", comment("view", ""))); got != "row k" {
		t.Errorf("the first client is answered %q", got)
	}
}

// Idle connections that use up the connection limit must not keep a new client out.
func TestIdleClientsClosedForNewClient(t *testing.T) {
	fewSockets := func(c string) string { return strings.Replace(c, `"sockets":1024`, `"sockets":64`, 1) }
	for name, hold := range map[string]func(*clients.Client){
		"silent from the start":    func(*clients.Client) {},
		"silent after the startup": func(c *clients.Client) { c.Write(pg.AppendStartup(nil, "backend", "store")) },
		"idle after one query": func(c *clients.Client) {
			c.Write(append(pg.AppendStartup(nil, "backend", "store"), pg.AppendQuery(nil, "")...))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := start(t, fewSockets, newHost(t, "s-1", "leader", nil))
			for range 100 {
				hold(g.dial())
			}
			for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
				c := g.dial()
				c.Write(append(pg.AppendStartup(nil, "backend", "store"),
					pg.AppendQuery(nil, read("k", comment("view", "")))...))
				if c.Answer() == "ready" && c.Answer() == "row k" {
					break
				}
				if time.Now().After(end) {
					t.Fatal("idle connections are not closed for a new client")
				}
			}
		})
	}
}

// Under a low connection limit the client that is idle for longest is closed, even below the limit, and
// active ones stay.
func TestLongestIdleClientIsClosed(t *testing.T) {
	fewSockets := func(c string) string { return strings.Replace(c, `"sockets":1024`, `"sockets":64`, 1) }
	g := start(t, fewSockets, newHost(t, "s-1", "leader", nil))
	var all []*clients.Client
	for range 8 { // fewer than the connection limit
		all = append(all, g.client())
		all[len(all)-1].Ask("")
	}
	if _, err := all[0].In.ReadByte(); err != io.EOF {
		t.Errorf("the client that was idle for longest reads %v, want EOF", err)
	}
	if got := all[7].Ask(""); got != "empty" {
		t.Errorf("the most recently active client is answered %q", got)
	}
}

func TestIdleClientsClosedSoonerUnderPressure(t *testing.T) {
	// Of 128 descriptors, clients with requests can hold 42. Idle clients are closed sooner above three
	// quarters of that.
	fewSockets := func(c string) string { return strings.Replace(c, `"sockets":1024`, `"sockets":128`, 1) }
	for n, want := range map[int]string{36: `"clients_pressed":[1-9]`, 20: `"clients_pressed":0`} {
		t.Run(fmt.Sprint(n, " clients"), func(t *testing.T) {
			t.Parallel()
			g := start(t, fewSockets, newHost(t, "s-1", "leader", nil))
			var all []*clients.Client
			for range n {
				all = append(all, g.client())
				all[len(all)-1].Ask("")
			}
			if _, err := all[0].In.ReadByte(); err != io.EOF {
				t.Errorf("the client that was idle for longest reads %v, want EOF", err)
			}
			if got := all[n-1].Ask(""); got != "empty" {
				t.Errorf("the most recently active client is answered %q", got)
			}
			_ = g.cmd.Process.Signal(syscall.SIGUSR1)
			g.waitLog(`"clients_pressed":`)
			if !regexp.MustCompile(want).MatchString(g.log.String()) {
				t.Errorf("no %s in the log: %s", want, g.log)
			}
		})
	}
}

func TestSilentClientCloseIsLogged(t *testing.T) {
	g := start(t, nil, newHost(t, "s-1", "leader", nil))
	c := g.client()
	if got := c.Answer(); got != "closed" {
		t.Errorf("a client that sends no command is answered %q", got)
	}
	g.waitLog(`"why":"ended: it began no command in time","client":"` + c.LocalAddr().String() + `"`)
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/testbed/hosts"
)

// withAdmin returns an edit that adds an admin address to the configuration, and stores that address in
// address.
func withAdmin(address *string) func(string) string {
	*address = strings.Replace(ownAddress(), ":5432", ":8081", 1)
	return func(c string) string { return strings.Replace(c, `"listen":`, `"admin":"`+*address+`","listen":`, 1) }
}

// call sends one request to the admin address and returns the HTTP status.
func call(t testing.TB, method, address, path string) int {
	t.Helper()
	req, _ := http.NewRequest(method, "http://"+address+path, nil)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitClosed waits until the gateway has closed a connection on which no answer is outstanding.
func waitClosed(t testing.TB, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Fatalf("the connection returned %d bytes and %v, want EOF", n, err)
	}
}

func TestAdminCalls(t *testing.T) {
	var admin string
	edit := withAdmin(&admin)
	start(t, edit, newHost(t, "h1", "leader", nil))
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/_ready", 200}, {"POST", "/_ready", 405}, {"GET", "/_lameduck/on", 405}, {"GET", "/", 404}, {"POST", "/_lameduck", 404},
		{"POST", "/_lameduck/off", 204}, {"POST", "/_lameduck/on", 204}, {"GET", "/_ready", 503}, {"POST", "/_lameduck/on", 204},
		{"POST", "/_lameduck/off", 204}, {"GET", "/_ready", 200}, {"GET", "/_counters", 200}, {"POST", "/_counters", 405}} {
		if got := call(t, c.method, admin, c.path); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
}

// Connections that send nothing, or only part of a request, must not delay other callers of the admin address.
func TestSilentAdminConnections(t *testing.T) {
	var admin string
	edit := withAdmin(&admin)
	g := start(t, edit, newHost(t, "h1", "leader", nil))
	for i := range 40 {
		c, err := net.Dial("tcp", admin)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /_ready HTTP/1.1\r\nHost: x\r\n")
		}
	}
	for range 20 {
		if got := call(t, "GET", admin, "/_ready"); got != 200 {
			t.Fatal(got)
		}
	}
	if err := g.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	g.waitLog(`"callers_dropped"`)
	_, rest, _ := strings.Cut(g.log.String(), `"callers_dropped":`)
	dropped := 0
	if _, _ = fmt.Sscan(rest, &dropped); dropped < 24 {
		t.Errorf("%d of 40 silent callers were dropped: more than 16 hold descriptors at a time", dropped)
	}
}

// A drain refuses new clients, closes idle connections and lets requests in flight finish. Ending it resumes
// service.
func TestDrainAndResume(t *testing.T) {
	var admin string
	edit := withAdmin(&admin)
	hold := make(chan struct{})
	h := newHost(t, "h1", "leader", nil)
	slow := newHost(t, "h2", "follower", nil)
	slow.Script = func(_ int, q string) []byte {
		if strings.Contains(q, "slow") {
			<-hold
		}
		return slow.Row(q)
	}
	g := start(t, edit, h, slow)
	idle, busy := g.client(), g.client()
	// Positions are used only once a primary's answer has bounded the clock offset.
	if got := idle.Ask(write("k", "9f", comment("order", ""))); got != "row k" {
		t.Fatalf("the first write is answered %q", got)
	}
	busy.Send(read("slow", comment("view", "")))
	for end := time.Now().Add(testTimeout); !hostReceived(slow, "slow"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request did not reach a host")
		}
	}
	if got := call(t, "POST", admin, "/_lameduck/on"); got != 204 {
		t.Fatal(got)
	}
	if got := g.client().Ask(""); got != "57P03" && got != "57P03, closed" {
		t.Errorf("during the drain the empty query is answered %q", got)
	}
	waitClosed(t, idle)
	close(hold)
	if got := busy.Answer(); !strings.HasPrefix(got, "row ") {
		t.Errorf("the request in flight is answered %q", got)
	}
	waitClosed(t, busy)
	if got := call(t, "POST", admin, "/_lameduck/off"); got != 204 {
		t.Fatal(got)
	}
	resumed := g.client()
	if got := resumed.Ask(""); got != "empty" {
		t.Errorf("after the drain the empty query is answered %q", got)
	}
	if got := resumed.Ask(read("k", comment("view", ""))); !strings.HasPrefix(got, "row ") {
		t.Errorf("after the drain a read is answered %q", got)
	}
	time.Sleep(500 * time.Millisecond) // longer than a draining process keeps a connection
	if got := resumed.Ask(""); got != "empty" {
		t.Errorf("a client that connected after the drain is answered %q", got)
	}
}

func hostReceived(h *hosts.Host, text string) bool {
	for _, q := range h.Queries() {
		if strings.Contains(q, text) {
			return true
		}
	}
	return false
}

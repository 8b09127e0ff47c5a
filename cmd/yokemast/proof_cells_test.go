package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/control/cells"
	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/rules"
	"yokemast/internal/wire/pg"
)

// proofSeed draws keys and classes of the calm clients; it is printed with every figure.
const proofSeed = 20261201

// cluster starts a group's hosts and closes them with the test.
func cluster(t *testing.T, group int, prefix string, n int, l *rules.Ledger, set func(*hosts.Host)) *hosts.Cluster {
	t.Helper()
	c, err := hosts.NewCluster(group, prefix, n, l, set)
	if err != nil {
		t.Fatal(err)
	}
	c.Bound, c.Own = 500*time.Millisecond, "own"
	for _, h := range c.Hosts() {
		h.SetLag(10 * time.Millisecond)
	}
	t.Cleanup(c.Close)
	return c
}

// operatorFile writes an operator's file with a control socket and gives its path and the socket's.
func operatorFile(t testing.TB, text string) (path, socket string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "yk") // a socket's path must be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	path, socket = filepath.Join(dir, "own.sexp"), filepath.Join(dir, "s")
	text = fmt.Sprintf("(control (socket %q))\n%s", socket, text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, socket
}

// command runs a sub-command of the program and gives what it prints.
func command(t testing.TB, args ...string) (string, error) {
	t.Helper()
	out, err := program(t.Context(), args...).CombinedOutput()
	return string(out), err
}

func report(t testing.TB, socket string) (r cells.Report) {
	t.Helper()
	out, err := command(t, "cells", "show", "--json", "--socket", socket)
	if err == nil {
		err = json.Unmarshal([]byte(out), &r)
	}
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return r
}

const threeCells = `(cells (claims yes) (size 2) (overlap 0) (queue 1) (floor 8)
  (cell "coast" (concurrency 8)) (cell "hills") (cell "city")
  (tenant "flooder" (cell "coast")) (tenant "calm-1" (cell "hills")) (tenant "calm-2" (cell "city")))`

// brisk gives reads an aim of 0.6 s: by far more than they take here, and little against what a flood makes of them.
func brisk(c string) string {
	return strings.ReplaceAll(c, `"onTime":10000000000,"giveUp":20000000000`, `"onTime":600000000,"giveUp":2000000000`)
}

// flooded is what two calm tenants get while a third is as it is.
type flooded struct {
	asked, served, lost int
	floodRefused        int64
	counts              rules.Counts
}

// shared has two cells with three replicas each, of which they share two.
const shared = `(cells (claims yes) (size 3) (overlap 2) (queue 1) (floor 8)
  (cell "coast" (concurrency 8) (pin "s-1" "s-2" "s-3")) (cell "hills" (pin "s-2" "s-3" "s-4"))
  (tenant "flooder" (cell "coast")) (tenant "calm-1" (cell "hills")) (tenant "calm-2" (cell "hills")))`

// flood runs the calm tenants' requests, the same for the same seed, with so many connections of a third tenant that ask
// without a pause and come again the moment they are turned away.
func flood(t *testing.T, own string, flooders int) (out flooded) {
	t.Helper()
	l := &rules.Ledger{Limits: rules.Limits{Slack: 100 * time.Millisecond}}
	// Each host runs one request of 40 ms at a time: what the calm ones need fits their share, and nothing depends on how
	// fast this machine is.
	c := cluster(t, 1, "s-", 7, l, func(h *hosts.Host) { h.Slots, h.MaxQueue, h.Work = 1, 3, 40*time.Millisecond })
	var args []string
	if own != "" {
		path, _ := operatorFile(t, own)
		args = []string{"--operator", path}
	}
	g := startWith(t, brisk, args, c.Hosts()...)
	stop := make(chan struct{})
	var flooding, calm sync.WaitGroup
	var refused atomic.Int64
	for i := range flooders {
		k := g.client()
		_ = k.SetDeadline(time.Time{})
		flooding.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := clients.Request{Class: "view", Tenant: "flooder", Key: fmt.Sprint("f", i), Wait: 2 * time.Second, Repeatable: true}
				if n%10 == 9 {
					q.Class, q.Write, q.Repeatable = "order", true, false
				}
				r := k.Do(q, l)
				if r.Code == pg.CodeTooMany {
					refused.Add(1)
				}
				if r.Closed {
					return
				}
			}
		})
	}
	var mu sync.Mutex
	for i := range 4 {
		rng := rand.New(rand.NewPCG(proofSeed, uint64(i)))
		k := g.client()
		calm.Go(func() {
			var wrote time.Time
			for range 30 {
				q := clients.Request{Class: "view", Tenant: fmt.Sprint("calm-", 1+i%2), Key: fmt.Sprint("c", i),
					Wait: 2 * time.Second, Repeatable: true}
				switch n := rng.IntN(10); {
				case n == 0:
					q.Class, q.Write, q.Repeatable, q.Value = "order", true, false, []byte{byte(i)}
				case n < 4:
					q.Class, q.After = "own", wrote
				}
				r := k.Do(q, l)
				if q.Write && r.Row {
					wrote = time.Now()
				}
				mu.Lock()
				out.asked++
				if r.Row {
					out.served++
				} else if r.Code == "" {
					out.lost++
				}
				mu.Unlock()
			}
		})
	}
	calm.Wait()
	close(stop)
	flooding.Wait()
	for _, b := range l.Violations() {
		t.Errorf("cells %v, %d flooders, seed %d: %s", own != "", flooders, proofSeed, b)
	}
	out.floodRefused, out.counts = refused.Load(), l.Counts()
	return out
}

// TestProofCells shows that a flooded cell harms no other, and that a tenant is moved under load without losing or doubling
// a write. Replay: go test ./cmd/yokemast -run TestProofCells -v
func TestProofCells(t *testing.T) {
	quiet := flood(t, threeCells, 0)
	under := flood(t, threeCells, 80)
	share := float64(under.served) / float64(quiet.served)
	t.Logf("seed %d: %d of %d served without the flood, %d of %d with it", proofSeed, quiet.served, quiet.asked, under.served, under.asked)
	t.Logf("figure others_lost=%d", under.lost)
	t.Logf("figure others_served_share=%.3f", share)
	t.Logf("figure flood_refused=%d", under.floodRefused)
	t.Logf("figure doubled_writes=%d", under.counts.Doubled+quiet.counts.Doubled)
	t.Logf("figure stale_reads=%d", under.counts.Stale+quiet.counts.Stale)
	if under.lost > 0 || share < 0.99 || under.floodRefused == 0 || 10*quiet.served < 9*quiet.asked {
		t.Errorf("the flood harms others: %+v, without it %+v", under, quiet)
	}
}

// TestProofCellsBefore shows the harm that cells prevent: the same flood without them.
func TestProofCellsBefore(t *testing.T) {
	quiet := flood(t, "", 0)
	under := flood(t, "", 80)
	share := float64(under.served) / float64(quiet.served)
	t.Logf("seed %d: %d of %d served without the flood, %d of %d with it", proofSeed, quiet.served, quiet.asked, under.served, under.asked)
	t.Logf("figure before_others_served_share=%.3f", share)
	if share > 0.9 || 10*quiet.served < 9*quiet.asked {
		t.Errorf("without cells the flood harms nobody: %+v, without it %+v", under, quiet)
	}
}

// TestTwoCellsThatShareAllButOneReplica: what both use is shared by weight, so the flood of one leaves the other its part.
func TestTwoCellsThatShareAllButOneReplica(t *testing.T) {
	under := flood(t, shared, 80)
	t.Logf("seed %d: %d of %d served", proofSeed, under.served, under.asked)
	if 100*under.served < 99*under.asked || under.floodRefused == 0 {
		t.Errorf("the flood harms the other cell: %+v", under)
	}
}

const oneTenant = `(cells (claims yes) (size 2)
  (cell "coast") (cell "hills") (tenant "apollo" (cell "coast")) (tenant "medi" (cell "hills"))
  (moves (ramp 200ms) (fence %s) (warm 5s)))`

// moved is a gateway before two groups, the second of which has a copy of the first's data.
type moved struct {
	*gateway
	ledger *rules.Ledger
	one    *hosts.Cluster
	two    *hosts.Cluster
	socket string
}

func startMoved(t *testing.T, fence string, set func(*hosts.Host)) *moved {
	t.Helper()
	m := &moved{ledger: &rules.Ledger{Limits: rules.Limits{Slack: 100 * time.Millisecond}}}
	m.one, m.two = cluster(t, 1, "one-", 4, m.ledger, set), cluster(t, 2, "two-", 4, m.ledger, set)
	m.one.CopyTo(m.two)
	path, socket := operatorFile(t, fmt.Sprintf(oneTenant, fence))
	m.socket = socket
	m.gateway = startWith(t, nil, []string{"--operator", path}, append(m.one.Hosts(), m.two.Hosts()...)...)
	c := m.client()
	for group := 1; group <= 2; group++ { // who is primary is learnt from answers
		c.Do(clients.Request{Class: "order", Tenant: "medi", Group: group, Key: "first", Write: true, Wait: 5 * time.Second}, m.ledger)
	}
	return m
}

func (m *moved) order(args ...string) {
	m.t.Helper()
	if out, err := command(m.t, append(append([]string{"cells"}, args...), "--socket", m.socket)...); err != nil {
		m.t.Fatalf("%v: %s", err, out)
	}
}

// ends waits until the last move has come to its end and gives the stage.
func (m *moved) ends() cells.Move {
	m.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r := report(m.t, m.socket); len(r.Moves) == 0 && len(r.Ended) > 0 {
			return r.Ended[len(r.Ended)-1]
		}
	}
	m.t.Fatalf("the move does not end: %s", m.log)
	return cells.Move{}
}

func TestProofCellsMove(t *testing.T) {
	m := startMoved(t, "15s", func(h *hosts.Host) { h.Work = 2 * time.Millisecond })
	stop := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	acked, stale := map[string]bool{}, 0
	for i := range 6 {
		k := m.client()
		_ = k.SetDeadline(time.Time{})
		work.Go(func() {
			key, last, wrote := fmt.Sprint("patient-", i), []byte(nil), time.Time{}
			sure := true // the last write's end is known
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := clients.Request{ID: clients.NewID(), Class: "order", Tenant: "apollo", Key: key, Write: true,
					Value: fmt.Appendf(nil, "%d-%d", i, n), Wait: 4 * time.Second}
				switch r := k.Do(q, m.ledger); {
				case r.Row:
					mu.Lock()
					acked[q.ID] = true
					mu.Unlock()
					last, wrote, sure = q.Value, time.Now(), true
				case r.Code != pg.CodeTooMany:
					sure = false
				}
				q = clients.Request{Class: "own", Tenant: "apollo", Key: key, After: wrote, Wait: 4 * time.Second, Repeatable: true}
				if r := k.Do(q, m.ledger); r.Row && sure && !bytes.Equal(r.Value, last) {
					mu.Lock()
					stale++
					t.Logf("client %d reads %q after it wrote %q", i, r.Value, last)
					mu.Unlock()
				}
			}
		})
	}
	committed := func(c *hosts.Cluster, n int) {
		for end := time.Now().Add(patience); c.Commits() < n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	committed(m.one, 100)
	m.order("move", "apollo", "--from-group", "1", "--to-group", "2")
	end := m.ends()
	committed(m.two, 100)
	m.order("move", "apollo", "--to", "hills") // and inside its group
	inside := m.ends()
	committed(m.two, 200)
	close(stop)
	work.Wait()
	lost, doubled := 0, 0
	one, two := m.one.CommitsByID(), m.two.CommitsByID()
	for id := range acked {
		switch one[id] + two[id] {
		case 0:
			lost++
		case 1:
		default:
			doubled++
		}
	}
	for id, n := range one {
		if n+two[id] > 1 {
			doubled++
		}
	}
	t.Logf("figure move_writes=%d", len(acked))
	t.Logf("figure move_doubled=%d", doubled)
	t.Logf("figure move_lost=%d", lost)
	t.Logf("figure move_stale=%d", stale)
	if lost+doubled+stale > 0 || end.Stage != cells.Settled || inside.Stage != cells.Settled || m.two.Commits() < 200 {
		t.Errorf("the moves end %s (%s) and %s (%s), %d writes in the new group", end.Stage, end.Reason, inside.Stage,
			inside.Reason, m.two.Commits())
	}
	for _, b := range m.ledger.Violations() {
		t.Error(b)
	}
}

func TestMoveWithAWriteThatHangsPastTheFence(t *testing.T) {
	m := startMoved(t, "1s", nil)
	old := m.one.Primary()
	old.SetHang(hosts.AfterCommit)
	before := m.one.Commits()
	a, b := m.client(), m.client()
	answers := make(chan clients.Reply, 2)
	go func() {
		answers <- a.Do(clients.Request{ID: "hanging", Class: "order", Tenant: "apollo", Key: "k", Write: true,
			Wait: 3 * time.Second}, m.ledger)
	}()
	for m.one.Commits() == before {
		time.Sleep(time.Millisecond)
	}
	m.order("move", "apollo", "--from-group", "1", "--to-group", "2")
	m.waitLog(`"stage":"fenced"`)
	held := b.Do(clients.Request{Class: "order", Tenant: "apollo", Key: "k", Write: true, Wait: time.Second}, m.ledger)
	if held.Code != pg.CodeTooMany || held.RetryAfter == 0 {
		t.Errorf("a write that waited at the fence is answered %+v", held)
	}
	if end := m.ends(); end.Stage != cells.Aborted || !strings.Contains(end.Reason, "writes are in flight") {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	if r := <-answers; r.Code != pg.CodeFailed {
		t.Errorf("the write whose end is unknown is answered %+v", r)
	}
	old.SetHang(hosts.NotHung)
	if one, two := m.one.CommitsByID()["hanging"], m.two.CommitsByID()["hanging"]; one != 1 || two != 0 {
		t.Errorf("that write was committed %d times where it was sent and %d times on the other side", one, two)
	}
	for _, broken := range m.ledger.Violations() {
		t.Error(broken)
	}
}

func TestMoveWithAWriteThatFails(t *testing.T) {
	m := startMoved(t, "15s", nil)
	old := m.one.Primary()
	old.SetHang(hosts.AfterCommit)
	before := m.one.Commits()
	a, b := m.client(), m.client()
	answers := make(chan clients.Reply, 2)
	ask := func(c *clients.Client, id string) {
		answers <- c.Do(clients.Request{ID: id, Class: "order", Tenant: "apollo", Key: "k", Write: true, Wait: 10 * time.Second}, m.ledger)
	}
	go ask(a, "broken")
	for m.one.Commits() == before {
		time.Sleep(time.Millisecond)
	}
	m.order("move", "apollo", "--from-group", "1", "--to-group", "2")
	m.waitLog(`"stage":"fenced"`)
	go ask(b, "waiting")
	for {
		if r := report(t, m.socket); len(r.Moves) != 1 {
			t.Fatalf("the move has ended before the write: %+v", r.Ended)
		} else if r.Moves[0].Held > 0 {
			break
		}
	}
	old.Crash() // its connection breaks: the write may have run
	if r := <-answers; r.Code != pg.CodeFailed {
		t.Errorf("the write that broke is answered %+v", r)
	}
	if r := <-answers; !r.Row {
		t.Errorf("the write that waited is answered %+v", r)
	}
	if end := m.ends(); end.Stage != cells.Settled {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	if one, two := m.one.CommitsByID(), m.two.CommitsByID(); one["broken"] != 1 || two["broken"] != 0 || one["waiting"] != 0 || two["waiting"] != 1 {
		t.Errorf("the one that broke ran %d and %d times, the one that waited %d and %d", one["broken"], two["broken"],
			one["waiting"], two["waiting"])
	}
	for _, broken := range m.ledger.Violations() {
		t.Error(broken)
	}
}

func TestMoveWhileTheNewPrimaryIsDead(t *testing.T) {
	m := startMoved(t, "1s", nil)
	// The new group's primary dies, and its probes with it, before the fence stands; nobody takes over.
	m.two.Primary().Crash()
	m.two.Promote(nil)
	k := m.client()
	k.Do(clients.Request{Class: "order", Tenant: "medi", Group: 2, Key: "x", Write: true, Wait: time.Second}, m.ledger)
	m.order("move", "apollo", "--from-group", "1", "--to-group", "2")
	if end := m.ends(); end.Stage != cells.Aborted {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	if r := k.Do(clients.Request{ID: "after", Class: "order", Tenant: "apollo", Key: "k", Write: true, Wait: 5 * time.Second}, m.ledger); !r.Row ||
		m.one.CommitsByID()["after"] != 1 {
		t.Errorf("after the abort a write is answered %+v", r)
	}
	for _, broken := range m.ledger.Violations() {
		t.Error(broken)
	}
}

func TestMoveIntoColdHosts(t *testing.T) {
	l := &rules.Ledger{Limits: rules.Limits{Slack: 100 * time.Millisecond, Overload: 4, OverloadIn: 1500 * time.Millisecond}}
	c := cluster(t, 1, "s-", 5, l, func(h *hosts.Host) {
		h.Slots, h.MaxQueue, h.Work, h.ColdFrom, h.ColdTime = 2, 6, 10*time.Millisecond, 0.25, 16*time.Second
	})
	path, socket := operatorFile(t, `(cells (claims yes) (size 2) (overlap 0)
  (cell "coast" (pin "s-1" "s-2")) (cell "hills" (pin "s-3" "s-4")) (tenant "apollo" (cell "coast"))
  (moves (ramp 500ms) (warm 500ms)))`)
	for _, h := range c.Hosts()[3:] {
		h.StartCold()
	}
	g := startWith(t, brisk, []string{"--operator", path}, c.Hosts()...)
	m := &moved{gateway: g, socket: socket}
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 12 {
		k := g.client()
		_ = k.SetDeadline(time.Time{})
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				k.Do(clients.Request{Class: "view", Tenant: "apollo", Key: fmt.Sprint("k", i), Wait: 2 * time.Second, Repeatable: true}, l)
			}
		})
	}
	m.order("move", "apollo", "--to", "hills")
	if end := m.ends(); end.Stage != cells.Aborted || !strings.Contains(end.Reason, "cold") {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	close(stop)
	work.Wait()
	for _, b := range l.Violations() {
		t.Error(b)
	}
	reads := len(c.Hosts()[3].Queries()) + len(c.Hosts()[4].Queries())
	if all := l.Counts().Attempts; reads == 0 || reads > all/2 {
		t.Errorf("cold hosts got %d of %d reads", reads, all)
	}
}

func TestOperatorsFile(t *testing.T) {
	h := newHost(t, "s-1", hosts.Leader, nil)
	path, socket := operatorFile(t, `(cells (claims yes) (cell "coast") (tenant "apollo") (user "apollo-app" (tenants "apollo")))`)
	g := startWith(t, nil, []string{"--operator", path}, h)
	hup := func(text, logged string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = g.cmd.Process.Signal(syscall.SIGHUP)
		g.waitLog(logged)
	}
	claim := func(user, tenant string) string {
		t.Helper()
		c, err := clients.Start(g.address, user, patience)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.Ask(clients.Request{ID: clients.NewID(), Class: "own", Tenant: tenant, Key: "k", Wait: 5 * time.Second}.Statement())
	}
	if got := []string{claim("apollo-app", "apollo"), claim("other", "apollo"), claim("other", "")}; got[0] != "row k" ||
		got[1] != "42501" || got[2] != "row k" {
		t.Errorf("claims are answered %q", got)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info.Mode(), err)
	}
	if out, err := command(t, "cells", "show", "--operator", path); err != nil || !strings.Contains(out, "coast") ||
		!strings.HasPrefix(out, "CELL ") {
		t.Errorf("cells show: %v, %s", err, out)
	}
	for args, want := range map[string]string{
		"plan":                                    "no host comes or goes",
		"plan --leave nobody":                     `no such host: "nobody"`,
		"plan --come x":                           "not ID:GROUP",
		"move apollo":                             "nothing to move",
		"move nobody --to coast":                  "no such tenant",
		"move apollo --to nowhere":                "no such cell",
		"move apollo --to coast":                  "there already",
		"move apollo --from-group 1":              "go together",
		"move apollo --from-group 1 --to-group 9": "no host of that group",
		"abort apollo":                            "not being moved",
		"confirm apollo":                          "not being moved",
	} {
		out, err := command(t, append(append([]string{"cells"}, strings.Fields(args)...), "--socket", socket)...)
		if err == nil || strings.Count(out, "\n") != 1 || !strings.Contains(out, want) {
			t.Errorf("cells %s: %v, %q, want %s", args, err, out, want)
		}
	}
	if out, err := command(t, "cells", "plan", "--come", "s-2:1", "--socket", socket); err != nil || !strings.Contains(out, "s-2") {
		t.Errorf("cells plan: %v, %s", err, out)
	}
	if out, err := command(t, "cells", "show", "--socket", socket+"x"); err == nil || !strings.Contains(out, "no gateway answers") {
		t.Errorf("no gateway: %v, %s", err, out)
	}
	// A file with a fault has no effect in any part; one without cells takes them away; one with other cells is used.
	hup(`(cells (cell "coast") (cell "hills") (sise 2))`, "own.sexp:1:38: cells.sise: no such entry")
	if r := report(t, socket); len(r.Cells) != 1 {
		t.Errorf("a bad file has an effect: %+v", r)
	}
	hup("; nothing", `"cells":false`)
	if out, err := command(t, "cells", "show", "--socket", socket); err == nil || !strings.Contains(out, "there are no cells") {
		t.Errorf("without cells: %v, %s", err, out)
	}
	if got := claim("other", "apollo"); got != "row k" {
		t.Errorf("without cells a claim is answered %q", got)
	}
	hup(`(cells (cell "coast") (cell "hills"))`, `"cells":true`)
	if r := report(t, socket); len(r.Cells) != 2 {
		t.Errorf("the new file is not used: %+v", r)
	}
	_ = g.cmd.Process.Signal(syscall.SIGUSR1)
	g.waitLog(`"operators":2,"operators_bad":1`)
	// At the start a fault ends the program with one line.
	bad, _ := operatorFile(t, "(cells)")
	for _, cmd := range []string{"serve", "check"} {
		out, err := command(t, cmd, "--config", g.path, "--operator", bad)
		if err == nil || strings.Count(out, "\n") != 1 || !strings.Contains(out, "own.sexp:2:1: cells: no cell is named") {
			t.Errorf("%s with a bad file: %v, %q", cmd, err, out)
		}
	}
	if out, err := command(t, "check", "--config", g.path, "--operator", path, "--print"); err != nil ||
		!strings.Contains(out, "(size 2) ; default") {
		t.Errorf("check --print: %v, %s", err, out)
	}
}

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

// proofSeed seeds the keys and classes of the calm tenants' clients. It is printed with every figure.
const proofSeed = 20261201

// cluster starts a group's hosts and closes them at the end of the test.
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

// operatorFile writes an operator's file with a control socket and returns the paths of both.
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

// command runs a subcommand of the program and returns its output.
func command(t testing.TB, args ...string) (string, error) {
	t.Helper()
	out, err := program(t.Context(), args...).CombinedOutput()
	return string(out), err
}

func cellsReport(t testing.TB, socket string) (r cells.Report) {
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

// withShortReadTarget sets the latency target of reads to 0.6 s: far more than they take here, and little
// compared with their latency under a flood.
func withShortReadTarget(c string) string {
	return strings.ReplaceAll(c, `"onTime":10000000000,"giveUp":20000000000`, `"onTime":600000000,"giveUp":2000000000`)
}

// floodResult counts the results of two calm tenants while a third floods the gateway.
type floodResult struct {
	asked, served, lost int
	floodRefused        int64
	counts              rules.Counts
}

// sharedReplicas configures two cells with three replicas each, two of which they have in common.
const sharedReplicas = `(cells (claims yes) (size 3) (overlap 2) (queue 1) (floor 8)
  (cell "coast" (concurrency 8) (pin "s-1" "s-2" "s-3")) (cell "hills" (pin "s-2" "s-3" "s-4"))
  (tenant "flooder" (cell "coast")) (tenant "calm-1" (cell "hills")) (tenant "calm-2" (cell "hills")))`

// flood runs the calm tenants' requests, the same for the same seed, beside flooders connections of a third
// tenant that send continuously and retry at once when they are refused.
func flood(t *testing.T, operatorText string, flooders int) (out floodResult) {
	t.Helper()
	l := &rules.Ledger{Limits: rules.Limits{Slack: 100 * time.Millisecond}}
	// Each host runs one request of 40 ms at a time: the calm tenants' load fits their share, and the result
	// does not depend on the speed of the machine.
	c := cluster(t, 1, "s-", 7, l, func(h *hosts.Host) { h.Slots, h.MaxQueue, h.Work = 1, 3, 40*time.Millisecond })
	var args []string
	if operatorText != "" {
		path, _ := operatorFile(t, operatorText)
		args = []string{"--operator", path}
	}
	g := startWith(t, withShortReadTarget, args, c.Hosts()...)
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
		t.Errorf("cells %v, %d flooders, seed %d: %s", operatorText != "", flooders, proofSeed, b)
	}
	out.floodRefused, out.counts = refused.Load(), l.Counts()
	return out
}

// TestProofCells shows that a flooded cell does not affect the tenants of other cells. Replay:
//
//	go test ./cmd/yokemast -run TestProofCells -v
func TestProofCells(t *testing.T) {
	baseline := flood(t, threeCells, 0)
	loaded := flood(t, threeCells, 80)
	share := float64(loaded.served) / float64(baseline.served)
	t.Logf("seed %d: %d of %d served without the flood, %d of %d with it", proofSeed, baseline.served, baseline.asked, loaded.served, loaded.asked)
	t.Logf("figure others_lost=%d", loaded.lost)
	t.Logf("figure others_served_share=%.3f", share)
	t.Logf("figure flood_refused=%d", loaded.floodRefused)
	t.Logf("figure doubled_writes=%d", loaded.counts.Doubled+baseline.counts.Doubled)
	t.Logf("figure stale_reads=%d", loaded.counts.Stale+baseline.counts.Stale)
	if loaded.lost > 0 || share < 0.99 || loaded.floodRefused == 0 || 10*baseline.served < 9*baseline.asked {
		t.Errorf("the flood affects other tenants: %+v, without it %+v", loaded, baseline)
	}
}

// TestProofCellsBefore shows the effect that cells prevent: the same flood without cells.
func TestProofCellsBefore(t *testing.T) {
	baseline := flood(t, "", 0)
	loaded := flood(t, "", 80)
	share := float64(loaded.served) / float64(baseline.served)
	t.Logf("seed %d: %d of %d served without the flood, %d of %d with it", proofSeed, baseline.served, baseline.asked, loaded.served, loaded.asked)
	t.Logf("figure before_others_served_share=%.3f", share)
	if share > 0.9 || 10*baseline.served < 9*baseline.asked {
		t.Errorf("without cells the flood affects no tenant: %+v, without the flood %+v", loaded, baseline)
	}
}

// TestCellsSharingReplicas guards against a flood of one cell taking the other's share of the
// replicas they have in common, which are divided by weight.
func TestCellsSharingReplicas(t *testing.T) {
	loaded := flood(t, sharedReplicas, 80)
	t.Logf("seed %d: %d of %d served", proofSeed, loaded.served, loaded.asked)
	if 100*loaded.served < 99*loaded.asked || loaded.floodRefused == 0 {
		t.Errorf("the flood affects the other cell: %+v", loaded)
	}
}

const oneTenant = `(cells (claims yes) (size 2)
  (cell "coast") (cell "hills") (tenant "apollo" (cell "coast")) (tenant "medi" (cell "hills"))
  (moves (ramp 200ms) (fence %s) (warm 5s)))`

// moveTest is a gateway in front of two groups, the second of which has a copy of the first's data.
type moveTest struct {
	*gateway
	ledger   *rules.Ledger
	oldGroup *hosts.Cluster
	newGroup *hosts.Cluster
	socket   string
}

func startMoveTest(t *testing.T, fence string, set func(*hosts.Host)) *moveTest {
	t.Helper()
	m := &moveTest{ledger: &rules.Ledger{Limits: rules.Limits{Slack: 100 * time.Millisecond}}}
	m.oldGroup, m.newGroup = cluster(t, 1, "one-", 4, m.ledger, set), cluster(t, 2, "two-", 4, m.ledger, set)
	m.oldGroup.CopyTo(m.newGroup)
	path, socket := operatorFile(t, fmt.Sprintf(oneTenant, fence))
	m.socket = socket
	m.gateway = startWith(t, nil, []string{"--operator", path}, append(m.oldGroup.Hosts(), m.newGroup.Hosts()...)...)
	c := m.client()
	for group := 1; group <= 2; group++ { // the primary is learned from answers
		c.Do(clients.Request{Class: "order", Tenant: "medi", Group: group, Key: "first", Write: true, Wait: 5 * time.Second}, m.ledger)
	}
	return m
}

func (m *moveTest) runCells(args ...string) {
	m.t.Helper()
	if out, err := command(m.t, append(append([]string{"cells"}, args...), "--socket", m.socket)...); err != nil {
		m.t.Fatalf("%v: %s", err, out)
	}
}

// waitMoveEnded waits until the last move has ended and returns it.
func (m *moveTest) waitMoveEnded() cells.Move {
	m.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r := cellsReport(m.t, m.socket); len(r.Moves) == 0 && len(r.Ended) > 0 {
			return r.Ended[len(r.Ended)-1]
		}
	}
	m.t.Fatalf("the move did not end: %s", m.log)
	return cells.Move{}
}

// TestProofCellsMove shows that a tenant is moved under load, between groups and within one, without a lost,
// doubled or stale result.
func TestProofCellsMove(t *testing.T) {
	m := startMoveTest(t, "15s", func(h *hosts.Host) { h.Work = 2 * time.Millisecond })
	stop := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	acked, stale := map[string]bool{}, 0
	for i := range 6 {
		k := m.client()
		_ = k.SetDeadline(time.Time{})
		work.Go(func() {
			key, last, wrote := fmt.Sprint("patient-", i), []byte(nil), time.Time{}
			outcomeKnown := true // the outcome of the last write is known
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
					last, wrote, outcomeKnown = q.Value, time.Now(), true
				case r.Code != pg.CodeTooMany:
					outcomeKnown = false
				}
				q = clients.Request{Class: "own", Tenant: "apollo", Key: key, After: wrote, Wait: 4 * time.Second, Repeatable: true}
				if r := k.Do(q, m.ledger); r.Row && outcomeKnown && !bytes.Equal(r.Value, last) {
					mu.Lock()
					stale++
					t.Logf("client %d reads %q after it wrote %q", i, r.Value, last)
					mu.Unlock()
				}
			}
		})
	}
	committed := func(c *hosts.Cluster, n int) {
		for end := time.Now().Add(testTimeout); c.Commits() < n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	committed(m.oldGroup, 100)
	m.runCells("move", "apollo", "--from-group", "1", "--to-group", "2")
	end := m.waitMoveEnded()
	committed(m.newGroup, 100)
	m.runCells("move", "apollo", "--to", "hills") // and within its group
	inside := m.waitMoveEnded()
	committed(m.newGroup, 200)
	close(stop)
	work.Wait()
	lost, doubled := 0, 0
	one, two := m.oldGroup.CommitsByID(), m.newGroup.CommitsByID()
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
	if lost+doubled+stale > 0 || end.Stage != cells.Settled || inside.Stage != cells.Settled || m.newGroup.Commits() < 200 {
		t.Errorf("the moves end %s (%s) and %s (%s), %d writes in the new group", end.Stage, end.Reason, inside.Stage,
			inside.Reason, m.newGroup.Commits())
	}
	for _, b := range m.ledger.Violations() {
		t.Error(b)
	}
}

// A write that hangs for longer than the fence lasts aborts the move, and is not sent to the new group.
func TestMoveAbortsOnHangingWrite(t *testing.T) {
	m := startMoveTest(t, "1s", nil)
	old := m.oldGroup.Primary()
	old.SetHang(hosts.AfterCommit)
	before := m.oldGroup.Commits()
	a, b := m.client(), m.client()
	answers := make(chan clients.Reply, 2)
	go func() {
		answers <- a.Do(clients.Request{ID: "hanging", Class: "order", Tenant: "apollo", Key: "k", Write: true,
			Wait: 3 * time.Second}, m.ledger)
	}()
	for m.oldGroup.Commits() == before {
		time.Sleep(time.Millisecond)
	}
	m.runCells("move", "apollo", "--from-group", "1", "--to-group", "2")
	m.waitLog(`"stage":"fenced"`)
	held := b.Do(clients.Request{Class: "order", Tenant: "apollo", Key: "k", Write: true, Wait: time.Second}, m.ledger)
	if held.Code != pg.CodeTooMany || held.RetryAfter == 0 {
		t.Errorf("a write held by the fence is answered %+v", held)
	}
	if end := m.waitMoveEnded(); end.Stage != cells.Aborted || !strings.Contains(end.Reason, "writes are in flight") {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	if r := <-answers; r.Code != pg.CodeFailed {
		t.Errorf("the write with unknown outcome is answered %+v", r)
	}
	old.SetHang(hosts.NotHung)
	if one, two := m.oldGroup.CommitsByID()["hanging"], m.newGroup.CommitsByID()["hanging"]; one != 1 || two != 0 {
		t.Errorf("that write was committed %d times in the old group and %d times in the new one", one, two)
	}
	for _, broken := range m.ledger.Violations() {
		t.Error(broken)
	}
}

// A write that fails while the move is fenced must not be sent again to the new group, while a held write is
// sent there.
func TestMoveWithFailedWrite(t *testing.T) {
	m := startMoveTest(t, "15s", nil)
	old := m.oldGroup.Primary()
	old.SetHang(hosts.AfterCommit)
	before := m.oldGroup.Commits()
	a, b := m.client(), m.client()
	answers := make(chan clients.Reply, 2)
	ask := func(c *clients.Client, id string) {
		answers <- c.Do(clients.Request{ID: id, Class: "order", Tenant: "apollo", Key: "k", Write: true, Wait: 10 * time.Second}, m.ledger)
	}
	go ask(a, "broken")
	for m.oldGroup.Commits() == before {
		time.Sleep(time.Millisecond)
	}
	m.runCells("move", "apollo", "--from-group", "1", "--to-group", "2")
	m.waitLog(`"stage":"fenced"`)
	go ask(b, "waiting")
	for {
		if r := cellsReport(t, m.socket); len(r.Moves) != 1 {
			t.Fatalf("the move has ended before the write: %+v", r.Ended)
		} else if r.Moves[0].Held > 0 {
			break
		}
	}
	old.Crash() // its connection is reset: the write was possibly executed
	if r := <-answers; r.Code != pg.CodeFailed {
		t.Errorf("the write whose connection was reset is answered %+v", r)
	}
	if r := <-answers; !r.Row {
		t.Errorf("the held write is answered %+v", r)
	}
	if end := m.waitMoveEnded(); end.Stage != cells.Settled {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	if one, two := m.oldGroup.CommitsByID(), m.newGroup.CommitsByID(); one["broken"] != 1 || two["broken"] != 0 || one["waiting"] != 0 || two["waiting"] != 1 {
		t.Errorf("the reset write was committed %d and %d times, the held one %d and %d", one["broken"], two["broken"],
			one["waiting"], two["waiting"])
	}
	for _, broken := range m.ledger.Violations() {
		t.Error(broken)
	}
}

// A move to a group without a primary must abort, and the old group serves the tenant's writes again.
func TestMoveAbortsWithoutNewPrimary(t *testing.T) {
	m := startMoveTest(t, "1s", nil)
	// The new group's primary crashes, so that probes of it fail, before the writes are fenced; no host takes
	// over.
	m.newGroup.Primary().Crash()
	m.newGroup.Promote(nil)
	k := m.client()
	k.Do(clients.Request{Class: "order", Tenant: "medi", Group: 2, Key: "x", Write: true, Wait: time.Second}, m.ledger)
	m.runCells("move", "apollo", "--from-group", "1", "--to-group", "2")
	if end := m.waitMoveEnded(); end.Stage != cells.Aborted {
		t.Errorf("the move ends %s: %s", end.Stage, end.Reason)
	}
	if r := k.Do(clients.Request{ID: "after", Class: "order", Tenant: "apollo", Key: "k", Write: true, Wait: 5 * time.Second}, m.ledger); !r.Row ||
		m.oldGroup.CommitsByID()["after"] != 1 {
		t.Errorf("after the abort a write is answered %+v", r)
	}
	for _, broken := range m.ledger.Violations() {
		t.Error(broken)
	}
}

// A move to a cell of cold hosts aborts instead of sending them most of the reads.
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
	g := startWith(t, withShortReadTarget, []string{"--operator", path}, c.Hosts()...)
	m := &moveTest{gateway: g, socket: socket}
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
	m.runCells("move", "apollo", "--to", "hills")
	if end := m.waitMoveEnded(); end.Stage != cells.Aborted || !strings.Contains(end.Reason, "cold") {
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

// TestOperatorFile covers claims, the cells commands and their error lines, and reloads of the operator's file.
func TestOperatorFile(t *testing.T) {
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
		c, err := clients.Start(g.address, user, testTimeout)
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
		t.Errorf("without a gateway: %v, %s", err, out)
	}
	// A file with an error has no effect at all; one without cells removes them; one with other cells is used.
	hup(`(cells (cell "coast") (cell "hills") (sise 2))`, "own.sexp:1:38: cells.sise: no such entry")
	if r := cellsReport(t, socket); len(r.Cells) != 1 {
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
	if r := cellsReport(t, socket); len(r.Cells) != 2 {
		t.Errorf("the new file is not used: %+v", r)
	}
	_ = g.cmd.Process.Signal(syscall.SIGUSR1)
	g.waitLog(`"operators":2,"operators_bad":1`)
	// At the start an error ends the program with one line.
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

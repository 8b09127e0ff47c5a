package balance

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestChoiceByNeed(t *testing.T) {
	for _, c := range []struct {
		name, class string
		age         time.Duration // since the session's write
		a, b        time.Duration // lag of the replicas; negative means that the position is unknown
		to          string        // members that may be chosen
	}{
		{"write", "save", 0, 0, 0, "p"},
		{"read that must be current", "fresh", 0, 0, 0, "p"},
		{"session read in the pin window", "own", 100 * ms, 0, 0, "p"},
		{"session read after it", "own", 400 * ms, 300 * ms, 500 * ms, "a"},
		{"session read, no replica has the write", "own", 400 * ms, 500 * ms, 500 * ms, "p"},
		{"session read without a write", "own", 0, 9 * time.Second, -1, "ab"},
		{"bounded read", "browse", 0, 100 * ms, 300 * ms, "a"},
		{"bounded read at the bound counts as stale", "browse", 0, 200 * ms, 300 * ms, "p"},
		{"bounded read, positions unknown", "browse", 0, -1, -1, "p"},
		{"any read", "any", 0, 9 * time.Second, -1, "ab"},
	} {
		t.Run(c.name, func(t *testing.T) {
			seen := map[string]bool{}
			for range 20 {
				g := newRig(t, func(s *Settings) { s.Probes = false })
				for s, d := range map[string]time.Duration{"a": c.a, "b": c.b} {
					if d >= 0 {
						g.setState(s, Replica, d)
					}
				}
				for range 6 {
					_, acts := g.request(c.class, c.age)
					for _, s := range sends(acts) {
						seen[s] = true
					}
				}
			}
			for s := range seen {
				if !strings.Contains(c.to, s) {
					t.Errorf("sent to %s, want only %s", s, c.to)
				}
			}
			if len(seen) != len(c.to) {
				t.Errorf("sent to %v, want each of %s", seen, c.to)
			}
		})
	}
}

func TestReadWaitsForProbedPosition(t *testing.T) {
	// Reported positions are old when they arrive; a read that found no replica within its bound would load
	// the primary.
	for _, c := range []struct {
		name   string
		behind time.Duration
		to     string
	}{{"in the bound", 100 * ms, "ab"}, {"far behind", 900 * ms, "p"}} {
		g := newRig(t, nil)
		g.now += time.Second
		_, acts := g.request("browse", 0)
		for range 4 {
			i := slices.IndexFunc(acts, func(a Action) bool { _, ok := a.(Probe); return ok })
			if i < 0 {
				break
			}
			p := acts[i].(Probe)
			g.now += ms
			acts = g.handle(ProbeResult{Server: p.Server, Result: OK, Report: Report{Valid: true, Position: g.now - c.behind}})
		}
		if to := sends(acts); len(to) != 1 || !strings.Contains(c.to, to[0]) {
			t.Errorf("%s: sent to %q, want one of %s", c.name, to, c.to)
		}
	}
}

func TestFallbackReadsAreShedAtFullPrimary(t *testing.T) {
	// While replicas lag, reads fall back to the primary; hundreds of routers with one such read each
	// overloaded it.
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.setState("p", Primary, 0)
	count := func() (n int) {
		for range 100 {
			g.now += 10 * ms
			id, acts := g.request("browse", 0)
			n += len(sends(acts))
			g.handle(RequestCanceled{id})
			g.answer(id, "p", 0, Canceled, Primary)
		}
		return n
	}
	if n := count(); n < 90 {
		t.Errorf("%d of 100 reads sent to a healthy primary", n)
	}
	for range 12 {
		id, _ := g.request("save", 0)
		g.answer(id, "p", 0, QueueFull, Primary)
		g.handle(RequestCanceled{id})
	}
	if n := count(); n > 20 {
		t.Errorf("%d of 100 reads sent to a full primary", n)
	}
	for range 40 {
		g.now += 20 * ms
		id, _ := g.request("save", 0)
		g.answer(id, "p", 0, OK, Primary)
	}
	if n := count(); n < 90 {
		t.Errorf("%d of 100 reads sent after the primary recovered", n)
	}
}

func TestReplicaChoiceByWeight(t *testing.T) {
	g := newRig(t, nil)
	g.r.members["b"].Weight = 3
	n := map[string]int{}
	for range 4000 {
		id, acts := g.request("any", 0)
		to := sends(acts)[0]
		n[to]++
		g.answer(id, to, 0, OK, Replica)
	}
	if share := float64(n["b"]) / 4000; math.Abs(share-0.75) > 0.03 {
		t.Errorf("the member with weight 3 of 4 got %.3f of the reads", share)
	}
}

func TestMisdirectedWriteIsRetriedElsewhere(t *testing.T) {
	g := newRig(t, nil)
	id, acts := g.request("save", 0)
	want(t, "first", sends(acts), []string{"p"})
	acts = append(g.answer(id, "p", 0, Misdirected, Replica), g.advance(2*queueInterval)...)
	second := sends(acts)
	if len(second) != 1 || second[0] == "p" {
		t.Fatalf("after a misdirected write: %q", second)
	}
	g.answer(id, second[0], 1, OK, Primary)
	_, acts = g.request("save", 0)
	want(t, "next write", sends(acts), second)
}

func TestOneWriteSearchesForPrimary(t *testing.T) {
	// Many writes sent to replicas use up attempts and host work while a group has no primary.
	g := newRig(t, nil)
	for _, s := range []string{"p", "a", "b"} {
		g.setState(s, Replica, 0)
	}
	sent := 0
	for range 20 {
		_, acts := g.request("save", 0)
		sent += len(sends(acts))
	}
	if sent != 1 {
		t.Fatalf("%d writes sent into a group without a primary, want 1", sent)
	}
}

func TestSessionMemory(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.TokensCarried = false })
	for i := range maxSessions + 10 {
		g.now += ms
		g.r.rememberWrite(fmt.Sprint("s", i), g.now)
	}
	if n := len(g.r.sessionWrites); n > maxSessions {
		t.Errorf("%d sessions kept", n)
	}
	if got := g.r.lastWrite(Request{Session: "s5"}); got < origin+5*ms {
		t.Errorf("the floor %v of a forgotten session is below its write", got)
	}
	last := fmt.Sprint("s", maxSessions+9)
	if got := g.r.lastWrite(Request{Session: last}); got != g.now {
		t.Errorf("last write of the newest session is %v, want %v", got, g.now)
	}
}

func TestLatestReadNeedsPrimary(t *testing.T) {
	g := newRig(t, nil)
	g.setState("p", Replica, 0) // the listed primary answered as a replica
	_, acts := g.request("fresh", 0)
	want(t, "no known primary", sends(append(acts, g.advance(500*ms)...)), nil)
}

func TestMembersWithChecksNeedNoPosition(t *testing.T) {
	for _, c := range []struct {
		checks Checks
		to     int
	}{{ChecksNone, 0}, {ChecksRefuse, 1}, {ChecksWait, 1}} {
		g := newRig(t, func(s *Settings) { s.Checks = c.checks })
		if _, acts := g.request("browse", 0); len(sends(acts)) != c.to {
			t.Errorf("checks %v: %d sends with no position known, want %d", c.checks, len(sends(acts)), c.to)
		}
	}
}

func TestFullPrimaryBackoff(t *testing.T) {
	g := newRig(t, nil)
	id, acts := g.request("save", 0)
	for attempt, minDelay := range []time.Duration{20 * ms, 40 * ms, 90 * ms} {
		want(t, "sent", sends(acts), []string{"p"})
		acts = g.answer(id, "p", attempt, QueueFull, Primary)
		from := g.now
		for len(sends(acts)) == 0 && g.now-from < time.Second {
			acts = g.advance(queueInterval)
		}
		if g.now-from < minDelay {
			t.Errorf("attempt %d: retried after %v", attempt, g.now-from)
		}
	}
}

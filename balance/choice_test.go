package balance

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestWhereARequestGoes(t *testing.T) {
	for _, c := range []struct {
		name, class string
		age         time.Duration // of the session's write
		a, b        time.Duration // how far the replicas are behind; negative: position unknown
		to          string        // members that may be drawn
	}{
		{"write", "save", 0, 0, 0, "p"},
		{"read that must be current", "fresh", 0, 0, 0, "p"},
		{"session read in the pin window", "own", 100 * ms, 0, 0, "p"},
		{"session read after it", "own", 400 * ms, 300 * ms, 500 * ms, "a"},
		{"session read, none has the write", "own", 400 * ms, 500 * ms, 500 * ms, "p"},
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
						g.know(s, Replica, d)
					}
				}
				for range 6 {
					_, acts := g.ask(c.class, c.age)
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

func TestReadWaitsForAPositionAskedFor(t *testing.T) {
	// Reported positions are old when they come; a read that found none in its bound would load the primary.
	for _, c := range []struct {
		name   string
		behind time.Duration
		to     string
	}{{"in the bound", 100 * ms, "ab"}, {"far behind", 900 * ms, "p"}} {
		g := newRig(t, nil)
		g.now += time.Second
		_, acts := g.ask("browse", 0)
		for range 4 {
			i := slices.IndexFunc(acts, func(a Action) bool { _, ok := a.(Probe); return ok })
			if i < 0 {
				break
			}
			p := acts[i].(Probe)
			g.now += ms
			acts = g.do(ProbeResult{Server: p.Server, Result: OK, Report: Report{Valid: true, Position: g.now - c.behind}})
		}
		if to := sends(acts); len(to) != 1 || !strings.Contains(c.to, to[0]) {
			t.Errorf("%s: sent to %q, want one of %s", c.name, to, c.to)
		}
	}
}

func TestFallbackReadsLeaveAFullPrimaryByChance(t *testing.T) {
	// While replicas lag, reads fall back; hundreds of routers with one such read each filled the primary.
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.know("p", Primary, 0)
	count := func() (n int) {
		for range 100 {
			g.now += 10 * ms
			id, acts := g.ask("browse", 0)
			n += len(sends(acts))
			g.do(RequestCanceled{id})
			g.answer(id, "p", 0, Canceled, Primary)
		}
		return n
	}
	if n := count(); n < 90 {
		t.Errorf("%d of 100 reads sent to a primary that is well", n)
	}
	for range 12 {
		id, _ := g.ask("save", 0)
		g.answer(id, "p", 0, QueueFull, Primary)
		g.do(RequestCanceled{id})
	}
	if n := count(); n > 20 {
		t.Errorf("%d of 100 reads sent to a full primary", n)
	}
	for range 40 {
		g.now += 20 * ms
		id, _ := g.ask("save", 0)
		g.answer(id, "p", 0, OK, Primary)
	}
	if n := count(); n < 90 {
		t.Errorf("%d of 100 reads sent after it recovered", n)
	}
}

func TestDrawFollowsWeight(t *testing.T) {
	g := newRig(t, nil)
	g.r.members["b"].Weight = 3
	n := map[string]int{}
	for range 4000 {
		id, acts := g.ask("any", 0)
		to := sends(acts)[0]
		n[to]++
		g.answer(id, to, 0, OK, Replica)
	}
	if share := float64(n["b"]) / 4000; math.Abs(share-0.75) > 0.03 {
		t.Errorf("the member of weight 3 of 4 got %.3f of the draws", share)
	}
}

func TestMissMovesAWriteOn(t *testing.T) {
	g := newRig(t, nil)
	id, acts := g.ask("save", 0)
	want(t, "first", sends(acts), []string{"p"})
	acts = append(g.answer(id, "p", 0, Misdirected, Replica), g.beat(2*beat)...)
	second := sends(acts)
	if len(second) != 1 || second[0] == "p" {
		t.Fatalf("after the miss: %q", second)
	}
	g.answer(id, second[0], 1, OK, Primary)
	_, acts = g.ask("save", 0)
	want(t, "next write", sends(acts), second)
}

func TestOneWriteScoutsForThePrimary(t *testing.T) {
	// Herds of writes at replicas use up attempts and work while a group has no primary.
	g := newRig(t, nil)
	for _, s := range []string{"p", "a", "b"} {
		g.know(s, Replica, 0)
	}
	sent := 0
	for range 20 {
		_, acts := g.ask("save", 0)
		sent += len(sends(acts))
	}
	if sent != 1 {
		t.Fatalf("%d writes sent into a group without a primary, want one scout", sent)
	}
}

func TestSessionMemory(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.TokensCarried = false })
	for i := range sessionLimit + 10 {
		g.now += ms
		g.r.remember(fmt.Sprint("s", i), g.now)
	}
	if n := len(g.r.sessions); n > sessionLimit {
		t.Errorf("%d sessions kept", n)
	}
	if got := g.r.wrote(Request{Session: "s5"}); got < origin+5*ms {
		t.Errorf("a forgotten session's floor %v lies below its write", got)
	}
	last := fmt.Sprint("s", sessionLimit+9)
	if got := g.r.wrote(Request{Session: last}); got != g.now {
		t.Errorf("last session remembered as %v, want %v", got, g.now)
	}
}

func TestUnprovenMembersGetNoUnqualifiedRead(t *testing.T) {
	g := newRig(t, nil)
	g.know("p", Replica, 0) // the listed primary answered as a replica
	_, acts := g.ask("fresh", 0)
	want(t, "no known primary", sends(append(acts, g.beat(500*ms)...)), nil)
}

func TestMembersThatCheckReadsNeedNoProof(t *testing.T) {
	for _, c := range []struct {
		checks Checks
		to     int
	}{{ChecksNone, 0}, {ChecksRefuse, 1}, {ChecksWait, 1}} {
		g := newRig(t, func(s *Settings) { s.Checks = c.checks })
		if _, acts := g.ask("browse", 0); len(sends(acts)) != c.to {
			t.Errorf("checks %v: %d sends with no position known, want %d", c.checks, len(sends(acts)), c.to)
		}
	}
}

func TestAFullPrimaryIsNotAskedAgainAtOnce(t *testing.T) {
	g := newRig(t, nil)
	id, acts := g.ask("save", 0)
	for try, least := range []time.Duration{20 * ms, 40 * ms, 90 * ms} {
		want(t, "sent", sends(acts), []string{"p"})
		acts = g.answer(id, "p", try, QueueFull, Primary)
		from := g.now
		for len(sends(acts)) == 0 && g.now-from < time.Second {
			acts = g.beat(beat)
		}
		if g.now-from < least {
			t.Errorf("try %d: again after %v", try, g.now-from)
		}
	}
}

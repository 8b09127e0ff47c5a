package balance

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestColdMemberShare(t *testing.T) {
	// A limit per router is no budget: hundreds of routers overloaded members that had just started. The
	// first requests of that many routers stand for what a fleet sends at one moment.
	for _, c := range []struct {
		name, class string
		removed     string        // removed members
		age         time.Duration // age of the cold member
		lo, hi      float64       // expected range of its fraction of the requests
	}{
		{"beside a warm replica", "any", "", 0, 0.05, 0.16},
		{"the only replica", "any", "b", 0, 0.12, 0.26},
		{"half warm", "any", "b", 5 * time.Second, 0.36, 0.58},
		{"warm", "any", "b", 10 * time.Second, 1, 1},
		{"primary", "save", "", 0, 0.3, 0.46},
		{"primary, reads that fall back", "any", "ab", 0, 0.15, 0.31},
	} {
		n := 0
		for seed := range 400 {
			g := newSeededRig(t, seed)
			l := list()
			cold := "a"
			if c.class == "save" || c.removed == "ab" {
				cold = "p"
			}
			for i := range l {
				if l[i].Server == cold {
					l[i].Started = g.now - c.age
				}
				if strings.Contains(c.removed, l[i].Server) {
					l[i].State = Removed
				}
			}
			g.handle(Members{Snapshot: true, List: l})
			_, acts := g.request(c.class, 0)
			for _, s := range sends(append(acts, g.advance(300*ms)...)) {
				if s == cold {
					n++
				}
			}
		}
		if part := float64(n) / 400; part < c.lo || part > c.hi {
			t.Errorf("%s: got %.3f of the requests, want %.2f to %.2f", c.name, part, c.lo, c.hi)
		}
	}
}

func TestFailedProbeMakesMemberCold(t *testing.T) {
	g := newRig(t, nil)
	m := g.r.members["a"]
	g.handle(ProbeResult{Server: "a", Result: TimedOut})
	g.now += 2 * time.Second
	g.handle(ProbeResult{Server: "a", Result: OK})
	if w := g.r.warmUpWeight(m); w > 0.3 {
		t.Errorf("warm-up weight %.2f after a restart, want that of a start", w)
	}
	if w := g.r.warmUpWeight(g.r.members["b"]); w != 1 {
		t.Errorf("warm-up weight %.2f of a member that was never seen dead", w)
	}
}

func TestQueuedWritesSpareColdPrimary(t *testing.T) {
	// Retries every second let the whole backlog of an outage through within two seconds and overloaded the
	// primary.
	early, later := 0, 0
	for seed := range 200 {
		g := newSeededRig(t, seed)
		l := list()
		l[0].Started = g.now
		g.handle(Members{Snapshot: true, List: l})
		_, acts := g.request("save", 0)
		if len(sends(acts)) > 0 {
			continue
		}
		early += len(sends(g.advance(900 * ms)))
		later += len(sends(g.advance(2200 * ms)))
	}
	if early > 0 || later == 0 {
		t.Errorf("%d held writes retried within 0.9 s, %d within 3.1 s; want none and some", early, later)
	}
}

func TestColdFactorByRouters(t *testing.T) {
	for _, c := range []struct {
		routers      int
		factor, want float64
	}{{1, 0, 1}, {300, 0, 1}, {20, 1, 0.6}, {300, 1, 0.6}, {20, 4, 2.4}, {60, 4, 2.4}, {120, 4, 2.4}, {200, 4, 1.9}, {300, 4, 1.6}, {900, 4, 1.6}} {
		g := newRig(t, func(s *Settings) { s.Routers, s.OverloadFactor = c.routers, c.factor })
		if got := g.r.coldFactor(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d routers, a factor of %v: %v, want %v", c.routers, c.factor, got, c.want)
		}
	}
}

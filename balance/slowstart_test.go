package balance

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestColdMemberGetsNoMoreThanItsPart(t *testing.T) {
	// Places at each router are no budget: hundreds of routers pushed members that had just started over.
	// The first requests of as many routers are what a fleet sends in one moment.
	for _, c := range []struct {
		name, class string
		gone        string        // a member off the list
		age         time.Duration // of the cold member
		lo, hi      float64       // its part of the requests
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
			g := seeded(t, seed)
			l := list()
			cold := "a"
			if c.class == "save" || c.gone == "ab" {
				cold = "p"
			}
			for i := range l {
				if l[i].Server == cold {
					l[i].Started = g.now - c.age
				}
				if strings.Contains(c.gone, l[i].Server) {
					l[i].State = Removed
				}
			}
			g.do(Members{Snapshot: true, List: l})
			_, acts := g.ask(c.class, 0)
			for _, s := range sends(append(acts, g.beat(300*ms)...)) {
				if s == cold {
					n++
				}
			}
		}
		if part := float64(n) / 400; part < c.lo || part > c.hi {
			t.Errorf("%s: %.3f of the requests, want %.2f to %.2f", c.name, part, c.lo, c.hi)
		}
	}
}

func TestADeathSeenMakesAMemberCold(t *testing.T) {
	g := newRig(t, nil)
	m := g.r.members["a"]
	g.do(ProbeResult{Server: "a", Result: TimedOut})
	g.now += 2 * time.Second
	g.do(ProbeResult{Server: "a", Result: OK})
	if w := g.r.warmth(m); w > 0.3 {
		t.Errorf("warmth %.2f after it came back, want that of a start", w)
	}
	if w := g.r.warmth(g.r.members["b"]); w != 1 {
		t.Errorf("warmth %.2f of a member that was never seen dead", w)
	}
}

func TestHeldWritesDoNotPressOnAColdPrimary(t *testing.T) {
	// Asking again every second let the whole backlog of an outage through within two, and pushed it over.
	early, later := 0, 0
	for seed := range 200 {
		g := seeded(t, seed)
		l := list()
		l[0].Started = g.now
		g.do(Members{Snapshot: true, List: l})
		_, acts := g.ask("save", 0)
		if len(sends(acts)) > 0 {
			continue
		}
		early += len(sends(g.beat(900 * ms)))
		later += len(sends(g.beat(2200 * ms)))
	}
	if early > 0 || later == 0 {
		t.Errorf("%d held writes asked again within 0.9 s, %d within 3.1 s; want none and some", early, later)
	}
}

func TestAColdMembersFactorLeavesRoomForBurstsWhereRoutersAreMany(t *testing.T) {
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

package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestHopelessReadIsRefusedAtOnce(t *testing.T) {
	g := newRig(t, nil)
	g.know("p", Replica, 0)
	id, _ := g.ask("fresh", 0)
	acts := g.beat(time.Second)
	want(t, "worth nothing any more", finals(acts), []string{"refuse " + id})
	for _, a := range acts {
		if f, ok := a.(Refuse); ok && f.RetryAfter == 0 {
			t.Error("refused without advice")
		}
	}
}

func TestWorthFirst(t *testing.T) {
	g := newRig(t, nil)
	m := g.r.members["p"]
	m.limit = 1
	first, _ := g.ask("save", 0)
	g.ask("fresh", 0)
	g.ask("save", 0)
	acts := g.answer(first, "p", 0, OK, Primary)
	firstSent(t, acts, "q3", "the write, worth more")
}

func TestLateOnesGoBehindThoseStillInTime(t *testing.T) {
	// First come first served, a backlog of writes makes every write late.
	g := newRig(t, nil)
	m := g.r.members["p"]
	m.limit = 1
	first, _ := g.ask("save", 0)
	g.ask("save", 0)
	for range 10 {
		g.now += 100 * ms
		m.silentSince = g.now
		g.do(Timer{tagBeat})
	}
	g.ask("save", 0)
	acts := g.answer(first, "p", 0, OK, Primary)
	firstSent(t, acts, "q3", "the write that can still be in time")
}

func TestRequestsOverTheirShareWaitBehind(t *testing.T) {
	// A tenant far over its share took the places of requests worth twenty times as much.
	g := newRig(t, func(s *Settings) {
		s.OverShareWorth, s.Routers = 0.05, 2
		s.Tenants = []Tenant{{Name: "big", PerSec: 4}, {Name: "small", PerSec: 4}}
	})
	g.r.members["p"].limit = 1
	ask := func(id, tenant string) []Action {
		return g.do(Request{ID: id, Class: "fresh", Tenant: tenant, Deadline: g.now + 2*time.Second})
	}
	ask("out", "big")
	for i := range 12 {
		ask(fmt.Sprint("in", i), "big")
	}
	ask("small", "small")
	ask("over", "big")
	acts := g.answer("out", "p", 0, OK, Primary)
	firstSent(t, acts, "small", "the newest inside its share")
}

func TestAQuietRouterCountsNobodyOverItsShare(t *testing.T) {
	// With hundreds of routers an even part is under one request a second; every request counted as too many.
	for _, routers := range []int{1, 40, 400} {
		g := newRig(t, func(s *Settings) {
			s.OverShareWorth, s.Routers = 0.05, routers
			s.Tenants = []Tenant{{Name: "big", PerSec: 60}, {Name: "small", PerSec: 20}}
		})
		over := 0
		for i := range 200 {
			g.now += 500 * ms
			id := fmt.Sprint(i)
			g.do(Request{ID: id, Class: "any", Deadline: g.now + time.Second,
				Tenant: []string{"big", "big", "small", "big"}[i%4]})
			if q := g.r.reqs[id]; q.worth < q.cls.Worth {
				over++
			}
			g.do(RequestCanceled{id})
		}
		if over > 20 {
			t.Errorf("%d routers: %d of 200 requests over a share nobody exceeds", routers, over)
		}
	}
}

func TestNewestFirst(t *testing.T) {
	// Oldest first, a jam serves each request just too late.
	for _, c := range []struct{ class, first string }{{"fresh", "q3"}, {"save", "q3"}} {
		g := newRig(t, nil)
		g.r.members["p"].limit = 1
		first, _ := g.ask(c.class, 0)
		g.ask(c.class, 0)
		g.ask(c.class, 0)
		acts := g.answer(first, "p", 0, OK, Primary)
		firstSent(t, acts, c.first, "the newest "+c.class)
	}
}

func TestAClassOnceSlowIsTriedAgain(t *testing.T) {
	g := newRig(t, nil)
	g.r.cells[0].classes["any"].took = 10 * time.Second
	if _, acts := g.ask("any", 0); len(sends(acts)) != 1 {
		t.Error("a class with slow answers behind it is turned away for good")
	}
}

func TestReleaseAfterAnOutageIsSpread(t *testing.T) {
	// When the primary was back, hundreds of routers sent what each had held in the same moment.
	for _, c := range []struct {
		name   string
		cold   bool
		outage time.Duration
		most   int // of 100 writes in the first two beats
	}{{"cold", true, 1800 * ms, 12}, {"late", false, 1800 * ms, 15}, {"in time", false, 100 * ms, 100}} {
		const hundreds = 10
		n := 0
		for seed := range 100 * hundreds {
			g := seeded(t, seed)
			l := list()
			g.do(Members{Snapshot: true, List: l})
			g.r.now = g.now
			g.r.blacklist(g.r.members["p"], false)
			g.r.members["p"].downUntil = g.now + time.Hour
			for _, s := range []string{"a", "b"} {
				g.r.members[s].downUntil = g.now + time.Hour
			}
			g.ask("save", 0)
			g.beat(c.outage)
			if c.cold {
				l[0].Started = g.now
				g.do(Members{List: l[:1]})
			}
			g.r.members["p"].downUntil = 0
			n += len(sends(g.beat(2 * beat)))
		}
		if n > c.most*hundreds || n == 0 || c.most == 100 && n < 100*hundreds {
			t.Errorf("%s: %d of %d held writes left at once, want %d at most", c.name, n, 100*hundreds, c.most*hundreds)
		}
	}
}

// Another customer's deadlines may be as short as the pace of what waits here: each request is tried all the same.
func TestShortAndLongDeadlinesAreTried(t *testing.T) {
	for _, deadline := range []time.Duration{20 * ms, 50 * ms, 95 * ms, 20 * time.Second} {
		g := newRig(t, func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].LatencyTarget, s.Classes[i].Deadline = deadline*4/5, deadline
			}
		})
		for _, class := range []string{"any", "own", "save", "keyed", "fresh"} {
			_, acts := g.ask(class, 0)
			if len(sends(acts)) != 1 {
				t.Errorf("%s with a deadline of %s: %v", class, deadline, acts)
			}
		}
	}
}

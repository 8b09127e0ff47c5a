package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestUnlikelyReadIsRefused(t *testing.T) {
	g := newRig(t, nil)
	g.setState("p", Replica, 0)
	id, _ := g.request("fresh", 0)
	acts := g.advance(time.Second)
	want(t, "read without remaining value", finals(acts), []string{"refuse " + id})
	for _, a := range acts {
		if f, ok := a.(Refuse); ok && f.RetryAfter == 0 {
			t.Error("refused without RetryAfter")
		}
	}
}

func TestQueueOrderByWorth(t *testing.T) {
	g := newRig(t, nil)
	m := g.r.members["p"]
	m.limit = 1
	first, _ := g.request("save", 0)
	g.request("fresh", 0)
	g.request("save", 0)
	acts := g.answer(first, "p", 0, OK, Primary)
	requireFirstSend(t, acts, "q3", "the write with the higher worth")
}

func TestQueueOrderPrefersRequestsInTime(t *testing.T) {
	// When writes were served first come, first served, a backlog made every write late.
	g := newRig(t, nil)
	m := g.r.members["p"]
	m.limit = 1
	first, _ := g.request("save", 0)
	g.request("save", 0)
	for range 10 {
		g.now += 100 * ms
		m.silentSince = g.now
		g.handle(Timer{tagQueue})
	}
	g.request("save", 0)
	acts := g.answer(first, "p", 0, OK, Primary)
	requireFirstSend(t, acts, "q3", "the write that can still be in time")
}

func TestQueueOrderPutsOverQuotaLast(t *testing.T) {
	// A tenant far over its quota took the places of requests worth twenty times as much.
	g := newRig(t, func(s *Settings) {
		s.OverShareWorth, s.Routers = 0.05, 2
		s.Tenants = []Tenant{{Name: "big", PerSec: 4}, {Name: "small", PerSec: 4}}
	})
	g.r.members["p"].limit = 1
	ask := func(id, tenant string) []Action {
		return g.handle(Request{ID: id, Class: "fresh", Tenant: tenant, Deadline: g.now + 2*time.Second})
	}
	ask("out", "big")
	for i := range 12 {
		ask(fmt.Sprint("in", i), "big")
	}
	ask("small", "small")
	ask("over", "big")
	acts := g.answer("out", "p", 0, OK, Primary)
	requireFirstSend(t, acts, "small", "the newest request within its quota")
}

func TestLowTrafficIsNotOverQuota(t *testing.T) {
	// With hundreds of routers an even share is under one request per second, and every request counted as
	// over quota.
	for _, routers := range []int{1, 40, 400} {
		g := newRig(t, func(s *Settings) {
			s.OverShareWorth, s.Routers = 0.05, routers
			s.Tenants = []Tenant{{Name: "big", PerSec: 60}, {Name: "small", PerSec: 20}}
		})
		over := 0
		for i := range 200 {
			g.now += 500 * ms
			id := fmt.Sprint(i)
			g.handle(Request{ID: id, Class: "any", Deadline: g.now + time.Second,
				Tenant: []string{"big", "big", "small", "big"}[i%4]})
			if q := g.r.requests[id]; q.worth < q.class.Worth {
				over++
			}
			g.handle(RequestCanceled{id})
		}
		if over > 20 {
			t.Errorf("%d routers: %d of 200 requests count as over quota, want none of a tenant within it", routers, over)
		}
	}
}

func TestQueueOrderNewestFirst(t *testing.T) {
	// When the oldest request went first, a backlog served each request just too late.
	for _, c := range []struct{ class, first string }{{"fresh", "q3"}, {"save", "q3"}} {
		g := newRig(t, nil)
		g.r.members["p"].limit = 1
		first, _ := g.request(c.class, 0)
		g.request(c.class, 0)
		g.request(c.class, 0)
		acts := g.answer(first, "p", 0, OK, Primary)
		requireFirstSend(t, acts, c.first, "the newest "+c.class)
	}
}

func TestSlowClassIsRetried(t *testing.T) {
	g := newRig(t, nil)
	g.r.cells[0].classes["any"].latency = 10 * time.Second
	if _, acts := g.request("any", 0); len(sends(acts)) != 1 {
		t.Error("a class whose answers were slow is refused forever")
	}
}

func TestQueuedWritesAreSpreadAfterOutage(t *testing.T) {
	// When the primary recovered, hundreds of routers sent all the requests that they held at the same
	// moment.
	for _, c := range []struct {
		name    string
		cold    bool
		outage  time.Duration
		maxSent int // limit for the writes, out of 100, that are sent within two intervals of the queue timer
	}{{"cold", true, 1800 * ms, 12}, {"late", false, 1800 * ms, 15}, {"in time", false, 100 * ms, 100}} {
		const hundreds = 10
		n := 0
		for seed := range 100 * hundreds {
			g := newSeededRig(t, seed)
			l := list()
			g.handle(Members{Snapshot: true, List: l})
			g.r.now = g.now
			g.r.eject(g.r.members["p"], false)
			g.r.members["p"].ejectedUntil = g.now + time.Hour
			for _, s := range []string{"a", "b"} {
				g.r.members[s].ejectedUntil = g.now + time.Hour
			}
			g.request("save", 0)
			g.advance(c.outage)
			if c.cold {
				l[0].Started = g.now
				g.handle(Members{List: l[:1]})
			}
			g.r.members["p"].ejectedUntil = 0
			n += len(sends(g.advance(2 * queueInterval)))
		}
		if n > c.maxSent*hundreds || n == 0 || c.maxSent == 100 && n < 100*hundreds {
			t.Errorf("%s: %d of %d held writes sent at once, want at most %d", c.name, n, 100*hundreds, c.maxSent*hundreds)
		}
	}
}

// Deadlines may be as short as the interval of the queue timer: each request is sent all the same.
func TestShortAndLongDeadlinesAreSent(t *testing.T) {
	for _, deadline := range []time.Duration{20 * ms, 50 * ms, 95 * ms, 20 * time.Second} {
		g := newRig(t, func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].LatencyTarget, s.Classes[i].Deadline = deadline*4/5, deadline
			}
		})
		for _, class := range []string{"any", "own", "save", "keyed", "fresh"} {
			_, acts := g.request(class, 0)
			if len(sends(acts)) != 1 {
				t.Errorf("%s with a deadline of %s: %v", class, deadline, acts)
			}
		}
	}
}

package balance

import (
	"testing"
	"time"
)

func TestTimeoutEjectsOnlySilentMember(t *testing.T) {
	// A busy replica that still answers others must not be ejected; a silent one must.
	for _, answers := range []bool{false, true} {
		g := newRig(t, nil)
		g.r.members["b"].State = Removed
		id1, acts := g.request("any", 0)
		want(t, "first", sends(acts), []string{"a"})
		id2, _ := g.request("any", 0)
		g.r.members["b"].State = Active
		g.now += 700 * ms
		if answers {
			g.answer(id2, "a", 0, OK, Replica)
		}
		g.handle(Outcome{ID: id1, Server: "a", Result: TimedOut, Took: 700 * ms})
		if got := g.r.available(g.r.members["a"]); got != answers {
			t.Errorf("answers others: %v, available: %v", answers, got)
		}
	}
}

func TestLimitHasMinimum(t *testing.T) {
	// When everything slows down at once, every answer is above the threshold; the limits must not all fall
	// to one attempt.
	g := newRig(t, nil)
	g.setState("a", Replica, 0)
	m := g.r.members["a"]
	for range 60 {
		g.now += limitCutInterval
		g.r.now = g.now
		g.r.adjustLimit(m, g.r.cells[0], g.r.cells[0].classes["any"], OK, 900*ms, true)
	}
	// A host runs four attempts in parallel; with two in flight, half of it idled while reads waited until
	// they were too late.
	if m.limit != minLimit || !g.r.hasCapacity(nil, &member{limit: m.limit, inFlight: make([]*request, 3), group: m.group}, 1) {
		t.Errorf("limit %v after a long slow period, want %d and capacity for a fourth attempt", m.limit, minLimit)
	}
}

func TestLastReplicaIsNotEjected(t *testing.T) {
	g := newRig(t, nil)
	g.handle(Members{Snapshot: true, List: list()[:2]})
	id, _ := g.request("any", 0)
	g.answer(id, "a", 0, Failed, Replica)
	if !g.r.available(g.r.members["a"]) {
		t.Error("the only replica was ejected for one error")
	}
}

func TestSilentPrimaryIsProbedFirst(t *testing.T) {
	// A hung primary would never answer unsafe writes.
	g := newRig(t, nil)
	g.request("save", 0)
	g.now += 600 * ms
	_, acts := g.request("save", 0)
	want(t, "write to a silent primary", sends(acts), nil)
	probed := false
	for _, a := range append(acts, g.advance(queueInterval)...) {
		probed = probed || a == Action(Probe{"p"})
	}
	if !probed {
		t.Fatal("the silent primary was not probed")
	}
	want(t, "after a good probe", sends(g.handle(ProbeResult{Server: "p", Result: OK})), []string{"p"})
}

func TestRequestErrorsAreNotBlamedOnMembers(t *testing.T) {
	// Requests that fail on every member used up six attempts each and had every replica ejected.
	for _, c := range []struct {
		name   string
		second Result
		sends  int
		down   bool // whether the first member is ejected
	}{{"fails on every member", Failed, 2, false}, {"succeeds on another member", OK, 2, true}} {
		g := newRig(t, nil)
		g.handle(Members{List: append(list(), Member{Server: "c", Weight: 1})})
		id, acts := g.request("any", 0)
		first, n := sends(acts)[0], 1
		acts = g.answer(id, first, 0, Failed, Replica)
		for try := 1; len(sends(acts)) > 0 && try < 8; try++ {
			n++
			acts = g.answer(id, sends(acts)[0], try, c.second, Replica)
		}
		if n != c.sends {
			t.Errorf("%s: %d attempts, want %d", c.name, n, c.sends)
		}
		if c.second == Failed {
			want(t, c.name, finals(acts), []string{"refuse " + id})
		}
		for s, m := range g.r.members {
			if down := !g.r.available(m); down != (c.down && s == first) {
				t.Errorf("%s: %s ejected %v", c.name, s, down)
			}
		}
	}
}

func TestBrokenConnectionIsProbed(t *testing.T) {
	// After one reset connection or garbled answer, all other attempts at the host were canceled and
	// repeated elsewhere.
	for _, c := range []struct {
		result           Result
		probe            Result
		wantProbe, alive bool
	}{{Reset, OK, true, true}, {Reset, Garbled, true, true}, {Reset, NotSent, true, true},
		{NoConnection, NoConnection, true, false}, {Garbled, 0, false, true}} {
		g := newRig(t, nil)
		g.r.members["b"].State = Removed
		id, _ := g.request("any", 0)
		other, _ := g.request("any", 0)
		asked := false
		for _, a := range g.answer(id, "a", 0, c.result, Replica) {
			switch a := a.(type) {
			case Cancel:
				t.Errorf("%v: %s is canceled, want only %s to be affected", c.result, a.ID, id)
			case Probe:
				asked = asked || a.Server == "a"
			}
		}
		if g.r.members["a"].inFlight[0].ID != other || asked != c.wantProbe {
			t.Errorf("%v: in flight %v, probed %v", c.result, g.r.members["a"].inFlight, asked)
		}
		if asked {
			g.handle(ProbeResult{Server: "a", Result: c.probe})
		}
		if got := g.r.available(g.r.members["a"]); got != c.alive {
			t.Errorf("%v, then a probe that ends with %v: available %v", c.result, c.probe, got)
		}
	}
}

func TestProbeKeepsEjectionAfterErrors(t *testing.T) {
	// A replica that failed every request at once answered its probes and was in use again every half
	// second.
	for n, back := range map[int]bool{maxFailures - 1: true, maxFailures: false} {
		g := newRig(t, nil)
		m := g.r.members["a"]
		for range n {
			g.r.members["b"].State = Removed
			id, _ := g.request("any", 0)
			g.r.members["b"].State = Active
			to := sends(g.answer(id, "a", 0, Failed, Replica))
			if len(to) != 1 || to[0] == "a" {
				t.Fatalf("retried at %v", to)
			}
			g.answer(id, to[0], 1, OK, Unknown)
			g.handle(ProbeResult{Server: "a", Result: OK})
			if n == maxFailures && g.r.available(m) && m.failures == n {
				t.Errorf("available again after %d errors in a row", n)
			}
		}
		if got := g.r.available(m); got != back {
			t.Errorf("%d errors in a row, then a good probe: available %v, want %v", n, got, back)
		}
	}
}

func TestProbeKeepsEjectionAfterTimeouts(t *testing.T) {
	// Members that crawl or never answer requests do answer probes: every router used them again at once.
	for _, c := range []struct {
		timeouts int
		after    time.Duration
		back     bool
	}{{0, 0, true}, {1, 0, false}, {1, ejectionDuration, true}, {2, ejectionDuration, false}, {2, 2 * ejectionDuration, true}} {
		g := newRig(t, nil)
		m := g.r.members["a"]
		g.r.now = g.now
		for range c.timeouts {
			g.r.eject(m, true)
		}
		if c.timeouts == 0 {
			g.r.eject(m, false)
		}
		g.now += c.after
		g.handle(ProbeResult{Server: "a", Result: OK})
		if got := g.r.available(m); got != c.back {
			t.Errorf("%d timeouts, a good probe %v later: available %v, want %v", c.timeouts, c.after, got, c.back)
		}
	}
}

func TestMostReplicasAreNotEjected(t *testing.T) {
	g := newRig(t, nil)
	for _, s := range []string{"c", "d"} {
		g.handle(Members{List: []Member{{Server: s, Weight: 1}}})
	}
	n := 0
	for _, s := range []string{"a", "b", "c", "d"} {
		if g.r.canEject(g.r.members[s]) {
			g.r.eject(g.r.members[s], true)
			n++
		}
	}
	if n != 2 && n != 3 {
		t.Errorf("%d of 4 replicas ejected for timeouts, want about half", n)
	}
}

func TestRouterStallBlamesNoMember(t *testing.T) {
	// A router that had been stalled saw timeouts and silence everywhere and ejected every member.
	for _, c := range []struct {
		stalledFor time.Duration
		blame      bool
	}{{0, true}, {800 * ms, false}} {
		g := newRig(t, nil)
		id, acts := g.request("any", 0)
		to := sends(acts)[0]
		// Waits, so that the queue timer is running.
		g.handle(Request{ID: "w", Class: "save", Group: 9, Deadline: g.now + 4*time.Second})
		if c.stalledFor == 0 {
			g.advance(800 * ms)
		} else {
			g.now += c.stalledFor
		}
		g.answer(id, to, 0, TimedOut, Unknown)
		m := g.r.members[to]
		if blame := !g.r.available(m); blame != c.blame {
			t.Errorf("stalled for %v: ejected %v", c.stalledFor, blame)
		}
		if !c.blame && m.limit != initialLimit {
			t.Errorf("limit reduced to %v after a stall", m.limit)
		}
	}
}

package balance

import (
	"testing"
	"time"
)

func TestTimeOutBlacklistsOnlyTheSilent(t *testing.T) {
	// A crowded replica that still answers others must not be set aside; a silent one must.
	for _, answers := range []bool{false, true} {
		g := newRig(t, nil)
		g.r.members["b"].State = Removed
		id1, acts := g.ask("any", 0)
		want(t, "first", sends(acts), []string{"a"})
		id2, _ := g.ask("any", 0)
		g.r.members["b"].State = Active
		g.now += 700 * ms
		if answers {
			g.answer(id2, "a", 0, OK, Replica)
		}
		g.do(Outcome{ID: id1, Server: "a", Result: TimedOut, Took: 700 * ms})
		if got := g.r.alive(g.r.members["a"]); got != answers {
			t.Errorf("answers others %v: in use %v", answers, got)
		}
	}
}

func TestLimitsAreNotCutToNothing(t *testing.T) {
	// With everything slowed at once every answer is over the mark; all members must not end at one attempt.
	g := newRig(t, nil)
	g.know("a", Replica, 0)
	m := g.r.members["a"]
	for range 60 {
		g.now += cutPause
		g.r.now = g.now
		g.r.adjustLimit(m, g.r.cells[0], g.r.cells[0].classes["any"], OK, 900*ms, true)
	}
	// Four run side by side on a host; with two out, half of it idled while reads waited until they were too late.
	if m.limit != leastLimit || !g.r.hasRoom(nil, &member{limit: m.limit, out: make([]*request, 3), group: m.group}, 1) {
		t.Errorf("limit %v after a long slow spell, want %d and room for a fourth", m.limit, leastLimit)
	}
}

func TestLastReplicaIsNotBlacklisted(t *testing.T) {
	g := newRig(t, nil)
	g.do(Members{Snapshot: true, List: list()[:2]})
	id, _ := g.ask("any", 0)
	g.answer(id, "a", 0, Failed, Replica)
	if !g.r.alive(g.r.members["a"]) {
		t.Error("the only replica was blacklisted for one error")
	}
}

func TestSilentPrimaryIsProbedBeforeItIsFed(t *testing.T) {
	// A hung primary swallows unsafe writes for good.
	g := newRig(t, nil)
	g.ask("save", 0)
	g.now += 600 * ms
	_, acts := g.ask("save", 0)
	want(t, "write to a silent primary", sends(acts), nil)
	probed := false
	for _, a := range append(acts, g.beat(beat)...) {
		probed = probed || a == Action(Probe{"p"})
	}
	if !probed {
		t.Fatal("the silent primary was not probed")
	}
	want(t, "after it shows life", sends(g.do(ProbeResult{Server: "p", Result: OK})), []string{"p"})
}

func TestErrorsOfTheRequestAreToldFromTheMembers(t *testing.T) {
	// Requests that fail wherever they go used up six attempts each and had every replica blacklisted.
	for _, c := range []struct {
		name   string
		second Result
		sends  int
		down   bool // the first member blacklisted
	}{{"fails everywhere", Failed, 2, false}, {"runs elsewhere", OK, 2, true}} {
		g := newRig(t, nil)
		g.do(Members{List: append(list(), Member{Server: "c", Weight: 1})})
		id, acts := g.ask("any", 0)
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
			if down := !g.r.alive(m); down != (c.down && s == first) {
				t.Errorf("%s: %s blacklisted %v", c.name, s, down)
			}
		}
	}
}

func TestABrokenConnectionIsNotYetADeath(t *testing.T) {
	// One connection was reset or one answer spoilt, and all that its host was doing was cancelled and done again.
	for _, c := range []struct {
		broke        Result
		probe        Result
		asked, alive bool
	}{{Reset, OK, true, true}, {Reset, Garbled, true, true}, {Reset, NotSent, true, true},
		{NoConnection, NoConnection, true, false}, {Garbled, 0, false, true}} {
		g := newRig(t, nil)
		g.r.members["b"].State = Removed
		id, _ := g.ask("any", 0)
		other, _ := g.ask("any", 0)
		asked := false
		for _, a := range g.answer(id, "a", 0, c.broke, Replica) {
			switch a := a.(type) {
			case Cancel:
				t.Errorf("%v: %s is cancelled, want only %s to suffer", c.broke, a.ID, id)
			case Probe:
				asked = asked || a.Server == "a"
			}
		}
		if g.r.members["a"].out[0].ID != other || asked != c.asked {
			t.Errorf("%v: out %v, probed %v", c.broke, g.r.members["a"].out, asked)
		}
		if asked {
			g.do(ProbeResult{Server: "a", Result: c.probe})
		}
		if got := g.r.alive(g.r.members["a"]); got != c.alive {
			t.Errorf("%v, then a probe that ends with %v: in use %v", c.broke, c.probe, got)
		}
	}
}

func TestAProbeDoesNotEndTheBlacklistingOfWhatOnlyErrs(t *testing.T) {
	// A replica that failed all it was sent, at once, answered its probes and was back in the draw every half second.
	for n, back := range map[int]bool{failsMost - 1: true, failsMost: false} {
		g := newRig(t, nil)
		m := g.r.members["a"]
		for range n {
			g.r.members["b"].State = Removed
			id, _ := g.ask("any", 0)
			g.r.members["b"].State = Active
			to := sends(g.answer(id, "a", 0, Failed, Replica))
			if len(to) != 1 || to[0] == "a" {
				t.Fatalf("sent on to %v", to)
			}
			g.answer(id, to[0], 1, OK, Unknown)
			g.do(ProbeResult{Server: "a", Result: OK})
			if n == failsMost && g.r.alive(m) && m.fails == n {
				t.Errorf("in use again after %d errors in a row", n)
			}
		}
		if got := g.r.alive(m); got != back {
			t.Errorf("%d errors in a row, then a good probe: in use %v, want %v", n, got, back)
		}
	}
}

func TestAProbeDoesNotEndATimeOutsBlacklisting(t *testing.T) {
	// Members that crawl or swallow requests answer probes: they were back in the draw at once, at every router.
	for _, c := range []struct {
		timeouts int
		after    time.Duration
		back     bool
	}{{0, 0, true}, {1, 0, false}, {1, blacklistFor, true}, {2, blacklistFor, false}, {2, 2 * blacklistFor, true}} {
		g := newRig(t, nil)
		m := g.r.members["a"]
		g.r.now = g.now
		for range c.timeouts {
			g.r.blacklist(m, true)
		}
		if c.timeouts == 0 {
			g.r.blacklist(m, false)
		}
		g.now += c.after
		g.do(ProbeResult{Server: "a", Result: OK})
		if got := g.r.alive(m); got != c.back {
			t.Errorf("%d time-outs, %v later, good probe: in use %v, want %v", c.timeouts, c.after, got, c.back)
		}
	}
}

func TestWhatMostReplicasShowIsNotOnes(t *testing.T) {
	g := newRig(t, nil)
	for _, s := range []string{"c", "d"} {
		g.do(Members{List: []Member{{Server: s, Weight: 1}}})
	}
	n := 0
	for _, s := range []string{"a", "b", "c", "d"} {
		if g.r.canBlacklist(g.r.members[s]) {
			g.r.blacklist(g.r.members[s], true)
			n++
		}
	}
	if n != 2 && n != 3 {
		t.Errorf("%d of 4 replicas blacklisted for time-outs, want about half", n)
	}
}

func TestTheRoutersOwnStandstillIsNobodysFault(t *testing.T) {
	// A router that stood still finds time-outs and silence everywhere and blacklisted all that it knew.
	for _, c := range []struct {
		stood time.Duration
		blame bool
	}{{0, true}, {800 * ms, false}} {
		g := newRig(t, nil)
		id, acts := g.ask("any", 0)
		to := sends(acts)[0]
		g.do(Request{ID: "w", Class: "save", Group: 9, Deadline: g.now + 4*time.Second}) // waits, so a beat is due
		if c.stood == 0 {
			g.beat(800 * ms)
		} else {
			g.now += c.stood
		}
		g.answer(id, to, 0, TimedOut, Unknown)
		m := g.r.members[to]
		if blame := !g.r.alive(m); blame != c.blame {
			t.Errorf("stood still for %v: blacklisted %v", c.stood, blame)
		}
		if !c.blame && m.limit != firstLimit {
			t.Errorf("limit cut to %v after a standstill", m.limit)
		}
	}
}

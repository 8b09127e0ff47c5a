package balance

import (
	"testing"
	"time"
)

// heard tells the rig's router of an answer at another router.
func (g *rig) heard(server string, change func(*RemoteOutcome)) []Action {
	h := RemoteOutcome{Server: server, Class: "browse", Result: OK, Took: 50 * ms, Role: Replica, Position: g.now - 10*ms, At: g.now - 5*ms}
	if change != nil {
		change(&h)
	}
	return g.do(h)
}

func TestAPositionThatAnotherRouterTellsSparesTheProbe(t *testing.T) {
	// Eighty routers that each probe sixty members twice a second: a probe for most requests.
	g := newRig(t, nil)
	_, acts := g.ask("browse", 0)
	if _, probes := acts[len(acts)-1].(Probe); !probes && len(sends(acts)) > 0 {
		t.Fatalf("sent without a position: %v", acts)
	}
	g = newRig(t, nil)
	g.heard("a", nil)
	_, acts = g.ask("browse", 0)
	want(t, "sent to", sends(acts), []string{"a"})
	g.now += 300 * ms // it ages like any other
	if _, acts = g.ask("browse", 0); len(sends(acts)) > 0 && sends(acts)[0] == "a" {
		t.Error("sent on a position outside the bound")
	}
}

func TestRolesThatAreHeardCountByTheirTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		told  []RemoteOutcome
		writs string // who gets a write
	}{
		{"the new primary is told", []RemoteOutcome{{Server: "a", Role: Primary, At: origin + 2*ms, NotBefore: origin + 2*ms}}, "a"},
		{"and the old one's last answer comes after it", []RemoteOutcome{{Server: "a", Role: Primary, At: origin + 2*ms, NotBefore: origin + 2*ms}, {Server: "p", Role: Primary, At: origin + ms, NotBefore: origin + ms}}, "a"},
		{"what was before this router's own word is old", []RemoteOutcome{{Server: "a", Role: Primary, At: origin - ms, NotBefore: origin - ms}}, "p"},
		{"the primary is none any more", []RemoteOutcome{{Server: "a", Role: Primary, At: origin + 2*ms, NotBefore: origin + 2*ms}, {Server: "a", Role: Replica, At: origin + 3*ms, NotAfter: origin + 3*ms},
			{Server: "b", Role: Primary, At: origin + 4*ms, NotBefore: origin + 4*ms}}, "b"},
	} {
		g := newRig(t, nil)
		g.know("p", Primary, 0)
		g.now += 10 * ms
		for _, h := range c.told {
			g.do(h)
		}
		_, acts := g.ask("save", 0)
		if to := sends(acts); len(to) != 1 || to[0] != c.writs {
			t.Errorf("%s: a write goes to %v, want %s", c.name, to, c.writs)
		}
	}
}

func TestAMemberThatRefusesOthersIsProbedBeforeItIsFed(t *testing.T) {
	g := newRig(t, nil)
	g.heard("a", nil)
	g.now += 10 * ms
	g.heard("a", func(h *RemoteOutcome) { h.Result, h.Position, h.Role, h.At = NoConnection, 0, Unknown, g.now })
	g.know("b", Replica, 0)
	probed := false
	for range 20 {
		_, acts := g.ask("browse", 0)
		for _, to := range sends(acts) {
			if to == "a" {
				t.Fatal("fed without a probe")
			}
		}
		for _, a := range acts {
			if p, ok := a.(Probe); ok && p.Server == "a" {
				probed = true
			}
		}
	}
	if !probed {
		t.Error("never probed")
	}
	g.do(ProbeResult{Server: "a", Result: NoConnection})
	g.now += 10 * ms
	g.heard("a", nil) // on its way since before that death, or after a start that is not told yet: its cold budget begins here
	if !g.r.members["a"].suspect {
		t.Error("another router's word wakes the dead")
	}
	g.now += time.Second
	g.do(ProbeResult{Server: "a", Result: OK, Report: Report{Valid: true, Position: g.now}})
	g.heard("a", func(h *RemoteOutcome) { h.Result, h.At = NoConnection, g.now+ms })
	g.now += 10 * ms
	g.heard("a", nil) // others are answered again
	if g.r.members["a"].suspect {
		t.Error("still under suspicion after another router's answer")
	}
}

func TestBadEndsThinTheirGroupAlone(t *testing.T) {
	// With many groups a full one made every router turn away reads for all others, whose hosts stood idle.
	g := newRig(t, nil)
	g.do(Members{Snapshot: true, List: append(list(), Member{Server: "x", Group: 2, Weight: 1}, Member{Server: "y", Group: 2, Weight: 1})})
	for range 40 {
		g.now += 10 * ms
		g.heard("a", func(h *RemoteOutcome) { h.Result = QueueFull })
		g.heard("x", nil)
	}
	refused := map[int]int{}
	for i := range 100 {
		for _, group := range []int{0, 2} {
			g.now += 5 * ms
			g.n++
			id := string(rune('A'+group)) + time.Duration(i).String()
			acts := g.do(Request{ID: id, Class: "any", Group: group, Deadline: g.now + time.Second})
			refused[group] += len(finals(acts))
			for _, to := range sends(acts) {
				g.answer(id, to, 0, OK, Replica)
			}
		}
	}
	if refused[0] < 10 || refused[2] != 0 {
		t.Errorf("refused by group: %v", refused)
	}
}

func TestOfManyRoutersEachKeepsFewAttemptsOut(t *testing.T) {
	// Eighty routers with four each at a member are a queue of minutes; no limit of one router's ever bound.
	for _, c := range []struct{ routers, replicas, writes int }{{1, 16, 8}, {2, 16, 8}, {80, 1, 1}} {
		g := newRig(t, func(s *Settings) { s.Routers = c.routers })
		g.know("p", Primary, 0)
		reads, writes := 0, 0
		for range 40 {
			_, acts := g.ask("any", 0)
			reads += len(sends(acts))
			_, acts = g.ask("save", 0)
			writes += len(sends(acts))
		}
		if reads != c.replicas || writes != c.writes {
			t.Errorf("%d routers: %d reads and %d writes out, want %d and %d", c.routers, reads, writes, c.replicas, c.writes)
		}
	}
}

func TestWhatFindsNoConnectionToThePrimaryWaitsABeat(t *testing.T) {
	// While every connection rested, a write used up all its attempts within a millisecond.
	g := newRig(t, nil)
	g.know("p", Primary, 0)
	id, _ := g.ask("save", 0)
	acts := g.answer(id, "p", 0, NotSent, Unknown)
	if len(sends(acts)) > 0 || len(finals(acts)) > 0 {
		t.Fatalf("at once: %v", acts)
	}
	want(t, "a moment later", sends(g.beat(200*ms)), []string{"p"})
}

func TestColdMembersTakeThePartOfThoseThatLeave(t *testing.T) {
	// Counted with the members that they replace, new ones got half of what they could bear, while the last old
	// ones drowned.
	count := func(old State) (n int) {
		g := newRig(t, func(s *Settings) { s.OverloadFactor = 4 })
		g.do(Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "a", Weight: 1},
			{Server: "b", Weight: 1, State: old}, {Server: "c", Weight: 1, State: old}, {Server: "n", Weight: 1, Started: g.now}}})
		for range 400 {
			id, acts := g.ask("any", 0)
			for _, to := range sends(acts) {
				if to == "n" {
					n++
				}
				g.answer(id, to, 0, OK, Replica)
			}
		}
		return n
	}
	if left, stay := count(Draining), count(Active); left < stay*5/4 {
		t.Errorf("of 400 reads a cold member takes %d where two drain, %d where they stay", left, stay)
	}
}

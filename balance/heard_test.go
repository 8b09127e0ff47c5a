package balance

import (
	"testing"
	"time"
)

// gossip sends the rig's router an outcome that another router reported.
func (g *rig) gossip(server string, change func(*RemoteOutcome)) []Action {
	h := RemoteOutcome{Server: server, Class: "browse", Result: OK, Took: 50 * ms, Role: Replica, Position: g.now - 10*ms, At: g.now - 5*ms}
	if change != nil {
		change(&h)
	}
	return g.handle(h)
}

func TestGossipPositionReplacesProbe(t *testing.T) {
	// 80 routers that each probe 60 members twice a second would send about one probe per request.
	g := newRig(t, nil)
	_, acts := g.request("browse", 0)
	if _, probes := acts[len(acts)-1].(Probe); !probes && len(sends(acts)) > 0 {
		t.Fatalf("sent without a position: %v", acts)
	}
	g = newRig(t, nil)
	g.gossip("a", nil)
	_, acts = g.request("browse", 0)
	want(t, "sent to", sends(acts), []string{"a"})
	g.now += 300 * ms // it ages like any other position
	if _, acts = g.request("browse", 0); len(sends(acts)) > 0 && sends(acts)[0] == "a" {
		t.Error("sent on a position outside the bound")
	}
}

func TestGossipRolesCountByTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		entries    []RemoteOutcome
		wantTarget string // member that gets a write
	}{
		{"a new primary is reported", []RemoteOutcome{{Server: "a", Role: Primary, At: origin + 2*ms, NotBefore: origin + 2*ms}}, "a"},
		{"the last answer of the old primary arrives after it", []RemoteOutcome{{Server: "a", Role: Primary, At: origin + 2*ms, NotBefore: origin + 2*ms}, {Server: "p", Role: Primary, At: origin + ms, NotBefore: origin + ms}}, "a"},
		{"a statement older than this router's own evidence", []RemoteOutcome{{Server: "a", Role: Primary, At: origin - ms, NotBefore: origin - ms}}, "p"},
		{"the primary is deposed", []RemoteOutcome{{Server: "a", Role: Primary, At: origin + 2*ms, NotBefore: origin + 2*ms}, {Server: "a", Role: Replica, At: origin + 3*ms, NotAfter: origin + 3*ms},
			{Server: "b", Role: Primary, At: origin + 4*ms, NotBefore: origin + 4*ms}}, "b"},
	} {
		g := newRig(t, nil)
		g.setState("p", Primary, 0)
		g.now += 10 * ms
		for _, h := range c.entries {
			g.handle(h)
		}
		_, acts := g.request("save", 0)
		if to := sends(acts); len(to) != 1 || to[0] != c.wantTarget {
			t.Errorf("%s: a write goes to %v, want %s", c.name, to, c.wantTarget)
		}
	}
}

func TestGossipOfRefusedConnectionsLeadsToProbe(t *testing.T) {
	g := newRig(t, nil)
	g.gossip("a", nil)
	g.now += 10 * ms
	g.gossip("a", func(h *RemoteOutcome) { h.Result, h.Position, h.Role, h.At = NoConnection, 0, Unknown, g.now })
	g.setState("b", Replica, 0)
	probed := false
	for range 20 {
		_, acts := g.request("browse", 0)
		for _, to := range sends(acts) {
			if to == "a" {
				t.Fatal("a request is sent without a probe")
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
	g.handle(ProbeResult{Server: "a", Result: NoConnection})
	g.now += 10 * ms
	// It may have been on its way since before the failed probe, or the start is not listed yet: the cold
	// budget starts with this router's own contact.
	g.gossip("a", nil)
	if !g.r.members["a"].suspect {
		t.Error("a gossip entry revived a member that was seen dead")
	}
	g.now += time.Second
	g.handle(ProbeResult{Server: "a", Result: OK, Report: Report{Valid: true, Position: g.now}})
	g.gossip("a", func(h *RemoteOutcome) { h.Result, h.At = NoConnection, g.now+ms })
	g.now += 10 * ms
	g.gossip("a", nil) // other routers get answers again
	if g.r.members["a"].suspect {
		t.Error("still suspect after another router got an answer")
	}
}

func TestLoadSheddingPerGroup(t *testing.T) {
	// With many groups, one full group made every router refuse reads for all the others, whose hosts were
	// idle.
	g := newRig(t, nil)
	g.handle(Members{Snapshot: true, List: append(list(), Member{Server: "x", Group: 2, Weight: 1}, Member{Server: "y", Group: 2, Weight: 1})})
	for range 40 {
		g.now += 10 * ms
		g.gossip("a", func(h *RemoteOutcome) { h.Result = QueueFull })
		g.gossip("x", nil)
	}
	refused := map[int]int{}
	for i := range 100 {
		for _, group := range []int{0, 2} {
			g.now += 5 * ms
			g.n++
			id := string(rune('A'+group)) + time.Duration(i).String()
			acts := g.handle(Request{ID: id, Class: "any", Group: group, Deadline: g.now + time.Second})
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

func TestInFlightLimitOfManyRouters(t *testing.T) {
	// 80 routers with four attempts each at a member are a queue of minutes, and the limit of a single
	// router never took effect.
	for _, c := range []struct{ routers, replicas, writes int }{{1, 16, 8}, {2, 16, 8}, {80, 1, 1}} {
		g := newRig(t, func(s *Settings) { s.Routers = c.routers })
		g.setState("p", Primary, 0)
		reads, writes := 0, 0
		for range 40 {
			_, acts := g.request("any", 0)
			reads += len(sends(acts))
			_, acts = g.request("save", 0)
			writes += len(sends(acts))
		}
		if reads != c.replicas || writes != c.writes {
			t.Errorf("%d routers: %d reads and %d writes in flight, want %d and %d", c.routers, reads, writes, c.replicas, c.writes)
		}
	}
}

func TestNotSentWriteWaitsBeforeRetry(t *testing.T) {
	// While no connection was available, a write used up all its attempts within a millisecond.
	g := newRig(t, nil)
	g.setState("p", Primary, 0)
	id, _ := g.request("save", 0)
	acts := g.answer(id, "p", 0, NotSent, Unknown)
	if len(sends(acts)) > 0 || len(finals(acts)) > 0 {
		t.Fatalf("retried at once: %v", acts)
	}
	want(t, "after some time", sends(g.advance(200*ms)), []string{"p"})
}

func TestColdMemberReplacesDrainingCapacity(t *testing.T) {
	// When draining members counted as capacity, the new ones got half of the load that they could take,
	// while the last old ones were overloaded.
	count := func(old State) (n int) {
		g := newRig(t, func(s *Settings) { s.OverloadFactor = 4 })
		g.handle(Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "a", Weight: 1},
			{Server: "b", Weight: 1, State: old}, {Server: "c", Weight: 1, State: old}, {Server: "n", Weight: 1, Started: g.now}}})
		for range 400 {
			id, acts := g.request("any", 0)
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
		t.Errorf("of 400 reads a cold member gets %d when two members drain, %d when they stay", left, stay)
	}
}

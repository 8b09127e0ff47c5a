package balance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The evidence about a member does not depend on the order in which statements arrive.
func TestEvidenceIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.Custom(func(t *rapid.T) TimeBounds {
			from := time.Duration(rapid.IntRange(1, 50).Draw(t, "from")) * ms
			return TimeBounds{NotBefore: from, NotAfter: from + time.Duration(rapid.IntRange(0, 50).Draw(t, "width"))*ms}
		})
		statement := rapid.Custom(func(t *rapid.T) Statement {
			return Statement{Role: Role(rapid.IntRange(0, 2).Draw(t, "role")), Position: time.Duration(rapid.IntRange(0, 100).Draw(t, "position")) * ms,
				StatedAt: at.Draw(t, "made")}
		})
		list := rapid.SliceOfN(statement, 1, 8).Draw(t, "statements")
		start := time.Duration(rapid.IntRange(0, 100).Draw(t, "start")) * ms
		var one, other evidence
		for _, s := range list {
			one.add(time.Second, s)
		}
		one.start(start)
		other.start(start)
		for _, s := range rapid.Permutation(list).Draw(t, "order") {
			other.add(time.Second, s)
		}
		if one.primaryNotBefore != other.primaryNotBefore || one.replicaNotAfter != other.replicaNotAfter || one.position != other.position || one.isPrimary() != other.isPrimary() {
			t.Errorf("evidence %+v differs from %+v", one, other)
		}
	})
}

func TestPrimaryStatementMustBeCertainlyNewer(t *testing.T) {
	const now = origin
	statedReplica := func(from, to time.Duration) Statement {
		return Statement{Role: Replica, StatedAt: TimeBounds{NotBefore: now + from, NotAfter: now + to}}
	}
	statedPrimary := func(from, to time.Duration) Statement {
		return Statement{Role: Primary, StatedAt: TimeBounds{NotBefore: now + from, NotAfter: now + to}}
	}
	for name, c := range map[string]struct {
		statements []Statement
		started    time.Duration
		leading    bool
	}{
		"nothing":                            {nil, 0, false},
		"stated as the primary":              {[]Statement{statedPrimary(1, 2)}, 0, true},
		"it was a replica before":            {[]Statement{statedReplica(1, 2), statedPrimary(3, 4)}, 0, true},
		"received in the other order":        {[]Statement{statedPrimary(3, 4), statedReplica(1, 2)}, 0, true},
		"it is a replica since":              {[]Statement{statedPrimary(1, 2), statedReplica(3, 4)}, 0, false},
		"an older statement, received later": {[]Statement{statedReplica(3, 4), statedPrimary(1, 2)}, 0, false},
		"the order is unknown":               {[]Statement{statedPrimary(2, 5), statedReplica(3, 4)}, 0, false},
		"the order is unknown, although the query was sent before": {[]Statement{statedPrimary(2, 5), statedReplica(1, 4)}, 0, false},
		"a replica's statement without a latest time":              {[]Statement{statedPrimary(2, 5), {Role: Replica}}, 0, false},
		"it started since":            {[]Statement{statedPrimary(1, 2)}, 3, false},
		"it started before":           {[]Statement{statedPrimary(4, 5)}, 3, true},
		"a statement from the future": {[]Statement{statedPrimary(2*time.Hour, 3*time.Hour), statedReplica(time.Minute, time.Minute)}, 0, false},
	} {
		var e evidence
		for _, s := range c.statements {
			e.add(now+time.Minute, s)
		}
		if c.started > 0 {
			e.start(now + c.started)
		}
		if e.isPrimary() != c.leading {
			t.Errorf("%s: leading %t, %+v", name, e.isPrimary(), e)
		}
	}
}

// restart lists a member with a new start time.
func (g *rig) restart(server string, at time.Duration, primary bool) []Action {
	return g.handle(Members{List: []Member{{Server: server, Primary: primary, Weight: 1, Started: at, Incarnation: at}}})
}

// The list reports a start after the new process has already answered: its answers and its health record
// must survive.
func TestLateListedStartKeepsAnswers(t *testing.T) {
	g := newRig(t, nil)
	g.setState("p", Primary, 0)
	g.now += time.Second
	start := g.now
	g.now += 100 * ms
	g.setState("p", Replica, time.Second)
	g.r.members["p"].aliveAt, g.r.members["p"].failures = g.now, 2
	g.now += 100 * ms
	g.restart("p", start, true)
	if p := g.r.primaryOf(g.r.groups[0]); p != nil {
		t.Errorf("%s counts as the primary", p.Server)
	}
	if _, acts := g.request("browse", 0); slices.Contains(sends(acts), "p") {
		t.Error("a read goes to a replica that lags")
	}
	if g.r.members["p"].failures != 2 {
		t.Error("the health record of the new process is lost")
	}
	g.now += time.Second
	g.restart("p", g.now-10*ms, true) // a process that has not answered yet
	if g.r.members["p"].failures != 0 {
		t.Error("a new process keeps the health record of the previous one")
	}
}

// A start time that moves only because the clock offset is now estimated differently is not a new start.
func TestAdjustedStartTimeIsNoRestart(t *testing.T) {
	g := newRig(t, nil)
	g.restart("a", origin-time.Second, false)
	g.r.members["a"].failures = 2
	g.handle(Members{List: []Member{{Server: "a", Weight: 1, Started: origin - 500*ms, Incarnation: origin - time.Second}}})
	if g.r.members["a"].failures != 2 {
		t.Error("a member counts as a new process after a change of the clock offset")
	}
}

// The list decides who is the primary only among members that have never stated their role.
func TestListedPrimaryNeedsSilentMember(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(g *rig)
		want string
	}{
		"no statement":                               {func(*rig) {}, "p"},
		"it is a replica":                            {func(g *rig) { g.setState("p", Replica, 0) }, ""},
		"a report states that it is a replica":       {func(g *rig) { g.report("p", Replica) }, ""},
		"another router states that it is a replica": {func(g *rig) { g.gossip("p", nil) }, ""},
		"another router states so, of a past time": {func(g *rig) {
			g.setState("p", Primary, 0)
			g.now += 50 * ms
			// A router cannot tell how long the gossip message was on its way.
			g.gossip("p", func(h *RemoteOutcome) { h.At = g.now - 100*ms })
		}, ""},
		"a partial answer states that it is a replica":   {func(g *rig) { g.partialAnswer("p", Replica) }, ""},
		"a partial answer states that it is the primary": {func(g *rig) { g.partialAnswer("a", Primary) }, "p"},
		"another member is the primary":                  {func(g *rig) { g.setState("a", Primary, 0) }, "a"},
		"another member was the primary and is deposed": {func(g *rig) {
			g.setState("p", Primary, 0)
			g.now += ms
			g.setState("a", Primary, 0)
			g.now += ms
			g.setState("a", Replica, 0)
		}, ""},
		"it was the primary and has restarted": {func(g *rig) { g.setState("p", Primary, 0); g.now += ms; g.restart("p", g.now, true) }, ""},
		"a report states that it is the primary": {func(g *rig) {
			g.setState("a", Replica, 0)
			g.now += time.Second
			g.report("a", Primary)
		}, "a"},
		"an older report states that it is the primary": {func(g *rig) {
			g.setState("a", Replica, 0)
			g.handle(ProbeResult{Server: "a", Result: OK, Report: Report{Valid: true, Role: Primary, Position: g.now - ms, NotBefore: g.now - ms}})
		}, "p"},
		"it is the primary, with an older report": {func(g *rig) {
			g.handle(Outcome{ID: "none", Server: "a", Result: OK, Role: Primary, Position: g.now, StatedAt: TimeBounds{NotBefore: g.now, NotAfter: g.now},
				Report: Report{Valid: true, Role: Replica, Position: g.now - ms, NotBefore: g.now - ms}})
		}, "a"},
		"it was removed long ago, after it had stated that it is a replica": {func(g *rig) {
			g.setState("p", Replica, 0)
			g.handle(Members{List: []Member{{Server: "p", State: Removed}}})
			g.now += 2 * forgetAfter
			g.handle(Members{List: []Member{{Server: "a", Weight: 1}}})
			if g.r.members["p"] != nil {
				panic("the member was not dropped")
			}
			g.handle(Members{List: list()})
		}, ""},
		"an earlier router knew that it is a replica": {func(g *rig) { g.handle(PriorEvidence{Server: "p", ReplicaNotAfter: g.now - ms, Alive: true}) }, ""},
		"an earlier router knew another primary":      {func(g *rig) { g.handle(PriorEvidence{Server: "a", PrimaryNotBefore: g.now - ms, Alive: true}) }, "a"},
		"the clock was wrong":                         {func(g *rig) { g.setState("p", Primary, 0); g.handle(ClockReplaced{}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, nil)
			g.now += ms
			c.do(g)
			got := ""
			if p := g.r.primaryOf(g.r.groups[0]); p != nil {
				got = p.Server
			}
			if got != c.want {
				t.Errorf("primary %q, want %q", got, c.want)
			}
		})
	}
}

// report answers a probe with a report made now.
func (g *rig) report(server string, role Role) {
	g.handle(ProbeResult{Server: server, Result: OK, Report: Report{Valid: true, Role: role, Position: g.now, NotBefore: g.now}})
}

// partialAnswer breaks off an answer after its role.
func (g *rig) partialAnswer(server string, role Role) {
	g.handle(Outcome{ID: "none", Server: server, Result: Reset, Role: role, Position: g.now, StatedAt: TimeBounds{NotBefore: g.now, NotAfter: g.now}})
}

// An incomplete answer states no position.
func TestPartialAnswerHasNoPosition(t *testing.T) {
	g := newRig(t, nil)
	g.partialAnswer("a", Replica)
	if e := g.r.members["a"].evidence; e.position != 0 || e.replicaNotAfter == 0 {
		t.Errorf("%+v", e)
	}
}

// The position behind a bounded read must still be recent enough when the process stalls before the write.
func TestBoundedReadsKeepSendDelayMargin(t *testing.T) {
	for _, c := range []struct{ bound, usable time.Duration }{
		{500 * ms, 500*ms - 146*ms}, // 354 ms; with a stall of 150 ms, 4 ms of the protocol's 50 ms of slack are used
		{210 * ms, 210*ms - 71*ms},  // only a third of the bound is kept free
	} {
		g := newRig(t, func(s *Settings) { s.MaxSendDelay, s.Classes[0].Bound = 150*ms, c.bound })
		g.setState("a", Replica, c.usable)
		_, acts := g.request("browse", 0)
		s, ok := acts[len(acts)-1].(Send)
		if !ok || s.Server != "a" || s.Grounds.Kind != ByPosition || s.Grounds.SendBy != g.now {
			t.Errorf("with a position just inside the bound of %s: %+v", c.bound, acts)
		}
		g = newRig(t, func(s *Settings) { s.MaxSendDelay, s.Classes[0].Bound = 150*ms, c.bound })
		g.setState("a", Replica, c.usable+ms)
		if _, acts := g.request("browse", 0); slices.Contains(sends(acts), "a") {
			t.Errorf("with a position just outside the bound: %+v", acts)
		}
	}
}

// A replica whose last known lag was small, in a group whose log moves, is used up to the bound.
func TestReplicaThatKeepsUpIsUsedToTheBound(t *testing.T) {
	for name, c := range map[string]struct {
		lag, sinceMove time.Duration // lag that the replica stated; time since the group's log was known to move
		sent           bool
	}{
		"it keeps up":                 {10 * ms, 10 * ms, true},
		"its lag was large":           {300 * ms, 10 * ms, false},
		"the group's log has stopped": {10 * ms, 400 * ms, false},
	} {
		g := newRig(t, func(s *Settings) { s.MaxSendDelay, s.Classes[0].Bound, s.Probes = 150*ms, 500*ms, false })
		statedAt := g.now
		g.setState("a", Replica, c.lag)
		g.now = statedAt + 450*ms - c.lag // the position is 450 ms old
		g.setState("b", Replica, 3*time.Second)
		g.r.addStatement(g.r.members["p"], Statement{Role: Primary, Position: g.now - c.sinceMove, StatedAt: TimeBounds{NotBefore: g.now - c.sinceMove, NotAfter: g.now}})
		_, acts := g.request("browse", 0)
		if sent := slices.Contains(sends(acts), "a"); sent != c.sent {
			t.Errorf("%s: sent %t, %v", name, sent, acts)
		}
	}
}

// Each attempt carries the evidence that it rests on.
func TestGroundsOfAttempts(t *testing.T) {
	send := func(acts []Action) Grounds {
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				return s.Grounds
			}
		}
		t.Fatalf("no attempt is sent: %v", acts)
		return Grounds{}
	}
	g := newRig(t, nil)
	_, acts := g.request("own", 10*ms)
	if got := send(acts); got.Kind != PresumedPrimary || !got.NeedsPrimary() {
		t.Errorf("before any statement: %+v", got)
	}
	_, acts = g.request("save", 0)
	if got := send(acts); got.Kind != NotNeeded {
		t.Errorf("a write: %+v", got)
	}
	g.setState("p", Primary, 0)
	_, acts = g.request("own", 10*ms)
	if got := send(acts); got.Kind != PrimaryStatement || got.PrimaryNotBefore != g.now || !got.NeedsPrimary() {
		t.Errorf("to the stated primary: %+v", got)
	}
	g.setState("a", Replica, 0)
	_, acts = g.request("own", time.Second)
	if got := send(acts); got.Kind != ByPosition || got.SendBy != 0 || got.Position != g.now {
		t.Errorf("to a replica that has the write: %+v", got)
	}
}

// A replica whose answers repeat one position had a small lag when it first stated it, but its log has
// stopped since.
func TestReplicaWithStoppedLogDoesNotKeepUp(t *testing.T) {
	for name, again := range map[string]func(g *rig){
		"in its answer": func(g *rig) { g.setState("a", Replica, 310*ms) },
		"in its report": func(g *rig) {
			g.handle(ProbeResult{Server: "a", Result: OK, StatedAt: TimeBounds{NotBefore: g.now, NotAfter: g.now},
				Report: Report{Valid: true, Role: Replica, Position: g.now - 310*ms}})
		},
	} {
		g := newRig(t, func(s *Settings) { s.MaxSendDelay, s.Classes[0].Bound, s.Probes = 150*ms, 500*ms, false })
		g.setState("a", Replica, 10*ms)
		g.now += 300 * ms
		again(g)
		g.now += 140 * ms
		g.setState("b", Replica, 3*time.Second)
		g.r.addStatement(g.r.members["p"], Statement{Role: Primary, Position: g.now - 10*ms, StatedAt: TimeBounds{NotBefore: g.now - 10*ms, NotAfter: g.now}})
		if _, acts := g.request("browse", 0); slices.Contains(sends(acts), "a") {
			t.Errorf("%s: a read with a bound of 500 ms goes to a replica whose log stopped 450 ms ago, with no margin for a stall: %v", name, acts)
		}
	}
}

package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const origin = 1000 * time.Second

func settings() Settings {
	return Settings{Routers: 2, Tick: ms, TokensCarried: true, Probes: true, Cancel: true, RetryAfter: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6, DrainGrace: time.Second, OverloadFactor: 2.5,
		ColdShare: 0.25, ColdTime: 10 * time.Second,
		Classes: []Class{
			{Name: "browse", Need: Bounded, Bound: 200 * ms, LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{Name: "own", Need: Session, LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{Name: "any", Need: AnyData, LatencyTarget: 700 * ms, Deadline: 2 * time.Second, Worth: 1},
			{Name: "fresh", Need: Latest, LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{Name: "save", Need: Write, Effect: Unsafe, LatencyTarget: time.Second, Deadline: 4 * time.Second, Worth: 4, LateWorth: .5},
			{Name: "keyed", Need: Write, Effect: Keyed, Scope: ScopeGroup, KeyTTL: 2 * time.Second, LatencyTarget: time.Second,
				Deadline: 4 * time.Second, Worth: 4, LateWorth: .5},
		}}
}

// rig drives one router by hand.
type rig struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	acts []Action
	n    int
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	t.Helper()
	s := settings()
	if change != nil {
		change(&s)
	}
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, r: r, now: origin}
	g.do(Members{Snapshot: true, List: list()})
	return g
}

// seeded is a rig of the usual settings that has no list yet.
func seeded(t *testing.T, seed int) *rig {
	r, err := New(settings(), uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, r: r, now: origin}
}

// firstSent wants the first action to be a Send of id.
func firstSent(t *testing.T, acts []Action, id, why string) {
	t.Helper()
	if s, ok := acts[0].(Send); !ok || s.ID != id {
		t.Errorf("first released: %v, want %s", acts[0], why)
	}
}

func list() []Member {
	return []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "a", Weight: 1},
		{Server: "b", Weight: 1}}
}

func (g *rig) do(e Event) []Action {
	g.acts = g.r.Handle(g.now, e, nil)
	return g.acts
}

func (g *rig) ask(class string, age time.Duration) (string, []Action) {
	g.n++
	id := fmt.Sprint("q", g.n)
	life := 2 * time.Second
	if c := g.r.cells[0].classes[class]; c != nil {
		life = c.Deadline
	}
	return id, g.do(Request{ID: id, Class: class, Session: "s", Deadline: g.now + life, WriteAge: age})
}

// beat lets time pass in steps, so that what waits is looked at.
func (g *rig) beat(d time.Duration) []Action {
	var all []Action
	for end := g.now + d; g.now < end; {
		g.now += beat
		all = append(all, g.do(Timer{tagBeat})...)
	}
	return all
}

func (g *rig) know(server string, role Role, behind time.Duration) {
	g.r.learn(g.r.members[server], Statement{Role: role, Position: g.now - behind, StatedAt: TimeBounds{NotBefore: g.now, NotAfter: g.now}})
}

func (g *rig) answer(id, server string, try int, res Result, role Role) []Action {
	return g.do(Outcome{ID: id, Server: server, Attempt: try, Result: res, Role: role, Took: 10 * ms, Final: res == OK})
}

func sends(acts []Action) (to []string) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			to = append(to, s.Server)
		}
	}
	return to
}

func finals(acts []Action) (out []string) {
	for _, a := range acts {
		switch a := a.(type) {
		case Refuse:
			out = append(out, "refuse "+a.ID)
		case Fail:
			out = append(out, "fail "+a.ID)
		}
	}
	return out
}

func want(t *testing.T, what string, got, wanted []string) {
	t.Helper()
	if strings.Join(got, " ") != strings.Join(wanted, " ") {
		t.Fatalf("%s: got %q, want %q", what, got, wanted)
	}
}

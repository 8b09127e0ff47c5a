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

// rig drives one router step by step.
type rig struct {
	t       *testing.T
	r       *Router
	now     time.Duration
	actions []Action
	n       int
}

// newRig returns a rig with a primary p and two replicas a and b.
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
	g.handle(Members{Snapshot: true, List: list()})
	return g
}

// newSeededRig returns a rig with the default settings and without a member list.
func newSeededRig(t *testing.T, seed int) *rig {
	r, err := New(settings(), uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, r: r, now: origin}
}

// requireFirstSend requires the first action to be a Send of the request id.
func requireFirstSend(t *testing.T, acts []Action, id, why string) {
	t.Helper()
	if s, ok := acts[0].(Send); !ok || s.ID != id {
		t.Errorf("first action %v, want %s", acts[0], why)
	}
}

func list() []Member {
	return []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "a", Weight: 1},
		{Server: "b", Weight: 1}}
}

// handle passes an event to the router and returns its actions.
func (g *rig) handle(e Event) []Action {
	g.actions = g.r.Handle(g.now, e, nil)
	return g.actions
}

// request sends a request of a class whose session last wrote the given time ago.
func (g *rig) request(class string, age time.Duration) (string, []Action) {
	g.n++
	id := fmt.Sprint("q", g.n)
	life := 2 * time.Second
	if c := g.r.cells[0].classes[class]; c != nil {
		life = c.Deadline
	}
	return id, g.handle(Request{ID: id, Class: class, Session: "s", Deadline: g.now + life, WriteAge: age})
}

// requestWith is request with an edit of the request.
func (g *rig) requestWith(class string, edit func(*Request)) (string, []Action) {
	g.n++
	r := Request{ID: fmt.Sprint("q", g.n), Class: class, Session: "s", Deadline: g.now + g.r.cells[0].classes[class].Deadline}
	edit(&r)
	return r.ID, g.handle(r)
}

// advance advances the clock in steps of queueInterval, so that queued requests are tried again.
func (g *rig) advance(d time.Duration) []Action {
	var all []Action
	for end := g.now + d; g.now < end; {
		g.now += queueInterval
		all = append(all, g.handle(Timer{tagQueue})...)
	}
	return all
}

// setState records a statement of a member about its role and lag.
func (g *rig) setState(server string, role Role, behind time.Duration) {
	g.r.addStatement(g.r.members[server], Statement{Role: role, Position: g.now - behind, StatedAt: TimeBounds{NotBefore: g.now, NotAfter: g.now}})
}

// answer ends an attempt.
func (g *rig) answer(id, server string, attempt int, res Result, role Role) []Action {
	return g.handle(Outcome{ID: id, Server: server, Attempt: attempt, Result: res, Role: role, Took: 10 * ms, Final: res == OK})
}

// sends returns the servers of the Send actions.
func sends(acts []Action) (to []string) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			to = append(to, s.Server)
		}
	}
	return to
}

// finals returns the final answers among the actions.
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

// want requires got to equal wanted.
func want(t *testing.T, what string, got, wanted []string) {
	t.Helper()
	if strings.Join(got, " ") != strings.Join(wanted, " ") {
		t.Fatalf("%s: got %q, want %q", what, got, wanted)
	}
}

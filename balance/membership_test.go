package balance

import (
	"testing"
	"time"
)

func TestGroupWithoutMembers(t *testing.T) {
	g := newRig(t, nil)
	id := "unroutable"
	g.handle(Request{ID: id, Class: "save", Group: 9, Deadline: g.now + 4*time.Second})
	if f := finals(g.advance(1800 * ms)); len(f) > 0 {
		t.Fatalf("ended early: %q", f)
	}
	// A request held to its deadline left its client no time for a retry at the next primary.
	want(t, "before half of its time", finals(g.advance(200*ms)), []string{"refuse " + id})
}

func TestWatchIsRepeatedAfterFailure(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.SubscribeToList = true })
	if _, ok := g.actions[0].(Watch); !ok {
		t.Fatalf("first actions %v, want a Watch", g.actions)
	}
	a, ok := g.handle(ListUnavailable{})[0].(StartTimer)
	if !ok || a.Wait < time.Second {
		t.Fatalf("a failed call is retried by %v, want a delay", g.actions)
	}
	if acts := g.handle(Timer{a.Tag}); len(acts) != 1 || acts[0] != Action(Watch{}) {
		t.Errorf("after the delay: %v", acts)
	}
}

func TestRestartEndsEjection(t *testing.T) {
	g := newRig(t, nil)
	g.r.eject(g.r.members["a"], false)
	l := list()
	l[1].Started = g.now
	g.handle(Members{List: l[1:2]})
	if !g.r.available(g.r.members["a"]) {
		t.Error("a new process is still ejected for the failures of the old one")
	}
}

func TestDrainGrace(t *testing.T) {
	g := newRig(t, nil)
	l := list()
	l[0].State, l[1].State = Draining, Draining
	g.handle(Members{List: l[:2]})
	_, acts := g.request("save", 0)
	want(t, "write inside the grace", sends(acts), []string{"p"})
	_, acts = g.request("any", 0)
	want(t, "read", sends(acts), []string{"b"})
	g.now += time.Second
	_, acts = g.request("fresh", 0)
	want(t, "after the grace", sends(acts), nil)
	g.handle(Members{Snapshot: true, List: list()[:2]})
	for range 8 {
		_, acts = g.request("any", 0)
		if to := sends(acts); len(to) == 1 && to[0] == "b" {
			t.Fatal("sent to a member missing from the snapshot")
		}
	}
}

func TestDroppedStayOpen(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.DroppedStayOpen = true })
	g.handle(Members{Snapshot: true, List: list()[:1]})
	_, acts := g.request("any", 0)
	if to := sends(acts); len(to) != 1 || to[0] == "p" {
		t.Errorf("removed members may still be used, but sent to %q", to)
	}
}

func TestRestartClearsRole(t *testing.T) {
	g := newRig(t, nil)
	g.setState("a", Primary, 0)
	l := list()
	l[1].Started = g.now
	g.handle(Members{List: l[1:2]})
	if p := g.r.primaryOf(g.r.groups[0]); p != nil && p.Server == "a" {
		t.Error("the role of the old process still counts for the new one")
	}
}

func TestIdleRouterHasNoActions(t *testing.T) {
	// The queue timers of hundreds of idle routers were most of what the fleet did.
	g := newRig(t, nil)
	id, acts := g.request("any", 0)
	g.answer(id, sends(acts)[0], 0, OK, Replica)
	if acts := g.handle(Timer{tagQueue}); len(acts) != 0 {
		t.Errorf("the queue timer of an idle router returns %v", acts)
	}
	if _, acts := g.request("save", 0); len(acts) == 0 {
		t.Error("a request got no action")
	}
}

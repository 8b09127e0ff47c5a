package balance

import (
	"testing"
	"time"
)

func TestGroupWithoutMembers(t *testing.T) {
	g := newRig(t, nil)
	id := "lonely"
	g.do(Request{ID: id, Class: "save", Group: 9, Deadline: g.now + 4*time.Second})
	if f := finals(g.beat(1800 * ms)); len(f) > 0 {
		t.Fatalf("ended early: %q", f)
	}
	// Held to its deadline, it left its client no time to come back for the next primary.
	want(t, "before half of its time", finals(g.beat(200*ms)), []string{"refuse " + id})
}

func TestListIsAskedForAndAskedAgain(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.SubscribeToList = true })
	if _, ok := g.acts[0].(Watch); !ok {
		t.Fatalf("first actions %v, want a Watch", g.acts)
	}
	a, ok := g.do(ListUnavailable{})[0].(StartTimer)
	if !ok || a.Wait < time.Second {
		t.Fatalf("a lost call is retried by %v, want a pause", g.acts)
	}
	if acts := g.do(Timer{a.Tag}); len(acts) != 1 || acts[0] != Action(Watch{}) {
		t.Errorf("after the pause: %v", acts)
	}
}

func TestNewProcessIsTakenBack(t *testing.T) {
	g := newRig(t, nil)
	g.r.blacklist(g.r.members["a"], false)
	l := list()
	l[1].Started = g.now
	g.do(Members{List: l[1:2]})
	if !g.r.alive(g.r.members["a"]) {
		t.Error("a process started anew is still blacklisted for the old one's failures")
	}
}

func TestDrainGrace(t *testing.T) {
	g := newRig(t, nil)
	l := list()
	l[0].State, l[1].State = Draining, Draining
	g.do(Members{List: l[:2]})
	_, acts := g.ask("save", 0)
	want(t, "write inside the grace", sends(acts), []string{"p"})
	_, acts = g.ask("any", 0)
	want(t, "read", sends(acts), []string{"b"})
	g.now += time.Second
	_, acts = g.ask("fresh", 0)
	want(t, "after the grace", sends(acts), nil)
	g.do(Members{Snapshot: true, List: list()[:2]})
	for range 8 {
		_, acts = g.ask("any", 0)
		if to := sends(acts); len(to) == 1 && to[0] == "b" {
			t.Fatal("sent to a member missing from the whole list")
		}
	}
}

func TestDroppedStayOpen(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.DroppedStayOpen = true })
	g.do(Members{Snapshot: true, List: list()[:1]})
	_, acts := g.ask("any", 0)
	if to := sends(acts); len(to) != 1 || to[0] == "p" {
		t.Errorf("dropped members are still in service here, but sent to %q", to)
	}
}

func TestANewProcessHasNoRole(t *testing.T) {
	g := newRig(t, nil)
	g.know("a", Primary, 0)
	l := list()
	l[1].Started = g.now
	g.do(Members{List: l[1:2]})
	if p := g.r.primaryOf(g.r.groups[0]); p != nil && p.Server == "a" {
		t.Error("the role of the old process vouches for the new one")
	}
}

func TestAnIdleRouterAsksForNothing(t *testing.T) {
	// A beat at each of hundreds of idle routers was most of what the fleet did.
	g := newRig(t, nil)
	id, acts := g.ask("any", 0)
	g.answer(id, sends(acts)[0], 0, OK, Replica)
	if acts := g.do(Timer{tagBeat}); len(acts) != 0 {
		t.Errorf("an idle router's beat asks for %v", acts)
	}
	if _, acts := g.ask("save", 0); len(acts) == 0 {
		t.Error("a request got no action")
	}
}

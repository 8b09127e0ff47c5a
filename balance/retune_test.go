package balance

import (
	"testing"
	"time"
)

// New settings apply to new requests; an open request keeps the class that it arrived with.
func TestSettingsUpdate(t *testing.T) {
	s := Settings{Tick: ms, Classes: []Class{{Name: "a", Need: AnyData, LatencyTarget: 300 * ms, Deadline: 900 * ms, Worth: 1},
		{Name: "w", Need: Write, Effect: Unsafe, LatencyTarget: 500 * ms, Deadline: 3000 * ms, Worth: 1}}, MaxAttempts: 3, DrainGrace: 1000 * ms}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	at := 1000 * ms
	r.Handle(at, Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "q", Weight: 1}}}, nil)
	if acts := r.Handle(at, Request{ID: "old", Class: "a", Deadline: at + 900*ms}, nil); len(acts) != 2 {
		t.Fatalf("%v", acts)
	}
	old := r.requests["old"]
	s.Classes = []Class{{Name: "a", Need: AnyData, Effect: Unsafe, LatencyTarget: 100 * ms, Deadline: 400 * ms, Worth: 1}, {Name: "n", Need: AnyData, LatencyTarget: ms, Deadline: ms}}
	s, err = s.Checked()
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(at, SettingsUpdate{s}, nil)
	if r.requests["old"] != old || old.class.Effect != Safe || old.class.Deadline != 900*ms {
		t.Errorf("the class of the open request became %+v", old.class.Class)
	}
	r.Handle(at, Request{ID: "new", Class: "a", Deadline: at + 400*ms}, nil)
	if q := r.requests["new"]; q == nil || q.class.Effect != Unsafe {
		t.Errorf("a new request has %+v", q)
	}
	if acts := r.Handle(at, Request{ID: "gone", Class: "w", Deadline: at + 400*ms}, nil); len(acts) != 1 || acts[0] != (Refuse{ID: "gone"}) {
		t.Errorf("a request of a removed class: %v", acts)
	}
	unchanged := r.cells[0].classes["a"]
	r.Handle(at, SettingsUpdate{s}, nil)
	if r.cells[0].classes["a"] != unchanged {
		t.Error("an unchanged class lost its statistics")
	}
}

// Whether sessions carry their last write may change: their earlier writes must be seen all the same.
func TestSessionWritesSurviveTokenSettingChange(t *testing.T) {
	for name, carried := range map[string]bool{"no longer": true, "not yet": false} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, func(s *Settings) { s.TokensCarried, s.Probes = carried, false })
			g.setState("p", Primary, 0)
			for _, replica := range []string{"a", "b"} {
				g.setState(replica, Replica, 10*ms)
			}
			id, _ := g.request("save", 0)
			g.handle(Outcome{ID: id, Server: "p", Result: OK, Role: Primary, Position: g.now, Took: ms, Final: true})
			s := settings()
			s.TokensCarried, s.Probes = !carried, false
			g.handle(SettingsUpdate{s})
			g.now += time.Second // past the pin window, and no replica has stated a newer position
			if _, acts := g.request("own", 0); len(sends(acts)) != 1 || sends(acts)[0] != "p" {
				t.Errorf("a read of the session goes to %v, want the primary", sends(acts))
			}
		})
	}
}

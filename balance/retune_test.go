package balance

import (
	"testing"
	"time"
)

// New settings hold for what comes; a request under way keeps the class that it came with.
func TestRetune(t *testing.T) {
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
	old := r.reqs["old"]
	s.Classes = []Class{{Name: "a", Need: AnyData, Effect: Unsafe, LatencyTarget: 100 * ms, Deadline: 400 * ms, Worth: 1}, {Name: "n", Need: AnyData, LatencyTarget: ms, Deadline: ms}}
	s, err = s.Checked()
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(at, SettingsUpdate{s}, nil)
	if r.reqs["old"] != old || old.cls.Effect != Safe || old.cls.Deadline != 900*ms {
		t.Errorf("the class under way became %+v", old.cls.Class)
	}
	r.Handle(at, Request{ID: "new", Class: "a", Deadline: at + 400*ms}, nil)
	if q := r.reqs["new"]; q == nil || q.cls.Effect != Unsafe {
		t.Errorf("a new request has %+v", q)
	}
	if acts := r.Handle(at, Request{ID: "gone", Class: "w", Deadline: at + 400*ms}, nil); len(acts) != 1 || acts[0] != (Refuse{ID: "gone"}) {
		t.Errorf("a request of a class that has vanished: %v", acts)
	}
	kept := r.cells[0].classes["a"]
	r.Handle(at, SettingsUpdate{s}, nil)
	if r.cells[0].classes["a"] != kept {
		t.Error("a class that stays as it was loses what was learnt of it")
	}
}

// Whether sessions carry their last write may change: what they wrote before is seen all the same.
func TestAWriteIsSeenThoughTokensAreNotCarriedAnyMoreOrNotYet(t *testing.T) {
	for name, carried := range map[string]bool{"not any more": true, "not yet": false} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, func(s *Settings) { s.TokensCarried, s.Probes = carried, false })
			g.know("p", Primary, 0)
			for _, replica := range []string{"a", "b"} {
				g.know(replica, Replica, 10*ms)
			}
			id, _ := g.ask("save", 0)
			g.do(Outcome{ID: id, Server: "p", Result: OK, Role: Primary, Position: g.now, Took: ms, Final: true})
			s := settings()
			s.TokensCarried, s.Probes = !carried, false
			g.do(SettingsUpdate{s})
			g.now += time.Second // past the pin, and no replica has told more
			if _, acts := g.ask("own", 0); len(sends(acts)) != 1 || sends(acts)[0] != "p" {
				t.Errorf("a read of the session goes to %v, want the primary", sends(acts))
			}
		})
	}
}

package balance

import (
	"testing"
	"time"
)

// A read is cut short at a replica only where that leaves time for another attempt: an end too early for one throws away what
// the host goes on with.
func TestAnEarlyEndLeavesTimeForAnother(t *testing.T) {
	for _, c := range []struct{ took, want int }{{25, 180}, {45, 300}} { // ms; 0.6 of the aim, or all of it
		r, err := New(Settings{Tick: ms, Classes: []Class{{Name: "a", Need: AnyData, LatencyTarget: 300 * ms, Deadline: 900 * ms, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		at := 1000 * ms
		r.Handle(at, Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "q", Weight: 1}}}, nil)
		r.cells[0].classes["a"].took = time.Duration(c.took) * ms
		for _, a := range r.Handle(at, Request{ID: "x", Class: "a", Deadline: at + 900*ms}, nil) {
			if s, ok := a.(Send); ok && (s.Server != "q" || int(s.Timeout/ms) != c.want) {
				t.Errorf("answers take %d ms: sent to %s for %s, want %d ms at q", c.took, s.Server, s.Timeout, c.want)
			}
		}
	}
}

// An ending process shortens deadlines, and a class that was hardly asked for is only guessed to be slow.
func TestAGuessedAnswerTimeRefusesNobodyWhoseDeadlineIsShort(t *testing.T) {
	const left = 3500 * ms
	for _, c := range []struct {
		name    string
		answers int
		took    time.Duration
		sent    int
	}{
		{"never answered", 0, 0, 1},
		{"answered once", 1, 5 * ms, 1},
		{"answered until the guess fades", guessFades, 5 * ms, 1},
		{"known to be too slow", guessFades, 2500 * ms, 0},
	} {
		for _, class := range []string{"any", "save"} {
			g := newRig(t, func(s *Settings) {
				for i := range s.Classes {
					s.Classes[i].LatencyTarget, s.Classes[i].Deadline, s.Classes[i].LateWorth = 10*time.Second, 20*time.Second, 0
				}
			})
			for range c.answers {
				id, acts := g.ask(class, 0)
				server := sends(acts)[0]
				g.now += c.took
				g.do(Outcome{ID: id, Server: server, Result: OK, Took: c.took, Final: true})
			}
			acts := g.do(Request{ID: "last", Class: class, Deadline: g.now + left})
			if got := len(sends(acts)); got != c.sent {
				t.Errorf("%s, %s, with %s left: %v", class, c.name, left, acts)
			}
		}
	}
}

func TestAGuessedAnswerTimeEndsARequestOnceHalfItsTimeIsGone(t *testing.T) {
	g := newRig(t, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyTarget, s.Classes[i].Deadline = 10*time.Second, 20*time.Second
		}
	})
	c := g.r.cells[0].classes["any"]
	q := &request{Request: Request{Deadline: g.now + 3500*ms}, cls: c, arrived: g.now, attempts: 1}
	for _, x := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {1700 * ms, false}, {1800 * ms, true}} {
		g.r.now = q.arrived + x.after
		if got := g.r.hopeless(q); got != x.want {
			t.Errorf("%s after it came: hopeless is %t", x.after, got)
		}
	}
}

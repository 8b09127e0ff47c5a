package balance

import (
	"testing"
	"time"
)

// A read is cut short at a replica only where that leaves time for another attempt: an end too early for one throws away what
// the host goes on with.
func TestAnEarlyEndLeavesTimeForAnother(t *testing.T) {
	for _, c := range []struct{ took, want int }{{25, 180}, {45, 300}} { // ms; 0.6 of the aim, or all of it
		r, err := New(Settings{Tick: ms, Classes: []Class{{Name: "a", Need: AnyData, Aim: 300 * ms, Deadline: 900 * ms, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		at := 1000 * ms
		r.Handle(at, Members{Whole: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "q", Weight: 1}}}, nil)
		r.cells[0].classes["a"].took = time.Duration(c.took) * ms
		for _, a := range r.Handle(at, Request{ID: "x", Class: "a", Deadline: at + 900*ms}, nil) {
			if s, ok := a.(Send); ok && (s.Server != "q" || int(s.Timeout/ms) != c.want) {
				t.Errorf("answers take %d ms: sent to %s for %s, want %d ms at q", c.took, s.Server, s.Timeout, c.want)
			}
		}
	}
}

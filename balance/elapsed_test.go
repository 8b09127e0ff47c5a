package balance

import "testing"

// What a client has been at for longer than the class's aim earns nothing any more, however long it still waits: it is answered
// at once, and no host works for it. An answer late that still earns something is given.
func TestWhatCanEarnNothingIsNotSent(t *testing.T) {
	g := newRig(t, nil)
	for _, try := range []struct {
		id, class string
		sent      bool
	}{{"late", "any", false}, {"first", "any", true}, {"write", "save", true}} {
		q := Request{ID: try.id, Class: try.class, Deadline: g.now + 1200*ms, Elapsed: 800 * ms}
		if try.id == "first" {
			q.Elapsed = 0
		}
		acts := g.do(q)
		switch a := acts[len(acts)-1].(type) {
		case Send:
			if !try.sent {
				t.Errorf("%s is sent", try.id)
			}
			if a.Timeout > 700*ms && try.class == "any" {
				t.Errorf("%s is waited for longer than its aim", try.id)
			}
		case Refuse:
			if try.sent || a.Reason != TooLate {
				t.Errorf("%s is refused: %v", try.id, a.Reason)
			}
		default:
			t.Errorf("%s: %v", try.id, acts)
		}
	}
}

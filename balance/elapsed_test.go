package balance

import "testing"

// When a client has spent more than the latency target on earlier tries, an answer without late worth has no
// value: the request is refused at once instead of being sent to a host. A late answer that still has value
// is given.
func TestWorthlessRequestIsNotSent(t *testing.T) {
	g := newRig(t, nil)
	for _, try := range []struct {
		id, class string
		sent      bool
	}{{"late", "any", false}, {"first", "any", true}, {"write", "save", true}} {
		q := Request{ID: try.id, Class: try.class, Deadline: g.now + 1200*ms, Elapsed: 800 * ms}
		if try.id == "first" {
			q.Elapsed = 0
		}
		acts := g.handle(q)
		switch a := acts[len(acts)-1].(type) {
		case Send:
			if !try.sent {
				t.Errorf("%s is sent", try.id)
			}
			if a.Timeout > 700*ms && try.class == "any" {
				t.Errorf("%s has a timeout above its latency target", try.id)
			}
		case Refuse:
			if try.sent || a.Why != TooLate {
				t.Errorf("%s is refused: %v", try.id, a.Why)
			}
		default:
			t.Errorf("%s: %v", try.id, acts)
		}
	}
}

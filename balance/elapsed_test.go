package balance

import "testing"

// When a client has spent more than the latency target on earlier attempts, an answer without late worth has no
// value: the request is refused at once instead of being sent to a host. A late answer that still has value
// is given.
func TestWorthlessRequestIsNotSent(t *testing.T) {
	g := newRig(t, nil)
	for _, c := range []struct {
		id, class string
		sent      bool
	}{{"late", "any", false}, {"first", "any", true}, {"write", "save", true}} {
		q := Request{ID: c.id, Class: c.class, Deadline: g.now + 1200*ms, Elapsed: 800 * ms}
		if c.id == "first" {
			q.Elapsed = 0
		}
		acts := g.handle(q)
		switch a := acts[len(acts)-1].(type) {
		case Send:
			if !c.sent {
				t.Errorf("%s is sent", c.id)
			}
			if a.Timeout > 700*ms && c.class == "any" {
				t.Errorf("%s has a timeout above its latency target", c.id)
			}
		case Refuse:
			if c.sent || a.Reason != TooLate {
				t.Errorf("%s is refused: %v", c.id, a.Reason)
			}
		default:
			t.Errorf("%s: %v", c.id, acts)
		}
	}
}

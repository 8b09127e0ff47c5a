package balance

import (
	"testing"
	"time"
)

// The timeout at a replica is shortened only if that leaves time for another attempt: otherwise it wastes
// the work that the host continues with.
func TestReadTimeoutLeavesTimeForRetry(t *testing.T) {
	// In ms: 0.6 of the latency target, or all of it.
	for _, c := range []struct{ took, want int }{{25, 180}, {45, 300}} {
		r, err := New(Settings{Tick: ms, Classes: []Class{{Name: "a", Need: AnyData, LatencyTarget: 300 * ms, Deadline: 900 * ms, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		at := 1000 * ms
		r.Handle(at, Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "q", Weight: 1}}}, nil)
		r.cells[0].classes["a"].latency = time.Duration(c.took) * ms
		for _, a := range r.Handle(at, Request{ID: "x", Class: "a", Deadline: at + 900*ms}, nil) {
			if s, ok := a.(Send); ok && (s.Server != "q" || int(s.Timeout/ms) != c.want) {
				t.Errorf("answers take %d ms: sent to %s for %s, want %d ms at q", c.took, s.Server, s.Timeout, c.want)
			}
		}
	}
}

// A shutdown shortens deadlines, and the answer time of a class with few requests is only an estimate.
func TestEstimatedLatencyRefusesNoShortDeadline(t *testing.T) {
	const remaining = 3500 * ms
	for _, c := range []struct {
		name    string
		answers int
		took    time.Duration
		sent    int
	}{
		{"never answered", 0, 0, 1},
		{"answered once", 1, 5 * ms, 1},
		{"answered until the estimate has faded", estimateWindow, 5 * ms, 1},
		{"known to be too slow", estimateWindow, 2500 * ms, 0},
	} {
		for _, class := range []string{"any", "save"} {
			g := newRig(t, func(s *Settings) {
				for i := range s.Classes {
					s.Classes[i].LatencyTarget, s.Classes[i].Deadline, s.Classes[i].LateWorth = 10*time.Second, 20*time.Second, 0
				}
			})
			for range c.answers {
				id, acts := g.request(class, 0)
				server := sends(acts)[0]
				g.now += c.took
				g.handle(Outcome{ID: id, Server: server, Result: OK, Took: c.took, Final: true})
			}
			acts := g.handle(Request{ID: "last", Class: class, Deadline: g.now + remaining})
			if got := len(sends(acts)); got != c.sent {
				t.Errorf("%s, %s, %s before its deadline: %v", class, c.name, remaining, acts)
			}
		}
	}
}

func TestEstimatedLatencyAfterHalfTheTime(t *testing.T) {
	g := newRig(t, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyTarget, s.Classes[i].Deadline = 10*time.Second, 20*time.Second
		}
	})
	c := g.r.cells[0].classes["any"]
	q := &request{Request: Request{Deadline: g.now + 3500*ms}, class: c, arrived: g.now, attempts: 1}
	for _, x := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {1700 * ms, false}, {1800 * ms, true}} {
		g.r.now = q.arrived + x.after
		if got := g.r.unlikelyInTime(q); got != x.want {
			t.Errorf("%s after its arrival: hopeless is %t", x.after, got)
		}
	}
}

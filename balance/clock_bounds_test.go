package balance

import (
	"slices"
	"testing"
	"time"
)

// The highest stated position is kept: a position in the future would later make stale data pass as fresh.
func TestFuturePositionIsIgnored(t *testing.T) {
	for name, bounds := range map[string]ClockBounds{"stated while the clock is bounded": {Known: true}, "stated before": {}} {
		g := newRig(t, func(s *Settings) { s.Probes = false })
		g.handle(bounds)
		g.setState("a", Replica, -9*time.Second)
		g.handle(ClockBounds{Known: true})
		g.now += 9 * time.Second
		if _, acts := g.request("browse", 0); slices.Contains(sends(acts), "a") {
			t.Errorf("%s: a read was sent on a position that was stated 9 s ahead of time", name)
		}
	}
}

func TestPositionAgeNeedsClockBounds(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.handle(ClockBounds{})
	g.setState("a", Replica, 0)
	if _, acts := g.request("browse", 0); slices.Contains(sends(acts), "a") {
		t.Error("a bounded read was sent on a position of unknown age")
	}
	g.handle(ClockBounds{Known: true, AgeOffset: 10 * time.Second, MaxOffset: 10 * time.Second})
	if _, acts := g.request("browse", 0); slices.Contains(sends(acts), "a") {
		t.Error("a bounded read was sent on a position that may be 10 s old")
	}
}

func TestBoundedReadsWaitForClockBounds(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.handle(ClockBounds{})
	g.setState("a", Replica, 0)
	first, acts := g.request("browse", 0)
	if !slices.Equal(sends(acts), []string{"p"}) {
		t.Fatalf("the first read goes to %v", sends(acts))
	}
	if _, acts := g.request("browse", 0); len(sends(acts)) > 0 {
		t.Errorf("another read goes to %v while the first is in flight", sends(acts))
	}
	if got := sends(g.handle(ClockBounds{Known: true})); !slices.Equal(got, []string{"a"}) {
		t.Errorf("once the clock is bounded the waiting read goes to %v", got)
	}
	g.answer(first, "p", 0, OK, Primary)
}

func TestWaitForClockBoundsIsLimited(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.handle(ClockBounds{})
	g.request("browse", 0)
	g.now += clockReadWait
	if _, acts := g.request("browse", 0); !slices.Equal(sends(acts), []string{"p"}) {
		t.Errorf("a read goes to %v while an older one is still in flight, want p", sends(acts))
	}
}

package balance

import (
	"slices"
	"testing"
	"time"
)

// A position is kept as the highest that was told: one from the future would pass stale data as fresh once that has come.
func TestAPositionFromTheFutureIsNeverReadFrom(t *testing.T) {
	for name, bounds := range map[string]ClockBounds{"told while the clock is bounded": {Known: true}, "told before": {}} {
		g := newRig(t, func(s *Settings) { s.Probes = false })
		g.do(bounds)
		g.know("a", Replica, -9*time.Second)
		g.do(ClockBounds{Known: true})
		g.now += 9 * time.Second
		if _, acts := g.ask("browse", 0); slices.Contains(sends(acts), "a") {
			t.Errorf("%s: a read goes by a position that was told as 9 s ahead", name)
		}
	}
}

func TestAPositionsAgeIsNotKnownWithoutBoundsOfTheClock(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.do(ClockBounds{})
	g.know("a", Replica, 0)
	if _, acts := g.ask("browse", 0); slices.Contains(sends(acts), "a") {
		t.Error("a bounded read goes by a position whose age nothing bounds")
	}
	g.do(ClockBounds{Known: true, AgeOffset: 10 * time.Second, MaxOffset: 10 * time.Second})
	if _, acts := g.ask("browse", 0); slices.Contains(sends(acts), "a") {
		t.Error("a bounded read goes by a position that may be 10 s old")
	}
}

func TestBoundedReadsWaitForOneAnswerThatMayBoundTheClock(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.do(ClockBounds{})
	g.know("a", Replica, 0)
	first, acts := g.ask("browse", 0)
	if !slices.Equal(sends(acts), []string{"p"}) {
		t.Fatalf("the first read goes to %v", sends(acts))
	}
	if _, acts := g.ask("browse", 0); len(sends(acts)) > 0 {
		t.Errorf("another goes to %v while the first is out", sends(acts))
	}
	if got := sends(g.do(ClockBounds{Known: true})); !slices.Equal(got, []string{"a"}) {
		t.Errorf("once the clock is bounded what waited goes to %v", got)
	}
	g.answer(first, "p", 0, OK, Primary)
}

func TestAReadWaitsNoLongerForAnAnswerThatMayBoundTheClockThanThatMayTake(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.Probes = false })
	g.do(ClockBounds{})
	g.ask("browse", 0)
	g.now += clockReadFor
	if _, acts := g.ask("browse", 0); !slices.Equal(sends(acts), []string{"p"}) {
		t.Errorf("a read goes to %v beside one that is out for long", sends(acts))
	}
}

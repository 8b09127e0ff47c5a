package fleetclock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	start = 1000 * time.Hour
)

// simulation simulates a fleet whose clock is ahead of the local clock by offset, and feeds its answers to an
// estimate.
type simulation struct {
	*Estimate
	now, offset time.Duration
}

func newSimulation(offset time.Duration) *simulation { return &simulation{New(start), start, offset} }

// present observes an answer that a primary made in the middle of a round trip of 10 ms.
func (s *simulation) present(host string) Change {
	s.now += minSeparation + 10*ms
	return s.Observe(Observation{Host: host, PrimaryPosition: s.now - 5*ms + s.offset, Sent: s.now - 10*ms, Received: s.now})
}

// position observes an answer of a host whose replay position lags. A negative lag is a position in the
// future.
func (s *simulation) position(host string, lag time.Duration) Change {
	s.now += minSeparation + 10*ms
	return s.Observe(Observation{Host: host, Position: s.now - lag + s.offset, Sent: s.now - 10*ms, Received: s.now})
}

func (s *simulation) check(t *testing.T, what string, bounded bool) {
	t.Helper()
	b := s.Bounds()
	if i := b.At(s.now); b.HasMax != bounded || b.HasMin && i.Min > s.offset || bounded && i.Max < s.offset {
		t.Errorf("%s: offset %s, bounds %v, bounded %t, want %t", what, s.offset, i, b.HasMax, bounded)
	}
}

func TestFirstAnswerSettlesCorrectLocalClock(t *testing.T) {
	for offset, enough := range map[time.Duration]bool{0: true, 4 * ms: true, -4 * ms: true, 20 * ms: false, 300 * ms: false, -300 * ms: false, time.Hour: false} {
		p := newSimulation(offset)
		p.present("a")
		p.check(t, offset.String(), enough)
	}
}

func TestWrongLocalClockNeedsTwoHostsOrThreeAnswers(t *testing.T) {
	for _, offset := range []time.Duration{20 * ms, 300 * ms, -300 * ms, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		p := newSimulation(offset)
		p.present("a")
		p.present("a")
		p.check(t, "two answers of one host", false)
		p.present("a")
		p.check(t, "three answers of one host", true)
		p = newSimulation(offset)
		p.present("a")
		p.present("b")
		p.check(t, "two hosts", true)
	}
}

func TestStoredPositionsNeverBoundFromAbove(t *testing.T) {
	p := newSimulation(0)
	for range 20 {
		p.position("a", 2500*ms)
		p.position("b", 2500*ms)
	}
	p.check(t, "before an answer of a primary", false)
	p.present("a")
	p.check(t, "known", true)
	before := p.Bounds().At(p.now).Max
	for range 20 {
		p.position("a", 2500*ms)
		p.position("b", 2500*ms)
	}
	if upper := p.Bounds().At(p.now).Max; upper < before {
		t.Errorf("repeated old positions lower the upper bound from %s to %s", before, upper)
	}
}

func TestOverlappingAnswersCountAsOneWitness(t *testing.T) {
	p := newSimulation(2 * time.Second)
	p.now += 500 * ms
	for _, host := range []string{"a", "b", "c", "a", "b"} { // delayed, and read together
		p.Observe(Observation{Host: host, PrimaryPosition: p.now - 480*ms + p.offset, Sent: p.now - 500*ms, Received: p.now})
	}
	p.check(t, "answers that arrived together", false)
}

func TestContradictionWidensInterval(t *testing.T) {
	settled := func() *simulation {
		p := newSimulation(0)
		p.present("a")
		p.present("b")
		p.check(t, "settled", true)
		return p
	}
	for name, c := range map[string]struct {
		wrong   func(p *simulation) Change
		bounded bool
	}{
		"position in the future": {func(p *simulation) Change { return p.position("c", -time.Second) }, false},
		"primary's position too high": {func(p *simulation) Change {
			p.offset = time.Second
			defer func() { p.offset = 0 }()
			return p.present("a")
		}, true},
		"primary's position too old": {func(p *simulation) Change {
			p.offset = -time.Second
			defer func() { p.offset = 0 }()
			return p.present("a")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := settled()
			if got := c.wrong(p); got != Contradicted {
				t.Fatalf("change %d", got)
			}
			p.check(t, "contradicted", c.bounded)
			if b := p.Bounds(); !b.Contradicted || b.At(p.now).Width() < 900*ms {
				t.Errorf("the interval is not marked as contradicted or does not include both: %+v", b.At(p.now))
			}
			epoch := p.Epoch()
			p.present("a")
			if !p.Bounds().Contradicted {
				t.Error("a single answer ended the contradiction")
			}
			if got := p.present("b"); got != Settled || p.Epoch() != epoch || p.Bounds().Contradicted {
				t.Errorf("change %d, epoch %d, %+v", got, p.Epoch(), p.Bounds())
			}
			p.check(t, "settled again", true)
		})
	}
}

func TestEarlierQueriesDoNotSettleContradiction(t *testing.T) {
	p := newSimulation(0)
	p.present("a")
	p.present("b")
	p.position("c", -time.Second)
	for _, host := range []string{"a", "b"} {
		sent := p.now - 20*ms
		p.now += 10 * ms
		p.Observe(Observation{Host: host, PrimaryPosition: p.now - 5*ms, Sent: sent, Received: p.now})
	}
	if !p.Bounds().Contradicted {
		t.Error("answers to earlier queries ended the contradiction")
	}
	p.present("b") // agrees with the answer of host a and is independent of it
	if !p.Bounds().Contradicted {
		t.Error("one answer to a later query and one to an earlier query ended the contradiction")
	}
}

func TestSecondContradictionWidensFurther(t *testing.T) {
	p := newSimulation(0)
	p.present("a")
	p.present("b")
	p.offset = 300 * ms
	p.present("a")
	p.offset = 900 * ms
	if got := p.present("b"); got != Contradicted {
		t.Errorf("change %d", got)
	}
	p.check(t, "contradicted twice", true)
	if lower := p.Bounds().At(p.now).Min; lower > 0 {
		t.Errorf("the interval does not include the one known first: its minimum is %s", lower)
	}
}

func TestSteppedClockReplacesInterval(t *testing.T) {
	for _, step := range []time.Duration{300 * ms, -300 * ms, time.Hour, -time.Hour} {
		p := newSimulation(0)
		p.present("a")
		p.present("b")
		p.offset = step
		p.present("a")
		p.check(t, "contradicted", true)
		p.present("a")
		if got := p.present("b"); got != Replaced || p.Epoch() != 1 {
			t.Errorf("%s: change %d, epoch %d", step, got, p.Epoch())
		}
		p.check(t, "replaced", true)
	}
}

func TestBoundsWidenWithDrift(t *testing.T) {
	p := newSimulation(0)
	p.present("a")
	p.present("b")
	width := p.Bounds().At(p.now).Width()
	p.now += 100 * time.Second
	if got := p.Bounds().At(p.now).Width(); got < width+200*ms {
		t.Errorf("the width is %s after 100 s, and was %s before", got, width)
	}
	p.offset = 90 * ms // the clock has drifted
	p.present("a")
	p.present("b")
	p.check(t, "drifted", true)
	if got := p.Bounds().At(p.now).Width(); got > 150*ms {
		t.Errorf("the width is %s after new answers", got)
	}
}

func TestNoLowerBoundBeforeFirstAnswer(t *testing.T) {
	p := newSimulation(-time.Hour) // by the local clock, a host that has just started seems to have started an hour ago
	if p.Bounds().HasMin {
		t.Error("the local clock alone gives a lower bound")
	}
	p.position("a", 10*ms)
	p.check(t, "one host", false)
	if !p.Bounds().HasMin {
		t.Error("the answer of one host gives no lower bound")
	}
}

func TestInheritedInterval(t *testing.T) {
	p := newSimulation(time.Hour)
	p.Inherit(p.now, Interval{time.Hour - ms, time.Hour + ms})
	p.check(t, "handed over", true)
	p.offset = time.Hour + 300*ms // the interval that was handed over is wrong
	p.present("a")
	p.check(t, "contradicted", true)
	p.present("b")
	p.present("a")
	p.check(t, "replaced", true)
}

func TestInvalidObservationsAreIgnored(t *testing.T) {
	e := New(start)
	for _, o := range []Observation{{Host: "a", Sent: start, Received: start + ms}, {Host: "a", PrimaryPosition: start, Sent: start + ms, Received: start}} {
		if got := e.Observe(o); got != Nothing {
			t.Errorf("%+v: change %d", o, got)
		}
	}
}

// The offset must lie within the bounds for any round-trip times, lags and repeated old positions, and with
// drift at the permitted rate. One answer may also be wrong by any amount, if the local clock is right or the
// interval is known.
func TestOffsetWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, lower, upper time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(lower), int64(upper)).Draw(t, name))
		}
		offset, rate, wrongAnswer := time.Duration(0), draw("drift", -1000, 1000), -1
		wrongLocalClock := rapid.Bool().Draw(t, "off")
		if wrongLocalClock {
			offset = draw("offset", -time.Second, time.Second)
		}
		if rapid.Bool().Draw(t, "one is wrong") {
			wrongAnswer, rate = rapid.IntRange(0, 39).Draw(t, "wrong answer"), rate/2
		}
		e, now := New(start), start
		fleet := func(at time.Duration) time.Duration { return at + offset + (at-start)/1_000_000*rate }
		for n := range 40 {
			sent := now + draw("pause", -200*ms, 2*time.Second) // negative: sent while earlier queries are in flight
			answered := sent + draw("work", 0, 300*ms)
			received := max(now, answered+draw("way back", 0, 400*ms))
			now = received
			o := Observation{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), Sent: sent, Received: received}
			position := fleet(answered)
			if n == wrongAnswer && (!wrongLocalClock || e.Bounds().HasMax) {
				position += draw("wrong by", -time.Hour, time.Hour)
			}
			if rapid.Bool().Draw(t, "primary") {
				o.PrimaryPosition = position.Truncate(ms)
			} else {
				o.Position = (position - draw("lag", 0, 3*time.Second)).Truncate(ms)
			}
			e.Observe(o)
			b, truth := e.Bounds(), fleet(now)-now
			if i := b.At(now); b.HasMin && i.Min > truth || b.HasMax && i.Max < truth {
				t.Fatalf("answer %d: the offset %s lies outside %+v", n, truth, i)
			}
		}
	})
}

func TestOneWrongAnswerMovesNoBoundAfterSlowAnswer(t *testing.T) {
	p := newSimulation(300 * ms)
	p.now += 400 * ms
	p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 400*ms + p.offset, Sent: p.now - 400*ms, Received: p.now})
	p.check(t, "a slow first answer", true)
	p.offset -= 250 * ms
	p.present("b")
	p.offset += 250 * ms
	p.check(t, "one wrong answer", true)
}

func TestOverlappingAnswersOfOneHostSettleClock(t *testing.T) {
	for name, before := range map[string]func(p *simulation){
		"at the start":          func(*simulation) {},
		"after a contradiction": func(p *simulation) { p.Inherit(p.now, Interval{-ms, ms}) },
	} {
		p := newSimulation(300 * ms)
		before(p)
		for range 10_000 { // 40 queries are in flight at any time
			p.now += ms
			p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 20*ms + p.offset, Sent: p.now - 40*ms, Received: p.now})
		}
		if b := p.Bounds(); !b.HasMax || b.Contradicted {
			t.Errorf("%s: after 10 s of answers of one host bounded %t, contradicted %t", name, b.HasMax, b.Contradicted)
		}
		p.check(t, name, true)
	}
}

func TestRepeatedPositionIsOneWitness(t *testing.T) {
	for name, hosts := range map[string][]string{"one host": {"a", "a", "a"}, "two hosts that stopped at the same time": {"a", "b", "a"}} {
		for _, known := range []bool{false, true} {
			p := newSimulation(0)
			if known {
				p.present("a")
				p.present("b")
			}
			old := p.now - 2500*ms
			p.Observe(Observation{Host: "a", PrimaryPosition: old, Sent: p.now, Received: p.now + ms})
			for i, host := range hosts {
				sent := p.now + time.Duration(i+1)*1500*time.Microsecond
				p.Observe(Observation{Host: host, PrimaryPosition: old, Sent: sent, Received: sent + ms})
			}
			p.now += 10 * ms
			if i := p.Bounds().At(p.now); i.Max < 0 {
				t.Errorf("%s, known %t: repeating an old position moves the interval to %+v", name, known, i)
			}
		}
	}
}

func TestRepeatedPositionMovesNoBoundOfWideInterval(t *testing.T) {
	p := newSimulation(0)
	p.now += 400 * ms
	p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 400*ms, Sent: p.now - 400*ms, Received: p.now})
	p.check(t, "a slow first answer", true)
	old := p.now
	p.now += 100 * ms
	for range 3 {
		p.now += minSeparation + 10*ms
		p.Observe(Observation{Host: "a", PrimaryPosition: old, Sent: p.now - 10*ms, Received: p.now})
		p.check(t, "a position that does not advance", true)
	}
}

func TestAnswerAllowsForRoundingAndPositionAge(t *testing.T) {
	for _, deviation := range []time.Duration{-5*ms - ms, ms} {
		if i := (Observation{Host: "a", PrimaryPosition: start + deviation, Sent: start, Received: start}).OffsetInterval(); i.Min > 0 || i.Max < 0 {
			t.Errorf("a primary's position that is off by %s proves %+v, which excludes the offset 0", deviation, i)
		}
	}
}

func TestSelfContradictoryAnswerGivesNoUpperBound(t *testing.T) {
	p := newSimulation(0)
	p.present("a")
	p.present("b")
	p.now += minSeparation + 10*ms
	p.offset = time.Second // the host's clock was set between its primary's position and its load report
	p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 5*ms, Position: p.now + p.offset, Sent: p.now - 10*ms, Received: p.now})
	p.check(t, "contradicted", false)
}

func TestAgeCorrection(t *testing.T) {
	for upper, want := range map[time.Duration]time.Duration{10 * ms: -ms, 100 * ms: 55 * ms} {
		e := New(start)
		e.Inherit(start, Interval{-ms, upper})
		if got := e.Bounds().AgeOffset(start); got != want {
			t.Errorf("with an upper bound of %s the correction of ages is %s, want %s", upper, got, want)
		}
	}
}

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

// play is a fleet whose clock shows so much more than the machine's, as the estimate comes to know of it.
type play struct {
	*Estimate
	now, offset time.Duration
}

func newPlay(offset time.Duration) *play { return &play{New(start), start, offset} }

// present is an answer that a primary made in the middle of 10 ms.
func (p *play) present(host string) Change {
	p.now += apart + 10*ms
	return p.Observe(Observation{Host: host, PrimaryPosition: p.now - 5*ms + p.offset, Sent: p.now - 10*ms, Received: p.now})
}

// position is an answer of a host whose log is behind by a lag; below 0, ahead.
func (p *play) position(host string, lag time.Duration) Change {
	p.now += apart + 10*ms
	return p.Observe(Observation{Host: host, Position: p.now - lag + p.offset, Sent: p.now - 10*ms, Received: p.now})
}

func (p *play) check(t *testing.T, what string, bounded bool) {
	t.Helper()
	b := p.Bounds()
	if i := b.At(p.now); b.HasMax != bounded || b.HasMin && i.Min > p.offset || bounded && i.Max < p.offset {
		t.Errorf("%s: offset %s, bounds %v, bounded %t, want %t", what, p.offset, i, b.HasMax, bounded)
	}
}

func TestAFirstAnswerIsEnoughWhereTheMachinesClockAgrees(t *testing.T) {
	for offset, enough := range map[time.Duration]bool{0: true, 4 * ms: true, -4 * ms: true, 20 * ms: false, 300 * ms: false, -300 * ms: false, time.Hour: false} {
		p := newPlay(offset)
		p.present("a")
		p.check(t, offset.String(), enough)
	}
}

func TestAClockThatIsOffIsKnownFromTwoHostsOrThreeAnswersOfOne(t *testing.T) {
	for _, offset := range []time.Duration{20 * ms, 300 * ms, -300 * ms, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		p := newPlay(offset)
		p.present("a")
		p.present("a")
		p.check(t, "two of one", false)
		p.present("a")
		p.check(t, "three of one", true)
		p = newPlay(offset)
		p.present("a")
		p.present("b")
		p.check(t, "two hosts", true)
	}
}

func TestAReportThatIsKeptNeverBoundsFromAbove(t *testing.T) {
	p := newPlay(0)
	for range 20 {
		p.position("a", 2500*ms)
		p.position("b", 2500*ms)
	}
	p.check(t, "at a start", false)
	p.present("a")
	p.check(t, "known", true)
	before := p.Bounds().At(p.now).Max
	for range 20 {
		p.position("a", 2500*ms)
		p.position("b", 2500*ms)
	}
	if most := p.Bounds().At(p.now).Max; most < before {
		t.Errorf("repeated old positions lower the upper end from %s to %s", before, most)
	}
}

func TestAnswersThatOverlapAreOneWitness(t *testing.T) {
	p := newPlay(2 * time.Second)
	p.now += 500 * ms
	for _, host := range []string{"a", "b", "c", "a", "b"} { // held, and read together
		p.Observe(Observation{Host: host, PrimaryPosition: p.now - 480*ms + p.offset, Sent: p.now - 500*ms, Received: p.now})
	}
	p.check(t, "flushed together", false)
}

func TestAContradictionTakesTheSafeEndsUntilAnswersAgree(t *testing.T) {
	settled := func() *play {
		p := newPlay(0)
		p.present("a")
		p.present("b")
		p.check(t, "settled", true)
		return p
	}
	for name, c := range map[string]struct {
		wrong   func(p *play) Change
		bounded bool
	}{
		"a position ahead":   {func(p *play) Change { return p.position("c", -time.Second) }, false},
		"a present too late": {func(p *play) Change { p.offset = time.Second; defer func() { p.offset = 0 }(); return p.present("a") }, true},
		"a present too old":  {func(p *play) Change { p.offset = -time.Second; defer func() { p.offset = 0 }(); return p.present("a") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := settled()
			if got := c.wrong(p); got != Contradicted {
				t.Fatalf("change %d", got)
			}
			p.check(t, "contradicted", c.bounded)
			if b := p.Bounds(); !b.Contradicted || b.At(p.now).Width() < 900*ms {
				t.Errorf("the safe ends are %+v", b.At(p.now))
			}
			epoch := p.Epoch()
			p.present("a")
			if !p.Bounds().Contradicted {
				t.Error("one answer settles it")
			}
			if got := p.present("b"); got != Settled || p.Epoch() != epoch || p.Bounds().Contradicted {
				t.Errorf("change %d, epoch %d, %+v", got, p.Epoch(), p.Bounds())
			}
			p.check(t, "settled again", true)
		})
	}
}

func TestAnswersToQueriesFromBeforeAContradictionDoNotSettleIt(t *testing.T) {
	p := newPlay(0)
	p.present("a")
	p.present("b")
	p.position("c", -time.Second)
	for _, host := range []string{"a", "b"} {
		sent := p.now - 20*ms
		p.now += 10 * ms
		p.Observe(Observation{Host: host, PrimaryPosition: p.now - 5*ms, Sent: sent, Received: p.now})
	}
	if !p.Bounds().Contradicted {
		t.Error("settled")
	}
	p.present("b") // agrees with a's, and is independent of it
	if !p.Bounds().Contradicted {
		t.Error("settled by one answer since and one from before")
	}
}

func TestALaterContradictionWidensTheDoubt(t *testing.T) {
	p := newPlay(0)
	p.present("a")
	p.present("b")
	p.offset = 300 * ms
	p.present("a")
	p.offset = 900 * ms
	if got := p.present("b"); got != Contradicted {
		t.Errorf("change %d", got)
	}
	p.check(t, "contradicted twice", true)
	if least := p.Bounds().At(p.now).Min; least > 0 {
		t.Errorf("what was known first is given up: at least %s", least)
	}
}

func TestAClockThatIsSteppedIsKnownAgain(t *testing.T) {
	for _, step := range []time.Duration{300 * ms, -300 * ms, time.Hour, -time.Hour} {
		p := newPlay(0)
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

func TestBoundsWidenUntilAnswersRenewThem(t *testing.T) {
	p := newPlay(0)
	p.present("a")
	p.present("b")
	width := p.Bounds().At(p.now).Width()
	p.now += 100 * time.Second
	if got := p.Bounds().At(p.now).Width(); got < width+200*ms {
		t.Errorf("after 100 s %s, before %s", got, width)
	}
	p.offset = 90 * ms // it drifts
	p.present("a")
	p.present("b")
	p.check(t, "drifted", true)
	if got := p.Bounds().At(p.now).Width(); got > 150*ms {
		t.Errorf("renewed, but %s wide", got)
	}
}

func TestBeforeAHostHasToldNothingBoundsAStart(t *testing.T) {
	p := newPlay(-time.Hour) // a host that has just started seems to have started an hour ago
	if p.Bounds().HasMin {
		t.Error("the machine's clock is believed of starts")
	}
	p.position("a", 10*ms)
	p.check(t, "one host", false)
	if !p.Bounds().HasMin {
		t.Error("one host's answer says nothing of starts")
	}
}

func TestAnIntervalIsHandedOver(t *testing.T) {
	p := newPlay(time.Hour)
	p.Inherit(p.now, Interval{time.Hour - ms, time.Hour + ms})
	p.check(t, "handed over", true)
	p.offset = time.Hour + 300*ms // it was wrong
	p.present("a")
	p.check(t, "contradicted", true)
	p.present("b")
	p.present("a")
	p.check(t, "replaced", true)
}

func TestWhatMakesNoSenseIsNotTaken(t *testing.T) {
	e := New(start)
	for _, o := range []Observation{{Host: "a", Sent: start, Received: start + ms}, {Host: "a", PrimaryPosition: start, Sent: start + ms, Received: start}} {
		if got := e.Observe(o); got != Nothing {
			t.Errorf("%+v: change %d", o, got)
		}
	}
}

// Whatever the answers take, whoever lags and whatever old position is repeated, the offset lies inside the bounds: also with one
// answer that is wrong by any amount, where the machine's clock is right or the interval is known, and with drift at the rate that is
// allowed for.
func TestTheOffsetLiesInsideTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		offset, rate, wrong := time.Duration(0), draw("drift", -1000, 1000), -1
		off := rapid.Bool().Draw(t, "off")
		if off {
			offset = draw("offset", -time.Second, time.Second)
		}
		if rapid.Bool().Draw(t, "one is wrong") {
			wrong, rate = rapid.IntRange(0, 39).Draw(t, "wrong answer"), rate/2
		}
		e, now := New(start), start
		fleet := func(at time.Duration) time.Duration { return at + offset + (at-start)/1_000_000*rate }
		for n := range 40 {
			sent := now + draw("pause", -200*ms, 2*time.Second) // others are still out
			made := sent + draw("work", 0, 300*ms)
			received := max(now, made+draw("way back", 0, 400*ms))
			now = received
			o := Observation{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), Sent: sent, Received: received}
			told := fleet(made)
			if n == wrong && (!off || e.Bounds().HasMax) {
				told += draw("wrong by", -time.Hour, time.Hour)
			}
			if rapid.Bool().Draw(t, "primary") {
				o.PrimaryPosition = told.Truncate(ms)
			} else {
				o.Position = (told - draw("lag", 0, 3*time.Second)).Truncate(ms)
			}
			e.Observe(o)
			b, truth := e.Bounds(), fleet(now)-now
			if i := b.At(now); b.HasMin && i.Min > truth || b.HasMax && i.Max < truth {
				t.Fatalf("answer %d: the offset %s lies outside of %+v", n, truth, i)
			}
		}
	})
}

func TestOneWrongAnswerMovesNoBoundWhereTheMachinesClockIsOffAndTheFirstAnswerWasSlow(t *testing.T) {
	p := newPlay(300 * ms)
	p.now += 400 * ms
	p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 400*ms + p.offset, Sent: p.now - 400*ms, Received: p.now})
	p.check(t, "a slow first answer", true)
	p.offset -= 250 * ms
	p.present("b")
	p.offset += 250 * ms
	p.check(t, "one wrong answer", true)
}

func TestABusyHostSettlesTheClock(t *testing.T) {
	for name, before := range map[string]func(p *play){
		"at a start":            func(*play) {},
		"after a contradiction": func(p *play) { p.Inherit(p.now, Interval{-ms, ms}) },
	} {
		p := newPlay(300 * ms)
		before(p)
		for range 10_000 { // 40 queries are out at any time
			p.now += ms
			p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 20*ms + p.offset, Sent: p.now - 40*ms, Received: p.now})
		}
		if b := p.Bounds(); !b.HasMax || b.Contradicted {
			t.Errorf("%s: after 10 s of answers of one host bounded %t, doubted %t", name, b.HasMax, b.Contradicted)
		}
		p.check(t, name, true)
	}
}

func TestAPositionThatIsToldAgainIsOneWitness(t *testing.T) {
	for name, hosts := range map[string][]string{"of one host": {"a", "a", "a"}, "of two hosts that stopped together": {"a", "b", "a"}} {
		for _, known := range []bool{false, true} {
			p := newPlay(0)
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
				t.Errorf("%s, known %t: a primary that stands still sets the clock to %+v", name, known, i)
			}
		}
	}
}

func TestAPositionThatStandsStillMovesNoBoundOfAWideInterval(t *testing.T) {
	p := newPlay(0)
	p.now += 400 * ms
	p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 400*ms, Sent: p.now - 400*ms, Received: p.now})
	p.check(t, "a slow first answer", true)
	old := p.now
	p.now += 100 * ms
	for range 3 {
		p.now += apart + 10*ms
		p.Observe(Observation{Host: "a", PrimaryPosition: old, Sent: p.now - 10*ms, Received: p.now})
		p.check(t, "a position that stands still", true)
	}
}

func TestAnAnswerAllowsForRoundingAndForAClockThatWasReadBefore(t *testing.T) {
	for _, told := range []time.Duration{-5*ms - ms, ms} {
		if i := (Observation{Host: "a", PrimaryPosition: start + told, Sent: start, Received: start}).OffsetInterval(); i.Min > 0 || i.Max < 0 {
			t.Errorf("a present told as %s proves %+v where the clock is right", told, i)
		}
	}
}

func TestAnAnswerThatContradictsItselfBoundsNothingFromAbove(t *testing.T) {
	p := newPlay(0)
	p.present("a")
	p.present("b")
	p.now += apart + 10*ms
	p.offset = time.Second // it told its present before the clock was set, and its report after
	p.Observe(Observation{Host: "a", PrimaryPosition: p.now - 5*ms, Position: p.now + p.offset, Sent: p.now - 10*ms, Received: p.now})
	p.check(t, "contradicted", false)
}

func TestDataIsAsOldAsTheUpperEndMakesItLessTheSlack(t *testing.T) {
	for most, want := range map[time.Duration]time.Duration{10 * ms: -ms, 100 * ms: 55 * ms} {
		e := New(start)
		e.Inherit(start, Interval{-ms, most})
		if got := e.Bounds().AgeOffset(start); got != want {
			t.Errorf("with an upper end of %s a position's age is moved by %s, want %s", most, got, want)
		}
	}
}

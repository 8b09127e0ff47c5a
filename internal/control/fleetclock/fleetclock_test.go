package fleetclock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// answer is one that a primary made in the middle of 10 ms, by a fleet's clock that shows so much more.
func answer(at, offset time.Duration) Observation {
	return Observation{Position: at + 5*ms + offset, Sent: at, Received: at + 10*ms}
}

func answers(at, offset time.Duration, n int) (out []Observation) {
	for i := range n {
		out = append(out, answer(at+time.Duration(i)*ms, offset))
	}
	return out
}

func TestOffset(t *testing.T) {
	const start = 1000 * time.Hour
	spoilt := Observation{Position: 3 * time.Hour, Sent: start, Received: start + 10*ms}
	for name, c := range map[string]struct {
		seen      []Observation
		offset    time.Duration
		confirmed bool
	}{
		"nothing was heard":         {nil, 0, false},
		"the clock is right":        {answers(start, 0, 1), 0, true},
		"one answer that disagrees": {answers(start, time.Hour, 1), 0, false},
		"a clock an hour behind":    {answers(start, time.Hour, 3), time.Hour, true},
		"a clock an hour ahead":     {answers(start, -time.Hour, 3), -time.Hour, true},
		"a clock two seconds ahead": {answers(start, -2*time.Second, 3), -2 * time.Second, true},
		"a clock 0.3 s behind":      {answers(start, 300*ms, 3), 300 * ms, true},
		"a clock 20 ms behind":      {answers(start, 20*ms, 3), 20 * ms, true},
		"two answers that disagree": {answers(start, 300*ms, 2), 0, false},
		"a spoilt answer, then good ones": {append([]Observation{spoilt}, answers(start, time.Hour, 3)...),
			time.Hour, true},
		"spoilt answers that differ":       {[]Observation{spoilt, answer(start, time.Hour), spoilt, answer(start, 2*time.Hour), spoilt}, 0, false},
		"a spoilt answer on a right clock": {[]Observation{spoilt, answer(start, 0)}, 0, true},
		"two spoilt answers change nothing": {append(answers(start, 0, 1), answers(start, -time.Hour, 2)...),
			0, true},
		"nor do single ones between good ones": {[]Observation{answer(start, 0), answer(start, time.Hour), answer(start, 0), answer(start, time.Hour),
			answer(start, 0), answer(start, time.Hour)}, 0, true},
		"three that agree replace a wrong first": {append(answers(start, 0, 1), answers(start, 300*ms, 3)...), 300 * ms, true},
		"no position":                            {[]Observation{{Sent: start, Received: start}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var e Estimate
			for _, o := range c.seen {
				e.Observe(o)
			}
			// The offset lies inside what is believed, which is no wider than an answer took.
			offset, confirmed := e.Offset()
			if confirmed != c.confirmed || !offset.contains(c.offset) || offset.Width() > 10*ms+2*rounding {
				t.Errorf("offset %+v, confirmed %t, want %s, %t", offset, confirmed, c.offset, c.confirmed)
			}
		})
	}
}

// Before a primary has answered no position says that the clock is right; a log that is ahead, or old ones alone, say that it may be wrong.
func TestDoubt(t *testing.T) {
	const now = 1000 * time.Hour
	for name, c := range map[string]struct {
		positions []time.Duration // of hosts a, b, c ... in this order, relative to now
		doubtful  bool
	}{
		"none":                          {nil, false},
		"one":                           {[]time.Duration{-10 * ms}, false},
		"two":                           {[]time.Duration{-10 * ms, -300 * ms}, false},
		"one of two lags":               {[]time.Duration{-10 * ms, -3 * time.Second}, false},
		"an hour old":                   {[]time.Duration{-time.Hour, -time.Hour, -time.Hour}, true},
		"one is ahead":                  {[]time.Duration{3 * time.Second, -10 * ms, -20 * ms}, true},
		"one is ahead after another":    {[]time.Duration{-10 * ms, 3 * time.Second, -20 * ms}, true},
		"a commit that was rounded up":  {[]time.Duration{ms, -20 * ms}, false},
		"nothing is told by one of two": {[]time.Duration{-now, -20 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var e Estimate
			for i, p := range c.positions {
				e.ObserveHost(string(rune('a'+i)), now+p, now)
				e.ObserveHost(string(rune('a'+i)), now+p, now) // the same host again says nothing new
			}
			if _, confirmed := e.Offset(); confirmed || e.Doubtful() != c.doubtful {
				t.Errorf("confirmed %t, doubtful %t", confirmed, e.Doubtful())
			}
		})
	}
}

// Once it is known how the clock stands, a replica's position that is ahead of it bounds it from below; one that can't be does not
// move it alone, and several end what was believed.
func TestReplicasBoundTheClockFromBelow(t *testing.T) {
	const start = 1000 * time.Hour
	var e Estimate
	e.Observe(Observation{Position: start + 200*ms, Sent: start, Received: start + 200*ms})
	if offset, _ := e.Offset(); !offset.contains(0) || offset.Width() < 200*ms {
		t.Fatalf("a slow answer gives %+v", offset)
	}
	for range 2 {
		e.ObserveHost("a", start+time.Second+100*ms, start+time.Second)
	}
	if offset, _ := e.Offset(); offset.Least < 99*ms {
		t.Errorf("two positions 0.1 s ahead leave %+v", offset)
	}
	for i := range agreeing {
		if _, confirmed := e.Offset(); !confirmed {
			t.Errorf("%d positions that can't be end what was believed", i)
		}
		e.ObserveHost("a", start+time.Hour, start+time.Second)
	}
	if _, confirmed := e.Offset(); confirmed || !e.Doubtful() {
		t.Error("what the fleet's logs contradict is still believed")
	}
}

// Whatever the answers take and whoever lags, the offset lies inside what is believed, also with single answers spoilt by more than
// an answer takes.
func TestTheOffsetLiesInsideTheInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		offset, now := draw("offset", -time.Second, time.Second), 1000*time.Hour
		var e Estimate
		good := 0 // primary's answers since the last spoilt one
		frame, epoch := time.Duration(0), -1
		for range 40 {
			sent := now + draw("pause", 0, 20*ms)
			made := sent + draw("work", 0, 300*ms)
			now = made + draw("way back", 0, 20*ms)
			switch _, confirmed := e.Offset(); {
			case confirmed && good > 2 && rapid.Bool().Draw(t, "spoilt"):
				good = 0
				by := draw("spoilt by", 700*ms, time.Hour)
				if rapid.Bool().Draw(t, "back") {
					by = -by
				}
				e.Observe(Observation{made + offset + by, sent, now})
			case rapid.Bool().Draw(t, "primary"):
				good++
				e.Observe(Observation{(made + offset).Truncate(ms), sent, now})
			case rapid.Bool().Draw(t, "report"):
				refreshed := made - draw("report's age", 0, 190*ms)
				e.ObserveReport(Observation{(refreshed + offset).Truncate(ms), sent, now})
			default:
				e.ObserveHost("r", (made + offset - draw("lag", 0, time.Second)).Truncate(ms), now)
			}
			if got, confirmed := e.Offset(); confirmed && !got.contains(offset) {
				t.Fatalf("believes %+v, it is %s", got, offset)
			} else if confirmed && e.Frame()+e.Ages() < offset-AgeSlack {
				t.Fatalf("ages of positions count by %s, it is %s", e.Frame()+e.Ages(), offset)
			} else if confirmed {
				if epoch == e.Epoch() && e.Frame() != frame {
					t.Fatalf("positions are converted by %s, and by %s before", e.Frame(), frame)
				}
				frame, epoch = e.Frame(), e.Epoch()
			}
		}
	})
}

package fleetclock

import "time"

// witness is an independent measurement of the offset: an answer, or an assumption.
type witness struct {
	host           string
	assumed        bool          // an assumption, not an answer; it is used until enough answers agree without it
	sent, received time.Duration // on the local clock
	interval       Interval      // at the time received
}

// minSeparation is the minimum time between two round trips that count as independent. After that time, the
// answer of a primary whose position does not advance contradicts its earlier one.
const minSeparation = 2 * maxPositionAge

// independent reports whether a single fault is unlikely to have made both witnesses wrong, as their round
// trips do not overlap and lie far enough apart. Answers that were delayed and arrived together count as one
// witness.
func independent(a, b witness) bool {
	if a.assumed || b.assumed {
		return a.assumed != b.assumed
	}
	return a.received+minSeparation <= b.sent || b.received+minSeparation <= a.sent
}

// repeatsPosition reports whether two answers contradict each other in the way that a repeated, outdated
// position does: the upper bound of the later one lies below the lower bound of the earlier one. Both may be
// wrong then.
func repeatsPosition(a, b witness) bool {
	if a.assumed || b.assumed {
		return false
	}
	if b.received < a.received {
		a, b = b, a
	}
	return b.interval.Max < a.at(b.received).Min
}

// at returns the interval of the witness at the local time t.
func (w witness) at(t time.Duration) Interval { return w.interval.after(t - w.received) }

func (w witness) lower() bound { return bound{w, -(w.interval.Min + drift(w.received))} }
func (w witness) upper() bound { return bound{w, w.interval.Max - drift(w.received)} }

// common returns the intersection of the intervals of all witnesses at a local time. Its minimum is above its
// maximum if they do not agree.
func common(all []witness, at time.Duration) Interval {
	out := Interval{-unbounded, unbounded}
	for _, w := range all {
		out = out.intersect(w.at(at))
	}
	return out
}

// bound is a lower or an upper bound that a witness proves. Lower bounds are negated, so that the smaller
// value is the tighter one for both.
type bound struct {
	source witness
	value  time.Duration // extrapolated to when the local clock showed 0
}

// boundPair is the tightest pair of bounds in one direction that two independent witnesses prove. The looser
// bound of the pair holds even if one of the witnesses is wrong. There is only one bound until a second
// witness is observed.
type boundPair struct {
	bounds [2]bound
	count  int
}

// add puts a bound into the pair if that makes the pair tighter.
func (s *boundPair) add(b bound) {
	best := *s
	for _, o := range s.bounds[:s.count] {
		if pair := (boundPair{[2]bound{o, b}, 2}); independent(o.source, b.source) && !repeatsPosition(o.source, b.source) && pair.tighter(&best) {
			best = pair
		}
	}
	if best.count == 0 || best.count == 1 && b.value < best.bounds[0].value {
		best = boundPair{[2]bound{b}, 1}
	}
	*s = best
}

// setBoth sets both bounds of the pair to b, which two witnesses have proven, so that no single later answer
// moves it.
func (s *boundPair) setBoth(b bound) {
	b.source = witness{assumed: true}
	*s = boundPair{[2]bound{b, b}, 2}
}

// tighter reports whether s is a tighter pair than another one.
func (s *boundPair) tighter(other *boundPair) bool {
	if other.count < 2 {
		return true
	}
	x, y := s.looser(), other.looser()
	return x < y || x == y && min(s.bounds[0].value, s.bounds[1].value) < min(other.bounds[0].value, other.bounds[1].value)
}

func (s *boundPair) looser() time.Duration { return max(s.bounds[0].value, s.bounds[1].value) }

// bound returns the bound that holds even if one witness is wrong. ok is false if there are not two bounds
// yet.
func (s *boundPair) bound() (value time.Duration, ok bool) {
	if s.count < 2 {
		return 0, false
	}
	return s.looser(), true
}

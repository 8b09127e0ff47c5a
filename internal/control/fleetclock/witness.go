package fleetclock

import "time"

// witness is an answer, or something assumed, that speaks for an interval.
type witness struct {
	host           string
	assumed        bool // no answer: it counts until answers do without it
	sent, received time.Duration
	interval       Interval // as of received
}

// apart is the least time between two round trips that count as independent: by then a primary whose position stands still tells one
// that contradicts the first.
const apart = 2 * presentAge

// independent says that one cause can hardly have made both wrong: their round trips lie apart. Answers that were held and came together
// are one.
func independent(a, b witness) bool {
	if a.assumed || b.assumed {
		return a.assumed != b.assumed
	}
	return a.received+apart <= b.sent || b.received+apart <= a.sent
}

// standStill says that two answers contradict each other as those of a position that is told again do: the later one proves less. Then
// both may be wrong.
func standStill(a, b witness) bool {
	if a.assumed || b.assumed {
		return false
	}
	if b.received < a.received {
		a, b = b, a
	}
	return b.interval.Max < a.at(b.received).Min
}

// at is the witness's interval at a time.
func (w witness) at(t time.Duration) Interval { return w.interval.after(t - w.received) }

func (w witness) least() bound { return bound{w, -(w.interval.Min + drift(w.received))} }
func (w witness) most() bound  { return bound{w, w.interval.Max - drift(w.received)} }

// common is what all witnesses allow at a time; its ends cross where they do not agree.
func common(all []witness, at time.Duration) Interval {
	out := Interval{-unbounded, unbounded}
	for _, w := range all {
		out = out.intersect(w.at(at))
	}
	return out
}

// bound is one that a witness proves. A lower bound is kept as its negative, so that less is tighter for both.
type bound struct {
	by    witness
	value time.Duration // as it would have been when the machine's clock showed 0
}

// side is the tightest pair of bounds in one direction that two independent witnesses prove: the looser one holds also if one of them
// is wrong. There is a single one until a second is told.
type side struct {
	bounds [2]bound
	count  int
}

// add takes a bound in where that makes the pair tighter.
func (s *side) add(b bound) {
	best := *s
	for _, o := range s.bounds[:s.count] {
		if pair := (side{[2]bound{o, b}, 2}); independent(o.by, b.by) && !standStill(o.by, b.by) && pair.tighter(&best) {
			best = pair
		}
	}
	if best.count == 0 || best.count == 1 && b.value < best.bounds[0].value {
		best = side{[2]bound{b}, 1}
	}
	*s = best
}

// twice makes a bound both of the pair: it was proven by two witnesses, and no single answer to come moves it.
func (s *side) twice(b bound) {
	b.by = witness{assumed: true}
	*s = side{[2]bound{b, b}, 2}
}

// tighter says that a pair proves more than what there is.
func (s *side) tighter(than *side) bool {
	if than.count < 2 {
		return true
	}
	x, y := s.looser(), than.looser()
	return x < y || x == y && min(s.bounds[0].value, s.bounds[1].value) < min(than.bounds[0].value, than.bounds[1].value)
}

func (s *side) looser() time.Duration { return max(s.bounds[0].value, s.bounds[1].value) }

// bound is the one that holds even if one witness is wrong; not ok: there are not two yet.
func (s *side) bound() (value time.Duration, ok bool) {
	if s.count < 2 {
		return 0, false
	}
	return s.looser(), true
}

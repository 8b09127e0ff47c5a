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

// at is the witness's interval at a time.
func (w witness) at(t time.Duration) Interval { return w.interval.after(t - w.received) }

func (w witness) least() bound { return bound{w, -(w.interval.Least + drift(w.received))} }
func (w witness) most() bound  { return bound{w, w.interval.Most - drift(w.received)} }

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
type side struct{ bounds []bound }

// add takes a bound in where that makes the pair tighter.
func (s *side) add(b bound) {
	best := s.bounds
	for _, o := range s.bounds {
		if pair := []bound{o, b}; independent(o.by, b.by) && tighter(pair, best) {
			best = pair
		}
	}
	if len(best) == 0 || len(best) == 1 && b.value < best[0].value {
		best = []bound{b}
	}
	s.bounds = best
}

// twice makes a bound both of the pair: it was proven by two witnesses, and no single answer to come moves it.
func (s *side) twice(b bound) {
	b.by = witness{assumed: true}
	s.bounds = []bound{b, b}
}

func tighter(pair, than []bound) bool {
	if len(than) < 2 {
		return true
	}
	x, y := looser(pair), looser(than)
	return x < y || x == y && min(pair[0].value, pair[1].value) < min(than[0].value, than[1].value)
}

func looser(pair []bound) time.Duration { return max(pair[0].value, pair[1].value) }

// bound is the one that holds even if one witness is wrong; not ok: there are not two yet.
func (s *side) bound() (value time.Duration, ok bool) {
	if len(s.bounds) < 2 {
		return 0, false
	}
	return looser(s.bounds), true
}

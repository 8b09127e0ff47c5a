// Package fleetclock estimates the offset of the fleet's clock from the local clock as an interval. It does
// no I/O and does not read a clock.
//
// Replay positions and start times of hosts are readings of the fleet's clock. A process reads its machine's
// wall clock once, when it starts, and that clock may just have been stepped, by a tenth of a second or by an
// hour. The offset is therefore kept as an interval, and each caller uses the end that is safe for it: the
// maximum for the age of data, which is then not underestimated, and the minimum for the latest time at which
// a host can have started.
//
// Only round trips bound the offset:
//
//   - No position is ahead of the fleet's clock when it is read. Every answer of any host is therefore a
//     lower bound, however old the position in it is.
//   - A primary's own position is the fleet's time at which it answered, and it answered after the query was
//     sent. An answer with both role and position is therefore an upper bound too. A position that is stored
//     and repeated (in a load report or in gossip) never is.
//
// A single answer may be wrong. A bound is therefore the looser of the two bounds that independent answers
// prove. If an answer contradicts the interval, the interval is widened to include both until independent
// answers to later queries agree. The local clock, as read at the start, counts as one more witness, for an
// offset of zero, until tighter bounds from answers replace it.
//
// Clocks drift apart, so the bounds widen with time until answers renew them.
package fleetclock

import (
	"math"
	"time"
)

const (
	// rounding is the maximum error of a position in either direction: positions are in milliseconds, those
	// of replicas rounded down and those of commits rounded up.
	rounding = time.Millisecond
	// maxPositionAge is the maximum age of a primary's position in its answer. A host reads its clock once
	// for all work that it does at about the same time.
	maxPositionAge = 5 * time.Millisecond
	// driftDivisor is the inverse of the maximum drift between the clocks of two machines. Time services slew
	// a clock by at most half of that rate.
	driftDivisor = 1000
	// AgeSlack is the part of the protocol's 50 ms of slack on the age of data that covers the uncertainty of
	// the offset. The rest covers the delay of a send.
	AgeSlack = 45 * time.Millisecond
	// unbounded stands for a missing bound.
	unbounded = time.Duration(math.MaxInt64 / 4)
)

// drift returns how far two clocks may drift apart within t.
func drift(t time.Duration) time.Duration { return t / driftDivisor }

// Interval bounds the offset of the fleet's clock from the local clock: the fleet's time minus the local
// time.
type Interval struct{ Min, Max time.Duration }

// Width returns the length of the interval.
func (i Interval) Width() time.Duration { return i.Max - i.Min }

func (i Interval) intersects(o Interval) bool { return i.Min <= o.Max && o.Min <= i.Max }

func (i Interval) intersect(o Interval) Interval {
	return Interval{max(i.Min, o.Min), min(i.Max, o.Max)}
}

func (i Interval) hull(o Interval) Interval {
	return Interval{min(i.Min, o.Min), max(i.Max, o.Max)}
}

// after returns the interval widened by the drift that is possible within t.
func (i Interval) after(t time.Duration) Interval {
	if i.Min > -unbounded {
		i.Min -= drift(t)
	}
	if i.Max < unbounded {
		i.Max += drift(t)
	}
	return i
}

// Observation holds the evidence of one complete answer of a host. All positions of one answer form one
// observation.
type Observation struct {
	Host     string
	Position time.Duration // highest position in the answer, on the fleet's clock, or 0 if there is none
	// PrimaryPosition is the position that a primary stated together with its role in the answer to a query
	// that it executed, or 0 if the answer has none.
	PrimaryPosition time.Duration
	Sent, Received  time.Duration // when the query was sent and the answer was read, on the local clock
}

// OffsetInterval returns the interval that the answer proves for the offset at the time when it was read.
func (o Observation) OffsetInterval() Interval {
	i := Interval{max(o.Position, o.PrimaryPosition) - rounding - o.Received, unbounded}
	if o.PrimaryPosition > 0 {
		i.Max = o.PrimaryPosition + rounding + maxPositionAge - o.Sent + drift(o.Received-o.Sent)
	}
	if i.Max < i.Min { // the answer contradicts itself, so that it gives no upper bound
		i.Max = unbounded
	}
	return i
}

// Change is the effect of an observation on an estimate.
type Change int

// Effects of an observation.
const (
	Nothing      Change = iota
	Narrowed            // a bound moved
	Contradicted        // the answer contradicts the interval, which was widened to include it
	Settled             // answers agree: the interval is known for the first time, or confirmed after a contradiction
	Replaced            // answers agree on an interval that does not overlap the one known before
)

// Estimate is the current estimate of the offset. It is not safe for concurrent use.
type Estimate struct {
	lower         boundPair      // lower bounds, negated
	upper         boundPair      // upper bounds; empty before answers agree for the first time
	contradiction *contradiction // nil while the interval is known and not contradicted
	epoch         int
}

// New returns an estimate that knows only that the local clock shows now.
func New(now time.Duration) *Estimate {
	own := witness{assumed: true, sent: now, received: now}
	e := &Estimate{contradiction: &contradiction{hull: Interval{-unbounded, unbounded}, witnesses: []witness{own}, start: -unbounded}}
	e.addLower(own)
	return e
}

// Inherit sets the interval to the one that the old process on this machine knew, converted to the clock of
// this process.
func (e *Estimate) Inherit(now time.Duration, known Interval) {
	earlier := witness{assumed: true, sent: now, received: now, interval: known}
	e.lower, e.upper, e.contradiction = boundPair{}, boundPair{}, nil
	e.lower.setBoth(earlier.lower())
	e.upper.setBoth(earlier.upper())
}

// Epoch returns how often a known interval has been replaced. Times that were converted in an earlier epoch
// are invalid.
func (e *Estimate) Epoch() int { return e.epoch }

// Observe adds an answer to the estimate.
func (e *Estimate) Observe(o Observation) Change {
	if o.Position <= 0 && o.PrimaryPosition <= 0 || o.Received < o.Sent {
		return Nothing
	}
	w := witness{host: o.Host, sent: o.Sent, received: o.Received, interval: o.OffsetInterval()}
	if e.contradiction != nil {
		return e.settle(w)
	}
	known := e.Bounds().At(w.received)
	if !known.intersects(w.interval) {
		e.contradiction = &contradiction{known: known, hull: known.hull(w.interval), at: w.received, start: w.received}
		return Contradicted
	}
	return e.narrow(w)
}

// narrow adds an answer that agrees with the known interval.
func (e *Estimate) narrow(w witness) Change {
	before := e.Bounds()
	e.addLower(w)
	if w.interval.Max < unbounded {
		e.upper.add(w.upper())
	}
	return e.changeSince(before)
}

func (e *Estimate) addLower(w witness) { e.lower.add(w.lower()) }

func (e *Estimate) changeSince(before Bounds) Change {
	if e.Bounds() == before {
		return Nothing
	}
	return Narrowed
}

// settle adds an answer while the interval is contradicted or not known yet.
func (e *Estimate) settle(w witness) Change {
	change := e.contradiction.widen(w)
	if e.contradiction.unknown() {
		before := e.Bounds()
		e.addLower(w)
		change = e.changeSince(before)
	}
	if agreed := e.contradiction.agreement(w); agreed != nil {
		return e.resolve(agreed)
	}
	return change
}

// resolve ends a contradiction, or the time before the interval is known, with the answers that agree.
func (e *Estimate) resolve(agreed []witness) Change {
	resolved, now := e.contradiction, agreed[len(agreed)-1].received
	e.contradiction = nil
	change := Settled
	switch {
	case resolved.unknown():
		if !agreed[0].assumed { // the local clock is wrong
			e.lower = boundPair{}
		}
	case !resolved.known.after(now - resolved.at).intersects(common(agreed, now)):
		change, e.lower, e.upper = Replaced, boundPair{}, boundPair{}
		e.epoch++
	}
	if agreed[0].assumed { // no later answer may have to rely on the local clock alone
		w := agreed[1]
		e.addLower(w)
		if lower, ok := e.lower.bound(); ok {
			e.lower.setBoth(bound{value: lower})
		}
		e.upper.setBoth(bound{value: max(w.upper().value, agreed[0].upper().value)})
		return change
	}
	for _, w := range agreed {
		e.addLower(w)
		e.upper.add(w.upper())
	}
	return change
}

// Bounds returns the current bounds, which hold until the next change.
func (e *Estimate) Bounds() Bounds {
	if e.contradiction != nil && !e.contradiction.unknown() {
		i := e.contradiction.hull.after(-e.contradiction.at)
		return Bounds{lower: i.Min, upper: i.Max, HasMax: i.Max < unbounded, HasMin: true, Contradicted: true}
	}
	lower, hasLower := e.lower.bound()
	upper, hasUpper := e.upper.bound()
	b := Bounds{lower: -unbounded, upper: unbounded, HasMax: hasUpper, HasMin: hasLower}
	if hasLower {
		b.lower = -lower
	}
	if hasUpper {
		b.upper = upper
	}
	return b
}

// Bounds is an interval that widens with time.
type Bounds struct {
	lower, upper time.Duration // extrapolated to when the local clock showed 0
	HasMax       bool          // there is an upper bound
	HasMin       bool          // there is a lower bound
	Contradicted bool          // an answer contradicts the interval, and later answers have not yet agreed
}

// At returns the interval at the local time now.
func (b Bounds) At(now time.Duration) Interval {
	return Interval{b.lower, b.upper}.after(now)
}

// Predates reports whether the primary's position in o proves that its answer is older than the query by more
// than the given margin. It reports false if the offset is contradicted or not known on both sides.
func (b Bounds) Predates(o Observation, margin time.Duration) bool {
	return b.HasMin && b.HasMax && !b.Contradicted && o.PrimaryPosition > 0 && o.OffsetInterval().Max+margin < b.At(o.Received).Min
}

// Width returns the length of the interval without the drift since the last change.
func (b Bounds) Width() time.Duration { return b.upper - b.lower }

// AgeOffset returns the correction to add to the age of a position that was computed with the local clock. No
// data is then older than its computed age by more than AgeSlack. The result is meaningful only if there is
// an upper bound.
func (b Bounds) AgeOffset(now time.Duration) time.Duration {
	i := b.At(now)
	return max(i.Min, i.Max-AgeSlack)
}

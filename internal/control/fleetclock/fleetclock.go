// Package fleetclock bounds how far this machine's clock is off the fleet's. It does no I/O and has no clock.
//
// Positions of logs and starts of hosts are readings of the fleet's clock. A process reads its machine's wall clock once, when it
// starts, and that may just have been stepped, by a tenth of a second or by an hour. So the offset is an interval, and each use takes
// the end that is safe for it: data is at least as old as Most makes it, a host has started at the latest when Least says.
//
// Only round trips prove:
//
//   - No position is ahead of the fleet's clock when it is read: each answer of any host bounds the offset from below, however old the
//     position in it is.
//   - A primary's own position is the fleet's time while it made its answer, after the query was sent: an answer that holds role and
//     position bounds the offset from above too. A position that is kept and repeated (a load report, gossip) never does.
//
// Single answers may be wrong. A bound is therefore the looser of two that independent answers prove, and what contradicts the interval
// puts it in doubt: until independent answers to later queries agree, both ends are the safe ones of what was known and what
// contradicts it. The machine's own clock, as it was read at the start, counts as one more witness, for an offset of nothing, until tighter
// bounds of answers take its place.
//
// Clocks drift apart: bounds widen with time until answers renew them.
package fleetclock

import (
	"math"
	"time"
)

const (
	// rounding is by how much a position may be off in either direction: replicas' are rounded down, commits up, to milliseconds.
	rounding = time.Millisecond
	// presentAge is by how much a primary's position may be older than its answer: a host reads its clock once for all that it does
	// in a moment.
	presentAge = 5 * time.Millisecond
	// driftPart bounds the drift of two machines' clocks: one part in so many. Time services slew by half of it at most.
	driftPart = 1000
	// AgeSlack is the part of the protocol's 50 ms of slack that data may be older than its position tells because it is not known
	// exactly how this clock stands. The rest is left for the way of a send.
	AgeSlack = 45 * time.Millisecond
	// unbounded is an end of which nothing is known.
	unbounded = time.Duration(math.MaxInt64 / 4)
)

// drift is by how much clocks may have drifted apart in so long.
func drift(t time.Duration) time.Duration { return t / driftPart }

// Interval is what the fleet's clock shows more than this machine's: at least Least and at most Most.
type Interval struct{ Min, Max time.Duration }

// Width is how much is not known.
func (i Interval) Width() time.Duration { return i.Max - i.Min }

func (i Interval) intersects(o Interval) bool { return i.Min <= o.Max && o.Min <= i.Max }

func (i Interval) intersect(o Interval) Interval {
	return Interval{max(i.Min, o.Min), min(i.Max, o.Max)}
}

func (i Interval) hull(o Interval) Interval {
	return Interval{min(i.Min, o.Min), max(i.Max, o.Max)}
}

// after is the interval as it is so much later.
func (i Interval) after(t time.Duration) Interval {
	if i.Min > -unbounded {
		i.Min -= drift(t)
	}
	if i.Max < unbounded {
		i.Max += drift(t)
	}
	return i
}

// Observation is what one whole answer of a host tells. All that it holds is one observation.
type Observation struct {
	Host     string
	Position time.Duration // the highest in the answer, by the fleet's clock; 0: there is none
	// PrimaryPosition is the position that the host told beside its role as the primary, in the answer of a query that it ran; 0: it did not.
	PrimaryPosition time.Duration
	Sent, Received  time.Duration // the query's sending and the answer's reading, by this machine's clock
}

// OffsetInterval is what the answer proves of the offset, as of its reading.
func (o Observation) OffsetInterval() Interval {
	i := Interval{max(o.Position, o.PrimaryPosition) - rounding - o.Received, unbounded}
	if o.PrimaryPosition > 0 {
		i.Max = o.PrimaryPosition + rounding + presentAge - o.Sent + drift(o.Received-o.Sent)
	}
	if i.Max < i.Min { // it contradicts itself: its present is no bound
		i.Max = unbounded
	}
	return i
}

// Change says what an observation did to an estimate.
type Change int

// Changes of an estimate.
const (
	Nothing      Change = iota
	Narrowed            // a bound moved
	Contradicted        // the answer contradicts what is known, or the contradiction before it: both ends are the safe ones
	Settled             // answers agree: the interval is known for the first time, or as it was before a contradiction
	Replaced            // answers agree on another interval than the one known before
)

// Estimate is what is known of the offset. It is not safe for concurrent use.
type Estimate struct {
	least side // lower bounds, as negative values
	most  side // upper bounds; none before the first agreement
	doubt *doubt
	epoch int
}

// New makes an estimate for a machine's clock that shows a time now. Nothing but that is known yet.
func New(now time.Duration) *Estimate {
	own := witness{assumed: true, sent: now, received: now}
	e := &Estimate{doubt: &doubt{hull: Interval{-unbounded, unbounded}, fresh: []witness{own}, began: -unbounded}}
	e.addLeast(own)
	return e
}

// Inherit takes the interval that an earlier process on this machine knew, in terms of this process's clock.
func (e *Estimate) Inherit(now time.Duration, known Interval) {
	earlier := witness{assumed: true, sent: now, received: now, interval: known}
	e.least, e.most, e.doubt = side{}, side{}, nil
	e.least.twice(earlier.least())
	e.most.twice(earlier.most())
}

// Epoch counts how often an interval that was known has been replaced: what was dated by it does not hold any more.
func (e *Estimate) Epoch() int { return e.epoch }

// Observe takes an answer.
func (e *Estimate) Observe(o Observation) Change {
	if o.Position <= 0 && o.PrimaryPosition <= 0 || o.Received < o.Sent {
		return Nothing
	}
	w := witness{host: o.Host, sent: o.Sent, received: o.Received, interval: o.OffsetInterval()}
	if e.doubt != nil {
		return e.settle(w)
	}
	known := e.Bounds().At(w.received)
	if !known.intersects(w.interval) {
		e.doubt = &doubt{known: known, hull: known.hull(w.interval), at: w.received, began: w.received}
		return Contradicted
	}
	return e.narrow(w)
}

// narrow takes an answer that agrees with what is known.
func (e *Estimate) narrow(w witness) Change {
	before := e.Bounds()
	e.addLeast(w)
	if w.interval.Max < unbounded {
		e.most.add(w.most())
	}
	return e.since(before)
}

func (e *Estimate) addLeast(w witness) { e.least.add(w.least()) }

func (e *Estimate) since(before Bounds) Change {
	if e.Bounds() == before {
		return Nothing
	}
	return Narrowed
}

// settle takes an answer while the interval is in doubt, or not known yet.
func (e *Estimate) settle(w witness) Change {
	change := e.doubt.widen(w)
	if e.doubt.unknown() {
		before := e.Bounds()
		e.addLeast(w)
		change = e.since(before)
	}
	if agreed := e.doubt.agreed(w); agreed != nil {
		return e.conclude(agreed)
	}
	return change
}

// conclude ends a doubt with the answers that agree.
func (e *Estimate) conclude(agreed []witness) Change {
	ended, now := e.doubt, agreed[len(agreed)-1].received
	e.doubt = nil
	change := Settled
	switch {
	case ended.unknown():
		if !agreed[0].assumed { // the machine's clock is off
			e.least = side{}
		}
	case !ended.known.after(now - ended.at).intersects(common(agreed, now)):
		change, e.least, e.most = Replaced, side{}, side{}
		e.epoch++
	}
	if agreed[0].assumed { // the machine's clock need not be right for later answers
		w := agreed[1]
		e.addLeast(w)
		if least, ok := e.least.bound(); ok {
			e.least.twice(bound{value: least})
		}
		e.most.twice(bound{value: max(w.most().value, agreed[0].most().value)})
		return change
	}
	for _, w := range agreed {
		e.addLeast(w)
		e.most.add(w.most())
	}
	return change
}

// Bounds are what is known, until the next change.
func (e *Estimate) Bounds() Bounds {
	if e.doubt != nil && !e.doubt.unknown() {
		i := e.doubt.hull.after(-e.doubt.at)
		return Bounds{least: i.Min, most: i.Max, HasMax: i.Max < unbounded, HasMin: true, Contradicted: true}
	}
	least, told := e.least.bound()
	most, bounded := e.most.bound()
	b := Bounds{least: -unbounded, most: unbounded, HasMax: bounded, HasMin: told}
	if told {
		b.least = -least
	}
	if bounded {
		b.most = most
	}
	return b
}

// Bounds are an interval that widens with time.
type Bounds struct {
	least, most  time.Duration // as they would have been when the machine's clock showed 0
	HasMax       bool          // there is an upper end
	HasMin       bool          // there is a lower end
	Contradicted bool          // an answer contradicts what was known, and it is not settled which is right
}

// At is the interval when this machine's clock shows a time.
func (b Bounds) At(now time.Duration) Interval {
	return Interval{b.least, b.most}.after(now)
}

// Predates says that a primary's position shows, as the clock is known and not doubted, that its answer was made before the query was
// sent by more than so much.
func (b Bounds) Predates(o Observation, by time.Duration) bool {
	return b.HasMin && b.HasMax && !b.Contradicted && o.PrimaryPosition > 0 && o.OffsetInterval().Max+by < b.At(o.Received).Min
}

// Width is how much is not known, as of the last change.
func (b Bounds) Width() time.Duration { return b.most - b.least }

// AgeOffset is what has to be added to the age of a position as this machine's clock makes it: no data is then older than it seems by more
// than AgeSlack. It is of use only where there is an upper end.
func (b Bounds) AgeOffset(now time.Duration) time.Duration {
	i := b.At(now)
	return max(i.Min, i.Max-AgeSlack)
}

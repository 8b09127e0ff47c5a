// Package fleetclock learns how far this machine's clock is off the fleet's. It does no I/O and has no clock.
//
// Positions of logs and starts of hosts are readings of the fleet's clock. A process reads its machine's wall clock once, when it
// starts, and that may just have been stepped, by a tenth of a second or by an hour. What hosts tell bounds the difference, and only
// bounds it, so an estimate is an interval and each use takes the end that is safe for it: data is at least as old as Most makes it,
// a host has started at the latest when Least says.
//
//   - No position is ahead of the fleet's clock: each answer of any host bounds the offset from below.
//   - A primary's position is the fleet's time while it made its answer, which was after the query was sent: each answer of a primary
//     bounds the offset from above as well. A primary's load report was made before the query, but not longer ago than reports are
//     kept; so it does too, less tightly, and is to be had at once.
//
// A single answer may be spoilt. An interval is believed from the first primary's answer or report on that allows for a clock that is right;
// one that does not has to be told by several answers in a row that agree with each other. The same number of answers in a row that
// contradict what is believed replace it.
package fleetclock

import (
	"math"
	"slices"
	"time"
)

const (
	// rounding is by how much a position may be off in either direction: replicas' are rounded down, commits up, to milliseconds.
	rounding = time.Millisecond
	// ahead is how far a position may lie ahead of a clock that is taken for right.
	ahead = 50 * time.Millisecond
	// current is how old a host's log may be that stands at about the present of a clock that is right.
	current = 500 * time.Millisecond
	// agreeing is how many answers in a row have to contradict what is believed, and agree with each other, to replace it.
	agreeing = 3
	// AgeSlack is the part of the protocol's 50 ms of slack that data may be older than its position tells because it is not known
	// exactly how this clock stands. The rest is left for the way of a send.
	AgeSlack = 45 * time.Millisecond
	// ReportAge is how old a load report may be that a host answers with: the operators' page says that they are refreshed every 59
	// to 190 ms. Where that does not hold primaries' answers contradict what it led to.
	ReportAge = 200 * time.Millisecond
	// unbounded is the upper end as long as no primary has answered.
	unbounded = time.Duration(math.MaxInt64)
)

// Interval is what the fleet's clock shows more than this machine's: at least Least and at most Most.
type Interval struct{ Least, Most time.Duration }

// Width is how much is not known.
func (i Interval) Width() time.Duration { return i.Most - i.Least }

func (i Interval) intersects(o Interval) bool { return i.Least <= o.Most && o.Least <= i.Most }

func (i Interval) intersect(o Interval) Interval {
	return Interval{max(i.Least, o.Least), min(i.Most, o.Most)}
}

func (i Interval) contains(offset time.Duration) bool { return i.Least <= offset && offset <= i.Most }

// Observation is what one answer or report of a primary tells.
type Observation struct {
	Position       time.Duration // of its log, by the fleet's clock
	Sent, Received time.Duration // the query and the answer, by this machine's clock
}

// Estimate is what is known of the fleet's clock. Its zero value knows nothing. It is not safe for concurrent use.
type Estimate struct {
	known    bool // believed counts
	frame    time.Duration
	believed Interval // Least is told by two answers at least, or is the only one there is
	highest  time.Duration

	dissent    Interval // that the last answers agree on, against what is believed
	dissenters int

	epoch  int      // counts how often what was believed has been given up
	denied int      // counts answers that contradicted what was believed
	behind bool     // a position was ahead of this clock
	hosts  []string // whose logs stand about at this clock's present
	old    bool     // a host's log lies well before it
}

// Offset is what the fleet's clock shows more than this machine's, as far as answers have told; confirmed: they have.
func (e *Estimate) Offset() (offset Interval, confirmed bool) {
	if !e.known {
		return Interval{}, false
	}
	return e.believed, true
}

// Observe takes an answer of a primary. changed says that the offset is now another, or confirmed.
func (e *Estimate) Observe(o Observation) (changed bool) {
	if o.Position <= 0 || o.Received < o.Sent {
		return false
	}
	return e.take(Interval{o.Position - rounding - o.Received, o.Position + rounding - o.Sent})
}

// ObserveReport takes a primary's load report. changed says that the offset is now another, or confirmed.
func (e *Estimate) ObserveReport(o Observation) (changed bool) {
	if o.Position <= 0 || o.Received < o.Sent {
		return false
	}
	return e.take(Interval{o.Position - rounding - o.Received, o.Position + rounding + ReportAge - o.Sent})
}

// ObserveHost takes a position that any host told, in an answer received at a time. changed says that the offset is now another.
func (e *Estimate) ObserveHost(host string, position, received time.Duration) (changed bool) {
	if position <= 0 {
		return false
	}
	if e.known {
		return e.take(Interval{position - rounding - received, unbounded})
	}
	switch {
	case position > received+ahead:
		e.behind = true
	case received-position > current:
		e.old = true
	case !slices.Contains(e.hosts, host):
		e.hosts = append(e.hosts, host)
	}
	return false
}

// take narrows what is believed, or counts an answer that contradicts it.
func (e *Estimate) take(seen Interval) (changed bool) {
	if !e.known {
		if seen.Most == unbounded || !seen.contains(0) {
			return e.disagree(seen)
		}
		e.believe(seen)
		return true
	}
	if !e.believed.intersects(seen) {
		e.denied++
		return e.disagree(seen)
	}
	if seen.Most != unbounded {
		e.dissenters = 0
	}
	before := e.believed
	e.believed.Most = min(e.believed.Most, seen.Most)
	e.raise(seen.Least)
	return e.believed != before
}

// raise takes a lower bound. The highest of all counts only once another answer has come as far: it may be spoilt.
func (e *Estimate) raise(least time.Duration) {
	if least > e.highest {
		e.believed.Least, e.highest = max(e.believed.Least, min(e.highest, e.believed.Most)), least
		return
	}
	e.believed.Least = max(e.believed.Least, least)
}

// disagree counts an answer that contradicts what is believed, or a clock that is right. Enough of them in a row that agree with
// each other replace it.
func (e *Estimate) disagree(seen Interval) (changed bool) {
	if e.dissenters == 0 || !e.dissent.intersects(seen) {
		e.dissent, e.dissenters = seen, 0
	}
	e.dissent = e.dissent.intersect(seen)
	if e.dissenters++; e.dissenters < agreeing {
		return false
	}
	if e.dissent.Most == unbounded { // replicas alone: that what was believed is wrong is all that is known
		was := e.known
		*e = Estimate{behind: true, epoch: e.epoch + 1, denied: e.denied} // what was converted before does not count any more
		return was
	}
	if e.known {
		e.epoch++
	}
	e.believe(e.dissent)
	return true
}

func (e *Estimate) believe(i Interval) {
	e.known, e.believed, e.highest, e.dissenters, e.frame = true, i, i.Least, 0, i.ages()
}

// ages is an offset by which no data is older than it seems by more than AgeSlack.
func (i Interval) ages() time.Duration { return max(i.Least, i.Most-AgeSlack) }

// Frame is the offset by which positions are converted, of logs as of what a session's read must see. It stays as long as Epoch does,
// so that they compare exactly whenever they were converted. Ages is by how much more they have to be taken for older, for now.
func (e *Estimate) Frame() time.Duration { return e.frame }

// Ages is what has to be added to the age of a position that was converted by Frame: no data is then older than it seems by more than
// AgeSlack. It may be below 0.
func (e *Estimate) Ages() time.Duration {
	if !e.known {
		return 0
	}
	return e.believed.ages() - e.frame
}

// Doubtful says that it is not known how the clock stands, and that what was told speaks against its being right.
func (e *Estimate) Doubtful() bool { return !e.known && (e.behind || e.old && len(e.hosts) == 0) }

// Epoch changes whenever what was believed turns out wrong: times that were converted before do not compare with later ones.
func (e *Estimate) Epoch() int { return e.epoch }

// Contradictions counts the answers that contradicted what was believed.
func (e *Estimate) Contradictions() int { return e.denied }

// Inherit takes what an earlier process on this machine knew, in terms of this process's clock: the offset, and the frame of the
// positions that come with it.
func (e *Estimate) Inherit(offset Interval, frame time.Duration) {
	e.believe(offset)
	e.frame = frame
}

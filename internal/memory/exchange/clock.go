package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"yokemast/internal/control/fleetclock"
)

// Clock is the gateway's one clock: wall time read once, monotonic from there. Its readings are Unix time by this machine's wall
// clock, which may have been stepped; what hosts and discovery tell is by the fleet's, and is converted where it comes in.
type Clock struct {
	start time.Time
	hold  func() // called between each reading and its use; nil in service
	fleet *fleetTime
}

// fleetTime is what the process has learnt of the fleet's clock. It is safe for concurrent use.
type fleetTime struct {
	mu       sync.Mutex
	estimate fleetclock.Estimate

	now atomic.Pointer[fleetNow]
}

// fleetNow is what is known at a moment.
type fleetNow struct {
	offset              fleetclock.Interval
	frame, ages         time.Duration
	confirmed, doubtful bool
	epoch, doubts       int
}

// NewClock reads the wall.
func NewClock() Clock {
	c := Clock{start: time.Now(), fleet: &fleetTime{}}
	c.fleet.publish()
	return c
}

// Held gives the same clock, whose readings reach their caller only when hold returns. Tests use it to stop a goroutine between
// reading the clock and acting on what it read.
func (c Clock) Held(hold func()) Clock {
	c.hold = hold
	return c
}

// Now is the time since the start of 1970.
func (c Clock) Now() time.Duration {
	now := time.Duration(c.start.UnixNano()) + time.Since(c.start)
	if c.hold != nil {
		c.hold()
	}
	return now
}

// Confirmed says that it is known how this clock stands to the fleet's, within Offset.
func (c Clock) Confirmed() bool { return c.fleet.now.Load().confirmed }

// Doubtful says that it is not known how this clock stands, and that what was told speaks against its being right.
func (c Clock) Doubtful() bool { return c.fleet.now.Load().doubtful }

// Epoch changes whenever what was known of the fleet's clock turns out wrong: positions converted before do not compare with later ones.
func (c Clock) Epoch() int { return c.fleet.now.Load().epoch }

// Doubts counts the answers that contradicted what was believed of the fleet's clock.
func (c Clock) Doubts() int { return c.fleet.now.Load().doubts }

// Offset is what the fleet's clock shows more than this one; nothing as long as that is not known.
func (c Clock) Offset() fleetclock.Interval { return c.fleet.now.Load().offset }

// Frame is the offset by which positions are converted, the same for all of an Epoch.
func (c Clock) Frame() time.Duration { return c.fleet.now.Load().frame }

// Ages is what has to be added to the ages of positions, as fleetclock.Estimate has it.
func (c Clock) Ages() time.Duration { return c.fleet.now.Load().ages }

// Position converts a position of a log, or one that a read must see, to this clock; 0, which stands for none, stays so.
func (c Clock) Position(t time.Duration) time.Duration { return minus(t, c.Frame()) }

// Earliest converts a time of the fleet's clock to the earliest that it may be by this one; 0, which stands for none, stays so.
func (c Clock) Earliest(t time.Duration) time.Duration { return minus(t, c.Offset().Most) }

// Latest converts a time of the fleet's clock to the latest that it may be by this one; 0, which stands for none, stays so.
func (c Clock) Latest(t time.Duration) time.Duration { return minus(t, c.Offset().Least) }

func minus(t, offset time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return t - offset
}

// FleetAtMost is the latest time that the fleet's clock may show now.
func (c Clock) FleetAtMost() time.Duration { return c.Now() + c.Offset().Most }

// FleetOfLatest takes Latest back.
func (c Clock) FleetOfLatest(t time.Duration) time.Duration { return minus(t, -c.Offset().Least) }

// Observe learns from an answer of a primary.
func (c Clock) Observe(o fleetclock.Observation) {
	c.fleet.update(func(e *fleetclock.Estimate) bool { return e.Observe(o) })
}

// ObserveReport learns from a load report of a primary.
func (c Clock) ObserveReport(o fleetclock.Observation) {
	c.fleet.update(func(e *fleetclock.Estimate) bool { return e.ObserveReport(o) })
}

// ObserveHost learns from a position that any host told in an answer that was received at a time.
func (c Clock) ObserveHost(host string, position, received time.Duration) {
	c.fleet.update(func(e *fleetclock.Estimate) bool { return e.ObserveHost(host, position, received) })
}

// Inherit takes the offset that an earlier process on this machine knew, in terms of this clock.
func (c Clock) Inherit(offset fleetclock.Interval, frame time.Duration) {
	c.fleet.update(func(e *fleetclock.Estimate) bool { e.Inherit(offset, frame); return true })
}

// update changes the estimate and makes it visible.
func (f *fleetTime) update(change func(*fleetclock.Estimate) (changed bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	doubtful, doubts := f.estimate.Doubtful(), f.estimate.Contradictions()
	if change(&f.estimate) || f.estimate.Doubtful() != doubtful || f.estimate.Contradictions() != doubts {
		f.publish()
	}
}

func (f *fleetTime) publish() {
	offset, confirmed := f.estimate.Offset()
	f.now.Store(&fleetNow{offset, f.estimate.Frame(), f.estimate.Ages(), confirmed, f.estimate.Doubtful(), f.estimate.Epoch(), f.estimate.Contradictions()})
}

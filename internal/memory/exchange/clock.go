package exchange

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/counters"
)

// Clock is the only clock of the gateway. It reads the wall clock once and is monotonic from there. Its
// readings are Unix time by this machine's wall clock, which may have been stepped. Positions are readings of
// the fleet's clock and are never converted; Bounds relates the two clocks.
type Clock struct {
	start    time.Time
	readHook func() // called between reading the clock and returning; nil in production
	fleet    *fleetTime
}

// fleetTime holds the estimate of the fleet's clock. It is safe for concurrent use.
type fleetTime struct {
	mu             sync.Mutex
	estimate       *fleetclock.Estimate
	contradictions int         // answers that contradicted the estimate
	log            *zap.Logger // logs contradictions unless nil
	counts         *counters.Set

	now atomic.Pointer[fleetNow]
}

// fleetNow is a snapshot of fleetTime.
type fleetNow struct {
	bounds                fleetclock.Bounds
	epoch, contradictions int
}

// unreachedPosition is later than any position that a log can reach.
const unreachedPosition = time.Duration(math.MaxInt64 / 2)

// NewClock returns a Clock that starts from the current wall time.
func NewClock() Clock {
	c := Clock{start: time.Now(), fleet: &fleetTime{}}
	c.fleet.estimate = fleetclock.New(c.Now())
	c.fleet.publish()
	return c
}

// WithContradictionLog returns the same clock, which now logs and counts hosts' answers that contradict the
// estimate of the fleet's clock.
func (c Clock) WithContradictionLog(log *zap.Logger, counts *counters.Set) Clock {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.log, c.fleet.counts = log, counts
	c.fleet.publish()
	return c
}

// WithReadHook returns a copy of the clock that calls hold between reading the clock and returning the reading.
// Tests use it to stop a goroutine between reading the clock and acting on the reading.
func (c Clock) WithReadHook(hold func()) Clock {
	c.readHook = hold
	return c
}

// Now returns the time since the start of 1970.
func (c Clock) Now() time.Duration {
	now := time.Duration(c.start.UnixNano()) + time.Since(c.start)
	if c.readHook != nil {
		c.readHook()
	}
	return now
}

// Bounds returns the known bounds of the fleet's clock relative to this one.
func (c Clock) Bounds() fleetclock.Bounds { return c.fleet.now.Load().bounds }

// Offset returns the current interval of the fleet's clock minus this one.
func (c Clock) Offset() fleetclock.Interval { return c.Bounds().At(c.Now()) }

// ForModule returns Bounds as passed to the decision module. They are rounded up to milliseconds, so that the
// module need not be notified of each small change.
func (c Clock) ForModule() balance.ClockBounds {
	now, b := c.Now(), c.Bounds()
	if !b.HasMax {
		return balance.ClockBounds{}
	}
	return balance.ClockBounds{Known: true, AgeOffset: ceilToMillis(b.AgeOffset(now)), MaxOffset: ceilToMillis(b.At(now).Max)}
}

// ceilToMillis rounds up to a multiple of a millisecond.
func ceilToMillis(t time.Duration) time.Duration {
	whole := t.Truncate(time.Millisecond)
	if whole < t {
		whole += time.Millisecond
	}
	return whole
}

// Epoch returns a number that changes whenever the estimate of the fleet's clock proved wrong. Times that were
// dated in another epoch are no longer valid.
func (c Clock) Epoch() int { return c.fleet.now.Load().epoch }

// Contradictions returns the number of answers that contradicted the estimate of the fleet's clock.
func (c Clock) Contradictions() int { return c.fleet.now.Load().contradictions }

// Earliest returns the earliest time by this clock at which the fleet's clock showed a position. It returns
// false if there is no such bound.
func (c Clock) Earliest(position time.Duration) (t time.Duration, ok bool) {
	b := c.Bounds()
	if !b.HasMax || position <= 0 {
		return 0, false
	}
	return position - b.At(c.Now()).Max, true
}

// MaxFleetTime returns the latest time that the fleet's clock may show now, or a time later than any position if
// it has no upper bound.
func (c Clock) MaxFleetTime() time.Duration { return c.maxFleetTime(c.Now()) }

// maxFleetTime returns the latest time that the fleet's clock may have shown at time t of this clock.
func (c Clock) maxFleetTime(t time.Duration) time.Duration {
	b := c.Bounds()
	if !b.HasMax {
		return unreachedPosition
	}
	return t + b.At(c.Now()).Max
}

// Observe updates the estimate of the fleet's clock from a host's answer.
func (c Clock) Observe(o fleetclock.Observation) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.estimate.Bounds()
	change := f.estimate.Observe(o)
	if change == fleetclock.Nothing {
		return
	}
	if change == fleetclock.Contradicted {
		f.contradictions++
	}
	f.publish()
	if f.log != nil && (change == fleetclock.Contradicted || change == fleetclock.Replaced) {
		c.report(change, o, before)
	}
}

// Inherit sets the offset of the fleet's clock that an earlier process on this machine knew at the given time.
// Both are in terms of this clock.
func (c Clock) Inherit(at time.Duration, offset fleetclock.Interval) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.estimate.Inherit(at, offset)
	c.fleet.publish()
}

// report logs and counts an answer that contradicts the estimate or caused it to be replaced.
func (c Clock) report(change fleetclock.Change, o fleetclock.Observation, before fleetclock.Bounds) {
	what, count := "answer contradicts the fleet's clock", &c.fleet.counts.ClockContradicted
	if change == fleetclock.Replaced {
		what, count = "fleet's clock replaced", &c.fleet.counts.ClockReplaced
	}
	count.Add(1)
	proves := o.OffsetInterval()
	fields := []zap.Field{zap.String("host", o.Host), zap.Bool("primary", o.PrimaryPosition > 0), zap.Duration("answer_least", proves.Min)}
	if o.PrimaryPosition > 0 {
		fields = append(fields, zap.Duration("answer_most", proves.Max))
	}
	fields = append(fields, clockFields("before_", before, o.Received)...)
	fields = append(fields, clockFields("now_", c.Bounds(), o.Received)...)
	c.fleet.log.Warn(what, fields...)
}

// clockFields returns log fields with the known ends of the offset's interval.
func clockFields(prefix string, b fleetclock.Bounds, now time.Duration) (fields []zap.Field) {
	offset := b.At(now)
	if b.HasMin {
		fields = append(fields, zap.Duration(prefix+"least", offset.Min))
	}
	if b.HasMax {
		fields = append(fields, zap.Duration(prefix+"most", offset.Max))
	}
	return fields
}

// publish makes the current estimate visible to readers. The caller holds mu.
func (f *fleetTime) publish() {
	b := f.estimate.Bounds()
	f.now.Store(&fleetNow{b, f.estimate.Epoch(), f.contradictions})
	if f.counts == nil {
		return
	}
	width := int64(-1)
	if b.HasMin && b.HasMax {
		width = b.Width().Microseconds()
	}
	f.counts.ClockWidth.Set(width)
}

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

// Clock is the gateway's one clock: wall time read once, monotonic from there. Its readings are Unix time by this machine's wall
// clock, which may have been stepped. Positions are readings of the fleet's clock and stay so everywhere; Bounds says how the two stand.
type Clock struct {
	start time.Time
	hold  func() // called between each reading and its use; nil in service
	fleet *fleetTime
}

// fleetTime is what the process has learnt of the fleet's clock. It is safe for concurrent use.
type fleetTime struct {
	mu       sync.Mutex
	estimate *fleetclock.Estimate
	doubts   int         // answers that contradicted what was known
	log      *zap.Logger // nil: nobody is told of contradictions
	counts   *counters.Set

	now atomic.Pointer[fleetNow]
}

// fleetNow is what is known at a moment.
type fleetNow struct {
	bounds        fleetclock.Bounds
	epoch, doubts int
}

// farAhead is a position that no log has reached.
const farAhead = time.Duration(math.MaxInt64 / 2)

// NewClock reads the wall.
func NewClock() Clock {
	c := Clock{start: time.Now(), fleet: &fleetTime{}}
	c.fleet.estimate = fleetclock.New(c.Now())
	c.fleet.publish()
	return c
}

// WithContradictionLog gives the same clock, which logs and counts what hosts' answers contradict of what is known.
func (c Clock) WithContradictionLog(log *zap.Logger, counts *counters.Set) Clock {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.log, c.fleet.counts = log, counts
	c.fleet.publish()
	return c
}

// WithReadHook gives the same clock, whose readings reach their caller only when hold returns. Tests use it to stop a goroutine between
// reading the clock and acting on what it read.
func (c Clock) WithReadHook(hold func()) Clock {
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

// Bounds say how this clock stands to the fleet's.
func (c Clock) Bounds() fleetclock.Bounds { return c.fleet.now.Load().bounds }

// Offset is what the fleet's clock shows more than this one, now.
func (c Clock) Offset() fleetclock.Interval { return c.Bounds().At(c.Now()) }

// ForModule is what the decision module is told of Bounds: by at most a millisecond less than is known, so that it need not be told of
// each little change.
func (c Clock) ForModule() balance.ClockBounds {
	now, b := c.Now(), c.Bounds()
	if !b.HasMax {
		return balance.ClockBounds{}
	}
	return balance.ClockBounds{Known: true, AgeOffset: up(b.AgeOffset(now)), MaxOffset: up(b.At(now).Max)}
}

// up rounds up to milliseconds.
func up(t time.Duration) time.Duration {
	whole := t.Truncate(time.Millisecond)
	if whole < t {
		whole += time.Millisecond
	}
	return whole
}

// Epoch changes whenever what was known of the fleet's clock turns out wrong: what was dated by it does not hold any more.
func (c Clock) Epoch() int { return c.fleet.now.Load().epoch }

// Doubts counts the answers that contradicted what was known of the fleet's clock.
func (c Clock) Doubts() int { return c.fleet.now.Load().doubts }

// Earliest is the earliest time by this clock at which the fleet's showed a position; not ok: there is no bound.
func (c Clock) Earliest(position time.Duration) (t time.Duration, ok bool) {
	b := c.Bounds()
	if !b.HasMax || position <= 0 {
		return 0, false
	}
	return position - b.At(c.Now()).Max, true
}

// MaxFleetTime is the latest time that the fleet's clock may show now; where nothing bounds it, one that no log has reached.
func (c Clock) MaxFleetTime() time.Duration { return c.fleetAtMost(c.Now()) }

func (c Clock) fleetAtMost(t time.Duration) time.Duration {
	b := c.Bounds()
	if !b.HasMax {
		return farAhead
	}
	return t + b.At(c.Now()).Max
}

// Observe learns from a host's answer.
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
		f.doubts++
	}
	f.publish()
	if f.log != nil && (change == fleetclock.Contradicted || change == fleetclock.Replaced) {
		c.report(change, o, before)
	}
}

// Inherit takes what an earlier process on this machine knew at a time, in terms of this clock.
func (c Clock) Inherit(at time.Duration, offset fleetclock.Interval) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.estimate.Inherit(at, offset)
	c.fleet.publish()
}

// report logs and counts an answer that contradicts what was known, or settles that another interval holds.
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

// clockFields are the ends of an interval that are known.
func clockFields(prefix string, b fleetclock.Bounds, now time.Duration) (fields []zap.Field) {
	i := b.At(now)
	if b.HasMin {
		fields = append(fields, zap.Duration(prefix+"least", i.Min))
	}
	if b.HasMax {
		fields = append(fields, zap.Duration(prefix+"most", i.Max))
	}
	return fields
}

func (f *fleetTime) publish() {
	b := f.estimate.Bounds()
	f.now.Store(&fleetNow{b, f.estimate.Epoch(), f.doubts})
	if f.counts == nil {
		return
	}
	width := int64(-1)
	if b.HasMin && b.HasMax {
		width = b.Width().Microseconds()
	}
	f.counts.ClockWidth.Set(width)
}

package exchange

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
)

const (
	// maxTracedReads is the number of the newest reads that are kept.
	maxTracedReads = 512
	// traceBefore and traceFor are how long before and after a contradiction of the clock reads are logged.
	traceBefore, traceFor = 2 * time.Second, time.Second
	// tracePause is the time between two lines, as the log keeps at most ten lines of a kind a second.
	tracePause = 150 * time.Millisecond
)

// tracedRead is a read that was sent to a replica because of its position, and served.
type tracedRead struct {
	id     [16]byte // a copy, as the request's id shares memory with its statement, which must not be retained
	server string
	sentAt time.Duration
	age    time.Duration // believed age of the position that it was sent on
}

// trace keeps the reads that were recently served on a replica's position, whose age is derived from the
// fleet's clock alone. If the known offset of that clock is contradicted or replaced, these reads and those of
// the following second are logged, as any of them may have been stale.
type trace struct {
	reads          [maxTracedReads]tracedRead
	count          int           // reads kept since the last line, including overwritten ones
	logUntil       time.Duration // when logging ends
	nextLineAt     time.Duration // when the next line is due, or 0 if none is
	contradictions int           // contradictions handled so far
}

// add adds a served read.
func (t *trace) add(o *pendingRequest, server string) {
	r := &t.reads[t.count%maxTracedReads]
	r.id = [16]byte{}
	copy(r.id[:], o.ID)
	r.server, r.sentAt, r.age = server, o.sentAt, o.sentAt+o.grounds.AgeOffset-o.grounds.Position
	t.count++
}

// contradicted starts logging reads, including those served during the preceding traceBefore.
func (t *trace) contradicted(now time.Duration) {
	t.logUntil = now + traceFor
	if t.nextLineAt == 0 {
		t.nextLineAt = now
	}
}

// take returns the reads since the last line, oldest first, and the number of reads that were overwritten. It
// returns nothing if no line is due.
func (t *trace) take(now time.Duration) (reads []string, more int) {
	if t.nextLineAt == 0 || now < t.nextLineAt {
		return nil, 0
	}
	first := max(0, t.count-maxTracedReads)
	for i := first; i < t.count; i++ {
		r := &t.reads[i%maxTracedReads]
		if now-r.sentAt <= traceBefore {
			reads = append(reads, fmt.Sprintf("%s %s sent_ms %d age %s", strings.TrimRight(string(r.id[:]), "\x00"), r.server, r.sentAt.Milliseconds(),
				r.age.Round(time.Millisecond)))
		}
	}
	t.count = 0
	if t.nextLineAt = now + tracePause; now >= t.logUntil {
		t.nextLineAt = 0
	}
	return reads, first
}

// logTrace checks for new contradictions of the fleet's clock and logs the kept reads if a line is due.
func (x *Exchange) logTrace(now time.Duration) {
	if n := x.cfg.Clock.Contradictions(); n != x.trace.contradictions {
		x.trace.contradictions = n
		x.trace.contradicted(now)
	}
	reads, more := x.trace.take(now)
	if len(reads) == 0 {
		return
	}
	fields := []zap.Field{zap.Strings("reads", reads), zap.Int("more", more), zap.Int("doubts", x.trace.contradictions)}
	x.cfg.Log.Info("reads served near a contradiction of the clock", append(fields, clockFields("", x.cfg.Clock.Bounds(), now)...)...)
}

// endTrace logs the remaining reads at shutdown.
func (x *Exchange) endTrace(now time.Duration) {
	if x.trace.nextLineAt > 0 {
		x.trace.nextLineAt = now
		x.logTrace(now)
	}
}

// keepTrace adds a served read to the trace if it relied on a replica's position.
func (x *Exchange) keepTrace(o *pendingRequest, server string) {
	if o.grounds.Kind == balance.ByPosition {
		x.trace.add(o, server)
	}
}

package exchange

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
)

const (
	// tracedReads is how many reads are kept, the newest ones.
	tracedReads = 512
	// traceBefore and traceFor are how long before and after doubt about the clock reads are logged.
	traceBefore, traceFor = 2 * time.Second, time.Second
	// tracePause is between two lines: the log takes ten of a kind a second.
	tracePause = 150 * time.Millisecond
)

// tracedRead is a read that was served on a replica's position.
type tracedRead struct {
	id     [16]byte // copied: the request's own is a part of its statement, which must not be held for it
	server string
	sentAt time.Duration
	age    time.Duration // of the position that it was sent on, as it was held to be
}

// trace keeps the reads that were served lately on a replica's position, whose age only the clock tells. Where what is believed of
// that clock is contradicted or replaced they are logged, with those of the second after: any of them may have been stale.
type trace struct {
	reads   [tracedReads]tracedRead
	count   int // of all that were kept since the last line
	until   time.Duration
	lineAt  time.Duration // when the next line is due; 0: none is
	doubted int           // contradictions that have been noticed
}

// keep takes a read that was served.
func (t *trace) keep(o *open, server string) {
	r := &t.reads[t.count%tracedReads]
	r.id = [16]byte{}
	copy(r.id[:], o.ID)
	r.server, r.sentAt, r.age = server, o.sentAt, o.sentAt+o.grounds.AgeOffset-o.grounds.Position
	t.count++
}

// doubt has reads logged from now on, with those of the time before.
func (t *trace) doubt(now time.Duration) {
	t.until = now + traceFor
	if t.lineAt == 0 {
		t.lineAt = now
	}
}

// take gives the reads since the last line, oldest first, and how many more there were, once a line is due.
func (t *trace) take(now time.Duration) (reads []string, more int) {
	if t.lineAt == 0 || now < t.lineAt {
		return nil, 0
	}
	first := max(0, t.count-tracedReads)
	for i := first; i < t.count; i++ {
		r := &t.reads[i%tracedReads]
		if now-r.sentAt <= traceBefore {
			reads = append(reads, fmt.Sprintf("%s %s sent_ms %d age %s", strings.TrimRight(string(r.id[:]), "\x00"), r.server, r.sentAt.Milliseconds(),
				r.age.Round(time.Millisecond)))
		}
	}
	t.count = 0
	if t.lineAt = now + tracePause; now >= t.until {
		t.lineAt = 0
	}
	return reads, first
}

// logTrace logs the reads that are due to be, after looking whether the clock has come into doubt.
func (x *Exchange) logTrace(now time.Duration) {
	if n := x.cfg.Clock.Doubts(); n != x.trace.doubted {
		x.trace.doubted = n
		x.trace.doubt(now)
	}
	reads, more := x.trace.take(now)
	if len(reads) == 0 {
		return
	}
	fields := []zap.Field{zap.Strings("reads", reads), zap.Int("more", more), zap.Int("doubts", x.trace.doubted)}
	x.cfg.Log.Info("reads served near doubt about the clock", append(fields, clockFields("", x.cfg.Clock.Bounds(), now)...)...)
}

// endTrace logs what has not been logged yet when the process ends.
func (x *Exchange) endTrace(now time.Duration) {
	if x.trace.lineAt > 0 {
		x.trace.lineAt = now
		x.logTrace(now)
	}
}

// keepTrace keeps a read that was served on a replica's position.
func (x *Exchange) keepTrace(o *open, server string) {
	if o.grounds.Kind == balance.ByPosition {
		x.trace.keep(o, server)
	}
}

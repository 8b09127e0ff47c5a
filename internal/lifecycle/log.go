package lifecycle

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"yokemast/internal/memory/counters"
)

const (
	// logLines is the maximum number of lines that wait to be written.
	logLines = 1024
	// logFlush is the maximum time that Sync, called at shutdown, waits for unwritten lines.
	logFlush = 200 * time.Millisecond
)

// newLog returns a logger that writes JSON to out. It writes at most linesPerSecond lines of a kind per second and counts the
// dropped ones: many failures at once must neither fill the disk nor cost more than the failures themselves. Logging
// never blocks on out.
func newLog(out io.Writer, linesPerSecond int, counts *counters.Set) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), newLogWriter(out, counts), zap.InfoLevel)
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			counts.LogDropped.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, max(1, linesPerSecond), 0, hook), zap.ErrorOutput(zapcore.AddSync(io.Discard)))
}

// logWriter passes lines to a goroutine that writes them. If the reader of the log is blocked or has closed its end, lines
// are dropped and counted, so that the gateway is not blocked.
type logWriter struct {
	lines  chan logLine
	counts *counters.Set
}

// logLine is a line to be written, or a marker in the sequence of lines.
type logLine struct {
	text    []byte
	reached chan<- struct{} // set for a marker only; closed when all lines before it are written
}

func newLogWriter(out io.Writer, counts *counters.Set) *logWriter {
	w := &logWriter{lines: make(chan logLine, logLines), counts: counts}
	go func() {
		for line := range w.lines {
			if line.reached != nil {
				close(line.reached)
			} else if _, err := out.Write(line.text); err != nil {
				counts.LogDropped.Add(1)
			}
		}
	}()
	return w
}

// Write queues a copy of line, or drops and counts it if the queue is full.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- logLine{text: append([]byte(nil), line...)}:
	default:
		w.counts.LogDropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all queued lines are written, or until logFlush has passed.
func (w *logWriter) Sync() error {
	timer := time.NewTimer(logFlush)
	defer timer.Stop()
	reached := make(chan struct{})
	select {
	case w.lines <- logLine{reached: reached}:
	case <-timer.C:
		return nil
	}
	select {
	case <-reached:
	case <-timer.C:
	}
	return nil
}

// logCounters logs all counters and the time since the last answer of discovery.
func (g *gateway) logCounters() {
	fields := g.counts.Fields()
	if g.watcher != nil {
		if ago, ok := g.watcher.SinceLastAnswer(); ok {
			fields = append(fields, zap.Duration("discovery_heard_ago", ago))
		}
	}
	g.log.Info("counters", fields...)
}

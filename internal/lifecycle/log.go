package lifecycle

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"yokemast/internal/memory/counters"
)

const (
	// logLines is how many lines may wait to be written.
	logLines = 1024
	// logFlush is how long the end of the process waits for what has not been written yet.
	logFlush = 200 * time.Millisecond
)

// newLog makes a log in JSON that takes so many lines of a kind in a second and counts the others: a day on which everything
// fails must not fill it, nor cost more than the day itself. Nobody who logs waits for out.
func newLog(out io.Writer, each int, counts *counters.Set) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), newLogWriter(out, counts), zap.InfoLevel)
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			counts.LogDropped.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, max(1, each), 0, hook), zap.ErrorOutput(zapcore.AddSync(io.Discard)))
}

// logWriter hands lines to a goroutine that writes them. Where the reader of the log stands still or is gone, lines are dropped
// and counted, in place of holding up what the gateway does.
type logWriter struct {
	lines  chan logLine
	counts *counters.Set
}

// logLine is a line to be written, or a mark in their order.
type logLine struct {
	text    []byte
	reached chan<- struct{} // of a mark: closed when all before it is written
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

// Write takes a line.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- logLine{text: append([]byte(nil), line...)}:
	default:
		w.counts.LogDropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all lines are written, for a moment at most.
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

// logCounters logs every counter, and how long ago discovery was last heard.
func (g *gateway) logCounters() {
	fields := g.counts.Fields()
	if g.watcher != nil {
		if ago, ok := g.watcher.SinceLastAnswer(); ok {
			fields = append(fields, zap.Duration("discovery_heard_ago", ago))
		}
	}
	g.log.Info("counters", fields...)
}

package lifecycle

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"yokemast/internal/memory/counters"
)

// newLog makes a log to standard error, in JSON, that takes so many lines of a kind in a second and counts the others: a day
// on which everything fails must not fill it, nor cost more than the day itself.
func newLog(each int, counts *counters.Set) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	c.Sampling = &zap.SamplingConfig{Initial: max(1, each), Hook: func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			counts.LogDropped.Add(1)
		}
	}}
	log, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}

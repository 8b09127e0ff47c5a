package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/service"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

func TestTheEndWaitsForAnswersThatAHoldUpDelayedButNotUpToTheKill(t *testing.T) {
	kill := killAfter // without classes no deadline is added
	for name, c := range map[string]struct {
		answered   time.Duration // after SIGTERM; 0: never
		least, end time.Duration
	}{
		"answered in time":          {kill - answerAhead, kill - endAhead, kill - endAhead},
		"answered after the time":   {kill - endAhead + 5*time.Millisecond, kill - endAhead + 5*time.Millisecond, kill - endAhead + 7*time.Millisecond},
		"its client never takes it": {0, kill - endAhead + lateAnswers, kill - 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newController(exchange.NewClock(), nil, zap.NewNop(), &counters.Set{})
				_ = d.tell(service.Ready)
				_ = d.tell(service.Terminate)
				told := time.Now()
				held := func() (all, waiting int) {
					if c.answered > 0 && time.Since(told) >= c.answered {
						return 1, 0
					}
					return 1, 1
				}
				d.run(context.Background(), held, func(service.View) {})
				if took := time.Since(told); took < c.least || took > c.end {
					t.Errorf("it ended %s after SIGTERM, want %s to %s", took, c.least, c.end)
				}
			})
		})
	}
}

package lifecycle

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/service"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

const (
	// frontAway is how long after a no the front still opens connections, 0.2 s, and the tenth of a second between two of
	// its questions, with some room for its own delays.
	frontAway = 350 * time.Millisecond
	// killAfter is how long after SIGTERM, on top of the longest deadline, SIGKILL comes at the earliest; a deadline
	// over longestCounted counts as that.
	killAfter      = 700 * time.Millisecond
	longestCounted = 3 * time.Second
	// answerAhead is how long before that the last answer is due, and endAhead the end of the process.
	answerAhead = 150 * time.Millisecond
	endAhead    = 80 * time.Millisecond
	// lateAnswers is how long the process still stays then for answers that a hold-up has delayed: both times may pass during one.
	lateAnswers  = 60 * time.Millisecond
	answersPause = time.Millisecond // between two looks at what is unanswered
	// shedAhead is how long before the last answer connections are ended between requests. Until then clients are
	// served as before: they go on using the connections they have, and nobody takes this gateway's place so soon.
	shedAhead = 600 * time.Millisecond
	// acceptFor is how long after SIGTERM new connections still come, 0.2 to 0.4 s, with some room. Where the deadlines are
	// short connections are ended between requests before that.
	acceptFor = 450 * time.Millisecond
	// linger is how long a process whose heir took the clients stays by: SIGTERM comes within 6 s of the heir's yes.
	linger = 10 * time.Second
)

// timesOf gives the platform's times for these classes.
func timesOf(classes []balance.Class) service.Times {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	kill := min(longest, longestCounted) + killAfter
	return service.Times{LoadBalancerDelay: frontAway, Accept: acceptFor, CloseConnections: kill - answerAhead - shedAhead, AnswersDue: kill - answerAhead, Exit: kill - endAhead,
		Linger: linger}
}

// controller keeps the state of the process and has it carried out. Asking it never waits for what is carried out.
type controller struct {
	clock  exchange.Clock
	log    *zap.Logger
	counts *counters.Set

	mu      sync.Mutex
	state   *service.State
	view    atomic.Pointer[service.View]
	changed chan struct{}
}

func newController(clock exchange.Clock, classes []balance.Class, log *zap.Logger, counts *counters.Set) *controller {
	c := &controller{clock: clock, log: log, counts: counts, state: service.New(timesOf(classes)), changed: make(chan struct{}, 1)}
	c.refresh()
	return c
}

// tell takes an event; what it changes holds when tell returns, and is carried out soon after.
func (c *controller) tell(e service.Event) error {
	c.mu.Lock()
	err := c.state.Handle(c.clock.Now(), e)
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("not followed", zap.Stringer("event", e), zap.Error(err))
		return err
	}
	v := c.refresh()
	if e != service.Ready { // that has a line of its own
		c.log.Info("service", zap.Stringer("event", e), zap.Stringer("phase", v.Phase), zap.Stringer("heir", v.NewProcess), zap.Bool("yes", v.Ready))
	}
	c.wake()
	return nil
}

// retime takes the classes of new settings: SIGKILL waits for the longest deadline.
func (c *controller) retime(classes []balance.Class) {
	now := c.clock.Now()
	c.mu.Lock()
	c.state.SetTimes(now, timesOf(classes), now+exchange.SettleAfter)
	c.mu.Unlock()
	c.wake()
}

func (c *controller) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *controller) refresh() service.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.state.View(c.clock.Now())
	c.view.Store(&v)
	return v
}

// Ready says whether the process says yes.
func (c *controller) Ready() bool { return c.view.Load().Ready }

// Drain sends the clients away.
func (c *controller) Drain() error {
	c.counts.Drains.Add(1)
	return c.tell(service.Drain)
}

// Resume takes them back.
func (c *controller) Resume() error {
	c.counts.Resumes.Add(1)
	return c.tell(service.Resume)
}

// run has each view carried out until the process is to end. held says how many connections there are, and how many of them
// wait for an answer; when there is none left, wake is to be called.
func (c *controller) run(ctx context.Context, held func() (all, waiting int), apply func(service.View)) {
	for {
		v := c.refresh()
		apply(v)
		all, _ := held()
		if v.ExitWhenIdle && all == 0 {
			return
		}
		if v.ExitNow {
			if waiting := c.awaitAnswers(ctx, held); waiting > 0 {
				c.log.Warn("ending with requests unanswered", zap.Int("clients", waiting))
			}
			return
		}
		var next <-chan time.Time
		if v.NextChange > 0 {
			next = time.After(v.NextChange - c.clock.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		case <-next:
		}
	}
}

// awaitAnswers waits until no connection waits for an answer, for lateAnswers at most. It says how many still do.
func (c *controller) awaitAnswers(ctx context.Context, held func() (all, waiting int)) int {
	end := c.clock.Now() + lateAnswers
	for {
		_, waiting := held()
		if waiting == 0 || c.clock.Now() >= end || ctx.Err() != nil {
			return waiting
		}
		time.Sleep(answersPause)
	}
}

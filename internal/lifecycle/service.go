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
	// loadBalancerDelay is how long the load balancer still opens connections after the process reports not ready: 0.2 s,
	// plus 0.1 s between two readiness checks, plus a reserve for its own delays.
	loadBalancerDelay = 350 * time.Millisecond
	// killDelay plus the longest deadline is the earliest time after SIGTERM at which SIGKILL is sent. A deadline above
	// maxCountedDeadline counts as maxCountedDeadline.
	killDelay          = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
	// answerLead and exitLead are how long before SIGKILL the last answer is due and the process exits.
	answerLead = 150 * time.Millisecond
	exitLead   = 80 * time.Millisecond
	// lateAnswerWait is how long the process waits after its exit time for answers that a stall has delayed: both the time
	// of the last answer and the exit time may pass during one stall.
	lateAnswerWait     = 60 * time.Millisecond
	answerPollInterval = time.Millisecond // between two checks for unanswered requests, once the process has to exit
	// closeLead is how long before the last answer is due connections are closed between requests. Until then clients are
	// served as before: they continue to use their connections, and no other gateway replaces this one that early.
	closeLead = 600 * time.Millisecond
	// acceptTime is how long after SIGTERM new connections are accepted: they arrive for 0.2 to 0.4 s, plus a reserve.
	// With short deadlines, closing connections between requests starts earlier than that.
	acceptTime = 450 * time.Millisecond
	// lingerTime is how long the old process stays after the new one has taken over the clients: SIGTERM arrives within 6 s
	// of the new process reporting ready.
	lingerTime = 10 * time.Second
)

// timesFor returns the times of the shutdown for these classes.
func timesFor(classes []balance.Class) service.Times {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	kill := min(longest, maxCountedDeadline) + killDelay
	return service.Times{LoadBalancerDelay: loadBalancerDelay, Accept: acceptTime, CloseConnections: kill - answerLead - closeLead, AnswersDue: kill - answerLead, Exit: kill - exitLead,
		LateAnswers: lateAnswerWait, Linger: lingerTime}
}

// controller holds the state of the process and runs the function that carries it out. Queries never wait for that
// function.
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
	c := &controller{clock: clock, log: log, counts: counts, state: service.New(timesFor(classes)), changed: make(chan struct{}, 1)}
	c.refreshView()
	return c
}

// handle processes an event. The new state is visible when handle returns and is carried out shortly after.
func (c *controller) handle(e service.Event) error {
	c.mu.Lock()
	err := c.state.Handle(c.clock.Now(), e)
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("event ignored", zap.Stringer("event", e), zap.Error(err))
		return err
	}
	v := c.refreshView()
	if e != service.Ready { // logged separately
		c.log.Info("service", zap.Stringer("event", e), zap.Stringer("phase", v.Phase), zap.Stringer("heir", v.NewProcess), zap.Bool("yes", v.Ready))
	}
	c.notify()
	return nil
}

// setClasses applies the classes of a settings update: the time of SIGKILL depends on the longest deadline.
func (c *controller) setClasses(classes []balance.Class) {
	now := c.clock.Now()
	c.mu.Lock()
	c.state.SetTimes(now, timesFor(classes), now+exchange.SettleAfter)
	c.mu.Unlock()
	c.notify()
}

// notify wakes run, so that it carries out the current view.
func (c *controller) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// refreshView computes, stores and returns the current view.
func (c *controller) refreshView() service.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.state.View(c.clock.Now())
	c.view.Store(&v)
	return v
}

// Ready reports whether the process is ready to serve.
func (c *controller) Ready() bool { return c.view.Load().Ready }

// Drain starts draining the clients.
func (c *controller) Drain() error {
	c.counts.Drains.Add(1)
	return c.handle(service.Drain)
}

// Resume ends the drain.
func (c *controller) Resume() error {
	c.counts.Resumes.Add(1)
	return c.handle(service.Resume)
}

// run calls apply with each view until the process has to exit. countConnections returns the client connections. notify must
// be called when the last connection is closed.
func (c *controller) run(ctx context.Context, countConnections func() service.Connections, apply func(service.View)) {
	for {
		v := c.refreshView()
		apply(v)
		if c.awaitChange(ctx, v, countConnections) {
			return
		}
	}
}

// awaitChange waits until the view may have changed. It returns true if the process has to exit.
func (c *controller) awaitChange(ctx context.Context, v service.View, countConnections func() service.Connections) (exit bool) {
	var next <-chan time.Time
	if v.NextChange > 0 {
		next = time.After(v.NextChange - c.clock.Now())
	}
	for {
		if c.mayExit(countConnections()) {
			return true
		}
		var poll <-chan time.Time
		if v.ExitNow {
			poll = time.After(answerPollInterval)
		}
		select {
		case <-ctx.Done():
			return true
		case <-c.changed:
			return false
		case <-next:
			return false
		case <-poll:
		}
	}
}

// mayExit reports whether the process exits with these connections, and logs it if requests are unanswered.
func (c *controller) mayExit(connections service.Connections) bool {
	c.mu.Lock()
	exit := c.state.Exit(c.clock.Now(), connections)
	c.mu.Unlock()
	if exit && connections.Waiting > 0 {
		c.log.Warn("ending with requests unanswered", zap.Int("clients", connections.Waiting))
	}
	return exit
}

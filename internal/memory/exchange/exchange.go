// Package exchange is where the client side and the host side of the gateway meet, in terms of no protocol:
// requests come in, attempts go out, outcomes come back, answers go out. One goroutine owns the decision module,
// hands it every event in order and carries out its actions. Nothing is decided here.
package exchange

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/cells"
	"yokemast/internal/control/draining"
	"yokemast/internal/control/gossip"
	"yokemast/internal/control/reload"
	"yokemast/internal/control/waits"
	"yokemast/internal/memory/counters"
)

// Config is what an Exchange needs to know.
type Config struct {
	Settings   balance.Settings
	Seed       uint64
	Clock      Clock
	Log        *zap.Logger
	Counters   *counters.Set
	Gossip     *gossip.State // what gateways tell each other; nil: nothing
	SendGossip func([]byte)  // sends a datagram to the other gateways; must not wait
}

const (
	// answerMargin is kept free before the client stops waiting: its wait runs from when it sent, and the answer has
	// to travel.
	answerMargin = 15 * time.Millisecond
	// windowMargin is kept free before the end of a keyed class's window, for the way to the host and a process that is held up.
	windowMargin = 20*time.Millisecond + draining.MaxSendDelay
	// retryAfter is when a client may try a group again that no list has named yet.
	retryAfter = 500 * time.Millisecond
	// forgetAfter is how long a host that left is remembered, later than the module forgets it: a fleet that is
	// replaced again and again must not fill memory.
	forgetAfter = 2 * time.Minute
)

// SettleAfter is how long after they were given new settings are binding, by the operators' word.
const SettleAfter = 1200 * time.Millisecond

type open struct {
	*Request
	class    *balance.Class
	deadline time.Duration
	patience time.Duration
	attempts int
	out      bool // an attempt has no outcome yet
	answered bool
	last     balance.Result // of the attempt before, if there was one
	grounds  balance.Grounds
	sentAt   time.Duration // of the last attempt
	ranAt    time.Duration // when the first attempt was sent that may have run; 0: none has
	waits    bool          // at a fence; the module has not got it yet
	again    bool          // its client has tried before
	ticket   cells.Ticket  // of its cell
}

type posted struct {
	at time.Duration
	ev any
}

type gone struct{ request *Request }

// Exchange is safe for concurrent use; Run does the work.
type Exchange struct {
	cfg     Config
	classes map[string]*balance.Class

	mu    sync.Mutex
	queue []posted
	wake  chan struct{}

	bounds *bounds

	// All below belongs to Run.
	hosts    Hosts
	router   *balance.Router
	versions *reload.Versions
	tries    *waits.Estimator
	open     map[string]*open
	groups   map[int]bool
	list     map[string]Member // as discovery tells it, with times by the fleet's clock
	timers   timers
	acts     []balance.Action
	seq      uint64        // of timers
	endBy    time.Duration // the gateway ends; 0: it does not
	cells    *cells.State  // nil: there are none
	lookAt   time.Duration // when the cells are next told what the module believes
	seen     []balance.MemberView
	heard    []balance.RemoteOutcome
	newest   time.Duration // of sessions' writes
	begunAt  time.Duration

	clockProbes map[string]bool // hosts that are being asked for the time
	clockRounds int             // how often some were
	clockAskAt  time.Duration   // not again before
	trace       trace
	// What is known of the fleet's clock, as far as it is in force everywhere.
	clock                   balance.ClockBounds
	clockTold, clockDoubted bool
	clockBounded            bool
	clockEpoch              int
}

// New makes an exchange; the error names the setting that makes no sense.
func New(cfg Config) (*Exchange, error) {
	s, err := cfg.Settings.Checked()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.MaxSendDelay = draining.MaxSendDelay
	router, err := balance.New(s, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	begunAt := cfg.Clock.Now()
	x := &Exchange{cfg: cfg, router: router, wake: make(chan struct{}, 1), versions: reload.New(s, SettleAfter), tries: waits.New(),
		open: map[string]*open{}, groups: map[int]bool{}, list: map[string]Member{},
		bounds: newBounds(s, begunAt), begunAt: begunAt}
	x.use(s)
	x.clock = x.cfg.Clock.ForModule()
	x.router.Handle(x.begunAt, x.clock, nil)
	return x, nil
}

func (x *Exchange) post(ev any) {
	at := x.cfg.Clock.Now()
	x.mu.Lock()
	x.queue = append(x.queue, posted{at, ev})
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Submit takes a request; its answer comes on its channel.
func (x *Exchange) Submit(r *Request) { x.post(r) }

// CancelRequest says that a request's client has left; no answer is owed.
func (x *Exchange) CancelRequest(r *Request) { x.post(gone{r}) }

// Outcome ends an attempt.
func (x *Exchange) Outcome(o Outcome) { x.post(o) }

// Probed ends a probe.
func (x *Exchange) Probed(p balance.ProbeResult) { x.post(p) }

type datagram []byte

// ReceiveGossip takes a datagram of another gateway.
func (x *Exchange) ReceiveGossip(b []byte) { x.post(datagram(b)) }

type ending struct{ by time.Duration }

// BeginShutdown says that requests that come from now on must be answered by then, however long their clients would wait.
func (x *Exchange) BeginShutdown(by time.Duration) { x.post(ending{by}) }

// Run handles events until the context ends. It alone touches the module.
func (x *Exchange) Run(ctx context.Context, hosts Hosts) error {
	x.hosts = hosts
	x.bounds.serve(hosts)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []posted
	for {
		x.mu.Lock()
		batch, x.queue = x.queue, batch[:0]
		x.mu.Unlock()
		x.stall(batch)
		x.noticeClock()
		for i, p := range batch {
			x.due(p.at) // what was due before this came
			x.handle(p.at, p.ev)
			batch[i] = posted{}
		}
		x.due(x.cfg.Clock.Now())
		x.settle(x.cfg.Clock.Now())
		x.tell(x.cfg.Clock.Now())
		x.look(x.cfg.Clock.Now())
		x.logTrace(x.cfg.Clock.Now())
		if len(batch) > 0 {
			continue
		}
		timer.Reset(x.untilDue(x.cfg.Clock.Now()))
		select {
		case <-ctx.Done():
			x.endTrace(x.cfg.Clock.Now())
			return nil
		case <-x.wake:
		case <-timer.C:
		}
	}
}

// longestIdle is for how long Run waits at most where nothing is due.
const longestIdle = time.Hour

// untilDue is how long it is until something is due without an event, 0 where it is due already.
func (x *Exchange) untilDue(now time.Duration) time.Duration {
	next := now + longestIdle
	if len(x.timers) > 0 {
		next = min(next, x.timers[0].due)
	}
	if x.cfg.Gossip != nil {
		if at, ok := x.cfg.Gossip.Due(); ok {
			next = min(next, at)
		}
	}
	if at, ok := x.versions.Due(); ok {
		next = min(next, at)
	}
	if x.cells != nil {
		next = min(next, x.lookAt)
	}
	if x.trace.lineAt > 0 {
		next = min(next, x.trace.lineAt)
	}
	return max(next-now, 0)
}

// due hands over the timers that were due by then.
func (x *Exchange) due(by time.Duration) {
	for len(x.timers) > 0 && x.timers[0].due <= by {
		x.decide(balance.Timer{Tag: x.timers.pop().tag})
		x.cfg.Counters.Timers.Add(-1)
	}
}

// handle takes what came at a time, which may be a while ago where the process got no time.
func (x *Exchange) handle(at time.Duration, ev any) {
	switch e := ev.(type) {
	case *Request:
		x.request(e)
	case gone:
		if o := x.open[e.request.ID]; o != nil && o.Request == e.request && !o.answered {
			o.answered = true
			x.cfg.Counters.Gone.Add(1)
			x.unserved(o)
			x.decide(balance.RequestCanceled{ID: o.ID})
			x.forget(o)
		}
	case Outcome:
		x.outcome(e)
	case balance.ProbeResult:
		forClock := x.clockProbes[e.Server]
		if delete(x.clockProbes, e.Server); forClock && e.Result != balance.OK {
			return // it was not the module that asked: a host is not set aside for it
		}
		x.dropOutdated(e.StatedAt, new(balance.Role), &e.Report)
		if !forClock { // many gateways that start would spend on it what they may tell
			x.note(balance.RemoteOutcome{Server: e.Server, Result: e.Result}, e.StatedAt, e.Report)
		}
		x.decide(e)
	case learning:
		x.learned(e)
	case datagram:
		x.receive(e)
	case members:
		x.members(e)
	case ending:
		x.ending(e.by)
	case surveying:
		e.done <- x.survey()
	case inheriting:
		x.inherit(e)
	case retuning:
		x.retune(e.settings)
	case configuring:
		x.configure(e.cells)
	case asking:
		e.done <- x.ask(e.do)
	}
}

// ending shortens what is open to when the last answer is due: what is unanswered when the process ends is lost, also what
// was taken before the signal and whose client would wait for longer.
func (x *Exchange) ending(by time.Duration) {
	if x.endBy == by {
		return
	}
	x.endBy = by
	for _, o := range x.open {
		if o.deadline <= by {
			continue
		}
		if o.deadline = by; o.waits { // at a fence, which counts with the deadline that it was told
			x.pass(o, cells.Verdict{Kind: cells.OverLimit, Group: o.Group})
		}
	}
	x.decide(balance.Shutdown{By: by})
}

// answer gives the final answer, once.
func (x *Exchange) answer(o *open, a Answer, count *counters.Count) {
	if o.answered {
		return
	}
	o.answered = true
	count.Add(1)
	if a.Kind != Served {
		x.unserved(o)
	}
	o.Answer <- a
	x.forget(o)
}

// unserved says that a request ended without being served: its client may come again.
func (x *Exchange) unserved(o *open) {
	if !o.again {
		x.tries.Unserved(o.Class)
	}
}

// forget drops the record of a request that is answered and has no attempt out. One that still waits for its connection must
// not go out: nothing is sent on for a client that has left, or that has its answer.
func (x *Exchange) forget(o *open) {
	switch {
	case !o.answered || x.open[o.ID] != o:
	case o.out:
		x.hosts.CancelUnsent(o.ID, o.attempts-1)
	default:
		delete(x.open, o.ID)
		x.done(o)
	}
}

// decide hands the module one event and carries out what it answers. A panic there must not end the process: what
// is open is answered, and a new module starts from the list, as after a restart.
func (x *Exchange) decide(ev balance.Event) {
	defer func() {
		if p := recover(); p != nil {
			x.cfg.Counters.Panics.Add(1)
			x.cfg.Log.Error("decision module panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			x.restart()
		}
	}()
	x.acts = x.router.Handle(x.cfg.Clock.Now(), ev, x.acts[:0])
	for _, a := range x.acts {
		x.act(a)
	}
	for _, c := range x.router.PrimaryChanges() {
		x.primaryChanged(c)
	}
}

func (x *Exchange) restart() {
	for _, o := range x.open {
		x.answer(o, Answer{Kind: Failed, Reason: "internal error"}, &x.cfg.Counters.Failed)
	}
	x.cfg.Seed++
	known := x.recall()
	s := x.cfg.Settings
	s.Restarted = true
	if !s.TokensCarried { // what each session wrote is lost
		s.Floor = max(s.Floor, x.newest)
	}
	x.router, _ = balance.New(s, x.cfg.Seed) // New took these settings before
	x.cfg.Counters.Timers.Add(-int64(len(x.timers)))
	x.timers = nil
	list := balance.Members{Snapshot: true}
	for _, m := range x.list {
		list.List = append(list.List, x.bound(m))
	}
	x.router.Handle(x.cfg.Clock.Now(), x.clock, nil)
	x.router.Handle(x.cfg.Clock.Now(), list, nil)
	for _, k := range known {
		x.router.Handle(x.cfg.Clock.Now(), k, nil)
	}
	if x.cells != nil {
		x.router.Handle(x.cfg.Clock.Now(), x.cells.Cells(), nil)
	}
}

func (x *Exchange) act(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		x.send(a)
	case balance.Refuse:
		if o := x.open[a.ID]; o != nil {
			x.gaveUp(o, "refused", a.Reason, a.Bad)
			x.answer(o, Answer{Kind: Refused, Reason: "turned away", RetryAfter: a.RetryAfter}, &x.cfg.Counters.Refused)
		}
	case balance.Fail:
		if o := x.open[a.ID]; o != nil {
			x.gaveUp(o, "failed", a.Reason, a.Bad)
			x.answer(o, Answer{Kind: Failed, Reason: "given up"}, &x.cfg.Counters.Failed)
		}
	case balance.Cancel:
		x.cfg.Counters.Canceled.Add(1)
		x.hosts.Cancel(a.ID, a.Attempt)
	case balance.Probe:
		x.cfg.Counters.Probes.Add(1)
		x.hosts.Probe(a.Server)
	case balance.StartTimer:
		x.seq++
		x.timers.push(x.cfg.Clock.Now()+a.Wait, a.Tag, x.seq)
		x.cfg.Counters.Timers.Add(1)
	case balance.Watch: // the list is always watched
	}
}

func (x *Exchange) send(a balance.Send) {
	o, now := x.open[a.ID], x.cfg.Clock.Now()
	if o == nil {
		return
	}
	t := Attempt{ID: a.ID, Number: o.attempts, Server: a.Server, Command: o.Command, ClientDisconnected: o.ClientDisconnected, Sent: now, Deadline: o.deadline}
	o.attempts++
	o.out, o.sentAt = true, now
	x.cfg.Counters.Sent.Add(1)
	if a.Timeout != 0 {
		t.Deadline = min(t.Deadline, now+a.Timeout)
	}
	t.Grounds, t.Demand, o.grounds = a.Grounds, a.Demand, a.Grounds
	t.Keyed = o.Write && o.class.Effect == balance.Keyed
	x.cfg.Counters.Grounds[a.Grounds.Kind].Add(1)
	if a.Grounds.SendBy > 0 {
		// The known position is inside the bound now; a slow connect must not carry the read past it.
		t.writeBy(a.Grounds.SendBy)
	}
	if by := x.bounds.until(a.Server); by != draining.Open {
		// Nothing may go out after the grace, however long the connection takes to come up.
		t.startBy(by)
	}
	if o.class.Effect == balance.Keyed && o.ranAt > 0 {
		// The module found its window open; it must not close while the connection comes up.
		t.writeBy(o.ranAt + o.class.KeyTTL - windowMargin)
	}
	x.hosts.Send(t)
}

// startBy bounds when the attempt may go out.
func (a *Attempt) startBy(t time.Duration) {
	if a.StartBy == 0 || t < a.StartBy {
		a.StartBy = t
	}
}

// writeBy bounds when the attempt may go out to its last byte.
func (a *Attempt) writeBy(t time.Duration) {
	a.startBy(t)
	if a.WriteBy == 0 || t < a.WriteBy {
		a.WriteBy = t
	}
}

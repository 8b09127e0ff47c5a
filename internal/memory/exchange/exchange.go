// Package exchange is the event loop between the client side and the host side of the gateway. It is
// independent of any wire protocol: it receives requests, sends attempts, handles their outcomes and answers
// the requests. One goroutine owns the decision module (balance.Router), passes it every event in order and
// performs the actions that it returns. The package itself makes no routing decisions.
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

// Config holds the settings and dependencies of an Exchange.
type Config struct {
	Settings   balance.Settings
	Seed       uint64
	Clock      Clock
	Log        *zap.Logger
	Counters   *counters.Set
	Gossip     *gossip.State // state of the gossip between gateways, or nil if they exchange none
	SendGossip func([]byte)  // sends a gossip message to the other gateways; must not block
}

const (
	// answerMargin is how long before the end of the client's wait a request must be answered. The client
	// counts its wait from when it sent the request, and the answer takes time to reach it.
	answerMargin = 15 * time.Millisecond
	// keyWindowMargin is how long before the end of a keyed class's window the last byte must be written. It
	// covers the network delay to the host and a stall of this process.
	keyWindowMargin = 20*time.Millisecond + draining.MaxSendDelay
	// unlistedRetryAfter is the retry delay for requests to a group without a listed host.
	unlistedRetryAfter = 500 * time.Millisecond
	// forgetRemovedAfter is how long a removed host is remembered. It is longer than the module remembers it.
	// Removed hosts must be forgotten, as a fleet whose hosts are replaced continually would otherwise fill the
	// memory.
	forgetRemovedAfter = 2 * time.Minute
)

// SettleAfter is the time after which new settings are binding, as specified by the operators. It counts from
// when the settings were passed to the gateway.
const SettleAfter = 1200 * time.Millisecond

// pendingRequest is a request that is unanswered or has an attempt in flight.
type pendingRequest struct {
	*Request
	class              *balance.Class
	deadline           time.Duration
	ownDeadline        time.Duration // deadline without the shutdown of the process
	answering          bool          // a part of its answer was passed on, and the end is still to come
	maxHostWait        time.Duration // maximum wait for a host; set only for requests that check one out
	attempts           int           // attempts sent so far
	inFlight           bool          // an attempt is in flight
	server             string        // to which the latest attempt was sent
	answered           bool
	lastResult         balance.Result // result of the previous attempt, if any
	grounds            balance.Grounds
	sentAt             time.Duration // when the latest attempt was sent
	possiblyExecutedAt time.Duration // when the first possibly executed attempt was sent, or 0 if there is none
	fenced             bool          // held at a fence; not yet passed to the module
	clientRetry        bool          // a client retry
	ticket             cells.Ticket  // the admission ticket of its cell
}

// queuedEvent is an event and the time at which it arrived.
type queuedEvent struct {
	at    time.Duration
	event any
}

// canceled is the event of a client disconnecting before its request was answered.
type canceled struct{ request *Request }

// Exchange runs the event loop. Its exported methods are safe for concurrent use; Run handles the events.
type Exchange struct {
	cfg     Config
	classes map[string]*balance.Class

	mu    sync.Mutex
	queue []queuedEvent
	wake  chan struct{}

	sendDeadlines *sendDeadlines

	// The fields below are used by Run's goroutine only.
	hosts         Hosts
	router        *balance.Router
	versions      *reload.Versions
	clientRetries *waits.Estimator
	pending       map[string]*pendingRequest
	groups        map[int]bool
	listed        map[string]Member // hosts by id as listed by discovery, with times by the fleet's clock
	timers        timers
	actions       []balance.Action
	seq           uint64        // sequence number of the latest timer
	shutdownBy    time.Duration // when the last answer is due during shutdown, or 0 if the gateway does not shut down
	cells         *cells.State  // nil if no cells are configured
	nextCellsSync time.Duration // when the cells next get the module's view of the hosts
	seen          []balance.MemberView
	gossipEntries []balance.RemoteOutcome
	newestWrite   time.Duration // position of the newest write of any session, by the fleet's clock
	processStart  time.Duration

	clockProbes    map[string]bool // hosts with a clock probe in flight
	clockRounds    int             // rounds of clock probes sent so far
	nextClockProbe time.Duration   // earliest time of the next round
	trace          trace
	// clock, clockKnown, clockContradicted, clockBounded and clockEpoch are the state of the fleet's clock that
	// the module and the host side were last notified of.
	clock                         balance.ClockBounds
	clockKnown, clockContradicted bool
	clockBounded                  bool
	clockEpoch                    int
}

// New returns an Exchange. It returns an error that names the setting if one is invalid.
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
	processStart := cfg.Clock.Now()
	x := &Exchange{cfg: cfg, router: router, wake: make(chan struct{}, 1), versions: reload.New(s, SettleAfter), clientRetries: waits.New(),
		pending: map[string]*pendingRequest{}, groups: map[int]bool{}, listed: map[string]Member{},
		sendDeadlines: newSendDeadlines(s, processStart), processStart: processStart}
	x.useSettings(s)
	x.clock = x.cfg.Clock.ForModule()
	x.router.Handle(x.processStart, x.clock, nil)
	return x, nil
}

func (x *Exchange) post(ev any) {
	at := x.cfg.Clock.Now()
	x.mu.Lock()
	x.queue = append(x.queue, queuedEvent{at, ev})
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Submit accepts a request. The answer is sent on the request's Answer channel.
func (x *Exchange) Submit(r *Request) { x.post(r) }

// CancelRequest cancels a request whose client has disconnected. It is not answered.
func (x *Exchange) CancelRequest(r *Request) { x.post(canceled{r}) }

// Outcome reports the outcome of an attempt.
func (x *Exchange) Outcome(o Outcome) { x.post(o) }

// Probed reports the result of a probe.
func (x *Exchange) Probed(p balance.ProbeResult) { x.post(p) }

// gossipMessage is the event of a gossip message from another gateway.
type gossipMessage []byte

// ReceiveGossip accepts a gossip message from another gateway.
func (x *Exchange) ReceiveGossip(b []byte) { x.post(gossipMessage(b)) }

// shutdownStarted is the event of a shutdown starting.
type shutdownStarted struct{ by time.Duration }

// BeginShutdown starts the shutdown: every request must be answered by the given time, even if its client would wait
// longer.
func (x *Exchange) BeginShutdown(by time.Duration) { x.post(shutdownStarted{by}) }

// Run handles events until the context is done. Only Run's goroutine calls the module.
func (x *Exchange) Run(ctx context.Context, hosts Hosts) error {
	x.hosts = hosts
	x.sendDeadlines.setHosts(hosts)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []queuedEvent
	for {
		x.mu.Lock()
		batch, x.queue = x.queue, batch[:0]
		x.mu.Unlock()
		x.logStall(batch)
		x.checkClock()
		for i, p := range batch {
			x.runTimers(p.at) // timers that expired before the event arrived
			x.handle(p.at, p.event)
			batch[i] = queuedEvent{}
		}
		x.runTimers(x.cfg.Clock.Now())
		x.settleSettings(x.cfg.Clock.Now())
		x.sendGossip(x.cfg.Clock.Now())
		x.syncCells(x.cfg.Clock.Now())
		x.logTrace(x.cfg.Clock.Now())
		if len(batch) > 0 {
			continue
		}
		timer.Reset(x.untilNextDue(x.cfg.Clock.Now()))
		select {
		case <-ctx.Done():
			x.endTrace(x.cfg.Clock.Now())
			return nil
		case <-x.wake:
		case <-timer.C:
		}
	}
}

// maxIdle is the maximum time that Run waits if nothing is due.
const maxIdle = time.Hour

// untilNextDue returns the time until the next timer or periodic task is due, or 0 if one is due already.
func (x *Exchange) untilNextDue(now time.Duration) time.Duration {
	next := now + maxIdle
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
		next = min(next, x.nextCellsSync)
	}
	if x.trace.nextLineAt > 0 {
		next = min(next, x.trace.nextLineAt)
	}
	return max(next-now, 0)
}

// runTimers passes the timers that expire at or before the given time to the module.
func (x *Exchange) runTimers(by time.Duration) {
	for len(x.timers) > 0 && x.timers[0].due <= by {
		x.decide(balance.Timer{Tag: x.timers.pop().tag})
		x.cfg.Counters.Timers.Add(-1)
	}
}

// handle handles an event that arrived at the given time, which may be well in the past if the process stalled.
func (x *Exchange) handle(at time.Duration, ev any) {
	switch e := ev.(type) {
	case *Request:
		x.handleRequest(e)
	case canceled:
		if o := x.pending[e.request.ID]; o != nil && o.Request == e.request && !o.answered {
			o.answered = true
			x.cfg.Counters.RequestsCanceled.Add(1)
			x.noteUnserved(o)
			x.decide(balance.RequestCanceled{ID: o.ID})
			x.release(o)
		}
	case Outcome:
		x.handleOutcome(e)
	case balance.ProbeResult:
		forClock := x.clockProbes[e.Server]
		if delete(x.clockProbes, e.Server); forClock && e.Result != balance.OK {
			return // the module did not request this probe, so its failure must not eject the host
		}
		x.dropOutdated(e.StatedAt, new(balance.Role), &e.Report)
		if !forClock { // many gateways that start together would use up their gossip budget on clock probes
			x.addGossip(balance.RemoteOutcome{Server: e.Server, Result: e.Result}, e.StatedAt, e.Report)
		}
		x.decide(e)
	case hostStatement:
		x.handleStatement(e)
	case gossipMessage:
		x.receiveGossip(e)
	case endpointList:
		x.handleMembers(e)
	case shutdownStarted:
		x.startShutdown(e.by)
	case answerProgress:
		x.handleAnswerProgress(e)
	case stateRequest:
		e.done <- x.handoverState()
	case inheritedState:
		x.handleInherited(e)
	case settingsUpdate:
		x.updateSettings(e.settings)
	case cellsUpdate:
		x.updateCells(e.cells)
	case cellsCall:
		e.done <- x.callCells(e.do)
	}
}

// answerProgress is the event of an answer that begins to be passed on, or has ended.
type answerProgress struct {
	request *Request
	begun   bool
}

// AnswerBegun reports that a part of the answer to a request with a checkout was passed on to the client while more is to
// come. Until AnswerEnded it is not ended for the shutdown of the process.
func (x *Exchange) AnswerBegun(r *Request) { x.post(answerProgress{r, true}) }

// AnswerEnded reports that an answer of which AnswerBegun was reported has ended.
func (x *Exchange) AnswerEnded(r *Request) { x.post(answerProgress{r, false}) }

// handleAnswerProgress changes the deadline of a request if the process shuts down.
func (x *Exchange) handleAnswerProgress(e answerProgress) {
	o := x.pending[e.request.ID]
	if o == nil || o.Request != e.request || o.answered {
		return
	}
	o.answering = e.begun
	deadline := o.ownDeadline
	if !e.begun && x.shutdownBy > 0 {
		deadline = min(deadline, x.shutdownBy)
	}
	if deadline != o.deadline {
		o.deadline = deadline
		x.decide(balance.DeadlineChanged{ID: o.ID, Deadline: deadline})
	}
}

// startShutdown shortens the deadlines of all pending requests to the time by which the last answer is due.
// Requests that are unanswered when the process exits are lost, including those that arrived before the signal
// and whose clients would wait longer. Answers that are on their way are not cut off.
func (x *Exchange) startShutdown(by time.Duration) {
	if x.shutdownBy == by {
		return
	}
	x.shutdownBy = by
	var answering []*pendingRequest
	for _, o := range x.pending {
		if o.deadline <= by {
			continue
		}
		if o.answering {
			answering = append(answering, o)
			continue
		}
		if o.deadline = by; o.fenced { // the fence was given the previous deadline and would hold the request until then
			x.dispatch(o, cells.Verdict{Kind: cells.OverLimit, Group: o.Group})
		}
	}
	x.decide(balance.Shutdown{By: by})
	for _, o := range answering {
		x.decide(balance.DeadlineChanged{ID: o.ID, Deadline: o.deadline})
	}
}

// answer sends the final answer of a request unless it has been answered.
func (x *Exchange) answer(o *pendingRequest, a Answer, count *counters.Count) {
	if o.answered {
		return
	}
	o.answered = true
	count.Add(1)
	if a.Kind != Served {
		x.noteUnserved(o)
	}
	o.Answer <- a
	x.release(o)
}

// noteUnserved records that a request ended without being served, so that a client retry may follow.
func (x *Exchange) noteUnserved(o *pendingRequest) {
	if !o.clientRetry {
		x.clientRetries.Unserved(o.Class)
	}
}

// release drops the record of a request that is answered and has no attempt in flight. If an attempt is in
// flight, it withdraws the attempt in case that still waits for its connection: nothing may be sent to a host
// for a client that has disconnected or has its answer.
func (x *Exchange) release(o *pendingRequest) {
	switch {
	case !o.answered || x.pending[o.ID] != o:
	case o.inFlight:
		x.hosts.CancelUnsent(o.ID, o.attempts-1)
	default:
		delete(x.pending, o.ID)
		x.releaseTicket(o)
	}
}

// decide passes one event to the module and performs the actions that it returns. A panic of the module must
// not end the process: all pending requests are answered, and a new module starts from the endpoint list, as
// after a restart.
func (x *Exchange) decide(ev balance.Event) {
	defer func() {
		if p := recover(); p != nil {
			x.cfg.Counters.Panics.Add(1)
			x.cfg.Log.Error("decision module panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			x.restart()
		}
	}()
	x.actions = x.router.Handle(x.cfg.Clock.Now(), ev, x.actions[:0])
	for _, a := range x.actions {
		x.perform(a)
	}
	for _, c := range x.router.PrimaryChanges() {
		x.logPrimaryChange(c)
	}
}

// restart replaces the module after a panic.
func (x *Exchange) restart() {
	for _, o := range x.pending {
		x.answer(o, Answer{Kind: Failed, Reason: "internal error"}, &x.cfg.Counters.Failed)
	}
	x.cfg.Seed++
	evidence := x.moduleEvidence()
	s := x.cfg.Settings
	s.Restarted = true
	if !s.TokensCarried { // the positions of the individual sessions' writes are lost
		s.Floor = max(s.Floor, x.newestWrite)
	}
	x.router, _ = balance.New(s, x.cfg.Seed) // these settings have been accepted before
	x.cfg.Counters.Timers.Add(-int64(len(x.timers)))
	x.timers = nil
	list := balance.Members{Snapshot: true}
	for _, m := range x.listed {
		list.List = append(list.List, x.moduleMember(m))
	}
	x.router.Handle(x.cfg.Clock.Now(), x.clock, nil)
	x.router.Handle(x.cfg.Clock.Now(), list, nil)
	for _, k := range evidence {
		x.router.Handle(x.cfg.Clock.Now(), k, nil)
	}
	if x.cells != nil {
		x.router.Handle(x.cfg.Clock.Now(), x.cells.Cells(), nil)
	}
}

func (x *Exchange) perform(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		x.send(a)
	case balance.Refuse:
		if o := x.pending[a.ID]; o != nil {
			x.logGivenUp(o, "refused", a.Reason, a.Bad)
			x.answer(o, Answer{Kind: Refused, Reason: "turned away", RetryAfter: a.RetryAfter}, &x.cfg.Counters.Refused)
		}
	case balance.Fail:
		if o := x.pending[a.ID]; o != nil {
			x.logGivenUp(o, "failed", a.Reason, a.Bad)
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
	case balance.Watch: // discovery is always watched
	}
}

// send starts an attempt, with the limits on when it may go out.
func (x *Exchange) send(a balance.Send) {
	o, now := x.pending[a.ID], x.cfg.Clock.Now()
	if o == nil {
		return
	}
	t := Attempt{ID: a.ID, Number: o.attempts, Server: a.Server, Command: o.Command, ClientDisconnected: o.ClientDisconnected, Sent: now, Deadline: o.deadline}
	if o.Checkout > 0 {
		t.Deadline = o.ownDeadline // an answer that begins in time may end after a shutdown's last answers
	}
	o.attempts++
	o.inFlight, o.server, o.sentAt = true, a.Server, now
	x.cfg.Counters.Sent.Add(1)
	if a.Timeout != 0 {
		t.Deadline = min(t.Deadline, now+a.Timeout)
	}
	t.Grounds, t.Demand, o.grounds = a.Grounds, a.Demand, a.Grounds
	t.Keyed = o.Write && o.class.Effect == balance.Keyed
	x.cfg.Counters.Grounds[a.Grounds.Kind].Add(1)
	if a.Grounds.SendBy > 0 {
		// The known position is within the staleness bound now. A slow connect must not let the read exceed it.
		t.limitWrite(a.Grounds.SendBy)
	}
	if by := x.sendDeadlines.deadline(a.Server); by != draining.Open {
		// Nothing may be sent after the drain grace, however long connecting takes.
		t.limitStart(by)
	}
	if o.class.Effect == balance.Keyed && o.possiblyExecutedAt > 0 {
		// The module found the key's window open. It must not close while the connection is set up.
		t.limitWrite(o.possiblyExecutedAt + o.class.KeyTTL - keyWindowMargin)
	}
	x.hosts.Send(t)
}

// limitStart limits the time at which the first byte of the attempt may be sent.
func (a *Attempt) limitStart(t time.Duration) {
	if a.StartBy == 0 || t < a.StartBy {
		a.StartBy = t
	}
}

// limitWrite limits the time at which the last byte of the attempt may be sent.
func (a *Attempt) limitWrite(t time.Duration) {
	a.limitStart(t)
	if a.WriteBy == 0 || t < a.WriteBy {
		a.WriteBy = t
	}
}

package backend

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
)

// workerIdle is how long an idle worker goroutine waits for another attempt before it exits. Most attempts
// are handed to such a worker, whose stack has already grown.
const workerIdle = time.Second

// Send starts an attempt on an idle worker, or on a new one if none is idle.
func (b *Backend) Send(a exchange.Attempt) {
	t := &attempt{b: b, Attempt: a}
	b.mu.Lock()
	b.attempts[key{a.ID, a.Number}] = t
	b.mu.Unlock()
	select {
	case b.work <- t:
	default:
		b.group.Go(func() error { return b.worker(t) })
	}
}

func (b *Backend) worker(t *attempt) error {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		b.attempt(t)
		idle.Reset(workerIdle)
		select {
		case t = <-b.work:
		case <-idle.C:
			return nil
		case <-b.ctx.Done():
			return nil
		}
	}
}

func (b *Backend) attempt(t *attempt) {
	defer func() {
		if p := recover(); p != nil { // a panic in one attempt must not end the process
			b.cfg.Counters.Panics.Add(1)
			b.cfg.Log.Error("attempt panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			t.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.Reset}})
		}
	}()
	if b.ctx.Err() != nil {
		t.end(canceled)
		return
	}
	t.run()
}

// Cancel cancels an attempt. Its connection is closed before the outcome is reported, and nothing of the
// attempt is sent after Cancel has returned.
func (b *Backend) Cancel(id string, number int) {
	b.mu.Lock()
	t := b.attempts[key{id, number}]
	b.mu.Unlock()
	if t != nil && !t.cancel() {
		t.end(canceled)
	}
}

// CancelUnsent ends an attempt that still waits for its connection. An attempt whose first byte may have been
// sent continues, because only its end shows whether it was executed.
func (b *Backend) CancelUnsent(id string, number int) {
	b.mu.Lock()
	t := b.attempts[key{id, number}]
	b.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	started := t.started
	t.mustNotStart = true
	t.mu.Unlock()
	if !started {
		t.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.NotSent}})
	}
}

var canceled = exchange.Outcome{Outcome: balance.Outcome{Result: balance.Canceled}}

// attempt is an attempt in flight. Several goroutines may end it; the first one reports its outcome.
type attempt struct {
	b *Backend
	exchange.Attempt

	mu         sync.Mutex
	cancelDial context.CancelFunc // cancels the dial; nil if none is under way
	conn       *conn              // set only while the attempt may have bytes in flight on it
	started    bool               // its first byte may have been sent
	ended      bool

	awaitsHost bool // its goroutine waits only for the host and ends the attempt itself
	converses  bool // its goroutine may also wait for the client; it releases the connection itself
	// canceled is set while awaitsHost is: the goroutine ends the attempt as canceled once it has read what
	// has arrived.
	canceled     bool
	mustNotStart bool // set by CancelUnsent: nothing of the attempt may be sent
}

// dialContext returns the context in which the attempt opens a connection. It is canceled when the attempt
// ends.
func (t *attempt) dialContext() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	ctx, stop := context.WithCancel(t.b.ctx)
	if t.cancelDial = stop; t.ended {
		stop()
	}
	return ctx
}

// end reports the outcome, once. It first closes a connection on which bytes of the attempt may be in flight,
// so that no later request can use it.
func (t *attempt) end(o exchange.Outcome) { t.finish(o, -1, false) }

// cancel closes the sending side of an attempt that waits for its host, and ends the wait. The attempt's
// goroutine then reads what has arrived, closes the connection and ends the attempt. It returns false if the
// attempt does not wait for its host.
func (t *attempt) cancel() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.awaitsHost || t.ended {
		return false
	}
	if !t.canceled {
		t.canceled = true
		t.conn.stopWaiting()
	}
	return true
}

// awaitAnswer makes the attempt's goroutine responsible for ending the attempt when it is canceled. It
// returns false if the attempt has ended.
func (t *attempt) awaitAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaitsHost = !t.ended
	return t.awaitsHost
}

// finish is end with the time that the host took, for callers that measure it separately; a negative time
// stands for all the time since the attempt was sent. With keepConn the connection stays open for the rest of
// the answer. It returns false if the attempt had already ended or been canceled.
func (t *attempt) finish(o exchange.Outcome, hostTime time.Duration, keepConn bool) bool {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return false
	}
	t.ended = true
	if t.canceled {
		o, hostTime, keepConn = canceled, -1, false
	}
	switch {
	case t.conn == nil, keepConn:
	// Input that has arrived may hold the statement that the host is not primary.
	case t.converses && o.Result == balance.Canceled:
		t.conn.stopWaiting()
	default:
		t.conn.close()
	}
	t.conn = nil
	cancelDial := t.cancelDial
	t.mu.Unlock()
	if cancelDial != nil {
		cancelDial()
	}
	t.b.mu.Lock()
	delete(t.b.attempts, key{t.ID, t.Number})
	t.b.mu.Unlock()
	o.ID, o.Attempt, o.Server, o.Took = t.ID, t.Number, t.Server, hostTime
	if hostTime < 0 {
		o.Took = t.b.cfg.Clock.Now() - t.Sent
	}
	t.b.reporter.Outcome(o)
	return !t.canceled
}

func (t *attempt) run() {
	for retry := true; retry; {
		retry = t.tryConn()
	}
}

// tryConn runs the attempt on one connection. It returns true if nothing was sent on it and another connection
// may be tried.
func (t *attempt) tryConn() (retry bool) {
	result := func(r balance.Result) { t.end(exchange.Outcome{Outcome: balance.Outcome{Result: r}}) }
	c, err := t.b.acquire(t.dialContext, t.Server, t.Deadline)
	for end := t.Sent + t.b.cfg.MaxWait; errors.Is(err, errNoFreeConn); c, err = t.b.acquire(t.dialContext, t.Server, t.Deadline) {
		until := min(end, t.Deadline)
		if t.StartBy > 0 {
			until = min(until, t.StartBy)
		}
		if !t.b.awaitConn(t.Server, until-t.b.cfg.Clock.Now()) {
			break
		}
	}
	if err != nil {
		result(connectResult(err))
		return false
	}
	now := t.b.cfg.Clock.Now()
	conversation, converses := t.Command.(Conversation)
	var command Command
	var query []byte
	large, _ := t.Command.(Large)
	if large != nil && !large.Large() {
		large = nil
	}
	if !converses {
		command = t.Command.(Command)
		if large == nil {
			query = command.AppendQuery(nil, t.Deadline-now)
		}
	}
	mayStart := t.mayStart(now)
	t.mu.Lock()
	if t.ended || t.mustNotStart || !mayStart {
		t.mu.Unlock()
		t.b.release(t.Server, c)
		result(balance.NotSent)
		return false
	}
	t.conn, t.started, t.awaitsHost, t.converses = c, true, large == nil && !converses, converses
	t.mu.Unlock()
	if converses {
		if c.clean = c.noUnreadInput(); !c.clean || t.sendCanceled() {
			return t.releaseUnsent(c)
		}
		t.converse(c, conversation)
		return false
	}
	var r reply
	if large != nil {
		r = c.exchange(func() error { return t.writeLarge(c, large, now) }, true, command.Tag(), limits{t.Deadline, t.WriteBy, t.sendCanceled})
	} else {
		r = c.roundTrip(query, command.Tag(), limits{t.Deadline, t.WriteBy, t.sendCanceled})
	}
	if r.result == balance.NotSent {
		return t.releaseUnsent(c)
	}
	if r.stream != nil {
		t.stream(r)
		return false
	}
	repeated := t.isRepeatedAnswer(c, &r, now)
	statedAt := t.b.observe(t.Server, &r, now, t.Keyed)
	if repeated { // whether the query was executed is unknown
		r, c.clean = r.asIncomplete(balance.Garbled), false
	}
	t.mu.Lock()
	t.conn, t.awaitsHost = nil, false
	if t.ended || t.canceled {
		c.clean = false // already closed, or its sending side is
	}
	t.mu.Unlock()
	t.b.release(t.Server, c)
	o := exchange.Outcome{Outcome: balance.Outcome{Result: r.result, Role: r.role, Position: r.position,
		Report: r.report, StatedAt: statedAt, Written: r.written}}
	if r.result == balance.OK {
		o.Value = r.value
	}
	t.end(o)
	return false
}

// sendCanceled reports whether nothing more of the attempt may be sent: it was canceled or has ended, or its
// client is known to have disconnected.
func (t *attempt) sendCanceled() bool {
	t.mu.Lock()
	canceled := t.mustNotStart || t.ended
	t.mu.Unlock()
	return canceled || t.ClientDisconnected != nil && t.ClientDisconnected()
}

// releaseUnsent releases a connection on which nothing of the attempt was sent. It returns true if the
// attempt has not ended and may try another connection.
func (t *attempt) releaseUnsent(c *conn) (retry bool) {
	t.mu.Lock()
	t.conn, t.started, t.awaitsHost, t.converses = nil, false, false, false
	canceled, ended := t.canceled, t.ended
	t.mu.Unlock()
	c.clean = c.clean && !canceled && !ended
	t.b.release(t.Server, c)
	if canceled || !ended && t.sendCanceled() {
		// If the attempt was canceled, finish reports Canceled instead.
		t.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.NotSent}})
		return false
	}
	return !ended
}

// mayStart reports whether the attempt may still start: its time limits, its host's drain and the evidence
// that it was routed on must allow it.
func (t *attempt) mayStart(now time.Duration) bool {
	switch {
	case now >= t.Deadline, t.StartBy > 0 && now > t.StartBy:
		return false
	case t.Grounds.Expired(now, t.b.cfg.Clock.ForModule()), t.b.groundsRefuted(t.Server, t.Grounds):
		return false
	}
	return !t.b.sendDeadlinePassed(t.Server, now)
}

// demandViolated reports whether the host's statements in a reply show that the data does not meet the
// request's demand, so that the answer must not be served.
func (t *attempt) demandViolated(r *reply, written time.Duration) bool {
	return t.Demand.Violated(r.role, r.position, written, t.b.cfg.Clock.ForModule())
}

// writeLarge writes a query that is not held in memory as a whole.
func (t *attempt) writeLarge(c *conn, query Large, now time.Duration) error {
	if err := query.WriteQuery(c, t.Deadline-now); err != nil {
		return err
	}
	if !t.awaitAnswer() {
		return net.ErrClosed
	}
	return nil
}

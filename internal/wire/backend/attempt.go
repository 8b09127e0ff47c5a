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
	attempt := &attempt{b: b, Attempt: a}
	b.mu.Lock()
	b.attempts[key{a.ID, a.Number}] = attempt
	b.mu.Unlock()
	select {
	case b.work <- attempt:
	default:
		b.group.Go(func() error { return b.worker(attempt) })
	}
}

func (b *Backend) worker(attempt *attempt) error {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		b.attempt(attempt)
		idle.Reset(workerIdle)
		select {
		case attempt = <-b.work:
		case <-idle.C:
			return nil
		case <-b.ctx.Done():
			return nil
		}
	}
}

func (b *Backend) attempt(attempt *attempt) {
	defer func() {
		if p := recover(); p != nil { // a panic in one attempt must not end the process
			b.cfg.Counters.Panics.Add(1)
			b.cfg.Log.Error("attempt panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			attempt.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.Reset}})
		}
	}()
	if b.ctx.Err() != nil {
		attempt.end(canceled)
		return
	}
	attempt.run()
}

// Cancel cancels an attempt. Its connection is closed before the outcome is reported, and nothing of the
// attempt is sent after Cancel has returned.
func (b *Backend) Cancel(id string, number int) {
	b.mu.Lock()
	attempt := b.attempts[key{id, number}]
	b.mu.Unlock()
	if attempt != nil && !attempt.cancel() {
		attempt.end(canceled)
	}
}

// CancelUnsent ends an attempt that still waits for its connection. An attempt whose first byte may have been
// sent continues, because only its end shows whether it was executed.
func (b *Backend) CancelUnsent(id string, number int) {
	b.mu.Lock()
	attempt := b.attempts[key{id, number}]
	b.mu.Unlock()
	if attempt == nil {
		return
	}
	attempt.mu.Lock()
	started := attempt.started
	attempt.mustNotStart = true
	attempt.mu.Unlock()
	if !started {
		attempt.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.NotSent}})
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
func (attempt *attempt) dialContext() context.Context {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	ctx, stop := context.WithCancel(attempt.b.ctx)
	if attempt.cancelDial = stop; attempt.ended {
		stop()
	}
	return ctx
}

// end reports the outcome, once. It first closes a connection on which bytes of the attempt may be in flight,
// so that no later request can use it.
func (attempt *attempt) end(o exchange.Outcome) { attempt.finish(o, -1, false) }

// cancel closes the sending side of an attempt that waits for its host, and ends the wait. The attempt's
// goroutine then reads what has arrived, closes the connection and ends the attempt. It returns false if the
// attempt does not wait for its host.
func (attempt *attempt) cancel() bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if !attempt.awaitsHost || attempt.ended {
		return false
	}
	if !attempt.canceled {
		attempt.canceled = true
		attempt.conn.stopWaiting()
	}
	return true
}

// awaitAnswer makes the attempt's goroutine responsible for ending the attempt when it is canceled. It
// returns false if the attempt has ended.
func (attempt *attempt) awaitAnswer() bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	attempt.awaitsHost = !attempt.ended
	return attempt.awaitsHost
}

// finish is end with the time that the host took, for callers that measure it separately; a negative time
// stands for all the time since the attempt was sent. With keepConn the connection stays open for the rest of
// the answer. It returns false if the attempt had already ended or been canceled.
func (attempt *attempt) finish(o exchange.Outcome, hostTime time.Duration, keepConn bool) bool {
	attempt.mu.Lock()
	if attempt.ended {
		attempt.mu.Unlock()
		return false
	}
	attempt.ended = true
	if attempt.canceled {
		o, hostTime, keepConn = canceled, -1, false
	}
	switch {
	case attempt.conn == nil, keepConn:
	// Input that has arrived may hold the statement that the host is not primary.
	case attempt.converses && o.Result == balance.Canceled:
		attempt.conn.stopWaiting()
	default:
		attempt.conn.close()
	}
	attempt.conn = nil
	cancelDial := attempt.cancelDial
	attempt.mu.Unlock()
	if cancelDial != nil {
		cancelDial()
	}
	attempt.b.mu.Lock()
	delete(attempt.b.attempts, key{attempt.ID, attempt.Number})
	attempt.b.mu.Unlock()
	o.ID, o.Attempt, o.Server, o.Took = attempt.ID, attempt.Number, attempt.Server, hostTime
	if hostTime < 0 {
		o.Took = attempt.b.cfg.Clock.Now() - attempt.Sent
	}
	attempt.b.reporter.Outcome(o)
	return !attempt.canceled
}

func (attempt *attempt) run() {
	for retry := true; retry; {
		retry = attempt.tryConn()
	}
}

// tryConn runs the attempt on one connection. It returns true if nothing was sent on it and another connection
// may be tried.
func (attempt *attempt) tryConn() (retry bool) {
	endWith := func(r balance.Result) { attempt.end(exchange.Outcome{Outcome: balance.Outcome{Result: r}}) }
	c, err := attempt.b.acquire(attempt.dialContext, attempt.Server, attempt.Deadline)
	for end := attempt.Sent + attempt.b.cfg.MaxWait; errors.Is(err, errNoFreeConn); c, err = attempt.b.acquire(attempt.dialContext, attempt.Server, attempt.Deadline) {
		until := min(end, attempt.Deadline)
		if attempt.StartBy > 0 {
			until = min(until, attempt.StartBy)
		}
		if !attempt.b.awaitConn(attempt.Server, until-attempt.b.cfg.Clock.Now()) {
			break
		}
	}
	if err != nil {
		endWith(connectResult(err))
		return false
	}
	now := attempt.b.cfg.Clock.Now()
	conversation, converses := attempt.Command.(Conversation)
	large, _ := attempt.Command.(Large)
	if large != nil && !large.Large() {
		large = nil
	}
	mayStart := attempt.mayStart(now)
	attempt.mu.Lock()
	if attempt.ended || attempt.mustNotStart || !mayStart {
		attempt.mu.Unlock()
		attempt.b.release(attempt.Server, c)
		endWith(balance.NotSent)
		return false
	}
	attempt.conn, attempt.started, attempt.awaitsHost, attempt.converses = c, true, large == nil && !converses, converses
	attempt.mu.Unlock()
	if converses {
		if c.clean = c.noUnreadInput(); !c.clean || attempt.sendCanceled() {
			return attempt.releaseUnsent(c)
		}
		attempt.converse(c, conversation)
		return false
	}
	now, cleared, retry := attempt.clearSettings(c, now)
	if !cleared {
		return retry
	}
	command := attempt.Command.(Command)
	var r reply
	if large != nil {
		r = c.exchange(func() error { return attempt.writeLarge(c, large, now) }, true, command.Tag(), limits{attempt.Deadline, attempt.WriteBy, attempt.sendCanceled})
	} else {
		query := command.AppendQuery(nil, attempt.Deadline-now)
		r = c.roundTrip(query, command.Tag(), limits{attempt.Deadline, attempt.WriteBy, attempt.sendCanceled})
	}
	if r.result == balance.NotSent {
		return attempt.releaseUnsent(c)
	}
	if r.stream != nil {
		attempt.stream(r)
		return false
	}
	repeated := attempt.isRepeatedAnswer(c, &r, now)
	statedAt := attempt.b.observe(attempt.Server, &r, now, attempt.Keyed)
	if repeated { // whether the query was executed is unknown
		r, c.clean = r.asIncomplete(balance.Garbled), false
	}
	attempt.mu.Lock()
	attempt.conn, attempt.awaitsHost = nil, false
	if attempt.ended || attempt.canceled {
		c.clean = false // already closed, or its sending side is
	}
	attempt.mu.Unlock()
	attempt.b.release(attempt.Server, c)
	o := exchange.Outcome{Outcome: balance.Outcome{Result: r.result, Role: r.role, Position: r.position,
		Report: r.report, StatedAt: statedAt, Written: r.written}}
	if r.result == balance.OK {
		o.Value = r.value
	}
	attempt.end(o)
	return false
}

// sendCanceled reports whether nothing more of the attempt may be sent: it was canceled or has ended, or its
// client is known to have disconnected.
func (attempt *attempt) sendCanceled() bool {
	attempt.mu.Lock()
	canceled := attempt.mustNotStart || attempt.ended
	attempt.mu.Unlock()
	return canceled || attempt.ClientDisconnected != nil && attempt.ClientDisconnected()
}

// releaseUnsent releases a connection on which nothing of the attempt was sent. It returns true if the
// attempt has not ended and may try another connection.
func (attempt *attempt) releaseUnsent(c *conn) (retry bool) {
	attempt.mu.Lock()
	attempt.conn, attempt.started, attempt.awaitsHost, attempt.converses = nil, false, false, false
	canceled, ended := attempt.canceled, attempt.ended
	attempt.mu.Unlock()
	c.clean = c.clean && !canceled && !ended
	attempt.b.release(attempt.Server, c)
	if canceled || !ended && attempt.sendCanceled() {
		// If the attempt was canceled, finish reports Canceled instead.
		attempt.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.NotSent}})
		return false
	}
	return !ended
}

// mayStart reports whether the attempt may still start: its time limits, its host's drain and the evidence
// that it was routed on must allow it.
func (attempt *attempt) mayStart(now time.Duration) bool {
	switch {
	case now >= attempt.Deadline, attempt.StartBy > 0 && now > attempt.StartBy:
		return false
	case attempt.Grounds.Expired(now, attempt.b.cfg.Clock.ForModule()), attempt.b.groundsRefuted(attempt.Server, attempt.Grounds):
		return false
	}
	return !attempt.b.sendDeadlinePassed(attempt.Server, now)
}

// demandViolated reports whether the host's statements in a reply show that the data does not meet the
// request's demand, so that the answer must not be served.
func (attempt *attempt) demandViolated(r *reply, written time.Duration) bool {
	return attempt.Demand.Violated(r.role, r.position, written, attempt.b.cfg.Clock.ForModule())
}

// mayBegin reports whether what a host executes may still be sent on a connection that is ready for it.
func (attempt *attempt) mayBegin(now time.Duration) bool {
	return !attempt.sendCanceled() && (attempt.WriteBy == 0 || now <= attempt.WriteBy) && attempt.mayStart(now)
}

// writeLarge writes a query that is not held in memory as a whole.
func (attempt *attempt) writeLarge(c *conn, query Large, now time.Duration) error {
	if err := query.WriteQuery(c, attempt.Deadline-now); err != nil {
		return err
	}
	if !attempt.awaitAnswer() {
		return net.ErrClosed
	}
	return nil
}

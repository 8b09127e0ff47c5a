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

// workerIdle is how long a goroutine that has ended its attempt waits for another. Most attempts find one that waits, with
// a stack that has grown already.
const workerIdle = time.Second

// Send starts an attempt.
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
		if p := recover(); p != nil { // one attempt must not end the process
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

// Cancel stops waiting for an attempt; the connection is closed before the outcome is told. Its sending has ended when Cancel returns.
func (b *Backend) Cancel(id string, number int) {
	b.mu.Lock()
	t := b.attempts[key{id, number}]
	b.mu.Unlock()
	if t != nil && !t.cancel() {
		t.end(canceled)
	}
}

// CancelUnsent ends an attempt that still waits for its connection. One whose first byte may have gone out goes on: only its end
// says what became of it.
func (b *Backend) CancelUnsent(id string, number int) {
	b.mu.Lock()
	t := b.attempts[key{id, number}]
	b.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	begun := t.begun
	t.withdrawn = true // from here on it does not begin
	t.mu.Unlock()
	if !begun {
		t.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.NotSent}})
	}
}

var canceled = exchange.Outcome{Outcome: balance.Outcome{Result: balance.Canceled}}

// attempt is one attempt. Whoever ends it first tells its outcome.
type attempt struct {
	b *Backend
	exchange.Attempt

	mu    sync.Mutex
	stop  context.CancelFunc // ends the opening of a connection; nil: none is being opened
	conn  *conn              // only while something may be out on it
	begun bool               // its first byte may have gone out
	ended bool

	awaits    bool // its goroutine waits for nothing but the host, and ends it
	converses bool // its goroutine may wait for the client too, and gives the connection back
	canceled  bool // while it awaits: it is to end so, once what has arrived is read
	withdrawn bool
}

// opening gives the context in which the attempt opens a connection: it ends with the attempt.
func (t *attempt) opening() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	ctx, stop := context.WithCancel(t.b.ctx)
	if t.stop = stop; t.ended {
		stop()
	}
	return ctx
}

// end tells the outcome, once. A connection with something out on it is closed first: what is sent next must not
// meet it.
func (t *attempt) end(o exchange.Outcome) { t.finish(o, -1, false) }

// cancel ends the sending of an attempt that awaits its answer, and its wait: its goroutine looks at what has arrived, closes the
// connection and ends it. false: it does not await one.
func (t *attempt) cancel() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.awaits || t.ended {
		return false
	}
	if !t.canceled {
		t.canceled = true
		t.conn.stopWaiting()
	}
	return true
}

// await lets the attempt's goroutine end it when it is canceled. false: it has ended.
func (t *attempt) await() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaits = !t.ended
	return t.awaits
}

// finish is end with the time that the host took, if that is known apart; below 0: all since it was sent. With keep the
// connection stays open, for what is still to come of the answer; false: the attempt had ended or been canceled before.
func (t *attempt) finish(o exchange.Outcome, busy time.Duration, keep bool) bool {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return false
	}
	t.ended = true
	if t.canceled {
		o, busy, keep = canceled, -1, false
	}
	switch {
	case t.conn == nil, keep:
	case t.converses && o.Result == balance.Canceled: // what has arrived may hold a word against the host
		t.conn.stopWaiting()
	default:
		t.conn.close()
	}
	t.conn = nil
	stop := t.stop
	t.mu.Unlock()
	if stop != nil {
		stop()
	}
	t.b.mu.Lock()
	delete(t.b.attempts, key{t.ID, t.Number})
	t.b.mu.Unlock()
	o.ID, o.Attempt, o.Server, o.Took = t.ID, t.Number, t.Server, busy
	if busy < 0 {
		o.Took = t.b.cfg.Clock.Now() - t.Sent
	}
	t.b.to.Outcome(o)
	return !t.canceled
}

func (t *attempt) run() {
	for again := true; again; {
		again = t.try()
	}
}

// try carries out the attempt on one connection. again: nothing of it has gone out there, and another may serve.
func (t *attempt) try() (again bool) {
	result := func(r balance.Result) { t.end(exchange.Outcome{Outcome: balance.Outcome{Result: r}}) }
	c, err := t.b.take(t.opening, t.Server, t.Deadline)
	for end := t.Sent + t.b.cfg.MaxWait; errors.Is(err, errNoRoom); c, err = t.b.take(t.opening, t.Server, t.Deadline) {
		until := min(end, t.Deadline)
		if t.StartBy > 0 {
			until = min(until, t.StartBy)
		}
		if !t.b.await(t.Server, until-t.b.cfg.Clock.Now()) {
			break
		}
	}
	if err != nil {
		result(connectResult(err))
		return false
	}
	now := t.b.cfg.Clock.Now()
	talk, converses := t.Command.(Conversation)
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
	due := t.due(now)
	t.mu.Lock()
	if t.ended || t.withdrawn || !due {
		t.mu.Unlock()
		t.b.put(t.Server, c)
		result(balance.NotSent)
		return false
	}
	t.conn, t.begun, t.awaits, t.converses = c, true, large == nil && !converses, converses
	t.mu.Unlock()
	if converses {
		if c.clean = c.unspoken(); !c.clean || t.calledOff() {
			return t.leave(c)
		}
		t.converse(c, talk)
		return false
	}
	var r reply
	if large != nil {
		r = c.exchange(func() error { return t.writeLarge(c, large, now) }, true, command.Tag(), limits{t.Deadline, t.WriteBy, t.calledOff})
	} else {
		r = c.roundTrip(query, command.Tag(), limits{t.Deadline, t.WriteBy, t.calledOff})
	}
	if r.result == balance.NotSent {
		return t.leave(c)
	}
	if r.stream != nil {
		t.stream(r)
		return false
	}
	repeated := t.repeated(c, &r, now)
	made := t.b.observe(t.Server, &r, now, t.Keyed)
	if repeated { // what became of the query is not known
		r, c.clean = r.broken(balance.Garbled), false
	}
	t.mu.Lock()
	t.conn, t.awaits = nil, false
	if t.ended || t.canceled {
		c.clean = false // closed under it, or its sending is over
	}
	t.mu.Unlock()
	t.b.put(t.Server, c)
	o := exchange.Outcome{Outcome: balance.Outcome{Result: r.result, Role: r.role, Position: r.position,
		Report: r.report, StatedAt: made, Written: r.written}}
	if r.result == balance.OK {
		o.Value = r.value
	}
	t.end(o)
	return false
}

// calledOff says that nothing of the attempt is to go out any more: it was withdrawn, or its client has left, as far as can be seen.
func (t *attempt) calledOff() bool {
	t.mu.Lock()
	off := t.withdrawn || t.ended
	t.mu.Unlock()
	return off || t.ClientDisconnected != nil && t.ClientDisconnected()
}

// leave gives up a connection on which nothing of the attempt has gone out. again: the attempt has not ended.
func (t *attempt) leave(c *conn) (again bool) {
	t.mu.Lock()
	t.conn, t.begun, t.awaits, t.converses = nil, false, false, false
	canceled, ended := t.canceled, t.ended
	t.mu.Unlock()
	c.clean = c.clean && !canceled && !ended
	t.b.put(t.Server, c)
	if canceled || !ended && t.calledOff() {
		t.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.NotSent}}) // or as canceled
		return false
	}
	return !ended
}

// due says whether the attempt may still begin: its time, its host's drain and the evidence that it was decided on allow it.
func (t *attempt) due(now time.Duration) bool {
	switch {
	case now >= t.Deadline, t.StartBy > 0 && now > t.StartBy:
		return false
	case t.Grounds.Expired(now, t.b.cfg.Clock.ForModule()), t.b.refuted(t.Server, t.Grounds):
		return false
	}
	return !t.b.over(t.Server, now)
}

// refuted says that what a host told proves that its answer must not be served.
func (t *attempt) refuted(r *reply, written time.Duration) bool {
	return t.Demand.Violated(r.role, r.position, written, t.b.cfg.Clock.ForModule())
}

// writeLarge writes a query that does not fit into memory.
func (t *attempt) writeLarge(c *conn, query Large, now time.Duration) error {
	if err := query.WriteQuery(c, t.Deadline-now); err != nil {
		return err
	}
	if !t.await() {
		return net.ErrClosed
	}
	return nil
}

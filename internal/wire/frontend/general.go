package frontend

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/relay"
)

// Pool configures the general SQL sessions of a user or database.
type Pool struct {
	Name  string
	Mode  pooling.Mode
	Group int
	// Read, ReadAfterWrite and Write are the classes of reads, of reads after a write of the same session, and of
	// everything that may write.
	Read, ReadAfterWrite, Write string
	MaxTransaction              time.Duration // maximum duration of a transaction, from its first statement
	MaxIdle                     time.Duration // maximum idle time within a transaction
	MaxBatch                    int           // maximum size of a buffered pipeline in bytes
	MaxMessage                  int           // maximum size in bytes of a Bind that is streamed
	MaxSessions                 int           // maximum number of sessions that hold a host connection; 0: no limit
	Stats                       *PoolStats
}

// PoolStats counts the activity of a pool's sessions. Sessions and CheckedOut are the current numbers of sessions and of
// checked-out connections; the other fields are totals. Lost counts the sessions whose host connection was lost, Cancels
// the cancel requests that found a command running.
type PoolStats struct {
	Sessions, CheckedOut, Batches, Transactions atomic.Int64
	Pins                                        [8]atomic.Int64 // by the bits of pooling.Pin
	Lost, Cancels                               atomic.Int64
}

// poolLimitRetryAfter is the retryAfter of a request refused because its pool holds the maximum number of host
// connections.
const poolLimitRetryAfter = 50 * time.Millisecond

// codeFailedTransaction is PostgreSQL's code in_failed_sql_transaction.
const codeFailedTransaction = "25P02"

// codeOutOfMemory is PostgreSQL's code out_of_memory.
const codeOutOfMemory = "53200"

// maxSessionCheckout limits how long a session may keep its host connection.
const maxSessionCheckout = 24 * time.Hour

// generalSession is the state of a general SQL session. The goroutine that reads collects batches, the one that answers
// executes them.
type generalSession struct {
	c     *session
	pool  *Pool
	state *pooling.Session
	key   pg.Key

	batch      *relay.Batch // batch being collected
	batchBytes int          // size of batch
	stateBytes int          // bytes held of the session's memory for state
	heldBytes  int          // bytes held of the session's memory for batch

	checkout  *relay.Checkout // checked-out connection that is kept between batches; nil: none
	request   *exchange.Request
	answers   chan exchange.Answer
	skipping  bool          // after an error, messages up to the next Sync are skipped
	unsynced  bool          // the last batch went to the host of checkout without a Sync at its end
	lastWrite time.Duration // position of the session's last write by the fleet's clock; negative: unknown, 0: none
	// freeSince is the end of the last batch after which no connection was kept, or 0 if there was none. The next batch
	// counts as arrived then at the earliest: clients of general SQL do not state how long they wait, so the time spent
	// behind an earlier batch of the session does not count.
	freeSince time.Duration
	answering atomic.Bool                    // the exchange knows that an answer has begun
	running   atomic.Pointer[relay.Checkout] // checkout whose batch is awaited, which a cancel request cancels; nil: none
}

// newGeneralSession returns the state of a new session of the pool, with a random key for cancel requests.
func newGeneralSession(c *session, p *Pool, parameters pg.Parameters) *generalSession {
	var b [8]byte
	_, _ = rand.Read(b[:])
	g := &generalSession{c: c, pool: p, state: pooling.NewSession(parameters),
		key: pg.Key{Process: binary.BigEndian.Uint32(b[:]), Secret: binary.BigEndian.Uint32(b[4:])}}
	p.Stats.Sessions.Add(1)
	return g
}

// errClientWrite reports a failed write to the client. Its text may be part of the error that ends the
// session.
var errClientWrite = errors.New("the client takes no answer")

func (g *generalSession) write(b []byte) error {
	if !g.c.write(b) {
		return errClientWrite
	}
	return nil
}

// readMessage reads the body of one message into the batch, and queues the batch after a Query, Sync or Flush. badMessage
// counts an invalid message and returns the error for it.
func (g *generalSession) readMessage(kind byte, length int, badMessage func(code, message string) *pg.Error) error {
	c := g.c
	refuse := func(e *pg.Error) error {
		c.memory.release(g.heldBytes)
		g.batch, g.batchBytes, g.heldBytes = nil, 0, 0
		c.skipping = kind != pg.Query
		if kind == pg.Query || kind == pg.Function {
			return c.skipBody(length, command{err: e}, command{readyOnly: true})
		}
		return c.skipBody(length, command{err: e})
	}
	switch kind {
	case pg.Terminate:
		return io.EOF
	case pg.Function:
		return refuse(badMessage(pg.CodeNotSupported, "function calls are not supported"))
	case pg.CopyData, pg.CopyDone, pg.CopyFail:
		return c.skipBody(length) // ignored outside COPY, as PostgreSQL does
	case pg.Password:
		return c.skipBody(length, command{err: badMessage(pg.CodeProtocolViolation, "no password was asked for")}, command{readyOnly: true})
	case pg.Query, pg.Parse, pg.Bind, pg.Describe, pg.Execute, pg.Close, pg.Flush, pg.Sync:
	default:
		return pg.ErrFraming
	}
	if c.skipping {
		if kind == pg.Sync {
			c.skipping = false
			return c.skipBody(length, command{readyOnly: true})
		}
		return c.skipBody(length)
	}
	if kind == pg.Bind && length > minStreamedBind && length <= g.pool.MaxMessage {
		return g.streamBind(length, badMessage)
	}
	if g.batchBytes+length > g.pool.MaxBatch {
		return refuse(badMessage("54000", "the message or the pipeline is too long"))
	}
	cost := commandCost + copiesOfText*length
	if !c.memory.acquire(cost) {
		return refuse(pg.Refusal("no memory for the statement", c.s.retryAfter()))
	}
	g.heldBytes += cost
	body, err := pg.ReadBody(c.in, length, length)
	if err != nil {
		return err
	}
	if g.batch == nil {
		g.batch = &relay.Batch{}
	}
	g.batch.Messages = append(g.batch.Messages, relay.Message{Kind: kind, Body: body})
	g.batchBytes += length + 5
	if kind == pg.Query || kind == pg.Sync || kind == pg.Flush {
		g.batch.Complete = kind != pg.Flush
		cmd := command{batch: g.batch, held: g.heldBytes, arrived: c.s.cfg.Clock.Now()}
		g.batch, g.batchBytes, g.heldBytes = nil, 0, 0
		c.enqueue(cmd)
	}
	return nil
}

// minStreamedBind is the length in bytes above which a Bind is streamed, in chunks of chunkSize bytes.
const (
	minStreamedBind = 64 << 10
	chunkSize       = 32 << 10
)

// streamBind forwards a long Bind in chunks as it arrives. The batch collected so far is queued with it.
func (g *generalSession) streamBind(length int, badMessage func(code, message string) *pg.Error) error {
	c := g.c
	head, err := c.in.Peek(min(length, c.in.Size()))
	if err != nil {
		return err
	}
	namesLen := bytes.IndexByte(head, 0) + 1
	if n := bytes.IndexByte(head[namesLen:], 0) + 1; namesLen > 0 && n > 0 {
		namesLen += n
	} else {
		c.skipping = true
		return c.skipBody(length, command{err: badMessage(pg.CodeProtocolViolation, "the names in a Bind are too long")})
	}
	if !c.memory.acquire(2 * chunkSize) {
		c.skipping = true
		return c.skipBody(length, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())})
	}
	defer c.memory.release(2 * chunkSize)
	rest := relay.NewStream(length - namesLen)
	m := relay.Message{Kind: pg.Bind, Body: bytes.Clone(head[:namesLen]), Rest: rest}
	_, _ = c.in.Discard(namesLen)
	if g.batch == nil {
		g.batch = &relay.Batch{}
	}
	g.batch.Messages, g.batch.Streamed = append(g.batch.Messages, m), true
	cmd := command{batch: g.batch, held: g.heldBytes, arrived: c.s.cfg.Clock.Now()}
	g.batch, g.batchBytes, g.heldBytes = nil, 0, 0
	c.enqueue(cmd)
	defer rest.End()
	accepted, buffers := true, [2][]byte{make([]byte, chunkSize), make([]byte, chunkSize)}
	for remaining, i := length-namesLen, 0; remaining > 0; i = 1 - i {
		c.setReadTimeout(progressTimeout) // a deadline for each chunk, as the whole message may take longer
		b := buffers[i][:min(remaining, chunkSize)]
		if _, err := io.ReadFull(c.in, b); err != nil {
			return err
		}
		remaining -= len(b)
		accepted = accepted && rest.Put(b)
	}
	c.mu.Lock()
	c.hasDeadline = true // makes messageDone clear the deadline
	c.mu.Unlock()
	return nil
}

// answer executes a batch and writes its answer. It returns false if the session ends.
func (g *generalSession) answer(ctx context.Context, cmd command) bool {
	c, b := g.c, cmd.batch
	g.pool.Stats.Batches.Add(1)
	if g.skipping {
		// Messages after an error are skipped up to the Sync, as PostgreSQL does.
		b.Discard()
		if g.skipping = b.Messages[len(b.Messages)-1].Kind != pg.Sync; g.skipping {
			return true
		}
		return c.write(pg.AppendReadyAs(nil, g.state.Status))
	}
	defer b.Discard()
	text, classified := g.classify(b)
	defer c.memory.release(len(b.Commands) * classifiedCost)
	if !classified {
		return g.writeError(b, pg.Refusal("no memory for the statements", c.s.retryAfter()))
	}
	for _, x := range b.Commands {
		if x.Kind == pooling.Copy {
			return g.writeError(b, &pg.Error{Code: pg.CodeNotSupported, Message: "COPY is not carried"})
		}
	}
	last := b.Messages[len(b.Messages)-1].Kind
	begins, _ := b.Begins()
	switch {
	case len(b.Messages) == 1 && last == pg.Sync && g.checkout == nil:
		return c.write(pg.AppendReady(nil))
	case len(b.Messages) == 1 && last == pg.Query && len(b.Commands) == 1 && b.Commands[0].Kind == pooling.Empty && g.checkout == nil:
		select {
		case <-c.s.ready:
		case <-c.disconnected:
			return false
		case <-ctx.Done():
			return false
		}
		return c.write(pg.AppendReady(pg.Append(nil, pg.EmptyQueryResponse)))
	case len(b.Messages) == 1 && last == pg.Query && len(b.Commands) == 1 && b.Commands[0].Kind == pooling.Deallocate &&
		g.state.Prepared(b.Commands[0].Name) != nil:
		return g.deallocate(b)
	case begins && g.pool.Mode == pooling.ByStatement:
		return g.writeError(b, &pg.Error{Code: pg.CodeNotSupported, Message: "this pool carries no transactions"})
	}
	g.unsynced = !b.Complete
	if g.checkout != nil {
		if c.clientDisconnected() { // no request is submitted, which would check it
			return false
		}
		g.checkout.Next(b)
		return g.awaitBatch(ctx, b, false)
	}
	r := g.newRequest(cmd, text)
	if begins {
		g.pool.Stats.Transactions.Add(1)
	}
	checkout := relay.New(g.state, g.pool.Mode, g.write, b)
	checkout.MaxIdle, checkout.LeaveRest = g.pool.MaxIdle, g.pool.MaxSessions > 0
	if !r.Write && r.Checkout == 0 && g.lastWrite > 0 {
		checkout.MinPosition = g.lastWrite
	}
	checkout.OnPinned = func(p pooling.Pin) {
		for i := range g.pool.Stats.Pins {
			if p&(1<<i) != 0 {
				g.pool.Stats.Pins[i].Add(1)
			}
		}
	}
	g.answers = make(chan exchange.Answer, 1)
	checkout.OnAnswerBegun = func() {
		if r.Checkout > 0 && g.answering.CompareAndSwap(false, true) {
			c.s.x.AnswerBegun(r)
		}
	}
	r.Command, r.Answer, r.ClientDisconnected, r.Revoke = checkout, g.answers, c.clientDisconnected, checkout.Revoke
	g.request = r
	g.setCheckout(checkout)
	c.s.x.Submit(r)
	return g.awaitBatch(ctx, b, true)
}

// deallocate answers a query that is a DEALLOCATE of a statement of the protocol, which the host may have under another name.
func (g *generalSession) deallocate(b *relay.Batch) bool {
	switch {
	case g.inPipeline(): // the query would also commit the pipeline
		return g.writeError(b, &pg.Error{Code: pg.CodeNotSupported, Message: "DEALLOCATE within a pipeline is not supported"})
	case g.state.Status == 'E':
		return g.writeError(b, &pg.Error{Code: codeFailedTransaction, Message: "current transaction is aborted, commands ignored until end of transaction block"})
	}
	g.state.Close(b.Commands[0].Name)
	return g.c.write(pg.AppendReadyAs(pg.Append(nil, pg.CommandComplete, []byte("DEALLOCATE\x00")), g.state.Status))
}

// setCheckout sets the checked-out connection, or clears it for nil. A session that has one counts as busy.
func (g *generalSession) setCheckout(checkout *relay.Checkout) {
	if (g.checkout == nil) == (checkout == nil) {
		g.checkout = checkout
		return
	}
	g.c.mu.Lock()
	if checkout != nil {
		g.c.open++
		g.pool.Stats.CheckedOut.Add(1)
	} else {
		g.c.open--
		g.pool.Stats.CheckedOut.Add(-1)
	}
	g.c.mu.Unlock()
	g.checkout = checkout
}

// awaitBatch waits for the end of a batch. first is set for the batch that requests the connection.
func (g *generalSession) awaitBatch(ctx context.Context, b *relay.Batch, first bool) bool {
	c, checkout := g.c, g.checkout
	g.running.Store(checkout)
	defer g.running.Store(nil)
	select {
	case d := <-checkout.Done():
		return g.batchDone(d)
	case a := <-g.answers:
		select {
		case d := <-checkout.Done(): // both channels were ready
			return g.batchDone(d)
		default:
		}
		checkout.Mute()
		checkout.Close()
		g.setCheckout(nil)
		if checkout.WithinRow() {
			return false // an error would be taken for a part of the row
		}
		if !first {
			g.state.ConnectionLost()
			return g.writeFatal(relay.ConnectionError(fmt.Errorf("%s", reason(a))))
		}
		if a.Kind == exchange.Served { // not reached: the relay sends Done before, and it was received above
			return false
		}
		return g.writeError(b, errorOf(a))
	case <-c.disconnected:
		c.s.x.CancelRequest(g.request)
		checkout.Mute()
		checkout.Close()
		return false
	case <-ctx.Done():
		return false
	}
}

// reason returns why a request was not served.
func reason(a exchange.Answer) string {
	if a.Reason == "" {
		return "its time is over"
	}
	return a.Reason
}

// batchDone handles the end of a batch, or of a checkout between two batches. It returns false if the session
// ends.
func (g *generalSession) batchDone(d relay.Done) bool {
	if d.Wrote != 0 {
		g.lastWrite = d.Wrote
	}
	if g.answering.Swap(false) {
		g.c.s.x.AnswerEnded(g.request)
	}
	if d.Err == nil && !g.holdState() {
		return g.endForMemory()
	}
	switch {
	case d.Err != nil:
		checkout := g.checkout
		checkout.Mute()
		g.c.s.x.CancelRequest(g.request)
		g.setCheckout(nil)
		g.pool.Stats.Lost.Add(1)
		if checkout.WithinRow() {
			return false // an error would be taken for a part of the row
		}
		g.state.ConnectionLost()
		return g.writeFatal(relay.ConnectionError(d.Err))
	case !d.Keep:
		g.setCheckout(nil)
		g.freeSince = g.c.s.cfg.Clock.Now()
		return len(d.Rest) == 0 || g.c.write(d.Rest)
	}
	return true
}

// holdState counts the session's state as it is now. It returns false if there is no memory for it.
func (g *generalSession) holdState() bool {
	more := g.state.Size() - g.stateBytes
	if more > 0 && !g.c.memory.acquire(more) {
		return false
	}
	if more < 0 {
		g.c.memory.release(-more)
	}
	g.stateBytes += more
	return true
}

// endForMemory ends a session for whose state there is no memory: the host has run what changed it. It returns false.
func (g *generalSession) endForMemory() bool {
	g.c.s.cfg.Counters.ClientsOverrun.Add(1)
	g.c.s.logEnd("closed: no memory for the state of its session", g.c)
	if g.checkout != nil {
		g.checkout.Mute()
	}
	return g.writeFatal(&pg.Error{Code: codeOutOfMemory, Message: "no memory for the prepared statements and settings of the session", Fatal: true})
}

// writeFatal sends the error that ends the session. It returns false.
func (g *generalSession) writeFatal(e *pg.Error) bool {
	if g.c.write(pg.AppendError(nil, e)) {
		g.c.linger()
	}
	return false
}

// inPipeline reports whether the host has a part of a pipeline without its Sync. It would commit that part with the session's next
// query, so an error of the gateway must end the session.
func (g *generalSession) inPipeline() bool { return g.checkout != nil && g.unsynced }

// writeError answers a batch with an error of the gateway. It returns false if the session ends.
func (g *generalSession) writeError(b *relay.Batch, e *pg.Error) bool {
	if g.inPipeline() {
		e.Fatal = true
		return g.writeFatal(e)
	}
	out := pg.AppendError(nil, e)
	if g.skipping = !b.Complete; b.Complete {
		out = pg.AppendReadyAs(out, g.state.Status)
	}
	return g.c.write(out)
}

// end closes the session's checkout, if any, which rolls back an open transaction.
func (g *generalSession) end() {
	if g.checkout != nil {
		g.checkout.Mute()
		g.checkout.Close()
		g.setCheckout(nil)
	}
	g.pool.Stats.Sessions.Add(-1)
}

// nextCommand returns the next command, and false if the session ends. A checkout that ends while no command
// arrives ends the session.
func (c *session) nextCommand() (command, bool) {
	for {
		if cmd, ok, ended := c.pending.take(); ok || ended {
			return cmd, ok
		}
		if c.general == nil || c.general.checkout == nil {
			<-c.pending.available
			continue
		}
		select {
		case <-c.pending.available:
		case d := <-c.general.checkout.Done():
			return command{}, c.general.batchDone(d)
		case a := <-c.general.answers:
			select {
			case d := <-c.general.checkout.Done(): // both channels were ready, and this one says why
				return command{}, c.general.batchDone(d)
			default:
			}
			// Without the close the conversation would wait for the next batch for ever, and with it the end of the process.
			c.general.checkout.Mute()
			c.general.checkout.Close()
			c.general.setCheckout(nil)
			c.general.writeFatal(relay.ConnectionError(fmt.Errorf("%s", reason(a))))
			return command{}, false
		}
	}
}

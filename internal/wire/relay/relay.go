// Package relay forwards the general SQL of a client's session to a host connection and the answers back: simple and
// extended queries, pipelines and transactions. Package pooling decides what has to be set up on the connection first and
// which state the session keeps. Package balance selects the host; Converse carries out the attempt that it issued.
package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/pg"
)

const (
	flushSize             = 16 << 10 // bytes of answers buffered before they are written to the client
	maxBody               = 16 << 10 // bytes; a longer body is forwarded in pieces without being buffered
	maxHeld               = 80 << 10 // bytes of an answer held until the age of its data is known: a value of 64 KiB and overhead
	rollbackTimeout       = time.Second
	cancelTimeout         = time.Second
	codeIdleTimeout       = "25P03" // idle_in_transaction_session_timeout
	codeConnectionFailure = "08006" // connection_failure
)

// Message is one protocol message of a client.
type Message struct {
	Kind byte
	Body []byte  // for a Bind that is streamed: portal and statement name, each with its zero byte
	Rest *Stream // the part after Body, or nil if Body is the whole message
}

// Stream is the remainder of a large message, in pieces as they arrive from the client.
type Stream struct {
	Length int // of the remainder, in bytes
	pieces chan []byte
	quit   chan struct{}
	once   sync.Once
}

// NewStream returns a stream of length bytes.
func NewStream(length int) *Stream {
	return &Stream{Length: length, pieces: make(chan []byte), quit: make(chan struct{})}
}

// Put hands over a piece and blocks until it is received. The memory of a piece may be reused from the second call after it
// on. It returns false if the stream was discarded.
func (s *Stream) Put(piece []byte) bool {
	select {
	case s.pieces <- piece:
		return true
	case <-s.quit:
		return false
	}
}

// End marks the end of the stream: the client disconnected, or all pieces were handed over.
func (s *Stream) End() { close(s.pieces) }

// Discard tells the sender that no further pieces are needed.
func (s *Stream) Discard() { s.once.Do(func() { close(s.quit) }) }

// Discard discards the streams of all messages of the batch.
func (b *Batch) Discard() {
	for _, m := range b.Messages {
		if m.Rest != nil {
			m.Rest.Discard()
		}
	}
}

// Batch is what a client sends before it waits for an answer: one Query, or extended protocol messages up to a Sync or Flush.
type Batch struct {
	Messages []Message
	Complete bool // it ends with a Query or Sync, so that ReadyForQuery follows
	Streamed bool // its last message is streamed, and more of the pipeline follows
	Commands []pooling.Command
}

// Writes reports whether the batch contains a statement that is recognized as a write, or a commit.
func (b *Batch) Writes() bool {
	for _, c := range b.Commands {
		switch c.Kind {
		case pooling.Write, pooling.Commit:
			return true
		}
	}
	return false
}

// Runs returns how many statements the batch runs, or more if a Query follows other messages.
func (b *Batch) Runs() (n int) {
	for _, m := range b.Messages {
		switch m.Kind {
		case pg.Query:
			n += len(b.Commands)
		case pg.Execute:
			n++
		}
	}
	return n
}

// Begins reports whether the batch opens a transaction, and whether that is read-only.
func (b *Batch) Begins() (begins, readOnly bool) {
	for _, c := range b.Commands {
		if c.Kind == pooling.Begin {
			return true, c.ReadOnly
		}
	}
	return false, false
}

// Done is the result of a batch.
type Done struct {
	Keep    bool // the checkout continues: the next batch goes to it
	Err     error
	Relayed bool          // with Err: part of the answer was sent to the client
	Unsent  bool          // with Err: nothing was sent to the host
	Wrote   time.Duration // position after the batch's writes; 0 if it wrote nothing, -1 if the position is unknown
	// Rest is the end of the answer if Checkout.LeaveRest is set. With Keep or Err it is empty.
	Rest []byte
}

// ErrRevoked reports that a checkout has ended because its connection may not be used any more. Its last batch, if the session
// awaits one, was not sent.
var ErrRevoked = errors.New("the session's host connection is not used any more; connect again")

// ErrIdle reports that an open transaction was idle for too long.
var ErrIdle = errors.New("idle in transaction for too long")

// Checkout is a host connection that is checked out by a session, from a first batch until no transaction and no pin ties the
// session to it. The session calls Next and Close, the backend calls Converse.
type Checkout struct {
	Session     *pooling.Session
	Mode        pooling.Mode
	Write       func([]byte) error // writes to the client
	MinPosition time.Duration      // position that a read must see, or 0
	MaxIdle     time.Duration      // longest time that a transaction may be open and idle
	OnPinned    func(pooling.Pin)  // called with new reasons to pin
	// OnAnswerBegun is called before a part of a batch's answer is written to the client while more is to come, any number
	// of times.
	OnAnswerBegun func()
	// LeaveRest leaves the end of the last answer to the session, which writes it once it counts the checkout as ended: a client
	// that has its whole answer holds no connection. It costs a goroutine switch in each answer.
	LeaveRest bool

	pipeline pipeline
	portals  map[string]*pooling.Statement // open on the connection, by name: they last until the transaction or the pipeline ends

	first  *Batch // nil once it has ended; used by Converse only
	next   chan *Batch
	done   chan Done
	closed chan struct{}
	once   sync.Once

	revoked    chan struct{}
	revokeOnce sync.Once

	mu      sync.Mutex
	ended   bool          // its last result was sent; it runs on no other host
	givenUp bool          // the client's session no longer waits for it
	running *backend.Host // host that runs a batch, or nil
	cancels sync.WaitGroup

	writeMu   sync.Mutex
	muted     bool
	withinRow bool // a part of a row was written to the client
}

// pipeline is the state of a pipeline whose Sync the host has not received yet. It belongs to the host connection: on another one
// the pipeline begins anew.
type pipeline struct {
	open           bool          // the last batch ended without a Sync
	skipping       bool          // the host skips all messages until a Sync
	pendingAnswers []expectation // expected answers to messages sent before a streamed one
}

// bound records that a portal was bound to a statement.
func (checkout *Checkout) bound(portal string, statement *pooling.Statement) {
	if checkout.portals == nil {
		checkout.portals = map[string]*pooling.Statement{}
	}
	checkout.portals[portal] = statement
}

// Mute stops all further output of the checkout to the client, and all changes to its session: from now on the session writes
// its own messages.
func (checkout *Checkout) Mute() {
	checkout.mu.Lock()
	checkout.givenUp = true
	checkout.mu.Unlock()
	checkout.writeMu.Lock()
	defer checkout.writeMu.Unlock()
	checkout.muted = true
}

// write writes to the client. withinRow states that b ends within a row.
func (checkout *Checkout) write(b []byte, withinRow bool) error {
	checkout.writeMu.Lock()
	defer checkout.writeMu.Unlock()
	if checkout.muted {
		return errMuted
	}
	if checkout.withinRow = withinRow; len(b) == 0 {
		return nil
	}
	return checkout.Write(b)
}

var errMuted = errors.New("the checkout is over")

// WithinRow reports whether the client has received a part of a row, behind which no other message can follow. It is final
// once Mute has returned.
func (checkout *Checkout) WithinRow() bool {
	checkout.writeMu.Lock()
	defer checkout.writeMu.Unlock()
	return checkout.withinRow
}

// New returns a checkout for a first batch.
func New(s *pooling.Session, mode pooling.Mode, write func([]byte) error, first *Batch) *Checkout {
	return &Checkout{Session: s, Mode: mode, Write: write, MaxIdle: time.Minute, first: first, next: make(chan *Batch, 1),
		done: make(chan Done, 2), closed: make(chan struct{}), revoked: make(chan struct{}), OnPinned: func(pooling.Pin) {}, OnAnswerBegun: func() {}}
}

// Done returns the channel that receives the result of each batch.
func (checkout *Checkout) Done() <-chan Done { return checkout.done }

// Next submits another batch to a checkout that continues.
func (checkout *Checkout) Next(b *Batch) { checkout.next <- b }

// Close ends the checkout; an open transaction is rolled back.
func (checkout *Checkout) Close() { checkout.once.Do(func() { close(checkout.closed) }) }

// Revoke ends the checkout once it is outside of a transaction and of a pipeline; batches that are submitted later are not
// sent. It is called where the tenant is served elsewhere, or the host drains, and may be called any number of times.
func (checkout *Checkout) Revoke() { checkout.revokeOnce.Do(func() { close(checkout.revoked) }) }

// Cancel cancels the running batch, if any. The connection is not reused before the host has received the cancel request.
func (checkout *Checkout) Cancel(ctx context.Context) error {
	checkout.mu.Lock()
	h := checkout.running
	if h == nil {
		checkout.mu.Unlock()
		return nil // the statement has ended; the cancel must not reach a later one
	}
	checkout.cancels.Add(1)
	checkout.mu.Unlock()
	defer checkout.cancels.Done()
	return h.Cancel(ctx, cancelTimeout)
}

// setRunning sets the host on which a batch runs, or nil when it has ended, and then waits for the cancels in flight.
func (checkout *Checkout) setRunning(h *backend.Host) {
	checkout.mu.Lock()
	checkout.running = h
	checkout.mu.Unlock()
	if h == nil {
		checkout.cancels.Wait()
	}
}

// Converse implements backend.Conversation. It runs the first batch and, while the checkout continues, each
// further one on the host.
func (checkout *Checkout) Converse(h *backend.Host) (end backend.ConversationResult) {
	batch := checkout.first
	checkout.pipeline, checkout.portals = pipeline{}, nil
	for {
		start, session := time.Now(), checkout.cloneSession()
		if session == nil && batch == checkout.first {
			return backend.ConversationResult{Result: balance.NotSent, Clean: true}
		}
		if session == nil { // given up between two batches, maybe within a transaction
			end.Result = balance.OK
			return end
		}
		exchange := &batchExchange{checkout: checkout, host: h, session: session, batch: batch}
		checkout.setRunning(h)
		err := exchange.run()
		// Without its Sync, a pipeline has an implicit transaction open at the host, or the host skips all messages.
		synced := batch.Complete && !checkout.pipeline.skipping
		checkout.pipeline.open = !synced
		keep := !synced || session.InTransaction() || session.Pins() != 0 || checkout.Mode == pooling.BySession
		if err == nil && (keep || !checkout.LeaveRest) {
			err = exchange.flush()
		}
		checkout.setRunning(nil)
		end.Busy += time.Since(start)
		if err != nil {
			end.Result, end.Clean = checkout.batchFailed(exchange, err)
			return end
		}
		checkout.publishSession(session)
		if !keep {
			checkout.finish(Done{Wrote: exchange.wrote, Rest: exchange.out})
			end.Result, end.Clean = balance.OK, h.InputEmpty()
			return end
		}
		exchange.releaseBatch()
		checkout.done <- Done{Keep: true, Wrote: exchange.wrote}
		next, ended := checkout.awaitNext(session, synced)
		if next != nil {
			batch = next
			continue
		}
		// Pinned state cannot be removed from the connection.
		end.Result, end.Clean = balance.OK, exchange.rollback() && session.Pins() == 0 && synced
		checkout.finish(Done{Err: ended})
		return end
	}
}

// awaitNext waits for the next batch of a checkout that continues, and returns it or why the checkout has ended. synced
// reports that the last batch ended with its Sync.
func (checkout *Checkout) awaitNext(session *pooling.Session, synced bool) (*Batch, error) {
	var idle <-chan time.Time // only an open transaction may block other sessions
	if session.InTransaction() {
		idle = time.After(checkout.MaxIdle)
	}
	var revoked chan struct{}
	if synced && !session.InTransaction() {
		revoked = checkout.revoked
	}
	select { // before a batch that may have been submitted already
	case <-revoked:
		return nil, ErrRevoked
	default:
	}
	select {
	case <-revoked:
		return nil, ErrRevoked
	case batch := <-checkout.next:
		return batch, nil
	case <-checkout.closed:
		return nil, errors.New("closed")
	case <-idle:
		return nil, ErrIdle
	}
}

// batchFailed handles the end of a batch that failed with err, without an answer of the host to relay. It returns the result
// of the attempt, and whether its connection can be used again. After a first batch of which the client has seen nothing,
// package balance decides whether to retry; any other failure ends the checkout.
func (checkout *Checkout) batchFailed(x *batchExchange, err error) (result balance.Result, clean bool) {
	var (
		setup  *backend.SetupError
		answer *invalidAnswer
	)
	first := x.batch == checkout.first
	switch {
	case errors.As(err, new(*invalidMessage)): // no other host could run the batch
		checkout.finish(Done{Err: err})
		if first {
			return balance.NotSent, false
		}
		return balance.OK, false
	case errors.Is(err, ErrRevoked):
		checkout.finish(Done{Err: err})
		return balance.OK, false
	case !first || x.relayed:
		checkout.finish(Done{Err: err, Relayed: x.relayed})
		return balance.Reset, false
	case errors.As(err, &setup):
		return setup.Result, setup.Reusable
	case !x.sent:
		return balance.NotSent, false
	case errors.As(err, &answer):
		return balance.Garbled, false
	case errors.Is(err, errMisdirected):
		return balance.Misdirected, x.host.InputEmpty() && !x.session.InTransaction()
	case errors.Is(err, errStale):
		return balance.Stale, false
	}
	return balance.Reset, false
}

// cloneSession returns a copy of the session on which the next batch runs, or nil if the checkout has ended or was given up.
func (checkout *Checkout) cloneSession() *pooling.Session {
	checkout.mu.Lock()
	defer checkout.mu.Unlock()
	if checkout.ended || checkout.givenUp {
		return nil
	}
	return checkout.Session.Clone()
}

// publishSession makes the session's state after a batch that of the client's session, unless that has given the batch up and
// may have gone on.
func (checkout *Checkout) publishSession(session *pooling.Session) {
	checkout.mu.Lock()
	defer checkout.mu.Unlock()
	if !checkout.givenUp {
		*checkout.Session = *session
	}
}

// finish sends the last result of the checkout, once.
func (checkout *Checkout) finish(d Done) {
	checkout.mu.Lock()
	defer checkout.mu.Unlock()
	if !checkout.ended {
		checkout.ended = true
		checkout.done <- d
	}
}

// invalidAnswer reports that the host sent an invalid answer.
type invalidAnswer struct{ problem string }

func (b *invalidAnswer) Error() string { return "the host's answer can't be read: " + b.problem }

// invalidMessage reports that a message of the client cannot be read.
type invalidMessage struct{ err error }

func (e *invalidMessage) Error() string { return e.err.Error() }

func (e *invalidMessage) Unwrap() error { return e.err }

// ConnectionError returns the error message for a client whose checkout ended early because of err.
func ConnectionError(err error) *pg.Error {
	var invalid *invalidMessage
	switch {
	case errors.Is(err, ErrRevoked):
		return &pg.Error{Code: pg.CodeAdminShutdown, Message: err.Error(), Fatal: true}
	case errors.Is(err, ErrIdle):
		return &pg.Error{Code: codeIdleTimeout, Message: err.Error(), Fatal: true}
	case errors.As(err, &invalid):
		return &pg.Error{Code: pg.CodeProtocolViolation, Message: err.Error(), Fatal: true}
	}
	return &pg.Error{Code: codeConnectionFailure, Message: fmt.Sprintf("the connection to the host was lost: %v", err), Fatal: true}
}

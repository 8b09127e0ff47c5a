// Package relay carries what a client's session asks in general SQL to a host connection and back: simple and extended
// queries, pipelines, transactions. What has to be set up on the connection first, and what the session keeps, is decided by
// package pooling; which host it is, by the decision module, which gave it the attempt that Converse fills.
package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/pg"
)

const (
	flushAt     = 16 << 10 // bytes of answers gathered before they are written
	bodyMost    = 16 << 10 // a longer body is passed on without being held
	holdMost    = 80 << 10 // of an answer that is held until its age is known: a value of 64 KiB and what goes with it
	rollbackIn  = time.Second
	cancelIn    = time.Second
	fatalIdle   = "25P03" // idle_in_transaction_session_timeout
	fatalBroken = "08006" // connection_failure
)

// Message is one of a client's.
type Message struct {
	Kind byte
	Body []byte  // of a Bind that comes as a stream: its names, each with its zero byte
	Rest *Stream // what follows Body; nil: nothing
}

// Stream is the rest of a large message, in pieces as it comes from the client.
type Stream struct {
	Length int // of the rest, in bytes
	pieces chan []byte
	quit   chan struct{}
	once   sync.Once
}

// NewStream makes a stream of so many bytes.
func NewStream(length int) *Stream {
	return &Stream{Length: length, pieces: make(chan []byte), quit: make(chan struct{})}
}

// Put hands over a piece and waits until it is taken, so that the piece's memory can be used again with the next call but one;
// false: nobody wants any more.
func (s *Stream) Put(piece []byte) bool {
	select {
	case s.pieces <- piece:
		return true
	case <-s.quit:
		return false
	}
}

// End says that nothing more comes: the client has gone, or all is there.
func (s *Stream) End() { close(s.pieces) }

// Discard says that nobody wants any more.
func (s *Stream) Discard() { s.once.Do(func() { close(s.quit) }) }

// Discard drops what a batch still brings.
func (b *Batch) Discard() {
	for _, m := range b.Messages {
		if m.Rest != nil {
			m.Rest.Discard()
		}
	}
}

// Batch is what a client sends before it waits: one Query, or extended messages up to a Sync or Flush.
type Batch struct {
	Messages []Message
	Complete bool // with a Query or Sync: ReadyForQuery follows
	Streamed bool // its last message comes as a stream, and more of the pipeline follows
	Commands []pooling.Command
}

// Writes says that the batch may change data, as far as can be seen.
func (b *Batch) Writes() bool {
	for _, c := range b.Commands {
		switch c.Kind {
		case pooling.Write, pooling.Commit:
			return true
		}
	}
	return false
}

// Begins says that the batch opens a transaction, and whether that only reads.
func (b *Batch) Begins() (begins, readOnly bool) {
	for _, c := range b.Commands {
		if c.Kind == pooling.Begin {
			return true, c.ReadOnly
		}
	}
	return false, false
}

// Done says how a batch ended.
type Done struct {
	Keep    bool // the lease goes on: the next batch goes to it
	Err     error
	Relayed bool // with Err: part of the answer has gone out
	Unsent  bool // with Err: nothing has been sent to the host
	Wrote   time.Duration
}

// ErrIdle says that a transaction was open for too long with nothing asked.
var ErrIdle = errors.New("idle in transaction for too long")

// Checkout is a session's hold of a host connection, from a batch until nothing ties them any more. The session calls Next and
// Close, the backend Converse.
type Checkout struct {
	Session     *pooling.Session
	Mode        pooling.Mode
	Write       func([]byte) error // to the client
	MinPosition time.Duration      // position that a read must see; 0: none
	MaxIdle     time.Duration      // that a transaction may be open with nothing asked
	OnPinned    func(pooling.Pin)  // is told of new reasons to pin

	skipping bool     // of the conversation: the host skips all until a Sync
	owed     []expect // for what was sent in parts
	portal   string   // that a Bind in parts has made
	bound    *pooling.Statement

	first  *Batch
	next   chan *Batch
	done   chan Done
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	over    bool          // it told its end; no other host gets it
	running *backend.Host // a batch is out there
	cancels sync.WaitGroup

	writing sync.Mutex
	muted   bool
}

// Mute lets nothing more of the lease's reach the client: what follows is the session's own.
func (l *Checkout) Mute() {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.muted = true
}

func (l *Checkout) write(b []byte) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	if l.muted {
		return errors.New("the lease is over")
	}
	return l.Write(b)
}

// New makes a lease for a batch.
func New(s *pooling.Session, mode pooling.Mode, write func([]byte) error, first *Batch) *Checkout {
	return &Checkout{Session: s, Mode: mode, Write: write, MaxIdle: time.Minute, first: first, next: make(chan *Batch, 1),
		done: make(chan Done, 2), closed: make(chan struct{}), OnPinned: func(pooling.Pin) {}}
}

// Done gives the end of each batch.
func (l *Checkout) Done() <-chan Done { return l.done }

// Next asks for another batch on a lease that is kept.
func (l *Checkout) Next(b *Batch) { l.next <- b }

// Close ends the lease: an open transaction is rolled back.
func (l *Checkout) Close() { l.once.Do(func() { close(l.closed) }) }

// Cancel cancels the batch that is running, if one is. The connection serves nobody else before the host has taken the request.
func (l *Checkout) Cancel(ctx context.Context) error {
	l.mu.Lock()
	h := l.running
	if h == nil {
		l.mu.Unlock()
		return nil // its statement has ended: it is meant for nobody
	}
	l.cancels.Add(1)
	l.mu.Unlock()
	defer l.cancels.Done()
	return h.Cancel(ctx, cancelIn)
}

// run marks a batch as running, or not. After it has ended, cancels that were under way are waited for.
func (l *Checkout) run(h *backend.Host) {
	l.mu.Lock()
	l.running = h
	l.mu.Unlock()
	if h == nil {
		l.cancels.Wait()
	}
}

// Converse implements backend.Conversation.
func (l *Checkout) Converse(h *backend.Host) (end backend.ConversationResult) {
	l.mu.Lock()
	over := l.over
	l.mu.Unlock()
	if over {
		return backend.ConversationResult{Result: balance.NotSent, Clean: true}
	}
	batch := l.first
	for {
		start := time.Now()
		saved := *l.Session
		x := &exchangeOf{l: l, h: h, s: l.Session, b: batch, statements: maps.Clone(l.Session.AllPrepared())}
		l.run(h)
		err := x.run()
		l.run(nil)
		end.Busy += time.Since(start)
		switch {
		case err != nil && !x.relayed && !x.sent:
			*l.Session = saved
			l.Session.RestorePrepared(x.statements)
			end.Result = balance.NotSent
			return end
		case err != nil && !x.relayed && batch == l.first:
			// The module decides whether it goes again; for the session nothing has happened.
			*l.Session = saved
			l.Session.RestorePrepared(x.statements)
			end.Result = balance.Reset
			var bad *badAnswer
			switch {
			case errors.As(err, &bad):
				end.Result = balance.Garbled
			case errors.Is(err, errCarry):
				end.Result = balance.Failed
			case errors.Is(err, errBehind):
				end.Result, end.Clean = balance.Misdirected, h.InputEmpty()
			case errors.Is(err, errStale):
				end.Result = balance.Stale
			}
			return end
		case err != nil:
			l.end(Done{Err: err, Relayed: x.relayed})
			end.Result = balance.Reset
			return end
		}
		keep := !batch.Complete || l.Session.InTransaction() || l.Session.Pins() != 0 || l.Mode == pooling.BySession
		if !keep {
			l.end(Done{Wrote: x.wrote})
			end.Result, end.Clean = balance.OK, h.InputEmpty()
			return end
		}
		l.done <- Done{Keep: true, Wrote: x.wrote}
		var idle <-chan time.Time // only an open transaction keeps others waiting
		if l.Session.InTransaction() {
			idle = time.After(l.MaxIdle)
		}
		var ended error
		select {
		case batch = <-l.next:
			continue
		case <-l.closed:
			ended = errors.New("closed")
		case <-idle:
			ended = ErrIdle
		}
		tied := l.Session.Pins() != 0 // that can't be taken off the connection
		end.Result, end.Clean = balance.OK, x.rollback() && !tied
		l.end(Done{Err: ended})
		return end
	}
}

// end tells the end of the lease, once.
func (l *Checkout) end(d Done) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.over = true
		l.done <- d
	}
}

// badAnswer says that what the host sent is no answer.
type badAnswer struct{ what string }

func (b *badAnswer) Error() string { return "the host's answer can't be read: " + b.what }

// ConnectionError is how the end of a lease in the middle is told to its client.
func ConnectionError(err error) *pg.Error {
	if errors.Is(err, ErrIdle) {
		return &pg.Error{Code: fatalIdle, Message: err.Error(), Fatal: true}
	}
	return &pg.Error{Code: fatalBroken, Message: fmt.Sprintf("the connection to the host was lost: %v", err), Fatal: true}
}

package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

// session is one client's connection. One goroutine reads commands, so that a client that leaves is noticed; another
// answers them in order.
type session struct {
	mu         sync.Mutex // guards those below, with the deadline for reading that follows from them
	draining   bool
	started    bool          // the startup is done
	said       bool          // the startup is done and a command has begun to come
	midway     bool          // a message has begun to come
	timed      bool          // a deadline for reading is set
	cutAt      time.Time     // of a message that has begun: when it is cut off, whatever still comes
	open       int           // commands without an answer, and what a general session holds
	unanswered int           // commands without an answer
	idleSince  time.Duration // since when nothing is open

	adopted  bool // another process has done its startup
	atRest   bool // the reader ended between two messages, at a drain: what comes next is for whoever goes on
	closing  bool // guarded by the server's mutex
	s        *Server
	conn     *net.TCPConn
	in       *bufio.Reader
	user     string
	general  *general // nil: only the platform's statements are taken
	accepted time.Duration
	ahead    *ahead        // commands that wait for their turn
	overrun  bool          // belongs to the reader: too many of them do
	closed   chan struct{} // the client has left
	writeBy  time.Time     // the deadline for writing that is set
	skipping bool          // an extended query was turned down: all up to Sync is skipped
}

func (c *session) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	if !c.adopted && !c.start(startWithin) {
		return
	}
	c.mu.Lock()
	c.started = true
	c.mu.Unlock()
	c.between() // the startup's deadline may have been set after a drain's
	go c.s.guard(func() {
		defer c.ahead.end()
		c.read()
	})
	whole := true
	for whole {
		cmd, ok := c.nextCommand()
		if !ok {
			break
		}
		whole = !c.left() && c.answer(ctx, cmd)
		c.release(cmd)
		c.answered()
	}
	if c.general != nil {
		c.general.end()
	}
	if whole && !c.handOver() && !c.left() {
		c.part()
	}
	c.conn.Close()
	for over := false; !over; { // lets the reader end
		var cmd command
		var ok bool
		if cmd, ok, over = c.ahead.take(); ok {
			c.release(cmd)
		} else if !over {
			<-c.ahead.some
		}
	}
	if c.general != nil {
		c.s.bytes.give(c.general.held)
	}
}

// left says that the client has gone.
func (c *session) left() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// gone says that the client has left, also where its reader has not come to that yet.
func (c *session) gone() bool { return c.left() || socket.Ended(c.conn) }

// handOver passes the connection on if another process goes on with those that are at rest. Here it is closed in any case.
func (c *session) handOver() bool {
	c.s.mu.Lock()
	pass := c.s.pass
	c.s.mu.Unlock()
	if pass == nil || !c.atRest || c.general != nil {
		return false
	}
	c.mu.Lock()
	idle := c.s.cfg.Clock.Now() - c.idleSince
	c.mu.Unlock()
	if err := pass(c.conn, c.user, idle); err != nil {
		c.s.cfg.Log.Warn("a connection could not be passed on", zap.Error(err))
		return false
	}
	c.s.cfg.Counters.ClientsPassed.Add(1)
	return true
}

// release gives back what a command held.
func (c *session) release(cmd command) {
	c.s.bytes.give(cmd.held)
	c.s.large.close(cmd.holding)
	if cmd.batch != nil {
		cmd.batch.Discard() // its reader may wait for someone to take a piece
	}
}

func (c *session) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.unanswered--
	c.idleSince = c.s.cfg.Clock.Now()
	if c.draining && c.unanswered == 0 && !c.midway {
		c.readBy(0) // now it is between two requests
	}
}

// waits says that the client waits for an answer.
func (c *session) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

// spare says since when the session has had nothing open, and whether it has said anything yet; not ok: it is at work.
func (c *session) spare() (since time.Duration, said, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.said, c.open == 0 && !c.midway && socket.NothingReceived(c.conn)
}

// linger ends the sending and reads on for a moment: a close with something unread would take away what was said last.
func (c *session) linger() {
	if c.s.beginClosing(c) && c.conn.CloseWrite() == nil {
		c.readBy(lingerFor)
		_, _ = io.Copy(io.Discard, c.conn)
	}
}

// part ends a connection between two requests. Bytes that come to a closed connection, or lie unread in one that is being
// closed, reset it, and what the client has not taken of its last answer goes with that. So the sending ends first, and the
// connection is closed once the client has taken all. Nothing is read meanwhile: a request that crosses the end shows to its
// client as one that nobody took.
func (c *session) part() {
	if socket.Unacknowledged(c.conn) == 0 || c.conn.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	written := c.idleSince
	c.mu.Unlock()
	left := max(lingerFor, takeWithin-(c.s.cfg.Clock.Now()-written))
	for end := time.Now().Add(left); socket.Unacknowledged(c.conn) > 0 && time.Now().Before(end); {
		time.Sleep(unsentPause)
	}
}

func (c *session) write(b []byte) bool {
	// Set anew only when half of it is gone: an answer has between half of the time and all of it.
	if now := time.Now(); c.writeBy.Sub(now) < writeTimeout/2 {
		c.writeBy = now.Add(writeTimeout)
		_ = c.conn.SetWriteDeadline(c.writeBy)
	}
	_, err := socket.RetryConn{Conn: c.conn}.Write(b)
	return err == nil
}

// answer writes the answer to one command; false ends the session.
func (c *session) answer(ctx context.Context, cmd command) bool {
	switch {
	case cmd.err != nil && cmd.err.Fatal:
		if c.write(pg.AppendError(nil, cmd.err)) {
			c.linger()
		}
		return false
	case cmd.err != nil:
		out := pg.AppendError(nil, cmd.err)
		if cmd.ready {
			out = pg.AppendReady(out)
		}
		return c.write(out)
	case cmd.batch != nil:
		return c.general.answer(ctx, cmd)
	case cmd.sync && c.general != nil:
		return c.write(pg.AppendReadyAs(nil, c.general.state.Status))
	case cmd.sync:
		return c.write(pg.AppendReady(nil))
	case cmd.empty:
		select {
		case <-c.s.ready:
		case <-c.closed:
			return false
		case <-ctx.Done():
			return false
		}
		if !c.s.cfg.Ready() {
			e := &pg.Error{Code: pg.CodeCannotConnectNow, Message: "drained: the gateway takes no new clients"}
			return c.write(pg.AppendReady(pg.AppendError(nil, e)))
		}
		return c.write(pg.AppendReady(pg.Append(nil, pg.EmptyQueryResponse)))
	}
	answer := make(chan exchange.Answer, 1)
	st := cmd.statement
	// Its client's wait runs from when it was sent, also while others of this connection are answered before it.
	r := &exchange.Request{ID: st.ID, User: c.user, Tenant: st.Tenant, Class: st.Class, Session: st.Key, Group: st.Group, Write: st.Write,
		Retry: st.Retry, Arrived: cmd.arrived, Wait: st.Wait, After: st.After, ClientDisconnected: c.gone,
		Command: st, Answer: answer}
	c.s.x.Submit(r)
	select {
	case a := <-answer:
		// A large statement is not needed any more, however slowly its client takes the answer.
		c.s.large.close(cmd.holding)
		if v, ok := a.Value.(pg.Value); ok && v.Stream != nil {
			return c.pour(v, st.Tag())
		}
		return c.write(pg.AppendReady(appendAnswer(nil, st, a)))
	case <-c.closed:
		c.s.x.CancelRequest(r)
	case <-ctx.Done():
	}
	return false
}

func appendAnswer(out []byte, st *pg.Statement, a exchange.Answer) []byte {
	if a.Kind == exchange.Served {
		return pg.AppendRow(out, a.Value.(pg.Value), st.Tag())
	}
	return pg.AppendError(out, errorOf(a))
}

// errorOf is an answer that is none, as an error.
func errorOf(a exchange.Answer) *pg.Error {
	switch a.Kind {
	case exchange.Refused:
		return pg.Refusal(a.Reason, a.RetryAfter)
	case exchange.Undefined:
		return &pg.Error{Code: pg.CodeUndefined, Message: a.Reason}
	case exchange.Forbidden:
		return &pg.Error{Code: pg.CodeForbidden, Message: a.Reason}
	case exchange.Duplicate:
		return &pg.Error{Code: pg.CodeDuplicate, Message: a.Reason}
	}
	return &pg.Error{Code: pg.CodeFailed, Message: a.Reason}
}

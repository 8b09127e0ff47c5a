package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

// session is the connection of one client. One goroutine reads commands, so that a disconnect is noticed at
// any time; another answers them in order.
type session struct {
	mu              sync.Mutex // guards the fields down to idleSince, and the read deadline, which depends on them
	draining        bool
	startupDone     bool          // the startup is done
	commandSeen     bool          // a command has begun to arrive after the startup
	inMessage       bool          // a message has begun to arrive
	hasDeadline     bool          // a read deadline is set
	lingering       bool          // the last answer is written; the read deadline is that of linger and stays
	messageDeadline time.Time     // deadline of the message that has begun, whatever progress it makes
	open            int           // commands without an answer, plus one if a host connection is checked out
	unanswered      int           // commands without an answer
	idleSince       time.Duration // when the last command was answered, initially when the connection was accepted

	adopted bool // another process did the startup
	// stoppedIdle means that the reader ended between two messages at a drain. Input that follows is left to
	// the process that takes over.
	stoppedIdle   bool
	closing       bool // guarded by the server's mutex
	s             *Server
	conn          *net.TCPConn
	in            *bufio.Reader
	user          string
	general       *generalSession // state of a general SQL session; nil: only the platform's statements are served
	acceptedAt    time.Duration
	memory        sessionMemory // held for the client
	pending       *commandQueue // commands that wait to be answered
	overrun       bool          // too many commands are queued; used by the reader only
	disconnected  chan struct{} // closed when the client has disconnected
	sending       atomic.Bool   // an answer has begun to be sent, or the client has not received its last message yet
	writeDeadline time.Time     // current write deadline
	skipping      bool          // after a refused extended query, messages up to Sync are skipped
}

func (c *session) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	if !c.adopted && !c.startup(startupTimeout) {
		return
	}
	c.mu.Lock()
	c.startupDone = true
	c.mu.Unlock()
	c.sending.Store(false)
	c.messageDone() // the startup's deadline may have been set after that of a drain
	go c.s.recoverPanic(func() {
		defer c.pending.end()
		c.read()
	})
	alive := true
	for alive {
		cmd, ok := c.nextCommand()
		if !ok {
			break
		}
		alive = !c.disconnectNoticed() && c.answer(ctx, cmd)
		c.release(cmd)
		c.commandAnswered()
	}
	if c.general != nil {
		c.general.end()
	}
	if alive && !c.handOver() && !c.disconnectNoticed() {
		c.closeGracefully()
	}
	c.conn.Close()
	for ended := false; !ended; { // waits for the reader to end
		var cmd command
		var ok bool
		if cmd, ok, ended = c.pending.take(); ok {
			c.release(cmd)
		} else if !ended {
			<-c.pending.available
		}
	}
	if c.general != nil {
		c.memory.release(c.general.heldBytes + c.general.stateBytes)
	}
}

// disconnectNoticed reports whether the reader has noticed that the client disconnected.
func (c *session) disconnectNoticed() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// clientDisconnected reports whether the client has disconnected, even if the reader has not noticed yet.
func (c *session) clientDisconnected() bool {
	return c.disconnectNoticed() || socket.PeerClosed(c.conn)
}

// handOver hands the connection over to another process, if connections are handed over and this one stopped
// between two messages. It returns whether it did. The caller closes the connection here in any case.
func (c *session) handOver() bool {
	c.s.mu.Lock()
	pass := c.s.handOver
	c.s.mu.Unlock()
	if pass == nil || !c.stoppedIdle || c.general != nil {
		return false
	}
	c.mu.Lock()
	idle := c.s.cfg.Clock.Now() - c.idleSince
	c.mu.Unlock()
	if err := pass(c.conn, c.user, idle); err != nil {
		c.s.cfg.Log.Warn("connection handover failed", zap.Error(err))
		return false
	}
	c.s.cfg.Counters.ClientsPassed.Add(1)
	return true
}

// release returns the memory held for a command.
func (c *session) release(cmd command) {
	c.memory.release(cmd.held)
	c.s.large.close(cmd.largeHolding)
	if cmd.batch != nil {
		cmd.batch.Discard() // the reader may be blocked in a stream until a chunk is taken
	}
}

func (c *session) commandAnswered() {
	c.sending.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.unanswered--
	c.idleSince = c.s.cfg.Clock.Now()
	if c.draining && c.unanswered == 0 && !c.inMessage {
		c.setReadTimeout(0) // the session is between two requests now
	}
}

// awaitsAnswer reports whether the client waits for an answer.
func (c *session) awaitsAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

// idleState returns since when the session has had no open requests and whether it has received a command
// yet. ok is false while the session is busy.
func (c *session) idleState() (since time.Duration, commandSeen, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.commandSeen, c.open == 0 && !c.inMessage && socket.NothingReceived(c.conn)
}

// linger ends the sending and reads on for a short time: closing a socket with unread input resets the
// connection, and the client would lose what was sent last.
func (c *session) linger() {
	if c.s.beginClosing(c) && c.conn.CloseWrite() == nil {
		c.mu.Lock()
		c.lingering = true
		c.setReadTimeout(lingerTimeout)
		c.mu.Unlock()
		_, _ = io.Copy(io.Discard, c.conn)
	}
}

// closeGracefully closes a connection between two requests. Input that arrives at a closed socket, or is
// unread at the close, resets the connection, and the part of the last answer that the client has not
// received is lost. So the sending ends first, and the connection is closed once the client has received
// everything, or receives no more of it for lastAnswerTimeout, and after clientStallTimeout at the latest.
// Nothing is read meanwhile: a request that crosses the close appears to its client as not accepted.
func (c *session) closeGracefully() {
	if socket.Unacknowledged(c.conn) == 0 || c.conn.CloseWrite() != nil {
		return
	}
	c.sending.Store(true)
	c.mu.Lock()
	lastWritten := c.idleSince
	c.mu.Unlock()
	now := time.Now()
	remaining := max(lingerTimeout, lastAnswerTimeout-(c.s.cfg.Clock.Now()-lastWritten))
	deadline, latest := now.Add(remaining), now.Add(clientStallTimeout)
	for unreceived := socket.Unacknowledged(c.conn); unreceived > 0 && now.Before(deadline); now = time.Now() {
		time.Sleep(unsentPollInterval)
		if left := socket.Unacknowledged(c.conn); left < unreceived { // a slow client that goes on is not cut off
			unreceived = left
			deadline = earlier(latest, time.Now().Add(lastAnswerTimeout))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// write writes to the client. It returns false if that fails or takes too long.
func (c *session) write(b []byte) bool {
	c.sending.Store(true)
	// The deadline is renewed only once half of it has passed, so an answer gets between half of writeTimeout and
	// all of it.
	if now := time.Now(); c.writeDeadline.Sub(now) < writeTimeout/2 {
		c.writeDeadline = now.Add(writeTimeout)
		_ = c.conn.SetWriteDeadline(c.writeDeadline)
	}
	_, err := socket.RetryConn{Conn: c.conn}.Write(b)
	return err == nil
}

// answer writes the answer to one command. It returns false if the session ends.
func (c *session) answer(ctx context.Context, cmd command) bool {
	if cmd.err != nil && c.general != nil && c.general.inPipeline() {
		cmd.err.Fatal = true
	}
	switch {
	case cmd.err != nil && cmd.err.Fatal:
		if c.write(pg.AppendError(nil, cmd.err)) {
			c.linger()
		}
		return false
	case cmd.err != nil:
		out := pg.AppendError(nil, cmd.err)
		if cmd.readyFollows {
			out = pg.AppendReady(out)
		}
		return c.write(out)
	case cmd.batch != nil:
		return c.general.answer(ctx, cmd)
	case cmd.readyOnly && c.general != nil:
		return c.write(pg.AppendReadyAs(nil, c.general.state.Status))
	case cmd.readyOnly:
		return c.write(pg.AppendReady(nil))
	case cmd.empty:
		select {
		case <-c.s.ready:
		case <-c.disconnected:
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
	// The client's wait runs from the arrival, also while earlier commands of this connection are answered.
	r := &exchange.Request{ID: st.ID, User: c.user, Tenant: st.Tenant, Class: st.Class, Session: st.Key, Group: st.Group, Write: st.Write,
		Retry: st.Retry, Arrived: cmd.arrived, Wait: st.Wait, After: st.After, ClientDisconnected: c.clientDisconnected,
		Command: st, Answer: answer}
	c.s.x.Submit(r)
	select {
	case a := <-answer:
		// The memory of a large statement is released before the write, as the client may be slow to receive.
		c.s.large.close(cmd.largeHolding)
		if v, ok := a.Value.(pg.Value); ok && v.Stream != nil {
			return c.writeLargeValue(v, st.Tag())
		}
		return c.write(pg.AppendReady(appendAnswer(nil, st, a)))
	case <-c.disconnected:
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

// errorOf converts an answer other than Served to an error.
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

// register makes the session known to cancel requests.
func (s *Server) register(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[c.general.key] = c
}

// cancel cancels the command that the session of the given key executes, if any.
func (s *Server) cancel(key pg.Key) {
	s.mu.Lock()
	c := s.keys[key]
	s.mu.Unlock()
	if c == nil {
		return
	}
	if l := c.general.running.Load(); l != nil {
		c.general.pool.Stats.Cancels.Add(1)
		_ = l.Cancel(context.Background()) // bounded in time; it is no error if nothing was running
	}
}

package frontend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/budget"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/relay"
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

// command is one thing to answer.
type command struct {
	statement *pg.Statement // run it
	arrived   time.Duration
	size      int             // of its statement
	held      int             // bytes of the budget that it holds
	holding   *budget.Holding // of the memory of large statements; nil: none
	empty     bool            // the empty query
	err       *pg.Error       // an answer that is known already
	sync      bool            // only ReadyForQuery
	batch     *relay.Batch    // of a general session
	ready     bool            // ReadyForQuery follows the error at once
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
	return c.idleSince, c.said, c.open == 0 && !c.midway && socket.Quiet(c.conn)
}

// drain stops the reading between two requests; what has come before that is still answered, and while it is, the reader goes
// on: who does not read does not notice that the client has left. A message that has begun to come is taken whole: cut off in
// its middle, a request would be lost that its client has written. Where connections are passed on a startup is done first:
// who goes on takes sessions only.
func (c *session) drain(passing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.midway && (c.started || !passing) {
		c.readBy(0)
	}
}

// resume takes a drain back, if the session has not ended by it yet.
func (c *session) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining = false; c.midway {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.timed = false
	if !c.said {
		c.readBy(startWithin)
		c.timed = true
	}
}

// readBy sets the deadline for reading.
func (c *session) readBy(within time.Duration) { _ = c.conn.SetReadDeadline(time.Now().Add(within)) }

// begin says that a message has begun to come. A client that is stuck in its middle must not hold its place for good.
func (c *session) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midway, c.said = true, true
	if !pg.Whole(c.in) { // what is here already needs no time
		c.paceLocked(headWithin)
	}
}

// pace says that the head of a message is here, and how much follows it.
func (c *session) pace(length int) {
	if c.in.Buffered() >= length {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paceLocked(longestWithin + time.Duration(length/leastRate)*time.Second)
}

func (c *session) paceLocked(within time.Duration) {
	c.cutAt, c.timed = time.Now().Add(within), true
	c.readBy(min(messageWithin, within))
}

// paced is a client's connection as it is read: what comes of a message that has begun gives its client time for more.
type paced struct{ c *session }

func (p paced) Read(b []byte) (int, error) {
	c := p.c
	n, err := socket.Steady{Conn: c.conn}.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started { // a startup that has begun is at work
		c.midway = true
	}
	if c.midway && c.timed {
		if left := time.Until(c.cutAt); left > 0 {
			c.readBy(min(messageWithin, left))
		}
	}
	return n, err
}

// between says that no message has begun to come.
func (c *session) between() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midway = false
	switch {
	case c.draining && c.unanswered == 0:
		c.readBy(0)
	case !c.said:
		c.readBy(startWithin)
		c.timed = true
	case c.timed || c.draining:
		_ = c.conn.SetReadDeadline(time.Time{})
		c.timed = false
	}
}

// pause says what a read between messages that came to its deadline means: over, that the session ends here; begun, that a
// message has come. A request that came at the same moment is taken: its client has written it.
func (c *session) pause() (over, begun bool) {
	c.s.mu.Lock()
	passed := c.s.pass != nil && c.general == nil // who goes on reads what has come
	c.s.mu.Unlock()
	c.mu.Lock()
	draining, said := c.draining && c.unanswered == 0, c.said
	c.mu.Unlock()
	none := c.in.Buffered() == 0
	quiet := none && socket.Quiet(c.conn)
	c.atRest = draining && none && (passed || quiet)
	switch {
	case c.atRest:
		return true, false
	case !quiet:
		return false, true
	}
	return !said, false // a drain that was taken back ends nobody; a client that never said anything has had its time
}

// start goes through the startup; what a client sends behind its startup message stays in the buffer.
func (c *session) start(within time.Duration) bool {
	c.mu.Lock()
	_ = c.conn.SetDeadline(time.Now().Add(within))
	c.cutAt, c.timed = time.Now().Add(max(within, headWithin)), true
	c.mu.Unlock()
	for range 4 { // at most one request for each kind of encryption comes first
		kind, parameters, err := pg.ReadStartup(c.in)
		var refused *pg.Error
		switch {
		case errors.As(err, &refused):
			c.s.cfg.Counters.BadMessages.Add(1)
			if c.write(pg.AppendError(nil, refused)) {
				c.linger()
			}
			return false
		case err == nil && kind == pg.StartCancel:
			if key, ok := parameters.CancelKey(); ok {
				c.s.cancel(key)
			}
			return false
		case err != nil:
			return false
		case kind == pg.StartEncrypt:
			if !c.write([]byte{'N'}) {
				return false
			}
		default:
			c.user = parameters["user"]
			c.mu.Lock()
			_ = c.conn.SetDeadline(time.Time{})
			c.timed = false
			c.mu.Unlock()
			c.writeBy = time.Time{}
			if c.s.cfg.Pool != nil {
				if p := c.s.cfg.Pool(c.user, parameters["database"]); p != nil {
					c.general = newGeneral(c, p, parameters)
					c.s.register(c)
					return c.write(pg.AppendWelcomeAs(nil, kind, pg.DefaultParameters(), c.general.key))
				}
			}
			return c.write(pg.AppendWelcome(nil, kind))
		}
	}
	return false
}

// reject tells a client that there is no room.
func (c *session) reject() {
	if !c.start(lingerFor) {
		return
	}
	e := pg.Refusal("too many connections", c.s.retryAfter())
	e.Fatal = true
	if c.write(pg.AppendError(nil, e)) {
		c.linger()
	}
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
	if socket.Unsent(c.conn) == 0 || c.conn.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	written := c.idleSince
	c.mu.Unlock()
	left := max(lingerFor, takeWithin-(c.s.cfg.Clock.Now()-written))
	for end := time.Now().Add(left); socket.Unsent(c.conn) > 0 && time.Now().Before(end); {
		time.Sleep(unsentPause)
	}
}

func (c *session) write(b []byte) bool {
	// Set anew only when half of it is gone: an answer has between half of the time and all of it.
	if now := time.Now(); c.writeBy.Sub(now) < writeTimeout/2 {
		c.writeBy = now.Add(writeTimeout)
		_ = c.conn.SetWriteDeadline(c.writeBy)
	}
	_, err := socket.Steady{Conn: c.conn}.Write(b)
	return err == nil
}

// read reads commands until the client leaves, framing is lost or a drain finds the session between messages.
func (c *session) read() {
	for {
		if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			over, begun := c.pause()
			switch {
			case over:
				if !c.atRest {
					c.s.note("ended: it began no command in time", c)
				}
				return
			case begun:
				c.begin()
			default:
				c.between()
			}
			continue
		} else if err != nil {
			close(c.closed)
			return
		}
		c.begin()
		err := c.next()
		switch {
		case err == nil && c.overrun:
			c.discard()
			return
		case err == nil:
			c.between()
			continue
		case errors.Is(err, pg.ErrFraming):
			c.s.cfg.Counters.BadMessages.Add(1)
			c.s.note("cut off: what it sends can't be followed", c)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.s.cfg.Counters.ClientsSlow.Add(1)
			c.s.note("cut off: its message did not come whole in time", c)
			err = errors.New("the message did not come whole in time")
		default:
			close(c.closed)
			return
		}
		c.queue(command{err: &pg.Error{Code: pg.CodeProtocolViolation, Message: err.Error(), Fatal: true}})
		return
	}
}

// discard reads on, for the client's leaving alone.
func (c *session) discard() {
	_ = c.conn.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.conn)
	close(c.closed)
}

// next reads one message and queues what there is to answer.
func (c *session) next() error {
	kind, length, err := pg.Head(c.in)
	if err != nil {
		return err
	}
	c.pace(length)
	bad := func(code, message string) *pg.Error {
		c.s.cfg.Counters.BadMessages.Add(1)
		return &pg.Error{Code: code, Message: message}
	}
	if c.general != nil {
		return c.general.next(kind, length, bad)
	}
	switch kind {
	case pg.Query:
		return c.query(length, bad)
	case pg.Terminate:
		return io.EOF
	case pg.Sync:
		c.skipping = false
		return c.skip(length, command{sync: true})
	case pg.Parse, pg.Bind, pg.Describe, pg.Execute, pg.Close:
		if c.skipping {
			return c.skip(length)
		}
		c.skipping = true
		return c.skip(length, command{err: bad(pg.CodeNotSupported, "the extended query protocol is not supported")})
	case pg.Function:
		return c.skip(length, command{err: bad(pg.CodeNotSupported, "function calls are not supported")},
			command{sync: true})
	case pg.Flush, pg.CopyData, pg.CopyDone, pg.CopyFail:
		return c.skip(length) // as PostgreSQL does outside a copy
	case pg.Password:
		return c.skip(length, command{err: bad(pg.CodeProtocolViolation, "no password was asked for")},
			command{sync: true})
	}
	return pg.ErrFraming // a type that no client sends: at once, as what it calls its length may never come
}

// skip reads past a body. The first of the answers is given before that, as the body may take long or never come.
func (c *session) skip(length int, answers ...command) error {
	if len(answers) > 0 {
		c.queue(answers[0])
		answers = answers[1:]
	}
	if err := pg.Skip(c.in, length); err != nil {
		return err
	}
	for _, a := range answers {
		c.queue(a)
	}
	return nil
}

// query reads the body of a query.
func (c *session) query(length int, bad func(code, message string) *pg.Error) error {
	var cmd command
	switch {
	case c.skipping:
		return c.skip(length)
	case length > pg.MaxMessage && length <= pg.MaxLarge:
		return c.large(length, bad)
	case length > pg.MaxLarge:
		return c.skip(length, command{err: bad(pg.CodeProtocolViolation, "message too long")}, command{sync: true})
	case length > largeBody && !c.s.bytes.take(length):
		return c.skip(length, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())},
			command{sync: true})
	case length > largeBody:
		cmd.held = length
	}
	body, err := pg.Body(c.in, length, length)
	if err != nil {
		c.s.bytes.give(cmd.held)
		return err
	}
	cmd.arrived, cmd.ready, cmd.size = c.s.cfg.Clock.Now(), true, length
	if len(body) == 0 || body[len(body)-1] != 0 {
		cmd.err = bad(pg.CodeProtocolViolation, "the query does not end in a zero byte")
	} else if body = body[:len(body)-1]; blank(body) {
		cmd.empty = true
	} else if cmd.statement, cmd.err = pg.ParseStatement(body); cmd.err != nil {
		c.s.cfg.Counters.BadStatements.Add(1)
		cmd.statement = nil
	}
	c.queue(cmd)
	return nil
}

func blank(b []byte) bool {
	for _, ch := range b {
		switch ch {
		case ' ', '\t', '\r', '\n', '\f', '\v', ';':
		default:
			return false
		}
	}
	return true
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
		if !c.s.cfg.Yes() {
			e := &pg.Error{Code: pg.CodeCannotConnectNow, Message: "drained: the gateway takes no new clients"}
			return c.write(pg.AppendReady(pg.AppendError(nil, e)))
		}
		return c.write(pg.AppendReady(pg.Append(nil, pg.EmptyQueryResponse)))
	}
	answer := make(chan exchange.Answer, 1)
	st := cmd.statement
	// Its client's wait runs from when it was sent, also while others of this connection are answered before it.
	r := &exchange.Request{ID: st.ID, User: c.user, Tenant: st.Tenant, Class: st.Class, Session: st.Key, Group: st.Group, Write: st.Write,
		Retry: st.Retry, Arrived: cmd.arrived, Wait: st.Wait, After: st.After, Left: c.gone,
		Command: st, Answer: answer}
	c.s.x.Submit(r)
	select {
	case a := <-answer:
		// A large statement is not needed any more, however slowly its client takes the answer.
		c.s.large.close(cmd.holding)
		if v, ok := a.Value.(pg.Value); ok && v.Rest != nil {
			return c.pour(v, st.Tag())
		}
		return c.write(pg.AppendReady(appendAnswer(nil, st, a)))
	case <-c.closed:
		c.s.x.Gone(r)
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

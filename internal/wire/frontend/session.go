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

	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// session is one client's connection. One goroutine reads commands, so that a client that leaves is noticed; another
// answers them in order.
type session struct {
	mu       sync.Mutex // guards the two below, with the deadline for reading that follows from them
	draining bool
	midway   bool // a message has begun to come

	s        *Server
	conn     net.Conn
	in       *bufio.Reader
	commands chan command
	closed   chan struct{} // the client has left
	free     time.Duration // when the last answer was written
	skipping bool          // an extended query was turned down: all up to Sync is skipped
}

// command is one thing to answer.
type command struct {
	statement *pg.Statement // run it
	arrived   time.Duration
	held      int       // bytes of the budget that it holds
	empty     bool      // the empty query
	err       *pg.Error // an answer that is known already
	sync      bool      // only ReadyForQuery
	extended  bool      // of the extended protocol: ReadyForQuery comes with Sync
}

func (c *session) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	if !c.start(startupTimeout) {
		return
	}
	c.between() // the startup's deadline may have been set after a drain's
	go c.s.guard(func() {
		defer close(c.commands)
		c.read()
	})
	for cmd := range c.commands {
		ok := c.answer(ctx, cmd)
		c.s.bytes.give(cmd.held)
		if !ok {
			break
		}
	}
	c.conn.Close()
	for cmd := range c.commands { // lets the reader end
		c.s.bytes.give(cmd.held)
	}
}

// drain stops the reading between two messages; what has come before that is still answered. A message that has
// begun to come is taken whole: cut off in its middle, a request would be lost that its client has written.
func (c *session) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.midway {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// begin says that a message has begun to come.
func (c *session) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midway = true
	if c.draining {
		_ = c.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	}
}

// between says that no message has begun to come.
func (c *session) between() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midway = false
	if c.draining {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// drained says that a read ended because of a drain.
func (c *session) drained(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining && errors.Is(err, os.ErrDeadlineExceeded)
}

// start goes through the startup; what a client sends behind its startup message stays in the buffer.
func (c *session) start(within time.Duration) bool {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	for range 4 { // at most one request for each kind of encryption comes first
		kind, err := pg.ReadStartup(c.in)
		var refused *pg.Error
		switch {
		case errors.As(err, &refused):
			c.s.cfg.Counters.BadMessages.Add(1)
			c.write(pg.AppendError(nil, refused))
			return false
		case err != nil || kind == pg.StartCancel:
			return false
		case kind == pg.StartEncrypt:
			if !c.write([]byte{'N'}) {
				return false
			}
		default:
			_ = c.conn.SetDeadline(time.Time{})
			return c.write(pg.AppendWelcome(nil, kind))
		}
	}
	return false
}

// turnAway tells a client that there is no room. It reads on for a moment, as a close with something unread would
// take the answer away.
func (c *session) turnAway() {
	defer c.conn.Close()
	if !c.start(overflowLinger) {
		return
	}
	e := pg.Refusal("too many connections", c.s.cfg.ComeBack)
	e.Fatal = true
	if c.write(pg.AppendError(nil, e)) {
		if t, ok := c.conn.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(overflowLinger))
		_, _ = io.Copy(io.Discard, c.conn)
	}
}

func (c *session) write(b []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err == nil
}

// read reads commands until the client leaves, framing is lost or a drain finds the session between messages.
func (c *session) read() {
	for {
		if _, err := c.in.Peek(1); err != nil {
			if !c.drained(err) {
				close(c.closed)
			}
			return
		}
		c.begin()
		cmd, ok, err := c.next()
		if err != nil {
			if errors.Is(err, pg.ErrFraming) {
				c.s.cfg.Counters.BadMessages.Add(1)
				c.commands <- command{err: &pg.Error{Code: pg.CodeProtocolViolation, Message: err.Error(), Fatal: true}}
				return
			}
			close(c.closed)
			return
		}
		if ok {
			c.commands <- cmd
		}
		c.between()
	}
}

// next reads one message; ok says that there is something to answer.
func (c *session) next() (cmd command, ok bool, err error) {
	kind, length, err := pg.Head(c.in)
	if err != nil {
		return cmd, false, err
	}
	most := pg.MaxMessage
	if kind != pg.Query {
		most = 0 // nothing else that is taken has a body
	} else if length > largeBody {
		if length <= pg.MaxMessage && c.s.bytes.take(length) {
			cmd.held = length
		} else {
			most = 0
		}
	}
	body, err := pg.Body(c.in, length, most)
	long := errors.As(err, new(pg.TooLong))
	if err != nil && !long {
		c.s.bytes.give(cmd.held)
		return cmd, false, err
	}
	cmd.arrived = c.s.cfg.Clock.Now()
	bad := func(code, message string) (command, bool, error) {
		c.s.cfg.Counters.BadMessages.Add(1)
		cmd.err = &pg.Error{Code: code, Message: message}
		return cmd, true, nil
	}
	switch kind {
	case pg.Query:
		switch {
		case c.skipping:
			c.s.bytes.give(cmd.held)
			return command{}, false, nil
		case long && length <= pg.MaxMessage:
			cmd.err = pg.Refusal("no memory for the statement", c.s.cfg.ComeBack)
			return cmd, true, nil
		case long:
			return bad(pg.CodeProtocolViolation, "message too long")
		case len(body) == 0 || body[len(body)-1] != 0:
			return bad(pg.CodeProtocolViolation, "the query does not end in a zero byte")
		}
		body = body[:len(body)-1]
		if cmd.empty = blank(body); cmd.empty {
			return cmd, true, nil
		}
		if cmd.statement, cmd.err = pg.ParseStatement(body); cmd.err != nil {
			c.s.cfg.Counters.BadStatements.Add(1)
			cmd.statement = nil
		}
		return cmd, true, nil
	case pg.Terminate:
		return cmd, false, io.EOF
	case pg.Sync:
		c.skipping = false
		return command{sync: true}, true, nil
	case pg.Parse, pg.Bind, pg.Describe, pg.Execute, pg.Close:
		if c.skipping {
			return cmd, false, nil
		}
		c.skipping, cmd.extended = true, true
		return bad(pg.CodeNotSupported, "the extended query protocol is not supported")
	case pg.Function:
		return bad(pg.CodeNotSupported, "function calls are not supported")
	case pg.Flush, pg.CopyData, pg.CopyDone, pg.CopyFail:
		return cmd, false, nil // as PostgreSQL does outside a copy
	case pg.Password:
		return bad(pg.CodeProtocolViolation, "no password was asked for")
	}
	return cmd, false, pg.ErrFraming // a type that no client sends
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
		c.write(pg.AppendError(nil, cmd.err))
		return false
	case cmd.err != nil:
		out := pg.AppendError(nil, cmd.err)
		if !cmd.extended {
			out = pg.AppendReady(out)
		}
		return c.write(out)
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
		return c.write(pg.AppendReady(pg.Append(nil, pg.EmptyQueryResponse)))
	}
	answer := make(chan exchange.Answer, 1)
	st := cmd.statement
	r := &exchange.Request{ID: st.ID, Class: st.Class, Session: st.Key, Group: st.Group, Write: st.Write,
		Retry: st.Retry, Arrived: max(cmd.arrived, c.free), Wait: st.Wait, After: st.After, Command: st, Answer: answer}
	c.s.x.Submit(r)
	select {
	case a := <-answer:
		ok := c.write(pg.AppendReady(appendAnswer(nil, st, a)))
		c.free = c.s.cfg.Clock.Now() // the wait of a command behind this one starts only now
		return ok
	case <-c.closed:
		c.s.x.Gone(r)
	case <-ctx.Done():
	}
	return false
}

func appendAnswer(out []byte, st *pg.Statement, a exchange.Answer) []byte {
	switch a.Kind {
	case exchange.Served:
		return pg.AppendRow(out, a.Value.(pg.Value), st.Tag())
	case exchange.Refused:
		return pg.AppendError(out, pg.Refusal(a.Reason, a.RetryAfter))
	case exchange.Undefined:
		return pg.AppendError(out, &pg.Error{Code: pg.CodeUndefined, Message: a.Reason})
	case exchange.Duplicate:
		return pg.AppendError(out, &pg.Error{Code: pg.CodeDuplicate, Message: a.Reason})
	}
	return pg.AppendError(out, &pg.Error{Code: pg.CodeFailed, Message: a.Reason})
}

package frontend

import (
	"errors"
	"io"
	"os"
	"time"

	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

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
	n, err := socket.RetryConn{Conn: c.conn}.Read(b)
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
	quiet := none && socket.NothingReceived(c.conn)
	c.atRest = draining && none && (passed || quiet)
	switch {
	case c.atRest:
		return true, false
	case !quiet:
		return false, true
	}
	return !said, false // a drain that was taken back ends nobody; a client that never said anything has had its time
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

package frontend

import (
	"errors"
	"io"
	"os"
	"time"

	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

// drain stops the reading between two requests. Requests received before are still answered, and meanwhile
// the reader goes on, as only reading detects that the client has disconnected. A message that has begun to
// arrive is read to its end: closing in its middle would lose a request that the client has sent. If
// connections are handed over, the startup is completed first, as the other process takes over sessions only.
func (c *session) drain(passing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.midway && (c.started || !passing) {
		c.readBy(0)
	}
}

// resume cancels a drain if the session has not ended yet.
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

// readBy sets the read deadline relative to now.
func (c *session) readBy(within time.Duration) { _ = c.conn.SetReadDeadline(time.Now().Add(within)) }

// begin records that a message has begun to arrive and sets its deadline. A client that stalls within a
// message must not hold its connection forever.
func (c *session) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midway, c.said = true, true
	if !pg.Whole(c.in) { // a buffered message needs no deadline
		c.paceLocked(headWithin)
	}
}

// pace sets the deadline of a message body of the given length after its head was read.
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

// paced is a client's connection as read by the session. Each read within a message extends the read deadline
// by messageWithin.
type paced struct{ c *session }

func (p paced) Read(b []byte) (int, error) {
	c := p.c
	n, err := socket.Steady{Conn: c.conn}.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started { // the startup has begun
		c.midway = true
	}
	if c.midway && c.timed {
		if left := time.Until(c.cutAt); left > 0 {
			c.readBy(min(messageWithin, left))
		}
	}
	return n, err
}

// between records that no message has begun and sets the read deadline accordingly.
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

// pause handles a read deadline that passed between messages. over reports that the session ends here, begun
// that a message has arrived. A request that arrived at the same moment is read, as its client has sent it.
func (c *session) pause() (over, begun bool) {
	c.s.mu.Lock()
	passed := c.s.pass != nil && c.general == nil // the other process reads what has arrived
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
	return !said, false // after a canceled drain the session goes on; a client without a first command has timed out
}

// read reads commands until the client disconnects, framing is lost or a drain finds the session between
// messages.
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
			c.s.note("closed: message framing lost", c)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.s.cfg.Counters.ClientsSlow.Add(1)
			c.s.note("closed: message not received in time", c)
			err = errors.New("the message did not come whole in time")
		default:
			close(c.closed)
			return
		}
		c.queue(command{err: &pg.Error{Code: pg.CodeProtocolViolation, Message: err.Error(), Fatal: true}})
		return
	}
}

// discard reads and drops input until the client disconnects.
func (c *session) discard() {
	_ = c.conn.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.conn)
	close(c.closed)
}

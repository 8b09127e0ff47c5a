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
func (c *session) drain(handingOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.inMessage && (c.startupDone || !handingOver) {
		c.setReadTimeout(0)
	}
}

// resume cancels a drain if the session has not ended yet.
func (c *session) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining = false; c.inMessage {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.hasDeadline = false
	if !c.commandSeen {
		c.setReadTimeout(startupTimeout)
		c.hasDeadline = true
	}
}

// setReadTimeout sets the read deadline relative to now.
func (c *session) setReadTimeout(timeout time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// messageBegun records that a message has begun to arrive and sets its deadline. A client that stalls within a
// message must not hold its connection forever.
func (c *session) messageBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inMessage, c.commandSeen = true, true
	if !pg.MessageBuffered(c.in) { // a buffered message needs no deadline
		c.setMessageDeadline(headTimeout)
	}
}

// setBodyDeadline sets the deadline of a message body of the given length after its head was read.
func (c *session) setBodyDeadline(length int) {
	if c.in.Buffered() >= length {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setMessageDeadline(bodyTimeout + time.Duration(length/minBodyRate)*time.Second)
}

func (c *session) setMessageDeadline(timeout time.Duration) {
	c.messageDeadline, c.hasDeadline = time.Now().Add(timeout), true
	c.setReadTimeout(min(progressTimeout, timeout))
}

// progressConn is a client's connection as read by the session. Each read within a message extends the read
// deadline by progressTimeout, up to the deadline of the message.
type progressConn struct{ c *session }

func (p progressConn) Read(b []byte) (int, error) {
	c := p.c
	n, err := socket.RetryConn{Conn: c.conn}.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.startupDone { // the startup has begun
		c.inMessage = true
	}
	if c.inMessage && c.hasDeadline && !c.lingering {
		if remaining := time.Until(c.messageDeadline); remaining > 0 {
			c.setReadTimeout(min(progressTimeout, remaining))
		}
	}
	return n, err
}

// messageDone records that no message has begun and sets the read deadline accordingly.
func (c *session) messageDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inMessage = false
	switch {
	case c.draining && c.unanswered == 0:
		c.setReadTimeout(0)
	case !c.commandSeen:
		c.setReadTimeout(startupTimeout)
		c.hasDeadline = true
	case c.hasDeadline || c.draining:
		_ = c.conn.SetReadDeadline(time.Time{})
		c.hasDeadline = false
	}
}

// deadlinePassed handles a read deadline that passed between messages. done reports that the session ends
// here, begun that a message has arrived. A request that arrived at the same moment is read, as its client
// has sent it.
func (c *session) deadlinePassed() (done, begun bool) {
	c.s.mu.Lock()
	handedOver := c.s.handOver != nil && c.general == nil // the other process reads what has arrived
	c.s.mu.Unlock()
	c.mu.Lock()
	draining, commandSeen := c.draining && c.unanswered == 0, c.commandSeen
	c.mu.Unlock()
	noneBuffered := c.in.Buffered() == 0
	quiet := noneBuffered && socket.NothingReceived(c.conn)
	c.stoppedIdle = draining && noneBuffered && (handedOver || quiet)
	switch {
	case c.stoppedIdle:
		return true, false
	case !quiet:
		return false, true
	}
	// After a canceled drain the session goes on; a client without a first command has timed out.
	return !commandSeen, false
}

// read reads commands until the client disconnects, framing is lost or a drain finds the session between
// messages.
func (c *session) read() {
	for {
		if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			done, begun := c.deadlinePassed()
			switch {
			case done:
				if !c.stoppedIdle {
					c.s.logEnd("ended: it began no command in time", c)
				}
				return
			case begun:
				c.messageBegun()
			default:
				c.messageDone()
			}
			continue
		} else if err != nil {
			close(c.disconnected)
			return
		}
		c.messageBegun()
		err := c.readMessage()
		switch {
		case err == nil && c.overrun:
			c.discardInput()
			return
		case err == nil:
			c.messageDone()
			continue
		case errors.Is(err, pg.ErrFraming):
			c.s.cfg.Counters.BadMessages.Add(1)
			c.s.logEnd("closed: message framing lost", c)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.s.cfg.Counters.ClientsSlow.Add(1)
			c.s.logEnd("closed: message not received in time", c)
			err = errors.New("the message did not come whole in time")
		default:
			close(c.disconnected)
			return
		}
		c.enqueue(command{err: &pg.Error{Code: pg.CodeProtocolViolation, Message: err.Error(), Fatal: true}})
		c.discardInput()
		return
	}
}

// discardInput reads and drops input until the client disconnects, or until the time for that has passed after the
// session's last answer. Commands that were read before are still being answered meanwhile, and only reading shows that
// nobody waits for these answers any more.
func (c *session) discardInput() {
	c.mu.Lock()
	if !c.lingering {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.conn)
	close(c.disconnected)
}

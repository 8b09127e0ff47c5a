package backend

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// Conversation is a command of several batches and answers: a transaction, or a statement of any form. It
// checks out a host connection until it has ended.
type Conversation interface {
	// Converse exchanges messages with a host until the conversation has ended or the connection has failed,
	// and returns the result. It is called a second time, with another host, only if the first result allows
	// a retry.
	Converse(h *Host) ConversationResult
}

// ConversationResult is the result of a conversation.
type ConversationResult struct {
	Result balance.Result
	Clean  bool          // the connection can be reused: no query in flight, no open transaction
	Busy   time.Duration // time that the host took, without waiting for the client
}

// Host is the checked-out connection of a conversation.
type Host struct {
	conn    *conn
	attempt *attempt
	reply   reply         // the host's latest statements
	writeBy time.Duration // limit for the first write; 0 if none
	begun   bool          // a batch was written

	// unconfirmedCancels counts the cancel requests that the host is not known to have handled: they may hit a later statement.
	unconfirmedCancels atomic.Int32

	position time.Duration // position of the data behind the last batch; 0 if not yet stated
	written  atomic.Int64  // when that batch had been written, in nanoseconds by the gateway's clock; 0 if it was not
}

// ConnState returns the settings and prepared statements of the connection.
func (h *Host) ConnState() *pooling.ConnState {
	if h.conn.state == nil {
		h.conn.state = pooling.NewConnState(h.attempt.b.cfg.MaxPrepared)
	}
	return h.conn.state
}

// Write sends bytes to the host.
func (h *Host) Write(b []byte) error {
	h.begun = true
	if h.writeBy > 0 {
		_ = h.conn.SetWriteDeadline(h.conn.deadline(h.writeBy))
		defer h.conn.SetWriteDeadline(time.Time{})
		h.writeBy = 0
	}
	_, err := h.conn.Write(b)
	h.written.Store(int64(h.conn.clock.Now()))
	return err
}

// MaySend reports whether anything new may be sent to the host. It may not once the grace of the host's drain has passed.
func (h *Host) MaySend() bool {
	return !h.attempt.b.sendDeadlinePassed(h.attempt.Server, h.conn.clock.Now())
}

// BeginBatch must be called before a new batch is written.
func (h *Host) BeginBatch() {
	h.position = 0
	h.written.Store(0)
}

// DemandUnmet reports whether the request has a demand on its data and the host has not yet stated a position that
// meets it.
func (h *Host) DemandUnmet() bool {
	return h.attempt.Demand != (balance.Demand{}) && (h.position == 0 || h.TooOld())
}

// TooOld reports whether the host's statements in its answer to a batch show that the data is older than the
// request allows.
func (h *Host) TooOld() bool {
	written := cmp.Or(time.Duration(h.written.Load()), h.conn.clock.Now())
	return h.attempt.demandViolated(&reply{role: h.reply.role, position: h.position}, written)
}

// PastDeadline reports whether input was read after the conversation's deadline. Only the host's statements count in
// such input.
func (h *Host) PastDeadline() bool { return h.conn.incoming.pastDeadline }

// Head reads the header of the next message. The host's statements must be passed to HandleStatement and not
// to the client.
func (h *Host) Head() (kind byte, length int, err error) { return pg.ReadHead(h.conn.in) }

// Body reads the body of a message whose header was read, up to limit bytes.
func (h *Host) Body(length, limit int) ([]byte, error) { return pg.ReadBody(h.conn.in, length, limit) }

// Copy copies the body of a message without holding it in memory as a whole.
func (h *Host) Copy(to io.Writer, length int) error {
	_, err := io.CopyN(to, h.conn.in, int64(length))
	return err
}

// HandleStatement takes a ParameterStatus of the host. It reports whether that was a statement of the host, which must
// not be passed to the client.
func (h *Host) HandleStatement(body []byte) bool {
	name, _, err := pg.Parameter(body)
	if err != nil {
		return false
	}
	switch name {
	case "node_role", "replay_position", "server_load":
		h.reply.parseStatement(body)
		if name == "replay_position" {
			h.position = h.reply.position
		}
		h.conn.reportReplica(&h.reply)
		return true
	}
	return false
}

// Position is the latest position that the host has stated in this conversation, by the fleet's clock, or 0
// if none.
func (h *Host) Position() time.Duration { return h.reply.position }

// Behind reports whether the host has stated in this conversation that it is a replica, and no position at or
// after the given one.
func (h *Host) Behind(position time.Duration) bool {
	return h.reply.role == balance.Replica && h.Position() < position
}

// ForgetPosition resets the stated position, so that Position returns only later ones.
func (h *Host) ForgetPosition() { h.reply.position = 0 }

// SetReadTimeout sets a timeout for all reads from the host from now on.
func (h *Host) SetReadTimeout(timeout time.Duration) {
	_ = h.conn.SetReadDeadline(time.Now().Add(timeout))
}

// InputEmpty reports whether no input is buffered beyond what was read.
func (h *Host) InputEmpty() bool { return h.conn.in.Buffered() == 0 }

// NothingUnread reports whether the host has sent nothing beyond what was read, and has not closed the connection.
func (h *Host) NothingUnread() bool { return h.conn.alive() }

// Cancel sends a cancel request for the statement that runs on this connection, and waits until the host has
// handled it, so that it cannot hit a later statement. If that is not known in time, the connection is not used again.
func (h *Host) Cancel(ctx context.Context, timeout time.Duration) error {
	if h.conn.key == (pg.Key{}) {
		return errors.New("the host sent no cancel key")
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", h.conn.address)
	if err != nil {
		return err
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(timeout))
	h.unconfirmedCancels.Add(1)
	if _, err := n.Write(pg.AppendCancel(nil, h.conn.key)); err != nil {
		return err
	}
	_, err = n.Read(make([]byte, 1)) // the host closes the connection once it has handled the request
	if errors.Is(err, io.EOF) {
		h.unconfirmedCancels.Add(-1)
		return nil
	}
	return err
}

// converse runs an attempt that is a conversation.
func (attempt *attempt) converse(c *conn, conversation Conversation) {
	h := &Host{conn: c, attempt: attempt, writeBy: attempt.WriteBy}
	c.clean = false
	attempt.mu.Lock()
	if !attempt.ended { // if it has, stopWaiting has set a deadline that must stay
		_ = c.SetReadDeadline(c.deadline(attempt.Deadline))
	}
	attempt.mu.Unlock()
	if c.writeLimited { // by an earlier statement
		_ = c.SetWriteDeadline(time.Time{})
		c.writeLimited = false
	}
	c.incoming.readLate = true
	end := conversation.Converse(h)
	c.incoming.readLate = false
	attempt.mu.Lock()
	attempt.conn = nil
	c.clean = end.Clean && !attempt.ended && !h.PastDeadline() && h.unconfirmedCancels.Load() == 0 && c.in.Buffered() == 0
	attempt.mu.Unlock()
	attempt.b.release(attempt.Server, c)
	h.reply.result = end.Result
	statedAt := attempt.b.observe(attempt.Server, &h.reply, attempt.Sent, attempt.Keyed)
	attempt.finish(exchange.Outcome{Outcome: balance.Outcome{Result: end.Result, Role: h.reply.role, Position: h.reply.position,
		Report: h.reply.report, StatedAt: statedAt}}, end.Busy, false)
}

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

// Conversation is a command that goes to and fro with its host: a transaction, or a statement of any form.
type Conversation interface {
	// Converse speaks with a host until it is through or the connection fails, and says how that ended. It may be called
	// once more, with another host, only if what it said allows that.
	Converse(h *Host) ConversationResult
}

// ConversationResult is how a conversation ended.
type ConversationResult struct {
	Result balance.Result
	Clean  bool          // the connection can serve others: nothing is out on it, no transaction is open
	Busy   time.Duration // that the host took, without what its client took
}

// Host is one host connection in a conversation.
type Host struct {
	c       *conn
	t       *attempt
	notes   reply
	writeBy time.Duration // of what is sent first; 0: no such bound

	position time.Duration // that the host has told of the data behind the last batch; 0: not yet
	written  atomic.Int64  // when that batch had been written, in nanoseconds; 0: not yet
}

// ConnState is what the connection has been set up with.
func (h *Host) ConnState() *pooling.ConnState {
	if h.c.link == nil {
		h.c.link = pooling.NewConnState(h.t.b.cfg.MaxPrepared)
	}
	return h.c.link
}

// Write sends to the host.
func (h *Host) Write(b []byte) error {
	if h.writeBy > 0 {
		_ = h.c.SetWriteDeadline(h.c.deadline(h.writeBy))
		defer h.c.SetWriteDeadline(time.Time{})
		h.writeBy = 0
	}
	_, err := h.c.Write(b)
	h.written.Store(int64(h.c.clock.Now()))
	return err
}

// BeginBatch says that another batch is about to be written.
func (h *Host) BeginBatch() {
	h.position = 0
	h.written.Store(0)
}

// DemandUnmet says that the host has not told yet that what it gives is not TooOld.
func (h *Host) DemandUnmet() bool {
	return h.t.Demand != (balance.Demand{}) && (h.position == 0 || h.TooOld())
}

// TooOld says that the host has told, with its answer to a batch, that the data behind it is older than the request allows.
func (h *Host) TooOld() bool {
	written := cmp.Or(time.Duration(h.written.Load()), h.c.clock.Now())
	return h.t.refuted(&reply{role: h.notes.role, position: h.position}, written)
}

// PastDeadline says that what is read from the host came past the conversation's time: it counts for what the host says of itself only.
func (h *Host) PastDeadline() bool { return h.c.incoming.late }

// Head reads the head of the next message. What the host notes of itself is taken out of the stream.
func (h *Host) Head() (kind byte, length int, err error) { return pg.ReadHead(h.c.in) }

// Body reads the body of a message whose head was read, up to most bytes.
func (h *Host) Body(length, most int) ([]byte, error) { return pg.ReadBody(h.c.in, length, most) }

// Copy passes a body on without holding it whole.
func (h *Host) Copy(to io.Writer, length int) error {
	_, err := io.CopyN(to, h.c.in, int64(length))
	return err
}

// HandleStatement takes a ParameterStatus of the host's; it says whether that was a note of the host's on itself, which is no client's.
func (h *Host) HandleStatement(body []byte) bool {
	name, _, err := pg.Parameter(body)
	if err != nil {
		return false
	}
	switch name {
	case "node_role", "replay_position", "server_load":
		h.notes.note(body)
		if name == "replay_position" {
			h.position = h.notes.position
		}
		h.c.heed(&h.notes)
		return true
	}
	return false
}

// Position is the newest that the host told in this conversation, by the fleet's clock; 0: none.
func (h *Host) Position() time.Duration { return h.notes.position }

// Behind says that the host has told, in this conversation, that it is a replica which lies before a position.
func (h *Host) Behind(position time.Duration) bool {
	return h.notes.role == balance.Replica && h.Position() < position
}

// ForgetPosition drops what was told before: Position then tells only what comes after.
func (h *Host) ForgetPosition() { h.notes.position = 0 }

// SetReadTimeout bounds what is read from the host from now on.
func (h *Host) SetReadTimeout(within time.Duration) { _ = h.c.SetReadDeadline(time.Now().Add(within)) }

// InputEmpty says that the host has sent nothing beyond what was read.
func (h *Host) InputEmpty() bool { return h.c.in.Buffered() == 0 }

// Cancel asks the host to cancel what runs on this connection, and waits until the host has taken the request: what runs there
// next must not be hit by it.
func (h *Host) Cancel(ctx context.Context, within time.Duration) error {
	if h.c.key == (pg.Key{}) {
		return errors.New("the host gave no key")
	}
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", h.c.address)
	if err != nil {
		return err
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(within))
	if _, err := n.Write(pg.AppendCancel(nil, h.c.key)); err != nil {
		return err
	}
	_, err = n.Read(make([]byte, 1)) // the host closes once it has passed it on
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// converse carries out an attempt that is a conversation.
func (t *attempt) converse(c *conn, talk Conversation) {
	h := &Host{c: c, t: t, writeBy: t.WriteBy}
	c.clean = false
	t.mu.Lock()
	if !t.ended { // canceled, it is to wait for nothing
		_ = c.SetReadDeadline(c.deadline(t.Deadline))
	}
	t.mu.Unlock()
	if c.writeLimited { // by a statement before
		_ = c.SetWriteDeadline(time.Time{})
		c.writeLimited = false
	}
	c.incoming.drain = true
	end := talk.Converse(h)
	c.incoming.drain = false
	t.mu.Lock()
	t.conn = nil
	c.clean = end.Clean && !t.ended && !h.PastDeadline() && c.in.Buffered() == 0
	t.mu.Unlock()
	t.b.put(t.Server, c)
	h.notes.result = end.Result
	made := t.b.observe(t.Server, &h.notes, t.Sent, t.Keyed)
	t.finish(exchange.Outcome{Outcome: balance.Outcome{Result: end.Result, Role: h.notes.role, Position: h.notes.position,
		Report: h.notes.report, StatedAt: made}}, end.Busy, false)
}

package relay

import (
	"errors"
	"fmt"
	"os"
	"time"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/pg"
)

// batchExchange is the exchange of one batch with a host.
type batchExchange struct {
	checkout *Checkout
	host     *backend.Host
	session  *pooling.Session // a copy, which becomes the client's session if the batch ends well
	batch    *Batch
	query    []byte
	expected []expectation
	out      []byte
	sent     bool          // something was sent to the host
	relayed  bool          // something was sent to the client
	lastKind byte          // kind of the last message from the host
	rowRead  bool          // the host has sent a row
	tracked  bool          // a statement of the batch changes settings in a way that the session tracks from its text
	wrote    time.Duration // as Done.Wrote
}

// flush writes the buffered messages to the client.
func (x *batchExchange) flush() error { return x.flushUpTo(false) }

// flushUpTo writes the buffered output to the client; withinRow states that it ends within a row.
func (x *batchExchange) flushUpTo(withinRow bool) error {
	switch {
	case len(x.out) == 0:
		return nil
	case x.host.PastDeadline():
		x.out = x.out[:0]
		return nil
	}
	x.relayed = true
	err := x.checkout.write(x.out, withinRow)
	x.out = x.out[:0]
	if err != nil {
		return fmt.Errorf("writing to the client: %w", err)
	}
	return nil
}

// run sends the batch to the host and forwards its answer to the client, but for the end of the answer, which is left in out.
func (x *batchExchange) run() error {
	first := x.batch == x.checkout.first
	// A host that drains finishes transactions and pipelines, and takes nothing else that is new.
	begins := !first && !x.session.InTransaction() && !x.checkout.pipeline.open
	if !first {
		if err := x.takeUnsolicited(); err != nil {
			return err
		}
	}
	if begins && !x.host.MaySend() {
		return ErrRevoked
	}
	if first || x.session.CanChangeSettings() {
		if err := x.host.ApplySettings(x.session); err != nil {
			return err
		}
	}
	if begins && !x.host.MaySend() { // the change of settings may have taken long
		return ErrRevoked
	}
	x.session.StartBatch()
	x.host.BeginBatch()
	if err := x.buildQuery(); err != nil {
		return err
	}
	x.expected = append(x.checkout.pipeline.pendingAnswers, x.expected...)
	x.checkout.pipeline.pendingAnswers = nil
	if x.batch.Streamed && len(x.expected) > 0 {
		x.query = pg.Append(x.query, pg.Flush) // the answers must be read before the long message is written, or both ends could block
	}
	var written chan error
	if len(x.query) > 0 {
		x.sent = true
		if len(x.query) <= maxWriteAhead {
			if err := x.host.Write(x.query); err != nil {
				return err
			}
		} else {
			// The host may answer the first statements of a long pipeline before it reads the last ones.
			written = make(chan error, 1)
			go func() { written <- x.host.Write(x.query) }()
		}
	}
	if err := x.receiveAll(); err != nil {
		return err
	}
	if written != nil {
		if err := <-written; err != nil {
			return err
		}
	}
	if x.batch.Streamed {
		return x.stream(x.batch.Messages[len(x.batch.Messages)-1])
	}
	switch minPosition := x.checkout.MinPosition; {
	case x.host.PastDeadline():
		return os.ErrDeadlineExceeded
	case minPosition > 0 && !x.relayed && x.host.Behind(minPosition):
		return errMisdirected
	case x.rowRead && x.host.TooOld():
		return errStale
	}
	return nil
}

// releaseBatch drops the references to what the client has sent in a batch that has ended, while its checkout goes on. The batch
// itself stays as it is: its session may have given up waiting for it.
func (x *batchExchange) releaseBatch() {
	x.batch, x.checkout.first = nil, nil
	x.query, x.out, x.expected = nil, nil, nil
}

// maxWriteAhead is the number of bytes written before answers are read; they fit into the socket buffers of both ends.
const maxWriteAhead = 32 << 10

// stream forwards a Bind as it arrives. It cannot be retried, on this host or another.
func (x *batchExchange) stream(m Message) error {
	if x.checkout.pipeline.skipping {
		m.Rest.Discard()
		return nil
	}
	// Body ends after the names; the six bytes stand for the three counts that ReadBind requires after them.
	portal, name, _, err := pg.ReadBind(append(m.Body, make([]byte, 6)...))
	if err != nil {
		return &invalidMessage{err}
	}
	statement := x.session.Prepared(name)
	x.query = x.query[:0]
	before := len(x.expected)
	hostName := x.hostName(statement)
	x.checkout.bound(portal, statement)
	x.checkout.pipeline.pendingAnswers = append(x.checkout.pipeline.pendingAnswers, x.expected[before:]...)
	x.checkout.pipeline.pendingAnswers = append(x.checkout.pipeline.pendingAnswers, expectation{kind: pg.Bind, statement: statement, name: name})
	x.expected = nil
	x.query = pg.AppendLong(x.query, pg.Bind, m.Rest.Length, []byte(portal), []byte{0}, []byte(hostName), []byte{0})
	x.sent, x.relayed = true, true
	if err := x.host.Write(x.query); err != nil {
		return err
	}
	remaining := m.Rest.Length
	for piece := range m.Rest.pieces {
		if err := x.host.Write(piece); err != nil {
			m.Rest.Discard()
			return err
		}
		remaining -= len(piece)
	}
	if remaining != 0 {
		return errors.New("the client left in the middle of a message")
	}
	return nil
}

// errMisdirected reports that a presumed primary no longer is one and lags behind the position that the session must see.
var errMisdirected = errors.New("the host lies behind what the session has written")

// errStale reports that the data of an answer proved to be older than its class allows.
var errStale = errors.New("the answer is older than its class allows")

// rollbackConfirmed reads the answers to a Sync and a ROLLBACK, and reports whether they confirm the rollback.
func (x *batchExchange) rollbackConfirmed() bool {
	synced, completed := false, false
	for {
		kind, length, err := x.host.Head()
		if err != nil || length > maxBody {
			return false
		}
		body, err := x.host.Body(length, maxBody)
		if err != nil {
			return false
		}
		switch {
		case kind == pg.ParameterStatus, kind == pg.NoticeResponse, kind == pg.NotificationResponse:
		case kind == pg.ReadyForQuery && !synced:
			synced = true
		case kind == pg.CommandComplete && synced && !completed && pg.ReadTag(body) == "ROLLBACK":
			completed = true
		default:
			return kind == pg.ReadyForQuery && completed && string(body) == "I"
		}
	}
}

// rollback rolls back the open transaction and reports whether the connection is clean afterwards.
func (x *batchExchange) rollback() bool {
	if !x.session.InTransaction() {
		return x.host.InputEmpty()
	}
	x.host.SetReadTimeout(rollbackTimeout)
	if x.host.Write(pg.AppendQuery(pg.Append(nil, pg.Sync), "ROLLBACK")) != nil {
		return false
	}
	if !x.rollbackConfirmed() {
		return false
	}
	x.session.Completed(pooling.Command{Kind: pooling.Rollback}, "ROLLBACK")
	x.session.EndBatch('I')
	x.host.ConnState().AdoptSettings(x.session)
	return x.host.InputEmpty()
}

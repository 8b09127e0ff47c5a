package relay

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/pg"
)

// receiveAll reads all expected answers and forwards them. The last message stays in the buffer.
func (x *batchExchange) receiveAll() error {
	for len(x.expected) > 0 {
		e := &x.expected[0]
		if e.reply != nil {
			x.out = append(x.out, e.reply...)
			x.pop()
			continue
		}
		if err := x.receive(e); err != nil {
			return err
		}
		if len(x.expected) > 0 && x.mustFlush() {
			x.checkout.OnAnswerBegun()
			if err := x.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// mustFlush reports whether the buffered answers must be written to the client. While the age of the data is unknown, rows are
// buffered up to maxHeld bytes. The end of a statement is always buffered then, because an error in its place tells the
// client that the statement failed.
func (x *batchExchange) mustFlush() bool {
	if x.host.DemandUnmet() {
		return len(x.out) >= maxHeld && x.lastKind == pg.DataRow
	}
	return len(x.out) >= flushSize
}

func (x *batchExchange) pop() { x.expected = x.expected[1:] }

// receive reads one message from the host.
func (x *batchExchange) receive(e *expectation) error {
	kind, length, err := x.host.Head()
	if err != nil {
		return err
	}
	x.lastKind, x.rowRead = kind, x.rowRead || kind == pg.DataRow && !e.hidden
	maxBuffered := maxBody
	if x.host.DemandUnmet() && kind == pg.DataRow {
		maxBuffered = max(maxBody, maxHeld-len(x.out))
	}
	if length > maxBuffered {
		if kind != pg.DataRow || e.hidden {
			return &invalidAnswer{fmt.Sprintf("%c of %d bytes", kind, length)}
		}
		return x.forwardLongRow(length)
	}
	body, err := x.host.Body(length, maxBuffered)
	if err != nil {
		return err
	}
	switch kind {
	case pg.ParameterStatus:
		x.handleParameter(body)
		return nil
	case pg.NoticeResponse, pg.NotificationResponse:
		x.out = pg.Append(x.out, kind, body)
		return nil
	case pg.ErrorResponse:
		return x.handleError(e, body)
	case pg.CopyInResponse, pg.CopyOutResponse, pg.CopyBothResponse:
		return &invalidAnswer{"a copy, which is not carried"}
	}
	due, last := e.answeredBy(kind, body)
	if !due {
		return &invalidAnswer{fmt.Sprintf("%c where the answer to %c was due", kind, e.kind)}
	}
	switch kind {
	case pg.CommandComplete:
		x.handleCompletion(e, pg.ReadTag(body))
	case pg.ReadyForQuery:
		x.handleReady(body)
	}
	if !e.hidden {
		x.out = pg.Append(x.out, kind, body)
	}
	if last {
		x.pop()
	}
	return nil
}

// forwardLongRow forwards a row that is too long to be held, in pieces.
func (x *batchExchange) forwardLongRow(length int) error {
	head := binary.BigEndian.AppendUint32([]byte{pg.DataRow}, uint32(length+4))
	x.out = append(x.out, head...)
	x.checkout.OnAnswerBegun()
	if err := x.flushUpTo(true); err != nil {
		return err
	}
	if err := x.host.Copy(writerFunc(x.writePiece), length); err != nil {
		return err
	}
	if x.host.PastDeadline() { // pieces were left out
		return nil
	}
	return x.checkout.write(nil, false)
}

// handleParameter handles a ParameterStatus, which may be a statement of the host that is not meant for the client.
func (x *batchExchange) handleParameter(body []byte) {
	if x.host.HandleStatement(body) {
		return
	}
	x.out = pg.Append(x.out, pg.ParameterStatus, body)
	if name, value, err := pg.Parameter(body); err == nil && !x.tracked && !x.session.InTransaction() {
		x.session.Reported(name, value)
	}
}

// answeredBy reports whether a message of the host is due in the answer to e, and whether it is the last one of that answer.
func (e *expectation) answeredBy(kind byte, body []byte) (due, last bool) {
	ready := kind == pg.ReadyForQuery && len(body) == 1
	switch e.kind {
	case pg.Parse:
		due = kind == pg.ParseComplete && e.duplicate == ""
		return due, due
	case pg.Bind:
		due = kind == pg.BindComplete
		return due, due
	case pg.Close:
		due = kind == pg.CloseComplete
		return due, due
	case pg.Describe:
		last = kind == pg.RowDescription || kind == pg.NoData
		return last || kind == pg.ParameterDescription && e.target == 'S', last
	case pg.Execute:
		last = kind == pg.CommandComplete || kind == pg.EmptyQueryResponse || kind == pg.PortalSuspended
		return last || kind == pg.DataRow, last
	case pg.Query:
		switch kind {
		case pg.RowDescription, pg.DataRow, pg.EmptyQueryResponse, pg.CommandComplete:
			return true, false
		}
		return ready, ready
	case pg.Sync:
		return ready, ready
	}
	return false, false
}

// takeUnsolicited takes what the host has sent since the last batch. A host may send notices, notifications, parameters and a
// fatal error at any time, which are forwarded. Anything else, such as a second copy of the last answer, would be taken for
// the answer to the next batch, and is an error.
func (x *batchExchange) takeUnsolicited() error {
	if len(x.checkout.pipeline.pendingAnswers) > 0 { // answers to the messages before a streamed one are still due
		return nil
	}
	for !x.host.NothingUnread() {
		kind, length, err := x.host.Head()
		if err != nil {
			return err
		}
		if length > maxBody {
			return &invalidAnswer{fmt.Sprintf("%c of %d bytes while no answer was due", kind, length)}
		}
		body, err := x.host.Body(length, maxBody)
		if err != nil {
			return err
		}
		switch {
		case kind == pg.ParameterStatus && x.host.HandleStatement(body):
		case kind == pg.ParameterStatus, kind == pg.NoticeResponse, kind == pg.NotificationResponse:
			x.out = pg.Append(x.out, kind, body)
		case kind == pg.ErrorResponse && pg.ReadError(body).Fatal:
			return fmt.Errorf("the host ended the session: %s", pg.ReadError(body).Message)
		default:
			return &invalidAnswer{fmt.Sprintf("%c while no answer was due", kind)}
		}
	}
	return nil
}

// writePiece writes a piece of a long row to the client, unless the attempt's deadline has passed.
func (x *batchExchange) writePiece(piece []byte) error {
	if x.host.PastDeadline() {
		return nil
	}
	return x.checkout.write(piece, true)
}

type writerFunc func([]byte) error

func (w writerFunc) Write(b []byte) (int, error) { return len(b), w(b) }

func (x *batchExchange) handleCompletion(e *expectation, tag string) {
	if len(e.commands) == 0 {
		return
	}
	c := e.commands[0]
	e.commands = e.commands[1:]
	before := x.session.Pins()
	x.session.Completed(c, tag)
	x.host.ConnState().StatementRan(c, x.session)
	if added := x.session.Pins() &^ before; added != 0 {
		x.checkout.OnPinned(added)
	}
	if c.Kind == pooling.Write || c.Kind == pooling.Commit && tag != "ROLLBACK" {
		// The commit's position comes with the end of the batch, if at all; earlier positions lie before the commit.
		x.wrote = -1
		x.host.ForgetPosition()
	}
}

func (x *batchExchange) handleReady(body []byte) {
	if p := x.host.Position(); x.wrote < 0 && p > 0 {
		x.wrote = p
	}
	x.session.EndBatch(body[0])
	if !x.session.InTransaction() {
		clear(x.checkout.portals)
	}
	x.host.ConnState().AdoptSettings(x.session)
}

// handleError handles an error response of the host, after which the host skips all messages up to the end of the batch.
func (x *batchExchange) handleError(e *expectation, body []byte) error {
	failure := pg.ReadError(body)
	if len(failure.Code) != 5 {
		return &invalidAnswer{"an error without a code"}
	}
	x.session.Failed()
	switch { // the client's name takes the place of the one on the host
	case failure.Code == "26000":
		body = bytes.ReplaceAll(body, []byte(unknownStatement), []byte(e.name))
	case e.duplicate != "":
		body = bytes.ReplaceAll(body, []byte(`"`+e.duplicate+`"`), []byte(`"`+e.name+`"`))
	}
	x.out = pg.Append(x.out, pg.ErrorResponse, body)
	if e.kind == pg.Bind && e.statement != nil && strings.HasPrefix(failure.Message, "cached plan must not change") {
		x.host.ConnState().Forget(e.statement) // it is prepared again with the current result type; the client gets the error
	}
	if failure.Fatal {
		if err := x.flush(); err != nil {
			return err
		}
		return fmt.Errorf("the host ended the session: %s", failure.Message)
	}
	if e.kind == pg.Query {
		e.commands = nil
		return nil // ReadyForQuery follows
	}
	endsUnnamed := e.kind == pg.Parse && e.renames && e.name == "" // a failed Parse has ended the unnamed statement before
	x.undoSkipped()
	if endsUnnamed {
		x.session.Close("")
	}
	if len(x.expected) == 0 {
		x.checkout.pipeline.skipping = true // the batch ended with a Flush: the host skips all until the client sends a Sync
	}
	return nil
}

// undoSkipped takes the message that has failed, and those that the host skips for that, off the expected answers, and undoes what
// they were to change: their statements are not prepared on the connection, their names mean in the session what they meant before.
func (x *batchExchange) undoSkipped() {
	skipped := len(x.expected)
	for i := range x.expected {
		if x.expected[i].kind == pg.Sync {
			skipped = i
			break
		}
	}
	for _, e := range slices.Backward(x.expected[:skipped]) {
		if e.kind == pg.Parse && e.statement != nil {
			x.host.ConnState().Forget(e.statement)
			x.host.ConnState().Evicted()
		}
		if e.renames {
			x.session.Restore(e.name, e.previous)
		}
	}
	x.expected = x.expected[skipped:]
}

var _ io.Writer = writerFunc(nil)

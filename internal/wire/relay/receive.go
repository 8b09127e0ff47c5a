package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/pg"
)

// receiveAll takes all that is owed.
func (x *exchangeOf) receiveAll() error {
	for len(x.expects) > 0 {
		e := &x.expects[0]
		if e.made != nil {
			x.out = append(x.out, e.made...)
			if e.kind == pg.ErrorResponse {
				x.s.Failed()
			}
			x.pop()
			continue
		}
		if err := x.receive(e); err != nil {
			return err
		}
		if x.full() {
			if err := x.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// full says that what has been gathered goes to the client. What may yet prove too old is held as long as there is room, and the
// end of a statement in any case: an error in its place makes it one that failed.
func (x *exchangeOf) full() bool {
	if x.h.DemandUnmet() {
		return len(x.out) >= holdMost && x.last == pg.DataRow
	}
	return len(x.out) >= flushAt
}

func (x *exchangeOf) pop() { x.expects = x.expects[1:] }

// receive takes one message from the host.
func (x *exchangeOf) receive(e *expect) error {
	kind, length, err := x.h.Head()
	if err != nil {
		return err
	}
	x.last, x.read = kind, x.read || kind == pg.DataRow && !e.hidden
	held := bodyMost
	if x.h.DemandUnmet() && kind == pg.DataRow {
		held = max(bodyMost, holdMost-len(x.out))
	}
	if length > held {
		if kind != pg.DataRow || e.hidden {
			return &badAnswer{fmt.Sprintf("%c of %d bytes", kind, length)}
		}
		x.out = append(x.out, kind, byte((length+4)>>24), byte((length+4)>>16), byte((length+4)>>8), byte(length+4))
		if err := x.flush(); err != nil {
			return err
		}
		return x.h.Copy(writer(x.pass), length)
	}
	body, err := x.h.Body(length, held)
	if err != nil {
		return err
	}
	relay := func() {
		if !e.hidden {
			x.out = pg.Append(x.out, kind, body)
		}
	}
	switch kind {
	case pg.ParameterStatus:
		if x.h.HandleStatement(body) || e.carry {
			return nil
		}
		x.out = pg.Append(x.out, kind, body)
		if name, value, err := pg.Parameter(body); err == nil && !pooling.ChangesSettings(x.b.Commands) && !x.s.InTransaction() {
			x.s.Reported(name, value)
		}
		return nil
	case pg.NoticeResponse, pg.NotificationResponse:
		x.out = pg.Append(x.out, kind, body)
		return nil
	case pg.ErrorResponse:
		return x.failed(e, body)
	case pg.CopyInResponse, pg.CopyOutResponse, pg.CopyBothResponse:
		return &badAnswer{"a copy, which is not carried"}
	}
	ok := false
	switch e.kind {
	case pg.Parse:
		if ok = kind == pg.ParseComplete; ok {
			relay()
			x.pop()
		}
	case pg.Bind:
		if ok = kind == pg.BindComplete; ok {
			relay()
			x.pop()
		}
	case pg.Close:
		if ok = kind == pg.CloseComplete; ok {
			relay()
			x.pop()
		}
	case pg.Describe:
		switch kind {
		case pg.ParameterDescription:
			ok = e.of == 'S'
			relay()
		case pg.RowDescription, pg.NoData:
			ok = true
			relay()
			x.pop()
		}
	case pg.Execute:
		switch kind {
		case pg.DataRow:
			ok = true
			relay()
		case pg.CommandComplete, pg.EmptyQueryResponse, pg.PortalSuspended:
			ok = true
			relay()
			if kind == pg.CommandComplete {
				x.completed(e, pg.ReadTag(body))
			}
			x.pop()
		}
	case pg.Query:
		switch kind {
		case pg.RowDescription, pg.DataRow, pg.EmptyQueryResponse:
			ok = true
			relay()
		case pg.CommandComplete:
			ok = true
			relay()
			if !e.carry {
				x.completed(e, pg.ReadTag(body))
			}
		case pg.ReadyForQuery:
			ok = len(body) == 1
			if e.carry {
				x.h.ConnState().SettingsApplied(x.s)
				x.pop()
				return nil
			}
			x.ready(body)
			relay()
			x.pop()
		}
	case pg.Sync:
		if ok = kind == pg.ReadyForQuery && len(body) == 1; ok {
			x.ready(body)
			relay()
			x.pop()
		}
	}
	if !ok {
		return &badAnswer{fmt.Sprintf("%c where the answer to %c was due", kind, e.kind)}
	}
	return nil
}

// pass gives a piece of a long row to the client, unless its time is over.
func (x *exchangeOf) pass(piece []byte) error {
	if x.h.PastDeadline() {
		return nil
	}
	return x.l.write(piece)
}

type writer func([]byte) error

func (w writer) Write(b []byte) (int, error) { return len(b), w(b) }

func (x *exchangeOf) completed(e *expect, tag string) {
	if len(e.commands) == 0 {
		return
	}
	c := e.commands[0]
	e.commands = e.commands[1:]
	had := x.s.Pins()
	x.s.Completed(c, tag)
	x.h.ConnState().StatementRan(c, x.s)
	if fresh := x.s.Pins() &^ had; fresh != 0 {
		x.l.OnPinned(fresh)
	}
	if c.Kind == pooling.Write || c.Kind == pooling.Commit && tag != "ROLLBACK" {
		// When is told with the end of the batch, if at all: what the host told before lies before the commit.
		x.wrote = -1
		x.h.ForgetPosition()
	}
}

func (x *exchangeOf) ready(body []byte) {
	if p := x.h.Position(); x.wrote < 0 && p > 0 {
		x.wrote = p
	}
	x.s.EndBatch(body[0])
	x.h.ConnState().AdoptSettings(x.s)
}

// errCarry says that the session's settings could not be brought to the connection.
var errCarry = errors.New("the session's settings are refused")

// failed takes an error of the host's. The host skips all up to the end of the batch.
func (x *exchangeOf) failed(e *expect, body []byte) error {
	bad := pg.ReadError(body)
	if len(bad.Code) != 5 {
		return &badAnswer{"an error without a code"}
	}
	if e.carry {
		return fmt.Errorf("%w: %s", errCarry, bad.Message)
	}
	x.s.Failed()
	if bad.Code == "26000" {
		body = bytes.ReplaceAll(body, []byte(unknown), []byte(e.name)) // as its client calls it
	}
	x.out = pg.Append(x.out, pg.ErrorResponse, body)
	if e.kind == pg.Bind && e.statement != nil && strings.HasPrefix(bad.Message, "cached plan must not change") {
		x.h.ConnState().Forget(e.statement) // prepared anew, it gives what there is now; its client is told by the error
	}
	if bad.Fatal {
		if err := x.flush(); err != nil {
			return err
		}
		return fmt.Errorf("the host ended the session: %s", bad.Message)
	}
	if e.kind == pg.Query {
		e.commands = nil
		return nil // ReadyForQuery follows
	}
	for len(x.expects) > 0 && x.expects[0].kind != pg.Sync {
		skipped := &x.expects[0]
		if skipped.kind == pg.Parse {
			// It was never prepared: neither for this connection nor, if its client named it just now, for the session.
			x.h.ConnState().Forget(skipped.statement)
			x.h.ConnState().Evicted()
			if !skipped.hidden {
				x.s.Close(skipped.name)
			}
		}
		x.pop()
	}
	if len(x.expects) == 0 {
		x.l.skipping = true // a Flush and no Sync: the host skips all until the client sends one
	}
	return nil
}

var _ io.Writer = writer(nil)

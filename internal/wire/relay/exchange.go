package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/pg"
)

// expect is what the host owes for one message that was sent to it, or an answer that is known without it.
type expect struct {
	kind      byte               // of the message; 0: made is the answer
	made      []byte             // for the client
	hidden    bool               // the client did not ask for it
	carry     bool               // it brings the connection to the session's settings
	statement *pooling.Statement // of a Parse or Bind, as the host has it
	of        byte               // S: of a Describe of a statement
	name      string             // the client's for it
	commands  []pooling.Command  // that complete in turn
}

// exchangeOf is one batch's way to the host and back.
type exchangeOf struct {
	l          *Lease
	h          *backend.Host
	s          *pooling.Session
	b          *Batch
	statements map[string]*pooling.Statement // as they were before
	portals    map[string]*pooling.Statement
	query      []byte
	expects    []expect
	out        []byte
	sent       bool // something has gone to the host
	relayed    bool // something has gone to the client
	last       byte // kind of the last message from the host
	read       bool // it has given a row
	wrote      time.Duration
}

func (x *exchangeOf) flush() error {
	switch {
	case len(x.out) == 0:
		return nil
	case x.h.Late():
		x.out = x.out[:0]
		return nil
	}
	x.relayed = true
	err := x.l.write(x.out)
	x.out = x.out[:0]
	if err != nil {
		return fmt.Errorf("writing to the client: %w", err)
	}
	return nil
}

// unknown is a name that no host connection has a statement under: the host says so itself.
const unknown = "yk_unknown"

// build turns the batch into what goes to the host and what it owes for that.
func (x *exchangeOf) build() error {
	link := x.h.Link()
	if x.l.skipping {
		if x.b.Ends && x.b.Messages[len(x.b.Messages)-1].Kind == pg.Sync {
			x.l.skipping = false
			x.query = pg.Append(x.query, pg.Sync)
			x.expects = append(x.expects, expect{kind: pg.Sync})
		}
		return nil
	}
	if sql := link.Carry(x.s); sql != "" {
		x.query = pg.AppendQuery(x.query, sql)
		x.expects = append(x.expects, expect{kind: pg.Query, hidden: true, carry: true})
	}
	x.portals = map[string]*pooling.Statement{}
	if x.l.bound != nil { // a portal of a Bind that came before
		x.portals[x.l.portal], x.l.bound = x.l.bound, nil
	}
	add, here := x.add, x.here
	for _, m := range x.b.Messages {
		switch m.Kind {
		case pg.Query:
			x.query = pg.Append(x.query, pg.Query, m.Body)
			add(expect{kind: pg.Query, commands: x.b.Commands})
		case pg.Parse:
			p, err := pg.ReadParse(m.Body)
			if err != nil {
				return err
			}
			st := pooling.NewStatement(p.Text, p.Types)
			if !x.s.Prepare(p.Name, st) {
				// Under a name that is taken the host would say so; it has none of the client's names.
				add(expect{made: pg.AppendError(nil, &pg.Error{Code: "42P05",
					Message: fmt.Sprintf("prepared statement %q already exists", p.Name)}), kind: pg.ErrorResponse})
				return nil
			}
			before := len(x.expects)
			here(st)
			if n := len(x.expects); n > before && x.expects[n-1].kind == pg.Parse {
				x.expects[n-1].hidden, x.expects[n-1].name = false, p.Name
			} else {
				add(expect{made: pg.Append(nil, pg.ParseComplete)})
			}
		case pg.Bind:
			if m.Rest != nil {
				continue // the last one: it follows when what stands before it has its answers
			}
			portal, name, rest, err := pg.ReadBind(m.Body)
			if err != nil {
				return err
			}
			st, host := x.s.Prepared(name), unknown
			if st != nil {
				host = here(st)
			}
			x.portals[portal] = st
			x.query = pg.AppendBind(x.query, portal, host, rest)
			add(expect{kind: pg.Bind, statement: st, name: name})
		case pg.Describe:
			kind, name, err := pg.ReadTarget(m.Body)
			if err != nil {
				return err
			}
			if kind == 'S' {
				host := unknown
				if st := x.s.Prepared(name); st != nil {
					host = here(st)
				}
				x.query = pg.AppendTarget(x.query, pg.Describe, 'S', host)
				add(expect{kind: pg.Describe, of: 'S', name: name})
				continue
			}
			x.query = pg.Append(x.query, pg.Describe, m.Body)
			add(expect{kind: pg.Describe})
		case pg.Execute:
			portal, err := pg.ReadExecute(m.Body)
			if err != nil {
				return err
			}
			e := expect{kind: pg.Execute}
			if st := x.portals[portal]; st != nil {
				e.commands = pooling.Scan(st.Text)
			}
			x.query = pg.Append(x.query, pg.Execute, m.Body)
			add(e)
		case pg.Close:
			kind, name, err := pg.ReadTarget(m.Body)
			if err != nil {
				return err
			}
			if kind == 'S' {
				x.s.Close(name)
				add(expect{made: pg.Append(nil, pg.CloseComplete)})
				continue
			}
			x.query = pg.Append(x.query, pg.Close, m.Body)
			add(expect{kind: pg.Close})
		case pg.Flush, pg.Sync:
			x.query = pg.Append(x.query, m.Kind, m.Body)
			if m.Kind == pg.Sync {
				add(expect{kind: pg.Sync})
			}
		}
	}
	return nil
}

func (x *exchangeOf) add(e expect) { x.expects = append(x.expects, e) }

// here prepares a statement on this connection where it is not, and gives its name.
func (x *exchangeOf) here(st *pooling.Statement) string {
	link := x.h.Link()
	name, parse := link.Use(st)
	for _, gone := range link.Evicted() {
		x.query = pg.AppendTarget(x.query, pg.Close, 'S', gone)
		x.add(expect{kind: pg.Close, hidden: true})
	}
	if parse {
		x.query = pg.AppendParse(x.query, pg.ParseMessage{Name: name, Text: st.Text, Types: st.Types})
		x.add(expect{kind: pg.Parse, hidden: true, statement: st})
	}
	return name
}

// run takes the batch to the host and its answer to the client.
func (x *exchangeOf) run() error {
	x.s.Start()
	x.h.Begin()
	if err := x.build(); err != nil {
		return err
	}
	if n := len(x.expects); n > 0 && x.expects[n-1].made != nil && x.expects[n-1].kind == pg.ErrorResponse {
		// Found here, in the middle of a batch: what stands before it runs, and the rest up to Sync does not.
		x.query = pg.Append(x.query, pg.Sync)
		x.expects = append(x.expects, expect{kind: pg.Sync})
	}
	x.expects = append(x.l.owed, x.expects...)
	x.l.owed = nil
	if x.b.Part && len(x.expects) > 0 {
		x.query = pg.Append(x.query, pg.Flush) // nothing may wait for us to read while we write a long message
	}
	var written chan error
	if len(x.query) > 0 {
		x.sent = true
		if len(x.query) <= writeAhead {
			if err := x.h.Write(x.query); err != nil {
				return err
			}
		} else {
			// The host may answer the first statements of a long pipeline before it reads the last.
			written = make(chan error, 1)
			go func() { written <- x.h.Write(x.query) }()
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
	if x.b.Part {
		if err := x.stream(x.b.Messages[len(x.b.Messages)-1]); err != nil {
			return err
		}
		return x.flush()
	}
	switch see := x.l.MustSee; {
	case x.h.Late():
		return os.ErrDeadlineExceeded
	case see > 0 && !x.relayed && x.h.Behind(see):
		return errBehind
	case x.read && x.h.TooOld():
		return errStale
	}
	return x.flush()
}

// writeAhead is how much is written before answers are read: it fits into the buffers between two sockets.
const writeAhead = 32 << 10

// stream passes a Bind on as it comes. It can't be sent again, to no other host.
func (x *exchangeOf) stream(m Message) error {
	if x.l.skipping {
		m.Rest.Discard()
		return nil
	}
	portal, name, _, err := pg.ReadBind(append(m.Body, make([]byte, 6)...))
	if err != nil {
		return err
	}
	st, host := x.s.Prepared(name), unknown
	x.query = x.query[:0]
	before := len(x.expects)
	if st != nil {
		host = x.here(st)
	}
	x.portals[portal] = st
	x.l.owed = append(x.l.owed, x.expects[before:]...)
	x.l.owed = append(x.l.owed, expect{kind: pg.Bind, statement: st, name: name})
	x.expects = nil
	x.l.portal, x.l.bound = portal, st
	x.query = pg.AppendLong(x.query, pg.Bind, m.Rest.Length, []byte(portal), []byte{0}, []byte(host), []byte{0})
	x.sent, x.relayed = true, true
	if err := x.h.Write(x.query); err != nil {
		return err
	}
	left := m.Rest.Length
	for piece := range m.Rest.pieces {
		if err := x.h.Write(piece); err != nil {
			m.Rest.Discard()
			return err
		}
		left -= len(piece)
	}
	if left != 0 {
		return errors.New("the client left in the middle of a message")
	}
	return nil
}

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

// errBehind says that a host which was taken for the primary is none any more, and lies behind what the session must see.
var errBehind = errors.New("the host lies behind what the session has written")

// errStale says that the data behind an answer proves to be older than its class allows.
var errStale = errors.New("the answer is older than its class allows")

// full says that what has been gathered goes to the client. What may yet prove too old is held as long as there is room, and the
// end of a statement in any case: an error in its place makes it one that failed.
func (x *exchangeOf) full() bool {
	if x.h.Untold() {
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
	if x.h.Untold() && kind == pg.DataRow {
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
		if x.h.Note(body) || e.carry {
			return nil
		}
		x.out = pg.Append(x.out, kind, body)
		if name, value, err := pg.Parameter(body); err == nil && !pooling.Settles(x.b.Commands) && !x.s.Open() {
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
				x.h.Link().Carried(x.s)
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
	if x.h.Late() {
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
	x.h.Link().Ran(c, x.s)
	if fresh := x.s.Pins() &^ had; fresh != 0 {
		x.l.Pinned(fresh)
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
	x.s.Ready(body[0])
	x.h.Link().Follow(x.s)
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
		x.h.Link().Forget(e.statement) // prepared anew, it gives what there is now; its client is told by the error
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
			x.h.Link().Forget(skipped.statement)
			x.h.Link().Evicted()
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

// rollback ends the open transaction and says whether the connection is clean after it.
func (x *exchangeOf) rollback() bool {
	if !x.s.Open() {
		return x.h.Quiet()
	}
	x.h.Limit(rollbackIn)
	if x.h.Write(pg.AppendQuery(pg.Append(nil, pg.Sync), "ROLLBACK")) != nil {
		return false
	}
	for ready := 0; ready < 2; {
		kind, length, err := x.h.Head()
		if err != nil || length > bodyMost {
			return false
		}
		body, err := x.h.Body(length, bodyMost)
		if err != nil {
			return false
		}
		if kind == pg.ReadyForQuery && len(body) == 1 {
			if ready++; ready == 2 && body[0] != 'I' {
				return false
			}
		}
	}
	x.s.Completed(pooling.Command{Kind: pooling.Rollback}, "ROLLBACK")
	x.s.Ready('I')
	x.h.Link().Follow(x.s)
	return x.h.Quiet()
}

var _ io.Writer = writer(nil)

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

// exchangeOf is one batch's way to the host and back.
type exchangeOf struct {
	l          *Checkout
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
	case x.h.PastDeadline():
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

// run takes the batch to the host and its answer to the client.
func (x *exchangeOf) run() error {
	x.s.StartBatch()
	x.h.BeginBatch()
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
	if x.b.Streamed && len(x.expects) > 0 {
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
	if x.b.Streamed {
		if err := x.stream(x.b.Messages[len(x.b.Messages)-1]); err != nil {
			return err
		}
		return x.flush()
	}
	switch see := x.l.MinPosition; {
	case x.h.PastDeadline():
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

// errBehind says that a host which was taken for the primary is none any more, and lies behind what the session must see.
var errBehind = errors.New("the host lies behind what the session has written")

// errStale says that the data behind an answer proves to be older than its class allows.
var errStale = errors.New("the answer is older than its class allows")

// rollback ends the open transaction and says whether the connection is clean after it.
func (x *exchangeOf) rollback() bool {
	if !x.s.InTransaction() {
		return x.h.InputEmpty()
	}
	x.h.SetReadTimeout(rollbackIn)
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
	x.s.EndBatch('I')
	x.h.ConnState().AdoptSettings(x.s)
	return x.h.InputEmpty()
}

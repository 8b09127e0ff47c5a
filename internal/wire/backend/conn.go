package backend

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

const (
	readBuffer = 4 << 10
	maxAnswer  = pg.MaxValue + 4<<10 // the longest message taken from a host
)

// conn is one connection to a host, with one query on it at a time.
type conn struct {
	*net.TCPConn
	address   string
	clock     exchange.Clock
	in        *bufio.Reader
	idleSince time.Duration
	clean     bool // nothing is out on it and nothing is left over
	closing   sync.Once
}

func newConn(n *net.TCPConn, address string, clock exchange.Clock) *conn {
	return &conn{TCPConn: n, address: address, clock: clock, in: bufio.NewReaderSize(n, readBuffer)}
}

// close ends the sending first: that takes effect at once, also under a write that is going on.
func (c *conn) close() {
	c.closing.Do(func() {
		_ = c.CloseWrite()
		_ = c.Close()
	})
}

func (c *conn) until(t time.Duration) error {
	return c.SetDeadline(time.Now().Add(t - c.clock.Now()))
}

// start opens the session.
func (c *conn) start(until time.Duration, user, database string) error {
	if err := c.until(until); err != nil {
		return err
	}
	if _, err := c.Write(pg.AppendStartup(nil, user, database)); err != nil {
		return err
	}
	for {
		kind, body, err := pg.Read(c.in, maxAnswer)
		switch {
		case err != nil:
			return err
		case kind == pg.ErrorResponse:
			return pg.ReadError(body)
		case kind == pg.ReadyForQuery:
			c.clean = c.in.Buffered() == 0
			return nil
		}
	}
}

// alive says whether the host has neither closed an idle connection nor written to it.
func (c *conn) alive() bool { return c.in.Buffered() == 0 && socket.Quiet(c) }

// reply is what a query came to.
type reply struct {
	result   balance.Result
	value    pg.Value
	role     balance.Role
	position time.Duration
	report   balance.Report
}

// roundTrip writes a query and reads all that comes back for it.
func (c *conn) roundTrip(query []byte, until time.Duration) (r reply) {
	c.clean = false
	if c.until(until) != nil {
		r.result = balance.NoConnection
		return r
	}
	if _, err := c.Write(query); err != nil {
		// Broken, or stuck, before the last byte: the host never starts what it has not got whole.
		r.result = balance.NoConnection
		return r
	}
	var refusal *pg.Error
	row, complete := false, false
	for {
		kind, body, err := pg.Read(c.in, maxAnswer)
		if err == nil {
			switch kind {
			case pg.RowDescription:
				r.value.Format, err = pg.RowFormat(body)
			case pg.DataRow:
				r.value.Data, err = pg.RowData(body)
				row = true
			case pg.CommandComplete:
				complete = true
			case pg.ErrorResponse:
				refusal = pg.ReadError(body)
			case pg.ParameterStatus:
				err = r.note(body)
			case pg.ReadyForQuery:
				c.clean = c.in.Buffered() == 0
			}
		}
		// A fatal error ends the session: no ReadyForQuery need follow, so waiting for it could take all the time.
		if err == nil && kind != pg.ReadyForQuery && (refusal == nil || !refusal.Fatal) {
			continue
		}
		switch {
		case refusal != nil:
			r.result = resultOf(refusal.Code)
		case row && complete:
			r.result = balance.OK
		case err == nil:
			r.result = balance.Failed // no row, no error: it may have run
		case timedOut(err):
			r.result = balance.TimedOut
		default:
			r.result = balance.Reset
		}
		return r
	}
}

func resultOf(code string) balance.Result {
	switch code {
	case pg.CodeReadOnly, pg.CodeTooFarBehind:
		return balance.Miss
	case pg.CodeTooMany:
		return balance.Full
	}
	return balance.Failed
}

// note takes what a host says of itself with an answer.
func (r *reply) note(body []byte) error {
	name, value, err := pg.Parameter(body)
	if err != nil {
		return err
	}
	switch name {
	case "node_role":
		switch value {
		case "leader":
			r.role = balance.Primary
		case "follower":
			r.role = balance.Replica
		}
	case "replay_position":
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms > 0 && ms < 1<<42 {
			r.position = time.Duration(ms) * time.Millisecond
		}
	case "server_load":
		r.report = report(value)
	}
	return nil
}

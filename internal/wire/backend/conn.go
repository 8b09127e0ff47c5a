package backend

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

const (
	readBuffer = 4 << 10
	rowHead    = 6       // of a row of one column, before its value
	maxWelcome = 8 << 10 // the longest message taken at the start of a session
)

// conn is one connection to a host, with one query on it at a time.
type conn struct {
	*net.TCPConn
	id           int
	address      string
	clock        exchange.Clock
	incoming     *incoming
	in           *bufio.Reader      // of incoming
	writeLimited bool               // a deadline for writing was set: it has to be moved each time
	key          pg.Key             // that a cancel names
	link         *pooling.ConnState // what it has been set up with; nil: nothing
	clean        bool               // nothing is out on it and nothing is left over
	used         bool               // it has carried a query before: the answer to that may come once more
	closing      sync.Once
	follows      func() // is called as soon as the host has said that it is no primary; nil: nobody is
}

func newConn(n *net.TCPConn, address string, clock exchange.Clock) *conn {
	i := &incoming{conn: n}
	return &conn{TCPConn: n, address: address, clock: clock, incoming: i, in: bufio.NewReaderSize(i, readBuffer)}
}

// close ends the sending first: that takes effect at once, also under a write that is going on.
func (c *conn) close() {
	c.closing.Do(func() {
		_ = c.CloseWrite()
		_ = c.Close()
	})
}

// stopWaiting ends the sending, and every wait on the connection: a query's answer is read no further than it has arrived.
func (c *conn) stopWaiting() {
	_ = c.CloseWrite()
	_ = c.SetDeadline(time.Unix(1, 0))
}

func (c *conn) until(t time.Duration) error { return c.SetDeadline(c.deadline(t)) }

// deadline is a time of the gateway's clock as connections take it.
func (c *conn) deadline(t time.Duration) time.Time { return time.Now().Add(t - c.clock.Now()) }

// start opens the session.
func (c *conn) start(until time.Duration, user, database string) error {
	if err := c.until(until); err != nil {
		return err
	}
	if _, err := c.Write(pg.AppendStartup(nil, user, database)); err != nil {
		return err
	}
	for {
		kind, body, err := pg.Read(c.in, maxWelcome)
		switch {
		case err != nil:
			return err
		case kind == pg.ErrorResponse:
			return pg.ReadError(body)
		case kind == pg.BackendKeyData:
			c.key, _ = pg.ReadKey(body)
		case kind == pg.ReadyForQuery:
			c.clean = c.in.Buffered() == 0
			return c.SetWriteDeadline(time.Time{})
		}
	}
}

// alive says whether the host has neither closed an idle connection nor written to it.
func (c *conn) alive() bool { return c.in.Buffered() == 0 && socket.NothingReceived(c) }

// unspoken says that nothing has come on the connection that would pass for the answer to a query which is about to be written: the
// process may have been held up since the connection was taken. On a new one nothing can come that is left of another.
func (c *conn) unspoken() bool { return !c.used || c.alive() }

// reply is what a query came to. Its positions are by the fleet's clock.
type reply struct {
	result   balance.Result
	value    pg.Value
	role     balance.Role
	position time.Duration
	report   balance.Report
	written  time.Duration // when the query had been written whole; 0: it was not
	stream   *stream       // of a large value, of which the rest is still to come; nil: the reply is whole
}

// errSpoilt says that what a host sent is no answer to what it was asked.
var errSpoilt = errors.New("backend: the answer can't be read")

// longest is the longest body of a message that an answer may hold; 0: it may hold none of that type. What says that it
// is longer would be read for as long as the attempt may take.
func longest(kind byte) int {
	switch kind {
	case pg.DataRow:
		return pg.MaxValue + rowHead // over SmallValue only as what is passed on as it comes
	case pg.RowDescription, pg.CommandComplete:
		return 512
	case pg.ErrorResponse, pg.NoticeResponse, pg.ParameterStatus:
		return 8 << 10
	case pg.ReadyForQuery:
		return 1
	}
	return 0
}

// head reads the head of a message of an answer.
func (c *conn) head() (kind byte, length int, err error) {
	kind, length, err = pg.ReadHead(c.in)
	switch {
	case err != nil:
	case length > longest(kind) || longest(kind) == 0:
		err = fmt.Errorf("%w: type %q, %d bytes", errSpoilt, kind, length)
	case kind == pg.DataRow:
		err = pg.RowLength(c.in, length)
	}
	return kind, length, err
}

// receive reads a message of an answer.
func (c *conn) receive() (kind byte, body []byte, err error) {
	kind, length, err := c.head()
	if err == nil {
		body, err = pg.ReadBody(c.in, length, length)
	}
	return kind, body, err
}

// roundTrip writes a query and reads all that comes back for it; of a large value, all up to its first byte. Only one row, whole and in its place, is an answer: a
// host may send noise, an answer twice or one with parts missing, and a client must never be served with that.
func (c *conn) roundTrip(query []byte, tag string, l limits) (r reply) {
	return c.exchange(func() error {
		_, err := c.Write(query)
		return err
	}, len(query) > readBuffer, tag, l)
}

// limits bound a query's way to a host and back.
type limits struct {
	until     time.Duration // its answer is waited for
	writeBy   time.Duration // its last byte may be written; 0: no other bound
	calledOff func() bool   // says, right before the first byte, that it is not to be written; nil: it is
}

// set puts them in force on a connection.
func (l limits) set(c *conn, large bool) error {
	// A small query goes into the empty buffer of an idle connection at once; only a large one can get stuck on its way.
	if large || c.writeLimited {
		c.writeLimited = true
		by := l.until
		if l.writeBy > 0 {
			by = min(by, l.writeBy)
		}
		if err := c.SetWriteDeadline(c.deadline(by)); err != nil {
			return err
		}
	}
	return c.SetReadDeadline(c.deadline(l.until))
}

// exchange is roundTrip with what writes the query; large says that it may get stuck on its way. Of an answer that is read past its
// time only the word that the host is no primary counts.
func (c *conn) exchange(write func() error, large bool, tag string, l limits) reply {
	c.clean = false
	if l.set(c, large) != nil {
		return reply{result: balance.NoConnection}
	}
	switch {
	case !c.unspoken():
		return reply{result: balance.NotSent}
	case l.calledOff != nil && l.calledOff():
		c.clean = true
		return reply{result: balance.NotSent}
	}
	if err := write(); err != nil {
		// Broken, or stuck, before the last byte: the host never starts what it has not got whole.
		return reply{result: balance.NoConnection}
	}
	written := c.clock.Now()
	c.incoming.drain = true
	r := c.answer(tag)
	c.incoming.drain = false
	r.written = written
	if c.incoming.late {
		c.clean = false
		r = r.broken(balance.TimedOut)
	}
	c.heed(&r) // also what a report says that came with no role beside it
	return r
}

// answer reads the answer to a query that has been written.
func (c *conn) answer(tag string) (r reply) {
	var refusal *pg.Error
	order := "" // of the messages that make up the answer
	for {
		kind, length, err := c.head()
		if err == nil && kind == pg.DataRow && length > pg.SmallValue+rowHead && order == "T" {
			var size int
			if size, err = pg.RowHead(c.in, length); err == nil {
				r.result, r.stream = balance.OK, newStream(c, size, tag)
				return r
			}
		}
		var body []byte
		if err == nil {
			body, err = pg.ReadBody(c.in, length, length)
		}
		if err == nil {
			switch kind {
			case pg.RowDescription:
				order += "T"
				r.value.Format, err = pg.RowFormat(body)
			case pg.DataRow:
				order += "D"
				r.value.Data, err = pg.RowData(body)
			case pg.CommandComplete:
				order += "C"
				if string(body) != tag+"\x00" {
					err = errSpoilt
				}
			case pg.ErrorResponse:
				order += "E"
				if refusal = pg.ReadError(body); len(refusal.Code) != 5 {
					err = errSpoilt
				}
			case pg.ParameterStatus:
				r.note(body)
				c.heed(&r)
			case pg.ReadyForQuery:
				c.clean = len(body) == 1 && body[0] == 'I' && c.in.Buffered() == 0
			}
			if err == nil && !strings.HasPrefix("TDC", order) && order != "E" {
				err = errSpoilt
			}
		}
		// A fatal error ends the session: no ReadyForQuery need follow, so waiting for it could take all the time.
		if err == nil && kind != pg.ReadyForQuery && (refusal == nil || !refusal.Fatal) {
			continue
		}
		switch {
		case err == nil && refusal != nil:
			r.result = resultOf(refusal.Code)
			return r
		case err == nil && order == "TDC" && len(body) == 1:
			r.result = balance.OK
			return r
		}
		c.clean = false
		switch {
		case timedOut(err):
			return r.broken(balance.TimedOut)
		case err == nil, errors.Is(err, errSpoilt), errors.Is(err, pg.ErrFraming), errors.As(err, new(pg.TooLongError)):
			return r.broken(balance.Garbled)
		}
		return r.broken(balance.Reset)
	}
}

// broken is a reply that did not come whole. Of what came with it only that the host is no primary is believed: that speaks
// against it, and to take it for true costs no more than a look elsewhere.
func (r *reply) broken(result balance.Result) reply {
	out := reply{result: result}
	if r.role == balance.Replica || r.role == balance.Unknown && r.report.Role == balance.Replica {
		out.role = balance.Replica
	}
	return out
}

// heed has what a host said against its being a primary known at once, whatever becomes of the rest of its answer.
func (c *conn) heed(r *reply) {
	if r.role == balance.Replica && c.follows != nil {
		c.follows()
	}
}

func resultOf(code string) balance.Result {
	switch code {
	case pg.CodeReadOnly, pg.CodeTooFarBehind:
		return balance.Misdirected
	case pg.CodeTooMany:
		return balance.QueueFull
	}
	return balance.Failed
}

// note takes what a host says of itself with an answer. What can't be read there says nothing; the answer stands.
func (r *reply) note(body []byte) {
	name, value, err := pg.Parameter(body)
	if err != nil {
		return
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
}

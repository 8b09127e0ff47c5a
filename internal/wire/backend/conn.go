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
	readBuffer        = 4 << 10
	rowHeadSize       = 6       // size of a row's header with one column, before its value
	maxStartupMessage = 8 << 10 // largest message accepted at the start of a session
)

// conn is a connection to a host. It carries one query at a time.
type conn struct {
	*net.TCPConn
	id           int
	address      string
	clock        exchange.Clock
	incoming     *incoming
	in           *bufio.Reader      // buffers incoming
	writeLimited bool               // a write deadline is set and has to be moved for each query
	key          pg.Key             // identifies the session in a cancel request
	state        *pooling.ConnState // settings and prepared statements; nil until first used
	clean        bool               // no query in flight and no unread input
	used         bool               // it has carried a query, whose answer may arrive a second time
	closing      sync.Once
	onReplica    func() // called as soon as the host has stated that it is not primary; may be nil
}

func newConn(n *net.TCPConn, address string, clock exchange.Clock) *conn {
	i := &incoming{conn: n}
	return &conn{TCPConn: n, address: address, clock: clock, incoming: i, in: bufio.NewReaderSize(i, readBuffer)}
}

// close closes the sending side first: that takes effect at once, even while a write is in progress.
func (c *conn) close() {
	c.closing.Do(func() {
		_ = c.CloseWrite()
		_ = c.Close()
	})
}

// stopWaiting closes the sending side and ends every wait on the connection. Only input that has already
// arrived can still be read.
func (c *conn) stopWaiting() {
	_ = c.CloseWrite()
	_ = c.SetDeadline(time.Unix(1, 0))
}

func (c *conn) setDeadline(t time.Duration) error { return c.SetDeadline(c.deadline(t)) }

// deadline converts a time of the gateway's clock to one that net.Conn's deadlines take.
func (c *conn) deadline(t time.Duration) time.Time { return time.Now().Add(t - c.clock.Now()) }

// start opens the session and waits until the host is ready for a query.
func (c *conn) start(deadline time.Duration, user, database string) error {
	if err := c.setDeadline(deadline); err != nil {
		return err
	}
	if _, err := c.Write(pg.AppendStartup(nil, user, database)); err != nil {
		return err
	}
	for {
		kind, body, err := pg.Read(c.in, maxStartupMessage)
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

// alive reports whether the host has neither closed an idle connection nor sent anything on it.
func (c *conn) alive() bool { return c.in.Buffered() == 0 && socket.NothingReceived(c) }

// noUnreadInput reports whether no input is waiting that could be mistaken for the answer to the query about
// to be written: the process may have stalled since the connection was acquired. A new connection cannot hold
// an earlier query's answer.
func (c *conn) noUnreadInput() bool { return !c.used || c.alive() }

// reply is the result of a query. Its positions are by the fleet's clock.
type reply struct {
	result   balance.Result
	value    pg.Value
	role     balance.Role
	position time.Duration
	report   balance.Report
	written  time.Duration // when the query had been written completely; 0 if it was not
	stream   *stream       // the rest of a large value that is still to be read; nil if the reply is complete
}

// errMalformed is returned for input that is no valid answer to the query.
var errMalformed = errors.New("backend: malformed answer")

// maxBodySize returns the maximum body size of a message of the given type in an answer, or 0 if the type is
// not allowed there. A message with a larger stated length is rejected at once, because reading it could take
// all the attempt's time.
func maxBodySize(kind byte) int {
	switch kind {
	case pg.DataRow:
		return pg.MaxValue + rowHeadSize // bodies above SmallValue are streamed
	case pg.RowDescription, pg.CommandComplete:
		return 512
	case pg.ErrorResponse, pg.NoticeResponse, pg.ParameterStatus:
		return 8 << 10
	case pg.ReadyForQuery:
		return 1
	}
	return 0
}

// readHead reads the header of a message of an answer and checks its type and size.
func (c *conn) readHead() (kind byte, length int, err error) {
	kind, length, err = pg.ReadHead(c.in)
	switch {
	case err != nil:
	case length > maxBodySize(kind) || maxBodySize(kind) == 0:
		err = fmt.Errorf("%w: type %q, %d bytes", errMalformed, kind, length)
	case kind == pg.DataRow:
		err = pg.RowLength(c.in, length)
	}
	return kind, length, err
}

// receive reads a message of an answer.
func (c *conn) receive() (kind byte, body []byte, err error) {
	kind, length, err := c.readHead()
	if err == nil {
		body, err = pg.ReadBody(c.in, length, length)
	}
	return kind, body, err
}

// roundTrip writes a query and reads its answer; of a large value, only up to its first byte. Only exactly
// one complete row in the expected order is accepted as an answer: a host may send noise, repeat an answer or
// omit parts of it, and that must never be served to a client.
func (c *conn) roundTrip(query []byte, tag string, l limits) (r reply) {
	return c.exchange(func() error {
		_, err := c.Write(query)
		return err
	}, len(query) > readBuffer, tag, l)
}

// limits holds the time limits of a query and its answer.
type limits struct {
	answerBy     time.Duration // limit for the complete answer
	writeBy      time.Duration // limit for writing the last byte; 0 if there is only answerBy
	sendCanceled func() bool   // called right before the first byte; true prevents the write; may be nil
}

// set applies the limits to a connection.
func (l limits) set(c *conn, large bool) error {
	// A small query fits into the empty send buffer of an idle connection; only a large one can block.
	if large || c.writeLimited {
		c.writeLimited = true
		writeBy := l.answerBy
		if l.writeBy > 0 {
			writeBy = min(writeBy, l.writeBy)
		}
		if err := c.SetWriteDeadline(c.deadline(writeBy)); err != nil {
			return err
		}
	}
	return c.SetReadDeadline(c.deadline(l.answerBy))
}

// exchange is roundTrip with a function that writes the query; large states that the write may block. Of an
// answer that is read after its deadline, only the statement that the host is not primary counts.
func (c *conn) exchange(write func() error, large bool, tag string, l limits) reply {
	c.clean = false
	if l.set(c, large) != nil {
		return reply{result: balance.NoConnection}
	}
	switch {
	case !c.noUnreadInput():
		return reply{result: balance.NotSent}
	case l.sendCanceled != nil && l.sendCanceled():
		c.clean = true
		return reply{result: balance.NotSent}
	}
	if err := write(); err != nil {
		// The write failed or timed out before the last byte. A host does not execute a query that it has not
		// received completely.
		return reply{result: balance.NoConnection}
	}
	written := c.clock.Now()
	c.incoming.readLate = true
	r := c.answer(tag)
	c.incoming.readLate = false
	r.written = written
	if c.incoming.pastDeadline {
		c.clean = false
		r = r.asIncomplete(balance.TimedOut)
	}
	c.reportReplica(&r) // also for a report that came without a role
	return r
}

// answer reads the answer to a query that has been written.
func (c *conn) answer(tag string) (r reply) {
	var refusal *pg.Error
	sequence := "" // types of the messages that form the answer
	for {
		kind, length, err := c.readHead()
		if err == nil && kind == pg.DataRow && length > pg.SmallValue+rowHeadSize && sequence == "T" {
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
				sequence += "T"
				r.value.Format, err = pg.RowFormat(body)
			case pg.DataRow:
				sequence += "D"
				r.value.Data, err = pg.RowData(body)
			case pg.CommandComplete:
				sequence += "C"
				if string(body) != tag+"\x00" {
					err = errMalformed
				}
			case pg.ErrorResponse:
				sequence += "E"
				if refusal = pg.ReadError(body); len(refusal.Code) != 5 {
					err = errMalformed
				}
			case pg.ParameterStatus:
				r.parseStatement(body)
				c.reportReplica(&r)
			case pg.ReadyForQuery:
				c.clean = len(body) == 1 && body[0] == 'I' && c.in.Buffered() == 0
			}
			if err == nil && !strings.HasPrefix("TDC", sequence) && sequence != "E" {
				err = errMalformed
			}
		}
		// A fatal error ends the session: ReadyForQuery need not follow, and waiting for it could take all
		// the attempt's time.
		if err == nil && kind != pg.ReadyForQuery && (refusal == nil || !refusal.Fatal) {
			continue
		}
		switch {
		case err == nil && refusal != nil:
			r.result = resultOf(refusal.Code)
			return r
		case err == nil && sequence == "TDC" && len(body) == 1:
			r.result = balance.OK
			return r
		}
		c.clean = false
		switch {
		case timedOut(err):
			return r.asIncomplete(balance.TimedOut)
		case err == nil, errors.Is(err, errMalformed), errors.Is(err, pg.ErrFraming), errors.As(err, new(pg.TooLongError)):
			return r.asIncomplete(balance.Garbled)
		}
		return r.asIncomplete(balance.Reset)
	}
}

// asIncomplete returns the reply for an answer that was not received completely. Of its statements, only that
// the host is not primary is kept: it counts against the host, and if it is wrong, it costs no more than
// trying another host.
func (r *reply) asIncomplete(result balance.Result) reply {
	out := reply{result: result}
	if r.role == balance.Replica || r.role == balance.Unknown && r.report.Role == balance.Replica {
		out.role = balance.Replica
	}
	return out
}

// reportReplica calls onReplica if the reply states that the host is not primary, so that the statement takes
// effect at once, even if the rest of the answer fails.
func (c *conn) reportReplica(r *reply) {
	if r.role == balance.Replica && c.onReplica != nil {
		c.onReplica()
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

// parseStatement parses a statement of the host that comes as a ParameterStatus with an answer. A value that
// cannot be parsed is ignored and does not invalidate the answer.
func (r *reply) parseStatement(body []byte) {
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
		r.report = parseReport(value)
	}
}

// Package clients provides clients that talk to a gateway in PostgreSQL's protocol, as an application's driver does, and
// summarize the answers in short texts.
package clients

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"yokemast/internal/testbed/rules"
	"yokemast/internal/wire/pg"
)

// Client is a connection of a client.
type Client struct {
	net.Conn
	In *bufio.Reader

	reset bool // a read or write has failed because the peer reset the connection
}

// Dial connects without sending anything. All reads and writes on the connection fail after within.
func Dial(address string, within time.Duration) (*Client, error) {
	n, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = n.SetDeadline(time.Now().Add(within))
	return &Client{Conn: n, In: bufio.NewReader(n)}, nil
}

// Start connects as a user and completes the startup.
func Start(address, user string, within time.Duration) (*Client, error) {
	c, err := Dial(address, within)
	if err != nil {
		return nil, err
	}
	_, _ = c.Write(pg.AppendStartup(nil, user, "store"))
	if got := c.Answer(); got != "ready" {
		c.Close()
		return nil, fmt.Errorf("startup answered with %q", got)
	}
	return c, nil
}

// Reply is the answer to a query.
type Reply struct {
	Value      []byte
	Code       string        // SQLSTATE of an error
	RetryAfter time.Duration // of a refusal: when the client may retry
	Empty      bool          // the query was empty
	Row        bool          // a row was received
	Closed     bool          // the connection ended after the answer, or without one
}

// ReadReply reads an answer up to ReadyForQuery or the end of the connection.
func (c *Client) ReadReply() (out Reply) {
	for {
		kind, body, err := pg.Read(c.In, pg.MaxLarge)
		if err != nil {
			out.Closed = true
			c.recordReset(err)
			return out
		}
		switch kind {
		case pg.DataRow:
			out.Row = true
			out.Value, err = pg.RowData(body)
			if err != nil {
				out.Code = err.Error()
			}
		case pg.EmptyQueryResponse:
			out.Empty = true
		case pg.ErrorResponse:
			e := pg.ReadError(body)
			out.Code = e.Code
			if ms, err := strconv.Atoi(e.Detail); err == nil {
				out.RetryAfter = time.Duration(ms) * time.Millisecond
			}
		case pg.ReadyForQuery:
			return out
		}
	}
}

// Answer reads the next answer and returns its summary.
func (c *Client) Answer() string {
	reply := c.ReadReply()
	summary := "ready"
	switch {
	case reply.Code != "" && reply.RetryAfter > 0:
		summary = reply.Code + " come back"
	case reply.Code != "":
		summary = reply.Code
	case reply.Row:
		summary = "row " + string(reply.Value)
	case reply.Empty:
		summary = "empty"
	}
	switch {
	case reply.Closed && summary == "ready":
		return "closed"
	case reply.Closed:
		return summary + ", closed"
	}
	return summary
}

// IsReset reports whether the peer resets the connection within the given time, as it does if it closes the connection with
// unread input.
func (c *Client) IsReset(within time.Duration) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var pending int
		if raw.Control(func(fd uintptr) { pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }) != nil || err != nil {
			return false
		}
		if pending != 0 || c.reset {
			return true
		}
	}
	return false
}

// Send writes a query.
func (c *Client) Send(query string) {
	_, err := c.Write(pg.AppendQuery(nil, query))
	c.recordReset(err)
}

func (c *Client) recordReset(err error) {
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Ask writes a query and returns the summary of its answer.
func (c *Client) Ask(query string) string {
	c.Send(query)
	return c.Answer()
}

var ids atomic.Int64

// NewID returns a unique request ID.
func NewID() string { return fmt.Sprintf("%016x", ids.Add(1)) }

// Request is one request in the platform's format.
type Request struct {
	ID, Class, Key, Tenant string        // an empty ID means a new one
	Group                  int           // 0 means group 1
	Wait                   time.Duration // the client's deadline
	After                  time.Time     // position that a read must see, or zero
	Write                  bool
	Value                  []byte
	Repeatable             bool
}

// Statement returns the request as a statement with its comment.
func (r Request) Statement() string {
	more := ""
	if !r.After.IsZero() {
		more += fmt.Sprintf(",after=%d", r.After.UnixMilli())
	}
	if r.Tenant != "" {
		more += ",tenant=" + r.Tenant
	}
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */", r.ID, r.Class, r.Wait.Milliseconds(), max(r.Group, 1), more)
	key := strings.ReplaceAll(r.Key, "'", "''")
	if r.Write {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%x') RETURNING content %s`, key, r.Value, comment)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' %s", key, comment)
}

// Do sends a request, reads its answer and records both in the ledger, which may be nil.
func (c *Client) Do(r Request, ledger *rules.Ledger) Reply {
	if r.ID == "" {
		r.ID = NewID()
	}
	if ledger != nil {
		ledger.Asked(r.ID, r.Write, r.Repeatable, time.Now().Add(r.Wait))
	}
	c.Send(r.Statement())
	out := c.ReadReply()
	if ledger != nil {
		switch {
		case out.Row:
			ledger.Answered(r.ID, rules.Served)
		case out.Code == pg.CodeTooMany || out.Code == pg.CodeCannotConnectNow:
			ledger.Answered(r.ID, rules.Refused)
		case out.Code != "":
			ledger.Answered(r.ID, rules.Failed)
		default:
			ledger.Unanswered(r.ID)
		}
	}
	return out
}

// Package clients has clients that talk to a gateway in PostgreSQL's protocol, as an application's driver would, and put
// what they are told in a word or two.
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

// Client is a client's connection.
type Client struct {
	net.Conn
	In *bufio.Reader

	reset bool // a call has shown that the other end reset the connection
}

// Dial connects and says nothing yet. Everything on the connection must be over within the time.
func Dial(address string, within time.Duration) (*Client, error) {
	n, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = n.SetDeadline(time.Now().Add(within))
	return &Client{Conn: n, In: bufio.NewReader(n)}, nil
}

// Start connects as a user and goes through the startup.
func Start(address, user string, within time.Duration) (*Client, error) {
	c, err := Dial(address, within)
	if err != nil {
		return nil, err
	}
	_, _ = c.Write(pg.AppendStartup(nil, user, "store"))
	if got := c.Answer(); got != "ready" {
		c.Close()
		return nil, fmt.Errorf("the startup is answered %q", got)
	}
	return c, nil
}

// Reply is an answer.
type Reply struct {
	Value      []byte
	Code       string        // of an error
	RetryAfter time.Duration // of a refusal: when to come again
	Empty      bool
	Row        bool
	Closed     bool // the connection has ended behind it, or instead of it
}

// ReadReply reads up to ReadyForQuery or the end of the connection.
func (c *Client) ReadReply() (out Reply) {
	for {
		kind, body, err := pg.Read(c.In, pg.MaxLarge)
		if err != nil {
			out.Closed = true
			c.noteReset(err)
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

// Answer is the next answer in a word or two.
func (c *Client) Answer() string {
	r := c.ReadReply()
	said := "ready"
	switch {
	case r.Code != "" && r.RetryAfter > 0:
		said = r.Code + " come back"
	case r.Code != "":
		said = r.Code
	case r.Row:
		said = "row " + string(r.Value)
	case r.Empty:
		said = "empty"
	}
	switch {
	case r.Closed && said == "ready":
		return "closed"
	case r.Closed:
		return said + ", closed"
	}
	return said
}

// IsReset says whether the other end resets the connection within a time, as it does where something that was sent stays unread.
func (c *Client) IsReset(within time.Duration) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
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
	c.noteReset(err)
}

func (c *Client) noteReset(err error) {
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Ask writes a query and gives its answer in a word or two.
func (c *Client) Ask(query string) string {
	c.Send(query)
	return c.Answer()
}

var ids atomic.Int64

// NewID gives an id that no other request has.
func NewID() string { return fmt.Sprintf("%016x", ids.Add(1)) }

// Request is one request in the platform's form.
type Request struct {
	ID, Class, Key, Tenant string // ID "": a new one
	Group                  int    // 0: group 1
	Wait                   time.Duration
	After                  time.Time // that a read must see; zero: none
	Write                  bool
	Value                  []byte
	Repeatable             bool
}

// Statement writes the request as a statement with its comment.
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

// Do asks for a request and tells the ledger, which may be nil.
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

package kit

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"yokemast/internal/wire/pg"
)

// Host is a stand-in for a database host. Run executes one statement on a connection.
type Host struct {
	ID, Role string
	// Position is the host's position in the log; a primary's is the present.
	Position func() time.Time
	Run      func(s *Session, statement string)
	// Listed tells that discovery's list shows the role.
	Listed bool
	// Cancel is called with the key of a cancel request before its connection is closed.
	Cancel func(key pg.Key)

	listener net.Listener
}

// Session is one connection to a host.
type Session struct {
	net.Conn
	Host   *Host
	Key    pg.Key
	Number int64 // of the connection, over all hosts
	Status byte  // transaction status
	State  any   // for Host.Run
}

var sessions atomic.Int64

// NewHost starts a host on loopback.
func NewHost(h *Host) *Host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	h.listener = l
	if h.Position == nil {
		h.Position = time.Now
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

// Address is where the host listens.
func (h *Host) Address() string { return h.listener.Addr().String() }

// Entry is the host's entry in discovery's list.
func (h *Host) Entry() map[string]any {
	e := map[string]any{"id": h.ID, "host_port": h.Address(), "locality": "a", "flavor": "std-4core", "cell": 1, "phase": "SERVING",
		"size": 1.0, "up_since_ms": 0}
	if h.Listed {
		e["role"] = h.Role
	}
	return e
}

func (h *Host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	kind, parameters, err := pg.ReadStartup(in)
	if err != nil {
		return
	}
	if kind == pg.StartCancel {
		if key, ok := parameters.CancelKey(); ok && h.Cancel != nil {
			h.Cancel(key)
		}
		return
	}
	n := sessions.Add(1)
	s := &Session{Conn: c, Host: h, Key: pg.Key{Process: uint32(n), Secret: uint32(n) * 2654435761}, Number: n, Status: 'I'}
	if _, err := c.Write(pg.AppendStartupResponseWith(nil, pg.StartSession, pg.DefaultParameters(), s.Key)); err != nil {
		return
	}
	for {
		kind, body, err := pg.Read(in, 16<<20)
		if err != nil || kind != pg.Query {
			return
		}
		statement := strings.TrimSuffix(string(body), "\x00")
		if statement == "SHOW server_load" {
			if _, err := c.Write(pg.AppendReadyAs(pg.AppendRow(nil, pg.Value{Data: []byte(h.Report())}, "SHOW"), s.Status)); err != nil {
				return
			}
			continue
		}
		h.Run(s, statement)
	}
}

// Report is a load report as of now.
func (h *Host) Report() string {
	primary := 0
	if h.Role == "leader" {
		primary = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d", float64(h.Position().UnixMilli())/1000, primary)
}

// Statements appends what a host says about itself with each answer, as of a position.
func (h *Host) Statements(out []byte, position time.Time) []byte {
	out = pg.Append(out, pg.ParameterStatus, []byte("node_role\x00"+h.Role+"\x00"))
	return pg.Append(out, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", position.UnixMilli()))
}

// Row is the answer with one value.
func (s *Session) Row(value, tag string) []byte {
	out := pg.AppendRow(nil, pg.Value{Data: []byte(value)}, tag)
	return pg.AppendReadyAs(s.Host.Statements(out, s.Host.Position()), s.Status)
}

// Done is the answer of a statement without rows.
func (s *Session) Done(tag string) []byte {
	return pg.AppendReadyAs(s.Host.Statements(pg.AppendComplete(nil, tag), s.Host.Position()), s.Status)
}

// Error is an answer with an error.
func (s *Session) Error(code, message string) []byte {
	out := pg.AppendError(nil, &pg.Error{Code: code, Message: message})
	return pg.AppendReadyAs(s.Host.Statements(out, s.Host.Position()), s.Status)
}

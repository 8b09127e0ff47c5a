package kit2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"yokemast/internal/wire/pg"
)

// Store is the log of a group: each committed value with its commit.
type Store struct {
	mu       sync.Mutex
	versions map[string][]version
}

type version struct {
	commit int64 // Unix time in milliseconds, rounded up
	value  string
}

// Write commits a value and returns the commit.
func (s *Store) Write(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = map[string][]version{}
	}
	commit := time.Now().UnixMilli() + 1
	s.versions[key] = append(s.versions[key], version{commit, value})
	return commit
}

// Read returns the newest value of a key as of a position, or "" if there is none.
func (s *Store) Read(key string, position int64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, v := range s.versions[key] {
		if v.commit <= position {
			value = v.value
		}
	}
	return value
}

// Host is a stand-in for a database host on a loopback address.
type Host struct {
	c      *Case
	ID     string
	Leader bool
	Lag    time.Duration // how far a replica is behind
	Store  *Store
	NoRole bool // the list does not show the host's role
	// Work is how long a request takes.
	Work func(s *pg.Statement) time.Duration
	// Answer, if set, returns another answer to a request: nil stands for the host's own one, empty if it was written already.
	Answer func(n net.Conn, s *pg.Statement) []byte
	// General, if set, answers a statement of general SQL with the messages before ReadyForQuery.
	General func(query string) []byte
	// Begun is called when the last byte of a request has arrived.
	Begun func(s *pg.Statement, at time.Time)

	listener net.Listener
}

// StartHost starts a host.
func (c *Case) StartHost(h *Host) (*Host, error) {
	var err error
	h.c = c
	if h.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			n, err := h.listener.Accept()
			if err != nil {
				return
			}
			go h.serve(n)
		}
	}()
	return h, nil
}

// Entry is the host's entry in the list.
func (h *Host) Entry(phase string) map[string]any {
	e := map[string]any{"id": h.ID, "host_port": h.listener.Addr().String(), "locality": "dc1", "flavor": "std-4core", "cell": 1, "phase": phase,
		"size": 1.0, "up_since_ms": 0, "role": h.role()}
	if h.NoRole {
		delete(e, "role")
	}
	return e
}

func (h *Host) role() string {
	if h.Leader {
		return "leader"
	}
	return "follower"
}

// Position is how far the host has applied the log, as Unix time in milliseconds.
func (h *Host) Position() int64 {
	if h.Leader {
		return time.Now().UnixMilli()
	}
	return time.Now().Add(-h.Lag).UnixMilli()
}

// Statements returns what the host states about itself now.
func (h *Host) Statements() []byte { return h.statements(h.Position()) }

func (h *Host) statements(position int64) []byte {
	out := pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+h.role()+"\x00"))
	return pg.Append(out, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", position))
}

// Error is an answer with an error of a code.
func (h *Host) Error(code string) []byte {
	return pg.AppendReady(append(h.statements(h.Position()), pg.AppendError(nil, &pg.Error{Code: code, Message: "no"})...))
}

func (h *Host) serve(n net.Conn) {
	defer n.Close()
	in := bufio.NewReader(n)
	if _, _, err := pg.ReadStartup(in); err != nil {
		return
	}
	if _, err := n.Write(pg.AppendStartupResponse(nil, pg.StartSession)); err != nil {
		return
	}
	for {
		kind, body, err := pg.Read(in, pg.MaxLarge)
		if err != nil || kind != pg.Query {
			return
		}
		at := time.Now()
		query := strings.TrimSuffix(string(body), "\x00")
		var answer []byte
		if query == "SHOW server_load" {
			x1 := 0
			if h.Leader {
				x1 = 1
			}
			load := fmt.Sprintf("x0=%.3f,x1=%d", float64(h.Position())/1000, x1)
			answer = pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(load)}, "SHOW"))
		} else {
			s, bad := pg.ParseStatement([]byte(query))
			if bad != nil && h.General != nil {
				h.c.Note("%s (%s): received a statement of %d bytes: %.60q", h.ID, h.role(), len(query), query)
				if _, err := n.Write(pg.AppendReady(append(h.statements(h.Position()), h.General(query)...))); err != nil {
					return
				}
				continue
			}
			if bad != nil {
				h.c.Note("%s: an unknown statement %q", h.ID, query)
				return
			}
			if answer = h.request(n, s, at); answer == nil {
				return
			}
		}
		if _, err := n.Write(answer); err != nil {
			return
		}
	}
}

// request runs one request and returns its answer, or nil to close the connection.
func (h *Host) request(n net.Conn, s *pg.Statement, at time.Time) []byte {
	h.c.Note("%s (%s): received %s of %q, class %s, id %s", h.ID, h.role(), kindOf(s), s.Key, s.Class, s.ID)
	if h.Begun != nil {
		h.Begun(s, at)
	}
	if s.Write && !h.Leader {
		return h.Error("25006")
	}
	if h.Work != nil {
		time.Sleep(h.Work(s))
	}
	if h.Answer != nil {
		if answer := h.Answer(n, s); answer != nil {
			return answer
		}
	}
	var value string
	var position int64
	if s.Write {
		value = valueOf(s)
		position = h.Store.Write(s.Key, value)
	} else {
		position = h.Position()
		value = h.Store.Read(s.Key, position)
	}
	h.c.Note("%s (%s): answers id %s with %.40q, position %d", h.ID, h.role(), s.ID, value, position)
	return pg.AppendReady(append(h.statements(position), pg.AppendRow(nil, pg.Value{Data: []byte(value), Format: 1}, s.Tag())...))
}

func kindOf(s *pg.Statement) string {
	if s.Write {
		return "a write"
	}
	return "a read"
}

// valueOf returns the value of a write as written, in hexadecimal digits.
func valueOf(s *pg.Statement) string {
	text := string(s.Text)
	_, rest, _ := strings.Cut(text, `'\x`)
	value, _, _ := strings.Cut(rest, "'")
	return value
}

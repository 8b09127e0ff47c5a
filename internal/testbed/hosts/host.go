// Package hosts has stand-ins for database hosts that speak PostgreSQL's protocol on loopback: scripted ones that answer as a
// test says, and clusters of a primary and replicas that hold data, fall behind, hang, crash and start cold.
package hosts

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"yokemast/internal/testbed/rules"
	"yokemast/internal/wire/pg"
)

// Roles, as a host tells them of itself.
const (
	Leader   = "leader"
	Follower = "follower"
)

// Host is one database host. The fields are set before the first connection comes, but for Script.
type Host struct {
	net.Listener
	ID      string
	Address string // where it listens; of a cluster's host, where it shall
	Group   int
	// Script answers a query; n counts from 0. nil closes the connection, empty stays silent. Without a script a host of a
	// cluster serves its data, any other the query's own key as the row.
	Script           func(n int, query string) []byte
	OnSession        func(n int)                          // is called before a session is welcomed, which waits for it; n counts them from 0
	CloseAfterAnswer bool                                 // closes after each answer
	TrailingBytes    func(query string) []byte            // sent a moment after each answer
	Raw              func(c io.Writer, query string) bool // writes the answer itself, in its own time; false: the connection ends
	Ended            chan struct{}                        // gets one for each connection that has ended, while there is room
	Log              func(format string, args ...any)
	// General hosts of a cluster serve SQL of their own on connections that carry settings, statements and transactions.
	General     bool
	AfterCommit func() bool   // is asked after each commit of a general host: true closes the connection without an answer
	Ledger      *rules.Ledger // is told what comes; nil: nobody is
	Skew        time.Duration // that the clock by which it tells times is ahead
	// Report gives the load report that is told to probes and with every answer. nil: it is made anew for each probe, and answers
	// tell none.
	Report func() string
	// Delay gives how long an answer takes from its making until it is written; nil: no time. General hosts do not heed it.
	Delay func() time.Duration

	// Of a host in a cluster: what it can do.
	Slots    int           // requests that it runs at a time; 0: any number
	MaxQueue int           // requests that wait for a slot; more are turned away
	Work     time.Duration // that a request takes when the host is warm
	ColdFrom float64       // part of its capacity that it has when it starts cold
	ColdTime time.Duration

	mu       sync.Mutex
	role     string // of a host that is in no cluster
	queries  []string
	begun    int // sessions
	conns    map[net.Conn]bool
	cluster  *Cluster
	log      replication
	started  time.Time // cold since; zero: warm
	hung     Hang
	released chan struct{} // closed when a hang ends
	slots    chan struct{}
	waiting  int
	seated   map[pg.Key]*seat
	life     int // counts starts: what a dead process held is gone
	reports  *reporter
}

// New makes a scripted host that listens on loopback.
func New(id, role string, script func(n int, query string) []byte) (*Host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{Listener: l, ID: id, Group: 1, role: role, Script: script}
	h.begin()
	return h, nil
}

func (h *Host) begin() {
	h.Ended, h.conns, h.Address = make(chan struct{}, 1000), map[net.Conn]bool{}, h.Listener.Addr().String()
	go h.accept(h.Listener)
}

func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go func() {
			h.serve(c)
			c.Close()
			h.mu.Lock()
			delete(h.conns, c)
			h.mu.Unlock()
			select {
			case h.Ended <- struct{}{}:
			default:
			}
		}()
	}
}

// Role is the host's role now.
func (h *Host) Role() string {
	if h.cluster != nil && h.cluster.Primary() == h {
		return Leader
	} else if h.cluster != nil {
		return Follower
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.role
}

// SetRole gives a scripted host another role.
func (h *Host) SetRole(role string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.role = role
}

// Queries gives all queries so far but probes.
func (h *Host) Queries() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.queries...)
}

func (h *Host) serve(c net.Conn) {
	in := bufio.NewReader(c)
	kind, parameters, err := pg.ReadStartup(in)
	switch {
	case err != nil:
		return
	case h.General:
		h.serveGeneral(c, in, parameters, kind)
		return
	case h.OnSession != nil:
		h.mu.Lock()
		n := h.begun
		h.begun++
		h.mu.Unlock()
		h.OnSession(n)
	}
	if _, err := c.Write(pg.AppendStartupResponse(nil, pg.StartSession)); err != nil {
		return
	}
	asked := "" // the last request on this connection
	for {
		_, body, err := pg.Read(in, pg.MaxLarge)
		if err != nil {
			return
		}
		if query := strings.TrimSuffix(string(body), "\x00"); query == "SHOW server_load" {
			if h.probeHangs() {
				return
			}
			h.answerProbe(c, asked)
		} else if !h.answerQuery(c, in, query, &asked) {
			return
		}
	}
}

// answerProbe answers the question for the load report.
func (h *Host) answerProbe(c net.Conn, asked string) {
	load := h.toldLoad()
	h.delay()
	_, err := c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(load)}, "SHOW")))
	if err == nil && strings.HasSuffix(load, "x1=0") && load != unmadeReport {
		h.tellFollower(c, asked)
	}
}

// answerQuery answers anything else, and notes its id as the last one asked; false: the connection ends.
func (h *Host) answerQuery(c net.Conn, in *bufio.Reader, query string, asked *string) bool {
	h.mu.Lock()
	n, script := len(h.queries), h.Script
	h.queries = append(h.queries, query)
	h.mu.Unlock()
	if h.Raw != nil {
		return h.Raw(c, query)
	}
	var answer []byte
	switch {
	case script != nil:
		answer = script(n, query)
	case h.cluster != nil:
		answer = h.run(c, in, query)
	default:
		answer = h.Row(query)
	}
	if answer == nil {
		return false
	}
	if s, bad := pg.ParseStatement([]byte(query)); bad == nil {
		*asked = s.ID
	}
	if _, err := c.Write(answer); err == nil && bytes.Contains(answer, []byte("node_role\x00"+Follower)) {
		h.tellFollower(c, *asked)
	}
	if h.TrailingBytes != nil {
		time.AfterFunc(2*time.Millisecond, func() { _, _ = c.Write(h.TrailingBytes(query)) })
		time.Sleep(4 * time.Millisecond) // what was written behind the query waits as long
	}
	return !h.CloseAfterAnswer
}

// tellFollower tells the ledger that the gateway which asked for a request has been answered, just now, by a follower.
func (h *Host) tellFollower(c net.Conn, id string) {
	if h.Ledger != nil && isOpen(c) {
		h.Ledger.AnsweredAsFollower(h.ID, id)
	}
}

// standing is the host's role, and up to when it has applied every commit.
func (h *Host) standing() standing {
	if h.cluster != nil {
		return h.cluster.standing(h)
	}
	return standing{h.Role(), time.Now()}
}

// toldLoad is the load report as the host tells it now.
func (h *Host) toldLoad() string {
	if h.Report != nil {
		return h.Report()
	}
	return h.load()
}

// delay waits for as long as an answer takes from its making until it is written.
func (h *Host) delay() {
	if h.Delay != nil {
		time.Sleep(h.Delay())
	}
}

// load is a load report made now.
func (h *Host) load() string {
	now, primary := h.standing(), 0
	if now.role == Leader {
		primary = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d", float64(now.position.Add(h.Skew).UnixMilli())/1000, primary)
}

// notes are what a host says of itself with an answer.
func (h *Host) notes(now standing) []byte {
	out := pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+now.role+"\x00"))
	if h.Report != nil {
		out = pg.Append(out, pg.ParameterStatus, []byte("server_load\x00"+h.Report()+"\x00"))
	}
	return pg.Append(out, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", now.position.Add(h.Skew).UnixMilli()))
}

// Row is the answer of a query served with its own key as the value.
func (h *Host) Row(query string) []byte {
	s, err := pg.ParseStatement([]byte(query))
	if err != nil {
		return h.Refuse("08P01")
	}
	return h.answer(pg.Value{Data: []byte(s.Key), Format: 1}, s.Tag(), h.standing())
}

func (h *Host) answer(v pg.Value, tag string, now standing) []byte {
	return pg.AppendReady(append(h.notes(now), pg.AppendRow(nil, v, tag)...))
}

// Refuse is the answer with an error of that code.
func (h *Host) Refuse(code string) []byte {
	return pg.AppendReady(append(h.notes(h.standing()), pg.AppendError(nil, &pg.Error{Code: code, Message: "no"})...))
}

// ListEntry is the host as discovery lists it, in a phase.
func (h *Host) ListEntry(phase string) map[string]any {
	h.mu.Lock()
	started := int64(0)
	if !h.started.IsZero() {
		started = h.started.Add(h.Skew).UnixMilli()
	}
	h.mu.Unlock()
	return map[string]any{"id": h.ID, "host_port": h.Address, "cell": h.Group, "phase": phase, "size": 1.0,
		"up_since_ms": started, "role": h.Role()}
}

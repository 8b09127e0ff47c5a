// Package hosts provides stand-ins for database hosts that speak PostgreSQL's protocol on loopback: scripted hosts whose answers
// a test defines, and clusters of a primary and replicas that hold data, lag, hang, crash and start cold.
package hosts

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yokemast/internal/testbed/rules"
	"yokemast/internal/wire/pg"
)

// Roles, as a host states them.
const (
	Leader   = "leader"
	Follower = "follower"
)

// Host is one database host. All fields except Script must be set before the first connection.
type Host struct {
	net.Listener
	ID      string
	Address string // where it listens, or, for a host of a cluster that is not started yet, where it will
	Group   int
	// Script answers the query with index n. A nil answer closes the connection, an empty one sends nothing. Without a script, a
	// host of a cluster serves its data, and any other returns the query's key as the row.
	Script           func(n int, query string) []byte
	OnSession        func(n int)                          // called before the session with index n is accepted, which waits for it
	CloseAfterAnswer bool                                 // closes the connection after each answer
	TrailingBytes    func(query string) []byte            // bytes sent shortly after each answer
	Raw              func(c io.Writer, query string) bool // writes the answer itself; the connection is closed if it returns false
	Ended            chan struct{}                        // receives a value for each connection that ended, unless the channel is full
	Log              func(format string, args ...any)
	// General makes a host of a cluster serve a small SQL dialect with settings, prepared statements and transactions.
	General     bool
	AfterCommit func() bool // called after each commit of a general host; true closes the connection without an answer
	// BeforeStatement is called before each statement of a general host, with the settings in force for it. An error fails
	// the statement.
	BeforeStatement func(text string, settings map[string]string) *pg.Error
	// HangWithin returns how many bytes of an answer a general host writes before it hangs until the connection ends, or a
	// negative number for all.
	HangWithin   func(answer []byte) int
	EndAfterHang bool // a host with HangWithin closes the connection in place of hanging
	// WriteAnswer writes an answer of a general host; nil means at once.
	WriteAnswer func(c io.Writer, answer []byte) error
	CancelDelay time.Duration // between the arrival of a cancel request at a general host and its effect
	Ledger      *rules.Ledger // receives what the host observes, or nil
	Skew        time.Duration // offset of the host's clock, by which it states times
	// Report returns the load report for probes and for every answer. If nil, each probe gets a new report and answers carry
	// none.
	Report func() string
	// Delay returns the time between making and writing an answer; nil means none. General hosts ignore it.
	Delay func() time.Duration

	// Capacity of a host in a cluster.
	Slots    int           // requests that it executes at a time; 0 means no limit
	MaxQueue int           // maximum number of requests that wait for a slot; more are rejected
	Work     time.Duration // execution time of a request on a warm host
	ColdFrom float64       // fraction of its capacity directly after a cold start
	ColdTime time.Duration // until it has its full capacity after a cold start

	answers       atomic.Int64 // written by a general host
	mu            sync.Mutex
	role          string // of a host outside a cluster
	queries       []string
	sessionsBegun int // number of sessions begun
	conns         map[net.Conn]bool
	cluster       *Cluster
	replication   replication
	coldSince     time.Time // time of the cold start, or zero if the host has always been warm
	hung          Hang
	resumed       chan struct{} // closed when a hang ends
	slots         chan struct{}
	waiting       int
	sessions      map[pg.Key]*session
	process       int // number of the process; work of an earlier process is lost
	reports       *reporter
}

// New starts a scripted host that listens on loopback.
func New(id, role string, script func(n int, query string) []byte) (*Host, error) {
	l, err := net.Listen("tcp", unusedAddress())
	if err != nil {
		return nil, err
	}
	h := &Host{Listener: l, ID: id, Group: 1, role: role, Script: script}
	h.startAccepting()
	return h, nil
}

func (h *Host) startAccepting() {
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

// Role returns the host's current role.
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

// Answers returns the number of answers that a general host has written, one for each query or pipeline.
func (h *Host) Answers() int64 { return h.answers.Load() }

// SetRole changes the role of a scripted host.
func (h *Host) SetRole(role string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.role = role
}

// Queries returns all queries received so far, without probes.
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
		n := h.sessionsBegun
		h.sessionsBegun++
		h.mu.Unlock()
		h.OnSession(n)
	}
	if _, err := c.Write(pg.AppendStartupResponse(nil, pg.StartSession)); err != nil {
		return
	}
	lastID := "" // ID of the last request on this connection
	for {
		_, body, err := pg.Read(in, pg.MaxLarge)
		if err != nil {
			return
		}
		if query := strings.TrimSuffix(string(body), "\x00"); query == "SHOW server_load" {
			if h.waitForProbes() {
				return
			}
			h.answerProbe(c, lastID)
		} else if !h.answerQuery(c, in, query, &lastID) {
			return
		}
	}
}

// answerProbe answers a probe with the load report.
func (h *Host) answerProbe(c net.Conn, lastID string) {
	load := h.loadReport()
	h.delay()
	_, err := c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(load)}, "SHOW")))
	if err == nil && strings.HasSuffix(load, "x1=0") && load != emptyReport {
		h.recordFollowerAnswer(c, lastID)
	}
}

// answerQuery answers any other query and stores its ID in lastID. It returns false if the connection must be closed.
func (h *Host) answerQuery(c net.Conn, in *bufio.Reader, query string, lastID *string) bool {
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
		answer = h.runQuery(c, in, query)
	default:
		answer = h.Row(query)
	}
	if answer == nil {
		return false
	}
	if s, bad := pg.ParseStatement([]byte(query)); bad == nil {
		*lastID = s.ID
	}
	if _, err := c.Write(answer); err == nil && bytes.Contains(answer, []byte("node_role\x00"+Follower)) {
		h.recordFollowerAnswer(c, *lastID)
	}
	if h.TrailingBytes != nil {
		time.AfterFunc(2*time.Millisecond, func() { _, _ = c.Write(h.TrailingBytes(query)) })
		time.Sleep(4 * time.Millisecond) // delay the next query until the trailing bytes were sent
	}
	return !h.CloseAfterAnswer
}

// recordFollowerAnswer records in the ledger that the gateway that sent a request has just been answered by a follower.
func (h *Host) recordFollowerAnswer(c net.Conn, id string) {
	if h.Ledger != nil && isOpen(c) {
		h.Ledger.FollowerAnswered(h.ID, id)
	}
}

// state returns the host's role and position.
func (h *Host) state() replicaState {
	if h.cluster != nil {
		return h.cluster.state(h)
	}
	return replicaState{h.Role(), time.Now()}
}

// loadReport returns the load report that the host sends now.
func (h *Host) loadReport() string {
	if h.Report != nil {
		return h.Report()
	}
	return h.newLoadReport()
}

// delay waits for the configured delay of an answer.
func (h *Host) delay() {
	if h.Delay != nil {
		time.Sleep(h.Delay())
	}
}

// newLoadReport returns a new load report: x0 is the host's position in Unix seconds by the host's clock, x1 is 1 for a primary and
// 0 for a follower.
func (h *Host) newLoadReport() string {
	state, primary := h.state(), 0
	if state.role == Leader {
		primary = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d", float64(state.position.Add(h.Skew).UnixMilli())/1000, primary)
}

// statements returns the statements about itself that a host sends with an answer.
func (h *Host) statements(state replicaState) []byte {
	out := pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+state.role+"\x00"))
	if h.Report != nil {
		out = pg.Append(out, pg.ParameterStatus, []byte("server_load\x00"+h.Report()+"\x00"))
	}
	return pg.Append(out, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", state.position.Add(h.Skew).UnixMilli()))
}

// Row returns the answer to a query with the query's key as the value.
func (h *Host) Row(query string) []byte {
	s, err := pg.ParseStatement([]byte(query))
	if err != nil {
		return h.Refuse("08P01")
	}
	return h.answer(pg.Value{Data: []byte(s.Key), Format: 1}, s.Tag(), h.state())
}

func (h *Host) answer(v pg.Value, tag string, state replicaState) []byte {
	return pg.AppendReady(append(h.statements(state), pg.AppendRow(nil, v, tag)...))
}

// Refuse returns an answer with an error of the given code.
func (h *Host) Refuse(code string) []byte {
	return pg.AppendReady(append(h.statements(h.state()), pg.AppendError(nil, &pg.Error{Code: code, Message: "no"})...))
}

// ListEntry returns the host's entry in the endpoint list, with the given phase.
func (h *Host) ListEntry(phase string) map[string]any {
	h.mu.Lock()
	startedMs := int64(0)
	if !h.coldSince.IsZero() {
		startedMs = h.coldSince.Add(h.Skew).UnixMilli()
	}
	h.mu.Unlock()
	return map[string]any{"id": h.ID, "host_port": h.Address, "cell": h.Group, "phase": phase, "size": 1.0,
		"up_since_ms": startedMs, "role": h.Role()}
}

package hosts

import (
	"bufio"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"yokemast/internal/wire/pg"
)

// A host with General set serves a small SQL dialect over the simple and extended query protocols, with settings, prepared
// statements, transactions and cancels per connection as in PostgreSQL:
//
//	SELECT content FROM kv WHERE name = X        INSERT INTO kv (name, content) VALUES (X, Y)
//	SELECT 'text'        SELECT $1        SELECT pg_sleep(SECONDS)        SHOW name
//	SET, RESET, DISCARD ALL, DEALLOCATE ALL, BEGIN, COMMIT, ROLLBACK, SAVEPOINT, LISTEN, FAIL
//	PREPARE and DECLARE, which are taken and do nothing
//
// X and Y are constants or parameters; all values are text. A write is committed with its value as its request ID.

// session is the session of one connection at a general host.
type session struct {
	host            *Host
	conn            net.Conn
	key             pg.Key
	sessionSettings map[string]string // settings at session level
	settings        map[string]string // settings in force, including those local to the transaction
	savepoints      []savepoint       // states at BEGIN and at each savepoint; empty outside a transaction
	implicit        *savepoint        // state before the implicit transaction of a pipeline, which its Sync commits; nil: none
	failed          bool              // the open transaction is aborted
	writes          []write           // of the open transaction
	prepared        map[string]string
	portals         map[string]portal
	canceled        chan struct{}
	mu              sync.Mutex
	running         bool
	lastCommit      time.Time // position of the last commit
}

var sessionKeys struct {
	sync.Mutex
	next uint32
}

func (h *Host) sessionsLocked() map[pg.Key]*session {
	if h.sessions == nil {
		h.sessions = map[pg.Key]*session{}
	}
	return h.sessions
}

// serveGeneral serves one connection.
func (h *Host) serveGeneral(c net.Conn, in *bufio.Reader, parameters pg.Parameters, kind pg.Startup) {
	if kind == pg.StartCancel {
		if key, ok := parameters.CancelKey(); ok {
			time.Sleep(h.CancelDelay)
			h.cancel(key)
		}
		return
	}
	s := h.startSession(c)
	defer h.endSession(s)
	if _, err := c.Write(pg.AppendStartupResponseWith(nil, pg.StartSession, pg.DefaultParameters(), s.key)); err != nil {
		return
	}
	var out []byte
	skipping := false
	for {
		kind, body, err := pg.Read(in, 8<<20)
		if err != nil {
			return
		}
		if h.waitWhileHung(nil) {
			return
		}
		switch {
		case kind == pg.Terminate:
			return
		case kind == pg.Sync:
			skipping = false
			out = s.ready(s.endPipeline(out))
		case skipping:
		case kind == pg.Query:
			out = s.ready(s.endPipeline(s.query(out, strings.TrimSuffix(string(body), "\x00"))))
		default:
			var bad *pg.Error
			if out, bad = s.extended(out, kind, body); bad != nil {
				out = pg.AppendError(out, bad)
				s.abortTransaction()
				s.abortPipeline()
				skipping = true
			}
		}
		if kind == pg.Query || kind == pg.Sync || kind == pg.Flush {
			h.answers.Add(1)
			if f := h.HangWithin; f != nil {
				if n := f(out); n >= 0 {
					_, _ = c.Write(out[:n])
					if !h.EndAfterHang {
						_, _ = io.Copy(io.Discard, in)
					}
					return
				}
			}
			if err := h.writeAnswer(c, out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}

func (h *Host) writeAnswer(c io.Writer, answer []byte) error {
	if h.WriteAnswer != nil {
		return h.WriteAnswer(c, answer)
	}
	_, err := c.Write(answer)
	return err
}

// cancel cancels the running statement of the session with a key, if any.
func (h *Host) cancel(key pg.Key) {
	h.mu.Lock()
	s := h.sessionsLocked()[key]
	h.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		close(s.canceled)
		s.canceled, s.running = make(chan struct{}), false
	}
}

// startSession starts a session on a connection.
func (h *Host) startSession(c net.Conn) *session {
	sessionKeys.Lock()
	sessionKeys.next++
	key := pg.Key{Process: sessionKeys.next, Secret: sessionKeys.next * 2654435761}
	sessionKeys.Unlock()
	s := &session{host: h, conn: c, key: key, sessionSettings: map[string]string{}, settings: map[string]string{}, prepared: map[string]string{},
		portals: map[string]portal{}, canceled: make(chan struct{})}
	h.mu.Lock()
	h.sessionsLocked()[key] = s
	h.mu.Unlock()
	h.cluster.mu.Lock()
	h.cluster.openConns++
	h.cluster.peakConns = max(h.cluster.peakConns, h.cluster.openConns)
	h.cluster.mu.Unlock()
	return s
}

// endSession ends a session.
func (h *Host) endSession(s *session) {
	h.cluster.mu.Lock()
	h.cluster.openConns--
	h.cluster.mu.Unlock()
	h.mu.Lock()
	delete(h.sessions, s.key)
	h.mu.Unlock()
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case len(s.savepoints) > 0:
		return 'T'
	}
	return 'I'
}

func (s *session) ready(out []byte) []byte {
	state := s.host.state()
	if s.lastCommit.After(state.position) {
		state.position = s.lastCommit
	}
	out = append(out, s.host.statements(state)...)
	return pg.AppendReadyAs(out, s.status())
}

func (s *session) abortTransaction() { s.failed = len(s.savepoints) > 0 }

// query runs a simple query. Outside a transaction its statements form one transaction.
func (s *session) query(out []byte, text string) []byte {
	if text == "SHOW server_load" {
		return pg.AppendRow(out, pg.Value{Data: []byte(s.host.loadReport())}, "SHOW")
	}
	savedSession, savedSettings := maps.Clone(s.sessionSettings), maps.Clone(s.settings)
	executed := false
	for _, part := range strings.Split(text, ";") {
		if part = strings.TrimSpace(comments.ReplaceAllString(part, "")); part == "" {
			continue
		}
		executed = true
		got := s.run(part, nil)
		if got.err != nil {
			if s.abortTransaction(); !s.failed {
				s.sessionSettings, s.settings = savedSession, savedSettings
			}
			return pg.AppendError(out, got.err)
		}
		if got.rows != nil {
			out = describe(out)
		}
		out = got.append(out)
	}
	if !executed {
		out = pg.Append(out, pg.EmptyQueryResponse)
	}
	return out
}

// endPipeline commits the implicit transaction of a pipeline.
func (s *session) endPipeline(out []byte) []byte {
	if s.implicit == nil {
		return out
	}
	s.implicit = nil
	if err := s.commit(); err != nil {
		return pg.AppendError(out, err)
	}
	return out
}

// abortPipeline rolls back the implicit transaction of a pipeline.
func (s *session) abortPipeline() {
	if s.implicit != nil {
		s.sessionSettings, s.settings, s.writes, s.implicit = s.implicit.sessionSettings, s.implicit.settings, nil, nil
	}
}

// textType is the OID of PostgreSQL's type text.
const textType = 25

func describe(out []byte) []byte {
	d := append([]byte{0, 1}, "content\x00"...)
	return pg.Append(out, pg.RowDescription, append(d, 0, 0, 0, 0, 0, 0, 0, 0, 0, textType, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0))
}

// append appends the rows and CommandComplete.
func (r result) append(out []byte) []byte {
	for _, value := range r.rows {
		out = row(out, value)
	}
	return pg.Append(out, pg.CommandComplete, []byte(r.tag+"\x00"))
}

func row(out []byte, value string) []byte {
	return pg.Append(out, pg.DataRow, binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
}

// extended handles one message of the extended query protocol.
func (s *session) extended(out []byte, kind byte, body []byte) ([]byte, *pg.Error) {
	switch kind {
	case pg.Parse:
		return s.parse(out, body)
	case pg.Bind:
		return s.bind(out, body)
	case pg.Describe:
		return s.describe(out, body)
	case pg.Execute:
		return s.execute(out, body)
	case pg.Close:
		what, name, err := pg.ReadTarget(body)
		if err != nil {
			return out, protocolError(err)
		}
		if what == 'S' {
			delete(s.prepared, name)
		} else {
			delete(s.portals, name)
		}
		return pg.Append(out, pg.CloseComplete), nil
	case pg.Flush:
		return out, nil
	}
	return out, &pg.Error{Code: "0A000", Message: "message type not supported"}
}

func protocolError(err error) *pg.Error { return &pg.Error{Code: "08P01", Message: err.Error()} }

func notPrepared(name string) *pg.Error {
	return &pg.Error{Code: "26000", Message: "prepared statement \"" + name + "\" does not exist"}
}

func (s *session) parse(out, body []byte) ([]byte, *pg.Error) {
	p, err := pg.ReadParse(body)
	if err != nil {
		return out, protocolError(err)
	}
	if _, taken := s.prepared[p.Name]; taken && p.Name != "" {
		return out, &pg.Error{Code: "42P05", Message: "prepared statement \"" + p.Name + "\" already exists"}
	}
	s.prepared[p.Name] = strings.TrimSpace(comments.ReplaceAllString(p.Text, ""))
	return pg.Append(out, pg.ParseComplete), nil
}

func (s *session) bind(out, body []byte) ([]byte, *pg.Error) {
	name, statement, rest, err := pg.ReadBind(body)
	text, ok := s.prepared[statement]
	if err != nil || !ok {
		return out, notPrepared(statement)
	}
	values, ok := bindValues(rest)
	if !ok {
		return out, &pg.Error{Code: "08P01", Message: "invalid Bind message"}
	}
	s.portals[name] = portal{text, values}
	return pg.Append(out, pg.BindComplete), nil
}

func (s *session) describe(out, body []byte) ([]byte, *pg.Error) {
	what, name, err := pg.ReadTarget(body)
	if err != nil {
		return out, protocolError(err)
	}
	text := s.portals[name].text
	if what == 'S' {
		var ok bool
		if text, ok = s.prepared[name]; !ok {
			return out, notPrepared(name)
		}
		n := len(parameter.FindAllString(text, -1))
		types := binary.BigEndian.AppendUint16(nil, uint16(n))
		for range n {
			types = binary.BigEndian.AppendUint32(types, textType)
		}
		out = pg.Append(out, pg.ParameterDescription, types)
	}
	if !returnsRows(text) {
		return pg.Append(out, pg.NoData), nil
	}
	return describe(out), nil
}

func (s *session) execute(out, body []byte) ([]byte, *pg.Error) {
	name, err := pg.ReadExecute(body)
	p, ok := s.portals[name]
	if err != nil || !ok {
		return out, &pg.Error{Code: "34000", Message: "portal does not exist"}
	}
	if p.text == "" {
		return pg.Append(out, pg.EmptyQueryResponse), nil
	}
	if len(s.savepoints) == 0 && s.implicit == nil {
		s.implicit = &savepoint{"", maps.Clone(s.sessionSettings), maps.Clone(s.settings), 0}
	}
	got := s.run(p.text, p.values)
	if got.err != nil {
		return out, got.err
	}
	return got.append(out), nil
}

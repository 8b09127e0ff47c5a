package hosts

import (
	"bufio"
	"encoding/binary"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"yokemast/internal/wire/pg"
)

// A host whose General is set serves a small SQL to simple and extended queries, with settings, prepared statements,
// transactions and cancels on each connection as PostgreSQL has them:
//
//	SELECT content FROM kv WHERE name = X        INSERT INTO kv (name, content) VALUES (X, Y)
//	SELECT 'text'        SELECT $1        SELECT pg_sleep(SECONDS)        SHOW name
//	SET, RESET, DISCARD ALL, DEALLOCATE ALL, BEGIN, COMMIT, ROLLBACK, SAVEPOINT, LISTEN, FAIL
//
// X and Y are constants or parameters; all values are text. A write is committed under its value as its id.

// seat is one connection's session at a general host.
type seat struct {
	h        *Host
	c        net.Conn
	key      pg.Key
	own      map[string]string // settings of the session
	now      map[string]string // those in force
	saved    []saved
	failed   bool
	writes   []write // of the open transaction
	prepared map[string]string
	portals  map[string]portal
	canceled chan struct{}
	mu       sync.Mutex
	running  bool
	wrote    time.Time
}

var seats struct {
	sync.Mutex
	next uint32
}

func (h *Host) seats() map[pg.Key]*seat {
	if h.seated == nil {
		h.seated = map[pg.Key]*seat{}
	}
	return h.seated
}

// serveGeneral serves one connection.
func (h *Host) serveGeneral(c net.Conn, in *bufio.Reader, parameters pg.Parameters, kind pg.Startup) {
	if kind == pg.StartCancel {
		if key, ok := parameters.CancelKey(); ok {
			h.cancel(key)
		}
		return
	}
	s := h.take(c)
	defer h.leave(s)
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
		if h.hang(nil) {
			return
		}
		switch {
		case kind == pg.Terminate:
			return
		case kind == pg.Sync:
			skipping = false
			out = s.ready(out)
		case skipping:
		case kind == pg.Query:
			out = s.ready(s.query(out, strings.TrimSuffix(string(body), "\x00")))
		default:
			var bad *pg.Error
			if out, bad = s.extended(out, kind, body); bad != nil {
				out = pg.AppendError(out, bad)
				s.fail()
				skipping = true
			}
		}
		if kind == pg.Query || kind == pg.Sync || kind == pg.Flush {
			if _, err := c.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}

// cancel ends what the session of a key runs, if it runs anything.
func (h *Host) cancel(key pg.Key) {
	h.mu.Lock()
	s := h.seats()[key]
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

// take begins a session on a connection.
func (h *Host) take(c net.Conn) *seat {
	seats.Lock()
	seats.next++
	key := pg.Key{Process: seats.next, Secret: seats.next * 2654435761}
	seats.Unlock()
	s := &seat{h: h, c: c, key: key, own: map[string]string{}, now: map[string]string{}, prepared: map[string]string{},
		portals: map[string]portal{}, canceled: make(chan struct{})}
	h.mu.Lock()
	h.seats()[key] = s
	h.mu.Unlock()
	h.cluster.mu.Lock()
	h.cluster.open++
	h.cluster.peak = max(h.cluster.peak, h.cluster.open)
	h.cluster.mu.Unlock()
	return s
}

// leave ends a session.
func (h *Host) leave(s *seat) {
	h.cluster.mu.Lock()
	h.cluster.open--
	h.cluster.mu.Unlock()
	h.mu.Lock()
	delete(h.seated, s.key)
	h.mu.Unlock()
}

func (s *seat) status() byte {
	switch {
	case s.failed:
		return 'E'
	case len(s.saved) > 0:
		return 'T'
	}
	return 'I'
}

func (s *seat) ready(out []byte) []byte {
	now := s.h.standing()
	if s.wrote.After(now.position) {
		now.position = s.wrote
	}
	out = append(out, s.h.notes(now)...)
	return pg.AppendReadyAs(out, s.status())
}

func (s *seat) fail() { s.failed = len(s.saved) > 0 }

// query runs a simple query: outside a transaction all its statements are one.
func (s *seat) query(out []byte, text string) []byte {
	if text == "SHOW server_load" {
		return pg.AppendRow(out, pg.Value{Data: []byte(s.h.toldLoad())}, "SHOW")
	}
	own, now := maps.Clone(s.own), maps.Clone(s.now)
	ran := false
	for _, part := range strings.Split(text, ";") {
		if part = strings.TrimSpace(comments.ReplaceAllString(part, "")); part == "" {
			continue
		}
		ran = true
		got := s.run(part, nil)
		if got.bad != nil {
			if s.fail(); !s.failed {
				s.own, s.now = own, now
			}
			return pg.AppendError(out, got.bad)
		}
		if got.rows != nil {
			out = describe(out)
		}
		out = got.append(out)
	}
	if !ran {
		out = pg.Append(out, pg.EmptyQueryResponse)
	}
	return out
}

// textType is PostgreSQL's number of the type text.
const textType = 25

func describe(out []byte) []byte {
	d := append([]byte{0, 1}, "content\x00"...)
	return pg.Append(out, pg.RowDescription, append(d, 0, 0, 0, 0, 0, 0, 0, 0, 0, textType, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0))
}

// append writes the rows, and that the statement is complete.
func (r result) append(out []byte) []byte {
	for _, value := range r.rows {
		out = row(out, value)
	}
	return pg.Append(out, pg.CommandComplete, []byte(r.tag+"\x00"))
}

func row(out []byte, value string) []byte {
	return pg.Append(out, pg.DataRow, binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
}

// extended answers one message of the extended query protocol.
func (s *seat) extended(out []byte, kind byte, body []byte) ([]byte, *pg.Error) {
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
	return out, &pg.Error{Code: "0A000", Message: "not spoken here"}
}

func protocolError(err error) *pg.Error { return &pg.Error{Code: "08P01", Message: err.Error()} }

func notPrepared(name string) *pg.Error {
	return &pg.Error{Code: "26000", Message: "prepared statement \"" + name + "\" does not exist"}
}

func (s *seat) parse(out, body []byte) ([]byte, *pg.Error) {
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

func (s *seat) bind(out, body []byte) ([]byte, *pg.Error) {
	name, statement, rest, err := pg.ReadBind(body)
	text, ok := s.prepared[statement]
	if err != nil || !ok {
		return out, notPrepared(statement)
	}
	values, ok := bound(rest)
	if !ok {
		return out, &pg.Error{Code: "08P01", Message: "a Bind that can't be read"}
	}
	s.portals[name] = portal{text, values}
	return pg.Append(out, pg.BindComplete), nil
}

func (s *seat) describe(out, body []byte) ([]byte, *pg.Error) {
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
	if !returns(text) {
		return pg.Append(out, pg.NoData), nil
	}
	return describe(out), nil
}

func (s *seat) execute(out, body []byte) ([]byte, *pg.Error) {
	name, err := pg.ReadExecute(body)
	p, ok := s.portals[name]
	if err != nil || !ok {
		return out, &pg.Error{Code: "34000", Message: "portal does not exist"}
	}
	if p.text == "" {
		return pg.Append(out, pg.EmptyQueryResponse), nil
	}
	got := s.run(p.text, p.values)
	if got.bad != nil {
		return out, got.bad
	}
	return got.append(out), nil
}

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
			h.mu.Lock()
			s := h.seats()[key]
			h.mu.Unlock()
			if s != nil {
				s.mu.Lock()
				if s.running {
					close(s.canceled)
					s.canceled, s.running = make(chan struct{}), false
				}
				s.mu.Unlock()
			}
		}
		return
	}
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
	defer func() {
		h.cluster.mu.Lock()
		h.cluster.open--
		h.cluster.mu.Unlock()
		h.mu.Lock()
		delete(h.seated, key)
		h.mu.Unlock()
	}()
	if _, err := c.Write(pg.AppendWelcomeAs(nil, pg.StartSession, pg.DefaultParameters(), key)); err != nil {
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
		rows, tag, bad := s.run(part, nil)
		if bad != nil {
			if s.fail(); !s.failed {
				s.own, s.now = own, now
			}
			return pg.AppendError(out, bad)
		}
		if rows != nil {
			out = describe(out)
			for _, r := range rows {
				out = row(out, r)
			}
		}
		out = pg.Append(out, pg.CommandComplete, []byte(tag+"\x00"))
	}
	if !ran {
		out = pg.Append(out, pg.EmptyQueryResponse)
	}
	return out
}

func describe(out []byte) []byte {
	d := append([]byte{0, 1}, "content\x00"...)
	return pg.Append(out, pg.RowDescription, append(d, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0))
}

func row(out []byte, value string) []byte {
	return pg.Append(out, pg.DataRow, binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
}

func (s *seat) extended(out []byte, kind byte, body []byte) ([]byte, *pg.Error) {
	bad := func(code, what string) ([]byte, *pg.Error) { return out, &pg.Error{Code: code, Message: what} }
	switch kind {
	case pg.Parse:
		p, err := pg.ReadParse(body)
		if err != nil {
			return bad("08P01", err.Error())
		}
		if _, taken := s.prepared[p.Name]; taken && p.Name != "" {
			return bad("42P05", "prepared statement \""+p.Name+"\" already exists")
		}
		s.prepared[p.Name] = strings.TrimSpace(comments.ReplaceAllString(p.Text, ""))
		return pg.Append(out, pg.ParseComplete), nil
	case pg.Bind:
		name, statement, rest, err := pg.ReadBind(body)
		text, ok := s.prepared[statement]
		if err != nil || !ok {
			return bad("26000", "prepared statement \""+statement+"\" does not exist")
		}
		values, ok := bound(rest)
		if !ok {
			return bad("08P01", "a Bind that can't be read")
		}
		s.portals[name] = portal{text, values}
		return pg.Append(out, pg.BindComplete), nil
	case pg.Describe:
		what, name, err := pg.ReadTarget(body)
		if err != nil {
			return bad("08P01", err.Error())
		}
		text := s.portals[name].text
		if what == 'S' {
			var ok bool
			if text, ok = s.prepared[name]; !ok {
				return bad("26000", "prepared statement \""+name+"\" does not exist")
			}
			n := len(parameter.FindAllString(text, -1))
			types := binary.BigEndian.AppendUint16(nil, uint16(n))
			for range n {
				types = binary.BigEndian.AppendUint32(types, 25)
			}
			out = pg.Append(out, pg.ParameterDescription, types)
		}
		if !returns(text) {
			return pg.Append(out, pg.NoData), nil
		}
		return describe(out), nil
	case pg.Execute:
		name, err := pg.ReadExecute(body)
		p, ok := s.portals[name]
		if err != nil || !ok {
			return bad("34000", "portal does not exist")
		}
		if p.text == "" {
			return pg.Append(out, pg.EmptyQueryResponse), nil
		}
		rows, tag, fault := s.run(p.text, p.values)
		if fault != nil {
			return out, fault
		}
		for _, r := range rows {
			out = row(out, r)
		}
		return pg.Append(out, pg.CommandComplete, []byte(tag+"\x00")), nil
	case pg.Close:
		what, name, err := pg.ReadTarget(body)
		if err != nil {
			return bad("08P01", err.Error())
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
	return bad("0A000", "not spoken here")
}

package hosts

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"regexp"
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

type saved struct {
	name     string
	own, now map[string]string
	writes   int
}

type write struct{ key, value string }

type portal struct {
	text   string
	values []string
}

var (
	selectKV  = regexp.MustCompile(`(?is)^select content from kv where name = (\$\d+|'[^']*')$`)
	insertKV  = regexp.MustCompile(`(?is)^insert into kv \(name, content\) values \((\$\d+|'[^']*'), (\$\d+|'[^']*')\)( returning content)?$`)
	selectOne = regexp.MustCompile(`(?is)^select (\$\d+|'[^']*')(?:::text)?$`)
	sleep     = regexp.MustCompile(`(?is)^select pg_sleep\((\$\d+|[0-9.]+)\)$`)
	set       = regexp.MustCompile(`(?is)^set (session |local )?([\w.]+) (?:=|to) (.+)$`)
	parameter = regexp.MustCompile(`\$\d+`)
	comments  = regexp.MustCompile(`(?s)/\*.*?\*/`)
)

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

func returns(text string) bool {
	text = strings.ToLower(text)
	return strings.HasPrefix(text, "select") || strings.HasPrefix(text, "show") || strings.Contains(text, " returning ")
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

// bound reads the values of a Bind, all of which are text.
func bound(rest []byte) (out []string, ok bool) {
	n := int(binary.BigEndian.Uint16(rest))
	if len(rest) < 4+2*n {
		return nil, false
	}
	rest = rest[2+2*n:]
	count := int(binary.BigEndian.Uint16(rest))
	rest = rest[2:]
	for range count {
		if len(rest) < 4 {
			return nil, false
		}
		size := int(int32(binary.BigEndian.Uint32(rest)))
		if rest = rest[4:]; size < 0 {
			size = 0
		}
		if len(rest) < size {
			return nil, false
		}
		out = append(out, string(rest[:size]))
		rest = rest[size:]
	}
	return out, true
}

// run runs one statement.
func (s *seat) run(text string, values []string) (rows []string, tag string, bad *pg.Error) {
	value := func(x string) string {
		if strings.HasPrefix(x, "$") {
			var i int
			_, _ = fmt.Sscanf(x, "$%d", &i)
			if i > 0 && i <= len(values) {
				return values[i-1]
			}
			return ""
		}
		return strings.Trim(x, "'")
	}
	fault := func(code, what string) ([]string, string, *pg.Error) {
		return nil, "", &pg.Error{Code: code, Message: what}
	}
	words := strings.Fields(strings.ToLower(text))
	first := words[0]
	if s.failed && first != "rollback" && first != "commit" {
		return fault("25P02", "current transaction is aborted")
	}
	if s.h.Work > 0 {
		time.Sleep(s.h.Work)
	}
	switch {
	case first == "begin" || first == "start":
		if len(s.saved) == 0 {
			s.saved = append(s.saved, saved{"", maps.Clone(s.own), maps.Clone(s.now), 0})
		}
		return nil, "BEGIN", nil
	case first == "commit" || first == "rollback" && (len(words) == 1 || words[1] != "to"):
		tag = "COMMIT"
		if first == "rollback" || s.failed {
			tag = "ROLLBACK"
			if len(s.saved) > 0 {
				s.own = s.saved[0].own
			}
			s.writes = nil
		}
		s.now, s.saved, s.failed = maps.Clone(s.own), nil, false
		if bad := s.commit(); bad != nil {
			return nil, "", bad
		}
		return nil, tag, nil
	case first == "savepoint":
		if len(s.saved) == 0 {
			return fault("25P01", "SAVEPOINT can only be used in transaction blocks")
		}
		s.saved = append(s.saved, saved{words[1], maps.Clone(s.own), maps.Clone(s.now), len(s.writes)})
		return nil, "SAVEPOINT", nil
	case first == "rollback":
		name := words[len(words)-1]
		for i := len(s.saved) - 1; i > 0; i-- {
			if x := s.saved[i]; x.name == name {
				s.own, s.now, s.writes = maps.Clone(x.own), maps.Clone(x.now), s.writes[:x.writes]
				s.saved, s.failed = s.saved[:i+1], false
				return nil, "ROLLBACK", nil
			}
		}
		return fault("3B001", "savepoint does not exist")
	case first == "reset" && words[1] == "all", first == "discard":
		s.own, s.now = map[string]string{}, map[string]string{}
		if first == "discard" {
			s.prepared = map[string]string{}
		}
		return nil, strings.ToUpper(text), nil
	case first == "reset":
		delete(s.own, words[1])
		delete(s.now, words[1])
		return nil, "RESET", nil
	case first == "deallocate":
		s.prepared = map[string]string{}
		return nil, "DEALLOCATE ALL", nil
	case first == "show":
		return []string{s.now[words[1]]}, "SHOW", nil
	case first == "listen":
		return nil, "LISTEN", nil
	case first == "fail":
		return fault("22012", "division by zero")
	}
	if m := set.FindStringSubmatch(text); m != nil {
		name := strings.ToLower(m[2])
		s.now[name] = strings.Trim(m[3], "'")
		if !strings.EqualFold(strings.TrimSpace(m[1]), "local") {
			s.own[name] = s.now[name]
		} else if len(s.saved) == 0 {
			s.now[name] = s.own[name]
		}
		return nil, "SET", nil
	}
	if m := sleep.FindStringSubmatch(text); m != nil {
		d, _ := time.ParseDuration(value(m[1]) + "s")
		s.mu.Lock()
		s.running = true
		canceled := s.canceled
		s.mu.Unlock()
		select {
		case <-canceled:
			return fault("57014", "canceling statement due to user request")
		case <-time.After(d):
		}
		s.mu.Lock()
		s.running = false
		s.mu.Unlock()
		return []string{""}, "SELECT 1", nil
	}
	if m := selectOne.FindStringSubmatch(text); m != nil {
		return []string{value(m[1])}, "SELECT 1", nil
	}
	if m := selectKV.FindStringSubmatch(text); m != nil {
		for i := len(s.writes) - 1; i >= 0; i-- {
			if s.writes[i].key == value(m[1]) {
				return []string{s.writes[i].value}, "SELECT 1", nil
			}
		}
		v, ok := s.h.cluster.read(s.h, value(m[1]))
		if !ok {
			return []string{}, "SELECT 0", nil
		}
		return []string{v}, "SELECT 1", nil
	}
	if m := insertKV.FindStringSubmatch(text); m != nil {
		if s.h.Role() != Leader {
			return fault(pg.CodeReadOnly, "cannot execute INSERT in a read-only transaction")
		}
		s.writes = append(s.writes, write{value(m[1]), value(m[2])})
		if len(s.saved) == 0 {
			if bad := s.commit(); bad != nil {
				return nil, "", bad
			}
		}
		if m[3] != "" {
			rows = []string{value(m[2])}
		}
		return rows, "INSERT 0 1", nil
	}
	return fault("42601", "syntax error at "+text)
}

// commit commits what the transaction wrote. A host that hangs after a commit answers nothing.
func (s *seat) commit() *pg.Error {
	writes := s.writes
	s.writes = nil
	if len(writes) == 0 {
		return nil
	}
	if s.h.Role() != Leader {
		return &pg.Error{Code: pg.CodeReadOnly, Message: "this is no primary any more"}
	}
	at := time.Now()
	for _, w := range writes {
		s.h.cluster.commitGeneral(w.key, w.value, at)
	}
	s.wrote = at.Add(time.Millisecond)
	if f := s.h.AfterCommit; f != nil && f() {
		s.c.Close()
	}
	return nil
}

func (c *Cluster) commitGeneral(key, value string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits[key] = append(c.commits[key], commit{at: at, value: []byte(value), id: value})
	c.count++
}

// read gives a key's value as the host has it.
func (c *Cluster) read(h *Host, key string) (value string, ok bool) {
	position := c.standing(h).position
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.commits[key] {
		if !x.at.After(position) {
			value, ok = string(x.value), true
		}
	}
	return value, ok
}

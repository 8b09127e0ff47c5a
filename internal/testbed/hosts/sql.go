package hosts

import (
	"encoding/binary"
	"fmt"
	"maps"
	"regexp"
	"strings"
	"time"

	"yokemast/internal/wire/pg"
)

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

func returns(text string) bool {
	text = strings.ToLower(text)
	return strings.HasPrefix(text, "select") || strings.HasPrefix(text, "show") || strings.Contains(text, " returning ")
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

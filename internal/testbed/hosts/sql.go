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

// savepoint is the state of a session at the start of a transaction or at a savepoint.
type savepoint struct {
	name                      string
	sessionSettings, settings map[string]string
	writes                    int // number of writes of the transaction up to here
}

type write struct{ key, value string }

type portal struct {
	text   string
	values arguments
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

func returnsRows(text string) bool {
	text = strings.ToLower(text)
	return strings.HasPrefix(text, "select") || strings.HasPrefix(text, "show") || strings.Contains(text, " returning ")
}

// bindValues decodes the values of a Bind, all of which are text.
func bindValues(rest []byte) (out arguments, ok bool) {
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

// result is the result of one statement: its rows, or nil if it returns none, and its command tag or an error.
type result struct {
	rows []string
	tag  string
	err  *pg.Error
}

func completed(tag string) result { return result{tag: tag} }

func failure(code, message string) result {
	return result{err: &pg.Error{Code: code, Message: message}}
}

func selected(rows ...string) result {
	return result{rows: rows, tag: fmt.Sprintf("SELECT %d", len(rows))}
}

// arguments are the values of a statement's parameters.
type arguments []string

// value returns the value of a constant or a parameter.
func (a arguments) value(x string) string {
	if !strings.HasPrefix(x, "$") {
		return strings.Trim(x, "'")
	}
	var i int
	_, _ = fmt.Sscanf(x, "$%d", &i)
	if i > 0 && i <= len(a) {
		return a[i-1]
	}
	return ""
}

// run executes one statement.
func (s *session) run(text string, values arguments) result {
	words := strings.Fields(strings.ToLower(text))
	if s.failed && words[0] != "rollback" && words[0] != "commit" {
		return failure("25P02", "current transaction is aborted")
	}
	if s.host.Work > 0 {
		time.Sleep(s.host.Work)
	}
	if f := s.host.BeforeStatement; f != nil {
		if err := f(text, s.settings); err != nil {
			return result{err: err}
		}
	}
	if out, ok := s.runControl(text, words); ok {
		return out
	}
	if m := set.FindStringSubmatch(text); m != nil && strings.EqualFold(m[3], "default") {
		delete(s.sessionSettings, strings.ToLower(m[2]))
		delete(s.settings, strings.ToLower(m[2]))
		return completed("SET")
	} else if m != nil {
		return s.set(strings.ToLower(m[2]), strings.Trim(m[3], "'"), strings.EqualFold(strings.TrimSpace(m[1]), "local"))
	}
	if m := sleep.FindStringSubmatch(text); m != nil {
		return s.sleep(values.value(m[1]))
	}
	if m := selectOne.FindStringSubmatch(text); m != nil {
		return selected(values.value(m[1]))
	}
	if m := selectKV.FindStringSubmatch(text); m != nil {
		return s.read(values.value(m[1]))
	}
	if m := insertKV.FindStringSubmatch(text); m != nil {
		return s.insert(values.value(m[1]), values.value(m[2]), m[3] != "")
	}
	return failure("42601", "syntax error at "+text)
}

// runControl executes the statements for transactions and session state, which are recognized by their first words. It reports
// whether the statement is one of them.
func (s *session) runControl(text string, words []string) (out result, ok bool) {
	switch first := words[0]; {
	case first == "begin" || first == "start":
		if len(s.savepoints) == 0 {
			start := savepoint{"", maps.Clone(s.sessionSettings), maps.Clone(s.settings), 0}
			if s.implicit != nil { // what the pipeline has done before becomes part of the transaction
				start, s.implicit = *s.implicit, nil
			}
			s.savepoints = append(s.savepoints, start)
		}
		return completed("BEGIN"), true
	case first == "commit" || first == "rollback" && (len(words) == 1 || words[1] != "to"):
		return s.endTransaction(first == "rollback" || s.failed), true
	case first == "savepoint":
		if len(s.savepoints) == 0 {
			return failure("25P01", "SAVEPOINT can only be used in transaction blocks"), true
		}
		s.savepoints = append(s.savepoints, savepoint{words[1], maps.Clone(s.sessionSettings), maps.Clone(s.settings), len(s.writes)})
		return completed("SAVEPOINT"), true
	case first == "rollback":
		return s.rollbackTo(words[len(words)-1]), true
	case first == "reset" && words[1] == "all", first == "discard":
		s.sessionSettings, s.settings = map[string]string{}, map[string]string{}
		if first == "discard" {
			s.prepared = map[string]string{}
		}
		if first == "reset" {
			return completed("RESET"), true
		}
		return completed(strings.ToUpper(text)), true
	case first == "reset":
		delete(s.sessionSettings, words[1])
		delete(s.settings, words[1])
		return completed("RESET"), true
	case first == "deallocate" && words[len(words)-1] != "all":
		name := words[len(words)-1]
		if _, ok := s.prepared[name]; !ok {
			e := notPrepared(name)
			return failure(e.Code, e.Message), true
		}
		delete(s.prepared, name)
		return completed("DEALLOCATE"), true
	case first == "deallocate":
		s.prepared = map[string]string{}
		return completed("DEALLOCATE ALL"), true
	case first == "show":
		return result{rows: []string{s.settings[words[1]]}, tag: "SHOW"}, true
	case first == "listen":
		return completed("LISTEN"), true
	case first == "prepare":
		return completed("PREPARE"), true
	case first == "declare":
		return completed("DECLARE CURSOR"), true
	case first == "fail":
		return failure("22012", "division by zero"), true
	}
	return result{}, false
}

func (s *session) endTransaction(rollback bool) result {
	tag := "COMMIT"
	if rollback {
		tag = "ROLLBACK"
		if len(s.savepoints) > 0 {
			s.sessionSettings = s.savepoints[0].sessionSettings
		}
		s.abortPipeline()
		s.writes = nil
	}
	s.settings, s.savepoints, s.implicit, s.failed = maps.Clone(s.sessionSettings), nil, nil, false
	if err := s.commit(); err != nil {
		return result{err: err}
	}
	return completed(tag)
}

func (s *session) rollbackTo(savepoint string) result {
	for i := len(s.savepoints) - 1; i > 0; i-- {
		if x := s.savepoints[i]; x.name == savepoint {
			s.sessionSettings, s.settings, s.writes = maps.Clone(x.sessionSettings), maps.Clone(x.settings), s.writes[:x.writes]
			s.savepoints, s.failed = s.savepoints[:i+1], false
			return completed("ROLLBACK")
		}
	}
	return failure("3B001", "savepoint does not exist")
}

func (s *session) set(name, value string, local bool) result {
	s.settings[name] = value
	if !local {
		s.sessionSettings[name] = value
	} else if len(s.savepoints) == 0 {
		s.settings[name] = s.sessionSettings[name]
	}
	return completed("SET")
}

func (s *session) sleep(seconds string) result {
	d, _ := time.ParseDuration(seconds + "s")
	s.mu.Lock()
	s.running = true
	canceled := s.canceled
	s.mu.Unlock()
	select {
	case <-canceled:
		return failure("57014", "canceling statement due to user request")
	case <-time.After(d):
	}
	s.mu.Lock()
	s.running = false
	s.mu.Unlock()
	return selected("")
}

// read returns the value of a key as written by the open transaction, or else as visible on the host.
func (s *session) read(key string) result {
	for i := len(s.writes) - 1; i >= 0; i-- {
		if s.writes[i].key == key {
			return selected(s.writes[i].value)
		}
	}
	value, ok := s.host.cluster.read(s.host, key)
	if !ok {
		return result{rows: []string{}, tag: "SELECT 0"}
	}
	return selected(value)
}

func (s *session) insert(key, value string, returning bool) result {
	if s.host.Role() != Leader {
		return failure(pg.CodeReadOnly, "cannot execute INSERT in a read-only transaction")
	}
	s.writes = append(s.writes, write{key, value})
	if len(s.savepoints) == 0 && s.implicit == nil {
		if err := s.commit(); err != nil {
			return result{err: err}
		}
	}
	out := completed("INSERT 0 1")
	if returning {
		out.rows = []string{value}
	}
	return out
}

// commit commits the writes of the transaction. The connection is closed without an answer if the host's AfterCommit says so.
func (s *session) commit() *pg.Error {
	writes := s.writes
	s.writes = nil
	if len(writes) == 0 {
		return nil
	}
	if s.host.Role() != Leader {
		return &pg.Error{Code: pg.CodeReadOnly, Message: "the host is no longer the primary"}
	}
	at := time.Now()
	for _, w := range writes {
		s.host.cluster.commitSQL(w.key, w.value, at)
	}
	s.lastCommit = at.Add(time.Millisecond)
	if f := s.host.AfterCommit; f != nil && f() {
		s.conn.Close()
	}
	return nil
}

func (c *Cluster) commitSQL(key, value string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits[key] = append(c.commits[key], commit{at: at, value: []byte(value), id: value})
	c.commitCount++
}

// read returns the value of a key as visible on a host.
func (c *Cluster) read(h *Host, key string) (value string, ok bool) {
	position := c.state(h).position
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.commits[key] {
		if !x.at.After(position) {
			value, ok = string(x.value), true
		}
	}
	return value, ok
}

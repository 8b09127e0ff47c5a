package pooling

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// modelConn models a PostgreSQL connection: settings with transactions and savepoints, and prepared
// statements. It is implemented independently of Session, to check it.
type modelConn struct {
	defaults           map[string]string // values that RESET returns to
	session, effective map[string]string
	saved              []savedLevel
	failed             bool
	prepared           map[string]string
}

type savedLevel struct {
	name               string
	session, effective map[string]string
}

func newModelConn(defaults map[string]string) *modelConn {
	return &modelConn{defaults: defaults, session: clone(defaults), effective: clone(defaults), prepared: map[string]string{}}
}

// resetAll models RESET ALL, which leaves the role as it is, and, with the role, DISCARD ALL.
func (s *modelConn) resetAll(withRole bool) {
	session, effective := s.session, s.effective
	s.session, s.effective = clone(s.defaults), clone(s.defaults)
	if withRole {
		return
	}
	for now, before := range map[*map[string]string]map[string]string{&s.session: session, &s.effective: effective} {
		delete(*now, "role")
		if role, ok := before["role"]; ok {
			(*now)["role"] = role
		}
	}
}

func clone(m map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (s *modelConn) status() byte {
	switch {
	case s.failed:
		return 'E'
	case len(s.saved) > 0:
		return 'T'
	}
	return 'I'
}

// exec runs one statement; ok is false if it fails.
func (s *modelConn) exec(c Command) (tag string, ok bool) {
	if s.failed && c.Kind != Rollback && c.Kind != Commit && c.Kind != RollbackTo {
		return "", false
	}
	fail := func() (string, bool) {
		if s.failed = len(s.saved) > 0; !s.failed {
			return "", false
		}
		return "", false
	}
	find := func() int {
		for i := len(s.saved) - 1; i > 0; i-- {
			if s.saved[i].name == c.Name {
				return i
			}
		}
		return 0
	}
	switch c.Kind {
	case Begin:
		if len(s.saved) == 0 {
			s.saved = append(s.saved, savedLevel{"", clone(s.session), clone(s.effective)})
		}
		return "BEGIN", true
	case Commit, Rollback:
		tag := "COMMIT"
		if c.Kind == Rollback || s.failed {
			tag = "ROLLBACK"
			if len(s.saved) > 0 {
				s.session = s.saved[0].session
			}
		}
		s.effective, s.saved, s.failed = clone(s.session), nil, false
		return tag, true
	case Savepoint:
		if len(s.saved) == 0 {
			return fail()
		}
		s.saved = append(s.saved, savedLevel{c.Name, clone(s.session), clone(s.effective)})
	case RollbackTo:
		i := find()
		if i == 0 {
			return fail()
		}
		s.session, s.effective = clone(s.saved[i].session), clone(s.saved[i].effective)
		s.saved, s.failed = s.saved[:i+1], false
	case Release:
		i := find()
		if i == 0 {
			return fail()
		}
		s.saved = s.saved[:i]
	case Set:
		s.session[c.Name], s.effective[c.Name] = c.Value, c.Value
	case SetLocal:
		if len(s.saved) > 0 {
			s.effective[c.Name] = c.Value
		}
	case Reset:
		delete(s.session, c.Name)
		delete(s.effective, c.Name)
		if value, ok := s.defaults[c.Name]; ok {
			s.session[c.Name], s.effective[c.Name] = value, value
		}
	case ResetAll:
		s.resetAll(false)
	case DiscardAll:
		if len(s.saved) > 0 {
			return fail()
		}
		s.resetAll(true)
		clear(s.prepared)
	case DeallocateAll:
		clear(s.prepared)
	case Write: // represents any statement that fails
		return fail()
	}
	return "OK", true
}

// batch runs a simple query of several statements, which outside of a transaction is an implicit transaction.
func (s *modelConn) batch(commands []Command) (tags []string, ok bool) {
	session, effective := clone(s.session), clone(s.effective)
	for _, c := range commands {
		if c.Kind == Rollback && len(s.saved) == 0 { // also rolls back the statements before it in the query
			s.session, s.effective = clone(session), clone(effective)
		}
		open := len(s.saved) > 0
		tag, ok := s.exec(c)
		if !ok {
			if len(s.saved) == 0 {
				s.session, s.effective = session, effective
			}
			return tags, false
		}
		if c.Kind == Commit || c.Kind == Rollback {
			session, effective = clone(s.session), clone(s.effective)
		} else if c.Kind == Begin && !open {
			s.saved[0].session, s.saved[0].effective = clone(session), clone(effective)
		}
		tags = append(tags, tag)
	}
	return tags, true
}

// TestModel runs random sessions over shared connections and, for comparison, each session over a connection
// of its own. Settings, statements and answers must be equal after every step. A failure prints its seed; `go
// test -run TestModel -rapid.seed=SEED` replays it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type client struct {
			own    *modelConn
			s      *Session
			conn   int // index of the connection, or -1 if it has none
			number int
		}
		type sharedConn struct {
			*modelConn
			*ConnState
			taken bool
		}
		var clients []*client
		var conns []*sharedConn
		for i := range rapid.IntRange(2, 5).Draw(t, "clients") {
			startup, defaults := map[string]string{}, map[string]string{}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "role"}), 0, 2, rapid.ID).Draw(t, "startup settings") {
				startup[name], defaults[name] = "started", "'started'"
			}
			clients = append(clients, &client{own: newModelConn(defaults), s: NewSession(startup), conn: -1, number: i})
		}
		for range rapid.IntRange(1, 3).Draw(t, "links") {
			conns = append(conns, &sharedConn{newModelConn(nil), NewConnState(3), false})
		}
		names := []string{"a", "b", "c", "d", "role"}
		command := func(t *rapid.T) string {
			name := rapid.SampledFrom(names).Draw(t, "name")
			return rapid.SampledFrom([]string{"SET " + name + " = '" + rapid.StringMatching("[xyz]{1,2}").Draw(t, "value") + "'",
				"SET LOCAL " + name + " = 'local'", "RESET " + name, "RESET ALL", "BEGIN", "COMMIT", "ROLLBACK",
				"SAVEPOINT " + name, "ROLLBACK TO " + name, "RELEASE " + name, "FAIL", "DEALLOCATE ALL", "DISCARD ALL", "SHOW all",
			}).Draw(t, "command")
		}
		apply := func(t *rapid.T, c *client, l *sharedConn) {
			if !c.s.CanChangeSettings() {
				return
			}
			if sql := l.SettingsQuery(c.s); sql != "" {
				if _, ok := l.batch(Scan(sql)); !ok {
					t.Fatalf("query that applies the settings fails: %s", sql)
				}
			}
			l.SettingsApplied(c.s)
		}
		take := func(t *rapid.T, c *client) *sharedConn {
			if c.conn < 0 {
				var free []int
				for i, l := range conns {
					if !l.taken {
						free = append(free, i)
					}
				}
				if len(free) == 0 {
					return nil
				}
				c.conn = rapid.SampledFrom(free).Draw(t, "link")
				l := conns[c.conn]
				l.taken = true
			}
			apply(t, c, conns[c.conn])
			return conns[c.conn]
		}
		give := func(c *client) {
			if c.s.Status == 'I' && c.s.Pins() == 0 {
				conns[c.conn].taken = false
				c.conn = -1
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"query": func(t *rapid.T) {
				c := rapid.SampledFrom(clients).Draw(t, "client")
				l := take(t, c)
				if l == nil {
					return
				}
				var sql []string
				for range rapid.IntRange(1, 3).Draw(t, "statements") {
					sql = append(sql, command(t))
				}
				commands := Scan(strings.Join(sql, "; "))
				if slices.ContainsFunc(commands, func(x Command) bool { return x.Kind == DiscardAll }) {
					commands = commands[:1] // DISCARD ALL must be the only statement
				}
				wantTags, wantOK := c.own.batch(commands)
				c.s.StartBatch()
				tags, ok := l.batch(commands)
				for i, tag := range tags {
					c.s.Completed(commands[i], tag)
					l.StatementRan(commands[i], c.s)
				}
				if !ok {
					c.s.Failed()
				}
				c.s.EndBatch(l.status())
				l.AdoptSettings(c.s)
				if !slices.Equal(tags, wantTags) || ok != wantOK || l.status() != c.own.status() {
					t.Fatalf("%v: answer %v %v %c on a shared connection, %v %v %c on its own one", sql, tags, ok, l.status(), wantTags, wantOK,
						c.own.status())
				}
				apply(t, c, l)
				want, got := clone(c.own.effective), clone(l.effective)
				for name := range keys(c.s.settings.undone) { // cannot be applied again yet
					delete(want, string(name))
					delete(got, string(name))
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("after %v client %d has different settings: %s", sql, c.number, diff)
				}
				give(c)
			},
			"prepare and execute": func(t *rapid.T) {
				c := rapid.SampledFrom(clients).Draw(t, "client")
				if c.s.Status == 'E' {
					return
				}
				l := take(t, c)
				if l == nil {
					return
				}
				name := rapid.SampledFrom(names).Draw(t, "name")
				if c.own.prepared[name] == "" {
					text := rapid.SampledFrom([]string{"SELECT 1", "SELECT 2", "SELECT 3", "SELECT 4", "SELECT 5"}).Draw(t, "text")
					c.own.prepared[name] = text
					if !c.s.Prepare(name, NewStatement(text, nil)) {
						t.Fatalf("name %s is in use", name)
					}
				}
				st := c.s.Prepared(name)
				if st == nil {
					t.Fatalf("client %d has lost the prepared statement %s", c.number, name)
				}
				host, parse := l.Use(st)
				for _, gone := range l.Evicted() {
					delete(l.modelConn.prepared, gone)
				}
				if parse {
					if l.modelConn.prepared[host] != "" {
						t.Fatalf("%s is prepared twice", host)
					}
					l.modelConn.prepared[host] = st.Text
				}
				if got := l.modelConn.prepared[host]; got != c.own.prepared[name] {
					t.Fatalf("statement %s of client %d runs %q, want %q", name, c.number, got, c.own.prepared[name])
				}
				if len(l.modelConn.prepared) > 3 {
					t.Fatalf("%d prepared statements on a connection, want at most 3", len(l.modelConn.prepared))
				}
				give(c)
			},
			"connection is lost": func(t *rapid.T) {
				i := rapid.IntRange(0, len(conns)-1).Draw(t, "link")
				for _, c := range clients {
					if c.conn == i {
						carried := c.s.ConnectionLost()
						if carried != (c.own.status() == 'I') {
							t.Fatalf("session can continue: %v, with transaction status %c", carried, c.own.status())
						}
						// The open transaction is rolled back; the session continues on another connection.
						if c.own.status() != 'I' {
							c.own.exec(Command{Kind: Rollback})
						}
						c.conn = -1
					}
				}
				conns[i] = &sharedConn{newModelConn(nil), NewConnState(3), false}
			},
		})
	})
}

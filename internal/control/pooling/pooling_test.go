package pooling

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestScan(t *testing.T) {
	for sql, want := range map[string][]Command{
		"":                                 {{Kind: Empty}},
		" ; -- nothing\n/* a /* b */ c */": {{Kind: Empty}},
		"SELECT content FROM kv WHERE name = $1 /* c=x */":       {{Kind: Read}},
		"select 1; insert into kv values ('a;b')":                {{Kind: Read}, {Kind: Write}},
		"SELECT * FROM kv FOR UPDATE":                            {{Kind: Write}},
		"SELECT my_function(1)":                                  {{Kind: Write}},
		"SELECT count(*), lower(name) FROM kv WHERE a IN (1)":    {{Kind: Read}},
		`SELECT "nextval"('s')`:                                  {{Kind: Write}},
		"SELECT nextval('s')":                                    {{Kind: Write}},
		"SELECT $q$ insert into; $q$":                            {{Kind: Read}},
		"WITH x AS (DELETE FROM kv RETURNING 1) SELECT * FROM x": {{Kind: Write}},
		"WITH x AS (SELECT 1) SELECT * FROM x":                   {{Kind: Read}},
		"EXPLAIN SELECT 1":                                       {{Kind: Read}},
		"EXPLAIN ANALYZE DELETE FROM kv":                         {{Kind: Write}},
		"BEGIN":                                                  {{Kind: Begin}},
		"begin isolation level serializable, read only":          {{Kind: Begin, ReadOnly: true}},
		"START TRANSACTION READ ONLY":                            {{Kind: Begin, ReadOnly: true}},
		"COMMIT AND CHAIN":                                       {{Kind: Commit}},
		"END":                                                    {{Kind: Commit}},
		"COMMIT PREPARED 'x'":                                    {{Kind: Write}},
		"ROLLBACK":                                               {{Kind: Rollback}},
		"ABORT":                                                  {{Kind: Rollback}},
		"ROLLBACK WORK TO SAVEPOINT A":                           {{Kind: RollbackTo, Name: "a"}},
		`ROLLBACK TO "A"`:                                        {{Kind: RollbackTo, Name: "A"}},
		"SAVEPOINT s":                                            {{Kind: Savepoint, Name: "s"}},
		"RELEASE SAVEPOINT s":                                    {{Kind: Release, Name: "s"}},
		"SET search_path = a, \"B c\"":                           {{Kind: Set, Name: "search_path", Value: `a, "B c"`}},
		"SET SESSION App.Tenant TO 'x;y'":                        {{Kind: Set, Name: "app.tenant", Value: "'x;y'"}},
		"SET LOCAL work_mem = '4MB'":                             {{Kind: SetLocal, Name: "work_mem", Value: "'4MB'"}},
		"SET TIME ZONE 'Asia/Kolkata'":                           {{Kind: Set, Name: "timezone", Value: "'Asia/Kolkata'"}},
		"SET TIME ZONE LOCAL":                                    {{Kind: Reset, Name: "timezone"}},
		"SET work_mem TO DEFAULT":                                {{Kind: Reset, Name: "work_mem"}},
		"SET NAMES 'utf8'":                                       {{Kind: Set, Name: "client_encoding", Value: "'utf8'"}},
		"SET ROLE clerk":                                         {{Kind: Set, Name: "role", Value: "clerk"}},
		"SET SESSION AUTHORIZATION x":                            {{Kind: Neutral, Pin: PinUntracked}},
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY":   {{Kind: Neutral, Pin: PinUntracked}},
		"SET TRANSACTION READ ONLY":                              {{Kind: Neutral}},
		"SET x":                                                  {{Kind: Neutral}},
		"RESET work_mem":                                         {{Kind: Reset, Name: "work_mem"}},
		"RESET ALL":                                              {{Kind: ResetAll}},
		"DISCARD ALL":                                            {{Kind: DiscardAll, Unpin: pinsAll}},
		"DISCARD TEMP":                                           {{Kind: Neutral, Unpin: PinTempTable}},
		"DEALLOCATE ALL":                                         {{Kind: DeallocateAll}},
		"DEALLOCATE PREPARE s":                                   {{Kind: Deallocate, Name: "s"}},
		"PREPARE s AS SELECT 1":                                  {{Kind: Neutral, Name: "s", Pin: PinSQLPrepare}},
		"LISTEN orders":                                          {{Kind: Neutral, Pin: PinListen}},
		"UNLISTEN *":                                             {{Kind: Neutral, Unpin: PinListen}},
		"UNLISTEN orders":                                        {{Kind: Neutral}},
		"CREATE TEMP TABLE t (a int)":                            {{Kind: Write, Pin: PinTempTable}},
		"CREATE OR REPLACE TEMP VIEW v AS SELECT 1":              {{Kind: Write, Pin: PinTempTable}},
		"CREATE TABLE t (a int)":                                 {{Kind: Write}},
		"SELECT 1 INTO TEMP t":                                   {{Kind: Write, Pin: PinTempTable}},
		"SELECT pg_advisory_lock(1)":                             {{Kind: Write, Pin: PinAdvisoryLock}},
		"SELECT pg_try_advisory_lock_shared(1)":                  {{Kind: Write, Pin: PinAdvisoryLock}},
		"SELECT pg_advisory_xact_lock(1)":                        {{Kind: Write}},
		"SELECT pg_advisory_unlock(1)":                           {{Kind: Write}},
		"SELECT set_config('a.b', 'x', false)":                   {{Kind: Write, Pin: PinUntracked}},
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1":                {{Kind: Read, Pin: PinHoldCursor}},
		"DECLARE c CURSOR FOR SELECT 1":                          {{Kind: Read}},
		"DO $$ BEGIN PERFORM 1; END $$":                          {{Kind: Write, Pin: PinUntracked}},
		"COPY kv FROM STDIN":                                     {{Kind: Copy}},
		"SELECT E'a\\'; DELETE FROM kv; --'":                     {{Kind: Read}},
		"SELECT 'unterminated":                                   {{Kind: Read}},
		"VACUUM":                                                 {{Kind: Write}},
	} {
		if diff := cmp.Diff(want, Scan(sql)); diff != "" {
			t.Errorf("%s: %s", sql, diff)
		}
	}
}

// server is a host connection as PostgreSQL has one: settings with transactions and savepoints, and prepared statements. It is
// written apart from the session's own bookkeeping, to check it.
type server struct {
	session, effective map[string]string
	saved              []savedLevel
	failed             bool
	prepared           map[string]string
}

type savedLevel struct {
	name               string
	session, effective map[string]string
}

func newServer() *server {
	return &server{session: map[string]string{}, effective: map[string]string{}, prepared: map[string]string{}}
}

func clone(m map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (s *server) status() byte {
	switch {
	case s.failed:
		return 'E'
	case len(s.saved) > 0:
		return 'T'
	}
	return 'I'
}

// exec runs one statement; not ok: it fails.
func (s *server) exec(c Command) (tag string, ok bool) {
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
	case ResetAll:
		clear(s.session)
		clear(s.effective)
	case DiscardAll:
		if len(s.saved) > 0 {
			return fail()
		}
		clear(s.session)
		clear(s.effective)
		clear(s.prepared)
	case DeallocateAll:
		clear(s.prepared)
	case Write: // stands for any statement that fails
		return fail()
	}
	return "OK", true
}

// batch runs a simple query of several statements: outside a transaction it is one.
func (s *server) batch(commands []Command) (tags []string, ok bool) {
	session, effective := clone(s.session), clone(s.effective)
	for _, c := range commands {
		if c.Kind == Rollback && len(s.saved) == 0 { // what stands before it in the query is undone too
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

// TestModel runs random sessions over few connections and, side by side, over one connection each: settings, statements and
// answers must be the same at every step. A failure prints its seed; `go test -run TestModel -rapid.seed=SEED` replays it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type client struct {
			own    *server
			s      *Session
			link   int // -1: none
			number int
		}
		type link struct {
			*server
			*Link
			taken bool
		}
		var clients []*client
		var links []*link
		for i := range rapid.IntRange(2, 5).Draw(t, "clients") {
			clients = append(clients, &client{own: newServer(), s: NewSession(nil), link: -1, number: i})
		}
		for range rapid.IntRange(1, 3).Draw(t, "links") {
			links = append(links, &link{newServer(), NewLink(3), false})
		}
		names := []string{"a", "b", "c", "d"}
		command := func(t *rapid.T) string {
			name := rapid.SampledFrom(names).Draw(t, "name")
			return rapid.SampledFrom([]string{"SET " + name + " = '" + rapid.StringMatching("[xyz]{1,2}").Draw(t, "value") + "'",
				"SET LOCAL " + name + " = 'local'", "RESET " + name, "RESET ALL", "BEGIN", "COMMIT", "ROLLBACK",
				"SAVEPOINT " + name, "ROLLBACK TO " + name, "RELEASE " + name, "FAIL", "DEALLOCATE ALL", "DISCARD ALL", "SHOW all",
			}).Draw(t, "command")
		}
		take := func(t *rapid.T, c *client) *link {
			if c.link < 0 {
				var free []int
				for i, l := range links {
					if !l.taken {
						free = append(free, i)
					}
				}
				if len(free) == 0 {
					return nil
				}
				c.link = rapid.SampledFrom(free).Draw(t, "link")
				l := links[c.link]
				l.taken = true
				if sql := l.Carry(c.s); sql != "" {
					if _, ok := l.batch(Scan(sql)); !ok {
						t.Fatalf("carrying fails: %s", sql)
					}
				}
				l.Carried(c.s)
			}
			return links[c.link]
		}
		give := func(c *client) {
			if c.s.Status == 'I' && c.s.Pins() == 0 {
				links[c.link].taken = false
				c.link = -1
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
					commands = commands[:1] // it may not stand among others
				}
				wantTags, wantOK := c.own.batch(commands)
				c.s.Start()
				tags, ok := l.batch(commands)
				for i, tag := range tags {
					c.s.Completed(commands[i], tag)
					l.Ran(commands[i], c.s)
				}
				if !ok {
					c.s.Failed()
				}
				c.s.Ready(l.status())
				l.Follow(c.s)
				if !slices.Equal(tags, wantTags) || ok != wantOK || l.status() != c.own.status() {
					t.Fatalf("%v is answered %v %v %c, on a connection of its own %v %v %c", sql, tags, ok, l.status(), wantTags, wantOK,
						c.own.status())
				}
				if diff := cmp.Diff(c.own.effective, l.effective); diff != "" {
					t.Fatalf("after %v client %d has other settings: %s", sql, c.number, diff)
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
						t.Fatalf("%s is taken", name)
					}
				}
				st := c.s.Prepared(name)
				if st == nil {
					t.Fatalf("client %d has lost %s", c.number, name)
				}
				host, parse := l.Use(st)
				for _, gone := range l.Evicted() {
					delete(l.server.prepared, gone)
				}
				if parse {
					if l.server.prepared[host] != "" {
						t.Fatalf("%s is prepared twice", host)
					}
					l.server.prepared[host] = st.Text
				}
				if got := l.server.prepared[host]; got != c.own.prepared[name] {
					t.Fatalf("%s of client %d runs %q, it is %q", name, c.number, got, c.own.prepared[name])
				}
				if len(l.server.prepared) > 3 {
					t.Fatalf("%d statements on a connection", len(l.server.prepared))
				}
				give(c)
			},
			"a connection dies": func(t *rapid.T) {
				i := rapid.IntRange(0, len(links)-1).Draw(t, "link")
				for _, c := range clients {
					if c.link == i {
						carried := c.s.Lost()
						if carried != (c.own.status() == 'I') {
							t.Fatalf("carried %v with status %c", carried, c.own.status())
						}
						// What was open is rolled back; the rest of the session goes on elsewhere.
						if c.own.status() != 'I' {
							c.own.exec(Command{Kind: Rollback})
						}
						c.link = -1
					}
				}
				links[i] = &link{newServer(), NewLink(3), false}
			},
		})
	})
}

func TestWhatIsCarriedAndWhatPins(t *testing.T) {
	run := func(s *Session, l *Link, sql string, ok bool, status byte) {
		s.Start()
		for _, c := range Scan(sql) {
			if !ok {
				s.Failed()
				break
			}
			s.Completed(c, "")
			l.Ran(c, s)
		}
		s.Ready(status)
		l.Follow(s)
	}
	for _, c := range []struct {
		name string
		do   func(s *Session, l *Link)
		want string // what another connection has to run first
		pins Pin
	}{
		{"SET", func(s *Session, l *Link) { run(s, l, "SET work_mem = '4MB'", true, 'I') }, "SET work_mem TO '4MB'", 0},
		{"SET of a list", func(s *Session, l *Link) { run(s, l, `SET search_path TO a, "B"`, true, 'I') }, `SET search_path TO a, "B"`, 0},
		{"SET of a custom setting", func(s *Session, l *Link) { run(s, l, `SET app.tenant = 'x'`, true, 'I') }, `SET app.tenant TO 'x'`, 0},
		{"SET that fails", func(s *Session, l *Link) { run(s, l, "SET work_mem = 'x'", false, 'I') }, "", 0},
		{"SET then RESET", func(s *Session, l *Link) { run(s, l, "SET a = 1; RESET a", true, 'I') }, "", 0},
		{"SET in a transaction that is rolled back", func(s *Session, l *Link) {
			run(s, l, "BEGIN", true, 'T')
			run(s, l, "SET a = 1", true, 'T')
			run(s, l, "ROLLBACK", true, 'I')
		}, "", 0},
		{"SET before a savepoint that is rolled back to", func(s *Session, l *Link) {
			run(s, l, "BEGIN; SET a = 1; SAVEPOINT s; SET a = 2; SET b = 2; ROLLBACK TO s; COMMIT", true, 'I')
		}, "SET a TO 1", 0},
		{"SET LOCAL", func(s *Session, l *Link) { run(s, l, "BEGIN; SET LOCAL a = 1; COMMIT", true, 'I') }, "", 0},
		{"SET in a query of several statements that fails", func(s *Session, l *Link) {
			s.Start()
			s.Completed(Scan("SET a = 1")[0], "SET")
			s.Failed()
			s.Ready('I')
			l.Follow(s)
		}, "", 0},
		{"a transaction that the host ended", func(s *Session, l *Link) {
			run(s, l, "BEGIN; SET a = 1", true, 'T')
			s.Ready('I')
			l.Follow(s)
		}, "", 0},
		{"DISCARD ALL", func(s *Session, l *Link) { run(s, l, "SET a = 1; LISTEN x; DISCARD ALL", true, 'I') }, "", 0},
		{"LISTEN", func(s *Session, l *Link) { run(s, l, "LISTEN x", true, 'I') }, "", PinListen},
		{"LISTEN then UNLISTEN", func(s *Session, l *Link) { run(s, l, "LISTEN x; UNLISTEN *", true, 'I') }, "", 0},
		{"LISTEN in a transaction that is rolled back", func(s *Session, l *Link) {
			run(s, l, "BEGIN; LISTEN x", true, 'T')
			run(s, l, "ROLLBACK", true, 'I')
		}, "", 0},
		{"a temporary table", func(s *Session, l *Link) { run(s, l, "CREATE TEMP TABLE t (a int)", true, 'I') }, "", PinTempTable},
		{"an advisory lock outlives a rollback", func(s *Session, l *Link) {
			run(s, l, "BEGIN; SELECT pg_advisory_lock(1)", true, 'T')
			run(s, l, "ROLLBACK", true, 'I')
		}, "", PinAdvisoryLock},
		{"a cursor WITH HOLD", func(s *Session, l *Link) { run(s, l, "DECLARE c CURSOR WITH HOLD FOR SELECT 1", true, 'I') }, "", PinHoldCursor},
		{"PREPARE in SQL", func(s *Session, l *Link) { run(s, l, "PREPARE p AS SELECT 1", true, 'I') }, "", PinSQLPrepare},
		{"a setting that can't be tracked", func(s *Session, l *Link) { run(s, l, "SELECT set_config('a', 'x', false)", true, 'I') }, "", PinUntracked},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l, other := NewSession(nil), NewLink(0), NewLink(0)
			c.do(s, l)
			if got := other.Carry(s); got != c.want || s.Pins() != c.pins {
				t.Errorf("another connection runs %q, pins %v; want %q, %v", got, s.Pins().Names(), c.want, c.pins.Names())
			}
			if got := l.Carry(s); got != "" {
				t.Errorf("its own connection has to run %q", got)
			}
		})
	}
}

func TestCarryIsTheSmallestDifference(t *testing.T) {
	session := func(sql string) *Session {
		s := NewSession(nil)
		for _, c := range Scan(sql) {
			s.Completed(c, "")
		}
		return s
	}
	for _, c := range []struct{ has, wants, want string }{
		{"", "", ""},
		{"SET a = 1", "SET a = 1", ""},
		{"SET a = 1", "SET a = 2", "SET a TO 2"},
		{"SET a = 1; SET b = 1", "SET a = 1", "RESET b"},
		{"SET a = 1; SET b = 1; SET c = 1", "", "RESET ALL"},
		{"SET a = 1; SET b = 1; SET c = 1; SET d = 1", "SET e = 1", "RESET ALL; SET e TO 1"},
		{"SET a = 1", "SET b = 1", "RESET a; SET b TO 1"},
	} {
		l := NewLink(0)
		l.Carried(session(c.has))
		if got := l.Carry(session(c.wants)); got != c.want {
			t.Errorf("from %q to %q: %q, want %q", c.has, c.wants, got, c.want)
		}
	}
	s := NewSession(map[string]string{"user": "u", "application_name": "it's", "search_path": `a, "b"`, "options": "-c x=1"})
	if got, want := NewLink(0).Carry(s), `SET application_name TO 'it''s'; SET search_path TO 'a', 'b'`; got != want {
		t.Errorf("from a startup message: %s, want %s", got, want)
	}
	s.Completed(Scan("SET application_name = 'x'")[0], "SET")
	s.Completed(Scan("RESET application_name")[0], "RESET")
	if v, _ := s.Setting("application_name"); v != "'it''s'" {
		t.Errorf("RESET goes back to %s", v)
	}
}

func TestWhatAFunctionHasSetIsTakenFromTheHostsReport(t *testing.T) {
	s := NewSession(nil)
	if Settles(Scan("SELECT prepare_me()")) || !Settles(Scan("SELECT 1; SET TIME ZONE 'UTC'")) {
		t.Error("what changes settings is not told apart")
	}
	s.Reported("TimeZone", "Asia/Kolkata")
	if got := NewLink(0).Carry(s); got != "SET timezone TO 'Asia/Kolkata'" {
		t.Errorf("another connection runs %q", got)
	}
}

func TestStatementsOfTheSameHashAreToldApart(t *testing.T) {
	a, b := NewStatement("SELECT 1", nil), NewStatement("SELECT 2", nil)
	b.hash = a.hash
	l := NewLink(0)
	first, _ := l.Use(a)
	second, parse := l.Use(b)
	if first == second || !parse {
		t.Error("two texts of one hash run as one")
	}
	if again, parse := l.Use(a); again == first || !parse || !slices.Contains(l.Evicted(), first) {
		t.Error("the first is taken for still prepared")
	}
	if c := NewStatement("SELECT 1", []uint32{23}); c.Same(NewStatement("SELECT 1", []uint32{25})) {
		t.Error("statements of other types are the same")
	}
}

func TestPoolsAreBounded(t *testing.T) {
	alive := func(int) bool { return true }
	const second = time.Second
	p := NewPools(Limits{Total: 4, PerHost: 3, Least: 1, Idle: 10 * second}, 1)
	next := 0
	open := func(now time.Duration, host string) (Choice, int) {
		c, id, _ := p.Take(now, host, alive)
		if c == Open {
			next++
			p.Opened(now, host, next)
			return c, next
		}
		return c, id
	}
	for i, want := range []Choice{Open, Open, Open, Full} {
		if c, _ := open(second, "a"); c != want {
			t.Errorf("connection %d of a: %v", i, c)
		}
	}
	open(second, "b")
	if c, _ := open(second, "b"); c != Full {
		t.Errorf("beyond the total: %v", c)
	}
	if !p.Put(2*second, "a", 1, true) {
		t.Error("a clean one is not kept")
	}
	if c, id := open(2*second, "a"); c != Reuse || id != 1 {
		t.Errorf("%v %d", c, id)
	}
	p.Put(2*second, "a", 1, true)
	if c, evicted, _ := p.Take(2*second, "c", alive); c != Open || evicted != 1 {
		t.Errorf("for a host without any: %v, closing %d", c, evicted)
	}
	p.NotOpened("c")
	if p.Put(3*second, "a", 2, false) {
		t.Error("an unclean one is kept")
	}
	p.Put(3*second, "a", 3, true)
	if got := p.Tick(14 * second); !slices.Equal(got, []int{3}) || p.Total() != 1 {
		t.Errorf("too long idle: %v, %d left", got, p.Total())
	}
	p.Close("b", true)
	if p.Put(15*second, "b", 4, true) || p.Total() != 0 {
		t.Error("a host that drains keeps a connection")
	}
	if c, _ := open(15*second, "b"); c != Full {
		t.Errorf("a host that drains: %v", c)
	}
}

func TestPoolsOpenNoStorm(t *testing.T) {
	p := NewPools(Limits{Total: 1000, PerSec: 10, Opening: 5}, 1)
	opened := 0
	for ms := range 2000 {
		now := time.Duration(ms+1) * time.Millisecond
		if c, _, _ := p.Take(now, "new primary", nil); c == Open {
			opened++
			p.Opened(now, "new primary", opened)
		}
	}
	if opened < 25 || opened > 31 {
		t.Errorf("%d opened in 2 s at 10 a second with a burst of 10", opened)
	}
	p = NewPools(Limits{Total: 1000, Opening: 5}, 1)
	for range 10 {
		p.Take(time.Second, "a", nil)
	}
	if s := p.Stats()["a"]; s.Opening != 5 {
		t.Errorf("%d are being opened", s.Opening)
	}
}

func TestPoolsShrinkSlowlyAndAgeApart(t *testing.T) {
	p := NewPools(Limits{Total: 100, Memory: time.Minute, Age: time.Hour}, 1)
	ends := map[time.Duration]bool{}
	for id := 1; id <= 40; id++ {
		p.Take(time.Second, "a", nil)
		p.Opened(time.Second, "a", id)
		ends[p.hosts["a"].ends[id].Round(time.Minute)] = true
	}
	if len(ends) < 15 {
		t.Errorf("40 connections end in %d minutes", len(ends))
	}
	for id := 1; id <= 40; id++ {
		p.Put(2*time.Second, "a", id, true)
	}
	if got := len(p.Tick(10 * time.Second)); got != 0 {
		t.Errorf("%d closed at once", got)
	}
	closed := 0
	for s := 10; s < 180; s++ {
		closed += len(p.Tick(time.Duration(s) * time.Second))
	}
	if closed < 20 || closed > 38 {
		t.Errorf("%d of 40 closed within three minutes of no use", closed)
	}
}

func TestPropertyPoolsNeverGoOverTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Total: rapid.IntRange(1, 12).Draw(t, "total"), PerHost: rapid.IntRange(0, 6).Draw(t, "host"),
			Least: rapid.IntRange(0, 2).Draw(t, "least"), Idle: 5 * time.Second, Rest: 30 * time.Millisecond,
			Age: time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second, Memory: time.Second}
		p := NewPools(l, 7)
		now, next := time.Second, 0
		type held struct {
			host string
			id   int
		}
		var used []held
		idle := map[int]string{}
		opening := map[string]int{}
		host := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host") }
		closeAll := func(ids []int) {
			for _, id := range ids {
				if idle[id] == "" {
					t.Fatalf("%d is closed and does not idle", id)
				}
				delete(idle, id)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				h := host(t)
				c, id, dead := p.Take(now, h, func(int) bool { return rapid.IntRange(0, 5).Draw(t, "alive") > 0 })
				closeAll(dead)
				switch c {
				case Reuse:
					if idle[id] != h {
						t.Fatalf("%d of %q is used for %s", id, idle[id], h)
					}
					delete(idle, id)
					used = append(used, held{h, id})
				case Open:
					if id > 0 {
						closeAll([]int{id})
					}
					opening[h]++
				}
			},
			"opened": func(t *rapid.T) {
				h := host(t)
				if opening[h] == 0 {
					return
				}
				opening[h]--
				if rapid.Bool().Draw(t, "comes up") {
					next++
					p.Opened(now, h, next)
					used = append(used, held{h, next})
				} else {
					p.NotOpened(h)
				}
			},
			"put": func(t *rapid.T) {
				if len(used) == 0 {
					return
				}
				i := rapid.IntRange(0, len(used)-1).Draw(t, "which")
				u := used[i]
				used = slices.Delete(used, i, i+1)
				if p.Put(now, u.host, u.id, rapid.Bool().Draw(t, "clean")) {
					idle[u.id] = u.host
				}
			},
			"tick":   func(*rapid.T) { closeAll(p.Tick(now)) },
			"time":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"drain":  func(t *rapid.T) { closeAll(p.Close(host(t), rapid.Bool().Draw(t, "closed"))) },
			"forget": func(t *rapid.T) { closeAll(p.Forget(host(t))); p.Close("a", false) },
			"": func(t *rapid.T) {
				total := len(used) + len(idle) + opening["a"] + opening["b"] + opening["c"]
				if p.Total() != total || total > l.Total {
					t.Fatalf("%d counted, %d there are, %d may be", p.Total(), total, l.Total)
				}
				for h, s := range p.Stats() {
					if l.PerHost > 0 && s.Open > l.PerHost || s.Idle+s.Used+s.Opening != s.Open {
						t.Fatalf("%s has %+v", h, s)
					}
				}
			},
		})
	})
}

func FuzzScan(f *testing.F) {
	for _, s := range []string{"SELECT 1", "BEGIN; SET a = 'x'; COMMIT", "$a$ $a$", `"`, "E'\\", "/*/*", "SET SESSION a.b.c TO 1, 2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		s, l := NewSession(nil), NewLink(0)
		for _, c := range Scan(sql) {
			s.Completed(c, "")
		}
		// Whatever is carried must be read back as what it was: a setting can't turn into another statement.
		for _, c := range Scan(l.Carry(s)) {
			if c.Kind != Set && c.Kind != Empty && c.Kind != Reset && c.Kind != Neutral {
				t.Fatalf("%q carries %q", sql, l.Carry(s))
			}
		}
	})
}

func BenchmarkCarry(b *testing.B) {
	session := func(n int) *Session {
		s := NewSession(nil)
		for i := range 5 {
			s.Completed(Command{Kind: Set, Name: fmt.Sprint("setting_", i), Value: fmt.Sprintf("'%d'", n)}, "SET")
		}
		for i := range 3 {
			s.Prepare(fmt.Sprint("s", i), NewStatement(fmt.Sprintf("SELECT %d FROM kv WHERE name = $1", i), nil))
		}
		return s
	}
	x, y := session(1), session(2)
	b.Run("five settings and three statements", func(b *testing.B) {
		l := NewLink(0)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			s := x
			if i%2 == 1 {
				s = y
			}
			if l.Carry(s) == "" {
				b.Fatal("nothing to carry")
			}
			l.Carried(s)
			for _, name := range []string{"s0", "s1", "s2"} {
				l.Use(s.Prepared(name))
			}
		}
	})
	b.Run("nothing to carry", func(b *testing.B) {
		l := NewLink(0)
		l.Carried(x)
		b.ReportAllocs()
		for b.Loop() {
			if l.Carry(x) != "" {
				b.Fatal("something to carry")
			}
			l.Use(x.Prepared("s0"))
		}
	})
}

func BenchmarkTake(b *testing.B) {
	p := NewPools(Limits{Total: 400, PerHost: 20, Idle: time.Minute, Memory: time.Minute}, 1)
	alive := func(int) bool { return true }
	now, id := time.Second, 0
	for h := range 20 {
		for range 20 {
			p.Take(now, fmt.Sprint("s-", h), alive)
			id++
			p.Opened(now, fmt.Sprint("s-", h), id)
			defer p.Put(now, fmt.Sprint("s-", h), id, true)
		}
	}
	p.Put(now, "s-3", 61, true)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		c, id, _ := p.Take(now, "s-3", alive)
		if c != Reuse {
			b.Fatal(c)
		}
		p.Put(now, "s-3", id, true)
	}
}

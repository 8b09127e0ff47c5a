// Package pooling decides what a client's session carries from one host connection to another, what ties it to one, and
// which connections are kept, opened and closed. It speaks no protocol and has no clock: it is told what was run and how
// that ended, and answers with what has to be run first.
//
// sql.go reads statements as far as that needs, session.go keeps what a client has set up, link.go what a host connection has,
// and pool.go how many of them there are. docs/pooling.md has the table of what is carried and what pins.
package pooling

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Mode is for how long a client keeps a host connection.
type Mode int

// Modes.
const (
	ByStatement   Mode = iota // for a statement or a pipeline up to its end; no transactions
	ByTransaction             // for a transaction
	BySession                 // for as long as the client stays
)

var modeNames = [...]string{"statement", "transaction", "session"}

func (m Mode) String() string { return modeNames[m] }

// ParseMode reads a mode's name.
func ParseMode(s string) (Mode, bool) {
	i := slices.Index(modeNames[:], s)
	return Mode(max(i, 0)), i >= 0
}

// Settings are values by name, as they stand in SET. They are persistent: a copy costs nothing, as each savepoint keeps one.
type Settings = *iradix.Tree[string]

// NoSettings is the empty one.
func NoSettings() Settings { return iradix.New[string]() }

// Statement is a prepared statement, whatever names clients have for it.
type Statement struct {
	Text  string
	Types []uint32 // of its parameters, as the client stated them
	hash  uint64
}

// NewStatement makes one. Two are the same where text and types are.
func NewStatement(text string, types []uint32) *Statement {
	s := &Statement{Text: text, Types: types}
	d := xxhash.New()
	_, _ = d.WriteString(text)
	for _, t := range types {
		_, _ = d.Write([]byte{byte(t >> 24), byte(t >> 16), byte(t >> 8), byte(t)})
	}
	s.hash = d.Sum64()
	return s
}

// Same compares the whole of two statements: hashes of different texts may agree.
func (s *Statement) Same(o *Statement) bool {
	return s == o || s.hash == o.hash && s.Text == o.Text && slices.Equal(s.Types, o.Types)
}

type level struct {
	name     string // of the savepoint; "": the transaction itself
	settings Settings
	pins     Pin
}

// Session is what one client has set up. Settings of a transaction's own (SET LOCAL) are not kept: they end before the host
// connection changes.
type Session struct {
	Status     byte // as the host said it last: I, T or E
	defaults   Settings
	settings   Settings
	implicit   Settings // as they were when the batch, or what follows its last COMMIT, began
	levels     []level  // of the open transaction
	statements map[string]*Statement
	pins       Pin
	implicitP  Pin
	readOnly   bool
}

// listSettings hold lists of names: their parts are quoted one by one.
var listSettings = map[string]bool{"search_path": true, "datestyle": true, "temp_tablespaces": true,
	"session_preload_libraries": true, "local_preload_libraries": true}

// Literal writes text as a string constant of SQL.
func Literal(s string) string {
	if strings.Contains(s, `\`) {
		return " E'" + strings.ReplaceAll(strings.ReplaceAll(s, `\`, `\\`), "'", "''") + "'"
	}
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// NewSession makes a session with the settings of its startup message, which RESET goes back to.
func NewSession(startup map[string]string) *Session {
	s := &Session{Status: 'I', settings: NoSettings(), statements: map[string]*Statement{}}
	for name, value := range startup {
		name = strings.ToLower(name)
		switch name {
		case "user", "database", "replication", "options":
			continue
		}
		sql := Literal(value)
		if listSettings[name] {
			parts := strings.Split(value, ",")
			for i, p := range parts {
				parts[i] = Literal(strings.Trim(strings.TrimSpace(p), `"`))
			}
			sql = strings.Join(parts, ", ")
		}
		s.settings, _, _ = s.settings.Insert([]byte(name), sql)
	}
	s.defaults, s.implicit = s.settings, s.settings
	return s
}

// Setting gives a setting as it stands; not ok: it has its default.
func (s *Session) Setting(name string) (value string, ok bool) { return s.settings.Get([]byte(name)) }

// Pins are the reasons why the session must keep its host connection.
func (s *Session) Pins() Pin { return s.pins }

// InTransaction says that a transaction is open, as far as the host said.
func (s *Session) InTransaction() bool { return s.Status != 'I' }

// ReadOnly says that the open transaction was begun as one that only reads.
func (s *Session) ReadOnly() bool { return len(s.levels) > 0 && s.readOnly }

// Prepare takes a prepared statement under the client's name; "" is the unnamed one. Not ok: the name is taken.
func (s *Session) Prepare(name string, st *Statement) bool {
	if name != "" && s.statements[name] != nil {
		return false
	}
	s.statements[name] = st
	return true
}

// Prepared gives the statement that the client knows by a name; nil: there is none.
func (s *Session) Prepared(name string) *Statement { return s.statements[name] }

// Close forgets a prepared statement.
func (s *Session) Close(name string) { delete(s.statements, name) }

// AllPrepared gives the prepared statements by name; they are the session's own, not to be changed.
func (s *Session) AllPrepared() map[string]*Statement { return s.statements }

// RestorePrepared puts back the prepared statements as they were: what was asked has not happened.
func (s *Session) RestorePrepared(all map[string]*Statement) { s.statements = all }

// Statements is how many are prepared.
func (s *Session) Statements() int { return len(s.statements) }

// StartBatch says that a batch begins: a query, or a pipeline up to its Sync.
func (s *Session) StartBatch() {
	if len(s.levels) == 0 {
		s.implicit, s.implicitP = s.settings, s.pins
	}
}

// Completed says that a statement has run, and the tag of its answer. A COMMIT of a failed transaction is answered ROLLBACK.
func (s *Session) Completed(c Command, tag string) {
	switch c.Kind {
	case Begin:
		if len(s.levels) == 0 {
			// What the batch has set before BEGIN becomes part of the transaction.
			s.levels = append(s.levels, level{"", s.implicit, s.implicitP})
			s.readOnly = c.ReadOnly
		}
	case Savepoint:
		if len(s.levels) > 0 {
			s.levels = append(s.levels, level{c.Name, s.settings, s.pins})
		}
	case RollbackTo:
		if i := s.savepoint(c.Name); i > 0 {
			s.settings, s.pins = s.levels[i].settings, s.levels[i].pins
			s.levels = s.levels[:i+1]
		}
	case Release:
		if i := s.savepoint(c.Name); i > 0 {
			s.levels = s.levels[:i]
		}
	case Commit, Rollback:
		if c.Kind == Rollback || tag == "ROLLBACK" {
			s.undo()
		}
		s.levels, s.implicit, s.implicitP = nil, s.settings, s.pins
	case Set:
		s.settings, _, _ = s.settings.Insert([]byte(c.Name), c.Value)
	case Reset:
		if v, ok := s.defaults.Get([]byte(c.Name)); ok {
			s.settings, _, _ = s.settings.Insert([]byte(c.Name), v)
		} else {
			s.settings, _, _ = s.settings.Delete([]byte(c.Name))
		}
	case ResetAll:
		s.settings = s.defaults
	case DiscardAll:
		s.settings, s.implicit = s.defaults, s.defaults
		clear(s.statements)
	case Deallocate:
		delete(s.statements, c.Name)
	case DeallocateAll:
		clear(s.statements)
	}
	s.pins = s.pins&^c.Unpin | c.Pin
}

// savepoint gives the level of the latest savepoint of a name; 0: there is none.
func (s *Session) savepoint(name string) int {
	for i := len(s.levels) - 1; i > 0; i-- {
		if s.levels[i].name == name {
			return i
		}
	}
	return 0
}

// undo puts settings and pins back to what they were before the transaction, or before the batch outside one. Locks and
// temporary tables taken in it are gone, but what is pinned stays pinned until it is known to be: an advisory lock of the
// session outlives a rollback.
func (s *Session) undo() {
	kept := s.pins & (PinAdvisoryLock | PinSQLPrepare | PinUntracked)
	if len(s.levels) > 0 {
		s.settings, s.pins = s.levels[0].settings, s.levels[0].pins|kept
	} else {
		s.settings, s.pins = s.implicit, s.implicitP|kept
	}
}

// Failed says that a statement has failed. Outside a transaction all of its batch is undone.
func (s *Session) Failed() {
	if len(s.levels) == 0 {
		s.undo()
	}
}

// EndBatch says that a batch has ended, and the status that the host told with it. Where the host knows of no transaction any more
// that was thought to be open, it was rolled back.
func (s *Session) EndBatch(status byte) {
	if s.Status = status; status == 'I' && len(s.levels) > 0 {
		s.undo()
		s.levels = nil
	}
}

// Reported takes a setting's value as the host told it in a batch that, as far as could be read, changes no setting: a function
// has set it. Of what the host does not report nothing is heard that way.
func (s *Session) Reported(name, value string) {
	s.settings, _, _ = s.settings.Insert([]byte(strings.ToLower(name)), Literal(value))
}

// ChangesSettings says that statements change settings in a way that is followed by reading them.
func ChangesSettings(commands []Command) bool {
	for _, c := range commands {
		switch c.Kind {
		case Set, SetLocal, Reset, ResetAll, DiscardAll, Begin, Commit, Rollback, RollbackTo:
			return true
		}
	}
	return false
}

// ConnectionLost says that the host connection is gone, and with it what was tied to it. Carried says whether the session can go on: not
// if it was pinned or in a transaction.
func (s *Session) ConnectionLost() (carried bool) {
	carried = s.pins == 0 && s.Status == 'I' && len(s.levels) == 0
	s.undo()
	s.levels, s.pins, s.Status = nil, 0, 'I'
	return carried
}

// Package pooling implements connection pooling: it decides which state of a client's session is carried from
// one host connection to another, which state pins the session to its connection, and which connections are
// kept, opened and closed. It speaks no protocol and has no clock: callers report the statements that were
// run and their results, and get the statements to run before the session's next one.
//
// The parser in sql.go only reads of a statement what is needed for this. session.go holds the state of a
// client's session, connstate.go that of a host connection, and pool.go the number of connections.
// docs/pooling.md lists the state that is carried and the state that pins.
package pooling

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Mode is the pool mode: for how long a client keeps a host connection.
type Mode int

// Modes.
const (
	ByStatement   Mode = iota // for a statement, or for a pipeline until its end; transactions are not possible
	ByTransaction             // for a transaction
	BySession                 // until the client disconnects
)

var modeNames = [...]string{"statement", "transaction", "session"}

func (m Mode) String() string { return modeNames[m] }

// ParseMode returns the mode with the given name.
func ParseMode(s string) (Mode, bool) {
	i := slices.Index(modeNames[:], s)
	return Mode(max(i, 0)), i >= 0
}

// Settings maps the names of settings to their values as written in SET. The tree is immutable, so that each
// savepoint can keep a copy at no cost.
type Settings = *iradix.Tree[string]

var noSettings = iradix.New[string]()

// NoSettings returns empty settings.
func NoSettings() Settings { return noSettings }

// Statement is a prepared statement, independent of the names that clients have given to it.
type Statement struct {
	Text  string
	Types []uint32 // parameter types, as specified by the client
	hash  uint64
	sum   [sha256.Size]byte // of text and types, once hasSum is set
	// hasSum is set by checksum.
	hasSum bool
}

// checksum returns what identifies the statement without its text.
func (s *Statement) checksum() [sha256.Size]byte {
	if !s.hasSum {
		sum := sha256.New()
		_, _ = io.WriteString(sum, s.Text)
		_ = binary.Write(sum, binary.BigEndian, uint64(len(s.Text)))
		_ = binary.Write(sum, binary.BigEndian, s.Types)
		sum.Sum(s.sum[:0])
		s.hasSum = true
	}
	return s.sum
}

// NewStatement returns the statement with a text and parameter types.
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

// savepoint is a transaction or a savepoint, with the state to which a rollback returns.
type savepoint struct {
	name     string // name of the savepoint, or "" for the transaction itself
	settings sessionSettings
	pins     Pin
}

// sessionSettings are the settings of a session and how its connection differs from them.
type sessionSettings struct {
	wanted Settings
	// undone has the startup settings that a RESET has taken off the connection: the host resets a setting to the connection's
	// own default, which is not the session's. They are applied again before the next batch.
	undone Settings
}

// onConnection returns the settings in force on the connection that has run all of the session's statements.
func (s sessionSettings) onConnection() Settings {
	out := s.wanted
	for name := range keys(s.undone) {
		out, _, _ = out.Delete(name)
	}
	return out
}

// with returns the settings after a SET.
func (s sessionSettings) with(name, value string) sessionSettings {
	s.wanted, _, _ = s.wanted.Insert([]byte(name), value)
	s.undone, _, _ = s.undone.Delete([]byte(name))
	return s
}

// reset returns the settings after a RESET of one of them.
func (s sessionSettings) reset(name string, defaults Settings) sessionSettings {
	value, ok := defaults.Get([]byte(name))
	if !ok {
		s.wanted, _, _ = s.wanted.Delete([]byte(name))
		return s
	}
	s.wanted, _, _ = s.wanted.Insert([]byte(name), value)
	s.undone, _, _ = s.undone.Insert([]byte(name), value)
	return s
}

// resetAll returns the settings after RESET ALL.
func (s sessionSettings) resetAll(defaults Settings) sessionSettings {
	out := sessionSettings{defaults, defaults}
	if role, ok := s.wanted.Get(roleSetting); ok {
		out.wanted, _, _ = out.wanted.Insert(roleSetting, role)
	} else {
		out.wanted, _, _ = out.wanted.Delete(roleSetting)
	}
	if _, ok := s.undone.Get(roleSetting); !ok {
		out.undone, _, _ = out.undone.Delete(roleSetting)
	}
	return out
}

// roleSetting is the name of the setting that SET ROLE changes.
var roleSetting = []byte("role")

// keys returns an iterator over the names of settings.
func keys(settings Settings) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		it := settings.Root().Iterator()
		for name, _, ok := it.Next(); ok && yield(name); name, _, ok = it.Next() {
		}
	}
}

// Session is the state of one client's session. It does not track SET LOCAL, whose effect ends with the
// transaction and so before the session can get another host connection.
type Session struct {
	Status        byte     // transaction status last reported by the host: I, T or E
	defaults      Settings // of the startup message
	settings      sessionSettings
	batchOpen     bool            // the host has not yet reported the end of the batch
	batchSettings sessionSettings // settings at the start of the batch, or after its last COMMIT
	levels        []savepoint     // the open transaction and its savepoints
	statements    map[string]*Statement
	pins          Pin
	batchPins     Pin
	readOnly      bool
	localSet      bool // the open transaction has run SET LOCAL, which a SET of the gateway could override
}

// listSettings are the settings that are lists of names, whose elements are quoted one by one.
var listSettings = map[string]bool{"search_path": true, "datestyle": true, "temp_tablespaces": true,
	"session_preload_libraries": true, "local_preload_libraries": true}

// Literal returns s as an SQL string constant.
func Literal(s string) string {
	if strings.Contains(s, `\`) {
		return " E'" + strings.ReplaceAll(strings.ReplaceAll(s, `\`, `\\`), "'", "''") + "'"
	}
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// valueInSet returns the value of a setting as written in SET. The elements of a list are quoted one by one.
func valueInSet(name, value string) string {
	if !listSettings[name] {
		return Literal(value)
	}
	parts := strings.Split(value, ",")
	for i, p := range parts {
		parts[i] = Literal(strings.Trim(strings.TrimSpace(p), `"`))
	}
	return strings.Join(parts, ", ")
}

// NewSession returns a session with the settings of its startup message, which are the values RESET returns to.
func NewSession(startup map[string]string) *Session {
	s := &Session{Status: 'I', defaults: NoSettings(), statements: map[string]*Statement{}}
	for name, value := range startup {
		name = strings.ToLower(name)
		switch name {
		case "user", "database", "replication", "options":
			continue
		}
		s.defaults, _, _ = s.defaults.Insert([]byte(name), valueInSet(name, value))
	}
	s.settings = sessionSettings{s.defaults, NoSettings()}
	s.batchSettings = s.settings
	return s
}

// Setting returns the value of a setting; ok is false if the setting has its default value.
func (s *Session) Setting(name string) (value string, ok bool) {
	return s.settings.wanted.Get([]byte(name))
}

// Pins returns the reasons why the session must keep its host connection.
func (s *Session) Pins() Pin { return s.pins }

// InTransaction reports whether a transaction is open, by the status last reported by the host.
func (s *Session) InTransaction() bool { return s.Status != 'I' }

// ReadOnly reports whether the open transaction was started as READ ONLY.
func (s *Session) ReadOnly() bool { return len(s.levels) > 0 && s.readOnly }

// Prepare records a prepared statement under the name given by the client, "" for the unnamed one. It returns
// false if the name is in use.
func (s *Session) Prepare(name string, st *Statement) bool {
	if name != "" && s.statements[name] != nil {
		return false
	}
	s.statements[name] = st
	return true
}

// Prepared returns the statement that the client prepared under a name, or nil if there is none.
func (s *Session) Prepared(name string) *Statement { return s.statements[name] }

// Close removes a prepared statement.
func (s *Session) Close(name string) { delete(s.statements, name) }

// Clone returns a copy of the session, on which a batch can be tried.
func (s *Session) Clone() *Session {
	out := *s
	out.levels, out.statements = slices.Clone(s.levels), maps.Clone(s.statements)
	return &out
}

// Restore makes a name mean a statement again, or no statement if it is nil.
func (s *Session) Restore(name string, st *Statement) {
	if st == nil {
		delete(s.statements, name)
		return
	}
	s.statements[name] = st
}

// entrySize is what an entry of a session's state takes besides its texts, in bytes.
const entrySize = 256

// Size returns the memory in bytes that the state of the session takes: prepared statements, settings and savepoints.
func (s *Session) Size() (size int) {
	for name, st := range s.statements {
		size += entrySize + len(name) + len(st.Text) + 4*len(st.Types)
	}
	size += settingsSize(s.settings.wanted)
	for i, level := range s.levels {
		size += entrySize + len(level.name)
		if i == 0 || level.settings.wanted != s.levels[i-1].settings.wanted {
			size += settingsSize(level.settings.wanted)
		}
	}
	return size
}

// settingsSize returns the memory in bytes that settings take.
func settingsSize(settings Settings) (size int) {
	it := settings.Root().Iterator()
	for name, value, ok := it.Next(); ok; name, value, ok = it.Next() {
		size += entrySize + len(name) + len(value)
	}
	return size
}

// Statements returns the number of prepared statements.
func (s *Session) Statements() int { return len(s.statements) }

// CanChangeSettings reports whether settings can be changed on the session's connection: not within a pipeline, whose messages
// a query would interrupt, not in a failed transaction, not where it could override a SET LOCAL, and not while notifications of the
// session may come at any time.
func (s *Session) CanChangeSettings() bool {
	return !s.batchOpen && s.Status != 'E' && !s.localSet && s.pins&PinListen == 0
}

// StartBatch records the start of a batch: a query, or a pipeline up to its Sync. It has no effect within a pipeline, whose
// parts up to a Flush the host rolls back together.
func (s *Session) StartBatch() {
	if len(s.levels) == 0 && !s.batchOpen {
		s.batchSettings, s.batchPins = s.settings, s.pins
	}
	s.batchOpen = true
}

// Completed records that a statement has run, with the command tag of its answer. The tag of a COMMIT in a
// failed transaction is ROLLBACK.
func (s *Session) Completed(c Command, tag string) {
	switch c.Kind {
	case Begin:
		if len(s.levels) == 0 {
			// Settings changed in the batch before BEGIN become part of the transaction.
			s.levels = append(s.levels, savepoint{"", s.batchSettings, s.batchPins})
			s.readOnly = c.ReadOnly
		}
	case Savepoint:
		if len(s.levels) > 0 {
			s.levels = append(s.levels, savepoint{c.Name, s.settings, s.pins})
		}
	case RollbackTo:
		if i := s.findSavepoint(c.Name); i > 0 {
			s.settings, s.pins = s.levels[i].settings, s.levels[i].pins|s.pins&outlastingPins
			s.levels = s.levels[:i+1]
		}
	case Release:
		if i := s.findSavepoint(c.Name); i > 0 {
			s.levels = s.levels[:i]
		}
	case Commit, Rollback:
		if c.Kind == Rollback || tag == "ROLLBACK" {
			s.rollBack()
		}
		s.levels, s.localSet = nil, false
		s.batchSettings, s.batchPins = s.settings, s.pins
	case Set:
		s.settings = s.settings.with(c.Name, c.Value)
	case SetLocal:
		s.localSet = len(s.levels) > 0
	case Reset:
		s.settings = s.settings.reset(c.Name, s.defaults)
	case ResetAll:
		s.settings = s.settings.resetAll(s.defaults)
	case DiscardAll:
		s.settings = sessionSettings{s.defaults, s.defaults}
		s.batchSettings = s.settings
		clear(s.statements)
	case Deallocate:
		delete(s.statements, c.Name)
	case DeallocateAll:
		clear(s.statements)
	}
	s.pins = s.pins&^c.Unpin | c.Pin
}

// findSavepoint returns the index of the latest savepoint with a name in levels, or 0 if there is none.
func (s *Session) findSavepoint(name string) int {
	for i := len(s.levels) - 1; i > 0; i-- {
		if s.levels[i].name == name {
			return i
		}
	}
	return 0
}

// outlastingPins are the reasons to pin that a rollback, also one to a savepoint, does not end: session-level advisory locks and
// statements prepared in SQL outlive it, and untracked settings may.
const outlastingPins = PinAdvisoryLock | PinSQLPrepare | PinUntracked

// rollBack restores the settings and pins from before the transaction or, outside of one, before the batch. A
// rollback ends reasons to pin that arose in what it undoes, such as temporary tables, except for outlastingPins.
func (s *Session) rollBack() {
	kept := s.pins & outlastingPins
	if len(s.levels) > 0 {
		s.settings, s.pins = s.levels[0].settings, s.levels[0].pins|kept
	} else {
		s.settings, s.pins = s.batchSettings, s.batchPins|kept
	}
}

// Failed records that a statement has failed. Outside of a transaction the host rolls back the whole batch.
func (s *Session) Failed() {
	if len(s.levels) == 0 {
		s.rollBack()
	}
}

// EndBatch records the end of a batch with the transaction status reported by the host. If the session has a
// transaction open and the host has not, the host has rolled it back.
func (s *Session) EndBatch(status byte) {
	s.batchOpen = false
	if s.Status = status; status == 'I' && len(s.levels) > 0 {
		s.rollBack()
		s.levels, s.localSet = nil, false
	}
}

// Reported records a setting's value that the host reported in a batch whose statements change no setting: a
// function has changed it. Changes to settings that the host does not report are not noticed. What no SET can change is not
// the session's and is ignored.
func (s *Session) Reported(name, value string) {
	if name = strings.ToLower(name); !readOnlyParameters[name] {
		s.settings = s.settings.with(name, valueInSet(name, value))
	}
}

// readOnlyParameters are the parameters that PostgreSQL reports and that SET cannot change, or only changes with rights of its
// own (documentation, 54.2.7 Asynchronous Operations).
var readOnlyParameters = map[string]bool{"in_hot_standby": true, "integer_datetimes": true, "is_superuser": true,
	"server_encoding": true, "server_version": true, "session_authorization": true}

// ChangesSettings reports whether any of the statements may change settings in a way that the session tracks from
// their text.
func ChangesSettings(commands []Command) bool {
	for _, c := range commands {
		switch c.Kind {
		case Set, SetLocal, Reset, ResetAll, DiscardAll, Begin, Commit, Rollback, RollbackTo:
			return true
		}
	}
	return false
}

// ConnectionLost records that the host connection was lost with all state that pinned the session to it. It returns
// whether the session can continue on another connection, which is not the case if it was pinned or in a
// transaction.
func (s *Session) ConnectionLost() (carried bool) {
	carried = s.pins == 0 && s.Status == 'I' && len(s.levels) == 0
	s.rollBack()
	s.levels, s.pins, s.Status = nil, 0, 'I'
	s.batchOpen, s.localSet = false, false
	return carried
}

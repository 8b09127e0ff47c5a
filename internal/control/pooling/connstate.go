package pooling

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultPrepared is the default maximum number of prepared statements on a host connection.
const DefaultPrepared = 100

// ConnState is the state of one host connection: the settings that are in effect and the statements prepared on it.
type ConnState struct {
	settings   Settings
	prepared   *simplelru.LRU[uint64, *preparedEntry]
	lastNumber int      // number in the name of the last statement prepared
	evicted    []string // names of statements to close on the host
	Hits       uint64   // uses of statements that were already prepared
	Misses     uint64   // uses of statements that had to be prepared
}

// preparedEntry is a statement that is prepared on a connection. Its text is not held: the statements of all connections
// together could take any amount of memory, also those of sessions that have ended.
type preparedEntry struct {
	sum  [sha256.Size]byte
	name string
}

// NewConnState returns the state of a new connection. prepared is the maximum number of statements prepared
// on it; 0 or less stands for DefaultPrepared.
func NewConnState(prepared int) *ConnState {
	if prepared <= 0 {
		prepared = DefaultPrepared
	}
	l := &ConnState{settings: NoSettings()}
	l.prepared, _ = simplelru.NewLRU(prepared, func(_ uint64, e *preparedEntry) { l.evicted = append(l.evicted, e.name) })
	return l
}

// HasSettings reports whether any setting differs from the host's default.
func (l *ConnState) HasSettings() bool { return l.settings.Len() > 0 }

// SettingsQuery returns the statements of SettingsStatements as one query, or "" if there are none.
func (l *ConnState) SettingsQuery(s *Session) string {
	return strings.Join(l.SettingsStatements(s), "; ")
}

// SettingsStatements returns the shortest list of statements that changes the connection's settings to those of the
// session, which is empty if they are equal. They are to be run as one query, and the host has to confirm them all before
// any statement of the session is sent: a host goes on to the next query after one that it fails.
func (l *ConnState) SettingsStatements(s *Session) []string {
	if l.settings == s.settings.wanted {
		return nil
	}
	each, resets := changes(l.settings, s.settings.wanted)
	if resets < 2 {
		return each
	}
	rest, _ := changes(afterResetAll(l.settings), s.settings.wanted)
	if len(rest)+1 < len(each) {
		return append([]string{"RESET ALL"}, rest...)
	}
	return each
}

// changes returns the statements that change each setting that differs, and how many of them are a RESET.
func changes(from, to Settings) (out []string, resets int) {
	for name := range keys(from) {
		if _, kept := to.Get(name); !kept {
			out = append(out, "RESET "+settingIdent(string(name)))
		}
	}
	resets = len(out)
	it := to.Root().Iterator()
	for name, value, ok := it.Next(); ok; name, value, ok = it.Next() {
		if old, had := from.Get(name); !had || old != value {
			out = append(out, "SET "+settingIdent(string(name))+" TO "+value)
		}
	}
	return out, resets
}

// afterResetAll returns the settings of a connection after RESET ALL, which leaves the role as it is.
func afterResetAll(settings Settings) Settings {
	out := NoSettings()
	if role, ok := settings.Get(roleSetting); ok {
		out, _, _ = out.Insert(roleSetting, role)
	}
	return out
}

// SettingsApplied records that the connection has the session's settings: the host has confirmed the statements of
// SettingsStatements, or there were none.
func (l *ConnState) SettingsApplied(s *Session) {
	l.settings, s.settings.undone = s.settings.wanted, NoSettings()
}

// settingIdent returns a setting's name in SQL, with its parts quoted where necessary.
func settingIdent(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		plain := p != ""
		for k := range len(p) {
			c := p[k]
			plain = plain && (c == '_' || c >= 'a' && c <= 'z' || k > 0 && c >= '0' && c <= '9')
		}
		if !plain {
			parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
		}
	}
	return strings.Join(parts, ".")
}

// Use returns the name of a statement on this connection. If parse is true, it has to be prepared under that
// name first.
func (l *ConnState) Use(st *Statement) (name string, parse bool) {
	if e, ok := l.prepared.Get(st.hash); ok && e.sum == st.checksum() {
		l.Hits++
		return e.name, false
	}
	l.Misses++
	l.lastNumber++
	name = fmt.Sprintf("yk%d", l.lastNumber)
	if e, ok := l.prepared.Peek(st.hash); ok { // another statement of the same hash
		l.evicted = append(l.evicted, e.name)
	}
	l.prepared.Add(st.hash, &preparedEntry{st.checksum(), name})
	return name, true
}

// Evicted returns the names of the statements to close on the host that were evicted since the last call.
func (l *ConnState) Evicted() []string {
	out := slices.Clone(l.evicted)
	l.evicted = l.evicted[:0]
	return out
}

// Forget removes a statement that could not be prepared, or that must be prepared again because its plan is
// outdated.
func (l *ConnState) Forget(st *Statement) {
	if e, ok := l.prepared.Peek(st.hash); ok && e.sum == st.checksum() {
		l.prepared.Remove(st.hash)
	}
}

// StatementRan records that a statement of the session has run on this connection. The session's state is the one
// after it.
func (l *ConnState) StatementRan(c Command, s *Session) {
	switch c.Kind {
	case DiscardAll, DeallocateAll:
		l.prepared.Purge()
		l.evicted = l.evicted[:0]
	}
	l.settings = s.settings.onConnection()
}

// AdoptSettings records that the connection has the session's settings, as it has run all of the session's
// statements.
func (l *ConnState) AdoptSettings(s *Session) { l.settings = s.settings.onConnection() }

package pooling

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultPrepared is how many prepared statements a host connection keeps.
const DefaultPrepared = 100

// ConnState is what one host connection has been set up with.
type ConnState struct {
	settings Settings
	prepared *simplelru.LRU[uint64, *entry]
	next     int
	evicted  []string // names to close on the host
	Hits     uint64   // statements that were prepared here already
	Misses   uint64
}

type entry struct {
	statement *Statement
	name      string
}

// NewConnState makes one of a new connection; prepared bounds its statements, DefaultPrepared for 0.
func NewConnState(prepared int) *ConnState {
	if prepared <= 0 {
		prepared = DefaultPrepared
	}
	l := &ConnState{settings: NoSettings()}
	l.prepared, _ = simplelru.NewLRU(prepared, func(_ uint64, e *entry) { l.evicted = append(l.evicted, e.name) })
	return l
}

// SettingsQuery gives the statements that bring the connection to the session's settings: the fewest that do. They go in one query,
// before anything of the session's; Carried says that they have run.
func (l *ConnState) SettingsQuery(s *Session) string {
	if l.settings == s.settings {
		return ""
	}
	var reset, set []string
	if s.settings.Len() == 0 && l.settings.Len() > 1 {
		return "RESET ALL"
	}
	it := l.settings.Root().Iterator()
	for name, _, ok := it.Next(); ok; name, _, ok = it.Next() {
		if _, kept := s.settings.Get(name); !kept {
			reset = append(reset, "RESET "+ident(string(name)))
		}
	}
	it = s.settings.Root().Iterator()
	for name, value, ok := it.Next(); ok; name, value, ok = it.Next() {
		if old, had := l.settings.Get(name); !had || old != value {
			set = append(set, "SET "+ident(string(name))+" TO "+value)
		}
	}
	// With more to take back than to set, everything is taken back at once.
	if all := s.settings.Len() + 1; len(reset) > 1 && all < len(reset)+len(set) {
		reset, set = []string{"RESET ALL"}, set[:0]
		it = s.settings.Root().Iterator()
		for name, value, ok := it.Next(); ok; name, value, ok = it.Next() {
			set = append(set, "SET "+ident(string(name))+" TO "+value)
		}
	}
	return strings.Join(append(reset, set...), "; ")
}

// SettingsApplied says that what Carry gave has run.
func (l *ConnState) SettingsApplied(s *Session) { l.settings = s.settings }

// ident writes a setting's name: its parts are quoted where they need it.
func ident(name string) string {
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

// Use gives the name that a statement has on this connection; parse says that it has to be prepared there first.
func (l *ConnState) Use(st *Statement) (name string, parse bool) {
	if e, ok := l.prepared.Get(st.hash); ok && e.statement.Same(st) {
		l.Hits++
		return e.name, false
	}
	l.Misses++
	l.next++
	name = fmt.Sprintf("yk%d", l.next)
	if e, ok := l.prepared.Peek(st.hash); ok { // another statement of the same hash
		l.evicted = append(l.evicted, e.name)
	}
	l.prepared.Add(st.hash, &entry{st, name})
	return name, true
}

// Evicted gives the names to close on the host, since the last call.
func (l *ConnState) Evicted() []string {
	out := slices.Clone(l.evicted)
	l.evicted = l.evicted[:0]
	return out
}

// Forget says that a statement is not prepared there after all, or must be prepared anew: its plan no longer fits.
func (l *ConnState) Forget(st *Statement) {
	if e, ok := l.prepared.Peek(st.hash); ok && e.statement.Same(st) {
		l.prepared.Remove(st.hash)
	}
}

// StatementRan says that a statement of the session has run on this connection, in the session's state after it.
func (l *ConnState) StatementRan(c Command, s *Session) {
	switch c.Kind {
	case DiscardAll, DeallocateAll:
		l.prepared.Purge()
		l.evicted = l.evicted[:0]
	}
	l.settings = s.settings
}

// AdoptSettings says that the connection has the session's settings: it went through all that the session did.
func (l *ConnState) AdoptSettings(s *Session) { l.settings = s.settings }

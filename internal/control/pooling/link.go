package pooling

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultPrepared is how many prepared statements a host connection keeps.
const DefaultPrepared = 100

// Link is what one host connection has been set up with.
type Link struct {
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

// NewLink makes one of a new connection; prepared bounds its statements, DefaultPrepared for 0.
func NewLink(prepared int) *Link {
	if prepared <= 0 {
		prepared = DefaultPrepared
	}
	l := &Link{settings: NoSettings()}
	l.prepared, _ = simplelru.NewLRU(prepared, func(_ uint64, e *entry) { l.evicted = append(l.evicted, e.name) })
	return l
}

// Carry gives the statements that bring the connection to the session's settings: the fewest that do. They go in one query,
// before anything of the session's; Carried says that they have run.
func (l *Link) Carry(s *Session) string {
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

// Carried says that what Carry gave has run.
func (l *Link) Carried(s *Session) { l.settings = s.settings }

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
func (l *Link) Use(st *Statement) (name string, parse bool) {
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
func (l *Link) Evicted() []string {
	out := slices.Clone(l.evicted)
	l.evicted = l.evicted[:0]
	return out
}

// Forget says that a statement is not prepared there after all, or must be prepared anew: its plan no longer fits.
func (l *Link) Forget(st *Statement) {
	if e, ok := l.prepared.Peek(st.hash); ok && e.statement.Same(st) {
		l.prepared.Remove(st.hash)
	}
}

// Ran says that a statement of the session has run on this connection, in the session's state after it.
func (l *Link) Ran(c Command, s *Session) {
	switch c.Kind {
	case DiscardAll, DeallocateAll:
		l.prepared.Purge()
		l.evicted = l.evicted[:0]
	}
	l.settings = s.settings
}

// Follow says that the connection has the session's settings: it went through all that the session did.
func (l *Link) Follow(s *Session) { l.settings = s.settings }

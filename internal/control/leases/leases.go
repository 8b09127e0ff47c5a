// Package leases decides who holds a fleet-wide task's lease, for how long, and with which fencing token. It does no
// I/O and reads no clock: the replicated log hands it entries in one order at every voter, each stamped by the leader
// that proposed it with that leader's term and its monotonic clock, and a Machine applied to the same entries in the
// same order reaches the same state everywhere.
//
// Clocks of different processes are never compared. Within one term all stamps come from one leader's clock. When the
// first entry of a newer term arrives, every lease is given its full time to live anew from that entry's stamp (as
// etcd's lessor does on a leader change): whoever holds a lease cannot know how long the old leader's clock had run,
// so the machine waits the longest it may have to. An entry proposed in an older term and committed in a newer one is
// applied at the newest stamp of the present term; it was proposed before the present leader was elected, so that
// stamp lies after its sending and nothing it grants outlives what its holder believes.
//
// A grant's fencing token is the log index of the entry that granted it: it only grows, at every voter alike.
package leases

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Op is what an entry asks.
type Op uint8

const (
	// Acquire asks for a lease; by its holder, while it is held, it renews it with the same token.
	Acquire Op = iota + 1
	// Renew extends a held lease; it names the token it holds.
	Renew
	// Release gives a lease back at once; it names the token it holds.
	Release
	// Stamp carries a leader's clock and nothing else: a new leader proposes one first, so that leases are given
	// their time anew without waiting for a request.
	Stamp
)

func (o Op) String() string {
	switch o {
	case Acquire:
		return "acquire"
	case Renew:
		return "renew"
	case Release:
		return "release"
	case Stamp:
		return "stamp"
	}
	return fmt.Sprintf("op(%d)", uint8(o))
}

// Bounds of a lease's time to live. Under MinTTL a renewal cannot cross a congested loopback, let alone a link between
// zones; over MaxTTL a holder that died blocks its task for longer than any operator would wait.
const (
	MinTTL = 200 * time.Millisecond
	MaxTTL = 5 * time.Minute
	// MaxName bounds a lease's name and a holder's, in bytes: they travel in every entry.
	MaxName = 64
)

// Entry is one command of the replicated log.
type Entry struct {
	Op     Op
	Name   string        // the lease, e.g. "scout/cell-3"; empty for Stamp
	Holder string        // who asks; a gateway's name
	Token  uint64        // for Renew and Release: the token held
	TTL    time.Duration // for Acquire and Renew, within [MinTTL, MaxTTL]
	Term   uint64        // of the leader that proposed it
	Now    time.Duration // that leader's monotonic clock when it proposed it
}

// Check says whether an entry is well formed, before it is proposed and again when it is applied.
func (e Entry) Check() error {
	switch e.Op {
	case Acquire, Renew, Release:
		if e.Name == "" || len(e.Name) > MaxName {
			return fmt.Errorf("lease name %q: %w", e.Name, ErrBadEntry)
		}
		if e.Holder == "" || len(e.Holder) > MaxName {
			return fmt.Errorf("holder %q of lease %q: %w", e.Holder, e.Name, ErrBadEntry)
		}
		if e.Op != Release && (e.TTL < MinTTL || e.TTL > MaxTTL) {
			return fmt.Errorf("time to live %v of lease %q, not within [%v, %v]: %w", e.TTL, e.Name, MinTTL, MaxTTL,
				ErrBadEntry)
		}
		if e.Op != Acquire && e.Token == 0 {
			return fmt.Errorf("%v of lease %q names no token: %w", e.Op, e.Name, ErrBadEntry)
		}
	case Stamp:
	default:
		return fmt.Errorf("%v: %w", e.Op, ErrBadEntry)
	}
	if e.Term == 0 {
		return fmt.Errorf("%v of lease %q has no term: %w", e.Op, e.Name, ErrBadEntry)
	}
	return nil
}

// Errors of Apply. A refused entry changes nothing.
var (
	ErrBadEntry = errors.New("malformed lease entry")
	ErrHeld     = errors.New("held by another")
	ErrLost     = errors.New("not held with that token")
	ErrOldIndex = errors.New("log index not after the last applied")
)

// Lease is the state of one lease at the voters.
type Lease struct {
	Name   string
	Holder string
	Token  uint64        // the log index of its grant
	TTL    time.Duration // as last asked
	Expiry time.Duration // on the clock of the term in which the machine stands
}

// Result is what an applied entry answers to whoever proposed it.
type Result struct {
	Lease   Lease // as it stands after the entry; for a refusal, the lease that stood in the way, if any
	Granted bool  // a new token: the lease passed to this holder
	Err     error // nil, or wraps one of the errors above
}

// Machine is the replicated state of all leases. Its zero value is empty and ready. It is not safe for concurrent use.
type Machine struct {
	leases  map[string]*Lease
	term    uint64        // the newest term of an applied entry
	last    time.Duration // the newest stamp of that term
	applied uint64        // the index of the last applied entry
	granted uint64        // grants so far, for counters
}

// Apply applies the entry at a log index, which must grow from one call to the next. It never fails for an entry of
// another term or clock: the log's order decides, and every voter decides alike.
func (m *Machine) Apply(index uint64, e Entry) Result {
	if index <= m.applied {
		return Result{Err: fmt.Errorf("index %d after %d: %w", index, m.applied, ErrOldIndex)}
	}
	m.applied = index
	if err := e.Check(); err != nil {
		return Result{Err: err}
	}
	if m.leases == nil {
		m.leases = make(map[string]*Lease)
	}
	now := m.clock(e)
	if e.Op == Stamp {
		return Result{}
	}
	l := m.leases[e.Name]
	if l != nil && now >= l.Expiry {
		delete(m.leases, e.Name)
		l = nil
	}
	switch e.Op {
	case Acquire:
		if l == nil {
			l = &Lease{Name: e.Name, Holder: e.Holder, Token: index, TTL: e.TTL, Expiry: now + e.TTL}
			m.leases[e.Name] = l
			m.granted++
			return Result{Lease: *l, Granted: true}
		}
		if l.Holder != e.Holder {
			return Result{Lease: *l, Err: fmt.Errorf("lease %q by %s: %w", e.Name, l.Holder, ErrHeld)}
		}
		m.extend(l, now, e.TTL)
		return Result{Lease: *l}
	case Renew:
		if l == nil || l.Holder != e.Holder || l.Token != e.Token {
			return m.lost(l, e)
		}
		m.extend(l, now, e.TTL)
		return Result{Lease: *l}
	case Release:
		if l == nil || l.Holder != e.Holder || l.Token != e.Token {
			return m.lost(l, e)
		}
		delete(m.leases, e.Name)
		return Result{Lease: *l}
	}
	return Result{Err: fmt.Errorf("%v: %w", e.Op, ErrBadEntry)}
}

func (m *Machine) lost(l *Lease, e Entry) Result {
	r := Result{Err: fmt.Errorf("%v of lease %q by %s with token %d: %w", e.Op, e.Name, e.Holder, e.Token, ErrLost)}
	if l != nil {
		r.Lease = *l
	}
	return r
}

// extend never shortens: an older renewal applied after a newer one must not take time from the holder's view,
// which was computed from the newer one's sending.
func (m *Machine) extend(l *Lease, now, ttl time.Duration) {
	l.TTL = ttl
	if now+ttl > l.Expiry {
		l.Expiry = now + ttl
	}
}

// clock gives the time on the present term's clock at which an entry takes effect, and moves to a newer term.
func (m *Machine) clock(e Entry) time.Duration {
	switch {
	case e.Term > m.term:
		m.term, m.last = e.Term, e.Now
		for _, l := range m.leases {
			l.Expiry = e.Now + l.TTL
		}
	case e.Term == m.term:
		if e.Now > m.last {
			m.last = e.Now
		}
	}
	return m.last
}

// Holder tells who holds a lease at a time on the present term's clock; only a leader of that term can read one.
func (m *Machine) Holder(name string, now time.Duration) (Lease, bool) {
	l := m.leases[name]
	if l == nil || now >= l.Expiry {
		return Lease{}, false
	}
	return *l, true
}

// Term is the newest term of an applied entry, and Last that term's newest stamp.
func (m *Machine) Term() (term uint64, last time.Duration) { return m.term, m.last }

// Applied is the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

// Granted counts grants since the machine was empty.
func (m *Machine) Granted() uint64 { return m.granted }

// Leases lists the leases that stand at the last stamp, by name.
func (m *Machine) Leases() []Lease {
	out := make([]Lease, 0, len(m.leases))
	for _, l := range m.leases {
		if m.last < l.Expiry {
			out = append(out, *l)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

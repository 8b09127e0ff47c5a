// Package leases implements the replicated state machine that grants leases on fleet-wide tasks, each with a
// time to live and a fencing token, and the view that a holder has of its lease. It does no I/O and reads no
// clock. The replicated log delivers the same entries in the same order at every voter, each stamped by the
// leader that proposed it with its term and its monotonic clock, so that the Machines of all voters reach the
// same state.
//
// Clocks of different processes are never compared. Within one term all stamps come from one leader's clock.
// The first entry of a newer term extends every lease to its full time to live from that entry's stamp (as
// etcd's lessor does on a leader change): a voter cannot know how much of a lease had elapsed on the old
// leader's clock, so it assumes that none had. An entry proposed in an older term and committed in a
// newer one is applied at the newest stamp of the current term. It was proposed before the current leader was
// elected, so that stamp is later than the sending of its request, and the lease does not end at the voters
// before it ends at its holder.
//
// The fencing token of a lease is the log index of the entry that granted it, so it is the same at every
// voter and grows from one grant to the next.
package leases

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Op is the operation of an entry.
type Op uint8

const (
	// Acquire requests a lease. If the requester already holds it, the lease is renewed with the same token.
	Acquire Op = iota + 1
	// Renew extends a held lease, identified by its token.
	Renew
	// Release ends a held lease, identified by its token, before its expiry.
	Release
	// Stamp only carries the leader's clock. A new leader proposes one first, so that the leases are extended
	// to their full time to live without waiting for a request.
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

// Bounds of a lease's time to live. Below MinTTL a renewal may not arrive in time even over a congested
// loopback, let alone between zones. Above MaxTTL a crashed holder blocks its task for longer than any
// operator would wait.
const (
	MinTTL = 200 * time.Millisecond
	MaxTTL = 5 * time.Minute
	// MaxName is the maximum length in bytes of a lease's name and of a holder's name, as every entry
	// contains them.
	MaxName = 64
)

// Entry is one command of the replicated log.
type Entry struct {
	Op     Op
	Name   string        // the lease, e.g. "scout/cell-3"; empty for Stamp
	Holder string        // the name of the gateway that requests the operation
	Token  uint64        // for Renew and Release: the token of the held lease
	TTL    time.Duration // for Acquire and Renew, within [MinTTL, MaxTTL]
	Term   uint64        // term of the leader that proposed the entry
	Now    time.Duration // the leader's monotonic clock at the proposal
}

// Check returns an error if the entry is malformed. It is called before an entry is proposed and again when
// it is applied.
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
			return fmt.Errorf("%v of lease %q has no token: %w", e.Op, e.Name, ErrBadEntry)
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

// Errors in a Result of Apply. An entry that is refused with one of them changes no lease.
var (
	ErrBadEntry = errors.New("malformed lease entry")
	ErrHeld     = errors.New("held by another holder")
	ErrLost     = errors.New("not held with this token")
	ErrOldIndex = errors.New("log index is not after the last applied index")
)

// Lease is the state of one lease at the voters.
type Lease struct {
	Name   string
	Holder string
	Token  uint64        // log index of the entry that granted the lease
	TTL    time.Duration // as last requested
	Expiry time.Duration // on the clock of the machine's current term
}

// Result is the result of an applied entry, for the requester.
type Result struct {
	Lease   Lease // the lease after the entry, or after a refusal the conflicting lease, if any
	Granted bool  // whether the lease was granted to this holder with a new token
	Err     error // nil, or wraps one of the errors above
}

// Machine is the replicated state of all leases. Its zero value is empty and ready. It is not safe for
// concurrent use.
type Machine struct {
	leases    map[string]*Lease
	term      uint64        // newest term of an applied entry
	lastStamp time.Duration // newest stamp of that term
	applied   uint64        // index of the last applied entry
	granted   uint64        // number of grants, for counters
}

// Apply applies the entry at a log index. The index must grow from one call to the next. An entry of another
// term or clock is never an error: the order of the log decides, the same way at every voter.
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
	now := m.effectiveTime(e)
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
			return m.refuseNotHeld(l, e)
		}
		m.extend(l, now, e.TTL)
		return Result{Lease: *l}
	case Release:
		if l == nil || l.Holder != e.Holder || l.Token != e.Token {
			return m.refuseNotHeld(l, e)
		}
		delete(m.leases, e.Name)
		return Result{Lease: *l}
	}
	return Result{Err: fmt.Errorf("%v: %w", e.Op, ErrBadEntry)}
}

func (m *Machine) refuseNotHeld(l *Lease, e Entry) Result {
	r := Result{Err: fmt.Errorf("%v of lease %q by %s with token %d: %w", e.Op, e.Name, e.Holder, e.Token, ErrLost)}
	if l != nil {
		r.Lease = *l
	}
	return r
}

// extend extends a lease, and never shortens it: if an older renewal is applied after a newer one, the lease
// must not end before the holder's view of it, which was computed from the sending of the newer one.
func (m *Machine) extend(l *Lease, now, ttl time.Duration) {
	l.TTL = ttl
	if now+ttl > l.Expiry {
		l.Expiry = now + ttl
	}
}

// effectiveTime returns the time on the current term's clock at which an entry takes effect. An entry of a
// newer term starts that term and extends all leases to their full time to live.
func (m *Machine) effectiveTime(e Entry) time.Duration {
	switch {
	case e.Term > m.term:
		m.term, m.lastStamp = e.Term, e.Now
		for _, l := range m.leases {
			l.Expiry = e.Now + l.TTL
		}
	case e.Term == m.term:
		if e.Now > m.lastStamp {
			m.lastStamp = e.Now
		}
	}
	return m.lastStamp
}

// Holder returns the lease if it is held at now, which is a time on the current term's clock. Only the leader
// of that term can read this clock.
func (m *Machine) Holder(name string, now time.Duration) (Lease, bool) {
	l := m.leases[name]
	if l == nil || now >= l.Expiry {
		return Lease{}, false
	}
	return *l, true
}

// Term returns the newest term of an applied entry and the newest stamp of that term.
func (m *Machine) Term() (term uint64, last time.Duration) { return m.term, m.lastStamp }

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

// Granted returns the number of grants since the machine was empty.
func (m *Machine) Granted() uint64 { return m.granted }

// Leases returns the leases that are held at the newest stamp, sorted by name.
func (m *Machine) Leases() []Lease {
	out := make([]Lease, 0, len(m.leases))
	for _, l := range m.leases {
		if m.lastStamp < l.Expiry {
			out = append(out, *l)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

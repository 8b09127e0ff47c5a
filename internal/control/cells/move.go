package cells

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Stage is how far a move has come.
type Stage int

// A move goes through the stages in this order; it can be aborted in each before it is settled. To abort is safe as no
// write has gone to the new place before that.
const (
	Planned Stage = iota // it waits until fewer moves are under way
	Warming              // reads go over, as far as the new hosts are warm; between groups it only waits for them
	Fenced               // between groups: writes in flight end where they are, new ones wait
	Settled              // the tenant is served in the new place
	Aborted              // the tenant is served where it was
)

var stages = [...]string{"planned", "warming", "fenced", "settled", "aborted"}

func (s Stage) String() string { return stages[s] }

// Stages gives the names of all stages, in their order.
func Stages() []string { return stages[:] }

// MarshalText gives a stage's name.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a stage's name.
func (s *Stage) UnmarshalText(b []byte) error {
	i := slices.Index(stages[:], string(b))
	if i < 0 {
		return fmt.Errorf("unknown stage %q", b)
	}
	*s = Stage(i)
	return nil
}

// Errors of moves.
var (
	ErrNoTenant  = errors.New("no such tenant")
	ErrNoCell    = errors.New("no such cell")
	ErrNoGroup   = errors.New("no host of that group is listed")
	ErrMoving    = errors.New("the tenant is being moved")
	ErrNotMoving = errors.New("the tenant is not being moved")
	ErrThere     = errors.New("the tenant is there already")
	ErrTooMany   = errors.New("too many moves wait")
)

// waitingMoves bounds the moves that are planned and not begun.
const waitingMoves = 1000

// Order is what an operator asks for.
type Order struct {
	Tenant             string
	To                 string // the cell; "": it stays in its own
	FromGroup, ToGroup int    // where the data has been copied to another group; equal: the group stays
	Confirm            bool   // stay fenced until Confirm is called, so that several gateways fence before one settles
}

// Move is one move as it stands. Times are readings of the caller's clock.
type Move struct {
	Tenant    string        `json:"tenant"`
	From      string        `json:"from"`
	To        string        `json:"to"`
	FromGroup int           `json:"from_group,omitempty"`
	ToGroup   int           `json:"to_group,omitempty"`
	Stage     Stage         `json:"stage"`
	Reason    string        `json:"reason,omitempty"` // why it was aborted, or what it waits for
	Share     float64       `json:"share"`            // of the tenant's reads that go to the new place
	Held      int           `json:"held"`             // writes that wait at the fence
	Asked     time.Duration `json:"-"`
	Since     time.Duration `json:"-"` // of the stage

	t         *tenant
	to        *cell
	waiting   []waiting
	confirm   bool // still to be confirmed
	shareDebt float64
}

type waiting struct {
	id    string
	until time.Duration
}

// across says that the move leads to another group: only then can a write go wrong.
func (m *Move) across() bool { return m.FromGroup != m.ToGroup }

// snapshot is the move without what is the state's own.
func (m *Move) snapshot() Move {
	out := *m
	out.t, out.to, out.waiting, out.Held = nil, nil, nil, len(m.waiting)
	return out
}

// Move plans a move. The tenant is served meanwhile.
func (s *State) Move(now time.Duration, o Order) ([]Action, error) {
	t := s.dir.named(o.Tenant)
	if t == nil {
		return nil, fmt.Errorf("%w: %q", ErrNoTenant, o.Tenant)
	}
	to := t.cell
	if o.To != "" {
		if to = s.byName(o.To); to == nil {
			return nil, fmt.Errorf("%w: %q", ErrNoCell, o.To)
		}
	}
	m := &Move{Tenant: t.name, From: t.cell.Name, To: to.Name, FromGroup: o.FromGroup, ToGroup: o.ToGroup,
		Asked: now, Since: now, confirm: o.Confirm, t: t, to: to}
	switch {
	case t.move != nil:
		return nil, fmt.Errorf("%w: %q to %q, %s", ErrMoving, t.name, t.move.To, t.move.Stage)
	case m.across() && len(s.groups[o.ToGroup]) == 0:
		return nil, fmt.Errorf("%w: %d", ErrNoGroup, o.ToGroup)
	case to == t.cell && (!m.across() || t.routed(o.FromGroup) == o.ToGroup):
		return nil, fmt.Errorf("%w: %q in %q", ErrThere, t.name, to.Name)
	case m.across() && t.routed(o.FromGroup) != o.FromGroup:
		return nil, fmt.Errorf("%w: group %d of %q is served by %d", ErrThere, o.FromGroup, t.name, t.routed(o.FromGroup))
	case len(s.moves) >= waitingMoves:
		return nil, ErrTooMany
	}
	t.move = m
	s.moves = append(s.moves, m)
	s.enter(now, m, Planned, "")
	return s.Tick(now), nil
}

// Abort ends a move; the tenant stays where it was.
func (s *State) Abort(now time.Duration, tenant, why string) ([]Action, error) {
	t := s.dir.named(tenant)
	if t == nil || t.move == nil {
		return nil, fmt.Errorf("%w: %q", ErrNotMoving, tenant)
	}
	s.abort(now, t.move, why)
	return s.Tick(now), nil
}

// Confirm lets a move settle that was ordered to wait for it.
func (s *State) Confirm(now time.Duration, tenant string) ([]Action, error) {
	t := s.dir.named(tenant)
	if t == nil || t.move == nil {
		return nil, fmt.Errorf("%w: %q", ErrNotMoving, tenant)
	}
	t.move.confirm = false
	return s.Tick(now), nil
}

// routed gives the group that serves the tenant's data of a group.
func (t *tenant) routed(group int) int {
	if to, moved := t.routes[group]; moved {
		return to
	}
	return group
}

func (s *State) enter(now time.Duration, m *Move, stage Stage, reason string) {
	m.Stage, m.Since, m.Reason = stage, now, reason
	s.Stages[stage]++
	s.acts = append(s.acts, MoveChanged{m.snapshot()})
}

func (s *State) abort(now time.Duration, m *Move, why string) {
	m.Share = 0
	s.enter(now, m, Aborted, why)
	s.release(m)
}

func (s *State) settle(now time.Duration, m *Move) {
	m.Share = 1
	t := m.t
	t.put(m.to)
	t.moved = true
	if m.across() {
		// What the new group holds was copied there by now; its positions prove nothing of what went before.
		t.since = now
		if t.routes == nil {
			t.routes = map[int]int{}
		}
		t.routes[m.FromGroup] = m.ToGroup
	}
	s.enter(now, m, Settled, "")
	s.release(m)
}

// release lets what waited at the fence go on, and forgets the move.
func (s *State) release(m *Move) {
	for _, w := range m.waiting {
		s.acts = append(s.acts, Release{w.id})
	}
	m.waiting, m.t.move = nil, nil
	s.moves = slices.DeleteFunc(s.moves, func(o *Move) bool { return o == m })
	s.past = append(s.past, m.snapshot())
	if extra := len(s.past) - pastMoves; extra > 0 {
		s.past = slices.Delete(s.past, 0, extra)
	}
}

// pastMoves are shown after they have ended.
const pastMoves = 50

// advance takes a move as far as it can go now.
func (s *State) advance(now time.Duration, m *Move) {
	limits := s.cfg.Moves
	if m.Stage == Planned {
		under := 0
		for _, o := range s.moves {
			if o.Stage == Warming || o.Stage == Fenced {
				under++
			}
		}
		if under >= limits.AtOnce {
			m.Reason = "as many as may are under way"
			return
		}
		s.enter(now, m, Warming, "")
	}
	if m.Stage == Warming {
		warm, why := s.warmth(now, m)
		switch {
		case m.across():
			// Data that was written in one group shows in the other at no known time: reads go over with the writes.
			m.Share = 0
		default:
			m.Share = min(warm, float64(now-m.Since)/float64(max(limits.Ramp, 1)))
		}
		switch m.Reason = why; {
		case warm >= 1 && (m.across() || m.Share >= 1):
			s.enter(now, m, Fenced, "")
		case now-m.Since > limits.Warm+limits.Ramp:
			s.abort(now, m, "not warm in time: "+why)
			return
		}
	}
	if m.Stage == Fenced {
		switch {
		case !m.across(): // the same primary takes its writes before and after
			s.settle(now, m)
			return
		case m.t.writes > 0:
			m.Reason = "writes are in flight"
		case !s.primaryKnown(m.ToGroup):
			m.Reason = "the new group has no primary"
		case m.confirm:
			m.Reason = "to be confirmed"
			if now-m.Since <= limits.Warm {
				return // others have to get as far
			}
		default:
			s.settle(now, m)
			return
		}
		if now-m.Since > limits.Fence {
			s.abort(now, m, "not settled in time: "+m.Reason)
		}
	}
}

// warmth is the least part of its capacity that a host of the new place has.
func (s *State) warmth(now time.Duration, m *Move) (least float64, why string) {
	least = 1
	hosts := 0
	for group, r := range m.to.ranked {
		if m.across() && group != m.ToGroup {
			continue
		}
		for _, server := range s.fleet.lends(now, r, s.cfg.Size) {
			hosts++
			if seen, ok := s.fleet.seen[server]; !ok || seen.WarmUpWeight < least {
				least, why = seen.WarmUpWeight, server+" is cold"
			}
		}
	}
	if hosts == 0 {
		return 0, "no host of the new place can be read from"
	}
	return least, why
}

func (s *State) primaryKnown(group int) bool {
	for _, x := range s.fleet.seen {
		if x.Group == group && x.Primary && x.Usable {
			return true
		}
	}
	return false
}

// goesOver says whether this read of a tenant whose move warms goes to the new place: of any number in a row so many do
// as the share says.
func (m *Move) goesOver() bool {
	m.shareDebt += m.Share
	if m.shareDebt < 1 {
		return false
	}
	m.shareDebt--
	return true
}

package cells

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Stage is the stage of a move.
type Stage int

// Stages of a move, in order. A move can be aborted in any stage before Settled. That is safe because no
// write has gone to the new cell or group before.
const (
	Planned Stage = iota // waits until fewer moves are in progress
	Warming              // reads shift to the new cell as its hosts warm up; a move between groups only waits for warm hosts
	Fenced               // between groups: in-flight writes finish in the old group, new writes wait
	Settled              // the tenant is served in the new cell or group
	Aborted              // the tenant is served where it was before
)

var stages = [...]string{"planned", "warming", "fenced", "settled", "aborted"}

func (s Stage) String() string { return stages[s] }

// Stages returns the names of all stages in order.
func Stages() []string { return stages[:] }

// MarshalText returns the name of the stage.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a stage.
func (s *Stage) UnmarshalText(b []byte) error {
	i := slices.Index(stages[:], string(b))
	if i < 0 {
		return fmt.Errorf("unknown stage %q", b)
	}
	*s = Stage(i)
	return nil
}

// Errors returned by Move, Abort and Confirm.
var (
	ErrNoTenant  = errors.New("no such tenant")
	ErrNoCell    = errors.New("no such cell")
	ErrNoGroup   = errors.New("no host of that group is listed")
	ErrMoving    = errors.New("the tenant is being moved")
	ErrNotMoving = errors.New("the tenant is not being moved")
	ErrThere     = errors.New("the tenant is there already")
	ErrTooMany   = errors.New("too many moves are in progress or waiting")
)

// waitingMoves is the maximum number of moves that have not ended.
const waitingMoves = 1000

// Order is an operator's request to move a tenant.
type Order struct {
	Tenant             string
	To                 string // the new cell; if empty, the tenant stays in its cell
	FromGroup, ToGroup int    // the group whose data has been copied, and the group it was copied to; equal if the group stays
	Confirm            bool   // whether to stay fenced until Confirm is called, so that several gateways fence before one settles
}

// Move is the state of a move. Times are readings of the caller's clock.
type Move struct {
	Tenant    string        `json:"tenant"`
	From      string        `json:"from"`
	To        string        `json:"to"`
	FromGroup int           `json:"from_group,omitempty"`
	ToGroup   int           `json:"to_group,omitempty"`
	Stage     Stage         `json:"stage"`
	Reason    string        `json:"reason,omitempty"` // why it was aborted, or what it waits for
	Share     float64       `json:"share"`            // share of the tenant's reads that go to the new cell
	Held      int           `json:"held"`             // writes that wait at the fence
	Asked     time.Duration `json:"-"`
	Since     time.Duration `json:"-"` // when it entered the stage

	t         *tenant
	to        *cell
	waiting   []waiting
	confirm   bool // whether Confirm must still be called
	shareDebt float64
}

// waiting is a write that waits at a fence.
type waiting struct {
	id    string
	until time.Duration
}

// across reports whether the move leads to another group. Only such a move needs a fence for writes.
func (m *Move) across() bool { return m.FromGroup != m.ToGroup }

// snapshot returns a copy of the move without the references into the state.
func (m *Move) snapshot() Move {
	out := *m
	out.t, out.to, out.waiting, out.Held = nil, nil, nil, len(m.waiting)
	return out
}

// Move plans a move. The tenant is served throughout.
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
		return nil, fmt.Errorf("%w: group %d of tenant %q is served by group %d", ErrThere, o.FromGroup, t.name, t.routed(o.FromGroup))
	case len(s.moves) >= waitingMoves:
		return nil, ErrTooMany
	}
	t.move = m
	s.moves = append(s.moves, m)
	s.enter(now, m, Planned, "")
	return s.Tick(now), nil
}

// Abort ends a move. The tenant stays where it was.
func (s *State) Abort(now time.Duration, tenant, why string) ([]Action, error) {
	t := s.dir.named(tenant)
	if t == nil || t.move == nil {
		return nil, fmt.Errorf("%w: %q", ErrNotMoving, tenant)
	}
	s.abort(now, t.move, why)
	return s.Tick(now), nil
}

// Confirm lets a move settle that was ordered with Order.Confirm.
func (s *State) Confirm(now time.Duration, tenant string) ([]Action, error) {
	t := s.dir.named(tenant)
	if t == nil || t.move == nil {
		return nil, fmt.Errorf("%w: %q", ErrNotMoving, tenant)
	}
	t.move.confirm = false
	return s.Tick(now), nil
}

// routed returns the group that serves the tenant's data of a group.
func (t *tenant) routed(group int) int {
	if to, moved := t.routes[group]; moved {
		return to
	}
	return group
}

// enter puts a move into a stage and adds a Changed action.
func (s *State) enter(now time.Duration, m *Move, stage Stage, reason string) {
	m.Stage, m.Since, m.Reason = stage, now, reason
	s.Stages[stage]++
	s.acts = append(s.acts, Changed{m.snapshot()})
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
		// The data was copied to the new group by now. Positions of its log say nothing about earlier writes
		// in the old group.
		t.since = now
		if t.routes == nil {
			t.routes = map[int]int{}
		}
		t.routes[m.FromGroup] = m.ToGroup
	}
	s.enter(now, m, Settled, "")
	s.release(m)
}

// release resumes the writes that wait at the fence and removes the move from those in progress.
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

// pastMoves is the number of ended moves that are kept for reports.
const pastMoves = 50

// advance takes a move through as many stages as it can enter now.
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
			m.Reason = "the maximum number of moves is in progress"
			return
		}
		s.enter(now, m, Warming, "")
	}
	if m.Stage == Warming {
		warm, why := s.warmth(now, m)
		switch {
		case m.across():
			// It is unknown when a write in one group becomes visible in the other, so reads shift together
			// with the writes.
			m.Share = 0
		default:
			m.Share = min(warm, float64(now-m.Since)/float64(max(limits.Ramp, 1)))
		}
		switch m.Reason = why; {
		case warm >= 1 && (m.across() || m.Share >= 1):
			s.enter(now, m, Fenced, "")
		case now-m.Since > limits.Warm+limits.Ramp:
			s.abort(now, m, "the new hosts were not warm in time: "+why)
			return
		}
	}
	if m.Stage == Fenced {
		switch {
		case !m.across(): // the same primary takes the writes before and after the move
			s.settle(now, m)
			return
		case m.t.writes > 0:
			m.Reason = "writes are in flight"
		case !s.primaryKnown(m.ToGroup):
			m.Reason = "the new group has no primary"
		case m.confirm:
			m.Reason = "waiting for confirmation"
			if now-m.Since <= limits.Warm {
				return // other gateways still have to reach the fence
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

// warmth returns the lowest warm-up weight among the hosts of the new cell and, if it is below 1, why.
func (s *State) warmth(now time.Duration, m *Move) (least float64, why string) {
	least = 1
	hosts := 0
	for group, r := range m.to.ranked {
		if m.across() && group != m.ToGroup {
			continue
		}
		for _, server := range s.fleet.lends(now, r, s.cfg.Size) {
			hosts++
			if seen, ok := s.fleet.seen[server]; !ok || seen.Warmth < least {
				least, why = seen.Warmth, server+" is cold"
			}
		}
	}
	if hosts == 0 {
		return 0, "no host of the new cell is readable"
	}
	return least, why
}

// primaryKnown reports whether the group has a usable primary.
func (s *State) primaryKnown(group int) bool {
	for _, x := range s.fleet.seen {
		if x.Group == group && x.Primary && x.Usable {
			return true
		}
	}
	return false
}

// goesOver reports whether this read goes to the new cell. It spreads the reads evenly so that of any
// consecutive reads the configured share goes over.
func (m *Move) goesOver() bool {
	m.shareDebt += m.Share
	if m.shareDebt < 1 {
		return false
	}
	m.shareDebt--
	return true
}

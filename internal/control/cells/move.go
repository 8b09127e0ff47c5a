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
	ErrNoTenant     = errors.New("no such tenant")
	ErrNoCell       = errors.New("no such cell")
	ErrNoGroup      = errors.New("no host of that group is listed")
	ErrMoving       = errors.New("the tenant is being moved")
	ErrNotMoving    = errors.New("the tenant is not being moved")
	ErrAlreadyThere = errors.New("the tenant is there already")
	ErrTooManyMoves = errors.New("too many moves are in progress or waiting")
)

// maxMoves is the maximum number of moves that have not ended.
const maxMoves = 1000

// Order is an operator's request to move a tenant.
type Order struct {
	Tenant             string
	To                 string // the new cell; if empty, the tenant stays in its cell
	FromGroup, ToGroup int    // the group whose data has been copied, and the group it was copied to; equal if the group stays
	Confirm            bool   // whether to stay fenced until Confirm is called, so that several gateways fence before one settles
}

// Move is the state of a move. Times are readings of the caller's clock.
type Move struct {
	Tenant      string        `json:"tenant"`
	From        string        `json:"from"`
	To          string        `json:"to"`
	FromGroup   int           `json:"from_group,omitempty"`
	ToGroup     int           `json:"to_group,omitempty"`
	Stage       Stage         `json:"stage"`
	Reason      string        `json:"reason,omitempty"` // why it was aborted, or what it waits for
	Share       float64       `json:"share"`            // share of the tenant's reads that go to the new cell
	Held        int           `json:"held"`             // writes that wait at the fence
	RequestedAt time.Duration `json:"-"`
	StageSince  time.Duration `json:"-"` // when it entered the stage

	tenant      *tenant
	target      *cell
	waiting     []waiting
	confirm     bool // whether Confirm must still be called
	shareCredit float64
}

// waiting is a write that waits at a fence.
type waiting struct {
	id    string
	until time.Duration
}

// crossesGroups reports whether the move leads to another group. Only such a move needs a fence for writes.
func (m *Move) crossesGroups() bool { return m.FromGroup != m.ToGroup }

// fences reports whether writes to a group wait at the fence of the move.
func (m *Move) fences(group int) bool {
	return m.Stage == Fenced && m.crossesGroups() && group == m.FromGroup
}

// snapshot returns a copy of the move without the references into the state.
func (m *Move) snapshot() Move {
	out := *m
	out.tenant, out.target, out.waiting, out.Held = nil, nil, nil, len(m.waiting)
	return out
}

// Move plans a move. The tenant is served throughout.
func (s *State) Move(now time.Duration, o Order) ([]Action, error) {
	t := s.dir.lookup(o.Tenant)
	if t == nil {
		return nil, fmt.Errorf("%w: %q", ErrNoTenant, o.Tenant)
	}
	to := t.cell
	if o.To != "" {
		if to = s.cellByName(o.To); to == nil {
			return nil, fmt.Errorf("%w: %q", ErrNoCell, o.To)
		}
	}
	m := &Move{Tenant: t.name, From: t.cell.Name, To: to.Name, FromGroup: o.FromGroup, ToGroup: o.ToGroup,
		RequestedAt: now, StageSince: now, confirm: o.Confirm, tenant: t, target: to}
	switch {
	case t.move != nil:
		return nil, fmt.Errorf("%w: %q to %q, %s", ErrMoving, t.name, t.move.To, t.move.Stage)
	case m.crossesGroups() && len(s.groups[o.ToGroup]) == 0:
		return nil, fmt.Errorf("%w: %d", ErrNoGroup, o.ToGroup)
	case to == t.cell && (!m.crossesGroups() || t.groupFor(o.FromGroup) == o.ToGroup):
		return nil, fmt.Errorf("%w: %q in %q", ErrAlreadyThere, t.name, to.Name)
	case m.crossesGroups() && t.groupFor(o.FromGroup) != o.FromGroup:
		return nil, fmt.Errorf("%w: group %d of tenant %q is served by group %d", ErrAlreadyThere, o.FromGroup, t.name, t.groupFor(o.FromGroup))
	case len(s.moves) >= maxMoves:
		return nil, ErrTooManyMoves
	}
	t.move = m
	s.moves = append(s.moves, m)
	s.setStage(now, m, Planned, "")
	return s.Tick(now), nil
}

// Abort ends a move. The tenant stays where it was.
func (s *State) Abort(now time.Duration, tenant, reason string) ([]Action, error) {
	t := s.dir.lookup(tenant)
	if t == nil || t.move == nil {
		return nil, fmt.Errorf("%w: %q", ErrNotMoving, tenant)
	}
	s.abort(now, t.move, reason)
	return s.Tick(now), nil
}

// Confirm lets a move settle that was ordered with Order.Confirm.
func (s *State) Confirm(now time.Duration, tenant string) ([]Action, error) {
	t := s.dir.lookup(tenant)
	if t == nil || t.move == nil {
		return nil, fmt.Errorf("%w: %q", ErrNotMoving, tenant)
	}
	t.move.confirm = false
	return s.Tick(now), nil
}

// groupFor returns the group that serves the tenant's data of a group.
func (t *tenant) groupFor(group int) int {
	if to, moved := t.routes[group]; moved {
		return to
	}
	return group
}

// setStage puts a move into a stage and adds a MoveChanged action.
func (s *State) setStage(now time.Duration, m *Move, stage Stage, reason string) {
	m.Stage, m.StageSince, m.Reason = stage, now, reason
	s.Stages[stage]++
	s.actions = append(s.actions, MoveChanged{m.snapshot()})
	if stage >= Fenced {
		s.actions = append(s.actions, CheckoutsOutdated{})
	}
}

// abort ends a move without a change of the tenant's cell or group.
func (s *State) abort(now time.Duration, m *Move, reason string) {
	m.Share = 0
	s.setStage(now, m, Aborted, reason)
	s.releaseMove(m)
}

// settle assigns the tenant to the new cell and group and ends the move.
func (s *State) settle(now time.Duration, m *Move) {
	m.Share = 1
	t := m.tenant
	t.assign(m.target)
	t.moved = true
	if m.crossesGroups() {
		// The data was in the new group by now at the latest. A position of that group's log does not prove
		// that writes made in the old group before are included, so sessions that wrote must see movedAt.
		t.movedAt = now
		if t.routes == nil {
			t.routes = map[int]int{}
		}
		t.routes[m.FromGroup] = m.ToGroup
	}
	s.setStage(now, m, Settled, "")
	s.releaseMove(m)
}

// releaseMove resumes the writes that wait at the fence and removes the move from those in progress.
func (s *State) releaseMove(m *Move) {
	for _, w := range m.waiting {
		s.actions = append(s.actions, Release{w.id})
	}
	m.waiting, m.tenant.move = nil, nil
	s.moves = slices.DeleteFunc(s.moves, func(o *Move) bool { return o == m })
	s.past = append(s.past, m.snapshot())
	if extra := len(s.past) - maxPastMoves; extra > 0 {
		s.past = slices.Delete(s.past, 0, extra)
	}
}

// maxPastMoves is the number of ended moves that are kept for reports.
const maxPastMoves = 50

// advance takes a move through as many stages as it can enter now.
func (s *State) advance(now time.Duration, m *Move) {
	limits := s.cfg.Moves
	if m.Stage == Planned {
		inProgress := 0
		for _, o := range s.moves {
			if o.Stage == Warming || o.Stage == Fenced {
				inProgress++
			}
		}
		if inProgress >= limits.MaxConcurrent {
			m.Reason = "the maximum number of moves is in progress"
			return
		}
		s.setStage(now, m, Warming, "")
	}
	if m.Stage == Warming {
		warmup, reason := s.minWarmup(now, m)
		switch {
		case m.crossesGroups():
			// It is unknown when a write in one group becomes visible in the other, so reads shift together
			// with the writes.
			m.Share = 0
		default:
			m.Share = min(warmup, float64(now-m.StageSince)/float64(max(limits.MinRamp, 1)))
		}
		switch m.Reason = reason; {
		case warmup >= 1 && (m.crossesGroups() || m.Share >= 1):
			s.setStage(now, m, Fenced, "")
		case now-m.StageSince > limits.WarmTimeout+limits.MinRamp:
			s.abort(now, m, "the new hosts were not warm in time: "+reason)
			return
		}
	}
	if m.Stage == Fenced {
		switch {
		case !m.crossesGroups(): // the same primary takes the writes before and after the move
			s.settle(now, m)
			return
		case m.tenant.writes > 0:
			m.Reason = "writes are in flight"
		case s.kept[keptCheckout{m.tenant, m.FromGroup}] > 0: // they may be within transactions
			m.Reason = "sessions keep connections to the old group"
		case !s.primaryKnown(m.ToGroup):
			m.Reason = "the new group has no primary"
		case m.confirm:
			m.Reason = "waiting for confirmation"
			if now-m.StageSince <= limits.WarmTimeout {
				return // other gateways still have to reach the fence
			}
		default:
			s.settle(now, m)
			return
		}
		if now-m.StageSince > limits.FenceTimeout {
			s.abort(now, m, "not settled in time: "+m.Reason)
		}
	}
}

// minWarmup returns the lowest warm-up weight among the hosts of the new cell and, if it is below 1, why.
func (s *State) minWarmup(now time.Duration, m *Move) (lowest float64, reason string) {
	lowest = 1
	hosts := 0
	for group, r := range m.target.rankings {
		if m.crossesGroups() && group != m.ToGroup {
			continue
		}
		for _, server := range s.fleet.readHosts(now, r, s.cfg.Size) {
			hosts++
			if seen, ok := s.fleet.states[server]; !ok || seen.WarmUpWeight < lowest {
				lowest, reason = seen.WarmUpWeight, server+" is cold"
			}
		}
	}
	if hosts == 0 {
		return 0, "no host of the new cell is readable"
	}
	return lowest, reason
}

// primaryKnown reports whether the group has a usable primary.
func (s *State) primaryKnown(group int) bool {
	for _, x := range s.fleet.states {
		if x.Group == group && x.Primary && x.Usable {
			return true
		}
	}
	return false
}

// shiftsRead reports whether this read goes to the new cell. It spreads the reads evenly, so that of any
// consecutive reads the current share goes to the new cell.
func (m *Move) shiftsRead() bool {
	m.shareCredit += m.Share
	if m.shareCredit < 1 {
		return false
	}
	m.shareCredit--
	return true
}

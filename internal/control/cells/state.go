package cells

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokemast/balance"
)

// Action is what the caller has to do. It is a CellsUpdated, Release, HoldExpired, CheckoutsOutdated or
// MoveChanged.
type Action any

// CellsUpdated passes the current cells to the decision module.
type CellsUpdated struct{ Cells balance.Cells }

// Release ends the wait of a request at a fence. The caller calls Resume for it.
type Release struct{ ID string }

// HoldExpired refuses a request whose wait at a fence has timed out. Its client may retry after RetryAfter.
type HoldExpired struct {
	ID         string
	RetryAfter time.Duration
}

// CheckoutsOutdated means that host connections which requests keep may have to be given up. The caller ends the checkouts of
// those for which CheckoutOutdated returns true, as soon as they are outside of a transaction.
type CheckoutsOutdated struct{}

// MoveChanged reports that a move has entered another stage. It is for the log.
type MoveChanged struct{ Move Move }

// Request describes a request.
type Request struct {
	ID       string
	User     string // user of the connection
	Claim    string // the tenant that the request names, or empty
	Key      string
	Group    int
	Write    bool
	Keeps    bool          // keeps its host connection, on which its client may send anything later, also writes
	Deadline time.Duration // as a reading of the caller's clock
}

// Kind is the kind of a verdict.
type Kind int

// Kinds of verdicts.
const (
	Admitted  Kind = iota // the request goes to the decision module, with the cell and the group
	OverLimit             // the request exceeds a limit and is refused through the decision module, with RetryAfter
	Held                  // the request waits at a fence; Release or HoldExpired follows
	Denied                // the user of the connection may not act for the tenant
)

// Ticket represents an admitted request. The caller passes it to Done or Resume exactly once. The zero Ticket
// represents no request.
type Ticket struct {
	tenant     *tenant
	cell       *cell
	admittedAt time.Duration
	writes     bool         // whether it is counted among the tenant's in-flight writes
	held       bool         // whether it waits at a fence
	group      int          // the group that serves it
	kept       keptCheckout // as which it is counted; without a tenant if it keeps no host connection
}

// keptCheckout identifies the requests of a tenant that keep a host connection of the group that they name.
type keptCheckout struct {
	tenant *tenant
	group  int
}

// Group returns the group that serves the request, or 0 for the zero Ticket.
func (t Ticket) Group() int { return t.group }

// Verdict is the decision on a request.
type Verdict struct {
	Kind       Kind
	Cell       int           // the cell's ID in the decision module
	Group      int           // the group that serves the request
	Since      time.Duration // sessions that wrote must see all writes up to this time; 0 if there is no such bound
	RetryAfter time.Duration // when the client may retry, for OverLimit
	Reason     string        // why the request is refused, for OverLimit and Denied
	Ticket     Ticket        // for Admitted and Held
}

// State is the state of all cells, tenants and moves. It is not safe for concurrent use.
type State struct {
	cfg         Config
	dir         *directory
	cells       []*cell // sorted by name
	nextID      int
	fleet       fleet
	groups      map[int][]balance.Member
	withLimiter map[*tenant]struct{} // tenants that have a rate limiter
	kept        map[keptCheckout]int // number of requests that keep a host connection
	moves       []*Move
	past        []Move // moves that have ended, the latest last
	actions     []Action
	lastSweep   time.Duration       // when limiters were swept last
	Stages      [len(stages)]uint64 // number of moves that entered each stage
	Denied      uint64              // requests whose user may not act for their tenant
	Shed        uint64              // writes refused as too many waited at a fence, or for too long
}

// New returns a state for a configuration. The error names the invalid entry.
func New(c Config) (*State, error) {
	s := &State{fleet: fleet{members: map[string]balance.Member{}, states: map[string]balance.MemberView{},
		unusableSince: map[string]time.Duration{}}, groups: map[int][]balance.Member{}, withLimiter: map[*tenant]struct{}{}, kept: map[keptCheckout]int{},
		nextID: 1}
	if _, err := s.Configure(0, c); err != nil {
		return nil, err
	}
	return s, nil
}

// Configure applies another configuration. Held requests stay held and moves continue; moves whose tenant or
// cell is removed, or whose tenant is assigned to another cell, are aborted. On an error nothing changes.
func (s *State) Configure(now time.Duration, c Config) ([]Action, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	old := map[string]*cell{}
	for _, x := range s.cells {
		old[x.Name] = x
	}
	s.cfg, s.cells = c, nil
	for _, x := range c.Cells {
		n := old[x.Name]
		if n == nil {
			n = &cell{id: s.nextID}
			s.nextID++
		}
		if n.limiter == nil || n.Rate != x.Rate || n.Burst != x.Burst {
			n.limiter = newLimiter(x.Rate, x.Burst, c.Gateways)
		}
		n.Cell = x
		s.cells = append(s.cells, n)
	}
	slices.SortFunc(s.cells, func(a, b *cell) int { return cmp.Compare(a.Name, b.Name) })
	s.dir = newDirectory(c, s.cells, s.dir)
	for t := range s.withLimiter {
		if t.limiter == nil {
			delete(s.withLimiter, t)
		}
	}
	for _, m := range slices.Clone(s.moves) {
		switch {
		case s.dir.lookup(m.Tenant) != m.tenant:
			s.abort(now, m, "the tenant is removed from the configuration")
		case s.cellByName(m.To) != m.target:
			s.abort(now, m, "the target cell is removed from the configuration")
		case m.tenant.cell.Name != m.From:
			s.abort(now, m, "the configuration assigns the tenant to another cell")
		}
	}
	s.updateRankings()
	s.updateReadHosts(now)
	s.actions = append(s.actions, CheckoutsOutdated{})
	return s.Tick(now), nil
}

// cellByName returns the cell of that name, or nil if there is none.
func (s *State) cellByName(name string) *cell {
	for _, c := range s.cells {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Admit decides on a request. If the verdict is Admitted or Held, the caller must call Done or Resume with its
// ticket.
func (s *State) Admit(now time.Duration, request Request) Verdict {
	t, err := s.dir.find(request.User, request.Claim, request.Key)
	if err != nil {
		s.Denied++
		return Verdict{Kind: Denied, Reason: err.Error()}
	}
	return s.admit(now, request, t, true)
}

// Resume decides again on a request that was released from a fence. It ends the request's previous ticket.
func (s *State) Resume(now time.Duration, request Request, ticket Ticket) Verdict {
	s.Done(now, ticket)
	return s.admit(now, request, ticket.tenant, false)
}

// admit decides on a request of a tenant. A released request is not checked against the limits again.
func (s *State) admit(now time.Duration, request Request, t *tenant, enforceLimits bool) Verdict {
	m, c := t.move, t.cell
	v := Verdict{Group: t.groupFor(request.Group), Since: t.movedAt}
	switch {
	case m == nil:
	case m.Stage == Warming && !request.Write && m.shiftsRead():
		c = m.target
	case m.fences(request.Group) && (request.Write || request.Keeps):
		v.Kind = Held
	}
	v.Cell = c.id
	c.Taken++
	if enforceLimits {
		if after, reason := s.checkLimits(now, t, c); reason != "" {
			v.Kind, v.Reason, v.RetryAfter = OverLimit, reason, min(max(after, minRetryAfter), maxRetryAfter)
			return v
		}
	}
	if v.Kind == Held {
		// A held write was never sent, so its client can retry safely: it waits for half of its remaining time
		// at most.
		until := now + (request.Deadline-now)/2
		if len(m.waiting) >= s.cfg.Moves.MaxHeldWrites || until <= now {
			s.Shed++
			v.Kind, v.Reason, v.RetryAfter = OverLimit, "the tenant is being moved", s.fenceRemaining(now, m)
			return v
		}
		m.waiting = append(m.waiting, waiting{request.ID, until})
	}
	addHeld(t, c)
	v.Ticket = Ticket{tenant: t, cell: c, admittedAt: now, held: v.Kind == Held, group: v.Group}
	if request.Write && v.Kind == Admitted {
		t.writes++
		v.Ticket.writes = true
	}
	if request.Keeps && v.Kind == Admitted {
		v.Ticket.kept = keptCheckout{t, request.Group}
		s.kept[v.Ticket.kept]++
	}
	return v
}

// CheckoutOutdated reports whether the host connection that an admitted request keeps has to be given up: its tenant is served
// elsewhere now, or is about to be, its user may not act for that tenant any more, or it was admitted without cells.
func (s *State) CheckoutOutdated(request Request, ticket Ticket) bool {
	t, err := s.dir.find(request.User, request.Claim, request.Key)
	switch {
	case err != nil, t != ticket.tenant:
		return true
	case t.move != nil && t.move.fences(request.Group), t.groupFor(request.Group) != ticket.group:
		return true
	}
	return t.move == nil && t.cell != ticket.cell // during a move inside a group both cells serve it
}

// fenceRemaining estimates how long the fence of the move remains.
func (s *State) fenceRemaining(now time.Duration, m *Move) time.Duration {
	return min(max(m.StageSince+s.cfg.Moves.FenceTimeout-now, minRetryAfter), maxRetryAfter)
}

// UpdateMembers merges a member list, which is a snapshot or a delta.
func (s *State) UpdateMembers(now time.Duration, snapshot bool, list []balance.Member) []Action {
	if s.fleet.merge(snapshot, list) {
		s.updateRankings()
	}
	s.updateReadHosts(now)
	return s.Tick(now)
}

// ObserveMembers records the router's view of its members.
func (s *State) ObserveMembers(now time.Duration, seen []balance.MemberView) []Action {
	for _, x := range seen {
		if _, listed := s.fleet.members[x.Server]; !listed {
			continue
		}
		s.fleet.states[x.Server] = x
		if x.Usable {
			delete(s.fleet.unusableSince, x.Server)
		} else if _, known := s.fleet.unusableSince[x.Server]; !known {
			s.fleet.unusableSince[x.Server] = now
		}
	}
	s.updateReadHosts(now)
	return s.Tick(now)
}

// updateRankings recomputes the rankings of all cells.
func (s *State) updateRankings() {
	s.groups = s.fleet.groups()
	s.fleet.relaxed = 0
	for _, c := range s.cells {
		c.rankings = map[int]ranking{}
	}
	for group, hosts := range s.groups {
		ranked, relaxed := placeHosts(hosts, s.cells, s.cfg.Size, s.cfg.Overlap)
		s.fleet.relaxed += relaxed
		for i, c := range s.cells {
			c.rankings[group] = ranked[i]
		}
	}
}

// updateReadHosts recomputes which hosts every cell reads from and the capacity that they give it. If the
// hosts of any cell changed, it adds a CellsUpdated action.
func (s *State) updateReadHosts(now time.Duration) {
	changed := false
	weights, totalWeight := map[string]float64{}, 0.0
	for _, c := range s.cells {
		servers := map[string]bool{}
		for _, r := range c.rankings {
			for _, server := range s.fleet.readHosts(now, r, s.cfg.Size) {
				servers[server] = true
				weights[server] += c.Weight
			}
		}
		if c.readHosts == nil || !maps.Equal(c.readHosts, servers) {
			c.readHosts, changed = servers, true
		}
		totalWeight += c.Weight
	}
	for _, c := range s.cells {
		c.capacity = 0
		for server, seen := range s.fleet.states {
			switch {
			case seen.Primary:
				c.capacity += seen.Limit * c.Weight / totalWeight
			case c.readHosts[server]:
				c.capacity += seen.Limit * c.Weight / weights[server]
			}
		}
	}
	if changed {
		s.actions = append(s.actions, CellsUpdated{s.Cells()})
	}
}

// Cells returns the cells in the form that the decision module takes.
func (s *State) Cells() balance.Cells {
	out := balance.Cells{List: make([]balance.Cell, 0, len(s.cells))}
	for _, c := range s.cells {
		out.List = append(out.List, balance.Cell{ID: c.id, Weight: c.Weight, Reserve: s.cfg.ReservedShare, Servers: c.readHosts})
	}
	return out
}

// sweepEvery is the interval at which limiters of idle tenants are dropped.
const sweepEvery = time.Second

// Tick advances all moves and ends waits at fences that have timed out. While any move exists it must be
// called at least every 100 ms.
func (s *State) Tick(now time.Duration) []Action {
	for _, m := range slices.Clone(s.moves) {
		m.waiting = slices.DeleteFunc(m.waiting, func(w waiting) bool {
			if now < w.until {
				return false
			}
			s.Shed++
			s.actions = append(s.actions, HoldExpired{w.id, s.fenceRemaining(now, m)})
			return true
		})
		s.advance(now, m)
	}
	if now-s.lastSweep >= sweepEvery {
		s.sweep(now)
		s.lastSweep = now
	}
	actions := s.actions
	s.actions = nil
	return actions
}

package cells

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokemast/balance"
)

// Action is what the caller has to do. It is a Placed, Release, GiveUp or Changed.
type Action any

// Placed passes the current cells to the decision module.
type Placed struct{ Cells balance.Cells }

// Release ends the wait of a request at a fence. The caller calls Resume for it.
type Release struct{ ID string }

// GiveUp refuses a request whose wait at a fence has timed out. Its client may retry after After.
type GiveUp struct {
	ID    string
	After time.Duration
}

// Changed reports that a move has entered another stage. It is for the log.
type Changed struct{ Move Move }

// Ask describes a request.
type Ask struct {
	ID       string
	User     string // user of the connection
	Claim    string // the tenant that the request names, or empty
	Key      string
	Group    int
	Write    bool
	Deadline time.Duration // as a reading of the caller's clock
}

// Kind is the kind of a verdict.
type Kind int

// Kinds of verdicts.
const (
	Go     Kind = iota // the request goes to the decision module, with the cell and the group
	Over               // the request exceeds a limit and is refused through the decision module, with retryAfter After
	Hold               // the request waits at a fence; Release or GiveUp follows
	Denied             // the user of the connection may not act for the tenant
)

// Ticket represents an admitted request. The caller passes it to Done or Resume exactly once. The zero Ticket
// represents no request.
type Ticket struct {
	tenant *tenant
	cell   *cell
	taken  time.Duration
	writes bool // whether it is counted among the tenant's in-flight writes
	waits  bool // whether it waits at a fence
}

// Verdict is the decision on a request.
type Verdict struct {
	Kind   Kind
	Cell   int           // the cell's ID in the decision module
	Group  int           // the group that serves the request
	Since  time.Duration // sessions that wrote must see all writes up to this time; 0 if there is no such bound
	After  time.Duration // retryAfter of Over
	Reason string        // why the request is refused, for Over and Denied
	Ticket Ticket        // for Go and Hold
}

// State is the state of all cells, tenants and moves. It is not safe for concurrent use.
type State struct {
	cfg     Config
	dir     *directory
	cells   []*cell // sorted by name
	nextID  int
	fleet   fleet
	groups  map[int][]balance.Member
	limited map[*tenant]struct{} // tenants that have a rate limiter
	moves   []*Move
	past    []Move // moves that have ended, the latest last
	acts    []Action
	swept   time.Duration       // when limiters were swept last
	Stages  [len(stages)]uint64 // number of moves that entered each stage
	Denied  uint64              // requests whose user may not act for their tenant
	Shed    uint64              // writes refused as too many waited at a fence, or for too long
}

// New returns a state for a configuration. The error names the invalid entry.
func New(c Config) (*State, error) {
	s := &State{fleet: fleet{members: map[string]balance.Member{}, seen: map[string]balance.Seen{},
		badFrom: map[string]time.Duration{}}, groups: map[int][]balance.Member{}, limited: map[*tenant]struct{}{}, nextID: 1}
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
			n.limiter = limiter(x.Rate, x.Burst, c.Gateways)
		}
		n.Cell = x
		s.cells = append(s.cells, n)
	}
	slices.SortFunc(s.cells, func(a, b *cell) int { return cmp.Compare(a.Name, b.Name) })
	s.dir = newDirectory(c, s.cells, s.dir)
	for t := range s.limited {
		if t.limiter == nil {
			delete(s.limited, t)
		}
	}
	for _, m := range slices.Clone(s.moves) {
		switch {
		case s.dir.named(m.Tenant) != m.t:
			s.abort(now, m, "the tenant is removed from the configuration")
		case s.byName(m.To) != m.to:
			s.abort(now, m, "the target cell is removed from the configuration")
		case m.t.cell.Name != m.From:
			s.abort(now, m, "the configuration assigns the tenant to another cell")
		}
	}
	s.rank()
	s.replace(now)
	return s.Tick(now), nil
}

func (s *State) byName(name string) *cell {
	for _, c := range s.cells {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Admit decides on a request. If the verdict is Go or Hold, the caller must call Done or Resume with its
// ticket.
func (s *State) Admit(now time.Duration, a Ask) Verdict {
	t, err := s.dir.find(a.User, a.Claim, a.Key)
	if err != nil {
		s.Denied++
		return Verdict{Kind: Denied, Reason: err.Error()}
	}
	return s.admit(now, a, t, true)
}

// Resume decides again on a request that was released from a fence. It ends the request's previous ticket.
func (s *State) Resume(now time.Duration, a Ask, k Ticket) Verdict {
	s.Done(now, k)
	return s.admit(now, a, k.tenant, false)
}

func (s *State) admit(now time.Duration, a Ask, t *tenant, charged bool) Verdict {
	m, c := t.move, t.cell
	v := Verdict{Group: t.routed(a.Group), Since: t.since}
	switch {
	case m == nil:
	case m.Stage == Warming && !a.Write && m.goesOver():
		c = m.to
	case m.Stage == Fenced && a.Write && a.Group == m.FromGroup:
		v.Kind = Hold
	}
	v.Cell = c.id
	c.Taken++
	if charged {
		if after, reason := s.over(now, t, c); reason != "" {
			v.Kind, v.Reason, v.After = Over, reason, min(max(after, comeBackLeast), comeBackMost)
			return v
		}
	}
	if v.Kind == Hold {
		// A write waits for half of its remaining time at most, so that its client has time to retry.
		until := now + (a.Deadline-now)/2
		if len(m.waiting) >= s.cfg.Moves.Hold || until <= now {
			s.Shed++
			v.Kind, v.Reason, v.After = Over, "the tenant is being moved", s.left(now, m)
			return v
		}
		m.waiting = append(m.waiting, waiting{a.ID, until})
	}
	take(t, c)
	v.Ticket = Ticket{tenant: t, cell: c, taken: now, waits: v.Kind == Hold}
	if a.Write && v.Kind == Go {
		t.writes++
		v.Ticket.writes = true
	}
	return v
}

// left estimates how long the fence of the move remains.
func (s *State) left(now time.Duration, m *Move) time.Duration {
	return min(max(m.Since+s.cfg.Moves.Fence-now, comeBackLeast), comeBackMost)
}

// Hosts merges a member list, a whole one or changes only.
func (s *State) Hosts(now time.Duration, whole bool, list []balance.Member) []Action {
	if s.fleet.takes(whole, list) {
		s.rank()
	}
	s.replace(now)
	return s.Tick(now)
}

// Look records the router's view of its members.
func (s *State) Look(now time.Duration, seen []balance.Seen) []Action {
	for _, x := range seen {
		if _, listed := s.fleet.members[x.Server]; !listed {
			continue
		}
		s.fleet.seen[x.Server] = x
		if x.Usable {
			delete(s.fleet.badFrom, x.Server)
		} else if _, since := s.fleet.badFrom[x.Server]; !since {
			s.fleet.badFrom[x.Server] = now
		}
	}
	s.replace(now)
	return s.Tick(now)
}

// rank recomputes the rankings of all cells.
func (s *State) rank() {
	s.groups = s.fleet.groups()
	s.fleet.relaxed = 0
	for _, c := range s.cells {
		c.ranked = map[int]ranking{}
	}
	for group, hosts := range s.groups {
		ranked, relaxed := place(hosts, s.cells, s.cfg.Size, s.cfg.Overlap)
		s.fleet.relaxed += relaxed
		for i, c := range s.cells {
			c.ranked[group] = ranked[i]
		}
	}
}

// replace recomputes which hosts every cell reads from and the capacity that they give it. If the hosts of
// any cell changed, it adds a Placed action.
func (s *State) replace(now time.Duration) {
	changed := false
	weights, all := map[string]float64{}, 0.0
	for _, c := range s.cells {
		servers := map[string]bool{}
		for _, r := range c.ranked {
			for _, server := range s.fleet.lends(now, r, s.cfg.Size) {
				servers[server] = true
				weights[server] += c.Weight
			}
		}
		if c.servers == nil || !maps.Equal(c.servers, servers) {
			c.servers, changed = servers, true
		}
		all += c.Weight
	}
	for _, c := range s.cells {
		c.capacity = 0
		for server, seen := range s.fleet.seen {
			switch {
			case seen.Primary:
				c.capacity += seen.Limit * c.Weight / all
			case c.servers[server]:
				c.capacity += seen.Limit * c.Weight / weights[server]
			}
		}
	}
	if changed {
		s.acts = append(s.acts, Placed{s.Cells()})
	}
}

// Cells returns the cells in the form that the decision module takes.
func (s *State) Cells() balance.Cells {
	out := balance.Cells{List: make([]balance.Cell, 0, len(s.cells))}
	for _, c := range s.cells {
		out.List = append(out.List, balance.Cell{ID: c.id, Weight: c.Weight, Reserve: s.cfg.Reserve, Servers: c.servers})
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
			s.acts = append(s.acts, GiveUp{w.id, s.left(now, m)})
			return true
		})
		s.advance(now, m)
	}
	if now-s.swept >= sweepEvery {
		s.sweep(now)
		s.swept = now
	}
	acts := s.acts
	s.acts = nil
	return acts
}

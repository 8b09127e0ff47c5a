package cells

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokemast/balance"
)

// Action is what a caller has to do: one of Placed, Release, GiveUp, Changed.
type Action any

// CellsUpdated hands the decision module the cells as they are now.
type CellsUpdated struct{ Cells balance.Cells }

// Release says that a request which waited at a fence can go on: the caller asks for it again.
type Release struct{ ID string }

// HoldExpired says that a request has waited at a fence for as long as it may. It is refused, to come back after a while.
type HoldExpired struct {
	ID         string
	RetryAfter time.Duration
}

// MoveChanged says that a move has come to another stage; for the log.
type MoveChanged struct{ Move Move }

// Request is what a request says of itself.
type Request struct {
	ID       string
	User     string // of its connection
	Claim    string // the tenant that it names; "": none
	Key      string
	Group    int
	Write    bool
	Deadline time.Duration // a reading of the caller's clock
}

// Kind is what becomes of a request.
type Kind int

// Kinds of verdicts.
const (
	Admitted  Kind = iota // to the module, with the cell and the group
	OverLimit             // to the module as more than its share: refused, to come back after After
	Held                  // it waits at a fence; Release or GiveUp follows
	Denied                // its user may not act for its tenant
)

// Ticket stands for a request that was taken; its caller gives it back with Done, once. The zero Ticket is none.
type Ticket struct {
	tenant *tenant
	cell   *cell
	taken  time.Duration
	writes bool // counted among the tenant's writes in flight
	waits  bool // at a fence
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Kind       Kind
	Cell       int           // the module's number of it
	Group      int           // that serves it
	Since      time.Duration // a session that wrote must see all up to here; 0: no such time
	RetryAfter time.Duration // of Over
	Reason     string        // of Over and Denied
	Ticket     Ticket        // of Go and Hold
}

// State is not safe for concurrent use.
type State struct {
	cfg     Config
	dir     *directory
	cells   []*cell // by name
	nextID  int
	fleet   fleet
	groups  map[int][]balance.Member
	limited map[*tenant]struct{}
	moves   []*Move
	past    []Move
	acts    []Action
	swept   time.Duration
	Stages  [len(stages)]uint64 // how often a move came to each
	Denied  uint64              // requests whose user may not act for their tenant
	Shed    uint64              // writes refused as too many waited at a fence, or for too long
}

// New makes a state of a configuration; the error names the entry at fault.
func New(c Config) (*State, error) {
	s := &State{fleet: fleet{members: map[string]balance.Member{}, seen: map[string]balance.MemberView{},
		badFrom: map[string]time.Duration{}}, groups: map[int][]balance.Member{}, limited: map[*tenant]struct{}{}, nextID: 1}
	if _, err := s.Configure(0, c); err != nil {
		return nil, err
	}
	return s, nil
}

// Configure takes another configuration. What is held stays held, and moves go on, but those whose tenant or cell is gone:
// they are aborted. On an error all stays as it was.
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
			s.abort(now, m, "its tenant has left the file")
		case s.byName(m.To) != m.to:
			s.abort(now, m, "its cell has left the file")
		case m.t.cell.Name != m.From:
			s.abort(now, m, "the file names another cell for its tenant")
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

// Admit says what becomes of a request. On Go and Hold it is taken, and Done is owed.
func (s *State) Admit(now time.Duration, a Request) Verdict {
	t, err := s.dir.find(a.User, a.Claim, a.Key)
	if err != nil {
		s.Denied++
		return Verdict{Kind: Denied, Reason: err.Error()}
	}
	return s.admit(now, a, t, true)
}

// Resume says what becomes of a request that was released. Its ticket is given back before.
func (s *State) Resume(now time.Duration, a Request, k Ticket) Verdict {
	s.Done(now, k)
	return s.admit(now, a, k.tenant, false)
}

func (s *State) admit(now time.Duration, a Request, t *tenant, charged bool) Verdict {
	m, c := t.move, t.cell
	v := Verdict{Group: t.routed(a.Group), Since: t.since}
	switch {
	case m == nil:
	case m.Stage == Warming && !a.Write && m.goesOver():
		c = m.to
	case m.Stage == Fenced && a.Write && a.Group == m.FromGroup:
		v.Kind = Held
	}
	v.Cell = c.id
	c.Taken++
	if charged {
		if after, reason := s.over(now, t, c); reason != "" {
			v.Kind, v.Reason, v.RetryAfter = OverLimit, reason, min(max(after, comeBackLeast), comeBackMost)
			return v
		}
	}
	if v.Kind == Held {
		// What was never sent is not held past half of its time: its client can come back.
		until := now + (a.Deadline-now)/2
		if len(m.waiting) >= s.cfg.Moves.Hold || until <= now {
			s.Shed++
			v.Kind, v.Reason, v.RetryAfter = OverLimit, "the tenant is being moved", s.left(now, m)
			return v
		}
		m.waiting = append(m.waiting, waiting{a.ID, until})
	}
	take(t, c)
	v.Ticket = Ticket{tenant: t, cell: c, taken: now, waits: v.Kind == Held}
	if a.Write && v.Kind == Admitted {
		t.writes++
		v.Ticket.writes = true
	}
	return v
}

// left is about how long the fence still stands.
func (s *State) left(now time.Duration, m *Move) time.Duration {
	return min(max(m.Since+s.cfg.Moves.Fence-now, comeBackLeast), comeBackMost)
}

// UpdateMembers takes the list of hosts, whole or changes only.
func (s *State) UpdateMembers(now time.Duration, whole bool, list []balance.Member) []Action {
	if s.fleet.takes(whole, list) {
		s.rank()
	}
	s.replace(now)
	return s.Tick(now)
}

// ObserveMembers takes what the module believes of its members.
func (s *State) ObserveMembers(now time.Duration, seen []balance.MemberView) []Action {
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

// rank orders the hosts anew for every cell.
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

// replace says which hosts every cell reads from now, and how much they bear. The module hears of it where a set changed.
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
		s.acts = append(s.acts, CellsUpdated{s.Cells()})
	}
}

// Cells gives the cells as the module takes them.
func (s *State) Cells() balance.Cells {
	out := balance.Cells{List: make([]balance.Cell, 0, len(s.cells))}
	for _, c := range s.cells {
		out.List = append(out.List, balance.Cell{ID: c.id, Weight: c.Weight, Reserve: s.cfg.Reserve, Servers: c.servers})
	}
	return out
}

// sweepEvery is how often limiters of idle tenants are looked for.
const sweepEvery = time.Second

// Tick takes moves as far as they can go now; it is called at least every 100 ms while there are any.
func (s *State) Tick(now time.Duration) []Action {
	for _, m := range slices.Clone(s.moves) {
		m.waiting = slices.DeleteFunc(m.waiting, func(w waiting) bool {
			if now < w.until {
				return false
			}
			s.Shed++
			s.acts = append(s.acts, HoldExpired{w.id, s.left(now, m)})
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

package cells

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"yokemast/balance"
)

// CellReport is the state of a cell.
type CellReport struct {
	Cell     string              `json:"cell"`
	Weight   float64             `json:"weight"`
	Tenants  int                 `json:"tenants"`  // configured tenants and buckets
	Hosts    map[string][]string `json:"hosts"`    // its own hosts, by group
	Borrowed []string            `json:"borrowed"` // hosts it reads from in place of its own
	Held     int                 `json:"held"`
	MaxHeld  int                 `json:"most"` // the maximum of Held
	CellCount
}

// Report is the state of all cells and moves.
type Report struct {
	Cells    []CellReport `json:"cells"`
	Overlaps []NamedPair  `json:"overlaps"` // pairs of cells that share hosts
	Relaxed  int          `json:"relaxed"`  // slots that could not be filled within the overlap
	Moves    []Move       `json:"moves"`    // in progress
	Ended    []Move       `json:"past"`     // the latest that have ended
	Shed     uint64       `json:"shed"`
}

// NamedPair is a pair of cells and the number of hosts that they share in a group.
type NamedPair struct {
	A     string `json:"a"`
	B     string `json:"b"`
	Group int    `json:"group"`
	Hosts int    `json:"hosts"`
}

// Report returns the current state. The caller may keep the result.
func (s *State) Report() Report {
	out := Report{Cells: []CellReport{}, Overlaps: []NamedPair{}, Moves: []Move{}, Ended: slices.Clone(s.past), Shed: s.Shed,
		Relaxed: s.fleet.relaxed}
	tenants := s.tenants()
	for _, c := range s.cells {
		r := CellReport{Cell: c.Name, Weight: c.Weight, Tenants: tenants[c], Hosts: map[string][]string{},
			Borrowed: []string{}, Held: c.held, MaxHeld: c.maxHeld(s.cfg.QueueFactor, s.cfg.MinHeld), CellCount: c.CellCount}
		own := map[string]bool{}
		for group, ranked := range c.rankings {
			home := slices.Sorted(slices.Values(ranked.hosts[:ranked.own]))
			r.Hosts[fmt.Sprint(group)] = home
			for _, h := range home {
				own[h] = true
			}
		}
		for server := range c.readHosts {
			if !own[server] {
				r.Borrowed = append(r.Borrowed, server)
			}
		}
		slices.Sort(r.Borrowed)
		out.Cells = append(out.Cells, r)
	}
	out.Overlaps = overlaps(s.cells)
	for _, m := range s.moves {
		out.Moves = append(out.Moves, m.snapshot())
	}
	return out
}

// tenants returns the number of tenants and buckets of each cell.
func (s *State) tenants() map[*cell]int {
	out := map[*cell]int{}
	for _, t := range s.dir.tenants {
		out[t.cell]++
	}
	for _, t := range s.dir.buckets {
		out[t.cell]++
	}
	return out
}

// overlaps returns the pairs of cells that share hosts, sorted by cell and group.
func overlaps(cells []*cell) []NamedPair {
	out := []NamedPair{}
	for i, a := range cells {
		for _, b := range cells[i+1:] {
			for group, ra := range a.rankings {
				n := 0
				rb := b.rankings[group]
				for _, h := range ra.hosts[:ra.own] {
					if slices.Contains(rb.hosts[:rb.own], h) {
						n++
					}
				}
				if n > 0 {
					out = append(out, NamedPair{a.Name, b.Name, group, n})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b NamedPair) int {
		return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B), cmp.Compare(a.Group, b.Group))
	})
	return out
}

// Change is how the hosts of a cell would change in a group.
type Change struct {
	Cell    string   `json:"cell"`
	Group   int      `json:"group"`
	Tenants int      `json:"tenants"` // that the cell serves
	Lost    []string `json:"lost"`
	Gained  []string `json:"won"`
}

// Forecast is what would change if hosts were added or removed.
type Forecast struct {
	Changes  []Change    `json:"changes"`
	Overlaps []NamedPair `json:"overlaps"` // pairs of cells that share hosts
	Relaxed  int         `json:"relaxed"`
}

// Plan returns which cells would change if the hosts in added were listed and those in removed were not. It
// changes nothing.
func (s *State) Plan(added []balance.Member, removed []string) (Forecast, error) {
	members := map[string]balance.Member{}
	for name, m := range s.fleet.members {
		members[name] = m
	}
	for _, name := range removed {
		if _, listed := members[name]; !listed {
			return Forecast{}, fmt.Errorf("no such host: %q", name)
		}
		delete(members, name)
	}
	for _, m := range added {
		if _, listed := members[m.Server]; listed || m.Server == "" {
			return Forecast{}, fmt.Errorf("listed already: %q", m.Server)
		}
		members[m.Server] = m
	}
	if len(added)+len(removed) == 0 {
		return Forecast{}, errors.New("no host comes or goes")
	}
	next := fleet{members: members}
	out := Forecast{Changes: []Change{}}
	cells := make([]*cell, len(s.cells))
	for i, c := range s.cells {
		cells[i] = &cell{Cell: c.Cell, rankings: map[int]ranking{}}
	}
	for group, hosts := range next.groups() {
		ranked, relaxed := placeHosts(hosts, cells, s.cfg.Size, s.cfg.Overlap)
		out.Relaxed += relaxed
		for i, c := range cells {
			c.rankings[group] = ranked[i]
		}
	}
	tenants := s.tenants()
	for i, c := range s.cells {
		groups := map[int]bool{}
		for g := range c.rankings {
			groups[g] = true
		}
		for g := range cells[i].rankings {
			groups[g] = true
		}
		for g := range groups {
			before, after := c.rankings[g], cells[i].rankings[g]
			lost := difference(before.hosts[:before.own], after.hosts[:after.own])
			gained := difference(after.hosts[:after.own], before.hosts[:before.own])
			if len(lost)+len(gained) > 0 {
				out.Changes = append(out.Changes, Change{c.Name, g, tenants[c], lost, gained})
			}
		}
	}
	slices.SortFunc(out.Changes, func(a, b Change) int { return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Group, b.Group)) })
	out.Overlaps = overlaps(cells)
	return out, nil
}

// difference returns the elements of a that are not in b, sorted.
func difference(a, b []string) []string {
	out := []string{}
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	slices.Sort(out)
	return out
}

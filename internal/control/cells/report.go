package cells

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"yokemast/balance"
)

// CellReport is one cell as it stands.
type CellReport struct {
	Cell     string              `json:"cell"`
	Weight   float64             `json:"weight"`
	Tenants  int                 `json:"tenants"`  // of the file, and buckets of others
	Hosts    map[string][]string `json:"hosts"`    // its own, by group
	Borrowed []string            `json:"borrowed"` // read from in place of its own
	Held     int                 `json:"held"`
	MaxHeld  int                 `json:"most"` // that it may hold
	CellCount
}

// Report is the state of all cells and moves.
type Report struct {
	Cells    []CellReport `json:"cells"`
	Overlaps []NamedPair  `json:"overlaps"` // of cells that have hosts in common
	Relaxed  int          `json:"relaxed"`  // slots that could not be filled within the overlap
	Moves    []Move       `json:"moves"`    // under way
	Ended    []Move       `json:"past"`     // the last that ended
	Shed     uint64       `json:"shed"`
}

// NamedPair is two cells and what they have in common in a group.
type NamedPair struct {
	A     string `json:"a"`
	B     string `json:"b"`
	Group int    `json:"group"`
	Hosts int    `json:"hosts"`
}

// Report says how everything stands; the caller may keep it.
func (s *State) Report() Report {
	out := Report{Cells: []CellReport{}, Overlaps: []NamedPair{}, Moves: []Move{}, Ended: slices.Clone(s.past), Shed: s.Shed,
		Relaxed: s.fleet.relaxed}
	tenants := s.tenants()
	for _, c := range s.cells {
		r := CellReport{Cell: c.Name, Weight: c.Weight, Tenants: tenants[c], Hosts: map[string][]string{},
			Borrowed: []string{}, Held: c.held, MaxHeld: c.most(s.cfg.Queue, s.cfg.Floor), CellCount: c.CellCount}
		own := map[string]bool{}
		for group, ranked := range c.ranked {
			home := slices.Sorted(slices.Values(ranked.hosts[:ranked.home]))
			r.Hosts[fmt.Sprint(group)] = home
			for _, h := range home {
				own[h] = true
			}
		}
		for server := range c.servers {
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

// tenants counts those of each cell.
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

func overlaps(cells []*cell) []NamedPair {
	out := []NamedPair{}
	for i, a := range cells {
		for _, b := range cells[i+1:] {
			for group, ra := range a.ranked {
				n := 0
				rb := b.ranked[group]
				for _, h := range ra.hosts[:ra.home] {
					if slices.Contains(rb.hosts[:rb.home], h) {
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

// Change is what would become of a cell.
type Change struct {
	Cell    string   `json:"cell"`
	Group   int      `json:"group"`
	Tenants int      `json:"tenants"` // that it serves
	Lost    []string `json:"lost"`
	Gained  []string `json:"won"`
}

// Forecast is what would change if hosts came or went.
type Forecast struct {
	Changes  []Change    `json:"changes"`
	Overlaps []NamedPair `json:"overlaps"`
	Relaxed  int         `json:"relaxed"`
}

// Plan says which cells would change if the hosts in come were listed and those in go were gone. Nothing changes by it.
func (s *State) Plan(come []balance.Member, leave []string) (Forecast, error) {
	members := map[string]balance.Member{}
	for name, m := range s.fleet.members {
		members[name] = m
	}
	for _, name := range leave {
		if _, listed := members[name]; !listed {
			return Forecast{}, fmt.Errorf("no such host: %q", name)
		}
		delete(members, name)
	}
	for _, m := range come {
		if _, listed := members[m.Server]; listed || m.Server == "" {
			return Forecast{}, fmt.Errorf("listed already: %q", m.Server)
		}
		members[m.Server] = m
	}
	if len(come)+len(leave) == 0 {
		return Forecast{}, errors.New("no host comes or goes")
	}
	next := fleet{members: members}
	out := Forecast{Changes: []Change{}}
	cells := make([]*cell, len(s.cells))
	for i, c := range s.cells {
		cells[i] = &cell{Cell: c.Cell, ranked: map[int]ranking{}}
	}
	for group, hosts := range next.groups() {
		ranked, relaxed := place(hosts, cells, s.cfg.Size, s.cfg.Overlap)
		out.Relaxed += relaxed
		for i, c := range cells {
			c.ranked[group] = ranked[i]
		}
	}
	tenants := s.tenants()
	for i, c := range s.cells {
		groups := map[int]bool{}
		for g := range c.ranked {
			groups[g] = true
		}
		for g := range cells[i].ranked {
			groups[g] = true
		}
		for g := range groups {
			before, after := c.ranked[g], cells[i].ranked[g]
			lost := without(before.hosts[:before.home], after.hosts[:after.home])
			won := without(after.hosts[:after.home], before.hosts[:before.home])
			if len(lost)+len(won) > 0 {
				out.Changes = append(out.Changes, Change{c.Name, g, tenants[c], lost, won})
			}
		}
	}
	slices.SortFunc(out.Changes, func(a, b Change) int { return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Group, b.Group)) })
	out.Overlaps = overlaps(cells)
	return out, nil
}

func without(a, b []string) []string {
	out := []string{}
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	slices.Sort(out)
	return out
}

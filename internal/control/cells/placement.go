package cells

import (
	"cmp"
	"slices"
	"time"

	"yokemast/balance"
)

// ranking is a cell's order of preference among the hosts of a group; the first home of them are its own.
type ranking struct {
	hosts []string
	home  int
}

// place gives every cell its hosts among those of one group: pinned ones first, then shuffle sharding by weighted
// rendezvous, where a host that would give two cells more than overlap in common is passed over while there is another.
// It depends on nothing but its arguments, so that gateways agree without a word. A host that comes or goes changes only
// cells that win or held it, by one slot, and those whose choice the overlap had bound. relaxed counts slots that could
// not be filled within the overlap. Hosts are those that may take work, by name.
//
// Shuffle sharding: C. MacCárthaigh, "Workload isolation using shuffle-sharding", Amazon Builders' Library. Weighted
// rendezvous: J. Mosko and others; see draw.
func place(hosts []balance.Member, cells []*cell, size, overlap int) (ranked []ranking, relaxed int) {
	index := make(map[string]int, len(hosts))
	for i, h := range hosts {
		index[h.Server] = i
	}
	words := (len(hosts) + 63) / 64
	taken := make([][]uint64, len(cells))
	points := make([]float64, len(hosts))
	for n, c := range cells {
		order := make([]int, len(hosts))
		for i, h := range hosts {
			order[i], points[i] = i, draw(c.Name, h.Server, max(h.Weight, 1e-9))
		}
		slices.SortFunc(order, func(a, b int) int {
			return cmp.Or(cmp.Compare(points[a], points[b]), cmp.Compare(hosts[a].Server, hosts[b].Server))
		})
		own, set := make([]int, 0, size), make([]uint64, words)
		take := func(i int) {
			own = append(own, i)
			set[i/64] |= 1 << (i % 64)
		}
		for _, p := range c.Pins {
			if i, ok := index[p]; ok && len(own) < size {
				take(i)
			}
		}
		// over is how far above the overlap host i would bring the cell with any that came before it.
		over := func(i int) (most int) {
			for _, other := range taken[:n] {
				if other[i/64]&(1<<(i%64)) == 0 {
					continue
				}
				if shared := common(set, other) + 1 - overlap; shared > most {
					most = shared
				}
			}
			return most
		}
		for len(own) < min(size, len(hosts)) {
			best, least := -1, 0
			for _, i := range order {
				if set[i/64]&(1<<(i%64)) != 0 {
					continue
				}
				if x := over(i); best < 0 || x < least {
					best, least = i, x
				}
				if least == 0 {
					break
				}
			}
			if least > 0 {
				relaxed++
			}
			take(best)
		}
		taken[n] = set
		r := ranking{home: len(own), hosts: make([]string, 0, len(hosts))}
		for _, i := range own {
			r.hosts = append(r.hosts, hosts[i].Server)
		}
		for _, i := range order {
			if set[i/64]&(1<<(i%64)) == 0 {
				r.hosts = append(r.hosts, hosts[i].Server)
			}
		}
		ranked = append(ranked, r)
	}
	return ranked, relaxed
}

func common(a, b []uint64) (n int) {
	for i := range a {
		for x := a[i] & b[i]; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}

// fleet is what is known of the hosts.
type fleet struct {
	members map[string]balance.Member     // listed, and not gone
	seen    map[string]balance.MemberView // the module's last word on each
	badFrom map[string]time.Duration      // since when one is set aside
	relaxed int
}

// takes merges a list; it says whether the placement depends on what changed.
func (f *fleet) takes(whole bool, list []balance.Member) (changed bool) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		named[m.Server] = true
		old, known := f.members[m.Server]
		switch {
		case m.State != balance.Active:
			if known {
				delete(f.members, m.Server)
				changed = true
			}
		case !known || old.Group != m.Group || old.Weight != m.Weight || old.Primary != m.Primary:
			changed = true
			fallthrough
		default:
			f.members[m.Server] = m
		}
	}
	if whole {
		for server := range f.members {
			if !named[server] {
				delete(f.members, server)
				changed = true
			}
		}
	}
	for server := range f.seen {
		if _, listed := f.members[server]; !listed {
			delete(f.seen, server)
			delete(f.badFrom, server)
		}
	}
	return changed
}

// groups gives the listed hosts of every group, by name.
func (f *fleet) groups() map[int][]balance.Member {
	out := map[int][]balance.Member{}
	for _, m := range f.members {
		out[m.Group] = append(out[m.Group], m)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b balance.Member) int { return cmp.Compare(a.Server, b.Server) })
	}
	return out
}

// borrowAfter is how long a host must have been set aside before a cell borrows another in its place: a single error is
// over sooner, and a set that changes each time would confine nobody.
const borrowAfter = 500 * time.Millisecond

// reads says whether a cell can read from the host now. A primary is no replica; the module goes there by itself.
func (f *fleet) reads(now time.Duration, server string) bool {
	m, listed := f.members[server]
	s, seen := f.seen[server]
	switch {
	case !listed:
		return false
	case !seen:
		return !m.Primary
	case s.Primary:
		return false
	}
	from, bad := f.badFrom[server]
	return !bad || now-from < borrowAfter
}

// lends gives the hosts that a cell reads from in a group: its own, and in place of those it can't read from the next
// in its order. They are given back as soon as its own can be read from again.
func (f *fleet) lends(now time.Duration, r ranking, size int) []string {
	var out []string
	for i, server := range r.hosts {
		if len(out) >= size || i >= r.home && len(out) >= r.home {
			break
		}
		if f.reads(now, server) {
			out = append(out, server)
		}
	}
	return out
}

package cells

import (
	"cmp"
	"slices"
	"time"

	"yokemast/balance"
)

// ranking is a cell's order of preference among the hosts of a group. The first own hosts are assigned to the
// cell; the following ones replace those that are not readable.
type ranking struct {
	hosts []string
	own   int
}

// placeHosts assigns the hosts of one group to the cells. Pinned hosts come first, then hosts in the order of
// shuffle sharding by weighted rendezvous hashing; a host with which two cells would share more than overlap
// hosts is skipped while there is another one. The result depends on the arguments only, so that gateways
// agree without communicating. Adding or removing a host changes one slot of the cells that gain or held it,
// and cells whose choice was restricted by the overlap. The result relaxed counts the slots that could not be
// filled within the overlap. The hosts must be able to take work and be sorted by name.
//
// Shuffle sharding: C. MacCárthaigh, "Workload isolation using shuffle-sharding", Amazon Builders' Library.
// Weighted rendezvous hashing: J. Mosko and others; see rendezvousPoint.
func placeHosts(hosts []balance.Member, cells []*cell, size, overlap int) (ranked []ranking, relaxed int) {
	index := make(map[string]int, len(hosts))
	for i, h := range hosts {
		index[h.Server] = i
	}
	words := (len(hosts) + 63) / 64
	taken := make([][]uint64, len(cells))
	points := make([]float64, len(hosts))
	for n, cell := range cells {
		order := make([]int, len(hosts))
		for i, h := range hosts {
			order[i], points[i] = i, rendezvousPoint(cell.Name, h.Server, max(h.Weight, 1e-9))
		}
		slices.SortFunc(order, func(a, b int) int {
			return cmp.Or(cmp.Compare(points[a], points[b]), cmp.Compare(hosts[a].Server, hosts[b].Server))
		})
		own, set := make([]int, 0, size), make([]uint64, words)
		take := func(i int) {
			own = append(own, i)
			set[i/64] |= 1 << (i % 64)
		}
		for _, p := range cell.Pins {
			if i, ok := index[p]; ok && len(own) < size {
				take(i)
			}
		}
		// over returns by how much host i would exceed the overlap with any of the preceding cells.
		over := func(i int) (excess int) {
			for _, other := range taken[:n] {
				if other[i/64]&(1<<(i%64)) == 0 {
					continue
				}
				if shared := countCommon(set, other) + 1 - overlap; shared > excess {
					excess = shared
				}
			}
			return excess
		}
		for len(own) < min(size, len(hosts)) {
			best, lowest := -1, 0
			for _, i := range order {
				if set[i/64]&(1<<(i%64)) != 0 {
					continue
				}
				if x := over(i); best < 0 || x < lowest {
					best, lowest = i, x
				}
				if lowest == 0 {
					break
				}
			}
			if lowest > 0 {
				relaxed++
			}
			take(best)
		}
		taken[n] = set
		r := ranking{own: len(own), hosts: make([]string, 0, len(hosts))}
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

// countCommon returns the number of bits that are set in both sets.
func countCommon(a, b []uint64) (n int) {
	for i := range a {
		for x := a[i] & b[i]; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}

// fleet is the known state of the hosts.
type fleet struct {
	members       map[string]balance.Member     // listed hosts that are active
	states        map[string]balance.MemberView // the latest state that the router reported of each
	unusableSince map[string]time.Duration      // when each unusable host became unusable
	relaxed       int                           // slots that could not be filled within the overlap
}

// merge merges a member list, which is a snapshot or a delta. It reports whether anything changed that the
// placement depends on.
func (f *fleet) merge(snapshot bool, list []balance.Member) (changed bool) {
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
	if snapshot {
		for server := range f.members {
			if !named[server] {
				delete(f.members, server)
				changed = true
			}
		}
	}
	for server := range f.states {
		if _, listed := f.members[server]; !listed {
			delete(f.states, server)
			delete(f.unusableSince, server)
		}
	}
	return changed
}

// groups returns the listed hosts of every group, sorted by name.
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

// borrowAfter is how long a host must have been unusable before a cell reads from another host in its place.
// A single error is over sooner, and a set of hosts that changes with each error would isolate no tenant.
const borrowAfter = 500 * time.Millisecond

// readable reports whether a cell can read from the host now. Primaries do not count as replicas; the router
// falls back to them itself.
func (f *fleet) readable(now time.Duration, server string) bool {
	m, listed := f.members[server]
	s, seen := f.states[server]
	switch {
	case !listed:
		return false
	case !seen:
		return !m.Primary
	case s.Primary:
		return false
	}
	since, bad := f.unusableSince[server]
	return !bad || now-since < borrowAfter
}

// readHosts returns the hosts that a cell reads from in a group: its own hosts, and for each of them that is
// not readable the next host in the order of preference. Its own hosts replace the others as soon as they are
// readable again.
func (f *fleet) readHosts(now time.Duration, r ranking, size int) []string {
	var out []string
	for i, server := range r.hosts {
		if len(out) >= size || i >= r.own && len(out) >= r.own {
			break
		}
		if f.readable(now, server) {
			out = append(out, server)
		}
	}
	return out
}

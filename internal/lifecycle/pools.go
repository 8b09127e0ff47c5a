package lifecycle

import (
	"fmt"
	"maps"
	"slices"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/counters"
	"yokemast/internal/operator"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/control"
	"yokemast/internal/wire/frontend"
)

// pools gives the pool of a user and a database: the first that takes both; nil: there is none.
func pools(own *operator.File, classes []balance.Class) ([]*frontend.Pool, func(user, database string) *frontend.Pool, error) {
	list := own.Pools.Pools
	if len(list) == 0 {
		return nil, nil, nil
	}
	tenant := func(user string) string {
		if own.Cells == nil || len(own.Cells.Users[user]) == 0 {
			return ""
		}
		return own.Cells.Users[user][0]
	}
	need := map[string]balance.Need{}
	for _, c := range classes {
		need[c.Name] = c.Need
	}
	made := make([]*frontend.Pool, len(list))
	for i, p := range list {
		for _, name := range []string{p.Read, p.ReadAfterWrite, p.Write} {
			if n, ok := need[name]; !ok || (n == balance.Write) != (name == p.Write) {
				return nil, nil, fmt.Errorf("pools.pool: %q: class %q is not one of the platform's that fits", p.Name, name)
			}
		}
		made[i] = &frontend.Pool{Name: p.Name, Mode: p.Mode, Group: p.Group, Read: p.Read, ReadAfterWrite: p.ReadAfterWrite, Write: p.Write,
			MaxTransaction: p.MaxTransaction, MaxIdle: p.MaxIdle, MaxBatch: p.MaxBatch, MaxMessage: p.MaxMessage, MaxSessions: p.MaxSessions, Stats: &frontend.PoolStats{}}
	}
	takes := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return made, func(user, database string) *frontend.Pool {
		for i, p := range list {
			if takes(p.Users, user) && takes(p.Databases, database) && takes(p.Tenants, tenant(user)) {
				return made[i]
			}
		}
		return nil
	}, nil
}

// report says how the pools stand.
func report(made []*frontend.Pool, hosts *backend.Backend, counts *counters.Set) control.PoolsReport {
	out := control.PoolsReport{Pools: []control.PoolReport{}, Hosts: []control.HostReport{}, Hits: counts.PreparedHits.Get(),
		Misses: counts.PreparedMisses.Get(), NoneFree: counts.HostsFull.Get()}
	for _, p := range made {
		s := p.Stats
		r := control.PoolReport{Pool: p.Name, Mode: p.Mode.String(), Sessions: s.Sessions.Load(), Holding: s.CheckedOut.Load(),
			Batches: s.Batches.Load(), Transactions: s.Transactions.Load(), Lost: s.Lost.Load(), Cancels: s.Cancels.Load(),
			Pinned: map[string]int64{}}
		for i, name := range pooling.PinNames() {
			if n := s.Pins[i].Load(); n > 0 {
				r.Pinned[name] = n
			}
		}
		out.Pools = append(out.Pools, r)
	}
	stats, waiting, peak := hosts.Stats()
	out.Waiting, out.Peak = waiting, peak
	for _, server := range slices.Sorted(maps.Keys(stats)) {
		s := stats[server]
		out.Hosts = append(out.Hosts, control.HostReport{Host: server, Open: s.Open, Used: s.Used, Idle: s.Idle, Opening: s.Opening})
	}
	return out
}

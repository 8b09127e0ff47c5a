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

// newPools builds the pools of the operator's file. It also returns a function that finds the pool of a user and a
// database: the first one that matches both, or nil if none does.
func newPools(file *operator.File, classes []balance.Class) ([]*frontend.Pool, func(user, database string) *frontend.Pool, error) {
	list := file.Pools.Pools
	if len(list) == 0 {
		return nil, nil, nil
	}
	tenant := func(user string) string {
		if file.Cells == nil || len(file.Cells.Users[user]) == 0 {
			return ""
		}
		return file.Cells.Users[user][0]
	}
	need := map[string]balance.Need{}
	for _, c := range classes {
		need[c.Name] = c.Need
	}
	built := make([]*frontend.Pool, len(list))
	for i, p := range list {
		for _, name := range []string{p.Read, p.ReadAfterWrite, p.Write} {
			if n, ok := need[name]; !ok || (n == balance.Write) != (name == p.Write) {
				return nil, nil, fmt.Errorf("pools.pool: %q: class %q does not exist in the settings or does not fit", p.Name, name)
			}
		}
		built[i] = &frontend.Pool{Name: p.Name, Mode: p.Mode, Group: p.Group, Read: p.Read, ReadAfterWrite: p.ReadAfterWrite, Write: p.Write,
			MaxTransaction: p.MaxTransaction, MaxIdle: p.MaxIdle, MaxBatch: p.MaxBatch, MaxMessage: p.MaxMessage, MaxSessions: p.MaxSessions, Stats: &frontend.PoolStats{}}
	}
	matches := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return built, func(user, database string) *frontend.Pool {
		for i, p := range list {
			if matches(p.Users, user) && matches(p.Databases, database) && matches(p.Tenants, tenant(user)) {
				return built[i]
			}
		}
		return nil
	}, nil
}

// poolsReport returns the current state of the pools and of the host connections.
func poolsReport(pools []*frontend.Pool, hosts *backend.Backend, counts *counters.Set) control.PoolsReport {
	out := control.PoolsReport{Pools: []control.PoolReport{}, Hosts: []control.HostReport{}, Hits: counts.PreparedHits.Get(),
		Misses: counts.PreparedMisses.Get(), NoneFree: counts.HostsFull.Get()}
	for _, p := range pools {
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

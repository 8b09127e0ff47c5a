package frontend

import "sync"

// poolSlot is the place of one checkout among those that a pool allows at a time. It is released when the host has ended the
// work, before the client can know that: a session that asks once another's answer is there must find the slot free.
type poolSlot struct {
	stats *PoolStats
	once  sync.Once
}

// takeSlot counts a checkout of the pool.
func takeSlot(stats *PoolStats) *poolSlot {
	stats.CheckedOut.Add(1)
	return &poolSlot{stats: stats}
}

// release ends the count. Calls after the first have no effect.
func (s *poolSlot) release() { s.once.Do(func() { s.stats.CheckedOut.Add(-1) }) }

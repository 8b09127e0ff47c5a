// Package stall measures how long the machine itself holds processes up. Checks of times on real sockets allow for it: a rule
// that is broken because nobody got processor time is not the gateway's doing, and on a quiet machine nothing is allowed.
package stall

import (
	"sync"
	"time"
)

const (
	every  = time.Millisecond
	window = 2 * time.Second
	// least is the shortest stall that counts.
	least = 5 * time.Millisecond
)

type stall struct {
	at   time.Time
	long time.Duration
}

// Monitor watches for stalls until it is stopped.
type Monitor struct {
	stop chan struct{}

	mu   sync.Mutex
	seen []stall
	most stall
	last time.Time // when it looked last
}

// Start begins to watch.
func Start() *Monitor {
	m := &Monitor{stop: make(chan struct{}), last: time.Now()}
	go m.watch()
	return m
}

// Stop ends it.
func (m *Monitor) Stop() { close(m.stop) }

func (m *Monitor) watch() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(every):
			m.look(time.Now())
		}
	}
}

// look notes the stall that ends now, if there was one.
func (m *Monitor) look(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteLocked(now, now.Sub(m.last)-every)
	m.last = now
}

func (m *Monitor) noteLocked(now time.Time, long time.Duration) {
	if long < least {
		return
	}
	m.seen = append(m.seen, stall{now, long})
	if long > m.most.long {
		m.most = stall{now, long}
	}
	for now.Sub(m.seen[0].at) > window {
		m.seen = m.seen[1:]
	}
}

// Longest is the longest stall so far, and when it ended.
func (m *Monitor) Longest() (long time.Duration, ended time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most.long, m.most.at
}

// Recent is the sum of the stalls of the last two seconds. One that still holds the monitor itself up counts: who asks may have got a
// processor before it.
func (m *Monitor) Recent() (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if long := time.Since(m.last) - every; long >= least {
		sum = long
	}
	for _, s := range m.seen {
		if time.Since(s.at) <= window {
			sum += s.long
		}
	}
	return sum
}

// Package stall measures stalls of the machine, in which processes get no processor time. Checks of times on real sockets add
// the stalls to their limits, as the gateway is not responsible for them. On an idle machine nothing is added.
package stall

import (
	"sync"
	"time"
)

const (
	every  = time.Millisecond // interval of the measurements
	window = 2 * time.Second  // in which stalls count as recent
	// least is the minimum duration of a stall that counts.
	least = 5 * time.Millisecond
)

type stall struct {
	at   time.Time // end of the stall
	long time.Duration
}

// Monitor detects stalls until it is stopped.
type Monitor struct {
	stop chan struct{}

	mu   sync.Mutex
	seen []stall
	most stall
	last time.Time // time of the last measurement
}

// Start starts a monitor.
func Start() *Monitor {
	m := &Monitor{stop: make(chan struct{}), last: time.Now()}
	go m.watch()
	return m
}

// Stop stops the monitor.
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

// look records the stall that ends now, if there was one.
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

// Longest returns the duration and the end of the longest stall so far.
func (m *Monitor) Longest() (long time.Duration, ended time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most.long, m.most.at
}

// Lately returns the sum of the stalls of the last two seconds. A stall that still lasts for the monitor counts, as the caller
// may have got processor time before the monitor.
func (m *Monitor) Lately() (sum time.Duration) {
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

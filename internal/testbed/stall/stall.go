// Package stall measures stalls of the machine, in which processes get no processor time. Checks of times on real sockets add
// the stalls to their limits, as the gateway is not responsible for them. On an idle machine nothing is added.
package stall

import (
	"sync"
	"time"
)

const (
	interval = time.Millisecond // interval of the measurements
	window   = 2 * time.Second  // in which stalls count as recent
	// minStall is the minimum duration of a stall that counts.
	minStall = 5 * time.Millisecond
)

type stall struct {
	endedAt  time.Time // end of the stall
	duration time.Duration
}

// Monitor detects stalls until it is stopped.
type Monitor struct {
	stop chan struct{}

	mu         sync.Mutex
	recent     []stall
	longest    stall
	measuredAt time.Time // time of the last measurement
}

// Start starts a monitor.
func Start() *Monitor {
	m := &Monitor{stop: make(chan struct{}), measuredAt: time.Now()}
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
		case <-time.After(interval):
			m.measure(time.Now())
		}
	}
}

// measure records the stall that ends now, if there was one.
func (m *Monitor) measure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLocked(now, now.Sub(m.measuredAt)-interval)
	m.measuredAt = now
}

func (m *Monitor) recordLocked(now time.Time, duration time.Duration) {
	if duration < minStall {
		return
	}
	m.recent = append(m.recent, stall{now, duration})
	if duration > m.longest.duration {
		m.longest = stall{now, duration}
	}
	for now.Sub(m.recent[0].endedAt) > window {
		m.recent = m.recent[1:]
	}
}

// Longest returns the duration and the end of the longest stall so far.
func (m *Monitor) Longest() (duration time.Duration, ended time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest.duration, m.longest.endedAt
}

// Recent returns the sum of the stalls of the last two seconds. A stall that still lasts for the monitor counts, as the caller
// may have got processor time before the monitor.
func (m *Monitor) Recent() (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ongoing := time.Since(m.measuredAt) - interval; ongoing >= minStall {
		sum = ongoing
	}
	for _, s := range m.recent {
		if time.Since(s.endedAt) <= window {
			sum += s.duration
		}
	}
	return sum
}

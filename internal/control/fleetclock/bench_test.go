package fleetclock

import (
	"testing"
	"time"
)

func BenchmarkObserve(b *testing.B) {
	e, now := New(start), start
	b.ReportAllocs()
	for b.Loop() {
		now += 3 * time.Millisecond
		e.Observe(Observation{Host: "a", Position: now - 20*ms, PrimaryPosition: now - 20*ms, Sent: now - 60*ms, Received: now})
	}
}

package stall

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestStallsAreSummedAndForgotten(t *testing.T) {
	now := time.Now()
	m := &Monitor{measuredAt: now.Add(time.Hour)}
	m.recordLocked(now.Add(-window-time.Second), time.Second)
	m.recordLocked(now, 30*time.Millisecond)
	m.recordLocked(now, 20*time.Millisecond)
	m.recordLocked(now, minStall/2)
	if got := m.Recent(); got != 50*time.Millisecond {
		t.Errorf("recent stalls of %s", got)
	}
}

func TestLongestStallIsKept(t *testing.T) {
	m := &Monitor{}
	ended := time.Now().Add(-2 * window)
	m.recordLocked(ended, time.Second)
	m.recordLocked(ended.Add(2*window), 30*time.Millisecond)
	if long, at := m.Longest(); long != time.Second || !at.Equal(ended) {
		t.Errorf("longest stall %s, ended %s", long, at)
	}
}

func TestOngoingStallCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Monitor{measuredAt: time.Now()}
		time.Sleep(time.Second + interval) // without a measurement
		before := m.Recent()
		m.measure(time.Now())
		if after := m.Recent(); before != time.Second || after != time.Second {
			t.Errorf("stalls of %s during the stall, %s after it", before, after)
		}
	})
}

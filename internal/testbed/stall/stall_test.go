package stall

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestStallsAreSummedAndForgotten(t *testing.T) {
	now := time.Now()
	m := &Monitor{last: now.Add(time.Hour)}
	m.noteLocked(now.Add(-window-time.Second), time.Second)
	m.noteLocked(now, 30*time.Millisecond)
	m.noteLocked(now, 20*time.Millisecond)
	m.noteLocked(now, least/2)
	if got := m.Recent(); got != 50*time.Millisecond {
		t.Errorf("stalls of %s lately", got)
	}
}

func TestTheLongestStallIsKept(t *testing.T) {
	m := &Monitor{}
	ended := time.Now().Add(-2 * window)
	m.noteLocked(ended, time.Second)
	m.noteLocked(ended.Add(2*window), 30*time.Millisecond)
	if long, at := m.Longest(); long != time.Second || !at.Equal(ended) {
		t.Errorf("the longest stall was of %s until %s", long, at)
	}
}

func TestAStallThatGoesOnCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Monitor{last: time.Now()}
		time.Sleep(time.Second + every) // with nobody that looks
		before := m.Recent()
		m.look(time.Now())
		if after := m.Recent(); before != time.Second || after != time.Second {
			t.Errorf("stalls of %s as it goes on, %s as it is over", before, after)
		}
	})
}

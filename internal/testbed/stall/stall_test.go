package stall

import (
	"testing"
	"time"
)

func TestStallsAreSummedAndForgotten(t *testing.T) {
	m := &Monitor{}
	now := time.Now()
	m.note(now.Add(-window-time.Second), time.Second)
	m.note(now, 30*time.Millisecond)
	m.note(now, 20*time.Millisecond)
	m.note(now, least/2)
	if got := m.Lately(); got != 50*time.Millisecond {
		t.Errorf("stalls of %s lately", got)
	}
}

func TestTheLongestStallIsKept(t *testing.T) {
	m := &Monitor{}
	ended := time.Now().Add(-2 * window)
	m.note(ended, time.Second)
	m.note(ended.Add(2*window), 30*time.Millisecond)
	if long, at := m.Longest(); long != time.Second || !at.Equal(ended) {
		t.Errorf("the longest stall was of %s until %s", long, at)
	}
}

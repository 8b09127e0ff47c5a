package asking

import (
	"testing"
	"time"
)

func TestPauses(t *testing.T) {
	p := New(1)
	for mean := first; ; mean = min(2*mean, longest) {
		if got := p.Failed(true); got < mean/2 || got >= mean*3/2 {
			t.Fatalf("%s after a mean of %s", got, mean)
		}
		if mean == longest {
			break
		}
	}
	if got := p.Failed(false); got != soon {
		t.Errorf("a connection that failed: %s", got)
	}
	p.Answered()
	if got := p.Failed(true); got >= first*3/2 {
		t.Errorf("after an answer: %s", got)
	}
	if New(1).Failed(true) == New(2).Failed(true) {
		t.Error("two gateways pause for the same time")
	}
}

// line is a service that takes calls in turn, holds so many, and gives up those that have waited too long.
type line struct {
	each, patience time.Duration
	holds          int
	calls          []struct {
		who int
		at  time.Duration
	}
	free time.Duration // when the next is served
}

// answered gives who is answered by now; too late ones cost their turn all the same.
func (l *line) answered(now time.Duration) (ok, late []int) {
	for len(l.calls) > 0 && l.free <= now {
		c := l.calls[0]
		l.calls = l.calls[1:]
		if l.free-c.at > l.patience {
			late = append(late, c.who)
		} else {
			ok = append(ok, c.who)
		}
		l.free += l.each
	}
	return ok, late
}

// served says how many of the gateways that all start at once have been answered after a while.
func served(gateways int, within time.Duration, pause func(who int) time.Duration) int {
	const step = 10 * time.Millisecond
	l := &line{each: 140 * time.Millisecond, patience: 2 * time.Second, holds: 20}
	next, done := make([]time.Duration, gateways), map[int]bool{}
	for now := time.Duration(0); now < within; now += step {
		ok, late := l.answered(now)
		for _, who := range ok {
			done[who], next[who] = true, -1
		}
		for _, who := range late {
			next[who] = now + pause(who)
		}
		l.free = max(l.free, now)
		for who, at := range next {
			if at < 0 || at > now {
				continue
			}
			if len(l.calls) >= l.holds {
				next[who] = now + pause(who)
				continue
			}
			l.calls = append(l.calls, struct {
				who int
				at  time.Duration
			}{who, now})
			next[who] = 1 << 62 // it waits in the line
		}
	}
	return len(done)
}

// A release starts most of a fleet at once. With pauses all are answered; coming back at once, as before, most never are.
func TestALineDrains(t *testing.T) {
	for _, n := range []int{36, 80} {
		all := make([]*Pauses, n)
		for i := range all {
			all[i] = New(uint64(i))
		}
		if got := served(n, 60*time.Second, func(who int) time.Duration { return all[who].Failed(true) }); got != n {
			t.Errorf("%d of %d gateways have a list after a minute", got, n)
		}
		if got := served(n, 60*time.Second, func(int) time.Duration { return soon }); got > n/2 {
			t.Errorf("coming back at once %d of %d have one: this line shows nothing", got, n)
		}
	}
}

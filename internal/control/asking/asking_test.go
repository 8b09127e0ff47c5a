package asking

import (
	"testing"
	"time"
)

func TestPauses(t *testing.T) {
	p := New(1)
	seen := map[time.Duration]bool{}
	for range 1000 {
		got := p.Failed(true)
		if got < shortest || got >= longest {
			t.Fatalf("%s after a call that was turned away", got)
		}
		seen[got] = true
		if got := p.Failed(false); got != soon {
			t.Errorf("a connection that failed: %s", got)
		}
	}
	if len(seen) < 900 {
		t.Errorf("only %d pauses of 1000 differ", len(seen))
	}
	if New(1).Failed(true) == New(2).Failed(true) {
		t.Error("two gateways pause for the same time")
	}
}

// What discovery has to tell counts as told 6 s after it could be reached. A call that was turned away then may have waited
// for 2 s in vain, and the next is answered at once.
func TestTheNextCallComesInTime(t *testing.T) {
	const inVain, toldAfter = 2 * time.Second, 6 * time.Second
	for seed := range uint64(100) {
		p := New(seed)
		for range 100 {
			if got := inVain + p.Failed(true); got > toldAfter-200*time.Millisecond {
				t.Fatalf("seed %d: asked again %s after discovery could be reached", seed, got)
			}
		}
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

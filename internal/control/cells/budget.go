package cells

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// comeBackLeast and comeBackMost bound when a client that is over its share is told to come again.
	comeBackLeast = 20 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// tookMemory is how many requests the smoothed time of one reaches back.
	tookMemory = 32
)

// at turns a reading of the gateway's clock into the limiter's.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// limiter makes one of a rate over all gateways; nil without one.
func limiter(perSecond float64, burst, gateways int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	own := perSecond / float64(gateways)
	if burst == 0 {
		burst = int(own)
	} else {
		burst = (burst + gateways - 1) / gateways
	}
	return rate.NewLimiter(rate.Limit(own), max(1, burst))
}

// wait is when the limiter has its next token.
func wait(l *rate.Limiter, now time.Duration) time.Duration {
	return time.Duration((1 - l.TokensAt(at(now))) / float64(l.Limit()) * float64(time.Second))
}

// most is how many requests the cell may hold.
func (c *cell) most(queue float64, floor int) int {
	if c.Concurrency > 0 {
		return c.Concurrency
	}
	return max(floor, int(c.capacity*queue))
}

// drained is about when the cell will have room again: the time that its hosts take for what is held beyond them.
func (c *cell) drained() time.Duration {
	return time.Duration(float64(c.took) * float64(c.held) / max(1, c.capacity))
}

// over says whether one more request of the tenant goes beyond what it or its cell may hold, and when to come again. A
// tenant without a limit of its own may not have more than its even part while its cell is more than half full: so much
// of a cell is left to the others, whatever one of them does.
func (s *State) over(now time.Duration, t *tenant, c *cell) (after time.Duration, reason string) {
	most := c.most(s.cfg.Queue, s.cfg.Floor)
	switch {
	case c.held >= most:
		c.OverConcurrency++
		return c.drained(), "the cell holds as much as it may"
	case t.limits != nil && t.limits.Concurrency > 0:
		if int(t.held) >= t.limits.Concurrency {
			c.OverTenant++
			return c.drained(), "the tenant holds as much as it may"
		}
	case 2*c.held >= most && int(t.held)*max(1, c.active) >= most:
		c.OverTenant++
		return c.drained(), "the tenant holds its part of its cell"
	}
	if t.limits != nil && t.limits.Rate > 0 {
		if t.limiter == nil {
			t.limiter = limiter(t.limits.Rate, t.limits.Burst, s.cfg.Gateways)
			s.limited[t] = struct{}{}
		}
		if !t.limiter.AllowN(at(now), 1) {
			c.OverTenant++
			return wait(t.limiter, now), "the tenant's rate is spent"
		}
	}
	if c.limiter != nil && !c.limiter.AllowN(at(now), 1) {
		c.OverRate++
		return wait(c.limiter, now), "the cell's rate is spent"
	}
	return 0, ""
}

func take(t *tenant, c *cell) {
	if t.held == 0 {
		t.cell.active++
	}
	t.held++
	c.held++
}

// put serves the tenant in another cell from now on.
func (t *tenant) put(c *cell) {
	if t.held > 0 && t.cell != nil {
		t.cell.active--
		c.active++
	}
	t.cell = c
}

// Done ends a request that was taken: it has its answer, and no attempt of it is out.
func (s *State) Done(now time.Duration, k Ticket) {
	t, c := k.tenant, k.cell
	if t == nil {
		return
	}
	t.held--
	c.held--
	if k.writes {
		t.writes--
	}
	if t.held == 0 {
		t.cell.active--
	}
	if !k.waits {
		c.took += (now - k.taken - c.took) / tookMemory
	}
}

// sweep drops limiters that are full again: an idle tenant keeps none.
func (s *State) sweep(now time.Duration) {
	for t := range s.limited {
		if t.limiter == nil || t.limiter.TokensAt(at(now)) >= float64(t.limiter.Burst()) {
			t.limiter = nil
			delete(s.limited, t)
		}
	}
}

package cells

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// comeBackLeast and comeBackMost bound the retryAfter of requests that exceed a limit.
	comeBackLeast = 20 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// tookMemory is the number of requests over which a cell's request duration is smoothed.
	tookMemory = 32
)

// at converts a reading of the gateway's clock to the time.Time that the rate limiter takes.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// limiter returns a rate limiter for this gateway's share of a rate over all gateways, or nil if there is no
// rate.
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

// wait returns the time until the limiter has its next token.
func wait(l *rate.Limiter, now time.Duration) time.Duration {
	return time.Duration((1 - l.TokensAt(at(now))) / float64(l.Limit()) * float64(time.Second))
}

// most returns how many requests the cell may hold.
func (c *cell) most(queue float64, floor int) int {
	if c.Concurrency > 0 {
		return c.Concurrency
	}
	return max(floor, int(c.capacity*queue))
}

// drained estimates how long the hosts of the cell take for the requests held beyond their capacity.
func (c *cell) drained() time.Duration {
	return time.Duration(float64(c.took) * float64(c.held) / max(1, c.capacity))
}

// over checks one more request of the tenant against the limits of the tenant and of its cell. It returns an
// empty reason if the request is within them, else the reason and the retryAfter. A tenant without a
// concurrency limit of its own may hold no more than an even share of its cell while the cell is more than
// half full: no single tenant can take all of a cell's capacity from the others.
func (s *State) over(now time.Duration, t *tenant, c *cell) (after time.Duration, reason string) {
	most := c.most(s.cfg.Queue, s.cfg.Floor)
	switch {
	case c.held >= most:
		c.OverConcurrency++
		return c.drained(), "the cell's concurrency limit is reached"
	case t.limits != nil && t.limits.Concurrency > 0:
		if int(t.held) >= t.limits.Concurrency {
			c.OverTenant++
			return c.drained(), "the tenant's concurrency limit is reached"
		}
	case 2*c.held >= most && int(t.held)*max(1, c.active) >= most:
		c.OverTenant++
		return c.drained(), "the tenant holds its even share of its cell"
	}
	if t.limits != nil && t.limits.Rate > 0 {
		if t.limiter == nil {
			t.limiter = limiter(t.limits.Rate, t.limits.Burst, s.cfg.Gateways)
			s.limited[t] = struct{}{}
		}
		if !t.limiter.AllowN(at(now), 1) {
			c.OverTenant++
			return wait(t.limiter, now), "the tenant's rate limit is exceeded"
		}
	}
	if c.limiter != nil && !c.limiter.AllowN(at(now), 1) {
		c.OverRate++
		return wait(c.limiter, now), "the cell's rate limit is exceeded"
	}
	return 0, ""
}

// take counts an admitted request as held by its tenant and its cell.
func take(t *tenant, c *cell) {
	if t.held == 0 {
		t.cell.active++
	}
	t.held++
	c.held++
}

// put assigns the tenant to another cell.
func (t *tenant) put(c *cell) {
	if t.held > 0 && t.cell != nil {
		t.cell.active--
		c.active++
	}
	t.cell = c
}

// Done ends an admitted request that has its answer and no attempt in flight.
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

// sweep drops rate limiters whose tokens are full again, so that idle tenants hold none.
func (s *State) sweep(now time.Duration) {
	for t := range s.limited {
		if t.limiter == nil || t.limiter.TokensAt(at(now)) >= float64(t.limiter.Burst()) {
			t.limiter = nil
			delete(s.limited, t)
		}
	}
}

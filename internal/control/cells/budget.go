package cells

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRetryAfter and maxRetryAfter bound the retryAfter of requests that exceed a limit.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// durationSamples is the number of requests over which a cell's request duration is smoothed.
	durationSamples = 32
)

// limiterTime converts a reading of the gateway's clock to the time.Time that the rate limiter takes.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// newLimiter returns a rate limiter for this gateway's share of a rate over all gateways, or nil if there is
// no rate.
func newLimiter(perSecond float64, burst, gateways int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	perGateway := perSecond / float64(gateways)
	if burst == 0 {
		burst = int(perGateway)
	} else {
		burst = (burst + gateways - 1) / gateways
	}
	return rate.NewLimiter(rate.Limit(perGateway), max(1, burst))
}

// timeToToken returns the time until the limiter has its next token.
func timeToToken(l *rate.Limiter, now time.Duration) time.Duration {
	return time.Duration((1 - l.TokensAt(limiterTime(now))) / float64(l.Limit()) * float64(time.Second))
}

// maxHeld returns how many requests the cell may hold.
func (c *cell) maxHeld(queue float64, floor int) int {
	if c.Concurrency > 0 {
		return c.Concurrency
	}
	return max(floor, int(c.capacity*queue))
}

// drainTime estimates how long the hosts of the cell take for the requests held beyond their capacity.
func (c *cell) drainTime() time.Duration {
	return time.Duration(float64(c.avgDuration) * float64(c.held) / max(1, c.capacity))
}

// checkLimits checks one more request of the tenant against the limits of the tenant and of its cell. It
// returns an empty reason if the request is within them, else the reason and when the client may retry. A
// tenant without a concurrency limit of its own may hold no more than an even share of its cell while the
// cell is more than half full, so that no tenant can take all of a cell's capacity from the others.
func (s *State) checkLimits(now time.Duration, t *tenant, c *cell) (retryAfter time.Duration, reason string) {
	maxHeld := c.maxHeld(s.cfg.QueueFactor, s.cfg.MinHeld)
	switch {
	case c.held >= maxHeld:
		c.OverConcurrency++
		return c.drainTime(), "the cell's concurrency limit is reached"
	case t.limits != nil && t.limits.Concurrency > 0:
		if int(t.held) >= t.limits.Concurrency {
			c.OverTenant++
			return c.drainTime(), "the tenant's concurrency limit is reached"
		}
	case 2*c.held >= maxHeld && int(t.held)*max(1, c.activeTenants) >= maxHeld:
		c.OverTenant++
		return c.drainTime(), "the tenant holds its even share of its cell"
	}
	if t.limits != nil && t.limits.Rate > 0 {
		if t.limiter == nil {
			t.limiter = newLimiter(t.limits.Rate, t.limits.Burst, s.cfg.Gateways)
			s.withLimiter[t] = struct{}{}
		}
		if !t.limiter.AllowN(limiterTime(now), 1) {
			c.OverTenant++
			return timeToToken(t.limiter, now), "the tenant's rate limit is exceeded"
		}
	}
	if c.limiter != nil && !c.limiter.AllowN(limiterTime(now), 1) {
		c.OverRate++
		return timeToToken(c.limiter, now), "the cell's rate limit is exceeded"
	}
	return 0, ""
}

// addHeld counts an admitted request as held by its tenant and its cell.
func addHeld(t *tenant, c *cell) {
	if t.held == 0 {
		t.cell.activeTenants++
	}
	t.held++
	c.held++
}

// assign assigns the tenant to another cell.
func (t *tenant) assign(c *cell) {
	if t.held > 0 && t.cell != nil {
		t.cell.activeTenants--
		c.activeTenants++
	}
	t.cell = c
}

// Done ends an admitted request that has its answer and no attempt in flight.
func (s *State) Done(now time.Duration, ticket Ticket) {
	t, c := ticket.tenant, ticket.cell
	if t == nil {
		return
	}
	t.held--
	c.held--
	if ticket.writes {
		t.writes--
	}
	if k := ticket.kept; k.tenant != nil {
		if s.kept[k]--; s.kept[k] == 0 {
			delete(s.kept, k)
		}
	}
	if t.held == 0 {
		t.cell.activeTenants--
	}
	if !ticket.held {
		c.avgDuration += (now - ticket.admittedAt - c.avgDuration) / durationSamples
	}
}

// sweep drops rate limiters whose tokens are full again, so that idle tenants hold none.
func (s *State) sweep(now time.Duration) {
	for t := range s.withLimiter {
		if t.limiter == nil || t.limiter.TokensAt(limiterTime(now)) >= float64(t.limiter.Burst()) {
			t.limiter = nil
			delete(s.withLimiter, t)
		}
	}
}

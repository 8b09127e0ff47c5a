package hosts

import (
	"time"

	"yokemast/internal/testbed/rules"
)

// replication is how far a host of a cluster has applied the log. It never goes back: a host that restarts, or that is deposed,
// goes on from where it stood.
type replication struct {
	applied   time.Time // all commits up to here
	appliedAt time.Time // when that was looked at last
	lag       time.Duration
	speed     float64 // seconds of the log that it applies in a second; 0: it keeps up with any lag
	led       bool    // it has been the primary
}

// advance applies the log up to what the host has by now; end is where the log ends.
func (r *replication) advance(now, end time.Time) {
	target := end.Add(-r.lag)
	if r.applied.IsZero() {
		r.applied = target
	} else if r.speed > 0 {
		if reached := r.applied.Add(time.Duration(r.speed * float64(now.Sub(r.appliedAt)))); reached.Before(target) {
			target = reached
		}
	}
	if target.After(r.applied) {
		r.applied = target
	}
	r.appliedAt = now
}

// standing is a host's role and position at one moment.
type standing struct {
	role     string
	position time.Time
}

// standing says which role a host has now and how far it has applied the log.
func (c *Cluster) standing(h *Host) standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standingLocked(h)
}

func (c *Cluster) standingLocked(h *Host) standing {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.primary == h {
		h.log.applied, h.log.appliedAt, h.log.led = now, now, true
		return standing{Leader, now}
	}
	end := now
	if c.primary == nil {
		end = c.logEnd
	}
	h.log.advance(now, end)
	return standing{Follower, h.log.applied}
}

// Promote makes a host the primary; nil: there is none, and the log ends here until there is one.
func (c *Cluster) Promote(h *Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary != nil {
		c.standingLocked(c.primary) // it goes on from here
		if c.primary != h {
			c.tell(c.primary, rules.Deposed)
		}
	}
	if c.logEnd = time.Now(); c.primary == nil || h != nil {
		for _, o := range c.hosts {
			c.standingLocked(o)
		}
	}
	if c.primary = h; h != nil {
		c.tell(h, rules.Leads)
	}
}

func (c *Cluster) tell(h *Host, e rules.Leadership) {
	if h.Ledger != nil {
		h.Ledger.Leadership(h.ID, e)
	}
}

// SetLag lets a replica show what was committed that long ago. What it has shown already it goes on showing.
func (h *Host) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log.lag = lag
}

// SetApplySpeed bounds how many seconds of the log a replica applies in a second; 0: any number.
func (h *Host) SetApplySpeed(speed float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log.speed = speed
}

package hosts

import (
	"time"

	"yokemast/internal/testbed/rules"
)

// replication is the state of a host's replay of its cluster's log. The position never decreases: a host that restarts or is
// deposed continues from its last position.
type replication struct {
	applied    time.Time     // position: all commits up to this time are applied
	updatedAt  time.Time     // when applied was last updated
	lag        time.Duration // behind the end of the log
	speed      float64       // seconds of the log applied per second; 0 means no limit
	wasPrimary bool          // the host has been the primary
}

// advance applies the log, which ends at end, as far as lag and speed allow by now.
func (r *replication) advance(now, end time.Time) {
	target := end.Add(-r.lag)
	if r.applied.IsZero() {
		r.applied = target
	} else if r.speed > 0 {
		if reached := r.applied.Add(time.Duration(r.speed * float64(now.Sub(r.updatedAt)))); reached.Before(target) {
			target = reached
		}
	}
	if target.After(r.applied) {
		r.applied = target
	}
	r.updatedAt = now
}

// replicaState is a host's role and position at one time.
type replicaState struct {
	role     string
	position time.Time
}

// state returns a host's current role and position.
func (c *Cluster) state(h *Host) replicaState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateLocked(h)
}

func (c *Cluster) stateLocked(h *Host) replicaState {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.primary == h {
		h.replication.applied, h.replication.updatedAt, h.replication.wasPrimary = now, now, true
		return replicaState{Leader, now}
	}
	end := now
	if c.primary == nil {
		end = c.logEnd
	}
	h.replication.advance(now, end)
	return replicaState{Follower, h.replication.applied}
}

// Promote makes a host the primary. With nil there is no primary, and the log ends now until there is one.
func (c *Cluster) Promote(h *Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary != nil {
		c.stateLocked(c.primary) // apply the log up to now; the host continues from this position
		if c.primary != h {
			c.recordLeadership(c.primary, rules.Deposed)
		}
	}
	if c.logEnd = time.Now(); c.primary == nil || h != nil {
		for _, o := range c.hosts {
			c.stateLocked(o)
		}
	}
	if c.primary = h; h != nil {
		c.recordLeadership(h, rules.Leads)
	}
}

func (c *Cluster) recordLeadership(h *Host, change rules.Leadership) {
	if h.Ledger != nil {
		h.Ledger.Leadership(h.ID, change)
	}
}

// SetLag sets the lag of a replica. Commits that it has already applied stay visible.
func (h *Host) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replication.lag = lag
}

// SetApplySpeed limits the seconds of the log that a replica applies per second; 0 means no limit.
func (h *Host) SetApplySpeed(speed float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replication.speed = speed
}

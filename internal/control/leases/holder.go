package leases

import (
	"errors"
	"fmt"
	"time"
)

// HolderConfig says how cautious a holder is. Its clock runs at most Drift faster or slower than any voter's (a
// fraction: 0.01 is 1%, far more than the 100 parts in a million of an ordinary crystal, to cover a paused virtual
// machine's catch-up); Margin is further time given up before the voters could let the lease pass, for a process
// that is descheduled between its check and its act. Fencing at the acted-on side covers what a pause longer than the
// margin leaves.
type HolderConfig struct {
	TTL    time.Duration
	Drift  float64
	Margin time.Duration
}

// Check says whether a holder so configured stops acting before the voters could grant the lease to another: the
// voters wait at least TTL/(1+Drift) of real time from a stamp that lies after the request was sent; the holder stops
// (TTL(1-Drift) - Margin)/(1-Drift) after sending, which is earlier when Margin is more than 2·Drift·TTL.
func (c HolderConfig) Check() error {
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return fmt.Errorf("lease ttl %v not within [%v, %v]", c.TTL, MinTTL, MaxTTL)
	}
	if c.Drift < 0 || c.Drift > 0.1 {
		return fmt.Errorf("lease drift %v not within [0, 0.1]", c.Drift)
	}
	if need := time.Duration(2 * c.Drift * float64(c.TTL)); c.Margin <= need {
		return fmt.Errorf("lease margin %v must be over 2·drift·ttl = %v", c.Margin, need)
	}
	if c.Margin >= c.TTL/2 {
		return fmt.Errorf("lease margin %v leaves less than half of ttl %v to act in", c.Margin, c.TTL)
	}
	return nil
}

// ErrNotHeld is what Act says when the holder may not act.
var ErrNotHeld = errors.New("lease not held")

// Holding is one process's view of one lease it asked for. Its zero value holds nothing. Times are on the holder's
// own monotonic clock. It is not safe for concurrent use.
type Holding struct {
	cfg   HolderConfig
	token uint64
	floor uint64        // tokens at or below it were lost or released: no late answer brings them back
	until time.Duration // acts are allowed strictly before it
	sent  time.Duration // the sending of the newest request that was answered, for renewals
}

// NewHolding starts a view of a lease with a checked configuration.
func NewHolding(cfg HolderConfig) (*Holding, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Holding{cfg: cfg}, nil
}

// Granted takes an answer that the lease is held with a token, to a request sent at sentAt. An answer to a request
// sent earlier than the one that set the present view extends nothing.
func (h *Holding) Granted(sentAt time.Duration, token uint64) {
	until := sentAt + time.Duration(float64(h.cfg.TTL)*(1-h.cfg.Drift)) - h.cfg.Margin
	if token <= h.floor {
		// guards against the late answer to a renewal sent before a release, or before an answer that the lease was
		// lost: the voters may have granted it to another since (found by the model in model_test.go)
		return
	}
	if token != h.token {
		// guards against an answer to an older request, for a token that has since been replaced, bringing back the
		// older token: tokens only grow
		if token < h.token {
			return
		}
		h.token, h.until, h.sent = token, until, sentAt
		return
	}
	if until > h.until {
		h.until, h.sent = until, sentAt
	}
}

// Lost takes an answer that the lease is not held with the token, a leader's word that it passed on, or the
// holder's own release: from then on no answer brings that token back.
func (h *Holding) Lost(token uint64) {
	if token > h.floor {
		h.floor = token
	}
	if token == h.token {
		h.until = 0
	}
}

// Act gives the token to act with at now, or ErrNotHeld.
func (h *Holding) Act(now time.Duration) (uint64, error) {
	if h.token == 0 || now >= h.until {
		return 0, ErrNotHeld
	}
	return h.token, nil
}

// Token is the token of the present view, held or not; 0 for none.
func (h *Holding) Token() uint64 { return h.token }

// Until is the end of the present view on the holder's clock.
func (h *Holding) Until() time.Duration { return h.until }

// RenewDue says whether a renewal should be sent at now: a third of the time to live after the last answered
// request, so that two renewals may be lost before the holder stops.
func (h *Holding) RenewDue(now time.Duration) bool {
	return h.token != 0 && now < h.until && now >= h.sent+h.cfg.TTL/3
}

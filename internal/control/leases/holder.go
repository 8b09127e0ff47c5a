package leases

import (
	"errors"
	"fmt"
	"time"
)

// HolderConfig is the configuration of a lease holder. TTL is the requested time to live. Drift is the
// maximum difference between the rates of the holder's clock and of any voter's clock, as a fraction: 0.01 is
// 1%, far more than the 100 parts per million of an ordinary crystal, to allow for the clock of a virtual
// machine catching up after a pause. Margin is how much earlier the holder stops acting, to allow for a
// process that is descheduled between its check and its action. If a pause is longer than the margin, the
// resource is protected by fencing only.
type HolderConfig struct {
	TTL    time.Duration
	Drift  float64
	Margin time.Duration
}

// Check returns an error unless a holder with this configuration stops acting before the voters can grant the
// lease to another. It assumes that every clock runs at most Drift faster or slower than real time: the voters
// wait for at least TTL/(1+Drift) of real time from a stamp taken after the request was sent, and the holder
// stops at most (TTL(1-Drift) - Margin)/(1-Drift) after sending, which is earlier if Margin is more than
// 2·Drift·TTL.
func (c HolderConfig) Check() error {
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return fmt.Errorf("lease ttl %v not within [%v, %v]", c.TTL, MinTTL, MaxTTL)
	}
	if c.Drift < 0 || c.Drift > 0.1 {
		return fmt.Errorf("lease drift %v not within [0, 0.1]", c.Drift)
	}
	if need := time.Duration(2 * c.Drift * float64(c.TTL)); c.Margin <= need {
		return fmt.Errorf("lease margin %v must be greater than 2·drift·ttl = %v", c.Margin, need)
	}
	if c.Margin >= c.TTL/2 {
		return fmt.Errorf("lease margin %v must be less than half of ttl %v", c.Margin, c.TTL)
	}
	return nil
}

// ErrNotHeld is returned by Holding.Act if the holder may not act.
var ErrNotHeld = errors.New("lease not held")

// Holding is the view that one process has of a lease it requested. The zero value holds nothing. Times are
// on the monotonic clock of that process. It is not safe for concurrent use.
type Holding struct {
	cfg          HolderConfig
	token        uint64
	maxLostToken uint64        // tokens up to this one were lost or released; answers that grant them are ignored
	validUntil   time.Duration // the holder may act strictly before this time
	sentAt       time.Duration // when the newest answered request was sent, to schedule renewals
}

// NewHolding returns a view that holds nothing yet. It returns an error if the configuration is invalid.
func NewHolding(cfg HolderConfig) (*Holding, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Holding{cfg: cfg}, nil
}

// Granted handles the answer that the lease is held with a token, to a request sent at sentAt. An answer to a
// request sent earlier than the one that set the current end of the lease does not extend it.
func (h *Holding) Granted(sentAt time.Duration, token uint64) {
	until := sentAt + time.Duration(float64(h.cfg.TTL)*(1-h.cfg.Drift)) - h.cfg.Margin
	if token <= h.maxLostToken {
		// A late answer to a renewal that was sent before a release, or before an answer that the lease was
		// lost. The voters may have granted the lease to another holder since (found by the model in
		// model_test.go).
		return
	}
	if token != h.token {
		// A late answer with a token that has been replaced since must not reinstate it: tokens only grow.
		if token < h.token {
			return
		}
		h.token, h.validUntil, h.sentAt = token, until, sentAt
		return
	}
	if until > h.validUntil {
		h.validUntil, h.sentAt = until, sentAt
	}
}

// Lost marks a token as lost: the voters answered that the lease is not held with it or is held by another,
// or the holder released it. No later answer reinstates the token.
func (h *Holding) Lost(token uint64) {
	if token > h.maxLostToken {
		h.maxLostToken = token
	}
	if token == h.token {
		h.validUntil = 0
	}
}

// Act returns the token for an action at now, or ErrNotHeld.
func (h *Holding) Act(now time.Duration) (uint64, error) {
	if h.token == 0 || now >= h.validUntil {
		return 0, ErrNotHeld
	}
	return h.token, nil
}

// Token returns the latest token, whether it is still held or not, or 0 if there is none.
func (h *Holding) Token() uint64 { return h.token }

// Until returns the time on the holder's clock from which on the holder may not act.
func (h *Holding) Until() time.Duration { return h.validUntil }

// RenewDue reports whether a renewal should be sent at now: a third of the time to live after the last answered
// request, so that the holder can continue if two renewals are lost.
func (h *Holding) RenewDue(now time.Duration) bool {
	return h.token != 0 && now < h.validUntil && now >= h.sentAt+h.cfg.TTL/3
}

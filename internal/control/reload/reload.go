// Package reload computes the settings in force while they are updated under load. Each version is a complete
// set of settings. The package does no I/O and does not read a clock.
//
// New settings become binding some time after they were received, and requests sent under the old settings
// still arrive until then. During this grace period both versions apply: a new class can be used at once, a
// removed class is still accepted, and for a changed class the stricter value applies, whether it is the old
// or the new one. After the grace period only the newest version applies. A request keeps the class with
// which it arrived, while limits on its handling (attempts, the end of a drain) are always the current ones.
package reload

import (
	"math"
	"reflect"
	"slices"
	"time"

	"yokemast/balance"
)

// Versions holds the versions of one gateway's settings that may apply. It is not safe for concurrent use.
type Versions struct {
	grace    time.Duration
	inForce  balance.Settings
	next     *balance.Settings // newest version, which alone applies from settleAt on, or nil if inForce is the newest
	settleAt time.Duration
}

// New returns the versions of a gateway that starts with the settings s. A later version becomes binding
// after the grace period that starts when it is received.
func New(s balance.Settings, grace time.Duration) *Versions {
	return &Versions{grace: grace, inForce: s}
}

// InForce returns the settings that apply.
func (v *Versions) InForce() balance.Settings { return v.inForce }

// Update adds a version, which must be valid. It reports whether the version differs from the newest one.
func (v *Versions) Update(now time.Duration, s balance.Settings) (changed bool) {
	if newest := v.next; newest == nil && reflect.DeepEqual(v.inForce, s) || newest != nil && reflect.DeepEqual(*newest, s) {
		return false
	}
	v.inForce = combine(v.inForce, s)
	v.next, v.settleAt = &s, now+v.grace
	return true
}

// Due returns the end of the grace period of the newest version. ok is false if it has already been settled.
func (v *Versions) Due() (at time.Duration, ok bool) { return v.settleAt, v.next != nil }

// Settle puts the newest version alone into force if its grace period has ended, and reports whether it did.
func (v *Versions) Settle(now time.Duration) (changed bool) {
	if v.next == nil || now < v.settleAt {
		return false
	}
	v.inForce, v.next = *v.next, nil
	return true
}

// combine returns settings that comply with the old and with the new ones.
func combine(old, s balance.Settings) balance.Settings {
	s.MaxAttempts = min(old.MaxAttempts, s.MaxAttempts)
	s.MaxRetryAfter = min(old.MaxRetryAfter, s.MaxRetryAfter)
	s.RetryAfter = old.RetryAfter && s.RetryAfter
	s.DrainGrace = min(old.DrainGrace, s.DrainGrace)
	s.OverloadFactor = min(old.OverloadFactor, s.OverloadFactor)
	s.ColdShare = min(old.ColdShare, s.ColdShare)
	s.ColdTime = max(old.ColdTime, s.ColdTime)
	s.Probes, s.Cancel = old.Probes && s.Probes, old.Cancel && s.Cancel
	s.DroppedStayOpen = old.DroppedStayOpen && s.DroppedStayOpen
	s.TokensCarried = old.TokensCarried && s.TokensCarried // unless both have tokens, the router remembers the sessions' writes
	if old.Checks == balance.ChecksNone {
		s.Checks = balance.ChecksNone // do not rely on members to check reads if they did not before
	}
	s.Classes = slices.Clone(s.Classes)
	for _, o := range old.Classes {
		i := slices.IndexFunc(s.Classes, func(c balance.Class) bool { return c.Name == o.Name })
		if i < 0 {
			s.Classes = append(s.Classes, o)
			continue
		}
		s.Classes[i] = stricter(o, s.Classes[i])
	}
	return s
}

// stricter returns a class that keeps the guarantees of both versions of a class.
func stricter(old, c balance.Class) balance.Class {
	c.Effect = max(old.Effect, c.Effect) // in the order safe, keyed, unsafe
	c.Scope = max(old.Scope, c.Scope)    // in the order all, zone, group
	c.KeyTTL = min(old.KeyTTL, c.KeyTTL)
	c.Deadline = min(old.Deadline, c.Deadline)
	c.Need, c.Bound = strictestNeed(old, c)
	return c
}

// strictestNeed returns how current data must be to satisfy both classes. The need of a write cannot be
// combined with that of a read, so the new one applies if either class is a write.
func strictestNeed(old, c balance.Class) (balance.Need, time.Duration) {
	switch {
	case old.Need == balance.Write || c.Need == balance.Write || old.Need == balance.AnyData:
		return c.Need, c.Bound
	case c.Need == balance.AnyData:
		return old.Need, old.Bound
	case old.Need == balance.Latest || c.Need == balance.Latest:
		return balance.Latest, 0
	}
	bound := min(maxAge(old), maxAge(c))
	switch {
	case old.Need == balance.Bounded && c.Need == balance.Bounded:
		return balance.Bounded, bound
	case bound == 0: // a bounded read of age 0; Session cannot express that, as its bound 0 means none
		return balance.Latest, 0
	case bound == unbounded:
		return balance.Session, 0
	}
	return balance.Session, bound
}

// unbounded exceeds any bound on the age of data.
const unbounded = time.Duration(math.MaxInt64)

// maxAge returns the maximum age of data for a class of bounded or session reads.
func maxAge(c balance.Class) time.Duration {
	if c.Need == balance.Session && c.Bound == 0 {
		return unbounded
	}
	return c.Bound
}

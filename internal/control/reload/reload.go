// Package reload says which version of the settings is in force from when, while staff change them under load. Versions
// come whole; it does no I/O and has no clock.
//
// New settings are binding some time after they were given, and what was sent under the old ones still arrives until then.
// So for a grace both hold: a class that appears is in use at once, one that vanishes is still taken, and of one that
// changes the stricter word counts, whether the old or the new one says it. After the grace the newest version holds alone.
// A request keeps the class that it came with; only limits on what is done for it (attempts, the end of a drain) are always
// those of now.
package reload

import (
	"math"
	"reflect"
	"slices"
	"time"

	"yokemast/balance"
)

// Versions is the settings of one gateway over time. It is not safe for concurrent use.
type Versions struct {
	grace   time.Duration
	inForce balance.Settings
	next    *balance.Settings // alone in force from settleAt on
	settle  time.Duration
}

// New starts with the settings that the gateway was started with. A version is binding a grace after it was taken.
func New(s balance.Settings, grace time.Duration) *Versions {
	return &Versions{grace: grace, inForce: s}
}

// InForce gives the settings that hold.
func (v *Versions) InForce() balance.Settings { return v.inForce }

// Update takes a version that makes sense. changed says that what is in force is now another.
func (v *Versions) Update(now time.Duration, s balance.Settings) (changed bool) {
	if newest := v.next; newest == nil && reflect.DeepEqual(v.inForce, s) || newest != nil && reflect.DeepEqual(*newest, s) {
		return false
	}
	v.inForce = both(v.inForce, s)
	v.next, v.settle = &s, now+v.grace
	return true
}

// Due says when the newest version is to hold alone; not ok: it does.
func (v *Versions) Due() (at time.Duration, ok bool) { return v.settle, v.next != nil }

// Settle puts the newest version in force alone, if its time has come; changed says that it did.
func (v *Versions) Settle(now time.Duration) (changed bool) {
	if v.next == nil || now < v.settle {
		return false
	}
	v.inForce, v.next = *v.next, nil
	return true
}

// both gives settings under which neither the old nor the new ones are broken.
func both(old, s balance.Settings) balance.Settings {
	s.MaxAttempts = min(old.MaxAttempts, s.MaxAttempts)
	s.MaxRetryAfter = min(old.MaxRetryAfter, s.MaxRetryAfter)
	s.RetryAfter = old.RetryAfter && s.RetryAfter
	s.DrainGrace = min(old.DrainGrace, s.DrainGrace)
	s.OverloadFactor = min(old.OverloadFactor, s.OverloadFactor)
	s.ColdShare = min(old.ColdShare, s.ColdShare)
	s.ColdTime = max(old.ColdTime, s.ColdTime)
	s.Probes, s.Cancel = old.Probes && s.Probes, old.Cancel && s.Cancel
	s.DroppedStayOpen = old.DroppedStayOpen && s.DroppedStayOpen
	s.TokensCarried = old.TokensCarried && s.TokensCarried // else what the sessions write is remembered
	if old.Checks == balance.ChecksNone {
		s.Checks = balance.ChecksNone // no member is trusted to check a read that did not before
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

// stricter gives the class under which no promise of either is broken.
func stricter(old, c balance.Class) balance.Class {
	c.Effect = max(old.Effect, c.Effect) // safe, keyed, unsafe
	c.Scope = max(old.Scope, c.Scope)    // all, zone, group
	c.KeyTTL = min(old.KeyTTL, c.KeyTTL)
	c.Deadline = min(old.Deadline, c.Deadline)
	c.Need, c.Bound = needs(old, c)
	return c
}

// needs gives how current data has to be to be so for both classes. A write's need goes with no read's: the new one holds.
func needs(old, c balance.Class) (balance.Need, time.Duration) {
	switch {
	case old.Need == balance.Write || c.Need == balance.Write || old.Need == balance.AnyData:
		return c.Need, c.Bound
	case c.Need == balance.AnyData:
		return old.Need, old.Bound
	case old.Need == balance.Latest || c.Need == balance.Latest:
		return balance.Latest, 0
	}
	bound := min(boundOf(old), boundOf(c))
	switch {
	case old.Need == balance.Bounded && c.Need == balance.Bounded:
		return balance.Bounded, bound
	case bound == 0: // the present, of which a bound of a session's reads can't tell
		return balance.Latest, 0
	case bound == unbounded:
		return balance.Session, 0
	}
	return balance.Session, bound
}

// unbounded is longer than any bound.
const unbounded = time.Duration(math.MaxInt64)

// boundOf is how old data may be for a class of bounded or session reads.
func boundOf(c balance.Class) time.Duration {
	if c.Need == balance.Session && c.Bound == 0 {
		return unbounded
	}
	return c.Bound
}

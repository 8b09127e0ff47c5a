package balance

// Membership: which members there are, and whether the list allows anything new to be sent to them.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// member is a member on the list, or one removed recently, and what the router knows about it.
type member struct {
	Member
	group             *group
	notifiedAt        time.Duration // when this router was notified that it drains or is removed
	wasDraining       bool          // it was listed as draining
	evidence          evidence
	mayHaveStatedRole bool          // it may have stated its role before it was forgotten
	limitCutAt        time.Duration // time of the last reduction of its limit
	aliveAt           time.Duration // last sign of life
	restartedAt       time.Duration // first sign of life after it was seen dead: a start that is not listed yet
	inFlight          []*request    // attempts in flight, oldest first
	inFlightByCell    map[*cell]int // number of attempts in flight per cell
	silentSince       time.Duration // start of the present silence while attempts are in flight
	ejectedUntil      time.Duration // end of the ejection; 0 if there is none
	// timeouts counts ejections that a good probe does not end, up to 3; failures counts errors. Both are reset
	// by a successful answer.
	timeouts, failures int
	probedAt           time.Duration
	// probing: a probe is in flight. suspect: it was ejected or a connection to it failed, and nothing has
	// succeeded since; it is probed before it gets reads. dead: a probe failed, without a sign of life since.
	probing, suspect, dead bool
	latencyRatio           float64 // smoothed answer time as a fraction of the latency target
	limit                  float64 // maximum number of attempts in flight from this router
}

// onMembers applies a snapshot or a delta of the member list.
func (r *Router) onMembers(e Members) {
	if r.settings.SubscribeToList && !r.watching {
		r.watching = true
		r.emit(Watch{})
	}
	listed := map[string]bool{}
	for _, entry := range e.List {
		listed[entry.Server] = true
		if !(entry.Weight > minWeight) {
			entry.Weight = minWeight // a missing or invalid weight: drawn only if no member has a better one
		}
		m := r.members[entry.Server]
		if m == nil && entry.State == Removed {
			continue
		} else if m == nil {
			g := r.group(entry.Group)
			m = &member{group: g, inFlightByCell: map[*cell]int{}, limit: initialLimit, probedAt: r.now - time.Hour, mayHaveStatedRole: r.forgottenLost || r.forgotten[entry.Server]}
			r.members[entry.Server] = m
			i, _ := slices.BinarySearchFunc(g.members, entry.Server,
				func(o *member, server string) int { return strings.Compare(o.Server, server) })
			g.members = slices.Insert(g.members, i, m) // in the same order at every router
		} else if entry.incarnation() != m.incarnation() && entry.Started > m.aliveAt {
			// A new process, which has not answered yet.
			m.ejectedUntil, m.suspect, m.failures, m.limit, m.latencyRatio = 0, false, 0, initialLimit, 0
		}
		r.setState(m, entry.State)
		m.Member = entry
		if entry.Started > 0 {
			r.addStart(m, entry.Started)
		}
	}
	for _, m := range r.members {
		if e.Snapshot && !listed[m.Server] {
			r.setState(m, Removed)
			m.State = Removed
		}
		if m.State != Removed || r.accepts(m, true) || len(m.inFlight) > 0 || r.now-m.notifiedAt < forgetAfter {
			continue
		}
		// Removed members are dropped, as a fleet whose members are replaced again and again must not fill
		// the memory.
		r.forget(m)
	}
}

// incarnation identifies one process of a member, by its start time as the list states it.
func (m *Member) incarnation() time.Duration { return cmp.Or(m.Incarnation, m.Started) }

// forget drops a member. It remembers whether the member had stated its role: if so, a later list that names
// it as the primary is no proof.
func (r *Router) forget(m *member) {
	delete(r.members, m.Server)
	g := m.group
	g.members = slices.DeleteFunc(g.members, func(o *member) bool { return o == m })
	g.forgottenPrimaryAt = max(g.forgottenPrimaryAt, m.evidence.primaryNotBefore)
	if g.primary == m {
		g.primary = nil
	}
	if m.evidence.neverStatedRole() {
		return
	}
	if len(r.forgotten) >= maxForgotten {
		clear(r.forgotten)
		r.forgottenLost = true // any member that is listed from now on may be one of them
	}
	r.forgotten[m.Server] = true
}

// setState records a listed state and the time of the drain notification or removal. It is called before the
// state is stored in m.
func (r *Router) setState(m *member, s State) {
	if m.wasDraining = (m.wasDraining || s == Draining) && s != Active; s == Active {
		m.notifiedAt = 0
	} else if m.notifiedAt == 0 {
		m.notifiedAt = r.now
	}
}

// accepts reports whether the list allows anything new to be sent to m. With grace, a draining member may be
// used for a part of the drain grace, as a draining primary takes writes until it hands over. Callers that
// choose a replica pass no grace, as reads have other replicas to go to.
func (r *Router) accepts(m *member, grace bool) bool {
	if m.State == Draining {
		return grace && r.now < cmp.Or(m.SendUntil, m.notifiedAt+r.settings.DrainGrace)-2*r.settings.Tick-queueInterval
	}
	return m.State == Active || m.State == Removed && r.settings.DroppedStayOpen && !m.wasDraining
}

// recordAlive records a sign of life. If m had been seen dead, it has started since, and the list will state
// that later.
func (r *Router) recordAlive(m *member) {
	m.silentSince, m.aliveAt = r.now, r.now
	if m.dead {
		m.dead, m.restartedAt = false, r.now
	}
}

// available reports whether m is not ejected.
func (r *Router) available(m *member) bool { return r.now >= m.ejectedUntil }

// canServe reports whether p is a member that the list allows to be used and that is not ejected.
func (r *Router) canServe(p *member) bool { return p != nil && r.accepts(p, true) && r.available(p) }

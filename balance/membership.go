package balance

// Membership: which members there are, and whether the list allows anything new to be sent to them.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

type member struct {
	Member
	group           *group
	toldAt          time.Duration // when this router was notified that it drains or is removed
	drained         bool          // it was listed as draining
	evidence        evidence
	relisted        bool          // it may have stated its role before it was forgotten
	cutAt           time.Duration // time of the last reduction of its limit
	aliveAt         time.Duration // last sign of life
	revived         time.Duration // first sign of life after it was seen dead: a start that is not listed yet
	out             []*request    // attempts in flight, oldest first
	of              map[*cell]int // number of attempts in flight per cell
	silentSince     time.Duration // start of the present silence while attempts are in flight
	downUntil       time.Duration // blacklisted until then
	timeouts, fails int           // since its last answer
	probedAt        time.Duration
	// probeOut: a probe is in flight. suspect: blacklisted, without a sign of life since. dead: a probe
	// failed, without a sign of life since.
	probeOut, suspect, dead bool
	share                   float64 // smoothed answer time as a fraction of the latency target
	limit                   float64 // maximum number of attempts in flight from this router
}

func (r *Router) onMembers(e Members) {
	if r.s.Ask && !r.watchSent {
		r.watchSent = true
		r.do(Watch{})
	}
	named := map[string]bool{}
	for _, l := range e.List {
		named[l.Server] = true
		if !(l.Weight > leastWeight) {
			l.Weight = leastWeight // a missing or invalid weight: drawn only if no member has a better one
		}
		m := r.members[l.Server]
		if m == nil && l.State == Left {
			continue
		} else if m == nil {
			g := r.group(l.Group)
			m = &member{group: g, of: map[*cell]int{}, limit: firstLimit, probedAt: r.now - time.Hour, relisted: r.forgotSome || r.forgotten[l.Server]}
			r.members[l.Server] = m
			i, _ := slices.BinarySearchFunc(g.members, l.Server,
				func(o *member, server string) int { return strings.Compare(o.Server, server) })
			g.members = slices.Insert(g.members, i, m) // in the same order at every router
		} else if l.incarnation() != m.incarnation() && l.Started > m.aliveAt {
			m.downUntil, m.suspect, m.fails, m.limit, m.share = 0, false, 0, firstLimit, 0 // a new process, which has not answered yet
		}
		r.setState(m, l.State)
		m.Member = l
		if l.Started > 0 {
			r.learnStart(m, l.Started)
		}
	}
	for _, m := range r.members {
		if e.Whole && !named[m.Server] {
			r.setState(m, Left)
			m.State = Left
		}
		if m.State != Left || r.accepts(m, true) || len(m.out) > 0 || r.now-m.toldAt < forgetAfter {
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
	g.ledBefore = max(g.ledBefore, m.evidence.leads)
	if g.primary == m {
		g.primary = nil
	}
	if m.evidence.silent() {
		return
	}
	if len(r.forgotten) >= forgottenMost {
		clear(r.forgotten)
		r.forgotSome = true // any member that is listed from now on may be one of them
	}
	r.forgotten[m.Server] = true
}

func (r *Router) setState(m *member, s State) {
	if m.drained = (m.drained || s == Draining) && s != Active; s == Active {
		m.toldAt = 0
	} else if m.toldAt == 0 {
		m.toldAt = r.now
	}
}

// accepts reports whether the list allows anything new to be sent to m. A draining primary takes writes
// until it hands over, so that with grace it may be used for a part of the drain grace; reads have other
// members to go to.
func (r *Router) accepts(m *member, grace bool) bool {
	if m.State == Draining {
		return grace && r.now < cmp.Or(m.SendUntil, m.toldAt+r.s.DrainGrace)-2*r.s.Tick-beat
	}
	return m.State == Active || m.State == Left && r.s.DroppedStayOpen && !m.drained
}

// noteAlive records a sign of life. If m had been seen dead, it has started since, and the list will state
// that later.
func (r *Router) noteAlive(m *member) {
	m.silentSince, m.aliveAt = r.now, r.now
	if m.dead {
		m.dead, m.revived = false, r.now
	}
}

func (r *Router) alive(m *member) bool { return r.now >= m.downUntil }

func (r *Router) serves(p *member) bool { return p != nil && r.accepts(p, true) && r.alive(p) }

package balance

// Which members there are, and whether the list lets anything new go to them.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

type member struct {
	Member
	group                   *group
	toldAt                  time.Duration // when this router heard that it drains or is gone
	drained                 bool          // was listed as draining
	evidence                evidence
	relisted                bool          // it may have told its role before, and that is forgotten
	cutAt                   time.Duration // when its limit was cut last
	aliveAt                 time.Duration // last sign of life
	revived                 time.Duration // first heard of after its death was seen: a start not told yet
	out                     []*request    // attempts out, oldest first
	of                      map[*cell]int // how many of them each cell has
	silentSince             time.Duration // start of the present silence with work out
	downUntil               time.Duration // blacklisted
	timeouts, fails         int           // since its last answer
	probedAt                time.Duration
	probeOut, suspect, dead bool    // blacklisted, no life since; a probe failed, nothing heard since
	share                   float64 // smoothed answer time as a share of the aim
	limit                   float64 // attempts this router keeps out here at most
}

func (r *Router) onMembers(e Members) {
	if r.s.SubscribeToList && !r.watchSent {
		r.watchSent = true
		r.do(Watch{})
	}
	named := map[string]bool{}
	for _, l := range e.List {
		named[l.Server] = true
		if !(l.Weight > leastWeight) {
			l.Weight = leastWeight // none, or nonsense: drawn where no other is
		}
		m := r.members[l.Server]
		if m == nil && l.State == Removed {
			continue
		} else if m == nil {
			g := r.group(l.Group)
			m = &member{group: g, of: map[*cell]int{}, limit: firstLimit, probedAt: r.now - time.Hour, relisted: r.forgotSome || r.forgotten[l.Server]}
			r.members[l.Server] = m
			i, _ := slices.BinarySearchFunc(g.members, l.Server,
				func(o *member, server string) int { return strings.Compare(o.Server, server) })
			g.members = slices.Insert(g.members, i, m) // in the same order at every router
		} else if l.incarnation() != m.incarnation() && l.Started > m.aliveAt {
			m.downUntil, m.suspect, m.fails, m.limit, m.share = 0, false, 0, firstLimit, 0 // a new process, not met yet
		}
		r.setState(m, l.State)
		m.Member = l
		if l.Started > 0 {
			r.learnStart(m, l.Started)
		}
	}
	for _, m := range r.members {
		if e.Snapshot && !named[m.Server] {
			r.setState(m, Removed)
			m.State = Removed
		}
		if m.State != Removed || r.accepts(m, true) || len(m.out) > 0 || r.now-m.toldAt < forgetAfter {
			continue
		}
		// Gone for good: a fleet that is replaced again and again must not fill memory.
		r.forget(m)
	}
}

// incarnation tells one process of a member from another: the start as the list tells it.
func (m *Member) incarnation() time.Duration { return cmp.Or(m.Incarnation, m.Started) }

// forget drops a member. That it has told its role is remembered: a list that names it the primary again proves nothing.
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

// accepts says whether the list lets anything new go to m. A primary that drains still takes writes until it
// hands over, so it may be used for a part of the grace; reads have other places.
func (r *Router) accepts(m *member, grace bool) bool {
	if m.State == Draining {
		return grace && r.now < cmp.Or(m.SendUntil, m.toldAt+r.s.DrainGrace)-2*r.s.Tick-beat
	}
	return m.State == Active || m.State == Removed && r.s.DroppedStayOpen && !m.drained
}

// noteAlive notes a sign of life. After a death that was seen it means a start, told late.
func (r *Router) noteAlive(m *member) {
	m.silentSince, m.aliveAt = r.now, r.now
	if m.dead {
		m.dead, m.revived = false, r.now
	}
}

func (r *Router) alive(m *member) bool { return r.now >= m.downUntil }

func (r *Router) serves(p *member) bool { return p != nil && r.accepts(p, true) && r.alive(p) }

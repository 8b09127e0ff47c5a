package balance

// Which member a request goes to.

import (
	"math"
	"slices"
	"time"
)

// choose is the ordinary path: the primary for what needs it, the draw among replicas for other reads.
func (r *Router) choose(q *request) *member {
	c := q.cls
	if c.primaryOnly() || c.Need == Session && q.wrote > 0 && r.now+r.clock.AgeOffset-q.wrote < pinWindow {
		return r.primaryFor(q, 1, 1)
	}
	if m := r.draw(q); m != nil {
		return m
	}
	// What replicas cannot serve overloads the primary when they all lag.
	if r.probesPosition(q) || r.boundingClock(q) || shed(q, q.cell.badAttempts(q.group).primary) {
		return nil
	}
	return r.primaryFor(q, fallbackPart, fallbackPart)
}

// boundingClock says that q, which needs no more than that the clock is bounded, waits for an answer that may do so: the first reads of
// all routers that have just started would overload the primaries.
func (r *Router) boundingClock(q *request) bool {
	return q.cls.bounded() && !r.clock.Known && r.s.Checks == ChecksNone && r.clockRead != nil && r.now-r.clockRead.sentAt < clockReadFor
}

// draw picks a replica for q at random by weight, nil if none may take it.
func (r *Router) draw(q *request) *member {
	var total, all float64
	usable, primary := r.usable[:0], r.primaryOf(q.group)
	downPause := max(downProbe, probeShare*time.Duration(r.s.Routers))
	for _, m := range q.group.members {
		if m.State == Active {
			all += m.Weight
		}
		switch {
		case m == primary || !q.may(m) || !r.accepts(m, false):
		case r.alive(m) && !(m.suspect && r.s.Probes):
			usable = append(usable, m)
		case (m.timeouts == 0 || r.alive(m)) && r.now-m.probedAt >= downPause:
			r.probe(m) // only where a read needs it: on each beat, the probes of hundreds of routers would load a member
		}
	}
	r.usable = usable
	weights := r.weights[:0]
	for _, m := range usable {
		w := m.Weight * math.Sqrt(r.warmth(m)) * math.Pow(max(0, 1-float64(len(m.out))/m.limit), 2)
		if slices.Contains(q.tried, m) || !r.fresh(q, m) || !r.hasRoom(q, m, 1) {
			w = 0
		}
		total += w
		weights = append(weights, w)
	}
	r.weights = weights
	x := r.rng.Float64() * total
	for i, m := range usable {
		if x -= weights[i]; x >= 0 || weights[i] == 0 {
			continue
		}
		if r.admit(q, m, weights[i]/total, m.Weight/all) {
			return m
		}
		q.tried = append(q.tried, m)
		return r.draw(q)
	}
	return nil
}

// primaryFor finds the primary for q, nil while q has to wait. Only a write is sent to members in turn in search of it: who is no
// primary turns it away unrun.
func (r *Router) primaryFor(q *request, part, share float64) *member {
	g := q.group
	p := r.primaryOf(g)
	if r.serves(p) {
		if g.lostAt > 0 {
			g.foundAt, g.outage, g.lostAt = r.now, r.now-g.lostAt, 0
		}
		// After an outage every router holds a few: those late or before a cold primary are spread in time.
		if q.arrived < g.foundAt && q.sentAt < g.foundAt && q.notBefore < g.foundAt &&
			(r.warmth(p) < 1 || r.now > q.arrived+q.cls.LatencyTarget) {
			spread := min(g.outage, q.Deadline-r.now)*3/4 + 1
			q.notBefore = r.now + 1 + time.Duration(r.rng.Int64N(int64(spread)))
		}
		if r.unresponsive(p) && r.s.Probes {
			r.probe(p) // nothing is sent to a silent member before it has answered
			return nil
		}
		if !r.hasRoom(q, p, part) || r.now < q.notBefore {
			return nil
		}
		if !r.admit(q, p, 1, share) {
			q.notBefore = r.now + r.jitter(coldPause)
			return nil
		}
		return p
	}
	if g.lostAt == 0 {
		g.lostAt = r.now
	}
	if q.cls.Need != Write || g.searcher != nil && g.searcher != q && !g.searcher.done || r.now < g.searchAfter ||
		q.attempts >= r.s.MaxAttempts-2 {
		return nil
	}
	for range g.members {
		m := g.members[g.next%len(g.members)]
		g.next++
		// A miss weighs on a cold member like work that is served, so only probes look for the primary there.
		if m != p && r.accepts(m, true) && r.alive(m) && !slices.Contains(q.tried, m) && r.hasRoom(q, m, 1) &&
			!r.unresponsive(m) && r.warmth(m) == 1 {
			g.searcher = q
			return m
		}
	}
	q.tried, g.searcher = q.tried[:0], nil
	g.searchAfter = r.now + r.askPause()
	return nil
}

func (r *Router) askPause() time.Duration { // longer, the more routers ask for the same primary
	return min(retryPause+time.Duration(r.s.Routers)*ms, downProbe)
}

// probeForPrimary probes a member of a group in which requests wait, each in turn, for a sign of its primary.
func (r *Router) probeForPrimary(g *group) {
	if p := r.primaryOf(g); r.serves(p) && !r.unresponsive(p) ||
		r.now-g.searchedAt < r.askPause() || len(g.members) == 0 {
		return
	}
	g.searchedAt, g.next = r.now, g.next+1
	m := g.members[g.next%len(g.members)]
	for _, o := range g.members {
		if o.Primary && r.now-o.probedAt >= downProbe { // the list's word proves nothing, but that is whom to ask first
			m = o
		}
	}
	if r.accepts(m, true) {
		r.probe(m)
	}
}

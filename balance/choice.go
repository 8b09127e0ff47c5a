package balance

// The choice of the member that a request is sent to.

import (
	"math"
	"slices"
	"time"
)

// choose returns the primary for requests that need it and a random replica for other reads. It returns nil
// if the request has to wait.
func (r *Router) choose(q *request) *member {
	c := q.class
	if c.primaryOnly() || c.Need == Session && q.lastWrite > 0 && r.now+r.clock.AgeOffset-q.lastWrite < pinWindow {
		return r.primaryFor(q, 1, 1)
	}
	if m := r.pickReplica(q); m != nil {
		return m
	}
	// Reads that no replica can serve would overload the primary when all replicas lag.
	if r.probeForPosition(q) || r.awaitsClockBounds(q) || shed(q, q.cell.badAttempts(q.group).primary) {
		return nil
	}
	return r.primaryFor(q, fallbackFraction, fallbackFraction)
}

// awaitsClockBounds reports whether q, which only lacks bounds of the clock offset, waits for an attempt in
// flight that may provide them: the first reads of all routers that have just started would overload the
// primaries.
func (r *Router) awaitsClockBounds(q *request) bool {
	return q.class.bounded() && !r.clock.Known && r.settings.Checks == ChecksNone && r.clockRead != nil && r.now-r.clockRead.sentAt < clockReadWait
}

// pickReplica picks a replica for q at random by weight, or returns nil if none may take it.
func (r *Router) pickReplica(q *request) *member {
	var total, all float64
	candidates, primary := r.candidates[:0], r.primaryOf(q.group)
	probePause := max(probeInterval, probeIntervalPerRouter*time.Duration(r.settings.Routers))
	for _, m := range q.group.members {
		if m.State == Active {
			all += m.Weight
		}
		switch {
		case m == primary || !q.mayUse(m) || !r.accepts(m, false):
		case r.available(m) && !(m.suspect && r.settings.Probes):
			candidates = append(candidates, m)
		case (m.timeouts == 0 || r.available(m)) && r.now-m.probedAt >= probePause:
			// Members are probed only when a read needs them: at every queue timer, the probes of hundreds of
			// routers would load a member.
			r.probe(m)
		}
	}
	r.candidates = candidates
	weights := r.weights[:0]
	for _, m := range candidates {
		w := m.Weight * math.Sqrt(r.warmUpWeight(m)) * math.Pow(max(0, 1-float64(len(m.inFlight))/m.limit), 2)
		if slices.Contains(q.tried, m) || !r.fresh(q, m) || !r.hasCapacity(q, m, 1) {
			w = 0
		}
		total += w
		weights = append(weights, w)
	}
	r.weights = weights
	x := r.rng.Float64() * total
	for i, m := range candidates {
		if x -= weights[i]; x >= 0 || weights[i] == 0 {
			continue
		}
		if r.admitCold(q, m, weights[i]/total, m.Weight/all) {
			return m
		}
		q.tried = append(q.tried, m)
		return r.pickReplica(q)
	}
	return nil
}

// primaryFor returns the primary for q, or nil while q has to wait. The parameter fraction is the part of the
// primary's limit that q may fill, share the part of a cold primary's budget that requests like q may
// use. If the primary is unknown, only writes are sent to the members in turn, as a member that
// is not the primary refuses them without executing them.
func (r *Router) primaryFor(q *request, fraction, share float64) *member {
	g := q.group
	p := r.primaryOf(g)
	if r.canServe(p) {
		if g.lostAt > 0 {
			g.foundAt, g.outage, g.lostAt = r.now, r.now-g.lostAt, 0
		}
		// After an outage every router holds some requests. Those that are late, or whose primary is cold,
		// are spread over time.
		if q.arrived < g.foundAt && q.sentAt < g.foundAt && q.notBefore < g.foundAt &&
			(r.warmUpWeight(p) < 1 || r.now > q.arrived+q.class.LatencyTarget) {
			spread := min(g.outage, q.Deadline-r.now)*3/4 + 1
			q.notBefore = r.now + 1 + time.Duration(r.rng.Int64N(int64(spread)))
		}
		if r.unresponsive(p) && r.settings.Probes {
			r.probe(p) // nothing is sent to a silent member until it has answered
			return nil
		}
		if !r.hasCapacity(q, p, fraction) || r.now < q.notBefore {
			return nil
		}
		if !r.admitCold(q, p, 1, share) {
			q.notBefore = r.now + r.jitter(coldRetryDelay)
			return nil
		}
		return p
	}
	if g.lostAt == 0 {
		g.lostAt = r.now
	}
	if q.class.Need != Write || g.searcher != nil && g.searcher != q && !g.searcher.done || r.now < g.searchAfter ||
		q.attempts >= r.settings.MaxAttempts-2 {
		return nil
	}
	for range g.members {
		m := g.members[g.nextSearched%len(g.members)]
		g.nextSearched++
		// A misdirected write costs a cold member as much as a served one, so that only probes look for the
		// primary there.
		if m != p && r.accepts(m, true) && r.available(m) && !slices.Contains(q.tried, m) && r.hasCapacity(q, m, 1) &&
			!r.unresponsive(m) && r.warmUpWeight(m) == 1 {
			g.searcher = q
			return m
		}
	}
	q.tried, g.searcher = q.tried[:0], nil
	g.searchAfter = r.now + r.searchDelay()
	return nil
}

// searchDelay grows with the number of routers that look for the same primary.
func (r *Router) searchDelay() time.Duration {
	return min(retryDelay+time.Duration(r.settings.Routers)*ms, probeInterval)
}

// probeForPrimary looks for the primary of a group in which requests wait, by probing its members in turn.
func (r *Router) probeForPrimary(g *group) {
	if p := r.primaryOf(g); r.canServe(p) && !r.unresponsive(p) ||
		r.now-g.searchedAt < r.searchDelay() || len(g.members) == 0 {
		return
	}
	g.searchedAt, g.nextSearched = r.now, g.nextSearched+1
	m := g.members[g.nextSearched%len(g.members)]
	for _, o := range g.members {
		// The list is no proof, but the member that it names is probed first.
		if o.Primary && r.now-o.probedAt >= probeInterval {
			m = o
		}
	}
	if r.accepts(m, true) {
		r.probe(m)
	}
}

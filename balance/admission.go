package balance

// Admission: limits on attempts in flight at a member, the queue, and load shedding.

import (
	"cmp"
	"slices"
	"time"
)

// onRequest admits a request or refuses it.
func (r *Router) onRequest(e Request) {
	cell, g := cmp.Or(r.cells[e.Cell], r.cells[0]), r.group(e.Group)
	c := cell.classes[e.Class]
	if r.requests[e.ID] != nil {
		return // duplicate
	} else if c == nil {
		r.emit(Refuse{ID: e.ID, Reason: UnknownClass})
		return
	}
	q := &request{Request: e, seq: r.nextSeq, class: c, cell: cell, group: g, arrived: r.now, worth: c.Worth,
		shedDraw: r.rng.Float64()}
	if t := r.tenants[e.Tenant]; t != nil {
		// No router sees the usage of the whole fleet, but a tenant that uses more of its quota than others
		// do so shows at each router.
		if !e.Retry {
			r.tenantUsage += (1 - r.tenantUsage) / quotaWindow
			for _, o := range r.tenants {
				o.usage -= o.usage / quotaWindow
			}
			t.usage += 1 / quotaWindow
		}
		if t.usage*r.totalQuota > overQuotaMargin*t.quota*r.tenantUsage {
			q.worth *= r.settings.OverShareWorth
		}
	}
	r.nextSeq++
	r.requests[e.ID], r.requestsBySeq[q.seq] = q, q
	if c.Need == Session {
		if q.lastWrite = r.lastWrite(e); q.lastWrite > 0 {
			q.lastWrite = max(q.lastWrite, e.MinPosition)
		}
	}
	if e.QuotaRetryAfter > 0 || !c.primaryOnly() && shed(q, cell.badAttempts(g).replicas) {
		r.giveUp(q, Shed)
		return
	}
	r.emit(StartTimer{max(e.Deadline-r.now, 1), q.seq})
	r.route(q)
}

// hasCapacity reports whether one more attempt may be in flight at m, within the given fraction of its limit.
func (r *Router) hasCapacity(q *request, m *member, fraction float64) bool {
	limit := max(1, m.limit*fraction)
	if len(r.cells) > 1 {
		return r.hasCellCapacity(q, m, limit)
	}
	return float64(len(m.inFlight)) < limit && r.hasFleetCapacity(m)
}

// hasFleetCapacity limits the attempts in flight at m and the members like it: one attempt of each of many
// routers adds up to a long queue there.
func (r *Router) hasFleetCapacity(m *member) bool {
	inFlight, limit, p := 0, 0.0, r.primaryOf(m.group)
	for _, o := range m.group.members {
		if (o == p) == (m == p) && r.accepts(o, true) {
			inFlight, limit = inFlight+len(o.inFlight), limit+o.limit
		}
	}
	return float64(inFlight) < max(1, limit*fleetLimitFactor/float64(r.settings.Routers))
}

// shed decides at random, with the request's own draw, whether a read is shed, given the fraction of recent
// attempts that ended badly. A single router cannot see the hosts' queues.
func shed(q *request, bad float64) bool {
	if q.worth < q.class.Worth {
		bad *= 2
	}
	return q.shedDraw < min(maxShedFraction, (bad-shedThreshold)*shedSlope)
}

// enqueue sorts by worth per expected time, then newest first, as the oldest requests are the closest to
// being late.
func (r *Router) enqueue(q *request) {
	q.queued = true
	list := q.group.queued
	i := len(list)
	for i > 0 && precedes(q, list[i-1]) {
		i--
	}
	q.group.queued = slices.Insert(list, i, q)
	r.scheduleQueue(q.group)
}

// precedes reports whether a is placed before b in the queue.
func precedes(a, b *request) bool {
	x, y := a.worth/float64(a.class.latency+1), b.worth/float64(b.class.latency+1)
	return x > y || x == y && a.class.Name == b.class.Name && a.seq > b.seq
}

// sendQueued sends the queued requests that can be sent now, in the order that enqueue keeps.
func (r *Router) sendQueued(g *group) {
	if len(g.queued) == 0 {
		return
	}
	// A class is skipped after 3 unsent requests, so that a long queue is not tried to its end.
	list, unsent := g.queued, map[*class]int{}
	order := list
	if len(r.cells) > 1 { // the cell with the fewest attempts in flight for its weight goes first
		used := map[*cell]float64{}
		for _, m := range g.members {
			for c, n := range m.inFlightByCell {
				used[c] += float64(n) / max(c.Weight, minWeight)
			}
		}
		order = slices.Clone(list)
		slices.SortStableFunc(order, func(a, b *request) int {
			return cmp.Compare(used[a.cell], used[b.cell])
		})
	}
	g.queued = nil
	for _, q := range order {
		if q.done || !q.queued || unsent[q.class] >= 3 && !r.unlikelyInTime(q) {
			continue
		}
		q.queued = false
		if r.route(q); q.queued {
			unsent[q.class]++
		}
	}
	g.queued = slices.DeleteFunc(list, func(q *request) bool { return q.done || !q.queued })
}

// scheduleQueue starts the queue timer if a group waits for it.
func (r *Router) scheduleQueue(g *group) {
	if g != nil && !g.waiting {
		g.waiting = true
		r.waiting = append(r.waiting, g)
	}
	if !r.queueTimerSet && len(r.waiting) > 0 {
		r.queueTimerSet, r.queueTimerDue = true, r.now+queueInterval
		r.emit(StartTimer{queueInterval, tagQueue})
	}
}

// adjustLimit adapts the limit of attempts in flight at m to its answers: requests beyond the limit wait in
// this router, where they can still be refused. It also updates the cell's fraction of attempts that ended
// badly, in which a bad end counts only if blamed is set.
func (r *Router) adjustLimit(m *member, c *cell, cls *class, result Result, took time.Duration, blamed bool) {
	reduction, answered := 0.0, result == OK || result == TimedOut
	if result == OK {
		cls.latency += (took - cls.latency) / latencyWindow
		cls.samples = min(cls.samples+1, estimateWindow)
	}
	switch {
	case result == QueueFull:
		reduction = 0.7
	case answered:
		m.latencyRatio += (float64(took)/float64(cls.LatencyTarget+1) - m.latencyRatio) / 8
		if m.latencyRatio > highLatencyRatio {
			reduction = 0.9
		} else if m.latencyRatio < lowLatencyRatio && float64(len(m.inFlight)+1) >= m.limit*0.7 {
			m.limit += 1 / m.limit
		}
	}
	if reduction > 0 && r.now-m.limitCutAt >= limitCutInterval {
		m.limit, m.limitCutAt = max(minLimit, min(m.limit, float64(len(m.inFlight)+1))*reduction), r.now
	}
	if answered || result == QueueFull {
		bad := c.badAttempts(m.group)
		b := &bad.replicas
		if m == m.group.primary {
			b = &bad.primary
		}
		*b *= 1 - 1/badWindow
		if (result != OK || took > cls.LatencyTarget) && blamed {
			*b += 1 / badWindow
		}
	}
}

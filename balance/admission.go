package balance

// What is let in, what waits and what is refused: limits on attempts out at a member, and load shedding.

import (
	"cmp"
	"slices"
	"time"
)

func (r *Router) onRequest(e Request) {
	cell, g := cmp.Or(r.cells[e.Cell], r.cells[0]), r.group(e.Group)
	c := cell.classes[e.Class]
	if r.reqs[e.ID] != nil {
		return // doubled
	} else if c == nil {
		r.do(Refuse{ID: e.ID, Reason: UnknownClass})
		return
	}
	q := &request{Request: e, seq: r.seq, cls: c, cell: cell, group: g, arrived: r.now, worth: c.Worth,
		shedDraw: r.rng.Float64()}
	if t := r.tenants[e.Tenant]; t != nil {
		// What the fleet uses shows at no router; who asks for more of its share than others shows at each.
		if !e.Retry {
			r.asked += (1 - r.asked) / shareMemory
			for _, o := range r.tenants {
				o.used -= o.used / shareMemory
			}
			t.used += 1 / shareMemory
		}
		if t.used*r.quota > overMargin*t.share*r.asked {
			q.worth *= r.s.OverShareWorth
		}
	}
	r.seq++
	r.reqs[e.ID], r.seqs[q.seq] = q, q
	if c.Need == Session {
		if q.wrote = r.wrote(e); q.wrote > 0 {
			q.wrote = max(q.wrote, e.MinPosition)
		}
	}
	if e.QuotaRetryAfter > 0 || !c.primaryOnly() && shed(q, cell.badAttempts(g).replicas) {
		r.giveUp(q, Shed)
		return
	}
	r.do(StartTimer{max(e.Deadline-r.now, 1), q.seq})
	r.route(q)
}

func (r *Router) hasRoom(q *request, m *member, part float64) bool {
	limit := max(1, m.limit*part)
	if len(r.cells) > 1 {
		return r.cellHasRoom(q, m, limit)
	}
	return float64(len(m.out)) < limit && r.fleetHasRoom(m)
}

// fleetHasRoom bounds what this router has out at m and its like: one each of many routers is a long queue there.
func (r *Router) fleetHasRoom(m *member) bool {
	out, limit, p := 0, 0.0, r.primaryOf(m.group)
	for _, o := range m.group.members {
		if (o == p) == (m == p) && r.accepts(o, true) {
			out, limit = out+len(o.out), limit+o.limit
		}
	}
	return float64(out) < max(1, limit*fewRouters/float64(r.s.Routers))
}

// shed says whether a read is turned away, by chance, where the given part of the last attempts ended badly: a router alone sees no queue.
func shed(q *request, bad float64) bool {
	if q.worth < q.cls.Worth {
		bad *= 2
	}
	return q.shedDraw < min(badMost, (bad-badFrom)*badSlope)
}

func (r *Router) enqueue(q *request) { // most worth for its work first, then newest, as the oldest are near late
	q.queued = true
	list := q.group.queued
	i := len(list)
	for i > 0 && before(q, list[i-1]) {
		i--
	}
	q.group.queued = slices.Insert(list, i, q)
	r.wake(q.group)
}

func before(a, b *request) bool {
	x, y := a.worth/float64(a.cls.took+1), b.worth/float64(b.cls.took+1)
	return x > y || x == y && a.cls.Name == b.cls.Name && a.seq > b.seq
}

// release sends what is queued and can go now, in the order that enqueue keeps.
func (r *Router) release(g *group) {
	if len(g.queued) == 0 {
		return
	}
	list, stuck := g.queued, map[*class]int{} // a long queue is not tried to its end
	order := list
	if len(r.cells) > 1 { // the cell with least out for its weight goes first
		used := map[*cell]float64{}
		for _, m := range g.members {
			for c, n := range m.of {
				used[c] += float64(n) / max(c.Weight, leastWeight)
			}
		}
		order = slices.Clone(list)
		slices.SortStableFunc(order, func(a, b *request) int {
			return cmp.Compare(used[a.cell], used[b.cell])
		})
	}
	g.queued = nil
	for _, q := range order {
		if q.done || !q.queued || stuck[q.cls] >= 3 && !r.hopeless(q) {
			continue
		}
		q.queued = false
		if r.route(q); q.queued {
			stuck[q.cls]++
		}
	}
	g.queued = slices.DeleteFunc(list, func(q *request) bool { return q.done || !q.queued })
}

func (r *Router) wake(g *group) { // asks for a beat if anything waits for one
	if g != nil && !g.waiting {
		g.waiting = true
		r.waiting = append(r.waiting, g)
	}
	if !r.beating && len(r.waiting) > 0 {
		r.beating, r.beatDue = true, r.now+beat
		r.do(StartTimer{beat, tagBeat})
	}
}

// adjustLimit moves the number of attempts kept out at m (what waits here can still be turned away) and the part of
// bad ends there, if they are blamed on the cell.
func (r *Router) adjustLimit(m *member, c *cell, cls *class, result Result, took time.Duration, blamed bool) {
	cut, answered := 0.0, result == OK || result == TimedOut
	if result == OK {
		cls.took += (took - cls.took) / tookMemory
		cls.answers = min(cls.answers+1, guessFades)
	}
	switch {
	case result == QueueFull:
		cut = 0.7
	case answered:
		m.share += (float64(took)/float64(cls.LatencyTarget+1) - m.share) / 8
		if m.share > highShare {
			cut = 0.9
		} else if m.share < lowShare && float64(len(m.out)+1) >= m.limit*0.7 {
			m.limit += 1 / m.limit
		}
	}
	if cut > 0 && r.now-m.cutAt >= cutPause {
		m.limit, m.cutAt = max(leastLimit, min(m.limit, float64(len(m.out)+1))*cut), r.now
	}
	if answered || result == QueueFull {
		bad := c.badAttempts(m.group)
		b := &bad.replicas
		if m == m.group.primary {
			b = &bad.primary
		}
		*b *= 1 - 1/badMemory
		if (result != OK || took > cls.LatencyTarget) && blamed {
			*b += 1 / badMemory
		}
	}
}

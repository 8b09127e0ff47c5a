package balance

// Admission: limits on attempts in flight at a member, the queue, and load shedding.

import (
	"cmp"
	"slices"
	"time"
)

func (r *Router) onRequest(e Request) {
	cell, g := cmp.Or(r.cells[e.Cell], r.cells[0]), r.group(e.Group)
	c := cell.classes[e.Class]
	if r.reqs[e.ID] != nil {
		return // duplicate
	} else if c == nil {
		r.do(Refuse{ID: e.ID, Why: UnknownClass})
		return
	}
	q := &request{Request: e, seq: r.seq, cls: c, cell: cell, group: g, arrived: r.now, worth: c.Worth,
		shedDraw: r.rng.Float64()}
	if t := r.tenants[e.Tenant]; t != nil {
		// No router sees the usage of the whole fleet, but a tenant that uses more of its quota than others
		// do so shows at each router.
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
			q.wrote = max(q.wrote, e.Since)
		}
	}
	if e.Over > 0 || !c.primaryOnly() && shed(q, cell.badAttempts(g).replicas) {
		r.giveUp(q, Shed)
		return
	}
	r.do(After{max(e.Deadline-r.now, 1), q.seq})
	r.route(q)
}

func (r *Router) hasRoom(q *request, m *member, part float64) bool {
	limit := max(1, m.limit*part)
	if len(r.cells) > 1 {
		return r.cellHasRoom(q, m, limit)
	}
	return float64(len(m.out)) < limit && r.fleetHasRoom(m)
}

// fleetHasRoom limits the attempts in flight at m and the members like it: one attempt of each of many
// routers adds up to a long queue there.
func (r *Router) fleetHasRoom(m *member) bool {
	out, limit, p := 0, 0.0, r.primaryOf(m.group)
	for _, o := range m.group.members {
		if (o == p) == (m == p) && r.accepts(o, true) {
			out, limit = out+len(o.out), limit+o.limit
		}
	}
	return float64(out) < max(1, limit*fewRouters/float64(r.s.Routers))
}

// shed decides at random, with the request's own draw, whether a read is shed, given the fraction of recent
// attempts that ended badly. A single router cannot see the hosts' queues.
func shed(q *request, bad float64) bool {
	if q.worth < q.cls.Worth {
		bad *= 2
	}
	return q.shedDraw < min(badMost, (bad-badFrom)*badSlope)
}

// enqueue sorts by worth per expected time, then newest first, as the oldest requests are the closest to
// being late.
func (r *Router) enqueue(q *request) {
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

// release sends the queued requests that can be sent now, in the order that enqueue keeps.
func (r *Router) release(g *group) {
	if len(g.queued) == 0 {
		return
	}
	list, stuck := g.queued, map[*class]int{} // stuck limits how much of a long queue is tried
	order := list
	if len(r.cells) > 1 { // the cell with the fewest attempts in flight for its weight goes first
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

// wake schedules a beat if any group waits for one.
func (r *Router) wake(g *group) {
	if g != nil && !g.waiting {
		g.waiting = true
		r.waiting = append(r.waiting, g)
	}
	if !r.beating && len(r.waiting) > 0 {
		r.beating, r.beatDue = true, r.now+beat
		r.do(After{beat, tagBeat})
	}
}

// adjustLimit adapts the limit of attempts in flight at m, as requests that wait here can still be refused,
// and the fraction of bad ends there, unless the cell is not to blame for them.
func (r *Router) adjustLimit(m *member, c *cell, cls *class, result Result, took time.Duration, blamed bool) {
	cut, answered := 0.0, result == OK || result == TimedOut
	if result == OK {
		cls.took += (took - cls.took) / tookMemory
		cls.answers = min(cls.answers+1, guessFades)
	}
	switch {
	case result == Full:
		cut = 0.7
	case answered:
		m.share += (float64(took)/float64(cls.Aim+1) - m.share) / 8
		if m.share > highShare {
			cut = 0.9
		} else if m.share < lowShare && float64(len(m.out)+1) >= m.limit*0.7 {
			m.limit += 1 / m.limit
		}
	}
	if cut > 0 && r.now-m.cutAt >= cutPause {
		m.limit, m.cutAt = max(leastLimit, min(m.limit, float64(len(m.out)+1))*cut), r.now
	}
	if answered || result == Full {
		bad := c.badAttempts(m.group)
		b := &bad.replicas
		if m == m.group.primary {
			b = &bad.primary
		}
		*b *= 1 - 1/badMemory
		if (result != OK || took > cls.Aim) && blamed {
			*b += 1 / badMemory
		}
	}
}

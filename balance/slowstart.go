package balance

// Slow start: what a member that has just started may be sent.

// warmth is the least part of its capacity that m has, by the start that was told or that this router saw.
func (r *Router) warmth(m *member) float64 {
	start := max(m.Started, m.revived)
	age := r.now - start
	if start == 0 || age >= r.s.ColdTime {
		return 1
	}
	return r.s.ColdShare + (1-r.s.ColdShare)*float64(age)/float64(r.s.ColdTime)
}

// admit keeps a cold member's budget: of requests that come to m with the given chance so many pass that its
// part of the group's traffic is its part of the capacity, times the margin: at each router, so in sum. A request draws once, so
// that asking again is no further chance.
func (r *Router) admit(q *request, m *member, chance, share float64) bool {
	w := r.warmth(m)
	if w == 1 {
		return true
	}
	if q.coldDraw == 0 {
		q.coldDraw = 1 - r.rng.Float64()
	}
	return q.coldDraw*chance <= w*share*r.coldFactor()
}

// coldFactor is how many times the least part of its capacity a cold member may be sent.
func (r *Router) coldFactor() float64 {
	factor := r.s.OverloadFactor
	if factor == 0 {
		return 1
	}
	spare := max(coldSpare, min(1, coldSpareRouters/float64(r.s.Routers)))
	return min(coldMargin*factor, 1+spare*(factor-1))
}

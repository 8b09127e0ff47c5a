package balance

// Slow start: how much is sent to a member whose process has just started.

// warmUpWeight returns the minimum fraction of its capacity that m has, by its listed or observed start.
func (r *Router) warmUpWeight(m *member) float64 {
	start := max(m.Started, m.restartedAt)
	age := r.now - start
	if start == 0 || age >= r.settings.ColdTime {
		return 1
	}
	return r.settings.ColdShare + (1-r.settings.ColdShare)*float64(age)/float64(r.settings.ColdTime)
}

// admitCold enforces the budget of a cold member. The parameter chance is the probability with which q was
// assigned to m, share is m's share of the group's traffic when it is warm. It admits so many requests that
// m's share is reduced to its fraction of the capacity, times coldFactor. As every router does so, the sum
// holds as well. Each request draws its random number once, so that asking again gives it no further chance.
func (r *Router) admitCold(q *request, m *member, chance, share float64) bool {
	w := r.warmUpWeight(m)
	if w == 1 {
		return true
	}
	if q.coldDraw == 0 {
		q.coldDraw = 1 - r.rng.Float64()
	}
	return q.coldDraw*chance <= w*share*r.coldFactor()
}

// coldFactor returns by how much a cold member may be sent more than its minimum capacity.
func (r *Router) coldFactor() float64 {
	factor := r.settings.OverloadFactor
	if factor == 0 {
		return 1
	}
	spare := max(coldFactorSpare, min(1, coldSpareRouters/float64(r.settings.Routers)))
	return min(coldFactorMargin*factor, 1+spare*(factor-1))
}

package balance

import "time"

// Look calls see with the router's view of each member.
func (r *Router) Look(now time.Duration, see func(Seen)) {
	r.now = now
	for _, m := range r.members {
		see(Seen{m.Server, m.group.id, m.limit, len(m.out), r.warmth(m), r.accepts(m, false) && r.alive(m),
			m == r.primaryOf(m.group), m.evidence.position > 0, m.evidence.leads, m.evidence.follows, m.evidence.position,
			max(m.Started, m.revived)})
	}
}

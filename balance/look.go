package balance

import "time"

// Views shows what the router believes of its members.
func (r *Router) Views(now time.Duration, see func(MemberView)) {
	r.now = now
	for _, m := range r.members {
		see(MemberView{m.Server, m.group.id, m.limit, len(m.out), r.warmth(m), r.accepts(m, false) && r.alive(m),
			m == r.primaryOf(m.group), m.evidence.position > 0, m.evidence.leads, m.evidence.follows, m.evidence.position,
			max(m.Started, m.revived)})
	}
}

package balance

import "time"

// Views calls visit with the router's view of each member at the time now.
func (r *Router) Views(now time.Duration, visit func(MemberView)) {
	r.now = now
	for _, m := range r.members {
		visit(MemberView{m.Server, m.group.id, m.limit, len(m.inFlight), r.warmUpWeight(m), r.accepts(m, false) && r.available(m),
			m == r.primaryOf(m.group), m.evidence.position > 0, m.evidence.primaryNotBefore, m.evidence.replicaNotAfter, m.evidence.position,
			max(m.Started, m.restartedAt)})
	}
}

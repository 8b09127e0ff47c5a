package balance

// Which members are set aside, and the probes that bring them back.

import "cmp"

// unresponsive says that m has work out and has been silent for longer than its answers usually take.
func (r *Router) unresponsive(m *member) bool {
	return len(m.out) > 0 && r.now-m.silentSince > max(silentFloor, 2*m.out[0].cls.took, m.out[0].cls.LatencyTarget/4)
}

func (r *Router) probe(m *member) bool { // says whether one is out
	if !m.probeOut && r.s.Probes {
		m.probeOut, m.probedAt = true, r.now
		r.do(Probe{m.Server})
	}
	return m.probeOut
}

// blacklist sets aside m and takes back what may be tried elsewhere. A good probe ends that, but not after a
// time-out: members that take requests and never answer them answer probes. They stay away longer each time.
func (r *Router) blacklist(m *member, timedOut bool) {
	m.downUntil, m.suspect = r.now+blacklistFor, true
	if timedOut {
		m.timeouts = min(m.timeouts+1, 3)
		m.downUntil = r.now + blacklistFor<<(m.timeouts-1)
	}
	for _, q := range m.out {
		if !q.done && q.cls.Effect != Unsafe {
			r.withdraw(q)
		}
	}
}

// reinstate ends a blacklisting, but for one after a time-out.
func (m *member) reinstate() {
	if m.timeouts == 0 {
		m.downUntil = 0
	}
}

// canBlacklist says that half of the replicas are left without m: what shows on most is not one member's fault.
func (r *Router) canBlacklist(m *member) bool {
	n, left, primary := 0, 0, r.primaryOf(m.group)
	for _, o := range m.group.members {
		if o == m || o == primary || !r.accepts(o, false) {
			continue
		}
		if n++; r.alive(o) {
			left++
		}
	}
	return left > 0 && 2*left >= n
}

func (r *Router) onProbe(e ProbeResult) {
	m := r.members[e.Server]
	if m == nil {
		return
	}
	m.probeOut = false
	if e.Result == OK || e.Result == Garbled {
		r.noteAlive(m)
		r.learnReport(m, e.StatedAt, e.Report)
		m.suspect = false
		m.reinstate()
	} else if e.Result != NotSent { // that is this router's own lack of a connection
		m.dead = true
		r.blacklist(m, false)
	}
	r.release(m.group)
}

// onHeard takes what another router tells: of a member, not a request. The dead show their start here.
func (r *Router) onHeard(e RemoteOutcome) {
	m := r.members[e.Server]
	if m == nil {
		return
	}
	r.learn(m, Statement{Source: e.Source, Role: e.Role, Position: e.Position, StatedAt: TimeBounds{NotBefore: e.NotBefore, NotAfter: cmp.Or(e.NotAfter, r.now)}})
	switch {
	case e.Result == NoConnection:
		m.suspect = m.suspect || e.At > m.silentSince // a probe comes before what is sent
	case e.Result != TimedOut && e.Result != Reset && e.At > m.silentSince && !m.dead:
		m.silentSince, m.aliveAt, m.suspect = e.At, max(m.aliveAt, e.At), false
		if e.Result == OK {
			m.reinstate()
		}
	}
	if cls := r.cells[0].classes[e.Class]; cls != nil {
		r.adjustLimit(m, r.cells[0], cls, e.Result, e.Took, true)
	}
	r.release(m.group)
}

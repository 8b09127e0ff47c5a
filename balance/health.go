package balance

// Health: which members are ejected, so that they get no requests after errors, and the probes that end an
// ejection.

import "cmp"

// unresponsive reports whether m has attempts in flight and has been silent for longer than its answers
// usually take.
func (r *Router) unresponsive(m *member) bool {
	return len(m.inFlight) > 0 && r.now-m.silentSince > max(minSilence, 2*m.inFlight[0].class.latency, m.inFlight[0].class.LatencyTarget/4)
}

// probe sends a probe to m unless one is in flight. It reports whether one is in flight now.
func (r *Router) probe(m *member) bool {
	if !m.probing && r.settings.Probes {
		m.probing, m.probedAt = true, r.now
		r.emit(Probe{m.Server})
	}
	return m.probing
}

// eject excludes m for a while and cancels attempts that may be retried elsewhere. A good probe ends the
// ejection unless ignoreProbes is set, as it is after a timeout or repeated errors: members that accept
// requests and never answer them, or fail them all, do answer probes. Those stay ejected for longer each time.
func (r *Router) eject(m *member, ignoreProbes bool) {
	m.ejectedUntil, m.suspect = r.now+ejectionDuration, true
	if ignoreProbes {
		m.timeouts = min(m.timeouts+1, 3)
		m.ejectedUntil = r.now + ejectionDuration<<(m.timeouts-1)
	}
	for _, q := range m.inFlight {
		if !q.done && q.class.Effect != Unsafe && !q.Unkeyed {
			r.cancelAttempt(q)
		}
	}
}

// reinstate ends an ejection, unless eject was called with ignoreProbes.
func (m *member) reinstate() {
	if m.timeouts == 0 {
		m.ejectedUntil = 0
	}
}

// canEject reports whether at least half of the other replicas are available. A fault that shows on most
// replicas is not the fault of one member.
func (r *Router) canEject(m *member) bool {
	others, usable, primary := 0, 0, r.primaryOf(m.group)
	for _, o := range m.group.members {
		if o == m || o == primary || !r.accepts(o, false) {
			continue
		}
		if others++; r.available(o) {
			usable++
		}
	}
	return usable > 0 && 2*usable >= others
}

// onProbe handles the end of a probe.
func (r *Router) onProbe(e ProbeResult) {
	m := r.members[e.Server]
	if m == nil {
		return
	}
	m.probing = false
	if e.Result == OK || e.Result == Garbled {
		r.recordAlive(m)
		r.addReport(m, e.StatedAt, e.Report)
		m.suspect = false
		m.reinstate()
	} else if e.Result != NotSent { // this router itself lacked a connection
		m.dead = true
		r.eject(m, false)
	}
	r.sendQueued(m.group)
}

// onRemoteOutcome handles an outcome that another router reported. It concerns a member, not a request. It
// does not revive a member that was seen dead: only an answer to this router shows that such a member has
// started, as the outcome may be older than the failed probe.
func (r *Router) onRemoteOutcome(e RemoteOutcome) {
	m := r.members[e.Server]
	if m == nil {
		return
	}
	r.addStatement(m, Statement{Source: e.Source, Role: e.Role, Position: e.Position, StatedAt: TimeBounds{NotBefore: e.NotBefore, NotAfter: cmp.Or(e.NotAfter, r.now)}})
	switch {
	case e.Result == NoConnection:
		m.suspect = m.suspect || e.At > m.silentSince // it is probed before anything is sent to it
	case e.Result != TimedOut && e.Result != Reset && e.At > m.silentSince && !m.dead:
		m.silentSince, m.aliveAt, m.suspect = e.At, max(m.aliveAt, e.At), false
		if e.Result == OK {
			m.reinstate()
		}
	}
	if cls := r.cells[0].classes[e.Class]; cls != nil {
		r.adjustLimit(m, r.cells[0], cls, e.Result, e.Took, true)
	}
	r.sendQueued(m.group)
}

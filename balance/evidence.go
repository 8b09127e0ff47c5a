package balance

// Evidence of roles and positions: what answers, reports, other routers, the list and a previous process
// stated about members, with bounds of the time at which each statement was made. Only this file changes the
// evidence and decides which member may be read from as the primary, and on what grounds. docs/freshness.md
// has the table of sources.
//
// The evidence about a member is a maximum over all statements, so that the order in which they arrive does
// not matter: an older statement never replaces a newer one.

import (
	"cmp"
	"math"
	"time"
)

// Source is the origin of a statement.
type Source int

const (
	FromAnswer        Source = iota // a complete answer of the member
	FromPartialAnswer               // the part that arrived of an answer that broke off or could not be parsed
	FromReport                      // a load report, where the answer itself stated no role
	FromGossip                      // another router
	FromHandover                    // a previous process of this router
	FromList                        // the member list
)

// String returns the name of the source as it appears in logs.
func (s Source) String() string {
	return [...]string{"answer", "part of an answer", "report", "gossip", "handover", "list"}[s]
}

// TimeBounds bounds the time at which a statement was made, by the router's clock.
type TimeBounds struct {
	NotBefore, NotAfter time.Duration
	Epoch               int // epoch of the clock that dated the statement; the router itself knows only one
}

// Statement is what a source stated about a member.
type Statement struct {
	Source   Source
	Role     Role          // Unknown if none was stated
	Position time.Duration // position of the member's log; 0 if none was stated
	StatedAt TimeBounds
}

// evidence is what is known about the role and the log of one member.
type evidence struct {
	position         time.Duration // highest position stated; a position never decreases
	positionSource   Source
	positionNotAfter time.Duration // latest time of the last statement of that position
	// Earliest time of the newest statement that it is the primary; 0 if there was none.
	primaryNotBefore time.Duration
	primarySource    Source
	replicaNotAfter  time.Duration // latest time of the newest statement that it is a replica; 0 if there was none
	replicaSource    Source
	statedRole       bool          // it has ever stated its role
	started          time.Duration // latest start time of its process, by the list; 0 if long ago
}

// add records a statement that reached the router at now. A statement against reading from the member as the
// primary counts from the latest time at which it may have been made, one for it from the earliest.
func (e *evidence) add(now time.Duration, s Statement) {
	if notAfter := cmp.Or(s.StatedAt.NotAfter, now); s.Position > e.position {
		e.position, e.positionSource, e.positionNotAfter = s.Position, s.Source, notAfter
	} else if s.Position == e.position {
		e.positionNotAfter = max(e.positionNotAfter, notAfter) // the log does not move
	}
	e.statedRole = e.statedRole || s.Role != Unknown
	switch s.Role {
	case Primary:
		if statedAt := min(s.StatedAt.NotBefore, now); statedAt > e.primaryNotBefore {
			e.primaryNotBefore, e.primarySource = statedAt, s.Source
		}
	case Replica:
		if statedAt := min(cmp.Or(s.StatedAt.NotAfter, now), now); statedAt > e.replicaNotAfter {
			e.replicaNotAfter, e.replicaSource = statedAt, s.Source
		}
	}
}

// start records the latest time at which the member's process started. A new process starts as a replica.
func (e *evidence) start(at time.Duration) { e.started = max(e.started, at) }

// isPrimary reports whether the newest statement that the member is the primary was certainly made after all
// evidence against it.
func (e *evidence) isPrimary() bool { return e.primaryNotBefore > max(e.replicaNotAfter, e.started) }

// neverStatedRole reports whether the member has never stated its role.
func (e *evidence) neverStatedRole() bool { return !e.statedRole }

// clockReplaced drops the times that were dated by a wrong clock. Positions stay, as they are readings of
// the fleet's clock.
func (e *evidence) clockReplaced() { e.primaryNotBefore, e.started = 0, 0 }

// Grounds is the evidence on which an attempt is sent to a member.
type Grounds struct {
	Kind             GroundsKind
	Source           Source        // source of that evidence
	Position         time.Duration // position of the member; 0 if unknown
	PrimaryNotBefore time.Duration // with a statement of the primary: its earliest time
	// SendBy is the time until which the evidence holds, so that the attempt must not be sent later; 0 means
	// without limit. It was computed with the clock bounds of that time, whose offset for ages is kept here.
	SendBy, AgeOffset time.Duration
}

// Expired reports whether the evidence no longer holds under the present clock bounds.
func (g Grounds) Expired(now time.Duration, clock ClockBounds) bool {
	return g.SendBy > 0 && (!clock.Known || now > g.SendBy-max(0, clock.AgeOffset-g.AgeOffset))
}

// GroundsKind is the kind of evidence in Grounds.
type GroundsKind int

const (
	// A write, or a read that any member may serve: the member itself refuses what it cannot serve.
	NotNeeded        GroundsKind = iota
	ByPosition                   // a replica that has applied enough of the log
	PrimaryStatement             // the member stated that it is the primary, and no later evidence contradicts it
	PresumedPrimary              // the list names it as the primary, and it has not stated its role to this router
)

// String returns the name of the kind as it appears in logs.
func (k GroundsKind) String() string {
	return [...]string{"not needed", "position", "leader's word", "list"}[k]
}

// RoleStatements holds a member's last statements on its role as the host side reads them, before the router
// processes them. The zero value holds none.
type RoleStatements struct {
	replicaAt     time.Duration // time of its last statement that it is not the primary; 0 if there was none
	statedPrimary bool          // a complete answer has stated since then that it is the primary
}

// StatedPrimary records that a complete answer named the member as the primary.
func (s *RoleStatements) StatedPrimary() { s.statedPrimary = true }

// StatedReplica records the member's statement that it is not the primary. It reports whether that is new: the
// first such statement, or the first one since a statement to the contrary.
func (s *RoleStatements) StatedReplica(now time.Duration) (isNew bool) {
	isNew = s.statedPrimary || s.replicaAt == 0
	s.replicaAt, s.statedPrimary = now, false
	return isNew
}

// Refute reports whether the member has stated, since the decision to send an attempt, that it is not the
// primary, and the attempt needs the primary.
func (s *RoleStatements) Refute(g Grounds) bool {
	return g.NeedsPrimary() && s.replicaAt > 0 && s.replicaAt >= g.PrimaryNotBefore
}

// NeedsPrimary reports whether the grounds end with a statement of the member that it is a replica.
func (g Grounds) NeedsPrimary() bool { return g.Kind == PrimaryStatement || g.Kind == PresumedPrimary }

// addStatement records a statement about m and updates the primary of its group.
func (r *Router) addStatement(m *member, s Statement) {
	before := m.evidence
	if s.Position > r.latestPosition(cmp.Or(s.StatedAt.NotAfter, r.now)) {
		s.Position = 0 // a position in the future would later make stale data pass as fresh
	}
	m.evidence.add(r.now, s)
	m.group.newestPosition = max(m.group.newestPosition, s.Position)
	r.updatePrimary(m, s.Source, before)
}

// addStart records a start time from the list.
func (r *Router) addStart(m *member, at time.Duration) {
	before := m.evidence
	m.evidence.start(at)
	r.updatePrimary(m, FromList, before)
}

// updatePrimary updates the primary of the group after evidence about m has changed, and records a change of
// the primary.
func (r *Router) updatePrimary(m *member, source Source, before evidence) {
	after := m.evidence
	if after.primaryNotBefore == before.primaryNotBefore && after.replicaNotAfter == before.replicaNotAfter && after.started == before.started {
		return
	}
	g, previous := m.group, m.group.primary
	g.primary = g.newestPrimary()
	if g.primary == previous {
		return
	}
	change := PrimaryChange{Group: g.id, Source: source, Server: m.Server, PrimaryNotBefore: after.primaryNotBefore, ReplicaNotAfter: after.replicaNotAfter, Started: after.started}
	if previous != nil {
		change.From = previous.Server
	}
	if g.primary != nil {
		change.To = g.primary.Server
	}
	if len(r.changes) < maxChanges {
		r.changes = append(r.changes, change)
	}
}

// unreachablePosition is a position that no log reaches.
const unreachablePosition = time.Duration(math.MaxInt64 / 2)

// maxChanges is the maximum number of changes kept for PrimaryChanges, which the simulator never calls.
const maxChanges = 100

// PrimaryChanges returns the changes of primaries since the last call.
func (r *Router) PrimaryChanges() []PrimaryChange {
	out := r.changes
	r.changes = nil
	return out
}

// newestPrimary returns the member with the newest statement that it is the primary, or nil if that statement
// is contradicted. It does not fall back to an older statement of another member, as that member had been
// replaced before.
func (g *group) newestPrimary() *member {
	var newest *member
	for _, m := range g.members {
		if m.evidence.primaryNotBefore > 0 && (newest == nil || m.evidence.primaryNotBefore > newest.evidence.primaryNotBefore) {
			newest = m
		}
	}
	if newest == nil || newest.evidence.primaryNotBefore < g.forgottenPrimaryAt || !newest.evidence.isPrimary() {
		return nil
	}
	return newest
}

// primaryOf returns the member that last stated it is the primary, or else the member that the list names,
// as long as that one has not stated its role. It returns nil if there is neither.
func (r *Router) primaryOf(g *group) *member {
	if g.primary != nil {
		return g.primary
	}
	for _, m := range g.members {
		if m.Primary && m.evidence.neverStatedRole() && !m.mayHaveStatedRole && r.accepts(m, true) {
			return m
		}
	}
	return nil
}

// grounds returns the evidence on which q may be sent to m now.
func (r *Router) grounds(q *request, m *member) Grounds {
	e := &m.evidence
	if q.class.Need == Write || r.needsNoProof(q) {
		return Grounds{Kind: NotNeeded, Position: e.position}
	}
	switch {
	case m == m.group.primary:
		return Grounds{Kind: PrimaryStatement, Source: e.primarySource, Position: e.position, PrimaryNotBefore: e.primaryNotBefore}
	case r.fresh(q, m):
		g := Grounds{Kind: ByPosition, Source: e.positionSource, Position: e.position}
		if q.class.bounded() {
			g.SendBy, g.AgeOffset = r.sendBy(q, m), r.clock.AgeOffset
		}
		return g
	}
	return Grounds{Kind: PresumedPrimary, Source: FromList, Position: e.position}
}

// addOutcome records what the end of an attempt states. Of an incomplete answer, only a statement against
// the member counts.
func (r *Router) addOutcome(m *member, e Outcome) {
	if e.StatedAt == (TimeBounds{}) {
		e.StatedAt.NotBefore = r.now - e.Took
		// A primary's position is the present; after a write it is that of the commit, rounded up.
		if e.Role == Primary {
			e.StatedAt.NotBefore = max(e.StatedAt.NotBefore, e.Position-r.clock.MaxOffset-slack)
		}
	}
	if !completeAnswer(e.Result) {
		if e.Role == Replica {
			r.addStatement(m, Statement{Source: FromPartialAnswer, Role: Replica, StatedAt: e.StatedAt})
		}
		return
	}
	r.addStatement(m, Statement{Source: FromAnswer, Role: e.Role, Position: e.Position, StatedAt: e.StatedAt})
	if e.Role != Unknown {
		e.Report.Role = Unknown // the report that came with it is older
	}
	r.addReport(m, e.StatedAt, e.Report)
}

// addReport records a load report, which states its own age.
func (r *Router) addReport(m *member, statedAt TimeBounds, report Report) {
	if report.Valid {
		statedAt.NotBefore = report.NotBefore
		r.addStatement(m, Statement{Source: FromReport, Role: report.Role, Position: report.Position, StatedAt: statedAt})
	}
}

// latestPosition returns the highest position that a log may have had at a time. Without clock bounds that
// is any position.
func (r *Router) latestPosition(at time.Duration) time.Duration {
	if !r.clock.Known {
		return unreachablePosition
	}
	return at + r.clock.MaxOffset + slack
}

// onClockBounds applies new clock bounds. Positions that now turn out to lie in the future are dropped.
func (r *Router) onClockBounds(e ClockBounds) {
	first := e.Known && !r.clock.Known
	narrower := first || e.Known && e.MaxOffset < r.clock.MaxOffset
	if r.clock = e; !narrower {
		return
	}
	for _, m := range r.members {
		if m.evidence.position > r.latestPosition(r.now) {
			m.evidence.position = 0
		}
	}
	for _, g := range r.groups {
		if g.newestPosition > r.latestPosition(r.now) {
			g.newestPosition = 0
		}
	}
	if first {
		for _, g := range r.groups {
			r.sendQueued(g)
		}
	}
}

// onClockReplaced drops evidence that was dated by a wrong clock.
func (r *Router) onClockReplaced() {
	for _, m := range r.members {
		before := m.evidence
		m.evidence.clockReplaced()
		r.updatePrimary(m, FromAnswer, before)
	}
	for _, g := range r.groups {
		g.forgottenPrimaryAt = 0
	}
}

// onPriorEvidence records what an earlier router knew about a member.
func (r *Router) onPriorEvidence(e PriorEvidence) {
	m := r.members[e.Server]
	if m == nil {
		return
	}
	if e.PrimaryNotBefore > 0 {
		r.addStatement(m, Statement{Source: FromHandover, Role: Primary, StatedAt: TimeBounds{NotBefore: e.PrimaryNotBefore}})
	}
	if e.ReplicaNotAfter > 0 {
		r.addStatement(m, Statement{Source: FromHandover, Role: Replica, StatedAt: TimeBounds{NotAfter: e.ReplicaNotAfter}})
	}
	r.addStatement(m, Statement{Source: FromHandover, Position: e.Position})
	m.suspect = m.suspect || !e.Alive // it is probed before anything is sent to it
	r.sendQueued(m.group)
}

// completeAnswer reports whether a result comes from a complete answer.
func completeAnswer(x Result) bool {
	return x == OK || x == Failed || x == QueueFull || x == Misdirected || x == Stale || x == SetupFailed
}

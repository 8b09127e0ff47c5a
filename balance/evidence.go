package balance

// Evidence of roles and positions: what answers, reports, other routers, the list and an earlier process said of members, and since
// when it was true at the earliest and at the latest. This file alone writes it and says who may be read from as a primary, and on
// what grounds. docs/freshness.md has the table of sources.
//
// What is kept of a member is a maximum over all that was said, so that the order in which statements come does not matter: older
// news never takes the place of newer.

import (
	"cmp"
	"math"
	"time"
)

// Source is who made a statement.
type Source int

const (
	FromAnswer        Source = iota // an answer of the member's, whole
	FromPartialAnswer               // the part that came of an answer which broke off, or which can't be read otherwise
	FromReport                      // a load report that came without a role beside it
	FromGossip                      // another router
	FromHandover                    // an earlier process of this router
	FromList                        // the list of servers
)

// String is the source in a word.
func (s Source) String() string {
	return [...]string{"answer", "part of an answer", "report", "gossip", "handover", "list"}[s]
}

// TimeBounds bounds when a statement was made, by the router's clock.
type TimeBounds struct {
	NotBefore, NotAfter time.Duration
	Epoch               int // of the clock by which it was dated; the router itself knows one only
}

// Statement is what a source said of a member.
type Statement struct {
	Source   Source
	Role     Role          // Unknown: nothing was said of it
	Position time.Duration // that its log had reached; 0: not told
	StatedAt TimeBounds
}

// evidence is what is known of one member's role and log.
type evidence struct {
	position     time.Duration // highest that was told: it never goes back
	positionFrom Source
	positionAt   time.Duration // when that was told last, at the latest
	leads        time.Duration // the newest word that it is the primary was made no earlier; 0: there was none
	leadsFrom    Source
	follows      time.Duration // the newest word that it is none was made no later; 0: there was none
	followsFrom  Source
	told         bool          // it has told its role at any time
	started      time.Duration // its process started no later, by the list; 0: long ago
}

// add takes a statement that reached the router at a time. Words against being read from bind as if they had been made as late as
// possible, words for it as if they had been made as early as possible.
func (e *evidence) add(now time.Duration, s Statement) {
	if told := cmp.Or(s.StatedAt.NotAfter, now); s.Position > e.position {
		e.position, e.positionFrom, e.positionAt = s.Position, s.Source, told
	} else if s.Position == e.position {
		e.positionAt = max(e.positionAt, told) // its log stands still
	}
	e.told = e.told || s.Role != Unknown
	switch s.Role {
	case Primary:
		if made := min(s.StatedAt.NotBefore, now); made > e.leads {
			e.leads, e.leadsFrom = made, s.Source
		}
	case Replica:
		if made := min(cmp.Or(s.StatedAt.NotAfter, now), now); made > e.follows {
			e.follows, e.followsFrom = made, s.Source
		}
	}
}

// start takes the time at which the member's process started at the latest. Who starts goes on as a replica.
func (e *evidence) start(at time.Duration) { e.started = max(e.started, at) }

// leading says that its newest word is that it is the primary: one made, for certain, after all that speaks against it.
func (e *evidence) leading() bool { return e.leads > max(e.follows, e.started) }

// silent says that it has never told its role.
func (e *evidence) silent() bool { return !e.told }

// clockReplaced drops what was dated by a clock that was wrong. Positions stay: they are by the fleet's own.
func (e *evidence) clockReplaced() { e.leads, e.started = 0, 0 }

// Grounds say on what evidence an attempt goes to a member.
type Grounds struct {
	Kind             GroundsKind
	Source           Source        // of that evidence
	Position         time.Duration // the member's, as far as it is known; 0: it is not
	PrimaryNotBefore time.Duration // with LeaderWord: the word was made no earlier
	// SendBy is when the evidence no longer holds, so that the attempt must not begin later; 0: it holds for good. It moves with the
	// bounds of the clock, which then had data so much older by Ages.
	SendBy, AgeOffset time.Duration
}

// Expired says that the evidence does not hold any more, by the bounds of the clock as they are now.
func (g Grounds) Expired(now time.Duration, clock ClockBounds) bool {
	return g.SendBy > 0 && (!clock.Known || now > g.SendBy-max(0, clock.AgeOffset-g.AgeOffset))
}

// GroundsKind is a kind of Grounds.
type GroundsKind int

const (
	NotNeeded        GroundsKind = iota // a write, or a read that any member may serve: the member itself turns away what it can't
	ByPosition                          // a replica that has applied the log far enough
	PrimaryStatement                    // the member said that it is the primary, and nothing later speaks against it
	PresumedPrimary                     // the list names it, and it has told this router nothing of its role
)

// String is the kind in a word or two.
func (k GroundsKind) String() string {
	return [...]string{"not needed", "position", "leader's word", "list"}[k]
}

// RoleStatements are a member's last words on its role as a host side reads them, before the router gets to them. The zero value has none.
type RoleStatements struct {
	follows time.Duration // when it last said that it is no primary; 0: it never did
	leads   bool          // it has said since, in a whole answer, that it is
}

// StatedPrimary notes that a whole answer named the member the primary.
func (w *RoleStatements) StatedPrimary() { w.leads = true }

// StatedReplica notes that the member said that it is no primary. news: it had not, or has said otherwise since.
func (w *RoleStatements) StatedReplica(now time.Duration) (news bool) {
	news = w.leads || w.follows == 0
	w.follows, w.leads = now, false
	return news
}

// Refute says that the member has told, since an attempt was decided on, that it is not the primary that the attempt needs.
func (w *RoleStatements) Refute(g Grounds) bool {
	return g.NeedsPrimary() && w.follows > 0 && w.follows >= g.PrimaryNotBefore
}

// NeedsPrimary says that a word of the member's that it follows takes the grounds away.
func (g Grounds) NeedsPrimary() bool { return g.Kind == PrimaryStatement || g.Kind == PresumedPrimary }

// learn takes a statement on m, and notes who is its group's primary now.
func (r *Router) learn(m *member, s Statement) {
	before := m.evidence
	if s.Position > r.latestPosition(cmp.Or(s.StatedAt.NotAfter, r.now)) {
		s.Position = 0 // from the future: it would pass stale data as fresh once that has come
	}
	m.evidence.add(r.now, s)
	m.group.newest = max(m.group.newest, s.Position)
	r.noteRole(m, s.Source, before)
}

// learnStart takes a start that the list tells.
func (r *Router) learnStart(m *member, at time.Duration) {
	before := m.evidence
	m.evidence.start(at)
	r.noteRole(m, FromList, before)
}

// noteRole finds the group's primary anew after evidence on m has changed, and reports a change of who it is.
func (r *Router) noteRole(m *member, source Source, before evidence) {
	after := m.evidence
	if after.leads == before.leads && after.follows == before.follows && after.started == before.started {
		return
	}
	g, was := m.group, m.group.primary
	g.primary = g.newestLeader()
	if g.primary == was {
		return
	}
	x := PrimaryChange{Group: g.id, Source: source, Server: m.Server, PrimaryNotBefore: after.leads, ReplicaNotAfter: after.follows, Started: after.started}
	if was != nil {
		x.From = was.Server
	}
	if g.primary != nil {
		x.To = g.primary.Server
	}
	if len(r.changes) < changesMost {
		r.changes = append(r.changes, x)
	}
}

// noBound is a position that none reaches.
const noBound = time.Duration(math.MaxInt64 / 2)

// changesMost is how many changes are kept for who asks for them; the simulator never does.
const changesMost = 100

// PrimaryChanges gives what has changed since the last call, of who counts as a group's primary.
func (r *Router) PrimaryChanges() []PrimaryChange {
	out := r.changes
	r.changes = nil
	return out
}

// newestLeader is the member with the newest word that it is the primary, if that still stands. Where it does not, no older word of
// another member takes its place: that one had been replaced before.
func (g *group) newestLeader() *member {
	var newest *member
	for _, m := range g.members {
		if m.evidence.leads > 0 && (newest == nil || m.evidence.leads > newest.evidence.leads) {
			newest = m
		}
	}
	if newest == nil || newest.evidence.leads < g.ledBefore || !newest.evidence.leading() {
		return nil
	}
	return newest
}

// primaryOf is the member that last said it is the primary, else the one that the list names as long as it has not told its role.
func (r *Router) primaryOf(g *group) *member {
	if g.primary != nil {
		return g.primary
	}
	for _, m := range g.members {
		if m.Primary && m.evidence.silent() && !m.relisted && r.accepts(m, true) {
			return m
		}
	}
	return nil
}

// grounds says on what evidence q may be sent to m now.
func (r *Router) grounds(q *request, m *member) Grounds {
	e := &m.evidence
	if q.cls.Need == Write || r.anyMember(q) {
		return Grounds{Kind: NotNeeded, Position: e.position}
	}
	switch {
	case m == m.group.primary:
		return Grounds{Kind: PrimaryStatement, Source: e.leadsFrom, Position: e.position, PrimaryNotBefore: e.leads}
	case r.fresh(q, m):
		g := Grounds{Kind: ByPosition, Source: e.positionFrom, Position: e.position}
		if q.cls.bounded() {
			g.SendBy, g.AgeOffset = r.sendBy(q, m), r.clock.AgeOffset
		}
		return g
	}
	return Grounds{Kind: PresumedPrimary, Source: FromList, Position: e.position}
}

// learnOutcome takes what an attempt told. Of an answer that did not come whole only what speaks against the member counts.
func (r *Router) learnOutcome(m *member, e Outcome) {
	if e.StatedAt == (TimeBounds{}) {
		e.StatedAt.NotBefore = r.now - e.Took
		if e.Role == Primary { // its position is the present; of a write, its commit, rounded up
			e.StatedAt.NotBefore = max(e.StatedAt.NotBefore, e.Position-r.clock.MaxOffset-slack)
		}
	}
	if !wholeAnswer(e.Result) {
		if e.Role == Replica {
			r.learn(m, Statement{Source: FromPartialAnswer, Role: Replica, StatedAt: e.StatedAt})
		}
		return
	}
	r.learn(m, Statement{Source: FromAnswer, Role: e.Role, Position: e.Position, StatedAt: e.StatedAt})
	if e.Role != Unknown {
		e.Report.Role = Unknown // the report beside it is older
	}
	r.learnReport(m, e.StatedAt, e.Report)
}

// learnReport takes a load report, which says itself how old it is.
func (r *Router) learnReport(m *member, made TimeBounds, rep Report) {
	if rep.Valid {
		made.NotBefore = rep.NotBefore
		r.learn(m, Statement{Source: FromReport, Role: rep.Role, Position: rep.Position, StatedAt: made})
	}
}

// latestPosition is the latest position that a log may have had at a time; without bounds it may be any.
func (r *Router) latestPosition(at time.Duration) time.Duration {
	if !r.clock.Known {
		return noBound
	}
	return at + r.clock.MaxOffset + slack
}

// onClockBounds takes how the clock stands. A position that turns out to lie in the future was none.
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
		if g.newest > r.latestPosition(r.now) {
			g.newest = 0
		}
	}
	if first {
		for _, g := range r.groups {
			r.release(g)
		}
	}
}

// onClockReplaced forgets what was dated by a clock that was wrong.
func (r *Router) onClockReplaced() {
	for _, m := range r.members {
		before := m.evidence
		m.evidence.clockReplaced()
		r.noteRole(m, FromAnswer, before)
	}
	for _, g := range r.groups {
		g.ledBefore = 0
	}
}

// onInherited takes what an earlier router knew of a member.
func (r *Router) onInherited(e PriorEvidence) {
	m := r.members[e.Server]
	if m == nil {
		return
	}
	if e.PrimaryNotBefore > 0 {
		r.learn(m, Statement{Source: FromHandover, Role: Primary, StatedAt: TimeBounds{NotBefore: e.PrimaryNotBefore}})
	}
	if e.ReplicaNotAfter > 0 {
		r.learn(m, Statement{Source: FromHandover, Role: Replica, StatedAt: TimeBounds{NotAfter: e.ReplicaNotAfter}})
	}
	r.learn(m, Statement{Source: FromHandover, Position: e.Position})
	m.suspect = m.suspect || !e.Alive // a probe comes before what is sent
	r.release(m.group)
}

// wholeAnswer says that a result is told by an answer that came whole.
func wholeAnswer(x Result) bool {
	return x == OK || x == Failed || x == QueueFull || x == Misdirected || x == Stale
}

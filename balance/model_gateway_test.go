package balance_test

// The gateway of the model: the real module behind a host side that follows what docs/freshness.md says of
// internal/wire/backend and internal/memory/exchange, with a clock that is off and a process that stalls.

import (
	"fmt"
	"slices"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

const (
	modelSlack          = 50 * ms  // added to every bound for reads over sockets
	modelMaxSendDelay   = 150 * ms // maximum stall of a process between a decision and the send
	modelStatementDelay = 100 * ms // a statement counts as known this long after its answer was written
	modelPresentAge     = 5 * ms   // maximum age of the clock reading that a primary answers with
	modelDrift          = 0.0009   // maximum drift of a machine's clock against the fleet's
)

// modelAttempt is an attempt on its way between the gateway and a host.
type modelAttempt struct {
	request *modelRequest
	number  int
	server  *modelHost
	grounds balance.Grounds
	written time.Duration // 0 until it is written
	sent    time.Duration // the same time by this machine's clock
	ended   bool
}

// modelRequest is a request of the client.
type modelRequest struct {
	id          string
	class       string
	minPosition time.Duration // commit that it must see, by the fleet's clock
	bound       time.Duration
	deadline    time.Duration
	attempt     *modelAttempt
	attempts    int
	done        bool
}

// modelGateway is one gateway with its successive processes.
type modelGateway struct {
	w                 *world
	clockOffset       time.Duration // fleet's clock minus the machine's clock, at the epoch
	drift             float64       // how much slower the machine's clock runs, as a fraction
	settings          balance.Settings
	seed              uint64
	process           int // counts the processes
	stalledUntil      time.Duration
	loopBusyUntil     time.Duration // the event loop is busy until then
	stallsEnabled     bool
	stallChance       float64 // fraction of the writes that are preceded by a stall
	loadReports       bool
	falsePositions    bool // one answer of each process states a primary's position that is too old
	falsePositionSent bool
	// Hosts are probed more often than the module requests, as if there were more of them.
	extraProbes   bool
	maxRequestGap time.Duration // maximum time between requests: a gateway with few requests gets few statements

	router   *balance.Router
	clock    *fleetclock.Estimate
	epoch    int
	bounds   balance.ClockBounds // as last passed to the module
	list     map[string]balance.Member
	requests map[string]*modelRequest
	count    int
	// Time of each host's last statement on a connection that it is a replica, by this machine's clock.
	replicaAt      map[string]time.Duration
	replicaAnswers map[*modelHost][]time.Duration
	steppedAt      time.Duration // when the fleet's clock was stepped, by this machine's clock; 0 if never
	stepHidden     bool          // no answer to a query sent since the step shows it
	stepShownAt    time.Duration // when an answer first showed the step
	violations     []string
	reads          int
}

func newModelGateway(w *world) *modelGateway {
	bound := []time.Duration{500 * ms, 500 * ms, 200 * ms}[w.rng.IntN(3)]
	g := &modelGateway{w: w, seed: w.rng.Uint64(), replicaAnswers: map[*modelHost][]time.Duration{}, list: map[string]balance.Member{}}
	if w.chance(0.5) {
		g.clockOffset = w.between(-500*ms, 500*ms)
	}
	if w.chance(0.1) {
		g.clockOffset *= 10
	}
	switch g.falsePositions = w.chance(0.3) && g.clockOffset == 0; {
	case g.falsePositions:
	case w.chance(0.3):
		g.drift = (2*w.rng.Float64() - 1) * modelDrift
		w.after(w.between(time.Second, 6*time.Second), func() { w.skip(w.between(time.Minute, 10*time.Minute)) })
	case g.clockOffset == 0 && w.chance(0.3):
		w.after(w.between(0, 6*time.Second), func() { w.repeatPosition(w.between(20*ms, 2*time.Second)) })
	case w.chance(0.3):
		w.after(w.between(0, 6*time.Second), func() { w.step(w.between(100*ms, 3*time.Second)) })
	}
	g.extraProbes = w.chance(0.3)
	g.stallsEnabled, g.loadReports = w.chance(0.5), w.chance(0.7)
	g.stallChance = []float64{0.03, 0.03, 0.5}[w.rng.IntN(3)]
	g.maxRequestGap = []time.Duration{40 * ms, 60 * ms, 300 * ms, 900 * ms}[w.rng.IntN(4)]
	g.settings = balance.Settings{Routers: 1, Tick: ms, TokensCarried: true, Probes: w.chance(0.8), Cancel: true, RetryAfter: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6, DrainGrace: time.Second, MaxSendDelay: modelMaxSendDelay, OverloadFactor: 4, ColdShare: 0.25,
		ColdTime: 2 * time.Second, Classes: []balance.Class{
			{Name: "view", Need: balance.Bounded, Bound: bound, LatencyTarget: 400 * ms, Deadline: 900 * ms, Worth: 1},
			{Name: "own", Need: balance.Session, LatencyTarget: 400 * ms, Deadline: 900 * ms, Worth: 1},
			{Name: "order", Need: balance.Write, Effect: balance.Unsafe, LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Worth: 3, LateWorth: .7}}}
	for _, h := range w.hosts {
		g.list[h.id] = h.list
	}
	g.start(false)
	w.after(0, g.sendRequests)
	return g
}

// local returns the reading of the machine's clock.
func (g *modelGateway) local() time.Duration { return g.w.now - g.offset() }

// offset returns the fleet's clock minus the machine's clock.
func (g *modelGateway) offset() time.Duration {
	return g.clockOffset + time.Duration(g.drift*float64(g.w.now-epoch))
}

// stepBy adjusts the gateway to a step of the fleet's clock.
func (g *modelGateway) stepBy(d time.Duration) {
	g.clockOffset += d
	g.stalledUntil, g.loopBusyUntil = shifted(g.stalledUntil, d), shifted(g.loopBusyUntil, d)
	for h := range g.replicaAnswers {
		for i := range g.replicaAnswers[h] {
			g.replicaAnswers[h][i] += d
		}
	}
	g.steppedAt, g.stepHidden = g.local(), true
}

// start starts the module, for a new process or again after a panic.
func (g *modelGateway) start(again bool) {
	s := g.settings
	s.Restarted = again
	g.seed++
	r, err := balance.New(s, g.seed)
	if err != nil {
		panic(err)
	}
	if g.clock == nil {
		g.clock = fleetclock.New(g.local())
	}
	g.router, g.requests, g.bounds = r, map[string]*modelRequest{}, balance.ClockBounds{}
	g.router.Handle(g.local(), g.bounds, nil)
	list := balance.Members{Snapshot: true}
	for _, m := range g.list {
		list.List = append(list.List, g.entry(m))
	}
	slices.SortFunc(list.List, func(a, b balance.Member) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	g.handle(list)
}

// entry returns a list entry with its start time by the machine's clock.
func (g *modelGateway) entry(m balance.Member) balance.Member {
	if m.Started > 0 {
		started := g.local()
		if b := g.clock.Bounds(); b.HasMin {
			started = min(started, m.Started-b.At(g.local()).Min)
		}
		m.Started = started
	}
	return m
}

// timeOutAll ends all attempts in flight with a timeout.
func (g *modelGateway) timeOutAll() {
	for _, q := range g.requests {
		if q.attempt != nil {
			g.endAttempt(q.attempt, balance.Outcome{Result: balance.TimedOut})
		}
	}
}

// replaceModule replaces the module; the process continues.
func (g *modelGateway) replaceModule() {
	g.w.logf("the module panics")
	var evidence []balance.PriorEvidence
	g.router.Views(g.local(), func(s balance.MemberView) {
		evidence = append(evidence, balance.PriorEvidence{Server: s.Server, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: true})
	})
	g.end()
	g.start(true)
	for _, k := range evidence {
		g.handle(k)
	}
}

// restart ends the process and starts the next one, with or without the handover state.
func (g *modelGateway) restart(handover bool) {
	g.w.logf("the process ends, handover: %t", handover)
	var evidence []balance.PriorEvidence
	g.router.Views(g.local(), func(s balance.MemberView) {
		evidence = append(evidence, balance.PriorEvidence{Server: s.Server, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: s.Usable})
	})
	g.end()
	g.process++
	g.replicaAt, g.falsePositionSent, g.stepHidden = nil, false, g.stepHidden && handover
	b := g.clock.Bounds()
	g.clock, g.epoch = fleetclock.New(g.local()), 0
	if handover && b.HasMax && !b.Contradicted {
		g.clock.Inherit(g.local(), b.At(g.local()))
	}
	if !handover {
		g.replicaAnswers = map[*modelHost][]time.Duration{}
	}
	g.start(handover)
	if handover {
		for _, k := range evidence {
			g.handle(k)
		}
	}
}

// end ends all attempts of a process.
func (g *modelGateway) end() {
	for _, q := range g.requests {
		if q.done = true; q.attempt != nil {
			q.attempt.ended = true
		}
	}
}

// stall lets the process stall for a while, if stalls are enabled.
func (g *modelGateway) stall(d time.Duration) {
	if g.stallsEnabled {
		g.stalledUntil = max(g.stalledUntil, g.w.now+d)
	}
}

// read runs do when something arrives on a socket, but not before the end of a stall.
func (g *modelGateway) read(d time.Duration, do func()) {
	life := g.process
	var try func()
	try = func() {
		switch {
		case life != g.process:
		case g.w.now < g.stalledUntil:
			g.w.after(g.stalledUntil-g.w.now+g.w.between(0, ms), try) // after a stall the order is random
		default:
			do()
		}
	}
	g.w.after(d, try)
}

// post hands something to the event loop, which may be busy for a while.
func (g *modelGateway) post(do func()) {
	if g.w.chance(0.02) {
		g.loopBusyUntil = max(g.loopBusyUntil, g.w.now+g.w.between(0, 80*ms))
	}
	g.read(max(0, g.loopBusyUntil-g.w.now), do)
}

// members passes list entries to the module.
func (g *modelGateway) members(whole bool, list []balance.Member) {
	list = slices.Clone(list)
	g.post(func() {
		e := balance.Members{Snapshot: whole}
		for _, m := range list {
			g.list[m.Server] = m
			g.w.logf("list: %s primary %t started %t state %d", m.Server, m.Primary, m.Started > 0, m.State)
			e.List = append(e.List, g.entry(m))
		}
		g.handle(e)
	})
}

// sendRequests sends requests until the run ends.
func (g *modelGateway) sendRequests() {
	w := g.w
	w.after(w.between(2*ms, g.maxRequestGap), g.sendRequests)
	if w.now < g.stalledUntil {
		return
	}
	g.count++
	q := &modelRequest{id: time.Duration(g.count).String(), class: []string{"view", "view", "own", "order"}[w.rng.IntN(4)]}
	r := balance.Request{ID: q.id, Class: q.class, Session: "s"}
	q.bound = g.settings.Classes[0].Bound
	switch q.class {
	case "own":
		if q.minPosition = w.lastWrite; w.chance(0.3) {
			q.minPosition = w.now - w.between(0, time.Second) // a commit that was made through another gateway
		}
		if q.minPosition > 0 {
			r.SessionPosition = q.minPosition
		}
	}
	for _, c := range g.settings.Classes {
		if c.Name == q.class {
			r.Deadline = g.local() + c.Deadline
		}
	}
	q.deadline = r.Deadline
	g.requests[q.id] = q
	g.handle(r)
	if w.chance(0.2) {
		g.gossip()
	}
	for g.extraProbes && w.chance(0.3) {
		g.probe(w.hosts[w.rng.IntN(len(w.hosts))].id)
	}
}

// gossip delivers a gossip entry of another gateway about a host's past state, with the time bounds that
// internal/control/gossip gives.
func (g *modelGateway) gossip() {
	h := g.w.hosts[g.w.rng.IntN(len(g.w.hosts))]
	if !h.alive {
		return
	}
	s := g.w.state(h)
	g.read(g.w.between(5*ms, 1900*ms), func() {
		b := g.clock.Bounds()
		offset := b.At(g.local())
		entry := balance.RemoteOutcome{Server: h.id, Class: "view", Result: balance.OK, Took: 10 * ms, Source: balance.FromGossip, Position: s.position}
		if b.HasMin {
			entry.At = s.at - offset.Min
		}
		if entry.Role = balance.Replica; s.primary {
			entry.Role = balance.Unknown
			if b.HasMax {
				entry.Role, entry.NotBefore = balance.Primary, s.position-offset.Max
			}
		}
		g.handle(entry)
	})
}

// clockBounds returns the clock bounds that the module gets.
func (g *modelGateway) clockBounds() balance.ClockBounds {
	b := g.clock.Bounds()
	if !b.HasMax {
		return balance.ClockBounds{}
	}
	return balance.ClockBounds{Known: true, AgeOffset: (b.AgeOffset(g.local()) + ms).Truncate(ms), MaxOffset: (b.At(g.local()).Max + ms).Truncate(ms)}
}

// handle passes an event to the module and carries out its actions.
func (g *modelGateway) handle(e balance.Event) {
	if known := g.clockBounds(); known != g.bounds {
		g.bounds = known
		g.handle(known)
	}
	if g.clock.Epoch() != g.epoch {
		g.epoch = g.clock.Epoch()
		g.handle(balance.ClockReplaced{})
	}
	for _, a := range g.router.Handle(g.local(), e, nil) {
		switch a := a.(type) {
		case balance.Send:
			g.send(a)
		case balance.Refuse:
			g.finished(a.ID)
		case balance.Fail:
			g.finished(a.ID)
		case balance.Cancel:
			if q := g.requests[a.ID]; q != nil && q.attempt != nil {
				g.endAttempt(q.attempt, balance.Outcome{Result: balance.Canceled})
			}
		case balance.Probe:
			g.probe(a.Server)
		case balance.StartTimer:
			router, tag := g.router, a.Tag
			g.read(a.Wait, func() {
				if g.router == router {
					g.handle(balance.Timer{Tag: tag})
				}
			})
		}
	}
	for _, c := range g.router.PrimaryChanges() {
		g.w.logf("module: primary %q, was %q, source %s about %s", c.To, c.From, c.Source, c.Server)
	}
}

func (g *modelGateway) finished(id string) {
	if q := g.requests[id]; q != nil {
		q.done = true
	}
}

func (g *modelGateway) host(server string) *modelHost {
	for _, h := range g.w.hosts {
		if h.id == server {
			return h
		}
	}
	return nil
}

// send starts an attempt, which may have to connect first.
func (g *modelGateway) send(a balance.Send) {
	q := g.requests[a.ID]
	attempt := &modelAttempt{request: q, number: q.attempts, server: g.host(a.Server), grounds: a.Grounds}
	q.attempts++
	q.attempt = attempt
	connect := g.w.between(0, 3*ms)
	if g.w.chance(0.1) {
		connect = g.w.between(0, 1200*ms)
	}
	g.read(connect, func() { g.write(attempt) })
	if a.Timeout > 0 {
		g.read(a.Timeout, func() { g.endAttempt(attempt, balance.Outcome{Result: balance.TimedOut}) })
	}
}

// write is the host side's last check before the first byte is written.
func (g *modelGateway) write(attempt *modelAttempt) {
	now := g.local()
	switch {
	case attempt.ended:
		return
	case now >= attempt.request.deadline, attempt.request.done, attempt.grounds.Expired(now, g.clockBounds()),
		attempt.grounds.NeedsPrimary() && g.replicaAt[attempt.server.id] > 0 && g.replicaAt[attempt.server.id] >= attempt.grounds.PrimaryNotBefore:
		g.endAttempt(attempt, balance.Outcome{Result: balance.NotSent})
		return
	case !attempt.server.alive:
		g.endAttempt(attempt, balance.Outcome{Result: balance.NoConnection})
		return
	}
	stalledFor := time.Duration(0)
	if g.stallsEnabled && g.w.chance(g.stallChance) { // between the check and the write
		stalledFor = g.w.between(0, modelMaxSendDelay)
		g.stalledUntil = max(g.stalledUntil, g.w.now+stalledFor)
	}
	g.w.after(stalledFor, func() {
		if !attempt.ended {
			attempt.written, attempt.sent = g.w.now, g.local()
			g.w.after(g.w.between(0, ms), func() { g.arriveAtHost(attempt, stalledFor) })
		}
	})
}

// arriveAtHost delivers the attempt to its host.
func (g *modelGateway) arriveAtHost(attempt *modelAttempt, stalledFor time.Duration) {
	w, h := g.w, attempt.server
	switch {
	case !h.alive:
		g.read(0, func() { g.endAttempt(attempt, balance.Outcome{Result: balance.Reset}) })
		return
	case h.hangsUntil > w.now:
		w.after(h.hangsUntil-w.now+w.between(0, 5*ms), func() { g.arriveAtHost(attempt, stalledFor) })
		return
	}
	started := h.started
	w.after(w.between(2*ms, 40*ms), func() {
		switch {
		case !h.alive || h.started != started:
			return // its process has died: resetConnections has ended the attempt
		case h.hangsUntil > w.now:
			w.after(h.hangsUntil-w.now, func() { g.serveAtHost(attempt, stalledFor) })
		default:
			g.serveAtHost(attempt, stalledFor)
		}
	})
}

// serveAtHost lets the host execute the query; its answer may be written late.
func (g *modelGateway) serveAtHost(attempt *modelAttempt, stalledFor time.Duration) {
	w, h := g.w, attempt.server
	if !h.alive {
		return
	}
	s := w.state(h)
	if w.stalls && !s.primary && w.chance(0.3) {
		w.stall(h, w.between(300*ms, 2*time.Second))
	}
	if s.primary { // its clock reading may be older than the query
		s.stated -= w.between(0, modelPresentAge)
	}
	result := balance.OK
	commit := time.Duration(0)
	switch {
	case attempt.request.class == "order" && !s.primary:
		result = balance.Misdirected
	case attempt.request.class == "order":
		commit = s.stated
	}
	late := time.Duration(0)
	if w.chance(0.1) {
		late = w.between(0, 1200*ms)
	}
	w.after(late, func() {
		broken, writtenAt := w.chance(0.03), w.now
		g.read(w.between(0, 5*ms), func() {
			if attempt.ended {
				return // closed before the answer was read: docs/freshness.md lists that as an open risk
			}
			if !broken && !s.primary {
				g.replicaAnswers[h] = append(g.replicaAnswers[h], writtenAt)
			}
			g.answer(attempt, s, result, commit, broken, stalledFor)
		})
	})
}

// answer handles the answer that the gateway reads.
func (g *modelGateway) answer(attempt *modelAttempt, s modelState, result balance.Result, commit time.Duration, broken bool, stalledFor time.Duration) {
	h, now := attempt.server, g.local()
	outcome := balance.Outcome{Result: result, Written: attempt.sent, StatedAt: balance.TimeBounds{NotBefore: attempt.sent, NotAfter: now}}
	if !s.primary && !broken {
		g.noteReplica(h)
	}
	if broken || g.w.chance(0.03) { // it breaks off
		outcome.Result = []balance.Result{balance.Garbled, balance.Reset, balance.TimedOut}[g.w.rng.IntN(3)]
		if !s.primary && !broken {
			outcome.Role = balance.Replica
		}
		g.endAttempt(attempt, outcome)
		return
	}
	position := s.stated.Truncate(ms)
	if commit > 0 {
		position = (commit + ms - 1).Truncate(ms)
	}
	observation := fleetclock.Observation{Host: h.id, Position: position, Sent: attempt.sent, Received: now}
	outcome.Role, outcome.Position = balance.Replica, position
	if s.primary {
		outcome.Role = balance.Primary
		if g.falsePositions && !g.falsePositionSent && g.w.chance(0.2) {
			g.falsePositionSent = true
			position -= g.w.between(10*ms, 3*time.Second)
			observation.Position, outcome.Position = position, position
			g.w.logf("%s states a position that is too old", h.id)
		}
		if result == balance.OK {
			observation.PrimaryPosition = position
		}
	}
	if g.loadReports && h.report.at > 0 {
		observation.Position = max(observation.Position, reportPosition(h.report))
	}
	g.observe(observation)
	if g.loadReports && h.report.at > 0 {
		outcome.Report = g.localReport(h.report, now)
	}
	if b := g.clock.Bounds(); s.primary && b.HasMax {
		outcome.StatedAt.NotBefore = max(outcome.StatedAt.NotBefore, min(position-b.At(now).Max-ms, now))
	}
	outcome.StatedAt.Epoch = g.clock.Epoch()
	if result == balance.OK && !attempt.request.done {
		outcome.ID, outcome.Server = attempt.request.id, attempt.server.id
		g.check(attempt, s, stalledFor, outcome)
		if commit > 0 {
			g.w.lastWrite = max(g.w.lastWrite, position)
		}
	}
	g.endAttempt(attempt, outcome)
}

// observe passes an observation of the fleet's clock to the process and checks that the resulting bounds
// hold.
func (g *modelGateway) observe(o fleetclock.Observation) {
	if b := g.clock.Bounds(); g.stepHidden && o.Sent >= g.steppedAt && b.HasMax && o.OffsetInterval().Min > b.At(g.local()).Max {
		g.stepHidden, g.stepShownAt = false, g.w.now
		g.w.logf("%s shows the step", o.Host)
	}
	g.clock.Observe(o)
	b, offset := g.clock.Bounds(), g.offset()
	if i := b.At(g.local()); !g.stepHidden && (b.HasMin && i.Min > offset || b.HasMax && i.Max < offset) {
		g.violations = append(g.violations, fmt.Sprintf("the offset of the fleet's clock is %s, outside the bounds %+v", offset, i))
		g.w.logf("BROKEN: %s", g.violations[len(g.violations)-1])
	}
}

// noteReplica records on the host side, at once, a host's statement that it is a replica.
func (g *modelGateway) noteReplica(h *modelHost) {
	if g.replicaAt == nil {
		g.replicaAt = map[string]time.Duration{}
	}
	now := g.local()
	isNew := g.replicaAt[h.id] == 0
	g.replicaAt[h.id] = now
	if isNew || g.w.chance(0.5) {
		g.post(func() {
			g.handle(balance.RemoteOutcome{Server: h.id, Result: balance.OK, Role: balance.Replica, Source: balance.FromPartialAnswer, At: now, NotAfter: now})
		})
	}
}

// check verifies the rule that no read is answered from data older than its class allows.
func (g *modelGateway) check(attempt *modelAttempt, s modelState, stalledFor time.Duration, o balance.Outcome) {
	if g.steppedAt > 0 && (g.stepHidden || attempt.written < g.stepShownAt || attempt.grounds.Kind != balance.ByPosition) {
		return // a step shows only once an answer does, and statements from before it cannot be dated
	}
	q, slack := attempt.request, modelSlack
	var bound time.Duration
	switch q.class {
	case "view":
		bound = attempt.written - q.bound
	case "own":
		bound, slack = q.minPosition, 0 // the position is stated exactly
	default:
		return
	}
	g.reads++
	if s.position >= bound-slack || g.presumedPrimary(attempt.server, attempt.written) {
		return
	}
	if stalledFor > 0 && g.router.Stale(g.local(), o) {
		// An answer after a stall before the write is rejected when it arrives; every other stale read must
		// be prevented before the send.
		return
	}
	g.violations = append(g.violations, q.class+" "+q.id+" at "+attempt.server.id+" from data "+(bound-s.position).String()+" too old, on "+attempt.grounds.Kind.String()+
		" of "+attempt.grounds.Source.String())
	g.w.logf("BROKEN: %s", g.violations[len(g.violations)-1])
}

// presumedPrimary reports whether a host has been the primary, and no known answer has stated since then
// that it is not.
func (g *modelGateway) presumedPrimary(h *modelHost, sent time.Duration) bool {
	if h.primaryUntil == 0 {
		return false
	}
	known := modelStatementDelay
	if g.stallsEnabled {
		known += modelMaxSendDelay
	}
	for _, at := range g.replicaAnswers[h] {
		if at > h.primaryUntil && sent-at > known {
			return false
		}
	}
	return true
}

// endAttempt passes the outcome of an attempt to the module, once.
func (g *modelGateway) endAttempt(attempt *modelAttempt, outcome balance.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	outcome.ID, outcome.Attempt, outcome.Server, outcome.Took = attempt.request.id, attempt.number, attempt.server.id, g.w.now-attempt.written
	if attempt.written == 0 {
		outcome.Took = 0
	}
	router := g.router
	g.post(func() {
		if g.router == router {
			q := attempt.request
			outcome.Final = q.done
			if outcome.StatedAt.Epoch != g.epoch && outcome.StatedAt.Epoch != g.clock.Epoch() && outcome.Role == balance.Primary {
				outcome.Role = balance.Unknown
			}
			g.handle(outcome)
			if outcome.Result == balance.OK {
				q.done = true
			}
		}
	})
}

// resetConnections resets all connections to a host whose process has died.
func (g *modelGateway) resetConnections(h *modelHost) {
	for _, q := range g.requests {
		if t := q.attempt; t != nil && !t.ended && t.server == h && t.written > 0 {
			g.read(g.w.between(0, ms), func() { g.endAttempt(t, balance.Outcome{Result: balance.Reset}) })
		}
	}
}

// probe sends a probe to a host.
func (g *modelGateway) probe(server string) {
	w, h := g.w, g.host(server)
	sent := g.local()
	if !h.alive {
		g.read(ms, func() { g.probed(balance.ProbeResult{Server: server, Result: balance.NoConnection}) })
		return
	}
	if h.hangsUntil > w.now && !h.answersProbes {
		g.read(250*ms, func() { g.probed(balance.ProbeResult{Server: server, Result: balance.TimedOut}) })
		return
	}
	s := h.report
	if !s.primary && g.loadReports && s.at > 0 {
		g.replicaAnswers[h] = append(g.replicaAnswers[h], w.now+ms)
	}
	g.read(w.between(ms, 6*ms), func() {
		now := g.local()
		p := balance.ProbeResult{Server: server, Result: balance.OK, StatedAt: balance.TimeBounds{NotBefore: sent, NotAfter: now}}
		if g.loadReports && s.at > 0 {
			if !s.primary {
				g.noteReplica(h)
			}
			g.observe(fleetclock.Observation{Host: h.id, Position: reportPosition(s), Sent: sent, Received: now})
			p.Report = g.localReport(s, now)
		}
		p.StatedAt.Epoch = g.clock.Epoch()
		g.probed(p)
	})
}

// reportPosition returns the position in a load report, rounded down.
func reportPosition(s modelState) time.Duration { return s.position.Truncate(ms) - ms }

// localReport returns a load report as the host side passes it on.
func (g *modelGateway) localReport(s modelState, now time.Duration) balance.Report {
	position := reportPosition(s)
	r := balance.Report{Valid: true, Role: balance.Replica, Position: position}
	if s.primary {
		r.Role = balance.Unknown
		if b := g.clock.Bounds(); b.HasMax {
			r.Role, r.NotBefore = balance.Primary, position-b.At(now).Max
		}
	}
	return r
}

// probed passes the result of a probe to the module.
func (g *modelGateway) probed(p balance.ProbeResult) {
	router := g.router
	g.post(func() {
		if g.router == router {
			g.handle(p)
		}
	})
}

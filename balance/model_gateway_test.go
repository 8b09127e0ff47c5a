package balance_test

// The gateway of the model: the real module, with a host side that keeps to what docs/freshness.md has of internal/wire/backend and
// internal/memory/exchange, a clock that is off, and a process that is held up.

import (
	"fmt"
	"slices"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

const (
	modelSlack      = 50 * ms  // that every bound is longer by on sockets
	modelHoldUp     = 150 * ms // how long a process may be held up
	knownAfter      = 100 * ms // after an answer was written it counts as known
	modelPresentAge = 5 * ms   // of the clock's reading by which a primary answers, at most
	modelDrift      = 0.0009   // of a machine's clock against the fleet's, at most
)

type modelAttempt struct {
	request *modelRequest
	number  int
	server  *modelHost
	grounds balance.Grounds
	written time.Duration // 0: not yet
	sent    time.Duration // the same by this machine's clock
	over    bool
}

type modelRequest struct {
	id       string
	class    string
	after    time.Duration // commit that it must see, by the fleet's clock
	bound    time.Duration
	deadline time.Duration
	attempt  *modelAttempt
	attempts int
	done     bool
}

// modelGateway is one gateway: its processes, one after another.
type modelGateway struct {
	w        *world
	offset   time.Duration // what the fleet's clock shows more than the machine's, at the epoch
	drift    float64       // by so much the machine's clock is slower
	settings balance.Settings
	seed     uint64
	life     int // counts processes
	heldTo   time.Duration
	loopTo   time.Duration // the event loop is busy until then
	holdUps  bool
	held     float64 // part of the writes that a hold-up comes before
	reports  bool
	lies     bool // one answer of each process tells a primary's position that is too old
	lied     bool
	often    bool          // hosts are probed more often than the module asks for, as more of them would be
	gap      time.Duration // between requests at most: a gateway with few of them hears little

	router   *balance.Router
	clock    *fleetclock.Estimate
	epoch    int
	bounds   balance.ClockBounds // as the module was told
	list     map[string]balance.Member
	requests map[string]*modelRequest
	count    int
	follows  map[string]time.Duration // when a host last said on a connection that it follows, by this machine's clock
	told     map[*modelHost][]time.Duration
	stepped  time.Duration // when the fleet's clock was set, by this machine's; 0: never
	unshown  bool          // and no answer to a query sent since shows it
	shownAt  time.Duration // when one did
	broke    []string
	reads    int
}

func newModelGateway(w *world) *modelGateway {
	bound := []time.Duration{500 * ms, 500 * ms, 200 * ms}[w.rng.IntN(3)]
	g := &modelGateway{w: w, seed: w.rng.Uint64(), told: map[*modelHost][]time.Duration{}, list: map[string]balance.Member{}}
	if w.chance(0.5) {
		g.offset = w.between(-500*ms, 500*ms)
	}
	if w.chance(0.1) {
		g.offset *= 10
	}
	switch g.lies = w.chance(0.3) && g.offset == 0; {
	case g.lies:
	case w.chance(0.3):
		g.drift = (2*w.rng.Float64() - 1) * modelDrift
		w.after(w.between(time.Second, 6*time.Second), func() { w.quiet(w.between(time.Minute, 10*time.Minute)) })
	case g.offset == 0 && w.chance(0.3):
		w.after(w.between(0, 6*time.Second), func() { w.standStill(w.between(20*ms, 2*time.Second)) })
	case w.chance(0.3):
		w.after(w.between(0, 6*time.Second), func() { w.step(w.between(100*ms, 3*time.Second)) })
	}
	g.often = w.chance(0.3)
	g.holdUps, g.reports = w.chance(0.5), w.chance(0.7)
	g.held = []float64{0.03, 0.03, 0.5}[w.rng.IntN(3)]
	g.gap = []time.Duration{40 * ms, 60 * ms, 300 * ms, 900 * ms}[w.rng.IntN(4)]
	g.settings = balance.Settings{Routers: 1, Tick: ms, TokensCarried: true, Probes: w.chance(0.8), Cancel: true, RetryAfter: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6, DrainGrace: time.Second, MaxSendDelay: modelHoldUp, OverloadFactor: 4, ColdShare: 0.25,
		ColdTime: 2 * time.Second, Classes: []balance.Class{
			{Name: "view", Need: balance.Bounded, Bound: bound, LatencyTarget: 400 * ms, Deadline: 900 * ms, Worth: 1},
			{Name: "own", Need: balance.Session, LatencyTarget: 400 * ms, Deadline: 900 * ms, Worth: 1},
			{Name: "order", Need: balance.Write, Effect: balance.Unsafe, LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Worth: 3, LateWorth: .7}}}
	for _, h := range w.hosts {
		g.list[h.id] = h.list
	}
	g.start(false)
	w.after(0, g.ask)
	return g
}

func (g *modelGateway) local() time.Duration { return g.w.now - g.ahead() }

// ahead is what the fleet's clock shows more than the machine's.
func (g *modelGateway) ahead() time.Duration {
	return g.offset + time.Duration(g.drift*float64(g.w.now-epoch))
}

// stepBy takes note of a step of the fleet's clock.
func (g *modelGateway) stepBy(d time.Duration) {
	g.offset += d
	g.heldTo, g.loopTo = moved(g.heldTo, d), moved(g.loopTo, d)
	for h := range g.told {
		for i := range g.told[h] {
			g.told[h][i] += d
		}
	}
	g.stepped, g.unshown = g.local(), true
}

// start starts the module of a process, or one after a panic.
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

// giveUpAll lets all attempts that are out time out.
func (g *modelGateway) giveUpAll() {
	for _, q := range g.requests {
		if q.attempt != nil {
			g.ended(q.attempt, balance.Outcome{Result: balance.TimedOut})
		}
	}
}

// panicked replaces the module; the process goes on.
func (g *modelGateway) panicked() {
	g.w.note("the module panics")
	var known []balance.PriorEvidence
	g.router.Views(g.local(), func(s balance.MemberView) {
		known = append(known, balance.PriorEvidence{Server: s.Server, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: true})
	})
	g.end()
	g.start(true)
	for _, k := range known {
		g.handle(k)
	}
}

// restarted ends the process, and starts the next one: with what the last one knew, or with nothing.
func (g *modelGateway) restarted(handover bool) {
	g.w.note("the process ends, handover: %t", handover)
	var known []balance.PriorEvidence
	g.router.Views(g.local(), func(s balance.MemberView) {
		known = append(known, balance.PriorEvidence{Server: s.Server, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: s.Usable})
	})
	g.end()
	g.life++
	g.follows, g.lied, g.unshown = nil, false, g.unshown && handover
	b := g.clock.Bounds()
	g.clock, g.epoch = fleetclock.New(g.local()), 0
	if handover && b.HasMax && !b.Contradicted {
		g.clock.Inherit(g.local(), b.At(g.local()))
	}
	if !handover {
		g.told = map[*modelHost][]time.Duration{}
	}
	g.start(handover)
	if handover {
		for _, k := range known {
			g.handle(k)
		}
	}
}

// end ends all attempts of a process.
func (g *modelGateway) end() {
	for _, q := range g.requests {
		if q.done = true; q.attempt != nil {
			q.attempt.over = true
		}
	}
}

func (g *modelGateway) holdUp(d time.Duration) {
	if g.holdUps {
		g.heldTo = max(g.heldTo, g.w.now+d)
	}
}

// read does what a process does when something has come on a socket: not while it is held up.
func (g *modelGateway) read(d time.Duration, do func()) {
	life := g.life
	var try func()
	try = func() {
		switch {
		case life != g.life:
		case g.w.now < g.heldTo:
			g.w.after(g.heldTo-g.w.now+g.w.between(0, ms), try) // after a hold-up in any order
		default:
			do()
		}
	}
	g.w.after(d, try)
}

// post hands the event loop something, which may be a while behind.
func (g *modelGateway) post(do func()) {
	if g.w.chance(0.02) {
		g.loopTo = max(g.loopTo, g.w.now+g.w.between(0, 80*ms))
	}
	g.read(max(0, g.loopTo-g.w.now), do)
}

func (g *modelGateway) members(whole bool, list []balance.Member) {
	list = slices.Clone(list)
	g.post(func() {
		e := balance.Members{Snapshot: whole}
		for _, m := range list {
			g.list[m.Server] = m
			g.w.note("list: %s leads %t started %t state %d", m.Server, m.Primary, m.Started > 0, m.State)
			e.List = append(e.List, g.entry(m))
		}
		g.handle(e)
	})
}

// ask sends requests for as long as the run lasts.
func (g *modelGateway) ask() {
	w := g.w
	w.after(w.between(2*ms, g.gap), g.ask)
	if w.now < g.heldTo {
		return
	}
	g.count++
	q := &modelRequest{id: time.Duration(g.count).String(), class: []string{"view", "view", "own", "order"}[w.rng.IntN(4)]}
	r := balance.Request{ID: q.id, Class: q.class, Session: "s"}
	q.bound = g.settings.Classes[0].Bound
	switch q.class {
	case "own":
		if q.after = w.lastWrite; w.chance(0.3) {
			q.after = w.now - w.between(0, time.Second) // of a commit that was made through another gateway
		}
		if q.after > 0 {
			r.SessionPosition = q.after
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
	for g.often && w.chance(0.3) {
		g.probe(w.hosts[w.rng.IntN(len(w.hosts))].id)
	}
}

// gossip lets another gateway tell of a host: as it was some time ago, counted as internal/control/gossip has it.
func (g *modelGateway) gossip() {
	h := g.w.hosts[g.w.rng.IntN(len(g.w.hosts))]
	if !h.alive {
		return
	}
	s := g.w.standing(h)
	g.read(g.w.between(5*ms, 1900*ms), func() {
		b := g.clock.Bounds()
		offset := b.At(g.local())
		n := balance.RemoteOutcome{Server: h.id, Class: "view", Result: balance.OK, Took: 10 * ms, Source: balance.FromGossip, Position: s.position}
		if b.HasMin {
			n.At = s.at - offset.Min
		}
		if n.Role = balance.Replica; s.leads {
			n.Role = balance.Unknown
			if b.HasMax {
				n.Role, n.NotBefore = balance.Primary, s.position-offset.Max
			}
		}
		g.handle(n)
	})
}

// known is what the module is told of the clock.
func (g *modelGateway) known() balance.ClockBounds {
	b := g.clock.Bounds()
	if !b.HasMax {
		return balance.ClockBounds{}
	}
	return balance.ClockBounds{Known: true, AgeOffset: (b.AgeOffset(g.local()) + ms).Truncate(ms), MaxOffset: (b.At(g.local()).Max + ms).Truncate(ms)}
}

// handle hands the module an event and carries out what it answers.
func (g *modelGateway) handle(e balance.Event) {
	if known := g.known(); known != g.bounds {
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
			g.answered(a.ID)
		case balance.Fail:
			g.answered(a.ID)
		case balance.Cancel:
			if q := g.requests[a.ID]; q != nil && q.attempt != nil {
				g.ended(q.attempt, balance.Outcome{Result: balance.Canceled})
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
		g.w.note("module: primary %q, from %q, by %s on %s", c.To, c.From, c.Source, c.Server)
	}
}

func (g *modelGateway) answered(id string) {
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

func (g *modelGateway) send(a balance.Send) {
	q := g.requests[a.ID]
	t := &modelAttempt{request: q, number: q.attempts, server: g.host(a.Server), grounds: a.Grounds}
	q.attempts++
	q.attempt = t
	connect := g.w.between(0, 3*ms)
	if g.w.chance(0.1) {
		connect = g.w.between(0, 1200*ms)
	}
	g.read(connect, func() { g.write(t) })
	if a.Timeout > 0 {
		g.read(a.Timeout, func() { g.ended(t, balance.Outcome{Result: balance.TimedOut}) })
	}
}

// write is the host side just before the first byte.
func (g *modelGateway) write(t *modelAttempt) {
	now := g.local()
	switch {
	case t.over:
		return
	case now >= t.request.deadline, t.request.done, t.grounds.Expired(now, g.known()),
		t.grounds.NeedsPrimary() && g.follows[t.server.id] > 0 && g.follows[t.server.id] >= t.grounds.PrimaryNotBefore:
		g.ended(t, balance.Outcome{Result: balance.NotSent})
		return
	case !t.server.alive:
		g.ended(t, balance.Outcome{Result: balance.NoConnection})
		return
	}
	held := time.Duration(0)
	if g.holdUps && g.w.chance(g.held) { // between the look and the write
		held = g.w.between(0, modelHoldUp)
		g.heldTo = max(g.heldTo, g.w.now+held)
	}
	g.w.after(held, func() {
		if !t.over {
			t.written, t.sent = g.w.now, g.local()
			g.w.after(g.w.between(0, ms), func() { g.arrives(t, held) })
		}
	})
}

// arrives is the attempt at its host.
func (g *modelGateway) arrives(t *modelAttempt, held time.Duration) {
	w, h := g.w, t.server
	switch {
	case !h.alive:
		g.read(0, func() { g.ended(t, balance.Outcome{Result: balance.Reset}) })
		return
	case h.hungTo > w.now:
		w.after(h.hungTo-w.now+w.between(0, 5*ms), func() { g.arrives(t, held) })
		return
	}
	born := h.started
	w.after(w.between(2*ms, 40*ms), func() {
		switch {
		case !h.alive || h.started != born:
			return // its process has died: broken told the gateway
		case h.hungTo > w.now:
			w.after(h.hungTo-w.now, func() { g.serves(t, held) })
		default:
			g.serves(t, held)
		}
	})
}

// serves is the host as it makes the answer, which it may write late.
func (g *modelGateway) serves(t *modelAttempt, held time.Duration) {
	w, h := g.w, t.server
	if !h.alive {
		return
	}
	s := w.standing(h)
	if w.stalls && !s.leads && w.chance(0.3) {
		w.stall(h, w.between(300*ms, 2*time.Second))
	}
	if s.leads { // it may have read its clock before it got the query
		s.tells -= w.between(0, modelPresentAge)
	}
	result := balance.OK
	commit := time.Duration(0)
	switch {
	case t.request.class == "order" && !s.leads:
		result = balance.Misdirected
	case t.request.class == "order":
		commit = s.tells
	}
	late := time.Duration(0)
	if w.chance(0.1) {
		late = w.between(0, 1200*ms)
	}
	w.after(late, func() {
		spoilt, wrote := w.chance(0.03), w.now
		g.read(w.between(0, 5*ms), func() {
			if t.over {
				return // closed before it was read: docs/freshness.md has that as an open risk
			}
			if !spoilt && !s.leads {
				g.told[h] = append(g.told[h], wrote)
			}
			g.answer(t, s, result, commit, spoilt, held)
		})
	})
}

// answer is what the gateway reads.
func (g *modelGateway) answer(t *modelAttempt, s modelStanding, result balance.Result, commit time.Duration, spoilt bool, held time.Duration) {
	h, now := t.server, g.local()
	o := balance.Outcome{Result: result, Written: t.sent, StatedAt: balance.TimeBounds{NotBefore: t.sent, NotAfter: now}}
	if !s.leads && !spoilt {
		g.heardFollower(h)
	}
	if spoilt || g.w.chance(0.03) { // it breaks off
		o.Result = []balance.Result{balance.Garbled, balance.Reset, balance.TimedOut}[g.w.rng.IntN(3)]
		if !s.leads && !spoilt {
			o.Role = balance.Replica
		}
		g.ended(t, o)
		return
	}
	position := s.tells.Truncate(ms)
	if commit > 0 {
		position = (commit + ms - 1).Truncate(ms)
	}
	told := fleetclock.Observation{Host: h.id, Position: position, Sent: t.sent, Received: now}
	o.Role, o.Position = balance.Replica, position
	if s.leads {
		o.Role = balance.Primary
		if g.lies && !g.lied && g.w.chance(0.2) {
			g.lied = true
			position -= g.w.between(10*ms, 3*time.Second)
			told.Position, o.Position = position, position
			g.w.note("%s tells a position too old", h.id)
		}
		if result == balance.OK {
			told.PrimaryPosition = position
		}
	}
	if g.reports && h.report.at > 0 {
		told.Position = max(told.Position, reportPosition(h.report))
	}
	g.observe(told)
	if g.reports && h.report.at > 0 {
		o.Report = g.localReport(h.report, now)
	}
	if b := g.clock.Bounds(); s.leads && b.HasMax {
		o.StatedAt.NotBefore = max(o.StatedAt.NotBefore, min(position-b.At(now).Max-ms, now))
	}
	o.StatedAt.Epoch = g.clock.Epoch()
	if result == balance.OK && !t.request.done {
		o.ID, o.Server = t.request.id, t.server.id
		g.check(t, s, held, o)
		if commit > 0 {
			g.w.lastWrite = max(g.w.lastWrite, position)
		}
	}
	g.ended(t, o)
}

// observe lets the process learn of the fleet's clock, and checks that what it knows holds.
func (g *modelGateway) observe(o fleetclock.Observation) {
	if b := g.clock.Bounds(); g.unshown && o.Sent >= g.stepped && b.HasMax && o.OffsetInterval().Min > b.At(g.local()).Max {
		g.unshown, g.shownAt = false, g.w.now
		g.w.note("the step is shown by %s", o.Host)
	}
	g.clock.Observe(o)
	b, ahead := g.clock.Bounds(), g.ahead()
	if i := b.At(g.local()); !g.unshown && (b.HasMin && i.Min > ahead || b.HasMax && i.Max < ahead) {
		g.broke = append(g.broke, fmt.Sprintf("the fleet's clock is ahead by %s, and taken to be by %+v", ahead, i))
		g.w.note("BROKEN: %s", g.broke[len(g.broke)-1])
	}
}

// heardFollower is what the host side notes as soon as a host says that it follows.
func (g *modelGateway) heardFollower(h *modelHost) {
	if g.follows == nil {
		g.follows = map[string]time.Duration{}
	}
	now := g.local()
	news := g.follows[h.id] == 0
	g.follows[h.id] = now
	if news || g.w.chance(0.5) {
		g.post(func() {
			g.handle(balance.RemoteOutcome{Server: h.id, Result: balance.OK, Role: balance.Replica, Source: balance.FromPartialAnswer, At: now, NotAfter: now})
		})
	}
}

// check is the rule: no read is answered from data older than its class allows.
func (g *modelGateway) check(t *modelAttempt, s modelStanding, held time.Duration, o balance.Outcome) {
	if g.stepped > 0 && (g.unshown || t.written < g.shownAt || t.grounds.Kind != balance.ByPosition) {
		return // nothing shows a step before an answer does, and words from before it can't be dated
	}
	q, slack := t.request, modelSlack
	var bound time.Duration
	switch q.class {
	case "view":
		bound = t.written - q.bound
	case "own":
		bound, slack = q.after, 0 // the position is told exactly
	default:
		return
	}
	g.reads++
	if s.position >= bound-slack || g.excused(t.server, t.written) {
		return
	}
	if held > 0 && g.router.Stale(g.local(), o) {
		return // what a hold-up before the write led to is not served; all else has to be kept from going out
	}
	g.broke = append(g.broke, q.class+" "+q.id+" at "+t.server.id+" from data "+(bound-s.position).String()+" too old, on "+t.grounds.Kind.String()+
		" of "+t.grounds.Source.String())
	g.w.note("BROKEN: %s", g.broke[len(g.broke)-1])
}

// excused says that a host has been the primary, and no answer that is known has told since that it is none.
func (g *modelGateway) excused(h *modelHost, sent time.Duration) bool {
	if h.ledTo == 0 {
		return false
	}
	known := knownAfter
	if g.holdUps {
		known += modelHoldUp
	}
	for _, at := range g.told[h] {
		if at > h.ledTo && sent-at > known {
			return false
		}
	}
	return true
}

// ended hands the module an attempt's outcome, once.
func (g *modelGateway) ended(t *modelAttempt, o balance.Outcome) {
	if t.over {
		return
	}
	t.over = true
	o.ID, o.Attempt, o.Server, o.Took = t.request.id, t.number, t.server.id, g.w.now-t.written
	if t.written == 0 {
		o.Took = 0
	}
	router := g.router
	g.post(func() {
		if g.router == router {
			q := t.request
			o.Final = q.done
			if o.StatedAt.Epoch != g.epoch && o.StatedAt.Epoch != g.clock.Epoch() && o.Role == balance.Primary {
				o.Role = balance.Unknown
			}
			g.handle(o)
			if o.Result == balance.OK {
				q.done = true
			}
		}
	})
}

// broken resets all connections to a host whose process has died.
func (g *modelGateway) broken(h *modelHost) {
	for _, q := range g.requests {
		if t := q.attempt; t != nil && !t.over && t.server == h && t.written > 0 {
			g.read(g.w.between(0, ms), func() { g.ended(t, balance.Outcome{Result: balance.Reset}) })
		}
	}
}

func (g *modelGateway) probe(server string) {
	w, h := g.w, g.host(server)
	sent := g.local()
	if !h.alive {
		g.read(ms, func() { g.probed(balance.ProbeResult{Server: server, Result: balance.NoConnection}) })
		return
	}
	if h.hungTo > w.now && !h.probed {
		g.read(250*ms, func() { g.probed(balance.ProbeResult{Server: server, Result: balance.TimedOut}) })
		return
	}
	s := h.report
	if !s.leads && g.reports && s.at > 0 {
		g.told[h] = append(g.told[h], w.now+ms)
	}
	g.read(w.between(ms, 6*ms), func() {
		now := g.local()
		p := balance.ProbeResult{Server: server, Result: balance.OK, StatedAt: balance.TimeBounds{NotBefore: sent, NotAfter: now}}
		if g.reports && s.at > 0 {
			if !s.leads {
				g.heardFollower(h)
			}
			g.observe(fleetclock.Observation{Host: h.id, Position: reportPosition(s), Sent: sent, Received: now})
			p.Report = g.localReport(s, now)
		}
		p.StatedAt.Epoch = g.clock.Epoch()
		g.probed(p)
	})
}

func reportPosition(s modelStanding) time.Duration { return s.position.Truncate(ms) - ms }

// localReport is a load report as the host side hands it on.
func (g *modelGateway) localReport(s modelStanding, now time.Duration) balance.Report {
	position := reportPosition(s)
	r := balance.Report{Valid: true, Role: balance.Replica, Position: position}
	if s.leads {
		r.Role = balance.Unknown
		if b := g.clock.Bounds(); b.HasMax {
			r.Role, r.NotBefore = balance.Primary, position-b.At(now).Max
		}
	}
	return r
}

func (g *modelGateway) probed(p balance.ProbeResult) {
	router := g.router
	g.post(func() {
		if g.router == router {
			g.handle(p)
		}
	})
}

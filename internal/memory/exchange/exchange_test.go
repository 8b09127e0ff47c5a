package exchange

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/draining"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/counters"
)

// hosts is a host side that records the calls to it.
type hosts struct {
	sent      []Attempt
	probed    []string
	deadlines map[string]time.Duration
}

func (h *hosts) Send(a Attempt)           { h.sent = append(h.sent, a) }
func (h *hosts) Cancel(string, int)       {}
func (h *hosts) CancelUnsent(string, int) {}
func (h *hosts) Probe(server string)      { h.probed = append(h.probed, server) }
func (h *hosts) Members([]Member)         {}
func (h *hosts) Forget(string)            {}
func (h *hosts) SetSendDeadline(server string, by time.Duration) {
	if h.deadlines == nil {
		h.deadlines = map[string]time.Duration{}
	}
	h.deadlines[server] = by
}

// newSingle returns an exchange with one listed primary, its host side and a function that submits a request.
// The test calls the handlers of the exchange directly instead of Run.
func newSingle(t *testing.T) (*Exchange, *hosts, func(class string) chan Answer) {
	x, err := New(Config{Clock: NewClock(), Log: zap.NewNop(), Counters: &counters.Set{},
		Settings: balance.Settings{Probes: true, RetryAfter: true, MaxRetryAfter: time.Second, DrainGrace: time.Second,
			Classes: []balance.Class{
				{Name: "view", Need: balance.Bounded, Bound: time.Second, LatencyTarget: time.Minute, Deadline: time.Minute},
				{Name: "order", Need: balance.Write, Effect: balance.Unsafe, LatencyTarget: time.Minute, Deadline: time.Minute},
				{Name: "pay", Need: balance.Write, Effect: balance.Keyed, KeyTTL: 10 * time.Second, LatencyTarget: time.Minute, Deadline: time.Minute}}}})
	if err != nil {
		t.Fatal(err)
	}
	h := &hosts{}
	x.hosts = h
	x.sendDeadlines.setHosts(h)
	listPrimary(x, balance.Active)
	n := 0
	return x, h, func(class string) chan Answer {
		n++
		c := make(chan Answer, 1)
		x.handle(x.cfg.Clock.Now(), &Request{ID: string(rune('a' + n)), Class: class, Group: 1, Write: class != "view",
			ClientDisconnected: func() bool { return false }, Arrived: x.cfg.Clock.Now(), Answer: c})
		return c
	}
}

// listPrimary applies and handles a list that arrives now, with the primary in a state.
func listPrimary(x *Exchange, s balance.State) { applyList(x, x.cfg.Clock.Now(), singleList(s)) }

// singleList returns a snapshot with the one primary in a state.
func singleList(s balance.State) endpointList {
	return endpointList{true, []Member{{Address: "h:1", Member: balance.Member{Server: "s", Group: 1, State: s, Primary: true, Weight: 1}}}}
}

// applyList applies a list that arrived at the given time, and handles it.
func applyList(x *Exchange, at time.Duration, e endpointList) {
	x.handle(x.cfg.Clock.Now(), x.sendDeadlines.apply(List{Agent: "a", At: at, Snapshot: e.snapshot, Hosts: e.hosts}))
}

func TestStartBy(t *testing.T) {
	x, h, submit := newSingle(t)
	before := x.cfg.Clock.Now()
	submit("view")
	submit("order")
	listPrimary(x, balance.Draining)
	listedAt := x.cfg.Clock.Now()
	submit("order")
	if len(h.sent) != 3 || h.sent[0].ClientDisconnected == nil {
		t.Fatalf("sent %v, want 3 attempts", h.sent)
	}
	write, presumed, draining := h.sent[1].StartBy, h.sent[0], h.sent[2].StartBy
	if write != 0 || presumed.StartBy != 0 || presumed.Grounds.Kind != balance.PresumedPrimary || draining <= listedAt || draining > listedAt+time.Second {
		t.Errorf("StartBy of the write %v, of the read at the presumed primary %v (%v), of the draining host %v after %v", write, presumed.StartBy, presumed.Grounds, draining-listedAt, listedAt-before)
	}
}

func TestKeyedRetryStaysInWindow(t *testing.T) {
	x, h, submit := newSingle(t)
	submit("pay")
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: "b", Server: "s", Result: balance.Reset}})
	if len(h.sent) != 2 || h.sent[0].WriteBy != 0 {
		t.Fatalf("sent %+v, want two attempts, the first without WriteBy", h.sent)
	}
	if retry, end := h.sent[1], h.sent[0].Sent+10*time.Second-keyWindowMargin; retry.StartBy != end || retry.WriteBy != end {
		t.Errorf("the retry has StartBy %v and WriteBy %v, want %v for both", retry.StartBy, retry.WriteBy, end)
	}
}

func TestShutdownLimitsNewRequests(t *testing.T) {
	x, h, submit := newSingle(t)
	by := x.cfg.Clock.Now() + 50*time.Second
	x.handle(x.cfg.Clock.Now(), shutdownStarted{by})
	submit("order")
	if len(h.sent) != 1 || h.sent[0].Deadline != by {
		t.Errorf("sent %v, want one attempt with Until %v", h.sent, by)
	}
}

// Requests that are pending when the shutdown starts get its deadline, whether in flight at a host that hangs
// or held at a fence.
func TestShutdownLimitsPendingRequests(t *testing.T) {
	x, _, submit := newSingle(t)
	inFlight, fenced := submit("order"), make(chan Answer, 1)
	o := &pendingRequest{Request: &Request{ID: "fenced", Class: "order", Group: 1, Write: true, Answer: fenced}, class: x.classes["order"],
		deadline: x.cfg.Clock.Now() + time.Minute, fenced: true}
	x.pending[o.ID] = o
	by := x.cfg.Clock.Now() + 50*time.Second
	x.handle(x.cfg.Clock.Now(), shutdownStarted{by})
	select {
	case a := <-fenced:
		if a.Kind != Refused {
			t.Errorf("the request held at a fence is answered %v, want refused", a)
		}
	default:
		t.Error("the request held at a fence is not answered")
	}
	for _, o := range x.pending {
		if o.deadline != by {
			t.Errorf("the deadline of %s is %v, want %v", o.ID, o.deadline, by)
		}
	}
	x.runTimers(by + 10*time.Millisecond) // the module fails requests in flight then
	select {
	case a := <-inFlight:
		if a.Kind != Failed {
			t.Errorf("the request in flight is answered %v, want failed", a)
		}
	default:
		t.Error("the request in flight is not answered by the deadline")
	}
}

// With DroppedStayOpen a host that was removed without a drain gets no send deadline.
func TestDroppedStayOpen(t *testing.T) {
	for _, stays := range []bool{false, true} {
		x, h, _ := newSingle(t)
		s := x.cfg.Settings
		s.DroppedStayOpen = stays
		x.sendDeadlines.updateSettings(s)
		applyList(x, x.cfg.Clock.Now(), endpointList{snapshot: true})
		if bound := x.sendDeadlines.deadline("s") != draining.Open; bound == stays || h.deadlines["s"] != x.sendDeadlines.deadline("s") {
			t.Errorf("DroppedStayOpen %v: has a send deadline: %v, deadline at the host side %v", stays, bound, h.deadlines["s"])
		}
	}
}

// The drain grace counts from when the list arrived, however late the event loop handles it.
func TestDrainGraceCountsFromArrival(t *testing.T) {
	x, h, submit := newSingle(t)
	arrived := x.cfg.Clock.Now() - 400*time.Millisecond
	applyList(x, arrived, singleList(balance.Draining))
	submit("order")
	if want := arrived + time.Second - 2*draining.MaxSendDelay; len(h.sent) != 1 || h.sent[0].StartBy != want {
		t.Errorf("sent %v, want one attempt with StartBy %v", h.sent, want)
	}
}

// A list limits attempts in flight before the event loop handles it.
func TestDrainBindsBeforeListIsHandled(t *testing.T) {
	x, h, _ := newSingle(t)
	at := x.cfg.Clock.Now()
	x.Members(List{Agent: "a", At: at, Snapshot: true, Hosts: singleList(balance.Draining).hosts})
	if want := at + time.Second - 2*draining.MaxSendDelay; h.deadlines["s"] != want {
		t.Errorf("send deadline %v, want %v", h.deadlines["s"], want)
	}
	// An older list that is handled later must not remove the send deadline.
	x.handle(at, singleList(balance.Active))
	if h.deadlines["s"] == draining.Open {
		t.Error("an older list that is handled later removes the send deadline")
	}
}

// A settings update changes the drain grace also for hosts that are already draining.
func TestSettingsUpdateMovesSendDeadline(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		x, h, _ := newSingle(t)
		at := x.cfg.Clock.Now()
		applyList(x, at, singleList(balance.Draining))
		s := x.cfg.Settings
		s.DrainGrace = grace
		x.handle(at, settingsUpdate{s})
		x.settleSettings(at + 2*SettleAfter)
		if want := at + grace - 2*draining.MaxSendDelay; h.deadlines["s"] != want {
			t.Errorf("grace of %s: send deadline %v, want %v", grace, h.deadlines["s"], want)
		}
	}
}

// The new process of a hot restart inherits the time of a drain notification and must not start a new grace.
func TestDrainGraceSurvivesHandover(t *testing.T) {
	x, _, _ := newSingle(t)
	const ago = 600 * time.Millisecond
	applyList(x, x.cfg.Clock.Now()-ago, singleList(balance.Draining))
	handed := x.handoverState()
	next, h, _ := newSingle(t)
	requestedAt := next.cfg.Clock.Now()
	next.Inherit(requestedAt, handed)
	if want := requestedAt - ago + time.Second - 2*draining.MaxSendDelay; h.deadlines["s"] > want {
		t.Errorf("send deadline in the new process %v, want at most %v", h.deadlines["s"], want)
	}
	applyList(next, next.cfg.Clock.Now(), singleList(balance.Draining)) // discovery lists the drain as well
	if want := requestedAt - ago + time.Second - 2*draining.MaxSendDelay; h.deadlines["s"] > want {
		t.Errorf("send deadline after discovery lists the drain %v, want at most %v", h.deadlines["s"], want)
	}
}

// A module that replaces one that panicked gets the drains with their send deadlines.
func TestDrainSurvivesPanic(t *testing.T) {
	x, h, submit := newSingle(t)
	applyList(x, x.cfg.Clock.Now()-time.Second, singleList(balance.Draining))
	x.router = nil // Handle panics
	x.decide(balance.Timer{})
	submit("order")
	if len(h.sent) > 0 {
		t.Errorf("sent to a host after its drain grace: %v", h.sent)
	}
}

func TestModulePanic(t *testing.T) {
	x, h, submit := newSingle(t)
	first := submit("order")
	x.router = nil // Handle panics
	x.decide(balance.Timer{})
	if a := <-first; a.Kind != Failed {
		t.Errorf("the pending request is answered %v, want failed", a)
	}
	// The outcome of the attempt that was in flight reaches a module that does not know it.
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: h.sent[0].ID, Server: "s", Result: balance.OK}})
	second := submit("order")
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: h.sent[1].ID, Server: "s", Result: balance.OK}, Value: "v"})
	if diff := cmp.Diff(Answer{Kind: Served, Value: "v"}, <-second); diff != "" {
		t.Error(diff)
	}
	if len(x.pending) != 0 {
		t.Errorf("%d pending requests are left, want none", len(x.pending))
	}
}

func TestTimerOrder(t *testing.T) {
	var ts timers
	for i, due := range []time.Duration{5, 3, 5, 1} {
		ts.push(due, int64(i), uint64(i))
	}
	var got []timer
	for len(ts) > 0 {
		got = append(got, ts.pop())
	}
	want := []timer{{1, 3, 3}, {3, 1, 1}, {5, 0, 0}, {5, 2, 2}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(timer{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

func TestRemovedHostIsForgotten(t *testing.T) {
	x, _, _ := newSingle(t)
	long := x.cfg.Clock.Now() - 2*forgetRemovedAfter
	applyList(x, long, endpointList{snapshot: true})
	if _, known := x.sendDeadlines.notifiedAt("s"); len(x.listed) != 0 || len(x.sendDeadlines.latestStart) != 0 || known {
		t.Errorf("the removed host is kept: listed %v, starts %v", x.listed, x.sendDeadlines.latestStart)
	}
}

// A client retry after the latency target of its class: the module gets the time since the first attempt of the
// client and must not send the request to a host.
func TestLateClientRetryIsNotSent(t *testing.T) {
	x, h, _ := newSingle(t)
	try := func(id string, wait time.Duration) chan Answer {
		c := make(chan Answer, 1)
		x.handle(x.cfg.Clock.Now(), &Request{ID: id, Class: "quick", Group: 1, Arrived: x.cfg.Clock.Now(), Wait: wait, Answer: c})
		return c
	}
	s := x.cfg.Settings
	s.Classes = append(s.Classes, balance.Class{Name: "quick", Need: balance.Bounded, Bound: time.Second, LatencyTarget: 20 * time.Second,
		Deadline: time.Minute})
	x.useSettings(s)
	x.decide(balance.SettingsUpdate{Settings: s})
	for _, id := range []string{"0", "1", "2", "5", "6", "7"} {
		try(id, 40*time.Second)
	}
	sent := len(h.sent)
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: "0", Server: "s", Result: balance.Garbled}})
	x.handle(x.cfg.Clock.Now(), canceled{x.pending["1"].Request})
	if a := try("3", 39800*time.Millisecond); len(h.sent) == sent || len(a) != 0 {
		t.Errorf("a request with nearly the wait of first attempts is not sent")
	}
	sent = len(h.sent)
	if a := try("4", 30*time.Second); len(h.sent) != sent || len(a) != 1 || (<-a).Kind != Refused {
		t.Errorf("a client retry 30 s after the first attempt, with a latency target of 20 s, is sent to a host")
	}
	if got := x.cfg.Counters.ClientRetries.Get(); got != 1 {
		t.Errorf("%d client retries counted, want 1", got)
	}
}

func TestStallIsCounted(t *testing.T) {
	x, _, _ := newSingle(t)
	for _, waited := range []time.Duration{0, stallThreshold / 2, 2 * stallThreshold} {
		x.logStall([]queuedEvent{{at: x.cfg.Clock.Now() - waited}})
	}
	x.logStall(nil)
	if got := x.cfg.Counters.Stalls.Get(); got != 1 {
		t.Errorf("%d stalls counted, want 1", got)
	}
}

// Until the position of any host is known, a host with a listed start counts as just started. Afterwards its
// start must not be earlier than it was.
func TestStartTimeConversion(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} { // of this clock, ahead of the fleet's
		x, _, _ := newSingle(t)
		now := x.cfg.Clock.Now()
		started := now - off - time.Minute // a minute ago by the fleet's clock
		if got := x.startedAt(started); got < x.processStart {
			t.Errorf("clock ahead by %s, no answer yet: a start a minute ago counts as %s ago", off, now-got)
		}
		x.cfg.Clock.Observe(fleetclock.Observation{Host: "s", Position: now - off - 2*time.Second, Sent: now, Received: now}) // a lagging replica
		if got := x.startedAt(started); got < now-time.Minute {
			t.Errorf("clock ahead by %s, one position known: a start a minute ago counts as %s ago", off, now-got)
		}
		for i, host := range []string{"s", "t"} {
			at := now + time.Duration(i-5)*20*time.Millisecond // round trips at different times
			x.cfg.Clock.Observe(fleetclock.Observation{Host: host, PrimaryPosition: at - off, Sent: at, Received: at})
		}
		if got := x.startedAt(started); (now - got - time.Minute).Abs() > 5*time.Millisecond {
			t.Errorf("clock ahead by %s, offset known: a start a minute ago counts as %s ago", off, now-got)
		}
	}
}

// A new process probes hosts for the clock once. A host that does not answer such a probe is not ejected.
func TestClockProbes(t *testing.T) {
	x, h, submit := newSingle(t)
	listPrimary(x, balance.Active)
	if diff := cmp.Diff([]string{"s"}, h.probed); diff != "" {
		t.Fatal(diff)
	}
	x.handle(x.cfg.Clock.Now(), balance.ProbeResult{Server: "s", Result: balance.NoConnection})
	submit("order")
	if len(h.sent) != 1 {
		t.Error("a host that did not answer a clock probe gets no request")
	}
}

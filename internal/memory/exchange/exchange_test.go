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

// hosts keeps what it is told.
type hosts struct {
	sent   []Attempt
	probed []string
	until  map[string]time.Duration
}

func (h *hosts) Send(a Attempt)           { h.sent = append(h.sent, a) }
func (h *hosts) Cancel(string, int)       {}
func (h *hosts) CancelUnsent(string, int) {}
func (h *hosts) Probe(server string)      { h.probed = append(h.probed, server) }
func (h *hosts) Members([]Member)         {}
func (h *hosts) Forget(string)            {}
func (h *hosts) SetSendDeadline(server string, by time.Duration) {
	if h.until == nil {
		h.until = map[string]time.Duration{}
	}
	h.until[server] = by
}

// fresh is an exchange that is driven by hand, with one primary listed.
func fresh(t *testing.T) (*Exchange, *hosts, func(class string) chan Answer) {
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
	x.bounds.serve(h)
	list(x, balance.Active)
	n := 0
	return x, h, func(class string) chan Answer {
		n++
		c := make(chan Answer, 1)
		x.handle(x.cfg.Clock.Now(), &Request{ID: string(rune('a' + n)), Class: class, Group: 1, Write: class != "view",
			ClientDisconnected: func() bool { return false }, Arrived: x.cfg.Clock.Now(), Answer: c})
		return c
	}
}

func list(x *Exchange, s balance.State) { take(x, x.cfg.Clock.Now(), only(s)) }

// only is a whole list of the one primary, in a state.
func only(s balance.State) members {
	return members{true, []Member{{Address: "h:1", Member: balance.Member{Server: "s", Group: 1, State: s, Primary: true, Weight: 1}}}}
}

// take hands over a list that arrived at a time, and handles it.
func take(x *Exchange, at time.Duration, e members) {
	x.handle(x.cfg.Clock.Now(), x.bounds.take(List{Agent: "a", At: at, Snapshot: e.whole, Hosts: e.list}))
}

func TestStartBy(t *testing.T) {
	x, h, ask := fresh(t)
	before := x.cfg.Clock.Now()
	ask("view")
	ask("order")
	list(x, balance.Draining)
	told := x.cfg.Clock.Now()
	ask("order")
	if len(h.sent) != 3 || h.sent[0].ClientDisconnected == nil {
		t.Fatalf("sent %v", h.sent)
	}
	write, excused, draining := h.sent[1].StartBy, h.sent[0], h.sent[2].StartBy
	if write != 0 || excused.StartBy != 0 || excused.Grounds.Kind != balance.PresumedPrimary || draining <= told || draining > told+time.Second {
		t.Errorf("bounds %v, %v (%v), %v after %v", write, excused.StartBy, excused.Grounds, draining-told, told-before)
	}
}

func TestARepeatIsWrittenToItsLastByteInsideItsWindow(t *testing.T) {
	x, h, ask := fresh(t)
	ask("pay")
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: "b", Server: "s", Result: balance.Reset}})
	if len(h.sent) != 2 || h.sent[0].WriteBy != 0 {
		t.Fatalf("sent %+v", h.sent)
	}
	if again, end := h.sent[1], h.sent[0].Sent+10*time.Second-windowMargin; again.StartBy != end || again.WriteBy != end {
		t.Errorf("it goes again from %v to %v, want by %v", again.StartBy, again.WriteBy, end)
	}
}

func TestEndingBoundsTheWait(t *testing.T) {
	x, h, ask := fresh(t)
	by := x.cfg.Clock.Now() + 50*time.Second
	x.handle(x.cfg.Clock.Now(), ending{by})
	ask("order")
	if len(h.sent) != 1 || h.sent[0].Deadline != by {
		t.Errorf("sent %v, want one that is waited for until %v", h.sent, by)
	}
}

// What is open when the end is told is bounded as what comes after: out at a host that hangs, or waiting at a fence.
func TestEndingBoundsWhatIsOpen(t *testing.T) {
	x, _, ask := fresh(t)
	out, fenced := ask("order"), make(chan Answer, 1)
	o := &open{Request: &Request{ID: "fenced", Class: "order", Group: 1, Write: true, Answer: fenced}, class: x.classes["order"],
		deadline: x.cfg.Clock.Now() + time.Minute, waits: true}
	x.open[o.ID] = o
	by := x.cfg.Clock.Now() + 50*time.Second
	x.handle(x.cfg.Clock.Now(), ending{by})
	select {
	case a := <-fenced:
		if a.Kind != Refused {
			t.Errorf("what waits at a fence is answered %v", a)
		}
	default:
		t.Error("what waits at a fence is not answered")
	}
	for _, o := range x.open {
		if o.deadline != by {
			t.Errorf("%s has until %v, not %v", o.ID, o.deadline, by)
		}
	}
	x.due(by + 10*time.Millisecond) // the module gives up what is out then
	select {
	case a := <-out:
		if a.Kind != Failed {
			t.Errorf("what is out is answered %v", a)
		}
	default:
		t.Error("what is out is not answered by then")
	}
}

// Where the settings let a host stay open that the list dropped without a drain, no grace runs for it.
func TestAHostDroppedWithoutADrainMayStayOpen(t *testing.T) {
	for _, stays := range []bool{false, true} {
		x, h, _ := fresh(t)
		s := x.cfg.Settings
		s.DroppedStayOpen = stays
		x.bounds.retune(s)
		take(x, x.cfg.Clock.Now(), members{whole: true})
		if bound := x.bounds.until("s") != draining.Open; bound == stays || h.until["s"] != x.bounds.until("s") {
			t.Errorf("stays open %v: bound %v, the host side is told %v", stays, bound, h.until["s"])
		}
	}
}

// A list counts from when it came, however late the loop gets to it.
func TestAListCountsFromWhenItCame(t *testing.T) {
	x, h, ask := fresh(t)
	came := x.cfg.Clock.Now() - 400*time.Millisecond
	take(x, came, only(balance.Draining))
	ask("order")
	if want := came + time.Second - 2*draining.MaxSendDelay; len(h.sent) != 1 || h.sent[0].StartBy != want {
		t.Errorf("sent %v, want one that goes out by %v", h.sent, want)
	}
}

// A list binds what is on its way to a host although the event loop has not got to it.
func TestAListBindsBeforeItIsHandled(t *testing.T) {
	x, h, _ := fresh(t)
	at := x.cfg.Clock.Now()
	x.Members(List{Agent: "a", At: at, Snapshot: true, Hosts: only(balance.Draining).list})
	if want := at + time.Second - 2*draining.MaxSendDelay; h.until["s"] != want {
		t.Errorf("the host side may send until %v, want %v", h.until["s"], want)
	}
	// An older list that is handled later must not open the host again.
	x.handle(at, only(balance.Active))
	if h.until["s"] == draining.Open {
		t.Error("an older list that is handled later opens the host again")
	}
}

// Another grace holds for hosts that were notified before it came.
func TestNewSettingsMoveTheBoundOfADrain(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		x, h, _ := fresh(t)
		at := x.cfg.Clock.Now()
		take(x, at, only(balance.Draining))
		s := x.cfg.Settings
		s.DrainGrace = grace
		x.handle(at, retuning{s})
		x.settle(at + 2*SettleAfter)
		if want := at + grace - 2*draining.MaxSendDelay; h.until["s"] != want {
			t.Errorf("grace of %s: the host side may send until %v, want %v", grace, h.until["s"], want)
		}
	}
}

// The process that follows knows since when a host drains: it gives no new grace.
func TestADrainKeepsItsTimeOverAHandover(t *testing.T) {
	x, _, _ := fresh(t)
	const ago = 600 * time.Millisecond
	take(x, x.cfg.Clock.Now()-ago, only(balance.Draining))
	known := x.survey()
	next, h, _ := fresh(t)
	asked := next.cfg.Clock.Now()
	next.Inherit(asked, known)
	if want := asked - ago + time.Second - 2*draining.MaxSendDelay; h.until["s"] > want {
		t.Errorf("the next process may send until %v, want %v", h.until["s"], want)
	}
	take(next, next.cfg.Clock.Now(), only(balance.Draining)) // discovery says so too
	if want := asked - ago + time.Second - 2*draining.MaxSendDelay; h.until["s"] > want {
		t.Errorf("after discovery's word it may send until %v, want %v", h.until["s"], want)
	}
}

// A module that starts anew after a panic learns of drains, with their bounds.
func TestADrainSurvivesAPanicOfTheModule(t *testing.T) {
	x, h, ask := fresh(t)
	take(x, x.cfg.Clock.Now()-time.Second, only(balance.Draining))
	x.router = nil // Handle panics
	x.decide(balance.Timer{})
	ask("order")
	if len(h.sent) > 0 {
		t.Errorf("sent to a host whose drain's grace is over: %v", h.sent)
	}
}

func TestPanicOfTheModule(t *testing.T) {
	x, h, ask := fresh(t)
	held := ask("order")
	x.router = nil // Handle panics
	x.decide(balance.Timer{})
	if a := <-held; a.Kind != Failed {
		t.Errorf("what was held is answered %v", a)
	}
	// The outcome of what was out then comes to a module that never heard of it.
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: h.sent[0].ID, Server: "s", Result: balance.OK}})
	again := ask("order")
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: h.sent[1].ID, Server: "s", Result: balance.OK}, Value: "v"})
	if diff := cmp.Diff(Answer{Kind: Served, Value: "v"}, <-again); diff != "" {
		t.Error(diff)
	}
	if len(x.open) != 0 {
		t.Errorf("%d records are left", len(x.open))
	}
}

func TestTimersComeInOrder(t *testing.T) {
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

func TestGoneHostIsForgotten(t *testing.T) {
	x, _, _ := fresh(t)
	long := x.cfg.Clock.Now() - 2*forgetAfter
	take(x, long, members{whole: true})
	if _, known := x.bounds.notifiedAt("s"); len(x.list) != 0 || len(x.bounds.known) != 0 || known {
		t.Errorf("kept: %v, %v", x.list, x.bounds.known)
	}
}

// A client that comes again after its class's aim: the module is told how long it has been at it, and no host gets it.
func TestALaterTryThatCanEarnNothingIsNotSent(t *testing.T) {
	x, h, _ := fresh(t)
	try := func(id string, wait time.Duration) chan Answer {
		c := make(chan Answer, 1)
		x.handle(x.cfg.Clock.Now(), &Request{ID: id, Class: "quick", Group: 1, Arrived: x.cfg.Clock.Now(), Wait: wait, Answer: c})
		return c
	}
	s := x.cfg.Settings
	s.Classes = append(s.Classes, balance.Class{Name: "quick", Need: balance.Bounded, Bound: time.Second, LatencyTarget: 20 * time.Second,
		Deadline: time.Minute})
	x.use(s)
	x.decide(balance.SettingsUpdate{Settings: s})
	for _, id := range []string{"0", "1", "2", "5", "6", "7"} {
		try(id, 40*time.Second)
	}
	sent := len(h.sent)
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: "0", Server: "s", Result: balance.Garbled}})
	x.handle(x.cfg.Clock.Now(), gone{x.open["1"].Request})
	if a := try("3", 39800*time.Millisecond); len(h.sent) == sent || len(a) != 0 {
		t.Errorf("one that waits for nearly as long as first tries is not sent")
	}
	sent = len(h.sent)
	if a := try("4", 30*time.Second); len(h.sent) != sent || len(a) != 1 || (<-a).Kind != Refused {
		t.Errorf("a client that has been at it for 30 s of 20 s is sent to a host")
	}
	if got := x.cfg.Counters.Again.Get(); got != 1 {
		t.Errorf("%d later tries counted", got)
	}
}

func TestAStandstillIsCounted(t *testing.T) {
	x, _, _ := fresh(t)
	for _, waited := range []time.Duration{0, stallFor / 2, 2 * stallFor} {
		x.stall([]posted{{at: x.cfg.Clock.Now() - waited}})
	}
	x.stall(nil)
	if got := x.cfg.Counters.Stalls.Get(); got != 1 {
		t.Errorf("%d standstills are counted, want 1", got)
	}
}

// Before a host has told its position one that was ever started may have just done so; then its start is no earlier than it was.
func TestStartsAreNoEarlierThanHostsProve(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} { // that this clock is ahead
		x, _, _ := fresh(t)
		now := x.cfg.Clock.Now()
		started := now - off - time.Minute // by the fleet's clock: a minute ago
		if got := x.startedAt(started); got < x.begunAt {
			t.Errorf("ahead by %s: before any answer a start a minute ago counts as %s ago", off, now-got)
		}
		x.cfg.Clock.Observe(fleetclock.Observation{Host: "s", Position: now - off - 2*time.Second, Sent: now, Received: now}) // it lags
		if got := x.startedAt(started); got < now-time.Minute {
			t.Errorf("ahead by %s: a start a minute ago counts as %s ago", off, now-got)
		}
		for i, host := range []string{"s", "t"} {
			at := now + time.Duration(i-5)*20*time.Millisecond // round trips that lie apart
			x.cfg.Clock.Observe(fleetclock.Observation{Host: host, PrimaryPosition: at - off, Sent: at, Received: at})
		}
		if got := x.startedAt(started); (now - got - time.Minute).Abs() > 5*time.Millisecond {
			t.Errorf("ahead by %s: once that is known a start a minute ago counts as %s ago", off, now-got)
		}
	}
}

// A process that starts asks hosts for the time, once; one that does not answer is not set aside for that.
func TestHostsAreAskedForTheTime(t *testing.T) {
	x, h, ask := fresh(t)
	list(x, balance.Active)
	if diff := cmp.Diff([]string{"s"}, h.probed); diff != "" {
		t.Fatal(diff)
	}
	x.handle(x.cfg.Clock.Now(), balance.ProbeResult{Server: "s", Result: balance.NoConnection})
	ask("order")
	if len(h.sent) != 1 {
		t.Error("a host that did not tell the time gets nothing")
	}
}

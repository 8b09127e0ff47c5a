package balance_test

// The world of the model: a group of hosts with their true roles, logs and starts, a list that reports them
// late, and the hosts' answers. All times are readings of the fleet's clock.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"yokemast/balance"
)

const (
	ms = time.Millisecond
	// epoch is the first reading of the fleet's clock.
	epoch = 1_767_225_600 * time.Second
	// modelLength is the length of a run.
	modelLength = 8 * time.Second
)

// scheduledEvent is a scheduled event. Events of the same time run in the order in which they were added.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// modelHost is a database host.
type modelHost struct {
	id             string
	alive          bool
	hangsUntil     time.Duration // accepts work and answers nothing until then
	started        time.Duration // 0 if long ago
	applied        time.Duration // position of its log at appliedAt
	appliedAt      time.Duration
	lag            time.Duration
	speed          float64       // seconds of log applied per second
	report         modelState    // its last load report
	reportInterval time.Duration // interval of its load reports
	answersProbes  bool          // answers probes even while it hangs
	primaryUntil   time.Duration // last time at which it was the primary; 0 if never
	// While it is the primary and until repeatsUntil, its answers state repeatedPosition.
	repeatedPosition, repeatsUntil time.Duration

	list balance.Member // its list entry, as discovery has it now
}

// modelState is a role and a position at one moment.
type modelState struct {
	primary  bool
	position time.Duration
	stated   time.Duration // position stated in its answers
	at       time.Duration
}

// world is a simulated group of hosts with one gateway.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	end     time.Duration
	events  eventQueue
	seq     int
	hosts   []*modelHost
	primary *modelHost    // nil while there is no primary
	logEnd  time.Duration // end of the log while there is no primary

	listedRoles  string // how the list states roles: "late", "start", "never"
	roleLag      time.Duration
	startLag     time.Duration
	twoPrimaries bool          // the list may name two primaries for a while
	stalls       bool          // replicas' logs often stop right after an answer stated their position
	lastWrite    time.Duration // commit of the session's last answered write
	gateway      *modelGateway
	trace        []string
}

// between returns a random duration of at least lower and below upper, or lower if upper is not above it.
func (w *world) between(lower, upper time.Duration) time.Duration {
	if upper <= lower {
		return lower
	}
	return lower + time.Duration(w.rng.Int64N(int64(upper-lower)))
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// after schedules do to run after d.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, scheduledEvent{w.now + d, w.seq, do})
}

// logf adds a line to the trace, up to 100,000 lines.
func (w *world) logf(format string, args ...any) {
	if len(w.trace) < 100_000 {
		w.trace = append(w.trace, fmt.Sprintf("%8.1f ", float64(w.now-epoch)/float64(ms))+fmt.Sprintf(format, args...))
	}
}

// run runs the scheduled events until the end.
func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at <= w.end {
		e := heap.Pop(&w.events).(scheduledEvent)
		w.now = e.at
		e.do()
	}
}

// state advances a host's log to now and returns its role and position.
func (w *world) state(h *modelHost) modelState {
	if w.primary == h {
		h.applied, h.appliedAt, h.primaryUntil = w.now, w.now, w.now
		stated := w.now
		if w.now < h.repeatsUntil {
			stated = h.repeatedPosition
		}
		return modelState{true, w.now, stated, w.now}
	}
	end := w.now
	if w.primary == nil {
		end = w.logEnd
	}
	reached := h.applied + time.Duration(h.speed*float64(w.now-h.appliedAt))
	h.applied, h.appliedAt = max(h.applied, min(reached, end-h.lag)), w.now
	return modelState{false, h.applied, h.applied, w.now}
}

// makeReports makes a host's load reports. While the host hangs, the last report remains in use.
func (w *world) makeReports(h *modelHost) {
	if h.alive && h.hangsUntil <= w.now {
		h.report = w.state(h)
	}
	w.after(h.reportInterval, func() { w.makeReports(h) })
}

// depose ends the primary's term; the log does not grow until there is a new primary.
func (w *world) depose() {
	if w.primary == nil {
		return
	}
	for _, h := range w.hosts {
		w.state(h)
	}
	old := w.primary
	w.logEnd, w.primary = w.now, nil
	w.logf("%s is deposed", old.id)
	w.listRole(old, false)
}

// promote makes h the primary.
func (w *world) promote(h *modelHost) {
	if w.primary != nil {
		w.depose()
	}
	w.primary = h
	h.primaryUntil = w.now
	w.logf("%s is the primary", h.id)
	w.listRole(h, true)
}

// successor returns the host with the highest position among those that can become the primary.
func (w *world) successor(not *modelHost) (best *modelHost) {
	for _, h := range w.hosts {
		if h != not && h.alive && h.hangsUntil <= w.now && (best == nil || w.state(h).position > w.state(best).position) {
			best = h
		}
	}
	return best
}

// listRole lets the list report a change of role, with a delay.
func (w *world) listRole(h *modelHost, isPrimary bool) {
	if w.listedRoles != "late" {
		return
	}
	lag := w.roleLag
	if w.twoPrimaries && !isPrimary {
		lag += w.between(0, time.Second)
	}
	w.after(lag, func() { h.list.Primary = isPrimary; w.sendList(h) })
}

// sendList sends the entries of hosts to the gateway as a delta of the list.
func (w *world) sendList(hosts ...*modelHost) {
	list := make([]balance.Member, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.list)
	}
	w.gateway.members(false, list)
}

// failOver lets the primary fail or hand over, and another host take over.
func (w *world) failOver() {
	h := w.primary
	if h == nil {
		return
	}
	detect, elect := w.between(0, 1300*ms), w.between(50*ms, 1600*ms)
	switch w.rng.IntN(4) {
	case 0: // planned handover
		w.logf("%s hands over", h.id)
		h.list.State = balance.Draining
		w.after(w.between(0, 100*ms), func() { w.sendList(h) })
		w.after(w.between(100*ms, 900*ms), func() {
			if next := w.successor(h); next != nil && w.primary == h {
				w.promote(next)
			}
		})
		w.after(w.between(1500*ms, 3*time.Second), func() { h.list.State = balance.Active; w.sendList(h) })
		return
	case 1:
		w.hang(h, w.between(500*ms, 3*time.Second))
	default:
		w.crash(h, w.between(20*ms, 1500*ms))
	}
	w.depose()
	w.after(detect+elect, func() {
		if w.primary == nil {
			if next := w.successor(nil); next != nil {
				w.promote(next)
			}
		}
	})
}

// hang lets a host answer nothing for a while, except perhaps probes.
func (w *world) hang(h *modelHost, d time.Duration) {
	h.answersProbes = w.chance(0.6)
	w.logf("%s hangs for %s, answers probes %t", h.id, d, h.answersProbes)
	h.hangsUntil = w.now + d
}

// restartDuringHang lets the primary answer nothing but probes, with its last report, and stops the logs of
// its group, while a new process of the gateway starts.
func (w *world) restartDuringHang() {
	old := w.primary
	if old == nil {
		return
	}
	w.hang(old, w.between(time.Second, 4*time.Second))
	old.answersProbes = true
	w.depose()
	w.after(w.between(0, 3*time.Second), func() { w.gateway.restart(false) })
	w.after(w.between(2*time.Second, 5*time.Second), func() {
		if next := w.successor(nil); next != nil && w.primary == nil {
			w.promote(next)
		}
	})
}

// repeatPosition lets the primary's answers state one position for a while; its data moves on.
func (w *world) repeatPosition(d time.Duration) {
	if h := w.primary; h != nil {
		w.logf("%s states one position for %s", h.id, d)
		h.repeatedPosition, h.repeatsUntil = w.now, w.now+d
	}
}

// step sets the fleet's clock ahead, together with all scheduled events. The machine's clock runs on as
// before.
func (w *world) step(d time.Duration) {
	w.logf("the fleet's clock is set ahead by %s", d)
	for _, h := range w.hosts {
		w.state(h)
		h.appliedAt += d
		h.hangsUntil, h.primaryUntil = shifted(h.hangsUntil, d), shifted(h.primaryUntil, d)
	}
	w.shiftClock(d)
	w.gateway.stepBy(d)
}

// skip lets time pass without any event.
func (w *world) skip(d time.Duration) {
	w.logf("nothing happens for %s", d)
	w.gateway.timeOutAll()
	w.shiftClock(d)
}

// shiftClock advances the fleet's clock and all scheduled events.
func (w *world) shiftClock(d time.Duration) {
	w.now += d
	w.end += d
	for i := range w.events {
		w.events[i].at += d
	}
}

// shifted returns t plus d, or 0 if t is 0.
func shifted(t, d time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return t + d
}

// crash ends a host's process. It restarts cold and continues from its last position; the list reports the
// start late.
func (w *world) crash(h *modelHost, down time.Duration) {
	w.state(h)
	if w.primary == h {
		w.depose()
	}
	w.logf("%s crashes", h.id)
	h.alive = false
	w.gateway.resetConnections(h)
	w.after(down, func() {
		w.logf("%s starts", h.id)
		h.alive, h.appliedAt, h.started, h.report = true, w.now, w.now, modelState{}
		h.lag = w.between(5*ms, 3*time.Second)
		started := w.now
		w.after(w.startLag, func() {
			h.list.Started, h.list.Incarnation = started, started
			w.sendList(h)
		})
	})
}

// replace removes a host from the list for longer than the module remembers it, and lists it again.
func (w *world) replace(h *modelHost) {
	if w.primary == h {
		return
	}
	w.logf("%s is removed from the list", h.id)
	h.list.State = balance.Removed
	w.sendList(h)
	w.after(200*ms, func() {
		w.skip(70 * time.Second)
		// Any change of the list lets the module drop removed members.
		w.sendList(w.hosts[(w.indexOf(h)+1)%len(w.hosts)])
		w.after(100*ms, func() {
			w.logf("%s is listed again", h.id)
			h.list.State = balance.Active
			w.sendList(h)
		})
	})
}

func (w *world) indexOf(h *modelHost) int {
	for i, o := range w.hosts {
		if o == h {
			return i
		}
	}
	return -1
}

// newWorld draws a world and its events from a seed.
func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x65766964)), now: epoch, end: epoch + modelLength}
	w.listedRoles = []string{"late", "late", "late", "start", "never"}[w.rng.IntN(5)]
	w.roleLag, w.startLag = w.between(300*ms, 3*time.Second), w.between(0, 2*time.Second)
	w.twoPrimaries = w.chance(0.3)
	lags := w.between(5*ms, 50*ms)
	if w.chance(0.6) {
		lags = w.between(100*ms, 3*time.Second)
	}
	lateReports := w.chance(0.3)
	w.stalls = w.chance(0.2)
	for i := range 3 + w.rng.IntN(3) {
		h := &modelHost{id: fmt.Sprint("h", i), alive: true, lag: lags, speed: 1 + 4*w.rng.Float64(), appliedAt: epoch, applied: epoch - lags}
		h.list = balance.Member{Server: h.id, Weight: 1}
		h.reportInterval = w.between(59*ms, 190*ms)
		if lateReports {
			h.reportInterval = w.between(200*ms, 5*time.Second)
		}
		w.after(w.between(0, h.reportInterval), func() { w.makeReports(h) })
		w.hosts = append(w.hosts, h)
	}
	w.primary = w.hosts[0]
	w.primary.primaryUntil = epoch
	w.primary.list.Primary = w.listedRoles != "never"
	w.gateway = newModelGateway(w)
	for range 2 + w.rng.IntN(4) {
		w.after(w.between(300*ms, 6*time.Second), w.fault)
	}
	return w
}

// fault injects a random fault.
func (w *world) fault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch w.rng.IntN(16) {
	case 13, 14, 15:
		w.stall(h, w.between(300*ms, 2*time.Second))
	case 0, 1, 2, 3, 4:
		w.failOver()
	case 5:
		w.crash(h, w.between(20*ms, 2*time.Second))
	case 6:
		w.hang(h, w.between(200*ms, 2*time.Second))
	case 7:
		lag := w.between(0, 3*time.Second)
		for _, o := range w.hosts {
			w.state(o)
			o.lag = lag
		}
	case 8:
		w.gateway.replaceModule()
	case 9:
		w.gateway.restart(w.chance(0.5))
	case 10:
		w.gateway.stall(w.between(20*ms, 150*ms))
	case 11:
		w.replace(h)
	case 12:
		w.restartDuringHang()
	}
}

// stall stops a host's log for a while; the other hosts' logs move on.
func (w *world) stall(h *modelHost, d time.Duration) {
	speed := h.speed
	if speed == 0 {
		return
	}
	w.state(h)
	w.logf("the log of %s stops for %s", h.id, d)
	h.speed = 0
	w.after(d, func() { w.state(h); h.speed = speed })
}

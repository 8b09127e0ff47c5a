package balance_test

// The world of the model: a group of hosts with true roles, logs and starts, a list that tells of them late, and what they answer.
// All times here are readings of the fleet's clock.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"yokemast/balance"
)

const (
	ms = time.Millisecond
	// epoch is where the fleet's clock starts.
	epoch = 1_767_225_600 * time.Second
	// modelLength is how long a run lasts.
	modelLength = 8 * time.Second
)

// later is what happens at a time; events of one time happen in the order in which they were added.
type later struct {
	at  time.Duration
	seq int
	do  func()
}

type laterQueue []later

func (q laterQueue) Len() int { return len(q) }
func (q laterQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q laterQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *laterQueue) Push(x any)   { *q = append(*q, x.(later)) }
func (q *laterQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// modelHost is a database host.
type modelHost struct {
	id      string
	alive   bool
	hungTo  time.Duration // takes work and answers nothing until then
	started time.Duration // 0: long ago
	applied time.Duration // its log, as of appliedAt
	since   time.Duration
	lag     time.Duration
	speed   float64       // seconds of the log that it applies in a second
	report  modelStanding // its load report, as it was made last
	every   time.Duration // between two of them
	probed  bool          // it answers probes also while it hangs
	ledTo   time.Duration // when it was the primary last; 0: never
	// While it is the primary and until standsTo, its answers tell the position that it had at standsAt.
	standsAt, standsTo time.Duration

	list balance.Member // its entry, as discovery has it by now
}

// modelStanding is a role and a position at one moment.
type modelStanding struct {
	leads    bool
	position time.Duration
	tells    time.Duration // the position in its answers
	at       time.Duration
}

type world struct {
	rng    *rand.Rand
	now    time.Duration
	end    time.Duration
	events laterQueue
	seq    int
	hosts  []*modelHost
	leader *modelHost    // nil: none
	logEnd time.Duration // while there is none

	roles     string // how the list tells them: "late", "start", "never"
	roleLag   time.Duration
	startLag  time.Duration
	twoLeads  bool          // the list may name two leaders for a while
	stalls    bool          // replicas' logs often stand still right after an answer told where they are
	lastWrite time.Duration // commit of the session's last answered write
	gateway   *modelGateway
	trace     []string
}

func (w *world) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, later{w.now + d, w.seq, do})
}

func (w *world) note(format string, args ...any) {
	if len(w.trace) < 100_000 {
		w.trace = append(w.trace, fmt.Sprintf("%8.1f ", float64(w.now-epoch)/float64(ms))+fmt.Sprintf(format, args...))
	}
}

func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at <= w.end {
		e := heap.Pop(&w.events).(later)
		w.now = e.at
		e.do()
	}
}

// standing brings a host's log up to now and says where it stands.
func (w *world) standing(h *modelHost) modelStanding {
	if w.leader == h {
		h.applied, h.since, h.ledTo = w.now, w.now, w.now
		tells := w.now
		if w.now < h.standsTo {
			tells = h.standsAt
		}
		return modelStanding{true, w.now, tells, w.now}
	}
	end := w.now
	if w.leader == nil {
		end = w.logEnd
	}
	reached := h.applied + time.Duration(h.speed*float64(w.now-h.since))
	h.applied, h.since = max(h.applied, min(reached, end-h.lag)), w.now
	return modelStanding{false, h.applied, h.applied, w.now}
}

// reports makes a host's load reports. While it hangs it makes none, and tells the last one.
func (w *world) reports(h *modelHost) {
	if h.alive && h.hungTo <= w.now {
		h.report = w.standing(h)
	}
	w.after(h.every, func() { w.reports(h) })
}

// depose ends the primary's term; the log ends here until there is another.
func (w *world) depose() {
	if w.leader == nil {
		return
	}
	for _, h := range w.hosts {
		w.standing(h)
	}
	old := w.leader
	w.logEnd, w.leader = w.now, nil
	w.note("%s is deposed", old.id)
	w.listRole(old, false)
}

func (w *world) promote(h *modelHost) {
	if w.leader != nil {
		w.depose()
	}
	w.leader = h
	h.ledTo = w.now
	w.note("%s leads", h.id)
	w.listRole(h, true)
}

// successor is a host that can lead, the one with most of the log.
func (w *world) successor(not *modelHost) (best *modelHost) {
	for _, h := range w.hosts {
		if h != not && h.alive && h.hungTo <= w.now && (best == nil || w.standing(h).position > w.standing(best).position) {
			best = h
		}
	}
	return best
}

func (w *world) listRole(h *modelHost, leads bool) {
	if w.roles != "late" {
		return
	}
	lag := w.roleLag
	if w.twoLeads && !leads {
		lag += w.between(0, time.Second)
	}
	w.after(lag, func() { h.list.Primary = leads; w.tell(h) })
}

// tell has the list tell of a host.
func (w *world) tell(hosts ...*modelHost) {
	list := make([]balance.Member, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.list)
	}
	w.gateway.members(false, list)
}

// failOver lets the primary fail in some way, and another take over.
func (w *world) failOver() {
	h := w.leader
	if h == nil {
		return
	}
	detect, elect := w.between(0, 1300*ms), w.between(50*ms, 1600*ms)
	switch w.rng.IntN(4) {
	case 0: // it hands over
		w.note("%s hands over", h.id)
		h.list.State = balance.Draining
		w.after(w.between(0, 100*ms), func() { w.tell(h) })
		w.after(w.between(100*ms, 900*ms), func() {
			if next := w.successor(h); next != nil && w.leader == h {
				w.promote(next)
			}
		})
		w.after(w.between(1500*ms, 3*time.Second), func() { h.list.State = balance.Active; w.tell(h) })
		return
	case 1:
		w.hang(h, w.between(500*ms, 3*time.Second))
	default:
		w.crash(h, w.between(20*ms, 1500*ms))
	}
	w.depose()
	w.after(detect+elect, func() {
		if w.leader == nil {
			if next := w.successor(nil); next != nil {
				w.promote(next)
			}
		}
	})
}

func (w *world) hang(h *modelHost, d time.Duration) {
	h.probed = w.chance(0.6)
	w.note("%s hangs for %s, answers probes %t", h.id, d, h.probed)
	h.hungTo = w.now + d
}

// startBesideAHang lets the primary answer nothing but probes, with its last report, and its group's logs stand still, while a process
// of the gateway starts.
func (w *world) startBesideAHang() {
	old := w.leader
	if old == nil {
		return
	}
	w.hang(old, w.between(time.Second, 4*time.Second))
	old.probed = true
	w.depose()
	w.after(w.between(0, 3*time.Second), func() { w.gateway.restarted(false) })
	w.after(w.between(2*time.Second, 5*time.Second), func() {
		if next := w.successor(nil); next != nil && w.leader == nil {
			w.promote(next)
		}
	})
}

// standStill has the primary tell one position for a while; its data goes on.
func (w *world) standStill(d time.Duration) {
	if h := w.leader; h != nil {
		w.note("%s tells one position for %s", h.id, d)
		h.standsAt, h.standsTo = w.now, w.now+d
	}
}

// step sets the fleet's clock ahead, and with it all that is to come. The machine's clock goes on as before.
func (w *world) step(d time.Duration) {
	w.note("the fleet's clock is set ahead by %s", d)
	for _, h := range w.hosts {
		w.standing(h)
		h.since += d
		h.hungTo, h.ledTo = moved(h.hungTo, d), moved(h.ledTo, d)
	}
	w.moveOn(d)
	w.gateway.stepBy(d)
}

// quiet lets nothing happen for a while.
func (w *world) quiet(d time.Duration) {
	w.note("nothing happens for %s", d)
	w.gateway.giveUpAll()
	w.moveOn(d)
}

// moveOn moves the fleet's clock, and with it all that is to come.
func (w *world) moveOn(d time.Duration) {
	w.now += d
	w.end += d
	for i := range w.events {
		w.events[i].at += d
	}
}

// moved is a time so much later, where there is one.
func moved(t, d time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return t + d
}

// crash ends a host's process; it comes back cold and goes on from where it stood. The list tells the start, late.
func (w *world) crash(h *modelHost, down time.Duration) {
	w.standing(h)
	if w.leader == h {
		w.depose()
	}
	w.note("%s crashes", h.id)
	h.alive = false
	w.gateway.broken(h)
	w.after(down, func() {
		w.note("%s starts", h.id)
		h.alive, h.since, h.started, h.report = true, w.now, w.now, modelStanding{}
		h.lag = w.between(5*ms, 3*time.Second)
		started := w.now
		w.after(w.startLag, func() {
			h.list.Started, h.list.Incarnation = started, started
			w.tell(h)
		})
	})
}

// replace takes a host off the list for longer than it is remembered, and lists it again.
func (w *world) replace(h *modelHost) {
	if w.leader == h {
		return
	}
	w.note("%s is gone", h.id)
	h.list.State = balance.Removed
	w.tell(h)
	w.after(200*ms, func() {
		w.quiet(70 * time.Second)
		w.tell(w.hosts[(w.indexOf(h)+1)%len(w.hosts)]) // any change has the module look who is gone
		w.after(100*ms, func() {
			w.note("%s is listed again", h.id)
			h.list.State = balance.Active
			w.tell(h)
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

// newWorld draws a world and what happens in it.
func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x65766964)), now: epoch, end: epoch + modelLength}
	w.roles = []string{"late", "late", "late", "start", "never"}[w.rng.IntN(5)]
	w.roleLag, w.startLag = w.between(300*ms, 3*time.Second), w.between(0, 2*time.Second)
	w.twoLeads = w.chance(0.3)
	lags := w.between(5*ms, 50*ms)
	if w.chance(0.6) {
		lags = w.between(100*ms, 3*time.Second)
	}
	lateReports := w.chance(0.3)
	w.stalls = w.chance(0.2)
	for i := range 3 + w.rng.IntN(3) {
		h := &modelHost{id: fmt.Sprint("h", i), alive: true, lag: lags, speed: 1 + 4*w.rng.Float64(), since: epoch, applied: epoch - lags}
		h.list = balance.Member{Server: h.id, Weight: 1}
		h.every = w.between(59*ms, 190*ms)
		if lateReports {
			h.every = w.between(200*ms, 5*time.Second)
		}
		w.after(w.between(0, h.every), func() { w.reports(h) })
		w.hosts = append(w.hosts, h)
	}
	w.leader = w.hosts[0]
	w.leader.ledTo = epoch
	w.leader.list.Primary = w.roles != "never"
	w.gateway = newModelGateway(w)
	for range 2 + w.rng.IntN(4) {
		w.after(w.between(300*ms, 6*time.Second), w.trouble)
	}
	return w
}

func (w *world) trouble() {
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
			w.standing(o)
			o.lag = lag
		}
	case 8:
		w.gateway.panicked()
	case 9:
		w.gateway.restarted(w.chance(0.5))
	case 10:
		w.gateway.holdUp(w.between(20*ms, 150*ms))
	case 11:
		w.replace(h)
	case 12:
		w.startBesideAHang()
	}
}

// stall keeps a host's log where it stands for a while; the others' go on.
func (w *world) stall(h *modelHost, d time.Duration) {
	speed := h.speed
	if speed == 0 {
		return
	}
	w.standing(h)
	w.note("%s's log stands still for %s", h.id, d)
	h.speed = 0
	w.after(d, func() { w.standing(h); h.speed = speed })
}

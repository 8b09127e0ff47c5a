package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates many routers for one group on a virtual clock. Each router decides alone; what all of them
// send to a host that has just started is added up.
type fleet struct {
	settings   Settings
	rng        *rand.Rand
	routers    []*Router
	share      []float64 // cumulative shares of the traffic
	events     eventQueue
	attempts   map[string]int // attempt number of each request in flight
	sent       []time.Duration
	now        time.Duration
	served     int
	servedWarm int // those served while no host was cold
	// busyUntil is the time until which each core of a host is busy, by host. If nil, hosts answer after the mean
	// work, whatever their load.
	busyUntil map[string][]time.Duration
	dead      map[string]bool // hosts that answer nothing; used only with busyUntil
	// loadBefore is the load until the host starts, as a fraction of the group's capacity; 0 means the load of
	// the whole run.
	loadBefore float64
}

type scheduledEvent struct {
	at     time.Duration
	seq    int
	router int
	ev     Event
}

type eventQueue []scheduledEvent

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(v any)   { *m = append(*m, v.(scheduledEvent)) }
func (m *eventQueue) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func (f *fleet) schedule(at time.Duration, router int, ev Event) {
	heap.Push(&f.events, scheduledEvent{at, len(f.sent) + f.events.Len(), router, ev})
}

// handle passes an event to a router and schedules what its actions lead to. The cold host is host.
func (f *fleet) handle(router int, ev Event, host string) {
	for _, a := range f.routers[router].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case Send:
			if a.Server == host {
				f.sent = append(f.sent, f.now)
			}
			n := f.attempts[a.ID]
			f.attempts[a.ID]++
			f.answer(router, a, n, host)
		case Probe:
			result := OK
			if f.dead[a.Server] {
				result = TimedOut
			}
			f.schedule(f.now+ms, router, ProbeResult{Server: a.Server, Result: result, Took: ms})
		case StartTimer:
			f.schedule(f.now+a.Wait, router, Timer{a.Tag})
		}
	}
}

// answer schedules the end of an attempt at its host.
func (f *fleet) answer(router int, a Send, attempt int, cold string) {
	role := Replica
	if a.Server == "p" {
		role = Primary
	}
	out := Outcome{ID: a.ID, Server: a.Server, Attempt: attempt, Result: OK, Role: role, Took: meanWork, Final: true}
	if f.busyUntil != nil {
		out.Took, out.Result = f.queue(a, cold)
		out.Final = out.Result == OK
	}
	f.schedule(f.now+out.Took, router, out)
}

// queue lets a host with a few cores take an attempt: it refuses what would wait too long, and continues
// with attempts that have timed out.
func (f *fleet) queue(a Send, cold string) (time.Duration, Result) {
	if f.dead[a.Server] {
		return cmp.Or(a.Timeout, silentTimeout), TimedOut
	}
	if f.busyUntil[a.Server] == nil {
		f.busyUntil[a.Server] = make([]time.Duration, cores)
	}
	first := 0
	for i, until := range f.busyUntil[a.Server] {
		if until < f.busyUntil[a.Server][first] {
			first = i
		}
	}
	begin := max(f.now, f.busyUntil[a.Server][first])
	if begin-f.now > maxQueueTime {
		return ms, QueueFull
	}
	took := meanWork
	if began := origin + coldAt; a.Server == cold && f.now >= began {
		took = time.Duration(float64(meanWork) / f.warmUpWeight(f.now-began))
	}
	f.busyUntil[a.Server][first] = begin + took
	if total := begin + took - f.now; a.Timeout == 0 || total <= a.Timeout {
		return total, OK
	}
	return a.Timeout, TimedOut
}

// warmUpWeight returns the minimum fraction of its capacity that a host has at an age.
func (f *fleet) warmUpWeight(age time.Duration) float64 {
	return min(1, f.settings.ColdShare+(1-f.settings.ColdShare)*float64(age)/float64(f.settings.ColdTime))
}

const (
	meanWork       = 60 * ms
	cores          = 4
	capacity       = 66.0 // requests per second of a warm host
	replicas       = 5
	overloadWindow = 1500 * ms
	coldAt         = 2 * time.Second // after the beginning
	maxQueueTime   = 300 * ms
	silentTimeout  = time.Second // until the client of a host that answers nothing gives up
)

// run runs a group under a load, as a fraction of its capacity, while one host starts cold. The fraction
// notNotified of the routers does not get the start from the list.
func (f *fleet) run(load float64, class, host string, notNotified float64) {
	const start, end = coldAt, 14 * time.Second
	members := Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}}}
	for i := range replicas {
		members.List = append(members.List, Member{Server: fmt.Sprint("r", i), Weight: 1})
	}
	f.now = origin
	for i := range f.routers {
		f.handle(i, members, host)
	}
	maxRate := capacity * replicas
	if class == "save" {
		maxRate = capacity
	}
	rate, n, started := cmp.Or(f.loadBefore, load)*maxRate, 0, false
	for next := origin; ; next += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) {
		for f.events.Len() > 0 && f.events[0].at <= next {
			m := heap.Pop(&f.events).(scheduledEvent)
			f.now = m.at
			if o, ok := m.ev.(Outcome); ok {
				f.served++
				if !started {
					f.servedWarm++
				}
				delete(f.attempts, o.ID)
			}
			f.handle(m.router, m.ev, host)
		}
		if f.now = next; next > origin+end {
			return
		}
		if !started && next > origin+start {
			started, f.sent, rate = true, nil, load*maxRate
			for i := range f.routers {
				if f.rng.Float64() < notNotified {
					continue
				}
				l := members.List[0]
				for _, m := range members.List {
					if m.Server == host {
						l = m
					}
				}
				l.Started = f.now
				f.schedule(f.now, i, Members{List: []Member{l}})
			}
		}
		x, i := f.rng.Float64()*f.share[len(f.share)-1], 0
		for f.share[i] < x {
			i++
		}
		n++
		c := f.routers[i].cells[0].classes[class].Class
		f.handle(i, Request{ID: fmt.Sprint("q", n), Class: class, Session: fmt.Sprint(n), Deadline: next + c.Deadline}, host)
	}
}

// worstOverload returns the largest number of requests within a window, relative to the budget plus random variation.
// Windows that begin when the host is warm are ignored.
func (f *fleet) worstOverload() (worst float64) {
	began := origin + coldAt
	for i := range f.sent {
		if f.sent[i] >= began+f.settings.ColdTime {
			break
		}
		n := 0
		for _, at := range f.sent[i:] {
			if at >= f.sent[i]+overloadWindow {
				break
			}
			n++
		}
		budget := f.settings.OverloadFactor * f.warmUpWeight(f.sent[i]-began) * capacity * overloadWindow.Seconds()
		worst = max(worst, float64(n)/(budget+2*math.Sqrt(budget)+2))
	}
	return worst
}

// All routers of a fleet together stay within the budget of a host that has just started, for any number of
// routers and uneven traffic, although no router sees the sum.
func TestFleetKeepsColdBudget(t *testing.T) {
	for _, c := range []struct {
		name        string
		class, host string
		factor      float64
		load        float64
		notNotified float64
	}{
		{"a replica, full load", "any", "r2", 4, 1, 0},
		{"a replica, a burst of 1.5 times the capacity", "any", "r2", 4, 1.5, 0},
		{"a replica, a third of the routers not notified", "any", "r2", 4, 1, 0.33},
		{"a replica with a low overload factor", "any", "r2", 1, 1, 0},
		{"a replica with a slightly higher overload factor", "any", "r2", 1.5, 1, 0},
		{"a replica without an overload factor", "any", "r2", 0, 1, 0},
		{"the primary", "save", "p", 4, 0.7, 0},
		{"the primary, in a burst", "save", "p", 4, 1.05, 0},
		{"a primary with a low overload factor", "save", "p", 1.5, 0.7, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, routers := range []int{20, 30, 300} {
				for seed := range uint64(5) {
					s := settings()
					s.Routers, s.OverloadFactor, s.ColdShare, s.ColdTime = routers, c.factor, 0.25, 10*time.Second
					f := &fleet{settings: s, rng: rand.New(rand.NewPCG(seed, 5)), attempts: map[string]int{}}
					sum := 0.0
					for i := range routers {
						r, err := New(s, seed*1000+uint64(i))
						if err != nil {
							t.Fatal(err)
						}
						f.routers = append(f.routers, r)
						sum += 0.2 + 4*f.rng.Float64()*f.rng.Float64() // some get several times the mean traffic
						f.share = append(f.share, sum)
					}
					f.run(c.load, c.class, c.host, c.notNotified)
					if len(f.sent) == 0 || f.served == 0 {
						t.Fatalf("%d routers, seed %d: %d sent, %d served, want some of both", routers, seed, len(f.sent), f.served)
					}
					if worst := f.worstOverload(); worst > 1 && c.factor > 0 {
						t.Errorf("%d routers, seed %d: %.2f of the budget of the host", routers, seed, worst)
					} else {
						t.Logf("%d routers, seed %d: %.2f, %d sent, %d served", routers, seed, worst, len(f.sent), f.served)
					}
				}
			}
		})
	}
}

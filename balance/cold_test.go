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

// fleet plays many routers before one group on a virtual clock: each decides alone, and what they send to a host that has just
// started is counted in sum.
type fleet struct {
	s       Settings
	rng     *rand.Rand
	routers []*Router
	share   []float64 // of the traffic, summed up
	due     moments
	out     map[string]int // number of the attempt of each request that is out
	sent    []time.Duration
	now     time.Duration
	served  int
	warm    int // of them, while no host was cold
	// busy is until when each core of a host is, by host; nil: hosts answer after the mean work, whatever they have to do.
	busy map[string][]time.Duration
	dead map[string]bool // hosts that answer nothing; only where busy is set
	// before is the load until the host starts, as a part of the group's capacity; 0: that of all the time.
	before float64
}

type moment struct {
	at     time.Duration
	seq    int
	router int
	ev     Event
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(v any)   { *m = append(*m, v.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func (f *fleet) later(at time.Duration, router int, ev Event) {
	heap.Push(&f.due, moment{at, len(f.sent) + f.due.Len(), router, ev})
}

// tell hands a router an event. Every host answers after the mean work; the cold one is host.
func (f *fleet) tell(i int, ev Event, host string) {
	for _, a := range f.routers[i].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case Send:
			if a.Server == host {
				f.sent = append(f.sent, f.now)
			}
			n := f.out[a.ID]
			f.out[a.ID]++
			f.answer(i, a, n, host)
		case Probe:
			result := OK
			if f.dead[a.Server] {
				result = TimedOut
			}
			f.later(f.now+ms, i, ProbeResult{Server: a.Server, Result: result, Took: ms})
		case StartTimer:
			f.later(f.now+a.Wait, i, Timer{a.Tag})
		}
	}
}

// answer has a host end an attempt.
func (f *fleet) answer(router int, a Send, attempt int, cold string) {
	role := Replica
	if a.Server == "p" {
		role = Primary
	}
	out := Outcome{ID: a.ID, Server: a.Server, Attempt: attempt, Result: OK, Role: role, Took: work, Final: true}
	if f.busy != nil {
		out.Took, out.Result = f.queue(a, cold)
		out.Final = out.Result == OK
	}
	f.later(f.now+out.Took, router, out)
}

// queue has a host with a few cores take an attempt: it turns away what would wait too long, and goes on with what timed out.
func (f *fleet) queue(a Send, cold string) (time.Duration, Result) {
	if f.dead[a.Server] {
		return cmp.Or(a.Timeout, silent), TimedOut
	}
	if f.busy[a.Server] == nil {
		f.busy[a.Server] = make([]time.Duration, cores)
	}
	first := 0
	for i, until := range f.busy[a.Server] {
		if until < f.busy[a.Server][first] {
			first = i
		}
	}
	begin := max(f.now, f.busy[a.Server][first])
	if begin-f.now > longestQueue {
		return ms, QueueFull
	}
	took := work
	if began := origin + coldAt; a.Server == cold && f.now >= began {
		took = time.Duration(float64(work) / f.warmth(f.now-began))
	}
	f.busy[a.Server][first] = begin + took
	if total := begin + took - f.now; a.Timeout == 0 || total <= a.Timeout {
		return total, OK
	}
	return a.Timeout, TimedOut
}

// warmth is the least part of its capacity that a host has so long after its start.
func (f *fleet) warmth(age time.Duration) float64 {
	return min(1, f.s.ColdShare+(1-f.s.ColdShare)*float64(age)/float64(f.s.ColdTime))
}

const (
	work         = 60 * ms
	cores        = 4
	capacity     = 66.0 // requests a second of a warm host
	replicas     = 5
	fall         = 1500 * ms
	coldAt       = 2 * time.Second // after the beginning
	longestQueue = 300 * ms
	silent       = time.Second // until a client of a host that answers nothing gives up
)

// play has a group under a load, as a part of its capacity, while one host starts cold; told late, or not at all, to a part of
// the routers.
func (f *fleet) play(load float64, class, host string, untold float64) {
	const start, end = coldAt, 14 * time.Second
	members := Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}}}
	for i := range replicas {
		members.List = append(members.List, Member{Server: fmt.Sprint("r", i), Weight: 1})
	}
	f.now = origin
	for i := range f.routers {
		f.tell(i, members, host)
	}
	bears := capacity * replicas
	if class == "save" {
		bears = capacity
	}
	rate, n, begun := cmp.Or(f.before, load)*bears, 0, false
	for next := origin; ; next += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) {
		for f.due.Len() > 0 && f.due[0].at <= next {
			m := heap.Pop(&f.due).(moment)
			f.now = m.at
			if o, ok := m.ev.(Outcome); ok {
				f.served++
				if !begun {
					f.warm++
				}
				delete(f.out, o.ID)
			}
			f.tell(m.router, m.ev, host)
		}
		if f.now = next; next > origin+end {
			return
		}
		if !begun && next > origin+start {
			begun, f.sent, rate = true, nil, load*bears
			for i := range f.routers {
				if f.rng.Float64() < untold {
					continue
				}
				l := members.List[0]
				for _, m := range members.List {
					if m.Server == host {
						l = m
					}
				}
				l.Started = f.now
				f.later(f.now, i, Members{List: []Member{l}})
			}
		}
		x, i := f.rng.Float64()*f.share[len(f.share)-1], 0
		for f.share[i] < x {
			i++
		}
		n++
		c := f.routers[i].cells[0].classes[class].Class
		f.tell(i, Request{ID: fmt.Sprint("q", n), Class: class, Session: fmt.Sprint(n), Deadline: next + c.Deadline}, host)
	}
}

// over gives the window in which most came beyond what may be put down to chance, as a part of that. Windows that begin when the
// host is warm are not looked at.
func (f *fleet) over() (worst float64) {
	began := origin + coldAt
	for i := range f.sent {
		if f.sent[i] >= began+f.s.ColdTime {
			break
		}
		n := 0
		for _, at := range f.sent[i:] {
			if at >= f.sent[i]+fall {
				break
			}
			n++
		}
		budget := f.s.OverloadFactor * f.warmth(f.sent[i]-began) * capacity * fall.Seconds()
		worst = max(worst, float64(n)/(budget+2*math.Sqrt(budget)+2))
	}
	return worst
}

// What all routers of a fleet send to a host that has just started stays within its budget, however many they are and however
// unevenly the traffic comes: no one of them sees the sum.
func TestAFleetKeepsAColdHostsBudget(t *testing.T) {
	for _, c := range []struct {
		name        string
		class, host string
		factor      float64
		load        float64
		untold      float64
	}{
		{"a replica, full load", "any", "r2", 4, 1, 0},
		{"a replica, a burst of half as much again", "any", "r2", 4, 1.5, 0},
		{"a replica, a third of the routers not told", "any", "r2", 4, 1, 0.33},
		{"a replica that bears little", "any", "r2", 1, 1, 0},
		{"a replica that bears a little more", "any", "r2", 1.5, 1, 0},
		{"a replica where no such bound is given", "any", "r2", 0, 1, 0},
		{"the primary", "save", "p", 4, 0.7, 0},
		{"the primary, in a burst", "save", "p", 4, 1.05, 0},
		{"a primary that bears little", "save", "p", 1.5, 0.7, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, routers := range []int{20, 30, 300} {
				for seed := range uint64(5) {
					s := settings()
					s.Routers, s.OverloadFactor, s.ColdShare, s.ColdTime = routers, c.factor, 0.25, 10*time.Second
					f := &fleet{s: s, rng: rand.New(rand.NewPCG(seed, 5)), out: map[string]int{}}
					sum := 0.0
					for i := range routers {
						r, err := New(s, seed*1000+uint64(i))
						if err != nil {
							t.Fatal(err)
						}
						f.routers = append(f.routers, r)
						sum += 0.2 + 4*f.rng.Float64()*f.rng.Float64() // some see several times the mean
						f.share = append(f.share, sum)
					}
					f.play(c.load, c.class, c.host, c.untold)
					if len(f.sent) == 0 || f.served == 0 {
						t.Fatalf("%d routers, seed %d: %d sent, %d served: nothing is shown", routers, seed, len(f.sent), f.served)
					}
					if worst := f.over(); worst > 1 && c.factor > 0 {
						t.Errorf("%d routers, seed %d: %.2f of what the host bears", routers, seed, worst)
					} else {
						t.Logf("%d routers, seed %d: %.2f, %d sent, %d served", routers, seed, worst, len(f.sent), f.served)
					}
				}
			}
		})
	}
}

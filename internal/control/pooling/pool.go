package pooling

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits bound the connections to hosts.
type Limits struct {
	Total             int           // open or being opened, to all hosts
	PerHost           int           // of them to one host; 0: as many as Total
	MinPerHost        int           // that a host can have even where others hold the total: an idle one of theirs is closed for it
	Opening           int           // being opened to one host at a time; 0: any number
	OpenRate          float64       // opened to one host in a second, with as many at once; 0: any number
	MinRest           time.Duration // after use before the next one
	Idle              time.Duration // a connection is closed after as much idling
	Age               time.Duration // and at this age, give or take a quarter, so that they are not all opened anew together; 0: never
	PeakHalfLife      time.Duration // in which the number kept halves to what is used; 0: only Idle closes any
	SlowStartFraction float64       // of PerHost that a host has that starts cold; 0: all
}

// Choice is what to do for one who needs a connection.
type Choice int

// Choices.
const (
	Reuse  Choice = iota // the connection of that number
	Open                 // open one, and close that of the number if there is one
	Full                 // all are in use
	Paused               // the host gets no more new ones just now
)

// conn is one connection that idles.
type conn struct {
	id    int
	since time.Duration
	endAt time.Duration // of its age; 0: none
}

type pool struct {
	idle    []conn // the one used last at the end
	open    int    // with those in use and being opened
	opening int
	used    int // in use
	peak    float64
	peakAt  time.Duration
	tokens  float64
	tokenAt time.Duration
	closed  bool // takes nothing new: it drains or is gone
	cold    bool
	ends    map[int]time.Duration // of those in use: when their age is over
}

// Pools decides about the connections of one gateway. Connections are known by numbers that the caller gives. It is not safe
// for concurrent use.
type Pools struct {
	limits Limits
	rng    *rand.Rand
	hosts  map[string]*pool
	total  int
	peak   int
}

// NewPools makes pools; seed draws the spread of ages.
func NewPools(l Limits, seed uint64) *Pools {
	return &Pools{limits: l, rng: rand.New(rand.NewPCG(seed, 0x706f6f6c)), hosts: map[string]*pool{}}
}

func (p *Pools) host(name string) *pool {
	h := p.hosts[name]
	if h == nil {
		h = &pool{tokens: max(1, p.limits.OpenRate), ends: map[int]time.Duration{}}
		p.hosts[name] = h
	}
	return h
}

func (p *Pools) most(h *pool) int {
	most := p.limits.PerHost
	if most <= 0 {
		most = p.limits.Total
	}
	if h.cold && p.limits.SlowStartFraction > 0 {
		most = max(1, int(float64(most)*p.limits.SlowStartFraction))
	}
	return most
}

// SetTotal changes how many may be open. Idle connections above that are to be closed; those in use are when they are given
// back.
func (p *Pools) SetTotal(n int) (end []int) {
	p.limits.Total = n
	for p.total > n {
		id := p.evict(&pool{open: p.limits.MinPerHost})
		if id == 0 {
			break
		}
		end = append(end, id)
	}
	return end
}

// SetIdle changes how long a connection may idle.
func (p *Pools) SetIdle(d time.Duration) { p.limits.Idle = d }

// Take chooses a connection to a host: of those that have rested the one used last, or a new one. alive says whether an idle one
// is still good; those that are not are in dead, and closed. With Open, close is a connection to be closed for it, if not 0.
func (p *Pools) Take(now time.Duration, name string, alive func(id int) bool) (c Choice, id int, dead []int) {
	h := p.host(name)
	for i := len(h.idle) - 1; i >= 0; i-- {
		x := h.idle[i]
		if now-x.since < p.limits.MinRest {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if p.limits.Idle > 0 && now-x.since > p.limits.Idle || x.endAt > 0 && now >= x.endAt || !alive(x.id) {
			dead = append(dead, x.id)
			h.open--
			p.total--
			continue
		}
		p.use(now, h)
		h.ends[x.id] = x.endAt
		return Reuse, x.id, dead
	}
	switch {
	case h.closed, h.open >= p.most(h):
		return Full, 0, dead
	case p.limits.Opening > 0 && h.opening >= p.limits.Opening, !p.token(now, h):
		return Paused, 0, dead
	}
	evicted := 0
	if p.total >= p.limits.Total {
		if evicted = p.evict(h); evicted == 0 {
			return Full, 0, dead
		}
	}
	if p.limits.OpenRate > 0 {
		h.tokens--
	}
	h.open++
	h.opening++
	p.total++
	p.peak = max(p.peak, p.total)
	return Open, evicted, dead
}

// evict closes the connection that has idled longest, of all hosts; of a host's least ones only where this host has less.
func (p *Pools) evict(h *pool) int {
	var from *pool
	for _, o := range p.hosts {
		if len(o.idle) == 0 || o != h && o.open <= p.limits.MinPerHost && h.open >= p.limits.MinPerHost {
			continue
		}
		if from == nil || o.idle[0].since < from.idle[0].since || o.idle[0].since == from.idle[0].since && o.idle[0].id < from.idle[0].id {
			from = o
		}
	}
	if from == nil {
		return 0
	}
	id := from.idle[0].id
	from.idle = slices.Delete(from.idle, 0, 1)
	from.open--
	p.total--
	return id
}

func (p *Pools) token(now time.Duration, h *pool) bool {
	if p.limits.OpenRate <= 0 {
		return true
	}
	if h.tokenAt > 0 {
		h.tokens = min(max(1, p.limits.OpenRate), h.tokens+(now-h.tokenAt).Seconds()*p.limits.OpenRate)
	}
	h.tokenAt = now
	return h.tokens >= 1
}

func (p *Pools) use(now time.Duration, h *pool) {
	h.used++
	p.decay(now, h)
	h.peak = max(h.peak, float64(h.used))
}

// decay lets what was in use at most be forgotten by half in each Memory.
func (p *Pools) decay(now time.Duration, h *pool) {
	if p.limits.PeakHalfLife > 0 && h.peakAt > 0 {
		for h.peakAt+p.limits.PeakHalfLife <= now && h.peak > float64(h.used) {
			h.peak = float64(h.used) + (h.peak-float64(h.used))/2
			h.peakAt += p.limits.PeakHalfLife
		}
	}
	if h.peakAt == 0 || h.peakAt+p.limits.PeakHalfLife <= now {
		h.peakAt = now
	}
}

// Opened says that a connection came up, under its number; it is in use.
func (p *Pools) Opened(now time.Duration, name string, id int) {
	h := p.host(name)
	h.opening--
	p.use(now, h)
	end := time.Duration(0)
	if a := p.limits.Age; a > 0 {
		end = now + a*3/4 + time.Duration(p.rng.Int64N(int64(a/2)+1))
	}
	h.ends[id] = end
}

// OpenFailed says that a connection did not come up.
func (p *Pools) OpenFailed(name string) {
	h := p.host(name)
	h.opening--
	h.open--
	p.total--
}

// Put gives a connection back; keep says that it may be used again, otherwise the caller closes it.
func (p *Pools) Put(now time.Duration, name string, id int, clean bool) (keep bool) {
	h := p.host(name)
	end := h.ends[id]
	delete(h.ends, id)
	h.used--
	if !clean || h.closed || end > 0 && now >= end || h.open > p.most(h) || p.total > p.limits.Total {
		h.open--
		p.total--
		return false
	}
	h.idle = append(h.idle, conn{id, now, end})
	return true
}

// SetClosed lets nothing new to a host, or something again. The idle connections of a closed one are to be closed.
func (p *Pools) SetClosed(name string, closed bool) (end []int) {
	h := p.host(name)
	h.closed = closed
	if closed {
		end = p.drop(h)
	}
	return end
}

func (p *Pools) drop(h *pool) (end []int) {
	for _, x := range h.idle {
		end = append(end, x.id)
	}
	h.open -= len(h.idle)
	p.total -= len(h.idle)
	h.idle = nil
	return end
}

// SetCold says whether a host has just started.
func (p *Pools) SetCold(name string, cold bool) { p.host(name).cold = cold }

// CloseIdle ends the idle connections of a host, whose address has changed.
func (p *Pools) CloseIdle(name string) []int { return p.drop(p.host(name)) }

// RemoveHost ends the idle connections of a host that is gone for good, and forgets it once none is in use.
func (p *Pools) RemoveHost(name string) (end []int) {
	if h := p.hosts[name]; h != nil {
		h.closed = true
		if end = p.drop(h); h.open == 0 {
			delete(p.hosts, name)
		}
	}
	return end
}

// Tick gives the connections to be closed: those that have idled for too long, are too old, or are more than has been used
// lately, one of each host at a time.
func (p *Pools) Tick(now time.Duration) (end []int) {
	for _, h := range p.hosts {
		kept := h.idle[:0]
		p.decay(now, h)
		spare := h.open - h.opening - int(h.peak+0.999)
		for _, x := range h.idle {
			over := p.limits.Idle > 0 && now-x.since > p.limits.Idle || x.endAt > 0 && now >= x.endAt
			if !over && p.limits.PeakHalfLife > 0 && spare > 0 {
				over, spare = true, 0
			}
			if !over {
				kept = append(kept, x)
				continue
			}
			end = append(end, x.id)
			h.open--
			p.total--
		}
		h.idle = kept
	}
	return end
}

// Stat is how a host's pool stands.
type Stat struct {
	Open, Idle, Used, Opening int
}

// Stats says how all pools stand.
func (p *Pools) Stats() map[string]Stat {
	out := make(map[string]Stat, len(p.hosts))
	for name, h := range p.hosts {
		out[name] = Stat{h.open, len(h.idle), h.used, h.opening}
	}
	return out
}

// Peak is how many were open or being opened at most.
func (p *Pools) Peak() int { return p.peak }

// Total is how many are open or being opened.
func (p *Pools) Total() int { return p.total }

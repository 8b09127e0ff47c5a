package pooling

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits bounds the connections to hosts.
type Limits struct {
	Total    int           // maximum number of connections to all hosts, open or being opened
	PerHost  int           // maximum number of connections to one host; 0 means Total
	Least    int           // guaranteed to each host: at the total, an idle connection of another host is closed for it
	Opening  int           // maximum number of connections being opened to one host; 0 means no limit
	PerSec   float64       // rate of opening connections to one host, also the burst; 0 means no limit
	Rest     time.Duration // minimum time between two uses of a connection
	Idle     time.Duration // maximum idle time of a connection; 0 means no limit
	Age      time.Duration // maximum age, varied by up to a quarter so as not to reopen all at once; 0 means no limit
	Memory   time.Duration // half-life of the peak usage, to which idle connections are reduced; 0 closes by Idle only
	ColdPart float64       // fraction of PerHost that a host may have during its slow start; 0 means all
}

// Choice is the decision of Pools.Take.
type Choice int

// Choices.
const (
	Reuse  Choice = iota // use the returned idle connection
	Open                 // open a new connection, and close the returned one if its number is not 0
	Full                 // the connection limit is reached
	Paused               // the limits of opening connections to the host are reached
)

// conn is an idle connection.
type conn struct {
	id    int
	since time.Duration // when it became idle
	endAt time.Duration // when it reaches its maximum age, or 0 if there is none
}

// pool holds the connections to one host.
type pool struct {
	idle    []conn // in order of their last use
	open    int    // all connections, including those in use and those being opened
	opening int
	used    int // number of connections in use
	peak    float64
	peakAt  time.Duration
	tokens  float64
	tokenAt time.Duration
	closed  bool // gets no new connections: the host drains or was removed
	cold    bool
	ends    map[int]time.Duration // when the connections in use reach their maximum age
}

// Pools manages the connections of one gateway to all hosts. The caller assigns the numbers of the connections. It is
// not safe for concurrent use.
type Pools struct {
	limits Limits
	rng    *rand.Rand
	hosts  map[string]*pool
	total  int
	peak   int
}

// NewPools returns empty pools. The seed determines the variation of maximum ages.
func NewPools(l Limits, seed uint64) *Pools {
	return &Pools{limits: l, rng: rand.New(rand.NewPCG(seed, 0x706f6f6c)), hosts: map[string]*pool{}}
}

func (p *Pools) host(name string) *pool {
	h := p.hosts[name]
	if h == nil {
		h = &pool{tokens: max(1, p.limits.PerSec), ends: map[int]time.Duration{}}
		p.hosts[name] = h
	}
	return h
}

// most returns the maximum number of connections to a host.
func (p *Pools) most(h *pool) int {
	most := p.limits.PerHost
	if most <= 0 {
		most = p.limits.Total
	}
	if h.cold && p.limits.ColdPart > 0 {
		most = max(1, int(float64(most)*p.limits.ColdPart))
	}
	return most
}

// SetTotal changes the maximum number of connections. It returns the idle connections to close in order to comply;
// further connections in excess are closed when they are returned by Put.
func (p *Pools) SetTotal(n int) (end []int) {
	p.limits.Total = n
	for p.total > n {
		id := p.evict(&pool{open: p.limits.Least})
		if id == 0 {
			break
		}
		end = append(end, id)
	}
	return end
}

// SetIdle changes the maximum idle time.
func (p *Pools) SetIdle(d time.Duration) { p.limits.Idle = d }

// Take chooses a connection to a host: among the idle connections that have rested for long enough the one used last,
// or else a new one. It calls alive to check an idle connection. Idle connections that are not alive or past a limit
// are returned in dead, to be closed. With Open, id is a connection to close for the new one, or 0 if there is none.
func (p *Pools) Take(now time.Duration, name string, alive func(id int) bool) (c Choice, id int, dead []int) {
	h := p.host(name)
	for i := len(h.idle) - 1; i >= 0; i-- {
		x := h.idle[i]
		if now-x.since < p.limits.Rest {
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
	if p.limits.PerSec > 0 {
		h.tokens--
	}
	h.open++
	h.opening++
	p.total++
	p.peak = max(p.peak, p.total)
	return Open, evicted, dead
}

// evict removes the connection that has been idle for longest among all hosts, and returns its number or 0 if there is
// none. It takes no connection that is guaranteed to another host unless h has fewer than the guaranteed number.
func (p *Pools) evict(h *pool) int {
	var from *pool
	for _, o := range p.hosts {
		if len(o.idle) == 0 || o != h && o.open <= p.limits.Least && h.open >= p.limits.Least {
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

// token refills the host's token bucket and reports whether a connection may be opened.
func (p *Pools) token(now time.Duration, h *pool) bool {
	if p.limits.PerSec <= 0 {
		return true
	}
	if h.tokenAt > 0 {
		h.tokens = min(max(1, p.limits.PerSec), h.tokens+(now-h.tokenAt).Seconds()*p.limits.PerSec)
	}
	h.tokenAt = now
	return h.tokens >= 1
}

// use counts a connection as in use.
func (p *Pools) use(now time.Duration, h *pool) {
	h.used++
	p.decay(now, h)
	h.peak = max(h.peak, float64(h.used))
}

// decay halves the difference between the peak usage and the current usage once per half-life.
func (p *Pools) decay(now time.Duration, h *pool) {
	if p.limits.Memory > 0 && h.peakAt > 0 {
		for h.peakAt+p.limits.Memory <= now && h.peak > float64(h.used) {
			h.peak = float64(h.used) + (h.peak-float64(h.used))/2
			h.peakAt += p.limits.Memory
		}
	}
	if h.peakAt == 0 || h.peakAt+p.limits.Memory <= now {
		h.peakAt = now
	}
}

// Opened records that a connection was established, and assigns its number. The connection is in use.
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

// NotOpened records that a connection could not be established.
func (p *Pools) NotOpened(name string) {
	h := p.host(name)
	h.opening--
	h.open--
	p.total--
}

// Put returns a connection to the pool. If it returns false, the caller has to close the connection.
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

// Close sets whether a host gets no more connections. For a closed host it returns the idle connections to close.
func (p *Pools) Close(name string, closed bool) (end []int) {
	h := p.host(name)
	h.closed = closed
	if closed {
		end = p.drop(h)
	}
	return end
}

// drop removes all idle connections of a host and returns their numbers.
func (p *Pools) drop(h *pool) (end []int) {
	for _, x := range h.idle {
		end = append(end, x.id)
	}
	h.open -= len(h.idle)
	p.total -= len(h.idle)
	h.idle = nil
	return end
}

// Cold sets whether a host is in its slow start.
func (p *Pools) Cold(name string, cold bool) { p.host(name).cold = cold }

// Drop removes the idle connections of a host whose address has changed, and returns them to be closed.
func (p *Pools) Drop(name string) []int { return p.drop(p.host(name)) }

// Forget closes the pool of a removed host and returns its idle connections to be closed. The pool is deleted if no
// connection is left in use.
func (p *Pools) Forget(name string) (end []int) {
	if h := p.hosts[name]; h != nil {
		h.closed = true
		if end = p.drop(h); h.open == 0 {
			delete(p.hosts, name)
		}
	}
	return end
}

// Tick returns the connections to close: those that have been idle for too long or are too old, and one per host if
// there are more than the recent peak usage.
func (p *Pools) Tick(now time.Duration) (end []int) {
	for _, h := range p.hosts {
		kept := h.idle[:0]
		p.decay(now, h)
		spare := h.open - h.opening - int(h.peak+0.999)
		for _, x := range h.idle {
			over := p.limits.Idle > 0 && now-x.since > p.limits.Idle || x.endAt > 0 && now >= x.endAt
			if !over && p.limits.Memory > 0 && spare > 0 {
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

// Stat counts the connections of a host. Open includes those that are idle, in use or being opened.
type Stat struct {
	Open, Idle, Used, Opening int
}

// Stats returns the counts of all pools by host.
func (p *Pools) Stats() map[string]Stat {
	out := make(map[string]Stat, len(p.hosts))
	for name, h := range p.hosts {
		out[name] = Stat{h.open, len(h.idle), h.used, h.opening}
	}
	return out
}

// Peak returns the highest number of connections that were open or being opened at the same time.
func (p *Pools) Peak() int { return p.peak }

// Total returns the number of connections that are open or being opened.
func (p *Pools) Total() int { return p.total }

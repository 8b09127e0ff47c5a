package pooling

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits bounds the connections to hosts.
type Limits struct {
	Total             int           // maximum number of connections to all hosts, open or being opened
	PerHost           int           // maximum number of connections to one host; 0 means Total
	MinPerHost        int           // guaranteed to each host: at the total, an idle connection of another host is closed for it
	Opening           int           // maximum number of connections being opened to one host; 0 means no limit
	OpenRate          float64       // rate of opening connections to one host, also the burst; 0 means no limit
	MinRest           time.Duration // minimum time from the end of a use of a connection to its next use
	Idle              time.Duration // maximum idle time of a connection; 0 means no limit
	Age               time.Duration // maximum age, varied by up to a quarter so as not to reopen all at once; 0 means no limit
	PeakHalfLife      time.Duration // half-life of the peak usage, to which idle connections are reduced; 0 closes by Idle only
	SlowStartFraction float64       // fraction of PerHost that a host may have during its slow start; 0 means all
}

// Choice is the decision of Pools.Take.
type Choice int

// Choices.
const (
	Reuse          Choice = iota // use the returned idle connection
	Open                         // open a new connection, and close the returned one if its number is not 0
	LimitReached                 // the connection limit is reached
	OpeningLimited               // the limits of opening connections to the host are reached
)

// idleConn is an idle connection.
type idleConn struct {
	id        int
	idleSince time.Duration // when it became idle
	expiresAt time.Duration // when it reaches its maximum age, or 0 if there is none
}

// hostPool holds the connections to one host.
type hostPool struct {
	idle        []idleConn // in order of their last use
	open        int        // all connections, including those in use and those being opened
	opening     int
	used        int // number of connections in use
	peak        float64
	peakAt      time.Duration
	tokens      float64
	tokensAt    time.Duration
	closed      bool // gets no new connections: the host drains or was removed
	cold        bool
	expirations map[int]time.Duration // when the connections in use reach their maximum age
}

// Pools manages the connections of one gateway to all hosts. The caller assigns the numbers of the
// connections. It is not safe for concurrent use.
type Pools struct {
	limits Limits
	rng    *rand.Rand
	hosts  map[string]*hostPool
	total  int
	peak   int
}

// NewPools returns empty pools. The seed determines the variation of maximum ages.
func NewPools(l Limits, seed uint64) *Pools {
	return &Pools{limits: l, rng: rand.New(rand.NewPCG(seed, 0x706f6f6c)), hosts: map[string]*hostPool{}}
}

func (p *Pools) host(name string) *hostPool {
	h := p.hosts[name]
	if h == nil {
		h = &hostPool{tokens: max(1, p.limits.OpenRate), expirations: map[int]time.Duration{}}
		p.hosts[name] = h
	}
	return h
}

// maxOpen returns the maximum number of connections to a host.
func (p *Pools) maxOpen(h *hostPool) int {
	limit := p.limits.PerHost
	if limit <= 0 {
		limit = p.limits.Total
	}
	if h.cold && p.limits.SlowStartFraction > 0 {
		limit = max(1, int(float64(limit)*p.limits.SlowStartFraction))
	}
	return limit
}

// SetTotal changes the maximum number of connections. It returns the idle connections to close in order to
// comply; further connections in excess are closed when they are returned by Put.
func (p *Pools) SetTotal(n int) (closing []int) {
	p.limits.Total = n
	for p.total > n {
		id := p.evict(&hostPool{open: p.limits.MinPerHost})
		if id == 0 {
			break
		}
		closing = append(closing, id)
	}
	return closing
}

// SetIdle changes the maximum idle time.
func (p *Pools) SetIdle(d time.Duration) { p.limits.Idle = d }

// Take chooses a connection to a host: among the idle connections that have rested for long enough the one
// used last, or else a new one. It calls alive to check an idle connection. Idle connections that are not
// alive or past a limit are returned in dead, to be closed. With Open, id is a connection to close for the
// new one, or 0 if there is none.
func (p *Pools) Take(now time.Duration, name string, alive func(id int) bool) (c Choice, id int, dead []int) {
	h := p.host(name)
	for i := len(h.idle) - 1; i >= 0; i-- {
		x := h.idle[i]
		if now-x.idleSince < p.limits.MinRest {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if p.limits.Idle > 0 && now-x.idleSince > p.limits.Idle || x.expiresAt > 0 && now >= x.expiresAt || !alive(x.id) {
			dead = append(dead, x.id)
			h.open--
			p.total--
			continue
		}
		p.markUsed(now, h)
		h.expirations[x.id] = x.expiresAt
		return Reuse, x.id, dead
	}
	switch {
	case h.closed, h.open >= p.maxOpen(h):
		return LimitReached, 0, dead
	case p.limits.Opening > 0 && h.opening >= p.limits.Opening, !p.refillTokens(now, h):
		return OpeningLimited, 0, dead
	}
	evicted := 0
	if p.total >= p.limits.Total {
		if evicted = p.evict(h); evicted == 0 {
			return LimitReached, 0, dead
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

// evict removes the connection that has been idle for longest among all hosts, and returns its number or 0 if
// there is none. It takes no connection that is guaranteed to another host unless h has fewer than the
// guaranteed number.
func (p *Pools) evict(h *hostPool) int {
	var from *hostPool
	for _, o := range p.hosts {
		if len(o.idle) == 0 || o != h && o.open <= p.limits.MinPerHost && h.open >= p.limits.MinPerHost {
			continue
		}
		if from == nil || o.idle[0].idleSince < from.idle[0].idleSince || o.idle[0].idleSince == from.idle[0].idleSince && o.idle[0].id < from.idle[0].id {
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

// refillTokens refills the host's token bucket and reports whether a connection may be opened.
func (p *Pools) refillTokens(now time.Duration, h *hostPool) bool {
	if p.limits.OpenRate <= 0 {
		return true
	}
	if h.tokensAt > 0 {
		h.tokens = min(max(1, p.limits.OpenRate), h.tokens+(now-h.tokensAt).Seconds()*p.limits.OpenRate)
	}
	h.tokensAt = now
	return h.tokens >= 1
}

// markUsed counts a connection as in use.
func (p *Pools) markUsed(now time.Duration, h *hostPool) {
	h.used++
	p.decayPeak(now, h)
	h.peak = max(h.peak, float64(h.used))
}

// decayPeak halves the difference between the peak usage and the current usage once per half-life.
func (p *Pools) decayPeak(now time.Duration, h *hostPool) {
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

// Opened records that a connection was established, and assigns its number. The connection is in use.
func (p *Pools) Opened(now time.Duration, name string, id int) {
	h := p.host(name)
	h.opening--
	p.markUsed(now, h)
	end := time.Duration(0)
	if a := p.limits.Age; a > 0 {
		end = now + a*3/4 + time.Duration(p.rng.Int64N(int64(a/2)+1))
	}
	h.expirations[id] = end
}

// OpenFailed records that a connection could not be established.
func (p *Pools) OpenFailed(name string) {
	h := p.host(name)
	h.opening--
	h.open--
	p.total--
}

// Put returns a connection to the pool. A connection that is not clean is not used again. If Put returns false,
// the caller has to close the connection.
func (p *Pools) Put(now time.Duration, name string, id int, clean bool) (keep bool) {
	h := p.host(name)
	end := h.expirations[id]
	delete(h.expirations, id)
	h.used--
	if !clean || h.closed || end > 0 && now >= end || h.open > p.maxOpen(h) || p.total > p.limits.Total {
		h.open--
		p.total--
		return false
	}
	h.idle = append(h.idle, idleConn{id, now, end})
	return true
}

// SetClosed sets whether a host gets no more connections. For a closed host it returns the idle connections to
// close.
func (p *Pools) SetClosed(name string, closed bool) (closing []int) {
	h := p.host(name)
	h.closed = closed
	if closed {
		closing = p.removeIdle(h)
	}
	return closing
}

// removeIdle removes all idle connections of a host and returns their numbers.
func (p *Pools) removeIdle(h *hostPool) (closing []int) {
	for _, x := range h.idle {
		closing = append(closing, x.id)
	}
	h.open -= len(h.idle)
	p.total -= len(h.idle)
	h.idle = nil
	return closing
}

// SetCold sets whether a host is in its slow start.
func (p *Pools) SetCold(name string, cold bool) { p.host(name).cold = cold }

// CloseIdle removes the idle connections of a host whose address has changed, and returns them to be closed.
func (p *Pools) CloseIdle(name string) []int { return p.removeIdle(p.host(name)) }

// RemoveHost closes the pool of a removed host and returns its idle connections to be closed. The pool is deleted
// if no connection is in use or being opened.
func (p *Pools) RemoveHost(name string) (closing []int) {
	if h := p.hosts[name]; h != nil {
		h.closed = true
		if closing = p.removeIdle(h); h.open == 0 {
			delete(p.hosts, name)
		}
	}
	return closing
}

// Tick returns the connections to close: those that have been idle for too long or are too old, and one per
// host if there are more than the recent peak usage.
func (p *Pools) Tick(now time.Duration) (closing []int) {
	for _, h := range p.hosts {
		kept := h.idle[:0]
		p.decayPeak(now, h)
		spare := h.open - h.opening - int(h.peak+0.999)
		for _, x := range h.idle {
			closeIt := p.limits.Idle > 0 && now-x.idleSince > p.limits.Idle || x.expiresAt > 0 && now >= x.expiresAt
			if !closeIt && p.limits.PeakHalfLife > 0 && spare > 0 {
				closeIt, spare = true, 0
			}
			if !closeIt {
				kept = append(kept, x)
				continue
			}
			closing = append(closing, x.id)
			h.open--
			p.total--
		}
		h.idle = kept
	}
	return closing
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

// Package admission decides which client connections are served: whether a new connection is accepted, which
// connection is evicted for it, and which are closed because they were idle for too long. It does no I/O and
// reads no clock: the caller reports what connections do and carries out the decisions. No operation iterates
// over all connections; each takes logarithmic time.
//
// Connections are evicted in this order:
//
//  1. connections that have sent nothing for longer than SilentTimeout, of the source with most connections first,
//     longest first;
//  2. idle ones with at most one request, of the source with most connections first, longest first;
//  3. idle ones with more requests that are unlikely to send another one soon, judged by the times between the
//     requests of their source, longest idle first;
//  4. other idle ones, longest idle first.
//
// A connection is never evicted while it receives a request or waits for an answer. A connection counts as
// idle after having no open request for a time that depends on the pressure: from IdleTimeout without
// pressure down to MinIdleTimeout near the limit.
package admission

import (
	"time"

	"github.com/tidwall/btree"
)

// Limits configures a Controller.
type Limits struct {
	MaxConns                    int           // maximum number of connections served
	MaxClosing                  int           // maximum number of further connections that are being closed
	MaxWithRequests             int           // maximum number of connections that have sent a request, or 0 for no such limit; only sets the pressure
	KeepIdle                    int           // no connection is closed for being idle while at most this many are open
	SilentTimeout               time.Duration // a connection that has sent nothing for longer may be evicted
	IdleTimeout                 time.Duration // idle timeout without pressure
	MinIdleTimeout              time.Duration // idle timeout under full pressure, at most IdleTimeout
	LowWatermark, HighWatermark float64       // fractions of MaxConns or MaxWithRequests: pressure rises from 0 at the low to 1 at the high one
	RetryAfter                  time.Duration // minimum retryAfter of refused clients; up to half of it is added to spread retries
	TrackedSources              int           // number of sources whose request intervals are tracked separately; all others share one record
}

// DefaultLimits returns the limits for a gateway with that many connections. The caller sets those that depend on
// descriptors.
func DefaultLimits(maxConns int) Limits {
	return Limits{MaxConns: maxConns, MaxClosing: 24, SilentTimeout: 100 * time.Millisecond, IdleTimeout: 2 * time.Second,
		MinIdleTimeout: 250 * time.Millisecond, LowWatermark: 0.65, HighWatermark: 0.75,
		RetryAfter: 200 * time.Millisecond, TrackedSources: 64}
}

// State is the state of a connection.
type State int

// States of a connection.
const (
	Silent  State = iota // no request yet
	Idle                 // at least one request, none open
	Busy                 // a request is being received or waits for its answer
	Closing              // being closed
	numStates
)

var stateNames = [...]string{"newcomer", "idle", "at work", "leaving"}

func (s State) String() string { return stateNames[s] }

// Reason is why a connection is closed or refused.
type Reason int

// Reasons for closing or refusing a connection.
const (
	SilentEvicted             Reason = iota // evicted without having sent a request
	IdleEvicted                             // evicted while idle
	IdleTimedOut                            // idle timeout without pressure
	IdleTimedOutUnderPressure               // idle timeout that is shortened by pressure
	LimitReached                            // refused: the connection limit is reached and no connection can be evicted
	ClosingLimitReached                     // refused: too many connections are being closed
	numReasons
)

var reasonNames = [...]string{"silent gave way", "idle gave way", "idle too long", "idle under pressure", "no place", "no room"}

func (r Reason) String() string { return reasonNames[r] }

// ID identifies a connection. The caller assigns it; it must be unique among open connections.
type ID uint64

// conn is the record of a connection.
type conn struct {
	id         ID
	source     *source
	state      State
	stateSince time.Duration // when it entered its state
	requests   int           // number of requests
}

// CloseRequest tells the caller to close a connection.
type CloseRequest struct {
	ID     ID
	Reason Reason
}

// Decision is the decision on a new connection.
type Decision struct {
	Accepted   bool           // whether the connection is served
	Registered bool           // if not accepted: whether it stays open until the refusal is sent; otherwise it is closed at once
	RetryAfter time.Duration  // if not accepted: when the client may retry
	Reason     Reason         // if not accepted: why
	Close      []CloseRequest // connections to close for the new one
}

// source is where connections come from, such as an address, a user or a tenant.
type source struct {
	name      string
	open      int // connections that are not being closed
	total     int // all connections
	intervals *intervals
	silent    *btree.BTreeG[*conn] // connections without a request, longest first
	usedOnce  *btree.BTreeG[*conn] // idle connections with at most one request, longest first
}

// longerInState orders connections by the time at which they entered their state.
func longerInState(a, b *conn) bool {
	return a.stateSince < b.stateSince || a.stateSince == b.stateSince && a.id < b.id
}

// moreConns orders sources by their number of connections, the largest first.
func moreConns(a, b *source) bool {
	return a.open > b.open || a.open == b.open && a.name < b.name
}

// Controller decides on the connections of one gateway. It is not safe for concurrent use.
type Controller struct {
	limits        Limits
	conns         map[ID]*conn
	sources       map[string]*source
	evictable     *btree.BTreeG[*source] // sources with a connection that is silent or has sent one request, largest first
	idle          *btree.BTreeG[*conn]   // all idle connections, longest first
	counts        [numStates]int
	intervals     *intervalTable
	underPressure bool               // whether HighWatermark has been reached and LowWatermark not since
	jitterState   uint64             // state of the random number generator of retryAfter
	CountByReason [numReasons]uint64 // closed and refused connections by reason
}

// New returns a Controller without connections.
func New(limits Limits) *Controller {
	return &Controller{limits: limits, conns: map[ID]*conn{}, sources: map[string]*source{},
		intervals: newIntervalTable(max(1, limits.TrackedSources)),
		evictable: btree.NewBTreeGOptions(moreConns, btree.Options{NoLocks: true}),
		idle:      btree.NewBTreeGOptions(longerInState, btree.Options{NoLocks: true})}
}

// SetLimits changes the limits. If more connections are open than they allow, new ones are refused until
// enough have closed.
func (ctrl *Controller) SetLimits(l Limits) { ctrl.limits = l }

// open returns the number of connections that are not being closed.
func (ctrl *Controller) open() int { return len(ctrl.conns) - ctrl.counts[Closing] }

// Pressure returns how close the number of connections is to the limits, from 0 to 1. It rises as soon as the
// number reaches HighWatermark and returns to 0 only when it has fallen to LowWatermark.
func (ctrl *Controller) Pressure() float64 {
	used := float64(ctrl.open()) / float64(max(1, ctrl.limits.MaxConns))
	if ctrl.limits.MaxWithRequests > 0 {
		used = max(used, float64(ctrl.counts[Idle]+ctrl.counts[Busy])/float64(ctrl.limits.MaxWithRequests))
	}
	switch {
	case used >= ctrl.limits.HighWatermark:
		ctrl.underPressure = true
	case used <= ctrl.limits.LowWatermark:
		ctrl.underPressure = false
	}
	if !ctrl.underPressure {
		return 0
	}
	return min(1, max(0, (used-ctrl.limits.LowWatermark)/max(ctrl.limits.HighWatermark-ctrl.limits.LowWatermark, 1e-9)))
}

// idleTimeout returns the current idle timeout.
func (ctrl *Controller) idleTimeout() time.Duration {
	return ctrl.limits.IdleTimeout - time.Duration(ctrl.Pressure()*float64(ctrl.limits.IdleTimeout-ctrl.limits.MinIdleTimeout))
}

// source returns the source of that name and creates it if necessary.
func (ctrl *Controller) source(name string) *source {
	s := ctrl.sources[name]
	if s == nil {
		s = &source{name: name, intervals: ctrl.intervals.lookup(name),
			silent:   btree.NewBTreeGOptions(longerInState, btree.Options{NoLocks: true}),
			usedOnce: btree.NewBTreeGOptions(longerInState, btree.Options{NoLocks: true})}
		ctrl.sources[name] = s
	}
	return s
}

// Arrive decides on a new connection of a source. A refusal must be sent at once.
func (ctrl *Controller) Arrive(now time.Duration, id ID, sourceName string) (decision Decision) {
	if ctrl.open() >= ctrl.limits.MaxConns {
		if c, reason := ctrl.victim(now); c != nil {
			decision.Close = append(decision.Close, ctrl.closeConn(now, c, reason))
		}
	}
	decision.Accepted = ctrl.open() < ctrl.limits.MaxConns
	decision.Registered = len(ctrl.conns) < ctrl.limits.MaxConns+ctrl.limits.MaxClosing
	if !decision.Registered {
		decision.Accepted = false
	}
	if !decision.Accepted {
		decision.RetryAfter, decision.Reason = ctrl.retryAfter(), LimitReached
		if !decision.Registered {
			decision.Reason = ClosingLimitReached
		}
		ctrl.CountByReason[decision.Reason]++
		if !decision.Registered {
			return decision
		}
	}
	c := &conn{id: id, source: ctrl.source(sourceName), state: numStates}
	c.source.total++
	ctrl.conns[id] = c
	ctrl.setState(now, c, Silent)
	if !decision.Accepted {
		ctrl.setState(now, c, Closing)
	}
	return decision
}

// retryAfter returns when a refused client may retry. It adds a random part of up to half of the minimum, so
// that clients refused at the same time do not retry together.
func (ctrl *Controller) retryAfter() time.Duration {
	ctrl.jitterState = ctrl.jitterState*6364136223846793005 + 1442695040888963407
	return ctrl.limits.RetryAfter + time.Duration(ctrl.jitterState>>33)%(ctrl.limits.RetryAfter/2+1)
}

// victim returns the connection to evict for a new one, or nil if none can be evicted.
func (ctrl *Controller) victim(now time.Duration) (c *conn, reason Reason) {
	ctrl.evictable.Scan(func(s *source) bool {
		if x, ok := s.silent.Min(); ok && now-x.stateSince >= ctrl.limits.SilentTimeout {
			c, reason = x, SilentEvicted
		}
		return c == nil
	})
	if c != nil {
		return c, reason
	}
	limit := ctrl.idleTimeout()
	ctrl.evictable.Scan(func(s *source) bool {
		if x, ok := s.usedOnce.Min(); ok && now-x.stateSince >= limit {
			c, reason = x, IdleEvicted
		}
		return c == nil
	})
	if c != nil {
		return c, reason
	}
	return ctrl.leastLikelyToResume(now, limit), IdleEvicted
}

// maxCandidates is the maximum number of idle connections that leastLikelyToResume compares.
const maxCandidates = 8

// leastLikelyToResume returns, of the maxCandidates connections that have been idle longest, the one that is
// least likely to send a request soon. It returns nil if none has been idle for limit.
func (ctrl *Controller) leastLikelyToResume(now, limit time.Duration) (c *conn) {
	lowest, examined := 2.0, 0
	ctrl.idle.Scan(func(x *conn) bool {
		if now-x.stateSince < limit {
			return false
		}
		if probability := x.source.intervals.resumeProbability(now - x.stateSince); probability < lowest {
			c, lowest = x, probability
		}
		examined++
		return examined < maxCandidates
	})
	return c
}

// Tick starts to close connections whose idle timeout has passed, up to a maximum number and as long as more than
// KeepIdle are open.
func (ctrl *Controller) Tick(now time.Duration, maxCount int) (out []CloseRequest) {
	limit := ctrl.idleTimeout()
	reason := IdleTimedOut
	if limit < ctrl.limits.IdleTimeout {
		reason = IdleTimedOutUnderPressure
	}
	for len(out) < maxCount && ctrl.open() > ctrl.limits.KeepIdle {
		var c *conn
		if x, ok := ctrl.idle.Min(); !ok || now-x.stateSince < limit {
			break
		}
		if c = ctrl.leastLikelyToResume(now, limit); c == nil {
			break
		}
		out = append(out, ctrl.closeConn(now, c, reason))
	}
	return out
}

// closeConn starts to close a connection.
func (ctrl *Controller) closeConn(now time.Duration, c *conn, reason Reason) CloseRequest {
	ctrl.CountByReason[reason]++
	ctrl.setState(now, c, Closing)
	return CloseRequest{c.id, reason}
}

// setState changes the state of a connection and updates the indexes and counts.
func (ctrl *Controller) setState(now time.Duration, c *conn, to State) {
	s := c.source
	ctrl.evictable.Delete(s)
	switch c.state {
	case Silent:
		s.silent.Delete(c)
	case Idle:
		ctrl.idle.Delete(c)
		if c.requests <= 1 {
			s.usedOnce.Delete(c)
		}
	}
	if c.state != numStates {
		ctrl.counts[c.state]--
		if c.state != Closing {
			s.open--
		}
	}
	c.state, c.stateSince = to, now
	ctrl.counts[to]++
	if to != Closing {
		s.open++
	}
	switch to {
	case Silent:
		s.silent.Set(c)
	case Idle:
		ctrl.idle.Set(c)
		if c.requests <= 1 {
			s.usedOnce.Set(c)
		}
	}
	if s.silent.Len()+s.usedOnce.Len() > 0 {
		ctrl.evictable.Set(s)
	}
}

// RequestStarted reports that a request has begun to arrive on a connection.
func (ctrl *Controller) RequestStarted(now time.Duration, id ID) {
	c := ctrl.conns[id]
	if c == nil || c.state == Closing || c.state == Busy {
		return
	}
	if c.state == Idle && c.requests > 0 {
		c.source.intervals.add(now - c.stateSince)
	}
	requests := c.requests + 1
	ctrl.setState(now, c, Busy)
	c.requests = requests
}

// RequestsDone reports that a connection has no open request any more.
func (ctrl *Controller) RequestsDone(now time.Duration, id ID) {
	if c := ctrl.conns[id]; c != nil && c.state == Busy {
		ctrl.setState(now, c, Idle)
	}
}

// StartClosing marks a connection that the caller closes for its own reasons as closing. It returns false if the
// connection is unknown or too many are being closed.
func (ctrl *Controller) StartClosing(now time.Duration, id ID) bool {
	c := ctrl.conns[id]
	switch {
	case c == nil:
		return false
	case c.state == Closing:
		return true
	case ctrl.counts[Closing] >= ctrl.limits.MaxClosing:
		return false
	}
	ctrl.setState(now, c, Closing)
	return true
}

// ConnClosed removes a connection that has closed.
func (ctrl *Controller) ConnClosed(now time.Duration, id ID) {
	c := ctrl.conns[id]
	if c == nil {
		return
	}
	ctrl.setState(now, c, Closing)
	ctrl.counts[Closing]--
	delete(ctrl.conns, id)
	if c.source.total--; c.source.total == 0 {
		delete(ctrl.sources, c.source.name)
	}
}

// Counts returns the number of connections in each state.
func (ctrl *Controller) Counts() map[State]int {
	out := map[State]int{}
	for s, n := range ctrl.counts {
		out[State(s)] = n
	}
	return out
}

// SourceReport is the state of a source.
type SourceReport struct {
	Source         string        `json:"source"`
	Open           int           `json:"held"`  // connections that are not being closed
	MedianInterval time.Duration `json:"pause"` // median time between the requests of a connection
}

// LargestSources returns the n sources with most connections.
func (ctrl *Controller) LargestSources(n int) (out []SourceReport) {
	all := btree.NewBTreeGOptions(moreConns, btree.Options{NoLocks: true})
	for _, s := range ctrl.sources {
		all.Set(s)
	}
	all.Scan(func(s *source) bool {
		out = append(out, SourceReport{s.name, s.open, s.intervals.median()})
		return len(out) < n
	})
	return out
}

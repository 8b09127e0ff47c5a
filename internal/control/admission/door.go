// Package admission decides which client connections are served: whether a new connection is accepted, which
// connection is evicted for it, and which are closed because they were idle for too long. It does no I/O and
// reads no clock: the caller reports what connections do and carries out the decisions. No operation iterates
// over all connections; each takes logarithmic time.
//
// Connections are evicted in this order:
//
//  1. connections that have sent nothing for longer than SilentFor, of the source with most connections first,
//     longest first;
//  2. idle ones with at most one request, of the source with most connections first, longest first;
//  3. idle ones with more requests that are unlikely to send another one soon, judged by the times between the
//     requests of their source, longest idle first;
//  4. other idle ones, longest idle first.
//
// A connection is never evicted while it receives a request or waits for an answer. A connection counts as
// idle after having no open request for a time that depends on the pressure: from MayClose without pressure
// down to SoonClose near the limit.
package admission

import (
	"time"

	"github.com/tidwall/btree"
)

// Limits configures a Door.
type Limits struct {
	Places    int           // maximum number of connections served
	Overflow  int           // maximum number of further connections that are being closed
	Share     int           // maximum number of connections that have sent a request, or 0 for no such limit; only sets the pressure
	KeepIdle  int           // no connection is closed for being idle while at most this many are open
	SilentFor time.Duration // a connection that has sent nothing for longer may be evicted
	MayClose  time.Duration // idle timeout without pressure
	SoonClose time.Duration // idle timeout under full pressure, at most MayClose
	Low, High float64       // fractions of Places or Share: pressure rises from 0 at Low to 1 at High
	ComeBack  time.Duration // minimum retryAfter of refused clients; up to half of it is added to spread retries
	Sources   int           // number of sources whose request intervals are tracked separately; all others share one record
}

// DefaultLimits returns the limits for a gateway with that many places. The caller sets those that depend on
// descriptors.
func DefaultLimits(places int) Limits {
	return Limits{Places: places, Overflow: 24, SilentFor: 100 * time.Millisecond, MayClose: 2 * time.Second,
		SoonClose: 250 * time.Millisecond, Low: 0.65, High: 0.75, ComeBack: 200 * time.Millisecond, Sources: 64}
}

// State is the state of a connection.
type State int

// States of a connection.
const (
	Newcomer State = iota // no request yet
	Idle                  // at least one request, none open
	AtWork                // a request is being received or waits for its answer
	Leaving               // being closed
	states
)

var stateNames = [...]string{"newcomer", "idle", "at work", "leaving"}

func (s State) String() string { return stateNames[s] }

// Reason is why a connection is closed or refused.
type Reason int

// Reasons.
const (
	SilentGaveWay   Reason = iota // evicted without having sent a request
	IdleGaveWay                   // evicted while idle
	IdleTooLong                   // idle timeout without pressure
	IdleUnderStress               // idle timeout that is shortened by pressure
	NoPlace                       // refused: the connection limit is reached and no connection can be evicted
	NoRoom                        // refused: too many connections are being closed
	reasons
)

var reasonNames = [...]string{"silent gave way", "idle gave way", "idle too long", "idle under pressure", "no place", "no room"}

func (r Reason) String() string { return reasonNames[r] }

// ID identifies a connection. The caller assigns it; it must be unique among open connections.
type ID uint64

// conn is the record of a connection.
type conn struct {
	id    ID
	from  *source
	state State
	since time.Duration // when it entered its state
	asked int           // number of requests
}

// End tells the caller to close a connection.
type End struct {
	ID     ID
	Reason Reason
}

// Verdict is the decision on a new connection.
type Verdict struct {
	Taken  bool          // whether the connection is served
	Held   bool          // if not taken: whether it stays open until the refusal is sent, or else is closed at once
	After  time.Duration // if not taken: retryAfter
	Reason Reason        // if not taken: why
	Ends   []End         // connections to close to make room
}

// source is where connections come from, such as an address, a user or a tenant.
type source struct {
	name   string
	held   int // connections that are not being closed
	all    int // all connections
	pauses *pauses
	silent *btree.BTreeG[*conn] // connections without a request, longest first
	once   *btree.BTreeG[*conn] // idle connections with at most one request, longest first
}

// older orders connections by the time at which they entered their state.
func older(a, b *conn) bool {
	return a.since < b.since || a.since == b.since && a.id < b.id
}

// heavier orders sources by their number of connections, the largest first.
func heavier(a, b *source) bool {
	return a.held > b.held || a.held == b.held && a.name < b.name
}

// Door decides on the connections of one gateway. It is not safe for concurrent use.
type Door struct {
	limits  Limits
	conns   map[ID]*conn
	sources map[string]*source
	heavy   *btree.BTreeG[*source] // sources with a connection that is silent or has sent one request, largest first
	idle    *btree.BTreeG[*conn]   // all idle connections, longest first
	counts  [states]int
	learnt  *learnt
	pressed bool            // whether the pressure has reached High and not yet fallen to Low
	spread  uint64          // state of the random number generator of comeBack
	Ended   [reasons]uint64 // closed and refused connections by reason
}

// New returns a Door without connections.
func New(l Limits) *Door {
	return &Door{limits: l, conns: map[ID]*conn{}, sources: map[string]*source{}, learnt: newLearnt(max(1, l.Sources)),
		heavy: btree.NewBTreeGOptions(heavier, btree.Options{NoLocks: true}),
		idle:  btree.NewBTreeGOptions(older, btree.Options{NoLocks: true})}
}

// SetLimits changes the limits. If more connections are open than they allow, new ones are refused until
// enough have closed.
func (d *Door) SetLimits(l Limits) { d.limits = l }

// held returns the number of connections that are not being closed.
func (d *Door) held() int { return len(d.conns) - d.counts[Leaving] }

// Pressure returns how close the number of connections is to the limits, from 0 to 1. It rises as soon as the
// number reaches High and returns to 0 only when it has fallen to Low.
func (d *Door) Pressure() float64 {
	used := float64(d.held()) / float64(max(1, d.limits.Places))
	if d.limits.Share > 0 {
		used = max(used, float64(d.counts[Idle]+d.counts[AtWork])/float64(d.limits.Share))
	}
	switch {
	case used >= d.limits.High:
		d.pressed = true
	case used <= d.limits.Low:
		d.pressed = false
	}
	if !d.pressed {
		return 0
	}
	return min(1, max(0, (used-d.limits.Low)/max(d.limits.High-d.limits.Low, 1e-9)))
}

// limit returns the current idle timeout.
func (d *Door) limit() time.Duration {
	return d.limits.MayClose - time.Duration(d.Pressure()*float64(d.limits.MayClose-d.limits.SoonClose))
}

// source returns the source of that name and creates it if necessary.
func (d *Door) source(name string) *source {
	s := d.sources[name]
	if s == nil {
		s = &source{name: name, pauses: d.learnt.of(name),
			silent: btree.NewBTreeGOptions(older, btree.Options{NoLocks: true}),
			once:   btree.NewBTreeGOptions(older, btree.Options{NoLocks: true})}
		d.sources[name] = s
	}
	return s
}

// Arrive decides on a new connection of a source. A refusal must be sent at once.
func (d *Door) Arrive(now time.Duration, id ID, from string) (v Verdict) {
	if d.held() >= d.limits.Places {
		if c, reason := d.gives(now); c != nil {
			v.Ends = append(v.Ends, d.end(now, c, reason))
		}
	}
	v.Taken = d.held() < d.limits.Places
	v.Held = len(d.conns) < d.limits.Places+d.limits.Overflow
	if !v.Held {
		v.Taken = false
	}
	if !v.Taken {
		v.After, v.Reason = d.comeBack(), NoPlace
		if !v.Held {
			v.Reason = NoRoom
		}
		d.Ended[v.Reason]++
		if !v.Held {
			return v
		}
	}
	c := &conn{id: id, from: d.source(from), state: states}
	c.from.all++
	d.conns[id] = c
	d.move(now, c, Newcomer)
	if !v.Taken {
		d.move(now, c, Leaving)
	}
	return v
}

// comeBack returns the retryAfter of a refused client. It adds a random part of up to half of the minimum, so
// that clients refused at the same time do not retry together.
func (d *Door) comeBack() time.Duration {
	d.spread = d.spread*6364136223846793005 + 1442695040888963407
	return d.limits.ComeBack + time.Duration(d.spread>>33)%(d.limits.ComeBack/2+1)
}

// gives chooses the connection to evict for a new one, or nil if none can be evicted.
func (d *Door) gives(now time.Duration) (c *conn, reason Reason) {
	d.heavy.Scan(func(s *source) bool {
		if x, ok := s.silent.Min(); ok && now-x.since >= d.limits.SilentFor {
			c, reason = x, SilentGaveWay
		}
		return c == nil
	})
	if c != nil {
		return c, reason
	}
	limit := d.limit()
	d.heavy.Scan(func(s *source) bool {
		if x, ok := s.once.Min(); ok && now-x.since >= limit {
			c, reason = x, IdleGaveWay
		}
		return c == nil
	})
	if c != nil {
		return c, reason
	}
	return d.spared(now, limit), IdleGaveWay
}

// looks is the maximum number of idle connections that spared compares.
const looks = 8

// spared returns, of the first connections that have been idle longest, the one that is least likely to send
// a request soon. It returns nil if none has been idle for limit.
func (d *Door) spared(now, limit time.Duration) (c *conn) {
	least, n := 2.0, 0
	d.idle.Scan(func(x *conn) bool {
		if now-x.since < limit {
			return false
		}
		if soon := x.from.pauses.soon(now - x.since); soon < least {
			c, least = x, soon
		}
		n++
		return n < looks
	})
	return c
}

// Tick closes up to most connections whose idle timeout has passed, as long as more than KeepIdle are open.
func (d *Door) Tick(now time.Duration, most int) (out []End) {
	limit := d.limit()
	reason := IdleTooLong
	if limit < d.limits.MayClose {
		reason = IdleUnderStress
	}
	for len(out) < most && d.held() > d.limits.KeepIdle {
		var c *conn
		if x, ok := d.idle.Min(); !ok || now-x.since < limit {
			break
		}
		if c = d.spared(now, limit); c == nil {
			break
		}
		out = append(out, d.end(now, c, reason))
	}
	return out
}

// end starts to close a connection.
func (d *Door) end(now time.Duration, c *conn, reason Reason) End {
	d.Ended[reason]++
	d.move(now, c, Leaving)
	return End{c.id, reason}
}

// move changes the state of a connection and updates the indexes and counts.
func (d *Door) move(now time.Duration, c *conn, to State) {
	s := c.from
	d.heavy.Delete(s)
	switch c.state {
	case Newcomer:
		s.silent.Delete(c)
	case Idle:
		d.idle.Delete(c)
		if c.asked <= 1 {
			s.once.Delete(c)
		}
	}
	if c.state != states {
		d.counts[c.state]--
		if c.state != Leaving {
			s.held--
		}
	}
	c.state, c.since = to, now
	d.counts[to]++
	if to != Leaving {
		s.held++
	}
	switch to {
	case Newcomer:
		s.silent.Set(c)
	case Idle:
		d.idle.Set(c)
		if c.asked <= 1 {
			s.once.Set(c)
		}
	}
	if s.silent.Len()+s.once.Len() > 0 {
		d.heavy.Set(s)
	}
}

// Begins reports that a request has begun to arrive on a connection.
func (d *Door) Begins(now time.Duration, id ID) {
	c := d.conns[id]
	if c == nil || c.state == Leaving || c.state == AtWork {
		return
	}
	if c.state == Idle && c.asked > 0 {
		c.from.pauses.add(now - c.since)
	}
	asked := c.asked + 1
	d.move(now, c, AtWork)
	c.asked = asked
}

// Rests reports that a connection has no open request any more.
func (d *Door) Rests(now time.Duration, id ID) {
	if c := d.conns[id]; c != nil && c.state == AtWork {
		d.move(now, c, Idle)
	}
}

// Leaves marks a connection that the caller closes for its own reasons as closing. It returns false if the
// connection is unknown or too many are being closed.
func (d *Door) Leaves(now time.Duration, id ID) bool {
	c := d.conns[id]
	switch {
	case c == nil:
		return false
	case c.state == Leaving:
		return true
	case d.counts[Leaving] >= d.limits.Overflow:
		return false
	}
	d.move(now, c, Leaving)
	return true
}

// Gone removes a connection that has closed.
func (d *Door) Gone(now time.Duration, id ID) {
	c := d.conns[id]
	if c == nil {
		return
	}
	d.move(now, c, Leaving)
	d.counts[Leaving]--
	delete(d.conns, id)
	if c.from.all--; c.from.all == 0 {
		delete(d.sources, c.from.name)
	}
}

// Counts returns the number of connections in each state.
func (d *Door) Counts() map[State]int {
	out := map[State]int{}
	for s, n := range d.counts {
		out[State(s)] = n
	}
	return out
}

// SourceReport is the state of a source.
type SourceReport struct {
	Source string        `json:"source"`
	Held   int           `json:"held"`  // connections that are not being closed
	Pause  time.Duration `json:"pause"` // median time between the requests of a connection
}

// Heaviest returns the n sources with most connections.
func (d *Door) Heaviest(n int) (out []SourceReport) {
	all := btree.NewBTreeGOptions(heavier, btree.Options{NoLocks: true})
	for _, s := range d.sources {
		all.Set(s)
	}
	all.Scan(func(s *source) bool {
		out = append(out, SourceReport{s.name, s.held, s.pauses.median()})
		return len(out) < n
	})
	return out
}

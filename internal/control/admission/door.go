// Package admission decides who of the clients' connections has a place: whether a newcomer is taken, who gives way to it, and
// who is ended for having had nothing open for too long. It has no I/O and no clock: the caller tells what connections do and
// carries out what it answers. Nothing here walks over all connections: each act costs the logarithm of their number.
//
// The order of giving way, first to last:
//
//  1. connections that have said nothing for longer than SilentFor, of the source with most places first, longest first;
//  2. idle ones that have asked once at most, of the source with most places first, longest first;
//  3. idle ones that have asked before and are not likely to ask again soon, as their source's pauses tell, longest first;
//  4. other idle ones, longest first.
//
// Never one whose request has begun to come or has no answer. Idle means nothing open for the time that the pressure allows:
// MayClose without pressure, down to SoonClose when places run short.
package admission

import (
	"time"

	"github.com/tidwall/btree"
)

// Limits are the figures of a door.
type Limits struct {
	Places    int           // connections served at a time
	Overflow  int           // beyond them, on their way out
	Share     int           // connections that clients with requests can hold among them; 0: no such limit
	KeepIdle  int           // connections that may stay for long with nothing open
	SilentFor time.Duration // a connection that has said nothing for longer gives way
	MayClose  time.Duration // an idle one may be ended after as long
	SoonClose time.Duration // the same under full pressure; at most MayClose
	Low, High float64       // parts of Places or Share: pressure rises from none at Low to full at High
	ComeBack  time.Duration // when those turned away shall come again, spread over half as much more
	Sources   int           // of which pauses are learnt one by one; others are learnt together
}

// DefaultLimits are those of a gateway with so many places; what depends on descriptors is left to the caller.
func DefaultLimits(places int) Limits {
	return Limits{Places: places, Overflow: 24, SilentFor: 100 * time.Millisecond, MayClose: 2 * time.Second,
		SoonClose: 250 * time.Millisecond, Low: 0.65, High: 0.75, ComeBack: 200 * time.Millisecond, Sources: 64}
}

// State is what a connection is doing.
type State int

// States of a connection.
const (
	Newcomer State = iota // it has said nothing yet
	Idle                  // it has asked, and nothing is open
	AtWork                // a request has begun to come, or has no answer
	Leaving               // it is on its way out
	states
)

var stateNames = [...]string{"newcomer", "idle", "at work", "leaving"}

func (s State) String() string { return stateNames[s] }

// Reason says why a connection is ended or turned away.
type Reason int

// Reasons.
const (
	SilentGaveWay   Reason = iota // it had said nothing, and another came
	IdleGaveWay                   // it was idle, and another came
	IdleTooLong                   // it was idle where many are
	IdleUnderStress               // it was idle for a shorter time, as places run short
	NoPlace                       // a newcomer, and nobody could give way
	NoRoom                        // a newcomer, and too many are on their way out
	reasons
)

var reasonNames = [...]string{"silent gave way", "idle gave way", "idle too long", "idle under pressure", "no place", "no room"}

func (r Reason) String() string { return reasonNames[r] }

// ID is the caller's number of a connection; unique as long as it is there.
type ID uint64

// conn is one connection.
type conn struct {
	id    ID
	from  *source
	state State
	since time.Duration // of the state
	asked int           // requests so far
}

// End says that a connection is to be ended.
type End struct {
	ID     ID
	Reason Reason
}

// Verdict is what becomes of a newcomer.
type Verdict struct {
	Taken  bool          // it is served
	Held   bool          // not taken, but there is room to tell it so; otherwise it is closed at once
	After  time.Duration // not taken: when it shall come again
	Reason Reason        // not taken
	Ends   []End         // those that give way
}

// source is where connections come from: an address, a user, a tenant.
type source struct {
	name   string
	held   int // without those leaving
	all    int // with them
	pauses *pauses
	silent *btree.BTreeG[*conn] // newcomers, longest first
	once   *btree.BTreeG[*conn] // idle, asked once at most
}

func older(a, b *conn) bool {
	return a.since < b.since || a.since == b.since && a.id < b.id
}

// heavier puts the source with most places first.
func heavier(a, b *source) bool {
	return a.held > b.held || a.held == b.held && a.name < b.name
}

// Door is not safe for concurrent use.
type Door struct {
	limits  Limits
	conns   map[ID]*conn
	sources map[string]*source
	heavy   *btree.BTreeG[*source] // those with somebody who can give way at once: a newcomer or one that asked once
	idle    *btree.BTreeG[*conn]   // all that are idle, longest first
	counts  [states]int
	learnt  *learnt
	pressed bool
	spread  uint64
	Ended   [reasons]uint64 // by reason
}

// New makes a door.
func New(l Limits) *Door {
	return &Door{limits: l, conns: map[ID]*conn{}, sources: map[string]*source{}, learnt: newLearnt(max(1, l.Sources)),
		heavy: btree.NewBTreeGOptions(heavier, btree.Options{NoLocks: true}),
		idle:  btree.NewBTreeGOptions(older, btree.Options{NoLocks: true})}
}

// SetLimits takes other limits, below what is open too: nothing new is taken until as many have gone.
func (d *Door) SetLimits(l Limits) { d.limits = l }

// held is how many have a place.
func (d *Door) held() int { return len(d.conns) - d.counts[Leaving] }

// Pressure says how short places are: 0, not at all, to 1. It goes up as soon as places run short and down only when there are
// clearly more again.
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

// limit is for how long a connection has to have been idle before it can be ended.
func (d *Door) limit() time.Duration {
	return d.limits.MayClose - time.Duration(d.Pressure()*float64(d.limits.MayClose-d.limits.SoonClose))
}

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

// Arrive takes a newcomer from a source, or turns it away. What is told to it is told at once.
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

// comeBack spreads those turned away over half as much more, so that they do not come again together.
func (d *Door) comeBack() time.Duration {
	d.spread = d.spread*6364136223846793005 + 1442695040888963407
	return d.limits.ComeBack + time.Duration(d.spread>>33)%(d.limits.ComeBack/2+1)
}

// gives chooses who gives way to a newcomer; nil: nobody.
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

// looks bounds how many idle ones are asked whether they will come again.
const looks = 8

// spared chooses among the idle: of the first few the one that is least likely to ask again soon.
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

// Tick ends connections that have been idle for too long where many are there, most of them at a time.
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

func (d *Door) end(now time.Duration, c *conn, reason Reason) End {
	d.Ended[reason]++
	d.move(now, c, Leaving)
	return End{c.id, reason}
}

// move brings a connection from one state to another.
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

// Begins says that a request has begun to come on a connection.
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

// Rests says that nothing is open on a connection any more.
func (d *Door) Rests(now time.Duration, id ID) {
	if c := d.conns[id]; c != nil && c.state == AtWork {
		d.move(now, c, Idle)
	}
}

// Leaves says that a connection is on its way out for a reason of its own; false: too many are.
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

// Gone forgets a connection that has ended.
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

// Counts gives how many connections are in each state.
func (d *Door) Counts() map[State]int {
	out := map[State]int{}
	for s, n := range d.counts {
		out[State(s)] = n
	}
	return out
}

// SourceReport is one source as it stands.
type SourceReport struct {
	Source string        `json:"source"`
	Held   int           `json:"held"`
	Pause  time.Duration `json:"pause"` // the median between its requests
}

// Heaviest gives the sources with most places.
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

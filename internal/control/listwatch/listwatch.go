// Package listwatch decides when a gateway calls discovery for the list of endpoints, and which answers it uses. It does no
// I/O and has no clock: events and the time come in, calls to begin and to drop go out.
//
// Normally one call is out, a watch that waits for the next change. What must hold whatever becomes of calls: a change is known
// to the gateway less than 6 s after discovery had it and could be reached (4 s after a move to another address). So one chain
// of calls is bounded as a whole, not each call alone:
//
//   - A call that is not answered some time after its wait is over is silent. It goes on, because discovery may just be slow,
//     and another call begins beside it, because its connection may be dead. The first answer ends them all.
//   - After a call that was turned away (503) the next one begins within what is left of the 6 s, counted from the beginning of
//     the silent call before it, if there was one, else from its own; less the time that an answer took lately.
//   - After the first in a row it begins soon, so that one that is turned away again leaves time for a third. The line that turned the
//     first away at its door is still full then, so that this costs others nothing.
//   - Within that, the pause is long and drawn at random: discovery is one service for the whole fleet, and a line of waiting
//     calls drains only if those that were turned away stay away for a while, and do not come back all at once.
//   - A connection that fails costs discovery nothing, so the next call begins soon.
package listwatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// NoRevision is the revision of a gateway that has no list yet: all of it is asked for.
const NoRevision = -1

const (
	// watchWait is how long a watch is asked to wait for a change. It bounds how long a dead connection goes unnoticed.
	watchWait = time.Second
	// refusedWithin is how long discovery takes at most, by the protocol, until it turns a call away.
	refusedWithin = 2 * time.Second
	// How long an answer may take before another call begins: beyond the wait of a watch; of a call that does not wait, which may
	// stand in discovery's line and is not to be doubled there; and the same where the line is known to be long.
	watchSilentAfter   = 1200 * time.Millisecond
	silentAfter        = 2100 * time.Millisecond
	crowdedSilentAfter = 2900 * time.Millisecond
	// maxCalls and maxCallsTo are how many calls may be out at a time, to all addresses and to one.
	maxCalls, maxCallsTo = 8, 3
	// callLife is how long a call may be out at most.
	callLife = 30 * time.Second
	// soonest is the pause after a connection that failed. It doubles up to soon with each further one.
	soonest = 25 * time.Millisecond
	soon    = 100 * time.Millisecond
	// knownWithin and movedWithin are how long after the beginning of a chain the call that is answered begins at the latest:
	// 6 s and 4 s by the protocol, less what broken connections, a long list and a process that is held up may take.
	knownWithin = 5800 * time.Millisecond
	movedWithin = 3800 * time.Millisecond
	// longestPause and pauseSpread bound the pause after a call that was turned away, as far as the chain leaves room. The
	// spread is less than a full line takes to drain: calls that come evenly would keep it full.
	longestPause = 3750 * time.Millisecond
	pauseSpread  = 1250 * time.Millisecond
	// shortestPause is kept in any case. After the first in a row the pause is up to firstSpread more.
	shortestPause = 300 * time.Millisecond
	firstSpread   = 250 * time.Millisecond
	// longestAnswer bounds how long the next answer is expected to take.
	longestAnswer = 1700 * time.Millisecond
)

// Call is one call to discovery.
type Call struct {
	ID       int
	Address  string        // of the agent
	Revision int64         // entries that changed after it are asked for; Whole: the whole list
	Wait     time.Duration // for a change; 0: the answer is to come at once
	Began    time.Duration
}

// Failure says why a call brought no list.
type Failure int

// Failures.
const (
	Broken   Failure = iota // the connection, or what was answered, can't be used
	Rejected                // discovery turned the call away
)

type outstanding struct {
	Call
	began      time.Duration
	silentFrom time.Duration // when another call begins because of it
	silent     bool          // one has
}

// used is what was used of an address.
type used struct {
	revision int64 // of the last answer that was used; Whole: there was none
	rewound  int   // the newest call when a lower revision came, which was not used; 0: none has come since the last answer that was
}

// Watch is the state of one gateway's calls. It is not safe for concurrent use.
type Watch struct {
	rng      *rand.Rand
	address  string
	revision int64           // of the last answer that was used, at the present address; Whole: there was none
	answered bool            // by the present address
	moved    bool            // the present chain of calls began with a move
	broken   bool            // a call has failed or fallen silent since the last answer
	crowded  bool            // a call was turned away since the last answer, or none was ever answered
	used     map[string]used // by address: the present one, and those with calls out
	recounts int             // times that an agent was taken to count anew
	last     int
	calls    []outstanding // oldest first
	next     time.Duration // when the next call begins at the latest; never: when something happens
	latency  time.Duration // that answers took lately beyond their wait
	failures int           // connections that failed in a row
	silentAt time.Duration // beginning of the newest silent call since the last answer; none: there is none
	refusals int           // calls that were turned away since the last answer, or silence
	// refusedFrom is where the chain began that the first of them ended.
	refusedFrom time.Duration
}

const (
	never = time.Duration(1<<63 - 1)
	none  = time.Duration(-1)
)

// New starts with a list of a revision, or none (Whole). The first call asks for an answer at once.
func New(address string, revision int64, seed uint64) *Watch {
	return &Watch{rng: rand.New(rand.NewPCG(seed, 0x61736b)), address: address, revision: revision, crowded: true,
		used: map[string]used{address: {revision: revision}}, silentAt: none}
}

// Revision is that of the last answer that was used; Whole: there was none at the present address.
func (w *Watch) Revision() int64 { return w.revision }

// Broken says that a call to the present address has failed or fallen silent since the last answer.
func (w *Watch) Broken() bool { return w.broken }

// RevisionResets is how many times an agent was taken to count anew, as two of its lists were of a lower revision than one before. They may as well
// be older than that one.
func (w *Watch) RevisionResets() int { return w.recounts }

// Latency is how long answers took lately beyond their wait.
func (w *Watch) Latency() time.Duration { return w.latency }

// SetAddress goes on at another address. The present one changes nothing: calls that are out go on. Those to another address go on,
// and their answers are used, until the new one has answered: a series of moves must not keep the list from coming.
func (w *Watch) SetAddress(now time.Duration, address string) {
	if address == w.address {
		return
	}
	// Another agent need not count as the last one did: a revision of that one's could hide changes for good.
	w.address, w.revision, w.answered = address, NoRevision, false
	if _, known := w.used[address]; !known {
		w.used[address] = used{revision: NoRevision}
	}
	w.moved, w.broken, w.crowded, w.silentAt, w.refusals, w.next = true, false, false, none, 0, never
	if !slices.ContainsFunc(w.calls, func(c outstanding) bool { return c.Address == address && c.Revision == NoRevision && !c.silent }) {
		w.next = now
	}
}

// Answered takes the revision of a call's answer. use: its entries are to be taken.
func (w *Watch) Answered(now time.Duration, id int, revision int64) (use bool) {
	i := w.find(id)
	if i < 0 {
		return false
	}
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if c.Address != w.address || w.moved && c.Revision != NoRevision { // of before the move: another agent's list may have been used since
		return !w.answered && w.newer(c.Call, revision)
	}
	w.failures = 0
	if took := now - c.began - c.Wait; took >= 0 { // else news came meanwhile: that says nothing of the time
		w.latency = max(took, w.latency*3/4)
	}
	if !w.newer(c.Call, revision) {
		w.next = now + soon
		return false
	}
	w.revision, w.answered, w.next = revision, true, now
	w.moved, w.broken, w.crowded, w.silentAt, w.refusals = false, false, false, none, 0
	for i := range w.calls {
		w.calls[i].began = none // superseded: Step drops them
	}
	return true
}

// newer takes the revision of a call's answer, and says whether it may be used after what was used of the same address. A lower one is
// an older list, unless discovery began to count anew: then the answer to a later call for all of it says so too.
func (w *Watch) newer(c Call, revision int64) bool {
	u := w.used[c.Address]
	confirmed := u.rewound > 0 && c.ID > u.rewound && c.Revision == NoRevision
	if revision >= u.revision || confirmed {
		if revision < u.revision {
			w.recounts++
		}
		w.used[c.Address] = used{revision: revision}
		return true
	}
	if u.rewound == 0 {
		u.rewound = w.last
	}
	w.used[c.Address] = u
	return false
}

// Failed takes the end of a call that brought no list.
func (w *Watch) Failed(now time.Duration, id int, why Failure) {
	i := w.find(id)
	if i < 0 {
		return
	}
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if c.Address != w.address {
		return
	}
	w.broken = true
	if why == Rejected {
		w.next = now + w.pause(now, c)
		w.silentAt, w.crowded = none, true // the next chain begins with the next call
		return
	}
	w.next = min(w.next, now+min(soonest<<min(w.failures, 4), soon))
	w.failures++
}

// pause is how long the next call waits after one that was turned away now.
func (w *Watch) pause(now time.Duration, refused outstanding) time.Duration {
	from, within := max(refused.began, now-refusedWithin), knownWithin
	if w.silentAt != none {
		from = w.silentAt
	}
	if w.moved {
		within = movedWithin
	}
	latest, spread := min(from+within-min(w.latency, longestAnswer)-now, longestPause), pauseSpread
	switch w.refusals++; w.refusals {
	case 1:
		w.refusedFrom, latest, spread = from, min(latest, shortestPause+firstSpread), firstSpread
	case 2:
		latest = min(latest, w.refusedFrom+within-min(w.latency, longestAnswer)-now)
	}
	earliest := max(latest-spread, shortestPause)
	if latest <= earliest {
		return earliest
	}
	return earliest + time.Duration(w.rng.Int64N(int64(latest-earliest)))
}

// Step says which calls to begin and which to drop now, and when to ask again at the latest.
func (w *Watch) Step(now time.Duration) (begin []Call, drop []int, next time.Duration) {
	drop = w.expire(now)
	w.noticeSilence(now)
	if now >= w.next {
		if victim, full := w.evict(); full {
			drop = append(drop, victim)
		}
		begin = append(begin, w.begin(now))
	}
	return begin, drop, w.due()
}

// expire takes calls away that are superseded or have been out for too long.
func (w *Watch) expire(now time.Duration) (drop []int) {
	w.calls = slices.DeleteFunc(w.calls, func(c outstanding) bool {
		gone := c.began == none || now-c.began >= c.Wait+callLife
		if gone {
			drop = append(drop, c.ID)
		}
		return gone
	})
	w.forgetUsed()
	if len(w.calls) == 0 && w.next == never {
		w.next = now
	}
	return drop
}

// forgetUsed drops what was used of addresses that nothing can come from any more.
func (w *Watch) forgetUsed() {
	maps.DeleteFunc(w.used, func(address string, _ used) bool {
		return address != w.address && !slices.ContainsFunc(w.calls, func(c outstanding) bool { return c.Address == address })
	})
}

// noticeSilence asks for another call where one should have been answered.
func (w *Watch) noticeSilence(now time.Duration) {
	for i := range w.calls {
		c := &w.calls[i]
		if c.Address != w.address || c.silent || now < c.silentFrom {
			continue
		}
		c.silent, w.broken, w.crowded = true, true, false // no line is that long
		w.silentAt, w.refusals = max(w.silentAt, c.began), 0
		w.next = min(w.next, now)
	}
}

// evict makes room for a call. The oldest to the present address stays: where discovery is very slow it is the one that will be
// answered first.
func (w *Watch) evict() (id int, full bool) {
	var same, foreign []int
	for i, c := range w.calls {
		if c.Address == w.address {
			same = append(same, i)
		} else {
			foreign = append(foreign, i)
		}
	}
	var victim int
	switch {
	case len(same) >= maxCallsTo:
		victim = same[1]
	case len(w.calls) >= maxCalls:
		victim = foreign[0]
	default:
		return 0, false
	}
	id = w.calls[victim].ID
	w.calls = slices.Delete(w.calls, victim, victim+1)
	return id, true
}

// begin makes the next call. Only one that follows an answer waits for a change: a chain that is broken asks what there is now,
// and so does the first call, as a gateway is ready once it knows what discovery knows.
func (w *Watch) begin(now time.Duration) Call {
	w.last++
	c := Call{ID: w.last, Address: w.address, Revision: w.revision, Began: now}
	switch {
	case w.used[w.address].rewound > 0:
		c.Revision = NoRevision
	case w.answered && !w.broken:
		c.Wait = watchWait
	}
	w.calls = append(w.calls, outstanding{Call: c, began: now, silentFrom: now + c.Wait + w.patience(c)})
	w.next = never
	return c
}

// patience is how long the answer of a call may take beyond its wait before another call begins.
func (w *Watch) patience(c Call) time.Duration {
	switch {
	case c.Wait > 0:
		return watchSilentAfter
	case w.crowded:
		return crowdedSilentAfter
	}
	return silentAfter
}

// due is when something is to be done although nothing happens.
func (w *Watch) due() time.Duration {
	due := w.next
	for i := range w.calls {
		c := &w.calls[i]
		due = min(due, c.began+c.Wait+callLife)
		if !c.silent && c.Address == w.address {
			due = min(due, c.silentFrom)
		}
	}
	return due
}

func (w *Watch) find(id int) int {
	return slices.IndexFunc(w.calls, func(c outstanding) bool { return c.ID == id })
}

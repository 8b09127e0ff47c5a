// Package listwatch decides when a gateway calls discovery for the endpoint list and which answers it uses.
// It does no I/O and does not read a clock: its inputs are events and the time, its outputs the calls to
// start and to cancel.
//
// Normally one call is in flight, a watch that waits for the next change. Whatever happens to calls, the
// gateway must know a change less than 6 s after discovery has it and can be reached (4 s after a change of
// discovery's address). The time is therefore limited for a chain of calls as a whole, not for each call:
//
//   - A call that is not answered some time after its wait has ended is silent. It continues, because
//     discovery may just be slow, and another call starts in parallel, because its connection may be dead.
//     The first answer ends all of them.
//   - After a call that was rejected (503), the next one starts within the rest of the 6 s, minus the latency
//     of recent answers. The 6 s start with the silent call before the rejected one if there is one, else
//     with the rejected call.
//   - After the first rejection in a row the pause is short, so that a second rejection leaves time for a
//     third call. The queue that rejected the first call on arrival is still full then, so the second call
//     delays no other gateway.
//   - Within these limits the pause is long and random: discovery is one service for the whole fleet, and its
//     queue of waiting calls drains only if rejected callers pause for a while and do not all retry at the
//     same time.
//   - A failed connection puts no load on discovery, so the next call starts after a short pause.
package listwatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Whole is the revision of a gateway that has no list yet. A call with it asks for a snapshot of the list.
const Whole = -1

const (
	// watchWait is how long a watch asks discovery to wait for a change. It limits how long a dead connection
	// can go unnoticed.
	watchWait = time.Second
	// refusedWithin is the maximum time that discovery, by the protocol, takes to reject a call.
	refusedWithin = 2 * time.Second
	// watchSilentAfter is how long after the wait of a watch another call starts if the watch is not
	// answered. silentAfter is the same for a call that does not wait. Such a call may be in discovery's
	// queue, where it should not be duplicated. crowdedSilentAfter is used in place of silentAfter if the
	// queue is known to be long.
	watchSilentAfter   = 1200 * time.Millisecond
	silentAfter        = 2100 * time.Millisecond
	crowdedSilentAfter = 2900 * time.Millisecond
	// maxCalls and maxCallsTo limit the calls in flight to all addresses and to one address.
	maxCalls, maxCallsTo = 8, 3
	// callLife is the maximum duration of a call, in addition to its wait.
	callLife = 30 * time.Second
	// soonest is the pause after a failed connection. It doubles with each further failure in a row, up to
	// soon, which is also the pause after an answer that was not used.
	soonest = 25 * time.Millisecond
	soon    = 100 * time.Millisecond
	// knownWithin and movedWithin are the latest start, within a chain of calls, of the call that is
	// answered: 6 s and 4 s by the protocol, minus the time for broken connections, a long list and a stall
	// of the process.
	knownWithin = 5800 * time.Millisecond
	movedWithin = 3800 * time.Millisecond
	// longestPause is the maximum pause after a rejected call, and pauseSpread the width of its random part,
	// as far as the time limit of the chain permits. The spread is shorter than the time in which a full
	// queue drains, because calls that arrive evenly distributed over that time would keep the queue full.
	longestPause = 3750 * time.Millisecond
	pauseSpread  = 1250 * time.Millisecond
	// shortestPause is the minimum pause after a rejected call. firstSpread is the width of the random part
	// that is added to it after the first rejection in a row.
	shortestPause = 300 * time.Millisecond
	firstSpread   = 250 * time.Millisecond
	// longestAnswer is the upper limit of the latency that is expected of the next answer.
	longestAnswer = 1700 * time.Millisecond
)

// Call is one call to discovery.
type Call struct {
	ID       int
	Address  string        // of the agent
	Revision int64         // the call asks for entries changed after this revision, or for a snapshot if it is NoRevision
	Wait     time.Duration // how long discovery may wait for a change, or 0 if it is to answer at once
	Began    time.Duration
}

// Failure is the reason why a call returned no list.
type Failure int

// Reasons of failures.
const (
	Broken Failure = iota // the connection failed or the answer is invalid
	Busy                  // discovery rejected the call
)

type outstanding struct {
	Call
	began      time.Duration // start of the call, or noTime if the call is superseded
	silentFrom time.Duration // when the call counts as silent, and another call starts
	silent     bool          // silentFrom has passed
}

// used is the state of the lists that were received from one address.
type used struct {
	revision int64 // of the last answer that was used, or NoRevision if there was none
	// rewound is the ID of the newest call when an answer with a lower revision was received and not used, or
	// 0 if there has been no such answer since the last one that was used.
	rewound int
}

// Watch is the state of one gateway's calls. It is not safe for concurrent use.
type Watch struct {
	rng      *rand.Rand
	address  string
	revision int64           // of the last answer used from the current address, or NoRevision if there was none
	answered bool            // the current address has answered
	moved    bool            // the current chain of calls started with a change of the address
	broken   bool            // a call has failed or become silent since the last answer
	crowded  bool            // a call was rejected since the last answer, or no call was ever answered
	used     map[string]used // by address: the current one, and those with calls in flight
	recounts int             // how often an agent was assumed to have reset its revisions
	last     int             // ID of the last call
	calls    []outstanding   // oldest first
	next     time.Duration   // latest start of the next call, or never if it only starts after an event
	latency  time.Duration   // of recent answers, without the wait of their calls
	failures int             // failed connections in a row
	silentAt time.Duration   // start of the newest silent call since the last answer, or noTime if there is none
	refusals int             // calls rejected in a row, without an answer or a silent call in between
	// refusedFrom is the start of the chain of calls that ended with the first of these rejections.
	refusedFrom time.Duration
}

const (
	never = time.Duration(1<<63 - 1)
	none  = time.Duration(-1)
)

// New returns the state of a gateway that has the list of the given revision, or no list if revision is
// Whole. The first call asks for an answer at once.
func New(address string, revision int64, seed uint64) *Watch {
	return &Watch{rng: rand.New(rand.NewPCG(seed, 0x61736b)), address: address, revision: revision, crowded: true,
		used: map[string]used{address: {revision: revision}}, silentAt: none}
}

// Revision returns the revision of the last answer used from the current address, or NoRevision if there was none.
func (w *Watch) Revision() int64 { return w.revision }

// Broken reports whether a call to the current address has failed or become silent since the last answer.
func (w *Watch) Broken() bool { return w.broken }

// Recounts returns how often an agent was assumed to have reset its revisions, because two of its lists had a
// lower revision than an earlier one. It is also possible that these lists were outdated.
func (w *Watch) Recounts() int { return w.recounts }

// Latency returns the latency of recent answers, without the wait of their calls.
func (w *Watch) Latency() time.Duration { return w.latency }

// Move changes the address of discovery. It does nothing if the address is the current one. Calls in flight
// to other addresses continue, and their answers are used until the new address has answered, so that a
// series of changes of the address cannot prevent the gateway from receiving a list.
func (w *Watch) Move(now time.Duration, address string) {
	if address == w.address {
		return
	}
	// Another agent may number its revisions differently. The last agent's revision could hide changes
	// permanently.
	w.address, w.revision, w.answered = address, Whole, false
	if _, known := w.used[address]; !known {
		w.used[address] = used{revision: Whole}
	}
	w.moved, w.broken, w.crowded, w.silentAt, w.refusals, w.next = true, false, false, none, 0, never
	if !slices.ContainsFunc(w.calls, func(c outstanding) bool { return c.Address == address && c.Revision == Whole && !c.silent }) {
		w.next = now
	}
}

// Answered handles the answer to a call, which has the given revision. It reports whether to use the entries.
func (w *Watch) Answered(now time.Duration, id int, revision int64) (use bool) {
	i := w.find(id)
	if i < 0 {
		return false
	}
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	// The call started before the last change of the address. Another agent's list may have been used since.
	if c.Address != w.address || w.moved && c.Revision != Whole {
		return !w.answered && w.newer(c.Call, revision)
	}
	w.failures = 0
	if took := now - c.began - c.Wait; took >= 0 { // an answer before the end of the wait says nothing about the latency
		w.latency = max(took, w.latency*3/4)
	}
	if !w.newer(c.Call, revision) {
		w.next = now + soon
		return false
	}
	w.revision, w.answered, w.next = revision, true, now
	w.moved, w.broken, w.crowded, w.silentAt, w.refusals = false, false, false, none, 0
	for i := range w.calls {
		w.calls[i].began = none // superseded, to be dropped by Step
	}
	return true
}

// newer stores the revision of an answer and reports whether the answer may be used, given the answers that
// were used from the same address. A lower revision is an outdated list, unless discovery has reset its
// revisions. In that case the answer to a later call for a snapshot has a lower revision too.
func (w *Watch) newer(c Call, revision int64) bool {
	u := w.used[c.Address]
	confirmed := u.rewound > 0 && c.ID > u.rewound && c.Revision == Whole
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

// Failed handles the end of a call that returned no list.
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
	if why == Busy {
		w.next = now + w.pause(now, c)
		w.silentAt, w.crowded = none, true // the next chain of calls starts with the next call
		return
	}
	w.next = min(w.next, now+min(soonest<<min(w.failures, 4), soon))
	w.failures++
}

// pause returns the time from now, when a call was rejected, to the next call.
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

// Step returns the calls to start now, the IDs of those to cancel, and the latest time of the next Step.
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

// expire removes calls that are superseded or have taken too long, and returns their IDs.
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

// forgetUsed drops the state of addresses from which no answer can arrive any more.
func (w *Watch) forgetUsed() {
	maps.DeleteFunc(w.used, func(address string, _ used) bool {
		return address != w.address && !slices.ContainsFunc(w.calls, func(c outstanding) bool { return c.Address == address })
	})
}

// noticeSilence marks calls that should have been answered by now as silent and schedules another call.
func (w *Watch) noticeSilence(now time.Duration) {
	for i := range w.calls {
		c := &w.calls[i]
		if c.Address != w.address || c.silent || now < c.silentFrom {
			continue
		}
		c.silent, w.broken, w.crowded = true, true, false // no wait in discovery's queue takes that long
		w.silentAt, w.refusals = max(w.silentAt, c.began), 0
		w.next = min(w.next, now)
	}
}

// evict removes a call if a limit on calls is reached. full reports whether it did. The oldest call to the
// current address is kept, because it will be answered first if discovery is very slow.
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

// begin returns the next call. Only a call that follows an answer waits for a change. After a failed or
// silent call, the next one asks for the current list at once. So does the first call, as the gateway becomes
// ready with its answer.
func (w *Watch) begin(now time.Duration) Call {
	w.last++
	c := Call{ID: w.last, Address: w.address, Revision: w.revision, Began: now}
	switch {
	case w.used[w.address].rewound > 0:
		c.Revision = Whole
	case w.answered && !w.broken:
		c.Wait = watchWait
	}
	w.calls = append(w.calls, outstanding{Call: c, began: now, silentFrom: now + c.Wait + w.patience(c)})
	w.next = never
	return c
}

// patience returns how long after the wait of a call another call starts if the call is not answered.
func (w *Watch) patience(c Call) time.Duration {
	switch {
	case c.Wait > 0:
		return watchSilentAfter
	case w.crowded:
		return crowdedSilentAfter
	}
	return silentAfter
}

// due returns when Step has to run if there is no event before.
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

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

// NoRevision is the revision of a gateway that has no list yet. A call with it asks for a snapshot.
const NoRevision = -1

const (
	// watchWait is how long a watch asks discovery to wait for a change. It limits how long a dead connection
	// can go unnoticed.
	watchWait = time.Second
	// maxRejectTime is the maximum time that discovery, by the protocol, takes to reject a call.
	maxRejectTime = 2 * time.Second
	// watchSilentAfter is how long after the wait of a watch another call starts if the watch is not
	// answered. silentAfter is the same for a call that does not wait. Such a call may be in discovery's
	// queue, where it should not be duplicated. queuedSilentAfter is used in place of silentAfter if the
	// queue is known to be long.
	watchSilentAfter  = 1200 * time.Millisecond
	silentAfter       = 2100 * time.Millisecond
	queuedSilentAfter = 2900 * time.Millisecond
	// maxCalls and maxCallsPerAddress limit the calls in flight to all addresses and to one address.
	maxCalls, maxCallsPerAddress = 8, 3
	// maxCallTime is the maximum duration of a call, in addition to its wait.
	maxCallTime = 30 * time.Second
	// minBackoff is the pause after a failed connection. It doubles with each further failure in a row, up to
	// maxBackoff, which is also the pause after an answer that was not used.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// maxChainTime and maxMovedChainTime are the latest start, within a chain of calls, of the call that is
	// answered: 6 s and 4 s by the protocol, minus the time for broken connections, a long list and a stall
	// of the process.
	maxChainTime      = 5800 * time.Millisecond
	maxMovedChainTime = 3800 * time.Millisecond
	// maxPause is the maximum pause after a rejected call, and pauseSpread the width of its random part,
	// as far as the time limit of the chain permits. The spread is shorter than the time in which a full
	// queue drains, because calls that arrive evenly distributed over that time would keep the queue full.
	maxPause    = 3750 * time.Millisecond
	pauseSpread = 1250 * time.Millisecond
	// minPause is the minimum pause after a rejected call. firstPauseSpread is the width of the random part
	// that is added to it after the first rejection in a row.
	minPause         = 300 * time.Millisecond
	firstPauseSpread = 250 * time.Millisecond
	// maxExpectedLatency is the upper limit of the latency that is expected of the next answer.
	maxExpectedLatency = 1700 * time.Millisecond
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
	Broken   Failure = iota // the connection failed or the answer is invalid
	Rejected                // discovery rejected the call
)

// activeCall is a call in flight.
type activeCall struct {
	Call
	began      time.Duration // start of the call, or noTime if the call is superseded
	silentFrom time.Duration // when the call counts as silent, and another call starts
	silent     bool          // silentFrom has passed
}

// addressState is the state of the lists that were received from one address.
type addressState struct {
	revision int64 // of the last answer that was used, or NoRevision if there was none
	// lowerRevisionAfter is the ID of the newest call when an answer with a lower revision was received and
	// not used, or 0 if there has been no such answer since the last one that was used.
	lowerRevisionAfter int
}

// Watch is the state of one gateway's calls. It is not safe for concurrent use.
type Watch struct {
	rng            *rand.Rand
	address        string
	revision       int64                   // of the last answer used from the current address, or NoRevision if there was none
	answered       bool                    // the current address has answered
	moved          bool                    // the current chain of calls started with a change of the address
	broken         bool                    // a call has failed or become silent since the last answer
	overloaded     bool                    // a call was rejected since the last answer, or no call was ever answered
	addresses      map[string]addressState // by address: the current one, and those with calls in flight
	revisionResets int                     // how often an agent was assumed to have reset its revisions
	lastID         int                     // ID of the last call
	calls          []activeCall            // oldest first
	nextCall       time.Duration           // latest start of the next call, or never if it only starts after an event
	latency        time.Duration           // of recent answers, without the wait of their calls
	failures       int                     // failed connections in a row
	silentStart    time.Duration           // start of the newest silent call since the last answer, or noTime if there is none
	rejections     int                     // calls rejected in a row, without an answer or a silent call in between
	// rejectedChainStart is the start of the chain of calls that ended with the first of these rejections.
	rejectedChainStart time.Duration
}

const (
	never  = time.Duration(1<<63 - 1)
	noTime = time.Duration(-1)
)

// New returns the state of a gateway that has the list of the given revision, or no list if revision is
// NoRevision. The first call asks for an answer at once.
func New(address string, revision int64, seed uint64) *Watch {
	return &Watch{rng: rand.New(rand.NewPCG(seed, 0x61736b)), address: address, revision: revision, overloaded: true,
		addresses: map[string]addressState{address: {revision: revision}}, silentStart: noTime}
}

// Revision returns the revision of the last answer used from the current address, or NoRevision if there was
// none.
func (w *Watch) Revision() int64 { return w.revision }

// Broken reports whether a call to the current address has failed or become silent since the last answer.
func (w *Watch) Broken() bool { return w.broken }

// RevisionResets returns how often an agent was assumed to have reset its revisions, because two of its lists
// had a lower revision than an earlier one. It is also possible that these lists were outdated.
func (w *Watch) RevisionResets() int { return w.revisionResets }

// Latency returns the latency of recent answers, without the wait of their calls.
func (w *Watch) Latency() time.Duration { return w.latency }

// SetAddress changes the address of discovery. It does nothing if the address is the current one. Calls in
// flight to other addresses continue, and their answers are used until the new address has answered, so that a
// series of changes of the address cannot prevent the gateway from receiving a list.
func (w *Watch) SetAddress(now time.Duration, address string) {
	if address == w.address {
		return
	}
	// Another agent may number its revisions differently. The last agent's revision could hide changes
	// permanently.
	w.address, w.revision, w.answered = address, NoRevision, false
	if _, known := w.addresses[address]; !known {
		w.addresses[address] = addressState{revision: NoRevision}
	}
	w.moved, w.broken, w.overloaded, w.silentStart, w.rejections, w.nextCall = true, false, false, noTime, 0, never
	if !slices.ContainsFunc(w.calls, func(c activeCall) bool { return c.Address == address && c.Revision == NoRevision && !c.silent }) {
		w.nextCall = now
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
	if c.Address != w.address || w.moved && c.Revision != NoRevision {
		return !w.answered && w.acceptRevision(c.Call, revision)
	}
	w.failures = 0
	// An answer before the end of the wait says nothing about the latency.
	if latency := now - c.began - c.Wait; latency >= 0 {
		w.latency = max(latency, w.latency*3/4)
	}
	if !w.acceptRevision(c.Call, revision) {
		w.nextCall = now + maxBackoff
		return false
	}
	w.revision, w.answered, w.nextCall = revision, true, now
	w.moved, w.broken, w.overloaded, w.silentStart, w.rejections = false, false, false, noTime, 0
	for i := range w.calls {
		w.calls[i].began = noTime // superseded, to be dropped by Step
	}
	return true
}

// acceptRevision stores the revision of an answer and reports whether the answer may be used, given the
// answers that were used from the same address. A lower revision is an outdated list, unless discovery has
// reset its revisions. In that case the answer to a later call for a snapshot has a lower revision too.
func (w *Watch) acceptRevision(c Call, revision int64) bool {
	u := w.addresses[c.Address]
	confirmed := u.lowerRevisionAfter > 0 && c.ID > u.lowerRevisionAfter && c.Revision == NoRevision
	if revision >= u.revision || confirmed {
		if revision < u.revision {
			w.revisionResets++
		}
		w.addresses[c.Address] = addressState{revision: revision}
		return true
	}
	if u.lowerRevisionAfter == 0 {
		u.lowerRevisionAfter = w.lastID
	}
	w.addresses[c.Address] = u
	return false
}

// Failed handles the end of a call that returned no list.
func (w *Watch) Failed(now time.Duration, id int, reason Failure) {
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
	if reason == Rejected {
		w.nextCall = now + w.pause(now, c)
		w.silentStart, w.overloaded = noTime, true // the next chain of calls starts with the next call
		return
	}
	w.nextCall = min(w.nextCall, now+min(minBackoff<<min(w.failures, 4), maxBackoff))
	w.failures++
}

// pause returns the time from now, when a call was rejected, to the next call.
func (w *Watch) pause(now time.Duration, rejected activeCall) time.Duration {
	chainStart, limit := max(rejected.began, now-maxRejectTime), maxChainTime
	if w.silentStart != noTime {
		chainStart = w.silentStart
	}
	if w.moved {
		limit = maxMovedChainTime
	}
	latest, spread := min(chainStart+limit-min(w.latency, maxExpectedLatency)-now, maxPause), pauseSpread
	switch w.rejections++; w.rejections {
	case 1:
		w.rejectedChainStart, latest, spread = chainStart, min(latest, minPause+firstPauseSpread), firstPauseSpread
	case 2:
		latest = min(latest, w.rejectedChainStart+limit-min(w.latency, maxExpectedLatency)-now)
	}
	earliest := max(latest-spread, minPause)
	if latest <= earliest {
		return earliest
	}
	return earliest + time.Duration(w.rng.Int64N(int64(latest-earliest)))
}

// Step returns the calls to start now, the IDs of those to cancel, and the latest time of the next Step.
func (w *Watch) Step(now time.Duration) (begin []Call, drop []int, next time.Duration) {
	drop = w.expire(now)
	w.markSilent(now)
	if now >= w.nextCall {
		if victim, full := w.evict(); full {
			drop = append(drop, victim)
		}
		begin = append(begin, w.begin(now))
	}
	return begin, drop, w.nextStep()
}

// expire removes calls that are superseded or have taken too long, and returns their IDs.
func (w *Watch) expire(now time.Duration) (drop []int) {
	w.calls = slices.DeleteFunc(w.calls, func(c activeCall) bool {
		expired := c.began == noTime || now-c.began >= c.Wait+maxCallTime
		if expired {
			drop = append(drop, c.ID)
		}
		return expired
	})
	w.pruneAddresses()
	if len(w.calls) == 0 && w.nextCall == never {
		w.nextCall = now
	}
	return drop
}

// pruneAddresses drops the state of addresses from which no answer can arrive any more.
func (w *Watch) pruneAddresses() {
	maps.DeleteFunc(w.addresses, func(address string, _ addressState) bool {
		return address != w.address && !slices.ContainsFunc(w.calls, func(c activeCall) bool { return c.Address == address })
	})
}

// markSilent marks calls that should have been answered by now as silent and schedules another call.
func (w *Watch) markSilent(now time.Duration) {
	for i := range w.calls {
		c := &w.calls[i]
		if c.Address != w.address || c.silent || now < c.silentFrom {
			continue
		}
		c.silent, w.broken, w.overloaded = true, true, false // no wait in discovery's queue takes that long
		w.silentStart, w.rejections = max(w.silentStart, c.began), 0
		w.nextCall = min(w.nextCall, now)
	}
}

// evict removes a call if a limit on calls is reached. full reports whether it did. The oldest call to the
// current address is kept, because it will be answered first if discovery is very slow.
func (w *Watch) evict() (id int, full bool) {
	var sameAddress, otherAddress []int
	for i, c := range w.calls {
		if c.Address == w.address {
			sameAddress = append(sameAddress, i)
		} else {
			otherAddress = append(otherAddress, i)
		}
	}
	var victim int
	switch {
	case len(sameAddress) >= maxCallsPerAddress:
		victim = sameAddress[1]
	case len(w.calls) >= maxCalls:
		victim = otherAddress[0]
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
	w.lastID++
	c := Call{ID: w.lastID, Address: w.address, Revision: w.revision, Began: now}
	switch {
	case w.addresses[w.address].lowerRevisionAfter > 0:
		c.Revision = NoRevision
	case w.answered && !w.broken:
		c.Wait = watchWait
	}
	w.calls = append(w.calls, activeCall{Call: c, began: now, silentFrom: now + c.Wait + w.silenceTimeout(c)})
	w.nextCall = never
	return c
}

// silenceTimeout returns how long after the wait of a call another call starts if the call is not answered.
func (w *Watch) silenceTimeout(c Call) time.Duration {
	switch {
	case c.Wait > 0:
		return watchSilentAfter
	case w.overloaded:
		return queuedSilentAfter
	}
	return silentAfter
}

// nextStep returns when Step has to run if there is no event before.
func (w *Watch) nextStep() time.Duration {
	due := w.nextCall
	for i := range w.calls {
		c := &w.calls[i]
		due = min(due, c.began+c.Wait+maxCallTime)
		if !c.silent && c.Address == w.address {
			due = min(due, c.silentFrom)
		}
	}
	return due
}

func (w *Watch) find(id int) int {
	return slices.IndexFunc(w.calls, func(c activeCall) bool { return c.ID == id })
}

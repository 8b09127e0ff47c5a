// Package asking says when a gateway that got no list asks discovery again. It does no I/O and has no clock.
//
// Discovery is one service for a whole fleet. Where it can't take a call it says so at once (503), or after the call has
// waited for its turn in vain. If all who were turned away come back soon, its line stays full of calls that will have waited
// too long by their turn, and it answers nobody any more, for as long as they go on. So who is turned away stays away for so
// long that a full line has drained meanwhile, and no two for the same time. It stays away no longer: what discovery has to
// tell counts as told 6 s after it had it and could be reached, whatever became of the calls until then. A connection that
// fails is another matter: it costs discovery nothing, and the agent may be back the next moment.
package asking

import (
	"math/rand/v2"
	"time"
)

const (
	// soon is the pause after a connection that failed.
	soon = 100 * time.Millisecond
	// shortest and longest are the pauses after a call that was turned away. With the 2 s for which such a call may have
	// waited in vain the next one begins within the 6 s, however discovery came back between them. Spread over less than a
	// line takes to drain (2.8 s where twenty wait for 140 ms each), not over more: calls that come evenly keep a line full.
	shortest = 2500 * time.Millisecond
	longest  = 3750 * time.Millisecond
)

// Pauses is one gateway's. It is not safe for concurrent use.
type Pauses struct{ rng *rand.Rand }

// New makes pauses whose spread the seed draws.
func New(seed uint64) *Pauses { return &Pauses{rand.New(rand.NewPCG(seed, 0x61736b))} }

// Failed gives the pause after a call that failed; busy: discovery turned it away.
func (p *Pauses) Failed(busy bool) time.Duration {
	if !busy {
		return soon
	}
	return shortest + time.Duration(p.rng.Int64N(int64(longest-shortest)))
}

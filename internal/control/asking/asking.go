// Package asking says when a gateway that got no list asks discovery again. It does no I/O and has no clock.
//
// Discovery is one service for a whole fleet. Where it can't take a call it says so at once (503), or after the call has
// waited for its turn in vain. If all who were turned away come back soon, its line stays full of calls that will have waited
// too long by their turn, and it answers nobody any more, for as long as they go on. So who is turned away stays away for
// longer each time, and no two for the same time. A connection that fails is another matter: it costs discovery nothing, and
// the agent may be back the next moment.
package asking

import (
	"math/rand/v2"
	"time"
)

const (
	// soon is the pause after a connection that failed.
	soon = 100 * time.Millisecond
	// first is the mean pause after a call that was turned away, and longest that after many in a row.
	first   = 3 * time.Second
	longest = 24 * time.Second
)

// Pauses is one gateway's. It is not safe for concurrent use.
type Pauses struct {
	rng  *rand.Rand
	mean time.Duration // of the next pause; 0: none was turned away since the last answer
}

// New makes pauses whose spread the seed draws.
func New(seed uint64) *Pauses { return &Pauses{rng: rand.New(rand.NewPCG(seed, 0x61736b))} }

// Answered says that a call was answered.
func (p *Pauses) Answered() { p.mean = 0 }

// Failed gives the pause after a call that failed; busy: discovery turned it away.
func (p *Pauses) Failed(busy bool) time.Duration {
	if !busy {
		return soon
	}
	p.mean = min(max(first, 2*p.mean), longest)
	return p.mean/2 + time.Duration(p.rng.Int64N(int64(p.mean)))
}

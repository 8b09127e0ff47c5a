package frontend

import (
	"sync"

	"yokemast/internal/wire/pg"
)

const (
	// aheadFree is how many commands of a session may wait for their turn at no cost, and aheadMost how many may at all.
	// What is beyond aheadFree counts against the bytes of statements, aheadCost and its text each: the reader goes on
	// whatever waits, since only who reads notices that a client has left, and what it reads has to fit into memory.
	aheadFree = 8
	aheadMost = 1024
	aheadCost = 512
)

// ahead holds the commands of a session that wait for their turn. Its reader puts, another goroutine takes.
type ahead struct {
	mu    sync.Mutex
	list  []command
	ended bool
	some  chan struct{} // says, while there is something to take, that there may be
}

func newAhead() *ahead { return &ahead{some: make(chan struct{}, 1)} }

func (a *ahead) signal() {
	select {
	case a.some <- struct{}{}:
	default:
	}
}

func (a *ahead) put(cmd command) {
	a.mu.Lock()
	a.list = append(a.list, cmd)
	a.mu.Unlock()
	a.signal()
}

// end says that no more commands come.
func (a *ahead) end() {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	a.signal()
}

// take gives the next command; neither is true while there is none yet, over when none will come.
func (a *ahead) take() (cmd command, ok, over bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return command{}, false, a.ended
	}
	cmd = a.list[0]
	a.list[0] = command{}
	if a.list = a.list[1:]; len(a.list) == 0 {
		a.list = nil
	}
	return cmd, true, false
}

// queue hands a command on to be answered. A session that has too many waiting is told so in its turn, and what it sends
// behind that is not taken.
func (c *session) queue(cmd command) {
	if c.overrun {
		c.release(cmd)
		return
	}
	c.mu.Lock()
	c.open++
	c.unanswered++
	waiting := c.unanswered
	c.mu.Unlock()
	if waiting > aheadFree {
		cost := aheadCost + cmd.size
		if c.overrun = waiting > aheadMost || !c.s.bytes.take(cost); c.overrun {
			c.s.cfg.Counters.ClientsOverrun.Add(1)
			c.s.note("cut off: too many commands wait for their turn", c)
			c.release(cmd)
			cmd = command{err: pg.Refusal("too many commands at once", c.s.retryAfter())}
			cmd.err.Fatal = true
		} else {
			cmd.held += cost
		}
	}
	c.ahead.put(cmd)
}

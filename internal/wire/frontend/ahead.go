package frontend

import (
	"sync"

	"yokemast/internal/wire/pg"
)

const (
	// aheadFree is how many commands of a session may be queued at no cost, aheadMost the maximum. Each
	// command beyond aheadFree counts against the byte budget of statements, with aheadCost plus its text.
	// The reader must go on whatever is queued, as only reading detects that the client has disconnected, and
	// all that it reads has to fit into memory.
	aheadFree = 8
	aheadMost = 1024
	aheadCost = 512
)

// ahead is the queue of a session's commands. The reader puts commands, another goroutine takes them.
type ahead struct {
	mu    sync.Mutex
	list  []command
	ended bool
	some  chan struct{} // signals that a command may be available, or that the queue has ended
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

// end marks that no more commands follow.
func (a *ahead) end() {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	a.signal()
}

// take returns the next command. If none is queued, ok is false and over reports whether the queue has ended.
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

// queue adds a command to the queue. If too many commands are queued, an error takes its place and all later
// commands of the session are dropped.
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
			c.s.note("closed: too many queued commands", c)
			c.release(cmd)
			cmd = command{err: pg.Refusal("too many commands at once", c.s.retryAfter())}
			cmd.err.Fatal = true
		} else {
			cmd.held += cost
		}
	}
	c.ahead.put(cmd)
}

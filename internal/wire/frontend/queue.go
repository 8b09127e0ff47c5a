package frontend

import (
	"sync"

	"yokemast/internal/wire/pg"
)

const (
	// maxQueued is the maximum number of a session's commands that are queued. The reader must go on whatever is queued, as
	// only reading detects that the client has disconnected, and all that it reads has to fit into memory.
	maxQueued = 1024
)

// commandQueue is the queue of a session's commands. The reader puts commands, another goroutine takes them.
type commandQueue struct {
	mu        sync.Mutex
	list      []command
	ended     bool
	available chan struct{} // signals that a command may be available, or that the queue has ended
}

func newCommandQueue() *commandQueue { return &commandQueue{available: make(chan struct{}, 1)} }

func (q *commandQueue) signal() {
	select {
	case q.available <- struct{}{}:
	default:
	}
}

func (q *commandQueue) put(cmd command) {
	q.mu.Lock()
	q.list = append(q.list, cmd)
	q.mu.Unlock()
	q.signal()
}

// end marks that no more commands follow.
func (q *commandQueue) end() {
	q.mu.Lock()
	q.ended = true
	q.mu.Unlock()
	q.signal()
}

// take returns the next command. If none is queued, ok is false and ended reports whether the queue has
// ended.
func (q *commandQueue) take() (cmd command, ok, ended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return command{}, false, q.ended
	}
	cmd = q.list[0]
	q.list[0] = command{}
	if q.list = q.list[1:]; len(q.list) == 0 {
		q.list = nil
	}
	return cmd, true, false
}

// enqueue adds a command to the queue. If too many commands are queued, a fatal error is queued in its place and all
// later commands of the session are dropped.
func (c *session) enqueue(cmd command) {
	if c.overrun {
		c.release(cmd)
		return
	}
	c.mu.Lock()
	c.open++
	c.unanswered++
	waiting := c.unanswered
	c.mu.Unlock()
	if c.overrun = waiting > maxQueued || !c.memory.acquire(commandCost); c.overrun {
		c.s.cfg.Counters.ClientsOverrun.Add(1)
		c.s.logEnd("closed: too many queued commands", c)
		c.release(cmd)
		cmd = command{err: pg.Refusal("too many commands at once", c.s.retryAfter())}
		cmd.err.Fatal = true
	} else {
		cmd.held += commandCost
	}
	c.pending.put(cmd)
}

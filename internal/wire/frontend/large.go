package frontend

import (
	"errors"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/budget"
	"yokemast/internal/memory/counters"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

const (
	// memoryTimeout limits the total time for which the chunks of a large statement wait for memory. Meanwhile
	// the kernel goes on buffering input, and the client's deadline runs.
	memoryTimeout = 300 * time.Millisecond
	// clientStallTimeout limits the time without progress while a client receives a large value.
	clientStallTimeout = 20 * time.Second
)

var errNoMemory = errors.New("frontend: no memory for the statement")

// largeMemory is the memory budget shared by large statements.
type largeMemory struct {
	counts *counters.Set
	mu     sync.Mutex
	budget *budget.Budget
	freed  chan struct{} // closed and replaced when memory may have become available
}

func newLargeMemory(total int64, counts *counters.Set) *largeMemory {
	return &largeMemory{counts: counts, budget: budget.New(total), freed: make(chan struct{})}
}

func (m *largeMemory) open(need int64) *budget.Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Open(need)
}

// take reserves n more bytes for a holding that needs at most limit bytes in all. It waits for other holdings to release
// memory, and returns errNoMemory if there is none by the deadline.
func (m *largeMemory) take(h *budget.Holding, n int, limit int64, deadline time.Time) error {
	for {
		m.mu.Lock()
		if m.budget.Take(h, int64(n)) || m.budget.Raise(h, limit) && m.budget.Take(h, int64(n)) {
			m.counts.LargeHeld.Add(int64(n))
			m.mu.Unlock()
			return nil
		}
		freed := m.freed
		m.mu.Unlock()
		wait := time.NewTimer(time.Until(deadline))
		select {
		case <-freed:
			wait.Stop()
		case <-wait.C:
			return errNoMemory
		}
	}
}

// complete marks that a holding needs no more memory.
func (m *largeMemory) complete(h *budget.Holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Complete(h)
	m.signalFreed()
}

// close releases all memory of a holding. It does nothing for nil or a closed holding.
func (m *largeMemory) close(h *budget.Holding) {
	if h == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.LargeHeld.Add(-h.Held())
	m.budget.Close(h)
	m.signalFreed()
}

func (m *largeMemory) signalFreed() {
	close(m.freed)
	m.freed = make(chan struct{})
}

func (m *largeMemory) resize(total int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Resize(total)
	m.signalFreed()
}

// readLargeQuery reads the body of a query that is too long to be buffered as text.
func (c *session) readLargeQuery(length int, badMessage func(code, message string) *pg.Error) error {
	c.s.cfg.Counters.Large.Add(1)
	typical, limit := pg.LargeMemory(length)
	h := c.s.large.open(typical)
	if h == nil {
		return c.refuseLarge(length, length)
	}
	waited := time.Duration(0)
	l := pg.LargeReader{Read: c.in.Read, Reserve: func(n int) error {
		start := time.Now()
		err := c.s.large.take(h, n, limit, start.Add(memoryTimeout-waited))
		waited += time.Since(start)
		c.setBodyDeadline(length) // the wait for memory was not the client's fault
		return err
	}}
	st, invalid, unread, err := l.Statement(length)
	switch {
	case errors.Is(err, errNoMemory):
		c.s.large.close(h)
		return c.refuseLarge(length, unread)
	case err != nil:
		c.s.large.close(h)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	case invalid != nil:
		c.s.large.close(h)
		c.s.cfg.Counters.BadStatements.Add(1)
		c.enqueue(command{err: badMessage(invalid.Code, invalid.Message), readyFollows: true})
		return nil
	}
	c.s.large.complete(h)
	c.enqueue(command{statement: st, arrived: c.s.cfg.Clock.Now(), readyFollows: true, largeHolding: h})
	return nil
}

// refuseLarge refuses a large statement for lack of memory and discards the rest of its body.
func (c *session) refuseLarge(length, unread int) error {
	c.s.cfg.Counters.LargeRefused.Add(1)
	c.s.cfg.Log.Info("statement refused", zap.String("reason", "no memory"), zap.Int("bytes", length), zap.Int("unread", unread),
		zap.Int64("held", c.s.cfg.Counters.LargeHeld.Get()))
	return c.skipBody(unread, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())}, command{readyOnly: true})
}

// chunkBuffers holds buffers for large values in transit.
var chunkBuffers = sync.Pool{New: func() any { return new([pg.ChunkSize]byte) }}

// writeLargeValue writes an answer whose value is still being received. It writes each chunk before it reads the next.
// If the value proves too old, the answer ends in an error. It returns false if the connection must be
// closed, so that the client sees that the value is incomplete.
func (c *session) writeLargeValue(v pg.Value, tag string) bool {
	defer v.Stream.Close()
	if !c.write(pg.AppendRowHead(nil, v)) {
		return false
	}
	chunk := chunkBuffers.Get().(*[pg.ChunkSize]byte)
	defer chunkBuffers.Put(chunk)
	written := 0
	for {
		n, err := v.Stream.Read(chunk[:])
		if n > 0 {
			_ = c.conn.SetWriteDeadline(time.Now().Add(clientStallTimeout))
			if _, err := (socket.RetryConn{Conn: c.conn}).Write(chunk[:n]); err != nil {
				c.s.cfg.Log.Info("value truncated", zap.String("reason", "write to the client failed"), zap.Int("written", written), zap.Int("size", v.Size), zap.Error(err))
				return false
			}
			written += n
			continue
		}
		c.writeDeadline = time.Time{}
		if errors.Is(err, pg.ErrTooOld) { // an error in place of the end makes the request fail
			c.s.cfg.Log.Info("value not served", zap.String("reason", "too old"), zap.Int("size", v.Size))
			e := &pg.Error{Code: pg.CodeFailed, Message: "the value is older than its class allows"}
			return c.write(pg.AppendReady(pg.AppendError(nil, e)))
		}
		if !errors.Is(err, io.EOF) {
			c.s.cfg.Log.Info("value truncated", zap.String("reason", "read from the host failed"), zap.Int("written", written), zap.Int("size", v.Size), zap.Error(err))
			return false
		}
		return c.write(pg.AppendReady(pg.AppendComplete(nil, tag)))
	}
}

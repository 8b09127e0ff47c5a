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
	// memoryWithin limits the total time for which the chunks of a large statement wait for memory. Meanwhile
	// the kernel goes on buffering input, and the client's deadline runs.
	memoryWithin = 300 * time.Millisecond
	// clientStall limits the time without progress while a client receives a large value.
	clientStall = 20 * time.Second
)

var errNoMemory = errors.New("frontend: no memory for the statement")

// memory is the memory budget shared by large statements.
type memory struct {
	counts *counters.Set
	mu     sync.Mutex
	budget *budget.Budget
	freed  chan struct{} // closed and replaced when memory may have become available
}

func newMemory(total int64, counts *counters.Set) *memory {
	return &memory{counts: counts, budget: budget.New(total), freed: make(chan struct{})}
}

func (m *memory) open(need int64) *budget.Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Open(need)
}

// take reserves n more bytes for a holding that needs at most the given maximum in all. It waits until the
// given time for other holdings to be closed, then returns errNoMemory.
func (m *memory) take(h *budget.Holding, n int, most int64, by time.Time) error {
	for {
		m.mu.Lock()
		if m.budget.Take(h, int64(n)) || m.budget.Raise(h, most) && m.budget.Take(h, int64(n)) {
			m.counts.LargeHeld.Add(int64(n))
			m.mu.Unlock()
			return nil
		}
		freed := m.freed
		m.mu.Unlock()
		wait := time.NewTimer(time.Until(by))
		select {
		case <-freed:
			wait.Stop()
		case <-wait.C:
			return errNoMemory
		}
	}
}

// whole marks that a holding needs no more memory.
func (m *memory) whole(h *budget.Holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Complete(h)
	m.wake()
}

// close releases all memory of a holding. It does nothing for nil or a closed holding.
func (m *memory) close(h *budget.Holding) {
	if h == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.LargeHeld.Add(-h.Held())
	m.budget.Close(h)
	m.wake()
}

func (m *memory) wake() {
	close(m.freed)
	m.freed = make(chan struct{})
}

func (m *memory) resize(total int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Resize(total)
	m.wake()
}

// large reads the body of a query that is too long to be buffered as text.
func (c *session) large(length int, bad func(code, message string) *pg.Error) error {
	c.s.cfg.Counters.Large.Add(1)
	usual, most := pg.LargeNeed(length)
	h := c.s.large.open(usual)
	if h == nil {
		return c.noMemory(length, length)
	}
	waited := time.Duration(0)
	l := pg.LargeReader{Read: c.in.Read, Take: func(n int) error {
		start := time.Now()
		err := c.s.large.take(h, n, most, start.Add(memoryWithin-waited))
		waited += time.Since(start)
		c.pace(length) // the wait for memory was not the client's fault
		return err
	}}
	st, wrong, left, err := l.Statement(length)
	switch {
	case errors.Is(err, errNoMemory):
		c.s.large.close(h)
		return c.noMemory(length, left)
	case err != nil:
		c.s.large.close(h)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	case wrong != nil:
		c.s.large.close(h)
		c.s.cfg.Counters.BadStatements.Add(1)
		c.queue(command{err: bad(wrong.Code, wrong.Message), ready: true})
		return nil
	}
	c.s.large.whole(h)
	c.queue(command{statement: st, arrived: c.s.cfg.Clock.Now(), ready: true, holding: h})
	return nil
}

// noMemory refuses a large statement for lack of memory and discards the rest of its body.
func (c *session) noMemory(length, left int) error {
	c.s.cfg.Counters.LargeRefused.Add(1)
	c.s.cfg.Log.Info("statement refused", zap.String("reason", "no memory"), zap.Int("bytes", length), zap.Int("unread", left),
		zap.Int64("held", c.s.cfg.Counters.LargeHeld.Get()))
	return c.skip(left, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())}, command{sync: true})
}

// pieces holds buffers for large values in transit.
var pieces = sync.Pool{New: func() any { return new([pg.Piece]byte) }}

// pour writes an answer whose value is still being received, each chunk before the next is read. If the value
// proves too old, the answer ends in an error. It returns false if the connection must be closed, so that the
// client sees that the value is incomplete.
func (c *session) pour(v pg.Value, tag string) bool {
	defer v.Rest.Close()
	if !c.write(pg.AppendRowHead(nil, v)) {
		return false
	}
	piece := pieces.Get().(*[pg.Piece]byte)
	defer pieces.Put(piece)
	given := 0
	for {
		n, err := v.Rest.Read(piece[:])
		if n > 0 {
			_ = c.conn.SetWriteDeadline(time.Now().Add(clientStall))
			if _, err := (socket.Steady{Conn: c.conn}).Write(piece[:n]); err != nil {
				c.s.cfg.Log.Info("value truncated", zap.String("reason", "write to the client failed"), zap.Int("written", given), zap.Int("size", v.Size), zap.Error(err))
				return false
			}
			given += n
			continue
		}
		c.writeBy = time.Time{}
		if errors.Is(err, pg.ErrTooOld) { // an error in place of the end makes the request fail
			c.s.cfg.Log.Info("value not served", zap.String("reason", "too old"), zap.Int("size", v.Size))
			e := &pg.Error{Code: pg.CodeFailed, Message: "the value is older than its class allows"}
			return c.write(pg.AppendReady(pg.AppendError(nil, e)))
		}
		if !errors.Is(err, io.EOF) {
			c.s.cfg.Log.Info("value truncated", zap.String("reason", "read from the host failed"), zap.Int("written", given), zap.Int("size", v.Size), zap.Error(err))
			return false
		}
		return c.write(pg.AppendReady(pg.AppendComplete(nil, tag)))
	}
}

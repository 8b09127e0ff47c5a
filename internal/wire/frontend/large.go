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
	// memoryWithin is how long the pieces of a large statement may wait for memory in all. What waits in the kernel meanwhile
	// is taken, and its client's time runs.
	memoryWithin = 300 * time.Millisecond
	// clientStall is how long a client may take nothing of a large value that it is given.
	clientStall = 20 * time.Second
)

var errNoMemory = errors.New("frontend: no memory for the statement")

// memory is what large statements share.
type memory struct {
	counts *counters.Set
	mu     sync.Mutex
	budget *budget.Budget
	freed  chan struct{} // closed when there may be more
}

func newMemory(total int64, counts *counters.Set) *memory {
	return &memory{counts: counts, budget: budget.New(total), freed: make(chan struct{})}
}

func (m *memory) open(need int64) *budget.Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Open(need)
}

// take gives a holding n bytes more, which may need so much at most, by a time; it waits for others to end.
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

// whole says that a holding needs no more.
func (m *memory) whole(h *budget.Holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Complete(h)
	m.wake()
}

// close gives all back; nil, or one that was closed before, changes nothing.
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

// large reads the body of a query that is too long to be held as it comes.
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
		c.pace(length) // it was not the client that waited
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

// noMemory refuses a large statement and reads past what is left of it.
func (c *session) noMemory(length, left int) error {
	c.s.cfg.Counters.LargeRefused.Add(1)
	c.s.cfg.Log.Info("statement refused", zap.String("why", "no memory"), zap.Int("bytes", length), zap.Int("unread", left),
		zap.Int64("held", c.s.cfg.Counters.LargeHeld.Get()))
	return c.skip(left, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())}, command{sync: true})
}

// pieces are buffers for values on their way.
var pieces = sync.Pool{New: func() any { return new([pg.Piece]byte) }}

// pour writes an answer whose value is still coming: each piece before the next is read. One that turns out too old ends in an
// error. false: the client can tell that it is not whole.
func (c *session) pour(v pg.Value, tag string) bool {
	defer v.Stream.Close()
	if !c.write(pg.AppendRowHead(nil, v)) {
		return false
	}
	piece := pieces.Get().(*[pg.Piece]byte)
	defer pieces.Put(piece)
	given := 0
	for {
		n, err := v.Stream.Read(piece[:])
		if n > 0 {
			_ = c.conn.SetWriteDeadline(time.Now().Add(clientStall))
			if _, err := (socket.RetryConn{Conn: c.conn}).Write(piece[:n]); err != nil {
				c.s.cfg.Log.Info("value cut", zap.String("why", "its client takes no more"), zap.Int("given", given), zap.Int("of", v.Size), zap.Error(err))
				return false
			}
			given += n
			continue
		}
		c.writeBy = time.Time{}
		if errors.Is(err, pg.ErrTooOld) { // an error in place of the end makes it a request that failed
			c.s.cfg.Log.Info("value not served", zap.String("why", "it is too old"), zap.Int("of", v.Size))
			e := &pg.Error{Code: pg.CodeFailed, Message: "the value is older than its class allows"}
			return c.write(pg.AppendReady(pg.AppendError(nil, e)))
		}
		if !errors.Is(err, io.EOF) {
			c.s.cfg.Log.Info("value cut", zap.String("why", "its host gives no more"), zap.Int("given", given), zap.Int("of", v.Size), zap.Error(err))
			return false
		}
		return c.write(pg.AppendReady(pg.AppendComplete(nil, tag)))
	}
}

// Package frontend implements the client side of the gateway: it accepts connections, speaks the PostgreSQL
// protocol with clients, submits their requests to the exchange and writes the answers.
package frontend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

const (
	// startWithin limits the startup of a client, and then the time until its first command begins.
	startWithin = 2 * time.Second
	// messageWithin limits the time without progress within a message. headWithin limits the time for the
	// head of a message, longestWithin plus one second for each leastRate bytes the time for its body.
	// Clients may legitimately take 2 s for a head.
	messageWithin = 2500 * time.Millisecond
	headWithin    = 5 * time.Second
	longestWithin = 10 * time.Second
	leastRate     = 32 << 10
	writeTimeout  = 5 * time.Second // for a client to receive an answer
	// overflow limits the connections above the connection limit that are being closed: rejected, evicted, or
	// closed for invalid input.
	overflow  = 24
	lingerFor = 500 * time.Millisecond // for a client to read the error that precedes the close
	// takeWithin limits the time for a client to receive its last answer, from when it was written. It equals
	// the time for which clients wait for an answer.
	takeWithin = 3 * time.Second
	// unsentPause is the interval of polling whether a client has received everything that was written.
	unsentPause = 2 * time.Millisecond
	// mayClose is how long a connection must be idle before it can be closed. soonClose replaces it while the
	// clients' share of the descriptors is nearly exhausted: until a client closes one of its connections,
	// others cannot connect at all.
	mayClose    = 2 * time.Second
	soonClose   = 250 * time.Millisecond
	nearly      = 0.75                   // fraction of the clients' share, or of MaxConns, from which on connections count as scarce
	silentFor   = 100 * time.Millisecond // without a first command; then the client may be evicted
	largeBody   = 2 << 10                // larger bodies count against MaxBytes
	acceptPause = 5 * time.Millisecond   // after a failed accept
	// acceptFailures limits the failures in a row for which the deadline of a listener is extended.
	acceptFailures = 50
	sweepPause     = 100 * time.Millisecond // between searches for idle connections
)

// Exchange executes requests.
type Exchange interface {
	Submit(*exchange.Request)
	CancelRequest(*exchange.Request)
}

// Config configures a Server.
type Config struct {
	Clock      exchange.Clock
	Log        *zap.Logger
	Counters   *counters.Set
	MaxConns   int                               // maximum number of clients
	KeepIdle   int                               // number of clients up to which idle connections stay open
	Share      int                               // maximum number of connections of clients that have sent a command; 0: no limit
	Pool       func(user, database string) *Pool // pool of a general SQL session; if nil, or if it returns nil, only the platform's statements are served
	MaxBytes   int64                             // total size of the statements that are buffered whole
	MaxLarge   int64                             // total size of larger statements, which are read in chunks
	RetryAfter time.Duration                     // sent to clients refused for lack of capacity; 0: none
	Yes        func() bool                       // answer to a readiness probe (the empty query) after Ready; must not block
	Emptied    func()                            // called when the last connection has ended and none is being accepted; may be nil
}

// Server serves clients.
type Server struct {
	cfg   Config
	x     Exchange
	ready chan struct{}
	bytes *allowance
	large *memory

	retry atomic.Int64 // retryAfter in nanoseconds, as set by Config.RetryAfter and settings updates

	group     errgroup.Group // of sessions
	accepting atomic.Int32   // running calls of Accept
	leaves    atomic.Bool    // connections queued at a listener past its deadline belong to another process

	mu       sync.Mutex
	pass     Pass // nil: connections are closed, not handed over
	sessions map[*session]struct{}
	closing  int                 // number of sessions that are closing
	keys     map[pg.Key]*session // general SQL sessions by the key that a cancel request carries
	draining bool
	ending   chan struct{} // closed when idle connections are no longer evicted
	endOnce  sync.Once
}

// New returns a server that submits requests to x.
func New(cfg Config, x Exchange) *Server {
	s := &Server{cfg: cfg, x: x, ready: make(chan struct{}), ending: make(chan struct{}), bytes: &allowance{left: cfg.MaxBytes},
		large:    newMemory(cfg.MaxLarge, cfg.Counters),
		sessions: map[*session]struct{}{}, keys: map[pg.Key]*session{}}
	s.Retune(cfg.RetryAfter)
	return s
}

// Retune sets the retryAfter of clients that are refused for lack of capacity; 0 means none is sent.
func (s *Server) Retune(retryAfter time.Duration) { s.retry.Store(int64(retryAfter)) }

func (s *Server) retryAfter() time.Duration { return time.Duration(s.retry.Load()) }

// Resize sets how many bytes of large statements are held at a time.
func (s *Server) Resize(large int64) { s.large.resize(large) }

// Ready enables answers to the empty query, which the load balancer uses as its readiness probe. It must be
// called once.
func (s *Server) Ready() { close(s.ready) }

// Run evicts idle sessions until the context ends, which also ends all sessions, and waits for them.
func (s *Server) Run(ctx context.Context) error {
	defer s.group.Wait()
	s.sweep(ctx)
	<-ctx.Done()
	return nil
}

// Leave sets whether connections that are queued at a listener when its deadline passes are left to another
// process that listens on the same address. Otherwise they are accepted.
func (s *Server) Leave(leaves bool) { s.leaves.Store(leaves) }

// Accept accepts clients until the listener is closed, or until its deadline has passed and, unless set by
// Leave, no connection is queued there. It may then be called again. The end of the context ends the
// sessions, and the accepting past the deadline.
func (s *Server) Accept(ctx context.Context, l net.Listener) {
	s.accepting.Add(1)
	defer func() {
		s.accepting.Add(-1)
		s.emptied()
	}()
	failures := 0 // in a row
	for {
		n, err := l.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && failures > 0 && failures < acceptFailures && extend(l):
			failures++
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && failures == 0 && s.takes(ctx, l) && extend(l):
			continue // the process may have been stalled since before the deadline
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil: // no descriptor left, or the client disconnected before the accept
			failures++
			s.cfg.Counters.AcceptErrors.Add(1)
			s.cfg.Log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		failures = 0
		s.cfg.Counters.Clients.Add(1)
		c := s.session(n)
		room, held := s.add(c)
		if !held { // bounds the connections being closed, so that accepting goes on
			s.cfg.Counters.ClientsDropped.Add(1)
			s.note("dropped: too many connections are closing", c)
			n.Close()
			continue
		}
		serve := func() { c.serve(ctx) }
		if !room {
			s.cfg.Counters.ClientsRefused.Add(1)
			s.note("rejected: connection limit reached", c)
			serve = c.reject
		}
		s.begin(c, serve)
	}
}

// takes reports whether connections are queued at a listener and this process is to accept them.
func (s *Server) takes(ctx context.Context, l net.Listener) bool {
	c, ok := l.(syscall.Conn)
	return ok && ctx.Err() == nil && !s.leaves.Load() && socket.Waiting(c)
}

// extend moves the deadline of a listener by a few milliseconds, as queued connections could not be accepted
// before it.
func extend(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(2*acceptPause)) == nil
}

// Adopt continues an idle connection whose startup was done by another process. idle is how long the
// connection was idle there; it counts for eviction here, as otherwise a server at its connection limit would
// reject new clients.
func (s *Server) Adopt(ctx context.Context, n *net.TCPConn, user string, idle time.Duration) {
	s.cfg.Counters.ClientsAdopted.Add(1)
	c := s.session(n)
	c.user, c.started, c.said, c.adopted = user, true, true, true
	c.idleSince -= idle
	s.mu.Lock()
	s.sessions[c] = struct{}{}
	s.cfg.Counters.ClientsOpen.Add(1)
	if s.draining {
		c.drain(s.pass != nil)
	}
	s.mu.Unlock()
	s.begin(c, func() { c.serve(ctx) })
}

func (s *Server) session(n net.Conn) *session {
	now := s.cfg.Clock.Now()
	c := &session{s: s, conn: n.(*net.TCPConn), ahead: newAhead(), closed: make(chan struct{}), accepted: now, idleSince: now}
	c.in = bufio.NewReaderSize(paced{c}, 4<<10)
	return c
}

func (s *Server) begin(c *session, serve func()) {
	s.group.Go(func() error {
		defer s.remove(c)
		s.guard(serve)
		return nil
	})
}

// Held returns the number of connections, including those that may just be accepted, and how many of them
// wait for an answer.
func (s *Server) Held() (all, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if c.waits() {
			waiting++
		}
	}
	return len(s.sessions) + int(s.accepting.Load()), waiting
}

func (s *Server) emptied() {
	s.mu.Lock()
	held := len(s.sessions) + int(s.accepting.Load())
	s.mu.Unlock()
	if s.cfg.Emptied != nil && held == 0 {
		s.cfg.Emptied()
	}
}

// guard recovers a panic, so that a fault in one connection does not end the process.
func (s *Server) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			s.cfg.Counters.Panics.Add(1)
			s.cfg.Log.Error("client connection panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// add registers a session. held reports whether it may exist at all, room whether it may be served; a session
// with held but not room is rejected with an error.
func (s *Server) add(c *session) (room, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room = len(s.sessions)-s.closing < s.cfg.MaxConns || s.evictIdle()
	if len(s.sessions) >= s.cfg.MaxConns+overflow {
		return false, false
	}
	s.sessions[c] = struct{}{}
	s.cfg.Counters.ClientsOpen.Add(1)
	if !room {
		c.closing = true
		s.closing++
	} else if s.draining {
		c.drain(s.pass != nil)
	}
	return room, true
}

// sweep evicts idle sessions while there are many sessions. Clients share a limited number of descriptors:
// those that send one request and keep their connection would prevent others from connecting long before this
// server reaches its connection limit.
func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ending:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		s.evictSurplus()
		s.mu.Unlock()
	}
}

// idler is a session with no open requests, and since when.
type idler struct {
	c     *session
	since time.Duration
}

// idlers returns the sessions that may be evicted: silent sessions, which have not sent a command yet, and
// idle sessions, which have sent commands and have none open. Each list starts with the session that has been
// in its state for longest. pressed reports that so many connections are open that new clients may be unable
// to connect.
func (s *Server) idlers() (silent, idle []idler, pressed bool) {
	now, held, asked := s.cfg.Clock.Now(), 0, 0
	for c := range s.sessions {
		if c.closing {
			continue
		}
		held++
		since, said, ok := c.spare()
		if said {
			asked++
		}
		switch {
		case !ok:
		case said:
			idle = append(idle, idler{c, since})
		case now-since >= silentFor:
			silent = append(silent, idler{c, since})
		}
	}
	pressed = s.cfg.Share > 0 && float64(asked) >= nearly*float64(s.cfg.Share) ||
		float64(held) >= nearly*float64(s.cfg.MaxConns)
	limit := mayClose
	if pressed {
		limit = soonClose
	}
	idle = slices.DeleteFunc(idle, func(i idler) bool { return now-i.since < limit })
	for _, list := range [][]idler{silent, idle} {
		slices.SortFunc(list, func(a, b idler) int { return cmp.Compare(a.since, b.since) })
	}
	return silent, idle, pressed
}

// evictSurplus evicts idle sessions down to KeepIdle sessions.
func (s *Server) evictSurplus() {
	_, idle, pressed := s.idlers()
	spared := len(s.sessions) - s.closing - s.cfg.KeepIdle
	for _, i := range idle[:max(0, min(spared, len(idle)))] {
		if !s.taken(i) {
			continue
		}
		if pressed {
			s.cfg.Counters.ClientsEvictedEarly.Add(1)
		}
		s.evict(i.c)
	}
}

// evictIdle evicts one session of a server at its connection limit. It prefers the session that has been
// silent for longest, as well-behaved clients send a command at once, then the one that has been idle for
// longest. Otherwise clients that send one request and keep their connection, or connect and send nothing,
// would lock out all others. It returns false if no session can be evicted.
func (s *Server) evictIdle() bool {
	silent, idle, _ := s.idlers()
	list := append(silent, idle...)
	if len(list) == 0 {
		return false
	}
	first := max(0, slices.IndexFunc(list, func(i idler) bool { return s.taken(i) }))
	s.evict(list[first].c)
	return true
}

// taken reports whether a client has received its last answer, or the time for that has passed.
func (s *Server) taken(i idler) bool {
	return s.cfg.Clock.Now()-i.since >= takeWithin || socket.Unsent(i.c.conn) == 0
}

// note logs why the gateway ends a client's connection.
func (s *Server) note(why string, c *session) {
	s.cfg.Log.Info("connection ended", zap.String("why", why), zap.Stringer("client", c.conn.RemoteAddr()),
		zap.Duration("age", s.cfg.Clock.Now()-c.accepted), zap.Int64("clients", s.cfg.Counters.ClientsOpen.Get()))
}

func (s *Server) evict(c *session) {
	s.cfg.Counters.ClientsEvicted.Add(1)
	s.note("evicted: idle", c)
	c.closing = true
	s.closing++
	c.drain(s.pass != nil)
}

// beginClosing marks a session as closing, so that it no longer counts against MaxConns. It returns false if
// too many sessions are closing.
func (s *Server) beginClosing(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		if s.closing >= overflow {
			return false
		}
		c.closing = true
		s.closing++
	}
	return true
}

func (s *Server) remove(c *session) {
	c.conn.Close()
	defer s.emptied()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closing {
		s.closing--
	}
	delete(s.sessions, c)
	if c.general != nil {
		delete(s.keys, c.general.key)
	}
	s.cfg.Counters.ClientsOpen.Add(-1)
}

// Ending stops the eviction of idle connections: their clients could not open new ones.
func (s *Server) Ending() { s.endOnce.Do(func() { close(s.ending) }) }

// Pass hands a connection with no open requests over to another process. idle is how long it has been idle.
type Pass func(conn *net.TCPConn, user string, idle time.Duration) error

// Drain ends every session once it is between requests, and does so for new sessions too, until Resume is
// called. If pass is not nil, connections are handed over instead of closed.
func (s *Server) Drain(pass Pass) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass = pass
	if s.draining {
		return
	}
	s.draining = true
	for c := range s.sessions {
		c.drain(s.pass != nil)
	}
}

// Resume ends a drain. Sessions that Drain has ended already stay ended.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.pass = false, nil
	for c := range s.sessions {
		if !c.closing {
			c.resume()
		}
	}
}

// allowance bounds the total size of buffered statements, so that they always fit into memory.
type allowance struct {
	mu   sync.Mutex
	left int64
}

func (b *allowance) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(n) > b.left {
		return false
	}
	b.left -= int64(n)
	return true
}

func (b *allowance) give(n int) {
	b.mu.Lock()
	b.left += int64(n)
	b.mu.Unlock()
}

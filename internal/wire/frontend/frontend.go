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

	"yokemast/internal/control/service"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

const (
	// startupTimeout limits the startup of a client, and then the time until its first command begins.
	startupTimeout = 2 * time.Second
	// progressTimeout limits the time without progress within a message. headTimeout limits the time for the
	// head of a message, bodyTimeout plus one second for each minBodyRate bytes the time for its body.
	// Clients may legitimately take 2 s for a head.
	progressTimeout = 2500 * time.Millisecond
	headTimeout     = 5 * time.Second
	bodyTimeout     = 10 * time.Second
	minBodyRate     = 32 << 10
	writeTimeout    = 5 * time.Second // for a client to receive an answer
	// maxClosing limits the connections above the connection limit that are being closed: rejected, evicted, or
	// closed for invalid input.
	maxClosing    = 24
	lingerTimeout = 500 * time.Millisecond // for a client to read the error that precedes the close
	// lastAnswerTimeout limits the time for a client to receive its last answer, from when it was written. It equals
	// the time for which clients wait for an answer.
	lastAnswerTimeout = 3 * time.Second
	// unsentPollInterval is the interval of polling whether a client has received everything that was written.
	unsentPollInterval = 2 * time.Millisecond
	// idleTimeout is how long a connection must be idle before it can be closed. shortIdleTimeout replaces it
	// while the clients' share of the descriptors is nearly exhausted: until a client closes one of its
	// connections, others cannot connect at all.
	idleTimeout      = 2 * time.Second
	shortIdleTimeout = 250 * time.Millisecond
	// scarceFraction is the fraction of Config.MaxActive or Config.MaxConns from which on connections are scarce, so that
	// shortIdleTimeout applies.
	scarceFraction   = 0.75
	silentTimeout    = 100 * time.Millisecond // without a first command; then the client may be evicted
	acceptRetryPause = 5 * time.Millisecond   // after a failed accept
	// maxAcceptFailures limits the failures in a row for which the deadline of a listener is extended.
	maxAcceptFailures = 50
	sweepInterval     = 100 * time.Millisecond // between searches for idle connections
)

// Exchange executes requests.
type Exchange interface {
	Submit(*exchange.Request)
	CancelRequest(*exchange.Request)
	AnswerBegun(*exchange.Request)
	AnswerEnded(*exchange.Request)
}

// Config configures a Server.
type Config struct {
	Clock     exchange.Clock
	Log       *zap.Logger
	Counters  *counters.Set
	MaxConns  int // maximum number of clients
	KeepIdle  int // number of clients up to which idle connections stay open
	MaxActive int // maximum number of connections of clients that have sent a command; 0: no limit
	// Pool returns the pool of a general SQL session. If it is nil, or returns nil, only the platform's
	// statements are served.
	Pool       func(user, database string) *Pool
	MaxBytes   int64         // maximum memory in bytes for what clients have sent, beyond freeMemory each
	MaxLarge   int64         // maximum memory in bytes for larger statements, which are read in chunks
	RetryAfter time.Duration // sent to clients refused for lack of capacity; 0: none
	Ready      func() bool   // answer to a readiness probe (the empty query) after Ready; must not block
	OnEmpty    func()        // called when no connection is open or being accepted; may be nil
}

// Server accepts and serves client connections.
type Server struct {
	cfg             Config
	x               Exchange
	ready           chan struct{}
	statementBudget *byteBudget
	large           *largeMemory

	retryAfterNanos atomic.Int64 // retryAfter in nanoseconds, as set by Config.RetryAfter and settings updates

	group       errgroup.Group // of sessions
	accepting   atomic.Int32   // running calls of Accept
	leaveQueued atomic.Bool    // set by SetLeaveQueued

	mu              sync.Mutex
	handOver        HandOver // nil: connections are closed, not handed over
	sessions        map[*session]struct{}
	closing         int                 // number of sessions that are closing
	keys            map[pg.Key]*session // general SQL sessions by the key that a cancel request carries
	draining        bool
	evictionStopped chan struct{} // closed when idle connections are no longer evicted
	stopOnce        sync.Once
}

// New returns a server that submits requests to x.
func New(cfg Config, x Exchange) *Server {
	s := &Server{cfg: cfg, x: x, ready: make(chan struct{}), evictionStopped: make(chan struct{}), statementBudget: &byteBudget{left: cfg.MaxBytes},
		large:    newLargeMemory(cfg.MaxLarge, cfg.Counters),
		sessions: map[*session]struct{}{}, keys: map[pg.Key]*session{}}
	s.SetRetryAfter(cfg.RetryAfter)
	return s
}

// SetRetryAfter sets the retryAfter of clients that are refused for lack of capacity; 0 means none is sent.
func (s *Server) SetRetryAfter(retryAfter time.Duration) { s.retryAfterNanos.Store(int64(retryAfter)) }

func (s *Server) retryAfter() time.Duration { return time.Duration(s.retryAfterNanos.Load()) }

// SetMaxLarge sets how many bytes of large statements are held at a time.
func (s *Server) SetMaxLarge(large int64) { s.large.resize(large) }

// SetReady enables answers to the empty query, which the load balancer uses as its readiness probe. It must be
// called once.
func (s *Server) SetReady() { close(s.ready) }

// Run evicts idle sessions until the context ends, which also ends all sessions, and waits for them.
func (s *Server) Run(ctx context.Context) error {
	defer s.group.Wait()
	s.sweep(ctx)
	<-ctx.Done()
	return nil
}

// SetLeaveQueued sets whether connections that are queued at a listener when its deadline passes are left to another
// process that listens on the same address. Otherwise they are accepted.
func (s *Server) SetLeaveQueued(leave bool) { s.leaveQueued.Store(leave) }

// Accept accepts clients until the listener is closed, or until its deadline has passed and no connection is queued
// there. After SetLeaveQueued(true) it leaves those queued, and returns. It may then be called again. The end of the
// context ends the sessions, and past the deadline also Accept.
func (s *Server) Accept(ctx context.Context, l net.Listener) {
	s.accepting.Add(1)
	defer func() {
		s.accepting.Add(-1)
		s.notifyIfEmpty()
	}()
	failures := 0 // in a row
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && failures > 0 && failures < maxAcceptFailures && extend(l):
			failures++
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && failures == 0 && s.acceptsQueued(ctx, l) && extend(l):
			continue // the process may have been stalled since before the deadline
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil: // no descriptor left, or the client disconnected before the accept
			failures++
			s.cfg.Counters.AcceptErrors.Add(1)
			s.cfg.Log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptRetryPause)
			continue
		}
		failures = 0
		s.cfg.Counters.Clients.Add(1)
		c := s.newSession(conn)
		admitted, tracked := s.add(c)
		if !tracked { // bounds the connections being closed, so that accepting goes on
			s.cfg.Counters.ClientsDropped.Add(1)
			s.logEnd("dropped: too many connections are closing", c)
			conn.Close()
			continue
		}
		serve := func() { c.serve(ctx) }
		if !admitted {
			s.cfg.Counters.ClientsRefused.Add(1)
			s.logEnd("rejected: connection limit reached", c)
			serve = c.reject
		}
		s.startSession(c, serve)
	}
}

// acceptsQueued reports whether connections are queued at a listener and this process is to accept them.
func (s *Server) acceptsQueued(ctx context.Context, l net.Listener) bool {
	c, ok := l.(syscall.Conn)
	return ok && ctx.Err() == nil && !s.leaveQueued.Load() && socket.AcceptPending(c)
}

// extend moves the deadline of a listener by a few milliseconds, as queued connections could not be accepted
// before it.
func extend(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(2*acceptRetryPause)) == nil
}

// Adopt continues an idle connection whose startup was done by another process. idle is how long the
// connection was idle there; it counts for eviction here, as otherwise a server at its connection limit would
// reject new clients.
func (s *Server) Adopt(ctx context.Context, conn *net.TCPConn, user string, idle time.Duration) {
	s.cfg.Counters.ClientsAdopted.Add(1)
	c := s.newSession(conn)
	c.user, c.startupDone, c.commandSeen, c.adopted = user, true, true, true
	c.idleSince -= idle
	s.mu.Lock()
	s.sessions[c] = struct{}{}
	s.cfg.Counters.ClientsOpen.Add(1)
	if s.draining {
		c.drain(s.handOver != nil)
	}
	s.mu.Unlock()
	s.startSession(c, func() { c.serve(ctx) })
}

func (s *Server) newSession(conn net.Conn) *session {
	now := s.cfg.Clock.Now()
	c := &session{s: s, conn: conn.(*net.TCPConn), pending: newCommandQueue(), disconnected: make(chan struct{}), acceptedAt: now, idleSince: now}
	c.memory.budget = s.statementBudget
	c.in = bufio.NewReaderSize(progressConn{c}, 4<<10)
	return c
}

func (s *Server) startSession(c *session, serve func()) {
	s.group.Go(func() error {
		defer s.remove(c)
		s.recoverPanic(serve)
		return nil
	})
}

// Connections counts the connections, including those that may just be accepted.
func (s *Server) Connections() service.Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := service.Connections{All: len(s.sessions) + int(s.accepting.Load())}
	for c := range s.sessions {
		if c.awaitsAnswer() {
			out.Waiting++
		}
		if c.sending.Load() {
			out.Sending++
		}
	}
	return out
}

// notifyIfEmpty calls OnEmpty if no connection is open or being accepted.
func (s *Server) notifyIfEmpty() {
	s.mu.Lock()
	held := len(s.sessions) + int(s.accepting.Load())
	s.mu.Unlock()
	if s.cfg.OnEmpty != nil && held == 0 {
		s.cfg.OnEmpty()
	}
}

// recoverPanic recovers a panic, so that a fault in one connection does not end the process.
func (s *Server) recoverPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			s.cfg.Counters.Panics.Add(1)
			s.cfg.Log.Error("client connection panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// add registers a session. tracked reports whether it may exist at all, admitted whether it may be served; a
// session that is tracked but not admitted is to be rejected with an error.
func (s *Server) add(c *session) (admitted, tracked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted = len(s.sessions)-s.closing < s.cfg.MaxConns || s.evictIdle()
	if len(s.sessions) >= s.cfg.MaxConns+maxClosing {
		return false, false
	}
	s.sessions[c] = struct{}{}
	s.cfg.Counters.ClientsOpen.Add(1)
	if !admitted {
		c.closing = true
		s.closing++
	} else if s.draining {
		c.drain(s.handOver != nil)
	}
	return admitted, true
}

// sweep evicts idle sessions while there are many sessions. Clients share a limited number of descriptors:
// those that send one request and keep their connection would prevent others from connecting long before this
// server reaches its connection limit.
func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.evictionStopped:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		s.evictSurplus()
		s.mu.Unlock()
	}
}

// idleSession is a session with no open requests, and since when.
type idleSession struct {
	c     *session
	since time.Duration
}

// idleSessions returns the sessions that may be evicted: silent sessions, which have not sent a command yet, and
// idle sessions, which have sent commands and have none open. Each list starts with the session that has been
// in its state for longest. pressed reports that so many connections are open that new clients may be unable
// to connect.
func (s *Server) idleSessions() (silent, idle []idleSession, pressed bool) {
	now, count, active := s.cfg.Clock.Now(), 0, 0
	for c := range s.sessions {
		if c.closing {
			continue
		}
		count++
		since, commandSeen, ok := c.idleState()
		if commandSeen {
			active++
		}
		switch {
		case !ok:
		case commandSeen:
			idle = append(idle, idleSession{c, since})
		case now-since >= silentTimeout:
			silent = append(silent, idleSession{c, since})
		}
	}
	pressed = s.cfg.MaxActive > 0 && float64(active) >= scarceFraction*float64(s.cfg.MaxActive) ||
		float64(count) >= scarceFraction*float64(s.cfg.MaxConns)
	limit := idleTimeout
	if pressed {
		limit = shortIdleTimeout
	}
	idle = slices.DeleteFunc(idle, func(i idleSession) bool { return now-i.since < limit })
	for _, list := range [][]idleSession{silent, idle} {
		slices.SortFunc(list, func(a, b idleSession) int { return cmp.Compare(a.since, b.since) })
	}
	return silent, idle, pressed
}

// evictSurplus evicts idle sessions until KeepIdle sessions remain.
func (s *Server) evictSurplus() {
	_, idle, pressed := s.idleSessions()
	surplus := len(s.sessions) - s.closing - s.cfg.KeepIdle
	for _, i := range idle[:max(0, min(surplus, len(idle)))] {
		if !s.lastAnswerReceived(i) {
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
// longest, and passes over sessions whose client has not received its last answer if there are others.
// Otherwise clients that send one request and keep their connection, or connect and send nothing, would lock
// out all others. It returns false if no session can be evicted.
func (s *Server) evictIdle() bool {
	silent, idle, _ := s.idleSessions()
	candidates := append(silent, idle...)
	if len(candidates) == 0 {
		return false
	}
	first := max(0, slices.IndexFunc(candidates, func(i idleSession) bool { return s.lastAnswerReceived(i) }))
	s.evict(candidates[first].c)
	return true
}

// lastAnswerReceived reports whether a client has received its last answer, or the time for that has passed.
func (s *Server) lastAnswerReceived(i idleSession) bool {
	return s.cfg.Clock.Now()-i.since >= lastAnswerTimeout || socket.Unacknowledged(i.c.conn) == 0
}

// logEnd logs why the gateway ends a client's connection.
func (s *Server) logEnd(reason string, c *session) {
	s.cfg.Log.Info("connection ended", zap.String("why", reason), zap.Stringer("client", c.conn.RemoteAddr()),
		zap.Duration("age", s.cfg.Clock.Now()-c.acceptedAt), zap.Int64("clients", s.cfg.Counters.ClientsOpen.Get()))
}

// evict drains a session and marks it as closing. The caller holds s.mu.
func (s *Server) evict(c *session) {
	s.cfg.Counters.ClientsEvicted.Add(1)
	s.logEnd("evicted: idle", c)
	c.closing = true
	s.closing++
	c.drain(s.handOver != nil)
}

// beginClosing marks a session as closing, so that it no longer counts against MaxConns. It returns false if
// too many sessions are closing.
func (s *Server) beginClosing(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		if s.closing >= maxClosing {
			return false
		}
		c.closing = true
		s.closing++
	}
	return true
}

func (s *Server) remove(c *session) {
	c.conn.Close()
	defer s.notifyIfEmpty()
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

// StopEviction stops the eviction of idle connections: their clients could not open new ones.
func (s *Server) StopEviction() { s.stopOnce.Do(func() { close(s.evictionStopped) }) }

// HandOver hands a connection with no open requests over to another process. idle is how long it has been idle.
type HandOver func(conn *net.TCPConn, user string, idle time.Duration) error

// Drain ends every session once it is between requests, and does so for new sessions too, until Resume is
// called. If pass is not nil, connections are handed over instead of closed.
func (s *Server) Drain(pass HandOver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = pass
	if s.draining {
		return
	}
	s.draining = true
	for c := range s.sessions {
		c.drain(s.handOver != nil)
	}
}

// Resume ends a drain. Sessions that Drain has ended already stay ended.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.handOver = false, nil
	for c := range s.sessions {
		if !c.closing {
			c.resume()
		}
	}
}

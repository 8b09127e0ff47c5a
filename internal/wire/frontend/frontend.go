// Package frontend is the client side: it listens, speaks PostgreSQL's protocol to clients, hands their requests to
// the exchange and writes the answers.
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
	// startWithin is how long a client may take to say what it wants, and then to begin its first command.
	startWithin = 2 * time.Second
	// messageWithin is how long a message that has begun may bring nothing more; headWithin is how long its head may take to
	// come, and a body longestWithin and a second more for each leastRate bytes. A client may spend 2 s on a head.
	messageWithin = 2500 * time.Millisecond
	headWithin    = 5 * time.Second
	longestWithin = 10 * time.Second
	leastRate     = 32 << 10
	writeTimeout  = 5 * time.Second // for a client to take an answer
	// overflow is how many connections over the limit may be closing: told that there is no room, made to
	// give way, or cut off for what they sent.
	overflow  = 24
	lingerFor = 500 * time.Millisecond // for a client to read why it is cut off
	// takeWithin is how long a client may take for its last answer, from when that was written: as long as clients wait for one.
	takeWithin = 3 * time.Second
	// unsentPause is between two looks whether a client has taken all that was written.
	unsentPause = 2 * time.Millisecond
	// mayClose is how long a connection may have nothing open before it can be closed; soonClose is the same while the
	// clients' share of the descriptors is nearly full: until one of theirs is closed, others can't even come to ask.
	mayClose    = 2 * time.Second
	soonClose   = 250 * time.Millisecond
	nearly      = 0.75                   // of the clients' share, or of the places: from there on it is nearly full
	silentFor   = 100 * time.Millisecond // a client that says nothing for longer gives way to one that may
	largeBody   = 2 << 10                // bodies over this count against MaxBytes
	acceptPause = 5 * time.Millisecond   // after a call that failed
	// acceptFailures in a row are the most for which a listener's deadline is put off.
	acceptFailures = 50
	sweepPause     = 100 * time.Millisecond // between two looks at who has nothing open
)

// Exchange takes requests.
type Exchange interface {
	Submit(*exchange.Request)
	CancelRequest(*exchange.Request)
}

// Config is what a Server needs to know.
type Config struct {
	Clock      exchange.Clock
	Log        *zap.Logger
	Counters   *counters.Set
	MaxConns   int                               // clients at a time
	KeepIdle   int                               // of them that may stay for long with nothing open
	MaxActive  int                               // connections that clients with requests can hold among them; 0: no such limit
	Pool       func(user, database string) *Pool // of general sessions; nil, or nil of it: only the platform's statements are taken
	MaxBytes   int64                             // of statements held at a time that are taken whole
	MaxLarge   int64                             // of larger ones, that are taken in pieces
	RetryAfter time.Duration                     // when a client that found no room may try again; 0: no advice
	Ready      func() bool                       // once ready: whether the empty query is answered with yes; must not wait
	OnEmpty    func()                            // the last connection has ended, and none is accepted; may be nil
}

// Server serves clients.
type Server struct {
	cfg   Config
	x     Exchange
	ready chan struct{}
	bytes *allowance
	large *memory

	retry atomic.Int64 // nanoseconds: Config.RetryAfter, or what Retune said

	group     errgroup.Group // of sessions
	accepting atomic.Int32   // calls of Accept
	leaves    atomic.Bool    // what waits at a listener's deadline is another process's

	mu       sync.Mutex
	pass     HandOver // nil: connections are ended, not passed on
	sessions map[*session]struct{}
	closing  int                 // of them, closing
	keys     map[pg.Key]*session // of general sessions: what a cancel request names
	draining bool
	ending   chan struct{} // closed when no new clients are to be expected
	endOnce  sync.Once
}

// New makes a server.
func New(cfg Config, x Exchange) *Server {
	s := &Server{cfg: cfg, x: x, ready: make(chan struct{}), ending: make(chan struct{}), bytes: &allowance{left: cfg.MaxBytes},
		large:    newMemory(cfg.MaxLarge, cfg.Counters),
		sessions: map[*session]struct{}{}, keys: map[pg.Key]*session{}}
	s.SetRetryAfter(cfg.RetryAfter)
	return s
}

// SetRetryAfter changes when a client that found no room may try again; 0: no advice.
func (s *Server) SetRetryAfter(retryAfter time.Duration) { s.retry.Store(int64(retryAfter)) }

func (s *Server) retryAfter() time.Duration { return time.Duration(s.retry.Load()) }

// SetMaxLarge changes how many bytes of large statements are held at a time.
func (s *Server) SetMaxLarge(large int64) { s.large.resize(large) }

// SetReady lets the empty query be answered: the front takes the gateway in when it is.
func (s *Server) SetReady() { close(s.ready) }

// Run looks after the sessions until the context ends, which ends them, and waits for their end.
func (s *Server) Run(ctx context.Context) error {
	defer s.group.Wait()
	s.sweep(ctx)
	<-ctx.Done()
	return nil
}

// SetLeaveQueued says whether connections that wait at a listener when its deadline passes are left there, for another process that listens at
// the same address. They are accepted otherwise.
func (s *Server) SetLeaveQueued(leaves bool) { s.leaves.Store(leaves) }

// Accept accepts clients until the listener is closed, or until its deadline has passed and, without Leave, nothing waits there: then
// it may be accepted from again. The context's end ends the sessions, and the accepting of what waits past the deadline.
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
			continue // the process may have been held up since before the deadline
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil: // no descriptor left, or the client went before it was accepted
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
		if !held { // nothing that clients do may keep others from being accepted
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

// takes says whether connections wait at a listener that are this process's to accept.
func (s *Server) takes(ctx context.Context, l net.Listener) bool {
	c, ok := l.(syscall.Conn)
	return ok && ctx.Err() == nil && !s.leaves.Load() && socket.Waiting(c)
}

// extend gives a listener a moment more: what waits in its queue could not be accepted by its deadline.
func extend(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(2*acceptPause)) == nil
}

// Adopt goes on with a connection on which another process has done the startup, and on which nothing is open. It has idled
// for so long there: who has idled long enough gives way here as there, or a server at its limit rejects others.
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

// Connections is how many connections there are, with those that may just be accepted, and how many of them wait for an answer.
func (s *Server) Connections() (all, waiting int) {
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
	if s.cfg.OnEmpty != nil && held == 0 {
		s.cfg.OnEmpty()
	}
}

// guard keeps a panic in one connection from ending the process.
func (s *Server) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			s.cfg.Counters.Panics.Add(1)
			s.cfg.Log.Error("client connection panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// add takes a session in; held says whether it may stay for a moment, room whether it may be served.
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

// sweep ends sessions that have had nothing open for long, where they are many. Clients may have no more than a part of
// the descriptors among them: those that ask once and hold their connection keep others from ever getting one, long
// before this side is full.
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

// idler is a session with nothing open, and since when.
type idler struct {
	c     *session
	since time.Duration
}

// idlers gives the sessions that may be ended: the silent, which have said nothing yet, and the idle, which have asked
// and have nothing open, each with the one at it for longest first. pressed says that clients' connections are so many
// that newcomers may find no place.
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
	pressed = s.cfg.MaxActive > 0 && float64(asked) >= nearly*float64(s.cfg.MaxActive) ||
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

// evictSurplus ends sessions that have had nothing open for long, down to those that may stay.
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

// evictIdle ends the session that can best be spared in a server at its connection limit: of clients that have said nothing yet the one silent
// for longest, as those who mean it write at once, else the one that has had nothing open for longest. Clients that ask
// once and hold their connection, or connect and say nothing, would otherwise keep all others out.
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

// taken says that a client has taken its last answer, or has had its time for that.
func (s *Server) taken(i idler) bool {
	return s.cfg.Clock.Now()-i.since >= takeWithin || socket.Unacknowledged(i.c.conn) == 0
}

// note logs why a client's connection ends that the client did not end.
func (s *Server) note(why string, c *session) {
	s.cfg.Log.Info("connection ended", zap.String("why", why), zap.Stringer("client", c.conn.RemoteAddr()),
		zap.Duration("age", s.cfg.Clock.Now()-c.accepted), zap.Int64("clients", s.cfg.Counters.ClientsOpen.Get()))
}

func (s *Server) evict(c *session) {
	s.cfg.Counters.ClientsEvicted.Add(1)
	s.note("gives way: it had nothing open", c)
	c.closing = true
	s.closing++
	c.drain(s.pass != nil)
}

// beginClosing says that a session is closing and counts no longer; false: too many are.
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

// StopEviction lets clients keep their connections from now on, idle or not: they would get no new ones.
func (s *Server) StopEviction() { s.endOnce.Do(func() { close(s.ending) }) }

// HandOver gives a connection on which nothing is open, and nothing has been for so long, to another process.
type HandOver func(conn *net.TCPConn, user string, idle time.Duration) error

// Drain ends every session as soon as it is between requests, and those that come, until Resume. With pass, connections are
// passed on in place of being ended.
func (s *Server) Drain(pass HandOver) {
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

// Resume lets sessions stay again. Those that have been ended by Drain already are gone.
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

// allowance bounds the bytes of large statements, so that they always fit into memory.
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

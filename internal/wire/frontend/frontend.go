// Package frontend is the client side: it listens, speaks PostgreSQL's protocol to clients, hands their requests to
// the exchange and writes the answers.
package frontend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

const (
	startupTimeout = 10 * time.Second // for a client to say what it wants
	writeTimeout   = 5 * time.Second  // for a client to take an answer
	overflow       = 16               // connections over the limit that are being told so
	overflowLinger = time.Second
	largeBody      = 8 << 10 // bodies over this count against MaxBytes
	acceptPause    = 5 * time.Millisecond
)

// Exchange takes requests.
type Exchange interface {
	Submit(*exchange.Request)
	Gone(*exchange.Request)
}

// Config is what a Server needs to know.
type Config struct {
	Clock    exchange.Clock
	Log      *zap.Logger
	Counters *counters.Set
	MaxConns int           // clients at a time
	MaxBytes int64         // of large statements held at a time
	ComeBack time.Duration // when a client that found no room may try again; 0: no advice
}

// Server serves clients.
type Server struct {
	cfg   Config
	x     Exchange
	ready chan struct{}
	bytes *budget

	mu       sync.Mutex
	sessions map[*session]struct{}
	draining bool
}

// New makes a server.
func New(cfg Config, x Exchange) *Server {
	return &Server{cfg: cfg, x: x, ready: make(chan struct{}), bytes: &budget{left: cfg.MaxBytes},
		sessions: map[*session]struct{}{}}
}

// Ready lets the empty query be answered: the front takes the gateway in when it is.
func (s *Server) Ready() { close(s.ready) }

// Serve accepts clients until the listener is closed and waits until every session has ended. The context's end
// ends the sessions.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	sessions, ctx := errgroup.WithContext(ctx)
	defer sessions.Wait()
	over := make(chan struct{}, overflow)
	for {
		n, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return sessions.Wait()
		case err != nil: // no descriptor left, or the client went before it was accepted
			s.cfg.Log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		s.cfg.Counters.Clients.Add(1)
		c := &session{s: s, conn: n, in: bufio.NewReaderSize(n, 4<<10), commands: make(chan command, 8),
			closed: make(chan struct{})}
		if s.add(c) {
			sessions.Go(func() error {
				defer s.remove(c)
				s.guard(func() { c.serve(ctx) })
				return nil
			})
			continue
		}
		s.cfg.Counters.ClientsOver.Add(1)
		over <- struct{}{} // when even these are too many, clients wait to be accepted
		sessions.Go(func() error {
			defer func() { <-over }()
			s.guard(c.turnAway)
			return nil
		})
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

func (s *Server) add(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.cfg.MaxConns {
		return false
	}
	s.sessions[c] = struct{}{}
	s.cfg.Counters.ClientsOpen.Add(1)
	if s.draining {
		c.drain()
	}
	return true
}

func (s *Server) remove(c *session) {
	c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
	s.cfg.Counters.ClientsOpen.Add(-1)
}

// Drain ends every session as soon as it is between requests.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.sessions {
		c.drain()
	}
}

// budget bounds the bytes of large statements, so that they always fit into memory.
type budget struct {
	mu   sync.Mutex
	left int64
}

func (b *budget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(n) > b.left {
		return false
	}
	b.left -= int64(n)
	return true
}

func (b *budget) give(n int) {
	b.mu.Lock()
	b.left += int64(n)
	b.mu.Unlock()
}

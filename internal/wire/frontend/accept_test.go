package frontend

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// failingListener is a listener whose next calls of Accept fail.
type failingListener struct {
	*net.TCPListener
	failures atomic.Int64
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENFILE}
	}
	return f.TCPListener.Accept()
}

// newAcceptor returns a server with limits that the tests do not reach.
func newAcceptor(x Exchange) *Server {
	return New(Config{Clock: exchange.NewClock(), Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: 100, KeepIdle: 50,
		MaxBytes: 1 << 20, MaxLarge: 1 << 20, Ready: func() bool { return true }}, x)
}

// startWithQueuedClient starts a server and connects a client that sends a readiness probe. Its connection
// stays queued at the listener until the test calls Accept.
func startWithQueuedClient(t *testing.T, l net.Listener) (s *Server, ctx context.Context, n net.Conn) {
	t.Helper()
	f := &fakeExchange{make(chan *exchange.Request, 100), make(chan *exchange.Request, 100)}
	s = newAcceptor(f)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	s.SetReady()
	t.Cleanup(func() { l.Close(); stop(); <-done })
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	_ = n.SetDeadline(time.Now().Add(testTimeout))
	_, _ = n.Write(pg.AppendQuery(pg.AppendStartup(nil, "backend", "store"), ""))
	return s, ctx, n
}

// A series of failed calls of accept loses no queued connection, even if the listener's deadline passes
// meanwhile.
func TestAcceptTransientErrors(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"in service": time.Hour, "at shutdown": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &failingListener{TCPListener: tcp.(*net.TCPListener)}
			l.failures.Store(10)
			s, ctx, n := startWithQueuedClient(t, tcp)
			_ = l.SetDeadline(time.Now().Add(deadline))
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				s.Accept(ctx, l)
				l.Close() // as the process does at its shutdown
			}()
			if _, err := n.Read(make([]byte, 1)); err != nil {
				t.Errorf("queued connection: %v", err)
			}
			if s.cfg.Counters.AcceptErrors.Get() != 10 {
				t.Errorf("%d accept errors counted, want 10", s.cfg.Counters.AcceptErrors.Get())
			}
			l.Close()
			<-accepted
		})
	}
}

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

// failing is a listener whose next calls of accept fail.
type failing struct {
	*net.TCPListener
	left atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENFILE}
	}
	return f.TCPListener.Accept()
}

// newAcceptor is a server that is ready for any client.
func newAcceptor(x Exchange) *Server {
	return New(Config{Clock: exchange.NewClock(), Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: 100, KeepIdle: 50,
		MaxBytes: 1 << 20, MaxLarge: 1 << 20, Ready: func() bool { return true }}, x)
}

// waiting makes a ready server, and a client at its listener that asks whether it serves and has not been accepted yet.
func waiting(t *testing.T, l net.Listener) (s *Server, ctx context.Context, n net.Conn) {
	t.Helper()
	f := &fake{make(chan *exchange.Request, 100), make(chan *exchange.Request, 100)}
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
	_ = n.SetDeadline(time.Now().Add(patience))
	_, _ = n.Write(pg.AppendQuery(pg.AppendStartup(nil, "backend", "store"), ""))
	return s, ctx, n
}

// A series of calls of accept that fail costs no connection that waits, also where the listener's deadline passes meanwhile.
func TestAcceptThatFailsForAMoment(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"in service": time.Hour, "at the end": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &failing{TCPListener: tcp.(*net.TCPListener)}
			l.left.Store(10)
			s, ctx, n := waiting(t, tcp)
			_ = l.SetDeadline(time.Now().Add(deadline))
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				s.Accept(ctx, l)
				l.Close() // as the process does at its end
			}()
			if _, err := n.Read(make([]byte, 1)); err != nil {
				t.Errorf("a connection that waited: %v", err)
			}
			if s.cfg.Counters.AcceptErrors.Get() != 10 {
				t.Errorf("%d errors are counted", s.cfg.Counters.AcceptErrors.Get())
			}
			l.Close()
			<-accepted
		})
	}
}

package frontend

import (
	"context"
	"net"
	"testing"
	"time"
)

// A process that stalls past the deadline of its listener still accepts the connections queued there.
func TestAcceptAfterStallPastDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, ctx, n := startWithQueuedClient(t, l)
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond)) // as the process does at its shutdown
	time.Sleep(40 * time.Millisecond)                                           // the process stalls
	go func() {
		s.Accept(ctx, l)
		l.Close()
	}()
	if _, err := n.Read(make([]byte, 1)); err != nil {
		t.Errorf("queued connection with a request: %v", err)
	}
}

// refillingListener is a listener at which another connection is queued after each accept.
type refillingListener struct {
	*net.TCPListener
	t        *testing.T
	accepted func()
}

func (r *refillingListener) dial() {
	n, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		r.t.Error(err)
		return
	}
	r.t.Cleanup(func() { n.Close() })
}

func (r *refillingListener) Accept() (net.Conn, error) {
	n, err := r.TCPListener.Accept()
	if err == nil {
		r.dial()
		r.accepted()
	}
	return n, err
}

// Past the deadline of its listener, Accept ends with the context, or at once if queued connections are left
// to another process.
func TestAcceptPastDeadlineEnds(t *testing.T) {
	for _, leave := range []bool{false, true} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer tcp.Close()
		s := newAcceptor(&fakeExchange{})
		s.SetLeaveQueued(leave)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		accepted := 0
		l := &refillingListener{TCPListener: tcp.(*net.TCPListener), t: t}
		l.accepted = func() {
			if accepted++; accepted == 20 {
				stop()
			}
		}
		l.dial()
		_ = l.SetDeadline(time.Now().Add(-time.Second))
		done := make(chan struct{})
		go func() { defer close(done); s.Accept(ctx, l) }()
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Fatal("Accept does not return")
		}
		if leave && accepted != 0 || !leave && accepted < 20 {
			t.Errorf("leave queued %t: %d accepted", leave, accepted)
		}
		l.Close()
		stop()
		_ = s.group.Wait()
	}
}

package frontend

import (
	"context"
	"net"
	"testing"
	"time"
)

func TestAStallAtTheEndOfAcceptingLosesNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, ctx, n := waiting(t, l)
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond)) // as the process does at its end
	time.Sleep(40 * time.Millisecond)                                           // it is held up
	go func() {
		s.Accept(ctx, l)
		l.Close()
	}()
	if _, err := n.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection that this machine had accepted, with a request on it: %v", err)
	}
}

// refilled is a listener at which a further connection waits after each that is accepted.
type refilled struct {
	*net.TCPListener
	t        *testing.T
	accepted func()
}

func (r *refilled) dial() {
	n, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		r.t.Error(err)
		return
	}
	r.t.Cleanup(func() { n.Close() })
}

func (r *refilled) Accept() (net.Conn, error) {
	n, err := r.TCPListener.Accept()
	if err == nil {
		r.dial()
		r.accepted()
	}
	return n, err
}

func TestAcceptingPastTheDeadlineEndsWithTheContextOrWhereOthersAcceptWhatWaits(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer tcp.Close()
		s := newAcceptor(&fake{})
		s.SetLeaveQueued(leaves)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		accepted := 0
		l := &refilled{TCPListener: tcp.(*net.TCPListener), t: t}
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
		case <-time.After(patience):
			t.Fatal("it goes on accepting")
		}
		if leaves && accepted != 0 || !leaves && accepted < 20 {
			t.Errorf("leaves %t: %d accepted", leaves, accepted)
		}
		l.Close()
		stop()
		_ = s.group.Wait()
	}
}

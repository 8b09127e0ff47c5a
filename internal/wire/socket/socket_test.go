package socket

import (
	"net"
	"testing"
	"time"
)

func TestEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want bool
	}{
		"it rests":                             {nil, false},
		"it is closed":                         {func(c *net.TCPConn) { _ = c.Close() }, true},
		"it is reset":                          {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
		"something lies unread before its end": {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")); _ = c.Close() }, false},
	} {
		n, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		other, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if c.end != nil {
			c.end(other.(*net.TCPConn))
			for NothingReceived(n.(*net.TCPConn)) {
				time.Sleep(time.Millisecond)
			}
		}
		if got := Ended(n.(*net.TCPConn)); got != c.want {
			t.Errorf("%s: ended %t", name, got)
		}
		n.Close()
		other.Close()
	}
}

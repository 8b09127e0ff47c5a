package succession

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"yokemast/internal/wire/socket"
)

// waiting connects so many clients, who say something at once, and are not accepted yet.
func waiting(t *testing.T, address string, n int) []net.Conn {
	t.Helper()
	var out []net.Conn
	for range n {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := c.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
		out = append(out, c)
	}
	return out
}

// answer accepts what is in the queue and says back what it reads, until the listener is closed.
func answer(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.CopyN(c, c, 1)
		}()
	}
}

// turnedBack counts the clients that get no answer.
func turnedBack(clients []net.Conn) (n int) {
	for _, c := range clients {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			n++
		}
	}
	return n
}

// The way that was taken and the one that was not, over upgrades under which clients connect all the time. A process that ends
// closes the socket that it listens on. If its heir has the same one, who waits in the queue is the heir's; if the heir opened one
// of its own beside it, by SO_REUSEPORT, who waits in the old one's queue is turned back unheard.
func TestWhoWaitsWhileTheOldProcessEnds(t *testing.T) {
	const upgrades, clients = 100, 100
	open := func(address string) *net.TCPListener {
		l, err := (&net.ListenConfig{Control: socket.ReusePort}).Listen(context.Background(), "tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		return l.(*net.TCPListener)
	}
	handed := func(old *net.TCPListener) *net.TCPListener {
		f, err := old.File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		l, err := net.FileListener(f)
		if err != nil {
			t.Fatal(err)
		}
		return l.(*net.TCPListener)
	}
	lost := map[bool]int{}
	for _, same := range []bool{true, false} {
		for range upgrades {
			old := open("127.0.0.1:0")
			var heir *net.TCPListener
			if same {
				heir = handed(old)
			} else {
				heir = open(old.Addr().String())
			}
			all := waiting(t, old.Addr().String(), clients)
			_ = old.Close()
			go answer(heir)
			lost[same] += turnedBack(all)
			_ = heir.Close()
			for _, c := range all {
				_ = c.Close()
			}
		}
	}
	t.Logf("figure turned_back_one_socket=%d turned_back_two_sockets=%d of %d clients over %d upgrades", lost[true], lost[false],
		upgrades*clients, upgrades)
	if lost[true] != 0 {
		t.Errorf("%d clients are turned back though the socket is handed over", lost[true])
	}
	if lost[false] == 0 {
		t.Error("no client is turned back by a second socket: the test shows nothing")
	}
}

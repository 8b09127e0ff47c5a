package hotrestart

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"yokemast/internal/wire/socket"
)

// connectUnaccepted connects n clients that send one byte at once and are not accepted yet.
func connectUnaccepted(t *testing.T, address string, n int) []net.Conn {
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

// echo accepts queued connections and echoes one byte on each, until the listener is closed.
func echo(l net.Listener) {
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

// countUnanswered returns the number of clients that get no answer.
func countUnanswered(clients []net.Conn) (n int) {
	for _, c := range clients {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			n++
		}
	}
	return n
}

// Compares handing over the listening socket with opening a second one by SO_REUSEPORT, while clients connect during hot
// restarts. The old process closes its descriptor when it exits. If the new process has the same socket, it accepts the
// queued connections; with a socket of its own, connections in the queue of the old socket are reset.
func TestQueuedClientsSurviveHotRestart(t *testing.T) {
	const restarts, clients = 100, 100
	open := func(address string) *net.TCPListener {
		l, err := (&net.ListenConfig{Control: socket.ReusePort}).Listen(context.Background(), "tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		return l.(*net.TCPListener)
	}
	duplicate := func(oldListener *net.TCPListener) *net.TCPListener {
		f, err := oldListener.File()
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
		for range restarts {
			oldListener := open("127.0.0.1:0")
			var newListener *net.TCPListener
			if same {
				newListener = duplicate(oldListener)
			} else {
				newListener = open(oldListener.Addr().String())
			}
			all := connectUnaccepted(t, oldListener.Addr().String(), clients)
			_ = oldListener.Close()
			go echo(newListener)
			lost[same] += countUnanswered(all)
			_ = newListener.Close()
			for _, c := range all {
				_ = c.Close()
			}
		}
	}
	t.Logf("figure turned_back_one_socket=%d turned_back_two_sockets=%d of %d clients over %d upgrades", lost[true], lost[false],
		restarts*clients, restarts)
	if lost[true] != 0 {
		t.Errorf("%d clients got no answer though the socket is handed over", lost[true])
	}
	if lost[false] == 0 {
		t.Error("every client is answered with a second socket: the comparison shows nothing")
	}
}

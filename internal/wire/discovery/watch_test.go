package discovery

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

// shallow listens on loopback with room for hardly a connection that waits to be accepted: of those that come then, none is
// answered, as when a machine is away.
func shallow(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "shallow")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// answerOne accepts a connection and answers its one call with a list, or with nothing.
func answerOne(t *testing.T, l net.Listener, revision int) {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return // given up meanwhile
	}
	list := `{"revision":` + strconv.Itoa(revision) + `,"complete":true,"members":[]}`
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(list)) + "\r\n\r\n" + list))
}

// A connection that is not answered must not take up the time of the whole call: the agent may be back the next moment.
func TestAConnectionThatDoesNotComeUp(t *testing.T) {
	l := shallow(t)
	w := NewWatcher(l.Addr().String(), 1)
	got := make(chan bool, 100)
	w.Log, w.Counters, w.OnFirstAnswer = zap.NewNop(), &counters.Set{}, func() {}
	w.Clock = exchange.NewClock()
	w.OnList = func(exchange.List) { got <- true }
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx, 0) }()
	defer func() { stop(); <-done }()
	answerOne(t, l, 1)
	<-got // from here on a call waits for 3 s for news
	// All room for connections is taken: a further one is not answered.
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	failed := func(n int64) time.Time {
		for end := time.Now().Add(20 * time.Second); w.Counters.ListErrors.Get() < n; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("it does not ask again")
			}
		}
		return time.Now()
	}
	first := failed(1) // of the call that still got a connection
	if took := failed(3).Sub(first); took > 3*time.Second {
		t.Errorf("two calls that got none took %s", took)
	}
}

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

// listenNoBacklog listens on loopback with a backlog of 0. Once a connection waits to be accepted, further
// ones are not answered, as if the machine were down.
func listenNoBacklog(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
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

// answerOne accepts a connection and answers its one call with an empty list of the given revision.
func answerOne(t *testing.T, l net.Listener, revision int) {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return // the call was canceled
	}
	list := `{"revision":` + strconv.Itoa(revision) + `,"complete":true,"members":[]}`
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(list)) + "\r\n\r\n" + list))
}

// A connection attempt that gets no response must not take up the time of the whole call, because the agent
// may be back at any moment.
func TestConnectTimeout(t *testing.T) {
	l := listenNoBacklog(t)
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
	<-got // from now on a call waits 3 s for a change
	// Fill the backlog, so that a further connection gets no response.
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	awaitFailures := func(n int64) time.Time {
		for end := time.Now().Add(20 * time.Second); w.Counters.ListErrors.Get() < n; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the watcher makes no further calls")
			}
		}
		return time.Now()
	}
	first := awaitFailures(1) // the call that still got a connection
	if took := awaitFailures(3).Sub(first); took > 3*time.Second {
		t.Errorf("two calls without a connection took %s", took)
	}
}

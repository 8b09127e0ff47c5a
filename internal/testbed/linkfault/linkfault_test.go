package linkfault

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

const (
	statement   = "SELECT content FROM kv WHERE name = 'a' /* id=1,c=view,d=480,cluster=1 */"
	maxTries    = 200 // connections within which a fault that affects some must occur once
	maxDelay    = 100 * time.Millisecond
	testTimeout = 10 * time.Second
)

// recorder records the events of a link.
type recorder struct {
	mu     sync.Mutex
	events []string
	sent   Sent
}

func (w *recorder) add(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event)
}

func (w *recorder) all() []string { w.mu.Lock(); defer w.mu.Unlock(); return slices.Clone(w.events) }

func start(t *testing.T, script func(int, string) []byte) (*Link, *hosts.Host, *recorder) {
	h, err := hosts.New("s-0", hosts.Follower, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Listener.Close() })
	w := &recorder{}
	l, err := New(h.Address, 1, Watcher{
		Sent:       func(s Sent) { w.add("sent " + s.Text); w.mu.Lock(); w.sent = s; w.mu.Unlock() },
		Delivering: func(a Answer) { w.add("delivering " + a.Text) },
		Delivered: func(a Answer) {
			if w.add("delivered " + a.Text); !a.Follower {
				t.Errorf("the answer does not name the host a follower")
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, h, w
}

// open starts a session over a link.
func open(t *testing.T, l *Link) net.Conn {
	c, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = c.Write(pg.AppendStartup(nil, "backend", "store"))
	welcome := pg.AppendStartupResponse(nil, pg.StartSession)
	if _, err := io.ReadFull(c, make([]byte, len(welcome))); err != nil {
		t.Fatal(err)
	}
	return c
}

// ask sends a query and reads a whole answer. It returns the bytes read, the size of the first read and the error that ended
// reading.
func ask(c net.Conn) (all []byte, first int, err error) {
	_, _ = c.Write(pg.AppendQuery(nil, statement))
	for buffer := make([]byte, 4<<10); !bytes.HasSuffix(all, pg.AppendReady(nil)); {
		n, err := c.Read(buffer)
		if all = append(all, buffer[:n]...); first == 0 {
			first = n
		}
		if err != nil {
			return all, first, err
		}
	}
	return all, first, nil
}

func TestWatcherSeesQueriesAndAnswers(t *testing.T) {
	l, _, w := start(t, nil)
	c := open(t, l)
	if _, _, err := ask(c); err != nil {
		t.Fatal(err)
	}
	want := []string{"sent " + statement, "delivering " + statement, "delivered " + statement}
	for end := time.Now().Add(testTimeout); !slices.Equal(w.all(), want); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("events %q", w.all())
		}
	}
	if !w.sent.Open() {
		t.Error("the connection counts as closed")
	}
	if c.(*net.TCPConn).CloseWrite(); w.sent.Open() {
		t.Error("a half-closed connection counts as open")
	}
}

func TestEachFaultOccurs(t *testing.T) {
	reset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
	type observed struct {
		answer []byte
		first  int
		err    error
		up     time.Duration // until the session was open
		asked  time.Duration // until the query was answered
		rested error         // error of a read on the idle connection
		again  error         // error of a second query
	}
	for kind, occurred := range map[Kind]func(observed) bool{
		DelaysQueries: func(s observed) bool { return s.asked >= maxDelay/2 },
		DelaysAnswers: func(s observed) bool { return s.up >= maxDelay/2 && s.asked >= maxDelay/2 },
		Pieces:        func(s observed) bool { return s.err == nil && s.first <= maxPiece },
		ResetsQuery:   func(s observed) bool { return reset(s.err) && len(s.answer) == 0 },
		ResetsAnswer:  func(s observed) bool { return reset(s.err) && len(s.answer) > 0 },
		ResetsLater:   func(s observed) bool { return reset(s.err) || reset(s.rested) },
		ClosesIdle:    func(s observed) bool { return s.err == nil && (s.rested == io.EOF || reset(s.rested)) },
		ForgetsIdle: func(s observed) bool {
			return s.err == nil && s.rested == nil && (reset(s.again) || isTimeout(s.again))
		},
		ComesUpLate: func(s observed) bool { return s.up >= maxDelay/4 },
		HalfCloses:  func(s observed) bool { return s.err == io.EOF },
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			l, _, _ := start(t, nil)
			l.Begin(Fault{Kind: kind, Max: maxDelay})
			for range maxTries {
				begun := time.Now()
				c := open(t, l)
				s := observed{up: time.Since(begun)}
				begun = time.Now()
				s.answer, s.first, s.err = ask(c)
				s.asked = time.Since(begun)
				if s.err == nil && (kind == ClosesIdle || kind == ResetsLater) {
					_ = c.SetReadDeadline(time.Now().Add(2 * maxDelay))
					_, s.rested = c.Read(make([]byte, 1))
				}
				if kind == ForgetsIdle {
					time.Sleep(2 * maxDelay)
					_ = c.SetDeadline(time.Now().Add(maxDelay))
					_, _, s.again = ask(c)
				}
				if c.Close(); occurred(s) {
					return
				}
			}
			t.Errorf("the fault did not occur in %d connections", maxTries)
		})
	}
}

func TestHeldAnswersArriveAtFaultEnd(t *testing.T) {
	l, h, w := start(t, nil)
	one, two := open(t, l), open(t, l)
	end := l.Begin(Fault{Kind: HoldsAnswers})
	answers := make(chan error, 2)
	for _, c := range []net.Conn{one, two} {
		go func() { _, _, err := ask(c); answers <- err }()
	}
	for until := time.Now().Add(testTimeout); len(h.Queries()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the queries do not reach the host")
		}
	}
	if told := w.all(); slices.Contains(told, "delivering "+statement) {
		t.Errorf("a held answer counts as delivered: %q", told)
	}
	end()
	for range 2 {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
}

func TestSilentLinkResetsConnectionsAtFaultEnd(t *testing.T) {
	l, h, w := start(t, nil)
	c := open(t, l)
	end := l.Begin(Fault{Kind: Silent})
	answer := make(chan error, 1)
	go func() { _, _, err := ask(c); answer <- err }()
	for until := time.Now().Add(testTimeout); len(w.all()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the watcher does not see a query written to a silent link")
		}
	}
	time.Sleep(2 * fillTimeout)
	if c, err := net.DialTimeout("tcp4", l.Address(), fillTimeout); err == nil {
		c.Close()
		t.Error("a connection is established")
	}
	end()
	if err := <-answer; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
	if asked := h.Queries(); len(asked) > 0 {
		t.Errorf("the host received %q", asked)
	}
	if _, _, err := ask(open(t, l)); err != nil {
		t.Errorf("query after the fault: %v", err)
	}
}

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
	statement = "SELECT content FROM kv WHERE name = 'a' /* id=1,c=view,d=480,cluster=1 */"
	tries     = 200 // in which a fault that strikes some strikes once
	most      = 100 * time.Millisecond
	patience  = 10 * time.Second
)

// watched notes what a link tells.
type watched struct {
	mu   sync.Mutex
	told []string
	sent Sent
}

func (w *watched) add(what string) { w.mu.Lock(); defer w.mu.Unlock(); w.told = append(w.told, what) }

func (w *watched) all() []string { w.mu.Lock(); defer w.mu.Unlock(); return slices.Clone(w.told) }

func start(t *testing.T, script func(int, string) []byte) (*Link, *hosts.Host, *watched) {
	h, err := hosts.New("s-0", hosts.Follower, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Listener.Close() })
	w := &watched{}
	l, err := New(h.Address, 1, Watcher{
		Sent:       func(s Sent) { w.add("sent " + s.Text); w.mu.Lock(); w.sent = s; w.mu.Unlock() },
		Delivering: func(a Answer) { w.add("delivering " + a.Text) },
		Delivered: func(a Answer) {
			if w.add("delivered " + a.Text); !a.Follower {
				t.Errorf("the answer names no follower")
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, h, w
}

// open opens a session over a link.
func open(t *testing.T, l *Link) net.Conn {
	c, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = c.Write(pg.AppendStartup(nil, "backend", "store"))
	welcome := pg.AppendStartupResponse(nil, pg.StartSession)
	if _, err := io.ReadFull(c, make([]byte, len(welcome))); err != nil {
		t.Fatal(err)
	}
	return c
}

// ask asks a query and gives what came back, up to a whole answer, and how the first read and the whole ended.
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

func TestALinkTellsWhatItPassesOn(t *testing.T) {
	l, _, w := start(t, nil)
	c := open(t, l)
	if _, _, err := ask(c); err != nil {
		t.Fatal(err)
	}
	want := []string{"sent " + statement, "delivering " + statement, "delivered " + statement}
	for end := time.Now().Add(patience); !slices.Equal(w.all(), want); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("told %q", w.all())
		}
	}
	if !w.sent.Open() {
		t.Error("the connection counts as ended")
	}
	if c.(*net.TCPConn).CloseWrite(); w.sent.Open() {
		t.Error("a connection whose sending has ended counts as open")
	}
}

func TestEachFaultStrikes(t *testing.T) {
	reset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
	type seen struct {
		answer []byte
		first  int
		err    error
		up     time.Duration // until the session was open
		asked  time.Duration // until the query was answered
		rested error         // what comes on the connection later
		again  error         // what then becomes of another query
	}
	for kind, strikes := range map[Kind]func(seen) bool{
		DelaysQueries: func(s seen) bool { return s.asked >= most/2 },
		DelaysAnswers: func(s seen) bool { return s.up >= most/2 && s.asked >= most/2 },
		Pieces:        func(s seen) bool { return s.err == nil && s.first <= longestPiece },
		ResetsQuery:   func(s seen) bool { return reset(s.err) && len(s.answer) == 0 },
		ResetsAnswer:  func(s seen) bool { return reset(s.err) && len(s.answer) > 0 },
		ResetsLater:   func(s seen) bool { return reset(s.err) || reset(s.rested) },
		ClosesIdle:    func(s seen) bool { return s.err == nil && (s.rested == io.EOF || reset(s.rested)) },
		ForgetsIdle:   func(s seen) bool { return s.err == nil && s.rested == nil && (reset(s.again) || isTimeout(s.again)) },
		ComesUpLate:   func(s seen) bool { return s.up >= most/4 },
		HalfCloses:    func(s seen) bool { return s.err == io.EOF },
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			l, _, _ := start(t, nil)
			l.Begin(Fault{Kind: kind, Max: most})
			for range tries {
				begun := time.Now()
				c := open(t, l)
				s := seen{up: time.Since(begun)}
				begun = time.Now()
				s.answer, s.first, s.err = ask(c)
				s.asked = time.Since(begun)
				if s.err == nil && (kind == ClosesIdle || kind == ResetsLater) {
					_ = c.SetReadDeadline(time.Now().Add(2 * most))
					_, s.rested = c.Read(make([]byte, 1))
				}
				if kind == ForgetsIdle {
					time.Sleep(2 * most)
					_ = c.SetDeadline(time.Now().Add(most))
					_, _, s.again = ask(c)
				}
				if c.Close(); strikes(s) {
					return
				}
			}
			t.Errorf("nothing was seen of it in %d connections", tries)
		})
	}
}

func TestHeldAnswersArriveTogetherAtTheEnd(t *testing.T) {
	l, h, w := start(t, nil)
	one, two := open(t, l), open(t, l)
	end := l.Begin(Fault{Kind: HoldsAnswers})
	answers := make(chan error, 2)
	for _, c := range []net.Conn{one, two} {
		go func() { _, _, err := ask(c); answers <- err }()
	}
	for until := time.Now().Add(patience); len(h.Queries()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the queries do not arrive")
		}
	}
	if told := w.all(); slices.Contains(told, "delivering "+statement) {
		t.Errorf("an answer that is held counts as delivered: %q", told)
	}
	end()
	for range 2 {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
}

func TestASilentLinkResetsAllAtItsReturn(t *testing.T) {
	l, h, w := start(t, nil)
	c := open(t, l)
	end := l.Begin(Fault{Kind: Silent})
	answer := make(chan error, 1)
	go func() { _, _, err := ask(c); answer <- err }()
	for until := time.Now().Add(patience); len(w.all()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the ledger is not told what a gateway writes to a silent link")
		}
	}
	time.Sleep(2 * fillWithin)
	if c, err := net.DialTimeout("tcp4", l.Address(), fillWithin); err == nil {
		c.Close()
		t.Error("a connection comes up")
	}
	end()
	if err := <-answer; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
	if asked := h.Queries(); len(asked) > 0 {
		t.Errorf("the host was asked %q", asked)
	}
	if _, _, err := ask(open(t, l)); err != nil {
		t.Errorf("after the return: %v", err)
	}
}

package frontend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

const patience = 20 * time.Second

// fake is the other side of the front, as a test has it.
type fake struct {
	taken chan *exchange.Request
	gone  chan *exchange.Request
}

func (f *fake) Submit(r *exchange.Request)        { f.taken <- r }
func (f *fake) CancelRequest(r *exchange.Request) { f.gone <- r }

// serving starts a front that listens on loopback.
func serving(t *testing.T) (*Server, *fake, string) {
	t.Helper()
	f := &fake{make(chan *exchange.Request, 100), make(chan *exchange.Request, 100)}
	s := newAcceptor(f)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	go s.Accept(ctx, l)
	s.SetReady()
	t.Cleanup(func() {
		l.Close()
		stop()
		<-done
	})
	return s, f, l.Addr().String()
}

// client connects with a small buffer for what it receives, and goes through the startup.
func client(t *testing.T, address string) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	n, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	_ = n.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(n)
	_, _ = n.Write(pg.AppendStartup(nil, "backend", "store"))
	for {
		kind, _, err := pg.Read(in, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if kind == pg.ReadyForQuery {
			return n.(*net.TCPConn), in
		}
	}
}

func query(id int) []byte {
	return pg.AppendQuery(nil, "SELECT content FROM kv WHERE name = 'k' /* id="+strconv.Itoa(id)+",c=view,d=15000,cluster=1 */")
}

// one gives the only session.
func (s *Server) one(t *testing.T) *session {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for c := range s.sessions {
			s.mu.Unlock()
			return c
		}
		s.mu.Unlock()
		if time.Now().After(end) {
			t.Fatal("there is no session")
		}
	}
}

// await waits until something holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never came to this: %s", what)
		}
	}
}

// ended says that the front ends the connection: its end has been written, or it is closed.
func (c *session) ended() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return true
	}
	over := true
	err = raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			over = i.State != 1 // ESTABLISHED
		}
	})
	return err != nil || over
}

// A client that is slow to take its answer writes its next request just as the connection ends: it must get the answer whole.
func TestTheLastAnswerSurvivesARequestThatCrossesTheEnd(t *testing.T) {
	value := bytes.Repeat([]byte("v"), 60<<10)
	for _, when := range []string{"before the close", "after the close", "a long time after the close"} {
		s, f, address := serving(t)
		n, in := client(t, address)
		_, _ = n.Write(query(1))
		r := <-f.taken
		c := s.one(t)
		r.Answer <- exchange.Answer{Kind: exchange.Served, Value: pg.Value{Data: value, Format: 1}}
		await(t, "the answer is written", func() bool { return !c.waits() })
		s.Drain(nil)
		await(t, "the connection ends", c.ended)
		switch when {
		case "after the close":
			time.Sleep(20 * time.Millisecond) // a close without more ado would have come by now
		case "a long time after the close":
			time.Sleep(2 * lingerFor) // its client stalls
		}
		_, _ = n.Write(query(2))
		time.Sleep(20 * time.Millisecond) // the crossing request has arrived before the client reads on
		kind, body, err := pg.Read(in, 1<<20)
		for err == nil && kind != pg.DataRow {
			kind, body, err = pg.Read(in, 1<<20)
		}
		if err != nil {
			t.Fatalf("%s: the answer breaks off: %v", when, err)
		}
		if got, err := pg.RowData(body); err != nil || !bytes.Equal(got, value) {
			t.Errorf("%s: %d bytes of the value, %v", when, len(got), err)
		}
		kind, _, err = pg.Read(in, 1<<20)
		for err == nil && kind != pg.ReadyForQuery {
			kind, _, err = pg.Read(in, 1<<20)
		}
		if err != nil {
			t.Errorf("%s: the answer has no end: %v", when, err)
		}
		select {
		case r := <-f.taken:
			t.Errorf("%s: a request that came behind the end was taken: %s", when, r.ID)
		default:
		}
	}
}

// While a drain waits for the answer of an open request its client is still watched.
func TestAClientThatLeavesDuringADrainIsNoticed(t *testing.T) {
	s, f, address := serving(t)
	idle, _ := client(t, address)
	n, _ := client(t, address)
	_, _ = n.Write(query(1))
	r := <-f.taken
	s.Drain(nil)
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Fatal("the drain left an idle connection")
	}
	if r.ClientDisconnected() {
		t.Error("its client is said to have left")
	}
	_ = n.Close()
	await(t, "its request says that the client has left", r.ClientDisconnected)
	select {
	case got := <-f.gone:
		if got != r {
			t.Errorf("%s is gone", got.ID)
		}
	case <-time.After(5 * time.Second):
		t.Error("nobody noticed that the client has left")
	}
}

// A drain ends a connection as soon as its open request is answered.
func TestADrainEndsABusyConnectionBehindItsAnswer(t *testing.T) {
	s, f, address := serving(t)
	n, in := client(t, address)
	_, _ = n.Write(query(1))
	r := <-f.taken
	c := s.one(t)
	s.Drain(nil)
	_, _ = n.Write(query(2)) // the reader goes on
	await(t, "both are read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.unanswered == 2
	})
	for range 2 {
		r.Answer <- exchange.Answer{Kind: exchange.Served, Value: pg.Value{Data: []byte("v"), Format: 1}}
		if r.ID == "1" {
			r = <-f.taken
		}
	}
	var kinds []byte
	kind, _, err := pg.Read(in, 1<<20)
	for ; err == nil; kind, _, err = pg.Read(in, 1<<20) {
		kinds = append(kinds, kind)
	}
	if string(kinds) != "TDCZTDCZ" || !errors.Is(err, io.EOF) {
		t.Errorf("%q, then %v", kinds, err)
	}
}

// A client leaves while it is given one answer: what waits behind that is not taken up.
func TestNothingIsTakenUpForWhoHasLeft(t *testing.T) {
	s, f, address := serving(t)
	n, in := client(t, address)
	_, _ = n.Write(append(query(1), query(2)...))
	r := <-f.taken
	c := s.one(t)
	await(t, "both are read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.unanswered == 2
	})
	r.Answer <- exchange.Answer{Kind: exchange.Served, Value: pg.Value{Data: make([]byte, 16<<20), Format: 1}} // more than buffers hold
	if kind, _, err := pg.ReadHead(in); err != nil || kind != pg.RowDescription {
		t.Fatalf("%q, %v", kind, err)
	}
	_ = n.CloseWrite()
	await(t, "the leaving is noticed", c.left)
	_, _ = io.Copy(io.Discard, in) // lets the answer be written whole
	await(t, "the session has ended", func() bool { all, _ := s.Connections(); return all == 1 })
	if len(f.taken) != 0 {
		t.Error("the second request was taken up")
	}
}

// Whatever of answer and close is seen first, the books come out even.
func TestAnswerAndCloseTogether(t *testing.T) {
	s, f, address := serving(t)
	for i := range 200 {
		n, _ := client(t, address)
		c := s.one(t)
		_, _ = n.Write(query(i))
		r := <-f.taken
		both := make(chan struct{})
		go func() { defer close(both); _ = n.Close() }()
		r.Answer <- exchange.Answer{Kind: exchange.Served, Value: pg.Value{Data: []byte("v"), Format: 1}}
		<-both
		await(t, "the session has ended", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.sessions) == 0
		})
		if c.waits() || c.open != 0 {
			t.Fatalf("%d open, %d unanswered", c.open, c.unanswered)
		}
	}
	if got := s.bytes.left; got != 1<<20 {
		t.Errorf("%d bytes of the budget are left", got)
	}
	if got := s.cfg.Counters.ClientsOpen.Get(); got != 0 {
		t.Errorf("%d clients are counted", got)
	}
}

// What a client leaves behind gives back all that it held.
func TestCommandsLeftBehindGiveBackWhatTheyHeld(t *testing.T) {
	s, f, address := serving(t)
	n, _ := client(t, address)
	long := bytes.Replace(query(1), []byte("'k'"), []byte("'"+strings.Repeat("k", 3000)+"'"), 1)
	all := query(0)
	for range 50 {
		all = append(all, pg.AppendQuery(nil, string(long[5:len(long)-1]))...)
	}
	_, _ = n.Write(all)
	<-f.taken
	c := s.one(t)
	await(t, "all are read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.unanswered == 51
	})
	_ = n.Close()
	<-f.gone
	await(t, "the session has ended", func() bool { all, _ := s.Connections(); return all == 1 })
	if got := s.bytes.left; got != 1<<20 {
		t.Errorf("%d bytes of the budget are left of %d", got, 1<<20)
	}
	if len(f.taken) != 0 {
		t.Errorf("%d more were taken up", len(f.taken))
	}
}

// old is a value that is whole and proves too old.
type old struct{ left int }

func (o *old) Read(p []byte) (int, error) {
	n := min(len(p), o.left)
	if o.left -= n; n == 0 {
		return 0, pg.ErrTooOld
	}
	return n, nil
}

func (*old) Close() {}

// The end of a large value that proves too old is an error: its request has failed, and the connection goes on.
func TestALargeValueThatIsTooOldEndsInAnError(t *testing.T) {
	_, f, address := serving(t)
	n, in := client(t, address)
	_, _ = n.Write(append(query(1), query(2)...))
	(<-f.taken).Answer <- exchange.Answer{Kind: exchange.Served, Value: pg.Value{Size: 1 << 20, Stream: &old{1 << 20}}}
	var kinds []byte
	for range 4 {
		kind, _, err := pg.Read(in, 2<<20)
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, kind)
	}
	if string(kinds) != "TDEZ" {
		t.Errorf("its client gets %s", kinds)
	}
	<-f.taken
}

// Who has not taken its last answer yet does not give way while another can.
func TestWhoHasTakenItsAnswerGivesWayFirst(t *testing.T) {
	s, f, address := serving(t)
	s.mu.Lock()
	s.cfg.MaxConns = 2
	s.mu.Unlock()
	var held []*session
	for id, size := range []int{1 << 20, 10} {
		n, _ := client(t, address)
		_, _ = n.Write(query(id))
		r := <-f.taken
		r.Answer <- exchange.Answer{Kind: exchange.Served, Value: pg.Value{Data: make([]byte, size), Format: 1}}
		s.mu.Lock()
		for c := range s.sessions {
			if !slices.Contains(held, c) {
				held = append(held, c)
			}
		}
		s.mu.Unlock()
		c := held[id]
		await(t, "the answer is written", func() bool { return !c.waits() })
		c.mu.Lock()
		c.idleSince -= 2*soonClose - time.Duration(id)*soonClose/2 // the first for longest
		c.mu.Unlock()
	}
	await(t, "the second has taken its answer", func() bool { return socket.Unacknowledged(held[1].conn) == 0 })
	client(t, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held[0].closing || !held[1].closing {
		t.Errorf("who has not taken its answer gives way: %t, who has: %t", held[0].closing, held[1].closing)
	}
}

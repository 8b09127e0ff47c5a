package backend

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

// lateReader is a command whose process stalls from the write of its query until the attempt's deadline has
// passed.
type lateReader struct {
	outcomes
	answered chan struct{}
}

func (lateReader) Large() bool { return true }

func (l lateReader) WriteQuery(w io.Writer, _ time.Duration) error {
	_, err := w.Write(pg.AppendQuery(nil, "x"))
	<-l.answered
	awaitReadDeadline(w.(*conn))
	return err
}

// awaitReadDeadline waits until a connection's read deadline has passed.
func awaitReadDeadline(c *conn) {
	raw, _ := c.SyscallConn()
	for raw.Read(func(uintptr) bool { return true }) == nil {
		time.Sleep(time.Millisecond)
	}
}

func TestReplicaStatementBeforeTimeoutCounts(t *testing.T) {
	answered := make(chan struct{})
	r := newFixture(t, func(c net.Conn, n int64) {
		_, _ = c.Write(append(role("follower"), row()...))
		if n == 0 {
			time.Sleep(5 * time.Millisecond) // the answer has arrived by then
			close(answered)
		}
	})
	before := r.clock.Now()
	until := before + 100*time.Millisecond
	r.b.Send(exchange.Attempt{ID: "first", Server: "s", Sent: before, Deadline: until, Grounds: balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before},
		Command: lateReader{answered: answered}})
	if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.TimedOut {
		t.Fatalf("the first attempt ended with outcome %+v", o.Outcome)
	}
	r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
	if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.NotSent {
		t.Errorf("an attempt that needs the primary: result %v after the host's replica statement arrived, want NotSent", o.Result)
	}
}

func TestLateReadIsBoundedAndClosesWriteFirst(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	host, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	_ = host.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = host.Write(make([]byte, 64<<20)) }()
	i := &incoming{conn: n.(*net.TCPConn), readLate: true}
	for socket.NothingReceived(i.conn) {
		time.Sleep(time.Millisecond)
	}
	_ = i.conn.SetReadDeadline(time.Now().Add(-time.Second))
	got, err := io.Copy(io.Discard, i)
	if got == 0 || got > maxLateBytes || !timedOut(err) {
		t.Errorf("read %d bytes, %v", got, err)
	}
	if _, err := host.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the host reads %v, want EOF", err)
	}
}

// stalledReader is a reporter whose Learned blocks once.
type stalledReader struct {
	*recorder
	stalled, resume chan struct{}
}

func (s *stalledReader) Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report) {
	s.stalled <- struct{}{}
	<-s.resume
}

func TestReplicaStatementBeforeCancelCounts(t *testing.T) {
	rest, ended := make(chan struct{}), make(chan error, 1)
	r := newFixture(t, func(c net.Conn, n int64) {
		if n > 0 {
			_, _ = c.Write(append(role("leader"), row()...))
			return
		}
		_, _ = c.Write(role("follower"))
		<-rest
		_, _ = c.Write(append(role("follower"), row()...))
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	reader := &stalledReader{r.recorder, make(chan struct{}), make(chan struct{})}
	r.b.reporter = reader
	r.send("first", balance.Grounds{})
	<-reader.stalled
	later := r.clock.Now() // the first statement does not refute what is decided from here on
	first := r.b.attempts[key{"first", 0}].conn
	close(rest)
	for socket.NothingReceived(first) {
		time.Sleep(time.Millisecond)
	}
	r.b.Cancel("first", 0)
	if err := wait(t, ended, "the end of the sending"); err != io.EOF {
		t.Errorf("after Cancel the host reads %v, want EOF", err)
	}
	close(reader.resume)
	if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.Canceled || o.Role != balance.Unknown {
		t.Errorf("the first attempt ended with outcome %+v", o.Outcome)
	}
	if err := first.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the outcome was reported before its connection was closed: %v", err)
	}
	r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: later})
	if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.NotSent {
		t.Errorf("an attempt that needs the primary: result %v after the host's replica statement arrived, want NotSent", o.Result)
	}
}

// stalledConversation is a conversation that stalls after its answer has arrived until the conversation is
// over.
type stalledConversation struct {
	querySent, resume, read chan struct{}
	pastDeadline            bool // the input was read after the deadline
}

func (k *stalledConversation) Converse(h *Host) ConversationResult {
	defer close(k.read)
	_ = h.Write(pg.AppendQuery(nil, "x"))
	close(k.querySent)
	<-k.resume
	for {
		kind, length, err := h.Head()
		if err != nil {
			return ConversationResult{Result: balance.Reset}
		}
		body, _ := h.Body(length, length)
		if k.pastDeadline = h.PastDeadline(); kind == pg.ParameterStatus {
			h.HandleStatement(body)
		}
	}
}

func TestReplicaStatementBeforeConversationEndCounts(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(r *fixture, first *conn)
		want balance.Result
	}{
		"deadline passed": {func(_ *fixture, first *conn) { awaitReadDeadline(first) }, balance.Reset},
		"canceled":        {func(r *fixture, _ *conn) { r.b.Cancel("first", 0) }, balance.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			k := &stalledConversation{querySent: make(chan struct{}), resume: make(chan struct{}), read: make(chan struct{})}
			r := newFixture(t, func(c net.Conn, _ int64) { _, _ = c.Write(append(role("follower"), row()...)) })
			before := r.clock.Now()
			r.b.Send(exchange.Attempt{ID: "first", Server: "s", Sent: before, Deadline: before + 100*time.Millisecond, Command: k})
			wait(t, k.querySent, "the query")
			first := r.b.attempts[key{"first", 0}].conn
			for socket.NothingReceived(first) {
				time.Sleep(time.Millisecond)
			}
			c.end(r, first)
			close(k.resume)
			if o := wait(t, r.outcomes, "the first outcome"); o.Result != c.want {
				t.Errorf("the first attempt ended with outcome %+v", o.Outcome)
			}
			if wait(t, k.read, "the end of the input"); !k.pastDeadline {
				t.Error("PastDeadline is not set for input read after the deadline")
			}
			r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
			if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.NotSent {
				t.Errorf("an attempt that needs the primary: result %v after the host's replica statement arrived, want NotSent", o.Result)
			}
			if n := inUse(r.b); n != 0 {
				t.Errorf("%d connections are still in use", n)
			}
		})
	}
}

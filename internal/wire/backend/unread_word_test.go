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

// lateReader is a command whose process is held up from when its query is written until the attempt's time is over.
type lateReader struct {
	outcomes
	answered chan struct{}
}

func (lateReader) Large() bool { return true }

func (l lateReader) WriteQuery(w io.Writer, _ time.Duration) error {
	_, err := w.Write(pg.AppendQuery(nil, "x"))
	<-l.answered
	untilLate(w.(*conn))
	return err
}

// untilLate waits until a connection's deadline for reading is in force.
func untilLate(c *conn) {
	raw, _ := c.SyscallConn()
	for raw.Read(func(uintptr) bool { return true }) == nil {
		time.Sleep(time.Millisecond)
	}
}

func TestAFollowersWordThatCameBeforeATimeOutIsHeeded(t *testing.T) {
	answered := make(chan struct{})
	r := newRig(t, func(c net.Conn, n int64) {
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
		t.Fatalf("the first attempt ended with %+v", o.Outcome)
	}
	r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
	if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.NotSent {
		t.Errorf("an attempt that needs the primary ended with %v after the host's word that it follows had come", o.Result)
	}
}

func TestReadingPastADeadlineIsBoundedAndEndsTheSendingFirst(t *testing.T) {
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
	_ = host.SetDeadline(time.Now().Add(soon))
	go func() { _, _ = host.Write(make([]byte, 64<<20)) }()
	i := &incoming{conn: n.(*net.TCPConn), drain: true}
	for socket.NothingReceived(i.conn) {
		time.Sleep(time.Millisecond)
	}
	_ = i.conn.SetReadDeadline(time.Now().Add(-time.Second))
	got, err := io.Copy(io.Discard, i)
	if got == 0 || got > lateBytes || !timedOut(err) {
		t.Errorf("read %d bytes, %v", got, err)
	}
	if _, err := host.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the host reads %v", err)
	}
}

// stalledReader holds up who tells what a host said of itself, once.
type stalledReader struct {
	*recorder
	stalled, resume chan struct{}
}

func (s *stalledReader) Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report) {
	s.stalled <- struct{}{}
	<-s.resume
}

func TestAFollowersWordThatCameBeforeACancelIsHeeded(t *testing.T) {
	rest, ended := make(chan struct{}), make(chan error, 1)
	r := newRig(t, func(c net.Conn, n int64) {
		if n > 0 {
			_, _ = c.Write(append(role("leader"), row()...))
			return
		}
		_, _ = c.Write(role("follower"))
		<-rest
		_, _ = c.Write(append(role("follower"), row()...))
		_ = c.SetDeadline(time.Now().Add(soon))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	reader := &stalledReader{r.recorder, make(chan struct{}), make(chan struct{})}
	r.b.to = reader
	r.send("first", balance.Grounds{})
	<-reader.stalled
	later := r.clock.Now() // the first word speaks against nothing decided from here on
	first := r.b.attempts[key{"first", 0}].conn
	close(rest)
	for socket.NothingReceived(first) {
		time.Sleep(time.Millisecond)
	}
	r.b.Cancel("first", 0)
	if err := wait(t, ended, "the end of the sending"); err != io.EOF {
		t.Errorf("when Cancel has returned the host reads %v", err)
	}
	close(reader.resume)
	if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.Canceled || o.Role != balance.Unknown {
		t.Errorf("the first attempt ended with %+v", o.Outcome)
	}
	if err := first.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the outcome was told before its connection was closed: %v", err)
	}
	r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: later})
	if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.NotSent {
		t.Errorf("an attempt that needs the primary ended with %v after the host's word that it follows had come", o.Result)
	}
}

// talk is a conversation that is held up, when the answer has arrived, until it is over.
type talk struct {
	asked, over, read chan struct{}
	late              bool // what it read came past its time
}

func (k *talk) Converse(h *Host) ConversationResult {
	defer close(k.read)
	_ = h.Write(pg.AppendQuery(nil, "x"))
	close(k.asked)
	<-k.over
	for {
		kind, length, err := h.Head()
		if err != nil {
			return ConversationResult{Result: balance.Reset}
		}
		body, _ := h.Body(length, length)
		if k.late = h.PastDeadline(); kind == pg.ParameterStatus {
			h.HandleStatement(body)
		}
	}
}

func TestAFollowersWordThatCameBeforeAConversationEndsIsHeeded(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(r *rig, first *conn)
		want balance.Result
	}{
		"its time is over": {func(_ *rig, first *conn) { untilLate(first) }, balance.Reset},
		"it is canceled":   {func(r *rig, _ *conn) { r.b.Cancel("first", 0) }, balance.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			k := &talk{asked: make(chan struct{}), over: make(chan struct{}), read: make(chan struct{})}
			r := newRig(t, func(c net.Conn, _ int64) { _, _ = c.Write(append(role("follower"), row()...)) })
			before := r.clock.Now()
			r.b.Send(exchange.Attempt{ID: "first", Server: "s", Sent: before, Deadline: before + 100*time.Millisecond, Command: k})
			wait(t, k.asked, "the query")
			first := r.b.attempts[key{"first", 0}].conn
			for socket.NothingReceived(first) {
				time.Sleep(time.Millisecond)
			}
			c.end(r, first)
			close(k.over)
			if o := wait(t, r.outcomes, "the first outcome"); o.Result != c.want {
				t.Errorf("the first attempt ended with %+v", o.Outcome)
			}
			if wait(t, k.read, "the end of what came"); !k.late {
				t.Error("what came past its time does not say so")
			}
			r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
			if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.NotSent {
				t.Errorf("an attempt that needs the primary ended with %v after the host's word that it follows had come", o.Result)
			}
			if n := inUse(r.b); n != 0 {
				t.Errorf("%d connections are still in use", n)
			}
		})
	}
}

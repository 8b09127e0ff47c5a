package backend

import (
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
	raw, _ := w.(*conn).SyscallConn()
	for raw.Read(func(uintptr) bool { return true }) == nil { // the deadline is not in force yet
		time.Sleep(time.Millisecond)
	}
	return err
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
	r.b.Send(exchange.Attempt{ID: "first", Server: "s", Sent: before, Until: until, Grounds: balance.Grounds{Kind: balance.LeaderWord, Leads: before},
		Command: lateReader{answered: answered}})
	if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.TimedOut {
		t.Fatalf("the first attempt ended with %+v", o.Outcome)
	}
	r.send("second", balance.Grounds{Kind: balance.LeaderWord, Leads: before})
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
	for socket.Quiet(i.conn) {
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

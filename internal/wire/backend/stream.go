package backend

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

const (
	// maxHostStall is how long a host may send nothing in the middle of a value. A host that hangs may
	// continue later, and its value must not be cut off; but a connection that stays silent must not be kept
	// forever.
	maxHostStall = 30 * time.Second
	// claimTimeout is how long a value waits for its client side to start reading. A client side whose request
	// was given up in the meantime never does.
	claimTimeout = 2 * time.Second
)

// stream is a large value that is passed on while it is received. The client side reads it directly from the
// host's connection. The end of the answer is read after the value and checked as with any other answer.
type stream struct {
	conn      *conn
	tag       string
	size      int // of the value, in bytes
	remaining int // bytes of the value not yet read

	started   chan struct{} // closed when the client side has started reading
	done      chan struct{} // closed when the client side reads no more
	startOnce sync.Once
	closeOnce sync.Once
	reply     reply // statements of the host after the value; valid once done is closed
	complete  bool  // the end of the answer was read and is valid

	tooOld func() bool // reports whether the statements in r show that the value must not be served
}

func newStream(c *conn, size int, tag string) *stream {
	return &stream{conn: c, tag: tag, size: size, remaining: size, started: make(chan struct{}), done: make(chan struct{})}
}

// Read implements pg.Rest.
func (s *stream) Read(p []byte) (int, error) {
	s.startOnce.Do(func() { close(s.started) })
	if err := s.conn.SetReadDeadline(time.Now().Add(maxHostStall)); err != nil {
		return 0, err
	}
	if s.remaining > 0 {
		n, err := s.conn.in.Read(p[:min(len(p), s.remaining)])
		s.remaining -= n
		if n > 0 {
			return n, nil // the next call returns the error
		}
		if err == nil || errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, err
	}
	if !s.complete {
		if err := s.readEnd(); err != nil {
			return 0, err
		}
		s.complete = true
	}
	if s.tooOld() {
		return 0, pg.ErrTooOld
	}
	return 0, io.EOF
}

// readEnd reads the end of the answer: its command tag and ReadyForQuery.
func (s *stream) readEnd() error {
	complete := false
	for {
		kind, body, err := s.conn.receive()
		if err != nil {
			return err
		}
		switch {
		case kind == pg.CommandComplete && !complete && string(body) == s.tag+"\x00":
			complete = true
		case kind == pg.ParameterStatus:
			s.reply.parseStatement(body)
			s.conn.reportReplica(&s.reply)
		case kind == pg.NoticeResponse:
		case kind == pg.ReadyForQuery && complete && len(body) == 1:
			s.conn.clean = body[0] == 'I' && s.conn.in.Buffered() == 0
			return nil
		default:
			return errMalformed
		}
	}
}

// Close implements pg.Rest.
func (s *stream) Close() {
	s.startOnce.Do(func() { close(s.started) })
	s.closeOnce.Do(func() { close(s.done) })
}

// stream delivers a large value. The outcome is reported at its first bytes, and the connection is released
// after its end.
func (attempt *attempt) stream(r reply) {
	s, b := r.stream, attempt.b
	// The host's statements count only once the value is complete; s.reply collects them until then.
	s.reply = reply{result: balance.OK, role: r.role, position: r.position, report: r.report}
	s.tooOld = func() bool { return attempt.demandViolated(&s.reply, r.written) }
	r.value.Size, r.value.Stream = s.size, s
	o := exchange.Outcome{Outcome: balance.Outcome{Result: balance.OK}, Value: r.value}
	if !attempt.finish(o, -1, true) { // the attempt has ended in the meantime, and its connection is closed
		b.release(attempt.Server, s.conn)
		return
	}
	b.cfg.Counters.Streams.Add(1)
	b.cfg.Counters.StreamsOpen.Add(1)
	defer b.cfg.Counters.StreamsOpen.Add(-1)
	stop := context.AfterFunc(b.ctx, s.conn.close)
	defer stop()
	unclaimed := time.NewTimer(claimTimeout)
	defer unclaimed.Stop()
	select {
	case <-s.started:
		<-s.done
	case <-s.done:
	case <-unclaimed.C:
		s.conn.close() // a client side that starts reading later gets an error
	}
	if !s.complete {
		b.cfg.Counters.StreamsCut.Add(1)
		s.conn.clean = false
	}
	b.release(attempt.Server, s.conn)
	if s.complete {
		statedAt := b.observe(attempt.Server, &s.reply, attempt.Sent, attempt.Keyed)
		b.reporter.Learned(balance.RemoteOutcome{Server: attempt.Server, Result: balance.OK, Role: s.reply.role, Position: s.reply.position}, statedAt, s.reply.report)
	}
}

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
	// hostStall is how long a host may give nothing of a value that it has begun to give. A host that hangs may go on later,
	// and what it still gives must not be cut off; a connection that has fallen silent for good must not stay for ever.
	hostStall = 30 * time.Second
	// takenWithin is how long a value may wait for its client side to begin with it: who was given up meanwhile never does.
	takenWithin = 2 * time.Second
)

// stream is a large value that is passed on as it comes. The client side reads it straight from the host's connection; what
// ends its answer is read behind it and judged as with any other.
type stream struct {
	c    *conn
	tag  string
	size int
	left int

	begun chan struct{} // closed when the client side has begun
	over  chan struct{} // closed when nothing more is read
	once  sync.Once
	end   sync.Once
	r     reply // what the host said of itself behind the value; valid once over
	whole bool

	tooOld func() bool // says of what r tells whether the value must not be served
}

func newStream(c *conn, size int, tag string) *stream {
	return &stream{c: c, tag: tag, size: size, left: size, begun: make(chan struct{}), over: make(chan struct{})}
}

// Read is pg.Rest's.
func (s *stream) Read(p []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	if err := s.c.SetReadDeadline(time.Now().Add(hostStall)); err != nil {
		return 0, err
	}
	if s.left > 0 {
		n, err := s.c.in.Read(p[:min(len(p), s.left)])
		s.left -= n
		if n > 0 {
			return n, nil // an error shows again at the next one
		}
		if err == nil || errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, err
	}
	if !s.whole {
		if err := s.tail(); err != nil {
			return 0, err
		}
		s.whole = true
	}
	if s.tooOld() {
		return 0, pg.ErrTooOld
	}
	return 0, io.EOF
}

// tail reads what ends the answer: its tag, and ReadyForQuery.
func (s *stream) tail() error {
	complete := false
	for {
		kind, body, err := s.c.receive()
		if err != nil {
			return err
		}
		switch {
		case kind == pg.CommandComplete && !complete && string(body) == s.tag+"\x00":
			complete = true
		case kind == pg.ParameterStatus:
			s.r.note(body)
			s.c.heed(&s.r)
		case kind == pg.NoticeResponse:
		case kind == pg.ReadyForQuery && complete && len(body) == 1:
			s.c.clean = body[0] == 'I' && s.c.in.Buffered() == 0
			return nil
		default:
			return errSpoilt
		}
	}
}

// Close is pg.Rest's.
func (s *stream) Close() {
	s.once.Do(func() { close(s.begun) })
	s.end.Do(func() { close(s.over) })
}

// stream carries a large value: the outcome is told at its first bytes, and the connection is given back behind it.
func (t *attempt) stream(r reply) {
	s, b := r.stream, t.b
	s.r = reply{result: balance.OK, role: r.role, position: r.position, report: r.report} // for the end: until then nothing that it tells is believed
	s.tooOld = func() bool { return t.refuted(&s.r, r.written) }
	r.value.Size, r.value.Stream = s.size, s
	o := exchange.Outcome{Outcome: balance.Outcome{Result: balance.OK}, Value: r.value}
	if !t.finish(o, -1, true) { // given up meanwhile, and closed under it
		b.put(t.Server, s.c)
		return
	}
	b.cfg.Counters.Streams.Add(1)
	b.cfg.Counters.StreamsOpen.Add(1)
	defer b.cfg.Counters.StreamsOpen.Add(-1)
	stop := context.AfterFunc(b.ctx, s.c.close)
	defer stop()
	unclaimed := time.NewTimer(takenWithin)
	defer unclaimed.Stop()
	select {
	case <-s.begun:
		<-s.over
	case <-s.over:
	case <-unclaimed.C:
		s.c.close() // a client side that begins after all reads an error
	}
	if !s.whole {
		b.cfg.Counters.StreamsCut.Add(1)
		s.c.clean = false
	}
	b.put(t.Server, s.c)
	if s.whole {
		made := b.observe(t.Server, &s.r, t.Sent, t.Keyed)
		b.to.Learned(balance.RemoteOutcome{Server: t.Server, Result: balance.OK, Role: s.r.role, Position: s.r.position}, made, s.r.report)
	}
}

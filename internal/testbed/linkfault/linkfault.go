// Package linkfault injects faults into the connections between one gateway and one database host. A link is a TCP proxy on
// loopback that delays, splits, holds, resets and half-closes its traffic, or stops carrying it.
package linkfault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	DelaysQueries Kind = "delays queries" // the gateway's data arrives late, by up to the fault's bound
	DelaysAnswers Kind = "delays answers" // the host's data arrives late, by up to the fault's bound
	Pieces        Kind = "pieces"         // data arrives a few bytes at a time
	HoldsAnswers  Kind = "holds answers"  // the host's data arrives all at once at the fault's end
	Silent        Kind = "silent"         // no data arrives and no connection is established; all are reset at the fault's end
	ResetsQuery   Kind = "resets query"   // some connections are reset in the middle of a query
	ResetsAnswer  Kind = "resets answer"  // some connections are reset in the middle of an answer
	ResetsLater   Kind = "resets later"   // some connections are reset within the fault's bound after a query
	ClosesIdle    Kind = "closes idle"    // connections idle for the fault's bound are closed or reset
	ForgetsIdle   Kind = "forgets idle"   // data sent on connections idle for the fault's bound is lost or resets them
	ComesUpLate   Kind = "comes up late"  // a third of the new connections are established late, by up to the fault's bound
	HalfCloses    Kind = "half-closes"    // the host's side of some connections is closed in the middle of an answer
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{DelaysQueries, DelaysAnswers, Pieces, HoldsAnswers, Silent, ResetsQuery, ResetsAnswer, ResetsLater, ClosesIdle,
	ForgetsIdle, ComesUpLate, HalfCloses}

// Fault is a fault of a link.
type Fault struct {
	Kind Kind
	Max  time.Duration // upper bound of the times drawn for the fault
}

const (
	affectedOneIn = 8                      // a fault that affects some messages affects one in 8
	lateOneIn     = 3                      // one in 3 connections is established late
	maxPiece      = 7                      // bytes
	maxPiecePause = 500 * time.Microsecond // longest pause between two pieces
	// backlog is the listen backlog while the link is not silent.
	backlog = 1024
	// fillTimeout limits the attempt of a silent link to occupy the one place in the backlog that remains.
	fillTimeout = 100 * time.Millisecond
)

// Sent is a query that a gateway has written completely.
type Sent struct {
	Text        string
	First, Last time.Time   // when its first and last byte were received
	Open        func() bool // reports whether the gateway has neither closed nor half-closed the connection
}

// Answer is an answer that a host has written completely.
type Answer struct {
	Text     string    // the query
	Follower bool      // it names the host a follower
	Made     time.Time // when the link received its last byte
}

// Watcher observes the traffic of a link. Its functions are called synchronously; none may be nil.
type Watcher struct {
	Sent       func(Sent)   // a query was received, and its last bytes are not forwarded yet
	Delivering func(Answer) // the last bytes of an answer are about to be written to a gateway that still waits
	Delivered  func(Answer) // the last bytes were written and the gateway still waits
}

// Link is the link between one gateway and one host.
type Link struct {
	target   string
	watcher  Watcher
	listener *net.TCPListener
	address  string

	mu       sync.Mutex
	rng      *rand.Rand
	fault    Fault
	faultEnd chan struct{} // closed when the fault ends
	conns    map[*conn]bool
	closed   bool
}

// New starts a link to a host's address.
func New(target string, seed uint64, watcher Watcher) (*Link, error) {
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{target: target, watcher: watcher, listener: n.(*net.TCPListener), address: n.Addr().String(),
		rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), faultEnd: make(chan struct{}), conns: map[*conn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the address at which the gateway reaches the host.
func (l *Link) Address() string { return l.address }

// Begin starts a fault, which replaces the one before. The returned function ends it, unless another has begun since.
func (l *Link) Begin(f Fault) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked()
	faultEnd := make(chan struct{})
	l.fault, l.faultEnd = f, faultEnd
	switch f.Kind {
	case Silent:
		l.listen(0)
		_ = l.listener.SetDeadline(time.Unix(1, 0))
	case ClosesIdle, ForgetsIdle:
		for c := range l.conns {
			c.startIdle(f)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.faultEnd == faultEnd {
			l.endLocked()
		}
	}
}

func (l *Link) endLocked() {
	if l.fault.Kind == "" {
		return
	}
	if l.fault.Kind == Silent {
		for c := range l.conns {
			c.reset()
		}
		l.listen(backlog)
		_ = l.listener.SetDeadline(time.Time{})
	}
	l.fault = Fault{}
	close(l.faultEnd)
}

// Close closes the link and resets its connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked()
	l.closed = true
	l.listener.Close()
	for c := range l.conns {
		c.reset()
	}
}

// listen sets the listen backlog.
func (l *Link) listen(backlog int) {
	if raw, err := l.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
	}
}

// current returns the current fault and the channel that is closed when it ends.
func (l *Link) current() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.faultEnd
}

// draw returns a random number below n.
func (l *Link) draw(n int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Int64N(max(n, 1))
}

func (l *Link) accept() {
	for {
		c, err := l.listener.AcceptTCP()
		if err == nil {
			go l.serve(c)
			continue
		}
		if !errors.Is(err, syscall.ETIMEDOUT) && !isTimeout(err) {
			return
		}
		fault, faultEnd := l.current()
		if fault.Kind != Silent {
			continue
		}
		filler, err := net.DialTimeout("tcp4", l.address, fillTimeout) // occupies the one place that a backlog of 0 leaves
		<-faultEnd
		if err == nil {
			filler.Close()
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// serve forwards the traffic of one connection of the gateway until both directions have ended.
func (l *Link) serve(gateway *net.TCPConn) {
	c := &conn{link: l, gateway: gateway, done: make(chan struct{}), queries: framer{startup: true}}
	l.mu.Lock()
	l.conns[c] = true
	if l.closed {
		c.reset()
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	if f, _ := l.current(); f.Kind == ComesUpLate && l.draw(lateOneIn) == 0 {
		c.wait(time.Duration(l.draw(int64(f.Max))), nil)
	}
	host, err := net.Dial("tcp4", l.target)
	if err != nil {
		c.reset()
		return
	}
	c.setHost(host.(*net.TCPConn))
	c.run()
}

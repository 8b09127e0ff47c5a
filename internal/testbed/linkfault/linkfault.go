// Package linkfault puts faults on the connections between one gateway and one database host: a link is a TCP proxy on loopback that
// delays, cuts up, holds, resets and half-closes what it carries, and that can fall silent.
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
	DelaysQueries Kind = "delays queries" // what the gateway sends arrives late, by up to the fault's Most
	DelaysAnswers Kind = "delays answers" // what the host sends arrives late, by up to the fault's Most
	Pieces        Kind = "pieces"         // bytes arrive a few at a time
	HoldsAnswers  Kind = "holds answers"  // what the host sends arrives together at the end
	Silent        Kind = "silent"         // nothing arrives and no connection comes up; all are reset at the end
	ResetsQuery   Kind = "resets query"   // some connections are reset in the middle of a query
	ResetsAnswer  Kind = "resets answer"  // some are reset in the middle of an answer
	ResetsLater   Kind = "resets later"   // some are reset up to Most after a query began
	ClosesIdle    Kind = "closes idle"    // connections that have idled for Most are closed or reset
	ForgetsIdle   Kind = "forgets idle"   // what is sent on connections that have idled for Most resets them, or is swallowed
	ComesUpLate   Kind = "comes up late"  // a third of the new connections come up late, by up to Most
	HalfCloses    Kind = "half-closes"    // the host's side of some is shut in the middle of an answer
)

// Kinds are all of them.
var Kinds = []Kind{DelaysQueries, DelaysAnswers, Pieces, HoldsAnswers, Silent, ResetsQuery, ResetsAnswer, ResetsLater, ClosesIdle,
	ForgetsIdle, ComesUpLate, HalfCloses}

// Fault is what a link does to its traffic.
type Fault struct {
	Kind Kind
	Max  time.Duration // bounds the times that its kind draws
}

const (
	oneIn        = 8 // messages that a fault strikes which strikes some
	lateOneIn    = 3 // connections that come up late
	longestPiece = 7 // bytes
	piecePause   = 500 * time.Microsecond
	// backlog is how many connections wait to be accepted while the link is not silent.
	backlog = 1024
	// fillWithin is how long the link tries to take the place of a connection that would still come up.
	fillWithin = 100 * time.Millisecond
)

// Sent is a query that a gateway has written whole.
type Sent struct {
	Text        string
	First, Last time.Time   // when its first and its last byte came
	Open        func() bool // whether the gateway still waits for the answer: it has ended neither the connection nor its sending
}

// Answer is one that a host has written whole.
type Answer struct {
	Text     string // of its query
	Follower bool   // it names the host a follower
	Made     time.Time
}

// Watcher is told what passes a link; its functions are called at once, and none may be nil.
type Watcher struct {
	Sent       func(Sent)   // a query has come, before any of its last bytes goes on
	Delivering func(Answer) // the last bytes of an answer are about to be written, on a connection that the gateway has not ended
	Delivered  func(Answer) // they have been, and it has not ended it
}

// Link is the way from one gateway to one host.
type Link struct {
	target   string
	watch    Watcher
	listener *net.TCPListener
	address  string

	mu     sync.Mutex
	rng    *rand.Rand
	fault  Fault
	over   chan struct{} // closed at the fault's end
	conns  map[*conn]bool
	closed bool
}

// New starts a link to a host's address.
func New(target string, seed uint64, watch Watcher) (*Link, error) {
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{target: target, watch: watch, listener: n.(*net.TCPListener), address: n.Addr().String(),
		rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), over: make(chan struct{}), conns: map[*conn]bool{}}
	go l.accept()
	return l, nil
}

// Address is where the gateway finds the host.
func (l *Link) Address() string { return l.address }

// Begin begins a fault, in place of the one before; end ends it, unless another has begun since.
func (l *Link) Begin(f Fault) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked()
	over := make(chan struct{})
	l.fault, l.over = f, over
	switch f.Kind {
	case Silent:
		l.listen(0)
		_ = l.listener.SetDeadline(time.Unix(1, 0))
	case ClosesIdle, ForgetsIdle:
		for c := range l.conns {
			c.rest(f)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.over == over {
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
	close(l.over)
}

// Close ends the link and its connections.
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

// listen sets how many connections come up that nobody accepts.
func (l *Link) listen(backlog int) {
	if raw, err := l.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
	}
}

// current is the fault that there is, and what is closed at its end.
func (l *Link) current() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.over
}

// draw draws a number below n.
func (l *Link) draw(n int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Int64N(max(n, 1))
}

func (l *Link) accept() {
	for {
		c, err := l.listener.AcceptTCP()
		if err == nil {
			go l.carry(c)
			continue
		}
		if !errors.Is(err, syscall.ETIMEDOUT) && !isTimeout(err) {
			return
		}
		fault, over := l.current()
		if fault.Kind != Silent {
			continue
		}
		filler, err := net.DialTimeout("tcp4", l.address, fillWithin) // takes the one place that a backlog of 0 leaves
		<-over
		if err == nil {
			filler.Close()
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// carry carries one connection of the gateway until both of its ends are over.
func (l *Link) carry(gateway *net.TCPConn) {
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

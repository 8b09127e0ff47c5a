// Package faults is the fault layer that tests put between processes of the gateway on loopback: every link from one
// member to another runs through a proxy that reads the fleet's frames (package fleet) and drops, delays, duplicates
// and reorders them, cuts a link one way, partitions the members into sides, and heals. Decisions for a link come from
// its own generator, seeded from the layer's seed, the link and the number of the connection, so that one link's
// faults replay alike whatever the others do.
package faults

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Plan is what happens to frames on a link that is not cut. Probabilities are per frame, within [0, 1].
type Plan struct {
	Drop   float64
	Dup    float64
	Delay  time.Duration // every frame waits this long
	Jitter time.Duration // and up to this much more, at random: frames overtake each other
}

// Counts is what the layer did, for a test's figures.
type Counts struct {
	Passed, Dropped, Duplicated, Cut uint64
	Held                             uint64 // kept on their way by Hold, released or not
}

// Layer holds the links' state. Its methods are safe for concurrent use.
type Layer struct {
	seed uint64

	mu    sync.Mutex
	plan  Plan
	cut   map[[2]uint16]bool // from, to
	conns map[[2]uint16]uint64
	held  map[[2]uint16]chan struct{} // closed at the release
	n     Counts
}

// New makes a layer with its seed and a plan for all links.
func New(seed uint64, plan Plan) *Layer {
	return &Layer{seed: seed, plan: plan, cut: map[[2]uint16]bool{}, conns: map[[2]uint16]uint64{},
		held: map[[2]uint16]chan struct{}{}}
}

// SetPlan changes the plan of all links from now on.
func (l *Layer) SetPlan(p Plan) { l.mu.Lock(); l.plan = p; l.mu.Unlock() }

// Cut stops frames from one member to another; the other way stays open.
func (l *Layer) Cut(from, to uint16) { l.mu.Lock(); l.cut[[2]uint16{from, to}] = true; l.mu.Unlock() }

// Partition cuts every link between members of different sides, both ways.
func (l *Layer) Partition(sides ...[]uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range sides {
		for j, b := range sides {
			if i == j {
				continue
			}
			for _, x := range a {
				for _, y := range b {
					l.cut[[2]uint16{x, y}] = true
				}
			}
		}
	}
}

// Hold keeps every frame from one member to another on its way, from now on, until Release: they arrive then, however long
// that takes, so that what a test wants to come late comes after what it waits for, on a slow machine as well.
func (l *Layer) Hold(from, to uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[[2]uint16{from, to}] == nil {
		l.held[[2]uint16{from, to}] = make(chan struct{})
	}
}

// Release lets what Hold kept arrive, and what comes from now on.
func (l *Layer) Release(from, to uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.held[[2]uint16{from, to}]; held != nil {
		close(held)
		delete(l.held, [2]uint16{from, to})
	}
}

// Heal opens every link.
func (l *Layer) Heal() { l.mu.Lock(); l.cut = map[[2]uint16]bool{}; l.mu.Unlock() }

// Counts is what the layer did so far.
func (l *Layer) Counts() Counts { l.mu.Lock(); defer l.mu.Unlock(); return l.n }

// Serve accepts connections on ln that member from opens to member to, dials target for each, and carries frames
// both ways through the faults until ctx ends.
func (l *Layer) Serve(ctx context.Context, ln net.Listener, from, to uint16, target string) error {
	go func() { <-ctx.Done(); ln.Close() }()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("fault layer %d->%d: %w", from, to, err)
		}
		l.mu.Lock()
		n := l.conns[[2]uint16{from, to}]
		l.conns[[2]uint16{from, to}]++
		l.mu.Unlock()
		go l.carry(ctx, c, from, to, target, n)
	}
}

func (l *Layer) carry(ctx context.Context, c net.Conn, from, to uint16, target string, n uint64) {
	defer c.Close()
	var d net.Dialer
	t, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan struct{}, 2)
	go func() { l.pipe(c, t, from, to, n); done <- struct{}{} }()
	go func() { l.pipe(t, c, to, from, n); done <- struct{}{} }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// pipe carries frames from src to dst with the faults of link from->to.
func (l *Layer) pipe(src io.Reader, dst net.Conn, from, to uint16, n uint64) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(from)<<48|uint64(to)<<32|n))
	var wmu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	write := func(b []byte) {
		wmu.Lock()
		_, _ = dst.Write(b)
		wmu.Unlock()
	}
	for {
		frame, err := readFrame(src)
		if err != nil {
			dst.Close()
			return
		}
		f := l.draw(rng, [2]uint16{from, to})
		for range f.copies {
			switch {
			case f.held != nil:
				wg.Go(func() {
					<-f.held
					write(frame)
				})
			case f.wait == 0:
				write(frame)
			default:
				wg.Add(1)
				time.AfterFunc(f.wait, func() { defer wg.Done(); write(frame) })
			}
		}
	}
}

// maxFrame is the longest frame that is carried, in bytes.
const maxFrame = 1 << 21

// errNoFrame says that what came is no frame: the layer does not make up what it cannot read.
var errNoFrame = errors.New("no frame")

func readFrame(src io.Reader) ([]byte, error) {
	var h [4]byte
	if _, err := io.ReadFull(src, h[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(h[:])
	if size > maxFrame {
		return nil, errNoFrame
	}
	frame := make([]byte, 4+size)
	copy(frame, h[:])
	_, err := io.ReadFull(src, frame[4:])
	return frame, err
}

// fate is what becomes of one frame.
type fate struct {
	copies int // 0: it is lost
	wait   time.Duration
	held   chan struct{} // it arrives when this is closed; nil: it is not held
}

// draw draws what becomes of the next frame on a link, and counts it.
func (l *Layer) draw(rng *rand.Rand, link [2]uint16) fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop, dup := rng.Float64() < l.plan.Drop, rng.Float64() < l.plan.Dup
	f := fate{copies: 1, wait: l.plan.Delay, held: l.held[link]}
	if l.plan.Jitter > 0 {
		f.wait += time.Duration(rng.Int64N(int64(l.plan.Jitter)))
	}
	switch {
	case l.cut[link]:
		l.n.Cut++
		return fate{}
	case drop:
		l.n.Dropped++
		return fate{}
	}
	l.n.Passed++
	if f.held != nil {
		l.n.Held++
	}
	if dup {
		l.n.Duplicated++
		f.copies = 2
	}
	return f
}

// ErrNoFreePort is what Listen says when loopback has no port to give.
var ErrNoFreePort = errors.New("no free port on loopback")

// Listen opens a listener on a free loopback port for a link's proxy.
func Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNoFreePort, err)
	}
	return ln, nil
}

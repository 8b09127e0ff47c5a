// Package faults provides a fault layer that tests put between gateway processes on loopback. Every link from one member to
// another runs through a proxy that reads the fleet's frames (package fleet) and drops, delays, duplicates and reorders them.
// It can cut a link in one direction, partition the members and heal the links. The decisions for a link come from its own
// random generator, seeded with the layer's seed, the link and the index of the connection, so that the faults of one link
// are reproducible whatever happens on the others.
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

// Plan defines the faults of frames on a link that is not cut. Drop and Dup are probabilities per frame, within [0, 1].
type Plan struct {
	Drop   float64
	Dup    float64
	Delay  time.Duration // added to every frame
	Jitter time.Duration // maximum of a further random delay, by which frames are reordered
}

// Counts are the numbers of frames by what the layer did with them.
type Counts struct {
	Passed, Dropped, Duplicated, Cut uint64
	Held                             uint64 // delayed by Hold, released or not
}

// Layer is the state of all links. Its methods are safe for concurrent use.
type Layer struct {
	seed uint64

	mu     sync.Mutex
	plan   Plan
	cut    map[[2]uint16]bool // from, to
	conns  map[[2]uint16]uint64
	held   map[[2]uint16]chan struct{} // closed by Release
	counts Counts
}

// New returns a layer with a seed and a plan for all links.
func New(seed uint64, plan Plan) *Layer {
	return &Layer{seed: seed, plan: plan, cut: map[[2]uint16]bool{}, conns: map[[2]uint16]uint64{},
		held: map[[2]uint16]chan struct{}{}}
}

// SetPlan changes the plan of all links from now on.
func (l *Layer) SetPlan(p Plan) { l.mu.Lock(); l.plan = p; l.mu.Unlock() }

// Cut drops all frames from one member to another; the opposite direction stays open.
func (l *Layer) Cut(from, to uint16) { l.mu.Lock(); l.cut[[2]uint16{from, to}] = true; l.mu.Unlock() }

// Partition cuts every link between members of different sides, in both directions.
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

// Hold delays every later frame from one member to another until Release. Unlike a fixed delay, this keeps the order of events
// that a test needs on a slow machine as well.
func (l *Layer) Hold(from, to uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[[2]uint16{from, to}] == nil {
		l.held[[2]uint16{from, to}] = make(chan struct{})
	}
}

// Release delivers the frames delayed by Hold and ends the delay.
func (l *Layer) Release(from, to uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.held[[2]uint16{from, to}]; held != nil {
		close(held)
		delete(l.held, [2]uint16{from, to})
	}
}

// Heal ends all cuts.
func (l *Layer) Heal() { l.mu.Lock(); l.cut = map[[2]uint16]bool{}; l.mu.Unlock() }

// Counts returns the numbers so far.
func (l *Layer) Counts() Counts { l.mu.Lock(); defer l.mu.Unlock(); return l.counts }

// Serve accepts connections on ln that member from opens to member to, dials target for each, and forwards frames in both
// directions with the layer's faults until ctx ends.
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
		go l.forward(ctx, c, from, to, target, n)
	}
}

func (l *Layer) forward(ctx context.Context, c net.Conn, from, to uint16, target string, n uint64) {
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

// pipe forwards frames from src to dst with the faults of the link from->to.
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
		f := l.decide(rng, [2]uint16{from, to})
		for range f.copies {
			switch {
			case f.held != nil:
				wg.Go(func() {
					<-f.held
					write(frame)
				})
			case f.delay == 0:
				write(frame)
			default:
				wg.Add(1)
				time.AfterFunc(f.delay, func() { defer wg.Done(); write(frame) })
			}
		}
	}
}

// maxFrame is the maximum size of a frame in bytes.
const maxFrame = 1 << 21

// errFrameTooLong reports that the data is not a valid frame; the layer does not forward it.
var errFrameTooLong = errors.New("frame longer than the maximum")

func readFrame(src io.Reader) ([]byte, error) {
	var h [4]byte
	if _, err := io.ReadFull(src, h[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(h[:])
	if size > maxFrame {
		return nil, errFrameTooLong
	}
	frame := make([]byte, 4+size)
	copy(frame, h[:])
	_, err := io.ReadFull(src, frame[4:])
	return frame, err
}

// decision is the decision on one frame.
type decision struct {
	copies int // 0 if the frame is lost
	delay  time.Duration
	held   chan struct{} // the frame is delivered when this is closed; nil if it is not held
}

// decide decides on the next frame of a link and counts it.
func (l *Layer) decide(rng *rand.Rand, link [2]uint16) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop, dup := rng.Float64() < l.plan.Drop, rng.Float64() < l.plan.Dup
	f := decision{copies: 1, delay: l.plan.Delay, held: l.held[link]}
	if l.plan.Jitter > 0 {
		f.delay += time.Duration(rng.Int64N(int64(l.plan.Jitter)))
	}
	switch {
	case l.cut[link]:
		l.counts.Cut++
		return decision{}
	case drop:
		l.counts.Dropped++
		return decision{}
	}
	l.counts.Passed++
	if f.held != nil {
		l.counts.Held++
	}
	if dup {
		l.counts.Duplicated++
		f.copies = 2
	}
	return f
}

// ErrNoFreePort reports that Listen found no free port on loopback.
var ErrNoFreePort = errors.New("no free port on loopback")

// Listen opens a listener on a free loopback port for a link's proxy.
func Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNoFreePort, err)
	}
	return ln, nil
}

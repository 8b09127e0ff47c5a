// Package gossip decides what gateways tell each other of the hosts, and reads what others tell. Where many gateways
// stand before many hosts, each of them sees little of any host; all of them together see it all. It does no I/O.
//
// A datagram is a head of 5 bytes (version, and the fleet's clock as the sender bounds it from below, in whole milliseconds, modulo 2^32) and notes of 6
// bytes each, one for an attempt or a probe that has ended:
//
//	3 bytes  the host: a hash of its id
//	2 bytes  from the top: 4 bits how it ended, 2 bits the host's role, 2 bits the class (3: none), 4 bits the time
//	         that it took (k stands for 4 ms * 2^(k/2), rounded to the nearest), 4 bits how long before the head's
//	         clock it ended, in steps of 16 ms, rounded up; a role seen longer ago than 15 is not told
//	1 byte   the host's log position: 1 + its age at the head's clock in steps of 4 ms, rounded up; 0: not told. A primary's is
//	         the present: its role is told by the time of its position, and not at all without one
//
// Numbers are big-endian.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"yokemast/balance"
)

const (
	version  = 2 // 1 told of a primary when its answer was handled, which may be long after it was made
	headSize = 5
	noteSize = 6
	maxBytes = 256 // of a datagram, by the platform's protocol
	maxNotes = (maxBytes - headSize) / noteSize

	durationStep = 4 * time.Millisecond
	endedStep    = 16 * time.Millisecond
	ageStep      = 4 * time.Millisecond
	noClass      = 3

	endedMost    = 15  // steps of endedStep that a note has room for
	durationMost = 15  // the highest code of a duration
	ageStepsMost = 254 // steps of ageStep that a note has room for

	// maxAge is how old a datagram may be. They travel for tens of milliseconds; one that comes much later, or from a
	// clock that went wrong, says nothing of now.
	maxAge = 2 * time.Second
	// maxAhead is how far ahead of this clock a datagram may be: clocks are read apart.
	maxAhead = 5 * time.Millisecond
)

// Offsets are what the fleet's clock shows more than the one of this gateway: at least, and at most where that is Bounded.
type Offsets struct {
	Min, Max time.Duration
	Bounded  bool
}

// Config says what a State works with.
type Config struct {
	Gateways        int             // of the tier, this one included
	Classes         []balance.Class // in the order of the settings, which all gateways share
	MaxDelay        time.Duration   // how long a note may wait for others to go with it
	BytesPerRequest float64         // bytes that may be delivered to others for each request taken here
	Burst           float64         // bytes that may be saved up
}

// State is what one gateway tells and hears. It is not safe for concurrent use.
type State struct {
	cfg     Config
	classes map[string]int
	hosts   map[uint32]string // by hash; "": more than one
	pending []balance.RemoteOutcome
	budget  float64
	due     time.Duration // when the pending notes go out
}

// New makes a state.
func New(cfg Config) *State {
	s := &State{cfg: cfg, hosts: map[uint32]string{}, budget: cfg.Burst}
	s.SetClasses(cfg.Classes)
	return s
}

// SetClasses takes the classes anew, in the order that all gateways share.
func (s *State) SetClasses(list []balance.Class) {
	s.cfg.Classes, s.classes = list, map[string]int{}
	for i, c := range list {
		if i < noClass {
			s.classes[c.Name] = i
		}
	}
}

func hash(host string) uint32 { return uint32(xxhash.Sum64String(host) >> 40) }

// AddHost makes a host known. What is told of two that share a hash is not believed of either.
func (s *State) AddHost(id string) {
	h := hash(id)
	if old, known := s.hosts[h]; known && old != id {
		id = ""
	}
	s.hosts[h] = id
}

// RemoveHost lets go of a host that is gone for good.
func (s *State) RemoveHost(id string) {
	if h := hash(id); s.hosts[h] == id {
		delete(s.hosts, h)
	}
}

// Credit adds to the budget what one request that came in allows to be told.
func (s *State) Credit() { s.budget = min(s.budget+s.cfg.BytesPerRequest, s.cfg.Burst) }

// AddEntry takes how an attempt or a probe ended here; told says that others will hear of it.
func (s *State) AddEntry(now time.Duration, n balance.RemoteOutcome) (told bool) {
	cost := float64(noteSize * (s.cfg.Gateways - 1))
	if len(s.pending) == 0 {
		cost += float64(headSize * (s.cfg.Gateways - 1))
	}
	if s.budget < cost || len(s.pending) >= maxNotes {
		return false
	}
	s.budget -= cost
	if len(s.pending) == 0 {
		s.due = now + s.cfg.MaxDelay
	}
	if s.pending = append(s.pending, n); len(s.pending) == maxNotes {
		s.due = now
	}
	return true
}

// Due says when a datagram is to be sent; not ok: there is none.
func (s *State) Due() (at time.Duration, ok bool) { return s.due, len(s.pending) > 0 }

// AppendMessage appends the datagram that is due.
//
// Positions are told by the fleet's clock, as hosts told them: how exactly the sender knows its own does not add to their age.
func (s *State) AppendMessage(now time.Duration, ahead Offsets, out []byte) []byte {
	out = append(out, version)
	fleet := (now + ahead.Min) / time.Millisecond // rounded down: what is counted back from it is never later than it was
	out = binary.BigEndian.AppendUint32(out, uint32(fleet))
	fleetHead := fleet * time.Millisecond
	head := fleetHead - ahead.Min
	for _, n := range s.pending {
		out = s.appendNote(out, n, head, fleetHead)
	}
	s.pending = s.pending[:0]
	return out
}

// appendNote appends one note to a datagram whose head is a time by this gateway's clock, and by the fleet's.
func (s *State) appendNote(out []byte, n balance.RemoteOutcome, head, fleetHead time.Duration) []byte {
	class, known := s.classes[n.Class]
	if !known {
		class = noClass
	}
	h := hash(n.Server)
	// Roles count by their time: one told as later than it was seen would bring back a primary that is none any more.
	ended := (max(head-n.At, 0) + endedStep - 1) / endedStep
	if ended > endedMost {
		ended, n.Role = endedMost, balance.Unknown
	}
	info := uint16(n.Result)<<12 | uint16(n.Role)<<10 | uint16(class)<<8 | uint16(durationCode(n.Took))<<4 | uint16(ended)
	return append(out, byte(h>>16), byte(h>>8), byte(h), byte(info>>8), byte(info), ageCode(fleetHead-n.Position, n.Position))
}

func durationCode(d time.Duration) int {
	if d <= durationStep {
		return 0
	}
	return min(durationMost, int(math.Round(2*math.Log2(float64(d)/float64(durationStep)))))
}

func durationOf(code int) time.Duration {
	return time.Duration(float64(durationStep) * math.Pow(2, float64(code)/2))
}

// ageCode rounds up: a position told must not be later than the host's.
func ageCode(age, position time.Duration) byte {
	if position <= 0 {
		return 0
	}
	steps := (max(age, 0) + ageStep - 1) / ageStep
	if steps > ageStepsMost {
		return 0 // too old to be of use
	}
	return byte(1 + steps)
}

// Errors of datagrams that can't be read.
var (
	ErrVersion = errors.New("gossip: unknown version")
	ErrLength  = errors.New("gossip: length of no datagram")
	ErrClock   = errors.New("gossip: sent too long ago, or in the future")
	ErrNote    = errors.New("gossip: a note with an unknown result or role")
)

// Receive reads a datagram. One that is at fault in any part is not used at all. Notes on hosts that this gateway's list does not
// name are left out. Positions come by the fleet's clock; when an attempt ended, and since when a host leads, by the clock that now is read from as the
// earliest that it may have been. Without an upper bound of the fleet's clock neither is known.
func (s *State) Receive(now time.Duration, ahead Offsets, b []byte, out []balance.RemoteOutcome) ([]balance.RemoteOutcome, error) {
	switch {
	case len(b) < 1 || b[0] != version:
		return out, ErrVersion
	case len(b) < headSize+noteSize || len(b) > maxBytes || (len(b)-headSize)%noteSize != 0:
		return out, fmt.Errorf("%w: %d bytes", ErrLength, len(b))
	}
	// The head: the reading of the fleet's clock, modulo 2^32, that is nearest to now.
	ms := (now + ahead.Min) / time.Millisecond
	head := (ms + time.Duration(int32(binary.BigEndian.Uint32(b[1:])-uint32(ms)))) * time.Millisecond
	if ahead.Bounded && head-ahead.Max > now+maxAhead || head-ahead.Min < now-maxAge {
		return out, fmt.Errorf("%w: %s to %s", ErrClock, now-head+ahead.Min, now-head+ahead.Max)
	}
	from := len(out)
	for b = b[headSize:]; len(b) > 0; b = b[noteSize:] {
		out = append(out, balance.RemoteOutcome{})
		n := &out[len(out)-1]
		if err := s.readNote(now, ahead, head, b, n); err != nil {
			return out[:from], err
		}
		if n.Server == "" {
			out = out[:len(out)-1]
		}
	}
	return out, nil
}

// readNote reads the first note of b into n, from a datagram whose head is a time by the fleet's clock. No server: it is not known.
func (s *State) readNote(now time.Duration, ahead Offsets, head time.Duration, b []byte, n *balance.RemoteOutcome) error {
	info := binary.BigEndian.Uint16(b[3:])
	n.Server, n.Source = s.hosts[uint32(b[0])<<16|uint32(b[1])<<8|uint32(b[2])], balance.FromGossip
	n.Result, n.Role, n.Took = balance.Result(info>>12), balance.Role(info>>10&3), durationOf(int(info>>4&15))
	if n.Result > balance.Garbled || n.Role > balance.Replica {
		return ErrNote
	}
	if ahead.Bounded {
		n.At = min(head-ahead.Max, now) - time.Duration(info&15)*endedStep
	}
	if class := int(info >> 8 & 3); class < min(noClass, len(s.cfg.Classes)) {
		n.Class = s.cfg.Classes[class].Name
	}
	if b[5] > 0 {
		n.Position = head - time.Duration(b[5]-1)*ageStep // by the fleet's clock
		n.NotBefore = min(n.Position-ahead.Max, now)
	}
	if n.Role == balance.Primary && (n.Position == 0 || !ahead.Bounded) {
		n.Role = balance.Unknown // a primary's position is the time of its word; without one, or bounds, that is not known
	}
	return nil
}

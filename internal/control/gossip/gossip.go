// Package gossip encodes and decodes the messages in which gateways share observations about hosts. Where
// many gateways serve many hosts, each gateway sees little of any one host, while all gateways together see
// all of its traffic. The package does no I/O.
//
// A gossip message is one datagram: a header of 5 bytes (1 byte version, 4 bytes fleet clock: the lower bound
// that the sender has for it, in whole milliseconds, modulo 2^32), followed by entries of 6 bytes each. Each
// entry describes one attempt or probe that has ended:
//
//	3 bytes  host: a hash of its id
//	2 bytes  from the most significant bit: 4 bits result, 2 bits role of the host, 2 bits class (3: none), 4 bits
//	         duration (k stands for 4 ms * 2^(k/2), rounded to the nearest), 4 bits time from the end of the attempt
//	         to the header's clock, in steps of 16 ms, rounded up; if that is more than 15 steps, the role is left out
//	1 byte   log position of the host: 1 + its age at the header's clock in steps of 4 ms, rounded up, or 0 if it is
//	         not sent. The position of a primary is the current time, so the position also dates its role; the role
//	         of a primary is ignored if the entry has no position.
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
	// Version 1 dated a primary by the time its answer was handled, which may be long after the answer was
	// made.
	version        = 2
	headerSize     = 5
	entrySize      = 6
	maxMessageSize = 256 // size limit of a datagram in the platform's protocol
	maxEntries     = (maxMessageSize - headerSize) / entrySize

	durationStep = 4 * time.Millisecond
	endedStep    = 16 * time.Millisecond
	ageStep      = 4 * time.Millisecond
	noClass      = 3

	maxEndedSteps   = 15  // largest number of steps of endedStep that an entry can hold
	maxDurationCode = 15  // largest duration code
	maxAgeSteps     = 254 // largest number of steps of ageStep that an entry can hold

	// maxAge is the maximum age of a message. Messages travel for tens of milliseconds; one that arrives much
	// later, or was sent by a gateway with a wrong clock, does not describe the current state of a host.
	maxAge = 2 * time.Second
	// maxFuture is the tolerance for messages from the future, as sender and receiver read their clocks
	// independently.
	maxFuture = 5 * time.Millisecond
)

// Offsets holds the lower and the upper bound of the fleet's clock minus the local clock. The upper bound is
// only valid if Bounded is set.
type Offsets struct {
	Min, Max time.Duration
	Bounded  bool
}

// Config is the configuration of a State.
type Config struct {
	Gateways        int             // number of gateways in the tier, including this one
	Classes         []balance.Class // in the order of the settings, which all gateways share
	MaxDelay        time.Duration   // maximum delay of an entry while more entries are collected for its message
	BytesPerRequest float64         // bytes added to the send budget for each request that this gateway accepts
	Burst           float64         // maximum send budget in bytes
}

// State holds the pending entries, the send budget and the known hosts of one gateway. It is not safe for
// concurrent use.
type State struct {
	cfg     Config
	classes map[string]int
	hosts   map[uint32]string // host id by hash, or "" if several hosts share the hash
	pending []balance.RemoteOutcome
	budget  float64
	dueAt   time.Duration // when the pending entries are to be sent
}

// New returns a State without hosts whose send budget is full.
func New(cfg Config) *State {
	s := &State{cfg: cfg, hosts: map[uint32]string{}, budget: cfg.Burst}
	s.SetClasses(cfg.Classes)
	return s
}

// SetClasses replaces the classes, which must be in the order that all gateways share.
func (s *State) SetClasses(list []balance.Class) {
	s.cfg.Classes, s.classes = list, map[string]int{}
	for i, c := range list {
		if i < noClass {
			s.classes[c.Name] = i
		}
	}
}

func hostHash(host string) uint32 { return uint32(xxhash.Sum64String(host) >> 40) }

// AddHost adds a host. Entries about hosts that share a hash are ignored.
func (s *State) AddHost(id string) {
	h := hostHash(id)
	if old, known := s.hosts[h]; known && old != id {
		id = ""
	}
	s.hosts[h] = id
}

// RemoveHost removes a host.
func (s *State) RemoveHost(id string) {
	if h := hostHash(id); s.hosts[h] == id {
		delete(s.hosts, h)
	}
}

// Credit adds the share of one accepted request to the send budget.
func (s *State) Credit() { s.budget = min(s.budget+s.cfg.BytesPerRequest, s.cfg.Burst) }

// AddEntry adds the result of an attempt or a probe of this gateway to the pending entries. It returns false if the
// budget is spent or the pending message is full; the result is then not sent.
func (s *State) AddEntry(now time.Duration, entry balance.RemoteOutcome) (accepted bool) {
	cost := float64(entrySize * (s.cfg.Gateways - 1))
	if len(s.pending) == 0 {
		cost += float64(headerSize * (s.cfg.Gateways - 1))
	}
	if s.budget < cost || len(s.pending) >= maxEntries {
		return false
	}
	s.budget -= cost
	if len(s.pending) == 0 {
		s.dueAt = now + s.cfg.MaxDelay
	}
	if s.pending = append(s.pending, entry); len(s.pending) == maxEntries {
		s.dueAt = now
	}
	return true
}

// Due returns when the pending message is to be sent; ok is false if there is none.
func (s *State) Due() (at time.Duration, ok bool) { return s.dueAt, len(s.pending) > 0 }

// AppendMessage appends the pending message to out and clears the pending entries.
//
// Positions are encoded by the fleet's clock, as hosts report them, so that the uncertainty of the sender's
// offset does not add to their age.
func (s *State) AppendMessage(now time.Duration, offsets Offsets, out []byte) []byte {
	out = append(out, version)
	// fleetTime is a count of whole milliseconds, not a duration in nanoseconds. It is rounded down, so that no encoded time
	// is later than the real one.
	fleetTime := (now + offsets.Min) / time.Millisecond
	out = binary.BigEndian.AppendUint32(out, uint32(fleetTime))
	headerFleetClock := fleetTime * time.Millisecond
	headerClock := headerFleetClock - offsets.Min
	for _, entry := range s.pending {
		out = s.appendEntry(out, entry, headerClock, headerFleetClock)
	}
	s.pending = s.pending[:0]
	return out
}

// appendEntry appends one entry to a message. The time in the message's header is passed by the local clock
// and by the fleet's clock.
func (s *State) appendEntry(out []byte, entry balance.RemoteOutcome, headerClock, headerFleetClock time.Duration) []byte {
	class, known := s.classes[entry.Class]
	if !known {
		class = noClass
	}
	id := hostHash(entry.Server)
	// The latest role wins: one dated later than it was observed could reinstate a former primary.
	ended := (max(headerClock-entry.At, 0) + endedStep - 1) / endedStep
	if ended > maxEndedSteps {
		ended, entry.Role = maxEndedSteps, balance.Unknown
	}
	info := uint16(entry.Result)<<12 | uint16(entry.Role)<<10 | uint16(class)<<8 | uint16(encodeDuration(entry.Took))<<4 | uint16(ended)
	return append(out, byte(id>>16), byte(id>>8), byte(id), byte(info>>8), byte(info), encodeAge(headerFleetClock-entry.Position, entry.Position))
}

func encodeDuration(d time.Duration) int {
	if d <= durationStep {
		return 0
	}
	return min(maxDurationCode, int(math.Round(2*math.Log2(float64(d)/float64(durationStep)))))
}

func decodeDuration(code int) time.Duration {
	return time.Duration(float64(durationStep) * math.Pow(2, float64(code)/2))
}

// encodeAge encodes the age of a position, or 0 if there is no position or it is too old. It rounds up, as a
// decoded position must not be later than the host's.
func encodeAge(age, position time.Duration) byte {
	if position <= 0 {
		return 0
	}
	steps := (max(age, 0) + ageStep - 1) / ageStep
	if steps > maxAgeSteps {
		return 0
	}
	return byte(1 + steps)
}

// Errors returned by Receive.
var (
	ErrVersion = errors.New("gossip: unknown version")
	ErrLength  = errors.New("gossip: invalid message length")
	ErrClock   = errors.New("gossip: message too old or from the future")
	ErrEntry   = errors.New("gossip: entry with an unknown result or role")
)

// Receive decodes a message and appends its entries to out. It rejects the whole message if any part of it is
// invalid, and skips entries about unknown hosts. Positions are by the fleet's clock. The end of an attempt
// and the time since when a host is primary are by the local clock, the one that now is read from, and are
// the earliest possible times. Without an upper bound of the fleet's clock neither is known, and the role of a
// primary is left out.
func (s *State) Receive(now time.Duration, offsets Offsets, b []byte, out []balance.RemoteOutcome) ([]balance.RemoteOutcome, error) {
	switch {
	case len(b) < 1 || b[0] != version:
		return out, ErrVersion
	case len(b) < headerSize+entrySize || len(b) > maxMessageSize || (len(b)-headerSize)%entrySize != 0:
		return out, fmt.Errorf("%w: %d bytes", ErrLength, len(b))
	}
	// The header holds the fleet's clock in ms modulo 2^32: take the value nearest to now. fleetTime is a count of whole
	// milliseconds, not a duration in nanoseconds.
	fleetTime := (now + offsets.Min) / time.Millisecond
	headerFleetClock := (fleetTime + time.Duration(int32(binary.BigEndian.Uint32(b[1:])-uint32(fleetTime)))) * time.Millisecond
	if offsets.Bounded && headerFleetClock-offsets.Max > now+maxFuture || headerFleetClock-offsets.Min < now-maxAge {
		return out, fmt.Errorf("%w: %s to %s", ErrClock, now-headerFleetClock+offsets.Min, now-headerFleetClock+offsets.Max)
	}
	start := len(out)
	for b = b[headerSize:]; len(b) > 0; b = b[entrySize:] {
		out = append(out, balance.RemoteOutcome{})
		entry := &out[len(out)-1]
		if err := s.decodeEntry(now, offsets, headerFleetClock, b, entry); err != nil {
			return out[:start], err
		}
		if entry.Server == "" {
			out = out[:len(out)-1]
		}
	}
	return out, nil
}

// decodeEntry decodes the first entry of b into entry. The time in the message's header is passed by the
// fleet's clock. It leaves the server empty if the host is unknown.
func (s *State) decodeEntry(now time.Duration, offsets Offsets, headerFleetClock time.Duration, b []byte, entry *balance.RemoteOutcome) error {
	info := binary.BigEndian.Uint16(b[3:])
	entry.Server, entry.Source = s.hosts[uint32(b[0])<<16|uint32(b[1])<<8|uint32(b[2])], balance.FromGossip
	entry.Result, entry.Role, entry.Took = balance.Result(info>>12), balance.Role(info>>10&3), decodeDuration(int(info>>4&15))
	if entry.Result > balance.Garbled || entry.Role > balance.Replica {
		return ErrEntry
	}
	if offsets.Bounded {
		entry.At = min(headerFleetClock-offsets.Max, now) - time.Duration(info&15)*endedStep
	}
	if class := int(info >> 8 & 3); class < min(noClass, len(s.cfg.Classes)) {
		entry.Class = s.cfg.Classes[class].Name
	}
	if b[5] > 0 {
		entry.Position = headerFleetClock - time.Duration(b[5]-1)*ageStep
		entry.NotBefore = min(entry.Position-offsets.Max, now)
	}
	if entry.Role == balance.Primary && (entry.Position == 0 || !offsets.Bounded) {
		// The position dates the role of a primary; without it, or without an upper bound, the date is unknown.
		entry.Role = balance.Unknown
	}
	return nil
}

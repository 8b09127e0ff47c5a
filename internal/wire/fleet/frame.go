// Package fleet implements the frames that gateways exchange over TCP for consensus and leases: the consensus library's
// messages, requests of gateways to the voters for leases, and their answers. It is not used where the platform allows
// only datagrams of 256 bytes between gateways, as a consensus message does not fit in one.
//
// A frame is
//
//	4 bytes  length of the rest, at most MaxFrame
//	1 byte   kind
//	2 bytes  member id of the sender
//	...      the payload: for KindRaft a raftpb.Message in protocol buffers, for asks a lease entry, for answers
//	         the proposal, 1 byte held (1) or not (0) and the token, for acts the lease's name and the token
//
// Numbers are big-endian. A reader checks the length before it reads the rest, the kind, that the sender is a member
// and, for consensus messages, that the message says it comes from the sender; a frame that fails any check ends the
// connection, and the caller counts it.
package fleet

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kind is the type of a frame.
type Kind uint8

const (
	KindRaft   Kind = 1 // a message of the consensus library, voter to voter
	KindAsk    Kind = 2 // a lease entry that a gateway asks a voter to propose
	KindAnswer Kind = 3 // a voter's answer to an ask
	KindAct    Kind = 4 // an act under a lease, to the resource: the lease's name, a space, the token
)

// MaxFrame is the maximum size of a frame without its length field, in bytes. Messages of the consensus library are
// limited to 64 KiB of entries, and a snapshot of leases is much smaller than MaxFrame.
const MaxFrame = 1 << 20

const headSize = 4 + 1 + 2

// ErrFrame is wrapped by the errors of Read for bytes that are no valid frame of a member.
var ErrFrame = errors.New("bad fleet frame")

// Frame is a decoded frame.
type Frame struct {
	Kind    Kind
	From    uint16
	Payload []byte
}

// Append appends a frame to b.
func Append(b []byte, kind Kind, from uint16, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+2+len(payload)))
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint16(b, from)
	return append(b, payload...)
}

// Reader reads frames from one connection and checks them against the members.
type Reader struct {
	r       *bufio.Reader
	members func(uint16) bool
}

// NewReader returns a Reader of r. members reports whether a sender id is known.
func NewReader(r io.Reader, members func(uint16) bool) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10), members: members}
}

// Read reads the next frame. It returns io.EOF if the connection ends between two frames. Other errors wrap ErrFrame or
// the error of the connection.
func (r *Reader) Read() (Frame, error) {
	var h [headSize]byte
	if _, err := io.ReadFull(r.r, h[:4]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n < 3 || n > MaxFrame {
		return Frame{}, fmt.Errorf("length %d, not within [3, %d]: %w", n, MaxFrame, ErrFrame)
	}
	if _, err := io.ReadFull(r.r, h[4:]); err != nil {
		return Frame{}, fmt.Errorf("frame head: %w", unexpected(err))
	}
	f := Frame{Kind: Kind(h[4]), From: binary.BigEndian.Uint16(h[5:])}
	if f.Kind < KindRaft || f.Kind > KindAct {
		return Frame{}, fmt.Errorf("kind %d from %d: %w", f.Kind, f.From, ErrFrame)
	}
	if !r.members(f.From) {
		return Frame{}, fmt.Errorf("sender %d is no member: %w", f.From, ErrFrame)
	}
	f.Payload = make([]byte, n-3)
	if _, err := io.ReadFull(r.r, f.Payload); err != nil {
		return Frame{}, fmt.Errorf("payload of %d bytes from %d: %w", n-3, f.From, unexpected(err))
	}
	return f, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

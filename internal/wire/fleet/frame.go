// Package fleet frames what gateways send each other over TCP for the fleet's agreements: the consensus library's
// messages, and a gateway's requests for leases to the voters and their answers. It is not used where the platform
// allows only datagrams of 256 bytes between gateways: a consensus message does not fit in one.
//
// A frame is
//
//	4 bytes  length of what follows, at most MaxFrame
//	1 byte   kind
//	2 bytes  the sender's member id
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

// Kind is what a frame carries.
type Kind uint8

const (
	KindRaft   Kind = 1 // a message of the consensus library, voter to voter
	KindAsk    Kind = 2 // a lease entry that a gateway asks a voter to propose
	KindAnswer Kind = 3 // a voter's answer to an ask
	KindAct    Kind = 4 // an act under a lease, to the side acted on: the lease's name, a space, the token
)

// MaxFrame bounds a frame after its length, in bytes: the consensus library's messages are held to 64 KiB of
// entries, and a snapshot of leases is far smaller than the rest.
const MaxFrame = 1 << 20

const head = 4 + 1 + 2

// ErrFrame is what Read says of bytes that are no frame of a member.
var ErrFrame = errors.New("bad fleet frame")

// Frame is one frame read.
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

// NewReader reads from r; members says which sender ids are known.
func NewReader(r io.Reader, members func(uint16) bool) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10), members: members}
}

// Read reads the next frame. io.EOF at a frame's boundary is a clean end; anything else is an error that wraps
// ErrFrame or the connection's.
func (r *Reader) Read() (Frame, error) {
	var h [head]byte
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

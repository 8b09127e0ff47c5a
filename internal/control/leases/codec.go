package leases

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// An entry is encoded in the replicated log as
//
//	1 byte   format version (1)
//	1 byte   Op
//	8 bytes  proposal number: identifies the proposing node and its proposal, so that the proposer gets the result
//	8 bytes  Term
//	8 bytes  Now, in nanoseconds
//	8 bytes  TTL, in nanoseconds
//	8 bytes  Token
//	1 byte   length of Name, then Name
//	1 byte   length of Holder, then Holder
//
// Numbers are big-endian. The format has no checksum. Decode rejects a wrong version and inconsistent lengths,
// but not every changed byte.
const (
	codecVersion   = 1
	codecFixedSize = 2 + 8*5
	// MaxEncoded is the maximum size of an encoded entry in bytes.
	MaxEncoded = codecFixedSize + 2 + 2*MaxName
)

// ErrCodec is returned by Decode for bytes that are not an entry of this format.
var ErrCodec = errors.New("not a lease entry")

// Encode appends an encoded entry with its proposal number to b.
func Encode(b []byte, proposal uint64, e Entry) []byte {
	b = append(b, codecVersion, byte(e.Op))
	b = binary.BigEndian.AppendUint64(b, proposal)
	b = binary.BigEndian.AppendUint64(b, e.Term)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Now))
	b = binary.BigEndian.AppendUint64(b, uint64(e.TTL))
	b = binary.BigEndian.AppendUint64(b, e.Token)
	b = append(b, byte(len(e.Name)))
	b = append(b, e.Name...)
	b = append(b, byte(len(e.Holder)))
	return append(b, e.Holder...)
}

// Decode decodes an entry written by Encode. It checks the encoding only; Machine.Apply validates the entry.
func Decode(b []byte) (proposal uint64, e Entry, err error) {
	if len(b) < codecFixedSize+2 || len(b) > MaxEncoded {
		return 0, Entry{}, fmt.Errorf("%d bytes: %w", len(b), ErrCodec)
	}
	if b[0] != codecVersion {
		return 0, Entry{}, fmt.Errorf("format version %d, want %d: %w", b[0], codecVersion, ErrCodec)
	}
	e.Op = Op(b[1])
	proposal = binary.BigEndian.Uint64(b[2:])
	e.Term = binary.BigEndian.Uint64(b[10:])
	e.Now = time.Duration(binary.BigEndian.Uint64(b[18:]))
	e.TTL = time.Duration(binary.BigEndian.Uint64(b[26:]))
	e.Token = binary.BigEndian.Uint64(b[34:])
	rest := b[codecFixedSize:]
	name, rest, ok := cutField(rest)
	if !ok {
		return 0, Entry{}, fmt.Errorf("truncated name: %w", ErrCodec)
	}
	holder, rest, ok := cutField(rest)
	if !ok || len(rest) != 0 {
		return 0, Entry{}, fmt.Errorf("truncated holder, or trailing bytes: %w", ErrCodec)
	}
	e.Name, e.Holder = string(name), string(holder)
	return proposal, e, nil
}

// cutField splits a field with a length prefix of one byte from the start of b.
func cutField(b []byte) (field, rest []byte, ok bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return nil, nil, false
	}
	n := int(b[0])
	return b[1 : 1+n], b[1+n:], true
}

package pg

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"time"
)

// A large statement is an INSERT whose value does not fit into a message of MaxMessage. Its hex digits are decoded,
// held as chunks of bytes, and written as the same digits again.

const (
	// MaxValue is the maximum size of a value in bytes.
	MaxValue = 4 << 20
	// MaxLarge is the maximum length of a message body with a large statement: the value in hex and the
	// statement around it.
	MaxLarge = 2*MaxValue + 8<<10
	// ChunkSize is the size in bytes of the chunks in which a large message is read, held and written.
	ChunkSize = 32 << 10
	// maxLargeHead limits the text of a large statement before its value, maxLargeTail the text after it.
	maxLargeHead = len(insertHead) + 2*maxKeyLength + 16
	maxLargeTail = 4 << 10
)

// LargeMemory returns the memory in bytes that a large message of the given length needs: typical if its hex digits are
// all upper case or all lower case, limit otherwise.
func LargeMemory(length int) (typical, limit int64) {
	const overhead = 2*ChunkSize + int64(maxLargeHead+maxLargeTail)
	return int64(length)/2 + overhead, int64(length) + overhead
}

// largeValue is a large value in memory.
type largeValue struct {
	chunks       [][]byte
	digits       int
	digitKinds   byte // kinds of its digits, combined
	asDigits     bool // the digits have mixed case, so chunks holds digits instead of bytes
	pendingDigit byte // first digit of an incomplete byte; 0: none
}

// LargeReader reads a large statement while it arrives.
type LargeReader struct {
	// Reserve reserves memory for n bytes before they are held. If it fails, the reading ends with its error.
	Reserve func(n int) error
	// Read reads at least one byte, like an io.Reader.
	Read func(p []byte) (int, error)

	text          []byte // text around the value
	valueAt       int    // offset of the value in text; 0: not found yet
	inTail        bool   // the value has ended
	value         largeValue
	pendingNibble byte   // upper half of an incomplete byte
	invalid       *Error // why the statement is refused; nil: no fault found yet
}

// Statement reads a body of the given length. The error of a statement that is not served is returned as
// refused, after its body has been read to the end. On any other error, left is the number of bytes that
// remain unread.
func (l *LargeReader) Statement(length int) (s *Statement, refused *Error, left int, err error) {
	if err := l.Reserve(ChunkSize); err != nil {
		return nil, nil, length, err
	}
	buffer := make([]byte, ChunkSize)
	for left = length; left > 0; {
		chunk := buffer[:min(left, len(buffer))]
		for n := 0; n < len(chunk); { // chunks are filled before they are held, as small ones would be too many
			got, err := l.Read(chunk[n:])
			n += got
			left -= got
			if err != nil {
				return nil, nil, left, err
			}
		}
		if l.invalid == nil {
			if err := l.process(chunk); err != nil {
				return nil, nil, left, err
			}
		}
	}
	if l.invalid == nil && !l.inTail {
		l.invalid = syntaxError("malformed INSERT")
	}
	if l.invalid != nil {
		return nil, l.invalid, 0, nil
	}
	if l.text[len(l.text)-1] != 0 {
		return nil, &Error{Code: CodeProtocolViolation, Message: "the query does not end in a zero byte"}, 0, nil
	}
	s, refused = ParseStatement(l.text[:len(l.text)-1])
	if refused != nil {
		return nil, refused, 0, nil
	}
	s.value, s.valueAt = &l.value, l.valueAt
	return s, nil, 0, nil
}

// process handles the next bytes of the body.
func (l *LargeReader) process(b []byte) error {
	if l.valueAt == 0 {
		before := len(l.text)
		headPart := min(len(b), maxLargeHead-before)
		l.text = append(l.text, b[:headPart]...)
		at, final := valueStart(l.text)
		switch {
		case at > 0:
			l.valueAt = at
			l.text = l.text[:at]
			b = b[at-before:]
		case final || len(l.text) >= maxLargeHead:
			l.invalid = &Error{Code: CodeProtocolViolation, Message: "message too long: only an INSERT is as long, with a value in hex"}
			return nil
		default:
			return nil
		}
	}
	if !l.inTail {
		n, kinds := 0, byte(0)
		for n < len(b) && digitKind[b[n]] != 0 {
			kinds |= digitKind[b[n]]
			n++
		}
		if l.value.digits += n; l.value.digits > 2*MaxValue {
			l.invalid = &Error{Code: CodeProtocolViolation, Message: fmt.Sprintf("value of over %d bytes", MaxValue)}
			return nil
		}
		if err := l.appendDigits(b[:n], kinds); err != nil {
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
		if l.inTail = true; l.value.pendingDigit != 0 {
			l.invalid = syntaxError("malformed INSERT")
			return nil
		}
	}
	if len(l.text)-l.valueAt+len(b) > maxLargeTail {
		l.invalid = syntaxError("malformed INSERT")
		return nil
	}
	l.text = append(l.text, b...)
	return nil
}

// valueStart returns the offset of the first digit of an INSERT's value, or 0 if it is not found. In that
// case final reports that more text cannot change that.
func valueStart(text []byte) (at int, final bool) {
	n := min(len(text), len(insertHead))
	if !bytes.Equal(text[:n], []byte(insertHead)[:n]) {
		return 0, true
	}
	if n < len(insertHead) {
		return 0, false
	}
	_, rest, ok := parseQuoted(text[n:])
	const valuePrefix = `, '\x`
	switch {
	case !ok:
		return 0, false
	case bytes.HasPrefix(rest, []byte(valuePrefix)):
		return len(text) - len(rest) + len(valuePrefix), false
	}
	return 0, len(rest) >= len(valuePrefix)
}

// Kinds of hex digits: decimal digits, lower-case and upper-case letters.
const anyCase, lowerCase, upperCase = 1, 2, 4

var digitKind = func() (out [256]byte) {
	for c := range out {
		switch {
		case c >= '0' && c <= '9':
			out[c] = anyCase
		case c >= 'a' && c <= 'f':
			out[c] = lowerCase
		case c >= 'A' && c <= 'F':
			out[c] = upperCase
		}
	}
	return out
}()

// appendDigits stores digits of the given kinds.
func (l *LargeReader) appendDigits(digits []byte, kinds byte) error {
	v := &l.value
	if len(digits) == 0 {
		return nil
	}
	if combined := v.digitKinds | kinds; combined&lowerCase != 0 && combined&upperCase != 0 && !v.asDigits {
		if err := l.switchToDigits(); err != nil {
			return err
		}
	}
	v.digitKinds |= kinds
	hadPending := v.pendingDigit != 0
	v.pendingDigit = 0
	if v.digits%2 != 0 {
		v.pendingDigit = digits[len(digits)-1]
	}
	if v.asDigits {
		if err := l.Reserve(len(digits)); err != nil {
			return err
		}
		v.chunks = append(v.chunks, bytes.Clone(digits))
		return nil
	}
	if err := l.Reserve(len(digits)/2 + 1); err != nil {
		return err
	}
	out := make([]byte, 0, len(digits)/2+1)
	if hadPending {
		out = append(out, l.pendingNibble<<4|nibble(digits[0]))
		digits = digits[1:]
	}
	if v.pendingDigit != 0 {
		l.pendingNibble = nibble(v.pendingDigit)
		digits = digits[:len(digits)-1]
	}
	out, err := hex.AppendDecode(out, digits)
	if err != nil {
		return err // not reached: digitKind passes hex digits only
	}
	v.chunks = append(v.chunks, out)
	return nil
}

// switchToDigits replaces the bytes held so far by their digits, as digits of mixed case cannot be restored
// from bytes.
func (l *LargeReader) switchToDigits() error {
	v := &l.value
	for i, p := range v.chunks {
		if err := l.Reserve(len(p)); err != nil {
			return err
		}
		v.chunks[i] = v.appendHex(nil, p)
	}
	if v.pendingDigit != 0 {
		v.chunks = append(v.chunks, []byte{v.pendingDigit})
	}
	v.asDigits = true
	return nil
}

func nibble(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}

// appendHex appends the hex digits of a chunk.
func (v *largeValue) appendHex(out, chunk []byte) []byte {
	if v.asDigits {
		return append(out, chunk...)
	}
	start := len(out)
	out = hex.AppendEncode(out, chunk)
	if v.digitKinds&upperCase != 0 {
		for i, c := range out[start:] {
			if c >= 'a' {
				out[start+i] = c - 'a' + 'A'
			}
		}
	}
	return out
}

// Large reports whether the statement has a large value. Only WriteQuery can write such a statement.
func (s *Statement) Large() bool { return s.value != nil }

// WriteQuery writes a large statement as a Query message in chunks, unchanged except for d, the
// sender's remaining wait.
func (s *Statement) WriteQuery(w io.Writer, wait time.Duration) error {
	d := s.Text[s.waitStart:s.waitEnd]
	if s.waitEnd > 0 {
		d = strconv.AppendInt(nil, max(wait.Milliseconds(), 1), 10)
	}
	length := len(s.Text) - (s.waitEnd - s.waitStart) + len(d) + s.value.digits + 1
	out := make([]byte, 0, 2*ChunkSize+maxLargeHead)
	out = AppendLong(out, Query, length-s.valueAt, s.Text[:s.valueAt])
	for _, p := range s.value.chunks {
		out = s.value.appendHex(out, p)
		if len(out) >= ChunkSize {
			if _, err := w.Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
	}
	if s.waitEnd > 0 {
		out = append(append(append(out, s.Text[s.valueAt:s.waitStart]...), d...), s.Text[s.waitEnd:]...)
	} else {
		out = append(out, s.Text[s.valueAt:]...)
	}
	_, err := w.Write(append(out, 0))
	return err
}

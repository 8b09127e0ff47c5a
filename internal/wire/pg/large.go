package pg

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"time"
)

// A large statement is an INSERT whose value does not fit into a message of MaxMessage. Its hex digits are decoded, held as
// chunks of bytes, and written as the same digits again.

const (
	// MaxValue is the maximum size of a value in bytes.
	MaxValue = 4 << 20
	// MaxLarge is the maximum length of a message body with a large statement: the value in hex and the
	// statement around it.
	MaxLarge = 2*MaxValue + 8<<10
	// Piece is the size in bytes of the chunks in which a large message is read, held and written.
	Piece = 32 << 10
	// largeHead limits the text of a large statement before its value, largeTail the text after it.
	largeHead = len(insertHead) + 2*maxKeyLength + 16
	largeTail = 4 << 10
)

// LargeNeed returns the memory in bytes that a large message of the given length needs if its digits are of
// one case, and at most.
func LargeNeed(length int) (usual, most int64) {
	const round = 2*Piece + int64(largeHead+largeTail)
	return int64(length)/2 + round, int64(length) + round
}

// packed is a large value in memory.
type packed struct {
	parts  [][]byte
	digits int
	kinds  byte // kinds of its digits, combined
	raw    bool // the digits have mixed case, so parts holds digits instead of bytes
	odd    byte // first digit of an incomplete byte; 0: none
}

// LargeReader reads a large statement while it arrives.
type LargeReader struct {
	// Take reserves memory for n bytes before they are held. If it fails, the reading ends with its error.
	Take func(n int) error
	// Read reads at least one byte, like an io.Reader.
	Read func(p []byte) (int, error)

	text   []byte // text around the value
	at     int    // offset of the value in text; 0: not found yet
	tail   bool   // the value has ended
	value  packed
	first  byte   // upper half of an incomplete byte
	broken *Error // why the statement is refused; nil: no fault found yet
}

// Statement reads a body of the given length. A statement that is refused is returned as bad, after its body
// has been read to the end. On any other error, left is the number of bytes that remain unread.
func (l *LargeReader) Statement(length int) (s *Statement, bad *Error, left int, err error) {
	if err := l.Take(Piece); err != nil {
		return nil, nil, length, err
	}
	buffer := make([]byte, Piece)
	for left = length; left > 0; {
		whole := buffer[:min(left, len(buffer))]
		for n := 0; n < len(whole); { // chunks are filled before they are held, as small ones would be too many
			got, err := l.Read(whole[n:])
			n += got
			left -= got
			if err != nil {
				return nil, nil, left, err
			}
		}
		if l.broken == nil {
			if err := l.add(whole); err != nil {
				return nil, nil, left, err
			}
		}
	}
	if l.broken == nil && !l.tail {
		l.broken = syntax("malformed INSERT")
	}
	if l.broken != nil {
		return nil, l.broken, 0, nil
	}
	if l.text[len(l.text)-1] != 0 {
		return nil, &Error{Code: CodeProtocolViolation, Message: "the query does not end in a zero byte"}, 0, nil
	}
	s, bad = ParseStatement(l.text[:len(l.text)-1])
	if bad != nil {
		return nil, bad, 0, nil
	}
	s.value, s.valueAt = &l.value, l.at
	return s, nil, 0, nil
}

// add processes the next bytes of the body.
func (l *LargeReader) add(b []byte) error {
	if l.at == 0 {
		before := len(l.text)
		room := min(len(b), largeHead-before)
		l.text = append(l.text, b[:room]...)
		at, whole := valueStart(l.text)
		switch {
		case at > 0:
			l.at = at
			l.text = l.text[:at]
			b = b[at-before:]
		case whole || len(l.text) >= largeHead:
			l.broken = &Error{Code: CodeProtocolViolation, Message: "message too long: only an INSERT is as long, with a value in hex"}
			return nil
		default:
			return nil
		}
	}
	if !l.tail {
		n, kinds := 0, byte(0)
		for n < len(b) && digitKind[b[n]] != 0 {
			kinds |= digitKind[b[n]]
			n++
		}
		if l.value.digits += n; l.value.digits > 2*MaxValue {
			l.broken = &Error{Code: CodeProtocolViolation, Message: fmt.Sprintf("value of over %d bytes", MaxValue)}
			return nil
		}
		if err := l.hold(b[:n], kinds); err != nil {
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
		if l.tail = true; l.value.odd != 0 {
			l.broken = syntax("malformed INSERT")
			return nil
		}
	}
	if len(l.text)-l.at+len(b) > largeTail {
		l.broken = syntax("malformed INSERT")
		return nil
	}
	l.text = append(l.text, b...)
	return nil
}

// valueStart returns the offset of the first digit of an INSERT's value, or 0 if it is not found. In that
// case whole reports that more text cannot change that.
func valueStart(text []byte) (at int, whole bool) {
	n := min(len(text), len(insertHead))
	if !bytes.Equal(text[:n], []byte(insertHead)[:n]) {
		return 0, true
	}
	if n < len(insertHead) {
		return 0, false
	}
	_, rest, ok := quoted(text[n:])
	const sign = `, '\x`
	switch {
	case !ok:
		return 0, false
	case bytes.HasPrefix(rest, []byte(sign)):
		return len(text) - len(rest) + len(sign), false
	}
	return 0, len(rest) >= len(sign)
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

// hold stores digits of the given kinds.
func (l *LargeReader) hold(digits []byte, kinds byte) error {
	v := &l.value
	if len(digits) == 0 {
		return nil
	}
	if both := v.kinds | kinds; both&lowerCase != 0 && both&upperCase != 0 && !v.raw {
		if err := l.unpack(); err != nil {
			return err
		}
	}
	v.kinds |= kinds
	odd := v.odd != 0
	v.odd = 0
	if v.digits%2 != 0 {
		v.odd = digits[len(digits)-1]
	}
	if v.raw {
		if err := l.Take(len(digits)); err != nil {
			return err
		}
		v.parts = append(v.parts, bytes.Clone(digits))
		return nil
	}
	if err := l.Take(len(digits)/2 + 1); err != nil {
		return err
	}
	out := make([]byte, 0, len(digits)/2+1)
	if odd {
		out = append(out, l.first<<4|nibble(digits[0]))
		digits = digits[1:]
	}
	if v.odd != 0 {
		l.first = nibble(v.odd)
		digits = digits[:len(digits)-1]
	}
	out, err := hex.AppendDecode(out, digits)
	if err != nil {
		return err // not reached: digitKind passes hex digits only
	}
	v.parts = append(v.parts, out)
	return nil
}

// unpack replaces the bytes held so far by their digits, as digits of mixed case cannot be restored from
// bytes.
func (l *LargeReader) unpack() error {
	v := &l.value
	for i, p := range v.parts {
		if err := l.Take(len(p)); err != nil {
			return err
		}
		v.parts[i] = v.digitsOf(nil, p)
	}
	if v.odd != 0 {
		v.parts = append(v.parts, []byte{v.odd})
	}
	v.raw = true
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

// digitsOf appends the hex digits of a part.
func (v *packed) digitsOf(out, part []byte) []byte {
	if v.raw {
		return append(out, part...)
	}
	from := len(out)
	out = hex.AppendEncode(out, part)
	if v.kinds&upperCase != 0 {
		for i, c := range out[from:] {
			if c >= 'a' {
				out[from+i] = c - 'a' + 'A'
			}
		}
	}
	return out
}

// Large reports whether the statement has a large value. Only WriteQuery can write such a statement.
func (s *Statement) Large() bool { return s.value != nil }

// WriteQuery writes a large statement as a Query message in chunks, unchanged except for d.
func (s *Statement) WriteQuery(w io.Writer, wait time.Duration) error {
	d := s.Text[s.d0:s.d1]
	if s.d1 > 0 {
		d = strconv.AppendInt(nil, max(wait.Milliseconds(), 1), 10)
	}
	length := len(s.Text) - (s.d1 - s.d0) + len(d) + s.value.digits + 1
	out := make([]byte, 0, 2*Piece+largeHead)
	out = AppendLong(out, Query, length-s.valueAt, s.Text[:s.valueAt])
	for _, p := range s.value.parts {
		out = s.value.digitsOf(out, p)
		if len(out) >= Piece {
			if _, err := w.Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
	}
	if s.d1 > 0 {
		out = append(append(append(out, s.Text[s.valueAt:s.d0]...), d...), s.Text[s.d1:]...)
	} else {
		out = append(out, s.Text[s.valueAt:]...)
	}
	_, err := w.Write(append(out, 0))
	return err
}

// Package pg implements version 3 of the PostgreSQL wire protocol for both ends of a connection: framing,
// startup, errors, simple and extended queries, and the statements of the platform with their comment.
package pg

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Types of frontend messages, then of backend messages. Some letters are used by both with different
// meanings.
const (
	Query     = 'Q'
	Terminate = 'X'
	Parse     = 'P'
	Bind      = 'B'
	Describe  = 'D'
	Execute   = 'E'
	Close     = 'C'
	Flush     = 'H'
	Sync      = 'S'
	Function  = 'F'
	CopyData  = 'd'
	CopyDone  = 'c'
	CopyFail  = 'f'
	Password  = 'p'

	Authentication     = 'R'
	ParameterStatus    = 'S'
	BackendKeyData     = 'K'
	NegotiateVersion   = 'v'
	ReadyForQuery      = 'Z'
	RowDescription     = 'T'
	DataRow            = 'D'
	CommandComplete    = 'C'
	EmptyQueryResponse = 'I'
	ErrorResponse      = 'E'
	NoticeResponse     = 'N'
)

// SmallValue is the size in bytes of the largest value that is buffered whole; a larger one is streamed.
const SmallValue = 64 << 10

// MaxMessage is the maximum length of a message body that is buffered whole: a small value in hex and the
// statement around it.
const MaxMessage = 2*SmallValue + 8<<10

// maxSkipped limits the length of any message. Bodies up to it can be skipped; a larger length means that
// framing is lost.
const maxSkipped = 64 << 20

// ErrFraming reports that message boundaries are lost, so the stream cannot be read any further.
var ErrFraming = errors.New("pg: framing lost")

// TooLongError reports a message above the limit. Its body has not been read.
type TooLongError struct{ Length int }

func (e TooLongError) Error() string { return fmt.Sprintf("pg: message of %d bytes", e.Length) }

// ReadHead reads the type of a message and the length of its body.
func ReadHead(r *bufio.Reader) (kind byte, length int, err error) {
	head, err := r.Peek(5) // in the reader's buffer, as an array here would be allocated for each message
	if err != nil {
		if err == io.EOF && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	kind = head[0]
	n := int64(binary.BigEndian.Uint32(head[1:])) - 4
	_, _ = r.Discard(5)
	if n < 0 || n > maxSkipped {
		return kind, 0, fmt.Errorf("%w: length %d", ErrFraming, n)
	}
	return kind, int(n), nil
}

// MessageBuffered reports whether the next message is completely buffered, so that reading it does not block.
func MessageBuffered(r *bufio.Reader) bool {
	buffered := r.Buffered()
	if buffered < 5 {
		return false
	}
	head, err := r.Peek(5)
	return err == nil && int64(binary.BigEndian.Uint32(head[1:])) <= int64(buffered-1)
}

// ReadBody reads the body announced by the head. A body above the limit is left unread, and the error is a
// TooLongError.
func ReadBody(r *bufio.Reader, length, limit int) ([]byte, error) {
	if length > limit {
		return nil, TooLongError{length}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// Skip discards the body announced by the head.
func Skip(r *bufio.Reader, length int) error {
	_, err := io.CopyN(io.Discard, r, int64(length))
	return err
}

// Read reads a complete message.
func Read(r *bufio.Reader, limit int) (kind byte, body []byte, err error) {
	kind, length, err := ReadHead(r)
	if err == nil {
		body, err = ReadBody(r, length, limit)
	}
	return kind, body, err
}

// Append appends a message whose body consists of the given parts.
func Append(out []byte, kind byte, parts ...[]byte) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	out = slices.Grow(out, n+1) // a large value must not be copied repeatedly
	out = binary.BigEndian.AppendUint32(append(out, kind), uint32(n))
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// AppendLong appends the head of a message and the given parts of its body. The caller writes the remaining rest bytes
// of the body after them.
func AppendLong(out []byte, kind byte, rest int, parts ...[]byte) []byte {
	n := 4 + rest
	for _, p := range parts {
		n += len(p)
	}
	out = binary.BigEndian.AppendUint32(append(out, kind), uint32(n))
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func cstring(s string) []byte { return append([]byte(s), 0) }

// AppendQuery appends a Query message with the given text.
func AppendQuery(out []byte, statement string) []byte { return Append(out, Query, cstring(statement)) }

// AppendReady appends ReadyForQuery with the status I, outside a transaction.
func AppendReady(out []byte) []byte { return Append(out, ReadyForQuery, []byte{'I'}) }

func appendDescription(out []byte, v Value) []byte {
	description := append([]byte{0, 1}, "content\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, byte(v.Format))
	return Append(out, RowDescription, description)
}

// AppendRowHead appends the beginning of an answer. The value is to follow, and then AppendComplete.
func AppendRowHead(out []byte, v Value) []byte {
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(v.Size))
	return AppendLong(appendDescription(out, v), DataRow, v.Size, row)
}

// AppendComplete appends CommandComplete with the given tag.
func AppendComplete(out []byte, tag string) []byte { return Append(out, CommandComplete, cstring(tag)) }

// AppendRow appends the answer to a statement with one value.
func AppendRow(out []byte, v Value, tag string) []byte {
	out = appendDescription(out, v)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(v.Data)))
	if v.Data == nil {
		row = []byte{0, 1, 0xff, 0xff, 0xff, 0xff}
	}
	out = Append(out, DataRow, row, v.Data)
	return AppendComplete(out, tag)
}

// Value is the result of a statement in the format that the host sent.
type Value struct {
	Data   []byte      // nil: NULL, or the value is in Stream
	Format int16       // 0 text, 1 binary
	Size   int         // size in bytes of the value in Stream
	Stream ValueStream // a large value; nil: Data is the value
}

// ErrTooOld reports that a value was received completely but proves to be older than its request allows.
var ErrTooOld = errors.New("pg: the value is older than its request allows")

// ValueStream is a large value that is still being received. Its receiver must close it.
type ValueStream interface {
	// Read reads at least one byte. It returns io.EOF once the value is complete and its answer has ended
	// correctly, and ErrTooOld if the value is complete too, but must not be served. After any other error
	// the value will never be complete.
	Read(p []byte) (int, error)
	Close()
}

// RowFormat returns the format of the only column in the body of a RowDescription.
func RowFormat(body []byte) (int16, error) {
	const fixed = 2 + 1 + 18 // column count, terminator of the name, fixed fields of the column
	if len(body) < fixed || binary.BigEndian.Uint16(body) != 1 || bytes.IndexByte(body[2:], 0) != len(body)-fixed {
		return 0, fmt.Errorf("%w: not a row of one column", ErrFraming)
	}
	format := int16(binary.BigEndian.Uint16(body[len(body)-2:]))
	if format != 0 && format != 1 {
		return 0, fmt.Errorf("%w: a column of format %d", ErrFraming, format)
	}
	return format, nil
}

// rowHead is the number of bytes before the value in a DataRow of one column.
const rowHead = 6

// RowLength checks the beginning of a DataRow with a body of the given length, before its value is read.
func RowLength(r *bufio.Reader, length int) error {
	if length < rowHead {
		return fmt.Errorf("%w: a row of %d bytes", ErrFraming, length)
	}
	head, err := r.Peek(rowHead)
	if err != nil {
		return err
	}
	return rowLength(head, length)
}

// RowHead checks and skips the beginning of a DataRow with a body of the given length. It returns the size of
// the value, 0 for NULL.
func RowHead(r *bufio.Reader, length int) (size int, err error) {
	if err := RowLength(r, length); err != nil {
		return 0, err
	}
	_, err = r.Discard(rowHead)
	return length - rowHead, err
}

func rowLength(head []byte, length int) error {
	n := int32(binary.BigEndian.Uint32(head[2:]))
	if binary.BigEndian.Uint16(head) != 1 || int64(n) != int64(length-rowHead) && (n != -1 || length != rowHead) {
		return fmt.Errorf("%w: a column of %d bytes in a row of %d", ErrFraming, n, length)
	}
	return nil
}

// RowData returns the value in the body of a DataRow of one column, nil for NULL.
func RowData(body []byte) ([]byte, error) {
	if len(body) < rowHead {
		return nil, fmt.Errorf("%w: a row of %d bytes", ErrFraming, len(body))
	}
	if err := rowLength(body, len(body)); err != nil {
		return nil, err
	}
	if len(body) == rowHead && int32(binary.BigEndian.Uint32(body[2:])) == -1 {
		return nil, nil
	}
	return body[rowHead:], nil
}

// Parameter parses the body of a ParameterStatus.
func Parameter(body []byte) (name, value string, err error) {
	fields := splitCStrings(body)
	if len(fields) != 2 {
		return "", "", fmt.Errorf("%w: ParameterStatus with %d strings", ErrFraming, len(fields))
	}
	return fields[0], fields[1], nil
}

// splitCStrings splits a sequence of zero-terminated strings.
func splitCStrings(b []byte) (out []string) {
	start := 0
	for i, c := range b {
		if c == 0 {
			out = append(out, string(b[start:i]))
			start = i + 1
		}
	}
	return out
}

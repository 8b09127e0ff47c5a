// Package pg speaks version 3 of PostgreSQL's wire protocol as far as simple queries need it, for both ends of a
// connection: framing, startup, the statements and their comment, and errors.
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

// Types of messages, as sent by a client and by a server. Some letters mean different things to the two.
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

// SmallValue is the size of the largest value that is held whole, in bytes; a larger one is passed on as it comes.
const SmallValue = 64 << 10

// MaxMessage bounds the body of a message that is taken whole: a small value in hex and the statement round it.
const MaxMessage = 2*SmallValue + 8<<10

// maxSkipped bounds a message whose body is read only to be dropped; a longer one means that framing is lost.
const maxSkipped = 64 << 20

// ErrFraming says that the stream can't be followed any further.
var ErrFraming = errors.New("pg: framing lost")

// TooLongError says that a message is over the limit; its body has not been read.
type TooLongError struct{ Length int }

func (e TooLongError) Error() string { return fmt.Sprintf("pg: message of %d bytes", e.Length) }

// ReadHead reads a message's type and the length of its body.
func ReadHead(r *bufio.Reader) (kind byte, length int, err error) {
	head, err := r.Peek(5) // in the reader's own memory: an array here would be allocated for each message
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

// Whole says whether the next message is in the reader's memory to its end, so that reading it waits for nothing.
func Whole(r *bufio.Reader) bool {
	have := r.Buffered()
	if have < 5 {
		return false
	}
	head, err := r.Peek(5)
	return err == nil && int64(binary.BigEndian.Uint32(head[1:])) <= int64(have-1)
}

// ReadBody reads the body that Head announced; one that is longer than most is left unread.
func ReadBody(r *bufio.Reader, length, most int) ([]byte, error) {
	if length > most {
		return nil, TooLongError{length}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// Skip reads past the body that Head announced.
func Skip(r *bufio.Reader, length int) error {
	_, err := io.CopyN(io.Discard, r, int64(length))
	return err
}

// Read reads one message whole.
func Read(r *bufio.Reader, most int) (kind byte, body []byte, err error) {
	kind, length, err := ReadHead(r)
	if err == nil {
		body, err = ReadBody(r, length, most)
	}
	return kind, body, err
}

// Append appends a message whose body is the parts.
func Append(out []byte, kind byte, parts ...[]byte) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	out = slices.Grow(out, n+1) // no copies of large values on the way
	out = binary.BigEndian.AppendUint32(append(out, kind), uint32(n))
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// AppendLong appends a message's head and the beginning of its body, of which rest more bytes follow.
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

// AppendQuery appends a simple query of a statement that has no comment to fill in.
func AppendQuery(out []byte, statement string) []byte { return Append(out, Query, cstring(statement)) }

// AppendReady appends ReadyForQuery, outside a transaction.
func AppendReady(out []byte) []byte { return Append(out, ReadyForQuery, []byte{'I'}) }

func appendDescription(out []byte, v Value) []byte {
	description := append([]byte{0, 1}, "content\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, byte(v.Format))
	return Append(out, RowDescription, description)
}

// AppendRowHead appends the beginning of an answer whose value follows, and then AppendComplete.
func AppendRowHead(out []byte, v Value) []byte {
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(v.Size))
	return AppendLong(appendDescription(out, v), DataRow, v.Size, row)
}

// AppendComplete appends the end of an answer.
func AppendComplete(out []byte, tag string) []byte { return Append(out, CommandComplete, cstring(tag)) }

// AppendRow appends the answer to a statement that served one value.
func AppendRow(out []byte, v Value, tag string) []byte {
	out = appendDescription(out, v)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(v.Data)))
	if v.Data == nil {
		row = []byte{0, 1, 0xff, 0xff, 0xff, 0xff}
	}
	out = Append(out, DataRow, row, v.Data)
	return AppendComplete(out, tag)
}

// Value is what a statement served: the bytes as a database host gave them and the format it gave them in.
type Value struct {
	Data   []byte      // nil: null, or one that Rest gives
	Format int16       // 0 text, 1 binary
	Size   int         // with Rest: bytes in all
	Stream ValueStream // nil: Data is all
}

// ErrTooOld says that a value, which is whole, proves to be older than its request allows.
var ErrTooOld = errors.New("pg: the value is older than its request allows")

// ValueStream is a large value that is still coming. Whoever is given one closes it.
type ValueStream interface {
	// Read gives what has come, at least one byte. io.EOF says that the value is whole and that its answer has ended as it
	// should; ErrTooOld, the same, but it must not be served; any other error, that it never will be.
	Read(p []byte) (int, error)
	Close()
}

// RowFormat reads the format of the one column that a RowDescription names.
func RowFormat(body []byte) (int16, error) {
	const fixed = 2 + 1 + 18 // the count, the end of the name, what follows it
	if len(body) < fixed || binary.BigEndian.Uint16(body) != 1 || bytes.IndexByte(body[2:], 0) != len(body)-fixed {
		return 0, fmt.Errorf("%w: not a row of one column", ErrFraming)
	}
	format := int16(binary.BigEndian.Uint16(body[len(body)-2:]))
	if format != 0 && format != 1 {
		return 0, fmt.Errorf("%w: a column of format %d", ErrFraming, format)
	}
	return format, nil
}

// rowHead is what comes before the value in a DataRow of one column.
const rowHead = 6

// RowLength checks what a DataRow with a body of that length starts with, before its value is waited for.
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

// RowHead reads what RowLength has checked of a DataRow's body of that length: the size of its value, 0 for null.
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

// RowData reads the one column of a DataRow; nil is null.
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

// Parameter reads a ParameterStatus.
func Parameter(body []byte) (name, value string, err error) {
	fields := splitZero(body)
	if len(fields) != 2 {
		return "", "", fmt.Errorf("%w: ParameterStatus with %d strings", ErrFraming, len(fields))
	}
	return fields[0], fields[1], nil
}

// splitZero splits strings that each end in a zero byte.
func splitZero(b []byte) (out []string) {
	start := 0
	for i, c := range b {
		if c == 0 {
			out = append(out, string(b[start:i]))
			start = i + 1
		}
	}
	return out
}

package pg

import (
	"bytes"
	"strconv"
	"strings"
	"time"
)

// Statement is one of the two kinds of statements that are served, with the values in its comment.
type Statement struct {
	Text               []byte // as sent by the client, but without a large value
	Write              bool
	Key                string // the quoted name, unescaped
	ID                 string
	Class              string
	Wait               time.Duration // remaining wait of the client; 0: not stated
	Group              int
	After              time.Duration // position that a read must see, as Unix time; 0: not stated
	Retry              bool
	Tenant             string // "": not stated
	waitStart, waitEnd int    // start and end of the value of d in Text; 0: the comment has no d

	value   *largeValue // large value that Text lacks; nil: none
	valueAt int         // offset of the value in Text
}

const (
	selectHead   = "SELECT content FROM kv WHERE name = "
	insertHead   = "INSERT INTO kv (name, content) VALUES ("
	insertTail   = " RETURNING content"
	maxWait      = 24 * time.Hour
	maxIDLength  = 64
	maxKeyLength = 1024
)

func syntaxError(what string) *Error { return &Error{Code: CodeSyntax, Message: what} }

// ParseStatement parses a statement and its comment. A statement of any other form is an error: a host would
// answer it as a fault of the gateway.
func ParseStatement(text []byte) (*Statement, *Error) {
	s, rest, ok := &Statement{Text: text}, text, false
	if rest, ok = bytes.CutPrefix(text, []byte(selectHead)); ok {
		if s.Key, rest, ok = parseQuoted(rest); !ok {
			return nil, syntaxError("no quoted name in SELECT")
		}
	} else if rest, ok = bytes.CutPrefix(text, []byte(insertHead)); ok {
		s.Write = true
		if s.Key, rest, ok = parseQuoted(rest); !ok {
			return nil, syntaxError("no quoted name in INSERT")
		}
		if rest, ok = bytes.CutPrefix(rest, []byte(`, '\x`)); !ok {
			return nil, syntaxError("no hex value in INSERT")
		}
		digits := 0
		for digits < len(rest) && isHex(rest[digits]) {
			digits++
		}
		if rest, ok = bytes.CutPrefix(rest[digits:], []byte("')"+insertTail)); !ok || digits%2 != 0 {
			return nil, syntaxError("malformed INSERT")
		}
	} else {
		return nil, syntaxError("only SELECT content FROM kv and INSERT INTO kv are served")
	}
	if len(s.Key) > maxKeyLength {
		return nil, syntaxError("name too long")
	}
	comment, begins := bytes.CutPrefix(rest, []byte(" /* "))
	comment, ends := bytes.CutSuffix(comment, []byte(" */"))
	if !begins || !ends ||
		bytes.Contains(comment, []byte("*/")) || bytes.IndexByte(comment, 0) >= 0 {
		return nil, syntaxError("no comment at the end of the statement")
	}
	return s, s.parseComment(string(comment), len(text)-len(" */")-len(comment))
}

// parseComment parses the names and values of the comment, which starts at offset at of the text.
func (s *Statement) parseComment(comment string, at int) *Error {
	seen := map[string]bool{}
	for field := range strings.SplitSeq(comment, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || seen[name] {
			return syntaxError("malformed comment")
		}
		seen[name] = true
		var err error
		var n int64
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.Class = value
		case "d":
			n, err = strconv.ParseInt(value, 10, 64)
			if err == nil && n <= 0 {
				return syntaxError("d in the comment is not positive")
			}
			s.Wait = time.Duration(min(n, maxWait.Milliseconds())) * time.Millisecond
			s.waitStart = at + len(name) + 1
			s.waitEnd = s.waitStart + len(value)
		case "cluster":
			s.Group, err = strconv.Atoi(value)
		case "after":
			n, err = strconv.ParseInt(value, 10, 64)
			if n < 0 || n > 1<<42 { // far beyond any real time: it would overflow
				return syntaxError("after in the comment is out of range")
			}
			s.After = time.Duration(n) * time.Millisecond
		case "tenant":
			if s.Tenant = value; len(value) > maxIDLength {
				return syntaxError("tenant in the comment is too long")
			}
		case "r":
			s.Retry = value == "1"
		}
		if err != nil {
			return syntaxError(name + " in the comment is not a whole number")
		}
		at += len(field) + 1
	}
	if s.ID == "" || len(s.ID) > maxIDLength || s.Class == "" {
		return syntaxError("the comment lacks id or c")
	}
	return nil
}

// AppendQuery appends the statement as a Query message, unchanged except for d, the sender's remaining wait.
func (s *Statement) AppendQuery(out []byte, wait time.Duration) []byte {
	if s.waitEnd == 0 {
		return Append(out, Query, s.Text, []byte{0})
	}
	d := strconv.AppendInt(nil, max(wait.Milliseconds(), 1), 10)
	return Append(out, Query, s.Text[:s.waitStart], d, s.Text[s.waitEnd:], []byte{0})
}

// Tag returns the command tag of the statement's answer.
func (s *Statement) Tag() string {
	if s.Write {
		return "INSERT 0 1"
	}
	return "SELECT 1"
}

// parseQuoted parses a string constant, in which a doubled quote stands for a single one, and returns the rest of
// the input.
func parseQuoted(b []byte) (string, []byte, bool) {
	if len(b) == 0 || b[0] != '\'' {
		return "", b, false
	}
	for i := 1; i < len(b); i++ {
		switch {
		case b[i] == 0:
			return "", b, false
		case b[i] == '\'' && i+1 < len(b) && b[i+1] == '\'':
			i++
		case b[i] == '\'':
			return strings.ReplaceAll(string(b[1:i]), "''", "'"), b[i+1:], true
		}
	}
	return "", b, false
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

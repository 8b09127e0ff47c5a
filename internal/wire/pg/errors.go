package pg

import (
	"strconv"
	"time"
)

// Codes of errors (SQLSTATE) that the project sends or tells apart.
const (
	CodeProtocolViolation = "08P01"
	CodeNotSupported      = "0A000"
	CodeSyntax            = "42601"
	CodeUndefined         = "42704"
	CodeDuplicate         = "42710"
	CodeForbidden         = "42501"
	CodeTooMany           = "53300"
	CodeCannotConnectNow  = "57P03"
	CodeFailed            = "58000"
	CodeReadOnly          = "25006"
	CodeTooFarBehind      = "72000"
)

// Error is an ErrorResponse. Detail holds, in a refusal, the milliseconds after which to come again.
type Error struct {
	Code, Message, Detail string
	Fatal                 bool // the connection ends with it
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Refusal is the error that says that nothing ran and when to come again; 0 gives no advice.
func Refusal(message string, after time.Duration) *Error {
	e := &Error{Code: CodeTooMany, Message: message}
	if after > 0 {
		e.Detail = strconv.FormatInt(max(after.Milliseconds(), 1), 10)
	}
	return e
}

// AppendError appends the ErrorResponse.
func AppendError(out []byte, e *Error) []byte {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	body := "S" + severity + "\x00V" + severity + "\x00C" + e.Code + "\x00M" + e.Message + "\x00"
	if e.Detail != "" {
		body += "D" + e.Detail + "\x00"
	}
	return Append(out, ErrorResponse, []byte(body), []byte{0})
}

// ReadError reads the body of an ErrorResponse.
func ReadError(body []byte) *Error {
	e := &Error{}
	for _, f := range splitZero(body) {
		if f == "" {
			break
		}
		switch f[0] {
		case 'S':
			e.Fatal = f[1:] == "FATAL" || f[1:] == "PANIC"
		case 'C':
			e.Code = f[1:]
		case 'M':
			e.Message = f[1:]
		case 'D':
			e.Detail = f[1:]
		}
	}
	return e
}

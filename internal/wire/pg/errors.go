package pg

import (
	"strconv"
	"time"
)

// SQLSTATE codes that the gateway sends or distinguishes.
const (
	CodeProtocolViolation = "08P01"
	CodeNotSupported      = "0A000"
	CodeSyntax            = "42601"
	CodeUndefined         = "42704"
	CodeDuplicate         = "42710"
	CodeForbidden         = "42501"
	CodeTooMany           = "53300"
	CodeAdminShutdown     = "57P01"
	CodeCannotConnectNow  = "57P03"
	CodeFailed            = "58000"
	CodeReadOnly          = "25006"
	CodeTooFarBehind      = "72000"
)

// Error is an ErrorResponse. In a refusal, Detail holds the retryAfter in milliseconds.
type Error struct {
	Code, Message, Detail string
	Fatal                 bool // the connection ends after the error
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Refusal returns an error for a statement that was not executed and may be retried after retryAfter. It states no time
// if retryAfter is 0.
func Refusal(message string, retryAfter time.Duration) *Error {
	e := &Error{Code: CodeTooMany, Message: message}
	if retryAfter > 0 {
		e.Detail = strconv.FormatInt(max(retryAfter.Milliseconds(), 1), 10)
	}
	return e
}

// AppendError appends an ErrorResponse.
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

// ReadError parses the body of an ErrorResponse.
func ReadError(body []byte) *Error {
	e := &Error{}
	for _, f := range splitCStrings(body) {
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

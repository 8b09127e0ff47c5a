package pg

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	version3      = 3 << 16
	codeCancel    = 1234<<16 | 5678
	codeSSL       = 1234<<16 | 5679
	codeGSS       = 1234<<16 | 5680
	maxStartup    = 10000 // PostgreSQL's limit
	serverVersion = "15.0 (yokemast)"
)

// Startup is the kind of a client's first message.
type Startup int

const (
	StartSession Startup = iota // a session of version 3.0
	StartOlder                  // a session of a later minor version, which is negotiated down to 3.0
	StartEncrypt                // a request for SSL or GSS encryption; the answer is 'N', then another first message follows
	StartCancel                 // a cancel request, which has no answer
)

// Parameters are the parameters of a startup message, such as user and database.
type Parameters map[string]string

// ReadStartup reads the first message of a client. It returns the parameters of a session, or the key of a
// cancel request under "process" and "secret". An error of type *Error is to be sent to the client before the
// connection is closed.
func ReadStartup(r *bufio.Reader) (Startup, Parameters, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n, code := int64(binary.BigEndian.Uint32(head[:]))-8, binary.BigEndian.Uint32(head[4:])
	if n < 0 || n > maxStartup {
		return 0, nil, &Error{Code: CodeProtocolViolation, Message: "invalid length of startup packet", Fatal: true}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	switch {
	case code == codeSSL || code == codeGSS:
		return StartEncrypt, nil, nil
	case code == codeCancel:
		if n == 8 {
			return StartCancel, Parameters{"process": string(body[:4]), "secret": string(body[4:])}, nil
		}
		return StartCancel, nil, nil
	case code>>16 != 3:
		return 0, nil, &Error{Code: CodeNotSupported, Fatal: true,
			Message: fmt.Sprintf("unsupported frontend protocol %d.%d: server supports 3.0", code>>16, code&0xffff)}
	case n > 0 && body[n-1] != 0:
		return 0, nil, &Error{Code: CodeProtocolViolation, Message: "invalid startup packet layout", Fatal: true}
	case code != version3:
		return StartOlder, parseParameters(body), nil
	}
	return StartSession, parseParameters(body), nil
}

// CancelKey returns the key of a cancel request.
func (p Parameters) CancelKey() (k Key, ok bool) {
	process, secret := p["process"], p["secret"]
	if len(process) != 4 || len(secret) != 4 {
		return k, false
	}
	return Key{binary.BigEndian.Uint32([]byte(process)), binary.BigEndian.Uint32([]byte(secret))}, true
}

// parseParameters parses alternating names and values. As in PostgreSQL, the last value of a repeated name counts.
func parseParameters(body []byte) Parameters {
	out := Parameters{}
	for fields := splitCStrings(body); len(fields) >= 2 && fields[0] != ""; fields = fields[2:] {
		out[fields[0]] = fields[1]
	}
	return out
}

// AppendStartup appends the startup message of a session.
func AppendStartup(out []byte, user, database string) []byte {
	body := "user\x00" + user + "\x00database\x00" + database + "\x00\x00"
	out = binary.BigEndian.AppendUint32(out, uint32(8+len(body)))
	return append(binary.BigEndian.AppendUint32(out, version3), body...)
}

// AppendStartupResponse appends a server's response to a startup message, up to and including ReadyForQuery.
func AppendStartupResponse(out []byte, s Startup) []byte {
	if s == StartOlder {
		out = Append(out, NegotiateVersion, []byte{0, 3, 0, 0, 0, 0, 0, 0})
	}
	out = Append(out, Authentication, []byte{0, 0, 0, 0})
	for _, p := range DefaultParameters() {
		out = Append(out, ParameterStatus, cstring(p[0]), cstring(p[1]))
	}
	out = Append(out, BackendKeyData, make([]byte, 8))
	return AppendReady(out)
}

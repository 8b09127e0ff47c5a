package pg

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Types of backend messages of the extended query protocol and of COPY.
const (
	ParseComplete        = '1'
	BindComplete         = '2'
	CloseComplete        = '3'
	NoData               = 'n'
	ParameterDescription = 't'
	PortalSuspended      = 's'
	NotificationResponse = 'A'
	CopyInResponse       = 'G'
	CopyOutResponse      = 'H'
	CopyBothResponse     = 'W'
)

// ParseMessage is the body of a Parse message.
type ParseMessage struct {
	Name, Text string
	Types      []uint32
}

// ReadParse parses the body of a Parse message.
func ReadParse(body []byte) (m ParseMessage, err error) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	text, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		return m, fmt.Errorf("%w: a Parse that can't be read", ErrFraming)
	}
	m.Name, m.Text = string(name), string(text)
	for rest = rest[2:]; len(rest) > 0; rest = rest[4:] {
		m.Types = append(m.Types, binary.BigEndian.Uint32(rest))
	}
	return m, nil
}

// AppendParse appends a Parse message.
func AppendParse(out []byte, m ParseMessage) []byte {
	types := binary.BigEndian.AppendUint16(nil, uint16(len(m.Types)))
	for _, t := range m.Types {
		types = binary.BigEndian.AppendUint32(types, t)
	}
	return Append(out, Parse, cstring(m.Name), cstring(m.Text), types)
}

// ReadBind parses the names in the body of a Bind message; rest is the remainder of the body.
func ReadBind(body []byte) (portal, statement string, rest []byte, err error) {
	p, rest, ok := bytes.Cut(body, []byte{0})
	s, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) < 6 {
		return "", "", nil, fmt.Errorf("%w: a Bind that can't be read", ErrFraming)
	}
	return string(p), string(s), rest, nil
}

// AppendBind appends a Bind message of the given names and remainder.
func AppendBind(out []byte, portal, statement string, rest []byte) []byte {
	return Append(out, Bind, cstring(portal), cstring(statement), rest)
}

// ReadTarget parses the target of a Describe or Close message: S for a statement, P for a portal.
func ReadTarget(body []byte) (kind byte, name string, err error) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' || bytes.IndexByte(body[1:], 0) != len(body)-2 {
		return 0, "", fmt.Errorf("%w: neither a statement nor a portal", ErrFraming)
	}
	return body[0], string(body[1 : len(body)-1]), nil
}

// AppendTarget appends a Describe or Close message.
func AppendTarget(out []byte, message, kind byte, name string) []byte {
	return Append(out, message, []byte{kind}, cstring(name))
}

// ReadExecute parses the portal in the body of an Execute message.
func ReadExecute(body []byte) (portal string, err error) {
	if i := bytes.IndexByte(body, 0); i >= 0 && i == len(body)-5 {
		return string(body[:i]), nil
	}
	return "", fmt.Errorf("%w: an Execute that can't be read", ErrFraming)
}

// ReadTag returns the command tag in the body of a CommandComplete message.
func ReadTag(body []byte) string { return string(bytes.TrimSuffix(body, []byte{0})) }

// Key identifies the session that a cancel request is for: process ID and secret key of BackendKeyData.
type Key struct{ Process, Secret uint32 }

// ReadKey parses the body of a BackendKeyData message.
func ReadKey(body []byte) (k Key, ok bool) {
	if len(body) != 8 {
		return k, false
	}
	return Key{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}, true
}

// AppendKey appends a BackendKeyData message.
func AppendKey(out []byte, k Key) []byte {
	return Append(out, BackendKeyData, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, k.Process), k.Secret))
}

// AppendCancel appends a CancelRequest, which a client sends in place of a startup message.
func AppendCancel(out []byte, k Key) []byte {
	out = binary.BigEndian.AppendUint32(out, 16)
	out = binary.BigEndian.AppendUint32(out, codeCancel)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(out, k.Process), k.Secret)
}

// AppendReadyAs appends ReadyForQuery with a transaction status: I (idle), T (in a transaction) or E (failed
// transaction).
func AppendReadyAs(out []byte, status byte) []byte { return Append(out, ReadyForQuery, []byte{status}) }

// AppendStartupResponseWith appends the response to a startup message with the given parameters and cancel key.
func AppendStartupResponseWith(out []byte, s Startup, parameters [][2]string, k Key) []byte {
	if s == StartOlder {
		out = Append(out, NegotiateVersion, []byte{0, 3, 0, 0, 0, 0, 0, 0})
	}
	out = Append(out, Authentication, []byte{0, 0, 0, 0})
	for _, p := range parameters {
		out = Append(out, ParameterStatus, cstring(p[0]), cstring(p[1]))
	}
	return AppendReady(AppendKey(out, k))
}

// DefaultParameters returns the parameters that a server reports at the start of a session.
func DefaultParameters() [][2]string {
	return [][2]string{{"server_version", serverVersion}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}}
}

package pg

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Types of messages of the extended protocol, as sent by a server.
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

// ParseMessage is the body of a Parse.
type ParseMessage struct {
	Name, Text string
	Types      []uint32
}

// ReadParse reads a Parse.
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

// AppendParse appends a Parse.
func AppendParse(out []byte, m ParseMessage) []byte {
	types := binary.BigEndian.AppendUint16(nil, uint16(len(m.Types)))
	for _, t := range m.Types {
		types = binary.BigEndian.AppendUint32(types, t)
	}
	return Append(out, Parse, cstring(m.Name), cstring(m.Text), types)
}

// ReadBind reads the names in a Bind; rest is what follows them.
func ReadBind(body []byte) (portal, statement string, rest []byte, err error) {
	p, rest, ok := bytes.Cut(body, []byte{0})
	s, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) < 6 {
		return "", "", nil, fmt.Errorf("%w: a Bind that can't be read", ErrFraming)
	}
	return string(p), string(s), rest, nil
}

// AppendBind appends a Bind of which only the names are known.
func AppendBind(out []byte, portal, statement string, rest []byte) []byte {
	return Append(out, Bind, cstring(portal), cstring(statement), rest)
}

// ReadTarget reads what a Describe or Close is meant for: S, a statement, or P, a portal.
func ReadTarget(body []byte) (kind byte, name string, err error) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' || bytes.IndexByte(body[1:], 0) != len(body)-2 {
		return 0, "", fmt.Errorf("%w: neither a statement nor a portal", ErrFraming)
	}
	return body[0], string(body[1 : len(body)-1]), nil
}

// AppendTarget appends a Describe or Close.
func AppendTarget(out []byte, message, kind byte, name string) []byte {
	return Append(out, message, []byte{kind}, cstring(name))
}

// ReadExecute reads the portal of an Execute.
func ReadExecute(body []byte) (portal string, err error) {
	if i := bytes.IndexByte(body, 0); i >= 0 && i == len(body)-5 {
		return string(body[:i]), nil
	}
	return "", fmt.Errorf("%w: an Execute that can't be read", ErrFraming)
}

// ReadTag reads a CommandComplete.
func ReadTag(body []byte) string { return string(bytes.TrimSuffix(body, []byte{0})) }

// Key is what a cancel names: a process and its secret.
type Key struct{ Process, Secret uint32 }

// ReadKey reads a BackendKeyData.
func ReadKey(body []byte) (k Key, ok bool) {
	if len(body) != 8 {
		return k, false
	}
	return Key{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}, true
}

// AppendKey appends a BackendKeyData.
func AppendKey(out []byte, k Key) []byte {
	return Append(out, BackendKeyData, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, k.Process), k.Secret))
}

// AppendCancel appends a CancelRequest, which is sent in place of a startup message.
func AppendCancel(out []byte, k Key) []byte {
	out = binary.BigEndian.AppendUint32(out, 16)
	out = binary.BigEndian.AppendUint32(out, codeCancel)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(out, k.Process), k.Secret)
}

// AppendReadyAs appends ReadyForQuery with a transaction's status: I, T or E.
func AppendReadyAs(out []byte, status byte) []byte { return Append(out, ReadyForQuery, []byte{status}) }

// AppendStartupResponseWith is AppendWelcome with parameters and a key of the session's own.
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

// DefaultParameters are those that a server tells at the start of a session.
func DefaultParameters() [][2]string {
	return [][2]string{{"server_version", serverVersion}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}}
}

package linkfault

import (
	"encoding/binary"
	"time"
)

// framer splits a byte stream into messages of PostgreSQL's protocol.
type framer struct {
	startup bool      // the next message is the startup message, which has no type byte
	rest    []byte    // bytes of an incomplete message
	first   time.Time // when the first byte of rest was received
}

type message struct {
	kind  byte // 0 for the startup message
	body  []byte
	first time.Time
}

// add adds bytes received at a time and returns the messages that they complete.
func (f *framer) add(data []byte, at time.Time) (whole []message) {
	if len(f.rest) == 0 {
		f.first = at
	}
	f.rest = append(f.rest, data...)
	for {
		head := 1
		if f.startup {
			head = 0
		}
		if len(f.rest) < head+4 {
			return whole
		}
		end := head + max(4, int(binary.BigEndian.Uint32(f.rest[head:])))
		if len(f.rest) < end {
			return whole
		}
		m := message{body: f.rest[head+4 : end], first: f.first}
		if !f.startup {
			m.kind = f.rest[0]
		}
		whole = append(whole, m)
		f.startup, f.rest, f.first = false, f.rest[end:], at
	}
}

package linkfault

import (
	"encoding/binary"
	"time"
)

// framer splits a byte stream into messages of PostgreSQL's protocol.
type framer struct {
	startup  bool      // the next message is the startup message, which has no type byte
	buffered []byte    // bytes of an incomplete message
	firstAt  time.Time // when the first byte of buffered was received
}

type message struct {
	kind    byte // 0 for the startup message
	body    []byte
	firstAt time.Time
}

// add adds bytes received at a time and returns the messages that they complete.
func (f *framer) add(data []byte, at time.Time) (messages []message) {
	if len(f.buffered) == 0 {
		f.firstAt = at
	}
	f.buffered = append(f.buffered, data...)
	for {
		head := 1
		if f.startup {
			head = 0
		}
		if len(f.buffered) < head+4 {
			return messages
		}
		end := head + max(4, int(binary.BigEndian.Uint32(f.buffered[head:])))
		if len(f.buffered) < end {
			return messages
		}
		m := message{body: f.buffered[head+4 : end], firstAt: f.firstAt}
		if !f.startup {
			m.kind = f.buffered[0]
		}
		messages = append(messages, m)
		f.startup, f.buffered, f.firstAt = false, f.buffered[end:], at
	}
}

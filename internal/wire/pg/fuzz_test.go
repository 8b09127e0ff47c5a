package pg

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The readers must handle any input of a client or host: they must terminate, allocate no more than their input warrants,
// and what they parse must be written back unchanged. `go test -fuzz NAME ./internal/wire/pg` continues the search.

func FuzzRead(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dSELECT 1\x00"))
	f.Add([]byte{'D', 0xc0, 0, 0, 0})
	f.Add([]byte{'X', 0, 0, 0, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		_ = MessageBuffered(r) // with an empty buffer
		_, _ = r.Peek(1)
		complete := MessageBuffered(r) && len(b) <= r.Size()
		kind, body, err := Read(r, 1<<16)
		if err != nil {
			if complete && len(b) < 1<<16 && b[1] == 0 && b[2] == 0 && int(b[3])<<8|int(b[4]) >= 4 {
				t.Fatalf("a complete message was not read: %v", err)
			}
			return
		}
		if again := Append(nil, kind, body); !bytes.HasPrefix(b, again) {
			t.Fatalf("input %x was parsed as %x", b, again)
		}
	})
}

func FuzzStartup(f *testing.F) {
	f.Add(AppendStartup(nil, "backend", "store"))
	f.Add(AppendCancel(nil, Key{1, 2}))
	f.Fuzz(func(t *testing.T, b []byte) {
		kind, parameters, err := ReadStartup(bufio.NewReader(bytes.NewReader(b)))
		if err == nil && kind == StartCancel {
			if k, ok := parameters.CancelKey(); ok && !bytes.HasPrefix(b, AppendCancel(nil, k)) {
				t.Fatalf("cancel request %x was parsed as key %v", b, k)
			}
		}
	})
}

func FuzzExtended(f *testing.F) {
	f.Add(byte(Parse), AppendParse(nil, ParseMessage{"s", "SELECT $1", []uint32{25}})[5:])
	f.Add(byte(Bind), AppendBind(nil, "p", "s", []byte{0, 0, 0, 1, 0, 0, 0, 1, 'x', 0, 0})[5:])
	f.Add(byte(Describe), AppendTarget(nil, Describe, 'S', "s")[5:])
	f.Add(byte(Execute), []byte("p\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		var again []byte
		switch kind {
		case Parse:
			m, err := ReadParse(body)
			if err != nil {
				return
			}
			again = AppendParse(nil, m)
		case Bind:
			portal, statement, rest, err := ReadBind(body)
			if err != nil {
				return
			}
			again = AppendBind(nil, portal, statement, rest)
		case Describe, Close:
			what, name, err := ReadTarget(body)
			if err != nil {
				return
			}
			again = AppendTarget(nil, kind, what, name)
		case Execute:
			if _, err := ReadExecute(body); err != nil {
				return
			}
			again = Append(nil, kind, body)
		default:
			return
		}
		if diff := cmp.Diff(Append(nil, kind, body), again); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzStatement(f *testing.F) {
	f.Add([]byte("SELECT content FROM kv WHERE name = 'a' /* id=1,c=x,d=5,cluster=2 */"))
	f.Add([]byte(`INSERT INTO kv (name, content) VALUES ('a', '\x00') RETURNING content /* id=1,c=x,d=5,cluster=2,tenant=t */`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseStatement(text)
		if err != nil {
			return
		}
		if again, err := ParseStatement(bytes.TrimSuffix(s.AppendQuery(nil, s.Wait)[5:], []byte{0})); err != nil || again.ID != s.ID || again.Key != s.Key {
			t.Fatalf("%q is forwarded as a different statement: %v", text, err)
		}
	})
}

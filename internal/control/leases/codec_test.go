package leases

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestCodecRoundTrip(t *testing.T) {
	for _, e := range []Entry{
		acquireEntry("scout/cell-3", "n17", 4, 1234*ms),
		renewEntry("scout/cell-3", "n17", 99, 4, 2*time.Hour),
		releaseEntry("drain", "n1", 7, 1, 0),
		stampEntry(12, 5*ms),
	} {
		p, got, err := Decode(Encode(nil, 0xfeed, e))
		if err != nil || p != 0xfeed {
			t.Fatalf("%v: %v, proposal %x", e, err, p)
		}
		if d := cmp.Diff(e, got); d != "" {
			t.Fatalf("(-want +got)\n%s", d)
		}
	}
}

func TestDecodeRejectsInvalidBytes(t *testing.T) {
	good := Encode(nil, 1, acquireEntry("scout", "n1", 1, 0))
	bad := map[string][]byte{
		"empty":           nil,
		"truncated":       good[:len(good)-1],
		"trailing byte":   append(append([]byte(nil), good...), 0),
		"unknown version": append([]byte{9}, good[1:]...),
		"truncated name":  func() []byte { b := append([]byte(nil), good...); b[codecFixedSize] = 200; return b }(),
	}
	for name, b := range bad {
		if _, _, err := Decode(b); !errors.Is(err, ErrCodec) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, 1, acquireEntry("scout", "n1", 1, 0)))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, e, err := Decode(b)
		if err != nil {
			return
		}
		if _, e2, err := Decode(Encode(nil, p, e)); err != nil || e2 != e {
			t.Fatalf("%v does not round-trip: %v", e, err)
		}
	})
}

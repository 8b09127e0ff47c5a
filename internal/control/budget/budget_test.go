package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestTakeKeepsAWayOut(t *testing.T) {
	b := New(10)
	if b.Open(11) != nil {
		t.Error("a message that can never be held is begun")
	}
	x, y := b.Open(6), b.Open(6)
	if !b.Take(x, 5) || !b.Take(y, 4) {
		t.Fatal("what leaves the first its rest is not granted")
	}
	if b.Take(y, 1) {
		t.Fatal("the last byte that the first needs is given to the second")
	}
	if b.Raise(x, 8) || b.Raise(x, 11) || !b.Raise(x, 6) {
		t.Fatal("a need is raised that leaves no way out, or one is not that does")
	}
	if !b.Take(x, 1) || b.Take(x, 1) {
		t.Fatal("the first does not get what it needs, and no more")
	}
	if b.Take(y, 2) {
		t.Fatal("more than there is")
	}
	b.Complete(x)
	b.Close(x)
	b.Close(x)
	if !b.Take(y, 2) || b.Used() != 6 {
		t.Fatalf("the second does not get what the first gave back; %d used", b.Used())
	}
}

// Any number of messages, taking pieces in any order, all come to their end, and never hold more than there is. With the
// guard out (safe always true) this fails: half-read messages wait for each other.
func TestAllComeToTheirEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := int64(rapid.IntRange(1, 50).Draw(t, "total"))
		b := New(total)
		type message struct {
			h    *Holding
			left int64
		}
		var open []*message
		begun, ended := 0, 0
		step := func(m *message, n int64) {
			if n = min(n, m.left); b.Take(m.h, n) {
				m.left -= n
			}
			if b.Used() > total {
				t.Fatalf("%d of %d used", b.Used(), total)
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") {
				need := int64(rapid.IntRange(0, int(total)).Draw(t, "need"))
				open = append(open, &message{b.Open(need), need})
				begun++
			} else if len(open) > 0 {
				step(open[rapid.IntRange(0, len(open)-1).Draw(t, "which")], int64(rapid.IntRange(1, 9).Draw(t, "piece")))
			}
		}
		for rounds := 0; len(open) > 0; rounds++ {
			if rounds > 2*begun*int(total)+2 {
				t.Fatalf("%d messages wait for each other", len(open))
			}
			kept := open[:0]
			for _, m := range open {
				if step(m, 1); m.left > 0 {
					kept = append(kept, m)
					continue
				}
				b.Complete(m.h)
				b.Close(m.h)
				ended++
			}
			open = kept
		}
		if ended != begun || b.Used() != 0 {
			t.Fatalf("%d of %d ended, %d held", ended, begun, b.Used())
		}
	})
}

func BenchmarkTake(b *testing.B) {
	g := New(1 << 30)
	for range 63 {
		g.Take(g.Open(8<<20), 1<<20)
	}
	h := g.Open(1 << 29)
	b.ReportAllocs()
	for b.Loop() {
		g.Take(h, 1)
	}
}

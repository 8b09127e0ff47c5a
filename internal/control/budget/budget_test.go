package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestTakeAvoidsDeadlock(t *testing.T) {
	b := New(10)
	if b.Open(11) != nil {
		t.Error("a message that exceeds the total is opened")
	}
	x, y := b.Open(6), b.Open(6)
	if !b.Take(x, 5) || !b.Take(y, 4) {
		t.Fatal("bytes are not granted although the first message can still complete")
	}
	if b.Take(y, 1) {
		t.Fatal("the last byte that the first message needs is granted to the second")
	}
	if b.Raise(x, 8) || b.Raise(x, 11) || !b.Raise(x, 6) {
		t.Fatal("an increase that can deadlock is granted, or one that cannot is denied")
	}
	if !b.Take(x, 1) || b.Take(x, 1) {
		t.Fatal("the first message is not granted exactly what it needs")
	}
	if b.Take(y, 2) {
		t.Fatal("more bytes are granted than are free")
	}
	b.Complete(x)
	b.Close(x)
	b.Close(x)
	if !b.Take(y, 2) || b.Used() != 6 {
		t.Fatalf("the second message is not granted what the first released; %d used", b.Used())
	}
}

// Any number of messages that allocate pieces in any order must all complete, and never hold more than the
// total. Without the check (if safe always returned true) this test fails, because partly read messages wait
// for each other.
func TestAllMessagesComplete(t *testing.T) {
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
				t.Fatalf("%d messages are deadlocked", len(open))
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
			t.Fatalf("%d of %d messages completed, %d bytes held", ended, begun, b.Used())
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

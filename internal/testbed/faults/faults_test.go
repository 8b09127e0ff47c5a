package faults

import (
	"context"
	"net"
	"testing"
	"time"

	"yokemast/internal/wire/fleet"
)

func allMembers(uint16) bool { return true }

// link starts a proxy from member 1 to member 2 in front of a sink. It returns a connection through the proxy and the frames
// that reach the sink.
func link(t *testing.T, l *Layer) (net.Conn, <-chan fleet.Frame) {
	t.Helper()
	sink, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan fleet.Frame, 1024)
	go func() {
		c, err := sink.Accept()
		if err != nil {
			return
		}
		r := fleet.NewReader(c, allMembers)
		for {
			f, err := r.Read()
			if err != nil {
				close(got)
				return
			}
			got <- f
		}
	}()
	ln, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); sink.Close() })
	go l.Serve(ctx, ln, 1, 2, sink.Addr().String())
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c, got
}

func send(t *testing.T, c net.Conn, n int) {
	for i := 0; i < n; i++ {
		if _, err := c.Write(fleet.Append(nil, fleet.KindAsk, 1, []byte{byte(i)})); err != nil {
			t.Fatal(err)
		}
	}
}

func collect(got <-chan fleet.Frame, idle time.Duration) []byte {
	var out []byte
	for {
		select {
		case f, ok := <-got:
			if !ok {
				return out
			}
			out = append(out, f.Payload[0])
		case <-time.After(idle):
			return out
		}
	}
}

func TestDropAndDuplicateReplayBySeed(t *testing.T) {
	run := func() []byte {
		l := New(42, Plan{Drop: 0.3, Dup: 0.2})
		c, got := link(t, l)
		send(t, c, 100)
		return collect(got, 200*time.Millisecond)
	}
	a, b := run(), run()
	if string(a) != string(b) {
		t.Fatalf("the same seed gave different faults:\n%v\n%v", a, b)
	}
	if len(a) == 100 || len(a) == 0 {
		t.Fatalf("%d of 100 frames arrived, want some but not all", len(a))
	}
}

func TestCutOneWayAndHeal(t *testing.T) {
	l := New(1, Plan{})
	c, got := link(t, l)
	l.Cut(1, 2)
	send(t, c, 5)
	if n := len(collect(got, 100*time.Millisecond)); n != 0 {
		t.Fatalf("%d frames passed a cut link", n)
	}
	l.Heal()
	send(t, c, 5)
	if n := len(collect(got, 100*time.Millisecond)); n != 5 {
		t.Fatalf("%d of 5 frames arrived after Heal", n)
	}
	if k := l.Counts(); k.Cut != 5 || k.Passed != 5 {
		t.Fatalf("counts %+v", k)
	}
}

func TestJitterReorders(t *testing.T) {
	l := New(3, Plan{Delay: time.Millisecond, Jitter: 20 * time.Millisecond})
	c, got := link(t, l)
	send(t, c, 50)
	out := collect(got, 300*time.Millisecond)
	if len(out) != 50 {
		t.Fatalf("%d of 50 frames arrived", len(out))
	}
	inOrder := true
	for i := range out {
		inOrder = inOrder && out[i] == byte(i)
	}
	if inOrder {
		t.Fatal("jitter of 20 ms reordered nothing among 50 frames")
	}
}

func TestHeldFramesArriveOnRelease(t *testing.T) {
	l := New(1, Plan{})
	c, got := link(t, l)
	l.Hold(1, 2)
	send(t, c, 5)
	for end := time.Now().Add(10 * time.Second); l.Counts().Held < 5; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counts %+v", l.Counts())
		}
	}
	select {
	case f := <-got:
		t.Fatalf("frame %d arrived before Release", f.Payload[0])
	default:
	}
	l.Release(1, 2)
	for range 5 {
		<-got
	}
}

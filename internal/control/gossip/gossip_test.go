package gossip

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"yokemast/balance"
)

const (
	ms  = time.Millisecond
	now = 1796147475123 * ms
)

func newState(modify func(*Config)) *State {
	c := Config{Gateways: 3, MaxDelay: 50 * ms, BytesPerRequest: 100, Burst: 1000,
		Classes: []balance.Class{{Name: "list"}, {Name: "own"}, {Name: "save"}, {Name: "fourth"}}}
	if modify != nil {
		modify(&c)
	}
	s := New(c)
	s.AddHost("s-1")
	s.AddHost("s-2")
	return s
}

// deliver sends the pending message of one gateway to another and returns the decoded entries.
func deliver(t *testing.T, from, to *State, sentAt, receivedAt time.Duration) []balance.RemoteOutcome {
	t.Helper()
	out, err := to.Receive(receivedAt, Offsets{Bounded: true}, from.AppendMessage(sentAt, Offsets{Bounded: true}, nil), nil)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestEntryRoundTrip(t *testing.T) {
	for _, c := range []struct {
		name       string
		sent, want balance.RemoteOutcome
	}{
		{"answer of a replica", balance.RemoteOutcome{Server: "s-1", Class: "own", Result: balance.OK, Took: 64 * ms, Role: balance.Replica, Position: now - 100*ms, At: now - 32*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Result: balance.OK, Took: 64 * ms, Role: balance.Replica, Position: now - 100*ms, At: now - 32*ms}},
		{"position is rounded down", balance.RemoteOutcome{Server: "s-2", Class: "list", Position: now - 101*ms, At: now},
			balance.RemoteOutcome{Server: "s-2", Class: "list", Took: 4 * ms, Position: now - 104*ms, At: now}},
		{"position that is too old is left out", balance.RemoteOutcome{Server: "s-2", Result: balance.TimedOut, Class: "save", Took: time.Hour, Position: now - 2*time.Second, At: now},
			balance.RemoteOutcome{Server: "s-2", Result: balance.TimedOut, Class: "save", Took: decodeDuration(15), At: now}},
		{"role is not dated later than observed", balance.RemoteOutcome{Server: "s-1", Class: "own", Role: balance.Primary, Position: now - 33*ms, At: now - 33*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Took: 4 * ms, Role: balance.Primary, Position: now - 36*ms, At: now - 48*ms}},
		{"primary role without a position is left out", balance.RemoteOutcome{Server: "s-1", Class: "own", Role: balance.Primary, At: now - 33*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Took: 4 * ms, At: now - 48*ms}},
		{"old role is left out", balance.RemoteOutcome{Server: "s-1", Class: "own", Role: balance.Primary, At: now - 250*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Took: 4 * ms, At: now - 240*ms}},
		{"probe has no class", balance.RemoteOutcome{Server: "s-1", Role: balance.Primary, Position: now, At: now},
			balance.RemoteOutcome{Server: "s-1", Took: 4 * ms, Role: balance.Primary, Position: now, At: now}},
		{"class beyond the third is left out", balance.RemoteOutcome{Server: "s-1", Class: "fourth", At: now}, balance.RemoteOutcome{Server: "s-1", Took: 4 * ms, At: now}},
	} {
		s, to := newState(nil), newState(nil)
		if !s.AddEntry(now, c.sent) {
			t.Fatalf("%s: entry was not accepted", c.name)
		}
		c.want.Source, c.want.NotBefore = balance.FromGossip, c.want.Position // the position dates the role of a primary
		if diff := cmp.Diff([]balance.RemoteOutcome{c.want}, deliver(t, s, to, now, now+20*ms)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// A received position that is later than the host's would direct reads to stale data.
func TestReceivedPositionIsNotLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := now + time.Duration(rapid.Int64Range(0, int64(100*24*time.Hour)).Draw(t, "clock"))
		position := at - time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "age"))
		sentAt := at + time.Duration(rapid.Int64Range(0, int64(100*ms)).Draw(t, "batch delay"))
		receivedAt := sentAt + time.Duration(rapid.Int64Range(-int64(maxFuture), int64(maxAge)-int64(ms)).Draw(t, "network delay"))
		s, to := newState(nil), newState(nil)
		s.AddEntry(at, balance.RemoteOutcome{Server: "s-1", Position: position, At: at})
		out, err := to.Receive(receivedAt, Offsets{Bounded: true}, s.AppendMessage(sentAt, Offsets{Bounded: true}, nil), nil)
		if err != nil || len(out) != 1 {
			t.Fatalf("%v, %v", out, err)
		}
		if n := out[0]; n.Position > position || n.At > sentAt || n.At > receivedAt {
			t.Errorf("received position is %s, received end %s later than sent", n.Position-position, n.At-at)
		}
	})
}

func TestInvalidMessageIsRejected(t *testing.T) {
	s := newState(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-2", At: now})
	good := s.AppendMessage(now, Offsets{Bounded: true}, nil)
	with := func(i int, v byte) []byte {
		b := append([]byte(nil), good...)
		b[i] = v
		return b
	}
	aged := append([]byte(nil), good...)
	binary.BigEndian.PutUint32(aged[1:], binary.BigEndian.Uint32(aged[1:])-3000)
	ahead := append([]byte(nil), good...)
	binary.BigEndian.PutUint32(ahead[1:], binary.BigEndian.Uint32(ahead[1:])+60)
	for _, c := range []struct {
		name string
		b    []byte
		want error
	}{
		{"empty", nil, ErrVersion}, {"unknown version", with(0, 9), ErrVersion}, {"truncated", good[:len(good)-1], ErrLength},
		{"no entry", good[:headerSize], ErrLength}, {"too long", append(append([]byte(nil), good...), make([]byte, 252)...), ErrLength},
		{"too old", aged, ErrClock}, {"from the future", ahead, ErrClock}, {"unknown result", with(headerSize+entrySize+3, 0xf0), ErrEntry},
		{"unknown role", with(headerSize+3, 0x0c), ErrEntry},
	} {
		if out, err := newState(nil).Receive(now, Offsets{Bounded: true}, c.b, nil); !errors.Is(err, c.want) || len(out) > 0 {
			t.Errorf("%s: %v, %v", c.name, out, err)
		}
	}
}

func TestEntryOfCollidingHashIsIgnored(t *testing.T) {
	s, to := newState(nil), newState(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	s.AddEntry(now, balance.RemoteOutcome{Server: "unlisted", At: now})
	to.hosts[hostHash("s-1")] = "another host with the same hash"
	to.AddHost("s-1")
	if out := deliver(t, s, to, now, now); len(out) > 0 {
		t.Errorf("received %v, want no entries", out)
	}
}

func TestBudgetLimitsEntries(t *testing.T) {
	s := newState(func(c *Config) { c.Burst = float64(2 * (headerSize + 2*entrySize)); c.BytesPerRequest = 4 })
	addEntries := func() (n int) {
		for range 100 {
			if s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now}) {
				n++
			}
		}
		s.AppendMessage(now, Offsets{Bounded: true}, nil)
		return n
	}
	if n := addEntries(); n != 2 {
		t.Errorf("%d entries accepted with the initial budget, want 2", n)
	}
	for range 9 {
		s.Credit()
	}
	if n := addEntries(); n != 2 {
		t.Errorf("%d entries accepted for nine requests, want 2", n)
	}
}

func TestMessageDueWhenFullOrDelayed(t *testing.T) {
	s := newState(func(c *Config) { c.Burst = 1e6 })
	if _, ok := s.Due(); ok {
		t.Error("a message is due without entries")
	}
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	if at, ok := s.Due(); !ok || at != now+50*ms {
		t.Errorf("due at %s, %v", at-now, ok)
	}
	for range 100 {
		s.AddEntry(now+ms, balance.RemoteOutcome{Server: "s-2", At: now})
	}
	if at, _ := s.Due(); at != now+ms {
		t.Errorf("full message is due after %s, want 1ms", at-now)
	}
	if b := s.AppendMessage(now, Offsets{Bounded: true}, nil); len(b) > maxMessageSize {
		t.Errorf("message of %d bytes exceeds the limit of 256", len(b))
	}
	if _, ok := s.Due(); ok {
		t.Error("a message is due after all entries were sent")
	}
}

func FuzzReceive(f *testing.F) {
	s := newState(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	f.Add(s.AppendMessage(now, Offsets{Bounded: true}, nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := newState(nil).Receive(now, Offsets{Bounded: true}, b, nil)
		for _, n := range out {
			if err != nil || n.At > now || n.Position > now || n.Server == "" {
				t.Errorf("%+v, %v", n, err)
			}
		}
	})
}

func BenchmarkHear(b *testing.B) {
	s := newState(func(c *Config) { c.Burst = 1e6 })
	for range 4 {
		s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	}
	datagram := s.AppendMessage(now, Offsets{Bounded: true}, nil)
	var out []balance.RemoteOutcome
	b.ReportAllocs()
	for b.Loop() {
		out, _ = s.Receive(now, Offsets{Bounded: true}, datagram, out[:0])
	}
}

// The clocks of the two gateways differ, and their offsets are only known within bounds. No received time may
// be later than the real one.
func TestReceivedTimesAreNotLaterAcrossClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		// The fleet's clock minus the sender's clock, and minus the receiver's clock.
		senderOffset, receiverOffset := draw("sender's offset", -time.Second, time.Second), draw("receiver's offset", -time.Second, time.Second)
		below, above := draw("slack below", 0, 4*ms), draw("slack above", 0, 100*ms)
		position, primarySince := now-draw("age", 0, 300*ms), now-draw("time as primary", 0, 200*ms) // by the fleet's clock
		s, r := newState(nil), newState(nil)
		// What the sender itself knows is never dated too late.
		s.AddEntry(now-senderOffset, balance.RemoteOutcome{Server: "s-1", Role: balance.Primary, Position: position, At: primarySince - senderOffset})
		offsets := Offsets{Min: receiverOffset - below, Max: receiverOffset + above, Bounded: true}
		out, err := r.Receive(now-receiverOffset+20*ms, offsets, s.AppendMessage(now-senderOffset, Offsets{Min: senderOffset - below, Max: senderOffset + above, Bounded: true}, nil), nil)
		if err != nil || len(out) != 1 {
			t.Fatalf("%v, %v", out, err)
		}
		if n := out[0]; n.Position > position || n.Position < position-below-3*ageStep || n.Role == balance.Primary && n.NotBefore+receiverOffset > position {
			t.Errorf("position is %s too late, NotBefore %s too late", n.Position-position, n.NotBefore+receiverOffset-position)
		}
	})
}

func TestReceivedEndIsNotLaterWithWideBounds(t *testing.T) {
	for name, offsets := range map[string]Offsets{
		"lower bound only, from a log that lags": {Min: -1500 * ms},
		"wide bounds":                            {Min: -1500 * ms, Max: 5 * ms, Bounded: true},
	} {
		s, r := newState(nil), newState(nil)
		s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
		out, err := r.Receive(now+1600*ms, offsets, s.AppendMessage(now, Offsets{Bounded: true}, nil), nil)
		if err == nil && out[0].At > now+10*ms {
			t.Errorf("%s: attempt that ended 1.6 s ago is received as ended %s ago", name, now+1600*ms-out[0].At)
		}
	}
}

func TestFreshMessageIsAcceptedWithLowBound(t *testing.T) {
	s, r := newState(nil), newState(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now, Role: balance.Replica, Position: now - 10*ms})
	out, err := r.Receive(now+60*ms, Offsets{Min: -200 * ms}, s.AppendMessage(now, Offsets{Bounded: true}, nil), nil)
	if err != nil || len(out) != 1 {
		t.Errorf("attempt that ended 60 ms ago, with a log that lags by 200 ms: %v, %v", out, err)
	}
}

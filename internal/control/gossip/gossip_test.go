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

func state(change func(*Config)) *State {
	c := Config{Gateways: 3, MaxDelay: 50 * ms, BytesPerRequest: 100, Burst: 1000,
		Classes: []balance.Class{{Name: "list"}, {Name: "own"}, {Name: "save"}, {Name: "fourth"}}}
	if change != nil {
		change(&c)
	}
	s := New(c)
	s.AddHost("s-1")
	s.AddHost("s-2")
	return s
}

// hear passes what is due at from on to another gateway.
func hear(t *testing.T, from, to *State, sent, come time.Duration) []balance.RemoteOutcome {
	t.Helper()
	out, err := to.Receive(come, Offsets{Bounded: true}, from.AppendMessage(sent, Offsets{Bounded: true}, nil), nil)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestWhatIsToldIsHeard(t *testing.T) {
	for _, c := range []struct {
		name       string
		told, want balance.RemoteOutcome
	}{
		{"an answer", balance.RemoteOutcome{Server: "s-1", Class: "own", Result: balance.OK, Took: 64 * ms, Role: balance.Replica, Position: now - 100*ms, At: now - 32*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Result: balance.OK, Took: 64 * ms, Role: balance.Replica, Position: now - 100*ms, At: now - 32*ms}},
		{"a position rounds down", balance.RemoteOutcome{Server: "s-2", Class: "list", Position: now - 101*ms, At: now},
			balance.RemoteOutcome{Server: "s-2", Class: "list", Took: 4 * ms, Position: now - 104*ms, At: now}},
		{"one that is too old is not told", balance.RemoteOutcome{Server: "s-2", Result: balance.TimedOut, Class: "save", Took: time.Hour, Position: now - 2*time.Second, At: now},
			balance.RemoteOutcome{Server: "s-2", Result: balance.TimedOut, Class: "save", Took: durationOf(15), At: now}},
		{"a role is never told as seen later", balance.RemoteOutcome{Server: "s-1", Class: "own", Role: balance.Primary, Position: now - 33*ms, At: now - 33*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Took: 4 * ms, Role: balance.Primary, Position: now - 36*ms, At: now - 48*ms}},
		{"nor where it is not known when", balance.RemoteOutcome{Server: "s-1", Class: "own", Role: balance.Primary, At: now - 33*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Took: 4 * ms, At: now - 48*ms}},
		{"an old one not at all", balance.RemoteOutcome{Server: "s-1", Class: "own", Role: balance.Primary, At: now - 250*ms},
			balance.RemoteOutcome{Server: "s-1", Class: "own", Took: 4 * ms, At: now - 240*ms}},
		{"a probe has no class", balance.RemoteOutcome{Server: "s-1", Role: balance.Primary, Position: now, At: now},
			balance.RemoteOutcome{Server: "s-1", Took: 4 * ms, Role: balance.Primary, Position: now, At: now}},
		{"a class beyond the third neither", balance.RemoteOutcome{Server: "s-1", Class: "fourth", At: now}, balance.RemoteOutcome{Server: "s-1", Took: 4 * ms, At: now}},
	} {
		s, to := state(nil), state(nil)
		if !s.AddEntry(now, c.told) {
			t.Fatalf("%s: not told", c.name)
		}
		c.want.Source, c.want.NotBefore = balance.FromGossip, c.want.Position // a primary's position is the time of its word
		if diff := cmp.Diff([]balance.RemoteOutcome{c.want}, hear(t, s, to, now, now+20*ms)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// A position that is passed on must never be later than the host's: reads would be sent to stale data.
func TestNoPositionIsHeardThatIsLaterThanTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := now + time.Duration(rapid.Int64Range(0, int64(100*24*time.Hour)).Draw(t, "clock"))
		position := at - time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "age"))
		sent := at + time.Duration(rapid.Int64Range(0, int64(100*ms)).Draw(t, "held"))
		come := sent + time.Duration(rapid.Int64Range(-int64(maxAhead), int64(maxAge)-int64(ms)).Draw(t, "on its way"))
		s, to := state(nil), state(nil)
		s.AddEntry(at, balance.RemoteOutcome{Server: "s-1", Position: position, At: at})
		out, err := to.Receive(come, Offsets{Bounded: true}, s.AppendMessage(sent, Offsets{Bounded: true}, nil), nil)
		if err != nil || len(out) != 1 {
			t.Fatalf("%v, %v", out, err)
		}
		if n := out[0]; n.Position > position || n.At > sent || n.At > come {
			t.Errorf("position %s, at %s after it was told as it was", n.Position-position, n.At-at)
		}
	})
}

func TestBadDatagramsAreNotUsed(t *testing.T) {
	s := state(nil)
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
		{"empty", nil, ErrVersion}, {"another version", with(0, 9), ErrVersion}, {"cut off", good[:len(good)-1], ErrLength},
		{"no note", good[:headSize], ErrLength}, {"too long", append(append([]byte(nil), good...), make([]byte, 252)...), ErrLength},
		{"old", aged, ErrClock}, {"ahead of the clock", ahead, ErrClock}, {"unknown result", with(headSize+noteSize+3, 0xf0), ErrNote},
		{"unknown role", with(headSize+3, 0x0c), ErrNote},
	} {
		if out, err := state(nil).Receive(now, Offsets{Bounded: true}, c.b, nil); !errors.Is(err, c.want) || len(out) > 0 {
			t.Errorf("%s: %v, %v", c.name, out, err)
		}
	}
}

func TestHostsThatCannotBeToldApartAreNotBelieved(t *testing.T) {
	s, to := state(nil), state(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	s.AddEntry(now, balance.RemoteOutcome{Server: "unlisted", At: now})
	to.hosts[hash("s-1")] = "another of the same hash"
	to.AddHost("s-1")
	if out := hear(t, s, to, now, now); len(out) > 0 {
		t.Errorf("heard %v", out)
	}
}

func TestRequestsPayForWhatIsTold(t *testing.T) {
	s := state(func(c *Config) { c.Burst = float64(2 * (headSize + 2*noteSize)); c.BytesPerRequest = 4 })
	told := func() (n int) {
		for range 100 {
			if s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now}) {
				n++
			}
		}
		s.AppendMessage(now, Offsets{Bounded: true}, nil)
		return n
	}
	if n := told(); n != 2 {
		t.Errorf("%d notes for what was saved up, want 2", n)
	}
	for range 9 {
		s.Credit()
	}
	if n := told(); n != 2 {
		t.Errorf("%d notes for nine requests, want 2", n)
	}
}

func TestNotesWaitForOthersButNotInAFullDatagram(t *testing.T) {
	s := state(func(c *Config) { c.Burst = 1e6 })
	if _, ok := s.Due(); ok {
		t.Error("something is due before anything happened")
	}
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	if at, ok := s.Due(); !ok || at != now+50*ms {
		t.Errorf("due at %s, %v", at-now, ok)
	}
	for range 100 {
		s.AddEntry(now+ms, balance.RemoteOutcome{Server: "s-2", At: now})
	}
	if at, _ := s.Due(); at != now+ms {
		t.Errorf("a full datagram is due after %s", at-now)
	}
	if b := s.AppendMessage(now, Offsets{Bounded: true}, nil); len(b) > maxBytes {
		t.Errorf("%d bytes", len(b))
	}
	if _, ok := s.Due(); ok {
		t.Error("something is due after all was told")
	}
}

func FuzzReceive(f *testing.F) {
	s := state(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
	f.Add(s.AppendMessage(now, Offsets{Bounded: true}, nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := state(nil).Receive(now, Offsets{Bounded: true}, b, nil)
		for _, n := range out {
			if err != nil || n.At > now || n.Position > now || n.Server == "" {
				t.Errorf("%+v, %v", n, err)
			}
		}
	})
}

func BenchmarkHear(b *testing.B) {
	s := state(func(c *Config) { c.Burst = 1e6 })
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

// Two gateways whose clocks stand differently, and are known only within some milliseconds: nothing is heard as later than it was.
func TestNothingIsHeardAsLaterThanItWasAcrossClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		// The fleet's clock shows so much more than the sender's and the receiver's.
		from, to := draw("sender's offset", -time.Second, time.Second), draw("receiver's offset", -time.Second, time.Second)
		below, above := draw("not known below", 0, 4*ms), draw("not known above", 0, 100*ms)
		position, led := now-draw("age", 0, 300*ms), now-draw("led", 0, 200*ms) // by the fleet's clock
		s, r := state(nil), state(nil)
		// The sender's own knowledge is never later than it was.
		s.AddEntry(now-from, balance.RemoteOutcome{Server: "s-1", Role: balance.Primary, Position: position, At: led - from})
		offsets := Offsets{Min: to - below, Max: to + above, Bounded: true}
		out, err := r.Receive(now-to+20*ms, offsets, s.AppendMessage(now-from, Offsets{Min: from - below, Max: from + above, Bounded: true}, nil), nil)
		if err != nil || len(out) != 1 {
			t.Fatalf("%v, %v", out, err)
		}
		if n := out[0]; n.Position > position || n.Position < position-below-3*ageStep || n.Role == balance.Primary && n.NotBefore+to > position {
			t.Errorf("a position %s too new, a word %s too new", n.Position-position, n.NotBefore+to-position)
		}
	})
}

func TestAnEndIsNotHeardAsLaterThanItWasWhereLittleIsKnownOfTheClock(t *testing.T) {
	for name, offsets := range map[string]Offsets{
		"known below alone, by a log that is behind": {Min: -1500 * ms},
		"in doubt": {Min: -1500 * ms, Max: 5 * ms, Bounded: true},
	} {
		s, r := state(nil), state(nil)
		s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now})
		out, err := r.Receive(now+1600*ms, offsets, s.AppendMessage(now, Offsets{Bounded: true}, nil), nil)
		if err == nil && out[0].At > now+10*ms {
			t.Errorf("%s: what ended 1.6 s ago is heard as ended %s ago", name, now+1600*ms-out[0].At)
		}
	}
}

func TestAFreshDatagramIsUsedWhereLittleIsKnownBelow(t *testing.T) {
	s, r := state(nil), state(nil)
	s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", At: now, Role: balance.Replica, Position: now - 10*ms})
	out, err := r.Receive(now+60*ms, Offsets{Min: -200 * ms}, s.AppendMessage(now, Offsets{Bounded: true}, nil), nil)
	if err != nil || len(out) != 1 {
		t.Errorf("what ended 60 ms ago, with a log known to be 200 ms behind: %v, %v", out, err)
	}
}

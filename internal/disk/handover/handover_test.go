package handover

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

const now = 1_767_225_600 * time.Second

func sampleState() State {
	ms := time.Millisecond
	return State{At: now - 3*ms, Revision: 41, Agent: "a", Discovery: "c", FirstDiscovery: "d", Newest: now - 200*ms, Hosts: []Host{
		{Server: "s-1", Address: "127.0.0.9:5432", Group: 3, Listed: true, Weight: 1, PrimaryNotBefore: now - 5*ms, ReplicaNotAfter: now - time.Minute,
			Position: now - 9*ms, Alive: true},
		{Server: "s-2", Address: "127.0.0.8:5432", State: balance.Draining, Weight: 0.5, Started: now - time.Second, ReplicaNotAfter: now - ms,
			NotifiedFor: 300 * ms, NotifiedBy: "b", NotifiedRevision: 40}}, ClockKnown: true, Offset: fleetclock.Interval{Min: -30 * ms, Max: 2 * time.Second}}
}

func TestRoundTrip(t *testing.T) {
	b, err := Encode(sampleState())
	if err != nil {
		t.Fatal(err)
	}
	at := sampleState().At
	got, err := Decode(at, at, b) // the difference of the clocks is known to be 0
	if d := cmp.Diff(sampleState(), got); d != "" || err != nil {
		t.Error(err, d)
	}
}

func TestRoundingIsSafe(t *testing.T) {
	const part = 700 * time.Microsecond
	encoded := sampleState()
	encoded.At += part
	b, err := Encode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(encoded.At, encoded.At, b)
	if err != nil {
		t.Fatal(err)
	}
	if got.Offset.Min > encoded.Offset.Min || got.Offset.Max < encoded.Offset.Max {
		t.Errorf("decoded clock offset %v does not contain the encoded %v", got.Offset, encoded.Offset)
	}
	for i, h := range got.Hosts {
		was := encoded.Hosts[i]
		if h.PrimaryNotBefore > was.PrimaryNotBefore || h.ReplicaNotAfter < was.ReplicaNotAfter || h.Started < was.Started || h.Position > was.Position {
			t.Errorf("decoded %+v, encoded %+v", h, was)
		}
	}
}

// Handover state that is truncated, corrupted in any byte, too old or of an unsupported version is rejected as
// a whole.
func TestRejectsInvalidState(t *testing.T) {
	b, _ := Encode(sampleState())
	for i := range b {
		if k, err := Decode(now-5*time.Millisecond, now, b[:i]); err == nil || len(k.Hosts) > 0 {
			t.Fatalf("state truncated to %d of %d bytes is accepted", i, len(b))
		}
		if i == 6 || i == 7 {
			continue // unused bytes
		}
		c := append([]byte(nil), b...)
		c[i] ^= 0x10
		if k, err := Decode(now-5*time.Millisecond, now, c); err == nil || len(k.Hosts) > 0 {
			t.Fatalf("state with byte %d of %d changed is accepted", i, len(b))
		}
	}
	other := append([]byte(nil), b...)
	other[5]++
	if _, err := Decode(now-5*time.Millisecond, now, other); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
	if _, err := Decode(now, now+time.Minute, b); !errors.Is(err, ErrTooOld) {
		t.Error(err)
	}
	ahead := sampleState()
	ahead.Hosts[0].Position = now + time.Hour
	b, _ = Encode(ahead)
	if _, err := Decode(now-5*time.Millisecond, now, b); !errors.Is(err, ErrInvalidHost) {
		t.Error(err)
	}
}

// The machine's wall clock is stepped between the starts of the two processes. The new process must convert all
// times to its own clock, with the uncertainty of when the state was collected.
func TestClockStepBetweenProcesses(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, 0} {
		b, _ := Encode(sampleState())
		requestedAt := now + step
		arrived := requestedAt + 4*time.Millisecond
		got, err := Decode(requestedAt, arrived, b)
		if err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		want := sampleState()
		minDiff, maxDiff := requestedAt-want.At, arrived-want.At
		want.At, want.Offset = requestedAt, fleetclock.Interval{Min: want.Offset.Min - maxDiff, Max: want.Offset.Max - minDiff}
		want.Hosts[0].PrimaryNotBefore += minDiff
		want.Hosts[0].ReplicaNotAfter += maxDiff
		want.Hosts[1].ReplicaNotAfter += maxDiff
		want.Hosts[1].Started += maxDiff
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", step, d)
		}
	}
}

// Earlier versions dated statements of primaries, positions and writes by a clock that may have been wrong. Only the
// statement that a host is a replica is used from them, and the position of the newest write counts as unknown.
func TestEarlierVersions(t *testing.T) {
	text := []byte(`{"at":1767225599997,"revision":41,"newest":0,"clock":true,"ahead":0,"hosts":[
		{"id":"s-1","address":"127.0.0.9:5432","group":3,"listed":true,"weight":1,"role":1,"role_at":1767225599995,"position":1767225599991,"alive":true},
		{"id":"s-2","address":"127.0.0.8:5432","group":3,"listed":true,"weight":1,"role":2,"role_at":1767225599990,"position":1767225599980,"alive":true}]}`)
	at := sampleState().At
	got, err := Decode(at, at, append(header(versionRoles, text), text...))
	b, _ := Encode(sampleState())
	two, err2 := Decode(at, at, append(header(versionLocalClock, b[headerSize:]), b[headerSize:]...))
	want2 := sampleState()
	want2.ClockKnown, want2.Newest, want2.Hosts[0].Position, want2.Hosts[0].PrimaryNotBefore = false, UnknownWrite, 0, 0
	if d := cmp.Diff(want2, two); d != "" || err2 != nil {
		t.Error(err2, d)
	}
	want := State{At: now - 3*time.Millisecond, Revision: 41, Hosts: []Host{
		{Server: "s-1", Address: "127.0.0.9:5432", Group: 3, Listed: true, Weight: 1, Alive: true},
		{Server: "s-2", Address: "127.0.0.8:5432", Group: 3, Listed: true, Weight: 1, ReplicaNotAfter: now - 10*time.Millisecond, Alive: true}}}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(err, d)
	}
}

// The old process knew the offset of the fleet's clock to the millisecond, and the machine's clock was stepped
// by less than a second, or by 3 s, between the starts of the two processes. The decoded interval must contain
// the new offset.
func TestSmallStepStaysInClockInterval(t *testing.T) {
	ms := time.Millisecond
	for _, step := range []time.Duration{-900 * ms, -400 * ms, -100 * ms, 100 * ms, 400 * ms, 900 * ms, 3 * time.Second} {
		for _, survey := range []time.Duration{0, 800 * ms} { // delay between the request and the collection
			requestedAt, oldTime := now, now+survey-step // by the new and by the old clock
			k := State{At: oldTime, ClockKnown: true, Offset: fleetclock.Interval{Min: step - ms, Max: step + ms}}
			b, _ := Encode(k)
			got, err := Decode(requestedAt, requestedAt+survey+ms, b)
			if err != nil {
				t.Fatal(err)
			}
			if i := got.Offset; got.ClockKnown && (i.Min > 0 || i.Max < 0) {
				t.Errorf("step of %s, state collected after %s: offset 0 is not in the decoded %+v", step, survey, i)
			}
		}
	}
}

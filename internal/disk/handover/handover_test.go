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

func known() State {
	ms := time.Millisecond
	return State{At: now - 3*ms, Revision: 41, Agent: "a", Discovery: "c", FirstDiscovery: "d", Newest: now - 200*ms, Hosts: []Host{
		{Server: "s-1", Address: "127.0.0.9:5432", Group: 3, Listed: true, Weight: 1, PrimaryNotBefore: now - 5*ms, ReplicaNotAfter: now - time.Minute,
			Position: now - 9*ms, Alive: true},
		{Server: "s-2", Address: "127.0.0.8:5432", State: balance.Draining, Weight: 0.5, Started: now - time.Second, ReplicaNotAfter: now - ms,
			NotifiedFor: 300 * ms, NotifiedBy: "b", NotifiedRevision: 40}}, ClockKnown: true, Offset: fleetclock.Interval{Min: -30 * ms, Max: 2 * time.Second}}
}

func TestThereAndBack(t *testing.T) {
	b, err := Encode(known())
	if err != nil {
		t.Fatal(err)
	}
	at := known().At
	got, err := Decode(at, at, b) // the clocks differ by nothing, for certain
	if d := cmp.Diff(known(), got); d != "" || err != nil {
		t.Error(err, d)
	}
}

func TestWhatIsRoundedOffErrsToTheSafeSide(t *testing.T) {
	const part = 700 * time.Microsecond
	told := known()
	told.At += part
	b, err := Encode(told)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(told.At, told.At, b)
	if err != nil {
		t.Fatal(err)
	}
	if got.Offset.Min > told.Offset.Min || got.Offset.Max < told.Offset.Max {
		t.Errorf("the fleet's clock is ahead by %v, was %v", got.Offset, told.Offset)
	}
	for i, h := range got.Hosts {
		was := told.Hosts[i]
		if h.PrimaryNotBefore > was.PrimaryNotBefore || h.ReplicaNotAfter < was.ReplicaNotAfter || h.Started < was.Started || h.Position > was.Position {
			t.Errorf("%+v, was %+v", h, was)
		}
	}
}

// A handover with any byte changed, cut off anywhere, too old or of another version is not used in any part.
func TestTornOldOrOther(t *testing.T) {
	b, _ := Encode(known())
	for i := range b {
		if k, err := Decode(now-5*time.Millisecond, now, b[:i]); err == nil || len(k.Hosts) > 0 {
			t.Fatalf("cut off at %d of %d it is used", i, len(b))
		}
		if i == 6 || i == 7 {
			continue // nothing stands there
		}
		c := append([]byte(nil), b...)
		c[i] ^= 0x10
		if k, err := Decode(now-5*time.Millisecond, now, c); err == nil || len(k.Hosts) > 0 {
			t.Fatalf("with byte %d of %d changed it is used", i, len(b))
		}
	}
	other := append([]byte(nil), b...)
	other[5]++
	if _, err := Decode(now-5*time.Millisecond, now, other); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
	if _, err := Decode(now, now+time.Minute, b); !errors.Is(err, ErrOld) {
		t.Error(err)
	}
	ahead := known()
	ahead.Hosts[0].Position = now + time.Hour
	b, _ = Encode(ahead)
	if _, err := Decode(now-5*time.Millisecond, now, b); !errors.Is(err, ErrHost) {
		t.Error(err)
	}
}

// Between the starts of the two processes the machine's wall clock was stepped: what is handed over counts by the new one's clock, as far
// as it is known when it was put together.
func TestAStepBetweenTheProcesses(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, 0} {
		b, _ := Encode(known())
		asked := now + step
		came := asked + 4*time.Millisecond
		got, err := Decode(asked, came, b)
		if err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		want := known()
		least, most := asked-want.At, came-want.At
		want.At, want.Offset = asked, fleetclock.Interval{Min: want.Offset.Min - most, Max: want.Offset.Max - least}
		want.Hosts[0].PrimaryNotBefore += least
		want.Hosts[0].ReplicaNotAfter += most
		want.Hosts[1].ReplicaNotAfter += most
		want.Hosts[1].Started += most
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", step, d)
		}
	}
}

// The versions before dated what leads, positions and writes by a clock that may have been wrong. Only that a host follows is taken from
// them, and every write counts as one that may just have been made.
func TestAHandoverOfTheVersionsBefore(t *testing.T) {
	text := []byte(`{"at":1767225599997,"revision":41,"newest":0,"clock":true,"ahead":0,"hosts":[
		{"id":"s-1","address":"127.0.0.9:5432","group":3,"listed":true,"weight":1,"role":1,"role_at":1767225599995,"position":1767225599991,"alive":true},
		{"id":"s-2","address":"127.0.0.8:5432","group":3,"listed":true,"weight":1,"role":2,"role_at":1767225599990,"position":1767225599980,"alive":true}]}`)
	at := known().At
	got, err := Decode(at, at, append(head(earlier, text), text...))
	b, _ := Encode(known())
	two, err2 := Decode(at, at, append(head(dated, b[headSize:]), b[headSize:]...))
	want2 := known()
	want2.ClockKnown, want2.Newest, want2.Hosts[0].Position, want2.Hosts[0].PrimaryNotBefore = false, Later, 0, 0
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

// The earlier process knew its clock to the millisecond; the machine's was stepped between the starts of the two by less than a second.
func TestASmallStepBetweenTheProcessesIsInsideTheClockThatIsHandedOver(t *testing.T) {
	ms := time.Millisecond
	for _, step := range []time.Duration{-900 * ms, -400 * ms, -100 * ms, 100 * ms, 400 * ms, 900 * ms, 3 * time.Second} {
		for _, survey := range []time.Duration{0, 800 * ms} { // after it was asked for
			asked, elder := now, now+survey-step // one moment, by the two clocks
			k := State{At: elder, ClockKnown: true, Offset: fleetclock.Interval{Min: step - ms, Max: step + ms}}
			b, _ := Encode(k)
			got, err := Decode(asked, asked+survey+ms, b)
			if err != nil {
				t.Fatal(err)
			}
			if i := got.Offset; got.ClockKnown && (i.Min > 0 || i.Max < 0) {
				t.Errorf("a step of %s, surveyed after %s: the fleet's clock shows as much as the new one, handed over is %+v", step, survey, i)
			}
		}
	}
}

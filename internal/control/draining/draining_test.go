package draining

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func TestBounds(t *testing.T) {
	type change struct {
		at, since time.Duration
		state     State
		want      time.Duration
	}
	const start = 10 * time.Second
	for name, c := range map[string]struct {
		rules   Rules
		changes []change
	}{
		"a host that serves":                {Rules{Grace: time.Second}, []change{{start, 0, Serving, Open}}},
		"the grace less both hold-ups":      {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms}}},
		"a grace that two hold-ups take up": {Rules{Grace: 200 * ms}, []change{{start, 0, Draining, start - 100*ms}}},
		"listed again":                      {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms}, {start + 500*ms, 0, Draining, start + 700*ms}}},
		"from draining to gone":             {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms}, {start + 500*ms, 0, Removed, start + 700*ms}}},
		"back in service, and drained anew": {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms},
			{start + 500*ms, 0, Serving, Open}, {start + 600*ms, 0, Draining, start + 1300*ms}}},
		"notified by an earlier process":    {Rules{Grace: time.Second}, []change{{start, start - 400*ms, Draining, start + 300*ms}}},
		"dropped where that is not binding": {Rules{Grace: time.Second, DroppedStayOpen: true}, []change{{start, 0, Removed, Open}}},
		"dropped after a drain there": {Rules{Grace: time.Second, DroppedStayOpen: true}, []change{{start, 0, Draining, start + 700*ms},
			{start + 100*ms, 0, Removed, start + 700*ms}}},
		"a clock that has just started": {Rules{}, []change{{100 * ms, 0, Removed, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New(c.rules)
			for i, s := range c.changes {
				want := Bound{"s", s.want}
				if diff := cmp.Diff(want, tracker.Set(Notification{Server: "s", State: s.state, At: s.at, NotifiedAt: s.since, Agent: "a"})); diff != "" {
					t.Errorf("change %d: %s", i, diff)
				}
				if got := tracker.Until("s"); got != s.want {
					t.Errorf("change %d: until %s, want %s", i, got, s.want)
				}
			}
		})
	}
}

// Another grace holds for hosts that were notified before, whether it is shorter or longer.
func TestRetuneMovesTheBoundsOfNotifiedHosts(t *testing.T) {
	const start = 10 * time.Second
	tracker := New(Rules{Grace: time.Second})
	tracker.Set(Notification{Server: "s", State: Draining, At: start, Agent: "a"})
	for _, grace := range []time.Duration{400 * ms, 3 * time.Second} {
		want := []Bound{{"s", start + grace - 2*MaxSendDelay}}
		if diff := cmp.Diff(want, tracker.SetRules(Rules{Grace: grace})); diff != "" {
			t.Error(diff)
		}
	}
	if got := tracker.SetRules(Rules{Grace: 3 * time.Second}); got != nil {
		t.Errorf("the same rules move bounds: %v", got)
	}
}

// Of two agents of discovery either may be behind the other.
func TestOnlyALaterWordEndsADrain(t *testing.T) {
	const start = 10 * time.Second
	drain := Notification{State: Draining, Agent: "a", Revision: 43, Started: 7}
	for name, c := range map[string]struct {
		before []Notification
		serves Notification
		want   State
	}{
		"the agent that told it":             {[]Notification{drain}, Notification{Agent: "a", Revision: 43, Started: 7}, Serving},
		"an older list of the same agent":    {[]Notification{drain}, Notification{Agent: "a", Revision: 42, Started: 7}, Draining},
		"another agent":                      {[]Notification{drain}, Notification{Agent: "b", Started: 7}, Draining},
		"another agent, of an earlier start": {[]Notification{drain}, Notification{Agent: "b", Started: 3}, Draining},
		"another agent, of a later start":    {[]Notification{drain}, Notification{Agent: "b", Started: 8}, Serving},
		"an agent that told it too":          {[]Notification{drain, {State: Draining, Agent: "b"}}, Notification{Agent: "b"}, Serving},
		"an agent that told it before":       {[]Notification{drain, {State: Draining, Agent: "b"}}, Notification{Agent: "a"}, Draining},
		"an agent whose list lacked it":      {[]Notification{drain, {State: Removed, Agent: "b", Unlisted: true}}, Notification{Agent: "b", Started: 7}, Removed},
		"a list that had lacked it only":     {[]Notification{{State: Removed, Agent: "b", Unlisted: true}}, Notification{Agent: "b"}, Serving},
		"nobody that is known":               {[]Notification{{State: Draining}}, Notification{}, Draining},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New(Rules{Grace: time.Second})
			for _, w := range append(c.before, c.serves) {
				w.Server, w.At = "s", start
				tracker.Set(w)
			}
			if got := tracker.State("s"); got != c.want || (tracker.Until("s") == Open) != (got == Serving) {
				t.Errorf("%s until %s, want %s", got, tracker.Until("s"), c.want)
			}
		})
	}
}

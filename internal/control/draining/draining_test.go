package draining

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func TestTimeLimits(t *testing.T) {
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
		"serving host":                       {Rules{Grace: time.Second}, []change{{start, 0, Serving, Open}}},
		"grace minus two send delays":        {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms}}},
		"grace shorter than two send delays": {Rules{Grace: 200 * ms}, []change{{start, 0, Draining, start - 100*ms}}},
		"draining in a second list":          {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms}, {start + 500*ms, 0, Draining, start + 700*ms}}},
		"from draining to removed":           {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms}, {start + 500*ms, 0, Removed, start + 700*ms}}},
		"back in service and drained again": {Rules{Grace: time.Second}, []change{{start, 0, Draining, start + 700*ms},
			{start + 500*ms, 0, Serving, Open}, {start + 600*ms, 0, Draining, start + 1300*ms}}},
		"notified in the old process":  {Rules{Grace: time.Second}, []change{{start, start - 400*ms, Draining, start + 300*ms}}},
		"removed without a time limit": {Rules{Grace: time.Second, DroppedStayOpen: true}, []change{{start, 0, Removed, Open}}},
		"removed after a drain": {Rules{Grace: time.Second, DroppedStayOpen: true}, []change{{start, 0, Draining, start + 700*ms},
			{start + 100*ms, 0, Removed, start + 700*ms}}},
		"clock that has just started": {Rules{}, []change{{100 * ms, 0, Removed, 1}}},
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

// A new grace, shorter or longer, also applies to hosts with an earlier notification.
func TestNewRulesApplyToNotifiedHosts(t *testing.T) {
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
		t.Errorf("unchanged rules move bounds: %v", got)
	}
}

// The list of either discovery agent may lag behind that of the other, so only a newer statement may end a
// drain.
func TestOnlyNewerStatementEndsDrain(t *testing.T) {
	const start = 10 * time.Second
	drain := Notification{State: Draining, Agent: "a", Revision: 43, Started: 7}
	for name, c := range map[string]struct {
		before []Notification
		serves Notification
		want   State
	}{
		"agent that notified":                  {[]Notification{drain}, Notification{Agent: "a", Revision: 43, Started: 7}, Serving},
		"older list of the same agent":         {[]Notification{drain}, Notification{Agent: "a", Revision: 42, Started: 7}, Draining},
		"another agent":                        {[]Notification{drain}, Notification{Agent: "b", Started: 7}, Draining},
		"another agent, earlier start":         {[]Notification{drain}, Notification{Agent: "b", Started: 3}, Draining},
		"another agent, later start":           {[]Notification{drain}, Notification{Agent: "b", Started: 8}, Serving},
		"agent that notified last of two":      {[]Notification{drain, {State: Draining, Agent: "b"}}, Notification{Agent: "b"}, Serving},
		"agent that notified first of two":     {[]Notification{drain, {State: Draining, Agent: "b"}}, Notification{Agent: "a"}, Draining},
		"agent whose snapshot lacked the host": {[]Notification{drain, {State: Removed, Agent: "b", Unlisted: true}}, Notification{Agent: "b", Started: 7}, Removed},
		"only absent from an earlier snapshot": {[]Notification{{State: Removed, Agent: "b", Unlisted: true}}, Notification{Agent: "b"}, Serving},
		"unknown agent":                        {[]Notification{{State: Draining}}, Notification{}, Draining},
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

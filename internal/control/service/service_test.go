package service

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var times = Times{LoadBalancerDelay: 350 * ms, Accept: 450 * ms, CloseConnections: 2950 * ms, AnswersDue: 3550 * ms, Exit: 3620 * ms, Linger: 10 * time.Second}

type step struct {
	at  time.Duration
	ev  Event
	bad bool
}

func TestWhatHolds(t *testing.T) {
	const on = 1000 * ms
	for name, c := range map[string]struct {
		steps []step
		at    time.Duration
		want  View
	}{
		"starting": {nil, on, View{Accept: true}},
		"serving":  {[]step{{0, Ready, false}}, on, View{Phase: Serving, Ready: true, Accept: true}},
		"told to drain before it was ready": {[]step{{0, Drain, false}, {1 * ms, Ready, false}}, 100 * ms,
			View{Phase: Draining, Accept: true, NextChange: 350 * ms}},
		"a drain says no at once and keeps connections until the front has noticed": {[]step{{0, Ready, false}, {on, Drain, false}},
			on, View{Phase: Draining, Accept: true, NextChange: on + 350*ms}},
		"then it ends them": {[]step{{0, Ready, false}, {on, Drain, false}}, on + 350*ms,
			View{Phase: Draining, Accept: true, CloseConnections: true}},
		"on twice counts from the first": {[]step{{0, Ready, false}, {on, Drain, false}, {on + 300*ms, Drain, false}}, on + 350*ms,
			View{Phase: Draining, Accept: true, CloseConnections: true}},
		"off in the middle": {[]step{{0, Ready, false}, {on, Drain, false}, {on + 100*ms, Resume, false}}, on + 350*ms,
			View{Phase: Serving, Ready: true, Accept: true}},
		"off without on":              {[]step{{0, Ready, false}, {on, Resume, false}}, on, View{Phase: Serving, Ready: true, Accept: true}},
		"on and off before ready":     {[]step{{0, Drain, false}, {1 * ms, Resume, false}}, on, View{Accept: true}},
		"off before ready":            {[]step{{0, Resume, false}}, on, View{Accept: true}},
		"starting after an elder":     {[]step{{0, OldProcessFound, false}}, on, View{LimitsShared: true}},
		"ready after an elder":        {[]step{{0, OldProcessFound, false}, {0, Ready, false}}, on, View{Phase: Serving, Ready: true, Accept: true, LimitsShared: true}},
		"the elder is gone":           {[]step{{0, OldProcessFound, false}, {0, Ready, false}, {0, OldProcessExited, false}}, on, View{Phase: Serving, Ready: true, Accept: true}},
		"the elder dies before":       {[]step{{0, OldProcessFound, false}, {0, OldProcessExited, false}}, on, View{Accept: true}},
		"SIGTERM before it was ready": {[]step{{on, Terminate, false}}, on, View{Phase: ShuttingDown, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"off after SIGTERM": {[]step{{0, Ready, false}, {on, Terminate, false}, {on + ms, Resume, true}}, on + ms,
			View{Phase: ShuttingDown, Ready: true, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"SIGTERM serves on": {[]step{{0, Ready, false}, {on, Terminate, false}}, on + 2949*ms,
			View{Phase: ShuttingDown, Ready: true, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"then it ends connections": {[]step{{0, Ready, false}, {on, Terminate, false}}, on + 2950*ms,
			View{Phase: ShuttingDown, Ready: true, CloseConnections: true, ExitWhenIdle: true, AnswersDue: on + 3550*ms, NextChange: on + 3620*ms}},
		"and then itself": {[]step{{0, Ready, false}, {on, Terminate, false}}, on + 3620*ms,
			View{Phase: ShuttingDown, Ready: true, CloseConnections: true, ExitWhenIdle: true, ExitNow: true, AnswersDue: on + 3550*ms}},
		"SIGTERM while drained": {[]step{{0, Ready, false}, {on, Drain, false}, {on + 400*ms, Terminate, false}}, on + 400*ms,
			View{Phase: ShuttingDown, Accept: true, CloseConnections: true, AnswersDue: on + 3950*ms, NextChange: on + 3350*ms}},
		"a drain after SIGTERM changes nothing": {[]step{{0, Ready, false}, {on, Terminate, false}, {on + ms, Drain, false}}, on + ms,
			View{Phase: ShuttingDown, Ready: true, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"an heir shares the limits": {[]step{{0, Ready, false}, {on, NewProcessConnected, false}}, on,
			View{Phase: Serving, NewProcess: Came, Ready: true, Accept: true, LimitsShared: true}},
		"a ready heir gets the clients": {[]step{{0, Ready, false}, {on, NewProcessConnected, false}, {on, NewProcessReady, false}}, on,
			View{Phase: Serving, NewProcess: Took, Ready: true, CloseConnections: true, HandOver: true, LimitsShared: true, NextChange: on + 10*time.Second}},
		"an heir that dies gives them back": {[]step{{0, Ready, false}, {on, NewProcessConnected, false}, {on, NewProcessReady, false}, {on + ms, NewProcessLost, false}},
			on + ms, View{Phase: Serving, Ready: true, Accept: true}},
		"SIGTERM with an heir ends as soon as all is answered": {[]step{{0, Ready, false}, {0, NewProcessReady, false}, {on, Terminate, false}}, on,
			View{Phase: ShuttingDown, NewProcess: Took, Ready: true, CloseConnections: true, HandOver: true, LimitsShared: true, ExitWhenIdle: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"nobody sends SIGTERM": {[]step{{0, Ready, false}, {0, NewProcessReady, false}}, 10 * time.Second,
			View{Phase: Serving, NewProcess: Took, Ready: true, CloseConnections: true, HandOver: true, LimitsShared: true, ExitWhenIdle: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(times)
			for _, st := range c.steps {
				if err := s.Handle(st.at, st.ev); (err != nil) != st.bad {
					t.Fatalf("%s at %s: %v", st.ev, st.at, err)
				}
			}
			if d := cmp.Diff(c.want, s.View(c.at)); d != "" {
				t.Error(d)
			}
		})
	}
}

// After SIGTERM new connections keep coming for a while, however short the deadlines.
func TestConnectionsAreTakenAsLongAsTheyCome(t *testing.T) {
	s := New(Times{LoadBalancerDelay: 350 * ms, CloseConnections: 250 * ms, Accept: 450 * ms, AnswersDue: 850 * ms, Exit: 920 * ms, Linger: 10 * time.Second})
	_ = s.Handle(0, Ready)
	_ = s.Handle(0, Terminate)
	for _, c := range []struct {
		at, next     time.Duration
		accept, idle bool
	}{{249 * ms, 250 * ms, true, false}, {250 * ms, 450 * ms, true, false}, {449 * ms, 450 * ms, true, false}, {450 * ms, 920 * ms, false, true}} {
		if v := s.View(c.at); v.Accept != c.accept || v.ExitWhenIdle != c.idle || v.NextChange != c.next {
			t.Errorf("at %s: %+v", c.at, v)
		}
	}
}

// SIGKILL may come by the old settings or by the new ones, as long as these do not bind.
func TestTheEndKeepsTheEarlierOfTheTimesThatMayHold(t *testing.T) {
	at := func(last time.Duration) Times {
		return Times{CloseConnections: last - 600*ms, AnswersDue: last, Exit: last + 70*ms, Accept: 450 * ms, Linger: 10 * time.Second}
	}
	type retime struct{ now, last time.Duration }
	const binds, old, longer, shorter = 1200 * ms, 2 * time.Second, 3 * time.Second, time.Second
	for name, c := range map[string]struct {
		before    []retime
		terminate time.Duration
		after     []retime
		want      time.Duration
	}{
		"longer, not yet":                     {[]retime{{0, longer}}, binds - ms, nil, old},
		"longer, once they bind":              {[]retime{{0, longer}}, binds, nil, longer},
		"shorter, at once":                    {[]retime{{0, shorter}}, ms, nil, shorter},
		"shorter and longer in a row":         {[]retime{{0, shorter}, {ms, longer}}, binds, nil, shorter},
		"shorter and longer, once they bind":  {[]retime{{0, shorter}, {ms, longer}}, binds + ms, nil, longer},
		"shorter, which bound before longer":  {[]retime{{0, shorter}, {binds, longer}}, binds + ms, nil, shorter},
		"longer after SIGTERM":                {nil, 0, []retime{{ms, longer}}, old},
		"shorter after SIGTERM":               {nil, 0, []retime{{ms, shorter}}, shorter},
		"longer after SIGTERM, however later": {[]retime{{0, longer}}, ms, []retime{{binds + ms, longer}}, old},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(at(old))
			for _, r := range c.before {
				s.SetTimes(r.now, at(r.last), r.now+binds)
			}
			_ = s.Handle(c.terminate, Terminate)
			for _, r := range c.after {
				s.SetTimes(r.now, at(r.last), r.now+binds)
			}
			_ = s.Handle(2*binds, Resume) // changes nothing, whenever it comes
			if v := s.View(c.terminate + ms); v.AnswersDue != c.terminate+c.want {
				t.Errorf("the last answer is due %s after SIGTERM, want %s", v.AnswersDue-c.terminate, c.want)
			}
		})
	}
}

// Whatever comes in whatever order, the view keeps what is owed.
func TestViewKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(times), time.Duration(0)
		var drainedAt, endAt time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * ms
			ev := Event(rapid.IntRange(0, len(events)-1).Draw(t, "event"))
			before := s.View(now)
			_ = s.Handle(now, ev)
			v := s.View(now)
			if v.Phase == Draining && before.Phase != Draining {
				drainedAt = now
			}
			if v.Phase == ShuttingDown && before.Phase != ShuttingDown {
				endAt = now
			}
			switch {
			case before.Phase == ShuttingDown && v.Phase != ShuttingDown:
				t.Fatal("a process that ends was taken back")
			case v.Phase == Draining && v.Ready:
				t.Fatal("yes while draining")
			case v.Phase == Draining && now >= drainedAt+times.LoadBalancerDelay && !v.CloseConnections:
				t.Fatal("a drain keeps connections")
			case v.Phase == ShuttingDown && now >= endAt+times.Exit && !v.ExitNow:
				t.Fatal("it does not end in time")
			case v.Phase != ShuttingDown && v.ExitNow:
				t.Fatal("it ends without SIGTERM")
			case v.NextChange != 0 && v.NextChange <= now:
				t.Fatal("the next change lies in the past")
			case v.NextChange != 0 && cmp.Equal(before, v) && cmp.Equal(v, s.View(v.NextChange)):
				t.Fatal("nothing changes at the time named")
			case v.HandOver && v.Accept:
				t.Fatal("two processes accept")
			}
		}
	})
}

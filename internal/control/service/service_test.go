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
	at      time.Duration
	event   Event
	wantErr bool
}

func TestView(t *testing.T) {
	const on = 1000 * ms
	for name, c := range map[string]struct {
		steps []step
		at    time.Duration
		want  View
	}{
		"starting": {nil, on, View{Accept: true}},
		"serving":  {[]step{{0, Ready, false}}, on, View{Phase: Serving, Ready: true, Accept: true}},
		"drained before ready": {[]step{{0, Drain, false}, {1 * ms, Ready, false}}, 100 * ms,
			View{Phase: Draining, Accept: true, NextChange: 350 * ms}},
		"drain fails readiness at once and keeps connections until the load balancer notices": {[]step{{0, Ready, false}, {on, Drain, false}},
			on, View{Phase: Draining, Accept: true, NextChange: on + 350*ms}},
		"drain closes connections after that": {[]step{{0, Ready, false}, {on, Drain, false}}, on + 350*ms,
			View{Phase: Draining, Accept: true, CloseConnections: true}},
		"second drain does not restart the time": {[]step{{0, Ready, false}, {on, Drain, false}, {on + 300*ms, Drain, false}}, on + 350*ms,
			View{Phase: Draining, Accept: true, CloseConnections: true}},
		"resume during a drain": {[]step{{0, Ready, false}, {on, Drain, false}, {on + 100*ms, Resume, false}}, on + 350*ms,
			View{Phase: Serving, Ready: true, Accept: true}},
		"resume without a drain":         {[]step{{0, Ready, false}, {on, Resume, false}}, on, View{Phase: Serving, Ready: true, Accept: true}},
		"drain and resume before ready":  {[]step{{0, Drain, false}, {1 * ms, Resume, false}}, on, View{Accept: true}},
		"resume before ready":            {[]step{{0, Resume, false}}, on, View{Accept: true}},
		"starting beside an old process": {[]step{{0, OldProcessFound, false}}, on, View{LimitsShared: true}},
		"ready beside an old process":    {[]step{{0, OldProcessFound, false}, {0, Ready, false}}, on, View{Phase: Serving, Ready: true, Accept: true, LimitsShared: true}},
		"old process exits after ready":  {[]step{{0, OldProcessFound, false}, {0, Ready, false}, {0, OldProcessExited, false}}, on, View{Phase: Serving, Ready: true, Accept: true}},
		"old process exits before ready": {[]step{{0, OldProcessFound, false}, {0, OldProcessExited, false}}, on, View{Accept: true}},
		"SIGTERM before ready":           {[]step{{on, Terminate, false}}, on, View{Phase: ShuttingDown, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"resume after SIGTERM": {[]step{{0, Ready, false}, {on, Terminate, false}, {on + ms, Resume, true}}, on + ms,
			View{Phase: ShuttingDown, Ready: true, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"serving after SIGTERM": {[]step{{0, Ready, false}, {on, Terminate, false}}, on + 2949*ms,
			View{Phase: ShuttingDown, Ready: true, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"closing connections after SIGTERM": {[]step{{0, Ready, false}, {on, Terminate, false}}, on + 2950*ms,
			View{Phase: ShuttingDown, Ready: true, CloseConnections: true, ExitWhenIdle: true, AnswersDue: on + 3550*ms, NextChange: on + 3620*ms}},
		"exit after SIGTERM": {[]step{{0, Ready, false}, {on, Terminate, false}}, on + 3620*ms,
			View{Phase: ShuttingDown, Ready: true, CloseConnections: true, ExitWhenIdle: true, ExitNow: true, AnswersDue: on + 3550*ms}},
		"SIGTERM during a drain": {[]step{{0, Ready, false}, {on, Drain, false}, {on + 400*ms, Terminate, false}}, on + 400*ms,
			View{Phase: ShuttingDown, Accept: true, CloseConnections: true, AnswersDue: on + 3950*ms, NextChange: on + 3350*ms}},
		"drain after SIGTERM has no effect": {[]step{{0, Ready, false}, {on, Terminate, false}, {on + ms, Drain, false}}, on + ms,
			View{Phase: ShuttingDown, Ready: true, Accept: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"new process shares the limits": {[]step{{0, Ready, false}, {on, NewProcessConnected, false}}, on,
			View{Phase: Serving, NewProcess: Connected, Ready: true, Accept: true, LimitsShared: true}},
		"ready new process takes over the clients": {[]step{{0, Ready, false}, {on, NewProcessConnected, false}, {on, NewProcessReady, false}}, on,
			View{Phase: Serving, NewProcess: TookOver, Ready: true, CloseConnections: true, HandOver: true, LimitsShared: true, NextChange: on + 10*time.Second}},
		"lost new process returns the clients": {[]step{{0, Ready, false}, {on, NewProcessConnected, false}, {on, NewProcessReady, false}, {on + ms, NewProcessLost, false}},
			on + ms, View{Phase: Serving, Ready: true, Accept: true}},
		"SIGTERM with a new process exits once all requests are answered": {[]step{{0, Ready, false}, {0, NewProcessReady, false}, {on, Terminate, false}}, on,
			View{Phase: ShuttingDown, NewProcess: TookOver, Ready: true, CloseConnections: true, HandOver: true, LimitsShared: true, ExitWhenIdle: true, AnswersDue: on + 3550*ms, NextChange: on + 2950*ms}},
		"no SIGTERM after the takeover": {[]step{{0, Ready, false}, {0, NewProcessReady, false}}, 10 * time.Second,
			View{Phase: Serving, NewProcess: TookOver, Ready: true, CloseConnections: true, HandOver: true, LimitsShared: true, ExitWhenIdle: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(times)
			for _, st := range c.steps {
				if err := s.Handle(st.at, st.event); (err != nil) != st.wantErr {
					t.Fatalf("%s at %s: %v", st.event, st.at, err)
				}
			}
			if d := cmp.Diff(c.want, s.View(c.at)); d != "" {
				t.Error(d)
			}
		})
	}
}

// Clients keep connecting for a while after SIGTERM, however short the deadlines are.
func TestAcceptAfterTerminate(t *testing.T) {
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

// SIGKILL may come by the old or by the new settings until the new ones are binding.
func TestShutdownUsesEarlierTimes(t *testing.T) {
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
		"longer, before it binds":            {[]retime{{0, longer}}, binds - ms, nil, old},
		"longer, once it binds":              {[]retime{{0, longer}}, binds, nil, longer},
		"shorter, at once":                   {[]retime{{0, shorter}}, ms, nil, shorter},
		"shorter and longer in a row":        {[]retime{{0, shorter}, {ms, longer}}, binds, nil, shorter},
		"shorter and longer, once both bind": {[]retime{{0, shorter}, {ms, longer}}, binds + ms, nil, longer},
		"shorter, which bound before longer": {[]retime{{0, shorter}, {binds, longer}}, binds + ms, nil, shorter},
		"longer after SIGTERM":               {nil, 0, []retime{{ms, longer}}, old},
		"shorter after SIGTERM":              {nil, 0, []retime{{ms, shorter}}, shorter},
		"longer after SIGTERM, bound later":  {[]retime{{0, longer}}, ms, []retime{{binds + ms, longer}}, old},
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
			_ = s.Handle(2*binds, Resume) // must have no effect at any time
			if v := s.View(c.terminate + ms); v.AnswersDue != c.terminate+c.want {
				t.Errorf("the last answer is due %s after SIGTERM, want %s", v.AnswersDue-c.terminate, c.want)
			}
		})
	}
}

// The view must keep its guarantees for any sequence of events.
func TestViewInvariants(t *testing.T) {
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
				t.Fatal("a shutdown was undone")
			case v.Phase == Draining && v.Ready:
				t.Fatal("ready while draining")
			case v.Phase == Draining && now >= drainedAt+times.LoadBalancerDelay && !v.CloseConnections:
				t.Fatal("a drain does not close connections")
			case v.Phase == ShuttingDown && now >= endAt+times.Exit && !v.ExitNow:
				t.Fatal("the process does not exit in time")
			case v.Phase != ShuttingDown && v.ExitNow:
				t.Fatal("the process exits without SIGTERM")
			case v.NextChange != 0 && v.NextChange <= now:
				t.Fatal("the next change is not in the future")
			case v.NextChange != 0 && cmp.Equal(before, v) && cmp.Equal(v, s.View(v.NextChange)):
				t.Fatal("the view does not change at the time that it gives")
			case v.HandOver && v.Accept:
				t.Fatal("two processes accept connections")
			}
		}
	})
}

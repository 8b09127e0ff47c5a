package discovery

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"yokemast/internal/control/listwatch"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

const ms = time.Millisecond

// scriptedSession is a session whose calls are answered by the test. It records when each list counts as
// notified.
type scriptedSession struct {
	*session
	start    time.Duration
	notified []time.Duration
	// revisions holds the watcher's revision at the time when each list was passed on.
	revisions []int64
	agents    []string // agent of each list
}

func newScriptedSession(revision int64) *scriptedSession {
	p := &scriptedSession{}
	w := NewWatcher("a", 1)
	w.Log, w.Counters, w.Clock, w.OnFirstAnswer = zap.NewNop(), &counters.Set{}, exchange.NewClock(), func() {}
	w.OnList = func(l exchange.List) {
		p.notified, p.revisions = append(p.notified, l.At), append(p.revisions, w.Revision())
		p.agents = append(p.agents, l.Agent)
	}
	p.start = w.Clock.Now()
	w.ProcessStart = p.start - 400*ms
	p.session = &session{Watcher: w, ctx: context.Background(), cancels: map[int]context.CancelFunc{}, decisions: listwatch.New("a", revision, 1)}
	return p
}

// stepCalls returns the calls that are due at the given time after the session's start.
func (p *scriptedSession) stepCalls(after time.Duration) (calls []listwatch.Call) {
	calls, _, _ = p.decisions.Step(p.start + after)
	p.missedAnswer = p.missedAnswer || p.decisions.Broken()
	for _, c := range calls {
		p.cancels[c.ID] = func() {}
	}
	return calls
}

func (p *scriptedSession) answer(c listwatch.Call, after time.Duration, revision int64) {
	p.handleResult(result{call: c, arrivedAt: p.start + after, list: List{Revision: revision, Complete: true}})
}

func (p *scriptedSession) last() time.Duration { return p.notified[len(p.notified)-1] - p.start }

func TestFirstListNotifiedAtProcessStart(t *testing.T) {
	p := newScriptedSession(41)
	call := p.stepCalls(0)[0]
	p.answer(call, 300*ms, 42)
	if got := p.last(); got != -400*ms {
		t.Errorf("the first list counts as notified %s after the process's start", got+400*ms)
	}
	p.answer(p.stepCalls(time.Second)[0], 2*time.Second, 43)
	if got := p.last(); got != 2*time.Second {
		t.Errorf("a list pushed to a watch counts as notified %s before it arrived", 2*time.Second-got)
	}
}

// A list that reaches the agent while the gateway has no watch open is answered at once when the next watch
// reaches the agent. It must count as notified at the last answer.
func TestPromptAnswerNotifiedAtLastAnswer(t *testing.T) {
	for name, c := range map[string]struct{ latency, pause, took, want time.Duration }{
		"a watch without a pause":           {0, 0, 5 * ms, 0},
		"after a pause":                     {0, 150 * ms, 5 * ms, 0},
		"after a pause, with two stalls":    {0, 150 * ms, 300 * ms, 0},
		"pushed to a watch":                 {0, 150 * ms, 301 * ms, 451 * ms},
		"answered at once by a slow agent":  {200 * ms, 150 * ms, 500 * ms, 0},
		"pushed to a watch by a slow agent": {200 * ms, 150 * ms, 501 * ms, 651 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, after := newScriptedSession(41), time.Duration(0)
				advance := func(d time.Duration) time.Duration {
					time.Sleep(d)
					after += d
					return after
				}
				first := p.stepCalls(0)[0]
				p.answer(first, advance(c.latency), 42)
				watch := p.stepCalls(advance(c.pause))[0]
				p.answer(watch, advance(c.took), 43)
				if got := p.last() - c.latency; got != c.want {
					t.Errorf("the list counts as notified %s after the last answer, want %s", got, c.want)
				}
			})
		})
	}
}

// A hot restart reads the revision and then what is known of the hosts. That must include the statements of
// the list of that revision.
func TestRevisionUpdatedAfterList(t *testing.T) {
	p := newScriptedSession(41)
	p.answer(p.stepCalls(0)[0], 0, 42)
	p.answer(p.stepCalls(time.Second)[0], time.Second, 43)
	if diff := cmp.Diff([]int64{listwatch.NoRevision, 42}, p.revisions); diff != "" || p.Revision() != 43 {
		t.Errorf("revisions while lists are passed on (-want +got): %s; after the last: %d", diff, p.Revision())
	}
}

// Two lists of a lower revision come from an agent that has reset its revisions, or are older lists. They
// must not supersede the drain notifications that the agent sent before.
func TestAgentRenamedAfterRevisionReset(t *testing.T) {
	p := newScriptedSession(41)
	p.answer(p.stepCalls(0)[0], 0, 42)
	for i, revision := range []int64{7, 7, 8} {
		p.answer(p.stepCalls(time.Duration(i+1) * time.Second)[0], time.Duration(i+1)*time.Second, revision)
	}
	if diff := cmp.Diff([]string{"a", "a#1", "a#1"}, p.agents); diff != "" {
		t.Error(diff)
	}
}

func TestListOfOtherAgentNotifiedAtArrival(t *testing.T) {
	p := newScriptedSession(41)
	p.answer(p.stepCalls(0)[0], 0, 42)
	p.stepCalls(0)
	p.decisions.SetAddress(p.start+500*ms, "b")
	p.answer(p.stepCalls(500 * ms)[0], 510*ms, 7)
	if got := p.last(); got != 510*ms {
		t.Errorf("the list counts as notified %s after the start, want its arrival at 510ms", got)
	}
}

func TestListAfterFailedCallNotifiedAtLastAnswer(t *testing.T) {
	for name, failure := range map[string]func(p *scriptedSession, watch listwatch.Call){
		"failed": func(p *scriptedSession, watch listwatch.Call) {
			p.handleResult(result{call: watch, err: errors.New("reset")})
		},
		"busy":     func(p *scriptedSession, watch listwatch.Call) { p.handleResult(result{call: watch, err: errBusy}) },
		"not used": func(p *scriptedSession, watch listwatch.Call) { p.answer(watch, 400*ms, 7) },
		"silent":   func(*scriptedSession, listwatch.Call) {},
	} {
		t.Run(name, func(t *testing.T) {
			p := newScriptedSession(41)
			p.answer(p.stepCalls(0)[0], 300*ms, 42)
			failure(p, p.stepCalls(350 * ms)[0])
			next := p.stepCalls(5 * time.Second)
			if len(next) != 1 {
				t.Fatalf("%d calls started, want 1", len(next))
			}
			p.answer(next[0], 5100*ms, 43)
			if got := p.last(); got != 300*ms {
				t.Errorf("the list counts as notified %s after the last answer", got-300*ms)
			}
			p.answer(p.stepCalls(5200 * ms)[0], 6*time.Second, 44)
			if got := p.last(); got != 6*time.Second {
				t.Errorf("the next list counts as notified %s before it arrived", 6*time.Second-got)
			}
		})
	}
}

func TestNotifiedAgeBoundedAfterOutage(t *testing.T) {
	p := newScriptedSession(41)
	p.answer(p.stepCalls(0)[0], 0, 42)
	p.handleResult(result{call: p.stepCalls(time.Second)[0], err: errors.New("reset")})
	p.answer(p.stepCalls(time.Hour)[0], time.Hour, 43)
	if got := time.Hour - p.last(); got != maxNotifiedAge {
		t.Errorf("the list counts as notified %s before it arrived, want %s", got, maxNotifiedAge)
	}
}

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

// played is a session whose calls are answered by hand. It keeps when lists count as notified.
type played struct {
	*session
	began    time.Duration
	notified []time.Duration
	// revisions are what the watcher said of its lists while one was handed over.
	revisions []int64
	agents    []string // that told each
}

func play(revision int64) *played {
	p := &played{}
	w := NewWatcher("a", 1)
	w.Log, w.Counters, w.Clock, w.OnFirstAnswer = zap.NewNop(), &counters.Set{}, exchange.NewClock(), func() {}
	w.OnList = func(l exchange.List) {
		p.notified, p.revisions = append(p.notified, l.At), append(p.revisions, w.Revision())
		p.agents = append(p.agents, l.Agent)
	}
	p.began = w.Clock.Now()
	w.ProcessStart = p.began - 400*ms
	p.session = &session{Watcher: w, ctx: context.Background(), cancels: map[int]context.CancelFunc{}, decisions: listwatch.New("a", revision, 1)}
	return p
}

// begin begins the calls that are due so long after the session began.
func (p *played) begin(after time.Duration) (calls []listwatch.Call) {
	calls, _, _ = p.decisions.Step(p.began + after)
	p.missed = p.missed || p.decisions.Broken()
	for _, c := range calls {
		p.cancels[c.ID] = func() {}
	}
	return calls
}

func (p *played) answer(c listwatch.Call, after time.Duration, revision int64) {
	p.ended(result{call: c, at: p.began + after, list: List{Revision: revision, Complete: true}})
}

func (p *played) last() time.Duration { return p.notified[len(p.notified)-1] - p.began }

func TestADrainInTheFirstAnswerCountsFromTheProcesssFirstMoment(t *testing.T) {
	p := play(41)
	call := p.begin(0)[0]
	p.answer(call, 300*ms, 42)
	if got := p.last(); got != -400*ms {
		t.Errorf("the first list counts as notified %s after the process's first moment", got+400*ms)
	}
	p.answer(p.begin(time.Second)[0], 2*time.Second, 43)
	if got := p.last(); got != 2*time.Second {
		t.Errorf("news that a watch brings counts as notified %s before it arrived", 2*time.Second-got)
	}
}

// What comes while the gateway has no watch open, or before a watch has reached the agent, is answered at once.
func TestADrainThatIsAnsweredPromptlyCountsFromTheLastAnswer(t *testing.T) {
	for name, c := range map[string]struct{ latency, pause, took, want time.Duration }{
		"a watch without a pause":          {0, 0, 5 * ms, 0},
		"after a pause":                    {0, 150 * ms, 5 * ms, 0},
		"after a pause, with two hold-ups": {0, 150 * ms, 300 * ms, 0},
		"pushed to a watch":                {0, 150 * ms, 301 * ms, 451 * ms},
		"of a slow agent":                  {200 * ms, 150 * ms, 500 * ms, 0},
		"pushed to a watch of a slow one":  {200 * ms, 150 * ms, 501 * ms, 651 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, after := play(41), time.Duration(0)
				pass := func(d time.Duration) time.Duration {
					time.Sleep(d)
					after += d
					return after
				}
				first := p.begin(0)[0]
				p.answer(first, pass(c.latency), 42)
				watch := p.begin(pass(c.pause))[0]
				p.answer(watch, pass(c.took), 43)
				if got := p.last() - c.latency; got != c.want {
					t.Errorf("it counts as notified %s after the last answer, want %s", got, c.want)
				}
			})
		})
	}
}

// Who reads the revision and then what is known of the hosts, as a handover does, must find what the list of that revision told.
func TestTheRevisionIsToldBehindItsList(t *testing.T) {
	p := play(41)
	p.answer(p.begin(0)[0], 0, 42)
	p.answer(p.begin(time.Second)[0], time.Second, 43)
	if diff := cmp.Diff([]int64{listwatch.NoRevision, 42}, p.revisions); diff != "" || p.Revision() != 43 {
		t.Errorf("while a list is handed over: %s, after it: %d", diff, p.Revision())
	}
}

// Two lists of a lower revision are those of an agent that counts anew, or older ones: they must not end what it told before.
func TestAnAgentThatCountsAnewIsAnother(t *testing.T) {
	p := play(41)
	p.answer(p.begin(0)[0], 0, 42)
	for i, revision := range []int64{7, 7, 8} {
		p.answer(p.begin(time.Duration(i+1) * time.Second)[0], time.Duration(i+1)*time.Second, revision)
	}
	if diff := cmp.Diff([]string{"a", "a#1", "a#1"}, p.agents); diff != "" {
		t.Error(diff)
	}
}

func TestTheListOfAnotherAgentCountsFromItsArrival(t *testing.T) {
	p := play(41)
	p.answer(p.begin(0)[0], 0, 42)
	p.begin(0)
	p.decisions.SetAddress(p.began+500*ms, "b")
	p.answer(p.begin(500 * ms)[0], 510*ms, 7)
	if got := p.last(); got != 510*ms {
		t.Errorf("it counts as notified %s after the last answer of the agent before", got)
	}
}

func TestADrainAfterACallThatBroughtNoListCountsFromTheLastAnswer(t *testing.T) {
	for name, trouble := range map[string]func(p *played, watch listwatch.Call){
		"failed":   func(p *played, watch listwatch.Call) { p.ended(result{call: watch, err: errors.New("reset")}) },
		"busy":     func(p *played, watch listwatch.Call) { p.ended(result{call: watch, err: errBusy}) },
		"not used": func(p *played, watch listwatch.Call) { p.answer(watch, 400*ms, 7) },
		"silent":   func(*played, listwatch.Call) {},
	} {
		t.Run(name, func(t *testing.T) {
			p := play(41)
			p.answer(p.begin(0)[0], 300*ms, 42)
			trouble(p, p.begin(350 * ms)[0])
			next := p.begin(5 * time.Second)
			if len(next) != 1 {
				t.Fatalf("%d calls begin", len(next))
			}
			p.answer(next[0], 5100*ms, 43)
			if got := p.last(); got != 300*ms {
				t.Errorf("the list counts as notified %s after the last answer", got-300*ms)
			}
			p.answer(p.begin(5200 * ms)[0], 6*time.Second, 44)
			if got := p.last(); got != 6*time.Second {
				t.Errorf("the news after it counts as notified %s before it arrived", 6*time.Second-got)
			}
		})
	}
}

func TestAListAfterALongOutageIsNotOlderThanHostsAreRemembered(t *testing.T) {
	p := play(41)
	p.answer(p.begin(0)[0], 0, 42)
	p.ended(result{call: p.begin(time.Second)[0], err: errors.New("reset")})
	p.answer(p.begin(time.Hour)[0], time.Hour, 43)
	if got := time.Hour - p.last(); got != longestAgo {
		t.Errorf("it counts as notified %s before it arrived, want %s", got, longestAgo)
	}
}

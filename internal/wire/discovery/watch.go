package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/draining"
	"yokemast/internal/control/listwatch"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

const (
	// connectWithin is how long a connection to the agent, which is on this machine, may take to come up: one that is asked
	// for while the agent is away must not take up the whole call's time.
	connectWithin = 500 * time.Millisecond
	maxList       = 8 << 20
	// longestAgo is how long before its arrival a list counts as notified at most. By then any drain's grace is over, and a host that is gone
	// is still remembered while attempts may be on their way to it.
	longestAgo = 30 * time.Second
	// promptly is how long the answer to a watch may take at most, beside what answers took lately, that was there when the watch was opened:
	// the process may be held up behind the reading of its clock at the beginning, and before the one at the end.
	promptly = 2 * draining.MaxSendDelay
)

// errBusy says that discovery has too many calls.
var errBusy = errors.New("discovery is busy")

// Watcher follows the list: it carries out the calls that listwatch decides on.
type Watcher struct {
	Log           *zap.Logger
	Counters      *counters.Set
	Clock         exchange.Clock
	ProcessStart  time.Duration // the process's first moment, by Clock
	OnList        func(exchange.List)
	OnFirstAnswer func() // called once, when the agent has answered for the first time

	seed     uint64
	revision atomic.Int64  // of the last answer
	heardAt  atomic.Int64  // nanoseconds by Clock; 0: never
	wake     chan struct{} // the address has changed

	mu      sync.Mutex
	address string // of the agent
}

// NewWatcher makes a watcher of the agent at an address; the seed draws when it asks again after it was turned away.
func NewWatcher(address string, seed uint64) *Watcher {
	w := &Watcher{address: address, seed: seed, wake: make(chan struct{}, 1)}
	w.revision.Store(listwatch.NoRevision)
	return w
}

// Revision is that of the last answer whose list was handed over; below 0: there was none from the present agent.
func (w *Watcher) Revision() int64 { return w.revision.Load() }

// SinceLastAnswer is how long ago discovery was last heard; not ok: it never was.
func (w *Watcher) SinceLastAnswer() (ago time.Duration, ok bool) {
	at := w.heardAt.Load()
	return w.Clock.Now() - time.Duration(at), at > 0
}

// SetAddress goes on at another address; the present one changes nothing.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	w.address = address
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Address is that of the agent that is asked.
func (w *Watcher) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// result is how a call ended.
type result struct {
	call listwatch.Call
	at   time.Duration // when its answer arrived
	list List
	err  error
}

// session is one Run of a watcher. All but the calls' own goroutines belongs to Run.
type session struct {
	*Watcher
	ctx       context.Context
	transport *http.Transport
	decisions *listwatch.Watch
	results   chan result
	cancels   map[int]context.CancelFunc
	calls     sync.WaitGroup
	answered  bool
	missed    bool   // a call has brought no list that was used since the last that did, or has fallen silent
	heardFrom string // the agent whose list was used last
	failed    int64  // calls since the last answer
}

// Run watches from the revision on until the context ends.
func (w *Watcher) Run(ctx context.Context, revision int64) error {
	s := &session{Watcher: w, ctx: ctx, results: make(chan result), cancels: map[int]context.CancelFunc{},
		decisions: listwatch.New(w.Address(), revision, w.seed),
		transport: &http.Transport{DialContext: (&net.Dialer{Timeout: connectWithin}).DialContext, MaxIdleConns: 1, DisableCompression: true}}
	defer s.transport.CloseIdleConnections()
	defer s.calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(s.step())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-w.wake:
			s.decisions.SetAddress(w.Clock.Now(), w.Address())
			w.revision.Store(s.decisions.Revision())
		case r := <-s.results:
			s.ended(r)
		}
	}
}

// step begins and drops calls, and says how long nothing is to be done unless something happens.
func (s *session) step() time.Duration {
	now := s.Clock.Now()
	begin, drop, next := s.decisions.Step(now)
	s.missed = s.missed || s.decisions.Broken()
	for _, id := range drop {
		if cancel := s.cancels[id]; cancel != nil {
			cancel()
			delete(s.cancels, id)
		}
	}
	for _, c := range begin {
		s.begin(c)
	}
	return next - now
}

// begin starts a call, which hands over its result unless it is dropped before.
func (s *session) begin(c listwatch.Call) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancels[c.ID] = cancel
	s.calls.Go(func() {
		r := s.call(ctx, c)
		select {
		case s.results <- r:
		case <-ctx.Done():
		}
	})
}

// ended takes the result of a call.
func (s *session) ended(r result) {
	cancel := s.cancels[r.call.ID]
	if cancel == nil {
		return // dropped meanwhile
	}
	cancel()
	delete(s.cancels, r.call.ID)
	now := s.Clock.Now()
	if r.err != nil {
		s.fail(now, r)
		return
	}
	if !s.decisions.Answered(now, r.call.ID, r.list.Revision) {
		s.missed = true
		s.Log.Info("list not used", zap.String("agent", r.call.Address), zap.Int64("revision", r.list.Revision), zap.Int64("known", s.decisions.Revision()))
		return
	}
	if s.failed > 0 {
		s.Log.Info("discovery answers again", zap.Int64("failed", s.failed))
		s.failed = 0
	}
	notified := s.notifiedAt(r)
	s.missed, s.heardFrom = false, r.call.Address
	s.Counters.Lists.Add(1)
	s.heardAt.Store(int64(r.at))
	if r.list.Complete || len(r.list.Members) > 0 {
		s.Log.Info("hosts listed", zap.Bool("whole", r.list.Complete), zap.Int64("revision", r.list.Revision), zap.Int("entries", len(r.list.Members)),
			zap.String("agent", r.call.Address), zap.Duration("handled_after", now-r.at), zap.Duration("notified_before", r.at-notified))
		s.OnList(exchange.List{Agent: s.agent(r.call), Revision: r.list.Revision, At: notified, Snapshot: r.list.Complete, Hosts: r.list.Members})
	}
	s.revision.Store(s.decisions.Revision())
	if !s.answered {
		s.answered = true
		s.Watcher.OnFirstAnswer()
	}
}

// agent names who told the list of a call. One that counts anew goes by another name from then on: what it tells may be older than what it
// told before.
func (s *session) agent(c listwatch.Call) string {
	if n := s.decisions.RevisionResets(); n > 0 {
		return fmt.Sprintf("%s#%d", c.Address, n)
	}
	return c.Address
}

// notifiedAt is when the gateway counts as notified of what a list tells. The agent may have had it since before, and what the agent has
// counts as told: from the process's first moment for the first list, and from the last answer on where a call has brought none since, or
// where the agent may have had it before the watch was opened.
func (s *session) notifiedAt(r result) time.Duration {
	since := r.at
	switch {
	case !s.answered:
		since = s.ProcessStart
	case s.missed, r.call.Address == s.heardFrom && r.at-r.call.Began <= promptly+s.decisions.Latency():
		since = time.Duration(s.heardAt.Load())
	}
	return max(since, r.at-longestAgo)
}

// fail takes a call that brought no list.
func (s *session) fail(now time.Duration, r result) {
	s.missed = true
	s.Counters.ListErrors.Add(1)
	why := listwatch.Broken
	if errors.Is(r.err, errBusy) {
		why = listwatch.Rejected
	}
	s.decisions.Failed(now, r.call.ID, why)
	if s.failed++; s.failed == 1 { // once for each time that it is out, not ten times a second
		s.Log.Warn("discovery failed", zap.Error(r.err), zap.Int("call", r.call.ID), zap.Duration("wait", r.call.Wait))
	}
}

// call makes a call. Its answer counts from when its head had come: the rest may be long.
func (s *session) call(ctx context.Context, c listwatch.Call) (r result) {
	r.call = c
	u := url.URL{Scheme: "http", Host: c.Address, Path: "/v1/endpoints"}
	if c.Revision != listwatch.NoRevision {
		u.RawQuery = url.Values{"after": {strconv.FormatInt(c.Revision, 10)},
			"wait_ms": {strconv.FormatInt(c.Wait.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		r.err = err
		return r
	}
	resp, err := s.transport.RoundTrip(req)
	r.at = s.Clock.Now()
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	switch {
	case err != nil:
		r.err = err
	case resp.StatusCode == http.StatusServiceUnavailable:
		r.err = errBusy
	case resp.StatusCode != http.StatusOK:
		r.err = fmt.Errorf("status %s", resp.Status)
	default:
		if r.list, r.err = ParseList(body); r.err != nil {
			s.Counters.BadLists.Add(1)
		}
	}
	return r
}

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
	// connectTimeout is the timeout for a connection to the agent, which runs on this machine. A connection
	// attempt made while the agent is down must not take up the time of the whole call.
	connectTimeout = 500 * time.Millisecond
	maxListBytes   = 8 << 20
	// maxNotifiedAge is the maximum time between a drain notification and the arrival of its list. After it,
	// the grace of any drain is over, and a removed host is still known while attempts may be on their way to
	// it.
	maxNotifiedAge = 30 * time.Second
	// maxPromptAnswer is the maximum time, in addition to the recent latency of answers, for the answer to a
	// watch to count as one that the agent already had when the watch was opened. The process may stall after
	// reading its clock at the start of the call, and again before reading it at the end.
	maxPromptAnswer = 2 * draining.MaxSendDelay
)

// errBusy is returned when discovery rejects a call because it has too many.
var errBusy = errors.New("discovery is busy")

// Watcher watches the endpoint list. It carries out the calls that package listwatch decides on.
type Watcher struct {
	Log           *zap.Logger
	Counters      *counters.Set
	Clock         exchange.Clock
	ProcessStart  time.Duration // when the process was started, by Clock
	OnList        func(exchange.List)
	OnFirstAnswer func() // called once, at the agent's first answer

	seed           uint64
	revision       atomic.Int64  // revision of the last answer
	lastAnswerAt   atomic.Int64  // when the last answer arrived, in nanoseconds by Clock; 0 means never
	addressChanged chan struct{} // signals a change of the address

	mu      sync.Mutex
	address string // address of the agent
}

// NewWatcher returns a watcher of the agent at an address. The seed determines the random delays before it
// calls again after a rejected call.
func NewWatcher(address string, seed uint64) *Watcher {
	w := &Watcher{address: address, seed: seed, addressChanged: make(chan struct{}, 1)}
	w.revision.Store(listwatch.NoRevision)
	return w
}

// Revision returns the revision of the last list that was passed on, or a negative value if none came from
// the present agent.
func (w *Watcher) Revision() int64 { return w.revision.Load() }

// SinceLastAnswer returns the time since discovery's last answer. It returns false if there was none.
func (w *Watcher) SinceLastAnswer() (ago time.Duration, ok bool) {
	at := w.lastAnswerAt.Load()
	return w.Clock.Now() - time.Duration(at), at > 0
}

// SetAddress changes the agent's address. It has no effect if the address is the present one.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	w.address = address
	w.mu.Unlock()
	select {
	case w.addressChanged <- struct{}{}:
	default:
	}
}

// Address returns the address of the present agent.
func (w *Watcher) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// result is the result of a call to the agent.
type result struct {
	call      listwatch.Call
	arrivedAt time.Duration // when the header of its answer arrived
	list      List
	err       error
}

// session is the state of one run of Watcher.Run. Each call to the agent has its own goroutine, which
// sends the result to results; the decisions are made on the goroutine of Run.
type session struct {
	*Watcher
	ctx          context.Context
	transport    *http.Transport
	decisions    *listwatch.Watch
	results      chan result
	cancels      map[int]context.CancelFunc
	calls        sync.WaitGroup
	answered     bool
	missedAnswer bool   // a call since the last used list has failed, timed out or brought an unused list
	lastAgent    string // agent of the last used list
	failedCalls  int64  // failed calls since the last answer
}

// Run watches the endpoint list from the given revision on until the context ends.
func (w *Watcher) Run(ctx context.Context, revision int64) error {
	s := &session{Watcher: w, ctx: ctx, results: make(chan result), cancels: map[int]context.CancelFunc{},
		decisions: listwatch.New(w.Address(), revision, w.seed),
		transport: &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, MaxIdleConns: 1, DisableCompression: true}}
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
		case <-w.addressChanged:
			s.decisions.SetAddress(w.Clock.Now(), w.Address())
			w.revision.Store(s.decisions.Revision())
		case r := <-s.results:
			s.handleResult(r)
		}
	}
}

// step starts and cancels calls, and returns the time until the next step if nothing else happens.
func (s *session) step() time.Duration {
	now := s.Clock.Now()
	begin, drop, next := s.decisions.Step(now)
	s.missedAnswer = s.missedAnswer || s.decisions.Broken()
	for _, id := range drop {
		if cancel := s.cancels[id]; cancel != nil {
			cancel()
			delete(s.cancels, id)
		}
	}
	for _, c := range begin {
		s.startCall(c)
	}
	return next - now
}

// startCall starts a call. Its result is passed on unless the call is canceled before.
func (s *session) startCall(c listwatch.Call) {
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

// handleResult handles the result of a call.
func (s *session) handleResult(r result) {
	cancel := s.cancels[r.call.ID]
	if cancel == nil {
		return // canceled in the meantime
	}
	cancel()
	delete(s.cancels, r.call.ID)
	now := s.Clock.Now()
	if r.err != nil {
		s.handleFailure(now, r)
		return
	}
	if !s.decisions.Answered(now, r.call.ID, r.list.Revision) {
		s.missedAnswer = true
		s.Log.Info("endpoint list ignored", zap.String("agent", r.call.Address), zap.Int64("revision", r.list.Revision), zap.Int64("known", s.decisions.Revision()))
		return
	}
	if s.failedCalls > 0 {
		s.Log.Info("discovery answers again", zap.Int64("failed", s.failedCalls))
		s.failedCalls = 0
	}
	notified := s.notifiedAt(r)
	s.missedAnswer, s.lastAgent = false, r.call.Address
	s.Counters.Lists.Add(1)
	s.lastAnswerAt.Store(int64(r.arrivedAt))
	if r.list.Complete || len(r.list.Members) > 0 {
		s.Log.Info("hosts listed", zap.Bool("snapshot", r.list.Complete), zap.Int64("revision", r.list.Revision), zap.Int("entries", len(r.list.Members)),
			zap.String("agent", r.call.Address), zap.Duration("handled_after", now-r.arrivedAt), zap.Duration("notified_before", r.arrivedAt-notified))
		s.OnList(exchange.List{Agent: s.agent(r.call), Revision: r.list.Revision, At: notified, Snapshot: r.list.Complete, Hosts: r.list.Members})
	}
	s.revision.Store(s.decisions.Revision())
	if !s.answered {
		s.answered = true
		s.Watcher.OnFirstAnswer()
	}
}

// agent returns the name of the agent that sent the list of a call. An agent that has reset its revisions
// gets a new name, because its statements may be older than its earlier ones.
func (s *session) agent(c listwatch.Call) string {
	if n := s.decisions.RevisionResets(); n > 0 {
		return fmt.Sprintf("%s#%d", c.Address, n)
	}
	return c.Address
}

// notifiedAt returns the time at which the gateway counts as notified of the statements in a list. The agent
// may have had the list for some time, and what the agent has counts as notified. For the first list the time
// is the process's start. It is the arrival of the last answer if a later call has brought no usable list, or
// if the agent may have had the list before the watch was opened. Otherwise it is the arrival of the list. It
// is never more than maxNotifiedAge before the arrival.
func (s *session) notifiedAt(r result) time.Duration {
	notifiedAt := r.arrivedAt
	switch {
	case !s.answered:
		notifiedAt = s.ProcessStart
	case s.missedAnswer, r.call.Address == s.lastAgent && r.arrivedAt-r.call.Began <= maxPromptAnswer+s.decisions.Latency():
		notifiedAt = time.Duration(s.lastAnswerAt.Load())
	}
	return max(notifiedAt, r.arrivedAt-maxNotifiedAge)
}

// handleFailure handles a call that brought no list.
func (s *session) handleFailure(now time.Duration, r result) {
	s.missedAnswer = true
	s.Counters.ListErrors.Add(1)
	reason := listwatch.Broken
	if errors.Is(r.err, errBusy) {
		reason = listwatch.Rejected
	}
	s.decisions.Failed(now, r.call.ID, reason)
	if s.failedCalls++; s.failedCalls == 1 { // logged once per outage, not ten times a second
		s.Log.Warn("discovery failed", zap.Error(r.err), zap.Int("call", r.call.ID), zap.Duration("wait", r.call.Wait))
	}
}

// call calls the agent. The answer counts as arrived when its header has arrived, because the body may take
// long.
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
	r.arrivedAt = s.Clock.Now()
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
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

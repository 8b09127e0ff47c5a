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

	"yokemast/internal/control/asking"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
)

const (
	// waitFor is what a watch is asked to wait. Short: what a call that got stuck would have told counts as told 2 s
	// after the end of its wait.
	waitFor = 3 * time.Second
	// answerWithin is how long after that wait an answer may take.
	answerWithin = time.Second
	// connectWithin is how long a connection to the agent, which is on this machine, may take to come up: one that is asked
	// for while the agent is away must not take up the whole call's time.
	connectWithin = 500 * time.Millisecond
	maxList       = 8 << 20
	// whole is the revision of who has no list yet: all of it is asked for.
	whole = -1
)

// errBusy says that discovery has too many calls.
var errBusy = errors.New("discovery is busy")

// Watcher follows the list.
type Watcher struct {
	Log      *zap.Logger
	Counters *counters.Set
	Members  func(whole bool, list []exchange.Member)
	Pauses   *asking.Pauses
	Answered func() // called once, when the agent has answered for the first time

	revision atomic.Int64 // of the last answer

	mu      sync.Mutex
	address string             // of the agent
	moved   bool               // since the last call began
	cancel  context.CancelFunc // ends the call that is going on
}

// NewWatcher makes a watcher of the agent at an address; the seed draws when it asks again after a failure.
func NewWatcher(address string, seed uint64) *Watcher {
	w := &Watcher{address: address, Pauses: asking.New(seed)}
	w.revision.Store(whole)
	return w
}

// Revision is that of the last answer; below 0: there was none.
func (w *Watcher) Revision() int64 { return w.revision.Load() }

// Move goes on at another address. What the old agent would still say is not waited for.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.moved = address, true
	if w.cancel != nil {
		w.cancel()
	}
}

// begin gives the address of the next call and the context that ends it.
func (w *Watcher) begin(ctx context.Context) (address string, moved bool, call context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	address, moved, w.moved = w.address, w.moved, false
	if w.cancel != nil {
		w.cancel()
	}
	call, w.cancel = context.WithCancel(ctx)
	return address, moved, call
}

// Run watches from the revision on until the context ends.
func (w *Watcher) Run(ctx context.Context, revision int64) error {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: connectWithin}).DialContext, MaxIdleConns: 1, MaxConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	first, failing := true, false
	for ctx.Err() == nil {
		address, moved, call := w.begin(ctx)
		if moved {
			// Another agent need not count as the last one did: a revision of that one's could hide changes for good.
			revision, failing = whole, false
			transport.CloseIdleConnections()
		}
		// The first call does not wait: a gateway is ready once it knows what discovery knows.
		wait := waitFor
		if first || revision == whole {
			wait = 0
		}
		list, err := w.call(call, client, address, revision, wait)
		if call.Err() != nil {
			continue // the end, or a move: what the old agent said last is not used
		}
		if err != nil {
			w.Counters.ListErrors.Add(1)
			if !failing { // once for each time that it is out, not ten times a second
				w.Log.Warn("discovery failed", zap.Error(err))
			}
			failing = true
			select {
			case <-call.Done():
			case <-time.After(w.Pauses.Failed(errors.Is(err, errBusy))):
			}
			continue
		}
		if failing {
			w.Log.Info("discovery answers again", zap.Int64("failed", w.Counters.ListErrors.Get()))
		}
		failing = false
		w.Counters.Lists.Add(1)
		revision = list.Revision
		w.revision.Store(revision)
		if list.Complete || len(list.Members) > 0 {
			w.Log.Info("hosts listed", zap.Bool("whole", list.Complete), zap.Int64("revision", revision), zap.Int("entries", len(list.Members)))
			w.Members(list.Complete, list.Members)
		}
		if first {
			first = false
			w.Answered()
		}
	}
	return nil
}

func (w *Watcher) call(ctx context.Context, client *http.Client, address string, revision int64,
	wait time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerWithin)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/endpoints"}
	if revision != whole {
		u.RawQuery = url.Values{"after": {strconv.FormatInt(revision, 10)},
			"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return List{}, err
	}
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode == http.StatusServiceUnavailable {
			return List{}, errBusy
		}
		return List{}, fmt.Errorf("status %s", resp.Status)
	}
	list, err := ParseList(body)
	if err != nil {
		w.Counters.BadLists.Add(1)
	}
	return list, err
}

// Package discovery provides a stand-in for the discovery agent. It keeps an endpoint list with its revision, serves it as
// snapshots and, to watches, as deltas, and can be made to answer any text.
package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Entry is the entry of one host in the endpoint list.
type Entry = map[string]any

// Server is the agent.
type Server struct {
	*httptest.Server
	Canceled chan struct{} // receives a value for each call that the gateway canceled, unless the channel is full
	// Before, if set, is called first for the call with index n. It returns true if it has answered or ended the call. It must be
	// set before the first call.
	Before func(n int, w http.ResponseWriter, r *http.Request) bool
	// Answered, if set, is called with the revision of each list before it is written to a caller that has not canceled. It must
	// be set before the first call.
	Answered func(revision int)

	mu               sync.Mutex
	calls            int
	revision         int
	snapshotRevision int // callers with an earlier revision receive a snapshot
	entries          map[string]Entry
	order            []string
	changed          map[string]int // by ID, the revision of the last change
	changedCh        chan struct{}  // closed and replaced at each change
	raw              chan string    // texts that answer a watch as they are
	drops            int            // number of calls of DropCalls; the gateway's calls before the last one are never answered
	stop             chan struct{}
}

// New starts an agent on loopback with a first list of revision 41.
func New(entries ...Entry) *Server {
	s := &Server{Canceled: make(chan struct{}, 1000), revision: 41, entries: map[string]Entry{}, changed: map[string]int{},
		changedCh: make(chan struct{}), raw: make(chan string, 10), stop: make(chan struct{})}
	s.put(entries)
	s.Server = httptest.NewServer(s)
	return s
}

// Close stops the agent and ends the waiting calls.
func (s *Server) Close() {
	close(s.stop)
	s.Server.Close()
}

func (s *Server) put(entries []Entry) {
	for _, e := range entries {
		id := e["id"].(string)
		if s.entries[id] == nil {
			s.order = append(s.order, id)
		}
		s.entries[id], s.changed[id] = e, s.revision
	}
}

// Set changes or adds entries and notifies the watches.
func (s *Server) Set(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(entries)
	close(s.changedCh)
	s.changedCh = make(chan struct{})
}

// Remove removes hosts from the list without an entry that says so: the watches receive a snapshot.
func (s *Server) Remove(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.snapshotRevision = s.revision
	for _, id := range ids {
		delete(s.entries, id)
		s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == id })
	}
	close(s.changedCh)
	s.changedCh = make(chan struct{})
}

// DropCalls leaves all calls in flight unanswered forever, as if their connections had been lost without notice.
func (s *Server) DropCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drops++
}

// answer writes a list, unless DropCalls was called since the call began.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, drops, revision int, list string) {
	s.mu.Lock()
	dropped := s.drops != drops
	s.mu.Unlock()
	if dropped {
		<-r.Context().Done()
		return
	}
	if s.Answered != nil && r.Context().Err() == nil {
		s.Answered(revision)
	}
	fmt.Fprint(w, list)
}

// AnswerWith answers the waiting watch, or else the next one, with the given text.
func (s *Server) AnswerWith(text string) { s.raw <- text }

// List encodes a list in discovery's format.
func List(revision int, complete bool, entries ...Entry) string {
	if entries == nil {
		entries = []Entry{}
	}
	b, err := json.Marshal(map[string]any{"revision": revision, "complete": complete, "members": entries})
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Revision returns the revision of the current list.
func (s *Server) Revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Snapshot returns a snapshot of the current list.
func (s *Server) Snapshot() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(true, 0)
}

func (s *Server) list(complete bool, after int) string {
	complete = complete || after < s.snapshotRevision
	out := []Entry{}
	for _, id := range s.order {
		if complete && s.entries[id]["phase"] != "DELETED" || !complete && s.changed[id] > after {
			out = append(out, s.entries[id])
		}
	}
	return List(s.revision, complete, out...)
}

// ServeHTTP answers a call for a snapshot or a watch.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Before != nil {
		s.mu.Lock()
		n := s.calls
		s.calls++
		s.mu.Unlock()
		if s.Before(n, w, r) {
			return
		}
	}
	q := r.URL.Query()
	after, err := strconv.Atoi(q.Get("after"))
	s.mu.Lock()
	drops, snapshot, revision := s.drops, s.list(true, 0), s.revision
	s.mu.Unlock()
	if err != nil {
		s.answer(w, r, drops, revision, snapshot)
		return
	}
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changed, list, changedCh, revision := s.revision > after, s.list(false, after), s.changedCh, s.revision
		s.mu.Unlock()
		if changed || ms == 0 {
			s.answer(w, r, drops, revision, list)
			return
		}
		select {
		case text := <-s.raw:
			fmt.Fprint(w, text)
			return
		case <-changedCh:
		case <-timeout.C:
			s.answer(w, r, drops, revision, list)
			return
		case <-r.Context().Done():
			select {
			case s.Canceled <- struct{}{}:
			default:
			}
			return
		case <-s.stop:
			return
		}
	}
}

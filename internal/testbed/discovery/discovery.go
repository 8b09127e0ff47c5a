// Package discovery has a stand-in for the agent that tells a gateway the list of hosts: it keeps a list and its revision,
// serves it whole and by watches, and can be made to answer anything.
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

// Entry is one host as the list has it.
type Entry = map[string]any

// Server is the agent.
type Server struct {
	*httptest.Server
	Canceled chan struct{} // gets one for each call that the gateway ended, while there is room
	// Before, if set, is asked first at each call, of which n came before; true: it has answered, or has ended the call.
	// It is set before the first call.
	Before func(n int, w http.ResponseWriter, r *http.Request) bool
	// Answered, if set, is told the revision of each list as it is about to be written to a caller that is still there. It is set before
	// the first call.
	Answered func(revision int)

	mu       sync.Mutex
	calls    int
	revision int
	wholeAt  int // who has an earlier revision is given the whole list
	entries  map[string]Entry
	order    []string
	changed  map[string]int // the revision that an entry changed with
	wake     chan struct{}
	raw      chan string
	silences int // calls that began before the last one are never answered
	stop     chan struct{}
}

// New starts an agent on loopback with a first list, of revision 41.
func New(entries ...Entry) *Server {
	s := &Server{Canceled: make(chan struct{}, 1000), revision: 41, entries: map[string]Entry{}, changed: map[string]int{},
		wake: make(chan struct{}), raw: make(chan string, 10), stop: make(chan struct{})}
	s.put(entries)
	s.Server = httptest.NewServer(s)
	return s
}

// Close ends the agent and the calls that wait.
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

// Set changes entries, or adds them, and tells those that watch.
func (s *Server) Set(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(entries)
	close(s.wake)
	s.wake = make(chan struct{})
}

// Remove takes hosts off the list without a word on them: those that watch are given a whole list.
func (s *Server) Remove(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.wholeAt = s.revision
	for _, id := range ids {
		delete(s.entries, id)
		s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == id })
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// DropCalls lets all calls that are out go unanswered for ever, as when their connections have died unnoticed.
func (s *Server) DropCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences++
}

// answer writes a list, unless the call has fallen silent since it began.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, silences, revision int, list string) {
	s.mu.Lock()
	silent := s.silences != silences
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if s.Answered != nil && r.Context().Err() == nil {
		s.Answered(revision)
	}
	fmt.Fprint(w, list)
}

// AnswerWith answers the next watch, or the one that waits, with this text.
func (s *Server) AnswerWith(text string) { s.raw <- text }

// List writes a list in discovery's form.
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

// Revision is that of the list as it stands.
func (s *Server) Revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Snapshot is the list as it stands, whole.
func (s *Server) Snapshot() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(true, 0)
}

func (s *Server) list(complete bool, after int) string {
	complete = complete || after < s.wholeAt
	out := []Entry{}
	for _, id := range s.order {
		if complete && s.entries[id]["phase"] != "DELETED" || !complete && s.changed[id] > after {
			out = append(out, s.entries[id])
		}
	}
	return List(s.revision, complete, out...)
}

// ServeHTTP answers a call.
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
	silences, whole, revision := s.silences, s.list(true, 0), s.revision
	s.mu.Unlock()
	if err != nil {
		s.answer(w, r, silences, revision, whole)
		return
	}
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		newer, list, wake, revision := s.revision > after, s.list(false, after), s.wake, s.revision
		s.mu.Unlock()
		if newer || ms == 0 {
			s.answer(w, r, silences, revision, list)
			return
		}
		select {
		case text := <-s.raw:
			fmt.Fprint(w, text)
			return
		case <-wake:
		case <-timeout.C:
			s.answer(w, r, silences, revision, list)
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

package discovery

import (
	"context"
	"net/http"
	"testing"
	"time"
)

func TestAListForACallerThatIsGoneCountsAsUnanswered(t *testing.T) {
	s := New()
	defer s.Close()
	begun, gone, answered := make(chan bool, 2), make(chan bool), make(chan int, 2)
	s.Answered = func(revision int) { answered <- revision }
	s.Before = func(n int, _ http.ResponseWriter, r *http.Request) bool {
		if n == 0 {
			begun <- true
			<-r.Context().Done()
			close(gone)
		}
		return false
	}
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/v1/endpoints", nil)
		if got, err := http.DefaultClient.Do(r); err == nil {
			got.Body.Close()
		}
	}()
	<-begun
	leave()
	<-gone
	got, err := http.Get(s.URL + "/v1/endpoints")
	if err != nil {
		t.Fatal(err)
	}
	got.Body.Close()
	select {
	case revision := <-answered:
		if revision != s.Revision() {
			t.Errorf("revision %d was answered", revision)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a caller that stayed was not answered")
	}
	select {
	case <-answered:
		t.Error("the caller that was gone counts as answered")
	case <-time.After(50 * time.Millisecond):
	}
}

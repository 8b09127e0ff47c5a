package discovery

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Counting a list as answered after its caller canceled would make a test believe that the gateway knows the list.
func TestListForCanceledCallIsNotAnswered(t *testing.T) {
	s := New()
	defer s.Close()
	begun, canceled, answered := make(chan bool, 2), make(chan bool), make(chan int, 2)
	s.Answered = func(revision int) { answered <- revision }
	s.Before = func(n int, _ http.ResponseWriter, r *http.Request) bool {
		if n == 0 {
			begun <- true
			<-r.Context().Done()
			close(canceled)
		}
		return false
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/v1/endpoints", nil)
		if got, err := http.DefaultClient.Do(r); err == nil {
			got.Body.Close()
		}
	}()
	<-begun
	cancel()
	<-canceled
	got, err := http.Get(s.URL + "/v1/endpoints")
	if err != nil {
		t.Fatal(err)
	}
	got.Body.Close()
	select {
	case revision := <-answered:
		if revision != s.Revision() {
			t.Errorf("the caller was answered with revision %d", revision)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the waiting caller was not answered")
	}
	select {
	case <-answered:
		t.Error("the canceled call counts as answered")
	case <-time.After(50 * time.Millisecond):
	}
}

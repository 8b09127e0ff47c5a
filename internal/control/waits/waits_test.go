package waits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// simulate simulates n clients of a program whose first attempts wait for the time first. If retryAfter returns a
// time above 0 for a client, the client retries after it with the rest of the deadline.
func simulate(w *Estimator, n int, first time.Duration, retryAfter func(i int) time.Duration) (estimates []time.Duration) {
	for i := range n {
		if w.Observe("view", 750*ms, first) != 0 {
			estimates = append(estimates, -1) // a first attempt that is classified as a retry
		}
		w.Unserved("view")
		if after := retryAfter(i); after > 0 {
			estimates = append(estimates, w.Observe("view", 750*ms, min(first, 750*ms-after)))
		}
	}
	return estimates
}

func TestRetryGivesElapsedTime(t *testing.T) {
	w := New()
	simulate(w, 20, 450*ms, func(int) time.Duration { return 0 })
	for i, got := range simulate(w, 100, 450*ms, func(i int) time.Duration { return time.Duration(330+i*4) * ms }) {
		if want := time.Duration(330+i*4) * ms; got != want {
			t.Fatalf("client %d: %v, want %v", i, got, want)
		}
	}
	if got := w.Observe("view", 750*ms, 450*ms); got != 0 {
		t.Errorf("an attempt that may be the first is classified as a retry after %v", got)
	}
}

func TestNoEstimateBeforeFirstAttemptsAreKnown(t *testing.T) {
	w := New()
	w.Unserved("view")
	for _, wait := range []time.Duration{450 * ms, 200 * ms, 0, -ms, 450 * ms} {
		if got := w.Observe("view", 750*ms, wait); got != 0 {
			t.Errorf("wait %v: %v", wait, got)
		}
		w.Unserved("view")
	}
	if got := w.Observe("order", 0, ms); got != 0 {
		t.Errorf("a class without a deadline: %v", got)
	}
}

// First attempts of two programs with different waits must not be classified as retries.
func TestFirstAttemptsOfTwoPrograms(t *testing.T) {
	w := New()
	for range 200 {
		for _, wait := range []time.Duration{700 * ms, 700 * ms, 320 * ms} {
			if got := w.Observe("view", 750*ms, wait); got != 0 {
				t.Fatalf("wait %v: %v", wait, got)
			}
			w.Unserved("view")
		}
	}
}

// The first attempts of a program too rare to be detected must not be classified as retries while all
// attempts are served.
func TestRareProgramIsNoRetryWithoutFailures(t *testing.T) {
	w := New()
	for i := range 5000 {
		wait := 700 * ms
		if i%20 == 0 {
			wait = 320 * ms
		}
		if got := w.Observe("view", 750*ms, wait); got != 0 {
			t.Fatalf("attempt %d: %v", i, got)
		}
	}
}

// For any clients and any results, no more attempts may be classified as retries than unserved attempts can
// have caused, and the estimate must be the deadline of the class minus the wait.
func TestNoMoreRetriesThanPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, allowed, retries := New(), 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "attempts") {
			wait := time.Duration(rapid.IntRange(-10, 900).Draw(t, "wait")) * ms
			got := w.Observe("view", 750*ms, wait)
			switch {
			case got != 0 && got != 750*ms-wait:
				t.Fatalf("wait %v: %v", wait, got)
			case got != 0:
				retries++
			case rapid.Bool().Draw(t, "unserved"):
				w.Unserved("view")
				allowed += maxRetries
			}
			if retries > allowed {
				t.Fatalf("%d attempts classified as retries, at most %d can be", retries, allowed)
			}
		}
	})
}

func TestOldAttemptsAreForgotten(t *testing.T) {
	w := New()
	simulate(w, 2*maxAttempts, 700*ms, func(int) time.Duration { return 0 })
	estimates := simulate(w, 4*maxAttempts, 320*ms, func(int) time.Duration { return 0 }) // the program's wait has changed
	if n := len(estimates); n > maxAttempts {
		t.Errorf("%d first attempts with the new wait are classified as retries", n)
	}
	if h := w.classes["view"]; h.total > maxAttempts || h.expectedRetries > maxExpectedRetries {
		t.Errorf("the histogram holds %d attempts and expects %d retries", h.total, h.expectedRetries)
	}
}

func BenchmarkTry(b *testing.B) {
	w := New()
	simulate(w, 100, 450*ms, func(i int) time.Duration { return time.Duration(330+i*4) * ms })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.Unserved("view")
		w.Observe("view", 750*ms, time.Duration(100+i%340)*ms)
	}
}

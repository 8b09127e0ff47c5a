// Package waits estimates how long a client has already spent on earlier attempts of a request. The estimate
// is derived from the time that the client states it will wait for the current attempt. The package does no
// I/O and does not read a clock.
//
// The deadline of a class limits the time that a client spends on all attempts of a request together, and the
// worth of an answer depends on the time since the first attempt. On its first attempt, a client waits for a
// time that its program fixes, at most the deadline. On a client retry it waits at most for the rest of the
// deadline. An attempt with a shorter wait than first attempts is therefore a client retry, and the client
// has already spent the deadline minus the wait. Nothing can be derived from a retry that waits as long as a
// first attempt.
//
// The settings do not contain the wait of first attempts. It is detected by frequency: one in a few attempts
// of a client is the first, and all first attempts of a program wait equally long, while the waits of retries
// are spread. A program may be so rare that its first attempts look like retries. Its requests must not be
// refused for that while there are no failures, so no more attempts are classified as retries than unserved
// attempts can have caused.
package waits

import "time"

const (
	// buckets is the number of parts into which the deadline of a class is divided. Adjacent buckets are
	// counted together.
	buckets = 128
	// firstAttemptDivisor is the inverse of the minimum share of a class's attempts that makes a wait one of
	// first attempts: a client retries up to three times, and there may be clients of other programs.
	// minFirstAttempts is the minimum number of attempts with that wait.
	firstAttemptDivisor, minFirstAttempts = 5, 3
	// maxAttempts is the maximum number of attempts in a histogram. All counts are halved when there are
	// more.
	maxAttempts = 512
	// maxRetries is the maximum number of client retries for one unserved attempt. maxExpectedRetries limits
	// the retries that are expected at a time, as a burst of failures must not affect clients that send
	// requests long after it.
	maxRetries, maxExpectedRetries = 3, 512
)

// Estimator holds the waits that one gateway has observed. It is not safe for concurrent use.
type Estimator struct{ classes map[string]*histogram }

// histogram counts attempts of one class by wait.
type histogram struct {
	deadline        time.Duration // deadline of the class
	expectedRetries int           // client retries that unserved attempts may still cause
	total           int
	counts          [buckets + 2]int // with an empty bucket at each end
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{classes: map[string]*histogram{}} }

// Observe records an attempt of a class, whose client waits for the given time, and returns how long the client
// has already spent on earlier attempts. It returns 0 for a first attempt and where the time cannot be
// derived. deadline is that of the class.
func (e *Estimator) Observe(class string, deadline, wait time.Duration) time.Duration {
	if wait <= 0 || deadline <= 0 {
		return 0
	}
	h := e.classes[class]
	if h == nil || h.deadline != deadline { // new class, or new deadline after a settings update
		h = &histogram{deadline: deadline}
		e.classes[class] = h
	}
	i := 1 + int(min(wait, deadline-1)*buckets/deadline)
	h.add(i)
	if h.expectedRetries == 0 || h.near(i)*firstAttemptDivisor >= h.total {
		return 0
	}
	for j := buckets; j > i+1; j-- {
		if n := h.near(j); n >= minFirstAttempts && n*firstAttemptDivisor >= h.total {
			h.expectedRetries--
			return deadline - wait
		}
	}
	return 0
}

// Unserved records that an attempt of a class has ended without being served: refused, failed, or canceled by
// the client. It must not be called for an attempt that was classified as a client retry, since the retries
// of that client are already counted.
func (e *Estimator) Unserved(class string) {
	if h := e.classes[class]; h != nil {
		h.expectedRetries = min(h.expectedRetries+maxRetries, maxExpectedRetries)
	}
}

func (h *histogram) add(i int) {
	if h.total++; h.total > maxAttempts {
		h.total = 0
		for j := range h.counts {
			h.counts[j] /= 2
			h.total += h.counts[j]
		}
	}
	h.counts[i]++
}

// near returns the number of attempts in bucket i and its two neighbors.
func (h *histogram) near(i int) int { return h.counts[i-1] + h.counts[i] + h.counts[i+1] }

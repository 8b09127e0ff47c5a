// Package waits tells, from how long a client says it will wait, how long it has been at a request already. It does no I/O
// and has no clock.
//
// What a class is given up after is a client's wait over all of its tries together, and what an answer is worth counts from
// the first. Its first try waits for a time that its program fixes, at most that; a later one waits no longer than what is
// left. So a try that waits for less than first tries do comes from a client that has been at it for the class's time less the
// wait. Of a later try that waits for as long as a first nothing can be told.
//
// How long first tries wait is not in the settings. They are known by their number: of a client's tries the first is one in a
// few, and all of a program's wait equally long, while what is left of a wait is spread. There may be a program so rare that its
// first tries look like later ones. It must not be turned away for that where nothing is wrong: no more tries are taken for
// later ones than tries that went unserved can have brought.
package waits

import "time"

const (
	// buckets is into how many parts a class's time is divided. Neighbours count together.
	buckets = 128
	// firstTryPart is the part of a class's tries, one in so many, from which on a wait is one of first tries: a client comes
	// again up to three times, and there may be clients of other programs. firstTryLeast is how many tries it must be, too.
	firstTryPart, firstTryLeast = 5, 3
	// rememberedTries is how many tries count: half of them are forgotten when there are more.
	rememberedTries = 512
	// retriesMost is how many later tries a client makes at most for one that went unserved, and expectedMost how many are expected at
	// a time: what a burst of failures made likely must not count against clients that come long after it.
	retriesMost, expectedMost = 3, 512
)

// Estimator is what one gateway has seen of its clients. It is not safe for concurrent use.
type Estimator struct{ classes map[string]*histogram }

// histogram counts the waits of one class.
type histogram struct {
	giveUp   time.Duration
	expected int // later tries that may come
	total    int
	counts   [buckets + 2]int // one empty at each end
}

// New makes one that has seen nothing.
func New() *Estimator { return &Estimator{classes: map[string]*histogram{}} }

// Observe takes a try of a class: its client waits for so long, and giveUp is the class's time in all. It gives how long the client
// has been at it; 0 for a first try, and where that can't be told.
func (w *Estimator) Observe(class string, giveUp, wait time.Duration) time.Duration {
	if wait <= 0 || giveUp <= 0 {
		return 0
	}
	s := w.classes[class]
	if s == nil || s.giveUp != giveUp { // a class of new settings
		s = &histogram{giveUp: giveUp}
		w.classes[class] = s
	}
	i := 1 + int(min(wait, giveUp-1)*buckets/giveUp)
	s.add(i)
	if s.expected == 0 || s.near(i)*firstTryPart >= s.total {
		return 0
	}
	for j := buckets; j > i+1; j-- {
		if n := s.near(j); n >= firstTryLeast && n*firstTryPart >= s.total {
			s.expected--
			return giveUp - wait
		}
	}
	return 0
}

// Unserved says that a try of a class has ended without being served: refused, failed, or left by its client. Not to be said
// of what Try gave a time for, whose client is counted already.
func (w *Estimator) Unserved(class string) {
	if s := w.classes[class]; s != nil {
		s.expected = min(s.expected+retriesMost, expectedMost)
	}
}

func (s *histogram) add(i int) {
	if s.total++; s.total > rememberedTries {
		s.total = 0
		for j := range s.counts {
			s.counts[j] /= 2
			s.total += s.counts[j]
		}
	}
	s.counts[i]++
}

// near is how many tries wait for about as long as bucket i has it.
func (s *histogram) near(i int) int { return s.counts[i-1] + s.counts[i] + s.counts[i+1] }

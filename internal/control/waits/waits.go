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
	// common is the part of a class's tries, one in so many, from which on a wait is one of first tries: a client comes
	// again up to three times, and there may be clients of other programs. fewest is how many tries it must be, too.
	common, fewest = 5, 3
	// memory is how many tries count: half of them are forgotten when there are more.
	memory = 512
	// again is how many later tries a client makes at most for one that went unserved, and mostAgain how many are expected at
	// a time: a storm that has passed must not speak against who comes long after it.
	again, mostAgain = 3, 512
)

// Waits is what one gateway has seen of its clients. It is not safe for concurrent use.
type Waits struct{ classes map[string]*seen }

type seen struct {
	giveUp   time.Duration
	expected int // later tries that may come
	total    int
	n        [buckets + 2]int // one empty at each end
}

// New makes one that has seen nothing.
func New() *Waits { return &Waits{classes: map[string]*seen{}} }

// Try takes a try of a class: its client waits for so long, and giveUp is the class's time in all. It gives how long the client
// has been at it; 0 for a first try, and where that can't be told.
func (w *Waits) Try(class string, giveUp, wait time.Duration) time.Duration {
	if wait <= 0 || giveUp <= 0 {
		return 0
	}
	s := w.classes[class]
	if s == nil || s.giveUp != giveUp { // a class of new settings
		s = &seen{giveUp: giveUp}
		w.classes[class] = s
	}
	i := 1 + int(min(wait, giveUp-1)*buckets/giveUp)
	s.add(i)
	if s.expected == 0 || s.around(i)*common >= s.total {
		return 0
	}
	for j := buckets; j > i+1; j-- {
		if n := s.around(j); n >= fewest && n*common >= s.total {
			s.expected--
			return giveUp - wait
		}
	}
	return 0
}

// Unserved says that a try of a class has ended without being served: refused, failed, or left by its client. Not to be said
// of what Try gave a time for, whose client is counted already.
func (w *Waits) Unserved(class string) {
	if s := w.classes[class]; s != nil {
		s.expected = min(s.expected+again, mostAgain)
	}
}

func (s *seen) add(i int) {
	if s.total++; s.total > memory {
		s.total = 0
		for j := range s.n {
			s.n[j] /= 2
			s.total += s.n[j]
		}
	}
	s.n[i]++
}

// around is how many tries wait for about as long as bucket i has it.
func (s *seen) around(i int) int { return s.n[i-1] + s.n[i] + s.n[i+1] }

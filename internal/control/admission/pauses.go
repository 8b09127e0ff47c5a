package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// pauses is a histogram of the times between the requests of a source's connections. Recent ones have more
// weight.
type pauses struct {
	all   *hdrhistogram.Histogram // in milliseconds
	count int
}

const (
	longest = 60_000 // milliseconds; longer intervals are recorded as this
	halving = 1000   // number of intervals after which all counts are halved
	enough  = 20     // minimum number of intervals for an estimate
	soonFor = 500    // milliseconds within which a request must be likely for a connection to be spared
)

func newPauses() *pauses { return &pauses{all: hdrhistogram.New(1, longest, 1)} }

// add records an interval.
func (p *pauses) add(d time.Duration) {
	_ = p.all.RecordValue(min(max(d.Milliseconds(), 1), longest)) // never out of bounds
	if p.count++; p.count >= halving {
		half := hdrhistogram.New(1, longest, 1)
		for _, b := range p.all.Distribution() {
			if n := b.Count / 2; n > 0 {
				_ = half.RecordValues(min(max(b.From, 1), longest), n)
			}
		}
		p.all, p.count = half, halving/2
	}
}

// soon estimates the probability that a connection that has been idle for that time sends a request within
// soonFor. It returns 0.5 if there are too few samples.
func (p *pauses) soon(idle time.Duration) float64 {
	if p.count < enough {
		return 0.5
	}
	var later, soon int64
	from := idle.Milliseconds()
	for _, b := range p.all.Distribution() {
		if b.To < from {
			continue
		}
		later += b.Count
		if b.From <= from+soonFor {
			soon += b.Count
		}
	}
	if later == 0 {
		return 0
	}
	return float64(soon) / float64(later)
}

// median returns the median interval.
func (p *pauses) median() time.Duration {
	return time.Duration(p.all.ValueAtQuantile(50)) * time.Millisecond
}

// learnt holds the intervals of the most recently used sources. All other sources share one histogram.
type learnt struct {
	known  *lru.LRU[string, *pauses]
	others *pauses
	seen   *lru.LRU[string, struct{}] // sources with one connection so far; a source gets its own histogram with the second one
}

func newLearnt(n int) *learnt {
	l := &learnt{others: newPauses()}
	l.known, _ = lru.NewLRU[string, *pauses](n, nil)
	l.seen, _ = lru.NewLRU[string, struct{}](4*n, nil)
	return l
}

// of returns the histogram of a source.
func (l *learnt) of(name string) *pauses {
	if p, ok := l.known.Get(name); ok {
		return p
	}
	if _, again := l.seen.Get(name); !again {
		l.seen.Add(name, struct{}{})
		return l.others
	}
	p := newPauses()
	l.known.Add(name, p)
	return p
}

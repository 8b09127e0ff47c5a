package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// intervals is a histogram of the times between the requests of a source's connections. Recent ones have more
// weight.
type intervals struct {
	histogram *hdrhistogram.Histogram // in milliseconds
	count     int
}

const (
	maxIntervalMillis  = 60_000 // milliseconds; longer intervals are recorded as this
	halvingCount       = 1000   // number of intervals after which all counts are halved
	minIntervals       = 20     // minimum number of intervals for an estimate
	resumeWindowMillis = 500    // milliseconds within which a request must be likely for a connection to be spared
)

func newIntervals() *intervals {
	return &intervals{histogram: hdrhistogram.New(1, maxIntervalMillis, 1)}
}

// add records an interval.
func (p *intervals) add(d time.Duration) {
	_ = p.histogram.RecordValue(min(max(d.Milliseconds(), 1), maxIntervalMillis)) // never out of bounds
	if p.count++; p.count >= halvingCount {
		half := hdrhistogram.New(1, maxIntervalMillis, 1)
		for _, b := range p.histogram.Distribution() {
			if n := b.Count / 2; n > 0 {
				_ = half.RecordValues(min(max(b.From, 1), maxIntervalMillis), n)
			}
		}
		p.histogram, p.count = half, halvingCount/2
	}
}

// resumeProbability estimates the probability that a connection that has been idle for that time sends a request
// within resumeWindowMillis. It returns 0.5 if there are too few samples.
func (p *intervals) resumeProbability(idle time.Duration) float64 {
	if p.count < minIntervals {
		return 0.5
	}
	var later, soon int64
	from := idle.Milliseconds()
	for _, b := range p.histogram.Distribution() {
		if b.To < from {
			continue
		}
		later += b.Count
		if b.From <= from+resumeWindowMillis {
			soon += b.Count
		}
	}
	if later == 0 {
		return 0
	}
	return float64(soon) / float64(later)
}

// median returns the median interval.
func (p *intervals) median() time.Duration {
	return time.Duration(p.histogram.ValueAtQuantile(50)) * time.Millisecond
}

// intervalTable holds the intervals of the most recently used sources. All other sources share one histogram.
type intervalTable struct {
	tracked  *lru.LRU[string, *intervals]
	shared   *intervals
	seenOnce *lru.LRU[string, struct{}] // sources with one connection so far; a source gets its own histogram with the second one
}

func newIntervalTable(n int) *intervalTable {
	l := &intervalTable{shared: newIntervals()}
	l.tracked, _ = lru.NewLRU[string, *intervals](n, nil)
	l.seenOnce, _ = lru.NewLRU[string, struct{}](4*n, nil)
	return l
}

// lookup returns the histogram of a source.
func (l *intervalTable) lookup(name string) *intervals {
	if p, ok := l.tracked.Get(name); ok {
		return p
	}
	if _, again := l.seenOnce.Get(name); !again {
		l.seenOnce.Add(name, struct{}{})
		return l.shared
	}
	p := newIntervals()
	l.tracked.Add(name, p)
	return p
}

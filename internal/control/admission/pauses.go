package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// pauses are those between the requests of a source's connections, the later ones counting more.
type pauses struct {
	all   *hdrhistogram.Histogram // in milliseconds
	count int
}

const (
	longest = 60_000 // milliseconds: longer pauses count as that
	halving = 1000   // requests after which what was learnt counts half
	enough  = 20     // requests before anything is believed
	soonFor = 500    // milliseconds: so soon a connection has to ask again to be spared
)

func newPauses() *pauses { return &pauses{all: hdrhistogram.New(1, longest, 1)} }

func (p *pauses) add(d time.Duration) {
	_ = p.all.RecordValue(min(max(d.Milliseconds(), 1), longest)) // it is inside the bounds
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

// soon says how likely a connection that has paused for so long asks again within soonFor; 0.5 as long as too little is known.
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

func (p *pauses) median() time.Duration {
	return time.Duration(p.all.ValueAtQuantile(50)) * time.Millisecond
}

// learnt keeps the pauses of the sources heard of last; all others share one.
type learnt struct {
	known  *lru.LRU[string, *pauses]
	others *pauses
	seen   *lru.LRU[string, struct{}] // heard of once: a source is learnt alone from its second connection on
}

func newLearnt(n int) *learnt {
	l := &learnt{others: newPauses()}
	l.known, _ = lru.NewLRU[string, *pauses](n, nil)
	l.seen, _ = lru.NewLRU[string, struct{}](4*n, nil)
	return l
}

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

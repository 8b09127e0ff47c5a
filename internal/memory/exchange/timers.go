package exchange

import (
	"container/heap"
	"time"
)

// timer is a timer that the module requested.
type timer struct {
	due time.Duration
	tag int64
	seq uint64
}

// timers is a heap of timers by due time. Timers due at the same time expire in the order in which they were
// set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(v any)   { *t = append(*t, v.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (t *timers) push(due time.Duration, tag int64, seq uint64) { heap.Push(t, timer{due, tag, seq}) }
func (t *timers) pop() timer                                    { return heap.Pop(t).(timer) }

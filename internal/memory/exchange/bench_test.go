package exchange

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/memory/counters"
)

// BenchmarkRequest measures a read's path through the exchange and the module, from its submission to its
// answer.
func BenchmarkRequest(b *testing.B) {
	x, err := New(Config{Clock: NewClock(), Log: zap.NewNop(), Counters: &counters.Set{},
		Settings: balance.Settings{Probes: true, RetryAfter: true, MaxRetryAfter: time.Second, DrainGrace: time.Second,
			Classes: []balance.Class{{Name: "view", Need: balance.AnyData, LatencyTarget: time.Minute, Deadline: time.Minute}}}})
	if err != nil {
		b.Fatal(err)
	}
	h := &hosts{}
	x.hosts = h
	var all []Member
	for i, role := range []bool{true, false, false, false} {
		all = append(all, Member{Address: "h:1", Member: balance.Member{Server: fmt.Sprint("s", i), Group: 1, State: balance.Active, Primary: role, Weight: 1}})
	}
	x.handle(x.cfg.Clock.Now(), endpointList{true, all})
	answers := make(chan Answer, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.sent = h.sent[:0]
		r := &Request{ID: fmt.Sprint(i), Class: "view", Group: 1, Arrived: x.cfg.Clock.Now(), Wait: 30 * time.Second, Answer: answers}
		x.handle(x.cfg.Clock.Now(), r)
		if len(h.sent) != 1 {
			b.Fatalf("sent %v", h.sent)
		}
		x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: r.ID, Server: h.sent[0].Server, Result: balance.OK, Took: 40 * time.Millisecond}, Value: 1})
		<-answers
		if i%1000 == 0 {
			x.timers = x.timers[:0] // the deadlines of answered requests
		}
	}
}

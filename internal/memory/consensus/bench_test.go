package consensus

import (
	"fmt"
	"testing"
	"time"

	"yokemast/internal/control/leases"
)

// BenchmarkRenewals300 measures renewals of 300 leases by a group of three voters in one process without
// message loss, network or disk.
func BenchmarkRenewals300(b *testing.B) {
	g := newGroup(b, 1, 0)
	var lead uint64
	for i := 0; i < 100 && lead == 0; i++ {
		g.round()
		lead = g.leader()
	}
	if lead == 0 {
		b.Fatal("no leader")
	}
	n := g.nodes[lead]
	tokens := make([]uint64, 300)
	for k := range tokens {
		p, err := n.Propose(g.clock[lead], leases.Entry{Op: leases.Acquire, Name: fmt.Sprint("t", k),
			Holder: fmt.Sprint("h", k), TTL: time.Minute})
		if err != nil {
			b.Fatal(err)
		}
		g.round()
		for _, o := range g.outcomes[lead] {
			if o.Proposal == p {
				tokens[k] = o.Result.Lease.Token
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	done := 0
	for i := 0; i < b.N; i++ {
		k := i % 300
		if _, err := n.Propose(g.clock[lead], leases.Entry{Op: leases.Renew, Name: fmt.Sprint("t", k),
			Holder: fmt.Sprint("h", k), Token: tokens[k], TTL: time.Minute}); err != nil {
			b.Fatal(err)
		}
		if k == 299 || i == b.N-1 {
			before := len(g.outcomes[lead])
			g.round()
			done += len(g.outcomes[lead]) - before
			g.outcomes[lead] = g.outcomes[lead][:0]
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(done)/b.Elapsed().Seconds(), "renewals/s")
}

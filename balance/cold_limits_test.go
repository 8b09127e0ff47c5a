package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newUnevenFleet returns a fleet of routers, some of which get several times the mean traffic.
func newUnevenFleet(t *testing.T, s Settings, seed uint64) *fleet {
	t.Helper()
	f := &fleet{settings: s, rng: rand.New(rand.NewPCG(seed, 5)), attempts: map[string]int{}}
	sum := 0.0
	for i := range s.Routers {
		r, err := New(s, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, r)
		sum += 0.2 + 4*f.rng.Float64()*f.rng.Float64()
		f.share = append(f.share, sum)
	}
	return f
}

// Reads that no replica can serve go to the primary; they must not overload a primary that has just started.
func TestFallbackReadsKeepColdPrimaryBudget(t *testing.T) {
	for _, load := range []float64{1, 1.5} {
		for _, probes := range []bool{true, false} {
			for _, routers := range []int{20, 300} {
				t.Run(fmt.Sprintf("load %v, probes %t, %d routers", load, probes, routers), func(t *testing.T) {
					for seed := range uint64(2) {
						s := settings()
						s.Routers, s.Probes, s.OverloadFactor, s.ColdShare, s.ColdTime = routers, probes, 4, 0.25, 10*time.Second
						f := newUnevenFleet(t, s, seed)
						f.run(load, "browse", "p", 0)
						if worst := f.worstOverload(); worst > 1 {
							t.Errorf("seed %d: %.2f of the budget of the primary", seed, worst)
						}
					}
				})
			}
		}
	}
}

package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestColdBudgetIsIndependentOfLoad(t *testing.T) {
	for _, load := range []float64{2, 2.5, 3} {
		t.Run(fmt.Sprintf("load %v", load), func(t *testing.T) {
			for seed := range uint64(3) {
				s := settings()
				s.Routers, s.OverloadFactor, s.ColdShare, s.ColdTime = 300, 4, 0.25, 10*time.Second
				f := newUnevenFleet(t, s, seed)
				f.run(load, "any", "r2", 0)
				if worst := f.worstOverload(); worst > 1 {
					t.Errorf("seed %d: %.2f of the budget of the replica", seed, worst)
				}
			}
		})
	}
}

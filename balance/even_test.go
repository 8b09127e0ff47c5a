package balance

import (
	"fmt"
	"math"
	"testing"
)

// Reads are spread more evenly than at random, as a replica is drawn less the more of its limit is in
// flight. Drawn by weight alone, ten reads differ by 2.5 between two replicas on average.
func TestReplicaChoiceIsEven(t *testing.T) {
	const seeds, reads = 300, 10
	sum := 0.0
	for seed := range uint64(seeds) {
		r, err := New(Settings{Tick: ms, Classes: []Class{{Name: "a", Need: AnyData, LatencyTarget: 3000 * ms, Deadline: 9000 * ms, Worth: 1}}}, seed)
		if err != nil {
			t.Fatal(err)
		}
		at := 1000 * ms
		r.Handle(at, Members{Snapshot: true, List: []Member{{Server: "p", Primary: true, Weight: 1}, {Server: "q", Weight: 1}, {Server: "s", Weight: 1}}}, nil)
		for i := range reads {
			r.Handle(at, Request{ID: fmt.Sprint(i), Class: "a", Deadline: at + 9000*ms}, nil)
		}
		q, s := len(r.members["q"].inFlight), len(r.members["s"].inFlight)
		if q+s != reads {
			t.Fatalf("%d and %d of %d reads are in flight at the replicas", q, s, reads)
		}
		sum += math.Abs(float64(q - s))
	}
	if mean := sum / seeds; mean > 1.9 {
		t.Errorf("ten reads differ by %.2f between two replicas", mean)
	}
}

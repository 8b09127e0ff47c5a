package exchange

import (
	"testing"
	"time"

	"yokemast/balance"
)

func TestADrainThatTheFirstListTellsCountsFromTheProcesssStart(t *testing.T) {
	x, _, _ := fresh(t)
	arrived := x.begunAt + 400*time.Millisecond // the first answer of discovery
	x.bounds.take(arrived, members{true, []Member{{Address: "h:1", Member: balance.Member{Server: "n", Group: 1, State: balance.Draining, Weight: 1}}}})
	if by, want := x.bounds.until("n"), x.begunAt+x.cfg.Settings.DrainGrace-300*time.Millisecond; by > want {
		t.Errorf("new requests may go to it until %s after the end of the grace, less two hold-ups", by-want)
	}
}

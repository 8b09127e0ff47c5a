package gossip

import (
	"testing"

	"yokemast/balance"
)

func TestAPositionKeptBeforeTheClockIsCorrectedIsNotToldAsNewer(t *testing.T) {
	const wrong = -2400 * ms  // that the fleet's clock was believed to show more than this one
	position := now - 1500*ms // by the fleet's clock, which this one shows too
	for _, before := range []Offsets{{Min: wrong, Max: wrong, Bounded: true}, {}} {
		s, to := state(nil), state(nil)
		s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", Position: position, At: now})
		for _, ahead := range []Offsets{before, {Bounded: true}} {
			out, err := to.Receive(now+40*ms, Offsets{Bounded: true}, s.AppendMessage(now+30*ms, ahead, nil), nil)
			if err != nil && ahead == (Offsets{Bounded: true}) {
				continue // the first datagram took the note
			}
			for _, n := range out {
				if n.Position > position {
					t.Errorf("a position is told as later by %s than the host's", n.Position-position)
				}
			}
		}
	}
}

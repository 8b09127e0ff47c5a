package gossip

import (
	"testing"

	"yokemast/balance"
)

// A position recorded while the offset was wrong must not be sent as later than the host's after the
// correction.
func TestPositionFromBeforeClockCorrectionIsNotLater(t *testing.T) {
	const wrongOffset = -2400 * ms // assumed offset; the real one is 0
	position := now - 1500*ms      // by the fleet's clock, which equals the local clock
	for _, before := range []Offsets{{Min: wrongOffset, Max: wrongOffset, Bounded: true}, {}} {
		s, to := newState(nil), newState(nil)
		s.AddEntry(now, balance.RemoteOutcome{Server: "s-1", Position: position, At: now})
		for _, sendOffsets := range []Offsets{before, {Bounded: true}} {
			out, err := to.Receive(now+40*ms, Offsets{Bounded: true}, s.AppendMessage(now+30*ms, sendOffsets, nil), nil)
			if err != nil && sendOffsets == (Offsets{Bounded: true}) {
				continue // the first message contained the entry
			}
			for _, n := range out {
				if n.Position > position {
					t.Errorf("received position is %s later than the host's", n.Position-position)
				}
			}
		}
	}
}

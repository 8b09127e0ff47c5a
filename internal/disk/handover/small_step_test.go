package handover

import (
	"fmt"
	"testing"
	"time"
)

// The wall clock is set back by less than a second between the starts of the two processes. Decoded positions
// and statements that a host is primary must not seem newer than they are.
func TestSmallStepMakesNothingFresher(t *testing.T) {
	for _, step := range []time.Duration{-900 * time.Millisecond, -300 * time.Millisecond, -60 * time.Millisecond} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			encoded := sampleState()
			encoded.Hosts[0].Position, encoded.Hosts[0].PrimaryNotBefore = encoded.At+encoded.Offset.Max-2*time.Second, encoded.At-2*time.Second
			b, err := Encode(encoded)
			if err != nil {
				t.Fatal(err)
			}
			requestedAt := encoded.At + step // the new process starts after the wall clock was stepped
			got, err := Decode(requestedAt, requestedAt+4*time.Millisecond, b)
			if err != nil {
				t.Fatal(err)
			}
			if age := requestedAt + got.Offset.Max - got.Hosts[0].Position; age < 2*time.Second-time.Millisecond {
				t.Errorf("the decoded age of a position is %s, want at least 2 s", age)
			}
			if ago := requestedAt - got.Hosts[0].PrimaryNotBefore; ago < 2*time.Second-time.Millisecond {
				t.Errorf("the decoded age of a leadership statement is %s, want at least 2 s", ago)
			}
			if want := encoded.Offset.Max - step; got.Offset.Max < want {
				t.Errorf("the upper bound of the clock offset is %s, want at least %s", got.Offset.Max, want)
			}
		})
	}
}

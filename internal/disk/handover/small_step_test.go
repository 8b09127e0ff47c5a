package handover

import (
	"fmt"
	"testing"
	"time"
)

func TestASmallStepBetweenTheProcessesMakesNothingSeemFresher(t *testing.T) {
	for _, step := range []time.Duration{-900 * time.Millisecond, -300 * time.Millisecond, -60 * time.Millisecond} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			told := known()
			told.Hosts[0].Position, told.Hosts[0].PrimaryNotBefore = told.At+told.Offset.Max-2*time.Second, told.At-2*time.Second
			b, err := Encode(told)
			if err != nil {
				t.Fatal(err)
			}
			asked := told.At + step // the new process reads the wall after it was stepped
			got, err := Decode(asked, asked+4*time.Millisecond, b)
			if err != nil {
				t.Fatal(err)
			}
			if age := asked + got.Offset.Max - got.Hosts[0].Position; age < 2*time.Second-time.Millisecond {
				t.Errorf("a position 2 s old is %s old to the new process", age)
			}
			if ago := asked - got.Hosts[0].PrimaryNotBefore; ago < 2*time.Second-time.Millisecond {
				t.Errorf("a leader's word made 2 s ago is %s old to the new process", ago)
			}
			if want := told.Offset.Max - step; got.Offset.Max < want {
				t.Errorf("the fleet's clock is ahead by %s at most, want no less than %s", got.Offset.Max, want)
			}
		})
	}
}

package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestReadAfterSendDelayIsInBoundOrRejected(t *testing.T) {
	const sendDelay, slackOnSockets = 150 * ms, 50 * ms
	for _, c := range []struct {
		class      string // "own" is a session class with a bound, as two versions of the settings combine to
		bound      time.Duration
		sinceWrite time.Duration // time since the session's write; 0 if it has not written
	}{{"browse", 500 * ms, 0}, {"browse", 200 * ms, 0}, {"own", 500 * ms, 0}, {"own", 200 * ms, 0}, {"own", 500 * ms, time.Second}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			for age := 10 * ms; age < c.bound+100*ms; age += 10 * ms {
				g := newRig(t, func(s *Settings) {
					s.MaxSendDelay, s.Classes[0].Bound, s.Classes[1].Bound, s.Probes = sendDelay, c.bound, c.bound, false
				})
				g.setState("a", Replica, 0) // its log stalls from now on
				position := g.now
				g.now += age
				g.setState("b", Replica, 10*time.Second)
				g.setState("p", Primary, 0) // the group's log moves
				_, acts := g.request(c.class, c.sinceWrite)
				for _, a := range acts {
					s, ok := a.(Send)
					if !ok || s.Server != "a" {
						continue
					}
					written := g.now + sendDelay
					excess := written - position - c.bound - slackOnSockets
					answer := Outcome{ID: s.ID, Server: "a", Result: OK, Role: Replica, Position: position, Written: written}
					if excess > 0 && !g.r.Stale(written, answer) {
						t.Errorf("sent at an age of %s, written at an age of %s, served: over the bound by %s", age, written-position, excess)
					}
				}
			}
		})
	}
}

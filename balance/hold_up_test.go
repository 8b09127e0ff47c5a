package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestAReadWrittenAfterAHoldUpIsInsideTheBoundOrNotServedWhereAReplicaStalls(t *testing.T) {
	const holdUp, slackOnSockets = 150 * ms, 50 * ms
	for _, c := range []struct {
		class  string // "own": a session's reads that have a bound too, while new settings are not in force alone
		bound  time.Duration
		writes time.Duration // how long ago the session wrote; 0: it did not
	}{{"browse", 500 * ms, 0}, {"browse", 200 * ms, 0}, {"own", 500 * ms, 0}, {"own", 200 * ms, 0}, {"own", 500 * ms, time.Second}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			for age := 10 * ms; age < c.bound+100*ms; age += 10 * ms {
				g := newRig(t, func(s *Settings) {
					s.MaxSendDelay, s.Classes[0].Bound, s.Classes[1].Bound, s.Probes = holdUp, c.bound, c.bound, false
				})
				g.know("a", Replica, 0) // and stalls from then on
				position := g.now
				g.now += age
				g.know("b", Replica, 10*time.Second)
				g.know("p", Primary, 0) // the group's log moves
				_, acts := g.ask(c.class, c.writes)
				for _, a := range acts {
					s, ok := a.(Send)
					if !ok || s.Server != "a" {
						continue
					}
					written := g.now + holdUp
					over := written - position - c.bound - slackOnSockets
					answer := Outcome{ID: s.ID, Server: "a", Result: OK, Role: Replica, Position: position, Written: written}
					if over > 0 && !g.r.Stale(written, answer) {
						t.Errorf("decided at an age of %s, written at %s, served: over by %s", age, written-position, over)
					}
				}
			}
		})
	}
}

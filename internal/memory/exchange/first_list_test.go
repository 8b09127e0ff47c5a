package exchange

import (
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/draining"
	"yokemast/internal/disk/handover"
)

func TestADrainThatTheFirstListTellsCountsFromTheProcesssStart(t *testing.T) {
	x, _, _ := fresh(t)
	arrived := x.begunAt + 400*time.Millisecond // the first answer of discovery
	x.bounds.take(List{Agent: "a", At: arrived, Snapshot: true, Hosts: []Member{{Address: "h:1", Member: balance.Member{Server: "n", Group: 1, State: balance.Draining, Weight: 1}}}})
	if by, want := x.bounds.until("n"), x.begunAt+x.cfg.Settings.DrainGrace-300*time.Millisecond; by > want {
		t.Errorf("new requests may go to it until %s after the end of the grace, less two hold-ups", by-want)
	}
}

// The list of another agent of discovery may be behind that which told a drain, to this process or to the one before it.
func TestAnotherAgentsListEndsNoDrainUnlessItTellsALaterStart(t *testing.T) {
	drained := func(x *Exchange) {
		x.Members(List{Agent: "a", Revision: 43, At: x.begunAt - time.Minute, Snapshot: true, Hosts: only(balance.Draining).list})
	}
	inherited := func(x *Exchange) {
		x.Inherit(x.begunAt, handover.State{Agent: "b", Hosts: []handover.Host{
			{Server: "s", Address: "h:1", Group: 1, State: balance.Draining, NotifiedFor: time.Minute, NotifiedBy: "a", NotifiedRevision: 43}}})
	}
	for name, c := range map[string]struct {
		told     func(*Exchange)
		agent    string
		revision int64
		started  time.Duration
		serves   bool
	}{
		"the agent that told it":                     {drained, "a", 43, 0, true},
		"an older list of the agent that told it":    {drained, "a", 42, 0, false},
		"an older one, of an inherited drain":        {inherited, "a", 42, 0, false},
		"another":                                    {drained, "b", 44, 0, false},
		"another, with a later start":                {drained, "b", 44, 1, true},
		"the agent that told the process before":     {inherited, "a", 43, 0, true},
		"another than told the process before":       {inherited, "b", 44, 0, false},
		"another, that tells an inherited one anew":  {inherited, "b", 44, 1, true},
		"what the process before knew, of a file's":  {drained, "", 0, 0, false},
		"what the process before knew, with a start": {drained, "", 0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, h, ask := fresh(t)
			c.told(x)
			host := only(balance.Active).list[0]
			if host.Started = c.started; c.agent == "" {
				x.Inherit(x.begunAt, handover.State{Agent: "a", Hosts: []handover.Host{{Server: "s", Address: "h:1", Group: 1, Listed: true, Weight: 1, Started: c.started}}})
			} else {
				x.Members(List{Agent: c.agent, Revision: c.revision, At: x.begunAt, Snapshot: true, Hosts: []Member{host}})
			}
			for _, p := range x.queue {
				x.handle(p.at, p.ev)
			}
			ask("order")
			if sent := len(h.sent) > 0; sent != c.serves || (h.until["s"] == draining.Open) != c.serves {
				t.Errorf("a write is sent: %t, and until %s, want %t", sent, h.until["s"], c.serves)
			}
		})
	}
}

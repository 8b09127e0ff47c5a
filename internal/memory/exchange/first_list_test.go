package exchange

import (
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/draining"
	"yokemast/internal/disk/handover"
)

// A host that drains in the first list may have been draining since before the process started, so its drain
// grace counts from the start of the process.
func TestDrainInFirstListCountsFromProcessStart(t *testing.T) {
	x, _, _ := newSingle(t)
	arrived := x.processStart + 400*time.Millisecond // discovery's first answer
	x.sendDeadlines.apply(List{Agent: "a", At: arrived, Snapshot: true, Hosts: []Member{{Address: "h:1", Member: balance.Member{Server: "n", Group: 1, State: balance.Draining, Weight: 1}}}})
	if by, want := x.sendDeadlines.deadline("n"), x.processStart+x.cfg.Settings.DrainGrace-300*time.Millisecond; by > want {
		t.Errorf("new requests may be sent until %s after the end of the grace less 300 ms", by-want)
	}
}

// The list of another agent of discovery may be older than the one that notified this process, or the old
// process of a hot restart, of a drain.
func TestOtherAgentEndsNoDrain(t *testing.T) {
	drained := func(x *Exchange) {
		x.Members(List{Agent: "a", Revision: 43, At: x.processStart - time.Minute, Snapshot: true, Hosts: singleList(balance.Draining).hosts})
	}
	inherited := func(x *Exchange) {
		x.Inherit(x.processStart, handover.State{Agent: "b", Hosts: []handover.Host{
			{Server: "s", Address: "h:1", Group: 1, State: balance.Draining, NotifiedFor: time.Minute, NotifiedBy: "a", NotifiedRevision: 43}}})
	}
	for name, c := range map[string]struct {
		setUp    func(*Exchange)
		agent    string
		revision int64
		started  time.Duration
		serves   bool
	}{
		"the agent that sent the drain":                      {drained, "a", 43, 0, true},
		"an older list of that agent":                        {drained, "a", 42, 0, false},
		"an older list of that agent, inherited drain":       {inherited, "a", 42, 0, false},
		"another agent":                                      {drained, "b", 44, 0, false},
		"another agent, with a later start":                  {drained, "b", 44, 1, true},
		"the agent that sent the inherited drain":            {inherited, "a", 43, 0, true},
		"another agent, inherited drain":                     {inherited, "b", 44, 0, false},
		"another agent, inherited drain, with a later start": {inherited, "b", 44, 1, true},
		"handover state":                                     {drained, "", 0, 0, false},
		"handover state, with a start":                       {drained, "", 0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, h, submit := newSingle(t)
			c.setUp(x)
			host := singleList(balance.Active).hosts[0]
			if host.Started = c.started; c.agent == "" {
				x.Inherit(x.processStart, handover.State{Agent: "a", Hosts: []handover.Host{{Server: "s", Address: "h:1", Group: 1, Listed: true, Weight: 1, Started: c.started}}})
			} else {
				x.Members(List{Agent: c.agent, Revision: c.revision, At: x.processStart, Snapshot: true, Hosts: []Member{host}})
			}
			for _, p := range x.queue {
				x.handle(p.at, p.event)
			}
			submit("order")
			if sent := len(h.sent) > 0; sent != c.serves || (h.deadlines["s"] == draining.Open) != c.serves {
				t.Errorf("a write is sent: %t, send deadline %s, want the host to serve: %t", sent, h.deadlines["s"], c.serves)
			}
		})
	}
}

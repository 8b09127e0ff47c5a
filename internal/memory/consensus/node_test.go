package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"yokemast/internal/control/leases"
)

// group is a group of three voters in one process, connected by a simulated network with seeded message loss.
type group struct {
	t           testing.TB
	nodes       map[uint64]*Node
	clock       map[uint64]time.Duration // clock of each node, with different origins
	partitioned map[uint64]bool          // partitioned nodes, which send and receive nothing
	queue       []*raftpb.Message
	rng         *rand.Rand
	drop        float64
	outcomes    map[uint64][]Outcome
	rounds      int
}

func newGroup(t testing.TB, seed uint64, drop float64) *group {
	g := &group{t: t, nodes: map[uint64]*Node{}, clock: map[uint64]time.Duration{}, partitioned: map[uint64]bool{},
		rng: rand.New(rand.NewPCG(seed, 7)), drop: drop, outcomes: map[uint64][]Outcome{}}
	for id := uint64(1); id <= 3; id++ {
		n, err := New(Config{ID: id, Voters: []uint64{1, 2, 3}})
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[id] = n
		g.clock[id] = time.Duration(id) * 7 * time.Second
	}
	return g
}

// round advances every node by one tick of 100 ms, then delivers or drops all messages.
func (g *group) round() {
	g.rounds++
	for id, n := range g.nodes {
		g.clock[id] += 100 * time.Millisecond
		n.Tick()
	}
	for i := 0; i < 4; i++ {
		for id, n := range g.nodes {
			msgs, outs := n.Process(g.clock[id])
			g.outcomes[id] = append(g.outcomes[id], outs...)
			for _, m := range msgs {
				if g.partitioned[m.GetFrom()] || g.partitioned[m.GetTo()] || g.rng.Float64() < g.drop {
					continue
				}
				g.queue = append(g.queue, m)
			}
		}
		q := g.queue
		g.queue = nil
		for _, m := range q {
			if err := g.nodes[m.GetTo()].Step(m); err != nil {
				g.t.Fatal(err)
			}
		}
	}
}

func (g *group) leader() uint64 {
	for id, n := range g.nodes {
		if !g.partitioned[id] && n.Leader() == id {
			return id
		}
	}
	return 0
}

func (g *group) runUntil(what string, limit int, ok func() bool) {
	for i := 0; i < limit; i++ {
		if ok() {
			return
		}
		g.round()
	}
	g.t.Fatalf("no %s within %d rounds", what, limit)
}

// propose proposes an entry at the leader and waits for the outcome.
func (g *group) propose(e leases.Entry) leases.Result {
	var lead uint64
	g.runUntil("leader", 100, func() bool { lead = g.leader(); return lead != 0 })
	p, err := g.nodes[lead].Propose(g.clock[lead], e)
	if err != nil {
		g.t.Fatalf("propose at %d: %v", lead, err)
	}
	var res *leases.Result
	g.runUntil("outcome", 100, func() bool {
		for _, o := range g.outcomes[lead] {
			if o.Proposal == p {
				r := o.Result
				res = &r
			}
		}
		return res != nil
	})
	return *res
}

func TestLeaseSurvivesLeaderChange(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := newGroup(t, seed, 0.1)
			acquire := func(holder string) leases.Entry {
				return leases.Entry{Op: leases.Acquire, Name: "scout", Holder: holder, TTL: 2 * time.Second}
			}
			first := g.propose(acquire("n1"))
			if !first.Granted {
				t.Fatalf("seed %d: first acquire was not granted: %+v", seed, first)
			}
			if r := g.propose(acquire("n2")); !errors.Is(r.Err, leases.ErrHeld) {
				t.Fatalf("seed %d: acquire of a held lease: %+v, want ErrHeld", seed, r)
			}
			// Partition the leader: a new one extends the lease to its full time to live.
			old := g.leader()
			g.partitioned[old] = true
			g.runUntil("new leader", 200, func() bool { l := g.leader(); return l != 0 && l != old })
			start := g.rounds
			var second leases.Result
			for i := 0; i < 60; i++ {
				second = g.propose(acquire("n2"))
				if second.Granted {
					break
				}
				g.round()
			}
			if !second.Granted || second.Lease.Token <= first.Lease.Token {
				t.Fatalf("seed %d: acquire under the new leader: %+v (first token %d)", seed, second, first.Lease.Token)
			}
			// The lease must last for its full time to live after the new term's stamp: 2 s at 100 ms a round.
			if waited := g.rounds - start; waited < 19 {
				t.Fatalf("seed %d: granted to another holder %d rounds after the new leader, want at least 19", seed, waited)
			}
			// Every connected voter applies the same grant.
			g.runUntil("agreement of the voters", 100, func() bool {
				for id, n := range g.nodes {
					if g.partitioned[id] {
						continue
					}
					if l, ok := n.Machine().Holder("scout", n.Machine().Leases()[0].Expiry-1); !ok || l.Token != second.Lease.Token {
						return false
					}
				}
				return true
			})
		})
	}
}

func TestProposeAtFollower(t *testing.T) {
	g := newGroup(t, 1, 0)
	g.runUntil("leader", 100, func() bool { return g.leader() != 0 })
	for id, n := range g.nodes {
		if id == g.leader() {
			continue
		}
		_, err := n.Propose(0, leases.Entry{Op: leases.Acquire, Name: "x", Holder: "a", TTL: time.Second})
		var nl ErrNotLeader
		if !errors.As(err, &nl) || nl.Leader != g.leader() {
			t.Fatalf("propose at follower %d: error %v, want ErrNotLeader with the leader", id, err)
		}
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	for _, c := range []Config{{ID: 0, Voters: []uint64{1}}, {ID: 4, Voters: []uint64{1, 2, 3}}, {ID: 1 << 16,
		Voters: []uint64{1 << 16}}} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}

func TestDeposedLeaderDropsProposals(t *testing.T) {
	g := newGroup(t, 3, 0)
	g.runUntil("leader", 100, func() bool { return g.leader() != 0 })
	old := g.leader()
	g.partitioned[old] = true
	for i := 0; i < 10; i++ {
		if _, err := g.nodes[old].Propose(g.clock[old], leases.Entry{Op: leases.Acquire, Name: fmt.Sprint("t", i),
			Holder: "a", TTL: time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	g.runUntil("new leader", 200, func() bool { l := g.leader(); return l != 0 && l != old })
	g.partitioned[old] = false
	g.runUntil("new leader at the deposed one", 200, func() bool { return g.nodes[old].Leader() != old && g.nodes[old].Leader() != 0 })
	if n := g.nodes[old].Pending(); n != 0 {
		t.Fatalf("deposed leader keeps %d pending proposals, want 0", n)
	}
}

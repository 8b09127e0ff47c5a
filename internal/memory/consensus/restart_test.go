package consensus

import (
	"errors"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"yokemast/internal/control/leases"
)

// kept stands in for the disk: what Keep was given, as raftlog would load it.
type kept struct{ s *raft.MemoryStorage }

func (k *kept) keep(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	if !raft.IsEmptyHardState(hard) {
		if err := k.s.SetHardState(hard); err != nil {
			return err
		}
	}
	return k.s.Append(entries)
}

func keptGroup(t *testing.T, seed uint64) (*group, map[uint64]*kept) {
	g := newGroup(t, seed, 0.05)
	disks := map[uint64]*kept{}
	for id := uint64(1); id <= 3; id++ {
		disks[id] = &kept{s: raft.NewMemoryStorage()}
		n, err := New(Config{ID: id, Voters: []uint64{1, 2, 3}, Persist: disks[id].keep})
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[id] = n
	}
	return g, disks
}

func TestAVoterRejoinsFromWhatItKept(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		g, disks := keptGroup(t, seed)
		first := g.ask(leases.Entry{Op: leases.Acquire, Name: "scout", Holder: "n1", TTL: time.Minute})
		if !first.Granted {
			t.Fatalf("seed %d: %+v", seed, first)
		}
		// the leader dies and comes back from its disk
		old := g.leader()
		g.down[old] = true
		g.until("a new leader", 200, func() bool { l := g.leader(); return l != 0 && l != old })
		second := g.ask(leases.Entry{Op: leases.Acquire, Name: "other", Holder: "n2", TTL: time.Minute})
		if !second.Granted {
			t.Fatalf("seed %d: %+v", seed, second)
		}
		n, err := New(Config{ID: old, Voters: []uint64{1, 2, 3}, Storage: disks[old].s, Restart: true,
			Persist: disks[old].keep})
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[old] = n
		g.down[old] = false
		g.until("the voter has applied both grants", 300, func() bool {
			a, okA := n.Machine().Holder("scout", 0)
			b, okB := n.Machine().Holder("other", 0)
			return okA && okB && a.Token == first.Lease.Token && b.Token == second.Lease.Token
		})
	}
}

func TestAVoterWhoseDiskFailsStopsSpeaking(t *testing.T) {
	g := newGroup(t, 1, 0)
	full := errors.New("no space left on device")
	n, err := New(Config{ID: 1, Voters: []uint64{1, 2, 3}, Persist: func(*raftpb.HardState, []*raftpb.Entry) error {
		return full
	}})
	if err != nil {
		t.Fatal(err)
	}
	g.nodes[1] = n
	g.until("a leader among the others", 200, func() bool { l := g.leader(); return l == 2 || l == 3 })
	if msgs, _ := n.Process(0); len(msgs) != 0 || !errors.Is(n.Err(), full) {
		t.Fatalf("a voter that cannot keep sent %d messages; err %v", len(msgs), n.Err())
	}
}

package consensus

import (
	"errors"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"yokemast/internal/control/leases"
)

// fakeDisk replaces the disk: it stores the persisted state as raftlog would load it.
type fakeDisk struct{ storage *raft.MemoryStorage }

func (d *fakeDisk) persist(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	if !raft.IsEmptyHardState(hard) {
		if err := d.storage.SetHardState(hard); err != nil {
			return err
		}
	}
	return d.storage.Append(entries)
}

// newPersistentGroup returns a group whose nodes persist their state, and its disks by node ID.
func newPersistentGroup(t *testing.T, seed uint64) (*group, map[uint64]*fakeDisk) {
	g := newGroup(t, seed, 0.05)
	disks := map[uint64]*fakeDisk{}
	for id := uint64(1); id <= 3; id++ {
		disks[id] = &fakeDisk{storage: raft.NewMemoryStorage()}
		n, err := New(Config{ID: id, Voters: []uint64{1, 2, 3}, Persist: disks[id].persist})
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[id] = n
	}
	return g, disks
}

func TestVoterRestartsFromDisk(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		g, disks := newPersistentGroup(t, seed)
		first := g.propose(leases.Entry{Op: leases.Acquire, Name: "scout", Holder: "n1", TTL: time.Minute})
		if !first.Granted {
			t.Fatalf("seed %d: %+v", seed, first)
		}
		// The leader crashes and restarts from its disk.
		old := g.leader()
		g.partitioned[old] = true
		g.runUntil("new leader", 200, func() bool { l := g.leader(); return l != 0 && l != old })
		second := g.propose(leases.Entry{Op: leases.Acquire, Name: "other", Holder: "n2", TTL: time.Minute})
		if !second.Granted {
			t.Fatalf("seed %d: %+v", seed, second)
		}
		n, err := New(Config{ID: old, Voters: []uint64{1, 2, 3}, Storage: disks[old].storage, Restart: true,
			Persist: disks[old].persist})
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[old] = n
		g.partitioned[old] = false
		g.runUntil("application of both grants at the restarted voter", 300, func() bool {
			a, okA := n.Machine().Holder("scout", 0)
			b, okB := n.Machine().Holder("other", 0)
			return okA && okB && a.Token == first.Lease.Token && b.Token == second.Lease.Token
		})
	}
}

func TestVoterStopsSendingWhenDiskFails(t *testing.T) {
	g := newGroup(t, 1, 0)
	full := errors.New("no space left on device")
	n, err := New(Config{ID: 1, Voters: []uint64{1, 2, 3}, Persist: func(*raftpb.HardState, []*raftpb.Entry) error {
		return full
	}})
	if err != nil {
		t.Fatal(err)
	}
	g.nodes[1] = n
	g.runUntil("leader among the other voters", 200, func() bool { l := g.leader(); return l == 2 || l == 3 })
	if msgs, _ := n.Process(0); len(msgs) != 0 || !errors.Is(n.Err(), full) {
		t.Fatalf("voter with a full disk sent %d messages, want 0; error %v", len(msgs), n.Err())
	}
}

// Package consensus is the one place that drives the consensus library, go.etcd.io/raft/v3, for the fleet's leases.
// A Node holds a raft RawNode, its storage in memory and the lease machine that its committed entries are applied
// to. It starts no goroutine, reads no clock and touches no socket: the caller ticks it, steps it with what peers
// sent, and sends what Process hands back, so a test can replay any order of events.
//
// Only a leader proposes: it stamps each entry with its term and its own monotonic clock (see package leases), and a
// new leader proposes a stamp first. A follower answers a proposal with ErrNotLeader and the leader it knows of.
package consensus

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yokemast/internal/control/leases"
)

// Config says who a node is and how fast it decides. Ticks are the caller's: ElectionTicks·tick is the election
// timeout (10 ticks of 100 ms: 1 s), HeartbeatTicks·tick the leader's beat.
type Config struct {
	ID             uint64   // 1 or more, unique among the voters
	Voters         []uint64 // this node's ID among them
	ElectionTicks  int      // default 10
	HeartbeatTicks int      // default 1

	// Storage is what a voter kept before it stopped (package raftlog loads it), with Restart set; nil for a new
	// voter, which is bootstrapped with Voters.
	Storage *raft.MemoryStorage
	Restart bool
	// Persist makes the hard state and new entries survive a crash; it returns once they are on disk, and Process
	// sends nothing before. Nil keeps them in memory only: such a voter must never come back under its ID, as it
	// would have forgotten its vote.
	Persist func(hard *raftpb.HardState, entries []*raftpb.Entry) error
}

// ErrNotLeader is what Propose says on a node that does not lead; Leader names the one it knows of (0: none).
type ErrNotLeader struct{ Leader uint64 }

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader; leader %d", e.Leader) }

// ErrBusy is what Propose says while too many proposals wait to be committed.
var ErrBusy = errors.New("too many proposals in flight")

// maxPending bounds proposals not yet applied: each waits for a quorum, and a leader cut off from it would gather
// them without end.
const maxPending = 4096

// Outcome is an applied entry that this node proposed.
type Outcome struct {
	Proposal uint64
	Index    uint64
	Entry    leases.Entry
	Result   leases.Result
}

// Node is one voter. It is not safe for concurrent use.
type Node struct {
	id      uint64
	raw     *raft.RawNode
	storage *raft.MemoryStorage
	machine leases.Machine
	seq     uint64
	pending map[uint64]bool
	pendAt  uint64 // the term in which the pending proposals were made
	lead    uint64
	stamped uint64 // the term in which this node last proposed its stamp
	bad     uint64 // committed entries that were no lease entry
	keep    func(*raftpb.HardState, []*raftpb.Entry) error
	broken  error // a Keep that failed: the node sends nothing more
}

// New starts a voter of a new group.
func New(cfg Config) (*Node, error) {
	if cfg.ID == 0 || cfg.ID >= 1<<16 {
		return nil, fmt.Errorf("consensus node id %d not within [1, 65535]", cfg.ID)
	}
	found := false
	peers := make([]raft.Peer, 0, len(cfg.Voters))
	for _, v := range cfg.Voters {
		found = found || v == cfg.ID
		peers = append(peers, raft.Peer{ID: v})
	}
	if !found {
		return nil, fmt.Errorf("consensus node %d is not among the voters %v", cfg.ID, cfg.Voters)
	}
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = 10
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = 1
	}
	storage := cfg.Storage
	if storage == nil {
		if cfg.Restart {
			return nil, fmt.Errorf("consensus node %d: a restart without storage", cfg.ID)
		}
		storage = raft.NewMemoryStorage()
	}
	raw, err := raft.NewRawNode(&raft.Config{
		ID:              cfg.ID,
		ElectionTick:    cfg.ElectionTicks,
		HeartbeatTick:   cfg.HeartbeatTicks,
		Storage:         storage,
		MaxSizePerMsg:   64 << 10,
		MaxInflightMsgs: 64,
		CheckQuorum:     true, // a leader cut off from a quorum steps down, so it stops answering as leader
		PreVote:         true, // a voter that was cut off does not depose a working leader when it returns
		// only a leader stamps entries with its clock; a follower's proposal would carry none
		DisableProposalForwarding: true,
		Logger:                    silent{},
	})
	if err != nil {
		return nil, fmt.Errorf("consensus node %d: %w", cfg.ID, err)
	}
	if !cfg.Restart {
		if err := raw.Bootstrap(peers); err != nil {
			return nil, fmt.Errorf("consensus node %d: bootstrap: %w", cfg.ID, err)
		}
	}
	return &Node{id: cfg.ID, raw: raw, storage: storage, pending: make(map[uint64]bool), keep: cfg.Persist}, nil
}

// Tick moves the node's logical clock one tick on.
func (n *Node) Tick() { n.raw.Tick() }

// Step takes a message that a peer sent.
func (n *Node) Step(m *raftpb.Message) error {
	if m.GetTo() != n.id {
		return fmt.Errorf("message for %d at node %d", m.GetTo(), n.id)
	}
	if err := n.raw.Step(m); err != nil {
		return fmt.Errorf("consensus node %d: step %v from %d: %w", n.id, m.GetType(), m.GetFrom(), err)
	}
	return nil
}

// Propose asks for an entry to be committed, stamped with this leader's term and now (its monotonic clock). The
// outcome comes from a later Process with the proposal number returned.
func (n *Node) Propose(now time.Duration, e leases.Entry) (uint64, error) {
	st := n.raw.BasicStatus()
	if st.RaftState != raft.StateLeader {
		return 0, ErrNotLeader{Leader: st.Lead}
	}
	if st.GetTerm() != n.pendAt {
		n.forget(st.GetTerm())
	}
	if len(n.pending) >= maxPending {
		return 0, ErrBusy
	}
	e.Term, e.Now = st.GetTerm(), now
	if err := e.Check(); err != nil {
		return 0, err
	}
	n.seq++
	p := n.id<<48 | n.seq
	if err := n.raw.Propose(leases.Encode(nil, p, e)); err != nil {
		return 0, fmt.Errorf("consensus node %d: propose: %w", n.id, err)
	}
	n.pending[p] = true
	return p, nil
}

// Process handles what the library has ready: it keeps entries, applies committed ones to the lease machine and
// gives the messages to send and the outcomes of this node's proposals. A node that has just become leader proposes
// its stamp here.
func (n *Node) Process(now time.Duration) (msgs []*raftpb.Message, outs []Outcome) {
	for n.broken == nil && n.raw.HasReady() {
		rd := n.raw.Ready()
		if rd.SoftState != nil {
			n.lead = rd.SoftState.Lead
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			_ = n.storage.ApplySnapshot(rd.Snapshot) // from the leader; the machine's part is not sent yet
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			_ = n.storage.SetHardState(rd.HardState)
		}
		_ = n.storage.Append(rd.Entries)
		if n.keep != nil {
			if err := n.keep(rd.HardState, rd.Entries); err != nil {
				// guards against a vote or an entry that a peer counts on but this voter would forget: with the
				// disk gone (full, failing) it stops speaking
				n.broken = fmt.Errorf("consensus node %d: keep: %w", n.id, err)
				return nil, outs
			}
		}
		msgs = append(msgs, rd.Messages...)
		for _, ent := range rd.CommittedEntries {
			outs = n.apply(ent, outs)
		}
		n.raw.Advance(rd)
	}
	st := n.raw.BasicStatus()
	if st.GetTerm() != n.pendAt {
		n.forget(st.GetTerm())
	}
	if n.broken == nil && st.RaftState == raft.StateLeader && n.stamped != st.GetTerm() {
		n.stamped = st.GetTerm()
		if _, err := n.Propose(now, leases.Entry{Op: leases.Stamp}); err == nil {
			m, o := n.Process(now)
			msgs, outs = append(msgs, m...), append(outs, o...)
		}
	}
	return msgs, outs
}

// forget drops the proposals of an older term. Guards against a leader that was deposed filling its table with
// proposals that will never be answered, and then refusing every new one with ErrBusy; one that is committed all the
// same is applied but not answered, and its proposer asks again after its own time-out.
func (n *Node) forget(term uint64) {
	clear(n.pending)
	n.pendAt = term
}

// Pending counts proposals waiting for their outcome.
func (n *Node) Pending() int { return len(n.pending) }

func (n *Node) apply(ent *raftpb.Entry, outs []Outcome) []Outcome {
	switch ent.GetType() {
	case raftpb.EntryType_EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(ent.GetData(), cc); err == nil {
			n.raw.ApplyConfChange(cc)
		}
		return outs
	case raftpb.EntryType_EntryNormal:
		if len(ent.GetData()) == 0 {
			return outs // a new leader's empty entry
		}
	default:
		return outs
	}
	p, e, err := leases.Decode(ent.GetData())
	if err != nil {
		// the index must still be used up, so that tokens stay the log's indexes at every voter alike
		n.bad++
		n.machine.Apply(ent.GetIndex(), leases.Entry{})
		return outs
	}
	res := n.machine.Apply(ent.GetIndex(), e)
	if n.pending[p] {
		delete(n.pending, p)
		outs = append(outs, Outcome{Proposal: p, Index: ent.GetIndex(), Entry: e, Result: res})
	}
	return outs
}

// Leader is the leader this node knows of; 0 for none.
func (n *Node) Leader() uint64 { return n.lead }

// Term is the node's present term.
func (n *Node) Term() uint64 { return n.raw.BasicStatus().GetTerm() }

// Machine is the lease machine as this node has applied it; it must not be changed.
func (n *Node) Machine() *leases.Machine { return &n.machine }

// Err is why the node stopped speaking: its Keep failed. Nil while it works.
func (n *Node) Err() error { return n.broken }

// Bad counts committed entries that were no lease entry.
func (n *Node) Bad() uint64 { return n.bad }

// silent keeps the library's log out of the gateway's: events that matter are the caller's to log.
type silent struct{}

func (silent) Debug(...interface{})            {}
func (silent) Debugf(string, ...interface{})   {}
func (silent) Error(...interface{})            {}
func (silent) Errorf(string, ...interface{})   {}
func (silent) Info(...interface{})             {}
func (silent) Infof(string, ...interface{})    {}
func (silent) Warning(...interface{})          {}
func (silent) Warningf(string, ...interface{}) {}
func (silent) Fatal(v ...interface{})          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...interface{}) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...interface{})            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...interface{}) { panic(fmt.Sprintf(f, v...)) }

// Package consensus runs the raft group of the fleet's leases on the library go.etcd.io/raft/v3. A Node
// combines a raft RawNode, its storage in memory and the lease machine to which committed entries are
// applied. It starts no goroutine, reads no clock and uses no socket: the caller calls Tick, passes messages
// of peers to Step, and sends the messages returned by Process, so that tests can replay any order of events.
//
// Only a leader proposes entries. It stamps each one with its term and its monotonic clock (see package
// leases), and a new leader proposes a Stamp first. On a follower, Propose returns ErrNotLeader with the
// leader that it knows of.
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

// Config is the configuration of a Node. The caller chooses the length of a tick: ElectionTicks·tick is the
// election timeout (10 ticks of 100 ms: 1 s), HeartbeatTicks·tick the interval of the leader's heartbeats.
type Config struct {
	ID             uint64   // from 1 to 65535, unique among the voters
	Voters         []uint64 // IDs of all voters, including this node
	ElectionTicks  int      // default 10
	HeartbeatTicks int      // default 1

	// Storage is the persisted state of a restarted voter (package raftlog loads it), with Restart set, or
	// nil for a new voter, which is bootstrapped with Voters.
	Storage *raft.MemoryStorage
	Restart bool
	// Persist persists the hard state and new entries and returns once they are on disk; Process returns no
	// message before. If it is nil, they are in memory only, and the voter must never restart under the same
	// ID, as it has lost its vote.
	Persist func(hard *raftpb.HardState, entries []*raftpb.Entry) error
}

// ErrNotLeader is returned by Propose on a node that is not the leader. Leader is the ID of the leader that
// the node knows of, or 0 if it knows of none.
type ErrNotLeader struct{ Leader uint64 }

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader; leader %d", e.Leader) }

// ErrBusy is returned by Propose while too many proposals wait to be committed.
var ErrBusy = errors.New("too many proposals in flight")

// maxPending is the maximum number of proposals that are not applied yet. Each of them waits for a quorum, so
// a leader partitioned from the quorum would accumulate them without limit.
const maxPending = 4096

// Outcome is the result of an applied entry that this node proposed.
type Outcome struct {
	Proposal uint64
	Index    uint64
	Entry    leases.Entry
	Result   leases.Result
}

// Node is one voter. It is not safe for concurrent use.
type Node struct {
	id          uint64
	raw         *raft.RawNode
	storage     *raft.MemoryStorage
	machine     leases.Machine
	seq         uint64
	pending     map[uint64]bool
	pendingTerm uint64 // term of the pending proposals
	leader      uint64
	stampedTerm uint64 // term in which this node last proposed a Stamp
	malformed   uint64 // number of committed entries that could not be decoded
	persist     func(*raftpb.HardState, []*raftpb.Entry) error
	persistErr  error // error of persisting the state, after which the node sends nothing more
}

// New returns a voter of a new group, or a restarted one.
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
			return nil, fmt.Errorf("consensus node %d: restart without storage", cfg.ID)
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
		CheckQuorum:     true, // a leader partitioned from a quorum steps down and stops answering as leader
		PreVote:         true, // a voter that was partitioned does not depose a working leader when it returns
		// Entries are stamped with the clock of the leader that proposes them; a forwarded proposal has no
		// stamp.
		DisableProposalForwarding: true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("consensus node %d: %w", cfg.ID, err)
	}
	if !cfg.Restart {
		if err := raw.Bootstrap(peers); err != nil {
			return nil, fmt.Errorf("consensus node %d: bootstrap: %w", cfg.ID, err)
		}
	}
	return &Node{id: cfg.ID, raw: raw, storage: storage, pending: make(map[uint64]bool), persist: cfg.Persist}, nil
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() { n.raw.Tick() }

// Step handles a message from a peer.
func (n *Node) Step(m *raftpb.Message) error {
	if m.GetTo() != n.id {
		return fmt.Errorf("message for node %d received by node %d", m.GetTo(), n.id)
	}
	if err := n.raw.Step(m); err != nil {
		return fmt.Errorf("consensus node %d: step %v from %d: %w", n.id, m.GetType(), m.GetFrom(), err)
	}
	return nil
}

// Propose proposes an entry, stamped with this leader's term and now, the time of its monotonic clock. It
// returns the number of the proposal; a later Process returns the outcome with that number.
func (n *Node) Propose(now time.Duration, e leases.Entry) (uint64, error) {
	st := n.raw.BasicStatus()
	if st.RaftState != raft.StateLeader {
		return 0, ErrNotLeader{Leader: st.Lead}
	}
	if st.GetTerm() != n.pendingTerm {
		n.dropPending(st.GetTerm())
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

// Process handles the library's Ready batches: it persists entries, applies committed ones to the lease
// machine, and returns the messages to send and the outcomes of this node's proposals. A node that has just
// become leader proposes its Stamp here.
func (n *Node) Process(now time.Duration) (msgs []*raftpb.Message, outs []Outcome) {
	for n.persistErr == nil && n.raw.HasReady() {
		rd := n.raw.Ready()
		if rd.SoftState != nil {
			n.leader = rd.SoftState.Lead
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			_ = n.storage.ApplySnapshot(rd.Snapshot) // does not contain the state of the lease machine yet
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			_ = n.storage.SetHardState(rd.HardState)
		}
		_ = n.storage.Append(rd.Entries)
		if n.persist != nil {
			if err := n.persist(rd.HardState, rd.Entries); err != nil {
				// With a full or failing disk the node stops sending: peers would rely on a vote or an entry
				// that it loses in a restart.
				n.persistErr = fmt.Errorf("consensus node %d: persist: %w", n.id, err)
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
	if st.GetTerm() != n.pendingTerm {
		n.dropPending(st.GetTerm())
	}
	if n.persistErr == nil && st.RaftState == raft.StateLeader && n.stampedTerm != st.GetTerm() {
		n.stampedTerm = st.GetTerm()
		if _, err := n.Propose(now, leases.Entry{Op: leases.Stamp}); err == nil {
			m, o := n.Process(now)
			msgs, outs = append(msgs, m...), append(outs, o...)
		}
	}
	return msgs, outs
}

// dropPending drops the pending proposals of an older term. Otherwise a deposed leader would accumulate
// proposals without an outcome, and would then refuse all new ones with ErrBusy. If a dropped proposal is
// committed after all, it is applied without an outcome, and the requester retries after its timeout.
func (n *Node) dropPending(term uint64) {
	clear(n.pending)
	n.pendingTerm = term
}

// Pending returns the number of proposals without an outcome yet.
func (n *Node) Pending() int { return len(n.pending) }

// apply applies a committed entry and appends its outcome to outs if this node proposed it.
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
			return outs // the empty entry with which a leader starts its term
		}
	default:
		return outs
	}
	p, e, err := leases.Decode(ent.GetData())
	if err != nil {
		// Apply an empty entry, which is refused, so that the machine's applied index follows the log at
		// every voter.
		n.malformed++
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

// Leader returns the ID of the leader that this node knows of, or 0 if it knows of none.
func (n *Node) Leader() uint64 { return n.leader }

// Term returns the node's current term.
func (n *Node) Term() uint64 { return n.raw.BasicStatus().GetTerm() }

// Machine returns the node's lease machine, which the caller must not change.
func (n *Node) Machine() *leases.Machine { return &n.machine }

// Err returns the error of persisting the state that stopped the node, or nil while the node works.
func (n *Node) Err() error { return n.persistErr }

// Malformed returns the number of committed entries that could not be decoded.
func (n *Node) Malformed() uint64 { return n.malformed }

// discardLogger discards the log of the library; the caller logs the relevant events.
type discardLogger struct{}

func (discardLogger) Debug(...interface{})            {}
func (discardLogger) Debugf(string, ...interface{})   {}
func (discardLogger) Error(...interface{})            {}
func (discardLogger) Errorf(string, ...interface{})   {}
func (discardLogger) Info(...interface{})             {}
func (discardLogger) Infof(string, ...interface{})    {}
func (discardLogger) Warning(...interface{})          {}
func (discardLogger) Warningf(string, ...interface{}) {}
func (discardLogger) Fatal(v ...interface{})          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...interface{}) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...interface{})            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...interface{}) { panic(fmt.Sprintf(f, v...)) }

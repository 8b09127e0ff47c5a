package lifecycle

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/internal/control/leases"
	"yokemast/internal/disk/raftlog"
	"yokemast/internal/memory/consensus"
	"yokemast/internal/wire/fleet"
)

// LeaseVoter says how one voter of the fleet's leases runs, and which task it holds a lease for. It is not started by
// `serve`: on this platform gateways may send each other only datagrams of 256 bytes.
type LeaseVoter struct {
	ID       uint64
	Peers    map[uint64]string // the address at which to reach each other voter
	Listen   string            // where the others reach this one
	Dir      string            // for the log; "" keeps it in memory, and the voter must not come back under its ID
	Tick     time.Duration     // 100 ms: an election after 10 ticks
	Lease    leases.HolderConfig
	Task     string        // the lease's name
	Resource string        // where acts under the lease go, as fleet frames of kind KindAct
	ActEvery time.Duration // how often the holder acts
	// ClockRate is how fast this voter's lease clock runs against true time, for proving that the margin covers
	// drift: 1 (or 0) in use; the proof sets one voter within the drift bound and one beyond it.
	ClockRate float64
	// History logs each request for the lease and its answer ("lease request"), with the wall time of its sending
	// and of its answer, for a linearizability check of the lease; about ten lines a second a voter.
	History bool
}

// voterCounts are what a voter counts, logged every 10 s and at its end.
type voterCounts struct {
	grants, losses, leaders, refusedFrames, refusedAsks, acts, lostRequests uint64
}

func (n voterCounts) fields() []zap.Field {
	return []zap.Field{zap.Uint64("grants", n.grants), zap.Uint64("losses", n.losses),
		zap.Uint64("leader_changes", n.leaders), zap.Uint64("refused_frames", n.refusedFrames),
		zap.Uint64("refused_asks", n.refusedAsks), zap.Uint64("acts", n.acts),
		zap.Uint64("unanswered_requests", n.lostRequests)}
}

// request is one request for the lease on its way: its sending on the lease clock and on the wall, and what it asked.
type request struct {
	sent time.Duration
	wall int64 // Unix ns
	e    leases.Entry
}

// answer is the voters' answer to an ask: the asker's proposal, then 1 byte granted or held (1) or not (0), then the
// token.
const answerSize = 8 + 1 + 8

type ask struct {
	from     uint64
	proposal uint64
}

// RunLeaseVoter runs a voter until ctx ends.
func RunLeaseVoter(ctx context.Context, c LeaseVoter, log *zap.Logger) error {
	hold, err := leases.NewHolding(c.Lease)
	if err != nil {
		return err
	}
	voters := []uint64{c.ID}
	for id := range c.Peers {
		voters = append(voters, id)
	}
	ncfg := consensus.Config{ID: c.ID, Voters: voters}
	if c.Dir != "" {
		disk, err := raftlog.Open(c.Dir + "/raft.db")
		if err != nil {
			return err
		}
		defer disk.Close()
		st, fresh, err := disk.Load()
		if err != nil {
			return err
		}
		ncfg.Storage, ncfg.Restart, ncfg.Persist = st, !fresh, disk.Save
	}
	node, err := consensus.New(ncfg)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return fmt.Errorf("lease voter %d: %w", c.ID, err)
	}
	g, ctx := errgroup.WithContext(ctx)
	in := make(chan fleet.Frame, 1024)
	members := func(id uint16) bool { _, ok := c.Peers[uint64(id)]; return ok }
	g.Go(func() error { return accept(ctx, ln, members, in, log) })
	out := map[uint64]chan []byte{}
	for id, addr := range c.Peers {
		ch := make(chan []byte, 256)
		out[id] = ch
		g.Go(func() error { dialOut(ctx, addr, ch); return nil })
	}
	acts := make(chan []byte, 64)
	g.Go(func() error { dialOut(ctx, c.Resource, acts); return nil })
	send := func(to uint64, b []byte) {
		select {
		case out[to] <- b:
		default: // a peer that does not read loses frames, as it would on a lossy link
		}
	}
	start, rate := time.Now(), c.ClockRate
	if rate <= 0 {
		rate = 1
	}
	now := func() time.Duration { return time.Duration(float64(time.Since(start)) * rate) }
	var (
		mine    = map[uint64]request{} // local proposals
		asked   = map[uint64]request{} // asks sent to a leader, by their number here
		theirs  = map[uint64]ask{}     // proposals made for another voter's ask
		seq     uint64
		waiting time.Duration = -1 // when the outstanding request was sent
		lead    uint64
		counts  voterCounts
	)
	defer func() { log.Info("lease counters", counts.fields()...) }()
	entry := func() leases.Entry {
		if _, err := hold.Act(now()); err == nil {
			return leases.Entry{Op: leases.Renew, Name: c.Task, Holder: fmt.Sprint(c.ID), Token: hold.Token(),
				TTL: c.Lease.TTL}
		}
		return leases.Entry{Op: leases.Acquire, Name: c.Task, Holder: fmt.Sprint(c.ID), TTL: c.Lease.TTL}
	}
	result := func(r request, granted bool, token uint64) {
		waiting = -1
		if c.History {
			log.Info("lease request", zap.String("lease", c.Task), zap.Bool("renew", r.e.Op == leases.Renew),
				zap.Uint64("asked_token", r.e.Token), zap.Bool("granted", granted), zap.Uint64("token", token),
				zap.Int64("call_ns", r.wall), zap.Int64("return_ns", time.Now().UnixNano()))
		}
		if granted {
			before := hold.Token()
			hold.Granted(r.sent, token)
			if hold.Token() != before {
				counts.grants++
				log.Info("lease granted", zap.String("lease", c.Task), zap.Uint64("token", token))
			}
			return
		}
		if r.e.Op == leases.Renew && r.e.Token == hold.Token() && hold.Until() > 0 {
			counts.losses++
			log.Info("lease lost", zap.String("lease", c.Task), zap.Uint64("token", r.e.Token),
				zap.String("reason", "renewal refused"))
		}
		if r.e.Op == leases.Renew {
			hold.Lost(r.e.Token)
		}
	}
	counting := time.NewTicker(10 * time.Second)
	defer counting.Stop()
	ticker := time.NewTicker(c.Tick)
	defer ticker.Stop()
	acting := time.NewTicker(c.ActEvery)
	defer acting.Stop()
	for {
		select {
		case <-ctx.Done():
			ln.Close()
			return g.Wait()
		case <-counting.C:
			log.Info("lease counters", counts.fields()...)
			continue
		case <-acting.C:
			if tok, err := hold.Act(now()); err == nil {
				// the act carries the wall time of its sending, so that whoever receives it can tell two holders
				// acting at once from a late delivery
				select {
				case acts <- fleet.Append(nil, fleet.KindAct, uint16(c.ID),
					fmt.Appendf(nil, "%s %d %d", c.Task, tok, time.Now().UnixNano())):
					counts.acts++
				default:
				}
			}
			continue
		case f := <-in:
			switch f.Kind {
			case fleet.KindRaft:
				if m, err := fleet.Raft(f); err == nil {
					_ = node.Step(m)
				} else {
					counts.refusedFrames++
					log.Warn("fleet frame refused", zap.Error(err))
				}
			case fleet.KindAsk:
				p, e, err := leases.Decode(f.Payload)
				if err != nil {
					counts.refusedAsks++
					log.Warn("lease ask refused", zap.Uint16("from", f.From), zap.Error(err))
					break
				}
				if mine, err := node.Propose(now(), e); err == nil {
					theirs[mine] = ask{from: uint64(f.From), proposal: p}
				}
			case fleet.KindAnswer:
				if len(f.Payload) != answerSize {
					break
				}
				p := binary.BigEndian.Uint64(f.Payload)
				if r, ok := asked[p]; ok {
					delete(asked, p)
					result(r, f.Payload[8] == 1, binary.BigEndian.Uint64(f.Payload[9:]))
				}
			}
		case <-ticker.C:
			node.Tick()
			t := now()
			if waiting >= 0 && t-waiting > c.Lease.TTL/3 {
				waiting = -1 // the request or its answer was lost
				counts.lostRequests++
			}
			// guards against tables that grow without end with proposals and asks that a change of leader lost
			for _, m := range []map[uint64]request{mine, asked} {
				for p, r := range m {
					if t-r.sent > c.Lease.TTL {
						delete(m, p)
					}
				}
			}
			if len(theirs) > 4096 {
				clear(theirs)
			}
			_, actErr := hold.Act(t)
			if waiting < 0 && (actErr != nil || hold.RenewDue(t)) {
				e := entry()
				r := request{sent: t, wall: time.Now().UnixNano(), e: e}
				if p, err := node.Propose(t, e); err == nil {
					mine[p], waiting = r, t
				} else if nl := (consensus.ErrNotLeader{}); errors.As(err, &nl) && nl.Leader != 0 {
					seq++
					asked[seq], waiting = r, t
					send(nl.Leader, fleet.Append(nil, fleet.KindAsk, uint16(c.ID), leases.Encode(nil, seq, e)))
				}
			}
		}
		msgs, outs := node.Process(now())
		if l := node.Leader(); l != lead {
			counts.leaders++
			log.Info("lease leader", zap.Uint64("leader", l), zap.Uint64("term", node.Term()))
			lead = l
		}
		for _, m := range msgs {
			if b, err := fleet.AppendRaft(nil, m); err == nil {
				send(m.GetTo(), b)
			}
		}
		for _, o := range outs {
			held := o.Result.Err == nil && o.Result.Lease.Holder == o.Entry.Holder
			if r, ok := mine[o.Proposal]; ok {
				delete(mine, o.Proposal)
				result(r, held, o.Result.Lease.Token)
			}
			if a, ok := theirs[o.Proposal]; ok {
				delete(theirs, o.Proposal)
				b := binary.BigEndian.AppendUint64(nil, a.proposal)
				if held {
					b = append(b, 1)
				} else {
					b = append(b, 0)
				}
				b = binary.BigEndian.AppendUint64(b, o.Result.Lease.Token)
				send(a.from, fleet.Append(nil, fleet.KindAnswer, uint16(c.ID), b))
			}
		}
	}
}

func accept(ctx context.Context, ln net.Listener, members func(uint16) bool, in chan<- fleet.Frame,
	log *zap.Logger) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("lease voter: accept: %w", err)
		}
		go func() {
			defer conn.Close()
			r := fleet.NewReader(conn, members)
			for {
				f, err := r.Read()
				if err != nil {
					if errors.Is(err, fleet.ErrFrame) {
						log.Warn("fleet connection ended", zap.Error(err))
					}
					return
				}
				select {
				case in <- f:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

// dialOut writes what comes on ch to addr, dialling again after a failure; what comes while it is down is lost.
func dialOut(ctx context.Context, addr string, ch <-chan []byte) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	var d net.Dialer
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-ch:
			if conn == nil {
				dctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
				c, err := d.DialContext(dctx, "tcp4", addr)
				cancel()
				if err != nil {
					continue
				}
				conn = c
			}
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := conn.Write(b); err != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

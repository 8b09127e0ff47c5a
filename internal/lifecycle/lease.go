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

// LeaseVoter configures one voter of the fleet's leases and the task that it holds a lease for. `serve` does not start
// one: on this platform gateways may send each other only datagrams of 256 bytes.
type LeaseVoter struct {
	ID       uint64
	Peers    map[uint64]string // the addresses of the other voters
	Listen   string            // the address on which the other voters connect
	Dir      string            // directory of the log; if empty, the log is in memory and the voter must not restart under its ID
	Tick     time.Duration     // usually 100 ms; an election starts after 10 ticks
	Lease    leases.HolderConfig
	Task     string        // name of the lease
	Resource string        // address that acts under the lease are sent to, as fleet frames of kind KindAct
	ActEvery time.Duration // how often the holder acts
	// ClockRate is the rate of this voter's lease clock relative to true time. It is 1 (or 0) in production. Tests of the
	// margin set one voter within the drift bound and one beyond it.
	ClockRate float64
	// History logs each request for the lease and its answer ("lease request") with the wall times of both, for a
	// linearizability check of the lease. It adds about ten log lines per second and voter.
	History bool
}

// voterCounts holds the counters of a voter. They are logged every 10 s and at shutdown.
type voterCounts struct {
	grants, losses, leaders, refusedFrames, refusedAsks, acts, lostRequests uint64
}

func (n voterCounts) fields() []zap.Field {
	return []zap.Field{zap.Uint64("grants", n.grants), zap.Uint64("losses", n.losses),
		zap.Uint64("leader_changes", n.leaders), zap.Uint64("refused_frames", n.refusedFrames),
		zap.Uint64("refused_asks", n.refusedAsks), zap.Uint64("acts", n.acts),
		zap.Uint64("unanswered_requests", n.lostRequests)}
}

// request is a pending request for the lease.
type request struct {
	sent      time.Duration // on the lease clock
	wallNanos int64         // time of the send, in Unix ns
	entry     leases.Entry  // what was requested
}

// answerSize is the size in bytes of an answer to an ask: the sequence number that the asker gave it, 1 byte that is 1 if the lease is granted
// or held and 0 otherwise, and the token.
const answerSize = 8 + 1 + 8

// forwardedAsk is an ask of another voter that this voter has proposed.
type forwardedAsk struct {
	from     uint64
	proposal uint64 // the asker's sequence number, not the number of this voter's proposal
}

// RunLeaseVoter runs a voter until ctx is done.
func RunLeaseVoter(ctx context.Context, c LeaseVoter, log *zap.Logger) error {
	holding, err := leases.NewHolding(c.Lease)
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
		default: // frames to a peer that does not read are dropped, as on a lossy link
		}
	}
	start, rate := time.Now(), c.ClockRate
	if rate <= 0 {
		rate = 1
	}
	now := func() time.Duration { return time.Duration(float64(time.Since(start)) * rate) }
	var (
		proposed     = map[uint64]request{}      // own requests proposed by this voter, by proposal
		sentRequests = map[uint64]request{}      // own requests sent to the leader, by sequence number
		forwarded    = map[uint64]forwardedAsk{} // asks of other voters proposed by this voter, by proposal
		seq          uint64
		pendingSince time.Duration = -1 // when the pending request was sent; -1 if there is none
		leader       uint64
		counts       voterCounts
	)
	defer func() { log.Info("lease counters", counts.fields()...) }()
	// nextEntry returns the next request for the lease: a renewal while it is held, otherwise an acquisition.
	nextEntry := func() leases.Entry {
		if _, err := holding.Act(now()); err == nil {
			return leases.Entry{Op: leases.Renew, Name: c.Task, Holder: fmt.Sprint(c.ID), Token: holding.Token(),
				TTL: c.Lease.TTL}
		}
		return leases.Entry{Op: leases.Acquire, Name: c.Task, Holder: fmt.Sprint(c.ID), TTL: c.Lease.TTL}
	}
	// handleResult handles the result of one of this voter's requests.
	handleResult := func(r request, granted bool, token uint64) {
		pendingSince = -1
		if c.History {
			log.Info("lease request", zap.String("lease", c.Task), zap.Bool("renew", r.entry.Op == leases.Renew),
				zap.Uint64("asked_token", r.entry.Token), zap.Bool("granted", granted), zap.Uint64("token", token),
				zap.Int64("call_ns", r.wallNanos), zap.Int64("return_ns", time.Now().UnixNano()))
		}
		if granted {
			before := holding.Token()
			holding.Granted(r.sent, token)
			if holding.Token() != before {
				counts.grants++
				log.Info("lease granted", zap.String("lease", c.Task), zap.Uint64("token", token))
			}
			return
		}
		if r.entry.Op == leases.Renew && r.entry.Token == holding.Token() && holding.Until() > 0 {
			counts.losses++
			log.Info("lease lost", zap.String("lease", c.Task), zap.Uint64("token", r.entry.Token),
				zap.String("reason", "renewal refused"))
		}
		if r.entry.Op == leases.Renew {
			holding.Lost(r.entry.Token)
		}
	}
	countersTicker := time.NewTicker(10 * time.Second)
	defer countersTicker.Stop()
	ticker := time.NewTicker(c.Tick)
	defer ticker.Stop()
	actTicker := time.NewTicker(c.ActEvery)
	defer actTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			ln.Close()
			return g.Wait()
		case <-countersTicker.C:
			log.Info("lease counters", counts.fields()...)
			continue
		case <-actTicker.C:
			if tok, err := holding.Act(now()); err == nil {
				// The act carries the wall time of the send, so that the receiver can distinguish two concurrent holders
				// from a late delivery.
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
				if proposal, err := node.Propose(now(), e); err == nil {
					forwarded[proposal] = forwardedAsk{from: uint64(f.From), proposal: p}
				}
			case fleet.KindAnswer:
				if len(f.Payload) != answerSize {
					break
				}
				p := binary.BigEndian.Uint64(f.Payload)
				if r, ok := sentRequests[p]; ok {
					delete(sentRequests, p)
					handleResult(r, f.Payload[8] == 1, binary.BigEndian.Uint64(f.Payload[9:]))
				}
			}
		case <-ticker.C:
			node.Tick()
			t := now()
			if pendingSince >= 0 && t-pendingSince > c.Lease.TTL/3 {
				pendingSince = -1 // the request or its answer was lost
				counts.lostRequests++
			}
			// Without this, requests that were lost in a change of leader would stay in the maps forever.
			for _, m := range []map[uint64]request{proposed, sentRequests} {
				for p, r := range m {
					if t-r.sent > c.Lease.TTL {
						delete(m, p)
					}
				}
			}
			if len(forwarded) > 4096 {
				clear(forwarded)
			}
			_, actErr := holding.Act(t)
			if pendingSince < 0 && (actErr != nil || holding.RenewDue(t)) {
				e := nextEntry()
				r := request{sent: t, wallNanos: time.Now().UnixNano(), entry: e}
				if p, err := node.Propose(t, e); err == nil {
					proposed[p], pendingSince = r, t
				} else if nl := (consensus.ErrNotLeader{}); errors.As(err, &nl) && nl.Leader != 0 {
					seq++
					sentRequests[seq], pendingSince = r, t
					send(nl.Leader, fleet.Append(nil, fleet.KindAsk, uint16(c.ID), leases.Encode(nil, seq, e)))
				}
			}
		}
		msgs, outcomes := node.Process(now())
		if l := node.Leader(); l != leader {
			counts.leaders++
			log.Info("lease leader", zap.Uint64("leader", l), zap.Uint64("term", node.Term()))
			leader = l
		}
		for _, m := range msgs {
			if b, err := fleet.AppendRaft(nil, m); err == nil {
				send(m.GetTo(), b)
			}
		}
		for _, o := range outcomes {
			held := o.Result.Err == nil && o.Result.Lease.Holder == o.Entry.Holder
			if r, ok := proposed[o.Proposal]; ok {
				delete(proposed, o.Proposal)
				handleResult(r, held, o.Result.Lease.Token)
			}
			if a, ok := forwarded[o.Proposal]; ok {
				delete(forwarded, o.Proposal)
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

// accept reads frames from all connections to ln into in, until ctx is done.
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

// dialOut writes the frames from ch to addr. It connects when there is a frame to write and no connection. A frame is
// dropped if its dial or write fails.
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

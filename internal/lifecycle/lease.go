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
		ncfg.Storage, ncfg.Restart, ncfg.Keep = st, !fresh, disk.Save
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
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	var (
		mine    = map[uint64]time.Duration{} // local proposals: their sending on this clock
		asked   = map[uint64]time.Duration{} // asks sent to a leader, by their number here
		theirs  = map[uint64]ask{}           // proposals made for another voter's ask
		seq     uint64
		waiting time.Duration = -1 // when the outstanding request was sent
		lead    uint64
	)
	entry := func() leases.Entry {
		if _, err := hold.Act(now()); err == nil {
			return leases.Entry{Op: leases.Renew, Name: c.Task, Holder: fmt.Sprint(c.ID), Token: hold.Token(),
				TTL: c.Lease.TTL}
		}
		return leases.Entry{Op: leases.Acquire, Name: c.Task, Holder: fmt.Sprint(c.ID), TTL: c.Lease.TTL}
	}
	result := func(sent time.Duration, granted bool, token uint64, e leases.Entry) {
		waiting = -1
		if granted {
			before := hold.Token()
			hold.Granted(sent, token)
			if hold.Token() != before {
				log.Info("lease granted", zap.String("lease", c.Task), zap.Uint64("token", token))
			}
			return
		}
		if e.Op == leases.Renew {
			hold.Lost(e.Token)
			log.Info("lease lost", zap.String("lease", c.Task), zap.Uint64("token", e.Token))
		}
	}
	ticker := time.NewTicker(c.Tick)
	defer ticker.Stop()
	acting := time.NewTicker(c.ActEvery)
	defer acting.Stop()
	for {
		select {
		case <-ctx.Done():
			ln.Close()
			return g.Wait()
		case <-acting.C:
			if tok, err := hold.Act(now()); err == nil {
				select {
				case acts <- fleet.Append(nil, fleet.KindAct, uint16(c.ID), fmt.Appendf(nil, "%s %d", c.Task, tok)):
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
					log.Warn("fleet frame refused", zap.Error(err))
				}
			case fleet.KindAsk:
				p, e, err := leases.Decode(f.Payload)
				if err != nil {
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
				if sent, ok := asked[p]; ok {
					delete(asked, p)
					result(sent, f.Payload[8] == 1, binary.BigEndian.Uint64(f.Payload[9:]), leases.Entry{})
				}
			}
		case <-ticker.C:
			node.Tick()
			t := now()
			if waiting >= 0 && t-waiting > c.Lease.TTL/3 {
				waiting = -1 // the request or its answer was lost
			}
			// guards against tables that grow without end with proposals and asks that a change of leader lost
			for _, m := range []map[uint64]time.Duration{mine, asked} {
				for p, sent := range m {
					if t-sent > c.Lease.TTL {
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
				if p, err := node.Propose(t, e); err == nil {
					mine[p], waiting = t, t
				} else if nl := (consensus.ErrNotLeader{}); errors.As(err, &nl) && nl.Leader != 0 {
					seq++
					asked[seq], waiting = t, t
					send(nl.Leader, fleet.Append(nil, fleet.KindAsk, uint16(c.ID), leases.Encode(nil, seq, e)))
				}
			}
		}
		msgs, outs := node.Process(now())
		if l := node.Leader(); l != lead {
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
			if sent, ok := mine[o.Proposal]; ok {
				delete(mine, o.Proposal)
				result(sent, held, o.Result.Lease.Token, o.Entry)
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

package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/gossip"
)

// note tells the other gateways how an attempt or a probe ended, and when the host said what it said of its role.
func (x *Exchange) note(n balance.RemoteOutcome, made balance.TimeBounds, rep balance.Report) {
	if x.cfg.Gossip == nil || n.Result == balance.Canceled || n.Result == balance.NotSent {
		return // that is this gateway's own doing and says nothing of the host
	}
	if n.Result == balance.Stale {
		n.Result = balance.OK // the host is well
	}
	now := x.cfg.Clock.Now()
	if n.At = now; made.NotAfter > 0 {
		n.At = made.NotAfter
	}
	if rep.Valid {
		n.Position = max(n.Position, rep.Position)
		if n.Role == balance.Unknown {
			n.Role = rep.Role
		}
	}
	if !x.cfg.Gossip.AddEntry(now, n) {
		x.cfg.Counters.Untold.Add(1)
	}
}

// gossipOffsets are the offsets of this clock for what gateways tell each other.
func (x *Exchange) gossipOffsets() gossip.Offsets {
	b := x.cfg.Clock.Bounds()
	offset := b.At(x.cfg.Clock.Now())
	if !b.HasMin {
		offset.Min = 0
	}
	return gossip.Offsets{Min: offset.Min, Max: offset.Max, Bounded: b.HasMax}
}

// tell sends what is due to the other gateways.
func (x *Exchange) tell(now time.Duration) {
	if x.cfg.Gossip == nil {
		return
	}
	if at, ok := x.cfg.Gossip.Due(); ok && at <= now {
		x.cfg.SendGossip(x.cfg.Gossip.AppendMessage(now, x.gossipOffsets(), nil))
	}
}

// receive hands the module what another gateway tells.
func (x *Exchange) receive(b []byte) {
	if x.cfg.Gossip == nil {
		return
	}
	heard, err := x.cfg.Gossip.Receive(x.cfg.Clock.Now(), x.gossipOffsets(), b, x.heard[:0])
	x.heard = heard
	if err != nil {
		x.cfg.Counters.HeardBad.Add(1)
		x.cfg.Log.Debug("datagram not used", zap.Error(err))
		return
	}
	x.cfg.Counters.Heard.Add(int64(len(heard)))
	for _, n := range heard {
		x.decide(n)
	}
}

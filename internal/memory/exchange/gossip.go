package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/gossip"
)

// note queues a gossip entry with the result of an attempt or a probe, and with the host's statement about its
// role and the time of that statement.
func (x *Exchange) note(n balance.Heard, made balance.Made, rep balance.Report) {
	if x.cfg.Gossip == nil || n.Result == balance.Cancelled || n.Result == balance.NotSent {
		return // caused by this gateway, so it carries no information about the host
	}
	if n.Result == balance.Stale {
		n.Result = balance.OK // the host itself is healthy
	}
	now := x.cfg.Clock.Now()
	if n.At = now; made.NotAfter > 0 {
		n.At = made.NotAfter
	}
	if rep.Has {
		n.Position = max(n.Position, rep.Position)
		if n.Role == balance.Unknown {
			n.Role = rep.Role
		}
	}
	if !x.cfg.Gossip.Note(now, n) {
		x.cfg.Counters.Untold.Add(1)
	}
}

// gossipOffsets returns the offset of the fleet's clock for encoding and decoding gossip messages.
func (x *Exchange) gossipOffsets() gossip.Offsets {
	b := x.cfg.Clock.Bounds()
	offset := b.At(x.cfg.Clock.Now())
	if !b.Told {
		offset.Least = 0
	}
	return gossip.Offsets{Least: offset.Least, Most: offset.Most, Bounded: b.Bounded}
}

// tell sends a gossip message to the other gateways if one is due.
func (x *Exchange) tell(now time.Duration) {
	if x.cfg.Gossip == nil {
		return
	}
	if at, ok := x.cfg.Gossip.Due(); ok && at <= now {
		x.cfg.Tell(x.cfg.Gossip.Datagram(now, x.gossipOffsets(), nil))
	}
}

// receive passes the entries of a gossip message to the module.
func (x *Exchange) receive(b []byte) {
	if x.cfg.Gossip == nil {
		return
	}
	heard, err := x.cfg.Gossip.Receive(x.cfg.Clock.Now(), x.gossipOffsets(), b, x.heard[:0])
	x.heard = heard
	if err != nil {
		x.cfg.Counters.HeardBad.Add(1)
		x.cfg.Log.Debug("invalid gossip message", zap.Error(err))
		return
	}
	x.cfg.Counters.Heard.Add(int64(len(heard)))
	for _, n := range heard {
		x.decide(n)
	}
}

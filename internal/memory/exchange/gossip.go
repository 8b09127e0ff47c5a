package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/gossip"
)

// addGossip queues a gossip entry with the result of an attempt or a probe, and with the host's statement about
// its role and the time of that statement.
func (x *Exchange) addGossip(entry balance.RemoteOutcome, timeBounds balance.TimeBounds, rep balance.Report) {
	if x.cfg.Gossip == nil || entry.Result == balance.Canceled || entry.Result == balance.NotSent {
		return // caused by this gateway, so it carries no information about the host
	}
	switch entry.Result { // into those that the format has
	case balance.Stale:
		entry.Result = balance.OK // the host itself is healthy
	case balance.SetupFailed:
		entry.Result = balance.Failed
	}
	now := x.cfg.Clock.Now()
	if entry.At = now; timeBounds.NotAfter > 0 {
		entry.At = timeBounds.NotAfter
	}
	if rep.Valid {
		entry.Position = max(entry.Position, rep.Position)
		if entry.Role == balance.Unknown {
			entry.Role = rep.Role
		}
	}
	if !x.cfg.Gossip.AddEntry(now, entry) {
		x.cfg.Counters.GossipDropped.Add(1)
	}
}

// gossipOffsets returns the offset of the fleet's clock for encoding and decoding gossip messages.
func (x *Exchange) gossipOffsets() gossip.Offsets {
	b := x.cfg.Clock.Bounds()
	offset := b.At(x.cfg.Clock.Now())
	if !b.HasMin {
		offset.Min = 0
	}
	return gossip.Offsets{Min: offset.Min, Max: offset.Max, Bounded: b.HasMax}
}

// sendGossip sends a gossip message to the other gateways if one is due.
func (x *Exchange) sendGossip(now time.Duration) {
	if x.cfg.Gossip == nil {
		return
	}
	if at, ok := x.cfg.Gossip.Due(); ok && at <= now {
		x.cfg.SendGossip(x.cfg.Gossip.AppendMessage(now, x.gossipOffsets(), nil))
	}
}

// receiveGossip passes the entries of a gossip message to the module.
func (x *Exchange) receiveGossip(b []byte) {
	if x.cfg.Gossip == nil {
		return
	}
	entries, err := x.cfg.Gossip.Receive(x.cfg.Clock.Now(), x.gossipOffsets(), b, x.gossipEntries[:0])
	x.gossipEntries = entries
	if err != nil {
		x.cfg.Counters.GossipInvalid.Add(1)
		x.cfg.Log.Debug("invalid gossip message", zap.Error(err))
		return
	}
	x.cfg.Counters.GossipReceived.Add(int64(len(entries)))
	for _, n := range entries {
		x.decide(n)
	}
}

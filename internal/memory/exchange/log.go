package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
)

// This file holds the event loop's log lines. The lines of one request share its id. The log is sampled: it
// keeps a limited number of lines of each kind a second and counts the rest.

// logGivenUp logs that a request failed or was refused, and why.
func (x *Exchange) logGivenUp(o *pendingRequest, how string, why balance.Reason, bad float64) {
	reason := why.String()
	if o.QuotaRetryAfter > 0 {
		reason = "over its share"
	}
	last := "none"
	if o.attempts > 0 {
		last = o.lastResult.String()
	}
	now := x.cfg.Clock.Now()
	x.cfg.Log.Info("request given up", zap.String("id", o.ID), zap.String("how", how), zap.String("why", reason), zap.String("class", o.Class),
		zap.Int("group", o.Group), zap.Duration("waited", now-o.Arrived), zap.Duration("left", o.deadline-now), zap.Int("attempts", o.attempts),
		zap.String("last", last), zap.Bool("out", o.inFlight), zap.Float64("bad_ends", bad), zap.Int("open", len(x.pending)))
}

// logRejected logs a request that was not passed to the module.
func (x *Exchange) logRejected(r *Request, reason string) {
	x.cfg.Log.Info("request rejected", zap.String("id", r.ID), zap.String("why", reason), zap.String("class", r.Class), zap.Int("group", r.Group))
}

// logStateChange logs a change of a host's listed state and the time until which new requests may be sent to
// the host.
func (x *Exchange) logStateChange(now time.Duration, m Member) {
	old, known := x.listed[m.Server]
	if known && old.State == m.State || !known && m.State == balance.Active {
		return
	}
	fields := []zap.Field{zap.String("host", m.Server), zap.Stringer("state", drainStates[m.State]), zap.Int("group", m.Group)}
	if at, ok := x.sendDeadlines.notifiedAt(m.Server); ok {
		fields = append(fields, zap.Duration("notified_for", now-at), zap.Duration("sends_end_in", x.sendDeadlines.deadline(m.Server)-now))
	}
	x.cfg.Log.Info("host state", fields...)
}

// logAttemptEnded logs an attempt that did not serve its request.
func (x *Exchange) logAttemptEnded(o *pendingRequest, e Outcome) {
	fields := []zap.Field{zap.String("id", o.ID), zap.Int("attempt", e.Attempt), zap.String("host", e.Server),
		zap.Stringer("result", e.Result), zap.Duration("took", e.Took.Round(time.Microsecond)), zap.String("class", o.Class)}
	fields = append(fields, groundsFields(o)...)
	if at, drains := x.sendDeadlines.notifiedAt(e.Server); drains {
		fields = append(fields, zap.Duration("notified_for", x.cfg.Clock.Now()-at))
	}
	x.cfg.Log.Info("attempt ended", fields...)
}

// logPrimaryChange logs that another host, or none, counts as a group's primary, and on what evidence.
func (x *Exchange) logPrimaryChange(c balance.PrimaryChange) {
	x.cfg.Counters.PrimaryChanges.Add(1)
	now := x.cfg.Clock.Now()
	fields := []zap.Field{zap.Int("group", c.Group), zap.String("from", c.From), zap.String("to", c.To), zap.Stringer("source", c.Source),
		zap.String("about", c.Server)}
	for _, age := range []struct {
		name string
		at   time.Duration
	}{{"led_ago", c.PrimaryNotBefore}, {"followed_ago", c.ReplicaNotAfter}, {"started_ago", c.Started}} {
		if age.at > 0 {
			fields = append(fields, zap.Duration(age.name, (now-age.at).Round(time.Microsecond)))
		}
	}
	x.cfg.Log.Info("primary", fields...)
}

// groundsFields returns log fields with the evidence on which an attempt was sent, with ages as of the
// decision.
func groundsFields(o *pendingRequest) []zap.Field {
	g := o.grounds
	if g.Kind == balance.NotNeeded {
		return nil
	}
	fields := []zap.Field{zap.Stringer("grounds", g.Kind), zap.Stringer("grounds_source", g.Source)}
	if g.Position > 0 {
		fields = append(fields, zap.Duration("position_age", (o.sentAt+g.AgeOffset-g.Position).Round(time.Millisecond)))
	}
	if g.PrimaryNotBefore > 0 {
		fields = append(fields, zap.Duration("led_ago", (o.sentAt-g.PrimaryNotBefore).Round(time.Millisecond)))
	}
	return fields
}

// logServed logs the evidence of served reads that may later turn out stale: those that did not rely on a
// position well within the class's bound. Other reads are only counted.
func (x *Exchange) logServed(o *pendingRequest, e Outcome) {
	x.keepTrace(o, e.Server)
	g := o.grounds
	if !g.NeedsPrimary() && (g.SendBy == 0 || g.SendBy-o.sentAt > o.class.Bound/2) {
		return
	}
	fields := []zap.Field{zap.String("id", o.ID), zap.Int("attempt", e.Attempt), zap.String("host", e.Server), zap.String("class", o.Class),
		zap.Duration("took", e.Took.Round(time.Microsecond)), zap.Int64("sent_ms", o.sentAt.Milliseconds())}
	x.cfg.Log.Info("read served", append(fields, groundsFields(o)...)...)
}

// stallThreshold is how long an event may be queued before a stall is logged. Clients notice a delay of this
// length.
const stallThreshold = 100 * time.Millisecond

// logStall logs that events were queued for long, because the process got no CPU time or the handling of an
// event took long.
func (x *Exchange) logStall(batch []queuedEvent) {
	if len(batch) == 0 {
		return
	}
	if waited := x.cfg.Clock.Now() - batch[0].at; waited > stallThreshold {
		x.cfg.Counters.Stalls.Add(1)
		x.cfg.Log.Warn("stalled", zap.Duration("waited", waited.Round(time.Millisecond)), zap.Int("events", len(batch)), zap.Int("open", len(x.pending)))
	}
}

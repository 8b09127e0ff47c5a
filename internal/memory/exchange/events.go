package exchange

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
)

// Whoever looks for what became of a request follows its id through these lines. The log is sampled: of each kind of line it
// takes some a second and counts the rest.

// gaveUp says that a request is given up, and why.
func (x *Exchange) gaveUp(o *open, how string, why balance.Reason, bad float64) {
	reason := why.String()
	if o.QuotaRetryAfter > 0 {
		reason = "over its share"
	}
	last := "none"
	if o.attempts > 0 {
		last = o.last.String()
	}
	now := x.cfg.Clock.Now()
	x.cfg.Log.Info("request given up", zap.String("id", o.ID), zap.String("how", how), zap.String("why", reason), zap.String("class", o.Class),
		zap.Int("group", o.Group), zap.Duration("waited", now-o.Arrived), zap.Duration("left", o.deadline-now), zap.Int("attempts", o.attempts),
		zap.String("last", last), zap.Bool("out", o.out), zap.Float64("bad_ends", bad), zap.Int("open", len(x.open)))
}

// rejected says that a request was never handed to the module.
func (x *Exchange) rejected(r *Request, reason string) {
	x.cfg.Log.Info("request rejected", zap.String("id", r.ID), zap.String("why", reason), zap.String("class", r.Class), zap.Int("group", r.Group))
}

// noteState says that the list tells another state of a host, and until when anything new may be sent to it.
func (x *Exchange) noteState(now time.Duration, m Member) {
	old, known := x.list[m.Server]
	if known && old.State == m.State || !known && m.State == balance.Active {
		return
	}
	fields := []zap.Field{zap.String("host", m.Server), zap.Stringer("state", drainStates[m.State]), zap.Int("group", m.Group)}
	if at, ok := x.bounds.notifiedAt(m.Server); ok {
		fields = append(fields, zap.Duration("notified_for", now-at), zap.Duration("sends_end_in", x.bounds.until(m.Server)-now))
	}
	x.cfg.Log.Info("host state", fields...)
}

// attemptEnded says that an attempt did not serve its request.
func (x *Exchange) attemptEnded(o *open, e Outcome) {
	fields := []zap.Field{zap.String("id", o.ID), zap.Int("attempt", e.Attempt), zap.String("host", e.Server),
		zap.Stringer("result", e.Result), zap.Duration("took", e.Took.Round(time.Microsecond)), zap.String("class", o.Class)}
	fields = append(fields, groundsFields(o)...)
	if at, drains := x.bounds.notifiedAt(e.Server); drains {
		fields = append(fields, zap.Duration("notified_for", x.cfg.Clock.Now()-at))
	}
	x.cfg.Log.Info("attempt ended", fields...)
}

// primaryChanged says that another host counts as a group's primary, or none, and on what evidence.
func (x *Exchange) primaryChanged(c balance.PrimaryChange) {
	x.cfg.Counters.Primaries.Add(1)
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

// groundsFields say on what evidence an attempt went to its host, with ages as of when it was decided on.
func groundsFields(o *open) []zap.Field {
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

// served says on what evidence a read was served that did not rest on a position well inside its bound: those that could be found
// to be stale. Others are only counted.
func (x *Exchange) served(o *open, e Outcome) {
	x.keepTrace(o, e.Server)
	g := o.grounds
	if !g.NeedsPrimary() && (g.SendBy == 0 || g.SendBy-o.sentAt > o.class.Bound/2) {
		return
	}
	fields := []zap.Field{zap.String("id", o.ID), zap.Int("attempt", e.Attempt), zap.String("host", e.Server), zap.String("class", o.Class),
		zap.Duration("took", e.Took.Round(time.Microsecond)), zap.Int64("sent_ms", o.sentAt.Milliseconds())}
	x.cfg.Log.Info("read served", append(fields, groundsFields(o)...)...)
}

// stallFor is how long an event may wait to be handled before the log says so: by then clients notice.
const stallFor = 100 * time.Millisecond

// stall says that what came has waited long: the process got no processor time, or one of its events took long.
func (x *Exchange) stall(batch []posted) {
	if len(batch) == 0 {
		return
	}
	if waited := x.cfg.Clock.Now() - batch[0].at; waited > stallFor {
		x.cfg.Counters.Stalls.Add(1)
		x.cfg.Log.Warn("stalled", zap.Duration("waited", waited.Round(time.Millisecond)), zap.Int("events", len(batch)), zap.Int("open", len(x.open)))
	}
}

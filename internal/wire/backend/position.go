package backend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/settings"
)

const (
	// positionStep is the unit that positions are rounded to.
	positionStep = time.Millisecond
	// maxPosition is the maximum plausible position, as Unix time.
	maxPosition = (1 << 42) * time.Millisecond
)

// observe records the statements of a host in the answer to a query that was sent at the given time of this
// machine's clock, and returns the time bounds of the statements. The answer to a keyed write may be the
// stored answer to an earlier one, including its commit position, so it does not state the present.
func (b *Backend) observe(server string, r *reply, sent time.Duration, keyed bool) balance.TimeBounds {
	clock := b.cfg.Clock
	received := clock.Now()
	clock.Observe(r.observation(server, sent, received, keyed))
	if r.role == balance.Unknown && r.report.Role == balance.Replica {
		b.recordReplica(server)
	}
	// The epoch is read before clock.Earliest converts times below, so those belong to this epoch or a later one.
	statedAt := balance.TimeBounds{NotBefore: sent, NotAfter: received, Epoch: clock.Epoch()}
	if r.role == balance.Primary {
		b.recordPrimary(server)
		// A primary's position is its present time, or, for a write, its commit time rounded up.
		if earliest, ok := clock.Earliest(r.position); ok && !keyed {
			statedAt.NotBefore = max(sent, min(earliest-positionStep, received))
		}
	}
	r.report = withNotBefore(clock, r.report)
	return statedAt
}

// observation returns what the answer proves about the fleet's clock.
func (r *reply) observation(server string, sent, received time.Duration, keyed bool) fleetclock.Observation {
	observation := fleetclock.Observation{Host: server, Position: r.position, Sent: sent, Received: received}
	if r.report.Valid {
		observation.Position = max(observation.Position, r.report.Position)
	}
	// The position that comes with a rejected query may differ from the primary's present time.
	if r.role == balance.Primary && r.result == balance.OK && !keyed {
		observation.PrimaryPosition = r.position
	}
	return observation
}

// minRepeatedAge is the minimum age of an answer relative to its query from which it counts as the repeated
// answer to an earlier query. Two queries on a connection are at least the minimum rest apart; the remaining
// third allows for a host whose clock was read slightly early.
const minRepeatedAge = DefaultMinRest * 2 / 3

// isRepeatedAnswer reports whether an answer is proven to be the repeated answer to an earlier query on the
// same connection.
func (attempt *attempt) isRepeatedAnswer(c *conn, r *reply, sent time.Duration) bool {
	clock := attempt.b.cfg.Clock
	return c.used && clock.Bounds().Predates(r.observation(attempt.Server, sent, clock.Now(), attempt.Keyed), minRepeatedAge)
}

// recordPrimary records that a host has stated in a complete answer that it is the primary.
func (b *Backend) recordPrimary(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[server]; h != nil {
		h.statements.StatedPrimary()
	}
}

// recordReplica records that a host has stated that it is not primary. Attempts that were routed on the
// earlier evidence that it is primary are then no longer sent. If the statement changes what is known, it is
// passed to the decision module at once; otherwise the outcome of the same answer suffices.
func (b *Backend) recordReplica(server string) {
	now := b.cfg.Clock.Now()
	b.mu.Lock()
	h := b.hosts[server]
	changed := h != nil && h.statements.StatedReplica(now)
	b.mu.Unlock()
	if changed {
		b.reporter.Learned(balance.RemoteOutcome{Server: server, Result: balance.OK, Role: balance.Replica, Source: balance.FromPartialAnswer},
			balance.TimeBounds{NotAfter: now, Epoch: b.cfg.Clock.Epoch()}, balance.Report{})
	}
}

// groundsRefuted reports whether the host has stated, since the attempt was routed, that it is not the
// primary that the attempt needs.
func (b *Backend) groundsRefuted(server string, g balance.Grounds) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	return h != nil && h.statements.Refute(g)
}

// withNotBefore returns a load report with the earliest time, by this machine's clock, at which it was made.
// If that is unknown, a statement that the host is primary is dropped; a statement that it is not primary
// counts whenever it was made.
func withNotBefore(clock exchange.Clock, r balance.Report) balance.Report {
	earliest, ok := clock.Earliest(r.Position)
	if r.NotBefore = earliest; !ok && r.Role == balance.Primary {
		r.Role = balance.Unknown
	}
	return r
}

// parseReport parses a load report, with its position by the fleet's clock. It returns an empty report if any
// part cannot be parsed.
func parseReport(s string) balance.Report {
	values := map[string]float64{}
	for field := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if _, twice := values[name]; !ok || twice || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return balance.Report{}
		}
		values[name] = v
	}
	if x0, x1 := values["x0"], values["x1"]; x0 <= 0 || x0 > maxPosition.Seconds() || x1 != 0 && x1 != 1 {
		return balance.Report{}
	}
	return settings.Report(values, 0)
}

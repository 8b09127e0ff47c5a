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
	// positionStep is what positions are rounded to.
	positionStep = time.Millisecond
	// latestPosition bounds positions that make any sense, as Unix time.
	latestPosition = (1 << 42) * time.Millisecond
)

// observe learns from what a host told of itself in an answer to a query sent at a time, by this machine's clock. It says when the
// host made it. The answer to a keyed write may be that of an earlier one, commit and all: it tells no present.
func (b *Backend) observe(server string, r *reply, sent time.Duration, keyed bool) balance.TimeBounds {
	clock := b.cfg.Clock
	received := clock.Now()
	clock.Observe(r.observation(server, sent, received, keyed))
	if r.role == balance.Unknown && r.report.Role == balance.Replica {
		b.followsNow(server)
	}
	made := balance.TimeBounds{NotBefore: sent, NotAfter: received, Epoch: clock.Epoch()} // what is dated below is no older than the epoch
	if r.role == balance.Primary {
		b.leadsNow(server)
		if earliest, ok := clock.Earliest(r.position); ok && !keyed { // a primary's position is the present; of a write, its commit, rounded up
			made.NotBefore = max(sent, min(earliest-positionStep, received))
		}
	}
	r.report = dated(clock, r.report)
	return made
}

// observation is what an answer tells of the fleet's clock.
func (r *reply) observation(server string, sent, received time.Duration, keyed bool) fleetclock.Observation {
	told := fleetclock.Observation{Host: server, Position: r.position, Sent: sent, Received: received}
	if r.report.Valid {
		told.Position = max(told.Position, r.report.Position)
	}
	if r.role == balance.Primary && r.result == balance.OK && !keyed { // of what it turned away its log may stand elsewhere
		told.PrimaryPosition = r.position
	}
	return told
}

// repeatedAge is by how much the answer to an earlier query is older than the next one on its connection, which rests between them;
// the rest of DefaultRest is for a host whose clock is read a little early.
const repeatedAge = DefaultMinRest * 2 / 3

// repeated says that an answer proves to be that to an earlier query on its connection, come once more.
func (t *attempt) repeated(c *conn, r *reply, sent time.Duration) bool {
	clock := t.b.cfg.Clock
	return c.used && clock.Bounds().Predates(r.observation(t.Server, sent, clock.Now(), t.Keyed), repeatedAge)
}

// leadsNow notes that a whole answer named a host the primary.
func (b *Backend) leadsNow(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[server]; h != nil {
		h.words.StatedPrimary()
	}
}

// followsNow notes that a host says that it is no primary. What was decided on the word that it is does not go out any more. The
// module is told at once where that is news; otherwise the outcome of the same answer is enough.
func (b *Backend) followsNow(server string) {
	now := b.cfg.Clock.Now()
	b.mu.Lock()
	h := b.hosts[server]
	news := h != nil && h.words.StatedReplica(now)
	b.mu.Unlock()
	if news {
		b.to.Learned(balance.RemoteOutcome{Server: server, Result: balance.OK, Role: balance.Replica, Source: balance.FromPartialAnswer},
			balance.TimeBounds{NotAfter: now, Epoch: b.cfg.Clock.Epoch()}, balance.Report{})
	}
}

// refuted says that the host has told, since an attempt was decided on, that it is not the primary that the attempt needs.
func (b *Backend) refuted(server string, g balance.Grounds) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	return h != nil && h.words.Refute(g)
}

// dated is a load report with the earliest time, by this machine's clock, at which it was made. Where that is not known the word that
// its host is the primary says nothing; that it is none binds whenever it was made.
func dated(clock exchange.Clock, r balance.Report) balance.Report {
	earliest, ok := clock.Earliest(r.Position)
	if r.NotBefore = earliest; !ok && r.Role == balance.Primary {
		r.Role = balance.Unknown
	}
	return r
}

// report reads a load report, with its position by the fleet's clock. One that can't be read in any part says nothing.
func report(s string) balance.Report {
	values := map[string]float64{}
	for field := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if _, twice := values[name]; !ok || twice || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return balance.Report{}
		}
		values[name] = v
	}
	if x0, x1 := values["x0"], values["x1"]; x0 <= 0 || x0 > latestPosition.Seconds() || x1 != 0 && x1 != 1 {
		return balance.Report{}
	}
	return settings.Report(values, 0)
}

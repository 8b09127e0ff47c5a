package backend

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/settings"
)

const (
	// aheadMost is how far a position may lie ahead of this clock: commits are rounded up, and clocks are read apart.
	aheadMost = 50 * time.Millisecond
	// positionStep is what positions are rounded to.
	positionStep = time.Millisecond
	// latestPosition bounds positions that make any sense, as Unix time.
	latestPosition = (1 << 42) * time.Millisecond
)

// localize learns from what a host told of itself in an answer to a query sent at a time, by this machine's clock, and converts
// it to that clock. It says when the host made it.
func (b *Backend) localize(server string, r *reply, sent time.Duration) balance.Made {
	clock := b.cfg.Clock
	received := clock.Now()
	if r.role == balance.Primary {
		clock.Observe(fleetclock.Observation{Position: r.position, Sent: sent, Received: received})
	}
	if r.report.Role == balance.Primary {
		clock.ObserveReport(fleetclock.Observation{Position: r.report.Position, Sent: sent, Received: received})
	}
	position := r.position
	if r.report.Has {
		position = max(position, r.report.Position)
	}
	clock.ObserveHost(server, position, received)
	b.early.note(server, position, received, clock.Confirmed(), b.tellEarly)
	if r.role == balance.Unknown && r.report.Role == balance.Replica {
		b.followsNow(server)
	}
	made := balance.Made{NotBefore: sent, NotAfter: received, Epoch: clock.Epoch()}
	if r.role == balance.Primary {
		b.leadsNow(server)
		if clock.Confirmed() && r.position > 0 { // a primary's position is the present; of a write, its commit, rounded up
			made.NotBefore = max(sent, min(clock.Earliest(r.position)-positionStep, received))
		}
	}
	r.position = believable(clock, r.position, received)
	r.report = believableReport(clock, r.report, received)
	return made
}

// leadsNow notes that a whole answer named a host the primary.
func (b *Backend) leadsNow(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[server]; h != nil {
		h.leads = true
	}
}

// followsNow notes that a host says that it is no primary. What was decided on the word that it is does not go out any more. The
// module is told at once where that is news; otherwise the outcome of the same answer is enough.
func (b *Backend) followsNow(server string) {
	now := b.cfg.Clock.Now()
	b.mu.Lock()
	h := b.hosts[server]
	news := h != nil && (h.leads || h.follows == 0)
	if h != nil {
		h.follows, h.leads = now, false
	}
	b.mu.Unlock()
	if news {
		b.to.Learned(balance.Heard{Server: server, Result: balance.OK, Role: balance.Replica, Source: balance.FromPart},
			balance.Made{NotAfter: now, Epoch: b.cfg.Clock.Epoch()}, balance.Report{})
	}
}

// refuted says that the host has told, since an attempt was decided on, that it is not the primary that the attempt needs.
func (b *Backend) refuted(server string, g balance.Grounds) bool {
	if !g.NeedsLeader() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	return h != nil && h.follows > 0 && h.follows >= g.Leads
}

// tellEarly tells of a position that a host had told before it was known how this machine's clock stands to the fleet's.
func (b *Backend) tellEarly(server string, e earlyPosition) {
	b.to.Learned(balance.Heard{Server: server, Result: balance.OK, Position: believable(b.cfg.Clock, e.position, e.at)},
		balance.Made{NotAfter: e.at, Epoch: b.cfg.Clock.Epoch()}, balance.Report{})
}

// earlyPosition is a position by the fleet's clock, and when it was told by this machine's.
type earlyPosition struct{ position, at time.Duration }

// earlyPositions are those that came before they could be converted. Without them each replica would have to be asked again.
type earlyPositions struct {
	mu     sync.Mutex
	told   bool // all have been handed on: nothing is kept any more
	byHost map[string]earlyPosition
}

// note keeps a position, or, once they can be converted, hands on all that were kept.
func (p *earlyPositions) note(server string, position, at time.Duration, confirmed bool, tell func(string, earlyPosition)) {
	p.mu.Lock()
	if p.told {
		p.mu.Unlock()
		return
	}
	if !confirmed {
		if p.byHost == nil {
			p.byHost = map[string]earlyPosition{}
		}
		if position > 0 {
			p.byHost[server] = earlyPosition{position, at}
		}
		p.mu.Unlock()
		return
	}
	kept := p.byHost
	p.told, p.byHost = true, nil
	p.mu.Unlock()
	for server, e := range kept {
		tell(server, e)
	}
}

// believable is a position, by this machine's clock, that may be: none lies ahead, all machines read one clock. A position is
// kept as the highest that was ever told, so that one from the future would pass stale data as fresh for good; and so would any
// while this machine's clock may be behind the fleet's.
func believable(clock exchange.Clock, position, now time.Duration) time.Duration {
	if position <= 0 || !clock.Confirmed() {
		return 0
	}
	position = clock.Position(position)
	if position < 0 || position > now+aheadMost {
		return 0
	}
	return min(position, now)
}

// believableReport is a load report, with its times by this machine's clock; one from the future says nothing. While it is not known
// how that clock stands only that the host is no primary counts: it binds whenever it was made.
func believableReport(clock exchange.Clock, r balance.Report, now time.Duration) balance.Report {
	switch {
	case !r.Has:
		return r
	case !clock.Confirmed() && r.Role == balance.Replica:
		return balance.Report{Has: true, Role: r.Role}
	case !clock.Confirmed(), clock.Latest(r.Position) > now+aheadMost:
		return balance.Report{}
	}
	r.NotBefore = clock.Earliest(r.Position)
	r.Position = believable(clock, r.Position, now)
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

package backend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/exchange"
)

// newObserver returns a backend that is only used to observe the fleet's clock.
func newObserver() (*Backend, exchange.Clock) {
	clock := exchange.NewClock()
	return &Backend{cfg: Config{Clock: clock}, hosts: map[string]*host{}}, clock
}

func TestOnlyExecutedPrimaryAnswerBoundsClock(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(now time.Duration) reply
		keyed  bool
		want   bool
	}{
		"a primary's answer":                            {func(now time.Duration) reply { return reply{role: balance.Primary, position: now} }, false, true},
		"a keyed write's answer, possibly a stored one": {func(now time.Duration) reply { return reply{role: balance.Primary, position: now} }, true, false},
		"a replica's answer":                            {func(now time.Duration) reply { return reply{role: balance.Replica, position: now} }, false, false},
		"an answer with no role":                        {func(now time.Duration) reply { return reply{position: now} }, false, false},
		"a primary with a full queue": {func(now time.Duration) reply {
			return reply{result: balance.QueueFull, role: balance.Primary, position: now}
		}, false, false},
		"a primary that fails": {func(now time.Duration) reply {
			return reply{result: balance.Failed, role: balance.Primary, position: now}
		}, false, false},
		"a primary's report": {func(now time.Duration) reply { return reply{report: roleReport(balance.Primary, now)} }, false, false},
		"a primary's report in a replica's answer": {func(now time.Duration) reply {
			return reply{role: balance.Replica, position: now, report: roleReport(balance.Primary, now)}
		}, false, false},
		"a role without a position": {func(now time.Duration) reply {
			return reply{role: balance.Primary, report: roleReport(balance.Primary, now)}
		}, false, false},
	} {
		b, clock := newObserver()
		sent := clock.Now()
		r := c.answer(sent)
		b.observe("s", &r, sent, c.keyed)
		if got := clock.Bounds().HasMax; got != c.want {
			t.Errorf("%s: HasMax = %t", name, got)
		}
		if r.position != 0 && r.position != sent {
			t.Errorf("%s: the position was changed", name)
		}
	}
}

func roleReport(role balance.Role, position time.Duration) balance.Report {
	return balance.Report{Valid: true, Role: role, Position: position}
}

func TestPrimaryStatementDatedByPosition(t *testing.T) {
	b, clock := newObserver()
	now := clock.Now()
	r := reply{role: balance.Primary, position: now + time.Hour} // this machine's clock is an hour behind
	if statedAt := b.observe("s", &r, now, false); statedAt.NotBefore != now {
		t.Errorf("without bounds, the statement is dated %s after its query, want 0", statedAt.NotBefore-now)
	}
	clock.Inherit(clock.Now(), fleetclock.Interval{Min: time.Hour, Max: time.Hour + 2*time.Millisecond})
	r = reply{role: balance.Primary, position: clock.Now() + time.Hour}
	if statedAt := b.observe("s", &r, now-10*time.Second, false); statedAt.NotBefore < now-20*time.Millisecond || statedAt.NotBefore > clock.Now() {
		t.Errorf("with bounds, the statement is dated %s after its query", statedAt.NotBefore-now)
	}
	sent := clock.Now() - 10*time.Second
	if statedAt := b.observe("s", &r, sent, true); statedAt.NotBefore != sent {
		t.Errorf("the answer to a keyed write, possibly a stored one, is dated %s after its query", statedAt.NotBefore-sent)
	}
}

func TestReport(t *testing.T) {
	for in, want := range map[string]balance.Report{
		"":                          {},
		"x0=NaN,x1=1":               {},
		"x0=1e300,x1=0":             {},
		"x0=+Inf":                   {},
		"x0=-5,x1=1":                {},
		"x0=0.000,x1=0":             {}, // no report has been made yet
		"x0=1767225600,x1=0.5":      {},
		"x0=1767225600,x0=1":        {},
		"x0=1767225600,x1":          {},
		"inflight=7,util=0.61":      {},
		"x0=1767225600.123,x1=1":    roleReport(balance.Primary, 1767225600122*time.Millisecond),
		"x0=1767225600.12,x1=0,y=3": roleReport(balance.Replica, 1767225600119*time.Millisecond),
	} {
		got := parseReport(in)
		got.NotBefore = 0 // set by withNotBefore
		if want.Valid && want.Position-got.Position == time.Millisecond {
			got.Position = want.Position // a binary fraction may round down by one; a report never looks newer for it
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q: %s", in, diff)
		}
	}
}

// A report is dated by its position. As long as the clock has no bounds, it counts only if it states that its
// host is not primary.
func TestReportDatedByPosition(t *testing.T) {
	for _, role := range []balance.Role{balance.Primary, balance.Replica} {
		clock := exchange.NewClock()
		position := clock.Now() - 3*time.Second
		got := withNotBefore(clock, roleReport(role, position))
		want := roleReport(balance.Replica, position)
		if role == balance.Primary {
			want.Role = balance.Unknown
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("unbounded: %s", diff)
		}
		clock.Inherit(clock.Now(), fleetclock.Interval{Min: -time.Millisecond, Max: 5 * time.Millisecond})
		if got := withNotBefore(clock, roleReport(role, position)); got.Role != role || got.Position != position || got.NotBefore > position-5*time.Millisecond ||
			got.NotBefore < position-7*time.Millisecond {
			t.Errorf("bounded: %+v", got)
		}
	}
}

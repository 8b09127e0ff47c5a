package exchange

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

// serveFrom has a bounded read served by the replica r on its position, and gives its id.
func serveFrom(t *testing.T, x *Exchange, h *hosts) string {
	t.Helper()
	learn(x, "r", balance.Replica, x.cfg.Clock.Now())
	a := h.ask(x, "view", 0)
	if a == nil || a.Server != "r" || a.Grounds.Kind != balance.ByPosition {
		t.Fatalf("a read goes to %+v", a)
	}
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: a.ID, Attempt: a.Number, Server: "r", Result: balance.OK}})
	return a.ID
}

// contradict has a primary's answer speak against what is believed of the clock, once.
func contradict(clock Clock) {
	now := clock.Now()
	clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now + 300*time.Millisecond, Sent: now, Received: now + time.Millisecond})
}

// traced gives what is logged by then.
func traced(x *Exchange, logs *observer.ObservedLogs, now time.Duration) string {
	x.logTrace(now)
	var out []string
	for _, e := range logs.TakeAll() {
		if e.Message == "reads served near doubt about the clock" {
			out = append(out, fmt.Sprint(e.ContextMap()["reads"], " more ", e.ContextMap()["more"]))
		}
	}
	return strings.Join(out, "\n")
}

func TestReadsNearAContradictedClockLeaveATrace(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := known()
	x, h := pair(t, clock)
	x.cfg.Log = zap.New(core)
	x.noticeClock()
	before := serveFrom(t, x, h)
	now := clock.Now()
	if got := traced(x, logs, now); got != "" {
		t.Errorf("while nothing contradicts the clock: %q", got)
	}
	contradict(clock)
	if got := traced(x, logs, now); !strings.Contains(got, before+" r sent_ms ") {
		t.Errorf("the read before is not in %q", got)
	}
	after := serveFrom(t, x, h)
	if got := traced(x, logs, now+tracePause/2); got != "" {
		t.Errorf("before the next line is due: %q", got)
	}
	if got := traced(x, logs, now+tracePause); !strings.Contains(got, after+" r sent_ms ") || strings.Contains(got, before+" ") {
		t.Errorf("the read after is not alone in %q", got)
	}
	_ = traced(x, logs, now+traceFor)
	serveFrom(t, x, h)
	if got := traced(x, logs, now+traceFor+tracePause); got != "" {
		t.Errorf("a second later: %q", got)
	}
}

func TestATraceOfManyReadsIsBounded(t *testing.T) {
	var tr trace
	now := 10 * time.Second
	for i := range tracedReads + 7 {
		tr.keep(&open{Request: &Request{ID: fmt.Sprintf("%016x", i)}, sentAt: now}, "r")
	}
	tr.keep(&open{Request: &Request{ID: "old"}, sentAt: now - traceBefore - 1}, "r")
	tr.doubt(now)
	reads, more := tr.take(now)
	if len(reads) != tracedReads-1 || more != 8 || !strings.HasPrefix(reads[0], fmt.Sprintf("%016x r ", 8)) {
		t.Errorf("%d reads and %d more, the first %q", len(reads), more, reads[0])
	}
}

func TestATraceIsLoggedToItsEndWhenTheProcessEnds(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := known()
	x, h := pair(t, clock)
	x.cfg.Log = zap.New(core)
	x.noticeClock()
	ended, end := context.WithCancel(context.Background())
	end()
	contradict(clock)
	for _, when := range []string{"at once", "before the next line is due"} {
		id := serveFrom(t, x, h)
		if err := x.Run(ended, h); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(logs.TakeAll()); !strings.Contains(got, id+" r sent_ms ") {
			t.Errorf("%s: not logged: %s", when, got)
		}
	}
}

func BenchmarkKeepTrace(b *testing.B) {
	var tr trace
	o := &open{Request: &Request{ID: "0123456789abcdef"}}
	b.ReportAllocs()
	for b.Loop() {
		tr.keep(o, "s-b1db1642")
	}
}

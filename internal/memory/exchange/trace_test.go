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

// serveFrom lets the replica r serve a bounded read on its position and returns the read's id.
func serveFrom(t *testing.T, x *Exchange, h *hosts) string {
	t.Helper()
	handleStatement(x, "r", balance.Replica, x.cfg.Clock.Now())
	a := h.request(x, "view", 0)
	if a == nil || a.Server != "r" || a.Grounds.Kind != balance.ByPosition {
		t.Fatalf("a read is sent as %+v, want it sent to r on its position", a)
	}
	x.handle(x.cfg.Clock.Now(), Outcome{Outcome: balance.Outcome{ID: a.ID, Attempt: a.Number, Server: "r", Result: balance.OK}})
	return a.ID
}

// contradict observes one answer of a primary that contradicts the known offset of the clock.
func contradict(clock Clock) {
	now := clock.Now()
	clock.Observe(fleetclock.Observation{Host: "p", PrimaryPosition: now + 300*time.Millisecond, Sent: now, Received: now + time.Millisecond})
}

// traced returns the reads that are logged by the given time.
func traced(x *Exchange, logs *observer.ObservedLogs, now time.Duration) string {
	x.logTrace(now)
	var out []string
	for _, e := range logs.TakeAll() {
		if e.Message == "reads served near a contradiction of the clock" {
			out = append(out, fmt.Sprint(e.ContextMap()["reads"], " more ", e.ContextMap()["more"]))
		}
	}
	return strings.Join(out, "\n")
}

func TestContradictionLogsReads(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := knownClock()
	x, h := newPair(t, clock)
	x.cfg.Log = zap.New(core)
	x.checkClock()
	before := serveFrom(t, x, h)
	now := clock.Now()
	if got := traced(x, logs, now); got != "" {
		t.Errorf("logged without a contradiction: %q", got)
	}
	contradict(clock)
	if got := traced(x, logs, now); !strings.Contains(got, before+" r sent_ms ") {
		t.Errorf("the read before the contradiction is not in %q", got)
	}
	after := serveFrom(t, x, h)
	if got := traced(x, logs, now+tracePause/2); got != "" {
		t.Errorf("logged before the next line is due: %q", got)
	}
	if got := traced(x, logs, now+tracePause); !strings.Contains(got, after+" r sent_ms ") || strings.Contains(got, before+" ") {
		t.Errorf("want only the read after the contradiction in %q", got)
	}
	_ = traced(x, logs, now+traceFor)
	serveFrom(t, x, h)
	if got := traced(x, logs, now+traceFor+tracePause); got != "" {
		t.Errorf("logged a second later: %q", got)
	}
}

func TestTraceIsBounded(t *testing.T) {
	var tr trace
	now := 10 * time.Second
	for i := range maxTracedReads + 7 {
		tr.add(&pendingRequest{Request: &Request{ID: fmt.Sprintf("%016x", i)}, sentAt: now}, "r")
	}
	tr.add(&pendingRequest{Request: &Request{ID: "old"}, sentAt: now - traceBefore - 1}, "r")
	tr.contradicted(now)
	reads, more := tr.take(now)
	if len(reads) != maxTracedReads-1 || more != 8 || !strings.HasPrefix(reads[0], fmt.Sprintf("%016x r ", 8)) {
		t.Errorf("%d reads and %d more, the first is %q", len(reads), more, reads[0])
	}
}

func TestTraceIsLoggedAtShutdown(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := knownClock()
	x, h := newPair(t, clock)
	x.cfg.Log = zap.New(core)
	x.checkClock()
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
	o := &pendingRequest{Request: &Request{ID: "0123456789abcdef"}}
	b.ReportAllocs()
	for b.Loop() {
		tr.add(o, "s-b1db1642")
	}
}

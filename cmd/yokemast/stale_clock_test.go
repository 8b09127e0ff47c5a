package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"yokemast/internal/testbed/hosts"
)

const (
	// hangBeforeStart is how long a primary has answered only probes when a gateway starts.
	hangBeforeStart = 2700 * time.Millisecond
	// resetPause is the time between two resets of a primary's connections, and so between probes of it.
	resetPause = 40 * time.Millisecond
	// stoppedLogLag is a lag so long that a replica's log is not applied any further during the test.
	stoppedLogLag = time.Hour
	// servedMany is a number of requests that a gateway easily serves in a second.
	servedMany = 3 * staleClients
	// agreeingProbes is how many old reports must be sent within agreeingWithin to agree with each other.
	agreeingProbes = 3
	agreeingWithin = 200 * time.Millisecond
)

// keptReport is a primary's load report, which is not updated while the primary hangs.
type keptReport struct {
	mu      sync.Mutex
	kept    time.Time   // time of the kept report; zero if each report is new
	sentOld []time.Time // when a report older than agreeingWithin was sent
}

// text returns the report as the host sends it.
func (r *keptReport) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	made := now
	if !r.kept.IsZero() {
		made = r.kept
		if now.Sub(made) > agreeingWithin {
			r.sentOld = append(r.sentOld, now)
		}
	}
	return fmt.Sprintf("x0=%.3f,x1=1", float64(made.UnixMilli())/1000)
}

// keep makes the host repeat its present report.
func (r *keptReport) keep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = time.Now()
}

// renew makes the host send up-to-date reports again.
func (r *keptReport) renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = time.Time{}
}

// oldReportTimes returns when old reports were sent.
func (r *keptReport) oldReportTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sentOld)
}

// hangBench is a staleBench whose primaries can be made to hang.
type hangBench struct {
	*staleBench
	reports []*keptReport // one per group, of its primary
}

func newHangBench(t *testing.T, groups int) *hangBench {
	t.Helper()
	b := &hangBench{}
	b.staleBench = newStaleHosts(t, groups, func(h *hosts.Host) {
		if h.Group > len(b.reports) { // the first host of its group, its primary
			report := &keptReport{}
			h.Report = report.text
			b.reports = append(b.reports, report)
		}
	})
	return b
}

// hang makes all primaries answer only probes. Their reports and their replicas' logs stall from this moment
// on.
func (b *hangBench) hang() {
	for i, c := range b.clusters {
		c.Promote(c.Primary()) // records how far each log has been applied
		for _, h := range c.Hosts()[1:] {
			h.SetLag(stoppedLogLag)
		}
		b.reports[i].keep()
		c.Primary().SetHang(hosts.ButProbes)
	}
}

// wake ends the hang.
func (b *hangBench) wake() {
	for i, c := range b.clusters {
		b.reports[i].renew()
		for _, h := range c.Hosts()[1:] {
			h.SetLag(0)
		}
		c.Primary().SetHang(hosts.NotHung)
	}
}

// waitServed waits for at least a second, until the gateway has served servedMany more requests.
func (b *hangBench) waitServed() {
	b.t.Helper()
	wanted := b.ledger.Counts().Served + servedMany
	time.Sleep(time.Second)
	for end := time.Now().Add(testTimeout); b.ledger.Counts().Served < wanted; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("too few requests are served: %+v\n%s", b.ledger.Counts(), b.log)
		}
	}
}

// checkClock runs checkReads and prints the gateway's log lines about the fleet's clock.
func (b *hangBench) checkClock() {
	b.t.Helper()
	b.checkReads()
	for line := range strings.Lines(b.log.String()) {
		if strings.Contains(line, "fleet's clock") {
			b.t.Log(strings.TrimSpace(line))
		}
	}
}

// waitAgreeing waits until enough old reports have been sent in a short time to agree with each other, and then
// for 2 s so that reads would be routed by them. It calls meanwhile repeatedly.
func (b *hangBench) waitAgreeing(meanwhile func()) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !b.reportsAgree(); time.Sleep(resetPause) {
		if time.Now().After(end) {
			b.t.Fatalf("old reports are not sent %d times within %s\n%s", agreeingProbes, agreeingWithin, b.log)
		}
		meanwhile()
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(resetPause) {
		meanwhile()
	}
}

// reportsAgree reports whether agreeingProbes old reports were sent within agreeingWithin.
func (b *hangBench) reportsAgree() bool {
	var sent []time.Time
	for _, r := range b.reports {
		sent = append(sent, r.oldReportTimes()...)
	}
	slices.SortFunc(sent, time.Time.Compare)
	for i := agreeingProbes - 1; i < len(sent); i++ {
		if sent[i].Sub(sent[i-agreeingProbes+1]) < agreeingWithin {
			return true
		}
	}
	return false
}

// A gateway starts while the primary answers only probes, with a report as old as the replicas' logs. If that
// report set the clock, stale replicas would look fresh.
func TestOldReportDoesNotSetClockAtStart(t *testing.T) {
	t.Parallel()
	b := newHangBench(t, 1)
	b.hang()
	time.Sleep(hangBeforeStart)
	b.serve(t)
	b.waitAgreeing(func() { b.cluster.Primary().Reset() }) // each attempt that fails with its connection causes a probe of the primary
	b.wake()
	b.waitServed()
	b.checkClock()
}

// A gateway that knows the clock offset repeatedly receives the same old reports, and no other evidence about
// the clock. If they replaced the clock, stale replicas would look fresh.
func TestRepeatedOldReportDoesNotReplaceClock(t *testing.T) {
	for name, c := range map[string]struct {
		groups int
		breaks bool // each attempt that fails with its connection causes a probe of the primary
	}{
		"a primary whose connections break": {1, true},
		"the primaries of three groups":     {3, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newHangBench(t, c.groups)
			b.serve(t)
			b.waitLog(`"fleet's clock","doubted":false,"epoch":0,"least":`)
			b.waitServed()
			b.hang()
			b.waitAgreeing(func() {
				if c.breaks {
					b.cluster.Primary().Reset()
				}
			})
			b.wake()
			b.waitServed()
			b.checkClock()
		})
	}
}

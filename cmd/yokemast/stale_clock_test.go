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
	// hungFor is how long a primary has answered nothing but probes when a gateway starts.
	hungFor = 2700 * time.Millisecond
	// resetPause is between two resets of a primary's connections: so often it is probed.
	resetPause = 40 * time.Millisecond
	// stoppedLog is a lag at which a log that has been applied so far is applied no further.
	stoppedLog = time.Hour
	// servedMany is how many requests a gateway serves easily in a second.
	servedMany = 3 * staleClients
	// agreeingProbes are told old reports within agreeingWithin.
	agreeingProbes = 3
	agreeingWithin = 200 * time.Millisecond
)

// keptReport is a primary's load report, which is not made anew while the primary hangs.
type keptReport struct {
	mu   sync.Mutex
	kept time.Time   // when it was made; zero: now
	told []time.Time // when it was told and was older than agreeingWithin
}

// text is the report as the host tells it.
func (r *keptReport) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	made := now
	if !r.kept.IsZero() {
		made = r.kept
		if now.Sub(made) > agreeingWithin {
			r.told = append(r.told, now)
		}
	}
	return fmt.Sprintf("x0=%.3f,x1=1", float64(made.UnixMilli())/1000)
}

// keep has the report told as it is now from now on.
func (r *keptReport) keep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = time.Now()
}

// renew ends keep.
func (r *keptReport) renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = time.Time{}
}

// toldOld is when it was told and was old.
func (r *keptReport) toldOld() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

// stoppedBench is a staleBench whose primaries can be made to hang.
type stoppedBench struct {
	*staleBench
	reports []*keptReport // of the groups' primaries
}

func newStoppedHosts(t *testing.T, groups int) *stoppedBench {
	t.Helper()
	b := &stoppedBench{}
	b.staleBench = newStaleHosts(t, groups, func(h *hosts.Host) {
		if h.Group > len(b.reports) { // the first of its group, which leads it
			report := &keptReport{}
			h.Report = report.text
			b.reports = append(b.reports, report)
		}
	})
	return b
}

// hang lets all primaries hang for all but probes. Their reports, and their replicas' logs, stand still from this moment.
func (b *stoppedBench) hang() {
	for i, c := range b.clusters {
		c.Promote(c.Primary()) // which notes how far each log has been applied
		for _, h := range c.Hosts()[1:] {
			h.SetLag(stoppedLog)
		}
		b.reports[i].keep()
		c.Primary().SetHang(hosts.ButProbes)
	}
}

// wake ends the hang.
func (b *stoppedBench) wake() {
	for i, c := range b.clusters {
		b.reports[i].renew()
		for _, h := range c.Hosts()[1:] {
			h.SetLag(0)
		}
		c.Primary().SetHang(hosts.NotHung)
	}
}

// waitServed waits until a second has gone by in which the gateway served many requests.
func (b *stoppedBench) waitServed() {
	b.t.Helper()
	wanted := b.ledger.Counts().Served + servedMany
	time.Sleep(time.Second)
	for end := time.Now().Add(patience); b.ledger.Counts().Served < wanted; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("few requests are served: %+v\n%s", b.ledger.Counts(), b.log)
		}
	}
}

// checkClock is check, and logs what the gateway took the clock for.
func (b *stoppedBench) checkClock() {
	b.t.Helper()
	b.check()
	for line := range strings.Lines(b.log.String()) {
		if strings.Contains(line, "fleet's clock") {
			b.t.Log(strings.TrimSpace(line))
		}
	}
}

// waitAgreeing waits until the old reports have been told as the test means them to be, and for so long that reads go by it.
func (b *stoppedBench) waitAgreeing(meanwhile func()) {
	b.t.Helper()
	for end := time.Now().Add(patience); !b.agreeing(); time.Sleep(resetPause) {
		if time.Now().After(end) {
			b.t.Fatalf("old reports are not told %d times within %s\n%s", agreeingProbes, agreeingWithin, b.log)
		}
		meanwhile()
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(resetPause) {
		meanwhile()
	}
}

// agreeing says whether old reports were told so often in so short a time that they agree with each other.
func (b *stoppedBench) agreeing() bool {
	var told []time.Time
	for _, r := range b.reports {
		told = append(told, r.toldOld()...)
	}
	slices.SortFunc(told, time.Time.Compare)
	for i := agreeingProbes - 1; i < len(told); i++ {
		if told[i].Sub(told[i-agreeingProbes+1]) < agreeingWithin {
			return true
		}
	}
	return false
}

// A gateway starts while the primary answers probes alone, with a report that is as old as the replicas' logs.
func TestAnOldReportOfAPrimaryThatHangsDoesNotSetTheClockAtAStart(t *testing.T) {
	t.Parallel()
	b := newStoppedHosts(t, 1)
	b.hang()
	time.Sleep(hungFor)
	b.serve(t)
	b.waitAgreeing(func() { b.cluster.Primary().Reset() }) // each attempt that is lost with its connection has the primary probed
	b.wake()
	b.waitServed()
	b.checkClock()
}

// A gateway that knows the clock is told the same old reports again and again while nobody else says how the clock stands.
func TestAnOldReportToldAgainAndAgainDoesNotReplaceTheClock(t *testing.T) {
	for name, c := range map[string]struct {
		groups int
		breaks bool // each attempt that is lost with its connection has the primary probed
	}{
		"a primary whose connections break": {1, true},
		"the primaries of three groups":     {3, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStoppedHosts(t, c.groups)
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

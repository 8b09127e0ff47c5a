package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/rules"
)

const (
	// notifiedWithin is how long after discovery has a change and is reachable the gateway counts as notified
	// of it.
	notifiedWithin = 6 * time.Second
	drainGrace     = time.Second // stopSendingWithin in settingsJSON
)

// drainBench is a running gateway in front of a cluster of three hosts, with clients that send continuously.
type drainBench struct {
	*gateway
	cluster *hosts.Cluster
	ledger  *rules.Ledger
}

func newDrainBench(t *testing.T, before func(int, http.ResponseWriter, *http.Request) bool) *drainBench {
	t.Helper()
	ledger := &rules.Ledger{Limits: rules.Limits{Grace: drainGrace, Slack: 50 * time.Millisecond}}
	cluster, err := hosts.NewCluster(1, "s-", 3, ledger, func(h *hosts.Host) { h.Work = 2 * time.Millisecond })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	shortTarget := func(s string) string { return strings.ReplaceAll(s, `"onTime":10000000000`, `"onTime":400000000`) }
	b := &drainBench{startBehind(t, shortTarget, before, nil, cluster.Hosts()...), cluster, ledger}
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 8 {
		work.Go(func() { b.sendRequests(stop, i) })
	}
	t.Cleanup(func() { close(stop); work.Wait() })
	return b
}

// sendRequests sends reads and writes in turn until stop is closed.
func (b *drainBench) sendRequests(stop chan struct{}, number int) {
	c, err := clients.Start(b.address, "backend", testTimeout)
	if err != nil {
		b.t.Error(err)
		return
	}
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r := clients.Request{Class: "view", Key: fmt.Sprint("k", number), Wait: 2 * time.Second, Repeatable: true}
		if n%2 == 0 {
			r.Class, r.Write, r.Value, r.Repeatable = "order", true, []byte{byte(n)}, false
		}
		if c.Do(r, b.ledger).Closed {
			return
		}
	}
}

// drainPrimary lists the primary as draining; the host remains the primary. The ledger's rules count the
// gateway as notified 6 s later.
func (b *drainBench) drainPrimary() {
	primary := b.cluster.Primary()
	b.agent.Set(primary.ListEntry("DRAINING"))
	time.AfterFunc(notifiedWithin, func() { b.ledger.DrainAnnounced(primary.ID, false) })
}

// A draining host receives no new request after the drain grace, whatever discovery answers and however often
// the configuration is reloaded.
func TestDrainGraceDuringDiscoveryFaults(t *testing.T) {
	for name, run := range map[string]func(t *testing.T) *drainBench{
		"answers are slow":                 drainBehindSlowDiscovery,
		"repeated reloads without changes": drainUnderReloads,
		"silent, then unavailable":         drainAfterSilence,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := run(t)
			time.Sleep(notifiedWithin + drainGrace + 500*time.Millisecond)
			if n := b.ledger.Counts().AfterDrain; n > 0 {
				t.Errorf("%d requests reached a draining host after the grace: %s", n, b.log)
			}
			if b.ledger.Counts().Served == 0 {
				t.Errorf("nothing was served: %s", b.log)
			}
		})
	}
}

// drainBehindSlowDiscovery drains the primary while each answer of discovery takes 1.5 s longer than the
// requested wait.
func drainBehindSlowDiscovery(t *testing.T) *drainBench {
	var slow atomic.Bool
	b := newDrainBench(t, func(int, http.ResponseWriter, *http.Request) bool {
		if slow.Load() {
			time.Sleep(1500 * time.Millisecond)
		}
		return false
	})
	slow.Store(true)
	_ = b.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	b.drainPrimary()
	return b
}

// drainUnderReloads drains the primary while SIGHUP arrives every 0.2 s and answers of discovery take 0.3 s.
func drainUnderReloads(t *testing.T) *drainBench {
	b := newDrainBench(t, func(int, http.ResponseWriter, *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return false
	})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				_ = b.cmd.Process.Signal(syscall.SIGHUP)
			}
		}
	}()
	time.Sleep(300 * time.Millisecond)
	b.drainPrimary()
	return b
}

// drainAfterSilence drains the primary after the agent has left all calls unanswered for 3 s. The agent
// refuses the first call after that, 1.9 s after it came.
func drainAfterSilence(t *testing.T) *drainBench {
	var silent, busy atomic.Bool
	b := newDrainBench(t, func(_ int, w http.ResponseWriter, r *http.Request) bool {
		switch {
		case silent.Load():
			<-r.Context().Done()
			return true
		case busy.CompareAndSwap(true, false):
			time.Sleep(1900 * time.Millisecond)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		return false
	})
	silent.Store(true)
	time.Sleep(3200 * time.Millisecond) // the long-poll call has timed out; the next call began just now
	busy.Store(true)
	silent.Store(false)
	b.drainPrimary()
	return b
}

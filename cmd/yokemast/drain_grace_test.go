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
	// notifiedWithin is when a change counts as notified at the latest, after discovery had it and could be reached.
	notifiedWithin = 6 * time.Second
	drainGrace     = time.Second // of settingsJSON
)

// drainBench is a running gateway before a cluster of three hosts, with clients that never pause.
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
	brief := func(s string) string { return strings.ReplaceAll(s, `"onTime":10000000000`, `"onTime":400000000`) }
	b := &drainBench{startBehind(t, brief, before, nil, cluster.Hosts()...), cluster, ledger}
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 8 {
		work.Go(func() { b.ask(stop, i) })
	}
	t.Cleanup(func() { close(stop); work.Wait() })
	return b
}

// ask sends reads and writes in turn until stop is closed.
func (b *drainBench) ask(stop chan struct{}, number int) {
	c, err := clients.Start(b.address, "backend", patience)
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

// drainPrimary lists the primary as draining, which goes on leading. The rules count it as notified 6 s later.
func (b *drainBench) drainPrimary() {
	primary := b.cluster.Primary()
	b.agent.Set(primary.ListEntry("DRAINING"))
	time.AfterFunc(notifiedWithin, func() { b.ledger.DrainAnnounced(primary.ID, false) })
}

// Whatever discovery's answers and the signals of a reload do, a host that was told to drain gets nothing new later than the grace.
func TestDrainGraceWhileDiscoveryIsInTrouble(t *testing.T) {
	for name, run := range map[string]func(t *testing.T) *drainBench{
		"answers are slow":                        drainBehindSlowDiscovery,
		"a series of reloads that change nothing": drainUnderReloads,
		"silent, and busy at its return":          drainAfterSilence,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := run(t)
			time.Sleep(notifiedWithin + drainGrace + 500*time.Millisecond)
			if n := b.ledger.Counts().AfterDrain; n > 0 {
				t.Errorf("%d requests came to a host later than the grace after it was told to drain: %s", n, b.log)
			}
			if b.ledger.Counts().Served == 0 {
				t.Errorf("nothing was served: %s", b.log)
			}
		})
	}
}

// drainBehindSlowDiscovery: each answer takes 1.5 s beyond the wait that was asked for.
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

// drainUnderReloads: SIGHUP every 0.2 s, answers that take 0.3 s.
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

// drainAfterSilence: the agent swallows all calls for 3 s, and turns the first one after that away 1.9 s later.
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
	time.Sleep(3200 * time.Millisecond) // the call that waits has begun before; the next one began just now
	busy.Store(true)
	silent.Store(false)
	b.drainPrimary()
	return b
}

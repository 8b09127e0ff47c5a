package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/soak"
)

// This file has the faults of a soak run that delay statements: delayed answers, outdated load reports, slow
// datagrams, and gateways that start, end or stall at the same time.

const (
	// lateGossip is the maximum delay of datagrams that gateways still accept, olderGossip that of datagrams
	// too old for them.
	lateGossip, olderGossip = 2 * time.Second, 5 * time.Second
	// olderAnswers is the maximum delay of answers that take longer than the protocol allows; one answer in
	// four is delayed.
	olderAnswers = 600 * time.Millisecond
	// stalled is the apply speed of a stalled log, in seconds per second.
	stalled = 1e-9
)

// startGroup starts the hosts of the next group. The first one is its primary.
func (r *soakRun) startGroup(prefix string, count int) {
	group := len(r.clusters) + 1
	n := uint64(0)
	c, err := hosts.NewCluster(group, prefix, count, r.ledger, func(h *hosts.Host) {
		h.Skew, h.Work, h.Delay = r.plan.Skew, 3*time.Millisecond, r.answerDelay(r.plan.Seed<<16|uint64(group)<<8|n)
		h.KeepReports(r.plan.Seed<<16|uint64(group)<<8|n, r.plan.Reports[0], r.plan.Reports[1])
		n++
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.clusters = append(r.clusters, c)
	c.Bound, c.Own = 500*time.Millisecond, "own"
	for _, h := range c.Hosts() {
		h.SetLag(r.plan.Lag)
		r.roles[h.ID] = hosts.Follower
	}
	if r.plan.Roles != soak.RolesNever {
		r.roles[c.Primary().ID] = hosts.Leader
	}
}

// answerDelay returns a function that draws the delay between creating and writing an answer, or nil for no
// delay.
func (r *soakRun) answerDelay(seed uint64) func() time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x64656c6179))
	draw := func(maxDelay time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.Int64N(int64(maxDelay)))
	}
	switch r.plan.Ages.Answers {
	case soak.Allowed:
		return func() time.Duration { return draw(soak.KnownWithin) }
	case soak.Older:
		return func() time.Duration { return max(0, draw(4*olderAnswers)-3*olderAnswers) }
	}
	return nil
}

// delayGossip delays datagrams as the plan says.
func (r *soakRun) delayGossip() {
	switch r.plan.Ages.Gossip {
	case soak.Allowed:
		r.network.SetDelay(time.Millisecond, lateGossip)
	case soak.Older:
		r.network.SetDelay(time.Millisecond, olderGossip)
	}
}

// playAgeEvent plays an event that makes the statements of a group's hosts outdated, together with the gateway
// fault that the event combines with it, at the same time or e.After later.
func (r *soakRun) playAgeEvent(e soak.Event) {
	n, begin := r.nodes[e.Target], func() { r.startAgeFault(e) }
	switch {
	case e.With == "" || e.After > 0:
		begin()
		begin = nil
	case e.With != soak.Restart && e.With != soak.Series && e.With != soak.Kill:
		begin()
	}
	switch e.With {
	case "":
	case soak.Restart, soak.Series:
		r.work.Go(func() { time.Sleep(e.After); r.restart(n, e.With == soak.Series, begin) })
	case soak.Kill:
		r.work.Go(func() { time.Sleep(e.After); r.kill(n, begin) })
	default:
		time.AfterFunc(e.After, func() { r.playNodeEvent(n, soak.Event{Kind: e.With, For: e.For}) })
	}
}

func (r *soakRun) startAgeFault(e soak.Event) {
	c := r.clusters[e.Group]
	old := c.Primary()
	if old == nil {
		return // another such event is in progress
	}
	if e.Stalled {
		r.stallLogs(c, e.For)
	}
	switch e.Kind {
	case soak.HangButProbes:
		old.SetHang(hosts.ButProbes)
		r.setPrimary(c, nil)
		if e.Next {
			time.AfterFunc(e.For/2, func() { r.promoteSuccessor(old) })
		}
		time.AfterFunc(e.For, func() { r.wake(old) })
	case soak.HeldAnswers:
		old.SetHang(hosts.AfterCommit)
		time.AfterFunc(e.For, func() { old.SetHang(hosts.NotHung) })
	case soak.ReportsStop:
		r.stopReports(c, true)
		time.AfterFunc(e.For, func() { r.stopReports(c, false) })
	case soak.OldRole:
		old.StopReports(true)
		r.setPrimary(c, r.successor(old))
		time.AfterFunc(e.For, func() { old.StopReports(false) })
	case soak.LogStalls:
		r.stallLogs(c, e.For)
	}
}

// stallLogs stalls the logs of a group's replicas for the given duration.
func (r *soakRun) stallLogs(c *hosts.Cluster, duration time.Duration) {
	r.setApplySpeed(c, stalled)
	time.AfterFunc(duration, func() { r.setApplySpeed(c, 0) })
}

// wake ends a host's hang. The host becomes the primary if its group has none.
func (r *soakRun) wake(h *hosts.Host) {
	if c := r.clusterOf(h); c.Primary() == nil {
		r.setPrimary(c, h)
	}
	h.SetHang(hosts.NotHung)
}

func (r *soakRun) stopReports(c *hosts.Cluster, stopped bool) {
	for _, h := range c.Hosts() {
		h.StopReports(stopped)
	}
}

func (r *soakRun) setApplySpeed(c *hosts.Cluster, speed float64) {
	for _, h := range c.Hosts() {
		h.SetApplySpeed(speed)
	}
}

// kill sends SIGKILL to the process and starts the next one. It calls onStart, if not nil, when that one has
// been started.
func (r *soakRun) kill(n *soakNode, onStart func()) {
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	n.mu.Lock()
	cmd := n.cmd
	n.killed = time.Now()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	n.mu.Unlock()
	_ = cmd.Wait()
	r.startNextProcess(n, onStart)
}

// killedSince reports whether a process of the gateway has been killed after at.
func (n *soakNode) killedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed.After(at)
}

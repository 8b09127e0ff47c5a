package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/soak"
)

// What makes the messages of a soak run older than they seem: answers that are held, load reports that are not made, datagrams that
// travel long, and gateways that start, end or are held up in that moment.

const (
	// lateGossip bounds how long datagrams travel that are as old as a gateway takes them, olderGossip those that are older.
	lateGossip, olderGossip = 2 * time.Second, 5 * time.Second
	// olderAnswers bounds how long answers are held that are older than they may be; one in four is.
	olderAnswers = 600 * time.Millisecond
	// stalled is the speed of a log that stands still, in seconds a second.
	stalled = 1e-9
)

// startGroup starts the hosts of the next group, the first of which is its primary.
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

// answerDelay draws how long each answer of a host takes from its making until it is written.
func (r *soakRun) answerDelay(seed uint64) func() time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x64656c6179))
	draw := func(most time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.Int64N(int64(most)))
	}
	switch r.plan.Ages.Answers {
	case soak.Allowed:
		return func() time.Duration { return draw(soak.KnownWithin) }
	case soak.Older:
		return func() time.Duration { return max(0, draw(4*olderAnswers)-3*olderAnswers) }
	}
	return nil
}

// slowGossip lets datagrams travel for as long as the plan says.
func (r *soakRun) slowGossip() {
	switch r.plan.Ages.Gossip {
	case soak.Allowed:
		r.network.SetDelay(time.Millisecond, lateGossip)
	case soak.Older:
		r.network.SetDelay(time.Millisecond, olderGossip)
	}
}

// playAge plays an event that makes what a group's hosts tell old, together with what happens to a gateway in that moment or later.
func (r *soakRun) playAge(e soak.Event) {
	n, strike := r.nodes[e.Target], func() { r.strike(e) }
	switch {
	case e.With == "" || e.After > 0:
		strike()
		strike = nil
	case e.With != soak.Restart && e.With != soak.Series && e.With != soak.Kill:
		strike()
	}
	switch e.With {
	case "":
	case soak.Restart, soak.Series:
		r.work.Go(func() { time.Sleep(e.After); r.restart(n, e.With == soak.Series, strike) })
	case soak.Kill:
		r.work.Go(func() { time.Sleep(e.After); r.kill(n, strike) })
	default:
		time.AfterFunc(e.After, func() { r.playNode(n, soak.Event{Kind: e.With, For: e.For}) })
	}
}

func (r *soakRun) strike(e soak.Event) {
	c := r.clusters[e.Group]
	old := c.Primary()
	if old == nil {
		return // another of these is being played
	}
	if e.Stalled {
		r.stallLogs(c, e.For)
	}
	switch e.Kind {
	case soak.HangButProbes:
		old.SetHang(hosts.ButProbes)
		r.lead(c, nil)
		if e.Next {
			time.AfterFunc(e.For/2, func() { r.takeOver(old) })
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
		r.lead(c, r.next(old))
		time.AfterFunc(e.For, func() { old.StopReports(false) })
	case soak.LogStalls:
		r.stallLogs(c, e.For)
	}
}

// stallLogs has the logs of a group's replicas stand still for a while.
func (r *soakRun) stallLogs(c *hosts.Cluster, long time.Duration) {
	r.setApplySpeed(c, stalled)
	time.AfterFunc(long, func() { r.setApplySpeed(c, 0) })
}

// wake lets a host that hangs go on, as the primary where nobody has taken its place.
func (r *soakRun) wake(h *hosts.Host) {
	if c := r.clusterOf(h); c.Primary() == nil {
		r.lead(c, h)
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

// kill ends the process at once and starts the next one; begun, if there is one, is called as that starts.
func (r *soakRun) kill(n *soakNode, begun func()) {
	n.restarts.Lock()
	defer n.restarts.Unlock()
	n.mu.Lock()
	cmd := n.cmd
	n.killed = time.Now()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	n.mu.Unlock()
	_ = cmd.Wait()
	r.startAgain(n, begun)
}

// killedSince says whether a process of the gateway has been killed since a time.
func (n *soakNode) killedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed.After(at)
}

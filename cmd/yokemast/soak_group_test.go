package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/soak"
)

// This file has the events of host groups in a soak run: changes of the primary, replica lag, and the
// endpoint lists that follow them late.

// entry returns a host's present entry on a gateway's endpoint list.
func (r *soakRun) entry(n *soakNode, h *hosts.Host) discovery.Entry {
	phase := r.phases[h.ID]
	if phase == "" {
		phase = "SERVING"
	}
	e := h.ListEntry(phase)
	if l := n.links[h.ID]; l != nil {
		e["host_port"] = l.Address()
	}
	if e["role"] = r.roles[h.ID]; r.plan.Roles == soak.RolesNever {
		delete(e, "role")
	}
	if e["up_since_ms"] = r.starts[h.ID]; r.starts[h.ID] == nil {
		e["up_since_ms"] = 0
	}
	return e
}

// updateEntry applies a change to a host's entry and publishes the entry at every agent.
func (r *soakRun) updateEntry(h *hosts.Host, change func()) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	change()
	for _, n := range r.nodes {
		n.agent.Set(r.entry(n, h))
	}
}

// allHosts returns the hosts of all groups.
func (r *soakRun) allHosts() (out []*hosts.Host) {
	for _, c := range r.clusters {
		out = append(out, c.Hosts()...)
	}
	return out
}

// clusterOf returns the cluster of a host's group.
func (r *soakRun) clusterOf(h *hosts.Host) *hosts.Cluster { return r.clusters[h.Group-1] }

// setPrimary makes a host the primary of its group, or leaves the group without one if h is nil. With the
// plan's RolesLate the endpoint lists show it after RoleLag.
func (r *soakRun) setPrimary(c *hosts.Cluster, h *hosts.Host) {
	old := c.Primary()
	c.Promote(h)
	if r.plan.Roles != soak.RolesLate {
		return
	}
	if old != nil && old != h {
		time.AfterFunc(r.plan.RoleLag, func() { r.updateEntry(old, func() { r.roles[old.ID] = hosts.Follower }) })
	}
	if h != nil {
		time.AfterFunc(r.plan.RoleLag, func() { r.updateEntry(h, func() { r.roles[h.ID] = hosts.Leader }) })
	}
}

// startHost restarts a crashed host. The endpoint lists show its start after StartLag.
func (r *soakRun) startHost(h *hosts.Host) {
	if h.Restart() != nil {
		return // it has been started in the meantime
	}
	started := h.ListEntry("SERVING")["up_since_ms"]
	time.AfterFunc(r.plan.StartLag, func() { r.updateEntry(h, func() { r.starts[h.ID] = started }) })
}

// successor returns the host of the group that replaces old as the primary.
func (r *soakRun) successor(old *hosts.Host) *hosts.Host {
	all := r.clusterOf(old).Hosts()
	for i, h := range all {
		if h == old {
			return all[(i+1)%len(all)]
		}
	}
	return all[0]
}

func (r *soakRun) playGroupEvent(e soak.Event) {
	c := r.clusters[e.Group]
	old := c.Primary()
	if old == nil {
		return // another such event is in progress
	}
	switch e.Kind {
	case soak.FailOver:
		r.setPrimary(c, nil)
		old.Crash()
		old.SetLag(r.plan.Lag + e.Lag)
		time.AfterFunc(e.For/2, func() { r.startHost(old) })
		time.AfterFunc(e.For, func() { r.promoteSuccessor(old) })
	case soak.Deposed:
		old.SetHang(hosts.BeforeCommit)
		r.setPrimary(c, nil)
		time.AfterFunc(e.For/2, func() { r.promoteSuccessor(old) })
		time.AfterFunc(e.For, func() { old.SetHang(hosts.NotHung) })
	case soak.HandOver:
		r.setPrimary(c, r.successor(old))
		time.AfterFunc(e.For, func() { r.setPrimary(c, old) })
	case soak.Lag:
		for _, h := range c.Hosts() {
			h.SetLag(e.Lag)
			h.SetApplySpeed(1.5)
		}
		time.AfterFunc(e.For, func() {
			for _, h := range c.Hosts() {
				h.SetLag(r.plan.Lag)
			}
		})
	}
}

// promoteSuccessor makes another host the primary if the group has none.
func (r *soakRun) promoteSuccessor(old *hosts.Host) {
	if c := r.clusterOf(old); c.Primary() == nil {
		r.setPrimary(c, r.successor(old))
	}
}

// withGossip turns gossip on in the configuration of gateway i.
func (r *soakRun) withGossip(config string, i int) string {
	var peers []string
	for n := range r.plan.Gateways {
		peers = append(peers, fmt.Sprintf("%q", r.peerAddress(n)))
	}
	if err := r.network.Join(r.peerAddress(i)); err != nil {
		r.t.Fatal(err)
	}
	config = strings.Replace(config, `"limits":{"connIdle"`, `"limits":{"peers":true,"connIdle"`, 1)
	config = strings.Replace(config, `"step":5000000`, fmt.Sprintf(`"step":5000000,"ordinal":%d`, i), 1)
	return strings.Replace(config, `"seed"`, fmt.Sprintf(`"peer_listen":%q,"peers_all":%q,"peers":[%s],"seed"`, r.peerAddress(i),
		r.network.Address(), strings.Join(peers, ",")), 1)
}

// peerAddress returns the address on which gateway i listens for gossip. It differs between processes that
// run the same seed at the same time.
func (r *soakRun) peerAddress(i int) string {
	pid := uint64(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d:7946", 192+pid%32, 1+(pid/32+r.plan.Seed)%250, 1+i)
}

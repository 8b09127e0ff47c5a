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

// What happens to the groups of hosts in a soak run: who leads, how far replicas are behind, and what the list tells of it, late.

// entry is a host as a gateway's list tells of it by now.
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

// relist changes what the list tells of a host and has every agent tell it.
func (r *soakRun) relist(h *hosts.Host, change func()) {
	r.listing.Lock()
	defer r.listing.Unlock()
	change()
	for _, n := range r.nodes {
		n.agent.Set(r.entry(n, h))
	}
}

// hosts are those of all groups.
func (r *soakRun) hosts() (out []*hosts.Host) {
	for _, c := range r.clusters {
		out = append(out, c.Hosts()...)
	}
	return out
}

// clusterOf is the group that a host is in.
func (r *soakRun) clusterOf(h *hosts.Host) *hosts.Cluster { return r.clusters[h.Group-1] }

// lead lets a host of a group lead; nil: nobody does. The list tells of it late.
func (r *soakRun) lead(c *hosts.Cluster, h *hosts.Host) {
	old := c.Primary()
	c.Promote(h)
	if r.plan.Roles != soak.RolesLate {
		return
	}
	if old != nil && old != h {
		time.AfterFunc(r.plan.RoleLag, func() { r.relist(old, func() { r.roles[old.ID] = hosts.Follower }) })
	}
	if h != nil {
		time.AfterFunc(r.plan.RoleLag, func() { r.relist(h, func() { r.roles[h.ID] = hosts.Leader }) })
	}
}

// startHost starts a host that has crashed. The list tells of it late.
func (r *soakRun) startHost(h *hosts.Host) {
	if h.Restart() != nil {
		return // it has been started meanwhile
	}
	started := h.ListEntry("SERVING")["up_since_ms"]
	time.AfterFunc(r.plan.StartLag, func() { r.relist(h, func() { r.starts[h.ID] = started }) })
}

// next is a host that can lead in place of one that fails.
func (r *soakRun) next(old *hosts.Host) *hosts.Host {
	all := r.clusterOf(old).Hosts()
	for i, h := range all {
		if h == old {
			return all[(i+1)%len(all)]
		}
	}
	return all[0]
}

func (r *soakRun) playGroup(e soak.Event) {
	c := r.clusters[e.Group]
	old := c.Primary()
	if old == nil {
		return // another of these is being played
	}
	switch e.Kind {
	case soak.FailOver:
		r.lead(c, nil)
		old.Crash()
		old.SetLag(r.plan.Lag + e.Lag)
		time.AfterFunc(e.For/2, func() { r.startHost(old) })
		time.AfterFunc(e.For, func() { r.takeOver(old) })
	case soak.Deposed:
		old.SetHang(hosts.BeforeCommit)
		r.lead(c, nil)
		time.AfterFunc(e.For/2, func() { r.takeOver(old) })
		time.AfterFunc(e.For, func() { old.SetHang(hosts.NotHung) })
	case soak.HandOver:
		r.lead(c, r.next(old))
		time.AfterFunc(e.For, func() { r.lead(c, old) })
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

// takeOver lets another host lead if still nobody does.
func (r *soakRun) takeOver(old *hosts.Host) {
	if c := r.clusterOf(old); c.Primary() == nil {
		r.lead(c, r.next(old))
	}
}

// withGossip lets a gateway of a configuration tell the others what it sees.
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

// peerAddress is where a gateway of the run listens for datagrams, of its own also beside other runs of the same seed.
func (r *soakRun) peerAddress(i int) string {
	pid := uint64(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d:7946", 192+pid%32, 1+(pid/32+r.plan.Seed)%250, 1+i)
}

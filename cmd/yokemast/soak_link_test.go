package main

import (
	"time"

	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/linkfault"
	"yokemast/internal/testbed/soak"
	"yokemast/internal/wire/pg"
)

// startLinks puts a link that can play faults between a gateway of a soak run and each host.
func (r *soakRun) startLinks(n *soakNode, number uint64) {
	n.links = map[string]*linkfault.Link{}
	for i, h := range r.allHosts() {
		l, err := linkfault.New(h.Address, r.plan.Seed<<16|number<<8|uint64(i), r.watchLink(n, h))
		if err != nil {
			r.t.Fatal(err)
		}
		n.links[h.ID] = l
	}
}

// watchLink returns a watcher that records in the ledger which requests and answers pass the link.
func (r *soakRun) watchLink(n *soakNode, h *hosts.Host) linkfault.Watcher {
	return linkfault.Watcher{
		Sent: func(q linkfault.Sent) {
			if s, bad := pg.ParseStatement([]byte(q.Text)); bad == nil {
				r.ledger.SentTo(h.ID, s.ID, q.First, q.Last, q.Open)
			}
		},
		Delivering: func(a linkfault.Answer) {
			if s, bad := pg.ParseStatement([]byte(a.Text)); bad == nil {
				r.ledger.Delivering(h.ID, s.ID)
			}
		},
		Delivered: func(a linkfault.Answer) {
			if a.Follower {
				r.ledger.FollowerDelivered(n.name, h.ID, a.Made)
			}
		},
	}
}

// playLinkEvent applies a fault to one link of a gateway, or to all of them, for e.For.
func (r *soakRun) playLinkEvent(e soak.Event) {
	for i, h := range r.allHosts() {
		if l := r.nodes[e.Target].links[h.ID]; e.Host == soak.EveryHost || e.Host == i {
			endFault := l.Begin(e.Fault)
			time.AfterFunc(e.For, endFault)
		}
	}
}

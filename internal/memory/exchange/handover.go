package exchange

import (
	"context"
	"slices"
	"strings"
	"time"

	"yokemast/balance"
	"yokemast/internal/disk/handover"
)

type surveying struct{ done chan handover.State }

type inheriting struct {
	known handover.State
	list  members // of the hosts that it names
}

// HandoverState says what is known of the hosts, for a process that follows this one. The list's revision is not known here.
func (x *Exchange) HandoverState(ctx context.Context) (handover.State, error) {
	s := surveying{make(chan handover.State, 1)}
	x.post(s)
	select {
	case k := <-s.done:
		return k, nil
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	}
}

// Inherit takes what an earlier process of this gateway knew, which was asked for at a time.
//
// How long ago the earlier process was notified of a drain counts from when it was asked, not from when it answered: that is
// never later than it was.
func (x *Exchange) Inherit(askedAt time.Duration, k handover.State) {
	if k.ClockKnown {
		x.cfg.Clock.Inherit(k.At, k.Offset)
	}
	l := List{Agent: k.Agent, Revision: k.Revision, At: x.cfg.Clock.Now(), Snapshot: true, Hosts: make([]Member, 0, len(k.Hosts)), inherited: true}
	for _, h := range k.Hosts {
		m := Member{Address: h.Address, NotifiedBy: h.NotifiedBy, NotifiedRevision: h.NotifiedRevision, Member: balance.Member{Server: h.Server, Group: h.Group, State: h.State,
			Primary: h.Listed, Weight: h.Weight}}
		if h.Started > 0 {
			m.Started = x.cfg.Clock.fleetAtMost(h.Started)
		}
		if h.NotifiedFor > 0 {
			m.NotifiedAt = askedAt - h.NotifiedFor
		}
		l.Hosts = append(l.Hosts, m)
	}
	x.post(inheriting{known: k, list: x.bounds.take(l)})
}

func (x *Exchange) survey() handover.State {
	now := x.cfg.Clock.Now()
	b := x.cfg.Clock.Bounds()
	k := handover.State{At: now, Revision: -1, Agent: x.bounds.lastAgent(), Newest: max(x.newest, x.cfg.Settings.Floor), ClockKnown: b.HasMax && !b.Contradicted}
	if k.ClockKnown {
		k.Offset = b.At(now)
	}
	x.router.Views(now, func(s balance.MemberView) {
		m, listed := x.list[s.Server]
		if !listed || m.State == balance.Removed {
			return
		}
		h := handover.Host{Server: s.Server, Address: m.Address, Group: m.Group, State: m.State, Listed: m.Primary,
			Weight: m.Weight, Started: s.Started, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: s.Usable || s.Primary}
		if at, ok := x.bounds.notifiedAt(s.Server); ok {
			h.NotifiedFor = now - at
			h.NotifiedBy, h.NotifiedRevision = x.bounds.toldBy(s.Server)
		}
		k.Hosts = append(k.Hosts, h)
	})
	slices.SortFunc(k.Hosts, func(a, b handover.Host) int { return strings.Compare(a.Server, b.Server) })
	return k
}

// recall is what the module knows of the hosts, for another one that takes its place after a panic. Where even that fails, each
// host counts as a follower until it says otherwise.
func (x *Exchange) recall() (out []balance.PriorEvidence) {
	now := x.cfg.Clock.Now()
	defer func() {
		if p := recover(); p == nil {
			return
		}
		out = nil
		for server := range x.list {
			out = append(out, balance.PriorEvidence{Server: server, ReplicaNotAfter: now, Alive: true})
		}
	}()
	x.router.Views(now, func(s balance.MemberView) {
		out = append(out, balance.PriorEvidence{Server: s.Server, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: true})
	})
	return out
}

// inherit hands the module the list, and what was known of each host. A host that was set aside is probed before it is used.
func (x *Exchange) inherit(e inheriting) {
	k := e.known
	x.members(e.list)
	for _, h := range k.Hosts {
		x.decide(balance.PriorEvidence{Server: h.Server, PrimaryNotBefore: h.PrimaryNotBefore, ReplicaNotAfter: h.ReplicaNotAfter, Position: h.Position, Alive: h.Alive})
	}
	s := x.cfg.Settings
	if s.Restarted = true; !s.TokensCarried {
		// What each session wrote stays behind: to a read of any, the last write of all counts as its own.
		s.Floor = max(s.Floor, k.Newest)
	}
	x.cfg.Settings = s
	x.decide(balance.SettingsUpdate{Settings: s})
}

// wrote notes the last write that the module remembers of any session.
func (x *Exchange) wrote(now, commit time.Duration) {
	if commit == 0 {
		commit = x.cfg.Clock.fleetAtMost(now)
	}
	x.newest = max(x.newest, commit)
}

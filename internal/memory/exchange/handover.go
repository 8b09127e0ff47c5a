package exchange

import (
	"context"
	"slices"
	"strings"
	"time"

	"yokemast/balance"
	"yokemast/internal/disk/handover"
)

type surveying struct{ done chan handover.Knowledge }

type inheriting struct {
	known handover.Knowledge
	list  members // of the hosts that it names
}

// Survey says what is known of the hosts, for a process that follows this one. The list's revision is not known here.
func (x *Exchange) Survey(ctx context.Context) (handover.Knowledge, error) {
	s := surveying{make(chan handover.Knowledge, 1)}
	x.post(s)
	select {
	case k := <-s.done:
		return k, nil
	case <-ctx.Done():
		return handover.Knowledge{}, ctx.Err()
	}
}

// Inherit takes what an earlier process of this gateway knew, which was asked for at a time.
//
// How long ago the earlier process was notified of a drain counts from when it was asked, not from when it answered: that is
// never later than it was.
func (x *Exchange) Inherit(askedAt time.Duration, k handover.Knowledge) {
	if k.ClockKnown {
		x.cfg.Clock.Inherit(k.At, k.Ahead)
	}
	l := List{Agent: k.Agent, Revision: k.Revision, At: x.cfg.Clock.Now(), Whole: true, Hosts: make([]Member, 0, len(k.Hosts)), inherited: true}
	for _, h := range k.Hosts {
		m := Member{Address: h.Address, ToldBy: h.ToldBy, ToldIn: h.ToldIn, Member: balance.Member{Server: h.Server, Group: h.Group, State: h.State,
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

func (x *Exchange) survey() handover.Knowledge {
	now := x.cfg.Clock.Now()
	b := x.cfg.Clock.Bounds()
	k := handover.Knowledge{At: now, Revision: -1, Agent: x.bounds.lastAgent(), Newest: max(x.newest, x.cfg.Settings.Floor), ClockKnown: b.Bounded && !b.Doubted}
	if k.ClockKnown {
		k.Ahead = b.At(now)
	}
	x.router.Look(now, func(s balance.Seen) {
		m, listed := x.list[s.Server]
		if !listed || m.State == balance.Left {
			return
		}
		h := handover.Host{Server: s.Server, Address: m.Address, Group: m.Group, State: m.State, Listed: m.Primary,
			Weight: m.Weight, Started: s.Started, Leads: s.Leads, Follows: s.Follows, Position: s.Position, Alive: s.Usable || s.Primary}
		if at, ok := x.bounds.notifiedAt(s.Server); ok {
			h.NotifiedFor = now - at
			h.ToldBy, h.ToldIn = x.bounds.toldBy(s.Server)
		}
		k.Hosts = append(k.Hosts, h)
	})
	slices.SortFunc(k.Hosts, func(a, b handover.Host) int { return strings.Compare(a.Server, b.Server) })
	return k
}

// recall is what the module knows of the hosts, for another one that takes its place after a panic. Where even that fails, each
// host counts as a follower until it says otherwise.
func (x *Exchange) recall() (out []balance.Inherited) {
	now := x.cfg.Clock.Now()
	defer func() {
		if p := recover(); p == nil {
			return
		}
		out = nil
		for server := range x.list {
			out = append(out, balance.Inherited{Server: server, Follows: now, Alive: true})
		}
	}()
	x.router.Look(now, func(s balance.Seen) {
		out = append(out, balance.Inherited{Server: s.Server, Leads: s.Leads, Follows: s.Follows, Position: s.Position, Alive: true})
	})
	return out
}

// inherit hands the module the list, and what was known of each host. A host that was set aside is probed before it is used.
func (x *Exchange) inherit(e inheriting) {
	k := e.known
	x.members(e.list)
	for _, h := range k.Hosts {
		x.decide(balance.Inherited{Server: h.Server, Leads: h.Leads, Follows: h.Follows, Position: h.Position, Alive: h.Alive})
	}
	s := x.cfg.Settings
	if s.Restarted = true; !s.TokensCarried {
		// What each session wrote stays behind: to a read of any, the last write of all counts as its own.
		s.Floor = max(s.Floor, k.Newest)
	}
	x.cfg.Settings = s
	x.decide(balance.Retune{Settings: s})
}

// wrote notes the last write that the module remembers of any session.
func (x *Exchange) wrote(now, commit time.Duration) {
	if commit == 0 {
		commit = x.cfg.Clock.fleetAtMost(now)
	}
	x.newest = max(x.newest, commit)
}

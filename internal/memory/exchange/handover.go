package exchange

import (
	"context"
	"slices"
	"strings"
	"time"

	"yokemast/balance"
	"yokemast/internal/disk/handover"
)

// surveying is the event of a call to Survey.
type surveying struct{ done chan handover.Knowledge }

// inheriting is the event of a call to Inherit.
type inheriting struct {
	known handover.Knowledge
	list  members // the hosts of known as an applied list
}

// Survey returns the handover state for the new process of a hot restart. The revision of the endpoint list is
// not known here and left negative.
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

// Inherit applies the handover state of the old process, which was requested at askedAt.
//
// The age of a drain notification is subtracted from askedAt rather than from the time of the answer, so that
// the resulting time is never later than the actual notification.
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

// survey collects the handover state.
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

// recall returns the module's evidence about the hosts, for the module that replaces it after a panic. If
// collecting it panics too, each host counts as a follower until it states otherwise.
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

// inherit passes the inherited list and the evidence about each host to the module. A host that the old process
// had ejected is probed before it is used.
func (x *Exchange) inherit(e inheriting) {
	k := e.known
	x.members(e.list)
	for _, h := range k.Hosts {
		x.decide(balance.Inherited{Server: h.Server, Leads: h.Leads, Follows: h.Follows, Position: h.Position, Alive: h.Alive})
	}
	s := x.cfg.Settings
	if s.Restarted = true; !s.TokensCarried {
		// The positions of the individual sessions' writes are not handed over, so a read of any session must
		// see the newest write of all sessions.
		s.Floor = max(s.Floor, k.Newest)
	}
	x.cfg.Settings = s
	x.decide(balance.Retune{Settings: s})
}

// wrote records the position of a session's write. If the position of the commit is unknown (0), it takes the
// latest time that the fleet's clock may show.
func (x *Exchange) wrote(now, commit time.Duration) {
	if commit == 0 {
		commit = x.cfg.Clock.fleetAtMost(now)
	}
	x.newest = max(x.newest, commit)
}

package exchange

import (
	"context"
	"slices"
	"strings"
	"time"

	"yokemast/balance"
	"yokemast/internal/disk/handover"
)

// stateRequest is the event of a call to HandoverState.
type stateRequest struct{ done chan handover.State }

// inheritedState is the event of a call to Inherit.
type inheritedState struct {
	state handover.State
	list  endpointList // its hosts as an applied list
}

// HandoverState returns the handover state for the new process of a hot restart. The revision of the endpoint list is
// not known here and left negative.
func (x *Exchange) HandoverState(ctx context.Context) (handover.State, error) {
	s := stateRequest{make(chan handover.State, 1)}
	x.post(s)
	select {
	case k := <-s.done:
		return k, nil
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	}
}

// Inherit applies the handover state of the old process, which was requested at requestedAt.
//
// The age of a drain notification is subtracted from requestedAt rather than from the time of the answer, so
// that the resulting time is never later than the actual notification.
func (x *Exchange) Inherit(requestedAt time.Duration, state handover.State) {
	if state.ClockKnown {
		x.cfg.Clock.Inherit(state.At, state.Offset)
	}
	l := List{Agent: state.Agent, Revision: state.Revision, At: x.cfg.Clock.Now(), Snapshot: true, Hosts: make([]Member, 0, len(state.Hosts)), inherited: true}
	for _, h := range state.Hosts {
		m := Member{Address: h.Address, NotifiedBy: h.NotifiedBy, NotifiedRevision: h.NotifiedRevision, Member: balance.Member{Server: h.Server, Group: h.Group, State: h.State,
			Primary: h.Listed, Weight: h.Weight}}
		if h.Started > 0 {
			m.Started = x.cfg.Clock.maxFleetTime(h.Started)
		}
		if h.NotifiedFor > 0 {
			m.NotifiedAt = requestedAt - h.NotifiedFor
		}
		l.Hosts = append(l.Hosts, m)
	}
	x.post(inheritedState{state: state, list: x.sendDeadlines.apply(l)})
}

// handoverState collects the handover state.
func (x *Exchange) handoverState() handover.State {
	now := x.cfg.Clock.Now()
	b := x.cfg.Clock.Bounds()
	state := handover.State{At: now, Revision: -1, Agent: x.sendDeadlines.lastAgent(), Newest: max(x.newestWrite, x.cfg.Settings.Floor), ClockKnown: b.HasMax && !b.Contradicted}
	if state.ClockKnown {
		state.Offset = b.At(now)
	}
	x.router.Views(now, func(s balance.MemberView) {
		m, listed := x.listed[s.Server]
		if !listed || m.State == balance.Removed {
			return
		}
		h := handover.Host{Server: s.Server, Address: m.Address, Group: m.Group, State: m.State, Listed: m.Primary,
			Weight: m.Weight, Started: s.Started, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: s.Usable || s.Primary}
		if at, ok := x.sendDeadlines.notifiedAt(s.Server); ok {
			h.NotifiedFor = now - at
			h.NotifiedBy, h.NotifiedRevision = x.sendDeadlines.notifiedBy(s.Server)
		}
		state.Hosts = append(state.Hosts, h)
	})
	slices.SortFunc(state.Hosts, func(a, b handover.Host) int { return strings.Compare(a.Server, b.Server) })
	return state
}

// moduleEvidence returns the module's evidence about the hosts, for the module that replaces it after a panic.
// If collecting it panics too, each host counts as a replica until it states otherwise.
func (x *Exchange) moduleEvidence() (evidence []balance.PriorEvidence) {
	now := x.cfg.Clock.Now()
	defer func() {
		if p := recover(); p == nil {
			return
		}
		evidence = nil
		for server := range x.listed {
			evidence = append(evidence, balance.PriorEvidence{Server: server, ReplicaNotAfter: now, Alive: true})
		}
	}()
	x.router.Views(now, func(s balance.MemberView) {
		evidence = append(evidence, balance.PriorEvidence{Server: s.Server, PrimaryNotBefore: s.PrimaryNotBefore, ReplicaNotAfter: s.ReplicaNotAfter, Position: s.Position, Alive: true})
	})
	return evidence
}

// handleInherited passes the inherited list and the evidence about each host to the module. A host that the old
// process had ejected is probed before it is used.
func (x *Exchange) handleInherited(e inheritedState) {
	state := e.state
	x.handleMembers(e.list)
	for _, h := range state.Hosts {
		x.decide(balance.PriorEvidence{Server: h.Server, PrimaryNotBefore: h.PrimaryNotBefore, ReplicaNotAfter: h.ReplicaNotAfter, Position: h.Position, Alive: h.Alive})
	}
	s := x.cfg.Settings
	if s.Restarted = true; !s.TokensCarried {
		// The positions of the individual sessions' writes are not handed over, so a read of any session must
		// see the newest write of all sessions.
		s.Floor = max(s.Floor, state.Newest)
	}
	x.cfg.Settings = s
	x.decide(balance.SettingsUpdate{Settings: s})
}

// recordWrite records the position of a session's write. If the position of the commit is unknown (0), it takes
// the latest time that the fleet's clock may show.
func (x *Exchange) recordWrite(now, commit time.Duration) {
	if commit == 0 {
		commit = x.cfg.Clock.maxFleetTime(now)
	}
	x.newestWrite = max(x.newestWrite, commit)
}

package exchange

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/cells"
)

// lookEvery is the interval at which the cells get the module's view of the hosts and moves progress.
const lookEvery = 50 * time.Millisecond

// ErrNoCells is returned if the operator's file configures no cells.
var ErrNoCells = errors.New("there are no cells: the operator's file configures none")

// configuring is the event of a new configuration of the cells.
type configuring struct{ cells *cells.Config }

// asking is the event of a call by Cells.
type asking struct {
	do   func(now time.Duration, s *cells.State) ([]cells.Action, error)
	done chan error
}

// Configure sets the cells that the operator's file names, or nil for none. The configuration must have been
// validated.
func (x *Exchange) Configure(c *cells.Config) { x.post(configuring{c}) }

// Cells calls do with the state of the cells between two events and performs the actions that do returns. It
// returns the error of do, or ErrNoCells.
func (x *Exchange) Cells(ctx context.Context, do func(now time.Duration, s *cells.State) ([]cells.Action, error)) error {
	a := asking{do, make(chan error, 1)}
	x.post(a)
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (x *Exchange) ask(do func(time.Duration, *cells.State) ([]cells.Action, error)) error {
	if x.cells == nil {
		return ErrNoCells
	}
	acts, err := do(x.cfg.Clock.Now(), x.cells)
	x.carryOut(acts)
	return err
}

// configure applies a configuration of the cells. If it removes the cells, requests held at a fence go to the
// group that they named.
func (x *Exchange) configure(c *cells.Config) {
	now := x.cfg.Clock.Now()
	if c == nil {
		x.cells = nil
		x.decide(balance.Cells{})
		for _, o := range x.open {
			o.ticket = cells.Ticket{}
			if o.waits {
				x.pass(o, cells.Verdict{Group: o.Group})
			}
		}
		return
	}
	own := *c
	own.Gateways = max(1, x.cfg.Settings.Routers)
	if x.cells != nil {
		acts, err := x.cells.Configure(now, own)
		if err != nil {
			x.cfg.Log.Error("cells configuration rejected", zap.Error(err))
		}
		x.carryOut(acts)
		return
	}
	s, err := cells.New(own)
	if err != nil {
		x.cfg.Log.Error("cells configuration rejected", zap.Error(err))
		return
	}
	x.cells, x.lookAt = s, now
	list := make([]balance.Member, 0, len(x.list))
	for _, m := range x.list {
		list = append(list, m.Member)
	}
	x.carryOut(s.Hosts(now, true, list))
	x.decide(s.Cells())
}

// question returns the cells' view of a request.
func question(o *open) cells.Ask {
	return cells.Ask{ID: o.ID, User: o.User, Claim: o.Tenant, Key: o.Session, Group: o.Group, Write: o.Write,
		Deadline: o.deadline}
}

// admit passes a request to the admission of the cells. It returns an error if the user may not act for the
// tenant.
func (x *Exchange) admit(o *open) (cells.Verdict, error) {
	if x.cells == nil {
		return cells.Verdict{Group: o.Group}, nil
	}
	v := x.cells.Admit(x.cfg.Clock.Now(), question(o))
	if v.Kind == cells.Denied {
		return v, errors.New(v.Reason)
	}
	o.ticket = v.Ticket
	return v, nil
}

// done returns the request's ticket to the cells. Further calls have no effect.
func (x *Exchange) done(o *open) {
	if x.cells != nil {
		x.cells.Done(x.cfg.Clock.Now(), o.ticket)
	}
	o.ticket = cells.Ticket{}
}

// look passes the module's view of the hosts to the cells if that is due.
func (x *Exchange) look(now time.Duration) {
	if x.cells == nil || now < x.lookAt {
		return
	}
	x.lookAt = now + lookEvery
	x.seen = x.seen[:0]
	x.router.Look(now, func(s balance.Seen) { x.seen = append(x.seen, s) })
	x.carryOut(x.cells.Look(now, x.seen))
}

// carryOut performs the actions that the cells returned.
func (x *Exchange) carryOut(acts []cells.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case cells.Placed:
			x.decide(a.Cells)
		case cells.Release:
			if o := x.open[a.ID]; o != nil && o.waits && !o.answered {
				v := x.cells.Resume(x.cfg.Clock.Now(), question(o), o.ticket)
				o.ticket = v.Ticket
				x.pass(o, v)
			}
		case cells.GiveUp:
			if o := x.open[a.ID]; o != nil && o.waits && !o.answered {
				x.pass(o, cells.Verdict{Kind: cells.Over, Group: o.Group, After: a.After})
			}
		case cells.Changed:
			m := a.Move
			x.cfg.Counters.Moves[m.Stage].Add(1)
			x.cfg.Log.Info("move", zap.String("tenant", m.Tenant), zap.Stringer("stage", m.Stage), zap.String("from", m.From),
				zap.String("to", m.To), zap.Int("from_group", m.FromGroup), zap.Int("to_group", m.ToGroup),
				zap.String("reason", m.Reason))
		}
	}
}

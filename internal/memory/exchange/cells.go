package exchange

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/cells"
)

// lookEvery is how often the cells are told what the module believes, and moves are taken on.
const lookEvery = 50 * time.Millisecond

// ErrNoCells says that the operator's file names no cells.
var ErrNoCells = errors.New("there are no cells: the operator's file names none")

type configuring struct{ cells *cells.Config }

type asking struct {
	do   func(now time.Duration, s *cells.State) ([]cells.Action, error)
	done chan error
}

// Configure takes the cells that the operator's file names, nil for none. They must have been checked.
func (x *Exchange) Configure(c *cells.Config) { x.post(configuring{c}) }

// Cells runs do on the state of the cells, between two events, and carries out what it answers with.
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

// configure takes new cells, or takes them away: what waits at a fence then goes where it would have gone without.
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
			x.cfg.Log.Error("cells are not used", zap.Error(err))
		}
		x.carryOut(acts)
		return
	}
	s, err := cells.New(own)
	if err != nil {
		x.cfg.Log.Error("cells are not used", zap.Error(err))
		return
	}
	x.cells, x.lookAt = s, now
	list := make([]balance.Member, 0, len(x.list))
	for _, m := range x.list {
		list = append(list, m.Member)
	}
	x.carryOut(s.UpdateMembers(now, true, list))
	x.decide(s.Cells())
}

func question(o *open) cells.Request {
	return cells.Request{ID: o.ID, User: o.User, Claim: o.Tenant, Key: o.Session, Group: o.Group, Write: o.Write,
		Deadline: o.deadline}
}

// admit asks the cells for a request; the error says that its user may not act for its tenant.
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

// done gives the request's ticket back, once.
func (x *Exchange) done(o *open) {
	if x.cells != nil {
		x.cells.Done(x.cfg.Clock.Now(), o.ticket)
	}
	o.ticket = cells.Ticket{}
}

// look tells the cells what the module believes, when it is time.
func (x *Exchange) look(now time.Duration) {
	if x.cells == nil || now < x.lookAt {
		return
	}
	x.lookAt = now + lookEvery
	x.seen = x.seen[:0]
	x.router.Views(now, func(s balance.MemberView) { x.seen = append(x.seen, s) })
	x.carryOut(x.cells.ObserveMembers(now, x.seen))
}

func (x *Exchange) carryOut(acts []cells.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case cells.CellsUpdated:
			x.decide(a.Cells)
		case cells.Release:
			if o := x.open[a.ID]; o != nil && o.waits && !o.answered {
				v := x.cells.Resume(x.cfg.Clock.Now(), question(o), o.ticket)
				o.ticket = v.Ticket
				x.pass(o, v)
			}
		case cells.HoldExpired:
			if o := x.open[a.ID]; o != nil && o.waits && !o.answered {
				x.pass(o, cells.Verdict{Kind: cells.OverLimit, Group: o.Group, RetryAfter: a.RetryAfter})
			}
		case cells.MoveChanged:
			m := a.Move
			x.cfg.Counters.Moves[m.Stage].Add(1)
			x.cfg.Log.Info("move", zap.String("tenant", m.Tenant), zap.Stringer("stage", m.Stage), zap.String("from", m.From),
				zap.String("to", m.To), zap.Int("from_group", m.FromGroup), zap.Int("to_group", m.ToGroup),
				zap.String("reason", m.Reason))
		}
	}
}

package exchange

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/control/cells"
)

// cellsSyncInterval is the interval at which the cells get the module's view of the hosts and moves progress.
const cellsSyncInterval = 50 * time.Millisecond

// ErrNoCells is returned if the operator's file configures no cells.
var ErrNoCells = errors.New("there are no cells: the operator's file configures none")

// cellsUpdate is the event of a new configuration of the cells.
type cellsUpdate struct{ cells *cells.Config }

// cellsCall is the event of a call by Cells.
type cellsCall struct {
	do   func(now time.Duration, s *cells.State) ([]cells.Action, error)
	done chan error
}

// Configure sets the cells that the operator's file names, or nil for none. The configuration must have been
// validated.
func (x *Exchange) Configure(c *cells.Config) { x.post(cellsUpdate{c}) }

// Cells calls do with the state of the cells between two events and performs the actions that do returns. It
// returns the error of do, or ErrNoCells.
func (x *Exchange) Cells(ctx context.Context, do func(now time.Duration, s *cells.State) ([]cells.Action, error)) error {
	a := cellsCall{do, make(chan error, 1)}
	x.post(a)
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (x *Exchange) callCells(do func(time.Duration, *cells.State) ([]cells.Action, error)) error {
	if x.cells == nil {
		return ErrNoCells
	}
	actions, err := do(x.cfg.Clock.Now(), x.cells)
	x.performCells(actions)
	return err
}

// updateCells applies a configuration of the cells. If it removes the cells, requests held at a fence go to the
// group that they named.
func (x *Exchange) updateCells(c *cells.Config) {
	now := x.cfg.Clock.Now()
	if c == nil {
		x.cells = nil
		x.decide(balance.Cells{})
		for _, o := range x.pending {
			if group := o.ticket.Group(); group != 0 && group != o.Group { // moved, and now served by the group that it names
				o.revokeCheckout()
			}
			o.ticket = cells.Ticket{}
			if o.fenced {
				x.dispatch(o, cells.Verdict{Group: o.Group})
			}
		}
		return
	}
	own := *c
	own.Gateways = max(1, x.cfg.Settings.Routers)
	if x.cells != nil {
		actions, err := x.cells.Configure(now, own)
		if err != nil {
			x.cfg.Log.Error("cells configuration rejected", zap.Error(err))
		}
		x.performCells(actions)
		return
	}
	s, err := cells.New(own)
	if err != nil {
		x.cfg.Log.Error("cells configuration rejected", zap.Error(err))
		return
	}
	x.cells, x.nextCellsSync = s, now
	list := make([]balance.Member, 0, len(x.listed))
	for _, m := range x.listed {
		list = append(list, m.Member)
	}
	x.performCells(s.UpdateMembers(now, true, list))
	x.decide(s.Cells())
	x.revokeOutdatedCheckouts()
}

// revokeOutdatedCheckouts ends the checkouts whose tenant is served elsewhere, or is about to be: their batches are not
// admitted one by one.
func (x *Exchange) revokeOutdatedCheckouts() {
	for _, o := range x.pending {
		if o.Checkout > 0 && !o.fenced && x.cells.CheckoutOutdated(cellsRequest(o), o.ticket) {
			o.revokeCheckout()
		}
	}
}

// revokeCheckout ends the checkout of a request as soon as that is outside of a transaction.
func (o *pendingRequest) revokeCheckout() {
	if o.Checkout > 0 && o.Revoke != nil {
		o.Revoke()
	}
}

// cellsRequest returns the cells' view of a request.
func cellsRequest(o *pendingRequest) cells.Request {
	return cells.Request{ID: o.ID, User: o.User, Claim: o.Tenant, Key: o.Session, Group: o.Group, Write: o.Write,
		Keeps: o.Checkout > 0, Deadline: o.deadline}
}

// admit passes a request to the admission of the cells. It returns an error if the user may not act for the
// tenant.
func (x *Exchange) admit(o *pendingRequest) (cells.Verdict, error) {
	if x.cells == nil {
		return cells.Verdict{Group: o.Group}, nil
	}
	v := x.cells.Admit(x.cfg.Clock.Now(), cellsRequest(o))
	if v.Kind == cells.Denied {
		return v, errors.New(v.Reason)
	}
	o.ticket = v.Ticket
	return v, nil
}

// releaseTicket returns the request's ticket to the cells. Further calls have no effect.
func (x *Exchange) releaseTicket(o *pendingRequest) {
	if x.cells != nil {
		x.cells.Done(x.cfg.Clock.Now(), o.ticket)
	}
	o.ticket = cells.Ticket{}
}

// syncCells passes the module's view of the hosts to the cells if that is due.
func (x *Exchange) syncCells(now time.Duration) {
	if x.cells == nil || now < x.nextCellsSync {
		return
	}
	x.nextCellsSync = now + cellsSyncInterval
	x.seen = x.seen[:0]
	x.router.Views(now, func(s balance.MemberView) { x.seen = append(x.seen, s) })
	x.performCells(x.cells.ObserveMembers(now, x.seen))
}

// performCells performs the actions that the cells returned.
func (x *Exchange) performCells(actions []cells.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cells.CellsUpdated:
			x.decide(a.Cells)
		case cells.Release:
			if o := x.pending[a.ID]; o != nil && o.fenced && !o.answered {
				v := x.cells.Resume(x.cfg.Clock.Now(), cellsRequest(o), o.ticket)
				o.ticket = v.Ticket
				x.dispatch(o, v)
			}
		case cells.HoldExpired:
			if o := x.pending[a.ID]; o != nil && o.fenced && !o.answered {
				x.dispatch(o, cells.Verdict{Kind: cells.OverLimit, Group: o.Group, RetryAfter: a.RetryAfter})
			}
		case cells.CheckoutsOutdated:
			x.revokeOutdatedCheckouts()
		case cells.MoveChanged:
			m := a.Move
			x.cfg.Counters.Moves[m.Stage].Add(1)
			x.cfg.Log.Info("move", zap.String("tenant", m.Tenant), zap.Stringer("stage", m.Stage), zap.String("from", m.From),
				zap.String("to", m.To), zap.Int("from_group", m.FromGroup), zap.Int("to_group", m.ToGroup),
				zap.String("reason", m.Reason))
		}
	}
}

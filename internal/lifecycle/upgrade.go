package lifecycle

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/service"
	"yokemast/internal/disk/handover"
	"yokemast/internal/wire/frontend"
	"yokemast/internal/wire/succession"
)

// claimEvery is how often a process that found no place in its line looks for one.
const claimEvery = 500 * time.Millisecond

// upgrade is the process's place between the one before it and the one after it. Where the platform gives no second address it
// stays empty: nothing is opened, asked or told.
type upgrade struct {
	asked time.Duration // when the process before was asked what it knows
	came  time.Duration // when its answer had come
	line  *succession.Line
	elder *succession.Elder // nil: there is none

	mu   sync.Mutex
	heir *succession.Heir // nil: there is none
}

func (u *upgrade) peers() *net.UDPConn {
	if u.elder == nil {
		return nil
	}
	return u.elder.Peers
}

func (u *upgrade) clients() *net.TCPListener {
	if u.elder == nil {
		return nil
	}
	return u.elder.Clients
}

// pass gives the way by which connections are passed on; nil: they are not.
func (u *upgrade) pass(wanted bool) frontend.HandOver {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !wanted || u.heir == nil {
		return nil
	}
	return u.heir.Pass
}

func (u *upgrade) setHeir(h *succession.Heir) {
	u.mu.Lock()
	u.heir = h
	u.mu.Unlock()
}

// join finds the process's place in the line of its gateway. Without one it serves all the same, by an address of its own.
func (g *gateway) join() {
	if g.c.Admin == "" {
		return
	}
	g.upgrade.asked = g.clock.Now()
	line, elder, err := succession.Join(g.ctx, os.TempDir(), g.c.Listen)
	g.upgrade.came = g.clock.Now()
	if err != nil {
		g.log.Warn("no handover", zap.Error(err))
		_ = g.duty.tell(service.OldProcessFound) // someone may be there who does not answer
		return
	}
	g.upgrade.line, g.upgrade.elder = line, elder
	if elder != nil {
		_ = g.duty.tell(service.OldProcessFound)
	}
}

func (g *gateway) leave() {
	if g.upgrade.line != nil {
		g.upgrade.line.Close()
	}
}

// inherited gives what the elder knew.
func (g *gateway) inherited() (handover.State, bool) {
	if g.upgrade.elder == nil {
		return handover.State{}, false
	}
	k, err := handover.Decode(g.upgrade.asked, g.upgrade.came, g.upgrade.elder.Knowledge)
	if err != nil {
		g.log.Warn("what the process before knew is not used", zap.Error(err))
		return k, false
	}
	g.log.Info("took over", zap.Int("hosts", len(k.Hosts)), zap.Int64("revision", k.Revision))
	return k, true
}

// succeed tells the elder that this process serves.
func (g *gateway) succeed() {
	if g.upgrade.elder == nil {
		return
	}
	if err := g.upgrade.elder.Ready(); err != nil {
		g.log.Warn("the process before does not hear", zap.Error(err))
	}
}

// follow takes the elder's clients until it has ended, and then waits for an heir.
func (g *gateway) follow() {
	if g.c.Admin == "" {
		return
	}
	g.group.Go(func() error {
		u := &g.upgrade
		switch {
		case u.elder != nil:
			u.elder.Follow(g.ctx, func(c *net.TCPConn, user string, idle time.Duration) { g.front.Adopt(g.ctx, c, user, idle) })
			_ = g.duty.tell(service.OldProcessExited)
		case u.line == nil:
			line, err := succession.Claim(g.ctx, os.TempDir(), g.c.Listen, claimEvery)
			_ = g.duty.tell(service.OldProcessExited)
			if err != nil {
				if g.ctx.Err() == nil {
					g.log.Warn("no handover to a next process", zap.Error(err))
				}
				return nil
			}
			u.line = line
		}
		if g.ctx.Err() != nil {
			return nil
		}
		err := u.line.Await(g.ctx, succession.Heirs{Log: g.log, Estate: g.estate,
			Came: func(h *succession.Heir) {
				u.setHeir(h)
				_ = g.duty.tell(service.NewProcessConnected)
			},
			Ready: func() { _ = g.duty.tell(service.NewProcessReady) },
			Lost: func() {
				if g.ctx.Err() != nil {
					return // it is this process that ends
				}
				_ = g.duty.tell(service.NewProcessLost)
				u.setHeir(nil)
			}})
		if err != nil {
			g.log.Warn("no handover to a next process", zap.Error(err))
		}
		return nil
	})
}

// estate is what this process leaves.
func (g *gateway) estate(ctx context.Context) (succession.Estate, error) {
	e := succession.Estate{Clients: g.listener}
	if g.others != nil {
		e.Peers = g.others.Conn()
	}
	revision := g.watcher.Revision() // before the survey, which may know more than that
	k, err := g.x.HandoverState(ctx)
	if err != nil {
		return e, err
	}
	k.Revision, k.Discovery, k.FirstDiscovery = revision, g.watcher.Address(), g.firstDiscovery
	e.Knowledge, err = handover.Encode(k)
	return e, err
}

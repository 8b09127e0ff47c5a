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
	"yokemast/internal/wire/hotrestart"
)

// claimInterval is how often a process without the instance lock tries to acquire it.
const claimInterval = 500 * time.Millisecond

// upgrade is the state of a hot restart: the old process that this one replaces, and the new process that replaces this
// one. Without an administration address there are no hot restarts, and it stays empty: nothing is opened or sent.
type upgrade struct {
	requestedAt time.Duration // when the handover state was requested
	receivedAt  time.Duration // when the handover state had been received
	lock        *hotrestart.InstanceLock
	oldProcess  *hotrestart.OldProcess // nil if there is none

	mu         sync.Mutex
	newProcess *hotrestart.NewProcess // nil if there is none
}

// peerConn returns the gossip socket of the old process, or nil if there is none.
func (u *upgrade) peerConn() *net.UDPConn {
	if u.oldProcess == nil {
		return nil
	}
	return u.oldProcess.Peers
}

// clientListener returns the client listener of the old process, or nil if there is none.
func (u *upgrade) clientListener() *net.TCPListener {
	if u.oldProcess == nil {
		return nil
	}
	return u.oldProcess.Clients
}

// passFunc returns the function that passes client connections to the new process, or nil if they are not passed on.
func (u *upgrade) passFunc(wanted bool) frontend.HandOver {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !wanted || u.newProcess == nil {
		return nil
	}
	return u.newProcess.PassConnection
}

func (u *upgrade) setNewProcess(p *hotrestart.NewProcess) {
	u.mu.Lock()
	u.newProcess = p
	u.mu.Unlock()
}

// joinInstance acquires the instance lock, or takes it over together with the handover state of the old process. If that
// fails, the process serves all the same, with a listener of its own.
func (g *gateway) joinInstance() {
	if g.config.Admin == "" {
		return
	}
	g.upgrade.requestedAt = g.clock.Now()
	lock, oldProcess, err := hotrestart.Join(g.ctx, os.TempDir(), g.config.Listen)
	g.upgrade.receivedAt = g.clock.Now()
	if err != nil {
		g.log.Warn("no handover", zap.Error(err))
		_ = g.controller.handle(service.OldProcessFound) // there may be an old process that does not answer
		return
	}
	g.upgrade.lock, g.upgrade.oldProcess = lock, oldProcess
	if oldProcess != nil {
		_ = g.controller.handle(service.OldProcessFound)
	}
}

func (g *gateway) releaseInstanceLock() {
	if g.upgrade.lock != nil {
		g.upgrade.lock.Close()
	}
}

// decodeHandoverState returns the handover state of the old process, and false if there is none that can be used.
func (g *gateway) decodeHandoverState() (handover.State, bool) {
	if g.upgrade.oldProcess == nil {
		return handover.State{}, false
	}
	k, err := handover.Decode(g.upgrade.requestedAt, g.upgrade.receivedAt, g.upgrade.oldProcess.State)
	if err != nil {
		g.log.Warn("handover state of the old process is not used", zap.Error(err))
		return k, false
	}
	g.log.Info("took over", zap.Int("hosts", len(k.Hosts)), zap.Int64("revision", k.Revision))
	return k, true
}

// notifyOldProcess notifies the old process that this process serves.
func (g *gateway) notifyOldProcess() {
	if g.upgrade.oldProcess == nil {
		return
	}
	if err := g.upgrade.oldProcess.Ready(); err != nil {
		g.log.Warn("old process not notified", zap.Error(err))
	}
}

// runHandover adopts the clients of the old process until it has exited, and then waits for a new process.
func (g *gateway) runHandover() {
	if g.config.Admin == "" {
		return
	}
	g.group.Go(func() error {
		u := &g.upgrade
		switch {
		case u.oldProcess != nil:
			u.oldProcess.ReceiveClients(g.ctx, func(c *net.TCPConn, user string, idle time.Duration) { g.frontend.Adopt(g.ctx, c, user, idle) })
			_ = g.controller.handle(service.OldProcessExited)
		case u.lock == nil:
			lock, err := hotrestart.WaitLock(g.ctx, os.TempDir(), g.config.Listen, claimInterval)
			_ = g.controller.handle(service.OldProcessExited)
			if err != nil {
				if g.ctx.Err() == nil {
					g.log.Warn("no handover to a new process", zap.Error(err))
				}
				return nil
			}
			u.lock = lock
		}
		if g.ctx.Err() != nil {
			return nil
		}
		err := u.lock.AcceptNewProcesses(g.ctx, hotrestart.NewProcessHandler{Log: g.log, HandoverState: g.collectHandoverState,
			Connected: func(p *hotrestart.NewProcess) {
				u.setNewProcess(p)
				_ = g.controller.handle(service.NewProcessConnected)
			},
			Ready: func() { _ = g.controller.handle(service.NewProcessReady) },
			Lost: func() {
				if g.ctx.Err() != nil {
					return // this process is shutting down
				}
				_ = g.controller.handle(service.NewProcessLost)
				u.setNewProcess(nil)
			}})
		if err != nil {
			g.log.Warn("no handover to a new process", zap.Error(err))
		}
		return nil
	})
}

// collectHandoverState returns what this process passes to a new one.
func (g *gateway) collectHandoverState(ctx context.Context) (hotrestart.HandoverState, error) {
	state := hotrestart.HandoverState{Clients: g.listener}
	if g.peers != nil {
		state.Peers = g.peers.Conn()
	}
	// The revision is read before the handover state, so that the state is never older than the revision.
	revision := g.watcher.Revision()
	known, err := g.exchange.HandoverState(ctx)
	if err != nil {
		return state, err
	}
	known.Revision, known.Discovery, known.FirstDiscovery = revision, g.watcher.Address(), g.firstDiscovery
	state.State, err = handover.Encode(known)
	return state, err
}

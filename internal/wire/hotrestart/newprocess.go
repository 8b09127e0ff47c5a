package hotrestart

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// NewProcessHandler holds the functions that the old process calls for a new process, and the log.
type NewProcessHandler struct {
	HandoverState func(context.Context) (HandoverState, error) // collects what is passed on
	Connected     func(*NewProcess)                            // a new process has received the handover state
	Ready         func()                                       // the new process serves from now on
	Lost          func()                                       // its connection has ended, whether or not it was ready
	Log           *zap.Logger
}

// NewProcess is the process that replaces this one.
type NewProcess struct{ link *link }

// PassConnection sends a client connection and its idle time to the new process. The caller closes its own descriptor,
// also after an error.
func (p *NewProcess) PassConnection(conn *net.TCPConn, user string, idle time.Duration) error {
	body := binary.BigEndian.AppendUint32(nil, uint32(min(max(idle, 0), maxSentIdle).Milliseconds()))
	return p.link.send(kindClient, append(body, user...), conn)
}

// AcceptNewProcesses serves new processes until ctx is done, one at a time: others are answered that it is busy.
func (l *InstanceLock) AcceptNewProcesses(ctx context.Context, handler NewProcessHandler) error {
	path := filepath.Join(l.dir, l.name+".sock")
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // left by the old process, or by one that was killed
		return fmt.Errorf("hot restart: %w", err)
	}
	err := l.withAddress(func(a *net.UnixAddr) (err error) {
		l.listener, err = net.ListenUnix("unix", a)
		return err
	})
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	l.listener.SetUnlinkOnClose(false) // the path may belong to the new process by then
	_ = os.Chmod(path, 0o600)
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	var active sync.Mutex // held while there is a new process
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		c, err := l.listener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(retryDelay)
			continue
		}
		if !active.TryLock() {
			if link, err := newLink(c); err == nil {
				_ = link.send(kindBusy, nil)
			}
			_ = c.Close()
			continue
		}
		serving.Go(func() {
			defer active.Unlock()
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			l.serveNewProcess(ctx, c, handler)
		})
	}
}

// serveNewProcess serves one new process until its connection ends.
func (l *InstanceLock) serveNewProcess(ctx context.Context, c *net.UnixConn, handler NewProcessHandler) {
	refuse := func(err error) { handler.Log.Warn("no heir", zap.Error(err)) }
	link, err := newLink(c)
	if err != nil {
		refuse(err)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(messageTimeout))
	kind, _, files, err := link.receive()
	closeAll(files)
	if err == nil && kind != kindHello {
		err = ErrProtocol
	}
	if err != nil {
		refuse(err)
		return
	}
	state, err := handler.HandoverState(ctx)
	if err != nil {
		refuse(err)
		return
	}
	passed := []syscall.Conn{l.file, state.Clients}
	if state.Peers != nil {
		passed = append(passed, state.Peers)
	}
	if err := link.send(kindHandover, state.State, passed...); err != nil {
		refuse(err)
		return
	}
	handler.Connected(&NewProcess{link})
	defer handler.Lost()
	_ = c.SetReadDeadline(time.Time{})
	for {
		kind, _, files, err := link.receive()
		closeAll(files)
		if err != nil {
			return
		}
		if kind == kindReady {
			handler.Ready()
		}
	}
}

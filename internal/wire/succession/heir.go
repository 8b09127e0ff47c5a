package succession

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

// Heirs is what an elder does with those who come.
type Heirs struct {
	Estate func(context.Context) (Estate, error)
	Came   func(*Heir) // one has been given the estate
	Ready  func()      // it serves
	Lost   func()      // it has ended, or never became one
	Log    *zap.Logger
}

// Heir is the process that follows this one.
type Heir struct{ link *link }

// Pass gives the heir a client's connection that has idled for so long. The caller closes its own end of it, whatever comes
// of it.
func (h *Heir) Pass(conn *net.TCPConn, user string, idle time.Duration) error {
	body := binary.BigEndian.AppendUint32(nil, uint32(min(max(idle, 0), maxIdle).Milliseconds()))
	return h.link.send(kindClient, append(body, user...), conn)
}

// Await waits for heirs until the context ends. There is one at a time: others are told to wait.
func (l *Line) Await(ctx context.Context, heirs Heirs) error {
	path := filepath.Join(l.dir, l.name+".sock")
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // of an elder, or of one that was killed
		return fmt.Errorf("succession: %w", err)
	}
	err := l.at(func(a *net.UnixAddr) (err error) {
		l.listener, err = net.ListenUnix("unix", a)
		return err
	})
	if err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	l.listener.SetUnlinkOnClose(false) // it may be the heir's by then
	_ = os.Chmod(path, 0o600)
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	var one sync.Mutex // held while there is an heir
	var all sync.WaitGroup
	defer all.Wait()
	for {
		c, err := l.listener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(busyPause)
			continue
		}
		if !one.TryLock() {
			if link, err := newLink(c); err == nil {
				_ = link.send(kindBusy, nil)
			}
			_ = c.Close()
			continue
		}
		all.Go(func() {
			defer one.Unlock()
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			l.heir(ctx, c, heirs)
		})
	}
}

// heir serves one heir until it ends.
func (l *Line) heir(ctx context.Context, c *net.UnixConn, heirs Heirs) {
	refuse := func(err error) { heirs.Log.Warn("no heir", zap.Error(err)) }
	link, err := newLink(c)
	if err != nil {
		refuse(err)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(answerWithin))
	kind, _, files, err := link.receive()
	closeAll(files)
	if err == nil && kind != kindHello {
		err = ErrProtocol
	}
	if err != nil {
		refuse(err)
		return
	}
	estate, err := heirs.Estate(ctx)
	if err != nil {
		refuse(err)
		return
	}
	with := []syscall.Conn{l.lock, estate.Clients}
	if estate.Peers != nil {
		with = append(with, estate.Peers)
	}
	if err := link.send(kindEstate, estate.Knowledge, with...); err != nil {
		refuse(err)
		return
	}
	heirs.Came(&Heir{link})
	defer heirs.Lost()
	_ = c.SetReadDeadline(time.Time{})
	for {
		kind, _, files, err := link.receive()
		closeAll(files)
		if err != nil {
			return
		}
		if kind == kindReady {
			heirs.Ready()
		}
	}
}

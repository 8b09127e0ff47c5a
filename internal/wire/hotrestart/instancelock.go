// Package hotrestart implements the hot restart of a gateway. Over a Unix socket the old process passes to the new process
// on the same machine its listening sockets, its handover state, and then its client connections.
//
// Each gateway has one instance lock: a lock file in a folder that all its processes share, with a socket next to it. The
// process that holds the lock listens on the socket. The new process receives the descriptor of the lock itself, so that a
// third process always finds either a process that answers or a lock that is free.
package hotrestart

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// messageTimeout is the time limit for a message of the other process. An old process that hangs must not keep the new
	// one from serving.
	messageTimeout = 2 * time.Second
	// busyTimeout is how long a third process waits for a hot restart in progress. A hot restart by the platform takes at
	// most 10 s.
	busyTimeout = 15 * time.Second
	retryDelay  = 50 * time.Millisecond
	// maxSentIdle is the longest idle time that is sent; a longer one is sent as this value.
	maxSentIdle = time.Hour
	// maxSocketPath is the longest path that is used for a Unix socket directly. A socket with a longer one is addressed
	// through the descriptor of its folder.
	maxSocketPath = 100
)

// ErrBusy is returned if another hot restart is in progress and did not end in time.
var ErrBusy = errors.New("hot restart: another one is in progress")

// InstanceLock is the lock that the serving process of a gateway holds, with the socket that new processes connect to.
type InstanceLock struct {
	dir, name string
	file      *os.File
	listener  *net.UnixListener
}

// HandoverState is what the old process passes to the new one.
type HandoverState struct {
	Clients *net.TCPListener // the client listener
	Peers   *net.UDPConn     // the socket for gossip messages, or nil if there is none
	State   []byte           // what is known of the hosts, encoded by package handover
}

// OldProcess is the process that this one replaces.
type OldProcess struct {
	HandoverState
	link *link
}

// Join acquires the instance lock of the gateway that listens at address, or takes it over from the old process. The old
// process is nil if there is none. If there is one that does not answer, Join returns an error and no lock; it can be
// acquired later with WaitLock.
func Join(ctx context.Context, dir, address string) (*InstanceLock, *OldProcess, error) {
	l := &InstanceLock{dir: dir, name: fmt.Sprintf("yokemast-%016x", xxhash.Sum64String(address))}
	end := time.Now().Add(busyTimeout)
	for {
		oldProcess, lock, err := l.requestHandover(ctx)
		switch {
		case err == nil:
			l.file = lock
			return l, oldProcess, nil
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, fs.ErrNotExist):
			if err := l.tryLock(); err == nil {
				return l, nil, nil
			} else if !errors.Is(err, syscall.EWOULDBLOCK) {
				return nil, nil, err
			}
		case !errors.Is(err, ErrBusy):
			return nil, nil, err
		}
		if time.Now().After(end) {
			return nil, nil, ErrBusy
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

// WaitLock waits until the instance lock is free, and acquires it.
func WaitLock(ctx context.Context, dir, address string, interval time.Duration) (*InstanceLock, error) {
	l := &InstanceLock{dir: dir, name: fmt.Sprintf("yokemast-%016x", xxhash.Sum64String(address))}
	for {
		if err := l.tryLock(); err == nil || !errors.Is(err, syscall.EWOULDBLOCK) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(interval):
		}
	}
}

// tryLock acquires the lock if no other process holds it, and returns EWOULDBLOCK otherwise.
func (l *InstanceLock) tryLock() error {
	f, err := os.OpenFile(filepath.Join(l.dir, l.name+".lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return err
	}
	l.file = f
	return nil
}

// withAddress calls do with an address of the socket that is short enough for a Unix socket.
func (l *InstanceLock) withAddress(do func(*net.UnixAddr) error) error {
	path := filepath.Join(l.dir, l.name+".sock")
	if len(path) > maxSocketPath {
		d, err := os.Open(l.dir)
		if err != nil {
			return err
		}
		defer d.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s.sock", d.Fd(), l.name)
	}
	return do(&net.UnixAddr{Name: path, Net: "unix"})
}

// requestHandover requests the handover state and the lock from the process that listens on the socket.
func (l *InstanceLock) requestHandover(ctx context.Context) (oldProcess *OldProcess, lock *os.File, err error) {
	var conn *net.UnixConn
	if err := l.withAddress(func(a *net.UnixAddr) error {
		conn, err = net.DialUnix("unix", nil, a)
		return err
	}); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = conn.Close()
		}
	}()
	link, err := newLink(conn)
	if err != nil {
		return nil, nil, err
	}
	if err := link.send(kindHello, nil); err != nil {
		return nil, nil, handshakeError(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(messageTimeout))
	kind, body, files, err := link.receive()
	if err != nil {
		return nil, nil, handshakeError(err)
	}
	defer closeAll(files) // the descriptors that are used are duplicated
	switch {
	case kind == kindBusy:
		return nil, nil, ErrBusy
	case kind != kindHandover || len(files) < 2:
		return nil, nil, fmt.Errorf("%w: kind %d with %d descriptors", ErrProtocol, kind, len(files))
	}
	_ = conn.SetReadDeadline(time.Time{})
	oldProcess = &OldProcess{HandoverState: HandoverState{State: body}, link: link}
	listener, err := net.FileListener(files[1])
	if err != nil {
		return nil, nil, fmt.Errorf("hot restart: client listener: %w", err)
	}
	oldProcess.Clients = listener.(*net.TCPListener)
	if len(files) > 2 {
		if peers, err := net.FilePacketConn(files[2]); err == nil {
			oldProcess.Peers, _ = peers.(*net.UDPConn)
		}
	}
	fd, err := syscall.Dup(int(files[0].Fd()))
	if err != nil {
		return nil, nil, fmt.Errorf("hot restart: instance lock: %w", err)
	}
	syscall.CloseOnExec(fd)
	return oldProcess, os.NewFile(uintptr(fd), l.name+".lock"), nil
}

// handshakeError wraps the error of a connection that ended before the handover state had arrived. The other process has
// closed the connection or has exited; the next attempt shows which, so the error is ErrBusy.
func handshakeError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return fmt.Errorf("hot restart: %w", err)
}

// Ready notifies the old process that this process serves from now on.
func (p *OldProcess) Ready() error { return p.link.send(kindReady, nil) }

// ReceiveClients calls adopt with each client connection that the old process passes on, until that process exits. adopt
// owns the connection.
func (p *OldProcess) ReceiveClients(ctx context.Context, adopt func(conn *net.TCPConn, user string, idle time.Duration)) {
	stop := context.AfterFunc(ctx, func() { _ = p.link.conn.Close() })
	defer stop()
	defer p.link.conn.Close()
	for {
		kind, body, files, err := p.link.receive()
		if err != nil {
			return
		}
		if kind == kindClient && len(files) == 1 && len(body) >= 4 {
			if c, err := net.FileConn(files[0]); err == nil {
				if tcp, ok := c.(*net.TCPConn); ok {
					adopt(tcp, string(body[4:]), time.Duration(binary.BigEndian.Uint32(body))*time.Millisecond)
				}
			}
		}
		closeAll(files)
	}
}

// Close releases the lock and closes the socket.
func (l *InstanceLock) Close() {
	if l.listener != nil {
		_ = l.listener.Close()
	}
	_ = l.file.Close()
}

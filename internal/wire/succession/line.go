// Package succession joins two processes of one gateway on one machine, of which the later follows the earlier: over a Unix
// socket the elder gives its heir the sockets that it listens on, what it knows, and then its clients' connections.
//
// Of each gateway there is one line: a lock in a folder that all its processes share, and a socket beside it. Who holds the
// lock listens at the socket. An heir is given the lock itself, with its descriptor, so that a third process always finds
// either someone to ask or a lock that is free.
package succession

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
	// answerWithin is how long the other process may take for a message. One that hangs must not keep its heir from serving.
	answerWithin = 2 * time.Second
	// busyWithin is how long a third process waits for an upgrade to end: the platform's takes at most 10 s.
	busyWithin = 15 * time.Second
	busyPause  = 50 * time.Millisecond
	// maxIdle is the longest idling that is told.
	maxIdle = time.Hour
	// longestPath is how long the path of a Unix socket may be; a longer one is reached by way of its folder's descriptor.
	longestPath = 100
)

// ErrBusy says that an upgrade is under way and did not end.
var ErrBusy = errors.New("succession: another upgrade is under way")

// Line is a process's hold on the line of its gateway.
type Line struct {
	dir, name string
	lock      *os.File
	listener  *net.UnixListener
}

// Estate is what an elder leaves.
type Estate struct {
	Clients   *net.TCPListener // of the clients' address
	Peers     *net.UDPConn     // where other gateways' datagrams come in; nil: they don't
	Knowledge []byte           // of the hosts, as package handover has it
}

// Elder is the process that this one follows.
type Elder struct {
	Estate
	link *link
}

// Join takes the process's place in the line of the gateway that listens at an address. The first has no elder. Whoever joins
// behind an elder that does not answer has neither: a Line that is nil is one to be claimed later.
func Join(ctx context.Context, dir, address string) (*Line, *Elder, error) {
	l := &Line{dir: dir, name: fmt.Sprintf("yokemast-%016x", xxhash.Sum64String(address))}
	end := time.Now().Add(busyWithin)
	for {
		elder, lock, err := l.ask(ctx)
		switch {
		case err == nil:
			l.lock = lock
			return l, elder, nil
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, fs.ErrNotExist):
			if err := l.claim(); err == nil {
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
		case <-time.After(busyPause):
		}
	}
}

// Claim waits until the line is free, and takes it.
func Claim(ctx context.Context, dir, address string, every time.Duration) (*Line, error) {
	l := &Line{dir: dir, name: fmt.Sprintf("yokemast-%016x", xxhash.Sum64String(address))}
	for {
		if err := l.claim(); err == nil || !errors.Is(err, syscall.EWOULDBLOCK) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(every):
		}
	}
}

// claim takes the lock if nobody has it.
func (l *Line) claim() error {
	f, err := os.OpenFile(filepath.Join(l.dir, l.name+".lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return err
	}
	l.lock = f
	return nil
}

// at runs do with an address of the socket that is short enough.
func (l *Line) at(do func(*net.UnixAddr) error) error {
	path := filepath.Join(l.dir, l.name+".sock")
	if len(path) > longestPath {
		d, err := os.Open(l.dir)
		if err != nil {
			return err
		}
		defer d.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s.sock", d.Fd(), l.name)
	}
	return do(&net.UnixAddr{Name: path, Net: "unix"})
}

// ask asks whoever listens at the socket for its estate.
func (l *Line) ask(ctx context.Context) (elder *Elder, lock *os.File, err error) {
	var conn *net.UnixConn
	if err := l.at(func(a *net.UnixAddr) error {
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
		return nil, nil, broken(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerWithin))
	kind, body, files, err := link.receive()
	if err != nil {
		return nil, nil, broken(err)
	}
	defer closeAll(files) // what is used of them is duplicated
	switch {
	case kind == kindBusy:
		return nil, nil, ErrBusy
	case kind != kindEstate || len(files) < 2:
		return nil, nil, fmt.Errorf("%w: kind %d with %d descriptors", ErrProtocol, kind, len(files))
	}
	_ = conn.SetReadDeadline(time.Time{})
	elder = &Elder{Estate: Estate{Knowledge: body}, link: link}
	listener, err := net.FileListener(files[1])
	if err != nil {
		return nil, nil, fmt.Errorf("succession: the clients' socket: %w", err)
	}
	elder.Clients = listener.(*net.TCPListener)
	if len(files) > 2 {
		if peers, err := net.FilePacketConn(files[2]); err == nil {
			elder.Peers, _ = peers.(*net.UDPConn)
		}
	}
	fd, err := syscall.Dup(int(files[0].Fd()))
	if err != nil {
		return nil, nil, fmt.Errorf("succession: the lock: %w", err)
	}
	syscall.CloseOnExec(fd)
	return elder, os.NewFile(uintptr(fd), l.name+".lock"), nil
}

// broken says what the end of a connection means before the estate has come: that process has turned this one away, or has
// ended. Both show at the next try.
func broken(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return fmt.Errorf("succession: %w", err)
}

// Ready tells the elder that this process serves from now on.
func (e *Elder) Ready() error { return e.link.send(kindReady, nil) }

// Follow hands over each client's connection that the elder passes on, until the elder ends. What it is given is its own.
func (e *Elder) Follow(ctx context.Context, client func(conn *net.TCPConn, user string, idle time.Duration)) {
	stop := context.AfterFunc(ctx, func() { _ = e.link.conn.Close() })
	defer stop()
	defer e.link.conn.Close()
	for {
		kind, body, files, err := e.link.receive()
		if err != nil {
			return
		}
		if kind == kindClient && len(files) == 1 && len(body) >= 4 {
			if c, err := net.FileConn(files[0]); err == nil {
				if tcp, ok := c.(*net.TCPConn); ok {
					client(tcp, string(body[4:]), time.Duration(binary.BigEndian.Uint32(body))*time.Millisecond)
				}
			}
		}
		closeAll(files)
	}
}

// Close lets go of the line.
func (l *Line) Close() {
	if l.listener != nil {
		_ = l.listener.Close()
	}
	_ = l.lock.Close()
}

// Package socket inspects and configures sockets below the protocols spoken on them.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// maxCalls limits the attempts at a system call that fails with a transient error.
const maxCalls = 5

// peek looks at the next unread byte of a connection without blocking. It returns 0 and no error at the end
// of the stream, and syscall.EAGAIN if nothing is unread.
func peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		for range maxCalls {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err == syscall.EAGAIN || !Transient(err) {
				return // otherwise the error is transient and says nothing about the connection
			}
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// NothingReceived reports whether the peer of a connection has neither closed it nor sent anything that is still
// unread. It does not block.
func NothingReceived(c syscall.Conn) bool {
	_, err := peek(c)
	return err == syscall.EAGAIN
}

// PeerClosed reports whether the peer has ended or reset the connection, whatever of its data is still unread. An end that
// stands behind data for which the receive buffer has no room is not known yet. It does not block.
func PeerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(fd uintptr) { events = poll(fd, unix.POLLRDHUP) })
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// poll returns which of the events, or of POLLHUP and POLLERR, a socket has. It does not block, and returns 0 if the call
// fails.
func poll(fd uintptr, events int16) int16 {
	for range maxCalls {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		if err == nil && n > 0 {
			return fds[0].Revents
		}
		if !Transient(err) {
			return 0
		}
	}
	return 0
}

// AcceptPending reports whether a connection is queued at a listener. It does not block, whatever the deadline.
func AcceptPending(l syscall.Conn) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	var events int16
	err = raw.Control(func(fd uintptr) { events = poll(fd, unix.POLLIN) })
	return err == nil && events&unix.POLLIN != 0
}

// ReadArrived reads what has arrived on a connection, without blocking and whatever the deadline. It returns
// 0 if nothing has, or if the connection has ended.
func ReadArrived(c syscall.Conn, p []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		for range maxCalls {
			n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			if err == nil || err == syscall.EAGAIN || !Transient(err) {
				return
			}
		}
	})
	return max(n, 0)
}

// Unacknowledged returns the number of bytes written that the peer has not acknowledged yet, or 0 if unknown.
func Unacknowledged(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return n
}

// ReusePort sets SO_REUSEPORT, so that several processes of one user can listen on the same address. It is to be
// used as the Control function of a net.ListenConfig.
func ReusePort(_, _ string, c syscall.RawConn) error {
	var optErr error
	if err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
		return err
	}
	return optErr
}

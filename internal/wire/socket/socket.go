// Package socket looks at connections below the protocols spoken on them.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// peeks is how often a connection is looked at while the call fails for a moment.
const peeks = 5

// peek looks at what the other end of a connection has written that is still unread, at one byte of it, and does not wait: 0 without an
// error means that it has ended its sending, syscall.EAGAIN that there is nothing.
func peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(fd uintptr) {
		var b [1]byte
		for range peeks {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err == syscall.EAGAIN || !Transient(err) {
				return // else the call failed for a moment, which says nothing of the connection
			}
		}
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// NothingReceived says whether the other end of a connection has neither closed it nor written anything that is still unread.
// It does not wait.
func NothingReceived(c syscall.Conn) bool {
	_, err := peek(c)
	return err == syscall.EAGAIN
}

// Ended says whether the other end of a connection has ended its sending, or reset it, and nothing unread lies before that. It does not
// wait.
func Ended(c syscall.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || err != nil && !Transient(err)
}

// Waiting says whether a connection waits to be accepted at a listener. It does not wait, whatever the deadline.
func Waiting(l syscall.Conn) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		for range peeks {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(fds, 0)
			if waiting = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0; !Transient(err) {
				return
			}
		}
	})
	return err == nil && waiting
}

// ReadArrived reads what has arrived on a connection, without waiting and whatever its deadline. It gives 0 where nothing has, or the
// connection has ended.
func ReadArrived(c syscall.Conn, p []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		for range peeks {
			n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			if err == nil || err == syscall.EAGAIN || !Transient(err) {
				return
			}
		}
	})
	return max(n, 0)
}

// Unacknowledged is how many bytes that were written the other end has not acknowledged yet; 0 where that is not known.
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

// ReusePort lets several processes of one user listen at the same address. It is the Control of a net.ListenConfig.
func ReusePort(_, _ string, c syscall.RawConn) error {
	var bad error
	if err := c.Control(func(fd uintptr) { bad = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
		return err
	}
	return bad
}

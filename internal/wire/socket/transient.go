package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// firstRetry and lastRetry are the pauses between attempts at a call that failed for a moment.
	firstRetry = 2 * time.Millisecond
	lastRetry  = 50 * time.Millisecond
)

// steadyCalls is how often a read or a write is tried.
const steadyCalls = 10

// transient are errors of system calls that tell of this machine's own state, and may be gone the next moment.
var transient = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR}

// Transient says that an error is of this machine's own state, not of the other end's, and may be gone the next moment.
func Transient(err error) bool {
	for _, t := range transient {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

// Retry calls f until it succeeds, fails with an error that is not transient, or the time is over; then the last error counts.
func Retry[T any](ctx context.Context, within time.Duration, f func() (T, error)) (T, error) {
	end := time.Now().Add(within)
	for pause := firstRetry; ; pause = min(2*pause, lastRetry) {
		v, err := f()
		if err == nil || !Transient(err) || time.Now().Add(pause).After(end) {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, err
		case <-time.After(pause):
		}
	}
}

// listenWithin is how long opening an address may take while calls fail for a moment: a process that starts just then must not
// end, and is to be ready soon after.
const listenWithin = 5 * time.Second

// Listen opens an address for connections.
func Listen(ctx context.Context, config *net.ListenConfig, address string) (*net.TCPListener, error) {
	l, err := Retry(ctx, listenWithin, func() (net.Listener, error) { return config.Listen(ctx, "tcp", address) })
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenPacket opens an address for datagrams over IPv4.
func ListenPacket(ctx context.Context, config *net.ListenConfig, address string) (*net.UDPConn, error) {
	c, err := Retry(ctx, listenWithin, func() (net.PacketConn, error) { return config.ListenPacket(ctx, "udp4", address) })
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// RetryConn is a connection whose reads and writes go on where a call fails for a moment with nothing wrong on the connection.
type RetryConn struct{ net.Conn }

// Read is net.Conn's.
func (s RetryConn) Read(b []byte) (int, error) {
	for calls := 1; ; calls++ {
		n, err := s.Conn.Read(b)
		if n > 0 || calls >= steadyCalls || !Transient(err) {
			return n, err
		}
		time.Sleep(firstRetry)
	}
}

// Write is net.Conn's.
func (s RetryConn) Write(b []byte) (written int, err error) {
	for calls := 1; ; calls++ {
		n, err := s.Conn.Write(b[written:])
		written += n
		if err == nil || calls >= steadyCalls || !Transient(err) {
			return written, err
		}
		time.Sleep(firstRetry)
	}
}

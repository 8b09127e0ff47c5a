package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// minRetryPause is the first pause between attempts at a call that failed with a transient error. The
	// pause doubles up to maxRetryPause.
	minRetryPause = 2 * time.Millisecond
	maxRetryPause = 50 * time.Millisecond
)

// maxConnCalls limits the calls for one read or write.
const maxConnCalls = 10

// transient are errors of system calls that depend on the local machine and may not recur.
var transient = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR}

// Transient reports whether an error is due to the local machine, not to the peer, and may not recur.
func Transient(err error) bool {
	for _, t := range transient {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

// Retry calls f until it succeeds, fails with an error that is not transient, or the time is over. It returns
// the last result.
func Retry[T any](ctx context.Context, timeout time.Duration, f func() (T, error)) (T, error) {
	deadline := time.Now().Add(timeout)
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		v, err := f()
		if err == nil || !Transient(err) || time.Now().Add(pause).After(deadline) {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, err
		case <-time.After(pause):
		}
	}
}

// listenTimeout limits the retries to listen on an address: a process must not fail at its start because of a
// transient error, and has to be ready soon after.
const listenTimeout = 5 * time.Second

// Listen listens for TCP connections on an address.
func Listen(ctx context.Context, config *net.ListenConfig, address string) (*net.TCPListener, error) {
	l, err := Retry(ctx, listenTimeout, func() (net.Listener, error) { return config.Listen(ctx, "tcp", address) })
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenPacket listens for UDP datagrams over IPv4 on an address.
func ListenPacket(ctx context.Context, config *net.ListenConfig, address string) (*net.UDPConn, error) {
	c, err := Retry(ctx, listenTimeout, func() (net.PacketConn, error) { return config.ListenPacket(ctx, "udp4", address) })
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// RetryConn is a connection whose reads and writes are retried after a transient error, which is not a fault of
// the connection.
type RetryConn struct{ net.Conn }

// Read implements net.Conn.
func (s RetryConn) Read(b []byte) (int, error) {
	for calls := 1; ; calls++ {
		n, err := s.Conn.Read(b)
		if n > 0 || calls >= maxConnCalls || !Transient(err) {
			return n, err
		}
		time.Sleep(minRetryPause)
	}
}

// Write implements net.Conn.
func (s RetryConn) Write(b []byte) (written int, err error) {
	for calls := 1; ; calls++ {
		n, err := s.Conn.Write(b[written:])
		written += n
		if err == nil || calls >= maxConnCalls || !Transient(err) {
			return written, err
		}
		time.Sleep(minRetryPause)
	}
}

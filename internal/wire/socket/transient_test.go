package socket

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestRetry(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails int // calls before one succeeds
		err   error
		calls int
		ok    bool
	}{
		{"no error", 0, nil, 1, true},
		{"descriptors exhausted", 3, syscall.ENFILE, 4, true},
		{"wrapped error", 2, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}, 3, true},
		{"refused by the peer", 3, syscall.ECONNREFUSED, 1, false},
		{"address in use", 3, syscall.EADDRINUSE, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			_, err := Retry(context.Background(), time.Second, func() (int, error) {
				if calls++; calls <= c.fails {
					return 0, c.err
				}
				return 1, nil
			})
			if calls != c.calls || (err == nil) != c.ok {
				t.Errorf("%d calls, %v", calls, err)
			}
		})
	}
	if _, err := Retry(context.Background(), 30*time.Millisecond, func() (int, error) { return 0, syscall.ENFILE }); !errors.Is(err, syscall.ENFILE) {
		t.Errorf("a call that keeps failing returned %v", err)
	}
}

// Listening succeeds although the first calls fail with a transient error, as at the start of a process while
// descriptors are exhausted.
func TestListenTransientErrors(t *testing.T) {
	fails := 3
	config := &net.ListenConfig{Control: func(string, string, syscall.RawConn) error {
		if fails--; fails >= 0 {
			return syscall.ENOBUFS
		}
		return nil
	}}
	l, err := Listen(context.Background(), config, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	fails = 3
	c, err := ListenPacket(context.Background(), config, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}

// flakyConn is a connection of which every second call fails, and which reads and writes up to three bytes
// per call.
type flakyConn struct {
	net.Conn
	calls int
	data  []byte
}

func (f *flakyConn) Read(b []byte) (int, error) {
	if f.calls++; f.calls%2 == 1 {
		return 0, syscall.ENOBUFS
	}
	n := copy(b[:min(3, len(b))], f.data)
	f.data = f.data[n:]
	return n, nil
}

func (f *flakyConn) Write(b []byte) (int, error) {
	if f.calls++; f.calls%2 == 1 {
		return 0, syscall.ENOMEM
	}
	n := min(3, len(b))
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOBUFS
	}
	return n, nil
}

func TestSteady(t *testing.T) {
	f := &flakyConn{}
	s := RetryConn{f}
	if n, err := s.Write([]byte("abcdefg")); n != 7 || err != nil || string(f.data) != "abcdefg" {
		t.Errorf("wrote %d of 7 (%v): %q", n, err, f.data)
	}
	b := make([]byte, 7)
	if n, err := s.Read(b); n != 3 || err != nil {
		t.Errorf("read %d (%v)", n, err)
	}
	if _, err := (RetryConn{brokenConn{}}).Read(b); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read of a broken connection: %v", err)
	}
}

// brokenConn is a connection whose reads fail with a permanent error.
type brokenConn struct{ net.Conn }

func (brokenConn) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// A message has a head of 8 bytes (2 bytes "ym", the protocol version, the kind and the length of the body) and the body.
// File descriptors are sent with the head.
const (
	version  = 1
	headSize = 8
	maxBody  = 4 << 20
	maxFiles = 3

	kindHello    = 1 // new process: requests the handover state
	kindHandover = 2 // old process: the handover state, with the descriptors of the lock and the sockets
	kindBusy     = 3 // old process: another hot restart is in progress
	kindReady    = 4 // new process: it serves from now on
	kindClient   = 5 // old process: a client connection; the body is its idle time in milliseconds (4 bytes) and its user
)

// Errors of a connection between the two processes.
var (
	ErrProtocol  = errors.New("hot restart: unknown protocol or protocol version")
	errOtherUser = errors.New("hot restart: peer process runs as another user")
)

// link is one end of a connection between the two processes. Method send is safe for concurrent use.
type link struct {
	conn *net.UnixConn
	mu   sync.Mutex
}

// newLink checks that the peer process runs as the same user: any process that may write to the folder could listen on
// the socket, or connect to it.
func newLink(c *net.UnixConn) (*link, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var cred *syscall.Ucred
	var bad error
	if err := raw.Control(func(fd uintptr) {
		cred, bad = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return nil, err
	}
	if bad != nil {
		return nil, bad
	}
	if int(cred.Uid) != os.Getuid() {
		return nil, errOtherUser
	}
	return &link{conn: c}, nil
}

// send writes a message with the descriptors of the files. The files stay open in this process.
func (l *link) send(kind byte, body []byte, files ...syscall.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	out := append(make([]byte, 0, headSize+len(body)), 'y', 'm', version, kind)
	out = append(binary.BigEndian.AppendUint32(out, uint32(len(body))), body...)
	return withDescriptors(files, nil, func(fds []int) error {
		var rights []byte
		if len(fds) > 0 {
			rights = syscall.UnixRights(fds...)
		}
		n, _, err := l.conn.WriteMsgUnix(out, rights, nil)
		if err == nil && n < len(out) {
			_, err = l.conn.Write(out[n:])
		}
		return err
	})
}

// withDescriptors calls do with fds and the descriptors of the files, which cannot be closed during the call.
func withDescriptors(files []syscall.Conn, fds []int, do func([]int) error) error {
	if len(files) == 0 {
		return do(fds)
	}
	raw, err := files[0].SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) { inner = withDescriptors(files[1:], append(fds, int(fd)), do) })
	if err != nil {
		return err
	}
	return inner
}

// receive reads a message. The caller must close the files.
func (l *link) receive() (kind byte, body []byte, files []*os.File, err error) {
	defer func() {
		if err != nil {
			closeAll(files)
			files = nil
		}
	}()
	head, rights := make([]byte, headSize), make([]byte, syscall.CmsgSpace(maxFiles*4))
	for got := 0; got < headSize; {
		n, oob, flags, _, err := l.conn.ReadMsgUnix(head[got:], rights)
		if err != nil {
			return 0, nil, files, err
		}
		more, err := parseFiles(rights[:oob])
		files = append(files, more...)
		switch {
		case err != nil:
			return 0, nil, files, err
		case flags&syscall.MSG_CTRUNC != 0 || len(files) > maxFiles:
			return 0, nil, files, fmt.Errorf("%w: too many descriptors", ErrProtocol)
		case n == 0:
			return 0, nil, files, io.EOF
		}
		got += n
	}
	length := binary.BigEndian.Uint32(head[4:])
	if string(head[:2]) != "ym" || head[2] != version || length > maxBody {
		return 0, nil, files, ErrProtocol
	}
	body = make([]byte, length)
	_, err = io.ReadFull(l.conn, body)
	return head[3], body, files, err
}

// parseFiles returns the files in the control messages. After an error it returns those parsed so far.
func parseFiles(rights []byte) (files []*os.File, err error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

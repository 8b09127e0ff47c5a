package succession

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

// A message is a head of 8 bytes (2 bytes "ym", the version of this protocol, its kind, the length of its body) and the
// body. Descriptors travel with the head.
const (
	version  = 1
	headSize = 8
	maxBody  = 4 << 20
	maxFiles = 3

	kindHello  = 1 // heir: it would follow
	kindEstate = 2 // elder: what it leaves; with the sockets and the lock that the body counts
	kindBusy   = 3 // elder: another upgrade is under way
	kindReady  = 4 // heir: from now on it serves
	kindClient = 5 // elder: one client's connection; the body is how long it has idled, in milliseconds (4 bytes), and its user
)

// Errors of a connection between two processes.
var (
	ErrProtocol = errors.New("succession: not this protocol, or another version of it")
	errStranger = errors.New("succession: the other process belongs to another user")
)

// link is one end. Sending is safe for concurrent use.
type link struct {
	conn *net.UnixConn
	mu   sync.Mutex
}

// newLink checks who is at the other end: whoever may write to the folder could listen there, or connect.
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
		return nil, errStranger
	}
	return &link{conn: c}, nil
}

// send writes a message with the descriptors of the files, which stay open here.
func (l *link) send(kind byte, body []byte, files ...syscall.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(answerWithin)); err != nil {
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

// withDescriptors runs do with the descriptors of the files, which can't be closed meanwhile.
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

// receive reads a message. Its files are the caller's.
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
		more, err := filesOf(rights[:oob])
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

func filesOf(rights []byte) (files []*os.File, err error) {
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

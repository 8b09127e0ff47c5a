package backend

import (
	"net"
	"os"

	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

// maxLateBytes is the maximum number of bytes read of an answer after its deadline: enough for a value that is
// held in memory and for the host's statements.
const maxLateBytes = pg.SmallValue + 16<<10

// incoming reads from a connection. A read deadline may pass while the process is stalled, although bytes
// arrived in the socket before it. With readLate set, such bytes are still returned, without waiting for
// more, after the sending side has been closed.
type incoming struct {
	conn         *net.TCPConn
	readLate     bool
	pastDeadline bool // the deadline has passed during a read with readLate set
	remaining    int  // bytes that may still be read after the deadline
}

// Read implements io.Reader.
func (i *incoming) Read(p []byte) (int, error) {
	if !i.pastDeadline {
		n, err := socket.RetryConn{Conn: i.conn}.Read(p)
		if !i.readLate || !timedOut(err) {
			return n, err
		}
		i.pastDeadline, i.remaining = true, maxLateBytes
		_ = i.conn.CloseWrite()
	}
	n := socket.ReadArrived(i.conn, p[:min(len(p), i.remaining)])
	i.remaining -= n
	if n == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

package backend

import (
	"net"
	"os"

	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/socket"
)

// lateBytes bounds what is read of an answer once its time is over: a value that is held whole, and what a host says of itself.
const lateBytes = pg.SmallValue + 16<<10

// incoming reads what comes on a connection. A read deadline may pass while the process is held up, with bytes in the socket that
// came before it. With drain such bytes are still given, without waiting for more; the sending is ended first.
type incoming struct {
	conn  *net.TCPConn
	drain bool
	late  bool // the deadline has passed under a read with drain
	left  int  // bytes that may still be read then
}

// Read is io.Reader's.
func (i *incoming) Read(p []byte) (int, error) {
	if !i.late {
		n, err := socket.RetryConn{Conn: i.conn}.Read(p)
		if !i.drain || !timedOut(err) {
			return n, err
		}
		i.late, i.left = true, lateBytes
		_ = i.conn.CloseWrite()
	}
	n := socket.ReadArrived(i.conn, p[:min(len(p), i.left)])
	i.left -= n
	if n == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

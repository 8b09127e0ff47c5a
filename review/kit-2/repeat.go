package kit2

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yokemast/internal/wire/pg"
)

// Repeater stands between the gateway and a database host. It adds the time of the network to both directions, and lets the host
// send some answers a second time just behind, when no other query has arrived at the host.
type Repeater struct {
	OneWay time.Duration // between the gateway and the host
	Behind time.Duration // how long after an answer its second copy is sent
	Every  int64         // each answer with a row whose number is a multiple of Every is repeated; 0: none

	c        *Case
	host     string
	listener net.Listener
	rows     atomic.Int64
	Repeated atomic.Int64
}

// StartRepeater starts a proxy in front of the host at the address.
func (c *Case) StartRepeater(host string, r *Repeater) (*Repeater, error) {
	var err error
	r.c, r.host = c, host
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			n, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(n)
		}
	}()
	return r, nil
}

// Address is where the proxy listens.
func (r *Repeater) Address() string { return r.listener.Addr().String() }

// piece is what is on its way, with the time at which it arrives.
type piece struct {
	at    time.Time
	bytes []byte
}

// deliver writes each piece when it arrives.
func deliver(to net.Conn, pieces <-chan piece, arrived func()) {
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if arrived != nil {
			arrived()
		}
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	_ = to.Close()
	for range pieces {
	}
}

func (r *Repeater) serve(gateway net.Conn) {
	defer gateway.Close()
	host, err := net.Dial("tcp", r.host)
	if err != nil {
		return
	}
	defer host.Close()
	var mu sync.Mutex
	queries := 0 // that have arrived at the host
	up, down := make(chan piece, 1000), make(chan piece, 1000)
	go deliver(host, up, func() { mu.Lock(); queries++; mu.Unlock() })
	go deliver(gateway, down, nil)
	go func() {
		defer close(up)
		b := make([]byte, 64<<10)
		for {
			n, err := gateway.Read(b)
			if n > 0 {
				up <- piece{time.Now().Add(r.OneWay), append([]byte(nil), b[:n]...)}
			}
			if err != nil {
				return
			}
		}
	}()
	in := bufio.NewReaderSize(host, 64<<10)
	var answer []byte
	row, started := false, false
	for {
		kind, body, err := pg.Read(in, pg.MaxLarge)
		if err != nil {
			break
		}
		answer = pg.Append(answer, kind, body)
		row = row || kind == pg.DataRow
		if kind != pg.ReadyForQuery {
			continue
		}
		mu.Lock()
		before := queries
		mu.Unlock()
		down <- piece{time.Now().Add(r.OneWay), answer}
		if repeated := answer; started && row && r.Every > 0 && r.rows.Add(1)%r.Every == 0 {
			time.Sleep(r.Behind)
			mu.Lock()
			if queries == before { // nothing else waits on the connection
				r.Repeated.Add(1)
				r.c.Note("a host sends its last answer a second time, %v behind", r.Behind)
				down <- piece{time.Now().Add(r.OneWay), repeated}
			}
			mu.Unlock()
		}
		answer, row, started = nil, false, true
	}
	close(down)
}

package linkfault

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"yokemast/internal/wire/socket"
)

// queued is how many reads from one end wait to go on to the other.
const queued = 4096

// conn is a connection of the gateway and the one to the host that it goes on to.
type conn struct {
	link    *Link
	gateway *net.TCPConn
	done    chan struct{} // closed once both are

	mu      sync.Mutex
	host    *net.TCPConn // nil: not yet
	ended   bool
	asked   string // the query that is out; "": none
	idle    *time.Timer
	lost    bool // it has been forgotten
	queries framer
	answers framer
	answer  Answer // the one that is coming
}

// chunk is what was read at once from one end.
type chunk struct {
	data    []byte
	at      time.Time
	err     error    // what the reading ended with
	query   bool     // it ends a query
	answers []Answer // that it ends
}

func (c *conn) setHost(host *net.TCPConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host = host
	if c.ended {
		abort(host)
	}
}

// reset resets both ends.
func (c *conn) reset() { c.end(true) }

// end closes both ends.
func (c *conn) end(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	close(c.done)
	for _, end := range []*net.TCPConn{c.gateway, c.host} {
		switch {
		case end == nil:
		case reset:
			abort(end)
		default:
			end.Close()
		}
	}
}

func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// open says whether the gateway still waits on the connection.
func (c *conn) open() bool {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	return !ended && socket.NothingReceived(c.gateway)
}

// wait waits for a time, and until a channel that is not nil is closed; false: the connection has ended.
func (c *conn) wait(long time.Duration, over <-chan struct{}) bool {
	timer := time.NewTimer(long)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
		return false
	}
	if over != nil {
		select {
		case <-over:
		case <-c.done:
			return false
		}
	}
	return true
}

// run carries both ways until both are over.
func (c *conn) run() {
	var ways sync.WaitGroup
	ways.Go(func() { c.pass(c.gateway, c.host, c.readQueries, c.passQuery) })
	ways.Go(func() { c.pass(c.host, c.gateway, c.readAnswers, c.passAnswer) })
	ways.Wait()
	c.end(false)
}

// pass carries what comes from one end on to the other, in order; the reading does not wait for what has to be passed on.
func (c *conn) pass(from, to *net.TCPConn, read func(*chunk), pass func(chunk, Fault) bool) {
	chunks := make(chan chunk, queued)
	go func() {
		defer close(chunks)
		for buffer := make([]byte, 16<<10); ; {
			n, err := from.Read(buffer)
			k := chunk{data: append([]byte(nil), buffer[:n]...), at: time.Now(), err: err}
			read(&k)
			chunks <- k
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		go func() {
			for range chunks { // what is read is looked at to the end
			}
		}()
	}()
	for k := range chunks {
		fault, over := c.link.current()
		if !c.hold(k, fault, over, to) {
			return
		}
		if len(k.data) > 0 && !pass(k, fault) {
			return
		}
		switch {
		case errors.Is(k.err, io.EOF):
			_ = to.CloseWrite()
		case k.err != nil:
			c.reset()
		}
	}
}

// hold keeps a chunk for as long as the fault says; false: the connection has ended meanwhile.
func (c *conn) hold(k chunk, f Fault, over <-chan struct{}, to *net.TCPConn) bool {
	toGateway := to == c.gateway
	switch {
	case f.Kind == Silent, f.Kind == HoldsAnswers && toGateway:
		return c.wait(0, over)
	case f.Kind == DelaysAnswers && toGateway, f.Kind == DelaysQueries && !toGateway:
		return c.wait(time.Until(k.at.Add(f.Max/2+time.Duration(c.link.draw(int64(f.Max/2))))), nil)
	}
	return true
}

// readQueries looks at what the gateway has sent.
func (c *conn) readQueries(k *chunk) {
	c.mu.Lock()
	whole := c.queries.add(k.data, k.at)
	for _, m := range whole {
		if m.kind == 'Q' {
			k.query, c.asked = true, strings.TrimSuffix(string(m.body), "\x00")
		}
	}
	c.stopIdle()
	c.mu.Unlock()
	for _, m := range whole {
		if m.kind == 'Q' {
			c.link.watch.Sent(Sent{Text: strings.TrimSuffix(string(m.body), "\x00"), First: m.first, Last: k.at, Open: c.open})
		}
	}
}

// readAnswers looks at what the host has sent.
func (c *conn) readAnswers(k *chunk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.answers.add(k.data, k.at) {
		switch m.kind {
		case 'S':
			c.answer.Follower = c.answer.Follower || string(m.body) == "node_role\x00follower\x00"
		case 'D':
			report := string(m.body)
			c.answer.Follower = c.answer.Follower || c.asked == "SHOW server_load" && strings.HasSuffix(report, "x1=0") &&
				!strings.HasSuffix(report, unmade)
		case 'Z':
			c.answer.Text, c.answer.Made = c.asked, k.at
			if c.asked != "" {
				k.answers = append(k.answers, c.answer)
			}
			c.answer, c.asked = Answer{}, ""
		}
	}
}

// unmade is the report of a host that has made none yet.
const unmade = "x0=0.000,x1=0"

// passQuery writes to the host what the gateway sent; false: nothing more is passed on.
func (c *conn) passQuery(k chunk, f Fault) bool {
	c.mu.Lock()
	lost := c.lost
	c.mu.Unlock()
	if lost {
		if c.link.draw(2) == 0 {
			c.reset()
		}
		return true
	}
	if k.query && f.Kind == ResetsQuery && c.link.draw(oneIn) == 0 {
		_, _ = c.host.Write(k.data[:c.link.draw(int64(len(k.data)))])
		c.reset()
		return false
	}
	if k.query && f.Kind == ResetsLater && c.link.draw(oneIn) == 0 {
		time.AfterFunc(time.Duration(c.link.draw(int64(f.Max))), c.reset)
	}
	return c.write(c.host, k.data, f, nil)
}

// passAnswer writes to the gateway what the host sent; false: nothing more is passed on.
func (c *conn) passAnswer(k chunk, f Fault) bool {
	if len(k.answers) > 0 && c.link.draw(oneIn) == 0 {
		switch f.Kind {
		case ResetsAnswer:
			_, _ = c.gateway.Write(k.data[:c.link.draw(int64(len(k.data)))])
			c.reset()
			return false
		case HalfCloses:
			_, _ = c.gateway.Write(k.data[:c.link.draw(int64(len(k.data)))])
			_ = c.gateway.CloseWrite()
			return false // what the gateway still sends goes on
		}
	}
	tell := func(told func(Answer)) {
		for _, a := range k.answers {
			if c.open() {
				told(a)
			}
		}
	}
	if !c.write(c.gateway, k.data, f, func() { tell(c.link.watch.Delivering) }) {
		return false
	}
	tell(c.link.watch.Delivered)
	if len(k.answers) > 0 {
		c.rest(f)
	}
	return true
}

// write writes to one end, in pieces where the fault says so, and calls last before the last of it.
func (c *conn) write(to *net.TCPConn, data []byte, f Fault, last func()) bool {
	for f.Kind == Pieces && len(data) > longestPiece {
		n := 1 + c.link.draw(longestPiece)
		if _, err := to.Write(data[:n]); err != nil || !c.wait(time.Duration(c.link.draw(int64(piecePause))), nil) {
			return false
		}
		data = data[n:]
	}
	if last != nil {
		last()
	}
	_, err := to.Write(data)
	return err == nil
}

// rest closes or forgets the connection once it has idled for long enough, where the fault says so.
func (c *conn) rest(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopIdle()
	switch {
	case c.asked != "" || c.ended:
	case f.Kind == ClosesIdle:
		c.idle = time.AfterFunc(f.Max, func() { c.end(c.link.draw(2) == 0) })
	case f.Kind == ForgetsIdle:
		c.idle = time.AfterFunc(f.Max, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.lost = c.asked == ""
		})
	}
}

func (c *conn) stopIdle() {
	if c.idle != nil {
		c.idle.Stop()
	}
}

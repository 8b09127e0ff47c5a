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

// maxQueued is the maximum number of reads from one end that wait to be forwarded.
const maxQueued = 4096

// conn is a connection of the gateway with the connection to the host to which it is forwarded.
type conn struct {
	link    *Link
	gateway *net.TCPConn
	done    chan struct{} // closed once both connections are

	mu        sync.Mutex
	host      *net.TCPConn // nil until connected
	ended     bool
	inFlight  string      // text of the query in flight, or empty
	idle      *time.Timer // runs while no query is in flight
	forgotten bool        // ForgetsIdle has struck: data of the gateway is dropped
	queries   framer
	answers   framer
	answer    Answer // the answer that is being received
}

// chunk is the result of one read from one end.
type chunk struct {
	data    []byte
	at      time.Time
	err     error    // with which reading ended, or nil
	query   bool     // the chunk ends a query
	answers []Answer // answers that end in the chunk
}

func (c *conn) setHost(host *net.TCPConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host = host
	if c.ended {
		abort(host)
	}
}

// reset resets both connections.
func (c *conn) reset() { c.end(true) }

// end closes or resets both connections.
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

// open reports whether the gateway still waits for answers on the connection.
func (c *conn) open() bool {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	return !ended && socket.NothingReceived(c.gateway)
}

// wait waits for a duration and, if faultEnd is not nil, until it is closed. It returns false if the connection ended.
func (c *conn) wait(duration time.Duration, faultEnd <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
		return false
	}
	if faultEnd != nil {
		select {
		case <-faultEnd:
		case <-c.done:
			return false
		}
	}
	return true
}

// run forwards both directions until both have ended.
func (c *conn) run() {
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(c.gateway, c.host, c.readQueries, c.forwardQuery) })
	directions.Go(func() { c.forward(c.host, c.gateway, c.readAnswers, c.forwardAnswer) })
	directions.Wait()
	c.end(false)
}

// forward forwards data from one end to the other in order. Reading does not wait for the forwarding.
func (c *conn) forward(from, to *net.TCPConn, read func(*chunk), write func(chunk, Fault) bool) {
	chunks := make(chan chunk, maxQueued)
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
			for range chunks { // all reads are parsed, up to the end
			}
		}()
	}()
	for k := range chunks {
		fault, faultEnd := c.link.current()
		if !c.delay(k, fault, faultEnd, to) {
			return
		}
		if len(k.data) > 0 && !write(k, fault) {
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

// delay delays a chunk as the fault requires. It returns false if the connection ended meanwhile.
func (c *conn) delay(k chunk, f Fault, faultEnd <-chan struct{}, to *net.TCPConn) bool {
	toGateway := to == c.gateway
	switch {
	case f.Kind == Silent, f.Kind == HoldsAnswers && toGateway:
		return c.wait(0, faultEnd)
	case f.Kind == DelaysAnswers && toGateway, f.Kind == DelaysQueries && !toGateway:
		return c.wait(time.Until(k.at.Add(f.Max/2+time.Duration(c.link.draw(int64(f.Max/2))))), nil)
	}
	return true
}

// readQueries parses data of the gateway and reports complete queries to the watcher.
func (c *conn) readQueries(k *chunk) {
	c.mu.Lock()
	messages := c.queries.add(k.data, k.at)
	for _, m := range messages {
		if m.kind == 'Q' {
			k.query, c.inFlight = true, strings.TrimSuffix(string(m.body), "\x00")
		}
	}
	c.stopIdle()
	c.mu.Unlock()
	for _, m := range messages {
		if m.kind == 'Q' {
			c.link.watcher.Sent(Sent{Text: strings.TrimSuffix(string(m.body), "\x00"), First: m.firstAt, Last: k.at, Open: c.open})
		}
	}
}

// readAnswers parses data of the host and stores complete answers in the chunk.
func (c *conn) readAnswers(k *chunk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.answers.add(k.data, k.at) {
		switch m.kind {
		case 'S':
			c.answer.Follower = c.answer.Follower || string(m.body) == "node_role\x00follower\x00"
		case 'D':
			report := string(m.body)
			c.answer.Follower = c.answer.Follower || c.inFlight == "SHOW server_load" && strings.HasSuffix(report, "x1=0") &&
				!strings.HasSuffix(report, emptyReport)
		case 'Z':
			c.answer.Text, c.answer.Made = c.inFlight, k.at
			if c.inFlight != "" {
				k.answers = append(k.answers, c.answer)
			}
			c.answer, c.inFlight = Answer{}, ""
		}
	}
}

// emptyReport is the load report of a host that has not made one yet.
const emptyReport = "x0=0.000,x1=0"

// forwardQuery writes data of the gateway to the host. It returns false if no more data must be forwarded.
func (c *conn) forwardQuery(k chunk, f Fault) bool {
	c.mu.Lock()
	forgotten := c.forgotten
	c.mu.Unlock()
	if forgotten {
		if c.link.draw(2) == 0 {
			c.reset()
		}
		return true
	}
	if k.query && f.Kind == ResetsQuery && c.link.draw(affectedOneIn) == 0 {
		_, _ = c.host.Write(k.data[:c.link.draw(int64(len(k.data)))])
		c.reset()
		return false
	}
	if k.query && f.Kind == ResetsLater && c.link.draw(affectedOneIn) == 0 {
		time.AfterFunc(time.Duration(c.link.draw(int64(f.Max))), c.reset)
	}
	return c.write(c.host, k.data, f, nil)
}

// forwardAnswer writes data of the host to the gateway. It returns false if no more data must be forwarded.
func (c *conn) forwardAnswer(k chunk, f Fault) bool {
	if len(k.answers) > 0 && c.link.draw(affectedOneIn) == 0 {
		switch f.Kind {
		case ResetsAnswer:
			_, _ = c.gateway.Write(k.data[:c.link.draw(int64(len(k.data)))])
			c.reset()
			return false
		case HalfCloses:
			_, _ = c.gateway.Write(k.data[:c.link.draw(int64(len(k.data)))])
			_ = c.gateway.CloseWrite()
			return false // the gateway's data is still forwarded
		}
	}
	notify := func(callback func(Answer)) {
		for _, a := range k.answers {
			if c.open() {
				callback(a)
			}
		}
	}
	if !c.write(c.gateway, k.data, f, func() { notify(c.link.watcher.Delivering) }) {
		return false
	}
	notify(c.link.watcher.Delivered)
	if len(k.answers) > 0 {
		c.startIdle(f)
	}
	return true
}

// write writes to one end, in pieces if the fault requires it, and calls beforeLast, if not nil, before the last write.
func (c *conn) write(to *net.TCPConn, data []byte, f Fault, beforeLast func()) bool {
	for f.Kind == Pieces && len(data) > maxPiece {
		n := 1 + c.link.draw(maxPiece)
		if _, err := to.Write(data[:n]); err != nil || !c.wait(time.Duration(c.link.draw(int64(maxPiecePause))), nil) {
			return false
		}
		data = data[n:]
	}
	if beforeLast != nil {
		beforeLast()
	}
	_, err := to.Write(data)
	return err == nil
}

// startIdle starts the timer of a fault that closes or forgets idle connections.
func (c *conn) startIdle(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopIdle()
	switch {
	case c.inFlight != "" || c.ended:
	case f.Kind == ClosesIdle:
		c.idle = time.AfterFunc(f.Max, func() { c.end(c.link.draw(2) == 0) })
	case f.Kind == ForgetsIdle:
		c.idle = time.AfterFunc(f.Max, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.forgotten = c.inFlight == ""
		})
	}
}

func (c *conn) stopIdle() {
	if c.idle != nil {
		c.idle.Stop()
	}
}

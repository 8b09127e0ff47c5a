package hosts

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokemast/internal/testbed/rules"
	"yokemast/internal/wire/pg"
)

// Hang is the way in which a host hangs.
type Hang int

// Ways to hang. Work in progress continues when the host resumes, whether or not its client still waits.
const (
	NotHung      Hang = iota
	BeforeCommit      // nothing is executed until the host resumes
	AfterCommit       // requests are executed but not answered
	ButProbes         // as BeforeCommit, but probes are answered with the last load report
)

// Cluster is a primary and its replicas, which hold the same data. A replica shows all commits that are older than its lag.
type Cluster struct {
	Group int
	Bound time.Duration // maximum age of data for reads of classes other than Own; 0 disables the check
	Own   string        // the class whose reads must see the position that they state

	mu          sync.Mutex
	hosts       []*Host
	primary     *Host
	logEnd      time.Time // end of the log while there is no primary
	commits     map[string][]commit
	copies      []*Cluster
	commitCount int
	openConns   int // open connections of general hosts
	peakConns   int // maximum of openConns
}

type commit struct {
	at     time.Time
	value  []byte
	id     string
	copied bool // from another cluster
}

// NewCluster starts a cluster of n hosts that listen on loopback, the first of which is the primary. The name of a host is the
// prefix and its index. configure, if not nil, is called to configure each host before it starts.
func NewCluster(group int, prefix string, n int, ledger *rules.Ledger, configure func(*Host)) (*Cluster, error) {
	c := &Cluster{Group: group, commits: map[string][]commit{}}
	for i := range n {
		h := &Host{ID: fmt.Sprintf("%s%d", prefix, i), Address: unusedAddress(), Group: group, cluster: c, Ledger: ledger}
		if configure != nil {
			configure(h)
		}
		var err error
		if h.Listener, err = net.Listen("tcp", h.Address); err != nil {
			c.Close()
			return nil, err
		}
		if h.Slots > 0 {
			h.slots = make(chan struct{}, h.Slots)
		}
		c.hosts = append(c.hosts, h)
		c.primary = c.hosts[0]
	}
	c.recordLeadership(c.primary, rules.Leads)
	for _, h := range c.hosts {
		h.startAccepting()
	}
	return c, nil
}

// Close stops all hosts.
func (c *Cluster) Close() {
	for _, h := range c.hosts {
		h.Crash()
	}
}

// Hosts returns the hosts in the order of their indexes.
func (c *Cluster) Hosts() []*Host { return c.hosts }

// Primary returns the primary, or nil if there is none.
func (c *Cluster) Primary() *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary
}

// CopyTo copies all data to another cluster now, and every later commit before it is answered.
func (c *Cluster) CopyTo(other *Cluster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.commits {
		for _, x := range list {
			other.addCopy(key, x)
		}
	}
	c.copies = append(c.copies, other)
}

func (c *Cluster) addCopy(key string, x commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.copied = true
	c.commits[key] = append(c.commits[key], x)
}

// LastValue returns the last committed value of a key, including copied commits, or nil if there is none.
func (c *Cluster) LastValue(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.commits[key]; len(list) > 0 {
		return list[len(list)-1].value
	}
	return nil
}

// PeakConns returns the maximum number of connections that all general hosts together had open.
func (c *Cluster) PeakConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peakConns
}

// Commits returns the number of writes committed in this cluster, without copied ones.
func (c *Cluster) Commits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commitCount
}

// CommitsByID returns, by request, the number of commits of its write in this cluster, without copied ones.
func (c *Cluster) CommitsByID() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, list := range c.commits {
		for _, x := range list {
			if !x.copied {
				out[x.id]++
			}
		}
	}
	return out
}

// SetHang makes the host hang in the given way, or resumes it.
func (h *Host) SetHang(mode Hang) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hung == NotHung && mode != NotHung {
		h.resumed = make(chan struct{})
	} else if h.hung != NotHung && mode == NotHung {
		close(h.resumed)
	}
	h.hung = mode
}

// waitForProbes waits while the host does not answer probes. It reports whether the process has died meanwhile.
func (h *Host) waitForProbes() (died bool) {
	h.mu.Lock()
	mode := h.hung
	h.mu.Unlock()
	return mode != ButProbes && h.waitWhileHung(nil)
}

// waitWhileHung waits while the host hangs and reports whether the process has died meanwhile. If mode is not nil, it stores
// the way to hang there and does not wait for AfterCommit.
func (h *Host) waitWhileHung(mode *Hang) (died bool) {
	h.mu.Lock()
	current, resumed, process := h.hung, h.resumed, h.process
	h.mu.Unlock()
	if mode != nil {
		*mode = current
	}
	if current == NotHung || mode != nil && current == AfterCommit {
		return false
	}
	<-resumed
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != process
}

// Crash ends the process: connections are reset, new ones are refused, and requests that wait or run are lost.
func (h *Host) Crash() {
	h.SetHang(NotHung)
	h.cluster.state(h) // the log is applied up to now; a restart continues from this position
	h.Listener.Close()
	h.mu.Lock()
	h.process++
	h.stopReportsLocked()
	h.mu.Unlock()
	h.Reset()
}

// Reset resets all connections to the host.
func (h *Host) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// Restart starts a crashed host again, cold and at its previous address.
func (h *Host) Restart() error {
	l, err := net.Listen("tcp", h.Address)
	if err != nil {
		return err
	}
	h.StartCold()
	h.mu.Lock()
	h.Listener = l
	h.replication.updatedAt = time.Now() // the log was not applied while the host was down
	h.startReportsLocked()
	h.mu.Unlock()
	go h.accept(l)
	return nil
}

// StartCold makes the host cold now, as after a start.
func (h *Host) StartCold() {
	h.mu.Lock()
	h.coldSince = time.Now()
	h.mu.Unlock()
	if h.Ledger != nil && h.Slots > 0 {
		h.Ledger.ColdStarted(h.ID, func(now time.Time) float64 { return h.WarmUpWeight(now) * float64(h.Slots) })
	}
}

// WarmUpWeight returns the fraction of its full capacity that the host has at a time.
func (h *Host) WarmUpWeight(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := now.Sub(h.coldSince)
	if h.coldSince.IsZero() || age >= h.ColdTime {
		return 1
	}
	return h.ColdFrom + (1-h.ColdFrom)*float64(age)/float64(h.ColdTime)
}

// runQuery answers a query from the cluster's data. A nil answer closes the connection. A query that was begun is executed
// even if the connection ends.
func (h *Host) runQuery(c net.Conn, in *bufio.Reader, query string) []byte {
	s, err := pg.ParseStatement([]byte(query))
	if err != nil {
		return h.Refuse("08P01")
	}
	arrived := time.Now()
	attemptEnded := func() {}
	if !isOpen(c) {
		return nil // the host has reset the connection meanwhile: its process never received the request
	}
	if h.Ledger != nil {
		h.Ledger.ArrivedOnConn(h.ID, s.ID, h.Work, func() bool { return isOpen(c) })
		attemptEnded = sync.OnceFunc(func() { h.Ledger.AttemptEnded(h.ID, s.ID) })
	}
	result := make(chan []byte, 1)
	go func() { result <- h.execute(s, arrived) }()
	// A gateway abandons an attempt by closing the connection; from then on it is not in flight.
	watchDone := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(watchDone)
		for {
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := in.Peek(1)
			if nerr, ok := err.(net.Error); err == nil || !ok || !nerr.Timeout() {
				if err != nil {
					attemptEnded()
				}
				return
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	answer := <-result
	attemptEnded()
	close(stop)
	<-watchDone
	_ = c.SetReadDeadline(time.Time{})
	return answer
}

func (h *Host) execute(s *pg.Statement, arrived time.Time) []byte {
	h.mu.Lock()
	process := h.process
	full := h.slots != nil && h.waiting >= h.MaxQueue+h.Slots
	if !full {
		h.waiting++
	}
	h.mu.Unlock()
	if full {
		h.recordNotExecuted(s)
		return h.Refuse(pg.CodeTooMany)
	}
	defer func() {
		h.mu.Lock()
		h.waiting--
		h.mu.Unlock()
	}()
	if h.slots != nil {
		h.slots <- struct{}{}
		defer func() { <-h.slots }()
	}
	var hung Hang
	if h.waitWhileHung(&hung) {
		return nil
	}
	if h.Work > 0 {
		time.Sleep(time.Duration(float64(h.Work) / h.WarmUpWeight(time.Now())))
	}
	h.mu.Lock()
	ended := h.process != process
	h.mu.Unlock()
	if ended {
		return nil
	}
	answer := h.apply(s, arrived)
	h.delay()
	if hung == AfterCommit {
		h.waitWhileHung(nil)
	}
	return answer
}

// apply executes a statement.
func (h *Host) apply(s *pg.Statement, arrived time.Time) []byte {
	c := h.cluster
	c.mu.Lock()
	primary := c.primary == h
	c.mu.Unlock()
	if s.Write && !primary {
		h.recordNotExecuted(s)
		return h.Refuse(pg.CodeReadOnly)
	}
	if h.Ledger != nil {
		h.Ledger.Executed(h.ID, s.ID, s.Write)
	}
	if h.Log != nil {
		h.Log("%s (%s) executes %s", h.ID, h.Role(), s.Text)
	}
	if s.Write {
		at, value := time.Now(), literal(s.Text)
		x := commit{at: at, value: value, id: s.ID}
		c.mu.Lock()
		c.commits[s.Key] = append(c.commits[s.Key], x)
		c.commitCount++
		copies := c.copies
		c.mu.Unlock()
		for _, other := range copies {
			other.addCopy(s.Key, x)
		}
		if h.Ledger != nil {
			h.Ledger.ValueProduced(s.ID, value)
		}
		// Positions are stated in whole milliseconds. Rounding up ensures that the stated position includes this commit.
		return h.answer(pg.Value{Data: value, Format: 1}, s.Tag(), replicaState{Leader, at.Add(time.Millisecond)})
	}
	state := h.state()
	position := state.position
	if h.Ledger != nil {
		switch {
		case s.Class == c.Own && s.After > 0:
			h.Ledger.ReadOwn(h.ID, s.ID, arrived, position, time.UnixMilli(s.After.Milliseconds()).Add(-h.Skew))
		case s.Class != c.Own && c.Bound > 0:
			h.Ledger.Read(h.ID, s.ID, arrived, position, c.Bound)
		}
	}
	var value []byte
	c.mu.Lock()
	for _, x := range c.commits[s.Key] {
		if !x.at.After(position) {
			value = x.value
		}
	}
	c.mu.Unlock()
	if h.Ledger != nil {
		h.Ledger.ValueProduced(s.ID, value)
	}
	return h.answer(pg.Value{Data: value, Format: 1}, s.Tag(), state)
}

func (h *Host) recordNotExecuted(s *pg.Statement) {
	if h.Ledger != nil {
		h.Ledger.NotExecuted(h.ID, s.ID)
	}
}

// isOpen reports whether the peer has neither closed nor reset a connection.
func isOpen(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := true
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && open
}

// literal decodes the value of an INSERT.
func literal(text []byte) []byte {
	_, rest, _ := bytes.Cut(text, []byte(`, '\x`))
	digits, _, _ := strings.Cut(string(rest), "'")
	value, err := hex.DecodeString(digits)
	if err != nil {
		return nil
	}
	return value
}

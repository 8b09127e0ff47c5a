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

// Hang is how a host that hangs swallows requests.
type Hang int

// Ways to hang. Work that was begun goes on when the host comes back, whether anybody waits for it or not.
const (
	NotHung      Hang = iota
	BeforeCommit      // nothing is run until it comes back
	AfterCommit       // it runs what comes, and answers nothing
	ButProbes         // nothing is run until it comes back; probes are answered with the load report that it kept
)

// Cluster is a primary and its replicas, which hold the same data. A replica shows what was committed up to its lag ago.
type Cluster struct {
	Group int
	Bound time.Duration // reads of classes but own may be as old as this; 0: their age is not checked
	Own   string        // the class whose reads must see the position that they name

	mu      sync.Mutex
	hosts   []*Host
	primary *Host
	logEnd  time.Time // while there is no primary
	commits map[string][]commit
	copies  []*Cluster
	count   int
	open    int // connections of general hosts
	peak    int
}

type commit struct {
	at     time.Time
	value  []byte
	id     string
	copied bool // from another cluster
}

// NewCluster makes a cluster of hosts that listen on loopback, the first of which is the primary. Their names are the
// prefix and a number.
func NewCluster(group int, prefix string, n int, ledger *rules.Ledger, set func(*Host)) (*Cluster, error) {
	c := &Cluster{Group: group, commits: map[string][]commit{}}
	for i := range n {
		h := &Host{ID: fmt.Sprintf("%s%d", prefix, i), Address: "127.0.0.1:0", Group: group, cluster: c, Ledger: ledger}
		if set != nil {
			set(h)
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
	c.tell(c.primary, rules.Leads)
	for _, h := range c.hosts {
		h.begin()
	}
	return c, nil
}

// Close ends all hosts.
func (c *Cluster) Close() {
	for _, h := range c.hosts {
		h.Crash()
	}
}

// Hosts gives the hosts in their order.
func (c *Cluster) Hosts() []*Host { return c.hosts }

// Primary gives the primary; nil while there is none.
func (c *Cluster) Primary() *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary
}

// CopyTo copies all data to another cluster, and from now on each commit before it is answered.
func (c *Cluster) CopyTo(other *Cluster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.commits {
		for _, x := range list {
			other.put(key, x)
		}
	}
	c.copies = append(c.copies, other)
}

func (c *Cluster) put(key string, x commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.copied = true
	c.commits[key] = append(c.commits[key], x)
}

// LastValue gives the value of a key that was committed last, also by copying; nil: there is none.
func (c *Cluster) LastValue(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.commits[key]; len(list) > 0 {
		return list[len(list)-1].value
	}
	return nil
}

// PeakConns is how many connections general hosts had at most, all together.
func (c *Cluster) PeakConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}

// Commits is how many writes were committed here; those copied do not count.
func (c *Cluster) Commits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// CommitsByID gives how often the write of each request was committed here; those copied do not count.
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

// SetHang lets the host hang, or wakes it.
func (h *Host) SetHang(how Hang) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hung == NotHung && how != NotHung {
		h.released = make(chan struct{})
	} else if h.hung != NotHung && how == NotHung {
		close(h.released)
	}
	h.hung = how
}

// probeHangs waits while the host hangs for probes too; it says whether the process has died meanwhile.
func (h *Host) probeHangs() (died bool) {
	h.mu.Lock()
	how := h.hung
	h.mu.Unlock()
	return how != ButProbes && h.hang(nil)
}

// hang waits while the host hangs; it says whether the process has died meanwhile.
func (h *Host) hang(after *Hang) (died bool) {
	h.mu.Lock()
	how, released, life := h.hung, h.released, h.life
	h.mu.Unlock()
	if after != nil {
		*after = how
	}
	if how == NotHung || after != nil && how == AfterCommit {
		return false
	}
	<-released
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life != life
}

// Crash ends the process: connections are reset, new ones refused, what waited or ran is gone.
func (h *Host) Crash() {
	h.SetHang(NotHung)
	h.cluster.standing(h) // it goes on from here
	h.Listener.Close()
	h.mu.Lock()
	h.life++
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

// Restart starts a crashed host again at its old address, cold.
func (h *Host) Restart() error {
	l, err := net.Listen("tcp", h.Address)
	if err != nil {
		return err
	}
	h.StartCold()
	h.mu.Lock()
	h.Listener = l
	h.log.appliedAt = time.Now() // nothing was applied while it was down
	h.startReportsLocked()
	h.mu.Unlock()
	go h.accept(l)
	return nil
}

// StartCold makes the host cold from now on, as after a start.
func (h *Host) StartCold() {
	h.mu.Lock()
	h.started = time.Now()
	h.mu.Unlock()
	if h.Ledger != nil && h.Slots > 0 {
		h.Ledger.Cold(h.ID, func(now time.Time) float64 { return h.Warmth(now) * float64(h.Slots) })
	}
}

// Warmth is the part of its capacity that the host has.
func (h *Host) Warmth(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := now.Sub(h.started)
	if h.started.IsZero() || age >= h.ColdTime {
		return 1
	}
	return h.ColdFrom + (1-h.ColdFrom)*float64(age)/float64(h.ColdTime)
}

// run serves a query from the cluster's data; nil closes the connection. The connection's end stops nothing.
func (h *Host) run(c net.Conn, in *bufio.Reader, query string) []byte {
	s, bad := pg.ParseStatement([]byte(query))
	if bad != nil {
		return h.Refuse("08P01")
	}
	arrived := time.Now()
	over := func() {}
	if !isOpen(c) {
		return nil // the host has reset it meanwhile: its process never got the request
	}
	if h.Ledger != nil {
		h.Ledger.ArrivedOn(h.ID, s.ID, h.Work, func() bool { return isOpen(c) })
		over = sync.OnceFunc(func() { h.Ledger.Over(h.ID, s.ID) })
	}
	result := make(chan []byte, 1)
	go func() { result <- h.work(s, arrived) }()
	// A gateway gives an attempt up by closing: from then on it is no longer out.
	gone := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := in.Peek(1)
			if nerr, ok := err.(net.Error); err == nil || !ok || !nerr.Timeout() {
				if err != nil {
					over()
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
	over()
	close(stop)
	<-gone
	_ = c.SetReadDeadline(time.Time{})
	return answer
}

func (h *Host) work(s *pg.Statement, arrived time.Time) []byte {
	h.mu.Lock()
	life := h.life
	full := h.slots != nil && h.waiting >= h.MaxQueue+h.Slots
	if !full {
		h.waiting++
	}
	h.mu.Unlock()
	if full {
		h.unrun(s)
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
	if h.hang(&hung) {
		return nil
	}
	if h.Work > 0 {
		time.Sleep(time.Duration(float64(h.Work) / h.Warmth(time.Now())))
	}
	h.mu.Lock()
	dead := h.life != life
	h.mu.Unlock()
	if dead {
		return nil
	}
	answer := h.apply(s, arrived)
	h.delay()
	if hung == AfterCommit {
		h.hang(nil)
	}
	return answer
}

// apply runs a statement.
func (h *Host) apply(s *pg.Statement, arrived time.Time) []byte {
	c := h.cluster
	c.mu.Lock()
	primary := c.primary == h
	c.mu.Unlock()
	if s.Write && !primary {
		h.unrun(s)
		return h.Refuse(pg.CodeReadOnly)
	}
	if h.Ledger != nil {
		h.Ledger.Ran(h.ID, s.ID, s.Write)
	}
	if h.Log != nil {
		h.Log("%s (%s) runs %s", h.ID, h.Role(), s.Text)
	}
	if s.Write {
		at, value := time.Now(), literal(s.Text)
		x := commit{at: at, value: value, id: s.ID}
		c.mu.Lock()
		c.commits[s.Key] = append(c.commits[s.Key], x)
		c.count++
		copies := c.copies
		c.mu.Unlock()
		for _, other := range copies {
			other.put(s.Key, x)
		}
		if h.Ledger != nil {
			h.Ledger.ValueProduced(s.ID, value)
		}
		// Commits are told rounded up: a millisecond later nothing of this one is missing.
		return h.answer(pg.Value{Data: value, Format: 1}, s.Tag(), standing{Leader, at.Add(time.Millisecond)})
	}
	now := h.standing()
	position := now.position
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
	return h.answer(pg.Value{Data: value, Format: 1}, s.Tag(), now)
}

func (h *Host) unrun(s *pg.Statement) {
	if h.Ledger != nil {
		h.Ledger.Unrun(h.ID, s.ID)
	}
}

// isOpen says whether the other end has neither closed nor reset a connection.
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

// literal reads the value of an INSERT.
func literal(text []byte) []byte {
	_, rest, _ := bytes.Cut(text, []byte(`, '\x`))
	digits, _, _ := strings.Cut(string(rest), "'")
	value, err := hex.DecodeString(digits)
	if err != nil {
		return nil
	}
	return value
}

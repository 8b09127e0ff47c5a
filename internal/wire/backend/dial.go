package backend

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/socket"
)

// dialRetryWindow is how long a dial is retried that fails with a transient error of this machine.
const dialRetryWindow = 50 * time.Millisecond

// acquire returns a connection to the host: the most recently used of the idle ones whose minimum rest is
// over, or a new one, opened in the context that dialContext returns.
func (b *Backend) acquire(dialContext func() context.Context, server string, deadline time.Duration) (*conn, error) {
	b.mu.Lock()
	h := b.hosts[server]
	if h == nil {
		b.mu.Unlock()
		return nil, errUnknown
	}
	// A host may have closed an idle connection. A query written to it would count as a reset, so as possibly
	// executed.
	choice, id, closed := b.pools.Take(b.cfg.Clock.Now(), server, func(id int) bool { return b.conns[id].alive() })
	b.closeLocked(closed)
	switch choice {
	case pooling.Reuse:
		c := b.conns[id]
		delete(b.conns, id)
		b.mu.Unlock()
		return c, nil
	case pooling.Open:
		if id > 0 { // an idle connection that must be closed to stay within the limits
			b.closeLocked([]int{id})
		}
	default:
		b.mu.Unlock()
		b.cfg.Counters.HostsFull.Add(1)
		return nil, errNoFreeConn
	}
	address := h.address
	b.mu.Unlock()
	c, err := b.dial(dialContext(), address, deadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.pools.OpenFailed(server)
		b.wakeLocked(server)
		return nil, err
	}
	b.lastConnID++
	c.id, c.onReplica = b.lastConnID, func() { b.recordReplica(server) }
	b.pools.Opened(b.cfg.Clock.Now(), server, c.id)
	return c, nil
}

// release returns a connection to the pool if it is clean, and closes it otherwise.
func (b *Backend) release(server string, c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	if c.state != nil {
		b.cfg.Counters.PreparedHits.Add(int64(c.state.Hits))
		b.cfg.Counters.PreparedMisses.Add(int64(c.state.Misses))
		c.state.Hits, c.state.Misses = 0, 0
	}
	clean := c.clean && h != nil && h.address == c.address && b.ctx.Err() == nil
	keep := b.pools.Put(b.cfg.Clock.Now(), server, c.id, clean)
	b.conns[c.id], c.used = c, true
	if !keep {
		b.closeLocked([]int{c.id})
	}
	if h == nil {
		b.pools.RemoveHost(server)
	}
	b.wakeLocked(server)
}

// Stats returns the state of the pools by host, the number of attempts that wait for a connection, and the
// peak number of connections.
func (b *Backend) Stats() (hosts map[string]pooling.Stat, waiting, peak int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools.Stats(), len(b.waiting), b.pools.Peak()
}

// awaitConn waits until a connection may be available, at most for the given time. It returns false if the
// attempt was not woken.
func (b *Backend) awaitConn(server string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	w := &waiter{server, make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.wake:
		return true
	case <-timer.C:
	case <-b.ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return false
	}
	return true
}

// wakeLocked wakes one waiter: the first one for that host, or else the first of all, for which an idle
// connection to another host can be closed.
func (b *Backend) wakeLocked(server string) {
	if len(b.waiting) == 0 {
		return
	}
	i := max(0, slices.IndexFunc(b.waiting, func(w *waiter) bool { return w.server == server }))
	close(b.waiting[i].wake)
	b.waiting = slices.Delete(b.waiting, i, i+1)
}

// closeLocked closes connections that the pools have dropped.
func (b *Backend) closeLocked(ids []int) {
	for _, id := range ids {
		b.conns[id].close()
		delete(b.conns, id)
		b.cfg.Counters.HostsOpen.Add(-1)
		b.cfg.Counters.HostsClosed.Add(1)
	}
}

// dial opens a connection and starts a session on it. If that does not succeed in time, the connection is
// closed.
func (b *Backend) dial(ctx context.Context, address string, deadline time.Duration) (*conn, error) {
	now := b.cfg.Clock.Now()
	timeout := b.connectTimeout()
	remaining := min(timeout, deadline-now)
	if remaining <= 0 {
		return nil, errExpired
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	b.cfg.Counters.HostsDialed.Add(1)
	d := net.Dialer{Control: b.cfg.DialControl}
	n, err := socket.Retry(ctx, dialRetryWindow, func() (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
	if err == nil {
		c := newConn(n.(*net.TCPConn), address, b.cfg.Clock)
		stop := context.AfterFunc(ctx, c.close)
		if err = c.start(now+remaining, b.cfg.User, b.cfg.Database); err == nil && stop() {
			b.cfg.Counters.HostsOpen.Add(1)
			return c, nil
		}
		c.close()
	}
	if socket.Transient(err) {
		return nil, errNoFreeConn // a fault of this machine, not of the host
	}
	if b.cfg.Clock.Now() >= deadline && remaining < timeout {
		return nil, errExpired // the attempt's deadline came before the connect timeout: no evidence against the host
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, fmt.Errorf("connecting to %s: %w", address, err)
}

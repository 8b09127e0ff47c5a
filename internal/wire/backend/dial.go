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

// retryWithin is how long a connection is tried again whose calls fail for a moment on this machine.
const retryWithin = 50 * time.Millisecond

// take gives a connection to the host: of those that have rested the one used last, or a new one, opened in the context
// that opening gives.
func (b *Backend) take(opening func() context.Context, server string, until time.Duration) (*conn, error) {
	b.mu.Lock()
	h := b.hosts[server]
	if h == nil {
		b.mu.Unlock()
		return nil, errUnknown
	}
	// A host may have closed one meanwhile: what is written to it then would count as a reset that may have run.
	choice, id, dead := b.pools.Take(b.cfg.Clock.Now(), server, func(id int) bool { return b.conns[id].alive() })
	b.closeLocked(dead)
	switch choice {
	case pooling.Reuse:
		c := b.conns[id]
		delete(b.conns, id)
		b.mu.Unlock()
		return c, nil
	case pooling.Open:
		if id > 0 {
			b.closeLocked([]int{id})
		}
	default:
		b.mu.Unlock()
		b.cfg.Counters.HostsFull.Add(1)
		return nil, errNoRoom
	}
	address := h.address
	b.mu.Unlock()
	c, err := b.dial(opening(), address, until)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.pools.OpenFailed(server)
		b.wakeLocked(server)
		return nil, err
	}
	b.last++
	c.id, c.follows = b.last, func() { b.followsNow(server) }
	b.pools.Opened(b.cfg.Clock.Now(), server, c.id)
	return c, nil
}

// put keeps a connection for the next attempt, if nothing is left of the last one on it; it closes it otherwise.
func (b *Backend) put(server string, c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	if c.link != nil {
		b.cfg.Counters.PreparedHits.Add(int64(c.link.Hits))
		b.cfg.Counters.PreparedMisses.Add(int64(c.link.Misses))
		c.link.Hits, c.link.Misses = 0, 0
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

// Stats says how the pools of all hosts stand, how many wait for a connection, and how many there were at most.
func (b *Backend) Stats() (hosts map[string]pooling.Stat, waiting, peak int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools.Stats(), len(b.waiting), b.pools.Peak()
}

// await waits for a connection to come free, for so long at most; false: none did.
func (b *Backend) await(server string, within time.Duration) bool {
	if within <= 0 {
		return false
	}
	w := &waiter{server, make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-w.free:
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

// wakeLocked lets one that waits look again: the first for that host, else the first of all, for whom an idle connection of
// another host can be closed.
func (b *Backend) wakeLocked(server string) {
	if len(b.waiting) == 0 {
		return
	}
	i := max(0, slices.IndexFunc(b.waiting, func(w *waiter) bool { return w.server == server }))
	close(b.waiting[i].free)
	b.waiting = slices.Delete(b.waiting, i, i+1)
}

// closeLocked closes connections that do not serve any more.
func (b *Backend) closeLocked(ids []int) {
	for _, id := range ids {
		b.conns[id].close()
		delete(b.conns, id)
		b.cfg.Counters.HostsOpen.Add(-1)
		b.cfg.Counters.HostsClosed.Add(1)
	}
}

// dial opens a connection and starts a session on it. One that does not come up in time has never been there.
func (b *Backend) dial(ctx context.Context, address string, until time.Duration) (*conn, error) {
	now := b.cfg.Clock.Now()
	most := b.connectTimeout()
	left := min(most, until-now)
	if left <= 0 {
		return nil, errExpired
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	b.cfg.Counters.HostsDialed.Add(1)
	d := net.Dialer{Control: b.cfg.DialControl}
	n, err := socket.Retry(ctx, retryWithin, func() (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
	if err == nil {
		c := newConn(n.(*net.TCPConn), address, b.cfg.Clock)
		stop := context.AfterFunc(ctx, c.close)
		if err = c.start(now+left, b.cfg.User, b.cfg.Database); err == nil && stop() {
			b.cfg.Counters.HostsOpen.Add(1)
			return c, nil
		}
		c.close()
	}
	if socket.Transient(err) {
		return nil, errNoRoom // this machine's fault, not the host's
	}
	if b.cfg.Clock.Now() >= until && left < most {
		return nil, errExpired // the attempt's time ran out first: that says nothing of the host
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, fmt.Errorf("connecting to %s: %w", address, err)
}

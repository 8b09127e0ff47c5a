// Package backend is the host side: it carries attempts and probes to database hosts over PostgreSQL's protocol and
// tells the exchange how each ended.
package backend

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// DefaultMinRest is how long a connection rests after an answer before it is used again. A host that closes it right then, or
// sends an answer a second time just behind the first, does so by then: the next request on it would end as one that may
// have run, or be served with what was made for another.
const DefaultMinRest = 30 * time.Millisecond

// Reporter is told how attempts and probes ended.
type Reporter interface {
	Outcome(exchange.Outcome)
	Probed(balance.ProbeResult)
	// Learned takes what a host said of itself beside the outcomes, and when.
	Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report)
}

// Command is what a request asks a host to run.
type Command interface {
	// AppendQuery appends the query, which says how long the gateway will wait.
	AppendQuery(out []byte, wait time.Duration) []byte
	// Tag is the command tag of the answer when it ran.
	Tag() string
}

// Large is a Command whose query does not fit into memory as it is written.
type Large interface {
	Large() bool
	WriteQuery(w io.Writer, wait time.Duration) error
}

// Config is what a Backend needs to know.
type Config struct {
	Clock          exchange.Clock
	Log            *zap.Logger
	Counters       *counters.Set
	ConnectTimeout time.Duration  // for a connection to come up, and for a probe's answer
	ColdTime       time.Duration  // that a host is cold after its start
	IdleTimeout    time.Duration  // a connection is closed after as much idling; below the hosts' own limit
	MaxPrepared    int            // statements that a connection keeps; 0: pooling.DefaultPrepared
	Pools          pooling.Limits // MaxConns and IdleTimeout stand over what they say of total and idle
	MaxWait        time.Duration  // that an attempt waits for a connection where all are in use; 0: it is not sent
	Seed           uint64
	MaxConns       int // open at a time, to all hosts together
	User, Database string
	// DialControl is called for each socket before it connects, as net.Dialer's Control; nil in service.
	DialControl func(network, address string, c syscall.RawConn) error
}

// Backend is safe for concurrent use.
type Backend struct {
	cfg   Config
	to    Reporter
	group *errgroup.Group
	ctx   context.Context

	work chan *attempt // to a worker that has nothing to do

	connect atomic.Int64 // nanoseconds for a connection to come up: Config.ConnectTimeout, or what Retune said

	mu       sync.Mutex
	hosts    map[string]*host
	attempts map[key]*attempt
	pools    *pooling.Pools
	conns    map[int]*conn // that idle
	last     int           // number of a connection
	waiting  []*waiter     // for a connection, in their order
}

type key struct {
	id     string
	number int
}

// waiter is one attempt that waits for a connection to a host.
type waiter struct {
	server string
	free   chan struct{} // closed when it may look again
}

type host struct {
	address string
	cold    time.Duration // until then
	until   time.Duration // nothing new goes out to it later; 0: no such bound
	words   balance.RoleStatements
}

// New makes a backend whose goroutines belong to the group and end with the context.
func New(ctx context.Context, group *errgroup.Group, cfg Config, to Reporter) *Backend {
	b := &Backend{cfg: cfg, to: to, group: group, ctx: ctx, hosts: map[string]*host{}, attempts: map[key]*attempt{},
		work: make(chan *attempt), conns: map[int]*conn{}}
	limits := cfg.Pools
	if limits.Idle = cfg.IdleTimeout; limits.Total <= 0 || limits.Total > cfg.MaxConns {
		limits.Total = cfg.MaxConns
	}
	b.pools = pooling.NewPools(limits, cfg.Seed)
	b.connect.Store(int64(cfg.ConnectTimeout))
	group.Go(b.reap)
	return b
}

// Members takes the addresses of hosts and lets go of connections that lead nowhere any more.
func (b *Backend) Members(list []exchange.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range list {
		h := b.hosts[m.Server]
		if h == nil {
			h = &host{}
			b.hosts[m.Server] = h
		}
		b.pools.SetClosed(m.Server, false) // it may have been forgotten before
		if h.address != m.Address || m.State == balance.Removed {
			b.closeLocked(b.pools.CloseIdle(m.Server))
		}
		h.address = m.Address
		if b.cfg.ColdTime > 0 && m.Started > 0 {
			h.cold = m.Started + b.cfg.ColdTime
			b.pools.SetCold(m.Server, b.cfg.Clock.Now() < h.cold)
		}
	}
}

// SetSendDeadline says that nothing new may go out to a host later than by: a connection that was asked for before it was told to drain
// may come up long after. 0: it may again.
func (b *Backend) SetSendDeadline(server string, by time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[server]; h != nil {
		h.until = by
	}
}

// over says that nothing new may go out to a host any more.
func (b *Backend) over(server string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	return h == nil || h.until > 0 && now > h.until
}

// UpdateSettings changes how long a connection may take to come up, how long it may idle, and how long a host that starts is cold.
func (b *Backend) UpdateSettings(connect, idle, cold time.Duration) {
	b.connect.Store(int64(connect))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.ColdTime = cold
	b.pools.SetIdle(idle)
}

func (b *Backend) connectTimeout() time.Duration { return time.Duration(b.connect.Load()) }

// SetMaxConns changes how many connections may be open at a time, to all hosts together.
func (b *Backend) SetMaxConns(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeLocked(b.pools.SetTotal(n))
}

// Forget lets go of a host that is gone for good.
func (b *Backend) Forget(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hosts[server] != nil {
		b.closeLocked(b.pools.RemoveHost(server))
		delete(b.hosts, server)
	}
}

// reap closes what has idled for too long.
func (b *Backend) reap() error {
	tick := time.NewTicker(max(b.cfg.IdleTimeout/20, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-b.ctx.Done():
			b.mu.Lock()
			for server := range b.hosts {
				b.closeLocked(b.pools.CloseIdle(server))
			}
			var out []*attempt
			for _, t := range b.attempts {
				out = append(out, t)
			}
			b.mu.Unlock()
			// An abandoned write is waited for as long as its client would have: the end of the gateway must not wait too.
			for _, t := range out {
				t.end(canceled)
			}
			return nil
		case <-tick.C:
		}
		now := b.cfg.Clock.Now()
		b.mu.Lock()
		b.closeLocked(b.pools.Tick(now))
		for server, h := range b.hosts {
			if h.cold > 0 && now >= h.cold {
				h.cold = 0
				b.pools.SetCold(server, false)
			}
		}
		b.mu.Unlock()
	}
}

var (
	errNoRoom  = errors.New("backend: every connection is in use")
	errExpired = errors.New("backend: no time left")
	errUnknown = errors.New("backend: unknown host")
)

// connectResult tells what the lack of a connection means.
func connectResult(err error) balance.Result {
	var refused *pg.Error
	switch {
	case errors.Is(err, errNoRoom), errors.Is(err, errExpired), errors.Is(err, errUnknown):
		return balance.NotSent
	case errors.As(err, &refused) && refused.Code == pg.CodeTooMany:
		return balance.QueueFull
	}
	return balance.NoConnection
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

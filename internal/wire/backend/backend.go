// Package backend is the gateway's host side. It sends attempts and probes to database hosts over the
// PostgreSQL protocol and reports their outcomes to the exchange.
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

// DefaultMinRest is the minimum time between an answer and the next use of its connection. A host that closes
// the connection or repeats its answer does so directly after the answer, so within this time. If the
// connection were used earlier, the next request could end as possibly executed, or be served with the answer
// to the previous one.
const DefaultMinRest = 30 * time.Millisecond

// Reporter receives the outcomes of attempts and probes.
type Reporter interface {
	Outcome(exchange.Outcome)
	Probed(balance.ProbeResult)
	// Learned takes a statement of a host that comes apart from an outcome, with the time bounds of the
	// statement and the load report.
	Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report)
}

// Command is a request's command for a host.
type Command interface {
	// AppendQuery appends the query, which states how long the gateway will wait for the answer.
	AppendQuery(out []byte, wait time.Duration) []byte
	// Tag is the command tag of a successful answer.
	Tag() string
}

// Large is a Command whose query may be too large to be held in memory. Large reports whether it is;
// WriteQuery then writes it in pieces.
type Large interface {
	Large() bool
	WriteQuery(w io.Writer, wait time.Duration) error
}

// Config configures a Backend.
type Config struct {
	Clock          exchange.Clock
	Log            *zap.Logger
	Counters       *counters.Set
	ConnectTimeout time.Duration  // limit for opening a connection, and for a probe's answer
	ColdTime       time.Duration  // length of a host's slow start
	IdleTimeout    time.Duration  // idle time after which a connection is closed; must be below the hosts' own limit
	MaxPrepared    int            // prepared statements kept per connection; 0 means pooling.DefaultPrepared
	Pools          pooling.Limits // its Total is limited to MaxConns and its Idle replaced by IdleTimeout
	MaxWait        time.Duration  // longest wait of an attempt for a connection when all are in use; 0 means no wait
	Seed           uint64
	MaxConns       int // maximum number of open connections to all hosts together
	User, Database string
	// DialControl is called for each socket before it connects, like net.Dialer.Control. Only tests set it.
	DialControl func(network, address string, c syscall.RawConn) error
}

// Backend is safe for concurrent use.
type Backend struct {
	cfg      Config
	reporter Reporter
	group    *errgroup.Group
	ctx      context.Context

	work chan *attempt // handed to an idle worker

	connectNanos atomic.Int64 // connect timeout in nanoseconds: Config.ConnectTimeout, or the value of the last settings update

	mu         sync.Mutex
	hosts      map[string]*host
	attempts   map[key]*attempt
	pools      *pooling.Pools
	conns      map[int]*conn // idle connections by their id
	lastConnID int           // id of the newest connection
	waiting    []*waiter     // attempts that wait for a connection, in order of arrival
}

// key identifies an attempt by its request's id and its number within the request.
type key struct {
	id     string
	number int
}

// waiter is an attempt that waits for a connection to a host.
type waiter struct {
	server string
	wake   chan struct{} // closed when the attempt may try again
}

// host is the backend's state of a database host. Its times are by Config.Clock.
type host struct {
	address      string
	coldUntil    time.Duration // end of the slow start; 0 if it is over
	sendDeadline time.Duration // no request may be sent to the host later; 0 means no limit
	statements   balance.RoleStatements
}

// New returns a Backend whose goroutines belong to the group and end with the context.
func New(ctx context.Context, group *errgroup.Group, cfg Config, reporter Reporter) *Backend {
	b := &Backend{cfg: cfg, reporter: reporter, group: group, ctx: ctx, hosts: map[string]*host{}, attempts: map[key]*attempt{},
		work: make(chan *attempt), conns: map[int]*conn{}}
	limits := cfg.Pools
	if limits.Idle = cfg.IdleTimeout; limits.Total <= 0 || limits.Total > cfg.MaxConns {
		limits.Total = cfg.MaxConns
	}
	b.pools = pooling.NewPools(limits, cfg.Seed)
	b.connectNanos.Store(int64(cfg.ConnectTimeout))
	group.Go(b.reap)
	return b
}

// Members updates the hosts' addresses and closes idle connections to removed hosts and outdated addresses.
func (b *Backend) Members(list []exchange.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range list {
		h := b.hosts[m.Server]
		if h == nil {
			h = &host{}
			b.hosts[m.Server] = h
		}
		b.pools.SetClosed(m.Server, false) // the host may have been removed earlier
		if h.address != m.Address || m.State == balance.Removed {
			b.closeLocked(b.pools.CloseIdle(m.Server))
		}
		h.address = m.Address
		if b.cfg.ColdTime > 0 && m.Started > 0 {
			h.coldUntil = m.Started + b.cfg.ColdTime
			b.pools.SetCold(m.Server, b.cfg.Clock.Now() < h.coldUntil)
		}
	}
}

// SetSendDeadline sets the time after which no request may be sent to a host; 0 removes the limit. It is
// checked before each send, because a connection that was being opened before the drain notification may be
// established long after it.
func (b *Backend) SetSendDeadline(server string, deadline time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[server]; h != nil {
		h.sendDeadline = deadline
	}
}

// sendDeadlinePassed reports whether no request may be sent to a host any more, as its send deadline has
// passed or it is unknown.
func (b *Backend) sendDeadlinePassed(server string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[server]
	return h == nil || h.sendDeadline > 0 && now > h.sendDeadline
}

// UpdateSettings applies a settings update: the connect timeout, the idle timeout and the length of a host's slow
// start.
func (b *Backend) UpdateSettings(connect, idle, cold time.Duration) {
	b.connectNanos.Store(int64(connect))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.ColdTime = cold
	b.pools.SetIdle(idle)
}

func (b *Backend) connectTimeout() time.Duration { return time.Duration(b.connectNanos.Load()) }

// SetMaxConns sets the maximum number of open connections to all hosts together.
func (b *Backend) SetMaxConns(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeLocked(b.pools.SetTotal(n))
}

// Forget removes a host and closes its idle connections.
func (b *Backend) Forget(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hosts[server] != nil {
		b.closeLocked(b.pools.RemoveHost(server))
		delete(b.hosts, server)
	}
}

// reap closes connections that have been idle for too long, and ends slow starts. At shutdown it closes all
// idle connections and cancels the attempts in flight.
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
			var inFlight []*attempt
			for _, attempt := range b.attempts {
				inFlight = append(inFlight, attempt)
			}
			b.mu.Unlock()
			// A sent write whose client has disconnected stays in flight until its answer or its deadline, because
			// only its end shows whether it was executed. Shutdown must not wait for that.
			for _, attempt := range inFlight {
				attempt.end(canceled)
			}
			return nil
		case <-tick.C:
		}
		now := b.cfg.Clock.Now()
		b.mu.Lock()
		b.closeLocked(b.pools.Tick(now))
		for server, h := range b.hosts {
			if h.coldUntil > 0 && now >= h.coldUntil {
				h.coldUntil = 0
				b.pools.SetCold(server, false)
			}
		}
		b.mu.Unlock()
	}
}

var (
	errNoFreeConn = errors.New("backend: no free connection")
	errExpired    = errors.New("backend: deadline passed before a connection was open")
	errUnknown    = errors.New("backend: unknown host")
)

// connectResult returns the result of an attempt that got no connection. Only an error of the host counts
// against it; a lack of connections or time, or a transient error of this machine, means that the attempt was
// not sent.
func connectResult(err error) balance.Result {
	var refused *pg.Error
	switch {
	case errors.Is(err, errNoFreeConn), errors.Is(err, errExpired), errors.Is(err, errUnknown):
		return balance.NotSent
	case errors.As(err, &refused) && refused.Code == pg.CodeTooMany:
		return balance.QueueFull
	}
	return balance.NoConnection
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

package lifecycle

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/internal/control/gossip"
	"yokemast/internal/control/listwatch"
	"yokemast/internal/control/pooling"
	"yokemast/internal/control/service"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/operator"
	"yokemast/internal/wire/admin"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/control"
	"yokemast/internal/wire/discovery"
	"yokemast/internal/wire/frontend"
	"yokemast/internal/wire/peers"
	"yokemast/internal/wire/socket"
)

const (
	// readyWithin is how long a start waits for discovery before it makes do with the list it was given.
	readyWithin           = time.Second
	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	idlePart              = 0.8                   // of the hosts' own limit
	memoryPart            = 0.75                  // of the memory, as the collector's limit
	spareSockets          = 44                    // for the listener, discovery, the log, and clients on their way out
	clientPart            = 0.6                   // of the other sockets
	keepPart              = 12                    // of the sockets, for clients with nothing open for long
	sharePart             = 3                     // of the sockets, that clients with requests can hold at most
	clientsPerMB          = 8                     // each may have an answer of 64 KiB on its way
	hostsPerMB            = 5                     // each may have one coming, and one read whole
	statementPart         = 0.15                  // of the memory, for statements held whole at a time
	programMB             = 14                    // of the memory that the collector does not see: the program itself, stacks of threads
	largePart             = 3                     // of what the collector may let pile up, for larger ones, which are held in pieces
	lastAccepts           = 20 * time.Millisecond // for which the clients' address is accepted from before it is closed, and as long as any wait there
	tellHold              = 50 * time.Millisecond // a note waits so long for others to go with it
	tellPerTake           = 192                   // bytes delivered to other gateways for each request
	tellBurst             = 8 << 10
	retryAfter            = 200 * time.Millisecond // for a client that found no room
	user, database        = "backend", "store"
)

// began is the process's first moment, as near as a package can tell it: what discovery has counts as told from then on, however long the
// configuration takes to read.
var began = time.Now()

// gateway is a running one: its parts, and what joins them.
type gateway struct {
	c     Config
	own   *operator.File // nil without one
	log   *zap.Logger
	clock exchange.Clock
	begun time.Duration // the process's first moment
	// firstDiscovery is the agent that the process was started with, by the environment where it names one.
	firstDiscovery string
	counts         *counters.Set

	ctx   context.Context
	group *errgroup.Group

	duty     *controller
	x        *exchange.Exchange
	hosts    *backend.Backend
	front    *frontend.Server
	watcher  *discovery.Watcher
	others   *peers.Peers // nil: there are none
	listener *net.TCPListener
	made     []*frontend.Pool
	upgrade  upgrade

	accepting bool // belongs to apply
	shared    bool
	closing   atomic.Bool // the clients' address is closed once nothing waits to be accepted
}

// Serve runs a gateway until SIGTERM or SIGINT, or until a part of it can't go on. At SIGHUP it takes discovery, the settings
// and the cells from what reload gives. own is the operator's file, nil without one. each is how many lines of a kind are
// logged in a second. signals are followed from before the configuration was read, to the end: a SIGHUP that nobody waits for ends the
// process, and one that came meanwhile has the configuration read anew.
func Serve(signals Signals, c Config, own *operator.File, reload Reload, each int) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))

	counts := &counters.Set{}
	log := newLog(os.Stderr, each, counts)
	defer func() { _ = log.Sync() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	g := &gateway{c: c, own: own, log: log, clock: exchange.NewClock().WithContradictionLog(log, counts), counts: counts, ctx: ctx, group: group}
	g.begun = g.clock.Now() - time.Since(began)
	defer g.logCounters()
	g.duty = newController(g.clock, c.Settings.Balance.Classes, log, counts)
	g.join()
	defer g.leave()
	debug.SetMemoryLimit(g.heap())
	if err := g.build(); err != nil {
		stop()
		_ = group.Wait()
		return err
	}
	defer g.listener.Close()
	g.run()
	again := reloading{c: c, own: own, from: reload, watcher: g.watcher, x: g.x, hosts: g.hosts, front: g.front, duty: g.duty, log: log, counts: g.counts}
	group.Go(func() error { return g.handleTermination(signals.terminate) })
	group.Go(func() error { return g.handleSignals(signals, again.read) })
	group.Go(func() error {
		defer stop()
		g.duty.run(ctx, g.front.Connections, g.apply)
		return nil
	})
	return group.Wait()
}

// build makes the parts. What it opens first is what can fail.
func (g *gateway) build() error {
	c, settings := g.c, g.c.Settings.Balance
	listener, err := g.listen()
	if err != nil {
		return err
	}
	g.listener = listener
	exchanged := exchange.Config{Settings: settings, Seed: c.Seed, Clock: g.clock, Log: g.log, Counters: g.counts}
	if c.Peers.Listen.IsValid() {
		config := peers.Config{Listen: c.Peers.Listen, All: c.Peers.All, Self: c.Peers.Self, Log: g.log, Counters: g.counts, Share: c.Admin != "",
			Conn: g.upgrade.peers()}
		if g.others, err = peers.Listen(config); err != nil {
			return err
		}
		exchanged.SendGossip = g.others.Tell
		exchanged.Gossip = gossip.New(gossip.Config{Gateways: settings.Routers, Classes: settings.Classes,
			MaxDelay: tellHold, BytesPerRequest: tellPerTake, Burst: tellBurst})
	}
	if g.x, err = exchange.New(exchanged); err != nil {
		return err
	}
	if c.Admin != "" {
		calls, err := socket.Listen(g.ctx, &net.ListenConfig{}, c.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		g.group.Go(func() error {
			defer calls.Close()
			return admin.Serve(g.ctx, calls, g.duty, g.log, g.counts)
		})
	}
	limits, prepared, wait := pooling.Limits{MinRest: backend.DefaultMinRest}, 0, time.Duration(0)
	var pool func(user, database string) *frontend.Pool
	if g.own != nil {
		limits, prepared, wait = g.own.Pools.Limits, g.own.Pools.Prepared, g.own.Pools.Wait
		if g.made, pool, err = pools(g.own, settings.Classes); err != nil {
			return fmt.Errorf("%s: %w", g.own.Path, err)
		}
	}
	clients, conns := g.connections()
	connect, idle := connections(c.Settings)
	g.hosts = backend.New(g.ctx, g.group, backend.Config{Clock: g.clock, Log: g.log, Counters: g.counts, Pools: limits, MaxPrepared: prepared,
		MaxWait: wait, Seed: c.Seed, ColdTime: settings.ColdTime, ConnectTimeout: connect, IdleTimeout: idle, MaxConns: conns,
		User: user, Database: database}, g.x)
	g.front = frontend.New(frontend.Config{Clock: g.clock, Log: g.log, Counters: g.counts, MaxConns: clients, KeepIdle: c.Sockets / keepPart,
		MaxActive: c.Sockets / sharePart, Pool: pool, MaxBytes: int64(float64(c.MemoryMB) * (1 << 20) * statementPart), MaxLarge: g.heap() / largePart,
		RetryAfter: retryAdvice(settings), Ready: g.duty.Ready, OnEmpty: g.duty.wake}, g.x)
	g.watcher = discovery.NewWatcher(c.Discovery, c.Seed)
	g.watcher.ProcessStart = g.begun
	g.watcher.Log, g.watcher.Counters, g.watcher.Clock, g.watcher.OnList, g.watcher.OnFirstAnswer = g.log, g.counts, g.clock, g.x.Members, g.ready()
	return g.operate()
}

// connections gives how many clients and how many connections to hosts there may be at a time. While two processes share the
// limits the clients are where they are passed on to, and each has half of the connections to hosts.
func (g *gateway) connections() (clients, hosts int) {
	sockets := g.c.Sockets - spareSockets
	if g.c.Admin != "" {
		sockets -= admin.Descriptors
	}
	clients = min(int(float64(sockets)*clientPart), g.c.MemoryMB*clientsPerMB)
	hosts = min(sockets-clients, g.c.MemoryMB*hostsPerMB)
	if g.duty.view.Load().LimitsShared {
		hosts = max(1, hosts/2)
	}
	return clients, hosts
}

// heap is how many bytes the collector may let pile up.
func (g *gateway) heap() int64 {
	n := int64(min(float64(g.c.MemoryMB)*memoryPart, float64(g.c.MemoryMB-programMB)) * (1 << 20))
	if g.duty.view.Load().LimitsShared {
		n /= 2
	}
	return n
}

// operate does what the operator's file asks for.
func (g *gateway) operate() error {
	if g.own == nil {
		return nil
	}
	g.x.Configure(g.own.Cells)
	if g.own.Control.Socket == "" {
		return nil
	}
	l, err := control.Listen(g.own.Control.Socket, g.own.Control.Mode)
	if err != nil {
		return err
	}
	g.group.Go(func() error {
		defer l.Close()
		return control.Serve(g.ctx, l, g.x, func() control.PoolsReport { return report(g.made, g.hosts, g.counts) }, g.log)
	})
	return nil
}

// ready gives what is to be called, any number of times, when the gateway knows enough to serve.
func (g *gateway) ready() func() {
	return sync.OnceFunc(func() {
		g.log.Info("ready", zap.String("name", g.c.Name), zap.String("listen", g.c.Listen))
		_ = g.duty.tell(service.Ready)
		g.front.SetReady()
		g.succeed()
	})
}

// run starts the parts.
func (g *gateway) run() {
	known, inherited := g.inherited()
	g.firstDiscovery = g.c.Discovery
	if inherited && known.Discovery == g.c.inFile && known.FirstDiscovery == g.c.Discovery { // the environment is still that of the elder's start
		g.c.Discovery = g.c.inFile
		g.watcher.SetAddress(g.c.Discovery)
	}
	if len(g.c.Known.Members) > 0 {
		g.x.Members(exchange.List{Agent: g.c.Discovery, Revision: g.c.Known.Revision, At: g.begun, Snapshot: true, Hosts: g.c.Known.Members})
	}
	if inherited {
		g.x.Inherit(g.upgrade.asked, known)
	}
	revision := firstRevision(g.c.Known, inherited)
	if g.others != nil {
		g.group.Go(func() error { return g.others.Run(g.ctx, g.x.ReceiveGossip) })
	}
	g.group.Go(func() error { return g.x.Run(g.ctx, g.hosts) })
	g.group.Go(func() error { return g.watcher.Run(g.ctx, revision) })
	g.group.Go(func() error { return g.front.Run(g.ctx) })
	g.group.Go(func() error {
		select {
		case <-g.ctx.Done():
		case <-time.After(readyWithin):
			g.watcher.OnFirstAnswer()
		}
		return nil
	})
	g.follow()
}

// firstRevision is that after which discovery is asked first for changes. Without a list in the file there is none; and what the process
// before knew may be older than what the file says, or come from another agent, which counts otherwise.
func firstRevision(file discovery.List, inherited bool) int64 {
	if inherited || len(file.Members) == 0 {
		return listwatch.NoRevision
	}
	return file.Revision
}

// listen opens the clients' address, or takes it over.
func (g *gateway) listen() (*net.TCPListener, error) {
	if l := g.upgrade.clients(); l != nil {
		return l, nil
	}
	config := net.ListenConfig{}
	if g.c.Admin != "" { // an upgrade may find no elder that answers
		config.Control = socket.ReusePort
	}
	l, err := socket.Listen(g.ctx, &config, g.c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// apply does what the state of the process asks for.
func (g *gateway) apply(v service.View) {
	if v.AnswersDue > 0 {
		g.x.BeginShutdown(v.AnswersDue)
		g.front.StopEviction()
	}
	if v.LimitsShared != g.shared {
		g.shared = v.LimitsShared
		debug.SetMemoryLimit(g.heap())
		_, hosts := g.connections()
		g.hosts.SetMaxConns(hosts)
		g.front.SetMaxLarge(g.heap() / largePart)
	}
	g.front.SetLeaveQueued(v.NewProcess != service.NoNewProcess)
	switch {
	case v.Accept && !g.accepting:
		_ = g.listener.SetDeadline(time.Time{})
		g.group.Go(func() error {
			g.front.Accept(g.ctx, g.listener)
			if g.closing.Load() {
				_ = g.listener.Close()
			}
			return nil
		})
	case !v.Accept && v.Phase == service.ShuttingDown && v.NewProcess == service.NoNewProcess && g.accepting:
		// What this machine has accepted already is taken first: closed now, it would be reset with the request it may hold.
		g.closing.Store(true)
		_ = g.listener.SetDeadline(time.Now().Add(lastAccepts))
	case !v.Accept && v.Phase == service.ShuttingDown && v.NewProcess == service.NoNewProcess && !g.closing.Load():
		_ = g.listener.Close()
	case !v.Accept && g.accepting:
		// Not closed: what waits in its queue is the heir's, or this process's again if the heir dies.
		_ = g.listener.SetDeadline(time.Now())
	}
	g.accepting = v.Accept
	if v.CloseConnections {
		g.front.Drain(g.upgrade.pass(v.HandOver))
	} else {
		g.front.Resume()
	}
	if g.others != nil && g.c.Admin != "" {
		if v.HandOver {
			g.others.Stop()
		} else {
			g.others.Start()
		}
	}
}

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
	// maxDiscoveryWait is how long the start waits for discovery before it serves from the endpoint list in the
	// configuration.
	maxDiscoveryWait      = time.Second
	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	idleFraction          = 0.8  // of the hosts' own idle limit
	memoryFraction        = 0.75 // of the memory, as the garbage collector's limit
	reservedSockets       = 44   // for the listener, discovery, the log, and client connections being closed
	clientFraction        = 0.6  // of the remaining sockets, for clients
	keepIdleDivisor       = 12   // up to 1/12 of the sockets, idle clients are kept open until the connection limit is reached
	shareDivisor          = 3    // clients that have sent a command hold at most 1/3 of the sockets
	clientsPerMB          = 8    // client connections per MB of memory, as each may buffer an answer of 64 KiB
	hostsPerMB            = 5    // host connections per MB, as each may buffer an answer in part and another complete one
	statementFraction     = 0.15 // of the memory, for statements that are held completely
	programOverheadMB     = 14   // memory outside of the garbage collector: the program itself and thread stacks
	largeDivisor          = 3    // 1/3 of the heap limit is for larger statements, which are held in pieces
	// finalAcceptTime is how long connections are still accepted before the listener is closed, and longer while any are
	// queued.
	finalAcceptTime       = 20 * time.Millisecond
	gossipMaxDelay        = 50 * time.Millisecond  // how long a gossip entry may wait to share a message with others
	gossipBytesPerRequest = 192                    // added to the send budget for each accepted request
	gossipBurst           = 8 << 10                // maximum send budget in bytes
	retryAfter            = 200 * time.Millisecond // for a client refused at the connection limit
	user, database        = "backend", "store"     // for connections to hosts
)

// processStart is the start time of the process, as closely as package initialization can measure it. Statements of
// discovery are dated from this time, however long the configuration takes to load.
var processStart = time.Now()

// gateway is a running gateway: its parts and the state that connects them.
type gateway struct {
	config       Config
	operatorFile *operator.File // nil if there is none
	log          *zap.Logger
	clock        exchange.Clock
	startedAt    time.Duration // processStart on clock
	// firstDiscovery is the discovery address that the process was started with; the environment takes precedence over
	// the file.
	firstDiscovery string
	counts         *counters.Set

	ctx   context.Context
	group *errgroup.Group

	controller *controller
	exchange   *exchange.Exchange
	hosts      *backend.Backend
	frontend   *frontend.Server
	watcher    *discovery.Watcher
	peers      *peers.Peers // nil if there is no gossip between gateways
	listener   *net.TCPListener
	pools      []*frontend.Pool
	upgrade    upgrade

	accepting       bool        // as in the view applied last; used by apply only
	limitsShared    bool        // likewise
	closingListener atomic.Bool // the client listener is closed once its queue is empty
}

// Serve runs a gateway until SIGTERM or SIGINT, or until one of its parts fails. At SIGHUP it applies discovery's address,
// the settings and the cells that reload returns. The operator's file may be nil. At most linesPerSecond lines of a
// kind are logged per second. signals must be registered before the configuration is read: an unhandled SIGHUP would end
// the process, and one that arrives during the start reloads the configuration.
func Serve(signals Signals, c Config, operatorFile *operator.File, reload Reload, linesPerSecond int) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))

	counts := &counters.Set{}
	log := newLog(os.Stderr, linesPerSecond, counts)
	defer func() { _ = log.Sync() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	g := &gateway{config: c, operatorFile: operatorFile, log: log, clock: exchange.NewClock().WithContradictionLog(log, counts), counts: counts, ctx: ctx, group: group}
	g.startedAt = g.clock.Now() - time.Since(processStart)
	defer g.logCounters()
	g.controller = newController(g.clock, c.Settings.Balance.Classes, log, counts)
	g.joinInstance()
	defer g.releaseInstanceLock()
	debug.SetMemoryLimit(g.heap())
	if err := g.build(); err != nil {
		stop()
		_ = group.Wait()
		return err
	}
	defer g.listener.Close()
	g.run()
	onReload := reloader{config: c, operatorFile: operatorFile, source: reload, watcher: g.watcher, exchange: g.exchange, hosts: g.hosts, frontend: g.frontend, controller: g.controller, log: log, counts: g.counts}
	group.Go(func() error { return g.handleTermination(signals.terminate) })
	group.Go(func() error { return g.handleSignals(signals, onReload.read) })
	group.Go(func() error {
		defer stop()
		g.controller.run(ctx, g.frontend.Connections, g.apply)
		return nil
	})
	return group.Wait()
}

// build creates the parts. It first opens the sockets, which can fail.
func (g *gateway) build() error {
	c, settings := g.config, g.config.Settings.Balance
	listener, err := g.listen()
	if err != nil {
		return err
	}
	g.listener = listener
	exchangeConfig := exchange.Config{Settings: settings, Seed: c.Seed, Clock: g.clock, Log: g.log, Counters: g.counts}
	if c.Peers.Listen.IsValid() {
		config := peers.Config{Listen: c.Peers.Listen, All: c.Peers.All, Self: c.Peers.Self, Log: g.log, Counters: g.counts, Share: c.Admin != "",
			Conn: g.upgrade.peerConn()}
		if g.peers, err = peers.Listen(config); err != nil {
			return err
		}
		exchangeConfig.SendGossip = g.peers.Send
		exchangeConfig.Gossip = gossip.New(gossip.Config{Gateways: settings.Routers, Classes: settings.Classes,
			MaxDelay: gossipMaxDelay, BytesPerRequest: gossipBytesPerRequest, Burst: gossipBurst})
	}
	if g.exchange, err = exchange.New(exchangeConfig); err != nil {
		return err
	}
	if c.Admin != "" {
		adminListener, err := socket.Listen(g.ctx, &net.ListenConfig{}, c.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		g.group.Go(func() error {
			defer adminListener.Close()
			return admin.Serve(g.ctx, adminListener, g.controller, g.log, g.counts)
		})
	}
	limits, prepared, wait := pooling.Limits{MinRest: backend.DefaultMinRest}, 0, time.Duration(0)
	var pool func(user, database string) *frontend.Pool
	if g.operatorFile != nil {
		limits, prepared, wait = g.operatorFile.Pools.Limits, g.operatorFile.Pools.Prepared, g.operatorFile.Pools.Wait
		if g.pools, pool, err = newPools(g.operatorFile, settings.Classes); err != nil {
			return fmt.Errorf("%s: %w", g.operatorFile.Path, err)
		}
	}
	clients, conns := g.connections()
	connect, idle := hostTimeouts(c.Settings)
	g.hosts = backend.New(g.ctx, g.group, backend.Config{Clock: g.clock, Log: g.log, Counters: g.counts, Pools: limits, MaxPrepared: prepared,
		MaxWait: wait, Seed: c.Seed, ColdTime: settings.ColdTime, ConnectTimeout: connect, IdleTimeout: idle, MaxConns: conns,
		User: user, Database: database}, g.exchange)
	g.frontend = frontend.New(frontend.Config{Clock: g.clock, Log: g.log, Counters: g.counts, MaxConns: clients, KeepIdle: c.Sockets / keepIdleDivisor,
		MaxActive: c.Sockets / shareDivisor, Pool: pool, MaxBytes: int64(float64(c.MemoryMB) * (1 << 20) * statementFraction), MaxLarge: g.heap() / largeDivisor,
		RetryAfter: connectRetryAfter(settings), Ready: g.controller.Ready, OnEmpty: g.controller.notify}, g.exchange)
	g.watcher = discovery.NewWatcher(c.Discovery, c.Seed)
	g.watcher.ProcessStart = g.startedAt
	g.watcher.Log, g.watcher.Counters, g.watcher.Clock, g.watcher.OnList, g.watcher.OnFirstAnswer = g.log, g.counts, g.clock, g.exchange.Members, g.onReady()
	return g.applyOperatorFile()
}

// connections returns the maximum numbers of client connections and of host connections. While two processes share the
// limits during a hot restart, each has half of the host connections; client connections are not halved, as they move
// from one process to the other.
func (g *gateway) connections() (clients, hosts int) {
	sockets := g.config.Sockets - reservedSockets
	if g.config.Admin != "" {
		sockets -= admin.Descriptors
	}
	clients = min(int(float64(sockets)*clientFraction), g.config.MemoryMB*clientsPerMB)
	hosts = min(sockets-clients, g.config.MemoryMB*hostsPerMB)
	if g.controller.view.Load().LimitsShared {
		hosts = max(1, hosts/2)
	}
	return clients, hosts
}

// heap returns the memory limit of the garbage collector in bytes. It is halved while two processes share the limits.
func (g *gateway) heap() int64 {
	n := int64(min(float64(g.config.MemoryMB)*memoryFraction, float64(g.config.MemoryMB-programOverheadMB)) * (1 << 20))
	if g.controller.view.Load().LimitsShared {
		n /= 2
	}
	return n
}

// applyOperatorFile applies the cells of the operator's file and opens its control socket.
func (g *gateway) applyOperatorFile() error {
	if g.operatorFile == nil {
		return nil
	}
	g.exchange.Configure(g.operatorFile.Cells)
	if g.operatorFile.Control.Socket == "" {
		return nil
	}
	l, err := control.Listen(g.operatorFile.Control.Socket, g.operatorFile.Control.Mode)
	if err != nil {
		return err
	}
	g.group.Go(func() error {
		defer l.Close()
		return control.Serve(g.ctx, l, g.exchange, func() control.PoolsReport { return poolsReport(g.pools, g.hosts, g.counts) }, g.log)
	})
	return nil
}

// onReady returns a function that marks the gateway as ready. It may be called any number of times.
func (g *gateway) onReady() func() {
	return sync.OnceFunc(func() {
		g.log.Info("ready", zap.String("name", g.config.Name), zap.String("listen", g.config.Listen))
		_ = g.controller.handle(service.Ready)
		g.frontend.SetReady()
		g.notifyOldProcess()
	})
}

// run starts the parts with what is known from the configuration and the old process.
func (g *gateway) run() {
	known, inherited := g.decodeHandoverState()
	g.firstDiscovery = g.config.Discovery
	if inherited && known.Discovery == g.config.fileDiscovery && known.FirstDiscovery == g.config.Discovery {
		// The environment is that of the start of the old process, which by now uses the address in the file after a
		// reload: this address takes precedence.
		g.config.Discovery = g.config.fileDiscovery
		g.watcher.SetAddress(g.config.Discovery)
	}
	if len(g.config.Known.Members) > 0 {
		g.exchange.Members(exchange.List{Agent: g.config.Discovery, Revision: g.config.Known.Revision, At: g.startedAt, Snapshot: true, Hosts: g.config.Known.Members})
	}
	if inherited {
		g.exchange.Inherit(g.upgrade.requestedAt, known)
	}
	revision := firstRevision(g.config.Known, inherited)
	if g.peers != nil {
		g.group.Go(func() error { return g.peers.Run(g.ctx, g.exchange.ReceiveGossip) })
	}
	g.group.Go(func() error { return g.exchange.Run(g.ctx, g.hosts) })
	g.group.Go(func() error { return g.watcher.Run(g.ctx, revision) })
	g.group.Go(func() error { return g.frontend.Run(g.ctx) })
	g.group.Go(func() error {
		select {
		case <-g.ctx.Done():
		case <-time.After(maxDiscoveryWait):
			g.watcher.OnFirstAnswer()
		}
		return nil
	})
	g.runHandover()
}

// firstRevision returns the revision after which discovery is first asked for a delta. It is NoRevision if the file has no
// endpoint list, and also after a hot restart: what the old process knew may be older than the file, or come from another
// agent with revisions of its own.
func firstRevision(file discovery.List, inherited bool) int64 {
	if inherited || len(file.Members) == 0 {
		return listwatch.NoRevision
	}
	return file.Revision
}

// listen opens the client listener, or takes over that of the old process.
func (g *gateway) listen() (*net.TCPListener, error) {
	if l := g.upgrade.clientListener(); l != nil {
		return l, nil
	}
	config := net.ListenConfig{}
	if g.config.Admin != "" { // a hot restart may find an old process that does not answer
		config.Control = socket.ReusePort
	}
	l, err := socket.Listen(g.ctx, &config, g.config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// apply carries out the view of the process state.
func (g *gateway) apply(v service.View) {
	if v.AnswersDue > 0 {
		g.exchange.BeginShutdown(v.AnswersDue)
		g.frontend.StopEviction()
	}
	if v.LimitsShared != g.limitsShared {
		g.limitsShared = v.LimitsShared
		debug.SetMemoryLimit(g.heap())
		_, hosts := g.connections()
		g.hosts.SetMaxConns(hosts)
		g.frontend.SetMaxLarge(g.heap() / largeDivisor)
	}
	g.frontend.SetLeaveQueued(v.NewProcess != service.NoNewProcess)
	switch {
	case v.Accept && !g.accepting:
		_ = g.listener.SetDeadline(time.Time{})
		g.group.Go(func() error {
			g.frontend.Accept(g.ctx, g.listener)
			if g.closingListener.Load() {
				_ = g.listener.Close()
			}
			return nil
		})
	case !v.Accept && v.Phase == service.ShuttingDown && v.NewProcess == service.NoNewProcess && g.accepting:
		// Connections that the kernel has already established are accepted first: closing the listener now would reset
		// them together with the requests that they may carry.
		g.closingListener.Store(true)
		_ = g.listener.SetDeadline(time.Now().Add(finalAcceptTime))
	case !v.Accept && v.Phase == service.ShuttingDown && v.NewProcess == service.NoNewProcess && !g.closingListener.Load():
		_ = g.listener.Close()
	case !v.Accept && g.accepting:
		// The listener stays open: queued connections belong to the new process, or to this one again if the new one exits.
		_ = g.listener.SetDeadline(time.Now())
	}
	g.accepting = v.Accept
	if v.CloseConnections {
		g.frontend.Drain(g.upgrade.passFunc(v.HandOver))
	} else {
		g.frontend.Resume()
	}
	if g.peers != nil && g.config.Admin != "" {
		if v.HandOver {
			g.peers.Stop()
		} else {
			g.peers.Start()
		}
	}
}

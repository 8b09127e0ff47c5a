package lifecycle

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/balance"
	"yokemast/internal/control/hearsay"
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
	statementPart         = 0.15                  // of the memory, for large statements held at a time
	tellHold              = 50 * time.Millisecond // a note waits so long for others to go with it
	tellPerTake           = 192                   // bytes delivered to other gateways for each request
	tellBurst             = 8 << 10
	comeBack              = 200 * time.Millisecond // for a client that found no room
	user, database        = "backend", "store"
)

// Serve runs a gateway until SIGTERM or SIGINT, or until a part of it can't go on. At SIGHUP it takes the address of
// discovery and the cells from what reload gives. own is the operator's file, nil without one.
func Serve(c Config, own *operator.File, reload Reload, log *zap.Logger) error {
	// From the first line on, and to the last: a SIGHUP that nobody waits for ends the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	memory := float64(c.MemoryMB) * (1 << 20)
	debug.SetMemoryLimit(int64(memory * memoryPart))

	clock, counts := exchange.NewClock(), &counters.Set{}
	defer func() { log.Info("counters", counts.Fields()...) }()
	exchanged := exchange.Config{Settings: c.Settings.Balance, Seed: c.Seed, Clock: clock, Log: log, Counters: counts}
	var others *peers.Peers
	if c.Peers.Listen.IsValid() {
		var err error
		others, err = peers.Listen(peers.Config{Listen: c.Peers.Listen, All: c.Peers.All, Self: c.Peers.Self, Log: log, Counters: counts})
		if err != nil {
			return err
		}
		exchanged.Tell = others.Tell
		exchanged.Hearsay = hearsay.New(hearsay.Config{Gateways: c.Settings.Balance.Routers, Classes: c.Settings.Balance.Classes,
			Hold: tellHold, PerTake: tellPerTake, Burst: tellBurst})
	}
	x, err := exchange.New(exchanged)
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()
	duty := newConductor(clock, c.Settings.Balance.Classes, log, counts)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	sockets := c.Sockets - spareSockets
	if c.Admin != "" {
		calls, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", c.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		defer calls.Close()
		sockets -= admin.Descriptors
		group.Go(func() error { return admin.Serve(ctx, calls, duty, log, counts) })
	}
	clients := min(int(float64(sockets)*clientPart), c.MemoryMB*clientsPerMB)
	limits, prepared, wait := pooling.Limits{Rest: backend.DefaultRest}, 0, time.Duration(0)
	var made []*frontend.Pool
	var pool func(user, database string) *frontend.Pool
	if own != nil {
		limits, prepared, wait = own.Pools.Limits, own.Pools.Prepared, own.Pools.Wait
		if made, pool, err = pools(own, c.Settings.Balance.Classes); err != nil {
			return fmt.Errorf("%s: %w", own.Path, err)
		}
	}
	connect, idle := connections(c.Settings)
	hosts := backend.New(ctx, group, backend.Config{Clock: clock, Log: log, Counters: counts, Pools: limits, Prepared: prepared, Wait: wait, Seed: c.Seed,
		ColdTime:       c.Settings.Balance.ColdTime,
		ConnectTimeout: connect, IdleTimeout: idle,
		MaxConns: min(sockets-clients, c.MemoryMB*hostsPerMB), User: user, Database: database}, x)
	front := frontend.New(frontend.Config{Clock: clock, Log: log, Counters: counts, MaxConns: clients, KeepIdle: c.Sockets / keepPart,
		Share: c.Sockets / sharePart,
		Pool:  pool, MaxBytes: int64(memory * statementPart), ComeBack: advice(c.Settings.Balance), Yes: duty.Ready}, x)
	if len(c.Known.Members) > 0 {
		x.Members(true, c.Known.Members)
	}
	ready := sync.OnceFunc(func() {
		log.Info("ready", zap.String("name", c.Name), zap.String("listen", c.Listen))
		_ = duty.tell(service.Ready)
		front.Ready()
	})
	watcher := discovery.NewWatcher(c.Discovery)
	watcher.Log, watcher.Counters, watcher.Members, watcher.Answered = log, counts, x.Members, ready

	if own != nil {
		x.Configure(own.Cells)
		if own.Control.Socket != "" {
			l, err := control.Listen(own.Control.Socket, own.Control.Mode)
			if err != nil {
				return err
			}
			defer l.Close()
			group.Go(func() error {
				return control.Serve(ctx, l, x, func() control.PoolsReport { return report(made, hosts, counts) }, log)
			})
		}
	}

	if others != nil {
		group.Go(func() error { return others.Run(ctx, x.Heard) })
	}
	group.Go(func() error { return x.Run(ctx, hosts) })
	group.Go(func() error { return watcher.Run(ctx, c.Known.Revision) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-time.After(readyWithin):
			ready()
		}
		return nil
	})
	again := reloading{c: c, own: own, from: reload, watcher: watcher, x: x, hosts: hosts, front: front, duty: duty, log: log, counts: counts}
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		return front.Serve(ctx, listener)
	})
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case sig := <-signals:
				switch sig {
				case syscall.SIGUSR1:
					log.Info("counters", counts.Fields()...)
				case syscall.SIGHUP:
					again.read()
				default:
					log.Info("ending", zap.Stringer("signal", sig))
					_ = duty.tell(service.Terminate)
				}
			}
		}
	})
	group.Go(func() error {
		defer stop()
		duty.run(ctx, served, func(v service.View) {
			if v.Last > 0 {
				x.Ending(v.Last)
				front.Ending()
			}
			if !v.Accept && v.Phase == service.Ending {
				listener.Close()
			}
			if v.Shed {
				front.Drain()
			} else {
				front.Keep()
			}
		})
		return nil
	})
	return group.Wait()
}

// pools gives the pool of a user and a database: the first that takes both; nil: there is none.
func pools(own *operator.File, classes []balance.Class) ([]*frontend.Pool, func(user, database string) *frontend.Pool, error) {
	list := own.Pools.Pools
	if len(list) == 0 {
		return nil, nil, nil
	}
	tenant := func(user string) string {
		if own.Cells == nil || len(own.Cells.Users[user]) == 0 {
			return ""
		}
		return own.Cells.Users[user][0]
	}
	need := map[string]balance.Need{}
	for _, c := range classes {
		need[c.Name] = c.Need
	}
	made := make([]*frontend.Pool, len(list))
	for i, p := range list {
		for _, name := range []string{p.Read, p.Own, p.Write} {
			if n, ok := need[name]; !ok || (n == balance.Write) != (name == p.Write) {
				return nil, nil, fmt.Errorf("pools.pool: %q: class %q is not one of the platform's that fits", p.Name, name)
			}
		}
		made[i] = &frontend.Pool{Name: p.Name, Mode: p.Mode, Group: p.Group, Read: p.Read, Own: p.Own, Write: p.Write,
			Transaction: p.Transaction, Idle: p.Idle, MaxBatch: p.MaxBatch, MaxMessage: p.MaxMessage, Most: p.Most, Stats: &frontend.PoolStats{}}
	}
	takes := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return made, func(user, database string) *frontend.Pool {
		for i, p := range list {
			if takes(p.Users, user) && takes(p.Databases, database) && takes(p.Tenants, tenant(user)) {
				return made[i]
			}
		}
		return nil
	}, nil
}

// report says how the pools stand.
func report(made []*frontend.Pool, hosts *backend.Backend, counts *counters.Set) control.PoolsReport {
	out := control.PoolsReport{Pools: []control.PoolReport{}, Hosts: []control.HostReport{}, Hits: counts.PreparedHits.Get(),
		Misses: counts.PreparedMisses.Get(), NoneFree: counts.HostsFull.Get()}
	for _, p := range made {
		s := p.Stats
		r := control.PoolReport{Pool: p.Name, Mode: p.Mode.String(), Sessions: s.Sessions.Load(), Holding: s.Leased.Load(),
			Batches: s.Batches.Load(), Transactions: s.Transactions.Load(), Lost: s.Lost.Load(), Cancels: s.Cancels.Load(),
			Pinned: map[string]int64{}}
		for i, name := range pooling.PinNames() {
			if n := s.Pins[i].Load(); n > 0 {
				r.Pinned[name] = n
			}
		}
		out.Pools = append(out.Pools, r)
	}
	stats, waiting, peak := hosts.Stats()
	out.Waiting, out.Peak = waiting, peak
	for _, server := range slices.Sorted(maps.Keys(stats)) {
		s := stats[server]
		out.Hosts = append(out.Hosts, control.HostReport{Host: server, Open: s.Open, Used: s.Used, Idle: s.Idle, Opening: s.Opening})
	}
	return out
}

func orElse(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

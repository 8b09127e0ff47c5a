package main

import (
	"context"
	"fmt"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/leases"
	"yokemast/internal/lifecycle"
)

// leaseVoterCmd runs one voter of the fleet's leases, which holds a lease for one task. It is for installations where
// gateways can connect to each other over TCP, and for tests of the leases. `serve` does not start it.
type leaseVoterCmd struct {
	ID       uint64        `help:"This voter's member id, 1 to 65535." required:""`
	Peer     []string      `help:"Another voter, as ID=HOST:PORT; once for each." required:""`
	Listen   string        `help:"The IPv4 address on which the other voters connect." required:""`
	Dir      string        `help:"A folder for the voter's log; by default the log is kept in memory." type:"path"`
	Tick     time.Duration `help:"One tick of the consensus clock; an election after 10." default:"100ms"`
	TTL      time.Duration `help:"The lease's time to live." default:"1s"`
	Margin   time.Duration `help:"How long before the voters could grant the lease to another a holder stops using it." default:"150ms"`
	Drift    float64       `help:"How far any two clocks' rates may differ, as a fraction." default:"0.01"`
	Task     string        `help:"The lease's name." default:"scout"`
	Resource string        `help:"The TCP address that acts under the lease are sent to." required:""`
	ActEvery time.Duration `help:"How often the holder acts." default:"20ms"`
	History  bool          `help:"Log each lease request and its answer with wall times, for a linearizability check."`
	// ClockRate is for tests of the drift bound; the default is the true rate.
	ClockRate float64 `help:"Rate of this voter's lease clock relative to true time, 0.5 to 2; for tests only." default:"1"`
}

// Run runs the voter until SIGTERM or SIGINT.
func (c *leaseVoterCmd) Run() error {
	if c.ClockRate < 0.5 || c.ClockRate > 2 {
		return fmt.Errorf("--clock-rate %v: want 0.5 to 2", c.ClockRate)
	}
	peers := map[uint64]string{}
	for _, p := range c.Peer {
		id, addr, ok := strings.Cut(p, "=")
		n, err := strconv.ParseUint(id, 10, 16)
		if !ok || err != nil || n == 0 || addr == "" {
			return fmt.Errorf("--peer %q: want ID=HOST:PORT with ID from 1 to 65535", p)
		}
		peers[n] = addr
	}
	log, err := zap.NewProduction(zap.WithCaller(false))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("lease voter ready", zap.Uint64("id", c.ID))
	return lifecycle.RunLeaseVoter(ctx, lifecycle.LeaseVoter{ID: c.ID, Peers: peers, Listen: c.Listen, Dir: c.Dir,
		Tick: c.Tick, Lease: leases.HolderConfig{TTL: c.TTL, Drift: c.Drift, Margin: c.Margin}, Task: c.Task,
		Resource: c.Resource, ActEvery: c.ActEvery, History: c.History, ClockRate: c.ClockRate}, log.With(zap.Uint64("voter", c.ID)))
}

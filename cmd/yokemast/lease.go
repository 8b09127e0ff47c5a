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

// leaseVoterCmd runs one voter of the fleet's leases, holding a lease for one task: for installations where gateways
// may reach each other over TCP, and for the proof of the leases. `serve` does not start it.
type leaseVoterCmd struct {
	ID       uint64        `help:"This voter's member id, 1 to 65535." required:""`
	Peer     []string      `help:"Another voter, as ID=HOST:PORT; once for each." required:""`
	Listen   string        `help:"Where the other voters reach this one, on IPv4." required:""`
	Dir      string        `help:"A folder for the voter's log; without one it is kept in memory." type:"path"`
	Tick     time.Duration `help:"One tick of the consensus clock; an election after 10." default:"100ms"`
	TTL      time.Duration `help:"The lease's time to live." default:"1s"`
	Margin   time.Duration `help:"Time that a holder gives up before the voters could let the lease pass." default:"150ms"`
	Drift    float64       `help:"How far any two clocks' rates may differ, as a fraction." default:"0.01"`
	Task     string        `help:"The lease's name." default:"scout"`
	Resource string        `help:"Where acts under the lease go, over TCP." required:""`
	ActEvery time.Duration `help:"How often the holder acts." default:"20ms"`
	History  bool          `help:"Log each lease request and its answer with wall times, for a linearizability check."`
	// ClockRate exists for proofs of the drift bound; the default keeps the true rate.
	ClockRate float64 `help:"How fast this voter's lease clock runs against true time, 0.5 to 2; for proofs only." default:"1"`
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

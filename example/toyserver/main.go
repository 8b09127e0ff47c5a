// Command toyserver stands in for what a gateway needs round it, on loopback: discovery and one group of three
// database hosts, a primary and two replicas, that share one table in memory. It is for trying the gateway out.
package main

import (
	"context"
	"fmt"
	"log"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
)

type cli struct {
	Discovery string        `help:"Where discovery listens." default:"127.0.0.1:8500"`
	Port      int           `help:"The first host's port; the others follow." default:"15432"`
	Group     int           `help:"The group of the hosts." default:"1"`
	Replicas  int           `help:"How many replicas there are beside the primary." default:"2"`
	Lag       time.Duration `help:"How far the replicas lie behind." default:"20ms"`
	Work      time.Duration `help:"What a request takes." default:"0"`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("toyserver"), kong.Description("Discovery and a few database hosts on loopback."))
	if err := c.run(); err != nil {
		log.Fatal(err)
	}
}

func (c cli) run() error {
	n := 0
	cluster, err := hosts.NewCluster(c.Group, "db-", 1+c.Replicas, nil, func(h *hosts.Host) {
		h.Address, h.Log, h.Work = fmt.Sprintf("127.0.0.1:%d", c.Port+n), log.Printf, c.Work
		n++
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	agent := discovery.New()
	defer agent.Close()
	for _, h := range cluster.Hosts() {
		h.SetLag(c.Lag)
		agent.Set(h.ListEntry("SERVING"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: c.Discovery, Handler: agent, ReadHeaderTimeout: time.Second}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	log.Printf("discovery at %s, hosts from port %d on", c.Discovery, c.Port)
	if err := s.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}

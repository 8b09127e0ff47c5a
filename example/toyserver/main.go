// Command toyserver runs what a gateway needs to be tried out, on loopback: discovery and one group of three database
// hosts, a primary and two replicas, that share one table in memory.
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
	Discovery string        `help:"Discovery's listen address." default:"127.0.0.1:8500"`
	Port      int           `help:"The first host's port; the others use the following ports." default:"15432"`
	Group     int           `help:"The group of the hosts." default:"1"`
	Replicas  int           `help:"Number of replicas in addition to the primary." default:"2"`
	Lag       time.Duration `help:"Replication lag of the replicas." default:"20ms"`
	Work      time.Duration `help:"Execution time of a request." default:"0"`
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

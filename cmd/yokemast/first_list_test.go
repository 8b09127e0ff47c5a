package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/rules"
)

// A drain that the agent lists counts as notified from the start of a new process, even if the process's
// first call to the agent gets no answer or is refused. The agent answers the second call at once.
func TestANewProcessKeepsADrainThoughItsFirstCallFails(t *testing.T) {
	for name, fails := range map[string]func(w http.ResponseWriter, r *http.Request){
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"busy": func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(500 * time.Millisecond)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger := &rules.Ledger{Limits: rules.Limits{Grace: drainGrace, Slack: 50 * time.Millisecond}}
			cluster, err := hosts.NewCluster(1, "s-", 3, ledger, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer cluster.Close()
			drained := cluster.Primary()
			g := startBehind(t, nil, func(n int, w http.ResponseWriter, r *http.Request) bool {
				switch n {
				case 0:
					ledger.DrainAnnounced(drained.ID, false)
					fails(w, r)
				case 1:
					fmt.Fprint(w, discovery.List(42, true, drained.ListEntry("DRAINING"), cluster.Hosts()[1].ListEntry("SERVING"), cluster.Hosts()[2].ListEntry("SERVING")))
				default:
					<-r.Context().Done()
				}
				return true
			}, nil, cluster.Hosts()...)
			c := g.client()
			defer c.Close()
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				c.Do(clients.Request{Class: "order", Key: "k", Write: true, Value: []byte("v"), Wait: 200 * time.Millisecond}, nil)
			}
			if n := ledger.Counts().AfterDrain; n > 0 {
				t.Errorf("%d requests reached a draining host after the grace: %s", n, ledger.Violations()[0])
			}
		})
	}
}

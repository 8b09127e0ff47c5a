// Case 6: an order that a session commits after its tenant was moved to another group goes to the group that was left.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
	kit2 "yokemast/review/kit-2"
)

func main() { kit2.Main("6", run) }

const operatorFile = `(control (socket %q) (mode 0600))
(cells (claims no) (size 2) (cell "coast") (cell "hills") (tenant "apollo" (cell "coast")) (user "apollo-app" (tenants "apollo"))
  (moves (ramp 200ms)))
(pools (pool "apps" (user "apollo-app") (mode transaction) (read list-read) (own own-read) (write order-write)))`

func run(c *kit2.Case) error {
	var mu sync.Mutex
	settled := false
	configure := func(h *hosts.Host) {
		h.General = true
		h.BeforeStatement = func(text string, _ map[string]string) *pg.Error {
			mu.Lock()
			defer mu.Unlock()
			c.Note("%s: begins %q (move settled: %t)", h.ID, text, settled)
			return nil
		}
	}
	left, err := hosts.NewCluster(1, "one-", 3, nil, configure)
	if err != nil {
		return err
	}
	defer left.Close()
	joined, err := hosts.NewCluster(2, "two-", 3, nil, configure)
	if err != nil {
		return err
	}
	defer joined.Close()
	agent := discovery.New()
	defer agent.Close()
	for _, h := range append(left.Hosts(), joined.Hosts()...) {
		h.SetLag(300 * time.Millisecond)
		agent.Set(h.ListEntry("SERVING"))
	}
	socket, operator := filepath.Join(c.Dir, "control.sock"), filepath.Join(c.Dir, "operator.sexp")
	if err := os.WriteFile(operator, fmt.Appendf(nil, operatorFile, socket), 0o600); err != nil {
		return err
	}
	listen, err := kit2.FreeAddress()
	if err != nil {
		return err
	}
	config, err := c.WriteConfig(listen, agent.Listener.Addr().String(), "", kit2.Settings("client"))
	if err != nil {
		return err
	}
	gateway, err := c.StartGateway("gateway", config, "", "YOKEMAST_OPERATOR="+operator)
	if err != nil {
		return err
	}
	if err := c.WaitReady(listen); err != nil {
		return err
	}
	// The primaries of both groups are learned from other users' requests.
	other, err := clients.Start(listen, "backend", 60*time.Second)
	if err != nil {
		return err
	}
	defer other.Close()
	for group := 1; group <= 2; group++ {
		for range 3 {
			c.Ask(other, clients.Request{Class: "order-write", Key: "other", Group: group, Wait: 2 * time.Second, Write: true, Value: []byte{1}})
		}
	}
	ask := func(name string, client *clients.Client, query string) clients.Reply {
		c.Note("%s: sends %q", name, query)
		client.Send(query)
		got := client.ReadReply()
		c.Note("%s: answered: row %t, %q, code %q, closed %t", name, got.Row, got.Value, got.Code, got.Closed)
		return got
	}
	connect := func() (*clients.Client, error) { return clients.Start(listen, "apollo-app", 60*time.Second) }
	a, err := connect()
	if err != nil {
		return err
	}
	defer a.Close()
	if got := ask("session a", a, "INSERT INTO kv (name, content) VALUES ('order-1', 'first order')"); got.Code != "" || got.Closed {
		return errors.New("the first order is not taken")
	}
	if got := ask("session a", a, "LISTEN news"); got.Code != "" || got.Closed {
		return errors.New("LISTEN is not taken")
	}
	if c.Trouble {
		// The operator copies the tenant's data, which nobody changes meanwhile, and moves the tenant.
		copying, err := clients.Start(joined.Primary().Address, "copy", 10*time.Second)
		if err != nil {
			return err
		}
		if got := ask("operator's copy", copying, "INSERT INTO kv (name, content) VALUES ('order-1', 'first order')"); got.Code != "" || got.Closed {
			return errors.New("the data can't be copied")
		}
		copying.Close()
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		move := exec.CommandContext(ctx, filepath.Join(c.Root(), "bin", "yokemast"), "cells", "move", "apollo", "--from-group", "1", "--to-group", "2", "--socket", socket)
		out, err := move.CombinedOutput()
		c.Note("operator: moves apollo from group 1 to group 2: %s (%v)", strings.TrimSpace(string(out)), err)
		if err != nil {
			return err
		}
		if err := gateway.WaitLog(`"stage":"settled"`, 15*time.Second); err != nil {
			return err
		}
		c.Note("operator: the move has settled; copying ends")
	}
	mu.Lock()
	settled = c.Trouble
	mu.Unlock()
	got := ask("session a", a, "INSERT INTO kv (name, content) VALUES ('order-2', 'second order')")
	if got.Closed || got.Code != "" {
		c.Note("session a: the second order was not taken; the client connects again and repeats it")
		if a, err = connect(); err != nil {
			return err
		}
		if got := ask("session a", a, "INSERT INTO kv (name, content) VALUES ('order-2', 'second order')"); got.Code != "" || got.Closed {
			return errors.New("the second order is not taken")
		}
	}
	time.Sleep(time.Second) // far more than the replicas' lag
	b, err := connect()
	if err != nil {
		return err
	}
	defer b.Close()
	if got := ask("session b", b, "SELECT content FROM kv WHERE name = 'order-1'"); !got.Row {
		return errors.New("the first order is not found after the move")
	}
	found := false
	for range 3 {
		if got := ask("session b", b, "SELECT content FROM kv WHERE name = 'order-2'"); got.Row {
			found = true
		}
		time.Sleep(50 * time.Millisecond)
	}
	again := ask("session a", a, "SELECT content FROM kv WHERE name = 'order-2'")
	c.Note("the second order is found by another session of the tenant: %t, by its own: %t", found, again.Row)
	if !found {
		c.Break("the order that the tenant's session committed is not found by the tenant's next session")
	}
	return nil
}

// Case 8: after an upgrade, a session's read does not see a write that the old process has answered.
package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/pg"
	kit2 "yokemast/review/kit-2"
)

func main() { kit2.Main("8", run) }

const (
	sessions = 5
	lag      = time.Second            // of the replicas
	gap      = 110 * time.Millisecond // between the answer to a write and the session's read
)

// settings are those of kit2 with the classes and figures of the site news-platform.
func settings() string {
	return strings.NewReplacer(`"list-read"`, `"article-read"`, `"order-write"`, `"write"`, `"oldestData":[500000000,0,0]`, `"oldestData":[200000000,0,0]`,
		`"giveUp":750000000`, `"giveUp":1000000000`, `"onTime":300000000`, `"onTime":400000000`,
		`"giveUp":800000000`, `"giveUp":1000000000`, `"onTime":200000000`, `"onTime":250000000`,
		`"giveUp":3000000000`, `"giveUp":5000000000`, `"stopSendingWithin":1000000000`, `"stopSendingWithin":500000000`,
		`"overloadFactor":4.0`, `"overloadFactor":3.0`, `"fall":1500000000`, `"fall":1000000000`, `"cold":16000000000`, `"cold":12000000000`,
		`"coldFrom":0.25`, `"coldFrom":0.19`, `"commitWaits":true`, `"commitWaits":false`, `"roleListed":"delayed"`, `"roleListed":"silent"`,
		`"how":"piggyback"`, `"how":"pull"`).Replace(kit2.Settings("router"))
}

func run(c *kit2.Case) error {
	store := &kit2.Store{}
	var busy atomic.Bool // the primary has a queue: a write takes 1 s
	var all []*kit2.Host
	for i, id := range []string{"s-a", "s-b", "s-c"} {
		h, err := c.StartHost(&kit2.Host{ID: id, Leader: i == 0, NoRole: true, Lag: lag, Store: store, Work: func(s *pg.Statement) time.Duration {
			if s.Write && busy.Load() {
				return time.Second
			}
			return 50 * time.Millisecond
		}})
		if err != nil {
			return err
		}
		all = append(all, h)
	}
	d, err := c.Deploy(settings(), "", nil, all...)
	if err != nil {
		return err
	}
	defer d.Agent.Close()

	// A gateway with few requests: five sessions, each of which has written once, a while ago.
	write := func(conn *clients.Client, key string, n int) clients.Reply {
		return c.Ask(conn, clients.Request{Class: "write", Key: key, Wait: 5 * time.Second, Write: true, Value: []byte{byte(n)}})
	}
	read := func(conn *clients.Client, key string) clients.Reply {
		return c.Ask(conn, clients.Request{Class: "own-read", Key: key, Wait: time.Second})
	}
	var conns []*clients.Client
	for i := range sessions {
		conn, err := clients.Start(d.Listen, "backend", 60*time.Second)
		if err != nil {
			return err
		}
		defer conn.Close()
		key := fmt.Sprintf("session-%d", i)
		if got := write(conn, key, 1); !got.Row {
			return fmt.Errorf("the first write of %s is not served: %+v", key, got)
		}
		conns = append(conns, conn)
	}
	for range 25 { // until the replicas have these writes
		for i, conn := range conns {
			read(conn, fmt.Sprintf("session-%d", i))
		}
	}
	// Each session writes again, and then reads what it wrote, on the same connection.
	busy.Store(true)
	var served atomic.Int64
	var wait sync.WaitGroup
	for i, conn := range conns {
		wait.Go(func() {
			key := fmt.Sprintf("session-%d", i)
			if got := write(conn, key, 2); !got.Row {
				c.Note("the second write of %s is not served", key)
				return
			}
			start := time.Now()
			for time.Since(start) < 2*time.Second {
				time.Sleep(gap)
				got := read(conn, key)
				if got.Closed {
					return
				}
				if !got.Row {
					continue
				}
				served.Add(1)
				if seen, _ := strconv.ParseInt(string(got.Value), 16, 32); seen < 2 {
					c.Break("%s was told that its write of 2 was served, and %.3f s later it reads %d", key, time.Since(start).Seconds(), seen)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // the writes are at the primary
	if c.Trouble {
		admin, err := kit2.FreeAddress()
		if err != nil {
			return err
		}
		if _, err := c.StartGateway("new", d.Config, "", "ROUTER_ADMIN="+admin); err != nil {
			return err
		}
		ready := false
		for end := time.Now().Add(10 * time.Second); !ready && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			ready = c.Call("GET", admin, "/_ready") == 200
		}
		if !ready {
			return fmt.Errorf("the new process does not become ready")
		}
		c.Note("platform: the new process says yes")
		time.Sleep(500 * time.Millisecond)
		d.Process.Signal(syscall.SIGTERM) // within 6 s of the yes
	}
	wait.Wait()
	c.Note("%d reads of own writes were served", served.Load())
	if served.Load() == 0 {
		return fmt.Errorf("no read was served")
	}
	return nil
}

// Case 10: a write is sent to its host long after its client has gone, as unread bytes hide the end of the connection.
package main

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/pg"
	kit2 "yokemast/review/kit-2"
)

func main() { kit2.Main("10", run) }

// allowed is the time after a client's close in which an attempt may still begin, with the 50 ms by which limits are longer.
const allowed = 150 * time.Millisecond

func run(c *kit2.Case) error {
	store := &kit2.Store{}
	var mu sync.Mutex
	var closedAt time.Time
	begun := map[string]time.Time{}
	var all []*kit2.Host
	for i, id := range []string{"s-a", "s-b", "s-c"} {
		h := &kit2.Host{ID: id, Leader: i == 0, Lag: 10 * time.Millisecond, Store: store}
		h.Work = func(s *pg.Statement) time.Duration {
			if s.Key == "first" {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
		h.Begun = func(s *pg.Statement, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			begun[s.Key] = at
			if (s.Key == "first" || s.Key == "second") && !closedAt.IsZero() {
				c.Note("%s: the request of %q begins %.3f s after its client closed the connection", h.ID, s.Key, at.Sub(closedAt).Seconds())
				if at.Sub(closedAt) > allowed {
					c.Break("%s was sent the write of %q %.3f s after its client had gone", h.ID, s.Key, at.Sub(closedAt).Seconds())
				}
			}
		}
		if _, err := c.StartHost(h); err != nil {
			return err
		}
		all = append(all, h)
	}
	d, err := c.Deploy(kit2.Settings("client"), "", nil, all...)
	if err != nil {
		return err
	}
	defer d.Agent.Close()
	if err := c.Warm(d); err != nil {
		return err
	}
	client, err := clients.Start(d.Listen, "backend", 20*time.Second)
	if err != nil {
		return err
	}
	// Two writes at once, behind each other on one connection, as a client may send them.
	out := pg.AppendQuery(nil, clients.Request{ID: clients.NewID(), Class: "order-write", Key: "first", Wait: 3 * time.Second, Write: true, Value: []byte{1}}.Statement())
	out = pg.AppendQuery(out, clients.Request{ID: clients.NewID(), Class: "order-write", Key: "second", Wait: 3 * time.Second, Write: true, Value: []byte{2}}.Statement())
	if c.Trouble {
		// What follows can't be read: a type that the protocol does not have, and noise.
		out = append(append(out, '!', 0xff, 0xff, 0xff, 0xff), bytes.Repeat([]byte{0x5a}, 64<<10)...)
	}
	c.Note("client: sends two writes, in all %d bytes", len(out))
	if _, err := client.Write(out); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	_, ok := begun["first"]
	mu.Unlock()
	if !ok {
		return errors.New("the first write did not reach a host in 0.1 s")
	}
	_ = client.Conn.(*net.TCPConn).Close()
	mu.Lock()
	closedAt = time.Now()
	mu.Unlock()
	c.Note("client: closed its connection and has gone")
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if _, ok := begun["second"]; !ok {
		c.Note("the second write was never sent")
	}
	return nil
}

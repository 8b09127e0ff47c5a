// Case 9: a planned restart cuts off a large value that a database host is still giving.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/pg"
	kit2 "yokemast/review/kit-2"
)

func main() { kit2.Main("9", run) }

const (
	size  = 4 << 20
	piece = 32 << 10
	pause = 50 * time.Millisecond // between two pieces that the host writes: the value takes 6.4 s
)

func run(c *kit2.Case) error {
	value := make([]byte, size)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	store := &kit2.Store{}
	var all []*kit2.Host
	for i, id := range []string{"s-a", "s-b", "s-c"} {
		h := &kit2.Host{ID: id, Leader: i == 0, Lag: 10 * time.Millisecond, Store: store}
		h.Answer = func(n net.Conn, s *pg.Statement) []byte {
			if s.Key != "scan" {
				return nil
			}
			out := pg.AppendReady(append(h.Statements(), pg.AppendRow(nil, pg.Value{Data: value, Format: 1}, s.Tag())...))
			start := time.Now()
			for sent := 0; sent < len(out); {
				m, err := n.Write(out[sent:min(len(out), sent+piece)])
				if sent += m; err != nil {
					c.Note("%s: could write only %d of %d bytes of the answer to id %s: %v", h.ID, sent, len(out), s.ID, err)
					return []byte{}
				}
				time.Sleep(pause)
			}
			c.Note("%s: wrote the whole answer to id %s in %.3f s", h.ID, s.ID, time.Since(start).Seconds())
			return []byte{}
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
	client, err := clients.Dial(d.Listen, 60*time.Second)
	if err != nil {
		return err
	}
	defer client.Close()
	_, _ = client.Write(pg.AppendStartup(nil, "backend", "store"))
	if got := client.Answer(); got != "ready" {
		return fmt.Errorf("startup: %s", got)
	}
	r := clients.Request{ID: clients.NewID(), Class: "list-read", Key: "scan", Wait: 700 * time.Millisecond}
	c.Note("client: sends id %s", r.ID)
	client.Send(r.Statement())
	var got bytes.Buffer
	start, terminated := time.Now(), time.Time{}
	var readErr error
	buffer := make([]byte, piece)
	killed := make(chan struct{})
	for {
		if _, err := client.In.Peek(1); err != nil {
			readErr = err
			break
		}
		n, err := io.ReadFull(client.In, buffer)
		got.Write(buffer[:n])
		if got.Len() == n {
			c.Note("client: the first bytes have come after %.3f s", time.Since(start).Seconds())
		}
		if err != nil {
			readErr = err
			break
		}
		if bytes.HasSuffix(got.Bytes(), []byte{'Z', 0, 0, 0, 5, 'I'}) {
			break
		}
		if rest := size - got.Len(); rest < piece {
			_ = client.SetReadDeadline(time.Now().Add(3 * time.Second)) // the last piece
			buffer = buffer[:1]
		}
		if c.Trouble && terminated.IsZero() && time.Since(start) > time.Second {
			// A planned restart. SIGKILL comes 10 s later, 6.3 s after the earliest time that the pages allow.
			terminated = time.Now()
			d.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(10*time.Second, func() { close(killed); d.Process.Signal(syscall.SIGKILL) })
		}
	}
	whole := bytes.Contains(got.Bytes(), value) && bytes.HasSuffix(got.Bytes(), []byte{'Z', 0, 0, 0, 5, 'I'})
	c.Note("client: %d bytes have come in %.3f s, whole %t (%v)", got.Len(), time.Since(start).Seconds(), whole, readErr)
	if whole {
		return nil
	}
	if got.Len() < 1000 {
		return errors.New("the read was not served")
	}
	select {
	case <-killed:
		return errors.New("the value took longer than the time up to SIGKILL")
	default:
	}
	after := "without a signal"
	if !terminated.IsZero() {
		after = fmt.Sprintf("%.3f s after SIGTERM and before SIGKILL", time.Since(terminated).Seconds())
	}
	c.Break("the value of id %s was cut off after %d of %d bytes, %s", r.ID, got.Len(), size, after)
	return nil
}

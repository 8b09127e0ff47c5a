package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/wire/pg"
)

// processCPU returns the processor time that a process has used.
func processCPU(b *testing.B, pid int) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("processor times are not available:  ", err)
	}
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // the kernel counts in units of 10 ms
}

// newFastHost starts a host that answers every query at once with one row and reports the primary's role.
func newFastHost(b *testing.B) *hosts.Host {
	h, err := hosts.New("s-1", hosts.Leader, nil)
	if err != nil {
		b.Fatal(err)
	}
	h.Listener.Close()
	l, err := net.Listen("tcp", h.Address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if _, _, err := pg.ReadStartup(in); err != nil {
					return
				}
				_, _ = c.Write(pg.AppendStartupResponse(nil, pg.StartSession))
				var out []byte
				for {
					_, body, err := pg.Read(in, 1<<20)
					if err != nil {
						return
					}
					tag := "SELECT 1"
					switch {
					case bytes.HasPrefix(body, []byte("INSERT")):
						tag = "INSERT 0 1"
					case bytes.HasPrefix(body, []byte("SHOW")):
						tag = "SHOW"
					}
					now := time.Now().UnixMilli()
					value := []byte("value")
					if tag == "SHOW" {
						value = fmt.Appendf(nil, "x0=%.3f,x1=1", float64(now)/1000)
					}
					out = pg.Append(out[:0], pg.ParameterStatus, []byte("node_role\x00leader\x00"))
					out = pg.Append(out, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", now))
					out = pg.AppendReady(pg.AppendRow(out, pg.Value{Data: value, Format: 1}, tag))
					if _, err := c.Write(out); err != nil {
						return
					}
				}
			}()
		}
	}()
	return h
}

// BenchmarkPooled measures the cost of a statement of a pooled session in the real program on one core, both
// without session settings and with another session's settings to be replaced before each statement.
func BenchmarkPooled(b *testing.B) {
	for _, c := range []struct {
		set         bool
		connections int
		clients     int
	}{{false, 8, 16}, {true, 8, 16}, {false, 1, 1}, {true, 1, 2}} {
		b.Run(fmt.Sprintf("other settings each time=%v, %d clients on %d connections", c.set, c.clients, c.connections), func(b *testing.B) {
			p, set := startPooled(b, 1, fmt.Sprintf(onePool, c.connections), nil, nil), c.set
			var all []*clients.Client
			for i := range c.clients {
				c, err := clients.Start(p.address, "app", time.Minute)
				if err != nil {
					b.Fatal(err)
				}
				if set {
					c.Ask(fmt.Sprintf("SET a.x = '%d'; SET a.y = '%d'", i, i))
				}
				all = append(all, c)
			}
			before, answersBefore := processCPU(b, p.cmd.Process.Pid), p.cluster.Hosts()[0].Answers()
			b.ResetTimer()
			var work sync.WaitGroup
			var took atomic.Int64 // all statements together
			for _, c := range all {
				work.Go(func() {
					for range b.N/len(all) + 1 {
						start := time.Now()
						if got := c.Ask("SELECT 'x'"); got != "row x" {
							b.Error(got)
							return
						}
						took.Add(int64(time.Since(start)))
					}
				})
			}
			work.Wait()
			statements := float64((b.N/len(all) + 1) * len(all))
			b.ReportMetric(float64(p.cluster.Hosts()[0].Answers()-answersBefore)/statements, "answers/statement")
			b.ReportMetric(float64(took.Load())/statements/1000, "us/statement")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
			b.ReportMetric(float64((processCPU(b, p.cmd.Process.Pid)-before).Microseconds())/float64(b.N), "us-cpu/statement")
		})
	}
}

// BenchmarkGateway measures the cost of a request in the real program on one core, compared with the same
// clients on direct connections to the host.
func BenchmarkGateway(b *testing.B) {
	for _, n := range []int{16, 200} {
		for _, way := range []string{"direct", "through", "through, no rest"} {
			b.Run(fmt.Sprintf("%s/%d clients", way, n), func(b *testing.B) {
				h := newFastHost(b)
				address, pid := h.Address, 0
				if way != "direct" {
					var args []string
					if way == "through, no rest" {
						path, _ := operatorFile(b, "(pools (rest 0s))")
						args = []string{"--operator", path}
					}
					g := startWith(b, nil, args, h)
					address, pid = g.address, g.cmd.Process.Pid
				}
				var refused atomic.Int64
				each := func(requests int) {
					var work sync.WaitGroup
					for i := range n {
						c, err := clients.Start(address, "backend", time.Minute)
						if err != nil {
							b.Fatal(err)
						}
						work.Go(func() {
							defer c.Close()
							for range requests/n + 1 {
								q := clients.Request{ID: clients.NewID(), Class: "own", Key: "k" + strconv.Itoa(i), Wait: 5 * time.Second}
								c.Send(q.Statement())
								switch r := c.ReadReply(); {
								case r.Code == pg.CodeTooMany:
									refused.Add(1)
								case !r.Row:
									b.Errorf("answered %+v", r)
									return
								}
							}
						})
					}
					work.Wait()
				}
				each(2 * n) // warm up
				var before time.Duration
				if pid > 0 {
					before = processCPU(b, pid)
				}
				b.ResetTimer()
				each(b.N)
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
				if pid > 0 {
					b.ReportMetric(float64(refused.Load()), "refused")
					b.ReportMetric(float64((processCPU(b, pid)-before).Microseconds())/float64(b.N), "us-cpu/request")
				}
			})
		}
	}
}

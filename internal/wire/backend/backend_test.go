package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/balance"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/testbed/stall"
	"yokemast/internal/wire/pg"
)

type outcomes chan exchange.Outcome

func (o outcomes) Outcome(e exchange.Outcome)                                      { o <- e }
func (outcomes) Probed(balance.ProbeResult)                                        {}
func (outcomes) Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report) {}

func (outcomes) AppendQuery(out []byte, _ time.Duration) []byte { return pg.AppendQuery(out, "x") }

func (outcomes) Tag() string { return "" }

func TestAttemptsThatNeverStart(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	mute, err := net.Listen("tcp", "127.0.0.1:0") // comes up and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	clock := exchange.NewClock()
	for _, c := range []struct {
		name, server string
		conns        int
		until        time.Duration
		connect      time.Duration
		want         balance.Result
	}{
		{"refused", "closed", 1, time.Minute, time.Minute, balance.NoConnection},
		{"never comes up", "mute", 1, time.Minute, 20 * time.Millisecond, balance.NoConnection},
		{"its own time runs out first", "mute", 1, 20 * time.Millisecond, time.Minute, balance.NotSent},
		{"no time left", "mute", 1, -1, time.Minute, balance.NotSent},
		{"no connection to be had", "mute", 0, time.Minute, time.Minute, balance.NotSent},
		{"never listed", "other", 1, time.Minute, time.Minute, balance.NotSent},
	} {
		ctx, stop := context.WithCancel(context.Background())
		group, to := &errgroup.Group{}, make(outcomes, 2)
		b := New(ctx, group, Config{Clock: clock, Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: c.conns,
			ConnectTimeout: c.connect, IdleTimeout: time.Minute}, to)
		b.Members([]exchange.Member{{Member: balance.Member{Server: "closed"}, Address: closed.Addr().String()},
			{Member: balance.Member{Server: "mute"}, Address: mute.Addr().String()}})
		b.Send(exchange.Attempt{ID: "a", Server: c.server, Command: to, Sent: clock.Now(), Deadline: clock.Now() + c.until})
		if got := <-to; got.Result != c.want {
			t.Errorf("%s: result %v, want %v", c.name, got.Result, c.want)
		}
		stop()
		_ = group.Wait()
		if len(b.attempts) != 0 || b.pools.Total() != 0 {
			t.Errorf("%s: %d attempts and %d connections are left", c.name, len(b.attempts), b.pools.Total())
		}
	}
}

// Calls that fail for a moment on this machine cost no attempt; ones that go on failing say nothing of the host.
func TestCallsThatFailForAMoment(t *testing.T) {
	address, _ := arrivals(t)
	for _, c := range []struct {
		name  string
		fails int64
		err   error
		want  balance.Result
	}{
		{"no descriptor", 2, syscall.ENFILE, balance.OK},
		{"no buffers", 2, syscall.ENOBUFS, balance.OK},
		{"no local address", 2, syscall.EADDRNOTAVAIL, balance.OK},
		{"no network", 2, syscall.ENETUNREACH, balance.OK},
		{"no network for long", 1 << 40, syscall.ENETUNREACH, balance.NotSent},
		{"no way to the host", 1, syscall.EHOSTUNREACH, balance.NoConnection},
		{"timed out by the kernel", 1, syscall.ETIMEDOUT, balance.NoConnection},
	} {
		var left atomic.Int64
		left.Store(c.fails)
		ctx, stop := context.WithCancel(context.Background())
		group, to := &errgroup.Group{}, make(outcomes, 2)
		clock := exchange.NewClock()
		b := New(ctx, group, Config{Clock: clock, Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: 10, ConnectTimeout: time.Minute,
			IdleTimeout: time.Minute, DialControl: func(string, string, syscall.RawConn) error {
				if left.Add(-1) >= 0 {
					return c.err
				}
				return nil
			}}, to)
		b.Members([]exchange.Member{{Member: balance.Member{Server: "s"}, Address: address}})
		b.Send(exchange.Attempt{ID: "a", Server: "s", Command: to, Sent: clock.Now(), Deadline: clock.Now() + time.Minute})
		if got := <-to; got.Result != c.want {
			t.Errorf("%s: result %v, want %v", c.name, got.Result, c.want)
		}
		stop()
		_ = group.Wait()
	}
}

type probes chan balance.ProbeResult

func (probes) Learned(balance.RemoteOutcome, balance.TimeBounds, balance.Report) {}

func (p probes) Probed(e balance.ProbeResult) { p <- e }
func (probes) Outcome(exchange.Outcome)       {}

func TestProbeIsNotFailedByConnectionsThatBreak(t *testing.T) {
	for resets, want := range map[int]balance.Result{0: balance.OK, probeTries - 1: balance.OK,
		probeTries: balance.NoConnection} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for n := 0; ; n++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				in := bufio.NewReader(c)
				_, _, _ = pg.ReadStartup(in)
				if n < resets {
					_ = c.(*net.TCPConn).SetLinger(0)
					c.Close()
					continue
				}
				_, _ = c.Write(pg.AppendStartupResponse(nil, pg.StartSession))
				_, _, _ = pg.Read(in, 1000)
				_, _ = c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("x0=1,x1=0")}, "SHOW")))
			}
		}()
		ctx, stop := context.WithCancel(context.Background())
		group, to := &errgroup.Group{}, make(probes, 1)
		b := New(ctx, group, Config{Clock: exchange.NewClock(), Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: 1,
			ConnectTimeout: time.Minute, IdleTimeout: time.Minute}, to)
		b.Members([]exchange.Member{{Member: balance.Member{Server: "s"}, Address: l.Addr().String()}})
		b.Probe("s")
		if got := <-to; got.Result != want {
			t.Errorf("%d resets: result %v, want %v", resets, got.Result, want)
		}
		stop()
		_ = group.Wait()
		l.Close()
	}
}

// arrivals is a host that notes when each query has come.
func arrivals(t *testing.T) (address string, came chan time.Time) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	came = make(chan time.Time, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				_, _, _ = pg.ReadStartup(in)
				_, _ = c.Write(pg.AppendStartupResponse(nil, pg.StartSession))
				for {
					if _, _, err := pg.Read(in, 1000); err != nil {
						return
					}
					came <- time.Now()
					_, _ = c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("v")}, "")))
				}
			}()
		}
	}()
	return l.Addr().String(), came
}

// The process may be held up for 0.15 s between any reading of its clock and what it does with it; the protocol allows 50 ms on
// sockets. The list's answer was written by discovery as long before the exchange was given it.
func TestDrainGraceCoversAHoldUp(t *testing.T) {
	const holdUp, slack, grace = 150 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond
	stalls := stall.Start()
	t.Cleanup(stalls.Stop)
	for reading := range 10 {
		for _, before := range []time.Duration{5, 25, 60, 140, 200, 290} { // ms before the end of the grace
			t.Run(fmt.Sprintf("reading %d, %d ms before the end", reading, before), func(t *testing.T) {
				t.Parallel()
				address, came := arrivals(t)
				var armed atomic.Bool
				var readings atomic.Int64
				clock := exchange.NewClock()
				held := clock.WithReadHook(func() {
					if armed.Load() && readings.Add(1) == int64(reading)+1 {
						time.Sleep(holdUp)
					}
				})
				ctx, stop := context.WithCancel(context.Background())
				group, counts := &errgroup.Group{}, &counters.Set{}
				x, err := exchange.New(exchange.Config{Clock: clock, Log: zap.NewNop(), Counters: counts, Settings: balance.Settings{DrainGrace: grace,
					Classes: []balance.Class{{Name: "order", Need: balance.Write, Effect: balance.Unsafe, LatencyTarget: 400 * time.Millisecond, Deadline: time.Minute, LateWorth: 0.7}}}})
				if err != nil {
					t.Fatal(err)
				}
				b := New(ctx, group, Config{Clock: held, Log: zap.NewNop(), Counters: counts, MaxConns: 10, ConnectTimeout: time.Minute,
					IdleTimeout: time.Hour}, x)
				group.Go(func() error { return x.Run(ctx, b) })
				defer func() { stop(); _ = group.Wait() }()
				member := exchange.Member{Address: address, Member: balance.Member{Server: "s", Group: 1, Primary: true, Weight: 1}}
				x.Members(exchange.List{Agent: "a", At: clock.Now(), Snapshot: true, Hosts: []exchange.Member{member}})
				ask := func(id string, wait time.Duration) chan exchange.Answer {
					answer := make(chan exchange.Answer, 1)
					x.Submit(&exchange.Request{ID: id, Class: "order", Group: 1, Write: true, Arrived: clock.Now(), Wait: wait, Command: outcomes(nil), Answer: answer})
					return answer
				}
				<-ask("first", time.Minute)
				<-came
				time.Sleep(DefaultMinRest + 10*time.Millisecond) // the connection may be used again
				member.State = balance.Draining
				notified := time.Now()
				time.Sleep(holdUp) // between the reading of the list and its handing over
				x.Members(exchange.List{Agent: "a", At: clock.Now(), Hosts: []exchange.Member{member}})
				time.Sleep(time.Until(notified.Add(grace - before*time.Millisecond)))
				armed.Store(true)
				<-ask("second", 2*time.Second)
				select {
				case at := <-came:
					if late := at.Sub(notified) - grace - slack; late > stalls.Recent() {
						t.Errorf("a request came %s after the grace (the machine stalled for %s)", late+slack, stalls.Recent())
					}
				default:
				}
			})
		}
	}
}

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

func TestAttemptNotStarted(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	clock := exchange.NewClock()
	for _, c := range []struct {
		name, server string
		conns        int
		until        time.Duration
		connect      time.Duration
		want         balance.Result
	}{
		{"connection refused", "closed", 1, time.Minute, time.Minute, balance.NoConnection},
		{"no response to startup", "mute", 1, time.Minute, 20 * time.Millisecond, balance.NoConnection},
		{"attempt deadline before connect timeout", "mute", 1, 20 * time.Millisecond, time.Minute, balance.NotSent},
		{"deadline already passed", "mute", 1, -1, time.Minute, balance.NotSent},
		{"connection limit reached", "mute", 0, time.Minute, time.Minute, balance.NotSent},
		{"unknown host", "other", 1, time.Minute, time.Minute, balance.NotSent},
	} {
		ctx, stop := context.WithCancel(context.Background())
		group, to := &errgroup.Group{}, make(outcomes, 2)
		b := New(ctx, group, Config{Clock: clock, Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: c.conns,
			ConnectTimeout: c.connect, IdleTimeout: time.Minute}, to)
		b.Members([]exchange.Member{{Member: balance.Member{Server: "closed"}, Address: closed.Addr().String()},
			{Member: balance.Member{Server: "mute"}, Address: silent.Addr().String()}})
		b.Send(exchange.Attempt{ID: "a", Server: c.server, Command: to, Sent: clock.Now(), Deadline: clock.Now() + c.until})
		if got := <-to; got.Result != c.want {
			t.Errorf("%s: result %v, want %v", c.name, got.Result, c.want)
		}
		stop()
		_ = group.Wait()
		if len(b.attempts) != 0 || b.pools.Total() != 0 {
			t.Errorf("%s: %d attempts and %d connections remain, want none", c.name, len(b.attempts), b.pools.Total())
		}
	}
}

// A dial that fails with a transient error of this machine is retried and costs no attempt. If the error
// persists, the attempt counts as not sent, since it is no evidence against the host.
func TestTransientDialErrors(t *testing.T) {
	address, _ := startRecordingHost(t)
	for _, c := range []struct {
		name  string
		fails int64
		err   error
		want  balance.Result
	}{
		{"no file descriptor", 2, syscall.ENFILE, balance.OK},
		{"no buffer space", 2, syscall.ENOBUFS, balance.OK},
		{"no local address", 2, syscall.EADDRNOTAVAIL, balance.OK},
		{"network unreachable", 2, syscall.ENETUNREACH, balance.OK},
		{"network unreachable for long", 1 << 40, syscall.ENETUNREACH, balance.NotSent},
		{"host unreachable", 1, syscall.EHOSTUNREACH, balance.NoConnection},
		{"kernel timeout", 1, syscall.ETIMEDOUT, balance.NoConnection},
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

func TestProbeRetriesBrokenConnections(t *testing.T) {
	for resets, want := range map[int]balance.Result{0: balance.OK, maxProbeConns - 1: balance.OK,
		maxProbeConns: balance.NoConnection} {
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

// startRecordingHost starts a host that records when each query arrives.
func startRecordingHost(t *testing.T) (address string, arrivals chan time.Time) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	arrivals = make(chan time.Time, 100)
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
					arrivals <- time.Now()
					_, _ = c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("v")}, "")))
				}
			}()
		}
	}()
	return l.Addr().String(), arrivals
}

// The process may stall for 0.15 s between any reading of its clock and the action based on it; the protocol
// allows 50 ms for sockets. Discovery may have sent the list's answer as long before the list reaches the
// exchange. No request may reach a draining host after its grace in spite of that.
func TestDrainGraceCoversStall(t *testing.T) {
	const stallTime, slack, grace = 150 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond
	stalls := stall.Start()
	t.Cleanup(stalls.Stop)
	for reading := range 10 {
		for _, before := range []time.Duration{5, 25, 60, 140, 200, 290} { // ms before the end of the grace
			t.Run(fmt.Sprintf("reading %d, %d ms before the end", reading, before), func(t *testing.T) {
				t.Parallel()
				address, arrivals := startRecordingHost(t)
				var armed atomic.Bool
				var readings atomic.Int64
				clock := exchange.NewClock()
				stalledClock := clock.WithReadHook(func() {
					if armed.Load() && readings.Add(1) == int64(reading)+1 {
						time.Sleep(stallTime)
					}
				})
				ctx, stop := context.WithCancel(context.Background())
				group, counts := &errgroup.Group{}, &counters.Set{}
				x, err := exchange.New(exchange.Config{Clock: clock, Log: zap.NewNop(), Counters: counts, Settings: balance.Settings{DrainGrace: grace,
					Classes: []balance.Class{{Name: "order", Need: balance.Write, Effect: balance.Unsafe, LatencyTarget: 400 * time.Millisecond, Deadline: time.Minute, LateWorth: 0.7}}}})
				if err != nil {
					t.Fatal(err)
				}
				b := New(ctx, group, Config{Clock: stalledClock, Log: zap.NewNop(), Counters: counts, MaxConns: 10, ConnectTimeout: time.Minute,
					IdleTimeout: time.Hour}, x)
				group.Go(func() error { return x.Run(ctx, b) })
				defer func() { stop(); _ = group.Wait() }()
				member := exchange.Member{Address: address, Member: balance.Member{Server: "s", Group: 1, Primary: true, Weight: 1}}
				x.Members(exchange.List{Agent: "a", At: clock.Now(), Snapshot: true, Hosts: []exchange.Member{member}})
				submit := func(id string, wait time.Duration) chan exchange.Answer {
					answer := make(chan exchange.Answer, 1)
					x.Submit(&exchange.Request{ID: id, Class: "order", Group: 1, Write: true, Arrived: clock.Now(), Wait: wait, Command: outcomes(nil), Answer: answer})
					return answer
				}
				<-submit("first", time.Minute)
				<-arrivals
				time.Sleep(DefaultMinRest + 10*time.Millisecond) // the connection may be used again
				member.State = balance.Draining
				notified := time.Now()
				time.Sleep(stallTime) // between receiving the list and passing it on
				x.Members(exchange.List{Agent: "a", At: clock.Now(), Hosts: []exchange.Member{member}})
				time.Sleep(time.Until(notified.Add(grace - before*time.Millisecond)))
				armed.Store(true)
				<-submit("second", 2*time.Second)
				select {
				case at := <-arrivals:
					if late := at.Sub(notified) - grace - slack; late > stalls.Recent() {
						t.Errorf("a request arrived %s after the grace (the machine stalled for %s)", late+slack, stalls.Recent())
					}
				default:
				}
			})
		}
	}
}

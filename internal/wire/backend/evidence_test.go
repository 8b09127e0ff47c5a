package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

const testTimeout = 10 * time.Second // upper limit for every wait, far longer than any takes

// learned is a statement that a backend reported apart from an outcome.
type learned struct {
	outcome  balance.RemoteOutcome
	statedAt balance.TimeBounds
}

// recorder records what a backend reports.
type recorder struct {
	outcomes chan exchange.Outcome
	learned  chan learned
}

func (r *recorder) Outcome(e exchange.Outcome) { r.outcomes <- e }
func (*recorder) Probed(balance.ProbeResult)   {}
func (r *recorder) Learned(h balance.RemoteOutcome, statedAt balance.TimeBounds, _ balance.Report) {
	r.learned <- learned{h, statedAt}
}

// fixture is a backend with one host, which answers each query as a script does.
type fixture struct {
	*recorder
	b       *Backend
	clock   exchange.Clock
	queries atomic.Int64
}

func newFixture(t *testing.T, script func(c net.Conn, n int64)) *fixture {
	t.Helper()
	r := &fixture{recorder: &recorder{make(chan exchange.Outcome, 10), make(chan learned, 10)}, clock: exchange.NewClock()}
	address := listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, _, err := pg.Read(in, 1000); err != nil {
				return
			}
			script(c, r.queries.Add(1)-1)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	r.b = New(ctx, group, Config{Clock: r.clock, Log: zap.NewNop(), Counters: &counters.Set{}, MaxConns: 4, ConnectTimeout: time.Minute,
		IdleTimeout: time.Minute}, r)
	r.b.Members([]exchange.Member{{Member: balance.Member{Server: "s"}, Address: address}})
	t.Cleanup(func() { stop(); _ = group.Wait() })
	return r
}

// listen starts a host that welcomes each connection and then runs serve on it.
func listen(t *testing.T, serve func(c net.Conn, in *bufio.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
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
				serve(c, in)
			}()
		}
	}()
	return l.Addr().String()
}

// serve starts a host with the given name that runs serve on each connection.
func (r *fixture) serve(t *testing.T, server string, serve func(c net.Conn, in *bufio.Reader)) {
	t.Helper()
	r.b.Members([]exchange.Member{{Member: balance.Member{Server: server}, Address: listen(t, serve)}})
}

func (r *fixture) send(id string, g balance.Grounds) {
	now := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: id, Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + testTimeout, Grounds: g})
}

func role(name string) []byte {
	return pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+name+"\x00"))
}

func row() []byte { return pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("v")}, "")) }

func wait[T any](t *testing.T, c chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("timeout while waiting for %s", what)
	}
	return x
}

// A host's statement that it is not primary is reported as soon as it is read, even if the rest of the answer
// fails. A statement that it is primary counts only in a complete answer.
func TestReplicaStatementCountsInBrokenAnswer(t *testing.T) {
	for name, end := range map[string]func(r *fixture, c net.Conn){
		"connection closed":          func(_ *fixture, c net.Conn) { c.Close() },
		"malformed rest":             func(_ *fixture, c net.Conn) { _, _ = c.Write([]byte("noise, noise")) },
		"attempt canceled":           func(r *fixture, _ net.Conn) { r.b.Cancel("a", 0) },
		"partial answer, then reset": func(_ *fixture, c net.Conn) { _, _ = c.Write(row()[:9]); _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		for _, roleName := range []string{"follower", "leader"} {
			t.Run(name+", "+roleName, func(t *testing.T) {
				release := make(chan struct{})
				var r *fixture
				r = newFixture(t, func(c net.Conn, _ int64) {
					_, _ = c.Write(role(roleName))
					<-release
					end(r, c)
				})
				r.send("a", balance.Grounds{})
				if roleName == "follower" {
					before := r.clock.Now()
					if got := wait(t, r.learned, "the statement"); got.outcome.Role != balance.Replica || got.statedAt.NotAfter < before-testTimeout || got.statedAt.NotAfter > r.clock.Now() {
						t.Errorf("reported %+v", got)
					}
				} else {
					time.Sleep(20 * time.Millisecond) // the statement has been read by then
				}
				close(release)
				if o := wait(t, r.outcomes, "the outcome"); o.Role == balance.Primary || o.Result == balance.OK {
					t.Errorf("ended with outcome %+v", o.Outcome)
				}
				if len(r.learned) > 0 {
					t.Errorf("unexpected report: %+v", <-r.learned)
				}
			})
		}
	}
}

// An attempt that needs the primary must not be sent once the host has stated, after the attempt was routed,
// that it is not primary.
func TestAttemptNotSentAfterLaterReplicaStatement(t *testing.T) {
	r := newFixture(t, func(c net.Conn, n int64) {
		roleName := "follower"
		if n == 1 {
			roleName = "leader"
		}
		_, _ = c.Write(append(role(roleName), row()...))
	})
	before := r.clock.Now()
	r.send("first", balance.Grounds{})
	first := wait(t, r.outcomes, "the first outcome")
	if first.Role != balance.Replica || first.StatedAt.NotAfter < before {
		t.Fatalf("the first attempt ended with %+v", first.Outcome)
	}
	after := r.clock.Now()
	for _, c := range []struct {
		name    string
		grounds balance.Grounds
		want    balance.Result
	}{
		{"older primary statement", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before}, balance.NotSent},
		{"presumed primary by the list", balance.Grounds{Kind: balance.PresumedPrimary}, balance.NotSent},
		{"newer primary statement", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: after}, balance.OK},
		{"by position", balance.Grounds{Kind: balance.ByPosition, Position: before}, balance.OK},
		{"no grounds needed", balance.Grounds{Kind: balance.NotNeeded}, balance.OK},
	} {
		asked := r.queries.Load()
		r.send(c.name, c.grounds)
		if o := wait(t, r.outcomes, c.name); o.Result != c.want {
			t.Errorf("%s: result %v, want %v", c.name, o.Result, c.want)
		}
		if sent := r.queries.Load() > asked; sent != (c.want == balance.OK) {
			t.Errorf("%s: query sent: %t", c.name, sent)
		}
	}
}

// A probe's report that a host is a replica prevents an attempt just as a statement in an answer does.
func TestReplicaReportPreventsAttempt(t *testing.T) {
	r := newFixture(t, func(c net.Conn, n int64) {
		if n == 0 {
			_, _ = c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("x0=1767225600.000,x1=0")}, "SHOW")))
			return
		}
		_, _ = c.Write(append(role("leader"), row()...))
	})
	before := r.clock.Now()
	r.b.Probe("s")
	if got := wait(t, r.learned, "the report"); got.outcome.Role != balance.Replica {
		t.Errorf("reported %+v", got)
	}
	r.send("a", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
	if o := wait(t, r.outcomes, "the outcome"); o.Result != balance.NotSent {
		t.Errorf("on an older primary statement: result %v, want NotSent", o.Result)
	}
}

// The report in an incomplete answer counts as the host's statement that it is not primary, unless a role
// comes with it.
func TestReplicaReportInBrokenAnswerPreventsAttempt(t *testing.T) {
	report := pg.Append(nil, pg.ParameterStatus, []byte("server_load\x00x0=1767225600.000,x1=0\x00"))
	for name, c := range map[string]struct {
		statements []byte
		want       balance.Result
	}{
		"alone":       {report, balance.NotSent},
		"with a role": {append(role("leader"), report...), balance.OK},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, func(conn net.Conn, n int64) {
				if n > 0 {
					_, _ = conn.Write(append(role("leader"), row()...))
					return
				}
				_, _ = conn.Write(c.statements)
				conn.Close()
			})
			before := r.clock.Now()
			r.send("first", balance.Grounds{})
			if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.Reset {
				t.Errorf("the first attempt: result %v, want Reset", o.Result)
			}
			r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
			if o := wait(t, r.outcomes, "the second outcome"); o.Result != c.want {
				t.Errorf("the second attempt: result %v, want %v", o.Result, c.want)
			}
		})
	}
}

// A large value is passed on while it is received. The statements of its host count once the value is
// complete.
func TestLargeValueStatementCountsOnceComplete(t *testing.T) {
	for _, complete := range []bool{true, false} {
		value := make([]byte, pg.SmallValue+1000)
		r := newFixture(t, func(c net.Conn, _ int64) {
			answer := append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: value}, ""))...)
			if !complete {
				answer = answer[:len(answer)-200]
			}
			_, _ = c.Write(answer)
			if !complete {
				c.Close()
			}
		})
		r.send("a", balance.Grounds{})
		o := wait(t, r.outcomes, "the outcome")
		if o.Role != balance.Unknown || o.Result != balance.OK {
			t.Fatalf("outcome at the value's first bytes: %+v", o.Outcome)
		}
		rest := o.Value.(pg.Value).Stream
		buffer := make([]byte, 4096)
		for err := error(nil); err == nil; {
			_, err = rest.Read(buffer)
		}
		rest.Close()
		if complete {
			if got := wait(t, r.learned, "the statement"); got.outcome.Role != balance.Primary {
				t.Errorf("reported %+v", got)
			}
			continue
		}
		time.Sleep(20 * time.Millisecond)
		if len(r.learned) > 0 {
			t.Errorf("report after an incomplete value: %+v", <-r.learned)
		}
	}
}

func TestLargeValueTooOldFailsAtEnd(t *testing.T) {
	for name, c := range map[string]struct {
		role string
		age  time.Duration
		want error
	}{
		"recent enough": {"follower", 500 * time.Millisecond, io.EOF},
		"too old":       {"follower", 2 * time.Second, pg.ErrTooOld},
		"of a primary":  {"leader", 2 * time.Second, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			var r *fixture
			r = newFixture(t, func(conn net.Conn, _ int64) {
				position := (r.clock.Now() - c.age).Milliseconds()
				answer := pg.AppendRow(nil, pg.Value{Data: make([]byte, pg.SmallValue+1000)}, "")
				answer = append(answer, role(c.role)...)
				answer = pg.Append(answer, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", position))
				_, _ = conn.Write(pg.AppendReady(answer))
			})
			now := r.clock.Now()
			r.clock.Inherit(now, fleetclock.Interval{})
			r.b.Send(exchange.Attempt{ID: "a", Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + testTimeout,
				Demand: balance.Demand{MaxAge: time.Second}})
			rest := wait(t, r.outcomes, "the outcome").Value.(pg.Value).Stream
			defer rest.Close()
			var err error
			for buffer := make([]byte, 4096); err == nil; {
				_, err = rest.Read(buffer)
			}
			if err != c.want {
				t.Errorf("the value ends with %v, want %v", err, c.want)
			}
		})
	}
}

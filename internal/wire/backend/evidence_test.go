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

const soon = 10 * time.Second // nothing here takes nearly as long

// told is what a backend told of a host beside an outcome.
type told struct {
	heard balance.RemoteOutcome
	made  balance.TimeBounds
}

// recorder keeps what a backend tells.
type recorder struct {
	outcomes chan exchange.Outcome
	told     chan told
}

func (r *recorder) Outcome(e exchange.Outcome) { r.outcomes <- e }
func (*recorder) Probed(balance.ProbeResult)   {}
func (r *recorder) Learned(h balance.RemoteOutcome, made balance.TimeBounds, _ balance.Report) {
	r.told <- told{h, made}
}

// rig is a backend before one host, which answers each query as a script says.
type rig struct {
	*recorder
	b       *Backend
	clock   exchange.Clock
	queries atomic.Int64
}

func newRig(t *testing.T, script func(c net.Conn, n int64)) *rig {
	t.Helper()
	r := &rig{recorder: &recorder{make(chan exchange.Outcome, 10), make(chan told, 10)}, clock: exchange.NewClock()}
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

// listen has a host that welcomes whoever connects, and then does what serve says.
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

// serve has a host of a name do so.
func (r *rig) serve(t *testing.T, server string, serve func(c net.Conn, in *bufio.Reader)) {
	t.Helper()
	r.b.Members([]exchange.Member{{Member: balance.Member{Server: server}, Address: listen(t, serve)}})
}

func (r *rig) send(id string, g balance.Grounds) {
	now := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: id, Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + soon, Grounds: g})
}

func role(name string) []byte {
	return pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+name+"\x00"))
}

func row() []byte { return pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("v")}, "")) }

func wait[T any](t *testing.T, c chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(soon):
		t.Fatalf("%s: nothing came", what)
	}
	return x
}

// A host's word that it follows is told as it is read, whatever becomes of the rest of the answer; one that it leads counts only with a
// whole answer.
func TestAFollowersWordCountsWhateverBecomesOfItsAnswer(t *testing.T) {
	for name, end := range map[string]func(r *rig, c net.Conn){
		"the connection breaks":      func(_ *rig, c net.Conn) { c.Close() },
		"the rest can't be read":     func(_ *rig, c net.Conn) { _, _ = c.Write([]byte("noise, noise")) },
		"the attempt is canceled":    func(r *rig, _ net.Conn) { r.b.Cancel("a", 0) },
		"half an answer, then reset": func(_ *rig, c net.Conn) { _, _ = c.Write(row()[:9]); _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		for _, word := range []string{"follower", "leader"} {
			t.Run(name+", "+word, func(t *testing.T) {
				release := make(chan struct{})
				var r *rig
				r = newRig(t, func(c net.Conn, _ int64) {
					_, _ = c.Write(role(word))
					<-release
					end(r, c)
				})
				r.send("a", balance.Grounds{})
				if word == "follower" {
					before := r.clock.Now()
					if got := wait(t, r.told, "the word"); got.heard.Role != balance.Replica || got.made.NotAfter < before-soon || got.made.NotAfter > r.clock.Now() {
						t.Errorf("told %+v", got)
					}
				} else {
					time.Sleep(20 * time.Millisecond) // the word has been read by then
				}
				close(release)
				if o := wait(t, r.outcomes, "the outcome"); o.Role == balance.Primary || o.Result == balance.OK {
					t.Errorf("ended with %+v", o.Outcome)
				}
				if len(r.told) > 0 {
					t.Errorf("told more: %+v", <-r.told)
				}
			})
		}
	}
}

// An attempt that needs the primary does not go out any more once the host has said, since it was decided on, that it is none.
func TestAnAttemptIsHeldAgainstALaterWord(t *testing.T) {
	r := newRig(t, func(c net.Conn, n int64) {
		word := "follower"
		if n == 1 {
			word = "leader"
		}
		_, _ = c.Write(append(role(word), row()...))
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
		{"on an older word that it leads", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before}, balance.NotSent},
		{"on the list's word", balance.Grounds{Kind: balance.PresumedPrimary}, balance.NotSent},
		{"on a newer word that it leads", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: after}, balance.OK},
		{"on its position", balance.Grounds{Kind: balance.ByPosition, Position: before}, balance.OK},
		{"a write", balance.Grounds{Kind: balance.NotNeeded}, balance.OK},
	} {
		asked := r.queries.Load()
		r.send(c.name, c.grounds)
		if o := wait(t, r.outcomes, c.name); o.Result != c.want {
			t.Errorf("%s: ended with %v, want %v", c.name, o.Result, c.want)
		}
		if sent := r.queries.Load() > asked; sent != (c.want == balance.OK) {
			t.Errorf("%s: sent %t", c.name, sent)
		}
	}
}

// A probe's report that a host follows holds an attempt back as a word in an answer does.
func TestAReportHoldsAnAttemptBack(t *testing.T) {
	r := newRig(t, func(c net.Conn, n int64) {
		if n == 0 {
			_, _ = c.Write(pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte("x0=1767225600.000,x1=0")}, "SHOW")))
			return
		}
		_, _ = c.Write(append(role("leader"), row()...))
	})
	before := r.clock.Now()
	r.b.Probe("s")
	if got := wait(t, r.told, "the report"); got.heard.Role != balance.Replica {
		t.Errorf("told %+v", got)
	}
	r.send("a", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
	if o := wait(t, r.outcomes, "the outcome"); o.Result != balance.NotSent {
		t.Errorf("on an older word that it leads it ends with %v", o.Result)
	}
}

// The report in an answer that breaks off counts as the host's word that it follows, unless a role stands beside it.
func TestAReportInABrokenAnswerHoldsAnAttemptBack(t *testing.T) {
	report := pg.Append(nil, pg.ParameterStatus, []byte("server_load\x00x0=1767225600.000,x1=0\x00"))
	for name, c := range map[string]struct {
		notes []byte
		want  balance.Result
	}{
		"alone":         {report, balance.NotSent},
		"beside a role": {append(role("leader"), report...), balance.OK},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(conn net.Conn, n int64) {
				if n > 0 {
					_, _ = conn.Write(append(role("leader"), row()...))
					return
				}
				_, _ = conn.Write(c.notes)
				conn.Close()
			})
			before := r.clock.Now()
			r.send("first", balance.Grounds{})
			if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.Reset {
				t.Errorf("the first attempt ended with %v", o.Result)
			}
			r.send("second", balance.Grounds{Kind: balance.PrimaryStatement, PrimaryNotBefore: before})
			if o := wait(t, r.outcomes, "the second outcome"); o.Result != c.want {
				t.Errorf("the second attempt ended with %v, want %v", o.Result, c.want)
			}
		})
	}
}

// A large value is passed on as it comes. What its host says of itself counts once the value is whole.
func TestALargeValuesHostIsBelievedOnceItIsWhole(t *testing.T) {
	for _, whole := range []bool{true, false} {
		value := make([]byte, pg.SmallValue+1000)
		r := newRig(t, func(c net.Conn, _ int64) {
			answer := append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: value}, ""))...)
			if !whole {
				answer = answer[:len(answer)-200]
			}
			_, _ = c.Write(answer)
			if !whole {
				c.Close()
			}
		})
		r.send("a", balance.Grounds{})
		o := wait(t, r.outcomes, "the outcome")
		if o.Role != balance.Unknown || o.Result != balance.OK {
			t.Fatalf("at its first bytes it ends with %+v", o.Outcome)
		}
		rest := o.Value.(pg.Value).Stream
		buffer := make([]byte, 4096)
		for err := error(nil); err == nil; {
			_, err = rest.Read(buffer)
		}
		rest.Close()
		if whole {
			if got := wait(t, r.told, "the word"); got.heard.Role != balance.Primary {
				t.Errorf("told %+v", got)
			}
			continue
		}
		time.Sleep(20 * time.Millisecond)
		if len(r.told) > 0 {
			t.Errorf("half a value tells %+v", <-r.told)
		}
	}
}

func TestALargeValueThatIsTooOldIsToldSoAtItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		role string
		age  time.Duration
		want error
	}{
		"inside the bound": {"follower", 500 * time.Millisecond, io.EOF},
		"too old":          {"follower", 2 * time.Second, pg.ErrTooOld},
		"of a primary":     {"leader", 2 * time.Second, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			var r *rig
			r = newRig(t, func(conn net.Conn, _ int64) {
				position := (r.clock.Now() - c.age).Milliseconds()
				answer := pg.AppendRow(nil, pg.Value{Data: make([]byte, pg.SmallValue+1000)}, "")
				answer = append(answer, role(c.role)...)
				answer = pg.Append(answer, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", position))
				_, _ = conn.Write(pg.AppendReady(answer))
			})
			now := r.clock.Now()
			r.clock.Inherit(now, fleetclock.Interval{})
			r.b.Send(exchange.Attempt{ID: "a", Server: "s", Command: outcomes(nil), Sent: now, Deadline: now + soon,
				Demand: balance.Demand{MaxAge: time.Second}})
			rest := wait(t, r.outcomes, "the outcome").Value.(pg.Value).Stream
			defer rest.Close()
			var err error
			for buffer := make([]byte, 4096); err == nil; {
				_, err = rest.Read(buffer)
			}
			if err != c.want {
				t.Errorf("it ends with %v, want %v", err, c.want)
			}
		})
	}
}

package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// rig drives a Controller with a clock under the test's control.
type rig struct {
	*Controller
	now time.Duration
	n   ID
}

func newRig(l Limits) *rig { return &rig{Controller: New(l), now: time.Second} }

func (g *rig) arrive(from string) (ID, Decision) {
	g.n++
	return g.n, g.Arrive(g.now, g.n, from)
}

// request simulates a request and its answer on a connection.
func (g *rig) request(id ID) {
	g.RequestStarted(g.now, id)
	g.RequestsDone(g.now, id)
}

func smallLimits() Limits {
	l := DefaultLimits(4)
	l.MaxClosing = 2
	return l
}

func TestEvictionOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(g *rig) (victim ID)
		reason Reason
	}{
		{"a silent connection before an idle one", func(g *rig) ID {
			a, _ := g.arrive("x")
			g.request(a)
			g.now += 5 * time.Second
			b, _ := g.arrive("x")
			g.now += 150 * ms
			g.arrive("x")
			g.arrive("x")
			return b
		}, SilentEvicted},
		{"the silent connection of the source with most connections", func(g *rig) ID {
			g.arrive("small")
			g.now += 50 * ms
			b, _ := g.arrive("large")
			g.arrive("large")
			g.arrive("large")
			g.now += 150 * ms
			return b
		}, SilentEvicted},
		{"a connection with one request before one with more", func(g *rig) ID {
			var ids []ID
			for range 4 {
				id, _ := g.arrive("x")
				g.request(id)
				ids = append(ids, id)
			}
			g.request(ids[0])
			g.now += 3 * time.Second
			return ids[1]
		}, IdleEvicted},
		{"the idle connection that is less likely to send a request soon", func(g *rig) ID {
			g.arrive("y")
			g.arrive("y")
			var ids []ID
			for _, from := range []string{"often", "seldom"} {
				g.arrive(from) // a source gets its own histogram with its second connection
				g.ConnClosed(g.now, g.n)
				id, _ := g.arrive(from)
				ids = append(ids, id)
			}
			for i := range 60 {
				g.request(ids[0])
				if i%2 == 0 {
					g.request(ids[1])
				}
				g.now += 2200 * ms
			}
			for id := range g.conns {
				if id <= 2 {
					g.RequestStarted(g.now, id)
				}
			}
			g.request(ids[0])
			g.request(ids[1])
			g.now += 2100 * ms // one source sends a request every 2.2 s, the other every 4.4 s
			return ids[1]
		}, IdleEvicted},
	} {
		g := newRig(smallLimits())
		want := c.do(g)
		if _, v := g.arrive("new"); !v.Accepted || len(v.Close) != 1 || v.Close[0] != (CloseRequest{want, c.reason}) {
			t.Errorf("%s: %+v, want %d", c.name, v, want)
		}
	}
}

func TestBusyConnectionsAreNotEvicted(t *testing.T) {
	g := newRig(smallLimits())
	for range 4 {
		id, _ := g.arrive("x")
		g.RequestStarted(g.now, id)
	}
	g.now += time.Hour
	for i := range 5 {
		_, v := g.arrive("y")
		if v.Accepted || len(v.Close) > 0 || v.Registered != (i < 2) || v.RetryAfter < 200*ms || v.RetryAfter > 300*ms {
			t.Errorf("new connection %d: decision %+v", i, v)
		}
	}
	if g.CountByReason[LimitReached] != 2 || g.CountByReason[ClosingLimitReached] != 3 {
		t.Errorf("closed and refused by reason: %v", g.CountByReason)
	}
}

func TestPressureShortensIdleTimeout(t *testing.T) {
	l := DefaultLimits(100)
	l.KeepIdle = 10
	g := newRig(l)
	for range 50 {
		id, _ := g.arrive("x")
		g.request(id)
	}
	g.now += time.Second
	if closed := g.Tick(g.now, 100); len(closed) != 0 || g.Pressure() != 0 {
		t.Errorf("half of the limit used, idle for 1 s: %d closed, pressure %v", len(closed), g.Pressure())
	}
	g.now += time.Second
	if closed := g.Tick(g.now, 100); len(closed) != 40 || closed[0].Reason != IdleTimedOut {
		t.Errorf("half of the limit used, idle for 2 s: %d closed", len(closed))
	}
	for range 70 {
		id, _ := g.arrive("x")
		g.request(id)
	}
	g.now += 260 * ms
	if g.Pressure() != 1 {
		t.Errorf("pressure %v with %d connections", g.Pressure(), g.open())
	}
	closed := g.Tick(g.now, 100)
	if len(closed) == 0 || closed[0].Reason != IdleTimedOutUnderPressure {
		t.Errorf("near the connection limit: closed %+v", closed)
	}
	// The pressure ends only when the number of connections has fallen to LowWatermark.
	if g.open() >= 65 {
		t.Errorf("%d connections remain", g.open())
	}
	if g.Pressure() != 0 {
		t.Errorf("pressure %v with %d connections", g.Pressure(), g.open())
	}
}

func TestConnectionsWithRequestsCausePressure(t *testing.T) {
	l := DefaultLimits(1000)
	l.MaxWithRequests, l.KeepIdle = 40, 5
	g := newRig(l)
	for range 36 {
		id, _ := g.arrive("x")
		g.request(id)
	}
	g.now += 300 * ms
	if closed := g.Tick(g.now, 100); len(closed) == 0 || g.CountByReason[IdleTimedOutUnderPressure] == 0 {
		t.Errorf("no connection closed with 36 of 40 connections that have sent a request")
	}
}

func TestLimitsLoweredBelowOpenConnections(t *testing.T) {
	g := newRig(DefaultLimits(50))
	var ids []ID
	for range 50 {
		id, _ := g.arrive("x")
		g.RequestStarted(g.now, id)
		ids = append(ids, id)
	}
	g.SetLimits(smallLimits())
	if _, v := g.arrive("x"); v.Accepted || v.Registered {
		t.Errorf("new connection above the limit: decision %+v", v)
	}
	for _, id := range ids[:47] {
		g.ConnClosed(g.now, id)
	}
	if _, v := g.arrive("x"); !v.Accepted {
		t.Errorf("new connection after others have closed: decision %+v", v)
	}
}

// TestPropertyController calls a Controller in random order. The number of connections never exceeds the limit,
// no connection with an open request is closed, each connection is closed once, and the counts are consistent.
func TestPropertyController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits(rapid.IntRange(1, 10).Draw(t, "places"))
		l.MaxClosing, l.KeepIdle, l.MaxWithRequests = rapid.IntRange(0, 4).Draw(t, "overflow"), rapid.IntRange(0, 5).Draw(t, "keep"), rapid.IntRange(0, 8).Draw(t, "share")
		g := newRig(l)
		state := map[ID]State{}
		ended := func(ends []CloseRequest) {
			for _, e := range ends {
				if s, ok := state[e.ID]; !ok || s == Busy || s == Closing {
					t.Fatalf("connection %d closed in state %v", e.ID, s)
				}
				state[e.ID] = Closing
			}
		}
		pick := func(t *rapid.T) ID { return ID(rapid.IntRange(1, int(g.n)+1).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id, v := g.arrive(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from"))
				ended(v.Close)
				switch {
				case v.Accepted:
					state[id] = Silent
				case v.Registered:
					state[id] = Closing
				}
			},
			"request starts": func(t *rapid.T) {
				id := pick(t)
				g.RequestStarted(g.now, id)
				if s, ok := state[id]; ok && s != Closing {
					state[id] = Busy
				}
			},
			"requests done": func(t *rapid.T) {
				id := pick(t)
				g.RequestsDone(g.now, id)
				if state[id] == Busy {
					state[id] = Idle
				}
			},
			"start closing": func(t *rapid.T) {
				id := pick(t)
				if g.StartClosing(g.now, id) {
					state[id] = Closing
				}
			},
			"closed": func(t *rapid.T) {
				id := pick(t)
				g.ConnClosed(g.now, id)
				delete(state, id)
			},
			"tick": func(t *rapid.T) { ended(g.Tick(g.now, rapid.IntRange(0, 5).Draw(t, "most"))) },
			"time": func(t *rapid.T) { g.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms },
			"": func(t *rapid.T) {
				counts, per := map[State]int{}, map[string]int{}
				for id, s := range state {
					counts[s]++
					if s != Closing {
						per[g.conns[id].source.name]++
					}
				}
				for s, n := range g.Counts() {
					if counts[s] != n {
						t.Fatalf("%d connections are %v, the counter is %d", counts[s], s, n)
					}
				}
				if g.open() > l.MaxConns || len(g.conns) > l.MaxConns+l.MaxClosing+l.MaxConns {
					t.Fatalf("%d connections are served, %d exist", g.open(), len(g.conns))
				}
				for name, n := range per {
					if g.sources[name].open != n {
						t.Fatalf("source %s has %d connections, the counter is %d", name, n, g.sources[name].open)
					}
				}
			},
		})
	})
}

func TestMemoryOfManySourcesIsBounded(t *testing.T) {
	g := newRig(DefaultLimits(100))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 200_000 {
		id, v := g.arrive(fmt.Sprint("10.0.", i))
		if v.Accepted {
			g.request(id)
		}
		g.now += ms
		g.ConnClosed(g.now, id)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("the heap grew by %d bytes after 200,000 sources", grown)
	}
}

// manyConns returns a rig with 100,000 connections of 1,000 sources, most of them idle.
func manyConns() *rig {
	g := newRig(DefaultLimits(100_000))
	for i := range 100_000 {
		id, _ := g.arrive(fmt.Sprint("source-", i%1000))
		if i%10 > 0 {
			g.request(id)
		}
		if i%3 == 0 {
			g.request(id)
		}
		g.now += 10 * time.Microsecond
	}
	return g
}

func BenchmarkArrive(b *testing.B) {
	g := manyConns()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.now += time.Millisecond
		_, v := g.arrive("source-7")
		for _, e := range v.Close {
			g.ConnClosed(g.now, e.ID)
		}
	}
}

func BenchmarkIdleEnd(b *testing.B) {
	g := manyConns()
	b.ReportAllocs()
	for b.Loop() {
		g.now += 10 * time.Millisecond
		for _, e := range g.Tick(g.now, 1) {
			g.ConnClosed(g.now, e.ID)
			b.StopTimer()
			id, _ := g.arrive("source-7")
			g.request(id)
			b.StartTimer()
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	g := manyConns()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.now += time.Microsecond
		g.request(ID(i%100_000 + 1))
	}
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := manyConns()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100_000, "B/connection")
	runtime.KeepAlive(g)
}

package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// rig drives a Door with a clock under the test's control.
type rig struct {
	*Door
	now time.Duration
	n   ID
}

func newRig(l Limits) *rig { return &rig{Door: New(l), now: time.Second} }

func (g *rig) come(from string) (ID, Verdict) {
	g.n++
	return g.n, g.Arrive(g.now, g.n, from)
}

// asks simulates a request and its answer on a connection.
func (g *rig) asks(id ID) {
	g.Begins(g.now, id)
	g.Rests(g.now, id)
}

func small() Limits {
	l := DefaultLimits(4)
	l.Overflow = 2
	return l
}

func TestEvictionOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(g *rig) (gives ID)
		why  Reason
	}{
		{"a silent connection before an idle one", func(g *rig) ID {
			a, _ := g.come("x")
			g.asks(a)
			g.now += 5 * time.Second
			b, _ := g.come("x")
			g.now += 150 * ms
			g.come("x")
			g.come("x")
			return b
		}, SilentGaveWay},
		{"the silent connection of the source with most connections", func(g *rig) ID {
			g.come("small")
			g.now += 50 * ms
			b, _ := g.come("large")
			g.come("large")
			g.come("large")
			g.now += 150 * ms
			return b
		}, SilentGaveWay},
		{"a connection with one request before one with more", func(g *rig) ID {
			var ids []ID
			for range 4 {
				id, _ := g.come("x")
				g.asks(id)
				ids = append(ids, id)
			}
			g.asks(ids[0])
			g.now += 3 * time.Second
			return ids[1]
		}, IdleGaveWay},
		{"the idle connection that is less likely to send a request soon", func(g *rig) ID {
			g.come("y")
			g.come("y")
			var ids []ID
			for _, from := range []string{"often", "seldom"} {
				g.come(from) // a source gets its own histogram with its second connection
				g.Gone(g.now, g.n)
				id, _ := g.come(from)
				ids = append(ids, id)
			}
			for i := range 60 {
				g.asks(ids[0])
				if i%2 == 0 {
					g.asks(ids[1])
				}
				g.now += 2200 * ms
			}
			for id := range g.conns {
				if id <= 2 {
					g.Begins(g.now, id)
				}
			}
			g.asks(ids[0])
			g.asks(ids[1])
			g.now += 2100 * ms // one source sends a request every 2.2 s, the other every 4.4 s
			return ids[1]
		}, IdleGaveWay},
	} {
		g := newRig(small())
		want := c.do(g)
		if _, v := g.come("new"); !v.Taken || len(v.Ends) != 1 || v.Ends[0] != (End{want, c.why}) {
			t.Errorf("%s: %+v, want %d", c.name, v, want)
		}
	}
}

func TestBusyConnectionsAreNotEvicted(t *testing.T) {
	g := newRig(small())
	for range 4 {
		id, _ := g.come("x")
		g.Begins(g.now, id)
	}
	g.now += time.Hour
	for i := range 5 {
		_, v := g.come("y")
		if v.Taken || len(v.Ends) > 0 || v.Held != (i < 2) || v.After < 200*ms || v.After > 300*ms {
			t.Errorf("new connection %d: verdict %+v", i, v)
		}
	}
	if g.Ended[NoPlace] != 2 || g.Ended[NoRoom] != 3 {
		t.Errorf("closed and refused by reason: %v", g.Ended)
	}
}

func TestPressureShortensIdleTimeout(t *testing.T) {
	l := DefaultLimits(100)
	l.KeepIdle = 10
	g := newRig(l)
	for range 50 {
		id, _ := g.come("x")
		g.asks(id)
	}
	g.now += time.Second
	if ends := g.Tick(g.now, 100); len(ends) != 0 || g.Pressure() != 0 {
		t.Errorf("half of the places used, idle for 1 s: %d closed, pressure %v", len(ends), g.Pressure())
	}
	g.now += time.Second
	if ends := g.Tick(g.now, 100); len(ends) != 40 || ends[0].Reason != IdleTooLong {
		t.Errorf("half of the places used, idle for 2 s: %d closed", len(ends))
	}
	for range 70 {
		id, _ := g.come("x")
		g.asks(id)
	}
	g.now += 260 * ms
	if g.Pressure() != 1 {
		t.Errorf("pressure %v with %d connections", g.Pressure(), g.held())
	}
	ends := g.Tick(g.now, 100)
	if len(ends) == 0 || ends[0].Reason != IdleUnderStress {
		t.Errorf("near the connection limit: closed %+v", ends)
	}
	// The pressure ends only when the number of connections has fallen to Low.
	if g.held() >= 65 {
		t.Errorf("%d connections remain", g.held())
	}
	if g.Pressure() != 0 {
		t.Errorf("pressure %v with %d connections", g.Pressure(), g.held())
	}
}

func TestConnectionsWithRequestsCausePressure(t *testing.T) {
	l := DefaultLimits(1000)
	l.Share, l.KeepIdle = 40, 5
	g := newRig(l)
	for range 36 {
		id, _ := g.come("x")
		g.asks(id)
	}
	g.now += 300 * ms
	if ends := g.Tick(g.now, 100); len(ends) == 0 || g.Ended[IdleUnderStress] == 0 {
		t.Errorf("no connection closed with 36 of 40 connections that have sent a request")
	}
}

func TestLimitsLoweredBelowOpenConnections(t *testing.T) {
	g := newRig(DefaultLimits(50))
	var ids []ID
	for range 50 {
		id, _ := g.come("x")
		g.Begins(g.now, id)
		ids = append(ids, id)
	}
	g.SetLimits(small())
	if _, v := g.come("x"); v.Taken || v.Held {
		t.Errorf("new connection above the limit: verdict %+v", v)
	}
	for _, id := range ids[:47] {
		g.Gone(g.now, id)
	}
	if _, v := g.come("x"); !v.Taken {
		t.Errorf("new connection after others have closed: verdict %+v", v)
	}
}

// TestPropertyDoor calls a Door in random order. The number of connections never exceeds the limit, no connection with an open
// request is closed, each connection is closed once, and the counts are consistent.
func TestPropertyDoor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits(rapid.IntRange(1, 10).Draw(t, "places"))
		l.Overflow, l.KeepIdle, l.Share = rapid.IntRange(0, 4).Draw(t, "overflow"), rapid.IntRange(0, 5).Draw(t, "keep"), rapid.IntRange(0, 8).Draw(t, "share")
		g := newRig(l)
		state := map[ID]State{}
		ended := func(ends []End) {
			for _, e := range ends {
				if s, ok := state[e.ID]; !ok || s == AtWork || s == Leaving {
					t.Fatalf("connection %d closed in state %v", e.ID, s)
				}
				state[e.ID] = Leaving
			}
		}
		pick := func(t *rapid.T) ID { return ID(rapid.IntRange(1, int(g.n)+1).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id, v := g.come(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from"))
				ended(v.Ends)
				switch {
				case v.Taken:
					state[id] = Newcomer
				case v.Held:
					state[id] = Leaving
				}
			},
			"request starts": func(t *rapid.T) {
				id := pick(t)
				g.Begins(g.now, id)
				if s, ok := state[id]; ok && s != Leaving {
					state[id] = AtWork
				}
			},
			"requests done": func(t *rapid.T) {
				id := pick(t)
				g.Rests(g.now, id)
				if state[id] == AtWork {
					state[id] = Idle
				}
			},
			"start closing": func(t *rapid.T) {
				id := pick(t)
				if g.Leaves(g.now, id) {
					state[id] = Leaving
				}
			},
			"closed": func(t *rapid.T) {
				id := pick(t)
				g.Gone(g.now, id)
				delete(state, id)
			},
			"tick": func(t *rapid.T) { ended(g.Tick(g.now, rapid.IntRange(0, 5).Draw(t, "most"))) },
			"time": func(t *rapid.T) { g.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms },
			"": func(t *rapid.T) {
				counts, per := map[State]int{}, map[string]int{}
				for id, s := range state {
					counts[s]++
					if s != Leaving {
						per[g.conns[id].from.name]++
					}
				}
				for s, n := range g.Counts() {
					if counts[s] != n {
						t.Fatalf("%d connections are %v, the counter is %d", counts[s], s, n)
					}
				}
				if g.held() > l.Places || len(g.conns) > l.Places+l.Overflow+l.Places {
					t.Fatalf("%d connections are served, %d exist", g.held(), len(g.conns))
				}
				for name, n := range per {
					if g.sources[name].held != n {
						t.Fatalf("source %s has %d connections, the counter is %d", name, n, g.sources[name].held)
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
		id, v := g.come(fmt.Sprint("10.0.", i))
		if v.Taken {
			g.asks(id)
		}
		g.now += ms
		g.Gone(g.now, id)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("the heap grew by %d bytes after 200,000 sources", grown)
	}
}

// many returns a rig with 100,000 connections of 1,000 sources, most of them idle.
func many() *rig {
	g := newRig(DefaultLimits(100_000))
	for i := range 100_000 {
		id, _ := g.come(fmt.Sprint("source-", i%1000))
		if i%10 > 0 {
			g.asks(id)
		}
		if i%3 == 0 {
			g.asks(id)
		}
		g.now += 10 * time.Microsecond
	}
	return g
}

func BenchmarkArrive(b *testing.B) {
	g := many()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.now += time.Millisecond
		_, v := g.come("source-7")
		for _, e := range v.Ends {
			g.Gone(g.now, e.ID)
		}
	}
}

func BenchmarkIdleEnd(b *testing.B) {
	g := many()
	b.ReportAllocs()
	for b.Loop() {
		g.now += 10 * time.Millisecond
		for _, e := range g.Tick(g.now, 1) {
			g.Gone(g.now, e.ID)
			b.StopTimer()
			id, _ := g.come("source-7")
			g.asks(id)
			b.StartTimer()
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	g := many()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.now += time.Microsecond
		g.asks(ID(i%100_000 + 1))
	}
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := many()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100_000, "B/connection")
	runtime.KeepAlive(g)
}

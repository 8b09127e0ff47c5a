package pooling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPoolLimits(t *testing.T) {
	alive := func(int) bool { return true }
	const second = time.Second
	p := NewPools(Limits{Total: 4, PerHost: 3, MinPerHost: 1, Idle: 10 * second}, 1)
	next := 0
	open := func(now time.Duration, host string) (Choice, int) {
		c, id, _ := p.Take(now, host, alive)
		if c == Open {
			next++
			p.Opened(now, host, next)
			return c, next
		}
		return c, id
	}
	for i, want := range []Choice{Open, Open, Open, LimitReached} {
		if c, _ := open(second, "a"); c != want {
			t.Errorf("connection %d of a: unexpected choice %v", i, c)
		}
	}
	open(second, "b")
	if c, _ := open(second, "b"); c != LimitReached {
		t.Errorf("at the total: choice %v, want LimitReached", c)
	}
	if !p.Put(2*second, "a", 1, true) {
		t.Error("clean connection is not kept")
	}
	if c, id := open(2*second, "a"); c != Reuse || id != 1 {
		t.Errorf("choice %v of connection %d, want reuse of 1", c, id)
	}
	p.Put(2*second, "a", 1, true)
	if c, evicted, _ := p.Take(2*second, "c", alive); c != Open || evicted != 1 {
		t.Errorf("host without connections: choice %v, evicted %d, want a new connection in place of 1", c, evicted)
	}
	p.OpenFailed("c")
	if p.Put(3*second, "a", 2, false) {
		t.Error("unclean connection is kept")
	}
	p.Put(3*second, "a", 3, true)
	if got := p.Tick(14 * second); !slices.Equal(got, []int{3}) || p.Total() != 1 {
		t.Errorf("idle for too long: closed %v, %d left; want 3 closed, 1 left", got, p.Total())
	}
	p.SetClosed("b", true)
	if p.Put(15*second, "b", 4, true) || p.Total() != 0 {
		t.Error("draining host keeps a connection")
	}
	if c, _ := open(15*second, "b"); c != LimitReached {
		t.Errorf("draining host: choice %v, want LimitReached", c)
	}
}

func TestOpeningIsRateLimited(t *testing.T) {
	p := NewPools(Limits{Total: 1000, OpenRate: 10, Opening: 5}, 1)
	opened := 0
	for ms := range 2000 {
		now := time.Duration(ms+1) * time.Millisecond
		if c, _, _ := p.Take(now, "new primary", nil); c == Open {
			opened++
			p.Opened(now, "new primary", opened)
		}
	}
	if opened < 25 || opened > 31 {
		t.Errorf("%d connections opened in 2 s at 10 per second with a burst of 10", opened)
	}
	p = NewPools(Limits{Total: 1000, Opening: 5}, 1)
	for range 10 {
		p.Take(time.Second, "a", nil)
	}
	if s := p.Stats()["a"]; s.Opening != 5 {
		t.Errorf("%d connections are being opened, want 5", s.Opening)
	}
}

func TestPoolsShrinkGraduallyAndVaryAges(t *testing.T) {
	p := NewPools(Limits{Total: 100, PeakHalfLife: time.Minute, Age: time.Hour}, 1)
	ends := map[time.Duration]bool{}
	for id := 1; id <= 40; id++ {
		p.Take(time.Second, "a", nil)
		p.Opened(time.Second, "a", id)
		ends[p.hosts["a"].expirations[id].Round(time.Minute)] = true
	}
	if len(ends) < 15 {
		t.Errorf("maximum ages of 40 connections fall into %d different minutes, want at least 15", len(ends))
	}
	for id := 1; id <= 40; id++ {
		p.Put(2*time.Second, "a", id, true)
	}
	if got := len(p.Tick(10 * time.Second)); got != 0 {
		t.Errorf("%d connections closed immediately, want 0", got)
	}
	closed := 0
	for s := 10; s < 180; s++ {
		closed += len(p.Tick(time.Duration(s) * time.Second))
	}
	if closed < 20 || closed > 38 {
		t.Errorf("%d of 40 connections closed in three minutes without use, want 20 to 38", closed)
	}
}

func TestPropertyPoolsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Total: rapid.IntRange(1, 12).Draw(t, "total"), PerHost: rapid.IntRange(0, 6).Draw(t, "host"),
			MinPerHost: rapid.IntRange(0, 2).Draw(t, "least"), Idle: 5 * time.Second, MinRest: 30 * time.Millisecond,
			Age: time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second, PeakHalfLife: time.Second}
		p := NewPools(l, 7)
		now, next := time.Second, 0
		type held struct {
			host string
			id   int
		}
		var used []held
		idle := map[int]string{}
		opening := map[string]int{}
		host := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host") }
		closeAll := func(ids []int) {
			for _, id := range ids {
				if idle[id] == "" {
					t.Fatalf("connection %d is closed but was not idle", id)
				}
				delete(idle, id)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				h := host(t)
				c, id, dead := p.Take(now, h, func(int) bool { return rapid.IntRange(0, 5).Draw(t, "alive") > 0 })
				closeAll(dead)
				switch c {
				case Reuse:
					if idle[id] != h {
						t.Fatalf("connection %d to %q is reused for %s", id, idle[id], h)
					}
					delete(idle, id)
					used = append(used, held{h, id})
				case Open:
					if id > 0 {
						closeAll([]int{id})
					}
					opening[h]++
				}
			},
			"opened": func(t *rapid.T) {
				h := host(t)
				if opening[h] == 0 {
					return
				}
				opening[h]--
				if rapid.Bool().Draw(t, "success") {
					next++
					p.Opened(now, h, next)
					used = append(used, held{h, next})
				} else {
					p.OpenFailed(h)
				}
			},
			"put": func(t *rapid.T) {
				if len(used) == 0 {
					return
				}
				i := rapid.IntRange(0, len(used)-1).Draw(t, "which")
				u := used[i]
				used = slices.Delete(used, i, i+1)
				if p.Put(now, u.host, u.id, rapid.Bool().Draw(t, "clean")) {
					idle[u.id] = u.host
				}
			},
			"tick":   func(*rapid.T) { closeAll(p.Tick(now)) },
			"time":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"drain":  func(t *rapid.T) { closeAll(p.SetClosed(host(t), rapid.Bool().Draw(t, "closed"))) },
			"forget": func(t *rapid.T) { closeAll(p.RemoveHost(host(t))); p.SetClosed("a", false) },
			"": func(t *rapid.T) {
				total := len(used) + len(idle) + opening["a"] + opening["b"] + opening["c"]
				if p.Total() != total || total > l.Total {
					t.Fatalf("total %d, want %d; limit %d", p.Total(), total, l.Total)
				}
				for h, s := range p.Stats() {
					if l.PerHost > 0 && s.Open > l.PerHost || s.Idle+s.Used+s.Opening != s.Open {
						t.Fatalf("host %s exceeds its limit or has inconsistent counts: %+v", h, s)
					}
				}
			},
		})
	})
}

func BenchmarkTake(b *testing.B) {
	p := NewPools(Limits{Total: 400, PerHost: 20, Idle: time.Minute, PeakHalfLife: time.Minute}, 1)
	alive := func(int) bool { return true }
	now, id := time.Second, 0
	for h := range 20 {
		for range 20 {
			p.Take(now, fmt.Sprint("s-", h), alive)
			id++
			p.Opened(now, fmt.Sprint("s-", h), id)
			defer p.Put(now, fmt.Sprint("s-", h), id, true)
		}
	}
	p.Put(now, "s-3", 61, true)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		c, id, _ := p.Take(now, "s-3", alive)
		if c != Reuse {
			b.Fatal(c)
		}
		p.Put(now, "s-3", id, true)
	}
}

package cells

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"yokemast/balance"
)

// largeState returns a state with 100,000 tenants, 1,000 of them with a prefix, in 64 cells, and 20 hosts.
func largeState(b *testing.B) (*State, Config, []balance.Member) {
	c := DefaultConfig()
	c.Claims, c.Size, c.Overlap = true, 4, 2
	for i := range 64 {
		c.Cells = append(c.Cells, Cell{Name: fmt.Sprint("cell-", i), Weight: 1})
	}
	for i := range 100_000 {
		t := Tenant{Name: fmt.Sprint("tenant-", i)}
		if i%100 == 0 {
			t.Prefixes = []string{fmt.Sprintf("t%d/", i)}
		}
		c.Tenants = append(c.Tenants, t)
	}
	s, err := New(c)
	if err != nil {
		b.Fatal(err)
	}
	var list []balance.Member
	for i := range 20 {
		m := hostMember(fmt.Sprint("s-", i), 1)
		m.Primary = i == 0
		list = append(list, m)
	}
	s.UpdateMembers(0, true, list)
	s.ObserveMembers(0, seenHosts(list, nil))
	return s, c, list
}

func BenchmarkAdmit(b *testing.B) {
	s, c, _ := largeState(b)
	for name, ask := range map[string]func(i int) Request{
		"claim":  func(i int) Request { return Request{Claim: c.Tenants[i%len(c.Tenants)].Name, Key: "k", Group: 1} },
		"prefix": func(i int) Request { return Request{Key: c.Tenants[i%1000*100].Prefixes[0], Group: 1} },
		"hash":   func(i int) Request { return Request{Key: c.Tenants[i%len(c.Tenants)].Name, Group: 1} },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += time.Microsecond
				v := s.Admit(now, ask(i))
				if v.Kind != Admitted {
					b.Fatal(v)
				}
				s.Done(now, v.Ticket)
			}
		})
	}
}

// BenchmarkFind measures the search for a request's tenant, cell and hosts. It cycles through all tenants or
// through 1,000 active ones; the former includes the cost of cache misses.
func BenchmarkFind(b *testing.B) {
	s, c, _ := largeState(b)
	for name, claim := range map[string]func(i int) (claim, key string){
		"claim of 100,000 in turn":  func(i int) (string, string) { return c.Tenants[i%len(c.Tenants)].Name, "" },
		"claim of 1,000 at work":    func(i int) (string, string) { return c.Tenants[i%1000*100].Name, "" },
		"longest of 1,000 prefixes": func(i int) (string, string) { return "", c.Tenants[i%1000*100].Prefixes[0] },
		"hash of a key":             func(i int) (string, string) { return "", c.Tenants[i%len(c.Tenants)].Name },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			hosts := 0
			for i := 0; b.Loop(); i++ {
				t, err := s.dir.find("", first(claim(i)), second(claim(i)))
				if err != nil {
					b.Fatal(err)
				}
				hosts += len(t.cell.readHosts)
			}
			if hosts == 0 {
				b.Fatal("no hosts")
			}
		})
	}
}

func first(a, _ string) string  { return a }
func second(_, b string) string { return b }

func BenchmarkNewList(b *testing.B) {
	s, _, list := largeState(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		list[1].Weight = float64(1 + i%2)
		s.UpdateMembers(0, true, list)
	}
}

func BenchmarkLook(b *testing.B) {
	s, _, list := largeState(b)
	all := seenHosts(list, nil)
	b.ReportAllocs()
	for b.Loop() {
		s.ObserveMembers(0, all)
	}
}

func BenchmarkIdleTenant(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, c, _ := largeState(b)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
	}
	// This includes the tenant's entry in the configuration, which the directory refers to.
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(c.Tenants)), "B/tenant")
	runtime.KeepAlive(s)
}

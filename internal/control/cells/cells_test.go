package cells

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/balance"
)

const (
	ms        = time.Millisecond
	startTime = 1000 * time.Second
)

func hostMember(server string, group int) balance.Member {
	return balance.Member{Server: server, Group: group, Weight: 1}
}

// twoGroups returns a primary and four replicas in each of groups 1 and 2.
func twoGroups() (list []balance.Member) {
	for g := 1; g <= 2; g++ {
		for i := range 5 {
			m := hostMember(fmt.Sprintf("g%d-%d", g, i), g)
			m.Primary = i == 0
			list = append(list, m)
		}
	}
	return list
}

func seenHosts(list []balance.Member, change func(*balance.MemberView)) (out []balance.MemberView) {
	for _, m := range list {
		x := balance.MemberView{Server: m.Server, Group: m.Group, Limit: 8, WarmUpWeight: 1, Usable: true, Primary: m.Primary, Known: true}
		if change != nil {
			change(&x)
		}
		out = append(out, x)
	}
	return out
}

func config() Config {
	c := DefaultConfig()
	c.Claims = true
	c.Cells = []Cell{{Name: "coast", Weight: 1}, {Name: "hills", Weight: 1}, {Name: "city", Weight: 2}}
	c.Tenants = []Tenant{{Name: "apollo", Cell: "coast", Prefixes: []string{"ap/"}},
		{Name: "apollo-x", Cell: "hills", Prefixes: []string{"ap/x/"}}, {Name: "medi", Cell: "city"}}
	c.Moves.MinRamp = time.Second
	return c
}

// rig drives a State with a clock under the test's control.
type rig struct {
	t       *testing.T
	s       *State
	now     time.Duration
	actions []Action
	n       int
}

func newRig(t *testing.T, change func(*Config)) *rig {
	t.Helper()
	c := config()
	if change != nil {
		change(&c)
	}
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, s: s, now: startTime}
	g.s.UpdateMembers(g.now, true, twoGroups())
	g.s.ObserveMembers(g.now, seenHosts(twoGroups(), nil))
	return g
}

func (g *rig) observe(change func(*balance.MemberView)) {
	g.actions = append(g.actions, g.s.ObserveMembers(g.now, seenHosts(twoGroups(), change))...)
}

func (g *rig) request(tenant string, write bool) Verdict {
	g.n++
	return g.s.Admit(g.now, Request{ID: fmt.Sprint("q", g.n), Claim: tenant, Key: "k", Group: 1, Write: write, Deadline: g.now + 3*time.Second})
}

func (g *rig) advance(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 50 * ms
		g.actions = append(g.actions, g.s.Tick(g.now)...)
	}
}

func (g *rig) move(o Order) {
	g.t.Helper()
	acts, err := g.s.Move(g.now, o)
	if err != nil {
		g.t.Fatal(err)
	}
	g.actions = append(g.actions, acts...)
}

// reported returns the stages, releases and expired waits reported since the last call.
func (g *rig) reported() (out []string) {
	for _, a := range g.actions {
		switch a := a.(type) {
		case MoveChanged:
			out = append(out, a.Move.Stage.String())
		case Release:
			out = append(out, "release "+a.ID)
		case HoldExpired:
			out = append(out, "give up "+a.ID)
		}
	}
	g.actions = nil
	return out
}

func (g *rig) expect(what string, wanted ...string) {
	g.t.Helper()
	if diff := cmp.Diff(wanted, g.reported()); diff != "" {
		g.t.Errorf("%s: %s", what, diff)
	}
}

func TestFindTenant(t *testing.T) {
	users := map[string][]string{"apollo-app": {"apollo", "apollo-x"}}
	for _, c := range []struct {
		name, user, claim, key string
		users                  map[string][]string
		claims                 bool
		want                   string
	}{
		{"a claim", "u", "medi", "ap/1", nil, true, "medi"},
		{"claims are disabled", "u", "medi", "ap/1", nil, false, "apollo"},
		{"a prefix", "u", "", "ap/1", nil, true, "apollo"},
		{"the longest prefix", "u", "", "ap/x/1", nil, true, "apollo-x"},
		{"a key that is a prefix", "u", "", "ap/", nil, true, "apollo"},
		{"a key shorter than every prefix", "u", "", "a", nil, true, "#"},
		{"no key", "u", "", "", nil, true, "#"},
		{"a claimed tenant without an entry", "u", "nobody", "ap/1", nil, true, "#"},
		{"a mapped user claims its own", "apollo-app", "apollo-x", "k", users, true, "apollo-x"},
		{"a mapped user claims a tenant of others", "apollo-app", "medi", "k", users, true, "not permitted"},
		{"a mapped user claims a tenant without an entry", "apollo-app", "nobody", "k", users, true, "not permitted"},
		{"a mapped user without a claim", "apollo-app", "", "k", users, true, "apollo"},
		{"a mapped user with a key of its own", "apollo-app", "", "ap/x/1", users, true, "apollo-x"},
		{"another user claims a mapped tenant", "u", "apollo", "k", users, true, "not permitted"},
		{"another user with a mapped tenant's key", "u", "", "ap/1", users, true, "not permitted"},
		{"another user claims a tenant without mapped users", "u", "medi", "k", users, true, "medi"},
	} {
		g := newRig(t, func(x *Config) { x.Users, x.Claims = c.users, c.claims })
		got := "not permitted"
		if owner, err := g.s.dir.find(c.user, c.claim, c.key); err == nil {
			got = owner.name
		} else if !errors.Is(err, ErrNotPermitted) {
			t.Error(err)
		}
		if c.want == "#" && strings.HasPrefix(got, "#") {
			continue
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	g := newRig(t, func(x *Config) { x.Users = users })
	if v := g.s.Admit(g.now, Request{User: "u", Claim: "apollo"}); v.Kind != Denied || g.s.Denied != 1 {
		t.Errorf("verdict %+v", v)
	}
}

func TestInvalidConfigurationErrors(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"no cell is named": func(c *Config) { c.Cells = nil },
		"size":             func(c *Config) { c.Size = 0 },
		"overlap":          func(c *Config) { c.Overlap = 3 },
		"reserve":          func(c *Config) { c.ReservedShare = 1.5 },
		"buckets":          func(c *Config) { c.Buckets = 0 },
		"queue":            func(c *Config) { c.QueueFactor = 0 },
		"floor":            func(c *Config) { c.MinHeld = 0 },
		`cell "coast": name is empty or used twice`:  func(c *Config) { c.Cells = append(c.Cells, c.Cells[0]) },
		`cell "city": weight`:                        func(c *Config) { c.Cells[2].Weight = 0 },
		`cell "city": burst`:                         func(c *Config) { c.Cells[2].Burst = 1 },
		`cell "city": negative rate`:                 func(c *Config) { c.Cells[2].Rate = -1 },
		`host "h" is pinned twice`:                   func(c *Config) { c.Cells[2].Pins = []string{"h", "h"} },
		`tenant "medi": no cell`:                     func(c *Config) { c.Tenants[2].Cell = "x" },
		`tenant "medi": name is empty or used twice`: func(c *Config) { c.Tenants = append(c.Tenants, c.Tenants[2]) },
		`tenant "#1": name begins`:                   func(c *Config) { c.Tenants[2].Name = "#1" },
		`tenant "medi": prefix`:                      func(c *Config) { c.Tenants[2].Prefixes = []string{"ap/"} },
		`tenant "medi": burst`:                       func(c *Config) { c.Tenants[2].Burst = 2 },
		`user "u": no tenant`:                        func(c *Config) { c.Users = map[string][]string{"u": {"x"}} },
	} {
		c := config()
		change(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want error %s, got %v", want, err)
		}
		g := newRig(t, nil)
		before := g.s.Report()
		if _, err := g.s.Configure(g.now, c); err == nil {
			t.Errorf("%s: accepted by Configure", want)
		}
		if diff := cmp.Diff(before, g.s.Report(), cmp.AllowUnexported(Move{})); diff != "" {
			t.Errorf("%s: an invalid configuration changes the state: %s", want, diff)
		}
	}
}

func TestPinnedHosts(t *testing.T) {
	g := newRig(t, func(c *Config) { c.Cells[0].Pins = []string{"g1-3", "g2-4", "unlisted"} })
	for _, r := range g.s.Report().Cells {
		if r.Cell == "coast" && (!slices.Contains(r.Hosts["1"], "g1-3") || !slices.Contains(r.Hosts["2"], "g2-4")) {
			t.Errorf("cell coast has the hosts %v", r.Hosts)
		}
	}
}

func TestUnusableHostIsReplacedTemporarily(t *testing.T) {
	g := newRig(t, func(c *Config) { c.Cells = c.Cells[:1]; c.Tenants = c.Tenants[:1] })
	home := slices.Clone(g.s.Report().Cells[0].Hosts["1"])
	own := slices.DeleteFunc(slices.Clone(home), func(s string) bool { return s == "g1-0" })[0]
	servers := func() []string {
		var out []string
		for s := range g.s.Cells().List[0].Servers {
			if strings.HasPrefix(s, "g1") {
				out = append(out, s)
			}
		}
		slices.Sort(out)
		return out
	}
	if len(servers()) != 2 || slices.Contains(servers(), "g1-0") {
		t.Errorf("the cell reads from %v", servers())
	}
	before := servers()
	unusable := seenHosts(twoGroups(), func(x *balance.MemberView) { x.Usable = x.Server != own })
	g.s.ObserveMembers(g.now, unusable)
	if diff := cmp.Diff(before, servers()); diff != "" {
		t.Errorf("a host that just became unusable is replaced: %s", diff)
	}
	g.now += borrowAfter
	g.s.ObserveMembers(g.now, unusable)
	if got := servers(); slices.Contains(got, own) || len(got) != 2 || len(g.s.Report().Cells[0].Borrowed) == 0 {
		t.Errorf("without host %s the cell reads from %v", own, got)
	}
	g.s.ObserveMembers(g.now, seenHosts(twoGroups(), nil))
	if diff := cmp.Diff(before, servers()); diff != "" {
		t.Errorf("the cell does not return to its own hosts: %s", diff)
	}
	// With no replica listed, the decision module falls back to the primary.
	g.s.UpdateMembers(g.now, true, twoGroups()[:1])
	if got := servers(); len(got) != 0 {
		t.Errorf("with only a primary listed the cell reads from %v", got)
	}
	g.s.UpdateMembers(g.now, true, twoGroups()[:2])
	if diff := cmp.Diff([]string{"g1-1"}, servers()); diff != "" {
		t.Error(diff)
	}
}

func TestCellAndTenantLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*Config)
		tenants []string // tenants of simultaneous requests, in order
		want    string   // g: Admitted, o: OverLimit
		reason  string
	}{
		{"a cell's configured concurrency", func(c *Config) { c.Cells[0].Concurrency = 2 },
			[]string{"apollo", "apollo", "apollo", "medi"}, "ggog", "the cell's concurrency"},
		{"a tenant's configured concurrency", func(c *Config) { c.Tenants[0].Concurrency = 1 },
			[]string{"apollo", "apollo", "apollo-x"}, "gog", "the tenant's concurrency"},
		{"a cell's rate", func(c *Config) { c.Cells[0].Rate, c.Cells[0].Burst = 10, 2 },
			[]string{"apollo", "apollo", "apollo"}, "ggo", "the cell's rate"},
		{"a tenant's rate", func(c *Config) { c.Tenants[0].Rate, c.Tenants[0].Burst = 10, 1 },
			[]string{"apollo", "apollo", "medi"}, "gog", "the tenant's rate"},
		{"a rate over two gateways", func(c *Config) { c.Tenants[0].Rate, c.Tenants[0].Burst, c.Gateways = 10, 2, 2 },
			[]string{"apollo", "apollo"}, "go", "the tenant's rate"},
		{"a single tenant may fill its cell", func(c *Config) { c.Cells[0].Concurrency = 4 },
			[]string{"apollo", "apollo", "apollo", "apollo", "apollo"}, "ggggo", "the cell's concurrency"},
		{"two tenants share a cell", func(c *Config) { c.Cells[0].Concurrency = 4; c.Tenants[2].Cell = "coast" },
			[]string{"medi", "apollo", "apollo", "apollo", "medi", "medi"}, "gggogo", "the cell's concurrency"},
		{"the hosts' capacity limits a cell without configured limits", func(c *Config) { c.QueueFactor, c.MinHeld = 1, 1 },
			slices.Repeat([]string{"apollo"}, 40), strings.Repeat("g", 28) + strings.Repeat("o", 12), "the cell's concurrency"},
	} {
		g := newRig(t, func(x *Config) {
			c.change(x)
			if c.name == "the hosts' capacity limits a cell without configured limits" {
				// The cell has two replicas in each group with a limit of eight attempts each, and a quarter of both
				// primaries: 36, less what it shares with other cells.
				x.Overlap = 2
			}
		})
		got, reason := "", ""
		var after time.Duration
		for _, tenant := range c.tenants {
			v := g.request(tenant, false)
			if v.Kind == OverLimit {
				reason, after = v.Reason, v.RetryAfter
			}
			got += string("goh"[v.Kind])
		}
		if c.name == "the hosts' capacity limits a cell without configured limits" {
			for _, x := range g.s.cells {
				if x.Name == "coast" && strings.Count(got, "g") != int(x.capacity) {
					t.Errorf("%d requests admitted with a capacity of %v", strings.Count(got, "g"), x.capacity)
				}
			}
		} else if got != c.want {
			t.Errorf("%s: verdicts %s, want %s", c.name, got, c.want)
		}
		if !strings.Contains(reason, c.reason) || after < minRetryAfter || after > maxRetryAfter {
			t.Errorf("%s: reason %q, retry after %v", c.name, reason, after)
		}
	}
}

func TestIdleTenantsHoldNoResources(t *testing.T) {
	g := newRig(t, func(c *Config) { c.Tenants[0].Rate = 10 })
	g.s.Done(g.now, g.request("apollo", true).Ticket)
	owner := g.s.dir.lookup("apollo")
	if owner.limiter == nil || owner.held != 0 || owner.writes != 0 || owner.cell.held != 0 || owner.cell.activeTenants != 0 {
		t.Errorf("tenant after a request: %+v", owner)
	}
	g.advance(5 * time.Second)
	if owner.limiter != nil || len(g.s.withLimiter) != 0 {
		t.Error("an idle tenant keeps its limiter")
	}
}

func TestMemoryDoesNotGrowWithKeys(t *testing.T) {
	g := newRig(t, nil)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range 1_000_000 {
		key := fmt.Sprint("patient-", i)
		v := g.s.Admit(g.now, Request{ID: key, Claim: key, Key: key, Group: 1, Deadline: g.now + time.Second})
		if v.Kind != Admitted {
			t.Fatal(v)
		}
		g.s.Done(g.now, v.Ticket)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("the heap grew by %d bytes after 1,000,000 keys", grown)
	}
}

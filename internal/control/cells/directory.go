package cells

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"golang.org/x/time/rate"
)

// bucketMark is the first character of the names of buckets.
const bucketMark = '#'

// ErrNotPermitted is returned if the user of a connection may not act for the tenant that a request names or
// whose key it uses.
var ErrNotPermitted = errors.New("the user may not act for that tenant")

// cell is a configured cell with its state. Its id stays the same for as long as a cell of that name is
// configured.
type cell struct {
	Cell
	id            int
	limiter       *rate.Limiter
	held          int             // admitted requests that are not done
	activeTenants int             // tenants that hold at least one request
	capacity      float64         // attempts that its hosts can serve at a time, with its share of shared hosts; 0 if not known yet
	avgDuration   time.Duration   // smoothed time from admission to Done
	rankings      map[int]ranking // by group
	readHosts     map[string]bool // hosts that it reads from now
	CellCount
}

// CellCount counts the requests of a cell and how many of them exceeded which limit.
type CellCount struct{ Taken, OverRate, OverConcurrency, OverTenant uint64 }

// tenant is a configured tenant, or a bucket of tenants without an entry. It is kept small as there may be
// 100,000 of them.
type tenant struct {
	// The fields that every request reads come first, within one cache line.
	name       string
	cell       *cell // the cell that serves it
	move       *Move
	limits     *Tenant
	routes     map[int]int // group that serves the data of a moved group, by the original group
	held       int32
	writes     int32 // held requests that write
	restricted bool  // whether a user is mapped to it, so that no other user may act for it
	moved      bool  // whether a move has assigned it to another cell than the configuration does

	// movedAt is the time of the last settled move to another group; see Verdict.Since.
	movedAt        time.Duration
	limiter        *rate.Limiter // created at first use, dropped when its tokens are full again
	configuredCell string        // the configured cell, or empty if none is named
}

// directory finds the tenant of a request by its claim, by the longest matching prefix of its key, or by a
// hash.
type directory struct {
	claims       bool
	mapped       bool // whether users are mapped to tenants
	tenants      map[string]*tenant
	prefixes     *iradix.Tree[*tenant]
	buckets      []*tenant
	users        map[string][]*tenant
	maxPrefixLen int // length of the longest prefix in bytes
}

// stringBytes returns the bytes of a string without copying them. The result must not be modified.
func stringBytes(s string) []byte { return unsafe.Slice(unsafe.StringData(s), len(s)) }

// find returns the tenant of a request. A user that is mapped to tenants always acts for one of them: the
// claimed one, the owner of the key's prefix, or the user's first tenant. Tenants that users are mapped to
// are accessible to these users only.
func (d *directory) find(user, claim, key string) (*tenant, error) {
	var permitted []*tenant
	if d.mapped {
		permitted = d.users[user]
	}
	if claim != "" && d.claims {
		t := d.tenants[claim]
		switch {
		case t != nil && (t.restricted || permitted != nil) && !slices.Contains(permitted, t), t == nil && permitted != nil:
			return nil, ErrNotPermitted
		case t == nil:
			t = d.bucket(claim)
		}
		return t, nil
	}
	if d.maxPrefixLen > 0 && key != "" {
		if _, t, ok := d.prefixes.Root().LongestPrefix(stringBytes(key[:min(len(key), d.maxPrefixLen)])); ok {
			if (t.restricted || permitted != nil) && !slices.Contains(permitted, t) {
				return nil, ErrNotPermitted
			}
			return t, nil
		}
	}
	if permitted != nil {
		return permitted[0], nil
	}
	return d.bucket(key), nil
}

// bucket returns the bucket of a tenant without an entry.
func (d *directory) bucket(name string) *tenant {
	return d.buckets[xxhash.Sum64String(name)%uint64(len(d.buckets))]
}

// rendezvousCell chooses the cell of a tenant for which the configuration names none. It uses weighted
// rendezvous hashing: a new cell takes its share of tenants from all other cells, a removed cell's tenants
// spread over all others, and no other tenant changes its cell.
func rendezvousCell(cells []*cell, name string) *cell {
	var best *cell
	lowest := math.Inf(1)
	for _, c := range cells {
		if point := rendezvousPoint(c.Name, name, c.Weight); point < lowest {
			best, lowest = c, point
		}
	}
	return best
}

// rendezvousPoint returns the rendezvous hash point of a name at a place; the place with the lowest point
// wins. The points are exponentially distributed with the weight as rate, so that each place wins with a
// probability in proportion to its weight. The result is the same on every gateway.
func rendezvousPoint(place, name string, weight float64) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(place)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(name)
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

// newDirectory builds the directory of a checked configuration. Tenants that exist in the old directory keep
// their state. The result of a move remains until the configuration names another cell for the tenant than
// before.
func newDirectory(c Config, cells []*cell, old *directory) *directory {
	d := &directory{claims: c.Claims, mapped: len(c.Users) > 0, tenants: make(map[string]*tenant, len(c.Tenants)),
		users: make(map[string][]*tenant, len(c.Users))}
	byName := make(map[string]*cell, len(cells))
	for _, x := range cells {
		byName[x.Name] = x
	}
	assign := func(t *tenant, configured string) {
		if t.moved && t.configuredCell == configured && t.cell != nil && byName[t.cell.Name] == t.cell {
			return
		}
		if t.configuredCell != configured {
			t.routes = nil
		}
		t.configuredCell, t.moved = configured, false
		to := byName[configured]
		if to == nil {
			to = rendezvousCell(cells, t.name)
		}
		t.assign(to)
	}
	prefixes := iradix.New[*tenant]().Txn()
	for i := range c.Tenants {
		x := &c.Tenants[i]
		t := (*tenant)(nil)
		if old != nil {
			t = old.tenants[x.Name]
		}
		if t == nil {
			t = &tenant{name: x.Name}
		}
		t.restricted, t.limits, t.limiter = false, nil, nil
		if x.Rate > 0 || x.Concurrency > 0 {
			t.limits = x
		}
		assign(t, x.Cell)
		d.tenants[x.Name] = t
		for _, p := range x.Prefixes {
			prefixes.Insert([]byte(p), t)
			d.maxPrefixLen = max(d.maxPrefixLen, len(p))
		}
	}
	d.prefixes = prefixes.Commit()
	for user, names := range c.Users {
		for _, name := range names {
			t := d.tenants[name]
			t.restricted = true
			d.users[user] = append(d.users[user], t)
		}
	}
	for i := range c.Buckets {
		t := &tenant{name: string(bucketMark) + strconv.Itoa(i)}
		if old != nil && len(old.buckets) == c.Buckets {
			t = old.buckets[i]
		}
		assign(t, "")
		d.buckets = append(d.buckets, t)
	}
	return d
}

// lookup returns the tenant or bucket of that name, or nil if there is none.
func (d *directory) lookup(name string) *tenant {
	if t := d.tenants[name]; t != nil {
		return t
	}
	if len(name) > 1 && name[0] == bucketMark {
		if i, err := strconv.Atoi(name[1:]); err == nil && i >= 0 && i < len(d.buckets) && d.buckets[i].name == name {
			return d.buckets[i]
		}
	}
	return nil
}

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

// bucketMark begins the names of the places that tenants unknown to the file share.
const bucketMark = '#'

// ErrNotYours says that a connection's user may not act for the tenant that its request names or whose key it uses.
var ErrNotYours = errors.New("the user may not act for that tenant")

// cell is a cell with its state. Its number stays the same for as long as a cell of that name exists.
type cell struct {
	Cell
	id       int
	limiter  *rate.Limiter
	held     int             // requests taken and not done
	active   int             // tenants that hold some
	capacity float64         // attempts that its hosts bear, its part of the shared ones; 0: not known yet
	took     time.Duration   // smoothed time from taken to done
	ranked   map[int]ranking // by group
	servers  map[string]bool // those it reads from now
	CellCount
}

// CellCount counts what came to a cell.
type CellCount struct{ Taken, OverRate, OverConcurrency, OverTenant uint64 }

// tenant is one customer, or a bucket of those unknown to the file. It is kept small: there may be 100,000.
type tenant struct {
	// What every request looks at comes first, in one line of the processor's cache.
	name    string
	cell    *cell // where it is served
	move    *Move
	limits  *Tenant
	routes  map[int]int // groups that it has been moved from, and to where
	held    int32
	writes  int32 // of held ones, those that write
	guarded bool  // some user is mapped to it: others may not act for it
	moved   bool  // it is served elsewhere than the file says

	since    time.Duration
	limiter  *rate.Limiter // made at first use, dropped when it is full again
	declared string        // the cell that the file names; "": none
}

// directory finds a request's tenant: by its claim, the longest prefix of its key, or a hash.
type directory struct {
	claims   bool
	mapped   bool // users are mapped to tenants
	tenants  map[string]*tenant
	prefixes *iradix.Tree[*tenant]
	buckets  []*tenant
	users    map[string][]*tenant
	longest  int // of the prefixes, in bytes
}

// bytesOf gives the bytes of a string without a copy; they are only read.
func bytesOf(s string) []byte { return unsafe.Slice(unsafe.StringData(s), len(s)) }

// find gives the tenant of a request. A user that is mapped to tenants always acts for one of them: for the one that it
// claims, the one that its key belongs to, or its first. Where users are mapped, nobody else gets at their tenants.
func (d *directory) find(user, claim, key string) (*tenant, error) {
	var own []*tenant
	if d.mapped {
		own = d.users[user]
	}
	if claim != "" && d.claims {
		t := d.tenants[claim]
		switch {
		case t != nil && (t.guarded || own != nil) && !slices.Contains(own, t), t == nil && own != nil:
			return nil, ErrNotYours
		case t == nil:
			t = d.bucket(claim)
		}
		return t, nil
	}
	if d.longest > 0 && key != "" {
		if _, t, ok := d.prefixes.Root().LongestPrefix(bytesOf(key[:min(len(key), d.longest)])); ok {
			if (t.guarded || own != nil) && !slices.Contains(own, t) {
				return nil, ErrNotYours
			}
			return t, nil
		}
	}
	if own != nil {
		return own[0], nil
	}
	return d.bucket(key), nil
}

func (d *directory) bucket(name string) *tenant {
	return d.buckets[xxhash.Sum64String(name)%uint64(len(d.buckets))]
}

// drawn gives the cell of a tenant that the file names none for: by weighted rendezvous, so that a cell that comes takes
// its part from all others and one that goes leaves its tenants to all others, and no other tenant changes place.
func drawn(cells []*cell, name string) *cell {
	var best *cell
	least := math.Inf(1)
	for _, c := range cells {
		if x := draw(c.Name, name, c.Weight); x < least {
			best, least = c, x
		}
	}
	return best
}

// draw is the point at which a name wins a place among others: exponentially distributed, sooner with more weight, so
// that the first of several is each of them with a chance in proportion to its weight. It is the same on every gateway.
func draw(place, name string, weight float64) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(place)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(name)
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

// newDirectory makes a directory of a checked configuration. Tenants that there were before keep their state; a move's
// result stands until the file says something else of that tenant than it did before.
func newDirectory(c Config, cells []*cell, old *directory) *directory {
	d := &directory{claims: c.Claims, mapped: len(c.Users) > 0, tenants: make(map[string]*tenant, len(c.Tenants)),
		users: make(map[string][]*tenant, len(c.Users))}
	byName := make(map[string]*cell, len(cells))
	for _, x := range cells {
		byName[x.Name] = x
	}
	place := func(t *tenant, declared string) {
		if t.moved && t.declared == declared && t.cell != nil && byName[t.cell.Name] == t.cell {
			return
		}
		if t.declared != declared {
			t.routes = nil
		}
		t.declared, t.moved = declared, false
		to := byName[declared]
		if to == nil {
			to = drawn(cells, t.name)
		}
		t.put(to)
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
		t.guarded, t.limits, t.limiter = false, nil, nil
		if x.Rate > 0 || x.Concurrency > 0 {
			t.limits = x
		}
		place(t, x.Cell)
		d.tenants[x.Name] = t
		for _, p := range x.Prefixes {
			prefixes.Insert([]byte(p), t)
			d.longest = max(d.longest, len(p))
		}
	}
	d.prefixes = prefixes.Commit()
	for user, names := range c.Users {
		for _, name := range names {
			t := d.tenants[name]
			t.guarded = true
			d.users[user] = append(d.users[user], t)
		}
	}
	for i := range c.Buckets {
		t := &tenant{name: string(bucketMark) + strconv.Itoa(i)}
		if old != nil && len(old.buckets) == c.Buckets {
			t = old.buckets[i]
		}
		place(t, "")
		d.buckets = append(d.buckets, t)
	}
	return d
}

// named gives a tenant by its name, that of a bucket too; nil: there is none.
func (d *directory) named(name string) *tenant {
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

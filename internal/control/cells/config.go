// Package cells confines tenants to subsets of the hosts and moves them between subsets while they are served.
//
// It settles four things, all without I/O and without a clock of its own: whom a request belongs to (directory.go),
// which replicas a cell reads from (placement.go), how much of what is shared a cell and a tenant may hold (budget.go),
// and where a tenant stands whose move is under way (move.go). State (state.go) joins them: the caller tells it of
// requests, hosts and time, and carries out the actions it answers with. Which host a request goes to, whether it goes
// again and what it is told remain the decision module's choice; it is handed the cell's set and share.
package cells

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Config is what the operator states. Names are unique; the zero value of a field is its default where one is named.
type Config struct {
	Claims   bool                // a request may name its tenant in the statement's comment
	Size     int                 // replicas that a cell reads from in each group; 1 or more
	Overlap  int                 // hosts that two cells may have in common in a group; 0 to Size
	Reserve  float64             // part of a cell's fair share of a shared host that no other may take; 0 to 1
	Buckets  int                 // tenants unknown to the file share so many places; 1 or more
	Queue    float64             // a cell may hold so many requests for each attempt that its hosts bear; 1 or more
	Floor    int                 // but always as many as this; 1 or more
	Gateways int                 // stated rates are shared by so many; 1 or more
	Cells    []Cell              // at least one
	Tenants  []Tenant            // those with a cell, a prefix or a limit of their own
	Users    map[string][]string // the tenants that a connection's user may act for; empty: users are not mapped
	Moves    MoveLimits
}

// Cell is one subset of the fleet.
type Cell struct {
	Name        string
	Weight      float64  // its part of what is shared, against the others' weights; above 0
	Pins        []string // hosts that it has before any that it is drawn
	Rate        float64  // requests a second over all gateways; 0: as many as its hosts bear
	Burst       int      // requests above the rate that may come at once; 0: a second's worth
	Concurrency int      // requests held by one gateway; 0: by what its hosts bear
}

// Tenant is one customer.
type Tenant struct {
	Name        string
	Cell        string   // "": drawn by the tenant's name
	Prefixes    []string // keys that begin so are its own
	Rate        float64  // as a cell's
	Burst       int
	Concurrency int // 0: its part of the cell's
}

// MoveLimits bound moves.
type MoveLimits struct {
	AtOnce int           // moves under way; those asked for beyond that wait
	Ramp   time.Duration // reads go over in no less than this
	Warm   time.Duration // for the new place to be warm; then the move is aborted
	Fence  time.Duration // for the writes in flight to end and the new primary to be known; then it is aborted
	Hold   int           // writes that wait at a fence; more are refused
}

// DefaultConfig has the defaults and no cells.
func DefaultConfig() Config {
	return Config{Size: 2, Overlap: 1, Reserve: 0.5, Buckets: 1024, Queue: 4, Floor: 16, Gateways: 1,
		Moves: MoveLimits{AtOnce: 4, Ramp: 5 * time.Second, Warm: time.Minute, Fence: 5 * time.Second, Hold: 256}}
}

// Fault says which entry of a configuration makes no sense.
type Fault struct {
	Entry string // cell, tenant, user, or a setting of the cells; "": the whole
	Name  string // of the cell, tenant or user
	What  string
}

func (f *Fault) Error() string {
	out := f.Entry
	if f.Name != "" {
		out += fmt.Sprintf(" %q", f.Name)
	}
	return strings.TrimPrefix(out+": "+f.What, ": ")
}

// Check says what makes no sense; the error is a *Fault.
func (c Config) Check() error {
	if f := c.fault(); f != nil {
		return f
	}
	return nil
}

func (c Config) fault() *Fault {
	fault := func(entry, name, what string, args ...any) *Fault {
		return &Fault{entry, name, fmt.Sprintf(what, args...)}
	}
	switch {
	case len(c.Cells) == 0:
		return fault("", "", "no cell is named")
	case c.Size < 1:
		return fault("size", "", "under 1")
	case c.Overlap < 0 || c.Overlap > c.Size:
		return fault("overlap", "", "not between 0 and size %d", c.Size)
	case !(c.Reserve >= 0 && c.Reserve <= 1):
		return fault("reserve", "", "not between 0 and 1")
	case c.Buckets < 1:
		return fault("buckets", "", "under 1")
	case !(c.Queue >= 1):
		return fault("queue", "", "under 1")
	case c.Floor < 1 || c.Gateways < 1 || c.Moves.AtOnce < 1 || c.Moves.Hold < 0:
		return fault("floor", "", "floor, gateways, at-once or hold: too small")
	}
	cells, pinned := map[string]bool{}, map[string]string{}
	for _, x := range c.Cells {
		switch {
		case x.Name == "" || cells[x.Name]:
			return fault("cell", x.Name, "no name of its own")
		case !(x.Weight > 0):
			return fault("cell", x.Name, "weight is not above 0")
		case !(x.Rate >= 0) || x.Burst < 0 || x.Concurrency < 0:
			return fault("cell", x.Name, "a negative limit")
		case x.Burst > 0 && x.Rate == 0:
			return fault("cell", x.Name, "burst without rate")
		}
		cells[x.Name] = true
		for i, p := range x.Pins {
			if slices.Contains(x.Pins[:i], p) {
				return fault("cell", x.Name, "host %q is pinned twice", p)
			}
			pinned[p] = x.Name
		}
	}
	tenants, prefixes := map[string]bool{}, map[string]string{}
	for _, t := range c.Tenants {
		switch {
		case t.Name == "" || tenants[t.Name]:
			return fault("tenant", t.Name, "no name of its own")
		case t.Name[0] == bucketMark:
			return fault("tenant", t.Name, "begins with %q, as those unknown to the file do", bucketMark)
		case t.Cell != "" && !cells[t.Cell]:
			return fault("tenant", t.Name, "no cell is named %q", t.Cell)
		case !(t.Rate >= 0) || t.Burst < 0 || t.Concurrency < 0:
			return fault("tenant", t.Name, "a negative limit")
		case t.Burst > 0 && t.Rate == 0:
			return fault("tenant", t.Name, "burst without rate")
		}
		tenants[t.Name] = true
		for _, p := range t.Prefixes {
			if other, taken := prefixes[p]; taken || p == "" {
				return fault("tenant", t.Name, "prefix %q is empty or already that of %q", p, other)
			}
			prefixes[p] = t.Name
		}
	}
	for user, may := range c.Users {
		if len(may) == 0 {
			return fault("user", user, "no tenant")
		}
		for _, t := range may {
			if !tenants[t] {
				return fault("user", user, "no tenant is named %q", t)
			}
		}
	}
	return nil
}

// Package cells isolates tenants from each other by confining them to subsets of the hosts, called cells, and
// moves tenants between cells without interrupting them.
//
// It decides which tenant a request belongs to (directory.go), which replicas a cell reads from
// (placement.go), how much of the shared capacity a cell and a tenant may hold (budget.go), and how a tenant
// is served while it is moved (move.go). State (state.go) combines them: the caller reports requests, hosts
// and the time, and carries out the returned actions. The package does no I/O and reads no clock. The choice
// of the host, retries and responses remain with the decision module (package balance), which receives the
// hosts and the share of the cell.
package cells

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Config is the operator's configuration of the cells. Names are unique. DefaultConfig has the defaults.
type Config struct {
	Claims        bool                // whether a request may name its tenant in the comment of its statement
	Size          int                 // replicas that a cell reads from in each group, at least 1
	Overlap       int                 // maximum number of hosts that two cells share in a group, from 0 to Size
	ReservedShare float64             // part of a cell's fair share of a shared host that no other cell may use, from 0 to 1
	Buckets       int                 // number of buckets over which tenants without an entry are hashed, at least 1
	QueueFactor   float64             // requests that a cell may hold per attempt of its hosts' capacity, at least 1
	MinHeld       int                 // requests that a cell may hold whatever its hosts' capacity, at least 1
	Gateways      int                 // number of gateways that share the configured rates, at least 1
	Cells         []Cell              // at least one
	Tenants       []Tenant            // tenants with a cell, a prefix or a limit of their own
	Users         map[string][]string // the tenants that the user of a connection may act for; if empty, users are not mapped
	Moves         MoveLimits
}

// Cell is a subset of the hosts that serves some of the tenants.
type Cell struct {
	Name        string
	Weight      float64  // share of shared hosts relative to the weights of the other cells, above 0
	Pins        []string // hosts assigned to the cell before any others are chosen for it
	Rate        float64  // requests per second over all gateways, or 0 if limited only by the hosts' capacity
	Burst       int      // requests above the rate that are admitted at once, or 0 for one second's worth
	Concurrency int      // requests held by one gateway, or 0 to derive it from the hosts' capacity
}

// Tenant is a customer whose requests are served by one cell.
type Tenant struct {
	Name        string
	Cell        string   // if empty, the cell is chosen by a hash of the tenant's name
	Prefixes    []string // keys that begin with one of these belong to the tenant
	Rate        float64  // as in Cell
	Burst       int
	Concurrency int // requests held by one gateway, or 0 for an even share of the cell's limit
}

// MoveLimits bounds the number and the duration of moves.
type MoveLimits struct {
	MaxConcurrent int           // maximum number of moves in progress; others wait
	MinRamp       time.Duration // minimum time over which reads shift to the new cell
	WarmTimeout   time.Duration // maximum time beyond MinRamp until the new hosts are warm, and until a fenced move is confirmed; then it is aborted
	FenceTimeout  time.Duration // maximum time for in-flight writes to end and the new primary to be known; then the move is aborted
	MaxHeldWrites int           // maximum number of writes held at a fence; more are refused
}

// DefaultConfig returns a configuration with the default values and no cells.
func DefaultConfig() Config {
	return Config{Size: 2, Overlap: 1, ReservedShare: 0.5, Buckets: 1024, QueueFactor: 4, MinHeld: 16, Gateways: 1,
		Moves: MoveLimits{MaxConcurrent: 4, MinRamp: 5 * time.Second, WarmTimeout: time.Minute, FenceTimeout: 5 * time.Second, MaxHeldWrites: 256}}
}

// Fault describes an invalid entry of a configuration.
type Fault struct {
	Entry string // cell, tenant, user or a setting of the cells; empty if the fault concerns the whole configuration
	Name  string // name of the cell, tenant or user
	What  string
}

func (f *Fault) Error() string {
	out := f.Entry
	if f.Name != "" {
		out += fmt.Sprintf(" %q", f.Name)
	}
	return strings.TrimPrefix(out+": "+f.What, ": ")
}

// Check returns a *Fault that describes the first invalid entry, or nil if the configuration is valid.
func (c Config) Check() error {
	if f := c.firstFault(); f != nil {
		return f
	}
	return nil
}

func (c Config) firstFault() *Fault {
	fault := func(entry, name, what string, args ...any) *Fault {
		return &Fault{entry, name, fmt.Sprintf(what, args...)}
	}
	switch {
	case len(c.Cells) == 0:
		return fault("", "", "no cell is named")
	case c.Size < 1:
		return fault("size", "", "below 1")
	case c.Overlap < 0 || c.Overlap > c.Size:
		return fault("overlap", "", "not between 0 and size %d", c.Size)
	case !(c.ReservedShare >= 0 && c.ReservedShare <= 1):
		return fault("reserve", "", "not between 0 and 1")
	case c.Buckets < 1:
		return fault("buckets", "", "below 1")
	case !(c.QueueFactor >= 1):
		return fault("queue", "", "below 1")
	case c.MinHeld < 1 || c.Gateways < 1 || c.Moves.MaxConcurrent < 1 || c.Moves.MaxHeldWrites < 0:
		return fault("floor", "", "floor, gateways and at-once must be at least 1, hold at least 0")
	}
	cells, pinned := map[string]bool{}, map[string]string{}
	for _, x := range c.Cells {
		switch {
		case x.Name == "" || cells[x.Name]:
			return fault("cell", x.Name, "name is empty or used twice")
		case !(x.Weight > 0):
			return fault("cell", x.Name, "weight is not above 0")
		case !(x.Rate >= 0) || x.Burst < 0 || x.Concurrency < 0:
			return fault("cell", x.Name, "negative rate, burst or concurrency")
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
			return fault("tenant", t.Name, "name is empty or used twice")
		case t.Name[0] == bucketMark:
			return fault("tenant", t.Name, "name begins with %q, which is reserved for buckets", bucketMark)
		case t.Cell != "" && !cells[t.Cell]:
			return fault("tenant", t.Name, "no cell is named %q", t.Cell)
		case !(t.Rate >= 0) || t.Burst < 0 || t.Concurrency < 0:
			return fault("tenant", t.Name, "negative rate, burst or concurrency")
		case t.Burst > 0 && t.Rate == 0:
			return fault("tenant", t.Name, "burst without rate")
		}
		tenants[t.Name] = true
		for _, p := range t.Prefixes {
			if other, taken := prefixes[p]; taken || p == "" {
				return fault("tenant", t.Name, "prefix %q is empty or already belongs to tenant %q", p, other)
			}
			prefixes[p] = t.Name
		}
	}
	for user, names := range c.Users {
		if len(names) == 0 {
			return fault("user", user, "no tenant")
		}
		for _, t := range names {
			if !tenants[t] {
				return fault("user", user, "no tenant is named %q", t)
			}
		}
	}
	return nil
}

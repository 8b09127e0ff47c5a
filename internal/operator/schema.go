package operator

import (
	"fmt"
	"strconv"
	"time"

	"yokemast/internal/control/cells"
	"yokemast/internal/control/pooling"
)

// Kind is the type of an entry's value.
type Kind int

// Kinds of entries.
const (
	Section  Kind = iota // nested entries
	Text                 // one word or quoted text
	Texts                // one or more words or quoted texts
	Count                // a whole number
	Number               // a number
	Duration             // a duration with its unit, such as 250ms or 5s
	Mode                 // octal permissions, such as 0600
	Bool                 // yes or no
)

var kindNames = [...]string{"section", "text", "texts", "whole number", "number", "time", "octal mode", "yes or no"}

func (k Kind) String() string { return kindNames[k] }

// Entry defines an entry of the file. Each setting has its default and its bounds here only.
type Entry struct {
	Name       string
	Kind       Kind
	Unit       string  // what a number counts, or empty
	Default    string  // as written in the file; if empty, the entry has no default and may be absent
	Min        float64 // minimum
	Max        float64 // maximum, or 0 if there is none
	Repeatable bool    // whether it may occur more than once
	Titled     bool    // whether the section begins with its name
	Doc        string
	Entries    []Entry
}

// Schema returns all entries of the file.
func Schema() []Entry {
	return []Entry{controlSection(), poolsSection(), cellsSection(cells.DefaultConfig())}
}

// controlSection returns the section of the control socket.
func controlSection() Entry {
	return Entry{Name: "control", Kind: Section, Doc: "The control socket, which `yokemast cells` and other commands for a running gateway use. If absent, there is no control socket. Changes take effect at the next start.",
		Entries: []Entry{
			{Name: "socket", Kind: Text, Doc: "Path of the unix domain socket. Required if the section is present."},
			{Name: "mode", Kind: Mode, Default: "0600", Max: 0o777, Doc: "Permissions of the socket."},
		}}
}

// poolsSection returns the section of connections to hosts.
func poolsSection() Entry {
	return Entry{Name: "pools", Kind: Section, Doc: "Connections to hosts. Changes take effect at the next start.",
		Entries: []Entry{
			{Name: "rest", Kind: Duration, Default: "30ms", Max: hours(1), Doc: "How long a connection rests after an answer before it is used again. `0s` makes most of the connections unnecessary; use it only if the hosts are known to send nothing after an answer and to keep connections open."},
			{Name: "prepared", Kind: Count, Unit: "statements", Default: strconv.Itoa(pooling.DefaultPrepared), Min: 1, Max: 100000, Doc: "Maximum number of prepared statements per connection. Beyond it the least recently used one is closed."},
			{Name: "total", Kind: Count, Unit: "connections", Default: "0", Max: 1 << 20, Doc: "Maximum number of connections to all hosts. 0: the limit that results from the descriptors and the memory in the platform's configuration, which applies in any case."},
			{Name: "per-host", Kind: Count, Unit: "connections", Default: "0", Max: 1 << 20, Doc: "Maximum number of connections to one host. 0: as `total`."},
			{Name: "wait", Kind: Duration, Default: "100ms", Max: hours(1), Doc: "How long a request waits for a connection to the chosen host if all are in use. After that a host is chosen again."},
			{Name: "least", Kind: Count, Unit: "connections", Default: "0", Max: 1 << 20, Doc: "Connections that a host can have even if other hosts use up the total: an idle connection to another host is closed for each."},
			{Name: "opening", Kind: Count, Unit: "connections", Default: "0", Max: 1 << 20, Doc: "Maximum number of connections to one host that are being opened at the same time. 0: unlimited."},
			{Name: "per-second", Kind: Number, Unit: "connections/s", Default: "0", Max: 1e6, Doc: "Maximum number of connections opened to one host per second, which is also the burst. 0: unlimited."},
			{Name: "age", Kind: Duration, Default: "0s", Max: hours(240), Doc: "Age at which a connection is closed, varied at random by up to a quarter in both directions. 0s: never."},
			{Name: "memory", Kind: Duration, Default: "0s", Max: hours(24), Doc: "Period in which the number of open connections falls halfway to the number in use. 0s: connections are closed only if they are idle for too long."},
			{Name: "cold-part", Kind: Number, Unit: "part", Default: "0", Max: 1, Doc: "Fraction of `per-host` that a host may have during its slow start. 0: all."},
			poolSection(),
		}}
}

// poolSection returns the section of one pool of clients.
func poolSection() Entry {
	return Entry{Name: "pool", Kind: Section, Titled: true, Repeatable: true, Doc: "Clients that may send general SQL, in the simple and the extended protocol, and how they share connections. All other clients are limited to the platform's two statements.",
		Entries: []Entry{
			{Name: "user", Kind: Texts, Doc: "Users of the pool. If absent, any user."},
			{Name: "database", Kind: Texts, Doc: "Databases of the pool. If absent, any database."},
			{Name: "tenant", Kind: Texts, Doc: "Tenants of the pool: it serves users whose first tenant in (cells (user ...)) is one of them. If absent, any tenant."},
			{Name: "mode", Kind: Text, Default: pooling.ByTransaction.String(), Doc: "How long a client keeps a host connection: `statement`, `transaction` or `session`."},
			{Name: "group", Kind: Count, Default: "1", Max: 1 << 30, Doc: "The group of hosts for statements whose comment names none as `cluster=N`."},
			{Name: "read", Kind: Text, Doc: "The class of statements that only read. `c=CLASS` in the statement's comment takes precedence."},
			{Name: "own", Kind: Text, Doc: "The class of reads that follow a write of the same session. If absent, as `read`."},
			{Name: "write", Kind: Text, Doc: "The class of statements that may write, and of transactions that are not READ ONLY."},
			{Name: "transaction", Kind: Duration, Default: "30s", Max: hours(24), Doc: "Maximum duration of a transaction. A longer one is ended, and its client receives an error."},
			{Name: "idle", Kind: Duration, Default: "10s", Max: hours(24), Doc: "Maximum time for which a transaction may be idle. After that it is rolled back, and its client receives error 25P03."},
			{Name: "batch", Kind: Count, Unit: "bytes", Default: "1048576", Min: 1024, Max: 1 << 28, Doc: "Maximum size of a pipeline that is held until its end."},
			{Name: "message", Kind: Count, Unit: "bytes", Default: "67108864", Min: 1024, Max: 1 << 30, Doc: "Maximum size of a Bind message. Above 64 KiB it is forwarded in pieces as it arrives."},
			{Name: "most", Kind: Count, Unit: "sessions", Default: "0", Max: 1 << 20, Doc: "Maximum number of sessions of the pool that hold a host connection at the same time. Others are refused with a time after which to retry. 0: unlimited."},
		}}
}

// cellsSection returns the section of the cells, with the defaults of c.
func cellsSection(c cells.Config) Entry {
	return Entry{Name: "cells", Kind: Section, Doc: "Cells, which isolate tenants from each other. If absent, all requests of a group share its hosts.",
		Entries: []Entry{
			{Name: "claims", Kind: Bool, Default: formatBool(c.Claims), Doc: "Whether a request may name its tenant, as `tenant=NAME` in the statement's comment."},
			{Name: "size", Kind: Count, Unit: "replicas", Default: strconv.Itoa(c.Size), Min: 1, Max: 1000, Doc: "Number of replicas that a cell reads from in each group."},
			{Name: "overlap", Kind: Count, Unit: "hosts", Default: strconv.Itoa(c.Overlap), Max: 1000, Doc: "Maximum number of hosts that two cells share in a group, provided that there are enough hosts. At most `size`."},
			{Name: "reserve", Kind: Number, Unit: "part", Default: formatNumber(c.ReservedShare), Max: 1, Doc: "Fraction of a cell's fair share of a shared host that no other cell may use."},
			{Name: "buckets", Kind: Count, Unit: "places", Default: strconv.Itoa(c.Buckets), Min: 1, Max: 1 << 20, Doc: "Number of buckets over which tenants without an entry in the file are distributed by a hash."},
			{Name: "queue", Kind: Number, Unit: "requests", Default: formatNumber(c.QueueFactor), Min: 1, Max: 1000, Doc: "Number of requests that a cell may hold for each attempt that its hosts can serve at a time."},
			{Name: "floor", Kind: Count, Unit: "requests", Default: strconv.Itoa(c.MinHeld), Min: 1, Max: 1 << 20, Doc: "Number of requests that a cell may hold whatever the capacity of its hosts."},
			cellSection(),
			tenantSection(),
			userSection(),
			movesSection(c.Moves),
		}}
}

// cellSection returns the section of one cell.
func cellSection() Entry {
	return Entry{Name: "cell", Kind: Section, Titled: true, Repeatable: true, Doc: "A cell and its name. At least one is required.",
		Entries: []Entry{
			{Name: "weight", Kind: Number, Default: "1", Max: 1e6, Doc: "Its share of shared hosts relative to the weights of the other cells. Above 0."},
			{Name: "pin", Kind: Texts, Doc: "IDs of hosts that are assigned to the cell before others are chosen by a hash."},
			{Name: "rate", Kind: Number, Unit: "requests/s", Default: "0", Max: 1e9, Doc: "Requests per second over all gateways. 0: limited only by the capacity of its hosts."},
			{Name: "burst", Kind: Count, Unit: "requests", Default: "0", Max: 1e9, Doc: "Requests that are admitted at once. 0: one second's worth of `rate`."},
			{Name: "concurrency", Kind: Count, Unit: "requests", Default: "0", Max: 1e9, Doc: "Maximum number of requests held by one gateway. 0: derived from the capacity of the cell's hosts."},
		}}
}

// tenantSection returns the section of one tenant.
func tenantSection() Entry {
	return Entry{Name: "tenant", Kind: Section, Titled: true, Repeatable: true, Doc: "A tenant and its name.",
		Entries: []Entry{
			{Name: "cell", Kind: Text, Doc: "The cell that serves it. If absent, chosen by a hash of the tenant's name."},
			{Name: "prefix", Kind: Texts, Doc: "Keys that begin with one of these prefixes belong to the tenant. The longest matching prefix decides."},
			{Name: "rate", Kind: Number, Unit: "requests/s", Default: "0", Max: 1e9, Doc: "Requests per second over all gateways. 0: no limit of its own."},
			{Name: "burst", Kind: Count, Unit: "requests", Default: "0", Max: 1e9, Doc: "Requests that are admitted at once. 0: one second's worth of `rate`."},
			{Name: "concurrency", Kind: Count, Unit: "requests", Default: "0", Max: 1e9, Doc: "Maximum number of requests held by one gateway. 0: an even share of the cell's limit while the cell is more than half full."},
		}}
}

// userSection returns the section of one user.
func userSection() Entry {
	return Entry{Name: "user", Kind: Section, Titled: true, Repeatable: true, Doc: "A user of client connections, its name, and the tenants that it may act for. Tenants named in such an entry are accessible to their users only.",
		Entries: []Entry{
			{Name: "tenants", Kind: Texts, Doc: "Tenants that the user may act for. The first one applies if a request names none and its key matches no prefix."},
		}}
}

// movesSection returns the section of moves, with the defaults of m.
func movesSection(m cells.MoveLimits) Entry {
	return Entry{Name: "moves", Kind: Section, Doc: "Limits on moving tenants.",
		Entries: []Entry{
			{Name: "at-once", Kind: Count, Unit: "moves", Default: strconv.Itoa(m.MaxConcurrent), Min: 1, Max: 1000, Doc: "Maximum number of moves in progress; others wait."},
			{Name: "ramp", Kind: Duration, Default: m.MinRamp.String(), Max: hours(1), Doc: "Minimum time over which a tenant's reads shift to the new cell."},
			{Name: "warm", Kind: Duration, Default: m.WarmTimeout.String(), Max: hours(24), Doc: "How long a move waits for the new hosts to be warm, and a fenced move for its confirmation. After that it is aborted."},
			{Name: "fence", Kind: Duration, Default: m.FenceTimeout.String(), Max: hours(1), Doc: "How long a move between groups may stay fenced. After that it is aborted."},
			{Name: "hold", Kind: Count, Unit: "writes", Default: strconv.Itoa(m.MaxHeldWrites), Max: 1 << 20, Doc: "Maximum number of a tenant's writes that wait at its fence. More are refused."},
		}}
}

// hours returns a number of hours in nanoseconds.
func hours(n float64) float64 { return n * float64(time.Hour) }

// formatNumber formats a number.
func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// formatBool formats a bool.
func formatBool(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}

// parse parses a value according to the kind of the entry: to a string, int, float64, time.Duration or bool.
func (e *Entry) parse(s string) (any, error) {
	bounds := func(v float64, show func(float64) string) error {
		switch {
		case v < e.Min:
			return fmt.Errorf("%s is below the minimum %s", s, show(e.Min))
		case e.Max > 0 && v > e.Max:
			return fmt.Errorf("%s is above the maximum %s", s, show(e.Max))
		}
		return nil
	}
	switch e.Kind {
	case Count:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a whole number", s)
		}
		return int(n), bounds(float64(n), formatNumber)
	case Number:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || f != f {
			return nil, fmt.Errorf("%q is not a number", s)
		}
		return f, bounds(f, formatNumber)
	case Duration:
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf("%q is not a duration such as 250ms or 5s", s)
		}
		return d, bounds(float64(d), func(f float64) string { return time.Duration(f).String() })
	case Mode:
		n, err := strconv.ParseUint(s, 8, 32)
		if err != nil {
			return nil, fmt.Errorf("%q is not an octal mode such as 0600", s)
		}
		return int(n), bounds(float64(n), func(f float64) string { return fmt.Sprintf("%04o", int(f)) })
	case Bool:
		if s != "yes" && s != "no" {
			return nil, fmt.Errorf("%q is neither yes nor no", s)
		}
		return s == "yes", nil
	}
	if s == "" {
		return nil, fmt.Errorf("the text is empty")
	}
	return s, nil
}

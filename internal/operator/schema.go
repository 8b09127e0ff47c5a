package operator

import (
	"fmt"
	"strconv"
	"time"

	"yokemast/internal/control/cells"
	"yokemast/internal/control/pooling"
)

// Kind is what an entry takes.
type Kind int

// Kinds of entries.
const (
	Section Kind = iota // entries of its own
	Text                // one word or quoted text
	Texts               // one or more of them
	Count               // a whole number
	Real                // a number
	Span                // a time with its unit, as in 250ms or 5s
	Mode                // permissions in octal, as in 0600
	Flag                // yes or no
)

var kindNames = [...]string{"section", "text", "texts", "whole number", "number", "time", "octal mode", "yes or no"}

func (k Kind) String() string { return kindNames[k] }

// Entry is what may stand in the file at one place. It is the only place where a setting has its default and its bounds.
type Entry struct {
	Name    string
	Kind    Kind
	Unit    string // what a number counts; "": nothing to say
	Default string // as it would be written; "": the entry has none and may be absent
	Least   float64
	Most    float64 // 0: no bound
	Many    bool    // it may stand more than once
	Titled  bool    // a section that begins with its name
	Doc     string
	Entries []Entry
}

// Schema gives all that may stand in the file.
func Schema() []Entry {
	return []Entry{controlSection(), poolsSection(), cellsSection(cells.DefaultConfig())}
}

// controlSection is that of the control socket.
func controlSection() Entry {
	return Entry{Name: "control", Kind: Section, Doc: "The control socket, for `yokemast cells` and other commands against a running gateway. Absent: there is none. Holds from the next start.",
		Entries: []Entry{
			{Name: "socket", Kind: Text, Doc: "Path of the unix domain socket. Needed where the section stands."},
			{Name: "mode", Kind: Mode, Default: "0600", Most: 0o777, Doc: "Permissions of the socket."},
		}}
}

// poolsSection is that of connections to hosts.
func poolsSection() Entry {
	return Entry{Name: "pools", Kind: Section, Doc: "Connections to hosts. Holds from the next start.",
		Entries: []Entry{
			{Name: "rest", Kind: Span, Default: "30ms", Most: hours(1), Doc: "A connection rests so long after an answer before it is used again. `0s` where hosts are known to send nothing behind an answer and to keep connections open: it saves most of the connections."},
			{Name: "prepared", Kind: Count, Unit: "statements", Default: strconv.Itoa(pooling.DefaultPrepared), Least: 1, Most: 100000, Doc: "Prepared statements that a connection keeps; the one used longest ago makes room."},
			{Name: "total", Kind: Count, Unit: "connections", Default: "0", Most: 1 << 20, Doc: "Connections to all hosts. 0: what the descriptors and the memory of the platform's configuration allow, which bound it in any case."},
			{Name: "per-host", Kind: Count, Unit: "connections", Default: "0", Most: 1 << 20, Doc: "Connections to one host. 0: as many as in total."},
			{Name: "wait", Kind: Span, Default: "100ms", Most: hours(1), Doc: "How long a request waits for a connection to the host that was chosen, where all are in use; then another choice is made."},
			{Name: "least", Kind: Count, Unit: "connections", Default: "0", Most: 1 << 20, Doc: "Connections that a host can have even where others hold the total: an idle one of theirs is closed for it."},
			{Name: "opening", Kind: Count, Unit: "connections", Default: "0", Most: 1 << 20, Doc: "Connections being opened to one host at a time. 0: any number."},
			{Name: "per-second", Kind: Real, Unit: "connections/s", Default: "0", Most: 1e6, Doc: "Connections opened to one host in a second, with as many at once. 0: any number."},
			{Name: "age", Kind: Span, Default: "0s", Most: hours(240), Doc: "A connection is closed at this age, give or take a quarter. 0s: never."},
			{Name: "memory", Kind: Span, Default: "0s", Most: hours(24), Doc: "The connections kept go down by half to what is used in each such time. 0s: only those that idle for too long are closed."},
			{Name: "cold-part", Kind: Real, Unit: "part", Default: "0", Most: 1, Doc: "Part of `per-host` that a host has that starts cold. 0: all."},
			poolSection(),
		}}
}

// poolSection is that of one pool of clients.
func poolSection() Entry {
	return Entry{Name: "pool", Kind: Section, Titled: true, Many: true, Doc: "Clients that may ask general SQL, simple and extended, and how they share connections. All others are taken by the platform's two statements only.",
		Entries: []Entry{
			{Name: "user", Kind: Texts, Doc: "Users of the pool. Absent: any."},
			{Name: "database", Kind: Texts, Doc: "Databases of the pool. Absent: any."},
			{Name: "tenant", Kind: Texts, Doc: "Tenants of the pool: users whose first tenant by (cells (user ...)) is one of them. Absent: any."},
			{Name: "mode", Kind: Text, Default: pooling.ByTransaction.String(), Doc: "For how long a client keeps a host connection: `statement`, `transaction` or `session`."},
			{Name: "group", Kind: Count, Default: "1", Most: 1 << 30, Doc: "The group of hosts, where the statement's comment names none as `cluster=N`."},
			{Name: "read", Kind: Text, Doc: "The class of statements that only read. A comment's `c=CLASS` goes before it."},
			{Name: "own", Kind: Text, Doc: "The class of reads after a write of the session's own. Absent: as `read`."},
			{Name: "write", Kind: Text, Doc: "The class of all that may write, and of transactions that are not READ ONLY."},
			{Name: "transaction", Kind: Span, Default: "30s", Most: hours(24), Doc: "How long a transaction may take; then it is ended and its client told."},
			{Name: "idle", Kind: Span, Default: "10s", Most: hours(24), Doc: "How long a transaction may be open with nothing asked; then it is rolled back and its client told (25P03)."},
			{Name: "batch", Kind: Count, Unit: "bytes", Default: "1048576", Least: 1024, Most: 1 << 28, Doc: "How much of a pipeline is held before its end."},
			{Name: "message", Kind: Count, Unit: "bytes", Default: "67108864", Least: 1024, Most: 1 << 30, Doc: "The longest Bind; above 64 KiB it is passed on in pieces as it comes."},
			{Name: "most", Kind: Count, Unit: "sessions", Default: "0", Most: 1 << 20, Doc: "Sessions of the pool that hold a host connection at a time; others are refused with a time to come back. 0: any number."},
		}}
}

// cellsSection is that of the cells, with the defaults of c.
func cellsSection(c cells.Config) Entry {
	return Entry{Name: "cells", Kind: Section, Doc: "Cells for containment. Absent: all requests of a group share its hosts.",
		Entries: []Entry{
			{Name: "claims", Kind: Flag, Default: flag(c.Claims), Doc: "Whether a request may name its tenant, as `tenant=NAME` in the statement's comment."},
			{Name: "size", Kind: Count, Unit: "replicas", Default: strconv.Itoa(c.Size), Least: 1, Most: 1000, Doc: "How many replicas a cell reads from in each group."},
			{Name: "overlap", Kind: Count, Unit: "hosts", Default: strconv.Itoa(c.Overlap), Most: 1000, Doc: "How many hosts two cells may have in common in a group, where there are enough hosts. At most `size`."},
			{Name: "reserve", Kind: Real, Unit: "part", Default: real(c.Reserve), Most: 1, Doc: "Part of a cell's fair share of a shared host that no other cell may take."},
			{Name: "buckets", Kind: Count, Unit: "places", Default: strconv.Itoa(c.Buckets), Least: 1, Most: 1 << 20, Doc: "Tenants unknown to the file share so many places, by a hash."},
			{Name: "queue", Kind: Real, Unit: "requests", Default: real(c.Queue), Least: 1, Most: 1000, Doc: "How many requests a cell may hold for each attempt that its hosts bear."},
			{Name: "floor", Kind: Count, Unit: "requests", Default: strconv.Itoa(c.Floor), Least: 1, Most: 1 << 20, Doc: "How many requests a cell may hold in any case."},
			cellSection(),
			tenantSection(),
			userSection(),
			movesSection(c.Moves),
		}}
}

// cellSection is that of one cell.
func cellSection() Entry {
	return Entry{Name: "cell", Kind: Section, Titled: true, Many: true, Doc: "A cell, by its name. At least one is needed.",
		Entries: []Entry{
			{Name: "weight", Kind: Real, Default: "1", Most: 1e6, Doc: "Its part of what is shared, against the other cells' weights. Above 0."},
			{Name: "pin", Kind: Texts, Doc: "Hosts, by id, that it has before those that it is drawn."},
			{Name: "rate", Kind: Real, Unit: "requests/s", Default: "0", Most: 1e9, Doc: "Requests a second, over all gateways. 0: as many as its hosts bear."},
			{Name: "burst", Kind: Count, Unit: "requests", Default: "0", Most: 1e9, Doc: "Requests that may come at once. 0: a second's worth of `rate`."},
			{Name: "concurrency", Kind: Count, Unit: "requests", Default: "0", Most: 1e9, Doc: "Requests that one gateway holds. 0: by what the cell's hosts bear."},
		}}
}

// tenantSection is that of one tenant.
func tenantSection() Entry {
	return Entry{Name: "tenant", Kind: Section, Titled: true, Many: true, Doc: "A tenant, by its name.",
		Entries: []Entry{
			{Name: "cell", Kind: Text, Doc: "The cell that serves it. Absent: drawn by the tenant's name."},
			{Name: "prefix", Kind: Texts, Doc: "Keys that begin so are its own; the longest prefix wins."},
			{Name: "rate", Kind: Real, Unit: "requests/s", Default: "0", Most: 1e9, Doc: "Requests a second, over all gateways. 0: no limit of its own."},
			{Name: "burst", Kind: Count, Unit: "requests", Default: "0", Most: 1e9, Doc: "Requests that may come at once. 0: a second's worth of `rate`."},
			{Name: "concurrency", Kind: Count, Unit: "requests", Default: "0", Most: 1e9, Doc: "Requests that one gateway holds. 0: an even part of its cell's while that is more than half full."},
		}}
}

// userSection is that of one user.
func userSection() Entry {
	return Entry{Name: "user", Kind: Section, Titled: true, Many: true, Doc: "A user of client connections, by its name, and whom it may act for. Where any stands, nobody else may act for those tenants.",
		Entries: []Entry{
			{Name: "tenants", Kind: Texts, Doc: "Tenants that the user may act for. The first is meant where a request names none and its key has no prefix."},
		}}
}

// movesSection is that of moves, with the defaults of m.
func movesSection(m cells.MoveLimits) Entry {
	return Entry{Name: "moves", Kind: Section, Doc: "Limits on moving tenants.",
		Entries: []Entry{
			{Name: "at-once", Kind: Count, Unit: "moves", Default: strconv.Itoa(m.AtOnce), Least: 1, Most: 1000, Doc: "Moves under way at a time; others wait."},
			{Name: "ramp", Kind: Span, Default: m.Ramp.String(), Most: hours(1), Doc: "A tenant's reads go over in no less than this."},
			{Name: "warm", Kind: Span, Default: m.Warm.String(), Most: hours(24), Doc: "How long a move waits for the new place to be warm, and fenced for its confirmation; then it is aborted."},
			{Name: "fence", Kind: Span, Default: m.Fence.String(), Most: hours(1), Doc: "How long a fence may stand between groups; then the move is aborted."},
			{Name: "hold", Kind: Count, Unit: "writes", Default: strconv.Itoa(m.Hold), Most: 1 << 20, Doc: "Writes of a tenant that wait at its fence; more are refused."},
		}}
}

func hours(n float64) float64 { return n * float64(time.Hour) }

func real(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func flag(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}

// read gives an entry's argument as its kind has it: string, int, float64, time.Duration or bool.
func (e *Entry) read(s string) (any, error) {
	bounds := func(v float64, show func(float64) string) error {
		switch {
		case v < e.Least:
			return fmt.Errorf("%s: under %s", s, show(e.Least))
		case e.Most > 0 && v > e.Most:
			return fmt.Errorf("%s: over %s", s, show(e.Most))
		}
		return nil
	}
	switch e.Kind {
	case Count:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no whole number", s)
		}
		return int(n), bounds(float64(n), real)
	case Real:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || f != f {
			return nil, fmt.Errorf("%q is no number", s)
		}
		return f, bounds(f, real)
	case Span:
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf("%q is no time, as in 250ms or 5s", s)
		}
		return d, bounds(float64(d), func(f float64) string { return time.Duration(f).String() })
	case Mode:
		n, err := strconv.ParseUint(s, 8, 32)
		if err != nil {
			return nil, fmt.Errorf("%q is no mode, as in 0600", s)
		}
		return int(n), bounds(float64(n), func(f float64) string { return fmt.Sprintf("%04o", int(f)) })
	case Flag:
		if s != "yes" && s != "no" {
			return nil, fmt.Errorf("%q is neither yes nor no", s)
		}
		return s == "yes", nil
	}
	if s == "" {
		return nil, fmt.Errorf("empty")
	}
	return s, nil
}

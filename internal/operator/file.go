package operator

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"yokemast/internal/control/cells"
	"yokemast/internal/control/pooling"
)

// File holds the settings of the operator's file, with defaults for those that it omits.
type File struct {
	Path    string
	Control Control
	Pools   Pools
	Cells   *cells.Config // nil if the file has no such section
	root    *node
}

// Pools holds how connections to hosts are kept and shared.
type Pools struct {
	Limits   pooling.Limits // limits from descriptors and memory come from the platform's configuration
	Prepared int
	Wait     time.Duration // maximum time that a request waits for a connection
	Pools    []Pool
}

// Pool is a pool of clients that may send general SQL.
type Pool struct {
	Name                        string
	Users, Databases            []string // empty means any
	Tenants                     []string
	Mode                        pooling.Mode
	Group                       int
	Read, ReadAfterWrite, Write string
	MaxTransaction, MaxIdle     time.Duration
	MaxBatch                    int
	MaxMessage, MaxSessions     int
}

// Control holds the settings of the control socket.
type Control struct {
	Socket string // empty if there is no control socket
	Mode   os.FileMode
}

// node is an entry of the file, or an entry that it omits and that has a default.
type node struct {
	entry    *Entry
	pos      lexer.Position
	title    string // name of a titled section
	values   []any
	written  []string // the values as written in the file
	children []*node  // entries of a section, in the order of the schema
	explicit bool     // whether the entry is in the file
}

// Load reads and checks a file.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, What: errors.Unwrap(err).Error(), Cause: err}
	}
	return Parse(path, b)
}

// Parse parses and checks the text of a file.
func Parse(path string, b []byte) (*File, error) {
	t, err := parseTree(path, b)
	if err != nil {
		return nil, err
	}
	root := &node{entry: &Entry{Kind: Section, Entries: Schema()}}
	r := reader{path}
	if err := r.section(root, "", lexer.Position{}, t.Forms); err != nil {
		return nil, err
	}
	f := &File{Path: path, root: root}
	return f, f.convert()
}

// reader converts forms to nodes according to the schema.
type reader struct{ file string }

// errorAt returns an error at a position of the file.
func (r reader) errorAt(p lexer.Position, entry, what string, args ...any) error {
	return &Error{File: r.file, Line: p.Line, Column: p.Column, Entry: entry, What: fmt.Sprintf(what, args...)}
}

// section reads the forms of a section and adds the defaults of omitted entries.
func (r reader) section(n *node, path string, at lexer.Position, forms []*form) error {
	given := map[string][]*node{}
	titles := map[string]lexer.Position{}
	for _, f := range forms {
		name := strings.TrimPrefix(path+"."+f.Name, ".")
		entry := n.entry.find(f.Name)
		if entry == nil {
			return r.errorAt(f.Pos, name, "no such entry")
		}
		if old := given[f.Name]; len(old) > 0 && !entry.Repeatable {
			return r.errorAt(f.Pos, name, "already given at line %d", old[0].pos.Line)
		}
		child, err := r.entry(entry, name, f)
		if err != nil {
			return err
		}
		if entry.Titled {
			key := f.Name + "\x00" + child.title
			if old, twice := titles[key]; twice {
				return r.errorAt(f.Pos, name, "%q is already given at line %d", child.title, old.Line)
			}
			titles[key] = f.Pos
		}
		given[f.Name] = append(given[f.Name], child)
	}
	for i := range n.entry.Entries {
		e := &n.entry.Entries[i]
		switch {
		case len(given[e.Name]) > 0:
			n.children = append(n.children, given[e.Name]...)
		case e.Kind == Section && !e.Titled && (path != "" || e.Name == "pools"): // a section of limits that all have defaults
			child := &node{entry: e, pos: at}
			if err := r.section(child, path+"."+e.Name, at, nil); err != nil {
				return err
			}
			n.children = append(n.children, child)
		case e.Default != "":
			v, err := e.parse(e.Default)
			if err != nil {
				return r.errorAt(at, path+"."+e.Name, "default: %s", err)
			}
			n.children = append(n.children, &node{entry: e, pos: at, values: []any{v}, written: []string{e.Default}})
		}
	}
	return nil
}

// find returns the entry of a section with that name, or nil if there is none.
func (e *Entry) find(name string) *Entry {
	for i := range e.Entries {
		if e.Entries[i].Name == name {
			return &e.Entries[i]
		}
	}
	return nil
}

// entry reads one form.
func (r reader) entry(e *Entry, path string, f *form) (*node, error) {
	n := &node{entry: e, pos: f.Pos, explicit: true}
	var forms []*form
	for i, a := range f.Args {
		switch {
		case a.Form != nil && e.Kind == Section && (!e.Titled || i > 0):
			forms = append(forms, a.Form)
			continue
		case a.Form != nil:
			return nil, r.errorAt(a.Pos, path, "takes no nested entry here")
		}
		s := a.Text
		switch {
		case e.Titled && i == 0:
			if n.title = s; s == "" {
				return nil, r.errorAt(a.Pos, path, "the name is empty")
			}
			continue
		case e.Kind == Section:
			return nil, r.errorAt(a.Pos, path, "%q is not an entry", s)
		case e.Kind != Texts && len(n.values) > 0:
			return nil, r.errorAt(a.Pos, path, "takes one %s", e.Kind)
		}
		v, err := e.parse(s)
		if err != nil {
			return nil, r.errorAt(a.Pos, path, "%s", err)
		}
		n.values, n.written = append(n.values, v), append(n.written, s)
	}
	switch {
	case e.Titled && n.title == "":
		return nil, r.errorAt(f.Pos, path, "the name is missing")
	case e.Kind != Section && len(n.values) == 0:
		return nil, r.errorAt(f.Pos, path, "takes a %s", e.Kind)
	case e.Kind == Section:
		return n, r.section(n, path, f.Pos, forms)
	}
	return n, nil
}

// named returns the entries of that name.
func (n *node) named(name string) (out []*node) {
	for _, p := range n.children {
		if p.entry.Name == name {
			out = append(out, p)
		}
	}
	return out
}

// first returns the first entry of that name, or nil if there is none.
func (n *node) first(name string) *node {
	if all := n.named(name); len(all) > 0 {
		return all[0]
	}
	return nil
}

// value returns the value of an entry with one value, or the zero value if it is absent.
func value[T any](n *node, name string) (out T) {
	if p := n.first(name); p != nil {
		out = p.values[0].(T)
	}
	return out
}

// stringValues returns the values of an entry with texts.
func stringValues(n *node, name string) (out []string) {
	if p := n.first(name); p != nil {
		for _, v := range p.values {
			out = append(out, v.(string))
		}
	}
	return out
}

// convert converts the parsed entries to settings and checks their combinations.
func (f *File) convert() error {
	r := reader{f.Path}
	if c := f.root.first("control"); c != nil {
		f.Control = Control{Socket: value[string](c, "socket"), Mode: os.FileMode(value[int](c, "mode"))}
		if f.Control.Socket == "" {
			return r.errorAt(c.pos, "control", "socket is missing")
		}
		if !filepath.IsAbs(f.Control.Socket) {
			return r.errorAt(c.first("socket").pos, "control.socket", "%q is not an absolute path", f.Control.Socket)
		}
	}
	if err := f.convertPools(r); err != nil {
		return err
	}
	n := f.root.first("cells")
	if n == nil {
		return nil
	}
	moves := n.first("moves")
	c := &cells.Config{Claims: value[bool](n, "claims"), Size: value[int](n, "size"), Overlap: value[int](n, "overlap"),
		ReservedShare: value[float64](n, "reserve"), Buckets: value[int](n, "buckets"),
		QueueFactor: value[float64](n, "queue"),
		MinHeld:     value[int](n, "floor"), Gateways: 1, Users: map[string][]string{},
		Moves: cells.MoveLimits{MaxConcurrent: value[int](moves, "at-once"), MinRamp: value[time.Duration](moves, "ramp"),
			WarmTimeout: value[time.Duration](moves, "warm"), FenceTimeout: value[time.Duration](moves, "fence"),
			MaxHeldWrites: value[int](moves, "hold")}}
	for _, p := range n.named("cell") {
		c.Cells = append(c.Cells, cells.Cell{Name: p.title, Weight: value[float64](p, "weight"), Pins: stringValues(p, "pin"),
			Rate: value[float64](p, "rate"), Burst: value[int](p, "burst"), Concurrency: value[int](p, "concurrency")})
	}
	for _, p := range n.named("tenant") {
		c.Tenants = append(c.Tenants, cells.Tenant{Name: p.title, Cell: value[string](p, "cell"), Prefixes: stringValues(p, "prefix"),
			Rate: value[float64](p, "rate"), Burst: value[int](p, "burst"), Concurrency: value[int](p, "concurrency")})
	}
	for _, p := range n.named("user") {
		c.Users[p.title] = stringValues(p, "tenants")
	}
	var fault *cells.Fault
	if err := c.Check(); errors.As(err, &fault) {
		at, path := n.pos, "cells"
		if fault.Entry != "" {
			path += "." + fault.Entry
		}
		for _, p := range n.named(fault.Entry) {
			if fault.Name == "" || p.title == fault.Name {
				at = p.pos // the last one: of two entries of the same name that is the superfluous one
			}
		}
		if fault.Name != "" {
			return r.errorAt(at, path, "%q: %s", fault.Name, fault.What)
		}
		return r.errorAt(at, path, "%s", fault.What)
	} else if err != nil {
		return r.errorAt(n.pos, "cells", "%s", err)
	}
	f.Cells = c
	return nil
}

// convertPools converts the section of the pools.
func (f *File) convertPools(r reader) error {
	n := f.root.first("pools")
	f.Pools = Pools{Prepared: value[int](n, "prepared"), Wait: value[time.Duration](n, "wait"),
		Limits: pooling.Limits{Total: value[int](n, "total"),
			PerHost: value[int](n, "per-host"), MinPerHost: value[int](n, "least"), Opening: value[int](n, "opening"),
			OpenRate: value[float64](n, "per-second"), MinRest: value[time.Duration](n, "rest"), Age: value[time.Duration](n, "age"),
			PeakHalfLife: value[time.Duration](n, "memory"), SlowStartFraction: value[float64](n, "cold-part")}}
	for _, p := range n.named("pool") {
		x := Pool{Name: p.title, Users: stringValues(p, "user"), Databases: stringValues(p, "database"), Group: value[int](p, "group"),
			Read: value[string](p, "read"), ReadAfterWrite: value[string](p, "own"), Write: value[string](p, "write"),
			MaxTransaction: value[time.Duration](p, "transaction"), MaxIdle: value[time.Duration](p, "idle"),
			MaxBatch: value[int](p, "batch"),
			Tenants:  stringValues(p, "tenant"), MaxMessage: value[int](p, "message"), MaxSessions: value[int](p, "most")}
		x.ReadAfterWrite = cmp.Or(x.ReadAfterWrite, x.Read)
		var ok bool
		if x.Mode, ok = pooling.ParseMode(value[string](p, "mode")); !ok {
			return r.errorAt(p.first("mode").pos, "pools.pool.mode", "%q is not one of statement, transaction and session",
				value[string](p, "mode"))
		}
		if x.Read == "" || x.Write == "" {
			return r.errorAt(p.pos, "pools.pool", "%q: read and write must each name a class", x.Name)
		}
		f.Pools.Pools = append(f.Pools.Pools, x)
	}
	return nil
}

// Print writes the settings in force, defaults included, in the syntax of the file. Defaults are marked as
// such.
func (f *File) Print(w io.Writer) error {
	var b strings.Builder
	for _, n := range f.root.children {
		n.print(&b, "")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (n *node) print(b *strings.Builder, indent string) {
	fmt.Fprintf(b, "%s(%s", indent, n.entry.Name)
	if n.entry.Titled {
		fmt.Fprintf(b, " %s", quote(n.title))
	}
	for _, w := range n.written {
		if n.entry.Kind == Text || n.entry.Kind == Texts {
			w = quote(w)
		}
		b.WriteString(" " + w)
	}
	if len(n.children) > 0 {
		b.WriteString("\n")
		for _, p := range n.children {
			p.print(b, indent+"  ")
		}
		b.WriteString(indent)
	}
	b.WriteString(")")
	if !n.explicit {
		b.WriteString(" ; default")
	}
	b.WriteString("\n")
}

// quote returns a text in quotes, as the grammar reads it.
func quote(s string) string { return fmt.Sprintf("%q", s) }

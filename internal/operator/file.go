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

// File is what the operator's file says, with the defaults for what it leaves out.
type File struct {
	Path    string
	Control Control
	Pools   Pools
	Cells   *cells.Config // nil: there are none
	root    *node
}

// Pools says how connections to hosts are kept and shared.
type Pools struct {
	Limits   pooling.Limits // those of descriptors and memory are filled in by the platform's configuration
	Prepared int
	Wait     time.Duration // for a connection
	Pools    []Pool
}

// Pool is one pool of clients that may ask general SQL.
type Pool struct {
	Name                        string
	Users, Databases            []string // empty: any
	Tenants                     []string
	Mode                        pooling.Mode
	Group                       int
	Read, ReadAfterWrite, Write string
	MaxTransaction, MaxIdle     time.Duration
	MaxBatch                    int
	MaxMessage, MaxSessions     int
}

// Control is the control socket.
type Control struct {
	Socket string // "": there is none
	Mode   os.FileMode
}

// node is an entry that stands in the file, or would stand there by default.
type node struct {
	entry  *Entry
	pos    lexer.Position
	title  string
	values []any
	words  []string // as they were written
	parts  []*node  // of a section, in the order of the schema
	given  bool     // it stands in the file
}

// Load reads and checks a file.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, What: errors.Unwrap(err).Error(), Cause: err}
	}
	return Parse(path, b)
}

// Parse reads and checks the text of a file.
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
	return f, f.fill()
}

type reader struct{ file string }

func (r reader) fail(p lexer.Position, entry, what string, args ...any) error {
	return &Error{File: r.file, Line: p.Line, Column: p.Column, Entry: entry, What: fmt.Sprintf(what, args...)}
}

// section reads the forms of a section and adds what the file leaves out.
func (r reader) section(n *node, path string, at lexer.Position, forms []*form) error {
	given := map[string][]*node{}
	titles := map[string]lexer.Position{}
	for _, f := range forms {
		name := strings.TrimPrefix(path+"."+f.Name, ".")
		entry := n.entry.find(f.Name)
		if entry == nil {
			return r.fail(f.Pos, name, "no such entry")
		}
		if old := given[f.Name]; len(old) > 0 && !entry.Many {
			return r.fail(f.Pos, name, "stands here and at line %d", old[0].pos.Line)
		}
		part, err := r.entry(entry, name, f)
		if err != nil {
			return err
		}
		if entry.Titled {
			key := f.Name + "\x00" + part.title
			if old, twice := titles[key]; twice {
				return r.fail(f.Pos, name, "%q stands here and at line %d", part.title, old.Line)
			}
			titles[key] = f.Pos
		}
		given[f.Name] = append(given[f.Name], part)
	}
	for i := range n.entry.Entries {
		e := &n.entry.Entries[i]
		switch {
		case len(given[e.Name]) > 0:
			n.parts = append(n.parts, given[e.Name]...)
		case e.Kind == Section && !e.Titled && (path != "" || e.Name == "pools"): // a section of limits, all by default
			part := &node{entry: e, pos: at}
			if err := r.section(part, path+"."+e.Name, at, nil); err != nil {
				return err
			}
			n.parts = append(n.parts, part)
		case e.Default != "":
			v, err := e.read(e.Default)
			if err != nil {
				return r.fail(at, path+"."+e.Name, "default: %s", err)
			}
			n.parts = append(n.parts, &node{entry: e, pos: at, values: []any{v}, words: []string{e.Default}})
		}
	}
	return nil
}

func (e *Entry) find(name string) *Entry {
	for i := range e.Entries {
		if e.Entries[i].Name == name {
			return &e.Entries[i]
		}
	}
	return nil
}

func (r reader) entry(e *Entry, path string, f *form) (*node, error) {
	n := &node{entry: e, pos: f.Pos, given: true}
	var forms []*form
	for i, a := range f.Args {
		switch {
		case a.Form != nil && e.Kind == Section && (!e.Titled || i > 0):
			forms = append(forms, a.Form)
			continue
		case a.Form != nil:
			return nil, r.fail(a.Pos, path, "takes no entry here")
		}
		s := a.Word
		switch {
		case e.Titled && i == 0:
			if n.title = s; s == "" {
				return nil, r.fail(a.Pos, path, "its name is empty")
			}
			continue
		case e.Kind == Section:
			return nil, r.fail(a.Pos, path, "%q is no entry", s)
		case e.Kind != Texts && len(n.values) > 0:
			return nil, r.fail(a.Pos, path, "takes one %s", e.Kind)
		}
		v, err := e.read(s)
		if err != nil {
			return nil, r.fail(a.Pos, path, "%s", err)
		}
		n.values, n.words = append(n.values, v), append(n.words, s)
	}
	switch {
	case e.Titled && n.title == "":
		return nil, r.fail(f.Pos, path, "its name is missing")
	case e.Kind != Section && len(n.values) == 0:
		return nil, r.fail(f.Pos, path, "takes a %s", e.Kind)
	case e.Kind == Section:
		return n, r.section(n, path, f.Pos, forms)
	}
	return n, nil
}

func (n *node) all(name string) (out []*node) {
	for _, p := range n.parts {
		if p.entry.Name == name {
			out = append(out, p)
		}
	}
	return out
}

func (n *node) one(name string) *node {
	if all := n.all(name); len(all) > 0 {
		return all[0]
	}
	return nil
}

// value gives an entry's one value; the zero value where it does not stand.
func value[T any](n *node, name string) (out T) {
	if p := n.one(name); p != nil {
		out = p.values[0].(T)
	}
	return out
}

func texts(n *node, name string) (out []string) {
	if p := n.one(name); p != nil {
		for _, v := range p.values {
			out = append(out, v.(string))
		}
	}
	return out
}

// fill turns what was read into settings and checks what goes together.
func (f *File) fill() error {
	r := reader{f.Path}
	if c := f.root.one("control"); c != nil {
		f.Control = Control{Socket: value[string](c, "socket"), Mode: os.FileMode(value[int](c, "mode"))}
		if f.Control.Socket == "" {
			return r.fail(c.pos, "control", "socket is missing")
		}
		if !filepath.IsAbs(f.Control.Socket) {
			return r.fail(c.one("socket").pos, "control.socket", "%q is no absolute path", f.Control.Socket)
		}
	}
	if err := f.pools(r); err != nil {
		return err
	}
	n := f.root.one("cells")
	if n == nil {
		return nil
	}
	moves := n.one("moves")
	c := &cells.Config{Claims: value[bool](n, "claims"), Size: value[int](n, "size"), Overlap: value[int](n, "overlap"),
		Reserve: value[float64](n, "reserve"), Buckets: value[int](n, "buckets"), Queue: value[float64](n, "queue"),
		Floor: value[int](n, "floor"), Gateways: 1, Users: map[string][]string{},
		Moves: cells.MoveLimits{AtOnce: value[int](moves, "at-once"), Ramp: value[time.Duration](moves, "ramp"),
			Warm: value[time.Duration](moves, "warm"), Fence: value[time.Duration](moves, "fence"), Hold: value[int](moves, "hold")}}
	for _, p := range n.all("cell") {
		c.Cells = append(c.Cells, cells.Cell{Name: p.title, Weight: value[float64](p, "weight"), Pins: texts(p, "pin"),
			Rate: value[float64](p, "rate"), Burst: value[int](p, "burst"), Concurrency: value[int](p, "concurrency")})
	}
	for _, p := range n.all("tenant") {
		c.Tenants = append(c.Tenants, cells.Tenant{Name: p.title, Cell: value[string](p, "cell"), Prefixes: texts(p, "prefix"),
			Rate: value[float64](p, "rate"), Burst: value[int](p, "burst"), Concurrency: value[int](p, "concurrency")})
	}
	for _, p := range n.all("user") {
		c.Users[p.title] = texts(p, "tenants")
	}
	var fault *cells.Fault
	if err := c.Check(); errors.As(err, &fault) {
		at, path := n.pos, "cells"
		if fault.Entry != "" {
			path += "." + fault.Entry
		}
		for _, p := range n.all(fault.Entry) {
			if fault.Name == "" || p.title == fault.Name {
				at = p.pos // the last: where one stands twice, that is the one too many
			}
		}
		if fault.Name != "" {
			return r.fail(at, path, "%q: %s", fault.Name, fault.What)
		}
		return r.fail(at, path, "%s", fault.What)
	} else if err != nil {
		return r.fail(n.pos, "cells", "%s", err)
	}
	f.Cells = c
	return nil
}

func (f *File) pools(r reader) error {
	n := f.root.one("pools")
	f.Pools = Pools{Prepared: value[int](n, "prepared"), Wait: value[time.Duration](n, "wait"), Limits: pooling.Limits{Total: value[int](n, "total"),
		PerHost: value[int](n, "per-host"), MinPerHost: value[int](n, "least"), Opening: value[int](n, "opening"),
		OpenRate: value[float64](n, "per-second"), MinRest: value[time.Duration](n, "rest"), Age: value[time.Duration](n, "age"),
		PeakHalfLife: value[time.Duration](n, "memory"), SlowStartFraction: value[float64](n, "cold-part")}}
	for _, p := range n.all("pool") {
		x := Pool{Name: p.title, Users: texts(p, "user"), Databases: texts(p, "database"), Group: value[int](p, "group"),
			Read: value[string](p, "read"), ReadAfterWrite: value[string](p, "own"), Write: value[string](p, "write"),
			MaxTransaction: value[time.Duration](p, "transaction"), MaxIdle: value[time.Duration](p, "idle"), MaxBatch: value[int](p, "batch"),
			Tenants: texts(p, "tenant"), MaxMessage: value[int](p, "message"), MaxSessions: value[int](p, "most")}
		x.ReadAfterWrite = cmp.Or(x.ReadAfterWrite, x.Read)
		var ok bool
		if x.Mode, ok = pooling.ParseMode(value[string](p, "mode")); !ok {
			return r.fail(p.one("mode").pos, "pools.pool.mode", "%q: neither statement, transaction nor session", value[string](p, "mode"))
		}
		if x.Read == "" || x.Write == "" {
			return r.fail(p.pos, "pools.pool", "%q: read and write name no class", x.Name)
		}
		f.Pools.Pools = append(f.Pools.Pools, x)
	}
	return nil
}

// Print writes the settings in force, defaults included, in the form of the file. What is by default is marked.
func (f *File) Print(w io.Writer) error {
	var b strings.Builder
	for _, n := range f.root.parts {
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
	for _, w := range n.words {
		if n.entry.Kind == Text || n.entry.Kind == Texts {
			w = quote(w)
		}
		b.WriteString(" " + w)
	}
	if len(n.parts) > 0 {
		b.WriteString("\n")
		for _, p := range n.parts {
			p.print(b, indent+"  ")
		}
		b.WriteString(indent)
	}
	b.WriteString(")")
	if !n.given {
		b.WriteString(" ; default")
	}
	b.WriteString("\n")
}

// quote writes text so that the grammar reads it back.
func quote(s string) string { return fmt.Sprintf("%q", s) }

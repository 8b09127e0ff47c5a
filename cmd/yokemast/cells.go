package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"yokemast/internal/control/cells"
	"yokemast/internal/operator"
	"yokemast/internal/wire/control"
)

type cellsCmd struct {
	Show    showCmd    `cmd:"" help:"Show the cells, their hosts and requests, and the moves."`
	Plan    planCmd    `cmd:"" help:"Show which cells would change if hosts were added or removed, without changing any."`
	Move    moveCmd    `cmd:"" help:"Move a tenant to another cell or group while it is served."`
	Abort   abortCmd   `cmd:"" help:"Abort a tenant's move; the tenant stays where it was."`
	Confirm confirmCmd `cmd:"" help:"Confirm a move that was started with --confirm, so that it settles."`
}

// gatewayFlags select the gateway and the output format.
type gatewayFlags struct {
	Socket   string `help:"The gateway's control socket; overrides the operator's file." env:"YOKEMAST_CONTROL" type:"path"`
	Operator string `help:"The operator's file, which names the control socket." env:"YOKEMAST_OPERATOR" type:"path"`
	JSON     bool   `name:"json" help:"Print JSON."`
}

func (g gatewayFlags) client() (*control.Client, error) {
	if g.Socket == "" && g.Operator != "" {
		f, err := operator.Load(g.Operator)
		if err != nil {
			return nil, err
		}
		g.Socket = f.Control.Socket
	}
	if g.Socket == "" {
		return nil, errors.New("no control socket: give --socket, or --operator with a file that names one")
	}
	return control.NewClient(g.Socket), nil
}

// print writes v as JSON, or calls tables to write it as tables.
func (g gatewayFlags) print(v any, tables func(w io.Writer)) error {
	if g.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	tables(w)
	return w.Flush()
}

type showCmd struct{ gatewayFlags }

// Run shows the cells.
func (s *showCmd) Run() error {
	c, err := s.client()
	if err != nil {
		return err
	}
	r, err := c.Cells(context.Background())
	if err != nil {
		return err
	}
	return s.report(r)
}

// report prints the state of the cells and of the moves.
func (g gatewayFlags) report(r cells.Report) error {
	return g.print(r, func(w io.Writer) {
		fmt.Fprintln(w, "CELL\tWEIGHT\tTENANTS\tHOSTS\tBORROWED\tHELD\tMOST\tTAKEN\tOVER RATE\tOVER HELD\tOVER TENANT")
		for _, c := range r.Cells {
			var hosts []string
			for group, list := range c.Hosts {
				hosts = append(hosts, group+":"+strings.Join(list, ","))
			}
			slices.Sort(hosts)
			fmt.Fprintf(w, "%s\t%g\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Cell, c.Weight, c.Tenants, dash(strings.Join(hosts, " ")),
				dash(strings.Join(c.Borrowed, ",")), c.Held, c.MaxHeld, c.Taken, c.OverRate, c.OverConcurrency, c.OverTenant)
		}
		overlaps(w, r.Overlaps, r.Relaxed)
		if len(r.Moves)+len(r.Ended) == 0 {
			return
		}
		fmt.Fprintln(w, "\nTENANT\tFROM\tTO\tSTAGE\tREADS OVER\tWRITES HELD\tREASON")
		for _, m := range append(r.Moves, r.Ended...) {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f%%\t%d\t%s\n", m.Tenant, cellAndGroup(m.From, m.FromGroup), cellAndGroup(m.To, m.ToGroup), m.Stage,
				100*m.Share, m.Held, dash(m.Reason))
		}
	})
}

// overlaps writes the table of the hosts that cells have in common.
func overlaps(w io.Writer, pairs []cells.NamedPair, relaxed int) {
	if len(pairs) > 0 {
		fmt.Fprintln(w, "\nCELL\tAND\tGROUP\tHOSTS IN COMMON")
	}
	for _, p := range pairs {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", p.A, p.B, p.Group, p.Hosts)
	}
	if relaxed > 0 {
		fmt.Fprintf(w, "\n%d slots exceed the allowed overlap, as there are too few hosts\n", relaxed)
	}
}

func cellAndGroup(cell string, group int) string {
	if group == 0 {
		return cell
	}
	return cell + "/" + strconv.Itoa(group)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type planCmd struct {
	gatewayFlags
	Come  []string `help:"A host that would be added, as ID:GROUP or ID:GROUP:WEIGHT." placeholder:"HOST"`
	Leave []string `help:"The id of a host that would be removed." placeholder:"ID"`
}

// Run shows the forecast.
func (p *planCmd) Run() error {
	q := control.PlanRequest{Leave: p.Leave}
	for _, s := range p.Come {
		f := strings.Split(s, ":")
		if len(f) < 2 || len(f) > 3 || f[0] == "" {
			return fmt.Errorf("--come %s: not ID:GROUP or ID:GROUP:WEIGHT", s)
		}
		h := control.Host{ID: f[0], Weight: 1}
		var err error
		if h.Group, err = strconv.Atoi(f[1]); err == nil && len(f) == 3 {
			h.Weight, err = strconv.ParseFloat(f[2], 64)
		}
		if err != nil || !(h.Weight > 0) {
			return fmt.Errorf("--come %s: not ID:GROUP or ID:GROUP:WEIGHT", s)
		}
		q.Come = append(q.Come, h)
	}
	c, err := p.client()
	if err != nil {
		return err
	}
	f, err := c.Plan(context.Background(), q)
	if err != nil {
		return err
	}
	return p.print(f, func(w io.Writer) {
		fmt.Fprintln(w, "CELL\tGROUP\tTENANTS\tLOSES\tWINS")
		for _, x := range f.Changes {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", x.Cell, x.Group, x.Tenants, dash(strings.Join(x.Lost, ",")),
				dash(strings.Join(x.Gained, ",")))
		}
		overlaps(w, f.Overlaps, f.Relaxed)
	})
}

type moveCmd struct {
	gatewayFlags
	Tenant    string `arg:"" help:"The tenant."`
	To        string `help:"The destination cell; by default the tenant stays in its cell." placeholder:"CELL"`
	FromGroup int    `help:"The group that its data has been copied from." placeholder:"N"`
	ToGroup   int    `help:"The group that its data has been copied to." placeholder:"N"`
	Confirm   bool   `help:"Stay fenced until 'cells confirm': for several gateways, so that all fence before one settles."`
}

// Run starts the move.
func (m *moveCmd) Run() error {
	if m.To == "" && m.FromGroup == m.ToGroup {
		return errors.New("nothing to move: give --to, or --from-group and --to-group")
	}
	if (m.FromGroup == 0) != (m.ToGroup == 0) {
		return errors.New("--from-group and --to-group go together")
	}
	return order(m.gatewayFlags, "move", control.MoveRequest{Tenant: m.Tenant, To: m.To, FromGroup: m.FromGroup,
		ToGroup: m.ToGroup, Confirm: m.Confirm})
}

type abortCmd struct {
	gatewayFlags
	Tenant string `arg:"" help:"The tenant."`
}

// Run aborts the move.
func (a *abortCmd) Run() error {
	return order(a.gatewayFlags, "abort", control.MoveRequest{Tenant: a.Tenant})
}

type confirmCmd struct {
	gatewayFlags
	Tenant string `arg:"" help:"The tenant."`
}

// Run confirms the move.
func (a *confirmCmd) Run() error {
	return order(a.gatewayFlags, "confirm", control.MoveRequest{Tenant: a.Tenant})
}

// order sends an order about a move, with its verb, and prints the resulting state.
func order(g gatewayFlags, verb string, q control.MoveRequest) error {
	c, err := g.client()
	if err != nil {
		return err
	}
	r, err := c.Order(context.Background(), verb, q)
	if err != nil {
		return err
	}
	return g.report(r)
}

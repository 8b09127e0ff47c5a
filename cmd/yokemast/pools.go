package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

type poolsCmd struct{ gatewayFlags }

// Run shows the pools.
func (p *poolsCmd) Run() error {
	c, err := p.client()
	if err != nil {
		return err
	}
	r, err := c.Pools(context.Background())
	if err != nil {
		return err
	}
	return p.print(r, func(w io.Writer) {
		fmt.Fprintln(w, "POOL\tMODE\tSESSIONS\tHOLDING\tBATCHES\tTRANSACTIONS\tLOST\tCANCELS\tPINNED")
		for _, x := range r.Pools {
			var pinned []string
			for reason, n := range x.Pinned {
				pinned = append(pinned, fmt.Sprintf("%s:%d", reason, n))
			}
			slices.Sort(pinned)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", x.Pool, x.Mode, x.Sessions, x.Holding, x.Batches, x.Transactions,
				x.Lost, x.Cancels, dash(strings.Join(pinned, ",")))
		}
		fmt.Fprintln(w, "\nHOST\tOPEN\tUSED\tIDLE\tOPENING")
		for _, x := range r.Hosts {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", x.Host, x.Open, x.Used, x.Idle, x.Opening)
		}
		fmt.Fprintf(w, "\npeak connections: %d; waiting for one: %d; none free: %d times; prepared statement hits: %d, misses: %d\n", r.Peak, r.Waiting, r.NoneFree,
			r.Hits, r.Misses)
	})
}

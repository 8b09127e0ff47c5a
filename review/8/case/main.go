// Case 8: a few clients with a bulk INSERT of 1 MB each take the gateway over its memory limit.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/wire/pg"
	kit2 "yokemast/review/kit-2"
)

func main() { kit2.Main("8", run) }

const operatorFile = `(pools (pool "apps" (user "apps") (mode transaction) (read list-read) (own own-read) (write order-write)))`

const (
	bulkClients = 8
	rows        = 130_000 // in one INSERT: about 1 MB, below the pool's limit of 1 MiB for a statement
	memoryMB    = 192     // as in the configuration
)

// insert returns an INSERT of so many order lines: an item and how many of it.
func insert(rows int) string {
	var b strings.Builder
	b.WriteString("INSERT INTO order_lines (item, pieces) VALUES ")
	for i := range rows {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "(%d,%d)", 100+i%900, 1+i%9)
	}
	return b.String()
}

func run(c *kit2.Case) error {
	var all []*kit2.Host
	for i, id := range []string{"s-a", "s-b", "s-c"} {
		h := &kit2.Host{ID: id, Leader: i == 0, Lag: 10 * time.Millisecond, Store: &kit2.Store{}}
		h.General = func(query string) []byte {
			if strings.HasPrefix(query, "INSERT INTO order_lines") && h.Leader {
				return pg.AppendComplete(nil, fmt.Sprintf("INSERT 0 %d", strings.Count(query, "(")-1))
			}
			if query == "SELECT 'x'" {
				return pg.AppendRow(nil, pg.Value{Data: []byte("x")}, "SELECT 1")
			}
			return pg.AppendError(nil, &pg.Error{Code: "25006", Message: "cannot execute it in a read-only transaction"})
		}
		if _, err := c.StartHost(h); err != nil {
			return err
		}
		all = append(all, h)
	}
	operator := filepath.Join(c.Dir, "operator.sexp")
	if err := os.WriteFile(operator, []byte(operatorFile), 0o600); err != nil {
		return err
	}
	d, err := c.Deploy(kit2.Settings("client"), "", []string{"YOKEMAST_OPERATOR=" + operator}, all...)
	if err != nil {
		return err
	}
	defer d.Agent.Close()
	over := make(chan float64, 1)
	d.Process.LimitMemory(memoryMB, over)
	ordinary, err := clients.Start(d.Listen, "apps", 60*time.Second)
	if err != nil {
		return err
	}
	defer ordinary.Close()
	served := 0
	ask := func() bool {
		c.Note("ordinary client: sends \"SELECT 'x'\"")
		ordinary.Send("SELECT 'x'")
		got := ordinary.ReadReply()
		c.Note("ordinary client: answered: row %t, code %q, closed %t", got.Row, got.Code, got.Closed)
		if got.Row {
			served++
		}
		return !got.Closed
	}
	for range 20 {
		if !ask() {
			return errors.New("the gateway does not serve")
		}
	}
	c.Note("the gateway uses %.0f MB; %d statements served", d.Process.MemoryMB(), served)
	n := 1000
	if c.Trouble {
		n = rows
	}
	statement := pg.AppendQuery(nil, insert(n))
	var wait sync.WaitGroup
	for i := range bulkClients {
		wait.Go(func() {
			client, err := clients.Start(d.Listen, "apps", 20*time.Second)
			if err != nil {
				c.Note("bulk client %d: cannot connect: %v", i, err)
				return
			}
			defer client.Close()
			c.Note("bulk client %d: sends one INSERT of %d rows, %d bytes", i, n, len(statement))
			_, err = client.Write(statement)
			got := client.ReadReply()
			c.Note("bulk client %d: answered: code %q, closed %t (%v)", i, got.Code, got.Closed, err)
		})
	}
	killed := func(used float64) {
		c.Break("the gateway used %.0f MB, over its %d MB, and was killed: a crash", used, memoryMB)
		wait.Wait()
	}
	peak, end := 0.0, time.Now().Add(8*time.Second)
	for time.Now().Before(end) {
		peak = max(peak, d.Process.MemoryMB())
		ok := ask()
		select {
		case used := <-over:
			killed(used)
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		if !ok {
			select {
			case used := <-over:
				killed(used)
				return nil
			case <-time.After(time.Second):
				return errors.New("the connection of the ordinary client has ended")
			}
		}
	}
	wait.Wait()
	c.Note("the gateway used %.0f MB at most; the ordinary client had %d answers", peak, served)
	return nil
}

// Command toyserver stands in for what a gateway needs round it, on loopback: discovery and one group of three
// database hosts, a primary and two replicas, that share one table in memory. It is for trying the gateway out.
package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"yokemast/internal/wire/pg"
)

// table is what all three hosts hold; the replicas are never behind.
type table struct {
	mu   sync.Mutex
	rows map[string][]byte
}

type host struct {
	id, address string
	primary     bool
	table       *table
}

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	base := flag.Int("port", 15432, "the first host's port; the others follow")
	flag.Parse()
	t := &table{rows: map[string][]byte{}}
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, &host{fmt.Sprintf("db-%d", i+1), fmt.Sprintf("127.0.0.1:%d", *base+i), i == 0, t})
	}
	group, _ := errgroup.WithContext(context.Background())
	for _, h := range hosts {
		group.Go(h.listen)
	}
	group.Go(func() error { return http.ListenAndServe(*discovery, list(hosts)) })
	log.Printf("discovery at %s, hosts from port %d on", *discovery, *base)
	log.Fatal(group.Wait())
}

// list answers discovery's calls. The list never changes, so a watch waits for its whole time.
func list(hosts []*host) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "1" {
			if wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms"); err == nil {
				select {
				case <-time.After(wait):
				case <-r.Context().Done():
				}
			}
			fmt.Fprint(w, `{"revision":1,"complete":false,"members":[]}`)
			return
		}
		fmt.Fprint(w, `{"revision":1,"complete":true,"members":[`)
		for i, h := range hosts {
			if i > 0 {
				fmt.Fprint(w, ",")
			}
			fmt.Fprintf(w, `{"id":%q,"host_port":%q,"locality":"a","flavor":"toy","cell":1,"phase":"SERVING","size":1.0,`+
				`"up_since_ms":0,"role":%q}`, h.id, h.address, h.role())
		}
		fmt.Fprint(w, "]}")
	}
}

func (h *host) role() string {
	if h.primary {
		return "leader"
	}
	return "follower"
}

func (h *host) listen() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go h.serve(c)
	}
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	if _, _, err := pg.ReadStartup(in); err != nil {
		return
	}
	out := pg.AppendWelcome(nil, pg.StartSession)
	for {
		if _, err := c.Write(out); err != nil {
			return
		}
		kind, body, err := pg.Read(in, pg.MaxMessage)
		if err != nil || kind != pg.Query {
			return
		}
		out = pg.AppendReady(h.run(bytes.TrimSuffix(body, []byte{0})))
	}
}

// run answers one query: a statement, or a probe.
func (h *host) run(query []byte) []byte {
	now := time.Now().UnixMilli()
	if string(query) == "SHOW server_load" {
		x1 := 0
		if h.primary {
			x1 = 1
		}
		load := fmt.Sprintf("x0=%.3f,x1=%d", float64(now)/1000, x1)
		return pg.AppendRow(nil, pg.Value{Data: []byte(load)}, "SHOW")
	}
	out := pg.Append(nil, pg.ParameterStatus, []byte("node_role\x00"+h.role()+"\x00"))
	out = pg.Append(out, pg.ParameterStatus, fmt.Appendf(nil, "replay_position\x00%d\x00", now))
	s, bad := pg.ParseStatement(query)
	if bad == nil && s.Write && !h.primary {
		bad = &pg.Error{Code: pg.CodeReadOnly, Message: "this is no primary"}
	}
	if bad != nil {
		return pg.AppendError(out, bad)
	}
	log.Printf("%s (%s) runs %s", h.id, h.role(), query)
	h.table.mu.Lock()
	defer h.table.mu.Unlock()
	if s.Write {
		_, value, _ := bytes.Cut(query, []byte("', '"))
		value, _, _ = bytes.Cut(value, []byte("'"))
		h.table.rows[s.Key] = bytes.Clone(value) // a bytea's text form is what its literal holds
	}
	return pg.AppendRow(out, pg.Value{Data: h.table.rows[s.Key]}, s.Tag())
}

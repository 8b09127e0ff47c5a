package frontend

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/relay"
)

// classify sets the commands of a batch, as far as its text is known, and returns the text of the last statement, whose comment
// says how to route the batch. The commands are counted in the session's memory; ok is false if that has no room for them.
func (g *generalSession) classify(b *relay.Batch) (text string, ok bool) {
	add := func(text string) bool {
		for command := range pooling.Statements(text) {
			if !g.c.memory.acquire(classifiedCost) {
				return false
			}
			b.Commands = append(b.Commands, command)
		}
		return true
	}
	prepared := map[string]string{} // by the batch itself
	for _, m := range b.Messages {
		switch m.Kind {
		case pg.Query:
			if text = string(bytes.TrimSuffix(m.Body, []byte{0})); !add(text) {
				return text, false
			}
		case pg.Parse:
			p, err := pg.ReadParse(m.Body)
			if err != nil {
				continue
			}
			if text, prepared[p.Name] = p.Text, p.Text; !add(text) {
				return text, false
			}
		case pg.Bind:
			body := m.Body
			if m.Rest != nil {
				body = append(bytes.Clone(body), make([]byte, 6)...) // m.Body holds the names only
			}
			_, name, _, err := pg.ReadBind(body)
			if err != nil {
				continue
			}
			if own, isOwn := prepared[name]; isOwn { // its commands are there
				text = own
			} else if st := g.state.Prepared(name); st != nil {
				if text = st.Text; !add(text) {
					return text, false
				}
			}
		}
	}
	return text, true
}

// parseComment parses the name=value pairs in the last comment of a statement.
func parseComment(text string) map[string]string {
	out := map[string]string{}
	start, end := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if start < 0 || end < start {
		return out
	}
	for field := range strings.SplitSeq(text[start+2:end], ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(field), "="); ok {
			out[name] = value
		}
	}
	return out
}

// requestIDs numbers the requests of general SQL sessions, whose clients send no request ID.
var requestIDs atomic.Int64

// newRequest returns the request for a batch that begins a checkout; text is that of its last statement.
func (g *generalSession) newRequest(cmd command, text string) *exchange.Request {
	c, b := g.c, cmd.batch
	begins, readOnly := b.Begins()
	hints := parseComment(text)
	write := b.Writes() || begins && !readOnly
	class := g.pool.Read
	switch {
	case write:
		class = g.pool.Write
	case g.lastWrite != 0:
		class = g.pool.ReadAfterWrite
	}
	if hints["c"] != "" && !write {
		class = hints["c"]
	}
	group := g.pool.Group
	if n, err := strconv.Atoi(hints["cluster"]); err == nil {
		group = n
	}
	r := &exchange.Request{ID: fmt.Sprintf("general-%d", requestIDs.Add(1)), User: c.user, Tenant: hints["tenant"], Class: class, Session: c.user,
		Group: group, Write: write, Arrived: max(cmd.arrived, g.freeSince),
		Unkeyed: write && (hints["k"] == "" || len(b.Commands) > 1 || b.Runs() != 1)}
	if g.lastWrite > 0 {
		r.After = g.lastWrite
	} else if g.lastWrite < 0 {
		r.After = c.s.cfg.Clock.MaxFleetTime() // it wrote, and the host did not state the position
	}
	pins := false
	for _, x := range b.Commands {
		pins = pins || x.Pin != 0
	}
	if pins || begins || g.pool.Mode == pooling.BySession || !b.Complete {
		r.Checkout = g.pool.MaxTransaction
		if pins || g.pool.Mode == pooling.BySession {
			r.Checkout = maxSessionCheckout
		}
	}
	if m := int64(g.pool.MaxSessions); m > 0 && g.pool.Stats.CheckedOut.Load() >= m {
		r.QuotaRetryAfter = poolLimitRetryAfter
	}
	return r
}

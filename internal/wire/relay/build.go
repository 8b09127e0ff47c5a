package relay

import (
	"fmt"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/pg"
)

// expect is what the host owes for one message that was sent to it, or an answer that is known without it.
type expect struct {
	kind      byte               // of the message; 0: made is the answer
	made      []byte             // for the client
	hidden    bool               // the client did not ask for it
	carry     bool               // it brings the connection to the session's settings
	statement *pooling.Statement // of a Parse or Bind, as the host has it
	of        byte               // S: of a Describe of a statement
	name      string             // the client's for it
	commands  []pooling.Command  // that complete in turn
}

// unknown is a name that no host connection has a statement under: the host says so itself.
const unknown = "yk_unknown"

// build turns the batch into what goes to the host and what it owes for that.
func (x *exchangeOf) build() error {
	link := x.h.ConnState()
	if x.l.skipping {
		if x.b.Complete && x.b.Messages[len(x.b.Messages)-1].Kind == pg.Sync {
			x.l.skipping = false
			x.query = pg.Append(x.query, pg.Sync)
			x.expects = append(x.expects, expect{kind: pg.Sync})
		}
		return nil
	}
	if sql := link.SettingsQuery(x.s); sql != "" {
		x.query = pg.AppendQuery(x.query, sql)
		x.expects = append(x.expects, expect{kind: pg.Query, hidden: true, carry: true})
	}
	x.portals = map[string]*pooling.Statement{}
	if x.l.bound != nil { // a portal of a Bind that came before
		x.portals[x.l.portal], x.l.bound = x.l.bound, nil
	}
	add, here := x.add, x.here
	for _, m := range x.b.Messages {
		switch m.Kind {
		case pg.Query:
			x.query = pg.Append(x.query, pg.Query, m.Body)
			add(expect{kind: pg.Query, commands: x.b.Commands})
		case pg.Parse:
			p, err := pg.ReadParse(m.Body)
			if err != nil {
				return err
			}
			st := pooling.NewStatement(p.Text, p.Types)
			if !x.s.Prepare(p.Name, st) {
				// Under a name that is taken the host would say so; it has none of the client's names.
				add(expect{made: pg.AppendError(nil, &pg.Error{Code: "42P05",
					Message: fmt.Sprintf("prepared statement %q already exists", p.Name)}), kind: pg.ErrorResponse})
				return nil
			}
			before := len(x.expects)
			here(st)
			if n := len(x.expects); n > before && x.expects[n-1].kind == pg.Parse {
				x.expects[n-1].hidden, x.expects[n-1].name = false, p.Name
			} else {
				add(expect{made: pg.Append(nil, pg.ParseComplete)})
			}
		case pg.Bind:
			if m.Rest != nil {
				continue // the last one: it follows when what stands before it has its answers
			}
			portal, name, rest, err := pg.ReadBind(m.Body)
			if err != nil {
				return err
			}
			st, host := x.s.Prepared(name), unknown
			if st != nil {
				host = here(st)
			}
			x.portals[portal] = st
			x.query = pg.AppendBind(x.query, portal, host, rest)
			add(expect{kind: pg.Bind, statement: st, name: name})
		case pg.Describe:
			kind, name, err := pg.ReadTarget(m.Body)
			if err != nil {
				return err
			}
			if kind == 'S' {
				host := unknown
				if st := x.s.Prepared(name); st != nil {
					host = here(st)
				}
				x.query = pg.AppendTarget(x.query, pg.Describe, 'S', host)
				add(expect{kind: pg.Describe, of: 'S', name: name})
				continue
			}
			x.query = pg.Append(x.query, pg.Describe, m.Body)
			add(expect{kind: pg.Describe})
		case pg.Execute:
			portal, err := pg.ReadExecute(m.Body)
			if err != nil {
				return err
			}
			e := expect{kind: pg.Execute}
			if st := x.portals[portal]; st != nil {
				e.commands = pooling.Scan(st.Text)
			}
			x.query = pg.Append(x.query, pg.Execute, m.Body)
			add(e)
		case pg.Close:
			kind, name, err := pg.ReadTarget(m.Body)
			if err != nil {
				return err
			}
			if kind == 'S' {
				x.s.Close(name)
				add(expect{made: pg.Append(nil, pg.CloseComplete)})
				continue
			}
			x.query = pg.Append(x.query, pg.Close, m.Body)
			add(expect{kind: pg.Close})
		case pg.Flush, pg.Sync:
			x.query = pg.Append(x.query, m.Kind, m.Body)
			if m.Kind == pg.Sync {
				add(expect{kind: pg.Sync})
			}
		}
	}
	return nil
}

func (x *exchangeOf) add(e expect) { x.expects = append(x.expects, e) }

// here prepares a statement on this connection where it is not, and gives its name.
func (x *exchangeOf) here(st *pooling.Statement) string {
	link := x.h.ConnState()
	name, parse := link.Use(st)
	for _, gone := range link.Evicted() {
		x.query = pg.AppendTarget(x.query, pg.Close, 'S', gone)
		x.add(expect{kind: pg.Close, hidden: true})
	}
	if parse {
		x.query = pg.AppendParse(x.query, pg.ParseMessage{Name: name, Text: st.Text, Types: st.Types})
		x.add(expect{kind: pg.Parse, hidden: true, statement: st})
	}
	return name
}

package relay

import (
	"fmt"

	"yokemast/internal/control/pooling"
	"yokemast/internal/wire/pg"
)

// expectation describes the host's expected answer to one message, or an answer that the gateway itself gives.
type expectation struct {
	kind      byte               // of the message, or 0 if reply is the answer
	reply     []byte             // answer of the gateway itself, or nil
	hidden    bool               // the answer is not forwarded, as the gateway sent the message on its own
	statement *pooling.Statement // of a Parse or Bind, as prepared on the host
	target    byte               // target of a Describe: 'S' for a statement
	name      string             // the client's name of the statement
	commands  []pooling.Command  // commands that the answer completes, in order
}

// unknownStatement is a statement name that exists on no host connection, so that the host itself reports the error.
const unknownStatement = "yk_unknown"

// buildQuery translates the batch into the messages for the host and the answers expected to them.
func (x *batchExchange) buildQuery() error {
	if x.checkout.skipping {
		if x.batch.Complete && x.batch.Messages[len(x.batch.Messages)-1].Kind == pg.Sync {
			x.checkout.skipping = false
			x.query = pg.Append(x.query, pg.Sync)
			x.expected = append(x.expected, expectation{kind: pg.Sync})
		}
		return nil
	}
	x.portals = map[string]*pooling.Statement{}
	if x.checkout.streamedStatement != nil { // the portal of a Bind streamed before
		x.portals[x.checkout.streamedPortal], x.checkout.streamedStatement = x.checkout.streamedStatement, nil
	}
	expect, ensurePrepared := x.expect, x.ensurePrepared
	for _, m := range x.batch.Messages {
		switch m.Kind {
		case pg.Query:
			x.query = pg.Append(x.query, pg.Query, m.Body)
			expect(expectation{kind: pg.Query, commands: x.batch.Commands})
		case pg.Parse:
			p, err := pg.ReadParse(m.Body)
			if err != nil {
				return &invalidMessage{err}
			}
			statement := pooling.NewStatement(p.Text, p.Types)
			if !x.session.Prepare(p.Name, statement) {
				// The gateway reports a duplicate name itself, as the host does not know the client's names.
				expect(expectation{reply: pg.AppendError(nil, &pg.Error{Code: "42P05",
					Message: fmt.Sprintf("prepared statement %q already exists", p.Name)}), kind: pg.ErrorResponse})
				return nil
			}
			before := len(x.expected)
			ensurePrepared(statement)
			if n := len(x.expected); n > before && x.expected[n-1].kind == pg.Parse {
				x.expected[n-1].hidden, x.expected[n-1].name = false, p.Name
			} else {
				expect(expectation{reply: pg.Append(nil, pg.ParseComplete)})
			}
		case pg.Bind:
			if m.Rest != nil {
				continue // always the last message: it is sent once the messages before it are answered
			}
			portal, name, rest, err := pg.ReadBind(m.Body)
			if err != nil {
				return &invalidMessage{err}
			}
			statement, hostName := x.session.Prepared(name), unknownStatement
			if statement != nil {
				hostName = ensurePrepared(statement)
			}
			x.portals[portal] = statement
			x.query = pg.AppendBind(x.query, portal, hostName, rest)
			expect(expectation{kind: pg.Bind, statement: statement, name: name})
		case pg.Describe:
			kind, name, err := pg.ReadTarget(m.Body)
			if err != nil {
				return &invalidMessage{err}
			}
			if kind == 'S' {
				hostName := unknownStatement
				if statement := x.session.Prepared(name); statement != nil {
					hostName = ensurePrepared(statement)
				}
				x.query = pg.AppendTarget(x.query, pg.Describe, 'S', hostName)
				expect(expectation{kind: pg.Describe, target: 'S', name: name})
				continue
			}
			x.query = pg.Append(x.query, pg.Describe, m.Body)
			expect(expectation{kind: pg.Describe})
		case pg.Execute:
			portal, err := pg.ReadExecute(m.Body)
			if err != nil {
				return &invalidMessage{err}
			}
			e := expectation{kind: pg.Execute}
			if statement := x.portals[portal]; statement != nil {
				e.commands = pooling.Scan(statement.Text)
			}
			x.query = pg.Append(x.query, pg.Execute, m.Body)
			expect(e)
		case pg.Close:
			kind, name, err := pg.ReadTarget(m.Body)
			if err != nil {
				return &invalidMessage{err}
			}
			if kind == 'S' {
				x.session.Close(name)
				expect(expectation{reply: pg.Append(nil, pg.CloseComplete)})
				continue
			}
			x.query = pg.Append(x.query, pg.Close, m.Body)
			expect(expectation{kind: pg.Close})
		case pg.Flush, pg.Sync:
			x.query = pg.Append(x.query, m.Kind, m.Body)
			if m.Kind == pg.Sync {
				expect(expectation{kind: pg.Sync})
			}
		}
	}
	return nil
}

func (x *batchExchange) expect(e expectation) { x.expected = append(x.expected, e) }

// ensurePrepared prepares a statement on this connection if it is not prepared yet, and returns its name on the host.
func (x *batchExchange) ensurePrepared(statement *pooling.Statement) string {
	connState := x.host.ConnState()
	name, parse := connState.Use(statement)
	for _, evicted := range connState.Evicted() {
		x.query = pg.AppendTarget(x.query, pg.Close, 'S', evicted)
		x.expect(expectation{kind: pg.Close, hidden: true})
	}
	if parse {
		x.query = pg.AppendParse(x.query, pg.ParseMessage{Name: name, Text: statement.Text, Types: statement.Types})
		x.expect(expectation{kind: pg.Parse, hidden: true, statement: statement})
	}
	return name
}

package relay

import (
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
	renames   bool               // the message gives name to a statement or takes it away
	previous  *pooling.Statement // with renames: what the name meant before, or nil
	duplicate string             // of a Parse that the host must fail: the statement's name on the host, which is in use
}

// unknownStatement is a statement name that exists on no host connection, so that the host itself reports the error.
const unknownStatement = "yk_unknown"

// buildQuery translates the batch into the messages for the host and the answers expected to them.
func (x *batchExchange) buildQuery() error {
	if x.checkout.pipeline.skipping {
		x.buildSkipped()
		return nil
	}
	x.tracked = pooling.ChangesSettings(x.batch.Commands)
	for _, m := range x.batch.Messages {
		if err := x.build(m); err != nil {
			return &invalidMessage{err}
		}
	}
	return nil
}

// buildSkipped translates a batch of which the host skips all messages but the Sync.
func (x *batchExchange) buildSkipped() {
	if x.batch.Complete && x.batch.Messages[len(x.batch.Messages)-1].Kind == pg.Sync {
		x.checkout.pipeline.skipping = false
		x.query = pg.Append(x.query, pg.Sync)
		x.expect(expectation{kind: pg.Sync})
	}
}

// build translates one message.
func (x *batchExchange) build(m Message) error {
	switch m.Kind {
	case pg.Query:
		x.query = pg.Append(x.query, pg.Query, m.Body)
		x.expect(expectation{kind: pg.Query, commands: x.batch.Commands})
	case pg.Parse:
		return x.buildParse(m.Body)
	case pg.Bind:
		if m.Rest == nil { // one in pieces is always the last message: it is sent once the messages before it are answered
			return x.buildBind(m.Body)
		}
	case pg.Describe:
		return x.buildDescribe(m.Body)
	case pg.Execute:
		return x.buildExecute(m.Body)
	case pg.Close:
		return x.buildClose(m.Body)
	case pg.Flush:
		x.query = pg.Append(x.query, pg.Flush, m.Body)
	case pg.Sync:
		x.query = pg.Append(x.query, pg.Sync, m.Body)
		x.expect(expectation{kind: pg.Sync})
	}
	return nil
}

func (x *batchExchange) buildParse(body []byte) error {
	p, err := pg.ReadParse(body)
	if err != nil {
		return err
	}
	statement, previous := pooling.NewStatement(p.Text, p.Types), x.session.Prepared(p.Name)
	if !x.session.Prepare(p.Name, statement) {
		x.buildDuplicate(p, previous)
		return nil
	}
	before := len(x.expected)
	x.ensurePrepared(statement)
	if n := len(x.expected); n == before || x.expected[n-1].kind != pg.Parse { // the connection has the statement
		x.expect(expectation{reply: pg.Append(nil, pg.ParseComplete)})
	}
	e := &x.expected[len(x.expected)-1]
	e.hidden, e.name, e.renames, e.previous = false, p.Name, true, previous
	return nil
}

// buildDuplicate translates a Parse under a name that is in use. The host must fail it, and with it the transaction or the pipeline,
// but does not know the client's names: it is given one that is in use there.
func (x *batchExchange) buildDuplicate(p pg.ParseMessage, inUse *pooling.Statement) {
	hostName := x.ensurePrepared(inUse)
	x.query = pg.AppendParse(x.query, pg.ParseMessage{Name: hostName, Text: p.Text, Types: p.Types})
	x.expect(expectation{kind: pg.Parse, name: p.Name, duplicate: hostName})
}

func (x *batchExchange) buildBind(body []byte) error {
	portal, name, rest, err := pg.ReadBind(body)
	if err != nil {
		return err
	}
	statement := x.session.Prepared(name)
	hostName := x.hostName(statement)
	x.checkout.bound(portal, statement)
	x.query = pg.AppendBind(x.query, portal, hostName, rest)
	x.expect(expectation{kind: pg.Bind, statement: statement, name: name})
	return nil
}

func (x *batchExchange) buildDescribe(body []byte) error {
	kind, name, err := pg.ReadTarget(body)
	if err != nil {
		return err
	}
	if kind != 'S' {
		x.query = pg.Append(x.query, pg.Describe, body)
		x.expect(expectation{kind: pg.Describe})
		return nil
	}
	hostName := x.hostName(x.session.Prepared(name))
	x.query = pg.AppendTarget(x.query, pg.Describe, 'S', hostName)
	x.expect(expectation{kind: pg.Describe, target: 'S', name: name})
	return nil
}

func (x *batchExchange) buildExecute(body []byte) error {
	portal, err := pg.ReadExecute(body)
	if err != nil {
		return err
	}
	e := expectation{kind: pg.Execute}
	if statement := x.checkout.portals[portal]; statement != nil { // which an earlier batch may have bound
		e.commands = pooling.Scan(statement.Text)
		x.tracked = x.tracked || pooling.ChangesSettings(e.commands)
	}
	x.query = pg.Append(x.query, pg.Execute, body)
	x.expect(e)
	return nil
}

func (x *batchExchange) buildClose(body []byte) error {
	kind, name, err := pg.ReadTarget(body)
	if err != nil {
		return err
	}
	if kind == 'S' {
		x.expect(expectation{reply: pg.Append(nil, pg.CloseComplete), name: name, renames: true, previous: x.session.Prepared(name)})
		x.session.Close(name)
		return nil
	}
	x.query = pg.Append(x.query, pg.Close, body)
	x.expect(expectation{kind: pg.Close})
	return nil
}

// hostName returns the name of a prepared statement on the host, which is prepared first if necessary, or unknownStatement
// for nil.
func (x *batchExchange) hostName(statement *pooling.Statement) string {
	if statement == nil {
		return unknownStatement
	}
	return x.ensurePrepared(statement)
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

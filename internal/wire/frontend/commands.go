package frontend

import (
	"io"
	"time"

	"yokemast/internal/control/budget"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/relay"
)

// command is one thing to answer.
type command struct {
	statement *pg.Statement // run it
	arrived   time.Duration
	size      int             // of its statement
	held      int             // bytes of the budget that it holds
	holding   *budget.Holding // of the memory of large statements; nil: none
	empty     bool            // the empty query
	err       *pg.Error       // an answer that is known already
	sync      bool            // only ReadyForQuery
	batch     *relay.Batch    // of a general session
	ready     bool            // ReadyForQuery follows the error at once
}

// next reads one message and queues what there is to answer.
func (c *session) next() error {
	kind, length, err := pg.ReadHead(c.in)
	if err != nil {
		return err
	}
	c.pace(length)
	bad := func(code, message string) *pg.Error {
		c.s.cfg.Counters.BadMessages.Add(1)
		return &pg.Error{Code: code, Message: message}
	}
	if c.general != nil {
		return c.general.next(kind, length, bad)
	}
	switch kind {
	case pg.Query:
		return c.query(length, bad)
	case pg.Terminate:
		return io.EOF
	case pg.Sync:
		c.skipping = false
		return c.skip(length, command{sync: true})
	case pg.Parse, pg.Bind, pg.Describe, pg.Execute, pg.Close:
		if c.skipping {
			return c.skip(length)
		}
		c.skipping = true
		return c.skip(length, command{err: bad(pg.CodeNotSupported, "the extended query protocol is not supported")})
	case pg.Function:
		return c.skip(length, command{err: bad(pg.CodeNotSupported, "function calls are not supported")},
			command{sync: true})
	case pg.Flush, pg.CopyData, pg.CopyDone, pg.CopyFail:
		return c.skip(length) // as PostgreSQL does outside a copy
	case pg.Password:
		return c.skip(length, command{err: bad(pg.CodeProtocolViolation, "no password was asked for")},
			command{sync: true})
	}
	return pg.ErrFraming // a type that no client sends: at once, as what it calls its length may never come
}

// skip reads past a body. The first of the answers is given before that, as the body may take long or never come.
func (c *session) skip(length int, answers ...command) error {
	if len(answers) > 0 {
		c.queue(answers[0])
		answers = answers[1:]
	}
	if err := pg.Skip(c.in, length); err != nil {
		return err
	}
	for _, a := range answers {
		c.queue(a)
	}
	return nil
}

// query reads the body of a query.
func (c *session) query(length int, bad func(code, message string) *pg.Error) error {
	var cmd command
	switch {
	case c.skipping:
		return c.skip(length)
	case length > pg.MaxMessage && length <= pg.MaxLarge:
		return c.large(length, bad)
	case length > pg.MaxLarge:
		return c.skip(length, command{err: bad(pg.CodeProtocolViolation, "message too long")}, command{sync: true})
	case length > largeBody && !c.s.bytes.take(length):
		return c.skip(length, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())},
			command{sync: true})
	case length > largeBody:
		cmd.held = length
	}
	body, err := pg.ReadBody(c.in, length, length)
	if err != nil {
		c.s.bytes.give(cmd.held)
		return err
	}
	cmd.arrived, cmd.ready, cmd.size = c.s.cfg.Clock.Now(), true, length
	if len(body) == 0 || body[len(body)-1] != 0 {
		cmd.err = bad(pg.CodeProtocolViolation, "the query does not end in a zero byte")
	} else if body = body[:len(body)-1]; blank(body) {
		cmd.empty = true
	} else if cmd.statement, cmd.err = pg.ParseStatement(body); cmd.err != nil {
		c.s.cfg.Counters.BadStatements.Add(1)
		cmd.statement = nil
	}
	c.queue(cmd)
	return nil
}

func blank(b []byte) bool {
	for _, ch := range b {
		switch ch {
		case ' ', '\t', '\r', '\n', '\f', '\v', ';':
		default:
			return false
		}
	}
	return true
}

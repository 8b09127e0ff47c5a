package frontend

import (
	"io"
	"time"

	"yokemast/internal/control/budget"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/relay"
)

// command is one unit of input that needs an answer.
type command struct {
	statement    *pg.Statement   // statement to execute
	arrived      time.Duration   // when it was read, by Config.Clock
	held         int             // bytes held of the session's memory
	largeHolding *budget.Holding // memory held for a large statement; nil: none
	empty        bool            // an empty query
	err          *pg.Error       // error to answer with, without execution
	readyOnly    bool            // answered by ReadyForQuery alone
	batch        *relay.Batch    // messages of a general SQL session
	readyFollows bool            // ReadyForQuery follows err
}

// readMessage reads one message and queues the commands that answer it.
func (c *session) readMessage() error {
	kind, length, err := pg.ReadHead(c.in)
	if err != nil {
		return err
	}
	c.setBodyDeadline(length)
	badMessage := func(code, message string) *pg.Error {
		c.s.cfg.Counters.BadMessages.Add(1)
		return &pg.Error{Code: code, Message: message}
	}
	if c.general != nil {
		return c.general.readMessage(kind, length, badMessage)
	}
	switch kind {
	case pg.Query:
		return c.readQuery(length, badMessage)
	case pg.Terminate:
		return io.EOF
	case pg.Sync:
		c.skipping = false
		return c.skipBody(length, command{readyOnly: true})
	case pg.Parse, pg.Bind, pg.Describe, pg.Execute, pg.Close:
		if c.skipping {
			return c.skipBody(length)
		}
		c.skipping = true
		return c.skipBody(length, command{err: badMessage(pg.CodeNotSupported, "the extended query protocol is not supported")})
	case pg.Function:
		return c.skipBody(length, command{err: badMessage(pg.CodeNotSupported, "function calls are not supported")},
			command{readyOnly: true})
	case pg.Flush, pg.CopyData, pg.CopyDone, pg.CopyFail:
		return c.skipBody(length) // ignored outside COPY, as PostgreSQL does
	case pg.Password:
		return c.skipBody(length, command{err: badMessage(pg.CodeProtocolViolation, "no password was asked for")},
			command{readyOnly: true})
	}
	return pg.ErrFraming // unknown type: fail at once, as the announced length may never arrive
}

// skipBody discards a message body and queues the given answers. The first is queued before the body is read, as the
// body may take long or never arrive.
func (c *session) skipBody(length int, answers ...command) error {
	if len(answers) > 0 {
		c.enqueue(answers[0])
		answers = answers[1:]
	}
	if err := pg.Skip(c.in, length); err != nil {
		return err
	}
	for _, a := range answers {
		c.enqueue(a)
	}
	return nil
}

// readQuery reads the body of a Query message.
func (c *session) readQuery(length int, badMessage func(code, message string) *pg.Error) error {
	var cmd command
	switch {
	case c.skipping:
		return c.skipBody(length)
	case length > pg.MaxMessage && length <= pg.MaxLarge:
		return c.readLargeQuery(length, badMessage)
	case length > pg.MaxLarge:
		return c.skipBody(length, command{err: badMessage(pg.CodeProtocolViolation, "message too long")}, command{readyOnly: true})
	case !c.memory.acquire(length):
		return c.skipBody(length, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())},
			command{readyOnly: true})
	}
	cmd.held = length
	body, err := pg.ReadBody(c.in, length, length)
	if err != nil {
		c.memory.release(cmd.held)
		return err
	}
	cmd.arrived, cmd.readyFollows = c.s.cfg.Clock.Now(), true
	if len(body) == 0 || body[len(body)-1] != 0 {
		cmd.err = badMessage(pg.CodeProtocolViolation, "the query does not end in a zero byte")
	} else if body = body[:len(body)-1]; blank(body) {
		cmd.empty = true
	} else if cmd.statement, cmd.err = pg.ParseStatement(body); cmd.err != nil {
		c.s.cfg.Counters.BadStatements.Add(1)
		cmd.statement = nil
	}
	c.enqueue(cmd)
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

package backend

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// bulky is a command whose query fills the buffers of any socket.
type bulky struct{ outcomes }

var bulkyQuery = sync.OnceValue(func() []byte { return pg.AppendQuery(nil, string(make([]byte, 32<<20))) })

func (bulky) AppendQuery([]byte, time.Duration) []byte { return bulkyQuery() }

func (bulky) Converse(h *Host) ConversationResult {
	if h.Write(bulkyQuery()) != nil {
		return ConversationResult{Result: balance.Reset}
	}
	return ConversationResult{Result: balance.OK}
}

// plain is a bulky command that is no conversation.
type plain struct{ Command }

// A host begins with a query at its last byte. One that reads only after the end of a window must never get that byte.
func TestTheLastByteOfAQueryIsNotWrittenAfterItsWindow(t *testing.T) {
	for name, c := range map[string]struct {
		command any
		want    balance.Result
	}{
		"statement":    {plain{bulky{}}, balance.NoConnection},
		"conversation": {bulky{}, balance.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			begun, over, whole := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			r.serve(t, "slow", func(_ net.Conn, in *bufio.Reader) {
				_, _ = in.Peek(1)
				close(begun)
				<-over
				_, length, _ := pg.ReadHead(in)
				_, err := io.CopyN(io.Discard, in, int64(length))
				whole <- length > 0 && err == nil
			})
			bulkyQuery()
			now := r.clock.Now()
			window := now + 500*time.Millisecond
			r.b.Send(exchange.Attempt{ID: "a", Server: "slow", Command: c.command, Sent: now, Deadline: now + soon, StartBy: window, WriteBy: window})
			wait(t, begun, "the beginning of the query")
			time.AfterFunc(window-r.clock.Now()+50*time.Millisecond, func() { close(over) })
			if wait(t, whole, "the end of the query") {
				t.Error("a host that reads after the window gets the query whole")
			}
			if o := wait(t, r.outcomes, "the outcome"); o.Result != c.want {
				t.Errorf("it ended with %v, want %v", o.Result, c.want)
			}
		})
	}
}

// long is a command whose query may get stuck, so that its write has a deadline.
type long struct{ outcomes }

func (long) AppendQuery(out []byte, _ time.Duration) []byte {
	return pg.AppendQuery(out, string(make([]byte, 2*readBuffer)))
}

// short is a conversation of one query.
type short struct{}

func (short) Converse(h *Host) ConversationResult {
	if h.Write(pg.AppendQuery(nil, "x")) != nil {
		return ConversationResult{Result: balance.Reset}
	}
	for {
		kind, length, err := h.Head()
		if err != nil {
			return ConversationResult{Result: balance.Reset}
		}
		if _, _ = h.Body(length, length); kind == pg.ReadyForQuery {
			return ConversationResult{Result: balance.OK, Clean: true}
		}
	}
}

// The deadline of a long statement's write ends with the statement: a conversation on the same connection may come later.
func TestAConversationIsNotBoundByTheStatementBefore(t *testing.T) {
	r := newRig(t, nil)
	r.serve(t, "one", func(n net.Conn, in *bufio.Reader) {
		for {
			if _, _, err := pg.Read(in, 1<<20); err != nil {
				return
			}
			_, _ = n.Write(row())
		}
	})
	first := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: "first", Server: "one", Command: long{}, Sent: first, Deadline: first + 200*time.Millisecond})
	if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.OK {
		t.Fatalf("the first attempt ended with %v", o.Result)
	}
	time.Sleep(first + 220*time.Millisecond - r.clock.Now()) // its deadline has passed
	now := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: "second", Server: "one", Command: short{}, Sent: now, Deadline: now + soon})
	if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.OK {
		t.Errorf("the conversation ended with %v", o.Result)
	}
}

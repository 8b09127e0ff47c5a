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

// bulkyCommand is a command whose query exceeds the buffers of any socket.
type bulkyCommand struct{ outcomes }

var bulkyQuery = sync.OnceValue(func() []byte { return pg.AppendQuery(nil, string(make([]byte, 32<<20))) })

func (bulkyCommand) AppendQuery([]byte, time.Duration) []byte { return bulkyQuery() }

func (bulkyCommand) Converse(h *Host) ConversationResult {
	if h.Write(bulkyQuery()) != nil {
		return ConversationResult{Result: balance.Reset}
	}
	return ConversationResult{Result: balance.OK}
}

// plainCommand is a bulky command that is not a conversation.
type plainCommand struct{ Command }

// A host executes a query once it has its last byte. A host that reads only after the end of a query's window
// must never receive that byte.
func TestLastQueryByteNotWrittenAfterWindow(t *testing.T) {
	for name, c := range map[string]struct {
		command any
		want    balance.Result
	}{
		"statement":    {plainCommand{bulkyCommand{}}, balance.NoConnection},
		"conversation": {bulkyCommand{}, balance.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, nil)
			started, windowPassed, complete := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			r.serve(t, "slow", func(_ net.Conn, in *bufio.Reader) {
				_, _ = in.Peek(1)
				close(started)
				<-windowPassed
				_, length, _ := pg.ReadHead(in)
				_, err := io.CopyN(io.Discard, in, int64(length))
				complete <- length > 0 && err == nil
			})
			bulkyQuery()
			now := r.clock.Now()
			window := now + 500*time.Millisecond
			r.b.Send(exchange.Attempt{ID: "a", Server: "slow", Command: c.command, Sent: now, Deadline: now + testTimeout, StartBy: window, WriteBy: window})
			wait(t, started, "the beginning of the query")
			time.AfterFunc(window-r.clock.Now()+50*time.Millisecond, func() { close(windowPassed) })
			if wait(t, complete, "the end of the query") {
				t.Error("a host that reads after the window received the complete query")
			}
			if o := wait(t, r.outcomes, "the outcome"); o.Result != c.want {
				t.Errorf("result %v, want %v", o.Result, c.want)
			}
		})
	}
}

// longCommand is a command whose query may block, so that its write has a deadline.
type longCommand struct{ outcomes }

func (longCommand) AppendQuery(out []byte, _ time.Duration) []byte {
	return pg.AppendQuery(out, string(make([]byte, 2*readBuffer)))
}

// shortConversation is a conversation of one query.
type shortConversation struct{}

func (shortConversation) Converse(h *Host) ConversationResult {
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

// The write deadline of a large statement must end with the statement. A later conversation on the same
// connection must not run into it.
func TestConversationNotBoundByEarlierWriteDeadline(t *testing.T) {
	r := newFixture(t, nil)
	r.serve(t, "one", func(n net.Conn, in *bufio.Reader) {
		for {
			if _, _, err := pg.Read(in, 1<<20); err != nil {
				return
			}
			_, _ = n.Write(row())
		}
	})
	first := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: "first", Server: "one", Command: longCommand{}, Sent: first, Deadline: first + 200*time.Millisecond})
	if o := wait(t, r.outcomes, "the first outcome"); o.Result != balance.OK {
		t.Fatalf("the first attempt: result %v, want OK", o.Result)
	}
	time.Sleep(first + 220*time.Millisecond - r.clock.Now()) // the first statement's write deadline has passed
	now := r.clock.Now()
	r.b.Send(exchange.Attempt{ID: "second", Server: "one", Command: shortConversation{}, Sent: now, Deadline: now + testTimeout})
	if o := wait(t, r.outcomes, "the second outcome"); o.Result != balance.OK {
		t.Errorf("the conversation: result %v, want OK", o.Result)
	}
}

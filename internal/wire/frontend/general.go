package frontend

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
	"yokemast/internal/wire/relay"
)

// Pool is how the sessions of a user or database are served that may ask general SQL.
type Pool struct {
	Name                        string
	Mode                        pooling.Mode
	Group                       int
	Read, ReadAfterWrite, Write string        // classes: of reads, of reads after a write of the session's own, of all that may write
	MaxTransaction              time.Duration // that a transaction may take from its first statement
	MaxIdle                     time.Duration // that one may be open with nothing asked
	MaxBatch                    int           // bytes of a pipeline that are held before its end
	MaxMessage                  int           // bytes of a Bind, which is passed on in pieces
	MaxSessions                 int           // sessions that hold a host connection at a time; 0: any number
	Stats                       *PoolStats
}

// PoolStats counts what sessions of a pool do.
type PoolStats struct {
	Sessions, CheckedOut, Batches, Transactions atomic.Int64
	Pins                                        [8]atomic.Int64 // by the bits of pooling.Pin
	Lost, Cancels                               atomic.Int64
}

// overPool is when a client may come again whose pool holds as many host connections as it may.
const overPool = 50 * time.Millisecond

// sessionLease bounds how long a session that keeps its connection may do so.
const sessionLease = 24 * time.Hour

// general is what a session has that may ask general SQL. The reader gathers batches, the other goroutine has them run.
type general struct {
	c     *session
	pool  *Pool
	state *pooling.Session
	key   pg.Key

	batch *relay.Batch // being gathered
	bytes int
	held  int // of the budget

	lease   *relay.Checkout // that is kept between batches
	request *exchange.Request
	answers chan exchange.Answer
	skip    bool          // up to the next Sync
	wrote   time.Duration // position of the session's last write, by the fleet's clock
	free    time.Duration // when its last batch ended: no client says how long it waits, so the next one's time starts there
	running atomic.Pointer[relay.Checkout]
}

func newGeneral(c *session, p *Pool, parameters pg.Parameters) *general {
	var b [8]byte
	_, _ = rand.Read(b[:])
	g := &general{c: c, pool: p, state: pooling.NewSession(parameters),
		key: pg.Key{Process: binary.BigEndian.Uint32(b[:]), Secret: binary.BigEndian.Uint32(b[4:])}}
	p.Stats.Sessions.Add(1)
	return g
}

// register lets cancel requests find the session.
func (s *Server) register(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[c.general.key] = c
}

var errClient = errors.New("the client takes no answer")

func (g *general) write(b []byte) error {
	if !g.c.write(b) {
		return errClient
	}
	return nil
}

// cancel cancels what the session of that key is running, if it is.
func (s *Server) cancel(key pg.Key) {
	s.mu.Lock()
	c := s.keys[key]
	s.mu.Unlock()
	if c == nil {
		return
	}
	if l := c.general.running.Load(); l != nil {
		c.general.pool.Stats.Cancels.Add(1)
		_ = l.Cancel(context.Background()) // it is bounded in time; that nothing was there to cancel is no fault
	}
}

// next reads one message into the batch and queues the batch at its end.
func (g *general) next(kind byte, length int, bad func(code, message string) *pg.Error) error {
	c := g.c
	refuse := func(e *pg.Error) error {
		c.s.bytes.give(g.held)
		g.batch, g.bytes, g.held = nil, 0, 0
		c.skipping = kind != pg.Query
		if kind == pg.Query || kind == pg.Function {
			return c.skip(length, command{err: e}, command{sync: true})
		}
		return c.skip(length, command{err: e})
	}
	switch kind {
	case pg.Terminate:
		return io.EOF
	case pg.Function:
		return refuse(bad(pg.CodeNotSupported, "function calls are not supported"))
	case pg.CopyData, pg.CopyDone, pg.CopyFail:
		return c.skip(length) // as PostgreSQL does outside a copy
	case pg.Password:
		return c.skip(length, command{err: bad(pg.CodeProtocolViolation, "no password was asked for")}, command{sync: true})
	case pg.Query, pg.Parse, pg.Bind, pg.Describe, pg.Execute, pg.Close, pg.Flush, pg.Sync:
	default:
		return pg.ErrFraming
	}
	if c.skipping {
		if kind == pg.Sync {
			c.skipping = false
			return c.skip(length, command{sync: true})
		}
		return c.skip(length)
	}
	if kind == pg.Bind && length > streamFrom && length <= g.pool.MaxMessage {
		return g.stream(length, bad)
	}
	if g.bytes+length > g.pool.MaxBatch {
		return refuse(bad("54000", "the message or the pipeline is too long"))
	}
	if length > largeBody {
		if !c.s.bytes.take(length) {
			return refuse(pg.Refusal("no memory for the statement", c.s.retryAfter()))
		}
		g.held += length
	}
	body, err := pg.ReadBody(c.in, length, length)
	if err != nil {
		return err
	}
	if g.batch == nil {
		g.batch = &relay.Batch{}
	}
	g.batch.Messages = append(g.batch.Messages, relay.Message{Kind: kind, Body: body})
	g.bytes += length + 5
	if kind == pg.Query || kind == pg.Sync || kind == pg.Flush {
		g.batch.Complete = kind != pg.Flush
		cmd := command{batch: g.batch, held: g.held, arrived: c.s.cfg.Clock.Now()}
		g.batch, g.bytes, g.held = nil, 0, 0
		c.queue(cmd)
	}
	return nil
}

// streamFrom is the length of a Bind from which on it is passed on in pieces, and piece the size of these.
const (
	streamFrom = 64 << 10
	piece      = 32 << 10
)

// stream hands a long Bind over as it comes: the batch so far goes ahead with it.
func (g *general) stream(length int, bad func(code, message string) *pg.Error) error {
	c := g.c
	head, err := c.in.Peek(min(length, c.in.Size()))
	if err != nil {
		return err
	}
	names := bytes.IndexByte(head, 0) + 1
	if n := bytes.IndexByte(head[names:], 0) + 1; names > 0 && n > 0 {
		names += n
	} else {
		c.skipping = true
		return c.skip(length, command{err: bad(pg.CodeProtocolViolation, "the names in a Bind are too long")})
	}
	if !c.s.bytes.take(2 * piece) {
		c.skipping = true
		return c.skip(length, command{err: pg.Refusal("no memory for the statement", c.s.retryAfter())})
	}
	defer c.s.bytes.give(2 * piece)
	rest := relay.NewStream(length - names)
	m := relay.Message{Kind: pg.Bind, Body: bytes.Clone(head[:names]), Rest: rest}
	_, _ = c.in.Discard(names)
	if g.batch == nil {
		g.batch = &relay.Batch{}
	}
	g.batch.Messages, g.batch.Streamed = append(g.batch.Messages, m), true
	cmd := command{batch: g.batch, held: g.held, arrived: c.s.cfg.Clock.Now()}
	g.batch, g.bytes, g.held = nil, 0, 0
	c.queue(cmd)
	defer rest.End()
	wanted, buffers := true, [2][]byte{make([]byte, piece), make([]byte, piece)}
	for left, i := length-names, 0; left > 0; i = 1 - i {
		c.readBy(messageWithin) // each piece in time: the whole may take longer
		b := buffers[i][:min(left, piece)]
		if _, err := io.ReadFull(c.in, b); err != nil {
			return err
		}
		left -= len(b)
		wanted = wanted && rest.Put(b)
	}
	c.mu.Lock()
	c.timed = true // between clears the deadline
	c.mu.Unlock()
	return nil
}

// commands says what a batch does, as far as can be seen.
func (g *general) commands(b *relay.Batch) (out []pooling.Command, text string) {
	for _, m := range b.Messages {
		switch m.Kind {
		case pg.Query:
			text = string(bytes.TrimSuffix(m.Body, []byte{0}))
			out = append(out, pooling.Scan(text)...)
		case pg.Parse:
			if p, err := pg.ReadParse(m.Body); err == nil {
				text = p.Text
				out = append(out, pooling.Scan(text)...)
			}
		case pg.Bind:
			body := m.Body
			if m.Rest != nil {
				body = append(bytes.Clone(body), make([]byte, 6)...) // only its names are here
			}
			if _, name, _, err := pg.ReadBind(body); err == nil {
				if st := g.state.Prepared(name); st != nil {
					text = st.Text
					out = append(out, pooling.Scan(text)...)
				}
			}
		}
	}
	return out, text
}

// comment reads names and values from the last comment of a text.
func comment(text string) map[string]string {
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

var leases atomic.Int64

// answer has a batch run and its answer written; false ends the session.
func (g *general) answer(ctx context.Context, cmd command) bool {
	c, b := g.c, cmd.batch
	g.pool.Stats.Batches.Add(1)
	if g.skip {
		// What follows an error is skipped up to the Sync, as a host would.
		b.Discard()
		if g.skip = b.Messages[len(b.Messages)-1].Kind != pg.Sync; g.skip {
			return true
		}
		return c.write(pg.AppendReadyAs(nil, g.state.Status))
	}
	defer b.Discard()
	var text string
	b.Commands, text = g.commands(b)
	for _, x := range b.Commands {
		if x.Kind == pooling.Copy {
			return g.say(b, &pg.Error{Code: pg.CodeNotSupported, Message: "COPY is not carried"})
		}
	}
	last := b.Messages[len(b.Messages)-1].Kind
	begins, readOnly := b.Begins()
	switch {
	case len(b.Messages) == 1 && last == pg.Sync && g.lease == nil:
		return c.write(pg.AppendReady(nil))
	case len(b.Messages) == 1 && last == pg.Query && len(b.Commands) == 1 && b.Commands[0].Kind == pooling.Empty && g.lease == nil:
		select {
		case <-c.s.ready:
		case <-c.closed:
			return false
		case <-ctx.Done():
			return false
		}
		return c.write(pg.AppendReady(pg.Append(nil, pg.EmptyQueryResponse)))
	case len(b.Messages) == 1 && last == pg.Query && len(b.Commands) == 1 && b.Commands[0].Kind == pooling.Deallocate &&
		g.state.Prepared(b.Commands[0].Name) != nil:
		// The host knows it by another name, if it does.
		g.state.Close(b.Commands[0].Name)
		return c.write(pg.AppendReadyAs(pg.Append(nil, pg.CommandComplete, []byte("DEALLOCATE\x00")), g.state.Status))
	case begins && g.pool.Mode == pooling.ByStatement:
		return g.say(b, &pg.Error{Code: pg.CodeNotSupported, Message: "this pool carries no transactions"})
	}
	if g.lease != nil {
		g.lease.Next(b)
		return g.wait(ctx, b, false)
	}
	said := comment(text)
	write := b.Writes() || begins && !readOnly
	class := g.pool.Read
	switch {
	case write:
		class = g.pool.Write
	case g.wrote != 0:
		class = g.pool.ReadAfterWrite
	}
	if said["c"] != "" && !write {
		class = said["c"]
	}
	group := g.pool.Group
	if n, err := strconv.Atoi(said["cluster"]); err == nil {
		group = n
	}
	r := &exchange.Request{ID: fmt.Sprintf("general-%d", leases.Add(1)), User: c.user, Tenant: said["tenant"], Class: class, Session: c.user,
		Group: group, Write: write, Arrived: max(cmd.arrived, g.free)}
	if g.wrote > 0 {
		r.After = g.wrote
	} else if g.wrote < 0 {
		r.After = c.s.cfg.Clock.MaxFleetTime() // it wrote, and the host did not say when
	}
	pins := false
	for _, x := range b.Commands {
		pins = pins || x.Pin != 0
	}
	if pins || begins || g.pool.Mode == pooling.BySession || !b.Complete {
		r.Checkout = g.pool.MaxTransaction
		if pins || g.pool.Mode == pooling.BySession {
			r.Checkout = sessionLease
		}
	}
	if m := int64(g.pool.MaxSessions); m > 0 && g.pool.Stats.CheckedOut.Load() >= m {
		r.QuotaRetryAfter = overPool
	}
	if begins {
		g.pool.Stats.Transactions.Add(1)
	}
	l := relay.New(g.state, g.pool.Mode, g.write, b)
	l.MaxIdle = g.pool.MaxIdle
	if !write && r.Checkout == 0 && g.wrote > 0 {
		l.MinPosition = g.wrote
	}
	l.OnPinned = func(p pooling.Pin) {
		for i := range g.pool.Stats.Pins {
			if p&(1<<i) != 0 {
				g.pool.Stats.Pins[i].Add(1)
			}
		}
	}
	g.answers = make(chan exchange.Answer, 1)
	r.Command, r.Answer, r.ClientDisconnected = l, g.answers, c.gone
	g.request = r
	g.hold(l)
	c.s.x.Submit(r)
	return g.wait(ctx, b, true)
}

// hold takes a lease, or lets it go: a session that holds one is at work.
func (g *general) hold(l *relay.Checkout) {
	if (g.lease == nil) == (l == nil) {
		g.lease = l
		return
	}
	g.c.mu.Lock()
	if l != nil {
		g.c.open++
		g.pool.Stats.CheckedOut.Add(1)
	} else {
		g.c.open--
		g.pool.Stats.CheckedOut.Add(-1)
	}
	g.c.mu.Unlock()
	g.lease = l
}

// wait waits for the end of a batch.
func (g *general) wait(ctx context.Context, b *relay.Batch, first bool) bool {
	c, l := g.c, g.lease
	g.running.Store(l)
	defer g.running.Store(nil)
	select {
	case d := <-l.Done():
		return g.done(d)
	case a := <-g.answers:
		select {
		case d := <-l.Done(): // both are there
			return g.done(d)
		default:
		}
		l.Mute()
		l.Close()
		g.hold(nil)
		if !first {
			g.state.ConnectionLost()
			return g.fatal(relay.ConnectionError(fmt.Errorf("%s", reason(a))))
		}
		if a.Kind == exchange.Served { // its Done comes before
			return false
		}
		return g.say(b, errorOf(a))
	case <-c.closed:
		c.s.x.CancelRequest(g.request)
		l.Mute()
		l.Close()
		return false
	case <-ctx.Done():
		return false
	}
}

func reason(a exchange.Answer) string {
	if a.Reason == "" {
		return "its time is over"
	}
	return a.Reason
}

// done takes the end of a batch, or of a lease between two.
func (g *general) done(d relay.Done) bool {
	if d.Wrote != 0 {
		g.wrote = d.Wrote
	}
	switch {
	case d.Err != nil:
		g.lease.Mute()
		g.c.s.x.CancelRequest(g.request)
		g.hold(nil)
		g.pool.Stats.Lost.Add(1)
		g.state.ConnectionLost()
		return g.fatal(relay.ConnectionError(d.Err))
	case !d.Keep:
		g.hold(nil)
		g.free = g.c.s.cfg.Clock.Now()
	}
	return true
}

// fatal tells the client why its session ends.
func (g *general) fatal(e *pg.Error) bool {
	if g.c.write(pg.AppendError(nil, e)) {
		g.c.linger()
	}
	return false
}

// say answers a batch with an error of the gateway's own.
func (g *general) say(b *relay.Batch, e *pg.Error) bool {
	out := pg.AppendError(nil, e)
	if g.skip = !b.Complete; b.Complete {
		out = pg.AppendReadyAs(out, g.state.Status)
	}
	return g.c.write(out)
}

// end ends the session's lease, if it holds one: an open transaction is rolled back.
func (g *general) end() {
	if g.lease != nil {
		g.lease.Mute()
		g.lease.Close()
		g.hold(nil)
	}
	g.pool.Stats.Sessions.Add(-1)
}

// nextCommand gives the next command. A lease that ends while the client says nothing ends the session.
func (c *session) nextCommand() (command, bool) {
	for {
		if cmd, ok, over := c.ahead.take(); ok || over {
			return cmd, ok
		}
		if c.general == nil || c.general.lease == nil {
			<-c.ahead.some
			continue
		}
		select {
		case <-c.ahead.some:
		case d := <-c.general.lease.Done():
			return command{}, c.general.done(d)
		case a := <-c.general.answers:
			c.general.hold(nil)
			c.general.fatal(relay.ConnectionError(fmt.Errorf("%s", reason(a))))
			return command{}, false
		}
	}
}

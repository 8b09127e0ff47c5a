package backend

import (
	"context"
	"errors"
	"io"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/wire/pg"
)

// probeTries is how many connections in a row may break under a probe before it has failed. A failed probe counts as the
// host's death, and it is spared as a cold one when it answers next; a dead process refuses connections, while a single
// one may be reset by a host that is well.
const probeTries = 3

// broke says that a connection came up and was ended by the host before its session began.
func broke(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// Probe asks a host for its load report.
func (b *Backend) Probe(server string) {
	b.group.Go(func() error {
		start := b.cfg.Clock.Now()
		p := balance.ProbeResult{Server: server}
		defer func() {
			if v := recover(); v != nil { // one probe must not end the process
				b.cfg.Counters.Panics.Add(1)
				b.cfg.Log.Error("probe panicked", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
				p.Result = balance.Failed
			}
			p.Took = b.cfg.Clock.Now() - start
			b.to.Probed(p)
		}()
		until := start + b.connectTimeout()
		for range probeTries {
			c, err := b.take(func() context.Context { return b.ctx }, server, until)
			if err != nil {
				if p.Result = connectResult(err); broke(err) {
					continue
				}
				return nil
			}
			if b.over(server, b.cfg.Clock.Now()) {
				b.put(server, c)
				p.Result = balance.NotSent
				return nil
			}
			sent := b.cfg.Clock.Now()
			r := c.roundTrip(pg.AppendQuery(nil, "SHOW server_load"), "SHOW", limits{until: until})
			b.put(server, c)
			if p.Result = r.result; r.result == balance.OK {
				answer := reply{report: report(string(r.value.Data))}
				p.StatedAt = b.observe(server, &answer, sent, false)
				p.Report = answer.report
			}
			switch r.result {
			case balance.Reset, balance.NoConnection, balance.NotSent:
			default:
				return nil
			}
		}
		return nil
	})
}

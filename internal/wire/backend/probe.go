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

// maxProbeConns is how many consecutive connections may break during a probe before the probe has failed. A
// failed probe counts as the host's failure, and the host gets a slow start when it answers again. The
// process of a dead host refuses connections, while a single connection to a healthy host may be reset.
const maxProbeConns = 3

// brokeBeforeSession reports whether the host closed or reset a new connection before its session began.
func brokeBeforeSession(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// Probe requests a host's load report.
func (b *Backend) Probe(server string) {
	b.group.Go(func() error {
		start := b.cfg.Clock.Now()
		p := balance.ProbeResult{Server: server}
		defer func() {
			if v := recover(); v != nil { // a panic in one probe must not end the process
				b.cfg.Counters.Panics.Add(1)
				b.cfg.Log.Error("probe panicked", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
				p.Result = balance.Failed
			}
			p.Took = b.cfg.Clock.Now() - start
			b.reporter.Probed(p)
		}()
		until := start + b.connectTimeout()
		for range maxProbeConns {
			c, err := b.acquire(func() context.Context { return b.ctx }, server, until)
			if err != nil {
				if p.Result = connectResult(err); brokeBeforeSession(err) {
					continue
				}
				return nil
			}
			if b.sendDeadlinePassed(server, b.cfg.Clock.Now()) {
				b.release(server, c)
				p.Result = balance.NotSent
				return nil
			}
			if _, err := c.clearSettings(until); err != nil {
				b.release(server, c)
				p.Result = setupResult(err)
				continue
			}
			sent := b.cfg.Clock.Now()
			r := c.roundTrip(pg.AppendQuery(nil, "SHOW server_load"), "SHOW", limits{answerBy: until})
			b.release(server, c)
			if p.Result = r.result; r.result == balance.OK {
				answer := reply{report: parseReport(string(r.value.Data))}
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

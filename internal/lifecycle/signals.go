package lifecycle

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"yokemast/internal/control/service"
)

// Signals are those that the process follows, each kind on a channel of its own: one that can't be taken at once is dropped, and
// a series of SIGHUP must not take a SIGTERM's place. One of a kind that waits stands for all that came meanwhile.
type Signals struct{ terminate, reload, report chan os.Signal }

// NotifySignals has the process follow signals from now on. A SIGHUP that comes before ends it, unless it was started with SIGHUP ignored.
func NotifySignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	// Who reads the log may go away: writing on must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// handleTermination follows SIGTERM and SIGINT, also while a reload is going on.
func (g *gateway) handleTermination(terminate <-chan os.Signal) error {
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case sig := <-terminate:
			g.log.Info("ending", zap.Stringer("signal", sig))
			_ = g.duty.tell(service.Terminate)
		}
	}
}

// handleSignals follows the other signals.
func (g *gateway) handleSignals(s Signals, again *reloading) error {
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case <-s.report:
			g.logCounters()
		case <-s.reload:
			again.read()
		}
	}
}

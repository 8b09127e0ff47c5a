package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
	"time"

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

// rereadPause is how long after a file could not be read for a moment it is read again.
const rereadPause = 50 * time.Millisecond

// handleSignals follows the other signals. read reads the files anew; again says that one could not be read for the machine's own state,
// which may be gone the next moment: no other SIGHUP comes for it.
func (g *gateway) handleSignals(s Signals, read func() (again bool)) error {
	var reread <-chan time.Time
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case <-s.report:
			g.logCounters()
			continue
		case <-s.reload:
		case <-reread:
		}
		if reread = nil; read() {
			reread = time.After(rereadPause)
		}
	}
}

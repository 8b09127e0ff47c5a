package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/control/service"
)

// Signals holds one channel for each kind of signal that the process handles. The runtime drops a signal whose channel is
// full, and a series of SIGHUP must not displace a SIGTERM. A pending signal stands for all later ones of its kind.
type Signals struct{ terminate, reload, report chan os.Signal }

// NotifySignals starts the delivery of signals to the returned channels. A SIGHUP before the call ends the process,
// unless the process was started with SIGHUP ignored.
func NotifySignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	// The reader of the log may close its end of the pipe: a later write must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// handleTermination handles SIGTERM and SIGINT, also while a reload is running.
func (g *gateway) handleTermination(terminate <-chan os.Signal) error {
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case sig := <-terminate:
			g.log.Info("ending", zap.Stringer("signal", sig))
			_ = g.controller.handle(service.Terminate)
		}
	}
}

// rereadDelay is the delay before a file is read again that could not be read for a transient reason.
const rereadDelay = 50 * time.Millisecond

// handleSignals handles the other signals. readFiles reloads the files. It returns true if one of them could not be read
// for a transient reason; handleSignals then tries again by itself, as no other SIGHUP will arrive for this change.
func (g *gateway) handleSignals(s Signals, readFiles func() (retry bool)) error {
	var rereadTimer <-chan time.Time
	for {
		select {
		case <-g.ctx.Done():
			return nil
		case <-s.report:
			g.logCounters()
			continue
		case <-s.reload:
		case <-rereadTimer:
		}
		if rereadTimer = nil; readFiles() {
			rereadTimer = time.After(rereadDelay)
		}
	}
}

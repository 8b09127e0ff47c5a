package lifecycle

import (
	"time"

	"go.uber.org/zap"

	"yokemast/balance"
	"yokemast/internal/memory/counters"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/operator"
	"yokemast/internal/wire/backend"
	"yokemast/internal/wire/discovery"
	"yokemast/internal/wire/frontend"
	"yokemast/internal/wire/settings"
	"yokemast/internal/wire/socket"
)

// Reload reads the files anew. Operator gives nil where there is no operator's file.
type Reload struct {
	Config   func(old Config) (Config, error)
	Operator func() (*operator.File, error)
}

// reloading is what a SIGHUP changes. It belongs to the goroutine that takes signals.
type reloading struct {
	c       Config         // the last that was taken
	own     *operator.File // as at the start
	from    Reload
	watcher *discovery.Watcher
	x       *exchange.Exchange
	hosts   *backend.Backend
	front   *frontend.Server
	duty    *controller
	log     *zap.Logger
	counts  *counters.Set
}

// read reads both files. again says that one could not be read for the machine's own state.
func (r *reloading) read() (again bool) {
	again = r.configuration()
	return r.operator() || again
}

// configuration takes the address of discovery and the settings, both or neither. Hosts, sessions and requests stay as they
// are: the list of another discovery is merged into what is known. All else that the file says holds from the start to the end.
func (r *reloading) configuration() (again bool) {
	c, err := r.from.Config(r.c)
	if err != nil {
		r.counts.BadReloads.Add(1)
		r.log.Error("the new configuration is not used", zap.Error(err))
		return socket.Transient(err)
	}
	r.counts.Reloads.Add(1)
	r.log.Info("configuration read anew", zap.String("discovery", c.Discovery))
	r.watcher.SetAddress(c.Discovery)
	r.x.UpdateSettings(c.Settings.Balance)
	connect, idle := connections(c.Settings)
	r.hosts.UpdateSettings(connect, idle, c.Settings.Balance.ColdTime)
	r.front.SetRetryAfter(retryAdvice(c.Settings.Balance))
	r.duty.retime(c.Settings.Balance.Classes)
	r.c = c
	return false
}

// operator takes the operator's file anew; one that makes no sense is not used in any part.
func (r *reloading) operator() (again bool) {
	f, err := r.from.Operator()
	switch {
	case err != nil:
		r.counts.BadOperators.Add(1)
		r.log.Error("the new operator's file is not used", zap.Error(err))
	case f != nil:
		r.counts.Operators.Add(1)
		r.log.Info("operator's file read anew", zap.Bool("cells", f.Cells != nil))
		if f.Control != r.own.Control {
			r.log.Warn("the control socket stays as it was until the next start")
		}
		r.x.Configure(f.Cells)
	}
	return socket.Transient(err)
}

// retryAdvice is the come-back time of a client that found no room.
func retryAdvice(s balance.Settings) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(retryAfter, s.MaxRetryAfter)
}

// connections gives how long one to a host may take to come up, and how long it may idle.
func connections(s settings.Settings) (connect, idle time.Duration) {
	return orElse(s.ConnectTimeout, defaultConnectTimeout), time.Duration(float64(orElse(s.ConnIdle, defaultConnIdle)) * idlePart)
}

func orElse(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

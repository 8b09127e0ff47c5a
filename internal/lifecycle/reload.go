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

// Reload holds the functions that read the files again. Operator returns nil if there is no operator's file.
type Reload struct {
	Config   func(old Config) (Config, error)
	Operator func() (*operator.File, error)
}

// reloader applies a SIGHUP to the parts of the gateway. It is used by the goroutine that handles signals only.
type reloader struct {
	config       Config         // the last configuration applied
	operatorFile *operator.File // as loaded at the start
	source       Reload
	watcher      *discovery.Watcher
	exchange     *exchange.Exchange
	hosts        *backend.Backend
	frontend     *frontend.Server
	controller   *controller
	log          *zap.Logger
	counts       *counters.Set
}

// read reloads both files. It reports whether to retry because a file could not be read for a transient reason, such as
// no free file descriptor.
func (r *reloader) read() (retry bool) {
	retry = r.reloadConfig()
	return r.reloadOperatorFile() || retry
}

// reloadConfig applies the address of discovery and the settings, both or neither. Hosts, sessions and requests are kept:
// the endpoint list of a new discovery is merged with the known hosts. All other values stay as
// at the start until the process exits.
func (r *reloader) reloadConfig() (retry bool) {
	c, err := r.source.Config(r.config)
	if err != nil {
		r.counts.BadReloads.Add(1)
		r.log.Error("the new configuration is not used", zap.Error(err))
		return socket.Transient(err)
	}
	r.counts.Reloads.Add(1)
	r.log.Info("configuration read anew", zap.String("discovery", c.Discovery))
	r.watcher.SetAddress(c.Discovery)
	r.exchange.UpdateSettings(c.Settings.Balance)
	connect, idle := hostTimeouts(c.Settings)
	r.hosts.UpdateSettings(connect, idle, c.Settings.Balance.ColdTime)
	r.frontend.SetRetryAfter(connectRetryAfter(c.Settings.Balance))
	r.controller.setClasses(c.Settings.Balance.Classes)
	r.config = c
	return false
}

// reloadOperatorFile reloads the operator's file. An invalid file changes nothing.
func (r *reloader) reloadOperatorFile() (retry bool) {
	f, err := r.source.Operator()
	switch {
	case err != nil:
		r.counts.BadOperators.Add(1)
		r.log.Error("the new operator's file is not used", zap.Error(err))
	case f != nil:
		r.counts.Operators.Add(1)
		r.log.Info("operator's file read anew", zap.Bool("cells", f.Cells != nil))
		if f.Control != r.operatorFile.Control {
			r.log.Warn("changed control socket is not used until the next start")
		}
		r.exchange.Configure(f.Cells)
	}
	return socket.Transient(err)
}

// connectRetryAfter returns the retryAfter of a client that is refused at the connection limit, or 0 if the settings do
// not allow one.
func connectRetryAfter(s balance.Settings) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(retryAfter, s.MaxRetryAfter)
}

// hostTimeouts returns the connect timeout and the maximum idle time of connections to hosts.
func hostTimeouts(s settings.Settings) (connect, idle time.Duration) {
	return orDefault(s.ConnectTimeout, defaultConnectTimeout), time.Duration(float64(orDefault(s.ConnIdle, defaultConnIdle)) * idleFraction)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// Package control is the gateway's control socket: HTTP with JSON over a unix domain socket, for commands against a running
// gateway. The operator's file says whether there is one; its permissions are all that guards it.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"yokemast/balance"
	"yokemast/internal/control/cells"
	"yokemast/internal/memory/exchange"
)

const (
	// conns bounds what the socket takes of the descriptors, and requestWithin how long one may be held.
	conns         = 4
	requestWithin = 5 * time.Second
	maxBody       = 1 << 20
)

// Exchange is what the socket speaks for.
type Exchange interface {
	Cells(ctx context.Context, do func(now time.Duration, s *cells.State) ([]cells.Action, error)) error
}

// PlanRequest names hosts that would come and go.
type PlanRequest struct {
	Come  []Host   `json:"come"`
	Leave []string `json:"leave"`
}

// Host is one that would come.
type Host struct {
	ID     string  `json:"id"`
	Group  int     `json:"group"`
	Weight float64 `json:"weight"`
}

// MoveRequest is an order to move a tenant, or to abort or confirm its move.
type MoveRequest struct {
	Tenant    string `json:"tenant"`
	To        string `json:"to,omitempty"`
	FromGroup int    `json:"from_group,omitempty"`
	ToGroup   int    `json:"to_group,omitempty"`
	Confirm   bool   `json:"confirm,omitempty"`
}

// PoolsReport is how connections to hosts are shared.
type PoolsReport struct {
	Pools    []PoolReport `json:"pools"`
	Hosts    []HostReport `json:"hosts"`
	Waiting  int          `json:"waiting"` // for a connection
	Peak     int          `json:"peak"`    // connections to hosts that there were at most
	Hits     int64        `json:"prepared_hits"`
	Misses   int64        `json:"prepared_misses"`
	NoneFree int64        `json:"none_free"` // times that no connection was to be had
}

// PoolReport is one pool of clients.
type PoolReport struct {
	Pool         string           `json:"pool"`
	Mode         string           `json:"mode"`
	Sessions     int64            `json:"sessions"`
	Holding      int64            `json:"holding"` // sessions that hold a host connection
	Batches      int64            `json:"batches"`
	Transactions int64            `json:"transactions"`
	Lost         int64            `json:"lost"` // sessions ended with their host connection, or for their silence
	Cancels      int64            `json:"cancels"`
	Pinned       map[string]int64 `json:"pinned"` // how often, by reason
}

// HostReport is one host's connections.
type HostReport struct {
	Host    string `json:"host"`
	Open    int    `json:"open"`
	Used    int    `json:"used"`
	Idle    int    `json:"idle"`
	Opening int    `json:"opening"`
}

type failure struct {
	Error string `json:"error"`
}

// Listen makes the socket at path. One that a dead gateway left there is replaced; one that answers is an error. It gets
// its permissions before it can be found.
func Listen(path string, mode os.FileMode) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s: another process answers there", path)
	}
	if old, err := os.Lstat(path); err == nil && old.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("control socket %s: something else is there", path)
	}
	making := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(making)
	l, err := net.Listen("unix", making)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err = os.Chmod(making, mode); err == nil {
		err = os.Rename(making, path)
	}
	if err != nil {
		l.Close()
		_ = os.Remove(making)
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return &listener{netutil.LimitListener(l, conns), path}, nil
}

type listener struct {
	net.Listener
	path string
}

// Close takes the socket away.
func (l *listener) Close() error {
	return errors.Join(l.Listener.Close(), os.Remove(l.path))
}

// Serve answers until the context ends.
func Serve(ctx context.Context, l net.Listener, x Exchange, pools func() PoolsReport, log *zap.Logger) error {
	s := &http.Server{Handler: handler(x, pools), ReadTimeout: requestWithin, WriteTimeout: requestWithin,
		MaxHeaderBytes: 8 << 10, ErrorLog: zap.NewStdLog(log)}
	s.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control socket: %w", err)
	}
	return nil
}

func handler(x Exchange, pools func() PoolsReport) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/pools", func(w http.ResponseWriter, _ *http.Request) { answer(w, pools(), nil) })
	mux.HandleFunc("GET /v1/cells", func(w http.ResponseWriter, r *http.Request) {
		var out cells.Report
		answer(w, &out, x.Cells(r.Context(), func(_ time.Duration, s *cells.State) ([]cells.Action, error) {
			out = s.Report()
			return nil, nil
		}))
	})
	mux.HandleFunc("POST /v1/cells/plan", func(w http.ResponseWriter, r *http.Request) {
		var q PlanRequest
		if !read(w, r, &q) {
			return
		}
		come := make([]balance.Member, 0, len(q.Come))
		for _, h := range q.Come {
			m := balance.Member{Server: h.ID, Group: h.Group, Weight: h.Weight}
			if m.Weight <= 0 {
				m.Weight = 1
			}
			come = append(come, m)
		}
		var out cells.Forecast
		answer(w, &out, x.Cells(r.Context(), func(_ time.Duration, s *cells.State) (_ []cells.Action, err error) {
			out, err = s.Plan(come, q.Leave)
			return nil, err
		}))
	})
	order := func(do func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var q MoveRequest
			if !read(w, r, &q) {
				return
			}
			var out cells.Report
			answer(w, &out, x.Cells(r.Context(), func(now time.Duration, s *cells.State) ([]cells.Action, error) {
				acts, err := do(now, s, q)
				out = s.Report()
				return acts, err
			}))
		}
	}
	mux.HandleFunc("POST /v1/cells/move", order(func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error) {
		return s.Move(now, cells.Order{Tenant: q.Tenant, To: q.To, FromGroup: q.FromGroup, ToGroup: q.ToGroup, Confirm: q.Confirm})
	}))
	mux.HandleFunc("POST /v1/cells/abort", order(func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error) {
		return s.Abort(now, q.Tenant, "by the operator")
	}))
	mux.HandleFunc("POST /v1/cells/confirm", order(func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error) {
		return s.Confirm(now, q.Tenant)
	}))
	return mux
}

func read(w http.ResponseWriter, r *http.Request, to any) bool {
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(to); err != nil {
		fail(w, http.StatusBadRequest, fmt.Errorf("the request can't be read: %w", err))
		return false
	}
	return true
}

func answer(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, cells.ErrNoTenant), errors.Is(err, cells.ErrNoCell), errors.Is(err, exchange.ErrNoCells):
		fail(w, http.StatusNotFound, err)
	case err != nil:
		fail(w, http.StatusConflict, err)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

func fail(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(failure{err.Error()})
}

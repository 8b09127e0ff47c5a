// Package control implements the gateway's control socket: HTTP with JSON over a Unix domain socket, for commands to a
// running gateway. The operator's file says whether there is one. Access is controlled by the file permissions only.
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
	// maxConns limits the descriptors that the socket uses, and requestTimeout how long one may be held.
	maxConns       = 4
	requestTimeout = 5 * time.Second
	maxBody        = 1 << 20
)

// Exchange runs functions on the state of the cells.
type Exchange interface {
	Cells(ctx context.Context, do func(now time.Duration, s *cells.State) ([]cells.Action, error)) error
}

// PlanRequest lists hosts that would be added or removed.
type PlanRequest struct {
	Come  []Host   `json:"come"`  // hosts added
	Leave []string `json:"leave"` // IDs of the hosts removed
}

// Host is a host that would be added.
type Host struct {
	ID     string  `json:"id"`
	Group  int     `json:"group"`
	Weight float64 `json:"weight"`
}

// MoveRequest requests the move of a tenant, or aborts or confirms it.
type MoveRequest struct {
	Tenant    string `json:"tenant"`
	To        string `json:"to,omitempty"`
	FromGroup int    `json:"from_group,omitempty"`
	ToGroup   int    `json:"to_group,omitempty"`
	Confirm   bool   `json:"confirm,omitempty"`
}

// PoolsReport shows how clients share connections to hosts. Hits and Misses count uses of prepared statements that
// the host connection already had, and that had to be prepared on it.
type PoolsReport struct {
	Pools    []PoolReport `json:"pools"`
	Hosts    []HostReport `json:"hosts"`
	Waiting  int          `json:"waiting"` // requests that wait for a connection
	Peak     int          `json:"peak"`    // maximum number of connections to hosts so far
	Hits     int64        `json:"prepared_hits"`
	Misses   int64        `json:"prepared_misses"`
	NoneFree int64        `json:"none_free"` // how often no connection was free
}

// PoolReport is the state of one pool of clients.
type PoolReport struct {
	Pool         string           `json:"pool"`
	Mode         string           `json:"mode"`
	Sessions     int64            `json:"sessions"`
	Holding      int64            `json:"holding"` // sessions that hold a host connection
	Batches      int64            `json:"batches"`
	Transactions int64            `json:"transactions"`
	Lost         int64            `json:"lost"` // sessions closed because their host connection failed or they were idle too long
	Cancels      int64            `json:"cancels"`
	Pinned       map[string]int64 `json:"pinned"` // how often, by reason
}

// HostReport holds the numbers of connections to one host.
type HostReport struct {
	Host    string `json:"host"`
	Open    int    `json:"open"`
	Used    int    `json:"used"`
	Idle    int    `json:"idle"`
	Opening int    `json:"opening"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// Listen creates the socket at path. A socket left by a dead gateway is replaced; one that answers is an error. The
// permissions are set under a temporary name, before the socket appears at path.
func Listen(path string, mode os.FileMode) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s: another process answers there", path)
	}
	if old, err := os.Lstat(path); err == nil && old.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("control socket %s: path exists and is no socket", path)
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary)
	l, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err = os.Chmod(temporary, mode); err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		l.Close()
		_ = os.Remove(temporary)
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return &listener{netutil.LimitListener(l, maxConns), path}, nil
}

type listener struct {
	net.Listener
	path string
}

// Close closes the listener and removes the socket.
func (l *listener) Close() error {
	return errors.Join(l.Listener.Close(), os.Remove(l.path))
}

// Serve answers requests until ctx is done.
func Serve(ctx context.Context, l net.Listener, x Exchange, pools func() PoolsReport, log *zap.Logger) error {
	s := &http.Server{Handler: handler(x, pools), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
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
	mux.HandleFunc("GET /v1/pools", func(w http.ResponseWriter, _ *http.Request) { respond(w, pools(), nil) })
	mux.HandleFunc("GET /v1/cells", func(w http.ResponseWriter, r *http.Request) {
		var out cells.Report
		respond(w, &out, x.Cells(r.Context(), func(_ time.Duration, s *cells.State) ([]cells.Action, error) {
			out = s.Report()
			return nil, nil
		}))
	})
	mux.HandleFunc("POST /v1/cells/plan", func(w http.ResponseWriter, r *http.Request) {
		var q PlanRequest
		if !read(w, r, &q) {
			return
		}
		added := make([]balance.Member, 0, len(q.Come))
		for _, h := range q.Come {
			m := balance.Member{Server: h.ID, Group: h.Group, Weight: h.Weight}
			if m.Weight <= 0 {
				m.Weight = 1
			}
			added = append(added, m)
		}
		var out cells.Forecast
		respond(w, &out, x.Cells(r.Context(), func(_ time.Duration, s *cells.State) (_ []cells.Action, err error) {
			out, err = s.Plan(added, q.Leave)
			return nil, err
		}))
	})
	moveHandler := func(do func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var q MoveRequest
			if !read(w, r, &q) {
				return
			}
			var out cells.Report
			respond(w, &out, x.Cells(r.Context(), func(now time.Duration, s *cells.State) ([]cells.Action, error) {
				acts, err := do(now, s, q)
				out = s.Report()
				return acts, err
			}))
		}
	}
	mux.HandleFunc("POST /v1/cells/move", moveHandler(func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error) {
		return s.Move(now, cells.Order{Tenant: q.Tenant, To: q.To, FromGroup: q.FromGroup, ToGroup: q.ToGroup, Confirm: q.Confirm})
	}))
	mux.HandleFunc("POST /v1/cells/abort", moveHandler(func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error) {
		return s.Abort(now, q.Tenant, "by the operator")
	}))
	mux.HandleFunc("POST /v1/cells/confirm", moveHandler(func(now time.Duration, s *cells.State, q MoveRequest) ([]cells.Action, error) {
		return s.Confirm(now, q.Tenant)
	}))
	return mux
}

func read(w http.ResponseWriter, r *http.Request, to any) bool {
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(to); err != nil {
		respondError(w, http.StatusBadRequest, fmt.Errorf("invalid request: %w", err))
		return false
	}
	return true
}

func respond(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, cells.ErrNoTenant), errors.Is(err, cells.ErrNoCell), errors.Is(err, exchange.ErrNoCells):
		respondError(w, http.StatusNotFound, err)
	case err != nil:
		respondError(w, http.StatusConflict, err)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

func respondError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{err.Error()})
}

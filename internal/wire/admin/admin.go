// Package admin serves the administration address for operators and the platform's tools, by HTTP/1.1 with one call per
// connection:
//
//	GET  /_ready         200: the process is ready to serve; 503: it is not
//	POST /_lameduck/on   204: the process drains
//	POST /_lameduck/off  204: the drain is ended; 409: the process is shutting down
//	GET  /_counters      200: the counters, as a JSON object
//
// No call waits for clients, hosts or the exchange.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yokemast/internal/memory/counters"
)

const (
	// maxCallers is the maximum number of open connections. A further one replaces the oldest, so that callers that never
	// finish a call cannot block others.
	maxCallers = 16
	// callTimeout is the time limit for reading a request, and for writing its answer.
	callTimeout    = 5 * time.Second
	maxHeaderBytes = 8 << 10
	// acceptRetryDelay is the delay after a failed accept: without a free descriptor the next one would fail as well.
	acceptRetryDelay = 5 * time.Millisecond
)

// Descriptors is the maximum number of file descriptors in use: those of the callers, of one more that is to replace the
// oldest, and of the listener.
const Descriptors = maxCallers + 2

// Service is the process state that calls read and change. Its methods must not block.
type Service interface {
	Ready() bool
	Drain() error
	Resume() error
}

// Serve answers calls until ctx is done.
func Serve(ctx context.Context, l net.Listener, s Service, log *zap.Logger, counts *counters.Set) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if s.Ready() {
			respond(w, http.StatusOK, "ready")
			return
		}
		respond(w, http.StatusServiceUnavailable, "not ready")
	})
	mux.HandleFunc("GET /_counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counts.Values()) // the caller may have disconnected
	})
	for path, do := range map[string]func() error{"on": s.Drain, "off": s.Resume} {
		mux.HandleFunc("POST /_lameduck/"+path, func(w http.ResponseWriter, _ *http.Request) {
			if err := do(); err != nil {
				respond(w, http.StatusConflict, err.Error())
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	callers := &callerListener{Listener: l, open: map[*caller]time.Time{}, counts: counts}
	server := &http.Server{Handler: countCalls(mux, counts), ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))} // errors of callers are counted, not logged
	server.SetKeepAlivesEnabled(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		if err := server.Serve(callers); err != http.ErrServerClosed {
			return fmt.Errorf("admin: %w", err)
		}
		return nil
	})
	return group.Wait()
}

func respond(w http.ResponseWriter, status int, what string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, what+"\n")
}

// countCalls counts all calls and those answered with an error status.
func countCalls(next http.Handler, counts *counters.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counts.Calls.Add(1)
		next.ServeHTTP(&statusCounter{w, counts}, r)
	})
}

// statusCounter counts error statuses.
type statusCounter struct {
	http.ResponseWriter
	counts *counters.Set
}

func (n *statusCounter) WriteHeader(status int) {
	if status >= 400 {
		n.counts.CallsFailed.Add(1)
	}
	n.ResponseWriter.WriteHeader(status)
}

// callerListener is a listener with at most maxCallers open connections.
type callerListener struct {
	net.Listener
	counts *counters.Set
	mu     sync.Mutex
	open   map[*caller]time.Time // time of the accept
}

// Accept retries after errors until the listener is closed. At the connection limit it closes the oldest connection.
func (d *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		d.mu.Lock()
		if len(d.open) >= maxCallers {
			oldest := slices.MinFunc(slices.Collect(maps.Keys(d.open)), func(a, b *caller) int { return d.open[a].Compare(d.open[b]) })
			delete(d.open, oldest)
			d.counts.CallersDropped.Add(1)
			_ = oldest.Conn.Close()
		}
		in := &caller{Conn: c, listener: d}
		d.open[in] = time.Now()
		d.mu.Unlock()
		return in, nil
	}
}

// caller is an accepted connection. Closing it removes it from its listener.
type caller struct {
	net.Conn
	listener *callerListener
}

func (c *caller) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

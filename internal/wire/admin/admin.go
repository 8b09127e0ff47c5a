// Package admin is the second address, where staff and the platform's tools call the process by HTTP/1.1, one call a
// connection:
//
//	GET  /_ready         200: the process is ready to serve; 503: it is not
//	POST /_lameduck/on   204: it drains
//	POST /_lameduck/off  204: it is back at work; 409: it is ending and can't be
//	GET  /_counters      200: the counters, as a JSON object
//
// Nothing here waits for clients, hosts or the exchange.
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
	// callers is how many may be connected at a time. One more takes the place of the one that has been silent for
	// longest: callers that finish no call can't keep an honest one waiting.
	callers = 16
	// callWithin is how long a caller may take to say what it wants, and then to take the answer.
	callWithin = 5 * time.Second
	maxHead    = 8 << 10
	// pauseAfter is the pause after an accept that failed: without a descriptor the next one fails as well.
	pauseAfter = 5 * time.Millisecond
)

// Descriptors is how many the address may hold: the listener and its callers.
const Descriptors = callers + 2

// Service is what is called. No method may wait.
type Service interface {
	Ready() bool
	Drain() error
	Resume() error
}

// Serve answers calls until the context ends.
func Serve(ctx context.Context, l net.Listener, s Service, log *zap.Logger, counts *counters.Set) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if s.Ready() {
			say(w, http.StatusOK, "ready")
			return
		}
		say(w, http.StatusServiceUnavailable, "not ready")
	})
	mux.HandleFunc("GET /_counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counts.Values()) // a caller that has gone needs none
	})
	for path, do := range map[string]func() error{"on": s.Drain, "off": s.Resume} {
		mux.HandleFunc("POST /_lameduck/"+path, func(w http.ResponseWriter, _ *http.Request) {
			if err := do(); err != nil {
				say(w, http.StatusConflict, err.Error())
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	door := &door{Listener: l, open: map[*caller]time.Time{}, counts: counts}
	server := &http.Server{Handler: counted(mux, counts), ReadTimeout: callWithin, WriteTimeout: callWithin, MaxHeaderBytes: maxHead,
		ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))} // what callers do wrong is counted, not logged
	server.SetKeepAlivesEnabled(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		if err := server.Serve(door); err != http.ErrServerClosed {
			return fmt.Errorf("admin: %w", err)
		}
		return nil
	})
	return group.Wait()
}

func say(w http.ResponseWriter, status int, what string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, what+"\n")
}

// counted counts calls and those answered with no.
func counted(next http.Handler, counts *counters.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counts.Calls.Add(1)
		next.ServeHTTP(&noting{w, counts}, r)
	})
}

type noting struct {
	http.ResponseWriter
	counts *counters.Set
}

func (n *noting) WriteHeader(status int) {
	if status >= 400 {
		n.counts.CallsFailed.Add(1)
	}
	n.ResponseWriter.WriteHeader(status)
}

// door is a listener that holds so many connections at most.
type door struct {
	net.Listener
	counts *counters.Set
	mu     sync.Mutex
	open   map[*caller]time.Time // since when
}

// Accept never gives up while the listener is open.
func (d *door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(pauseAfter)
			continue
		}
		d.mu.Lock()
		if len(d.open) >= callers {
			oldest := slices.MinFunc(slices.Collect(maps.Keys(d.open)), func(a, b *caller) int { return d.open[a].Compare(d.open[b]) })
			delete(d.open, oldest)
			d.counts.CallersDropped.Add(1)
			_ = oldest.Conn.Close()
		}
		in := &caller{Conn: c, d: d}
		d.open[in] = time.Now()
		d.mu.Unlock()
		return in, nil
	}
}

type caller struct {
	net.Conn
	d *door
}

func (c *caller) Close() error {
	c.d.mu.Lock()
	delete(c.d.open, c)
	c.d.mu.Unlock()
	return c.Conn.Close()
}

package lifecycle

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"time"

	"yokemast/internal/memory/counters"
)

// logReader is the reader of the log.
type logReader struct {
	mu      sync.Mutex
	read    bytes.Buffer
	stopped chan struct{} // if not nil, Write blocks until it is closed
	err     error
}

func (r *logReader) Write(b []byte) (int, error) {
	if r.stopped != nil {
		<-r.stopped
	}
	if r.err != nil {
		return 0, r.err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.Write(b)
}

func TestSyncWritesAllLines(t *testing.T) {
	r, counts := &logReader{}, &counters.Set{}
	log := newLog(r, 1000, counts)
	for range 500 {
		log.Info("line")
	}
	_ = log.Sync()
	r.mu.Lock()
	defer r.mu.Unlock()
	if got := bytes.Count(r.read.Bytes(), []byte("\n")); got != 500 {
		t.Errorf("%d of 500 lines are written", got)
	}
}

// A blocked or closed log reader must not block the gateway: lines that it does not take are dropped and counted.
func TestBlockedLogReaderDoesNotBlockLogging(t *testing.T) {
	for name, r := range map[string]*logReader{"blocked": {stopped: make(chan struct{})}, "closed": {err: errors.New("broken pipe")}} {
		counts := &counters.Set{}
		log := newLog(r, 10*logLines, counts)
		began := time.Now()
		for range 2 * logLines {
			log.Info("line")
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%s: %d lines took %s", name, 2*logLines, took)
		}
		_ = log.Sync()
		if counts.LogDropped.Get() < logLines/2 {
			t.Errorf("%s: %d lines counted as dropped", name, counts.LogDropped.Get())
		}
		if r.stopped != nil {
			close(r.stopped)
		}
	}
}

package hosts

import (
	"math/rand/v2"
	"time"
)

// emptyReport is the load report of a host that has not made one yet.
const emptyReport = "x0=0.000,x1=0"

// reporter makes the load reports of a host's process and keeps the newest. It is guarded by its host's mutex.
type reporter struct {
	rng                *rand.Rand
	minPause, maxPause time.Duration
	newest             string
	stopped            bool
	timer              *time.Timer
}

func (r *reporter) pause() time.Duration {
	return r.minPause + time.Duration(r.rng.Int64N(int64(r.maxPause-r.minPause)+1))
}

// KeepReports makes a host of a cluster produce load reports at random intervals between the two bounds, drawn from the seed,
// and send the newest with every answer and to probes. No report is made while the host hangs. It must be called before the
// first connection.
func (h *Host) KeepReports(seed uint64, minPause, maxPause time.Duration) {
	h.Report = h.lastReport
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = &reporter{rng: rand.New(rand.NewPCG(seed, 0x6c6f6164)), minPause: minPause, maxPause: maxPause}
	h.startReportsLocked()
}

// StopReports sets whether a host stops making load reports. While it does, it keeps sending the newest one.
func (h *Host) StopReports(stopped bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reports != nil {
		h.reports.stopped = stopped
	}
}

func (h *Host) lastReport() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports.newest
}

// startReportsLocked starts the reports of a new process.
func (h *Host) startReportsLocked() {
	if h.reports == nil {
		return
	}
	h.reports.newest = emptyReport
	process := h.process
	h.reports.timer = time.AfterFunc(h.reports.pause(), func() { h.makeReport(process) })
}

// stopReportsLocked stops the reports of a process that ends.
func (h *Host) stopReportsLocked() {
	if h.reports != nil {
		h.reports.timer.Stop()
	}
}

// makeReport makes a load report of the process with the given number and schedules the next one.
func (h *Host) makeReport(process int) {
	text := h.newLoadReport()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != process {
		return
	}
	if h.hung == NotHung && !h.reports.stopped {
		h.reports.newest = text
	}
	h.reports.timer = time.AfterFunc(h.reports.pause(), func() { h.makeReport(process) })
}

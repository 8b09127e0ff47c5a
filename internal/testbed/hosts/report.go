package hosts

import (
	"math/rand/v2"
	"time"
)

// unmadeReport is what a host tells before it has made its first load report.
const unmadeReport = "x0=0.000,x1=0"

// reporter keeps the newest load report of a host's process between two makings. It is guarded by its host's mutex.
type reporter struct {
	rng         *rand.Rand
	least, most time.Duration
	text        string
	stopped     bool
	next        *time.Timer
}

func (r *reporter) pause() time.Duration {
	return r.least + time.Duration(r.rng.Int64N(int64(r.most-r.least)+1))
}

// KeepReports has a host of a cluster make a load report after each pause from least to most, drawn from the seed, and tell the
// newest with every answer and to probes until the next is made. None is made while the host hangs. It is called before the first
// connection comes.
func (h *Host) KeepReports(seed uint64, least, most time.Duration) {
	h.Report = h.keptReport
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = &reporter{rng: rand.New(rand.NewPCG(seed, 0x6c6f6164)), least: least, most: most}
	h.startReportsLocked()
}

// StopReports has a host go on telling its newest load report without making another, or ends that.
func (h *Host) StopReports(stopped bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reports != nil {
		h.reports.stopped = stopped
	}
}

func (h *Host) keptReport() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports.text
}

// startReportsLocked begins the reports of a process that starts.
func (h *Host) startReportsLocked() {
	if h.reports == nil {
		return
	}
	h.reports.text = unmadeReport
	life := h.life
	h.reports.next = time.AfterFunc(h.reports.pause(), func() { h.makeReport(life) })
}

// stopReportsLocked ends the reports of a process that dies.
func (h *Host) stopReportsLocked() {
	if h.reports != nil {
		h.reports.next.Stop()
	}
}

// makeReport makes the next load report of the process that has a number, and sees to the one after it.
func (h *Host) makeReport(life int) {
	text := h.load()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != life {
		return
	}
	if h.hung == NotHung && !h.reports.stopped {
		h.reports.text = text
	}
	h.reports.next = time.AfterFunc(h.reports.pause(), func() { h.makeReport(life) })
}

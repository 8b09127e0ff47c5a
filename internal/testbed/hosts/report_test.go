package hosts

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yokemast/internal/wire/pg"
)

const minReportPause, maxReportPause = 59 * time.Millisecond, 190 * time.Millisecond

// newReportingHost returns the primary of a cluster without listeners that makes load reports.
func newReportingHost(minPause, maxPause time.Duration) *Host {
	h := &Host{ID: "s-0", cluster: &Cluster{Group: 1}}
	h.cluster.hosts, h.cluster.primary = []*Host{h, {ID: "s-1", cluster: h.cluster}}, h
	h.KeepReports(1, minPause, maxPause)
	return h
}

// reportAge returns the age of the load report that the host sends.
func (h *Host) reportAge(t *testing.T) time.Duration {
	t.Helper()
	var x0 float64
	var x1 int
	if _, err := fmt.Sscanf(h.loadReport(), "x0=%f,x1=%d", &x0, &x1); err != nil {
		t.Fatalf("%q: %v", h.loadReport(), err)
	}
	return time.Since(time.UnixMilli(int64(x0*1000 + 0.5)))
}

func TestLoadReportIsKeptUntilNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newReportingHost(minReportPause, maxReportPause)
		if got := h.loadReport(); got != emptyReport {
			t.Errorf("report before the first is made: %q", got)
		}
		time.Sleep(maxReportPause)
		oldest, made := time.Duration(0), map[string]bool{}
		for range 10000 {
			time.Sleep(time.Millisecond)
			oldest = max(oldest, h.reportAge(t))
			made[h.loadReport()] = true
		}
		if oldest < minReportPause || oldest > maxReportPause+time.Millisecond {
			t.Errorf("the oldest report sent was %s old", oldest)
		}
		if len(made) < int(10*time.Second/maxReportPause) || len(made) > int(10*time.Second/minReportPause)+1 {
			t.Errorf("%d reports were made in 10 s", len(made))
		}
		h.stopReportsLocked()
	})
}

func TestHungHostMakesNoLoadReport(t *testing.T) {
	for _, how := range []Hang{BeforeCommit, AfterCommit, ButProbes} {
		synctest.Test(t, func(t *testing.T) {
			h := newReportingHost(minReportPause, maxReportPause)
			time.Sleep(time.Second)
			before := h.loadReport()
			h.SetHang(how)
			time.Sleep(3 * time.Second)
			h.cluster.Promote(h.cluster.hosts[1])
			h.SetHang(NotHung)
			if got := h.loadReport(); got != before || !strings.HasSuffix(got, "x1=1") {
				t.Errorf("report after the hang: %q, before it: %q", got, before)
			}
			time.Sleep(maxReportPause)
			if got := h.loadReport(); !strings.HasSuffix(got, "x1=0") {
				t.Errorf("report after the next was made: %q", got)
			}
			h.stopReportsLocked()
		})
	}
}

func TestStoppedLoadReportsKeepOldRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newReportingHost(minReportPause, maxReportPause)
		time.Sleep(time.Second)
		h.StopReports(true)
		h.cluster.Promote(h.cluster.hosts[1])
		time.Sleep(time.Second)
		statements := string(h.statements(h.state()))
		if !strings.Contains(statements, "node_role\x00follower\x00") || !strings.Contains(statements, "server_load\x00x0=") ||
			!strings.Contains(statements, ",x1=1\x00") {
			t.Errorf("statements with an answer: %q", statements)
		}
		if age := h.reportAge(t); age < time.Second {
			t.Errorf("the report is %s old", age)
		}
		h.stopReportsLocked()
	})
}

func TestHungHostAnswersProbes(t *testing.T) {
	c, err := NewCluster(1, "s-", 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	h := c.Primary()
	h.Report = func() string { return "x0=1.000,x1=1" }
	h.SetHang(ButProbes)
	conn, err := net.Dial("tcp", h.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	out := pg.AppendStartup(nil, "backend", "store")
	out = pg.AppendQuery(out, "SHOW server_load")
	if _, err := conn.Write(pg.AppendQuery(out, "SELECT content FROM kv WHERE name = 'k' /* id=1,c=view,d=480,cluster=1 */")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	rows := func() (out []string) {
		for {
			kind, body, err := pg.Read(in, pg.MaxLarge)
			switch {
			case err != nil:
				return append(out, err.Error())
			case kind == pg.DataRow:
				out = append(out, string(body))
			case kind == pg.ReadyForQuery:
				return out
			}
		}
	}
	rows() // the start of the session returns no rows
	if got := rows(); len(got) != 1 || !strings.HasSuffix(got[0], "x0=1.000,x1=1") {
		t.Errorf("the probe is answered %q", got)
	}
	answered := make(chan []string, 1)
	go func() { answered <- rows() }()
	select {
	case got := <-answered:
		t.Fatalf("the statement is answered %q while the host hangs", got)
	case <-time.After(50 * time.Millisecond):
	}
	h.SetHang(NotHung)
	if got := <-answered; len(got) != 1 {
		t.Errorf("the statement is answered %q after the host resumed", got)
	}
}

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

const reportLeast, reportMost = 59 * time.Millisecond, 190 * time.Millisecond

// newReporting gives the primary of a cluster that listens nowhere, with reports.
func newReporting(least, most time.Duration) *Host {
	h := &Host{ID: "s-0", cluster: &Cluster{Group: 1}}
	h.cluster.hosts, h.cluster.primary = []*Host{h, {ID: "s-1", cluster: h.cluster}}, h
	h.KeepReports(1, least, most)
	return h
}

// age is how old the load report is that the host tells.
func (h *Host) age(t *testing.T) time.Duration {
	t.Helper()
	var x0 float64
	var x1 int
	if _, err := fmt.Sscanf(h.toldLoad(), "x0=%f,x1=%d", &x0, &x1); err != nil {
		t.Fatalf("%q: %v", h.toldLoad(), err)
	}
	return time.Since(time.UnixMilli(int64(x0*1000 + 0.5)))
}

func TestALoadReportIsKeptUntilTheNextIsMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newReporting(reportLeast, reportMost)
		if got := h.toldLoad(); got != unmadeReport {
			t.Errorf("before the first is made it tells %q", got)
		}
		time.Sleep(reportMost)
		oldest, made := time.Duration(0), map[string]bool{}
		for range 10000 {
			time.Sleep(time.Millisecond)
			oldest = max(oldest, h.age(t))
			made[h.toldLoad()] = true
		}
		if oldest < reportLeast || oldest > reportMost+time.Millisecond {
			t.Errorf("the oldest report told was %s old", oldest)
		}
		if len(made) < int(10*time.Second/reportMost) || len(made) > int(10*time.Second/reportLeast)+1 {
			t.Errorf("%d reports were made in 10 s", len(made))
		}
		h.stopReportsLocked()
	})
}

func TestNoLoadReportIsMadeWhileAHostHangs(t *testing.T) {
	for _, how := range []Hang{BeforeCommit, AfterCommit, ButProbes} {
		synctest.Test(t, func(t *testing.T) {
			h := newReporting(reportLeast, reportMost)
			time.Sleep(time.Second)
			before := h.toldLoad()
			h.SetHang(how)
			time.Sleep(3 * time.Second)
			h.cluster.Promote(h.cluster.hosts[1])
			h.SetHang(NotHung)
			if got := h.toldLoad(); got != before || !strings.HasSuffix(got, "x1=1") {
				t.Errorf("woken it tells %q, before it told %q", got, before)
			}
			time.Sleep(reportMost)
			if got := h.toldLoad(); !strings.HasSuffix(got, "x1=0") {
				t.Errorf("after the next was made it tells %q", got)
			}
			h.stopReportsLocked()
		})
	}
}

func TestStoppedLoadReportsNameARoleThatIsNoLongerTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newReporting(reportLeast, reportMost)
		time.Sleep(time.Second)
		h.StopReports(true)
		h.cluster.Promote(h.cluster.hosts[1])
		time.Sleep(time.Second)
		notes := string(h.notes(h.standing()))
		if !strings.Contains(notes, "node_role\x00follower\x00") || !strings.Contains(notes, "server_load\x00x0=") ||
			!strings.Contains(notes, ",x1=1\x00") {
			t.Errorf("an answer tells %q", notes)
		}
		if age := h.age(t); age < time.Second {
			t.Errorf("the report is %s old", age)
		}
		h.stopReportsLocked()
	})
}

func TestAHostThatHangsButForProbesAnswersThem(t *testing.T) {
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
	rows() // the welcome has none
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
		t.Errorf("the statement is answered %q after the host was woken", got)
	}
}

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/rules"
)

// day is a gateway in service: steady clients, and staff who work on it.
type day struct {
	t       testing.TB
	cluster *hosts.Cluster
	ledger  *rules.Ledger
	now     *gateway // the process that serves
	address string   // of all its processes
	admin   string
	stop    chan struct{}
	work    sync.WaitGroup

	served, refused, ended, mixed, late, calls atomic.Int64
	bulkBytes, bulkCut                         atomic.Int64
	mu                                         sync.Mutex
	closed                                     []string        // ids of requests whose connection ended without an answer
	large                                      map[string]bool // of them, those of large values
	memory                                     int
}

// newDay starts a gateway with so many steady clients, as many that ask once and then stay, and callers that say nothing.
func newDay(t testing.TB, seed uint64, steady int) *day {
	d := &day{t: t, ledger: &rules.Ledger{Limits: rules.Limits{Slack: 2 * time.Second, Grace: time.Second}}, stop: make(chan struct{}), large: map[string]bool{}}
	c, err := hosts.NewCluster(1, "s-", 3, d.ledger, nil)
	if err != nil {
		t.Fatal(err)
	}
	d.cluster = c
	t.Cleanup(c.Close)
	for _, h := range c.Hosts() {
		h.SetLag(5 * time.Millisecond)
	}
	t.Setenv("TMPDIR", t.TempDir())
	edit := withAdmin(&d.admin)
	d.now = start(t, func(s string) string { return strings.Replace(edit(s), `"sockets":1024`, `"sockets":2048`, 1) }, c.Hosts()...)
	d.address = d.now.address
	for range 20 {
		silent, err := net.Dial("tcp", d.admin)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { silent.Close() })
	}
	for i := range steady {
		d.work.Go(func() { d.client(rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i := range bulkClients {
		d.work.Go(func() { d.bulk(fmt.Sprint("bulk", i)) })
	}
	for range steady {
		if idle, err := clients.Start(d.address, "backend", 2*time.Minute); err == nil {
			idle.Ask("")
			t.Cleanup(func() { idle.Close() })
		}
	}
	return d
}

// turn waits for a client's next turn, and connects where it has no connection; nil: that failed, and counts as turned back.
// Not ok: the day is over.
func (d *day) turn(c *clients.Client, pause time.Duration) (next *clients.Client, ok bool) {
	select {
	case <-d.stop:
		if c != nil {
			c.Close()
		}
		return nil, false
	case <-time.After(pause):
	}
	if c != nil {
		return c, true
	}
	c, err := clients.Start(d.address, "backend", 2*time.Minute)
	if err != nil {
		d.mu.Lock()
		d.closed = append(d.closed, "at the door: "+err.Error())
		d.mu.Unlock()
		return nil, true
	}
	return c, true
}

// client asks now and then, on one connection for as long as that stays.
func (d *day) client(rng *rand.Rand) {
	var c *clients.Client
	for {
		var ok bool
		if c, ok = d.turn(c, time.Duration(100+rng.IntN(300))*time.Millisecond); !ok {
			return
		}
		if c == nil {
			continue
		}
		r := clients.Request{ID: clients.NewID(), Class: "view", Key: fmt.Sprint("k", rng.IntN(50)), Wait: 15 * time.Second, Repeatable: true}
		if rng.IntN(4) == 0 {
			r.Class, r.Write, r.Value, r.Repeatable = "order", true, []byte{byte(rng.IntN(256))}, false
		}
		reply := c.Do(r, d.ledger)
		switch {
		case reply.Row:
			d.served.Add(1)
		case reply.Code == "42704":
			d.mixed.Add(1) // both versions have these classes
		case reply.Code != "":
			d.refused.Add(1)
		default:
			d.ended.Add(1)
			d.mu.Lock()
			d.closed = append(d.closed, r.ID)
			d.mu.Unlock()
		}
		if reply.Closed {
			c.Close()
			c = nil
		}
	}
}

// bulkClients write and read large values all the while.
const bulkClients = 4

// bulk writes a large value and takes it back, again and again. What is served must be what was written, and whole.
func (d *day) bulk(key string) {
	value := bulkValue(key, 400_000)
	var c *clients.Client
	for {
		var ok bool
		if c, ok = d.turn(c, 250*time.Millisecond); !ok {
			return
		}
		if c == nil {
			continue
		}
		r := clients.Request{ID: clients.NewID(), Class: "order", Key: key, Wait: 15 * time.Second, Write: true, Value: value}
		reply := c.Do(r, d.ledger)
		switch {
		case reply.Row && bytes.Equal(reply.Value, value):
			d.bulkBytes.Add(int64(len(value)))
		case reply.Row:
			d.bulkCut.Add(1) // not what was written
		case reply.Code == "":
			d.mu.Lock()
			d.closed = append(d.closed, r.ID)
			d.large[r.ID] = true
			d.mu.Unlock()
		}
		if reply.Closed {
			c.Close()
			c = nil
		}
	}
}

// call makes a call that must not take a second, however many clients and silent callers there are.
func (d *day) call(method, path string, want int) {
	d.t.Helper()
	start := time.Now()
	if got := call(d.t, method, d.admin, path); got != want {
		d.t.Errorf("%s %s: %d, want %d", method, path, got, want)
	}
	d.calls.Add(1)
	if time.Since(start) > time.Second {
		d.late.Add(1)
	}
}

func (d *day) upgrade() {
	next, admin := d.now.next()
	next.waitReady(admin)
	old := d.now
	d.now, d.admin = next, admin
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
	d.memory = max(d.memory, old.peakMB(), next.peakMB())
	old.ended()
	next.waitLog(`"elder gone"`)
}

func (d *day) drain() {
	d.call("POST", "/_lameduck/on", 204)
	d.call("GET", "/_ready", 503)
	if c, err := clients.Start(d.now.address, "backend", patience); err == nil {
		if got := c.Ask(""); !strings.HasPrefix(got, "57P03") {
			d.t.Errorf("drained, the front is told %q", got)
		}
		c.Close()
	}
	time.Sleep(500 * time.Millisecond)
	d.call("POST", "/_lameduck/off", 204)
	d.call("GET", "/_ready", 200)
	if got := d.now.client().Ask(""); got != "empty" {
		d.t.Errorf("back at work, the front is told %q", got)
	}
}

// finish ends the day and says how it went.
func (d *day) finish() (cut, turnedBack int) {
	close(d.stop)
	d.work.Wait()
	asked := map[string]bool{}
	for _, h := range d.cluster.Hosts() {
		for _, q := range h.Queries() {
			_, rest, _ := strings.Cut(q, "id=")
			id, _, _ := strings.Cut(rest, ",")
			asked[id] = true
		}
	}
	for _, id := range d.closed {
		if asked[id] {
			cut++
			if d.large[id] {
				d.bulkCut.Add(1) // a host had it: it ended in the middle of its answer, or before
			}
		} else {
			turnedBack++
		}
	}
	return cut, turnedBack
}

// TestProofDaily puts a gateway through its staff's work, under load: upgrades, new settings (every third of them broken) and
// drains. Replay: YOKEMAST_SEED=n go test ./cmd/yokemast -run TestProofDaily
func TestProofDaily(t *testing.T) {
	seed := uint64(20261202)
	if s := os.Getenv("YOKEMAST_SEED"); s != "" {
		_, _ = fmt.Sscan(s, &seed)
	}
	t.Logf("YOKEMAST_SEED=%d go test ./cmd/yokemast -run TestProofDaily", seed)
	const upgrades, reloads, drains = 20, 51, 20
	d := newDay(t, seed, 200)
	one, _ := os.ReadFile(d.now.path)
	two := strings.Replace(string(one), `"name":"own"`, `"name":"glance"`, 1)
	for range upgrades {
		d.upgrade()
	}
	taken := 0
	for i := range reloads {
		text := []string{two, two[:len(two)/2], string(one)}[i%3]
		d.now.reload(text)
		time.Sleep(120 * time.Millisecond) // the log takes ten lines of a kind in a second
		if i%3 != 1 {
			taken++
		}
	}
	if got := strings.Count(d.now.log.String(), "configuration read anew"); got != taken {
		t.Errorf("%d files were taken of %d that are whole", got, taken)
	}
	turnedBack := d.endedSoFar()
	for range drains {
		d.drain()
	}
	cut, _ := d.finish()
	for name, value := range map[string]int64{"upgrades": upgrades, "reloads": reloads, "drains": drains, "served": d.served.Load(),
		"refused": d.refused.Load(), "lost": int64(len(d.ledger.Violations())), "cut_with_request": int64(cut), "turned_back_unheard": turnedBack,
		"mixed_settings": d.mixed.Load(), "admin_calls": d.calls.Load(), "admin_late": d.late.Load(), "memory_most_mb": int64(d.memory),
		"bulk_bytes": d.bulkBytes.Load(), "bulk_cut": d.bulkCut.Load()} {
		t.Logf("figure %s=%d", name, value)
	}
	for _, b := range d.ledger.Violations() {
		t.Errorf("a rule is broken: %s", b)
	}
	if cut != 0 || turnedBack != 0 || d.mixed.Load() != 0 || d.late.Load() != 0 {
		t.Errorf("%d connections ended with a request; upgrades and settings ended %d; %d requests met mixed settings; %d calls late",
			cut, turnedBack, d.mixed.Load(), d.late.Load())
	}
	if d.bulkCut.Load() != 0 || d.bulkBytes.Load() == 0 {
		t.Errorf("%d bytes of large values came whole, %d values did not", d.bulkBytes.Load(), d.bulkCut.Load())
	}
	if d.served.Load() < 1000 {
		t.Errorf("only %d requests were served", d.served.Load())
	}
}

// endedSoFar says how many connections have ended so far without an answer.
func (d *day) endedSoFar() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(len(d.closed))
}

// TestProofDailyNeedsTheHandover is the proof's twin: processes that do not find each other end their clients' connections.
func TestProofDailyNeedsTheHandover(t *testing.T) {
	d := newDay(t, 1, 50)
	t.Setenv("TMPDIR", t.TempDir()) // another folder: the next process finds no elder there
	old := d.now
	witness := old.client()
	next, admin := old.next()
	next.waitReady(admin)
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
	old.ended()
	waitClosed(t, witness)
	d.finish()
	if strings.Contains(old.log.String(), `"heir came"`) || !strings.Contains(old.log.String(), `"clients_passed":0`) {
		t.Errorf("the processes found each other: %s", old.log)
	}
}

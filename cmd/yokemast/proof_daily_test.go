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

// dailyRun is a gateway in service: steady clients, and operations such as upgrades, reloads and drains.
type dailyRun struct {
	t       testing.TB
	cluster *hosts.Cluster
	ledger  *rules.Ledger
	current *gateway // the process that serves now
	address string   // the client address of all processes
	admin   string
	stop    chan struct{}
	work    sync.WaitGroup

	served, refused, unanswered, mixedSettings, lateCalls, adminCalls atomic.Int64
	bulkBytes, bulkCut                                                atomic.Int64
	mu                                                                sync.Mutex
	closed                                                            []string        // ids of requests whose connection ended without an answer
	large                                                             map[string]bool // the ids in closed that belong to large values
	memory                                                            int
}

// newDailyRun starts a gateway with steady continuous clients, as many that send one query and stay idle, and 20
// silent connections to the admin address.
func newDailyRun(t testing.TB, seed uint64, steady int) *dailyRun {
	d := &dailyRun{t: t, ledger: &rules.Ledger{Limits: rules.Limits{Slack: 2 * time.Second, Grace: time.Second}}, stop: make(chan struct{}), large: map[string]bool{}}
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
	d.current = start(t, func(s string) string { return strings.Replace(edit(s), `"sockets":1024`, `"sockets":2048`, 1) }, c.Hosts()...)
	d.address = d.current.address
	for range 20 {
		silent, err := net.Dial("tcp", d.admin)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { silent.Close() })
	}
	for i := range steady {
		d.work.Go(func() { d.steadyClient(rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i := range bulkClients {
		d.work.Go(func() { d.bulkClient(fmt.Sprint("bulk", i)) })
	}
	for range steady {
		if idle, err := clients.Start(d.address, "backend", 2*time.Minute); err == nil {
			idle.Ask("")
			t.Cleanup(func() { idle.Close() })
		}
	}
	return d
}

// waitTurn waits for the pause before a client's next request, and connects if c is nil. It returns a nil
// client if that fails, which counts as a closed connection, and false once the day is over.
func (d *dailyRun) waitTurn(c *clients.Client, pause time.Duration) (next *clients.Client, ok bool) {
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
		d.closed = append(d.closed, "connecting: "+err.Error())
		d.mu.Unlock()
		return nil, true
	}
	return c, true
}

// steadyClient sends a request every 0.1 to 0.4 s and reconnects when its connection is closed.
func (d *dailyRun) steadyClient(rng *rand.Rand) {
	var c *clients.Client
	for {
		var ok bool
		if c, ok = d.waitTurn(c, time.Duration(100+rng.IntN(300))*time.Millisecond); !ok {
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
			d.mixedSettings.Add(1) // both versions have these classes
		case reply.Code != "":
			d.refused.Add(1)
		default:
			d.unanswered.Add(1)
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

// bulkClients is the number of clients that write large values throughout.
const bulkClients = 4

// bulkClient repeatedly writes a large value. The answer must hold exactly the written value.
func (d *dailyRun) bulkClient(key string) {
	value := bulkValue(key, 400_000)
	var c *clients.Client
	for {
		var ok bool
		if c, ok = d.waitTurn(c, 250*time.Millisecond); !ok {
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
			d.bulkCut.Add(1) // not the written value
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

// adminCall sends a request to the admin address, which must take less than a second, however many clients and
// silent callers there are.
func (d *dailyRun) adminCall(method, path string, want int) {
	d.t.Helper()
	start := time.Now()
	if got := call(d.t, method, d.admin, path); got != want {
		d.t.Errorf("%s %s: %d, want %d", method, path, got, want)
	}
	d.adminCalls.Add(1)
	if time.Since(start) > time.Second {
		d.lateCalls.Add(1)
	}
}

func (d *dailyRun) upgrade() {
	next, admin := d.current.startNext()
	next.waitReady(admin)
	old := d.current
	d.current, d.admin = next, admin
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
	d.memory = max(d.memory, old.peakMB(), next.peakMB())
	old.waitExit()
	next.waitLog(`"elder gone"`)
}

func (d *dailyRun) drain() {
	d.adminCall("POST", "/_lameduck/on", 204)
	d.adminCall("GET", "/_ready", 503)
	if c, err := clients.Start(d.current.address, "backend", testTimeout); err == nil {
		if got := c.Ask(""); !strings.HasPrefix(got, "57P03") {
			d.t.Errorf("during the drain a new client is answered %q", got)
		}
		c.Close()
	}
	time.Sleep(500 * time.Millisecond)
	d.adminCall("POST", "/_lameduck/off", 204)
	d.adminCall("GET", "/_ready", 200)
	if got := d.current.client().Ask(""); got != "empty" {
		d.t.Errorf("after the drain a new client is answered %q", got)
	}
}

// finish stops the clients. It returns how many connections were closed with a request that a host had
// received, and how many with one that no host had received.
func (d *dailyRun) finish() (cut, turnedBack int) {
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
				d.bulkCut.Add(1) // a host had received it: the connection was closed before or during the answer
			}
		} else {
			turnedBack++
		}
	}
	return cut, turnedBack
}

// TestProofDaily runs a gateway under load through upgrades, reloads of settings (every third file is
// invalid) and drains. Replay: YOKEMAST_SEED=n go test ./cmd/yokemast -run TestProofDaily
func TestProofDaily(t *testing.T) {
	seed := uint64(20261202)
	if s := os.Getenv("YOKEMAST_SEED"); s != "" {
		_, _ = fmt.Sscan(s, &seed)
	}
	t.Logf("YOKEMAST_SEED=%d go test ./cmd/yokemast -run TestProofDaily", seed)
	const upgrades, reloads, drains = 20, 51, 20
	d := newDailyRun(t, seed, 200)
	original, _ := os.ReadFile(d.current.path)
	changed := strings.Replace(string(original), `"name":"own"`, `"name":"glance"`, 1)
	for range upgrades {
		d.upgrade()
	}
	used := 0
	for i := range reloads {
		text := []string{changed, changed[:len(changed)/2], string(original)}[i%3]
		d.current.reload(text)
		time.Sleep(120 * time.Millisecond) // the log accepts ten lines of a kind per second
		if i%3 != 1 {
			used++
		}
	}
	if got := strings.Count(d.current.log.String(), "configuration read anew"); got != used {
		t.Errorf("%d settings files were used, %d are valid", got, used)
	}
	turnedBack := d.closedSoFar()
	for range drains {
		d.drain()
	}
	cut, _ := d.finish()
	for name, value := range map[string]int64{"upgrades": upgrades, "reloads": reloads, "drains": drains, "served": d.served.Load(),
		"refused": d.refused.Load(), "lost": int64(len(d.ledger.Violations())), "cut_with_request": int64(cut), "turned_back_unheard": turnedBack,
		"mixed_settings": d.mixedSettings.Load(), "admin_calls": d.adminCalls.Load(), "admin_late": d.lateCalls.Load(), "memory_most_mb": int64(d.memory),
		"bulk_bytes": d.bulkBytes.Load(), "bulk_cut": d.bulkCut.Load()} {
		t.Logf("figure %s=%d", name, value)
	}
	for _, b := range d.ledger.Violations() {
		t.Errorf("a rule is broken: %s", b)
	}
	if cut != 0 || turnedBack != 0 || d.mixedSettings.Load() != 0 || d.lateCalls.Load() != 0 {
		t.Errorf("%d connections were closed with a request; upgrades and reloads closed %d; %d requests met mixed settings; %d admin calls were late",
			cut, turnedBack, d.mixedSettings.Load(), d.lateCalls.Load())
	}
	if d.bulkCut.Load() != 0 || d.bulkBytes.Load() == 0 {
		t.Errorf("%d bytes of large values arrived complete, %d values did not", d.bulkBytes.Load(), d.bulkCut.Load())
	}
	if d.served.Load() < 1000 {
		t.Errorf("only %d requests were served", d.served.Load())
	}
}

// closedSoFar returns how many connections have been closed so far without an answer.
func (d *dailyRun) closedSoFar() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(len(d.closed))
}

// TestProofDailyNeedsTheHandover shows that TestProofDaily can fail: an old and a new process that do not
// find each other close their clients' connections.
func TestProofDailyNeedsTheHandover(t *testing.T) {
	d := newDailyRun(t, 1, 50)
	t.Setenv("TMPDIR", t.TempDir()) // another folder, where the new process does not find the old one
	old := d.current
	witness := old.client()
	next, admin := old.startNext()
	next.waitReady(admin)
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitExit()
	waitClosed(t, witness)
	d.finish()
	if strings.Contains(old.log.String(), `"heir came"`) || !strings.Contains(old.log.String(), `"clients_passed":0`) {
		t.Errorf("the processes found each other: %s", old.log)
	}
}

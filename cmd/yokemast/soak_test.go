package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/datagrams"
	"yokemast/internal/testbed/discovery"
	"yokemast/internal/testbed/hosts"
	"yokemast/internal/testbed/linkfault"
	"yokemast/internal/testbed/rules"
	"yokemast/internal/testbed/soak"
	"yokemast/internal/testbed/stall"
	"yokemast/internal/wire/pg"
)

const (
	// soakSeeds is the environment variable with the seeds to run, "FIRST-LAST". If it is empty, the seeds of
	// CI are run.
	soakSeeds = "YOKEMAST_SOAK"
	// soakParallel is the number of seeds that run concurrently.
	soakParallel = 4
	// lateTolerance is how long after its deadline an answer still breaks no rule.
	lateTolerance = 500 * time.Millisecond
	// unreadWithin is how long after the end of a connection the reset may arrive that shows that a request
	// was not read.
	unreadWithin = 2 * time.Second
)

// TestSoak runs several gateways, hosts, discovery, clients and the checker of the rules, with faults drawn
// from a seed. Replay a failed seed with YOKEMAST_SOAK=SEED-SEED go test ./cmd/yokemast -run TestSoak.
func TestSoak(t *testing.T) {
	seeds := os.Getenv(soakSeeds)
	if seeds == "" {
		seeds = fmt.Sprintf("%d-%d", soak.FirstInCI, soak.LastInCI)
	}
	from, to, ok := strings.Cut(seeds, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err != nil || err2 != nil {
		t.Fatalf("%s=%q names no seeds", soakSeeds, seeds)
	}
	signal.Ignore(syscall.SIGHUP) // the processes inherit this, as with the run command of the deploy file
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	slots := make(chan struct{}, soakParallel)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed <= last; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				runSoak(t, soak.New(seed))
			})
		}
	})
}

// soakNode is one gateway of a run: its successive processes and its discovery agent.
type soakNode struct {
	name, path, address string
	agent               *discovery.Server
	secondServer        *httptest.Server // the agent's other address
	log                 *logBuffer
	config              string
	links               map[string]*linkfault.Link // by host id; nil if it connects to the hosts directly

	restartMu sync.Mutex // held during a planned restart

	mu               sync.Mutex
	cmd              *exec.Cmd
	fault            soak.Kind // the agent's fault, or "" for none
	faultEnd         time.Time // the end of the fault
	terminated       time.Time // time of the last SIGTERM
	killed           time.Time // time of the last SIGKILL without a SIGTERM before
	unreachableUntil time.Time // until when the agent is unreachable
	refuseNext       bool      // the next call is refused
	atSecondAddress  bool
}

type soakRun struct {
	t        *testing.T
	plan     soak.Plan
	ledger   *rules.Ledger
	clusters []*hosts.Cluster // one per group
	nodes    []*soakNode
	stop     chan struct{}
	work     sync.WaitGroup
	served   atomic.Int64

	mu           sync.Mutex
	phaseChanges []phaseChange

	network *datagrams.Network // carries gossip between the gateways; nil without gossip
	listMu  sync.Mutex         // held while a change is published at all agents
	phases  map[string]string  // listed phases by host id; SERVING if absent
	roles   map[string]string
	starts  map[string]any
}

// phaseChange is the revision at which a host's phase changed on the endpoint list.
type phaseChange struct {
	host     string
	revision int
}

func runSoak(t *testing.T, plan soak.Plan) {
	r := &soakRun{t: t, plan: plan, stop: make(chan struct{}), phases: map[string]string{}, roles: map[string]string{},
		starts: map[string]any{}, ledger: &rules.Ledger{Limits: rules.Limits{Grace: plan.Grace, Slack: 50 * time.Millisecond,
			Window: plan.Window, DisconnectGrace: 100 * time.Millisecond, KnownWithin: knownAfter + maxStall}}}
	stalls := stall.Start()
	defer stalls.Stop()
	r.ledger.Stalls = stalls.Recent
	r.startGroup("s-", plan.Hosts)
	if plan.SecondGroup > 0 {
		r.startGroup("t-", plan.SecondGroup)
	}
	for _, c := range r.clusters {
		defer c.Close()
	}
	if plan.Gossip {
		var err error
		if r.network, err = datagrams.New(plan.Seed); err != nil {
			t.Fatal(err)
		}
		defer r.network.Close()
		r.delayGossip()
	}
	for i := range plan.Gateways {
		r.startNode(i)
	}
	for _, n := range r.nodes {
		defer n.close()
	}
	r.runClients()
	r.playEvents()
	close(r.stop)
	r.work.Wait()
	if broken := r.ledger.Violations(); len(broken) > 0 {
		t.Errorf("%+v\n%d rules broken, of them:\n%s", plan, len(broken), strings.Join(broken[:min(20, len(broken))], "\n"))
		longest, ended := stalls.Longest()
		t.Logf("the longest stall of the test process itself was %s, until %.3f", longest, float64(ended.UnixMilli())/1000)
		for _, n := range r.nodes {
			t.Logf("log of %s:\n%s", n.name, n.log)
		}
	}
	if r.served.Load() == 0 {
		t.Errorf("%+v: nothing was served", plan)
	}
	t.Logf("served %d, %+v; %+v, %s", r.served.Load(), r.ledger.Counts(), plan.Ages, plan.Events)
}

// soakSettings returns the settings of a plan.
func soakSettings(p soak.Plan) string {
	effect, mode := `"effect":"fragile"`, "push"
	if p.Window > 0 {
		effect = fmt.Sprintf(`"effect":"dedup","keyTtl":%d`, p.Window)
	}
	if p.Poll {
		mode = "ask"
	}
	read := fmt.Sprintf(`"effect":"retryable","group":"all","onTime":%d,"giveUp":%d,"credit":1`, p.Deadline/2, p.Deadline)
	return fmt.Sprintf(`{"balancers":%d,"step":5000000,"membershipMode":%q,"clients":{},
		"contract":{"cold":4000000000,"coldFrom":0.25,"overloadFactor":4,"stopSendingWithin":%d},
		"domain":{"behind":"silent","consistency":["recent","own_writes","update"],"oldestData":[500000000,0,0],"tokens":"client","zero":0},
		"limits":{"connIdle":3000000000,"connectTimeout":250000000,"maxAttempts":6,"maxRetryAfter":1000000000,
			"mayCancel":true,"probes":true,"retryAfter":true},
		"profiles":[{"name":"view",%s},{"name":"own",%s},
			{"name":"order",%s,"group":"all","onTime":%d,"giveUp":%d,"credit":3,"lateWorth":0.7}],
		"report":{"columns":["x0","x1"],"how":"piggyback"}}`, p.Gateways, mode, p.Grace, read, read, effect, p.MaxDeadline/2, p.MaxDeadline)
}

func (r *soakRun) startNode(i int) {
	n := &soakNode{name: fmt.Sprint("n", i), log: &logBuffer{}}
	if r.plan.Linked != nil && r.plan.Linked[i] {
		r.startLinks(n, uint64(i))
	}
	var entries []discovery.Entry
	for _, h := range r.allHosts() {
		entries = append(entries, r.entry(n, h))
	}
	n.agent = discovery.New(entries...)
	n.agent.Before = n.beforeAnswer
	n.agent.Answered = func(revision int) { r.recordAnswered(n, revision) }
	n.secondServer = httptest.NewServer(n.agent)
	n.path = config(r.t, n.agent.Snapshot(), n.agent.Listener.Addr().String(), func(s string) string {
		s = strings.Replace(s, settingsJSON, soakSettings(r.plan), 1)
		if r.network != nil {
			s = r.withGossip(s, i)
		}
		if r.plan.Crowd {
			s = strings.Replace(s, `"sockets":1024`, `"sockets":256`, 1)
		}
		return strings.Replace(s, `"memory_mb":192`, `"memory_mb":64`, 1)
	})
	b, _ := os.ReadFile(n.path)
	n.config, n.address = string(b), gjson.GetBytes(b, "listen").Str
	r.nodes = append(r.nodes, n)
	r.start(n)
	r.waitReady(n)
}

// start starts the gateway's next process.
func (r *soakRun) start(n *soakNode) {
	cmd := program(r.t.Context(), "serve", "--config", n.path)
	cmd.Stderr = n.log
	if err := cmd.Start(); err != nil {
		r.t.Error(err)
		return
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
}

func (r *soakRun) waitReady(n *soakNode) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := clients.Start(n.address, "backend", time.Second); err == nil {
			got := c.Ask("")
			c.Close()
			if got == "empty" {
				return
			}
		}
	}
	r.ledger.AddViolation("%s is not ready within %s (its process: %s)", n.name, testTimeout, n.state())
}

// state returns the kernel's letter for the state of the gateway's process; Z means that it has ended.
func (n *soakNode) state() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	return rest[:min(1, len(rest))]
}

func (n *soakNode) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// notifiedFrom returns when a process started at start counts as notified of its agent's list: at once if the
// agent answers at once.
func (n *soakNode) notifiedFrom(start time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case start.Before(n.unreachableUntil):
		return n.unreachableUntil.Add(notifiedWithin)
	case start.Before(n.faultEnd) || n.refuseNext:
		return start.Add(notifiedWithin)
	}
	return start
}

// sinceSIGTERM describes how long ago the last SIGTERM was sent.
func (n *soakNode) sinceSIGTERM() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.terminated.IsZero() {
		return "with no SIGTERM before"
	}
	return time.Since(n.terminated).Round(time.Millisecond).String() + " after SIGTERM"
}

func (n *soakNode) close() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait()
	n.secondServer.CloseClientConnections()
	n.secondServer.Close()
	n.agent.CloseClientConnections()
	n.agent.Close()
	for _, l := range n.links {
		l.Close()
	}
}

// beforeAnswer applies the agent's fault to a call, and reports whether it has handled the call.
func (n *soakNode) beforeAnswer(_ int, w http.ResponseWriter, q *http.Request) bool {
	n.mu.Lock()
	fault, busy := n.fault, n.refuseNext
	if time.Now().After(n.faultEnd) {
		fault = ""
	}
	if fault == "" {
		n.refuseNext = false
	}
	n.mu.Unlock()
	switch {
	case fault == "" && busy:
		time.Sleep(1900 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case fault == soak.AgentSilent:
		<-q.Context().Done()
		return true
	case fault == soak.AgentSlow:
		time.Sleep(1500 * time.Millisecond)
	case fault == soak.AgentResets:
		return resetConn(w)
	case fault == soak.AgentTruncates:
		return agentFaults["breaks off"](w, q)
	case fault == soak.AgentTrickles:
		return agentFaults["never ends"](w, q)
	}
	return false
}

// startFault starts a fault of the agent. A silent agent also leaves the calls in flight unanswered.
func (n *soakNode) startFault(e soak.Event) {
	n.mu.Lock()
	n.fault, n.faultEnd = e.Kind, time.Now().Add(e.For)
	switch e.Kind {
	case soak.AgentSlow:
	case soak.AgentBusy:
		n.fault, n.refuseNext = "", true
	default:
		n.unreachableUntil = n.faultEnd
	}
	n.mu.Unlock()
	if e.Kind == soak.AgentSilent {
		n.agent.DropCalls()
	}
}

// recordAnswered records that an agent sends a list of a revision now: the gateway is notified of all changes
// up to it.
func (r *soakRun) recordAnswered(n *soakNode, revision int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.phaseChanges {
		if c.revision <= revision {
			r.ledger.Notified(n.name, c.host, time.Now())
		}
	}
}

// setPhase changes a host's phase at every agent. A gateway counts as notified 6 s after its agent has the
// change and is reachable.
func (r *soakRun) setPhase(h *hosts.Host, phase string) {
	r.mu.Lock()
	r.phaseChanges = slices.DeleteFunc(r.phaseChanges, func(c phaseChange) bool { return c.host == h.ID })
	if phase == "SERVING" {
		r.ledger.Reopened(h.ID)
	} else {
		r.phaseChanges = append(r.phaseChanges, phaseChange{h.ID, r.nodes[0].agent.Revision() + 1})
	}
	r.mu.Unlock()
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.phases[h.ID] = phase
	for _, n := range r.nodes {
		n.agent.Set(r.entry(n, h))
		if phase != "SERVING" {
			n.mu.Lock()
			reached := n.unreachableUntil
			n.mu.Unlock()
			if now := time.Now(); reached.Before(now) {
				reached = now
			}
			r.ledger.Notified(n.name, h.ID, reached.Add(notifiedWithin))
		}
	}
}

// playEvents plays the plan's events at their times.
func (r *soakRun) playEvents() {
	began := time.Now()
	for _, e := range r.plan.Events {
		time.Sleep(time.Until(began.Add(e.At)))
		r.playEvent(e)
	}
	time.Sleep(time.Until(began.Add(r.plan.Length)))
}

func (r *soakRun) playEvent(e soak.Event) {
	all := r.allHosts()
	switch e.Kind {
	case soak.Drain:
		r.setPhase(all[e.Target], "DRAINING")
		if r.clusterOf(all[e.Target]).Primary() == all[e.Target] {
			time.AfterFunc(e.For, func() { r.replacePrimary(all[e.Target]) })
		}
	case soak.Gone:
		r.setPhase(all[e.Target], "DELETED")
	case soak.Back:
		r.setPhase(all[e.Target], "SERVING")
	case soak.Hang:
		all[e.Target].SetHang(hosts.BeforeCommit)
		time.AfterFunc(e.For, func() { all[e.Target].SetHang(hosts.NotHung) })
	case soak.Crash:
		all[e.Target].Crash()
		r.replacePrimary(all[e.Target])
		time.AfterFunc(e.For, func() { r.startHost(all[e.Target]) })
	case soak.FailOver, soak.Deposed, soak.HandOver, soak.Lag:
		r.playGroupEvent(e)
	case soak.HangButProbes, soak.ReportsStop, soak.OldRole, soak.HeldAnswers, soak.LogStalls:
		r.playAgeEvent(e)
	case soak.Link:
		r.playLinkEvent(e)
	case soak.Resets:
		all[e.Target].Reset()
	default:
		r.playNodeEvent(r.nodes[e.Target], e)
	}
}

// replacePrimary replaces old by another host if it is the primary.
func (r *soakRun) replacePrimary(old *hosts.Host) {
	if c := r.clusterOf(old); c.Primary() == old {
		r.setPrimary(c, r.successor(old))
	}
}

func (r *soakRun) playNodeEvent(n *soakNode, e soak.Event) {
	switch e.Kind {
	case soak.Reload:
		n.signal(syscall.SIGHUP)
	case soak.Reloads, soak.Moves:
		r.work.Go(func() { r.sendReloads(n, e) })
	case soak.HoldUp:
		n.signal(syscall.SIGSTOP)
		time.AfterFunc(140*time.Millisecond, func() { n.signal(syscall.SIGCONT) })
	case soak.Burst:
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGSTOP} {
			n.signal(s)
		}
		time.AfterFunc(100*time.Millisecond, func() { n.signal(syscall.SIGCONT) })
	case soak.Restart, soak.Series:
		r.work.Go(func() { r.restart(n, e.Kind == soak.Series, nil) })
	case soak.Kill:
		r.work.Go(func() { r.kill(n, nil) })
	default:
		n.startFault(e)
	}
}

// sendReloads sends SIGHUP every 0.2 s for e.For. If the event is soak.Moves, each reload switches to the agent's
// other address.
func (r *soakRun) sendReloads(n *soakNode, e soak.Event) {
	for end := time.Now().Add(e.For); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n.mu.Lock()
		if e.Kind == soak.Moves {
			n.atSecondAddress = !n.atSecondAddress
			first, second := n.agent.Listener.Addr().String(), n.secondServer.Listener.Addr().String()
			text := n.config
			if n.atSecondAddress {
				text = strings.Replace(text, first, second, 1)
			}
			if err := os.WriteFile(n.path+".next", []byte(text), 0o600); err == nil {
				_ = os.Rename(n.path+".next", n.path)
			}
		}
		n.mu.Unlock()
		n.signal(syscall.SIGHUP)
	}
}

// restart ends the process as a planned restart does, and starts the next one. It calls onStart, if not nil,
// when that one has been started. With series, other signals come before and after SIGTERM.
func (r *soakRun) restart(n *soakNode, series bool, onStart func()) {
	n.restartMu.Lock() // planned restarts do not overlap
	defer n.restartMu.Unlock()
	n.mu.Lock()
	cmd := n.cmd
	n.terminated = time.Now()
	n.mu.Unlock()
	before, after := []syscall.Signal{syscall.SIGHUP}, []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM}
	if !series {
		before, after = nil, nil
	}
	for _, s := range append(append(before, syscall.SIGTERM), after...) {
		_ = cmd.Process.Signal(s)
	}
	kill := time.AfterFunc(min(max(r.plan.MaxDeadline, r.plan.Deadline), 3*time.Second)+700*time.Millisecond+raceExit(), func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
	})
	_ = cmd.Wait()
	kill.Stop()
	r.startNextProcess(n, onStart)
}

// startNextProcess starts the gateway's next process after one has ended.
func (r *soakRun) startNextProcess(n *soakNode, onStart func()) {
	r.ledger.Restarted(n.name, n.notifiedFrom(time.Now()))
	r.start(n)
	if onStart != nil {
		onStart()
	}
	r.waitReady(n)
}

// raceExit returns how much longer a process takes to exit under the race detector.
func raceExit() time.Duration {
	if raceDetector {
		return time.Second
	}
	return 0
}

func (r *soakRun) runClients() {
	for i, n := range r.nodes {
		for c := range r.plan.Clients + r.plan.EagerClients {
			rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(1000*i+c)))
			r.work.Go(func() { r.runClient(n, rng, c >= r.plan.Clients) })
		}
		if r.plan.Crowd {
			r.work.Go(func() { r.runIdleClients(n) })
		}
	}
}

// runIdleClients keeps up to 200 idle connections open, and replaces the oldest ones.
func (r *soakRun) runIdleClients(n *soakNode) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c, err := net.DialTimeout("tcp", n.address, 100*time.Millisecond); err == nil {
			_, _ = c.Write(pg.AppendStartup(nil, "backend", "store"))
			if held = append(held, c); len(held) > 200 {
				held[0].Close()
				held = held[1:]
			}
		}
	}
}

// runClient sends one request after another to a gateway, and reconnects when its connection is closed.
func (r *soakRun) runClient(n *soakNode, rng *rand.Rand, eager bool) {
	var c *clients.Client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(pause(rng, eager)):
		}
		if c == nil {
			var err error
			if c, err = clients.Start(n.address, "backend", 2*time.Second); err != nil {
				c = nil
				continue
			}
		}
		if !r.sendRequest(n, c, rng) {
			c.Close()
			c = nil
		}
	}
}

// pause draws how long a client waits before its next request.
func pause(rng *rand.Rand, eager bool) time.Duration {
	if eager {
		return time.Duration(1+rng.IntN(3)) * time.Millisecond
	}
	return time.Duration(5+rng.IntN(20)) * time.Millisecond
}

// soakValue returns the value that a request writes. It is unique, and one in eight is long, up to 64 KiB.
func soakValue(id string, drawn byte) []byte {
	value := []byte(id)
	if drawn%8 == 0 {
		value = append(value, make([]byte, int(drawn)*int(drawn))...)
	}
	return value
}

// sendRequest sends one request and records its result. It returns false if the connection can't be used any
// more.
func (r *soakRun) sendRequest(n *soakNode, c *clients.Client, rng *rand.Rand) bool {
	q := clients.Request{ID: clients.NewID(), Class: "view", Key: fmt.Sprint("k", rng.IntN(20)), Wait: r.plan.Deadline, Repeatable: true}
	if len(r.clusters) > 1 {
		q.Group = 1 + rng.IntN(len(r.clusters))
	}
	switch rng.IntN(4) {
	case 0:
		q.Class, q.Write, q.Wait, q.Value = "order", true, r.plan.MaxDeadline, soakValue(q.ID, byte(rng.IntN(256)))
		q.Repeatable = r.plan.Window > 0
	case 1:
		q.Class, q.After = "own", time.Now().Add(r.plan.Skew-time.Duration(rng.IntN(300))*time.Millisecond)
	}
	r.ledger.SentVia(q.ID, n.name)
	r.ledger.Asked(q.ID, q.Write, q.Repeatable, time.Now().Add(q.Wait+lateTolerance))
	_ = c.SetDeadline(time.Now().Add(q.Wait + 2*time.Second))
	sent := time.Now()
	c.Send(q.Statement())
	if rng.IntN(30) == 0 { // disconnect without waiting for the answer
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		_ = c.Close()
		r.ledger.Disconnected(q.ID)
		return false
	}
	reply := c.ReadReply()
	switch {
	case reply.Row:
		r.served.Add(1)
		r.ledger.Answered(q.ID, rules.Served)
		r.ledger.ServedWith(q.ID, reply.Value)
	case reply.Code == pg.CodeTooMany || reply.Code == pg.CodeCannotConnectNow:
		r.ledger.Answered(q.ID, rules.Refused)
	case reply.Code != "":
		r.ledger.Answered(q.ID, rules.Failed)
	case n.killedSince(sent): // a killed process answers none of its requests
		r.ledger.Unanswered(q.ID)
	default:
		// A gateway may close a connection between two requests. A request that crosses the close is not read
		// and causes a reset.
		if took, read := time.Since(sent).Round(time.Millisecond), !c.IsReset(unreadWithin); read || r.ledger.ReachedHost(q.ID) {
			r.ledger.AddViolation("%s: %s ends the connection without an answer %s after the request was sent, %s (%s, read: %t, received by a host: %t)", q.ID,
				n.name, took, n.sinceSIGTERM(), q.Class, read, r.ledger.ReachedHost(q.ID))
		}
		r.ledger.Unanswered(q.ID)
	}
	return !reply.Closed
}

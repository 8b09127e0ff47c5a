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
	// soakSeeds, in the environment, names the seeds that are played: "FIRST-LAST". Without it they are those of CI.
	soakSeeds = "YOKEMAST_SOAK"
	// soakAtOnce is how many are played side by side.
	soakAtOnce = 4
	// late is how long after its time an answer still only earns nothing.
	late = 500 * time.Millisecond
	// unreadWithin is how long after a connection's end it may show that a request on it was not read.
	unreadWithin = 2 * time.Second
)

// Several gateways, hosts, discovery, clients and the rules' checker, with faults that a seed draws. A seed that failed is played
// again with YOKEMAST_SOAK=SEED-SEED go test ./cmd/yokemast -run TestSoak.
func TestSoak(t *testing.T) {
	wanted := os.Getenv(soakSeeds)
	if wanted == "" {
		wanted = fmt.Sprintf("%d-%d", soak.FirstInCI, soak.LastInCI)
	}
	from, to, ok := strings.Cut(wanted, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err != nil || err2 != nil {
		t.Fatalf("%s=%q names no seeds", soakSeeds, wanted)
	}
	signal.Ignore(syscall.SIGHUP) // the processes begin with that, as by the deploy file's run
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	places := make(chan struct{}, soakAtOnce)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed <= last; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				places <- struct{}{}
				defer func() { <-places }()
				playSoak(t, soak.New(seed))
			})
		}
	})
}

// soakNode is one gateway of a run: its processes, one after another, and its agent.
type soakNode struct {
	name, path, address string
	agent               *discovery.Server
	second              *httptest.Server // the agent's other address
	log                 *logged
	config              string
	links               map[string]*linkfault.Link // by host; nil: it reaches the hosts themselves

	restarts sync.Mutex // held from a planned restart's beginning to its end

	mu       sync.Mutex
	cmd      *exec.Cmd
	fault    soak.Kind // of the agent; "": none
	until    time.Time // when the fault ends
	ended    time.Time // the last SIGTERM
	killed   time.Time // the last SIGKILL without one
	unheard  time.Time // until when the agent could not be reached
	busy     bool      // the next call is turned away
	atSecond bool
}

type soakRun struct {
	t        *testing.T
	plan     soak.Plan
	ledger   *rules.Ledger
	clusters []*hosts.Cluster // one for each group
	nodes    []*soakNode
	stop     chan struct{}
	work     sync.WaitGroup
	served   atomic.Int64

	mu      sync.Mutex
	changes []soakChange

	network *datagrams.Network // between the gateways; nil: they tell each other nothing
	listing sync.Mutex         // held while all agents are told of a change
	phases  map[string]string  // as the list tells them; absent: SERVING
	roles   map[string]string
	starts  map[string]any
}

// soakChange is one host's change on the list.
type soakChange struct {
	host     string
	revision int
}

func playSoak(t *testing.T, plan soak.Plan) {
	r := &soakRun{t: t, plan: plan, stop: make(chan struct{}), phases: map[string]string{}, roles: map[string]string{},
		starts: map[string]any{}, ledger: &rules.Ledger{Limits: rules.Limits{Grace: plan.Grace, Slack: 50 * time.Millisecond,
			Window: plan.Window, DisconnectGrace: 100 * time.Millisecond, KnownWithin: knownAfter + holdUp}}}
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
		r.slowGossip()
	}
	for i := range plan.Gateways {
		r.startNode(i)
	}
	for _, n := range r.nodes {
		defer n.close()
	}
	r.clients()
	r.events()
	close(r.stop)
	r.work.Wait()
	if broken := r.ledger.Violations(); len(broken) > 0 {
		t.Errorf("%+v\n%d rules broken, of them:\n%s", plan, len(broken), strings.Join(broken[:min(20, len(broken))], "\n"))
		long, ended := stalls.Longest()
		t.Logf("the machine held the test itself up for %s at most, until %.3f", long, float64(ended.UnixMilli())/1000)
		for _, n := range r.nodes {
			t.Logf("log of %s:\n%s", n.name, n.log)
		}
	}
	if r.served.Load() == 0 {
		t.Errorf("%+v: nothing was served", plan)
	}
	t.Logf("served %d, %+v; %+v, %s", r.served.Load(), r.ledger.Counts(), plan.Ages, plan.Events)
}

// soakSettings are the settings of a plan.
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
	n := &soakNode{name: fmt.Sprint("n", i), log: &logged{}}
	if r.plan.Linked != nil && r.plan.Linked[i] {
		r.startLinks(n, uint64(i))
	}
	var entries []discovery.Entry
	for _, h := range r.hosts() {
		entries = append(entries, r.entry(n, h))
	}
	n.agent = discovery.New(entries...)
	n.agent.Before = n.before
	n.agent.Answered = func(revision int) { r.answered(n, revision) }
	n.second = httptest.NewServer(n.agent)
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
	r.ready(n)
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

func (r *soakRun) ready(n *soakNode) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := clients.Start(n.address, "backend", time.Second); err == nil {
			got := c.Ask("")
			c.Close()
			if got == "empty" {
				return
			}
		}
	}
	r.ledger.AddViolation("%s is not ready within %s (its process: %s)", n.name, patience, n.state())
}

// state is the state of the gateway's process by the kernel's letter; Z: it has ended.
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

// notifiedFrom is when a process that starts now counts as notified of what its agent has: at once where that answers at once.
func (n *soakNode) notifiedFrom(start time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case start.Before(n.unheard):
		return n.unheard.Add(notifiedWithin)
	case start.Before(n.until) || n.busy:
		return start.Add(notifiedWithin)
	}
	return start
}

// age says how long ago the last SIGTERM was.
func (n *soakNode) age() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended.IsZero() {
		return "with no SIGTERM before"
	}
	return time.Since(n.ended).Round(time.Millisecond).String() + " after SIGTERM"
}

func (n *soakNode) close() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait()
	n.second.CloseClientConnections()
	n.second.Close()
	n.agent.CloseClientConnections()
	n.agent.Close()
	for _, l := range n.links {
		l.Close()
	}
}

// before is what the agent does with a call before it answers.
func (n *soakNode) before(_ int, w http.ResponseWriter, q *http.Request) bool {
	n.mu.Lock()
	fault, busy := n.fault, n.busy
	if time.Now().After(n.until) {
		fault = ""
	}
	if fault == "" {
		n.busy = false
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
		return resets(w)
	case fault == soak.AgentTruncates:
		return troubles["breaks off"](w, q)
	case fault == soak.AgentTrickles:
		return troubles["never ends"](w, q)
	}
	return false
}

// spoil begins a fault of the agent. Calls that are out are not answered any more where it can't be reached.
func (n *soakNode) spoil(e soak.Event) {
	n.mu.Lock()
	n.fault, n.until = e.Kind, time.Now().Add(e.For)
	switch e.Kind {
	case soak.AgentSlow:
	case soak.AgentBusy:
		n.fault, n.busy = "", true
	default:
		n.unheard = n.until
	}
	n.mu.Unlock()
	if e.Kind == soak.AgentSilent {
		n.agent.DropCalls()
	}
}

// answered notes that an agent writes a list of a revision now: the gateway is notified of all changes up to it.
func (r *soakRun) answered(n *soakNode, revision int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.changes {
		if c.revision <= revision {
			r.ledger.Notified(n.name, c.host, time.Now())
		}
	}
}

// list changes a host's entry at every agent. A gateway counts as notified 6 s after the agent had the change and could be reached.
func (r *soakRun) list(h *hosts.Host, phase string) {
	r.mu.Lock()
	r.changes = slices.DeleteFunc(r.changes, func(c soakChange) bool { return c.host == h.ID })
	if phase == "SERVING" {
		r.ledger.Reopened(h.ID)
	} else {
		r.changes = append(r.changes, soakChange{h.ID, r.nodes[0].agent.Revision() + 1})
	}
	r.mu.Unlock()
	r.listing.Lock()
	defer r.listing.Unlock()
	r.phases[h.ID] = phase
	for _, n := range r.nodes {
		n.agent.Set(r.entry(n, h))
		if phase != "SERVING" {
			n.mu.Lock()
			reached := n.unheard
			n.mu.Unlock()
			if now := time.Now(); reached.Before(now) {
				reached = now
			}
			r.ledger.Notified(n.name, h.ID, reached.Add(notifiedWithin))
		}
	}
}

// events plays the plan.
func (r *soakRun) events() {
	began := time.Now()
	for _, e := range r.plan.Events {
		time.Sleep(time.Until(began.Add(e.At)))
		r.play(e)
	}
	time.Sleep(time.Until(began.Add(r.plan.Length)))
}

func (r *soakRun) play(e soak.Event) {
	all := r.hosts()
	switch e.Kind {
	case soak.Drain:
		r.list(all[e.Target], "DRAINING")
		if r.clusterOf(all[e.Target]).Primary() == all[e.Target] {
			time.AfterFunc(e.For, func() { r.promote(all[e.Target]) })
		}
	case soak.Gone:
		r.list(all[e.Target], "DELETED")
	case soak.Back:
		r.list(all[e.Target], "SERVING")
	case soak.Hang:
		all[e.Target].SetHang(hosts.BeforeCommit)
		time.AfterFunc(e.For, func() { all[e.Target].SetHang(hosts.NotHung) })
	case soak.Crash:
		all[e.Target].Crash()
		r.promote(all[e.Target])
		time.AfterFunc(e.For, func() { r.startHost(all[e.Target]) })
	case soak.FailOver, soak.Deposed, soak.HandOver, soak.Lag:
		r.playGroup(e)
	case soak.HangButProbes, soak.ReportsStop, soak.OldRole, soak.HeldAnswers, soak.LogStalls:
		r.playAge(e)
	case soak.Link:
		r.playLink(e)
	case soak.Resets:
		all[e.Target].Reset()
	default:
		r.playNode(r.nodes[e.Target], e)
	}
}

// promote lets another host lead in place of one.
func (r *soakRun) promote(old *hosts.Host) {
	if c := r.clusterOf(old); c.Primary() == old {
		r.lead(c, r.next(old))
	}
}

func (r *soakRun) playNode(n *soakNode, e soak.Event) {
	switch e.Kind {
	case soak.Reload:
		n.signal(syscall.SIGHUP)
	case soak.Reloads, soak.Moves:
		r.work.Go(func() { r.reloads(n, e) })
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
		n.spoil(e)
	}
}

// reloads sends SIGHUP every 0.2 s for a while, each time with the agent's other address where the event says so.
func (r *soakRun) reloads(n *soakNode, e soak.Event) {
	for end := time.Now().Add(e.For); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n.mu.Lock()
		if e.Kind == soak.Moves {
			n.atSecond = !n.atSecond
			first, second := n.agent.Listener.Addr().String(), n.second.Listener.Addr().String()
			text := n.config
			if n.atSecond {
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

// restart ends the process as a planned restart does, and starts the next one; begun, if there is one, is called as that starts. With
// series other signals come before and behind SIGTERM.
func (r *soakRun) restart(n *soakNode, series bool, begun func()) {
	n.restarts.Lock() // a planned restart begins when the one before is over
	defer n.restarts.Unlock()
	n.mu.Lock()
	cmd := n.cmd
	n.ended = time.Now()
	n.mu.Unlock()
	before, behind := []syscall.Signal{syscall.SIGHUP}, []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM}
	if !series {
		before, behind = nil, nil
	}
	for _, s := range append(append(before, syscall.SIGTERM), behind...) {
		_ = cmd.Process.Signal(s)
	}
	kill := time.AfterFunc(min(max(r.plan.MaxDeadline, r.plan.Deadline), 3*time.Second)+700*time.Millisecond+raceExit(), func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
	})
	_ = cmd.Wait()
	kill.Stop()
	r.startAgain(n, begun)
}

// startAgain starts the gateway's next process after one has ended.
func (r *soakRun) startAgain(n *soakNode, begun func()) {
	r.ledger.Restarted(n.name, n.notifiedFrom(time.Now()))
	r.start(n)
	if begun != nil {
		begun()
	}
	r.ready(n)
}

// raceExit is how much longer a process takes to end under the race detector.
func raceExit() time.Duration {
	if raceDetector {
		return time.Second
	}
	return 0
}

func (r *soakRun) clients() {
	for i, n := range r.nodes {
		for c := range r.plan.Clients + r.plan.EagerClients {
			rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(1000*i+c)))
			r.work.Go(func() { r.client(n, rng, c >= r.plan.Clients) })
		}
		if r.plan.Crowd {
			r.work.Go(func() { r.crowd(n) })
		}
	}
}

// crowd holds connections on which nothing is asked, and opens them anew as they end.
func (r *soakRun) crowd(n *soakNode) {
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

// client asks one request after another of a gateway, on one connection for as long as that stays.
func (r *soakRun) client(n *soakNode, rng *rand.Rand, eager bool) {
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
		if !r.ask(n, c, rng) {
			c.Close()
			c = nil
		}
	}
}

// pause is how long a client waits before its next request.
func pause(rng *rand.Rand, eager bool) time.Duration {
	if eager {
		return time.Duration(1+rng.IntN(3)) * time.Millisecond
	}
	return time.Duration(5+rng.IntN(20)) * time.Millisecond
}

// soakValue is what a request writes: no other writes the same, and one in eight is long, up to 64 KiB.
func soakValue(id string, drawn byte) []byte {
	value := []byte(id)
	if drawn%8 == 0 {
		value = append(value, make([]byte, int(drawn)*int(drawn))...)
	}
	return value
}

// ask asks one request; false: the connection is of no more use.
func (r *soakRun) ask(n *soakNode, c *clients.Client, rng *rand.Rand) bool {
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
	r.ledger.Asked(q.ID, q.Write, q.Repeatable, time.Now().Add(q.Wait+late))
	_ = c.SetDeadline(time.Now().Add(q.Wait + 2*time.Second))
	sent := time.Now()
	c.Send(q.Statement())
	if rng.IntN(30) == 0 { // it goes, without waiting
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
	case n.killedSince(sent): // what a process holds that is killed gets no answer
		r.ledger.Unanswered(q.ID)
	default:
		// Between two requests a gateway may close a connection; a request that crosses that was not read, and resets it.
		if took, read := time.Since(sent).Round(time.Millisecond), !c.IsReset(unreadWithin); read || r.ledger.ReachedHost(q.ID) {
			r.ledger.AddViolation("%s: %s ends the connection without an answer %s after the request was sent, %s (%s, read: %t, came to a host: %t)", q.ID,
				n.name, took, n.age(), q.Class, read, r.ledger.ReachedHost(q.ID))
		}
		r.ledger.Unanswered(q.ID)
	}
	return !reply.Closed
}

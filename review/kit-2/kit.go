// Package kit2 holds what the cases 6 to 10 of the review share: a record, the start of the gateway with the commands of
// the deploy file, and small stand-ins for database hosts and clients that follow the protocol page.
package kit2

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Case is one run of a case: its record, its temporary folder and the processes that it has started.
type Case struct {
	Trouble bool // false with TROUBLE=0
	Dir     string
	root    string
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	ended     bool // nothing is started any more
	violation []string
}

// Main runs a case whose record is written to review/<folder>/record.txt, and exits with its result.
func Main(folder string, run func(*Case) error) {
	exe, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", root: filepath.Dir(filepath.Dir(exe)), start: time.Now()}
	if c.record, err = os.Create(filepath.Join(c.root, "review", folder, "record.txt")); err == nil {
		c.Dir, err = os.MkdirTemp("", "review2-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	c.Note("case %s, trouble %t", folder, c.Trouble)
	timeout := time.AfterFunc(110*time.Second, func() {
		c.Note("RESULT 2: the case took too long")
		c.end()
		os.Exit(CannotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-signals
		c.Note("RESULT 2: ended by %v", s)
		c.end()
		os.Exit(CannotRun)
	}()
	err = func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("panic: %v", p)
			}
		}()
		return run(c)
	}()
	timeout.Stop()
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended { // by a signal or the time limit, which has the result
		select {}
	}
	code := Held
	switch {
	case err != nil:
		code = CannotRun
		c.Note("RESULT 2: %v", err)
	case len(c.violation) > 0:
		code = Broken
		c.Note("RESULT 1: the rule was broken, %d times; first: %s", len(c.violation), c.violation[0])
	default:
		c.Note("RESULT 0: the rule held")
	}
	c.end()
	os.Exit(code)
}

// end ends all processes that the case has started, and lets no other start.
func (c *Case) end() {
	c.mu.Lock()
	c.ended = true
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(c.Dir)
	_ = c.record.Close()
}

// Note writes a line with the time since the start of the case to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%9.3fs  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
	if strings.HasPrefix(format, "RESULT") || strings.HasPrefix(format, "BROKEN") {
		fmt.Print(line)
	}
}

// Break records that the rule was broken. What is seen once the case was ended from outside doesn't count.
func (c *Case) Break(format string, args ...any) {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended {
		return
	}
	c.Note("BROKEN: "+format, args...)
	c.mu.Lock()
	c.violation = append(c.violation, fmt.Sprintf(format, args...))
	c.mu.Unlock()
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Process is a running process of the gateway.
type Process struct {
	c      *Case
	name   string
	cmd    *exec.Cmd
	Exited chan struct{} // closed when the process has ended
	log    string
}

// StartGateway starts a process of the gateway with the run command of the deploy file. args follow that command.
func (c *Case) StartGateway(name, configPath string, args string, env ...string) (*Process, error) {
	deploy, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	run := strings.TrimSpace(string(m[1]) + " " + args)
	p := &Process{c: c, name: name, cmd: exec.Command("/bin/sh", "-c", run), Exited: make(chan struct{}), log: filepath.Join(c.Dir, name+".log")}
	p.cmd.Dir = c.root
	p.cmd.Env = append(append(os.Environ(), "ROUTER_CONFIG="+configPath, "TMPDIR="+c.Dir), env...)
	f, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p.cmd.Stderr, p.cmd.Stdout = f, f
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return nil, errors.New("the case has ended")
	}
	if err := p.cmd.Start(); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.Note("%s: started with %q, process %d", name, run, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		c.Note("%s: ended (%v)", name, err)
		close(p.Exited)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Note("%s: sent %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// Log returns what the process has logged so far.
func (p *Process) Log() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// WaitLog waits until the log has the text.
func (p *Process) WaitLog(text string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.Contains(p.Log(), text) {
			return nil
		}
	}
	return fmt.Errorf("%s does not log %q", p.name, text)
}

func (p *Process) kill() {
	select {
	case <-p.Exited:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.Exited
}

// Settings returns the settings of a small deployment like the users' own: the classes list-read, own-read and order-write
// with the times of kochi-main. tokens is "client" or "router".
func Settings(tokens string) string {
	return `{"areas":["dc1"],"balancers":1,"step":5000000,"membershipMode":"push","clients":{"marksRetry":false},
	"contract":{"answerSlack":20000000,"askEvery":10000000000,"cold":16000000000,"coldFrom":0.25,"fall":1500000000,"overloadFactor":4.0,"stopSendingWithin":1000000000},
	"domain":{"answersStamped":true,"behind":"silent","commitWaits":true,"consistency":["recent","own_writes","update"],
		"oldestData":[500000000,0,0],"patience":0,"roleListed":"delayed","tokens":"` + tokens + `","zero":0},
	"limits":{"connIdle":30000000000,"connectTimeout":250000000,"maxAttempts":10,"maxOpen":20000,"maxRetryAfter":1000000000,
		"mayCancel":true,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false},
	"locality":"dc1","ordinal":0,"overShareWorth":0.1,"kinds":["std-4core"],
	"profiles":[{"credit":1.0,"effect":"retryable","giveUp":750000000,"group":"all","keyTtl":5000000000,"lateWorth":0.0,"name":"list-read","onTime":300000000,"streamed":false},
		{"credit":1.0,"effect":"retryable","giveUp":800000000,"group":"all","keyTtl":5000000000,"lateWorth":0.0,"name":"own-read","onTime":200000000,"streamed":false},
		{"credit":3.0,"effect":"fragile","giveUp":3000000000,"group":"all","keyTtl":5000000000,"lateWorth":0.7,"name":"order-write","onTime":500000000,"streamed":false}],
	"report":{"columns":["x0","x1"],"how":"piggyback"},"tenants":[],"tier":0,"tiers":["rx-db"],"valueBy":"request","weightSource":"nominal"}`
}

// WriteConfig writes a configuration and returns its path. admin may be empty.
func (c *Case) WriteConfig(listen, agent, admin, settings string) (string, error) {
	second := ""
	if admin != "" {
		second = fmt.Sprintf(`"admin":%q,`, admin)
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,%s"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":0,"complete":true,"members":[]},
"settings":%s}`, listen, second, agent, settings)
	path := filepath.Join(c.Dir, "config.json")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// WaitReady waits until the gateway answers an empty query with EmptyQueryResponse.
func (c *Case) WaitReady(address string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client, err := clients.Start(address, "backend", 5*time.Second)
		if err != nil {
			continue
		}
		got := client.Ask("")
		client.Close()
		if got == "empty" {
			c.Note("platform: the gateway is ready")
			return nil
		}
	}
	return errors.New("the gateway does not become ready")
}

// Call makes an operator's call and returns its status, or 0.
func (c *Case) Call(method, admin, path string) int {
	r, err := http.NewRequest(method, "http://"+admin+path, nil)
	if err != nil {
		return 0
	}
	h := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := h.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// NewAgent starts the project's stand-in for discovery with the hosts as they are now.
func NewAgent(hosts ...*Host) *discovery.Server {
	var entries []discovery.Entry
	for _, h := range hosts {
		entries = append(entries, h.Entry("SERVING"))
	}
	return discovery.New(entries...)
}

// Root returns the project's root.
func (c *Case) Root() string { return c.root }

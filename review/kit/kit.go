// Package kit has what the cases under review share: it starts the gateway with the command of the deploy file, writes the
// record of a run, and has small stand-ins for clients. Everything is on loopback addresses.
package kit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokemast/internal/wire/pg"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run: what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the record file that the environment names.
func NewRecord() *Record {
	f, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		os.Exit(NotRun)
	}
	return &Record{f: f, start: time.Now()}
}

// Main plays a trial and ends the program with its result, or with NotRun if it takes too long.
func Main(trial func(*Record) (int, error)) {
	record := NewRecord()
	time.AfterFunc(limit, func() {
		record.Say("not run: over %s", limit)
		os.Exit(NotRun)
	})
	result, err := trial(record)
	if err != nil {
		record.Say("not run: %v", err)
		result = NotRun
	}
	os.Exit(result)
}

// limit is the longest time that a trial may take.
const limit = 110 * time.Second

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%10.3f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Address returns a free loopback address.
func Address() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Folder creates a temporary folder, which the caller removes.
func Folder() string {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	return dir
}

// Gateway is a running gateway process.
type Gateway struct {
	Listen, Admin string
	cmd           *exec.Cmd
	log           bytes.Buffer
	ended         chan struct{}
}

// Config is the configuration of a gateway, in the form of the deployment page.
type Config struct {
	Listen, Discovery, Admin string
	Settings                 json.RawMessage
	Folder                   string // holds the configuration and is the process's TMPDIR
	Operator                 string // text of the operator's file; "" if there is none
}

// Write writes the files of the configuration.
func (c Config) Write() error {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"revision":0,"complete":true,"members":[]},"settings":%s`,
		c.Listen, c.Discovery, c.Settings)
	if c.Admin != "" {
		text += fmt.Sprintf(`,"admin":%q`, c.Admin)
	}
	if c.Operator != "" {
		if err := os.WriteFile(filepath.Join(c.Folder, "operator.sexp"), []byte(c.Operator), 0o600); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(c.Folder, "config.json"), []byte(text+"}"), 0o600)
}

var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// Start starts a gateway with the command of the deploy file, from the project's root. Admin replaces the configuration's
// second address, as the platform does for a new version.
func Start(c Config, admin string) (*Gateway, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runCommand.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml names no run command")
	}
	g := &Gateway{Listen: c.Listen, Admin: admin, cmd: exec.Command("/bin/sh", "-c", string(run[1])), ended: make(chan struct{})}
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(c.Folder, "config.json"), "ROUTER_NAME=n0", "ROUTER_LISTEN="+c.Listen,
		"ROUTER_DISCOVERY="+c.Discovery, "TMPDIR="+c.Folder)
	if admin != "" {
		g.cmd.Env = append(g.cmd.Env, "ROUTER_ADMIN="+admin)
	}
	if c.Operator != "" {
		g.cmd.Env = append(g.cmd.Env, "YOKEMAST_OPERATOR="+filepath.Join(c.Folder, "operator.sexp"))
	}
	g.cmd.Stderr = &g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the trial
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait()
		close(g.ended)
	}()
	return g, nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Ended reports whether the process has ended by now.
func (g *Gateway) Ended() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Stop kills the process and returns its log.
func (g *Gateway) Stop() string {
	_ = g.cmd.Process.Kill()
	<-g.ended
	return g.log.String()
}

// Await waits for the end of the process.
func (g *Gateway) Await(within time.Duration) bool {
	select {
	case <-g.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// AwaitReady waits until the gateway answers the empty query of a client of the platform.
func (g *Gateway) AwaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end) && !g.Ended(); time.Sleep(5 * time.Millisecond) {
		c, err := Dial(g.Listen, "backend")
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		a := c.Ask("")
		c.Close()
		if a.Empty {
			return nil
		}
	}
	return errors.New("the gateway is not ready")
}

// Call makes a call of staff at a second address and returns the first line of the answer.
func Call(admin, method, path string) (string, error) {
	c, err := net.DialTimeout("tcp", admin, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n", method, path)
	line, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line), err
}

// Client is a connection of a client.
type Client struct {
	net.Conn
	In *bufio.Reader
}

// Dial connects and completes the startup.
func Dial(address, user string) (*Client, error) {
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{n, bufio.NewReader(n)}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(pg.AppendStartup(nil, user, "store")); err != nil {
		n.Close()
		return nil, err
	}
	if a := c.Read(); a.Err != nil || a.Code != "" {
		n.Close()
		return nil, fmt.Errorf("startup: %+v", a)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// Answer is what came for one query, up to ReadyForQuery or the end.
type Answer struct {
	Values []string // of the rows' first columns
	Tag    string
	Code   string // of an error
	Empty  bool
	Status byte  // transaction status of ReadyForQuery
	Err    error // the connection ended, or could not be read
}

// String returns the answer in a few words.
func (a Answer) String() string {
	var out []string
	for _, v := range a.Values {
		if len(v) > 60 {
			v = fmt.Sprintf("%s... (%d bytes)", v[:60], len(v))
		}
		out = append(out, fmt.Sprintf("row %q", v))
	}
	if a.Tag != "" {
		out = append(out, "complete "+a.Tag)
	}
	if a.Code != "" {
		out = append(out, "error "+a.Code)
	}
	if a.Empty {
		out = append(out, "empty")
	}
	if a.Status != 0 {
		out = append(out, "ready "+string(a.Status))
	}
	if a.Err != nil {
		out = append(out, "ended: "+a.Err.Error())
	}
	return strings.Join(out, ", ")
}

// Refused reports whether the answer is a refusal.
func (a Answer) Refused() bool { return a.Code == pg.CodeTooMany || a.Code == pg.CodeCannotConnectNow }

// Send writes a query.
func (c *Client) Send(query string) error {
	_, err := c.Write(pg.AppendQuery(nil, query))
	return err
}

// Ask writes a query and reads its answer.
func (c *Client) Ask(query string) Answer {
	if err := c.Send(query); err != nil {
		return Answer{Err: err}
	}
	return c.Read()
}

// Read reads an answer.
func (c *Client) Read() (a Answer) {
	for {
		kind, body, err := pg.Read(c.In, 16<<20)
		if err != nil {
			a.Err = err
			return a
		}
		switch kind {
		case pg.DataRow:
			v, err := pg.RowData(body)
			if err != nil {
				a.Err = err
				return a
			}
			a.Values = append(a.Values, string(v))
		case pg.CommandComplete:
			a.Tag = strings.TrimSuffix(string(body), "\x00")
		case pg.ErrorResponse:
			a.Code = pg.ReadError(body).Code
		case pg.EmptyQueryResponse:
			a.Empty = true
		case pg.ReadyForQuery:
			if len(body) == 1 {
				a.Status = body[0]
			}
			return a
		}
	}
}

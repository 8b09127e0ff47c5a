// Command trial: a primary fails some of its requests quickly while sessions of general SQL with settings of their own share its
// connections.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"

	"yokemast/internal/testbed/discovery"
	"yokemast/review/kit"
)

const (
	sessions   = 6
	quiet      = 2 * time.Second  // before the trouble, and after it
	trouble    = 10 * time.Second // in which the primary fails a part of its requests
	failedPart = 0.4
	pause      = 60 * time.Millisecond // between two statements of a session
	work       = 20 * time.Millisecond
	ship       = 14 * time.Millisecond
)

var (
	setReseller = regexp.MustCompile(`^SET app\.reseller TO '([^']*)'$`)
	insert      = regexp.MustCompile(`^INSERT INTO listings \(item\) VALUES \('(reseller-\d+)/(\d+)'\)$`)
	record      *kit.Record
)

// stack is the primary. A listing belongs to the reseller that the session of its INSERT has set, as a default or a policy of the
// table does it.
type stack struct {
	mu          sync.Mutex
	from, until time.Time
	right       int
	none        int      // listings that were stored for no reseller
	foreign     []string // listings that were stored for another reseller
}

func (d *stack) fails() bool {
	now := time.Now()
	return kit.Trouble() && now.After(d.from) && now.Before(d.until) && rand.Float64() < failedPart
}

func (d *stack) run(s *kit.Session, query string) {
	if s.Host.Role != "leader" {
		_, _ = s.Write(s.Error("25006", "not the primary"))
		return
	}
	reseller, _ := s.State.(string)
	if d.fails() {
		record.Add("host %s, connection %d: fails at once (XX000): %s", s.Host.ID, s.Number, query)
		_, _ = s.Write(s.Error("XX000", "failed"))
		return
	}
	tag := ""
	for statement := range strings.SplitSeq(query, "; ") {
		if m := setReseller.FindStringSubmatch(statement); m != nil {
			reseller, tag = m[1], "SET"
		} else if statement == "RESET app.reseller" || statement == "RESET ALL" {
			reseller, tag = "", "RESET"
		} else if statement == "SELECT begin_day()" {
			tag = "SELECT 1"
		} else if m := insert.FindStringSubmatch(statement); m != nil {
			time.Sleep(work)
			d.mu.Lock()
			switch tag = "INSERT 0 1"; reseller {
			case m[1]:
				d.right++
			case "":
				d.none++
			default:
				d.foreign = append(d.foreign, fmt.Sprintf("the listing %s/%s of the session of %s is stored for %s", m[1], m[2], m[1], reseller))
			}
			d.mu.Unlock()
		} else {
			_, _ = s.Write(s.Error("42601", "not known here"))
			return
		}
	}
	s.State = reseller
	record.Add("host %s, connection %d, app.reseller %q: ran %s", s.Host.ID, s.Number, reseller, query)
	_, _ = s.Write(s.Done(tag))
}

// lagging is the position of a replica.
func lagging() time.Time { return time.Now().Add(-ship) }

func main() { kit.Main(trial) }

func trial(r *kit.Record) (int, error) {
	record = r
	d := &stack{}
	entries := []discovery.Entry{kit.NewHost(&kit.Host{ID: "s-1", Role: "leader", Run: d.run}).Entry()}
	for i := range 3 { // the replicas of its stack
		h := kit.NewHost(&kit.Host{ID: fmt.Sprintf("s-%d", i+2), Role: "follower", Run: d.run, Position: lagging})
		entries = append(entries, h.Entry())
	}
	for i, role := range []string{"leader", "follower", "follower"} { // another stack, which nobody asks
		h := &kit.Host{ID: fmt.Sprintf("s-%d", i+5), Role: role, Run: func(s *kit.Session, _ string) { _, _ = s.Write(s.Error("42601", "not known here")) }}
		if role == "follower" {
			h.Position = lagging
		}
		e := kit.NewHost(h).Entry()
		e["cell"] = 2
		entries = append(entries, e)
	}
	agent := discovery.New(entries...)
	defer agent.Close()
	folder := kit.Folder()
	defer os.RemoveAll(folder)
	config := kit.Config{Listen: kit.Address(), Discovery: agent.Listener.Addr().String(), Settings: kit.Jawa, Folder: folder, Operator: kit.JawaPool}
	if err := config.Write(); err != nil {
		return kit.NotRun, err
	}
	g, err := kit.Start(config, "")
	if err != nil {
		return kit.NotRun, err
	}
	defer func() { record.Add("log of the gateway:\n%s", g.Stop()) }()
	if err := g.AwaitReady(20 * time.Second); err != nil {
		return kit.NotRun, err
	}
	start := time.Now()
	d.from, d.until = start.Add(quiet), start.Add(quiet+trouble)
	end := start.Add(2*quiet + trouble)
	var clients sync.WaitGroup
	var mu sync.Mutex
	done, failed := 0, 0
	for n := range sessions {
		clients.Go(func() {
			c, err := kit.Dial(config.Listen, "ordering")
			if err != nil {
				record.Say("no session: %v", err)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(end.Add(10 * time.Second))
			name := fmt.Sprintf("reseller-%d", n)
			record.Add("client %d: SELECT begin_day() -> %s", n, c.Ask("SELECT begin_day()"))
			// Once, before the trouble: from its answer on the setting is the session's.
			for a := (kit.Answer{}); a.Tag != "SET"; time.Sleep(pause) {
				if a = c.Ask("SET app.reseller TO '" + name + "'"); a.Err != nil || time.Now().After(d.from) {
					record.Say("client %d: no setting: %s", n, a)
					return
				}
				record.Add("client %d: SET app.reseller TO '%s' -> %s", n, name, a)
			}
			for i := 0; time.Now().Before(end); i++ {
				a := c.Ask(fmt.Sprintf("INSERT INTO listings (item) VALUES ('%s/%d')", name, i))
				record.Add("client %d: INSERT of %s/%d -> %s", n, name, i, a)
				mu.Lock()
				if a.Tag == "INSERT 0 1" {
					done++
				} else {
					failed++
				}
				mu.Unlock()
				if a.Err != nil {
					return
				}
				time.Sleep(pause)
			}
		})
	}
	clients.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, what := range d.foreign {
		if record.Add("broken: %s", what); i < 3 {
			fmt.Println("broken:", what)
		}
	}
	record.Say("INSERTs answered as done %d, failed or refused %d; run for their session's reseller %d, for another %d, for none %d",
		done, failed, d.right, len(d.foreign), d.none)
	switch {
	case len(d.foreign)+d.none > 0:
		return kit.Broken, nil
	case d.right < 50:
		return kit.NotRun, nil
	}
	return kit.Held, nil
}

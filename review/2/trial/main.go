// Command trial: an answer that comes twice within a transaction.
package main

import (
	"fmt"
	"os"
	"regexp"
	"time"

	"yokemast/internal/testbed/discovery"
	"yokemast/review/kit"
)

const (
	transactions = 8
	reads        = 5
	// doubledRead is the read whose answer comes a second time, in every second transaction.
	doubledRead = 2
	thinkTime   = 60 * time.Millisecond
)

var (
	selectKV = regexp.MustCompile(`^SELECT content FROM kv WHERE name = '([^']*)'`)
	record   *kit.Record
)

func value(key string) string { return "record of " + key }

// run is the primary. It serves BEGIN, COMMIT, ROLLBACK and SELECT content FROM kv.
func run(s *kit.Session, statement string) {
	record.Add("host %s, connection %d, runs: %s", s.Host.ID, s.Number, statement)
	time.Sleep(20 * time.Millisecond)
	switch m := selectKV.FindStringSubmatch(statement); {
	case statement == "BEGIN":
		s.Status = 'T'
		_, _ = s.Write(s.Done("BEGIN"))
	case statement == "COMMIT", statement == "ROLLBACK":
		s.Status = 'I'
		_, _ = s.Write(s.Done(statement))
	case m != nil:
		answer := s.Row(value(m[1]), "SELECT 1")
		_, _ = s.Write(answer)
		var transaction, read int
		if n, _ := fmt.Sscanf(m[1], "patient-%d-%d", &transaction, &read); n == 2 && kit.Trouble() && transaction%2 == 1 && read == doubledRead {
			// Nothing else waits on the connection: the client asks again only after it has thought.
			time.Sleep(2 * time.Millisecond)
			_, _ = s.Write(answer)
			record.Add("host %s, connection %d: the answer for %s once more", s.Host.ID, s.Number, m[1])
		}
	default:
		_, _ = s.Write(s.Error("42601", "not known here"))
	}
}

func main() {
	kit.Main(trial)
}

func trial(r *kit.Record) (int, error) {
	record = r
	primary := kit.NewHost(&kit.Host{ID: "s-1", Role: "leader", Run: run})
	agent := discovery.New(primary.Entry())
	defer agent.Close()
	folder := kit.Folder()
	defer os.RemoveAll(folder)
	config := kit.Config{Listen: kit.Address(), Discovery: agent.Listener.Addr().String(), Settings: kit.Kochi, Folder: folder, Operator: kit.Pool}
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
	foreign, served, failed := 0, 0, 0
	var c *kit.Client
	ask := func(statement string) (kit.Answer, bool) {
		a := c.Ask(statement)
		record.Add("client: %s -> %s", statement, a)
		return a, a.Err == nil && a.Code == ""
	}
	for t := range transactions {
		if c, err = kit.Dial(config.Listen, "ordering"); err != nil {
			return kit.NotRun, err
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, ok := ask("BEGIN"); ok {
			for i := range reads {
				time.Sleep(thinkTime)
				key := fmt.Sprintf("patient-%d-%d", t, i)
				a, ok := ask("SELECT content FROM kv WHERE name = '" + key + "'")
				if !ok {
					failed++
					break
				}
				if len(a.Values) != 1 || a.Values[0] != value(key) {
					foreign++
					record.Say("broken: asked for %q, served %v", key, a.Values)
				} else {
					served++
				}
			}
			time.Sleep(thinkTime)
			ask("COMMIT")
		} else {
			failed++
		}
		c.Close()
	}
	record.Say("reads served with their own value %d, with another's %d, failed %d", served, foreign, failed)
	switch {
	case foreign > 0:
		return kit.Broken, nil
	case served == 0:
		return kit.NotRun, nil
	}
	return kit.Held, nil
}

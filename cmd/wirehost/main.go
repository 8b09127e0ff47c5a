// Command wirehost runs routers on the operators' line protocol: events in on standard input, one reply a
// batch on standard output. It maps instances to routers and holds no decision.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/waits"
	"yokemast/internal/wire/settings"
	"yokemast/internal/wire/sim"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

type instance struct {
	router *balance.Router
	zero   time.Duration
	giveUp map[string]time.Duration // of each class
	tries  *waits.Estimator
	first  map[string]string // class of each open request whose client had not tried before
}

func newInstance(router *balance.Router, set settings.Settings) *instance {
	it := &instance{router: router, zero: set.PositionOrigin, giveUp: map[string]time.Duration{}, tries: waits.New(), first: map[string]string{}}
	for _, c := range set.Balance.Classes {
		it.giveUp[c.Name] = c.Deadline
	}
	return it
}

// request tells the module how long a request's client has been at it.
func (it *instance) request(now time.Duration, q balance.Request) balance.Request {
	if q.Elapsed = it.tries.Observe(q.Class, it.giveUp[q.Class], q.Deadline-now); q.Elapsed == 0 {
		it.first[q.ID] = q.Class
	}
	return q
}

// ended notes the end of a request.
func (it *instance) ended(id string, served bool) {
	if class, ok := it.first[id]; ok && !served {
		it.tries.Unserved(class)
	}
	delete(it.first, id)
}

type host struct {
	instances map[int]*instance
	tables    map[int][]balance.Member
	acts      []balance.Action
	reply     []byte
}

func run(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	out := bufio.NewWriterSize(w, 1<<20)
	h := &host{instances: map[int]*instance{}, tables: map[int][]balance.Member{}}
	var now time.Duration
	turn, open := int64(-1), false
	for {
		line, err := in.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			if open {
				return fmt.Errorf("batch %d: input ended inside it", turn)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("batch %d: %w", turn, err)
		}
		name, e, err := sim.ParseLine(line)
		if err != nil {
			return fmt.Errorf("batch %d: %w", turn, err)
		}
		switch {
		case name == "TICK" && !open:
			now, turn, open = time.Duration(e.Wall), e.Turn, true
		case name == "TICK" || !open:
			return fmt.Errorf("batch %d: %s out of place", turn, name)
		case name == "COMMIT":
			open = false
			if h.reply, err = sim.AppendMessage(h.reply, "ACK", map[string]any{"turn": turn}); err == nil {
				_, err = out.Write(h.reply)
			}
			if err == nil {
				err = out.Flush()
			}
			h.reply = h.reply[:0]
		default:
			err = h.event(now, name, e)
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", turn, err)
		}
	}
}

func (h *host) event(now time.Duration, name string, e *sim.Event) error {
	switch name {
	case "TABLE":
		list := make([]balance.Member, 0, len(e.Lines))
		for _, l := range e.Lines {
			m, err := l.Member()
			if err != nil {
				return err
			}
			list = append(list, m)
		}
		h.tables[e.Ref] = list
		return nil
	case "SPAWN":
		set, err := settings.Decode(e.Options)
		if err != nil {
			return fmt.Errorf("SPAWN: %w", err)
		}
		router, err := balance.New(set.Balance, e.Salt)
		if err != nil {
			return fmt.Errorf("SPAWN: %w", err)
		}
		h.instances[e.Who] = newInstance(router, set)
		return nil
	}
	it := h.instances[e.Who]
	if it == nil {
		return fmt.Errorf("%s: unknown instance %d", name, e.Who)
	}
	switch name {
	case "DETACH":
		delete(h.instances, e.Who)
		return nil
	case "UPDATE":
		if e.Kind == "lost" {
			return h.decide(now, e.Who, it, balance.ListUnavailable{})
		}
		list, ok := h.tables[e.Ref]
		if !ok {
			return fmt.Errorf("UPDATE: list %d was never given", e.Ref)
		}
		return h.decide(now, e.Who, it, balance.Members{Snapshot: e.Kind != "incr", List: list})
	}
	ev, err := e.Balance(name, it.zero)
	if err != nil || ev == nil {
		return err
	}
	switch v := ev.(type) {
	case balance.Request:
		ev = it.request(now, v)
	case balance.RequestCanceled:
		it.ended(v.ID, false)
	case balance.Outcome:
		if v.Final {
			it.ended(v.ID, v.Result == balance.OK)
		}
	}
	return h.decide(now, e.Who, it, ev)
}

// decide hands one event to a router. A panic there is that instance's fault alone and is reported as one.
func (h *host) decide(now time.Duration, who int, it *instance, ev balance.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply, err = sim.AppendMessage(h.reply, "GIVE_IN", map[string]any{"who": who, "bodyText": fmt.Sprint(p)})
		}
	}()
	h.acts = it.router.Handle(now, ev, h.acts[:0])
	for _, a := range h.acts {
		switch a := a.(type) {
		case balance.Refuse:
			it.ended(a.ID, false)
		case balance.Fail:
			it.ended(a.ID, false)
		}
		if h.reply, err = sim.AppendAction(h.reply, who, a); err != nil {
			return err
		}
	}
	return nil
}

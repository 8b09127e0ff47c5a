// Command wirehost runs routers on the operators' line protocol: it reads events from standard input and writes one reply
// per batch to standard output. It maps instances to routers and makes no decisions itself.
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

// instance is one router and the estimates for its clients.
type instance struct {
	router        *balance.Router
	zero          time.Duration            // zero time of the settings, for decoding events
	deadlines     map[string]time.Duration // by class
	estimator     *waits.Estimator
	firstAttempts map[string]string // class of each open request that is the first attempt of its client, by request id
}

func newInstance(router *balance.Router, set settings.Settings) *instance {
	it := &instance{router: router, zero: set.PositionOrigin, deadlines: map[string]time.Duration{}, estimator: waits.New(), firstAttempts: map[string]string{}}
	for _, c := range set.Balance.Classes {
		it.deadlines[c.Name] = c.Deadline
	}
	return it
}

// setElapsed sets the estimated time since the client's first attempt, and records the request if it is the first.
func (it *instance) setElapsed(now time.Duration, q balance.Request) balance.Request {
	if q.Elapsed = it.estimator.Observe(q.Class, it.deadlines[q.Class], q.Deadline-now); q.Elapsed == 0 {
		it.firstAttempts[q.ID] = q.Class
	}
	return q
}

// requestEnded records the end of a request. The estimator counts a first attempt that was not served.
func (it *instance) requestEnded(id string, served bool) {
	if class, ok := it.firstAttempts[id]; ok && !served {
		it.estimator.Unserved(class)
	}
	delete(it.firstAttempts, id)
}

// host runs the instances and collects the reply of the current batch.
type host struct {
	instances   map[int]*instance
	memberLists map[int][]balance.Member // by reference, as sent in TABLE
	actions     []balance.Action
	reply       []byte
}

func run(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	out := bufio.NewWriterSize(w, 1<<20)
	h := &host{instances: map[int]*instance{}, memberLists: map[int][]balance.Member{}}
	var now time.Duration
	batch, open := int64(-1), false
	for {
		line, err := in.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			if open {
				return fmt.Errorf("batch %d: unexpected end of input", batch)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		name, e, err := sim.ParseLine(line)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		switch {
		case name == "TICK" && !open:
			now, batch, open = time.Duration(e.Wall), e.Turn, true
		case name == "TICK" || !open:
			return fmt.Errorf("batch %d: unexpected %s", batch, name)
		case name == "COMMIT":
			open = false
			if h.reply, err = sim.AppendMessage(h.reply, "ACK", map[string]any{"turn": batch}); err == nil {
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
			return fmt.Errorf("batch %d: %w", batch, err)
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
		h.memberLists[e.Ref] = list
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
		list, ok := h.memberLists[e.Ref]
		if !ok {
			return fmt.Errorf("UPDATE: unknown list %d", e.Ref)
		}
		return h.decide(now, e.Who, it, balance.Members{Snapshot: e.Kind != "incr", List: list})
	}
	ev, err := e.Balance(name, it.zero)
	if err != nil || ev == nil {
		return err
	}
	switch v := ev.(type) {
	case balance.Request:
		ev = it.setElapsed(now, v)
	case balance.RequestCanceled:
		it.requestEnded(v.ID, false)
	case balance.Outcome:
		if v.Final {
			it.requestEnded(v.ID, v.Result == balance.OK)
		}
	}
	return h.decide(now, e.Who, it, ev)
}

// decide passes one event to a router. A panic of the router is reported for its instance and does not affect others.
func (h *host) decide(now time.Duration, id int, it *instance, ev balance.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply, err = sim.AppendMessage(h.reply, "GIVE_IN", map[string]any{"who": id, "bodyText": fmt.Sprint(p)})
		}
	}()
	h.actions = it.router.Handle(now, ev, h.actions[:0])
	for _, a := range h.actions {
		switch a := a.(type) {
		case balance.Refuse:
			it.requestEnded(a.ID, false)
		case balance.Fail:
			it.requestEnded(a.ID, false)
		}
		if h.reply, err = sim.AppendAction(h.reply, id, a); err != nil {
			return err
		}
	}
	return nil
}

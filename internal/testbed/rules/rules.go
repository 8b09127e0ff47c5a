// Package rules checks the operating rules from outside a gateway: stand-in hosts and clients tell it what they see, and it
// says which rule was broken, by whom and when. It is for tests and for trying things out.
package rules

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Limits are the figures of the rules.
type Limits struct {
	Window          time.Duration // in which a request that may have run may come again; 0: not checked
	DisconnectGrace time.Duration // after its client has left nothing begins for a request; 0: not checked
	Grace           time.Duration // nothing new to a host later than this after it was told to drain or go; 0: not checked
	Slack           time.Duration // that every limit is longer on sockets
	KnownWithin     time.Duration // what an answer tells counts as known so long after it was written
	Overload        float64       // times its capacity that a cold host may be sent; 0: not checked
	OverloadIn      time.Duration // over any such time
}

// Kind is how a request was answered.
type Kind int

// Kinds of answers.
const (
	Served Kind = iota
	Refused
	Failed
)

type request struct {
	write, repeatable bool
	asked, by         time.Time
	via               string               // the gateway that was asked
	left              time.Time            // when its client went; zero: it has not
	came              bool                 // it has come to a host
	began             map[string]time.Time // when it came first to each host where it may have run
	answers           int
	ran               int                    // how often it was begun at a host
	out               map[string]func() bool // hosts where an attempt is out, and whether its connection is open; nil: it is
	sent              map[string]time.Time   // by host, when the last attempt was written to a link; see SentTo
	made              [][sha256.Size]byte    // sums of the values that hosts made for it
}

// Ledger is safe for concurrent use. Its zero value checks nothing but what needs no figures.
type Ledger struct {
	Limits Limits
	Stalls func() time.Duration // of the machine lately, which limits are longer by; nil: none

	mu       sync.Mutex
	requests map[string]*request
	told     map[string]time.Time // hosts that drain or are gone
	notified map[notice]time.Time // the same, by gateway
	cold     map[string]*cold
	led      map[string]leadership
	follows  map[notice][]followerWord // of a host to a gateway, oldest first
	broken   []string
	counts   Counts
}

type cold struct {
	capacity func(time.Time) float64 // work a second
	sent     []sent
}

type sent struct {
	at   time.Time
	work time.Duration
}

// Counts are how often something was seen.
type Counts struct {
	Asked, Served, Refused, Failed, Unanswered, Late int
	Attempts, WritesRan, Doubled, TwoOut, Stale      int
	AfterDrain, Overloaded, RefusedAfterRun          int
	AfterLeaving, AfterWindow, StaleExcused          int
}

type notice struct{ gateway, host string }

func (l *Ledger) slack() time.Duration {
	if l.Stalls == nil {
		return l.Limits.Slack
	}
	return l.Limits.Slack + l.Stalls()
}

func (l *Ledger) breaks(rule string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(rule, args...))
}

func (l *Ledger) of(id string) *request {
	if l.requests == nil {
		l.requests = map[string]*request{}
	}
	r := l.requests[id]
	if r == nil {
		r = &request{out: map[string]func() bool{}, began: map[string]time.Time{}, sent: map[string]time.Time{}}
		l.requests[id] = r
	}
	return r
}

// Asked says that a client has written a request, which must be answered by then. A repeatable one may run several times.
func (l *Ledger) Asked(id string, write, repeatable bool, by time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	r.write, r.repeatable, r.asked, r.by = write, repeatable, time.Now(), by
	l.counts.Asked++
}

// Answered says that a client has read a request's final answer.
func (l *Ledger) Answered(id string, k Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	if r.answers++; r.answers > 1 {
		l.breaks("%s is answered %d times", id, r.answers)
	}
	switch k {
	case Served:
		l.counts.Served++
		if r.ran == 0 {
			l.breaks("%s is served and ran at no host", id)
		}
	case Refused:
		l.counts.Refused++
		if r.ran > 0 && !r.repeatable {
			l.counts.RefusedAfterRun++
			l.breaks("%s is refused and has run", id)
		}
	case Failed:
		l.counts.Failed++
	}
	if !r.by.IsZero() && time.Now().After(r.by.Add(l.slack())) {
		l.counts.Late++
		l.breaks("%s is answered %v after its client stopped waiting", id, time.Since(r.by))
	}
}

// ValueProduced says that a host has made a value for a request.
func (l *Ledger) ValueProduced(id string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	r.made = append(r.made, sha256.Sum256(value))
}

// ServedWith says which value a request was served with, where hosts say what they made.
func (l *Ledger) ServedWith(id string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.of(id).made, sha256.Sum256(value)) {
		l.breaks("%s is served with %d bytes that no host made for it", id, len(value))
	}
}

// Unanswered says that a client has gone away, or was cut off, without an answer.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Unanswered++
	l.of(id).answers++
}

// Arrived says that a request has come whole to a host, on a connection that is open; work is what it would take warm.
func (l *Ledger) Arrived(host, id string, work time.Duration) { l.ArrivedOn(host, id, work, nil) }

// ArrivedOn is Arrived with a look at the connection: an attempt is out only as long as that is open, whether its host has noticed
// its end or not.
func (l *Ledger) ArrivedOn(host, id string, work time.Duration, open func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.loadLocked(host, work, now)
	if _, linked := l.of(id).sent[host]; !linked { // else it was checked when it was written
		l.sentLocked(host, id, now, now, open)
	}
}

// sentLocked checks an attempt of which the first and the last byte came at these times.
func (l *Ledger) sentLocked(host, id string, first, last time.Time, open func() bool) {
	r := l.of(id)
	l.counts.Attempts++
	l.checkOut(host, id, r, open)
	l.checkAttempt(host, id, first, last, r)
	if told, ok := l.told[host]; ok && l.Limits.Grace > 0 && first.Sub(told) > l.Limits.Grace+l.slack() {
		l.counts.AfterDrain++
		l.breaks("%s comes to %s %v after it was told gone", id, host, first.Sub(told))
	}
}

// checkOut checks that no other attempt is out. One that is seen only once its connection has ended has been given up, maybe before an
// attempt that was seen already began.
func (l *Ledger) checkOut(host, id string, r *request, open func() bool) {
	if open != nil && !open() {
		return
	}
	for other, open := range r.out {
		if open != nil && !open() {
			continue
		}
		l.counts.TwoOut++
		l.breaks("%s is out at %s and at %s", id, other, host)
	}
	r.out[host] = open
}

// loadLocked checks the work that a cold host is sent.
func (l *Ledger) loadLocked(host string, work time.Duration, now time.Time) {
	c := l.cold[host]
	if c == nil || l.Limits.Overload == 0 {
		return
	}
	c.sent = append(c.sent, sent{now, work})
	var total time.Duration
	for len(c.sent) > 0 && now.Sub(c.sent[0].at) > l.Limits.OverloadIn {
		c.sent = c.sent[1:]
	}
	for _, s := range c.sent {
		total += s.work
	}
	if most := l.Limits.Overload * c.capacity(now) * float64(l.Limits.OverloadIn); float64(total) > most {
		l.counts.Overloaded++
		l.breaks("%s was sent %v of work within %v", host, total, l.Limits.OverloadIn)
	}
}

// checkAttempt checks what an attempt that comes to a host must keep to, by who asked for it and when. A drain and a client's leaving
// bound its first byte, the window of repeats its last.
func (l *Ledger) checkAttempt(host, id string, first, last time.Time, r *request) {
	told, notified := l.notified[notice{r.via, host}]
	if notified && l.Limits.Grace > 0 && first.Sub(told) > l.Limits.Grace+l.slack() {
		l.counts.AfterDrain++
		l.breaks("%s comes from %s to %s %v after that was notified that it drains", id, r.via, host, first.Sub(told))
	}
	if !r.left.IsZero() && l.Limits.DisconnectGrace > 0 && first.Sub(r.left) > l.Limits.DisconnectGrace+l.slack() {
		l.counts.AfterLeaving++
		l.breaks("%s comes to %s %v after its client left", id, host, first.Sub(r.left))
	}
	r.came = true
	for before, at := range r.began {
		if l.Limits.Window > 0 && r.write && last.Sub(at) > l.Limits.Window+l.slack() {
			l.counts.AfterWindow++
			l.breaks("%s comes again to %s %v after it came to %s, where it may have run", id, host, last.Sub(at), before)
		}
	}
	if _, again := r.began[host]; !again {
		r.began[host] = last
	}
}

// Unrun says that a host has turned a request away: what came to it did not run.
func (l *Ledger) Unrun(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.of(id).began, host)
}

// SentVia says which gateway a request is asked of.
func (l *Ledger) SentVia(id, gateway string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(id).via = gateway
}

// Disconnected says that a request's client goes away now, without waiting for the answer.
func (l *Ledger) Disconnected(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(id).left = time.Now()
	l.of(id).answers++
}

// ReachedHost says whether a request has come to a host.
func (l *Ledger) ReachedHost(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(id).came
}

// AddViolation notes a rule that somebody else has seen broken.
func (l *Ledger) AddViolation(rule string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(rule, args...)
}

// Notified says that one gateway counts as notified, from a time on, that a host drains or is gone; an earlier time stands.
func (l *Ledger) Notified(gateway, host string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notified == nil {
		l.notified = map[notice]time.Time{}
	}
	n := notice{gateway, host}
	if old, ok := l.notified[n]; !ok || at.Before(old) {
		l.notified[n] = at
	}
}

// Restarted says that a gateway starts anew and knows nothing of before: it counts as notified of what it was from a time on.
func (l *Ledger) Restarted(gateway string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.notified {
		if n.gateway == gateway {
			l.notified[n] = at
		}
	}
	for n := range l.follows { // the new process has been told nothing
		if n.gateway == gateway {
			delete(l.follows, n)
		}
	}
}

// Reopened says that a host serves again: no gateway is bound by what it was notified of before.
func (l *Ledger) Reopened(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.notified {
		if n.host == host {
			delete(l.notified, n)
		}
	}
}

// Over says that an attempt is no longer out: it was answered, or its connection has ended.
func (l *Ledger) Over(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.of(id); r.sent[host].IsZero() { // else it is over when the gateway has the answer
		delete(r.out, host)
	}
}

// Ran says that a host has begun to run a request.
func (l *Ledger) Ran(host, id string, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	r.ran++
	if write {
		l.counts.WritesRan++
		if r.ran > 1 && !r.repeatable {
			l.counts.Doubled++
			l.breaks("%s runs again at %s", id, host)
		}
	}
}

// DrainAnnounced says that gateways were told now that a host drains or is gone; back ends that.
func (l *Ledger) DrainAnnounced(host string, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		l.told = map[string]time.Time{}
	}
	if _, ok := l.told[host]; back {
		delete(l.told, host)
	} else if !ok {
		l.told[host] = time.Now()
	}
}

// Cold says that a host has started cold; capacity gives the work that it can do in a second from then on.
func (l *Ledger) Cold(host string, capacity func(time.Time) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold == nil {
		l.cold = map[string]*cold{}
	}
	l.cold[host] = &cold{capacity: capacity}
}

// Counts gives what was seen so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Violations gives the rules that were broken, and requests that were asked and never answered.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]string(nil), l.broken...)
	for id, r := range l.requests {
		if !r.asked.IsZero() && r.answers == 0 {
			out = append(out, id+" is never answered")
		}
	}
	return out
}

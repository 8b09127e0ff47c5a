// Package rules checks the operating rules from outside a gateway: stand-in hosts and clients report what they observe, and a
// ledger records which rule was violated, by which request and host, and when. It is meant for tests and experiments.
package rules

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Limits are the limits that the rules set.
type Limits struct {
	Window          time.Duration // in which a possibly executed write may be retried; 0 disables the check
	DisconnectGrace time.Duration // after a client's disconnect in which attempts may still begin; 0 disables the check
	Grace           time.Duration // after a drain notification in which attempts may still begin; 0 disables the check
	Slack           time.Duration // added to every limit, for delays of sockets and scheduling
	KnownWithin     time.Duration // after which a gateway must know the content of an answer written to it
	Overload        float64       // work that a cold host may be sent, as a multiple of its capacity; 0 disables the check
	OverloadIn      time.Duration // length of the sliding window for Overload
}

// Kind is the kind of a request's answer.
type Kind int

// Kinds of answers.
const (
	Served Kind = iota
	Refused
	Failed
)

type request struct {
	write, repeatable bool
	sentAt, deadline  time.Time            // when it was sent, and the client's deadline
	gateway           string               // the gateway to which it was sent
	disconnectedAt    time.Time            // when its client disconnected, or zero
	arrived           bool                 // it has reached a host
	arrivals          map[string]time.Time // by host where it was possibly executed, when it first arrived
	answers           int
	executions        int                    // number of times that a host began to execute it
	inFlight          map[string]func() bool // by host with an attempt in flight: is its connection open? nil means yes
	sent              map[string]time.Time   // by host, when the last attempt was written to a link; see SentTo
	produced          [][sha256.Size]byte    // checksums of the values that hosts produced for it
}

// Ledger records requests, attempts and answers, and the violations of the rules. It is safe for concurrent use. The zero
// value checks only the rules that need no limits.
type Ledger struct {
	Limits Limits
	Stalls func() time.Duration // recent stalls of the machine, which are added to the limits; nil for none

	mu              sync.Mutex
	requests        map[string]*request
	drains          map[string]time.Time // when discovery listed a host as draining or removed
	notified        map[link]time.Time   // when a gateway counts as notified that a host drains or was removed
	cold            map[string]*coldHost
	leaderships     map[string]leadershipState
	followerAnswers map[link][]followerAnswer // answers of a host as a follower to a gateway, oldest first
	violations      []string
	counts          Counts
}

type coldHost struct {
	capacity func(time.Time) float64 // work per second
	sent     []sentWork
}

type sentWork struct {
	at   time.Time
	work time.Duration
}

// Counts are the numbers of requests, attempts and violations seen. Late counts answers after the client's deadline, WritesRan
// executions of writes, Doubled repeated executions of writes that are not repeatable, and TwoOut attempts that arrived while
// another of their request was in flight. AfterLeaving counts attempts that began too long after the client's disconnect,
// AfterWindow writes retried after Window, and StaleExcused stale reads of which the gateway could not know.
type Counts struct {
	Asked, Served, Refused, Failed, Unanswered, Late int
	Attempts, WritesRan, Doubled, TwoOut, Stale      int
	AfterDrain, Overloaded, RefusedAfterRun          int
	AfterLeaving, AfterWindow, StaleExcused          int
}

type link struct{ gateway, host string }

func (l *Ledger) slack() time.Duration {
	if l.Stalls == nil {
		return l.Limits.Slack
	}
	return l.Limits.Slack + l.Stalls()
}

func (l *Ledger) addViolation(rule string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(rule, args...))
}

func (l *Ledger) request(id string) *request {
	if l.requests == nil {
		l.requests = map[string]*request{}
	}
	r := l.requests[id]
	if r == nil {
		r = &request{inFlight: map[string]func() bool{}, arrivals: map[string]time.Time{}, sent: map[string]time.Time{}}
		l.requests[id] = r
	}
	return r
}

// Asked records that a client has written a request that must be answered by the deadline. A repeatable one may be executed
// several times.
func (l *Ledger) Asked(id string, write, repeatable bool, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.request(id)
	r.write, r.repeatable, r.sentAt, r.deadline = write, repeatable, time.Now(), deadline
	l.counts.Asked++
}

// Answered records that a client has read the final answer to a request.
func (l *Ledger) Answered(id string, k Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.request(id)
	if r.answers++; r.answers > 1 {
		l.addViolation("%s was answered %d times", id, r.answers)
	}
	switch k {
	case Served:
		l.counts.Served++
		if r.executions == 0 {
			l.addViolation("%s was served but ran at no host", id)
		}
	case Refused:
		l.counts.Refused++
		if r.executions > 0 && !r.repeatable {
			l.counts.RefusedAfterRun++
			l.addViolation("%s was refused but has run", id)
		}
	case Failed:
		l.counts.Failed++
	}
	if !r.deadline.IsZero() && time.Now().After(r.deadline.Add(l.slack())) {
		l.counts.Late++
		l.addViolation("%s was answered %v after its client stopped waiting", id, time.Since(r.deadline))
	}
}

// ValueProduced records that a host has produced a value for a request.
func (l *Ledger) ValueProduced(id string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.request(id)
	r.produced = append(r.produced, sha256.Sum256(value))
}

// ServedWith checks that the value with which a request was served is one that a host produced for it.
func (l *Ledger) ServedWith(id string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.request(id).produced, sha256.Sum256(value)) {
		l.addViolation("%s was served with %d bytes that no host produced for it", id, len(value))
	}
}

// Unanswered records that a client disconnected, or was cut off, without an answer.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Unanswered++
	l.request(id).answers++
}

// Arrived records that a host has received a whole request on an open connection; work is its execution time on a warm host.
func (l *Ledger) Arrived(host, id string, work time.Duration) { l.ArrivedOnConn(host, id, work, nil) }

// ArrivedOnConn is like Arrived with a function that reports whether the connection is open. An attempt is in flight only as
// long as it is, even if the host has not noticed yet that the connection ended.
func (l *Ledger) ArrivedOnConn(host, id string, work time.Duration, open func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.checkLoadLocked(host, work, now)
	if _, linked := l.request(id).sent[host]; !linked { // otherwise it was checked when it was written to the link
		l.checkSentLocked(host, id, now, now, open)
	}
}

// checkSentLocked checks an attempt whose first and last byte were received at first and last.
func (l *Ledger) checkSentLocked(host, id string, first, last time.Time, open func() bool) {
	r := l.request(id)
	l.counts.Attempts++
	l.checkInFlight(host, id, r, open)
	l.checkAttempt(host, id, first, last, r)
	if listedAt, ok := l.drains[host]; ok && l.Limits.Grace > 0 && first.Sub(listedAt) > l.Limits.Grace+l.slack() {
		l.counts.AfterDrain++
		l.addViolation("%s arrived at %s %v after discovery listed the host as draining or removed", id, host, first.Sub(listedAt))
	}
}

// checkInFlight checks that no other attempt of the request is in flight. An attempt that is seen only after its connection
// ended was abandoned, possibly before another attempt that was seen earlier began, and is ignored.
func (l *Ledger) checkInFlight(host, id string, r *request, open func() bool) {
	if open != nil && !open() {
		return
	}
	for other, open := range r.inFlight {
		if open != nil && !open() {
			continue
		}
		l.counts.TwoOut++
		l.addViolation("%s is in flight at %s and at %s", id, other, host)
	}
	r.inFlight[host] = open
}

// checkLoadLocked checks the amount of work sent to a cold host.
func (l *Ledger) checkLoadLocked(host string, work time.Duration, now time.Time) {
	c := l.cold[host]
	if c == nil || l.Limits.Overload == 0 {
		return
	}
	c.sent = append(c.sent, sentWork{now, work})
	var total time.Duration
	for len(c.sent) > 0 && now.Sub(c.sent[0].at) > l.Limits.OverloadIn {
		c.sent = c.sent[1:]
	}
	for _, s := range c.sent {
		total += s.work
	}
	if maxWork := l.Limits.Overload * c.capacity(now) * float64(l.Limits.OverloadIn); float64(total) > maxWork {
		l.counts.Overloaded++
		l.addViolation("%s was sent %v of work within %v", host, total, l.Limits.OverloadIn)
	}
}

// checkAttempt checks the time of an attempt against the drain notification of its gateway, the disconnect of its client and
// earlier attempts. Drain and disconnect limit the time of its first byte, the window for retries that of its last byte.
func (l *Ledger) checkAttempt(host, id string, first, last time.Time, r *request) {
	notifiedAt, notified := l.notified[link{r.gateway, host}]
	if notified && l.Limits.Grace > 0 && first.Sub(notifiedAt) > l.Limits.Grace+l.slack() {
		l.counts.AfterDrain++
		l.addViolation("%s from %s arrived at %s %v after the gateway was notified of the drain", id, r.gateway, host, first.Sub(notifiedAt))
	}
	if !r.disconnectedAt.IsZero() && l.Limits.DisconnectGrace > 0 && first.Sub(r.disconnectedAt) > l.Limits.DisconnectGrace+l.slack() {
		l.counts.AfterLeaving++
		l.addViolation("%s arrived at %s %v after its client disconnected", id, host, first.Sub(r.disconnectedAt))
	}
	r.arrived = true
	for before, at := range r.arrivals {
		if l.Limits.Window > 0 && r.write && last.Sub(at) > l.Limits.Window+l.slack() {
			l.counts.AfterWindow++
			l.addViolation("%s was retried at %s %v after it arrived at %s, where it was possibly executed", id, host, last.Sub(at), before)
		}
	}
	if _, again := r.arrivals[host]; !again {
		r.arrivals[host] = last
	}
}

// NotExecuted records that a host has rejected a request without executing it.
func (l *Ledger) NotExecuted(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.request(id).arrivals, host)
}

// SentVia records the gateway to which a request is sent.
func (l *Ledger) SentVia(id, gateway string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.request(id).gateway = gateway
}

// Disconnected records that the client of a request disconnects now, without waiting for the answer.
func (l *Ledger) Disconnected(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.request(id).disconnectedAt = time.Now()
	l.request(id).answers++
}

// ReachedHost reports whether a request has reached a host.
func (l *Ledger) ReachedHost(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.request(id).arrived
}

// AddViolation records a violation found outside the ledger.
func (l *Ledger) AddViolation(rule string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(rule, args...)
}

// Notified records that a gateway counts as notified, from a time on, that a host drains or was removed. An earlier time is
// kept.
func (l *Ledger) Notified(gateway, host string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notified == nil {
		l.notified = map[link]time.Time{}
	}
	n := link{gateway, host}
	if old, ok := l.notified[n]; !ok || at.Before(old) {
		l.notified[n] = at
	}
}

// Restarted records that a gateway was started again without its former state. Notifications that it had received count from
// the given time on.
func (l *Ledger) Restarted(gateway string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.notified {
		if n.gateway == gateway {
			l.notified[n] = at
		}
	}
	for n := range l.followerAnswers { // the new process has received none of these answers
		if n.gateway == gateway {
			delete(l.followerAnswers, n)
		}
	}
}

// Reopened records that a host serves again, which cancels all earlier notifications.
func (l *Ledger) Reopened(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.notified {
		if n.host == host {
			delete(l.notified, n)
		}
	}
}

// AttemptEnded records that an attempt is no longer in flight: it was answered, or its connection ended.
func (l *Ledger) AttemptEnded(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.request(id); r.sent[host].IsZero() { // otherwise it ends when the gateway receives the answer
		delete(r.inFlight, host)
	}
}

// Executed records that a host has begun to execute a request.
func (l *Ledger) Executed(host, id string, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.request(id)
	r.executions++
	if write {
		l.counts.WritesRan++
		if r.executions > 1 && !r.repeatable {
			l.counts.Doubled++
			l.addViolation("%s was executed again at %s", id, host)
		}
	}
}

// DrainAnnounced records that discovery now lists a host as draining or removed, or, with serving set, as serving again.
func (l *Ledger) DrainAnnounced(host string, serving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drains == nil {
		l.drains = map[string]time.Time{}
	}
	if _, ok := l.drains[host]; serving {
		delete(l.drains, host)
	} else if !ok {
		l.drains[host] = time.Now()
	}
}

// ColdStarted records that a host has started cold; capacity returns the work per second that it can do at a time.
func (l *Ledger) ColdStarted(host string, capacity func(time.Time) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold == nil {
		l.cold = map[string]*coldHost{}
	}
	l.cold[host] = &coldHost{capacity: capacity}
}

// Counts returns the numbers seen so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Violations returns the violations so far, including requests that were sent and never answered.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]string(nil), l.violations...)
	for id, r := range l.requests {
		if !r.sentAt.IsZero() && r.answers == 0 {
			out = append(out, id+" was never answered")
		}
	}
	return out
}

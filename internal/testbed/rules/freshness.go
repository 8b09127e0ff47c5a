package rules

import "time"

// Leadership is a change of who is the primary.
type Leadership int

// Changes of a host's leadership.
const (
	Leads Leadership = iota
	Deposed
)

// leadership is when a host was the primary last.
type leadership struct {
	now   bool
	until time.Time // of a host that was deposed
}

// Leadership says that a host is the primary from now on, or is none any more.
func (l *Ledger) Leadership(host string, e Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.led == nil {
		l.led = map[string]leadership{}
	}
	l.led[host] = leadership{now: e == Leads, until: time.Now()}
}

// followsKept is how many answers of a host as a follower are remembered for each gateway. Only those of the last moments may not
// be known yet.
const followsKept = 1000

// AnsweredAsFollower says that a host has just written an answer that names it a follower, to the gateway that a request was asked
// of.
func (l *Ledger) AnsweredAsFollower(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.of(id); r.sent[host].IsZero() {
		l.followsLocked(notice{r.via, host}, time.Now())
	}
}

// followerWord is an answer that names its host a follower.
type followerWord struct{ made, told time.Time }

func (l *Ledger) followsLocked(n notice, made time.Time) {
	if l.follows == nil {
		l.follows = map[notice][]followerWord{}
	}
	if l.follows[n] = append(l.follows[n], followerWord{made, time.Now()}); len(l.follows[n]) > followsKept {
		l.follows[n] = l.follows[n][1:]
	}
}

// excusedLocked says whether a read that a gateway sent to a host at a time is excused for its data's age: the host has been the
// primary, and no answer that the gateway knew had told it that the host is none any more.
func (l *Ledger) excusedLocked(gateway, host string, sent time.Time) bool {
	led, ever := l.led[host]
	if !ever {
		return false
	}
	if led.now {
		return true
	}
	for _, word := range l.follows[notice{gateway, host}] {
		if word.made.After(led.until) && sent.Sub(word.told) > l.Limits.KnownWithin+l.slack() {
			return false
		}
	}
	return true
}

// Read says how a bounded read that came to a host at a time was served: from data of a position, where its bound allows none that was
// older than bound when it was sent.
func (l *Ledger) Read(host, id string, came, position time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.sentAtLocked(host, id, came)
	l.readLocked(host, id, sent, position, sent.Add(-bound), l.slack())
}

// ReadOwn is Read of a session's read, which must see a position that it was told exactly.
func (l *Ledger) ReadOwn(host, id string, came, position, after time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLocked(host, id, l.sentAtLocked(host, id, came), position, after, 0)
}

func (l *Ledger) readLocked(host, id string, sent, position, bound time.Time, slack time.Duration) {
	if !position.Before(bound.Add(-slack)) {
		return
	}
	if l.excusedLocked(l.of(id).via, host, sent) {
		l.counts.StaleExcused++
		return
	}
	l.counts.Stale++
	l.breaks("%s is read at %s from data %v too old, sent by %s at %s", id, host, bound.Sub(position), l.of(id).via,
		sent.UTC().Format("15:04:05.000"))
}

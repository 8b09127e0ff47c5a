package rules

import "time"

// Leadership is a change of a host's role as the primary.
type Leadership int

// Changes of a host's leadership.
const (
	Leads Leadership = iota
	Deposed
)

// leadership records when a host was last the primary.
type leadership struct {
	now   bool
	until time.Time // when it was deposed, unless now is set
}

// Leadership records that a host becomes the primary now, or no longer is.
func (l *Ledger) Leadership(host string, e Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.led == nil {
		l.led = map[string]leadership{}
	}
	l.led[host] = leadership{now: e == Leads, until: time.Now()}
}

// followsKept is the number of answers of a host as a follower that are remembered for each gateway. Only a gateway's
// knowledge of the most recent ones is in doubt.
const followsKept = 1000

// AnsweredAsFollower records that a host has just written an answer that names it a follower, to the gateway to which the
// request was sent.
func (l *Ledger) AnsweredAsFollower(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.of(id); r.sent[host].IsZero() {
		l.followsLocked(notice{r.via, host}, time.Now())
	}
}

// followerWord records when an answer that names its host a follower was made and when it was written to the gateway.
type followerWord struct{ made, told time.Time }

func (l *Ledger) followsLocked(n notice, made time.Time) {
	if l.follows == nil {
		l.follows = map[notice][]followerWord{}
	}
	if l.follows[n] = append(l.follows[n], followerWord{made, time.Now()}); len(l.follows[n]) > followsKept {
		l.follows[n] = l.follows[n][1:]
	}
}

// excusedLocked reports whether a stale read is excused: the host is or was the primary, and no answer that the gateway knew
// when it sent the read had named the host a follower since.
func (l *Ledger) excusedLocked(gateway, host string, sent time.Time) bool {
	led, ever := l.led[host]
	if !ever {
		return false
	}
	if led.now {
		return true
	}
	for _, word := range l.follows[notice{gateway, host}] {
		if word.made.After(led.until) && sent.Sub(word.told) > l.Limits.KnownAfter+l.slack() {
			return false
		}
	}
	return true
}

// Read checks a bounded read that reached a host at came and was served from data at position: the data must not have been
// older than bound when the read was sent.
func (l *Ledger) Read(host, id string, came, position time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.sentAtLocked(host, id, came)
	l.readLocked(host, id, sent, position, sent.Add(-bound), l.slack())
}

// ReadOwn checks a session's read, which must see at least the position after, without any slack.
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
	l.breaks("%s was read at %s from data %v too old, sent by %s at %s", id, host, bound.Sub(position), l.of(id).via,
		sent.UTC().Format("15:04:05.000"))
}

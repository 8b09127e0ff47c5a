package rules

import "time"

// Leadership is a change of a host's role as the primary.
type Leadership int

// Changes of a host's leadership.
const (
	Leads Leadership = iota
	Deposed
)

// leadershipState records when a host was last the primary.
type leadershipState struct {
	isPrimary bool
	deposedAt time.Time // when it was deposed, if not the primary now
}

// Leadership records that a host becomes the primary now, or no longer is.
func (l *Ledger) Leadership(host string, change Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaderships == nil {
		l.leaderships = map[string]leadershipState{}
	}
	l.leaderships[host] = leadershipState{isPrimary: change == Leads, deposedAt: time.Now()}
}

// maxFollowerAnswers is the number of answers of a host as a follower that are remembered for each gateway. Only a gateway's
// knowledge of the most recent ones is in doubt.
const maxFollowerAnswers = 1000

// FollowerAnswered records that a host has just written an answer that names it a follower, to the gateway to which the
// request was sent.
func (l *Ledger) FollowerAnswered(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.request(id); r.sent[host].IsZero() {
		l.addFollowerAnswerLocked(link{r.gateway, host}, time.Now())
	}
}

// followerAnswer records when an answer that names its host a follower was made and when it was written to the gateway.
type followerAnswer struct{ madeAt, writtenAt time.Time }

func (l *Ledger) addFollowerAnswerLocked(n link, madeAt time.Time) {
	if l.followerAnswers == nil {
		l.followerAnswers = map[link][]followerAnswer{}
	}
	if l.followerAnswers[n] = append(l.followerAnswers[n], followerAnswer{madeAt, time.Now()}); len(l.followerAnswers[n]) > maxFollowerAnswers {
		l.followerAnswers[n] = l.followerAnswers[n][1:]
	}
}

// excusedLocked reports whether a stale read is excused: the host is or was the primary, and no answer that the gateway knew
// when it sent the read had named the host a follower since.
func (l *Ledger) excusedLocked(gateway, host string, sent time.Time) bool {
	state, known := l.leaderships[host]
	if !known {
		return false
	}
	if state.isPrimary {
		return true
	}
	for _, answer := range l.followerAnswers[link{gateway, host}] {
		if answer.madeAt.After(state.deposedAt) && sent.Sub(answer.writtenAt) > l.Limits.KnownWithin+l.slack() {
			return false
		}
	}
	return true
}

// Read checks a bounded read that reached a host at arrived and was served from data at position: the data must not have been
// older than bound when the read was sent.
func (l *Ledger) Read(host, id string, arrived, position time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.sentAtLocked(host, id, arrived)
	l.checkReadLocked(host, id, sent, position, sent.Add(-bound), l.slack())
}

// ReadOwn checks a session's read, which must see at least the position after, without any slack.
func (l *Ledger) ReadOwn(host, id string, arrived, position, after time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkReadLocked(host, id, l.sentAtLocked(host, id, arrived), position, after, 0)
}

func (l *Ledger) checkReadLocked(host, id string, sent, position, bound time.Time, slack time.Duration) {
	if !position.Before(bound.Add(-slack)) {
		return
	}
	if l.excusedLocked(l.request(id).gateway, host, sent) {
		l.counts.StaleExcused++
		return
	}
	l.counts.Stale++
	l.addViolation("%s was read at %s from data %v too old, sent by %s at %s", id, host, bound.Sub(position), l.request(id).gateway,
		sent.UTC().Format("15:04:05.000"))
}

package rules

import "time"

// A link between a gateway and a host delays and loses what it carries, which is not the gateway's doing. What a gateway sends over
// one counts when it has written it, and what a host answers counts when it has been written to the gateway.

// SentTo says that a gateway has written a request whole to a link to a host: its first and its last byte came at these times. What the
// host says later of the request's coming and of its answer does not count; Delivering and Follows say that.
func (l *Ledger) SentTo(host, id string, first, last time.Time, open func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentLocked(host, id, first, last, open)
	l.of(id).sent[host] = last
}

// Delivering says that the answer to an attempt over a link is about to be written to the gateway.
func (l *Ledger) Delivering(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.of(id).out, host)
}

// FollowerDelivered says that an answer has just been written to a gateway by a link, which the host had made by a time, and which names it a
// follower.
func (l *Ledger) FollowerDelivered(gateway, host string, made time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followsLocked(notice{gateway, host}, made)
}

// sentAtLocked is when an attempt that has come to a host was sent: where that is not known apart, when it came.
func (l *Ledger) sentAtLocked(host, id string, came time.Time) time.Time {
	if sent, linked := l.of(id).sent[host]; linked {
		return sent
	}
	return came
}

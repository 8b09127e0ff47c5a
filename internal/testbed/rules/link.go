package rules

import "time"

// A link between a gateway and a host delays and loses traffic, for which the gateway is not responsible. With a link, an
// attempt counts from the time the gateway wrote it, and an answer from the time it was written to the gateway.

// SentTo records that a gateway has written a whole request to a link to a host; its first and last byte were received at
// first and last. What the host reports later about arrival and answer of the request is ignored; the link reports the answer
// with Delivering, and that of a follower with FollowerDelivered as well.
func (l *Ledger) SentTo(host, id string, first, last time.Time, open func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkSentLocked(host, id, first, last, open)
	l.request(id).sent[host] = last
}

// Delivering records that a link is about to write the answer to an attempt to the gateway.
func (l *Ledger) Delivering(host, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.request(id).inFlight, host)
}

// FollowerDelivered records that a link has just written to a gateway an answer that names the host a follower. The host had made
// the answer by madeAt.
func (l *Ledger) FollowerDelivered(gateway, host string, madeAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFollowerAnswerLocked(link{gateway, host}, madeAt)
}

// sentAtLocked returns when an attempt was sent, or when it reached the host if it was not sent over a link.
func (l *Ledger) sentAtLocked(host, id string, arrived time.Time) time.Time {
	if sent, linked := l.request(id).sent[host]; linked {
		return sent
	}
	return arrived
}

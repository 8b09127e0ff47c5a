package fleetclock

import "time"

const (
	// agreeing is how many answers of different hosts have to agree to settle a doubt; repeating is how many of a host that is the only
	// one to answer.
	agreeing  = 2
	repeating = 3
	// freshMost bounds the answers that are remembered while they do not agree.
	freshMost = 16
)

// doubt is an interval that was contradicted, or was never known.
type doubt struct {
	known Interval // as it was; empty where there was none
	hull  Interval // of what was known and what contradicts it
	at    time.Duration
	began time.Duration // answers to queries sent before do not settle it
	fresh []witness     // primaries' answers to queries sent since; at a start the machine's clock is the first
}

// unknown says that no interval was known before.
func (d *doubt) unknown() bool { return d.began == -unbounded }

// widen moves the hull's ends to where an answer that lies outside of it has them.
func (d *doubt) widen(w witness) Change {
	if d.unknown() {
		return Nothing
	}
	now := d.hull.after(w.received - d.at)
	if now.intersects(w.interval) {
		return Nothing
	}
	d.hull, d.known, d.at = now.hull(w.interval), d.known.after(w.received-d.at), w.received
	return Contradicted
}

// agreed takes a primary's answer to a query sent since the doubt began, and gives answers that settle it: nil, there are not enough.
func (d *doubt) agreed(w witness) []witness {
	if w.interval.Most >= unbounded || w.sent < d.began {
		return nil
	}
	defer func() {
		if d.fresh = append(d.fresh, w); len(d.fresh) > freshMost {
			d.fresh = append(d.fresh[:1:1], d.fresh[2:]...) // what is assumed at a start stays, as the first
		}
	}()
	own := []witness{w}
	for i := len(d.fresh) - 1; i >= 0; i-- {
		o := d.fresh[i]
		if !independent(o, w) || !agree(append(own[:1:1], o), w.received) {
			continue
		}
		if o.host != w.host {
			return []witness{o, w}
		}
		if independent(o, own[len(own)-1]) && agree(append(own[:len(own):len(own)], o), w.received) {
			own = append(own, o)
		}
		if len(own) == repeating {
			return []witness{own[2], own[1], own[0]}
		}
	}
	return nil
}

func agree(all []witness, at time.Duration) bool {
	i := common(all, at)
	return i.Least <= i.Most
}

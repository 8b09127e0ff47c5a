package fleetclock

import "time"

const (
	// repeating is how many answers of a host that is the only one to answer have to agree to settle a doubt; of two hosts one each is
	// enough.
	repeating = 3
	// freshMost bounds the answers that are remembered while they do not agree.
	freshMost = 16
)

// doubt is an interval that was contradicted, or was never known.
type doubt struct {
	known Interval // as it was when the doubt began, widened since; empty where there was none
	hull  Interval // of what was known and what contradicts it
	at    time.Duration
	began time.Duration // answers to queries sent before say nothing new
	fresh []witness     // of the present, since; each independent of the others
}

// unknown says that no interval was known before.
func (d *doubt) unknown() bool { return d.began == -unbounded }

// widen takes in what an answer says against the hull.
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
	if w.interval.Max >= unbounded || w.sent < d.began {
		return nil
	}
	earlier := d.independentOf(w)
	if settled := settling(earlier, w); settled != nil {
		return settled
	}
	if len(earlier) == len(d.fresh) {
		d.keep(w)
	}
	return nil
}

// independentOf gives the answers kept that are independent of one more, the newest last.
func (d *doubt) independentOf(w witness) (out []witness) {
	for _, o := range d.fresh {
		if independent(o, w) {
			out = append(out, o)
		}
	}
	return out
}

// keep remembers an answer. What is assumed stays; of answers the oldest makes room.
func (d *doubt) keep(w witness) {
	d.fresh = append(d.fresh, w)
	if len(d.fresh) <= freshMost {
		return
	}
	oldest := 0
	if d.fresh[0].assumed {
		oldest = 1
	}
	d.fresh = append(d.fresh[:oldest:oldest], d.fresh[oldest+1:]...)
}

// settling gives an answer with an earlier one of another host that agrees with it, or with earlier ones of its own host; nil: there are
// not enough.
func settling(earlier []witness, w witness) []witness {
	own := []witness{w}
	for i := len(earlier) - 1; i >= 0; i-- {
		o := earlier[i]
		switch {
		case o.host != w.host && agree([]witness{o, w}, w.received):
			return []witness{o, w}
		case o.host == w.host && agree(append(own[:len(own):len(own)], o), w.received):
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
	return i.Min <= i.Max
}

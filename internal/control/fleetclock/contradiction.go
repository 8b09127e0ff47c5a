package fleetclock

import "time"

const (
	// minAnswersOfOneHost is how many answers of the same host have to agree to end a contradiction if no
	// other host answers. Of two hosts, one answer each is enough.
	minAnswersOfOneHost = 3
	// maxWitnesses is the maximum number of answers that are kept while they do not agree.
	maxWitnesses = 16
)

// contradiction is the state of an estimate whose interval was contradicted or was never known.
type contradiction struct {
	known Interval      // interval before the contradiction, widened by drift; zero if there was none
	hull  Interval      // smallest interval that includes known and all answers that contradict it
	at    time.Duration // local time for which known and hull hold
	// start is the local time of the first contradiction, or -unbounded if no interval was known before.
	// Answers to queries that were sent earlier are not counted.
	start     time.Duration
	witnesses []witness // primaries' answers to queries sent since start, each independent of the others
}

// unknown reports whether no interval was known before.
func (c *contradiction) unknown() bool { return c.start == -unbounded }

// widen extends the hull to include an answer that contradicts it.
func (c *contradiction) widen(w witness) Change {
	if c.unknown() {
		return Nothing
	}
	hull := c.hull.after(w.received - c.at)
	if hull.intersects(w.interval) {
		return Nothing
	}
	c.hull, c.known, c.at = hull.hull(w.interval), c.known.after(w.received-c.at), w.received
	return Contradicted
}

// agreement adds a primary's answer to a query that was sent since the contradiction began. It returns the
// answers that end the contradiction, or nil if there are not enough.
func (c *contradiction) agreement(w witness) []witness {
	if w.interval.Max >= unbounded || w.sent < c.start {
		return nil
	}
	earlier := c.independentOf(w)
	if agreed := agreeingWitnesses(earlier, w); agreed != nil {
		return agreed
	}
	if len(earlier) == len(c.witnesses) {
		c.add(w)
	}
	return nil
}

// independentOf returns the kept answers that are independent of w, the newest last.
func (c *contradiction) independentOf(w witness) (out []witness) {
	for _, o := range c.witnesses {
		if independent(o, w) {
			out = append(out, o)
		}
	}
	return out
}

// add stores an answer. If there are too many it drops the oldest one, but never the assumed witness.
func (c *contradiction) add(w witness) {
	c.witnesses = append(c.witnesses, w)
	if len(c.witnesses) <= maxWitnesses {
		return
	}
	oldest := 0
	if c.witnesses[0].assumed {
		oldest = 1
	}
	c.witnesses = append(c.witnesses[:oldest:oldest], c.witnesses[oldest+1:]...)
}

// agreeingWitnesses returns w together with an earlier answer of another host that agrees with it, or with
// enough earlier answers of the same host. It returns nil if there are not enough.
func agreeingWitnesses(earlier []witness, w witness) []witness {
	own := []witness{w}
	for i := len(earlier) - 1; i >= 0; i-- {
		o := earlier[i]
		switch {
		case o.host != w.host && agree([]witness{o, w}, w.received):
			return []witness{o, w}
		case o.host == w.host && agree(append(own[:len(own):len(own)], o), w.received):
			own = append(own, o)
		}
		if len(own) == minAnswersOfOneHost {
			return []witness{own[2], own[1], own[0]}
		}
	}
	return nil
}

func agree(all []witness, at time.Duration) bool {
	i := common(all, at)
	return i.Min <= i.Max
}

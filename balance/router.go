package balance

// The router: its state and Handle, the single entry point for events. The interface is declared in api.go;
// each kind of decision has a file of its own. The common path: writes, and a session's reads for a while
// after its writes, go to the primary. Other reads go to a weighted random choice among the replicas that
// are fresh enough, or else to the primary. Members that fail are ejected for a while. docs/design.md
// describes the rest.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	ms = time.Millisecond

	pinWindow        = 300 * ms // a session's reads go to the primary for this long after a write
	ejectionDuration = 5 * time.Second
	// queueInterval is the interval at which queued requests are tried again, also while they wait for a
	// position.
	queueInterval = 20 * ms
	clockReadWait = 150 * ms // how long reads wait for an answer that may bound the clock offset
	// retryDelay is the first delay before a primary that was full, or a missing primary, is tried again.
	retryDelay             = 50 * ms
	minSilence             = 100 * ms // a primary with attempts in flight that is silent for longer is probed
	limitCutInterval       = 100 * ms // minimum time between two reductions of a limit
	probeInterval          = 500 * ms // minimum time between probes of an ejected member
	probeIntervalPerRouter = 10 * ms  // the same per router of the fleet, where that is longer
	// refusedRetryAfter is the retryAfter of refused requests: an earlier retry adds load and gains little.
	refusedRetryAfter = time.Second
	coldRetryDelay    = 2 * time.Second // average delay before a cold primary is tried again
	// Of the requests that a cold primary refused, one in coldRetryFactor may be retried there.
	coldRetryFactor = 4
	forgetAfter     = time.Minute // a removed member is dropped after this time
	slack           = ms          // positions are whole milliseconds; in doubt data counts as stale

	// sendDelaySlack is the part of the protocol's 50 ms of slack that a process stalled before a send may
	// use; the rest is for the clock offset (fleetclock.AgeSlack). The margin that is kept free for such a
	// stall is at most the bound divided by sendDelayDivisor, as otherwise short bounds would leave no
	// replica to read from. A log whose lag is at most the bound divided by lagDivisor keeps up; reports are
	// up to 0.2 s old, so that a log may seem to lag by as much.
	sendDelaySlack, sendDelayDivisor, lagDivisor = 5 * ms, 3, 2

	maxForgotten     = 10000 // maximum number of removed members remembered as having stated a role
	maxSessions      = 20000 // maximum number of sessions whose last write is remembered
	fallbackFraction = 0.6   // fraction of the primary's limit that may be filled by reads that a replica could serve
	coldFactorMargin = 0.6   // fraction of the overload factor that may be used; the rest is for retries
	// coldFactorSpare is the fraction of the overload factor above 1 that may be used, as the member may be
	// warmer than its minimum; the rest is for bursts.
	coldFactorSpare = 0.2
	// Up to this many routers, whose own limits contain bursts, may use all of the factor above 1.
	coldSpareRouters = 60.0
	minWeight        = 1e-9 // replaces a weight of 0, so that equal zero weights can still be drawn from
	latencyWindow    = 16.0 // number of answers that the smoothed answer time averages over
	estimateWindow   = 64   // number of answers after which the initial estimate weighs less than 2 %
	// badWindow is the number of attempts that the fraction of bad ends averages over. After maxFailures
	// errors in a row, a good probe does not end an ejection.
	badWindow, maxFailures = 10.0, 3

	// fleetLimitFactor limits the attempts of the whole fleet at a group's primary, and at its replicas, to
	// the sum of about this many routers' limits.
	fleetLimitFactor = 2.0
	// initialLimit is the limit of attempts in flight at a new member; minLimit is kept however slow all
	// answers are.
	initialLimit, minLimit = 8, 4
	// As fractions of the latency target: above highLatencyRatio the limit is reduced, below lowLatencyRatio
	// it may grow.
	highLatencyRatio, lowLatencyRatio = 0.35, 0.25
	// quotaWindow is the number of requests over which tenants are compared; above overQuotaMargin times its
	// quota a tenant is over its quota.
	quotaWindow, overQuotaMargin = 100.0, 1.2
	// Load shedding of reads starts at the fraction shedThreshold of bad attempts, grows by shedSlope
	// and sheds maxShedFraction at most.
	shedThreshold, shedSlope, maxShedFraction = 0.1, 2.0, 0.9

	tagQueue, tagWatch, firstSeq = 0, 1, 2 // timer tags; tags from firstSeq on are sequence numbers of requests
)

// class is a class of requests as one cell experiences it.
type class struct {
	Class
	latency time.Duration // smoothed answer time, starting from an estimate
	samples int           // number of answers in the average, up to estimateWindow
}

// primaryOnly reports whether only the primary may serve requests of the class.
func (c *class) primaryOnly() bool { return c.Need == Write || c.Need == Latest }

// tenant is a tenant with a quota.
type tenant struct {
	// quota is in requests per second; usage is the tenant's fraction of this router's recent requests.
	quota, usage float64
}

// group is a group of members, of which one is the primary.
type group struct {
	id      int
	members []*member
	// The member with the newest statement that it is the primary, unless later evidence contradicts it.
	primary                 *member
	forgottenPrimaryAt      time.Duration // time of the newest such statement of members that were forgotten
	newestPosition          time.Duration // highest known position of any member
	queued                  []*request
	searcher                *request // the one write that is sent to members in turn while the primary is unknown
	searchAfter, searchedAt time.Duration
	// lostAt is when requests found no primary, foundAt when they found one again, outage the time between.
	lostAt, foundAt, outage time.Duration
	nextSearched            int  // index of the member that is asked next for the primary
	waiting                 bool // the group is checked when the queue timer expires, as requests are queued
}

// request is an open request, or an ended one with an attempt still in flight.
type request struct {
	Request
	seq                      int64
	class                    *class
	cell                     *cell
	group                    *group
	lastWrite                time.Duration // position of the session's last write; 0 if there is none
	attempts                 int
	member                   *member // the member that the attempt in flight was sent to; nil if none is in flight
	arrived, sentAt          time.Duration
	timeout                  time.Duration // timeout of that attempt; 0 means the client's deadline
	possiblyExecutedAt       time.Duration // send time of the first attempt that was possibly executed
	tried, failed            []*member     // members that it was sent to; members that answered with an error
	queued, cancelSent, done bool
	worth                    float64
	// Drawn once on arrival: the request is shed if it is below the fraction to shed.
	shedDraw float64
	// Drawn once, above 0, when a cold member is first considered; 0 if not drawn yet.
	coldDraw  float64
	notBefore time.Duration // the request is not sent to the primary before this time
	// The deadline is not the one with which the request arrived; timers of earlier deadlines may still run.
	deadlineChanged bool
}

// Router decides where the requests of one gateway go. It is not safe for concurrent use.
type Router struct {
	settings           Settings
	rng                *rand.Rand
	now, queueTimerDue time.Duration
	cellList           Cells
	cells              map[int]*cell      // cell 0 is for requests without a cell
	primarySharers     sharers            // the cells that share a primary
	replicaSharers     map[string]sharers // the cells that share a replica, by server
	clock              ClockBounds
	// Request whose answer may bound the clock offset while nothing else does; nil if none is in flight.
	clockRead               *request
	minBound                time.Duration // smallest bound of the bounded classes: the interval of position probes
	members                 map[string]*member
	forgotten               map[string]bool // removed members that had stated a role
	forgottenLost           bool            // more members were removed than are remembered
	groups                  map[int]*group
	waiting                 []*group
	requests                map[string]*request
	requestsBySeq           map[int64]*request
	tenants                 map[string]*tenant
	nextSeq                 int64
	totalQuota, tenantUsage float64   // sum of all quotas; fraction of recent requests that came from tenants
	candidates              []*member // candidates of the last draw
	weights                 []float64
	sessionWrites           map[string]time.Duration // last known write of each session, with remembered tokens
	// newestWrite is the latest of those writes; no forgotten write is later than writeFloor.
	newestWrite, writeFloor time.Duration
	queueTimerSet, watching bool // the timer of the queue is running; the list is being watched
	actions                 []Action
	changes                 []PrimaryChange // not yet returned by PrimaryChanges
}

// New returns a router with the given settings. The error is that of Settings.Checked.
func New(s Settings, seed uint64) (*Router, error) {
	s, err := s.Checked()
	if err != nil {
		return nil, err
	}
	r := &Router{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), members: map[string]*member{}, forgotten: map[string]bool{},
		groups: map[int]*group{}, requests: map[string]*request{}, requestsBySeq: map[int64]*request{}, nextSeq: firstSeq,
		sessionWrites: map[string]time.Duration{}, clock: ClockBounds{Known: true}}
	r.applySettings(s)
	return r, nil
}

// applySettings applies settings. Open requests keep the class that they arrived with.
func (r *Router) applySettings(s Settings) {
	// The writes of sessions were not remembered until now.
	if r.settings.TokensCarried && !s.TokensCarried {
		r.writeFloor = max(r.writeFloor, r.latestPosition(r.now))
	}
	r.settings, r.minBound, r.tenants, r.totalQuota = s, 0, map[string]*tenant{}, 0
	for _, c := range s.Classes {
		if c.bounded() && (r.minBound == 0 || c.Bound < r.minBound) {
			r.minBound = c.Bound
		}
	}
	for _, t := range s.Tenants {
		if t.PerSec > 0 {
			r.tenants[t.Name] = &tenant{quota: t.PerSec}
			r.totalQuota += t.PerSec
		}
	}
	r.minBound, r.writeFloor = cmp.Or(r.minBound, pinWindow), max(r.writeFloor, s.Floor)
	r.forgottenLost = r.forgottenLost || s.Restarted
	r.onCells(r.cellList)
}

// Handle processes one event and appends the resulting actions to acts.
func (r *Router) Handle(now time.Duration, ev Event, acts []Action) []Action {
	r.now, r.actions = now, acts
	if r.queueTimerSet && now > r.queueTimerDue+minSilence {
		// This router was stalled, so that silence and slow answers are not the members' fault.
		for _, m := range r.members {
			m.silentSince, m.limitCutAt = now, now
		}
		r.queueTimerDue = now
	}
	switch e := ev.(type) {
	case Members:
		r.onMembers(e)
	case ListUnavailable:
		r.emit(StartTimer{time.Second + time.Duration(r.rng.Int64N(int64(time.Second))), tagWatch})
	case Cells:
		r.onCells(e)
	case SettingsUpdate:
		r.applySettings(e.Settings)
	case Request:
		r.onRequest(e)
	case Outcome:
		r.onOutcome(e)
	case ProbeResult:
		r.onProbe(e)
	case RemoteOutcome:
		r.onRemoteOutcome(e)
	case ClockBounds:
		r.onClockBounds(e)
	case ClockReplaced:
		r.onClockReplaced()
	case PriorEvidence:
		r.onPriorEvidence(e)
	case Timer:
		r.onTimer(e.Tag)
	case RequestCanceled:
		if q := r.requests[e.ID]; q != nil {
			r.finish(q)
		}
	case Shutdown:
		for _, q := range r.requestsBySeq {
			q.Deadline = min(q.Deadline, e.By)
			r.emit(StartTimer{max(q.Deadline-r.now, 1), q.seq})
		}
	case DeadlineChanged:
		if q := r.requests[e.ID]; q != nil && !q.done {
			q.Deadline, q.deadlineChanged = e.Deadline, true
			r.emit(StartTimer{max(q.Deadline-r.now, 1), q.seq})
		}
	}
	acts, r.actions = r.actions, nil
	return acts
}

// emit adds an action to those that Handle returns.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// group returns the group with number n, which it creates if needed.
func (r *Router) group(n int) *group {
	if r.groups[n] == nil {
		r.groups[n] = &group{id: n}
	}
	return r.groups[n]
}

// onTimer handles the queue timer, the timer of the watch, and the deadlines of requests.
func (r *Router) onTimer(tag int64) {
	switch q := r.requestsBySeq[tag]; {
	case tag == tagWatch:
		r.emit(Watch{})
	case q != nil && q.deadlineChanged && r.now < q.Deadline: // the timer of an earlier deadline
	case q != nil:
		r.giveUp(q, Overdue)
	case tag == tagQueue:
		r.queueTimerSet = false
		r.waiting = slices.DeleteFunc(r.waiting, func(g *group) bool {
			r.probeForPrimary(g)
			r.sendQueued(g)
			g.waiting = len(g.queued) > 0 || g.primary != nil && len(g.primary.inFlight) > 0
			return !g.waiting
		})
		r.scheduleQueue(nil)
	}
}

// jitter returns a random duration between half of d and 1.5 times d.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

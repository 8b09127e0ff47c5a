package balance

// The router: its state, and the one entry point through which events come in. The interface is in api.go; each kind of
// decision has a file of its own. The ordinary path: writes, and for a while a session's reads, to the primary; other reads to a
// weighted random choice among the replicas inside the bound, else the primary; what errs is set aside. docs/design.md has the rest.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	ms = time.Millisecond

	pinWindow         = 300 * ms // session reads stay on the primary this long after a write
	blacklistFor      = 5 * time.Second
	beat              = 20 * ms         // pace of what waits, also for a position that was asked for
	clockReadFor      = 150 * ms        // reads wait for an answer that may bound the clock
	retryPause        = 50 * ms         // before a primary that was full, or none, is asked for again
	silentFloor       = 100 * ms        // a primary with work out and silent for longer is probed
	cutPause          = 100 * ms        // between two cuts of a limit
	downProbe         = 500 * ms        // between probes of a blacklisted member
	probeShare        = 10 * ms         // the same for each router, where that is more
	refusedRetryAfter = time.Second     // of who is refused: sooner it only adds to the load, and gains little
	coldPause         = 2 * time.Second // about until a cold primary is asked again
	coldRetryFactor   = 4               // of what it turned away, one part in so many may ask again
	forgetAfter       = time.Minute     // a member that left
	slack             = ms              // positions are whole milliseconds: doubt counts as stale

	// holdUpSlack is the part of the protocol's 50 ms of slack that a process held up before a send may use; the rest is for the
	// clock (fleetclock.AgeSlack). At most one part in holdUpPart of a bound is kept free for that: short bounds would leave no
	// replica to read from. A log that was behind by one part in keepsUpPart of the bound at most keeps up; reports are up to 0.2 s
	// old, and a log seems so much behind.
	holdUpSlack, holdUpPart, keepsUpPart = 5 * ms, 3, 2

	forgottenMost        = 10000   // members that left, remembered as having told a role
	sessionLimit         = 20000   // remembered writes
	fallbackPart         = 0.6     // of the primary's limit that reads a replica could serve may fill
	coldMargin           = 0.6     // of the overload factor may be used, the rest is for retries
	coldSpare            = 0.2     // of what it has beyond 1, in case the member is warmer than it has to be; the rest is for bursts
	coldSpareRouters     = 60.0    // few routers' own limits hold bursts back: so many use all of that
	leastWeight          = 1e-9    // weights of nothing, all alike, still make a draw
	tookMemory           = 16.0    // answers
	guessFades           = 64      // answers, after which a first guess weighs less than 2 in 100
	badMemory, failsMost = 10.0, 3 // attempts; errors in a row, which a good probe does not end

	fewRouters                 = 2.0           // whose limits together a group bears
	firstLimit, leastLimit     = 8, 4          // attempts out at a new member; kept however slow all are
	highShare, lowShare        = 0.35, 0.25    // of the aim: slower answers, fewer attempts out
	shareMemory, overMargin    = 100.0, 1.2    // requests tenants are compared by; above that is over
	badFrom, badSlope, badMost = 0.1, 2.0, 0.9 // bad attempts: reads are shed from there, how steeply, at most

	tagBeat, tagWatch, firstSeq = 0, 1, 2 // timer tags; those above are request numbers
)

type class struct {
	Class
	took    time.Duration // smoothed time of an answer, from a guess on
	answers int           // that it was smoothed over, up to guessFades
}

// primaryOnly says that only a primary may serve it.
func (c *class) primaryOnly() bool { return c.Need == Write || c.Need == Latest }

type tenant struct {
	share, used float64 // requests a second; of this router's lately, as a part
}

type group struct {
	id                      int
	members                 []*member
	primary                 *member       // who said so last, if nothing later speaks against it
	ledBefore               time.Duration // newest such word of members that are forgotten
	newest                  time.Duration // position of any member
	queued                  []*request
	searcher                *request // the one write that looks for the primary while there is none
	searchAfter, searchedAt time.Duration
	lostAt, foundAt, outage time.Duration // of the primary, as requests met it
	next                    int           // member whose turn it is to be asked for the primary
	waiting                 bool          // requests are queued: looked at with each beat
}

type request struct {
	Request
	seq                     int64
	cls                     *class
	cell                    *cell
	group                   *group
	wrote                   time.Duration // the session's last write; 0: none
	attempts                int
	at                      *member // where the attempt out is; nil: none out
	arrived, sentAt         time.Duration
	limit                   time.Duration // that attempt's time-out, 0: the client's
	ranAt                   time.Duration // when the first attempt was sent that may have run
	tried, failed           []*member     // sent to; answered with an error
	queued, withdrawn, done bool
	worth                   float64
	shedDraw                float64       // drawn once, as it comes: below the part that is shed, it is
	coldDraw                float64       // drawn once, above 0, when a cold member is first in question; 0: not yet
	notBefore               time.Duration // it does not ask the primary again before this
}

// Router decides for one instance. It is not safe for concurrent use.
type Router struct {
	s                  Settings
	rng                *rand.Rand
	now, beatDue       time.Duration
	listed             Cells
	cells              map[int]*cell      // the one for requests of none is cell 0
	all                sharers            // of a primary
	shared             map[string]sharers // of a replica
	clock              ClockBounds
	clockRead          *request      // whose answer may bound the clock, where nothing does; nil: none is out
	bound              time.Duration // the least bound of a bounded class: the pace of position probes
	members            map[string]*member
	forgotten          map[string]bool // members that left, of which a role had been told
	forgotSome         bool            // more of them than are remembered
	groups             map[int]*group
	waiting            []*group
	reqs               map[string]*request
	seqs               map[int64]*request
	tenants            map[string]*tenant
	seq                int64
	quota, asked       float64   // all shares; requests of tenants lately, as a part of the memory
	usable             []*member // of the last draw
	weights            []float64
	sessions           map[string]time.Duration // last write known of each session, with remembered tokens
	newest, floor      time.Duration            // of those writes; none forgotten is later than the floor
	beating, watchSent bool                     // a beat is asked for; the list is watched
	acts               []Action
	changes            []PrimaryChange // not asked for yet
}

// New makes a router; the error names the setting that makes no sense.
func New(s Settings, seed uint64) (*Router, error) {
	s, err := s.Checked()
	if err != nil {
		return nil, err
	}
	r := &Router{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), members: map[string]*member{}, forgotten: map[string]bool{},
		groups: map[int]*group{}, reqs: map[string]*request{}, seqs: map[int64]*request{}, seq: firstSeq,
		sessions: map[string]time.Duration{}, clock: ClockBounds{Known: true}}
	r.take(s)
	return r, nil
}

// take puts settings in force. What is under way keeps the class that it came with.
func (r *Router) take(s Settings) {
	if r.s.TokensCarried && !s.TokensCarried { // what sessions wrote until now was not remembered
		r.floor = max(r.floor, r.latestPosition(r.now))
	}
	r.s, r.bound, r.tenants, r.quota = s, 0, map[string]*tenant{}, 0
	for _, c := range s.Classes {
		if c.bounded() && (r.bound == 0 || c.Bound < r.bound) {
			r.bound = c.Bound
		}
	}
	for _, t := range s.Tenants {
		if t.PerSec > 0 {
			r.tenants[t.Name] = &tenant{share: t.PerSec}
			r.quota += t.PerSec
		}
	}
	r.bound, r.floor = cmp.Or(r.bound, pinWindow), max(r.floor, s.Floor)
	r.forgotSome = r.forgotSome || s.Restarted
	r.onCells(r.listed)
}

// Handle takes one event and appends what to do about it to acts.
func (r *Router) Handle(now time.Duration, ev Event, acts []Action) []Action {
	r.now, r.acts = now, acts
	if r.beating && now > r.beatDue+silentFloor {
		for _, m := range r.members { // this router stood still: what seems silent or slow is nobody's fault
			m.silentSince, m.cutAt = now, now
		}
		r.beatDue = now
	}
	switch e := ev.(type) {
	case Members:
		r.onMembers(e)
	case ListUnavailable:
		r.do(StartTimer{time.Second + time.Duration(r.rng.Int64N(int64(time.Second))), tagWatch})
	case Cells:
		r.onCells(e)
	case SettingsUpdate:
		r.take(e.Settings)
	case Request:
		r.onRequest(e)
	case Outcome:
		r.onOutcome(e)
	case ProbeResult:
		r.onProbe(e)
	case RemoteOutcome:
		r.onHeard(e)
	case ClockBounds:
		r.onClockBounds(e)
	case ClockReplaced:
		r.onClockReplaced()
	case PriorEvidence:
		r.onInherited(e)
	case Timer:
		r.onTimer(e.Tag)
	case RequestCanceled:
		if q := r.reqs[e.ID]; q != nil {
			r.end(q)
		}
	case Shutdown:
		for _, q := range r.seqs {
			q.Deadline = min(q.Deadline, e.By)
			r.do(StartTimer{max(q.Deadline-r.now, 1), q.seq})
		}
	}
	acts, r.acts = r.acts, nil
	return acts
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

func (r *Router) group(n int) *group {
	if r.groups[n] == nil {
		r.groups[n] = &group{id: n}
	}
	return r.groups[n]
}

func (r *Router) onTimer(tag int64) {
	switch q := r.seqs[tag]; {
	case tag == tagWatch:
		r.do(Watch{})
	case q != nil:
		r.giveUp(q, Overdue)
	case tag == tagBeat:
		r.beating = false
		r.waiting = slices.DeleteFunc(r.waiting, func(g *group) bool {
			r.probeForPrimary(g)
			r.release(g)
			g.waiting = len(g.queued) > 0 || g.primary != nil && len(g.primary.out) > 0
			return !g.waiting
		})
		r.wake(nil)
	}
}

func (r *Router) jitter(d time.Duration) time.Duration { // half to one and a half of it
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

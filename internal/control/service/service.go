// Package service says what a gateway's process owes whom: whether it says yes to the front, keeps its clients' connections,
// passes them on to the process that follows it, and when it ends. One machine takes every word on that (the start, a drain
// and its end, SIGTERM, an heir), so that no two parts can believe different things. It does no I/O and has no clock: now and
// events in, a View out.
//
//	          Ready           Drain             Terminate
//	Starting -------> Serving <-----> Draining -----------> Ending
//	                            Resume          (from any)
//
// An heir is a second process of the same gateway, started to follow this one. It comes, is ready or is lost in any phase;
// from when it is ready it gets the clients, and this process keeps only what it has taken. To the heir this process is its
// elder.
package service

import (
	"errors"
	"fmt"
	"time"
)

// Phase is what the process is at.
type Phase int

const (
	Starting Phase = iota // not ready yet: the front has to wait
	Serving
	Draining // staff sent the clients away; it may be taken back
	Ending   // SIGTERM came; nothing takes that back
)

var phases = [...]string{"starting", "serving", "draining", "ending"}

func (p Phase) String() string { return phases[p] }

// Heir is how far the process that follows this one is.
type Heir int

const (
	None Heir = iota
	Came      // it runs and shares the limits
	Took      // it is ready and takes the clients
)

var heirs = [...]string{"none", "came", "took"}

func (h Heir) String() string { return heirs[h] }

// Event is what happens to the process.
type Event int

const (
	Ready     Event = iota // it knows enough to serve
	Drain                  // staff send the clients away
	Resume                 // and take them back
	Terminate              // SIGTERM
	HeirCame
	HeirReady
	HeirLost   // it died, or never became ready
	ElderFound // this process is to follow another
	ElderGone  // which has ended
)

var events = [...]string{"ready", "drain", "resume", "terminate", "heir came", "heir ready", "heir lost", "elder found", "elder gone"}

func (e Event) String() string { return events[e] }

// Times are the platform's, as durations from the event that they count from. All are above 0.
type Times struct {
	// FrontAway is how long after a no the front still opens connections: 0.2 s, and the tenth between two questions.
	FrontAway time.Duration
	// LastAnswer is how long after SIGTERM the last answer is due, Shed (before it) when connections are ended between
	// requests, End (after it) when the process must have ended.
	Shed, LastAnswer, End time.Duration
	// Accept is how long after SIGTERM, at the least, new connections are taken: for 0.2 to 0.4 s they keep coming.
	Accept time.Duration
	// Linger is how long a process whose heir took the clients stays, for the heir's death, before it ends by itself. The
	// platform's SIGTERM comes within 6 s.
	Linger time.Duration
}

// View is what holds from now on.
type View struct {
	Phase  Phase
	Heir   Heir
	Yes    bool          // the front's question is answered with yes, and staff's too
	Accept bool          // new connections are taken
	Shed   bool          // connections are ended as soon as they are between requests
	Pass   bool          // to the heir, in place of ending them
	Shared bool          // two processes have the limits of one
	Last   time.Duration // when the last answer is due; 0: no such time
	Idle   bool          // nothing more is to come: the process ends once it has answered all that it took
	Over   bool          // the process ends, whatever it holds
	Next   time.Duration // when the view changes by itself; 0: it does not
}

// ErrEnding says that a process that ends can't be taken back into service.
var ErrEnding = errors.New("the process is ending")

// State is one process. It is not safe for concurrent use.
type State struct {
	times Times
	next  Times // of the newest settings, in force alone from settleAt on
	// settleAt is 0 where the newest times are in force alone.
	settleAt time.Duration
	phase    Phase
	ready    bool // it was, once
	heir     Heir
	elder    bool
	since    time.Duration // of the drain
	endAt    time.Duration // when SIGTERM came
	tookAt   time.Duration // when the heir took the clients
	drained  bool          // SIGTERM found it draining
}

// New makes the state of a process that starts.
func New(t Times) *State { return &State{times: t} }

// Retime changes the platform's times to those of new settings, which bind from a time on. Until then SIGKILL may come by the old or the new
// ones, so that the earlier hold; and so for good where SIGTERM comes by then.
func (s *State) Retime(now time.Duration, t Times, binds time.Duration) {
	s.settle(now)
	s.times = s.times.earlier(t)
	s.next, s.settleAt = t, binds
}

// settle puts the newest times in force alone, if their time has come.
func (s *State) settle(now time.Duration) {
	if s.phase != Ending && s.settleAt > 0 && now >= s.settleAt {
		s.times, s.settleAt = s.next, 0
	}
}

// earlier gives times by which everything that the end asks for is done by either.
func (t Times) earlier(o Times) Times {
	o.Shed, o.LastAnswer, o.End = min(t.Shed, o.Shed), min(t.LastAnswer, o.LastAnswer), min(t.End, o.End)
	return o
}

// Handle takes an event. An event that changes nothing is no error; one that can't be followed is.
func (s *State) Handle(now time.Duration, e Event) error {
	s.settle(now)
	switch e {
	case Ready:
		if s.ready = true; s.phase == Starting {
			s.phase = Serving
		}
	case Drain:
		// A process that starts is told to drain before it was ever ready: it must not say yes then.
		if s.phase == Starting || s.phase == Serving {
			s.phase, s.since = Draining, now
		}
	case Resume:
		switch s.phase {
		case Ending:
			return ErrEnding
		case Draining:
			if s.phase = Serving; !s.ready {
				s.phase = Starting
			}
		}
	case Terminate:
		if s.phase != Ending {
			s.drained = s.phase == Draining
			s.phase, s.endAt = Ending, now
		}
	case HeirCame:
		if s.heir == None {
			s.heir = Came
		}
	case HeirReady:
		if s.heir != Took {
			s.heir, s.tookAt = Took, now
		}
	case HeirLost:
		s.heir = None
	case ElderFound:
		s.elder = true
	case ElderGone:
		s.elder = false
	default:
		return fmt.Errorf("service: unknown event %d", e)
	}
	return nil
}

// View says what holds at a time.
func (s *State) View(now time.Duration) View {
	// Before it is ready a process takes clients who then wait for it, but not while its elder serves them.
	v := View{Phase: s.phase, Heir: s.heir, Yes: s.phase == Serving, Accept: s.ready || !s.elder, Shared: s.heir != None || s.elder}
	next := func(at time.Duration) bool { // says whether the time has come, and notes it as the next otherwise
		if now >= at {
			return true
		}
		if v.Next == 0 || at < v.Next {
			v.Next = at
		}
		return false
	}
	switch s.phase {
	case Draining:
		// Before the front has noticed, those sent away would only come back.
		v.Shed = next(s.since + s.times.FrontAway)
	case Ending:
		// Without an heir nobody takes this gateway's place so soon: clients are served as before, on the connections that
		// they have, and the front's question as well.
		v.Yes = s.ready && !s.drained
		v.Last = s.endAt + s.times.LastAnswer
		shed := next(s.endAt + s.times.Shed)
		v.Shed = shed || s.drained && next(s.since+s.times.FrontAway)
		v.Accept = !shed || !next(s.endAt+s.times.Accept)
		v.Idle = !v.Accept
		v.Over = next(s.endAt + s.times.End)
	}
	if s.heir == Took {
		v.Accept, v.Shed, v.Pass = false, true, true
		v.Idle = s.phase == Ending
		if s.phase != Ending && next(s.tookAt+s.times.Linger) {
			v.Idle = true
		}
	}
	return v
}

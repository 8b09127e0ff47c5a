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
	Draining     // staff sent the clients away; it may be taken back
	ShuttingDown // SIGTERM came; nothing takes that back
)

var phases = [...]string{"starting", "serving", "draining", "ending"}

func (p Phase) String() string { return phases[p] }

// Heir is how far the process that follows this one is.
type Heir int

const (
	NoNewProcess Heir = iota
	Came              // it runs and shares the limits
	Took              // it is ready and takes the clients
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
	NewProcessConnected
	NewProcessReady
	NewProcessLost   // it died, or never became ready
	OldProcessFound  // this process is to follow another
	OldProcessExited // which has ended
)

var events = [...]string{"ready", "drain", "resume", "terminate", "heir came", "heir ready", "heir lost", "elder found", "elder gone"}

func (e Event) String() string { return events[e] }

// Times are the platform's, as durations from the event that they count from. All are above 0.
type Times struct {
	// LoadBalancerDelay is how long after a no the front still opens connections: 0.2 s, and the tenth between two questions.
	LoadBalancerDelay time.Duration
	// AnswersDue is how long after SIGTERM the last answer is due, Shed (before it) when connections are ended between
	// requests, End (after it) when the process must have ended.
	CloseConnections, AnswersDue, Exit time.Duration
	// Accept is how long after SIGTERM, at the least, new connections are taken: for 0.2 to 0.4 s they keep coming.
	Accept time.Duration
	// Linger is how long a process whose heir took the clients stays, for the heir's death, before it ends by itself. The
	// platform's SIGTERM comes within 6 s.
	Linger time.Duration
}

// View is what holds from now on.
type View struct {
	Phase            Phase
	NewProcess       Heir
	Ready            bool          // the front's question is answered with yes, and staff's too
	Accept           bool          // new connections are taken
	CloseConnections bool          // connections are ended as soon as they are between requests
	HandOver         bool          // to the heir, in place of ending them
	LimitsShared     bool          // two processes have the limits of one
	AnswersDue       time.Duration // when the last answer is due; 0: no such time
	ExitWhenIdle     bool          // nothing more is to come: the process ends once it has answered all that it took
	ExitNow          bool          // the process ends, whatever it holds
	NextChange       time.Duration // when the view changes by itself; 0: it does not
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

// SetTimes changes the platform's times to those of new settings, which bind from a time on. Until then SIGKILL may come by the old or the new
// ones, so that the earlier hold; and so for good where SIGTERM comes by then.
func (s *State) SetTimes(now time.Duration, t Times, binds time.Duration) {
	s.settle(now)
	s.times = s.times.earlier(t)
	s.next, s.settleAt = t, binds
}

// settle puts the newest times in force alone, if their time has come.
func (s *State) settle(now time.Duration) {
	if s.phase != ShuttingDown && s.settleAt > 0 && now >= s.settleAt {
		s.times, s.settleAt = s.next, 0
	}
}

// earlier gives times by which everything that the end asks for is done by either.
func (t Times) earlier(o Times) Times {
	o.CloseConnections, o.AnswersDue, o.Exit = min(t.CloseConnections, o.CloseConnections), min(t.AnswersDue, o.AnswersDue), min(t.Exit, o.Exit)
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
		case ShuttingDown:
			return ErrEnding
		case Draining:
			if s.phase = Serving; !s.ready {
				s.phase = Starting
			}
		}
	case Terminate:
		if s.phase != ShuttingDown {
			s.drained = s.phase == Draining
			s.phase, s.endAt = ShuttingDown, now
		}
	case NewProcessConnected:
		if s.heir == NoNewProcess {
			s.heir = Came
		}
	case NewProcessReady:
		if s.heir != Took {
			s.heir, s.tookAt = Took, now
		}
	case NewProcessLost:
		s.heir = NoNewProcess
	case OldProcessFound:
		s.elder = true
	case OldProcessExited:
		s.elder = false
	default:
		return fmt.Errorf("service: unknown event %d", e)
	}
	return nil
}

// View says what holds at a time.
func (s *State) View(now time.Duration) View {
	// Before it is ready a process takes clients who then wait for it, but not while its elder serves them.
	v := View{Phase: s.phase, NewProcess: s.heir, Ready: s.phase == Serving, Accept: s.ready || !s.elder, LimitsShared: s.heir != NoNewProcess || s.elder}
	next := func(at time.Duration) bool { // says whether the time has come, and notes it as the next otherwise
		if now >= at {
			return true
		}
		if v.NextChange == 0 || at < v.NextChange {
			v.NextChange = at
		}
		return false
	}
	switch s.phase {
	case Draining:
		// Before the front has noticed, those sent away would only come back.
		v.CloseConnections = next(s.since + s.times.LoadBalancerDelay)
	case ShuttingDown:
		// Without an heir nobody takes this gateway's place so soon: clients are served as before, on the connections that
		// they have, and the front's question as well.
		v.Ready = s.ready && !s.drained
		v.AnswersDue = s.endAt + s.times.AnswersDue
		shed := next(s.endAt + s.times.CloseConnections)
		v.CloseConnections = shed || s.drained && next(s.since+s.times.LoadBalancerDelay)
		v.Accept = !shed || !next(s.endAt+s.times.Accept)
		v.ExitWhenIdle = !v.Accept
		v.ExitNow = next(s.endAt + s.times.Exit)
	}
	if s.heir == Took {
		v.Accept, v.CloseConnections, v.HandOver = false, true, true
		v.ExitWhenIdle = s.phase == ShuttingDown
		if s.phase != ShuttingDown && next(s.tookAt+s.times.Linger) {
			v.ExitWhenIdle = true
		}
	}
	return v
}

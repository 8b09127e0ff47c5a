// Package service is the state machine for the lifecycle of a gateway process. It decides whether the process
// reports ready to the load balancer in front of it, whether it keeps the connections of its clients, closes
// them or passes them to a new process, and when it exits. All events that affect these (start, drain and resume, SIGTERM, hot restart)
// are handled here, so that all parts of the process act on the same state. The package does no I/O and does
// not read a clock: its inputs are events and the time, its output is a View.
//
//	          Ready           Drain             Terminate
//	Starting -------> Serving <-----> Draining -----------> ShuttingDown
//	                            Resume          (from any)
//
// In a hot restart, a new process of the same gateway is started to replace this one, the old process. The
// new process may connect, become ready or be lost in any phase. Once it is ready it takes over the clients,
// and the old process only completes the requests that it has accepted.
package service

import (
	"errors"
	"fmt"
	"time"
)

// Phase is the phase of the lifecycle of the process.
type Phase int

const (
	Starting Phase = iota // not ready yet
	Serving
	Draining     // an operator drains the gateway; Resume ends the drain
	ShuttingDown // SIGTERM was received; the shutdown cannot be undone
)

var phases = [...]string{"starting", "serving", "draining", "ending"}

func (p Phase) String() string { return phases[p] }

// NewProcess is the state of the new process of a hot restart.
type NewProcess int

const (
	NoNewProcess NewProcess = iota
	Connected               // the new process runs and shares the limits with this one
	TookOver                // the new process is ready and takes over the clients
)

var newProcessStates = [...]string{"none", "came", "took"}

func (p NewProcess) String() string { return newProcessStates[p] }

// Event is an event in the lifecycle of the process.
type Event int

const (
	Ready     Event = iota // the process has the state that it needs to serve
	Drain                  // an operator starts a drain
	Resume                 // an operator ends the drain
	Terminate              // SIGTERM
	NewProcessConnected
	NewProcessReady
	NewProcessLost   // the new process died or did not become ready
	OldProcessFound  // this process is the new process of a hot restart
	OldProcessExited // the old process has exited
)

var events = [...]string{"ready", "drain", "resume", "terminate", "heir came", "heir ready", "heir lost", "elder found", "elder gone"}

func (e Event) String() string { return events[e] }

// Times are the time limits that the platform sets, as durations since the event that each refers to. All are
// above 0.
type Times struct {
	// LoadBalancerDelay is how long after the process stops reporting ready the load balancer still opens
	// connections to it: 0.2 s, plus the tenth of a second between two of its readiness probes.
	LoadBalancerDelay time.Duration
	// CloseConnections, AnswersDue and Exit are durations since SIGTERM, in this order: when to close connections between
	// requests, when the last answer is due, and when the process must have exited.
	CloseConnections, AnswersDue, Exit time.Duration
	// Accept is the minimum time after SIGTERM for which new connections are accepted. Clients keep connecting
	// for 0.2 to 0.4 s.
	Accept time.Duration
	// LateAnswers is how long the process stays past Exit for answers that have not begun: a stall may have delayed both.
	LateAnswers time.Duration
	// Linger is how long the old process stays after the new process has taken over the clients, in case the
	// new process dies, before it exits without SIGTERM. The platform sends SIGTERM within 6 s.
	Linger time.Duration
}

// View is the behavior that the state of the process requires from now on.
type View struct {
	Phase            Phase
	NewProcess       NewProcess
	Ready            bool          // the process answers readiness probes and operators with ready
	Accept           bool          // new connections are accepted
	CloseConnections bool          // connections are closed as soon as they are between requests
	HandOver         bool          // connections are passed to the new process instead of being closed
	LimitsShared     bool          // two processes share the limits of one gateway
	AnswersDue       time.Duration // when the last answer is due, or 0 if there is no deadline
	ExitWhenIdle     bool          // no new requests are expected: the process exits once it has answered all that it accepted
	ExitNow          bool          // the process exits now, unless an answer is on its way: Exit decides
	NextChange       time.Duration // when the view changes without an event, or 0 if it does not
}

// ErrShuttingDown is returned if a process that shuts down is to resume service. Its text is sent to operators
// in HTTP answers.
var ErrShuttingDown = errors.New("the process is ending")

// State is the lifecycle state of one process. It is not safe for concurrent use.
type State struct {
	times     Times
	nextTimes Times // of the newest settings, which replace times at settleAt
	// settleAt is 0 if the newest settings are already in times.
	settleAt     time.Duration
	phase        Phase
	ready        bool // the process has been ready
	newProcess   NewProcess
	oldProcess   bool          // an old process is running
	drainStart   time.Duration // start of the drain
	terminatedAt time.Duration // when SIGTERM was received
	takenOverAt  time.Duration // when the new process took over the clients
	wasDraining  bool          // the process was draining when SIGTERM was received
	exitSince    time.Duration // since when only unanswered requests have kept the process from exiting, or 0
}

// Connections counts the client connections of the process.
type Connections struct {
	All     int
	Waiting int // those that wait for an answer, also while it is sent
	Sending int // those to which an answer or a last message is on its way
}

// New returns the state of a process that starts.
func New(t Times) *State { return &State{times: t} }

// SetTimes changes the time limits to those of new settings, which the platform applies from binds on. Until
// then SIGKILL may come by the old or the new settings, so the earlier time limits apply. They stay in force
// if SIGTERM is received before binds.
func (s *State) SetTimes(now time.Duration, t Times, binds time.Duration) {
	s.settle(now)
	s.times = s.times.earlier(t)
	s.nextTimes, s.settleAt = t, binds
}

// settle replaces the time limits by the newest ones if settleAt has passed.
func (s *State) settle(now time.Duration) {
	if s.phase != ShuttingDown && s.settleAt > 0 && now >= s.settleAt {
		s.times, s.settleAt = s.nextTimes, 0
	}
}

// earlier returns o with the earlier of both time limits for each step of a shutdown.
func (t Times) earlier(o Times) Times {
	o.CloseConnections, o.AnswersDue, o.Exit = min(t.CloseConnections, o.CloseConnections), min(t.AnswersDue, o.AnswersDue), min(t.Exit, o.Exit)
	return o
}

// Handle applies an event. An event that changes nothing is not an error. It returns an error if the event is
// unknown or is not possible in the current phase.
func (s *State) Handle(now time.Duration, e Event) error {
	s.settle(now)
	switch e {
	case Ready:
		if s.ready = true; s.phase == Starting {
			s.phase = Serving
		}
	case Drain:
		// A process may be drained before it has been ready. It must not report ready then.
		if s.phase == Starting || s.phase == Serving {
			s.phase, s.drainStart = Draining, now
		}
	case Resume:
		switch s.phase {
		case ShuttingDown:
			return ErrShuttingDown
		case Draining:
			if s.phase = Serving; !s.ready {
				s.phase = Starting
			}
		}
	case Terminate:
		if s.phase != ShuttingDown {
			s.wasDraining = s.phase == Draining
			s.phase, s.terminatedAt = ShuttingDown, now
		}
	case NewProcessConnected:
		if s.newProcess == NoNewProcess {
			s.newProcess = Connected
		}
	case NewProcessReady:
		if s.newProcess != TookOver {
			s.newProcess, s.takenOverAt = TookOver, now
		}
	case NewProcessLost:
		s.newProcess = NoNewProcess
	case OldProcessFound:
		s.oldProcess = true
	case OldProcessExited:
		s.oldProcess = false
	default:
		return fmt.Errorf("service: unknown event %d", e)
	}
	return nil
}

// Exit reports whether the process exits now, with the connections that it has. An answer that has begun is not cut off: its
// host or client may be slow, and what SIGKILL ends is not the process's doing. For answers that have not begun the process
// waits for LateAnswers at most, and so for connections that the new process is to get.
func (s *State) Exit(now time.Duration, c Connections) bool {
	v := s.View(now)
	switch {
	case v.ExitWhenIdle && c.All == 0:
		return true
	case !v.ExitNow || c.Sending > 0:
		s.exitSince = 0
		return false
	case c.Waiting == 0 && (c.All == 0 || !v.HandOver): // a connection whose last answer has just ended is still to be handed over
		return true
	case s.exitSince == 0: // also after a stall past Exit
		s.exitSince = now
	}
	return now >= s.exitSince+s.times.LateAnswers
}

// View returns the behavior that is required at the time now.
func (s *State) View(now time.Duration) View {
	// A process accepts clients before it is ready, and they wait for it, unless the old process still serves
	// them.
	v := View{Phase: s.phase, NewProcess: s.newProcess, Ready: s.phase == Serving, Accept: s.ready || !s.oldProcess, LimitsShared: s.newProcess != NoNewProcess || s.oldProcess}
	next := func(at time.Duration) bool { // reports whether the time has passed, and records it as a coming change otherwise
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
		// Until the load balancer has noticed the drain, clients whose connections are closed would reconnect
		// here.
		v.CloseConnections = next(s.drainStart + s.times.LoadBalancerDelay)
	case ShuttingDown:
		// Without a new process, no other one replaces this gateway so soon. Clients are served as before on
		// their existing connections, and readiness probes are answered as before.
		v.Ready = s.ready && !s.wasDraining
		v.AnswersDue = s.terminatedAt + s.times.AnswersDue
		closing := next(s.terminatedAt + s.times.CloseConnections)
		v.CloseConnections = closing || s.wasDraining && next(s.drainStart+s.times.LoadBalancerDelay)
		v.Accept = !closing || !next(s.terminatedAt+s.times.Accept)
		v.ExitWhenIdle = !v.Accept
		v.ExitNow = next(s.terminatedAt + s.times.Exit)
	}
	if s.newProcess == TookOver {
		v.Accept, v.CloseConnections, v.HandOver = false, true, true
		v.ExitWhenIdle = s.phase == ShuttingDown
		if s.phase != ShuttingDown && next(s.takenOverAt+s.times.Linger) {
			v.ExitWhenIdle = true
		}
	}
	return v
}

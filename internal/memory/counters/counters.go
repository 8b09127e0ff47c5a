// Package counters counts what the gateway takes in, sends and answers.
package counters

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// Count is one counter, or a level that goes up and down.
type Count struct{ n atomic.Int64 }

// Add adds to the counter.
func (c *Count) Add(n int64) { c.n.Add(n) }

// Set sets a level.
func (c *Count) Set(n int64) { c.n.Store(n) }

// Get reads the counter.
func (c *Count) Get() int64 { return c.n.Load() }

// Set holds the counters of one gateway. Its zero value is ready for use.
type Set struct {
	Taken, Served, Refused, Failed, Rejected, Gone    Count // requests; rejected: never handed to the module
	Again                                             Count // of those handed to the module, that their clients had tried before
	Sent, Canceled, Probes                            Count // attempts and probes
	Outcomes                                          [11]Count
	Clients, ClientsOpen, ClientsRefused              Count    // connections: accepted, open, turned away
	ClientsDropped, ClientsEvicted, ClientsSlow       Count    // closed at once; made to give way; cut off as too slow
	ClientsEvictedEarly                               Count    // of those that gave way, early because places ran short
	AcceptErrors                                      Count    // calls that failed for a moment
	ClientsOverrun                                    Count    // cut off: too many commands waited for their turn
	BadMessages, BadStatements                        Count    // of clients
	HostsDialed, HostsOpen, HostsClosed, HostsFull    Count    // connections to hosts; full: none to be had
	Lists, BadLists, ListErrors                       Count    // of discovery
	Reloads, BadReloads                               Count    // configurations read anew, and those not used
	Operators, BadOperators                           Count    // operator's files read anew, and those not used
	Over, Denied, Held                                Count    // requests over their cell's or tenant's share; not theirs; at a fence
	Moves                                             [5]Count // tenants' moves that came to each stage
	GossipSent, Untold, Heard, HeardBad, GossipErrors Count    // datagrams told; notes that had no room; notes heard; datagrams not read; errors of the socket
	PreparedHits, PreparedMisses                      Count    // statements that a host connection had, and had to prepare
	Calls, CallsFailed, CallersDropped                Count    // at the second address: calls, those answered with no, callers that made room
	ClientsPassed, ClientsAdopted                     Count    // connections given to the next process, and taken from the one before
	Streams, StreamsOpen, StreamsCut                  Count    // large values passed on as they come: begun, on their way, not whole
	Large, LargeRefused, LargeHeld                    Count    // large statements: come, refused for lack of memory, bytes held
	Drains, Resumes                                   Count    // words of staff that were followed
	LogDropped                                        Count    // lines of the log that were left out
	Grounds                                           [4]Count // attempts, by the evidence on which they went
	Primaries                                         Count    // changes of who counts as a group's primary
	Stalls                                            Count    // times that events waited long to be handled
	ClockContradicted, ClockReplaced                  Count    // answers that contradicted the known fleet's clock; intervals that replaced it
	ClockWidth                                        Count    // microseconds between the bounds of the fleet's clock, as of the last change; -1: there are none
	Panics, Timers                                    Count
}

var outcomeNames = [11]string{"ok", "error", "turned_away", "timed_out", "no_connection", "reset", "canceled",
	"not_sent", "miss", "garbled", "stale"}

// groundsNames are in the order of balance.GroundsKind.
var groundsNames = [4]string{"none_needed", "position", "leader", "list"}

var stageNames = [5]string{"planned", "warming", "fenced", "settled", "aborted"}

// Fields gives every counter with its name, for the log.
func (s *Set) Fields() []zap.Field {
	all := s.all()
	out := make([]zap.Field, 0, len(all))
	for _, c := range all {
		out = append(out, zap.Int64(c.name, c.count.Get()))
	}
	return out
}

// Values gives every counter by its name.
func (s *Set) Values() map[string]int64 {
	out := map[string]int64{}
	for _, c := range s.all() {
		out[c.name] = c.count.Get()
	}
	return out
}

type named struct {
	name  string
	count *Count
}

func (s *Set) all() []named {
	out := []named{
		{"requests_taken", &s.Taken}, {"requests_served", &s.Served}, {"requests_refused", &s.Refused},
		{"requests_failed", &s.Failed}, {"requests_rejected", &s.Rejected}, {"requests_gone", &s.Gone},
		{"requests_again", &s.Again}, {"attempts_sent", &s.Sent}, {"attempts_canceled", &s.Canceled}, {"probes_sent", &s.Probes},
		{"clients_accepted", &s.Clients}, {"clients_open", &s.ClientsOpen}, {"clients_over", &s.ClientsRefused},
		{"clients_dropped", &s.ClientsDropped}, {"clients_evicted", &s.ClientsEvicted}, {"clients_slow", &s.ClientsSlow},
		{"accept_errors", &s.AcceptErrors}, {"clients_pressed", &s.ClientsEvictedEarly}, {"clients_overrun", &s.ClientsOverrun},
		{"messages_bad", &s.BadMessages}, {"statements_bad", &s.BadStatements},
		{"hosts_dialed", &s.HostsDialed}, {"hosts_open", &s.HostsOpen}, {"hosts_closed", &s.HostsClosed},
		{"hosts_full", &s.HostsFull},
		{"lists", &s.Lists}, {"lists_bad", &s.BadLists}, {"list_errors", &s.ListErrors},
		{"reloads", &s.Reloads}, {"reloads_bad", &s.BadReloads},
		{"operators", &s.Operators}, {"operators_bad", &s.BadOperators},
		{"requests_over", &s.Over}, {"requests_denied", &s.Denied}, {"writes_held", &s.Held},
		{"prepared_hits", &s.PreparedHits}, {"prepared_misses", &s.PreparedMisses},
		{"peers_told", &s.GossipSent}, {"peers_untold", &s.Untold}, {"peers_heard", &s.Heard}, {"peers_bad", &s.HeardBad},
		{"peer_errors", &s.GossipErrors},
		{"calls", &s.Calls}, {"calls_no", &s.CallsFailed}, {"callers_dropped", &s.CallersDropped},
		{"clients_passed", &s.ClientsPassed}, {"clients_adopted", &s.ClientsAdopted},
		{"streams", &s.Streams}, {"streams_open", &s.StreamsOpen}, {"streams_cut", &s.StreamsCut},
		{"statements_large", &s.Large}, {"statements_large_refused", &s.LargeRefused}, {"statements_large_held", &s.LargeHeld},
		{"drains", &s.Drains}, {"resumes", &s.Resumes}, {"primary_changes", &s.Primaries},
		{"log_dropped", &s.LogDropped}, {"stalls", &s.Stalls}, {"clock_contradicted", &s.ClockContradicted}, {"clock_replaced", &s.ClockReplaced},
		{"clock_width_us", &s.ClockWidth},
		{"panics", &s.Panics}, {"timers_pending", &s.Timers},
	}
	for i, name := range stageNames {
		out = append(out, named{"moves_" + name, &s.Moves[i]})
	}
	for i, name := range groundsNames {
		out = append(out, named{"attempts_by_" + name, &s.Grounds[i]})
	}
	for i, name := range outcomeNames {
		out = append(out, named{"outcome_" + name, &s.Outcomes[i]})
	}
	return out
}

// Package counters holds the gateway's metrics.
package counters

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// Count is a counter or a gauge.
type Count struct{ n atomic.Int64 }

// Add adds n to the value.
func (c *Count) Add(n int64) { c.n.Add(n) }

// Set sets the value of a gauge.
func (c *Count) Set(n int64) { c.n.Store(n) }

// Get returns the current value.
func (c *Count) Get() int64 { return c.n.Load() }

// Set holds the counters of one gateway. Its zero value is ready to use.
type Set struct {
	// Requests by result. Rejected ones were not passed to the module; RequestsCanceled counts those whose
	// client disconnected.
	Taken, Served, Refused, Failed, Rejected, RequestsCanceled Count
	// ClientRetries counts client retries among the requests passed to the module.
	ClientRetries Count
	// Attempts sent, attempts canceled, and probes sent.
	Sent, Canceled, Probes Count
	// Outcomes counts attempts by result, in the order of balance.Result.
	Outcomes [12]Count
	// Client connections: accepted, currently open, and refused because of the connection limit.
	Clients, ClientsOpen, ClientsRefused Count
	// Client connections that were closed immediately, evicted in favor of others, and closed as too slow.
	ClientsDropped, ClientsEvicted, ClientsSlow Count
	// ClientsEvictedEarly counts those of the evicted connections that were closed after the shorter idle time that
	// applies near the connection limits.
	ClientsEvictedEarly Count
	// AcceptErrors counts temporary errors of accepting connections.
	AcceptErrors Count
	// ClientsOverrun counts client connections closed because too many commands were queued.
	ClientsOverrun Count
	// Invalid messages and statements from clients.
	BadMessages, BadStatements Count
	// Connections to hosts: dialed, currently open, closed, and requests for one that found none available.
	HostsDialed, HostsOpen, HostsClosed, HostsFull Count
	// Endpoint lists received, invalid ones, and errors of queries to discovery.
	Lists, BadLists, ListErrors Count
	// Configurations reloaded, and those rejected.
	Reloads, BadReloads Count
	// Operator's files reloaded, and those rejected.
	Operators, BadOperators Count
	// Requests over the quota of their cell or tenant, requests whose user may not act for the tenant, and
	// requests held at a fence.
	OverQuota, Denied, Held Count
	// Moves counts how often moves of tenants reached each stage.
	Moves [5]Count
	// Gossip: messages sent, entries dropped for lack of capacity, entries received, invalid messages, socket
	// errors.
	GossipSent, GossipDropped, GossipReceived, GossipInvalid, GossipErrors Count
	// Statements that were already prepared on the host connection, and those that had to be prepared.
	PreparedHits, PreparedMisses Count
	// SettingsChanged counts changes of a host connection's settings that a host confirmed.
	SettingsChanged Count
	// The admin address: calls, calls with a negative answer, and connections closed in favor of new ones.
	Calls, CallsFailed, CallersDropped Count
	// Client connections passed to the new process and adopted from the old one in a hot restart.
	ClientsPassed, ClientsAdopted Count
	// Large values relayed as streams: started, in progress, and incomplete ones.
	Streams, StreamsOpen, StreamsCut Count
	// Large statements: received, refused for lack of memory, and the bytes currently held.
	Large, LargeRefused, LargeHeld Count
	// Admin commands to drain and to resume that were followed.
	Drains, Resumes Count
	// LogDropped counts log lines that were not written.
	LogDropped Count
	// Grounds counts attempts by the kind of evidence on which they were sent.
	Grounds [4]Count
	// PrimaryChanges counts changes of the host that is considered a group's primary.
	PrimaryChanges Count
	// Stalls counts how often events were queued for too long.
	Stalls Count
	// Answers that contradicted the known offset of the fleet's clock, and replacements of its interval.
	ClockContradicted, ClockReplaced Count
	// ClockWidth is the distance in microseconds between the bounds of the fleet's clock as of their latest
	// change, or -1 if the clock is unbounded.
	ClockWidth Count
	// Panics of the decision module, and timers pending.
	Panics, Timers Count
}

// outcomeNames are the names of Outcomes in the order of balance.Result.
var outcomeNames = [12]string{"ok", "error", "turned_away", "timed_out", "no_connection", "reset", "canceled",
	"not_sent", "miss", "garbled", "stale", "setup_failed"}

// groundsNames are the names of Grounds in the order of balance.GroundsKind.
var groundsNames = [4]string{"none_needed", "position", "leader", "list"}

// stageNames are the names of Moves in the order of the stages.
var stageNames = [5]string{"planned", "warming", "fenced", "settled", "aborted"}

// Fields returns all counters as log fields.
func (s *Set) Fields() []zap.Field {
	all := s.all()
	out := make([]zap.Field, 0, len(all))
	for _, c := range all {
		out = append(out, zap.Int64(c.name, c.count.Get()))
	}
	return out
}

// Values returns the values of all counters by name.
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

// all returns the counters with the names under which they are published.
func (s *Set) all() []named {
	out := []named{
		{"requests_taken", &s.Taken}, {"requests_served", &s.Served}, {"requests_refused", &s.Refused},
		{"requests_failed", &s.Failed}, {"requests_rejected", &s.Rejected}, {"requests_gone", &s.RequestsCanceled},
		{"requests_again", &s.ClientRetries}, {"attempts_sent", &s.Sent}, {"attempts_canceled", &s.Canceled}, {"probes_sent", &s.Probes},
		{"clients_accepted", &s.Clients}, {"clients_open", &s.ClientsOpen}, {"clients_over", &s.ClientsRefused},
		{"clients_dropped", &s.ClientsDropped}, {"clients_evicted", &s.ClientsEvicted}, {"clients_slow", &s.ClientsSlow},
		{"accept_errors", &s.AcceptErrors}, {"clients_pressed", &s.ClientsEvictedEarly}, {"clients_overrun", &s.ClientsOverrun},
		{"messages_bad", &s.BadMessages}, {"statements_bad", &s.BadStatements},
		{"hosts_dialed", &s.HostsDialed}, {"hosts_open", &s.HostsOpen}, {"hosts_closed", &s.HostsClosed},
		{"hosts_full", &s.HostsFull},
		{"lists", &s.Lists}, {"lists_bad", &s.BadLists}, {"list_errors", &s.ListErrors},
		{"reloads", &s.Reloads}, {"reloads_bad", &s.BadReloads},
		{"operators", &s.Operators}, {"operators_bad", &s.BadOperators},
		{"requests_over", &s.OverQuota}, {"requests_denied", &s.Denied}, {"writes_held", &s.Held},
		{"prepared_hits", &s.PreparedHits}, {"prepared_misses", &s.PreparedMisses},
		{"settings_changed", &s.SettingsChanged},
		{"peers_told", &s.GossipSent}, {"peers_untold", &s.GossipDropped}, {"peers_heard", &s.GossipReceived}, {"peers_bad", &s.GossipInvalid},
		{"peer_errors", &s.GossipErrors},
		{"calls", &s.Calls}, {"calls_no", &s.CallsFailed}, {"callers_dropped", &s.CallersDropped},
		{"clients_passed", &s.ClientsPassed}, {"clients_adopted", &s.ClientsAdopted},
		{"streams", &s.Streams}, {"streams_open", &s.StreamsOpen}, {"streams_cut", &s.StreamsCut},
		{"statements_large", &s.Large}, {"statements_large_refused", &s.LargeRefused}, {"statements_large_held", &s.LargeHeld},
		{"drains", &s.Drains}, {"resumes", &s.Resumes}, {"primary_changes", &s.PrimaryChanges},
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

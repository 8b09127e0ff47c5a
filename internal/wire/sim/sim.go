// Package sim translates between the simulator's line protocol and package balance. It makes no decisions.
package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"yokemast/balance"
	"yokemast/internal/wire/settings"
)

// enum returns the value for a name, or an error with the name of the message's field if there is none.
func enum[T any](field, name string, values map[string]T) (T, error) {
	v, ok := values[name]
	if !ok {
		return v, fmt.Errorf("%s: unknown value %q", field, name)
	}
	return v, nil
}

var (
	states = map[string]balance.State{"": balance.Active, "active": balance.Active,
		"leaving": balance.Draining, "left": balance.Removed}
	results = map[string]balance.Result{"Ok": balance.OK, "Failed": balance.Failed, "QueueFull": balance.QueueFull,
		"TimedOut": balance.TimedOut, "ConnectError": balance.NoConnection, "ResetByPeer": balance.Reset,
		"Canceled": balance.Canceled, "Ignored": balance.NotSent, "Miss": balance.Misdirected}
)

// Entry is one line of a TABLE message.
type Entry struct {
	Host     string   `json:"host"`
	Leader   float64  `json:"leader"`
	Shard    int      `json:"shard"`
	Status   string   `json:"status"`
	Heft     *float64 `json:"heft"`
	BootTime int64    `json:"bootTime"`
}

// Member converts the entry to a member of package balance.
func (e Entry) Member() (balance.Member, error) {
	st, err := enum("status", e.Status, states)
	m := balance.Member{Server: e.Host, Group: e.Shard, State: st, Primary: e.Leader == 1,
		Weight: 1, Started: time.Duration(e.BootTime)}
	if e.Heft != nil {
		m.Weight = *e.Heft
	}
	return m, err
}

// Event holds the fields of all incoming messages; each message uses some of them.
type Event struct {
	Who       int                `json:"who"`
	Salt      uint64             `json:"salt"`
	Options   json.RawMessage    `json:"options"`
	Ref       int                `json:"ref"`
	Lines     []Entry            `json:"lines"`
	Kind      string             `json:"kind"`
	Wall      int64              `json:"wall"`
	Turn      int64              `json:"turn"`
	RequestID string             `json:"requestId"`
	Grade     string             `json:"grade"`
	Realm     any                `json:"realm"`
	ConnKey   string             `json:"connKey"`
	Valid     int64              `json:"validUntil"`
	Shard     int                `json:"shard"`
	TokenAge  float64            `json:"tokenAgeMs"`
	StateBits int                `json:"stateBits"`
	Ctx       int64              `json:"ctx"`
	Host      string             `json:"host"`
	Try       int                `json:"try"`
	How       string             `json:"how"`
	Spent     int64              `json:"spent"`
	Finished  bool               `json:"finished"`
	Mark      int64              `json:"mark"`
	Metrics   map[string]float64 `json:"metrics"`
}

// ParseLine decodes an incoming line into the message's name and fields.
func ParseLine(b []byte) (string, *Event, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	var m map[string]json.RawMessage
	if err := dec.Decode(&m); err != nil {
		return "", nil, err
	}
	if len(m) != 1 {
		return "", nil, fmt.Errorf("message has %d names, want 1", len(m))
	}
	for name, raw := range m {
		e := new(Event)
		if err := json.Unmarshal(raw, e); err != nil {
			return name, nil, fmt.Errorf("%s: %w", name, err)
		}
		return name, e, nil
	}
	return "", nil, errors.New("message has no name")
}

// Balance converts an incoming message to an event of package balance, or nil if the package does not use the
// message; zero is the clock time at position 0. Bit 1 of StateBits marks a client retry. The two lowest bits
// of Mark are the host's role (1 for primary, 2 for replica, else unknown), and the bits above them are its
// position in milliseconds, or 0 if unknown.
func (e *Event) Balance(name string, zero time.Duration) (balance.Event, error) {
	switch name {
	case "ORDER":
		tenant, _ := e.Realm.(string)
		q := balance.Request{ID: e.RequestID, Class: e.Grade, Tenant: tenant, Session: e.ConnKey, Group: e.Shard,
			Deadline: time.Duration(e.Valid), Retry: e.StateBits&2 != 0,
			WriteAge: time.Duration(e.TokenAge * float64(time.Millisecond))}
		return q, nil
	case "TIMER":
		return balance.Timer{Tag: e.Ctx}, nil
	case "ABANDONED":
		return balance.RequestCanceled{ID: e.RequestID}, nil
	case "CLOSED_ATTEMPT":
		res, err := enum("how", e.How, results)
		o := balance.Outcome{ID: e.RequestID, Attempt: e.Try, Server: e.Host, Result: res,
			Took: time.Duration(e.Spent), Final: e.Finished, Report: settings.Report(e.Metrics, zero)}
		switch e.Mark & 3 {
		case 1:
			o.Role = balance.Primary
		case 2:
			o.Role = balance.Replica
		}
		if ms := e.Mark >> 2; ms > 0 {
			o.Position = zero + time.Duration(ms)*time.Millisecond
		}
		return o, err
	case "PING_RESULT":
		res, err := enum("how", e.How, results)
		return balance.ProbeResult{Server: e.Host, Result: res, Took: time.Duration(e.Spent),
			Report: settings.Report(e.Metrics, zero)}, err
	case "MAIL", "UNDER_WAY":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown message %q", name)
}

type object = map[string]any

// AppendAction appends the line for one action of the gateway instance with the given number.
func AppendAction(out []byte, instance int, a balance.Action) ([]byte, error) {
	name, fields := "", object{"who": instance}
	switch a := a.(type) {
	case balance.Send:
		name, fields["requestId"], fields["host"] = "ISSUE", a.ID, a.Server
		if a.Timeout != 0 {
			fields["cap"] = int64(a.Timeout)
		}
	case balance.Refuse:
		name, fields["requestId"] = "SAY_NO", a.ID
		if a.RetryAfter > 0 {
			fields["wait"] = int64(a.RetryAfter)
		}
	case balance.Fail:
		name, fields["requestId"] = "RESPOND_ERROR", a.ID
	case balance.Cancel:
		name, fields["requestId"], fields["try"] = "UNDO_SEND", a.ID, a.Attempt
	case balance.Probe:
		name, fields["host"] = "POLL", a.Server
	case balance.StartTimer:
		name, fields["after"], fields["ctx"] = "AFTER", int64(a.Wait), a.Tag
	case balance.Watch:
		name, fields["enable"] = "FOLLOW", true
	default:
		return out, fmt.Errorf("unknown action %T", a)
	}
	return AppendMessage(out, name, fields)
}

// AppendMessage appends one line with the message's name and fields.
func AppendMessage(out []byte, name string, fields map[string]any) ([]byte, error) {
	b, err := json.Marshal(object{name: fields})
	return append(append(out, b...), '\n'), err
}

package sim

import (
	"strings"
	"testing"
	"time"

	"yokemast/balance"
)

func TestDecodeEvents(t *testing.T) {
	const zero = 5 * time.Second
	for _, c := range []struct {
		name, line string
		want       balance.Event
	}{
		{"request", `{"ORDER":{"who":1,"requestId":"0a","grade":"g","realm":"t","connKey":"k","validUntil":9,"shard":3,` +
			`"workHint":7,"tokenAgeMs":1.5,"stateBits":3,"later":{"x":1}}}`,
			balance.Request{ID: "0a", Class: "g", Tenant: "t", Session: "k", Deadline: 9, Group: 3, Retry: true,
				WriteAge: 1500 * time.Microsecond}},
		{"no tenant", `{"ORDER":{"who":1,"requestId":"0a","grade":"g","realm":0,"workHint":7}}`,
			balance.Request{ID: "0a", Class: "g"}},
		{"outcome", `{"CLOSED_ATTEMPT":{"who":1,"requestId":"0a","try":2,"host":"h:1","how":"Miss","spent":4,"mark":4002,` +
			`"metrics":{"x0":2.5,"x1":1,"other":3}}}`,
			balance.Outcome{ID: "0a", Attempt: 2, Server: "h:1", Result: balance.Misdirected, Took: 4, Role: balance.Replica,
				Position: 6 * time.Second,
				Report:   balance.Report{Valid: true, Role: balance.Primary, Position: 7499 * time.Millisecond, NotBefore: 7499 * time.Millisecond}}},
		{"role without position", `{"CLOSED_ATTEMPT":{"who":1,"requestId":"0a","host":"h:1","how":"Ok","finished":true,"mark":1}}`,
			balance.Outcome{ID: "0a", Server: "h:1", Final: true, Role: balance.Primary}},
		{"probe", `{"PING_RESULT":{"who":1,"host":"h:1","how":"TimedOut","spent":8}}`,
			balance.ProbeResult{Server: "h:1", Result: balance.TimedOut, Took: 8}},
		{"timer", `{"TIMER":{"who":1,"ctx":77}}`, balance.Timer{Tag: 77}},
		{"canceled", `{"ABANDONED":{"who":1,"requestId":"0a"}}`, balance.RequestCanceled{ID: "0a"}},
	} {
		name, e, err := ParseLine([]byte(c.line))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if got, err := e.Balance(name, zero); err != nil || got != c.want {
			t.Errorf("%s: got %+v (%v), want %+v", c.name, got, err, c.want)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	for want, a := range map[string]balance.Action{
		`{"ISSUE":{"cap":5,"host":"h:1","requestId":"0a","who":2}}`: balance.Send{ID: "0a", Server: "h:1", Timeout: 5},
		`{"ISSUE":{"host":"h:1","requestId":"0a","who":2}}`:         balance.Send{ID: "0a", Server: "h:1"},
		`{"SAY_NO":{"requestId":"0a","wait":9,"who":2}}`:            balance.Refuse{ID: "0a", RetryAfter: 9},
		`{"RESPOND_ERROR":{"requestId":"0a","who":2}}`:              balance.Fail{ID: "0a"},
		`{"UNDO_SEND":{"requestId":"0a","try":1,"who":2}}`:          balance.Cancel{ID: "0a", Attempt: 1},
		`{"POLL":{"host":"h:1","who":2}}`:                           balance.Probe{Server: "h:1"},
		`{"AFTER":{"after":3,"ctx":4,"who":2}}`:                     balance.StartTimer{Wait: 3, Tag: 4},
		`{"FOLLOW":{"enable":true,"who":2}}`:                        balance.Watch{},
	} {
		got, err := AppendAction(nil, 2, a)
		if err != nil || strings.TrimSpace(string(got)) != want {
			t.Errorf("got %s (%v), want %s", got, err, want)
		}
	}
	if _, err := AppendAction(nil, 2, 17); err == nil {
		t.Error("an unknown action was accepted")
	}
}

func TestInvalidLines(t *testing.T) {
	for _, l := range []string{``, `{`, `{"A":{},"B":{}}`, `{}`, `{"TIMER":{"ctx":"x"}}`} {
		if _, _, err := ParseLine([]byte(l)); err == nil {
			t.Errorf("line %q was accepted", l)
		}
	}
	if _, err := (&Event{How: "Exploded"}).Balance("CLOSED_ATTEMPT", 0); err == nil {
		t.Error("an unknown completion code was accepted")
	}
}

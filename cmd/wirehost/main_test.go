package main

import (
	"bytes"
	"strings"
	"testing"
)

const spawn = `{"SPAWN":{"who":0,"salt":5,"options":{"step":1000000,"membershipMode":"push","profiles":[` +
	`{"name":"g","effect":"retryable","onTime":1000000000,"giveUp":2000000000,"credit":1}],` +
	`"domain":{"behind":"silent","consistency":["loose"],"oldestData":[0],"tokens":"client"},` +
	`"limits":{"maxAttempts":6,"probes":true},"unheard":1}}}`

func frames(lines ...string) string { return strings.Join(lines, "\n") + "\n" }

func requestFrames(id string) []string {
	return []string{strings.ReplaceAll(spawn, `"who":0`, `"who":`+id),
		`{"TABLE":{"ref":1,"lines":[{"host":"h:1","leader":1,"shard":2,"status":"active"}]}}`,
		`{"UPDATE":{"who":` + id + `,"kind":"warm_copy","stamp":1,"ref":1}}`,
		`{"ORDER":{"who":` + id + `,"requestId":"0a","grade":"g","validUntil":3000000000,"shard":2}}`}
}

func reply(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestBatchReply(t *testing.T) {
	tick := `{"TICK":{"wall":1000000000,"turn":7}}`
	out := reply(t, frames(append(append([]string{tick}, requestFrames("0")...), `{"COMMIT":{}}`)...))
	for _, want := range []string{`{"ISSUE":{`, `"host":"h:1"`, `"requestId":"0a"`} {
		if !strings.Contains(out, want) {
			t.Errorf("reply %s lacks %s", out, want)
		}
	}
	if !strings.HasSuffix(out, `{"ACK":{"turn":7}}`+"\n") {
		t.Errorf("reply %s does not end with ACK", out)
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	tick := `{"TICK":{"wall":1000000000,"turn":7}}`
	alone := reply(t, frames(append(append([]string{tick}, requestFrames("1")...), `{"COMMIT":{}}`)...))
	both := reply(t, frames(append(append(append([]string{tick}, requestFrames("0")...), requestFrames("1")...), `{"COMMIT":{}}`)...))
	var kept []string
	for _, l := range strings.Split(both, "\n") {
		if !strings.Contains(l, `"who":0`) {
			kept = append(kept, l)
		}
	}
	if got := strings.Join(kept, "\n"); got != alone {
		t.Errorf("with a second instance: %s\nalone: %s", got, alone)
	}
}

func TestPanicIsReportedForItsInstance(t *testing.T) {
	h := &host{}
	if err := h.decide(0, 4, &instance{}, nil); err != nil { // no router: Handle panics
		t.Fatal(err)
	}
	if got := string(h.reply); !strings.HasPrefix(got, `{"GIVE_IN":{`) || !strings.Contains(got, `"who":4`) {
		t.Errorf("reply %s", got)
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	tick := `{"TICK":{"wall":1,"turn":7}}`
	for name, in := range map[string]string{
		"malformed":        frames(tick, `{"ORDER":`),
		"unknown instance": frames(tick, `{"TIMER":{"who":9,"ctx":1}}`),
		"unknown list":     frames(tick, spawn, `{"UPDATE":{"who":0,"kind":"total","ref":3}}`),
		"unexpected TICK":  frames(tick, tick),
		"truncated batch":  frames(tick),
		"no classes":       frames(tick, `{"SPAWN":{"who":0,"options":{}}}`),
	} {
		err := run(strings.NewReader(in), new(bytes.Buffer))
		if err == nil || !strings.Contains(err.Error(), "batch 7") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/testbed/clients"
)

// The process sends its final answers 3.55 s after SIGTERM. A stall of 0.15 s over that moment must not leave any
// request without an answer.
func TestStallBeforeFinalAnswersLosesNoRequest(t *testing.T) {
	h := newHost(t, "s-1", "leader", nil)
	h.Script = func(int, string) []byte { return []byte{} } // silent
	g := start(t, nil, h)
	var all []*clients.Client
	for range 20 {
		c := g.client()
		c.Send(write("k", "9f", comment("order", "")))
		all = append(all, c)
	}
	g.waitCounter("requests_taken", len(all))
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	signaledAt := time.Now()
	const finalAnswers, stallTime = 3550 * time.Millisecond, 150 * time.Millisecond // after SIGTERM
	stallStart := signaledAt.Add(finalAnswers - 10*time.Millisecond)
	time.Sleep(time.Until(stallStart))
	_ = g.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(stallStart.Add(stallTime)))
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	answers := map[string]int{}
	for _, c := range all {
		answers[c.Answer()]++
	}
	t.Logf("%v, %s after SIGTERM", answers, time.Since(signaledAt))
	if answers["closed"] > 0 {
		t.Errorf("%d of %d requests got no answer", answers["closed"], len(all))
	}
	if strings.Contains(g.log.String(), "ending with requests unanswered") {
		t.Errorf("the process ended with unanswered requests: %s", g.log)
	}
}

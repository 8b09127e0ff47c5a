package main

import (
	"syscall"
	"testing"
)

// Between SIGTERM and its end a process still serves its connected clients, also in classes that were not
// requested before.
func TestShutdownServesUnusedClasses(t *testing.T) {
	old, _ := startUpgradable(t, newHost(t, "h1", "leader", nil))
	c := old.client()
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.waitLog(`"event":"terminate"`)
	for _, x := range []struct{ statement, want string }{
		{read("k", comment("view", "")), "row k"},
		{read("own", comment("own", "")), "row own"},
		{write("w", "9f", comment("order", "")), "row w"},
	} {
		if got := c.Ask(x.statement); got != x.want {
			t.Errorf("%s is answered %q", x.statement, got)
		}
	}
	_ = c.Close()
	old.waitExit()
	if t.Failed() {
		t.Log(refusalLogs(old))
	}
}

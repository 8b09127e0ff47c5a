package main

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
)

// SIGHUP may arrive from the moment in which the run command of the deploy file has executed the program,
// before the program can install its handler. It must not end the process.
func TestSIGHUPDuringStartDoesNotEndProcess(t *testing.T) {
	agent := discovery.New(newHost(t, "h1", "leader", nil).ListEntry("SERVING"))
	t.Cleanup(agent.Close)
	for range 10 {
		path := config(t, agent.Snapshot(), agent.Listener.Addr().String(), nil)
		text, err := os.ReadFile("../../deploy/balancer.toml")
		if err != nil {
			t.Fatal(err)
		}
		_, run, _ := strings.Cut(string(text), "\nrun = \"")
		run, _, _ = strings.Cut(run, "\"")
		run = strings.Replace(run, "bin/yokemast serve", os.Args[0]+" serve --config "+path, 1)
		cmd := exec.CommandContext(t.Context(), "/bin/sh", "-c", run)
		cmd.Env = append(os.Environ(), "YOKEMAST_TEST_MAIN=1")
		log := &logBuffer{}
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(testTimeout); ; {
			if exe, _ := os.Readlink("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/exe"); exe == os.Args[0] || time.Now().After(end) {
				break
			}
		}
		b, _ := os.ReadFile(path)
		answered := false
		for end := time.Now().Add(testTimeout); !answered && time.Now().Before(end); {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				break
			}
			if c, err := clients.Start(gjson.GetBytes(b, "listen").Str, "backend", time.Second); err == nil {
				answered = c.Ask("") == "empty"
				c.Close()
			}
		}
		if !answered {
			t.Errorf("the process does not answer: %s", log)
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Package ci tests the script with which the project's CI evaluates a test run.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestJudge(t *testing.T) {
	const green = "=== RUN   TestA\n--- PASS: TestA (0.00s)\n=== RUN   TestB\n--- PASS: TestB (0.00s)\nPASS\nok  \tp\t0.1s\n"
	const red = "=== RUN   TestA\n--- PASS: TestA (0.00s)\n=== RUN   TestB\n    b_test.go:1: no\n--- FAIL: TestB (0.00s)\nFAIL\nFAIL\tp\t0.1s\nFAIL\n"
	const two = "=== RUN   TestA\n--- FAIL: TestA (0.00s)\n=== RUN   TestB\n--- FAIL: TestB (0.00s)\nFAIL\nFAIL\tp\t0.1s\n"
	for _, c := range []struct {
		name, log, known, status string
		ok                       bool
		says                     string
	}{
		{"all pass", green, "", "0", true, ""},
		{"one fails", red, "", "1", false, "ci: failed: TestB"},
		{"a listed one fails", red, "TestB: it hangs, issue 31\n", "1", true, "known red: TestB: it hangs, issue 31"},
		{"another fails", two, "TestB: it hangs, issue 31\n", "1", false, "ci: failed: TestA"},
		{"a listed one passes", green, "TestB: it hangs, issue 31\n", "0", true, "it passes; take it off the list: TestB"},
		{"a listed one fails in one of two runs", green + red, "TestB: it hangs, issue 31\n", "1", true, "known red: TestB"},
		{"a listed one does not exist", green, "TestC: gone, issue 31\n", "0", false, "names a test that did not run: TestC"},
		{"three listed lines", two, "TestA: x, issue 1\nTestB: y, issue 2\n\n", "1", true, "known red: TestA"},
		{"more than three listed lines", green, "TestA: 1\nTestB: 1\nTestC: 1\nTestD: 1\n", "0", false, "has 4 lines"},
		{"a build fails", red + "FAIL\tq [build failed]\n", "TestB: it hangs, issue 31\n", "1", false, "does not build: q"},
		{"a package setup fails", green + "FAIL\tq [setup failed]\n", "", "1", false, "does not build: q"},
		{"a data race", "WARNING: DATA RACE\n" + red, "TestB: it hangs, issue 31\n", "1", false, "a data race"},
		{"a panic", red + "panic: no\n", "TestB: it hangs, issue 31\n", "1", false, "a panic"},
		{"a test times out", red + "panic: test timed out after 5m0s\n", "TestB: it hangs, issue 31\n", "1", false, "never ended"},
		{"a package fails without a failed test", green + "FAIL\tq\t0.1s\n", "TestB: it hangs, issue 31\n", "1", false, "no test of it: q"},
		{"a nonzero exit without output", green, "", "2", false, "exited with 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range map[string]string{"log": c.log, "known": c.known} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			args := []string{"../../../.ci/judge", filepath.Join(dir, "log"), c.status, filepath.Join(dir, "known")}
			if c.known == "" {
				args[3] = filepath.Join(dir, "absent")
			}
			out, err := exec.Command("bash", args...).CombinedOutput()
			if (err == nil) != c.ok || !strings.Contains(string(out), c.says) {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}

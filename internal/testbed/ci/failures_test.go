package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A failure in CI can be traced only by what its test printed, which the end of a long log does not show.
func TestFailuresPrintsOutputOfFailedTests(t *testing.T) {
	const log = "=== RUN   TestA\n    a_test.go:1: of a passing test\n--- PASS: TestA (0.00s)\n" +
		"=== RUN   TestB\n=== RUN   TestB/1\n=== PAUSE TestB/1\n=== RUN   TestB/2\n=== CONT  TestB/1\n    b_test.go:1: first cause\n" +
		"=== NAME  TestB/2\n    b_test.go:2: other subtest\n=== NAME  TestB/1\n    b_test.go:3: second cause\n" +
		"--- FAIL: TestB (0.00s)\n    --- FAIL: TestB/1 (0.00s)\n    --- PASS: TestB/2 (0.00s)\n" +
		"=== RUN   TestKnown\n    k_test.go:1: known cause\n--- FAIL: TestKnown (0.00s)\nFAIL\nFAIL\tp\t0.1s\n" +
		"=== RUN   TestA\n    a_test.go:9: in the next run\n--- FAIL: TestA (0.00s)\nFAIL\tp\t0.1s\n"
	dir := t.TempDir()
	for name, text := range map[string]string{"log": log, "known": "TestKnown: it hangs, issue 31\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out, err := exec.Command("bash", "../../../.ci/failures", filepath.Join(dir, "log"), filepath.Join(dir, "known")).CombinedOutput()
	const want = "output of TestB/1:\n    b_test.go:1: first cause\n    b_test.go:3: second cause\n" +
		"output of TestA:\n    a_test.go:9: in the next run\n"
	if err != nil || string(out) != want {
		t.Errorf("%v, printed:\n%s\nwant:\n%s", err, out, want)
	}
}

func TestFailuresCutsLongOutput(t *testing.T) {
	log := "=== RUN   TestA\n" + strings.Repeat(strings.Repeat("x", 5000)+"\n", 100) + "--- FAIL: TestA (0.00s)\nFAIL\tp\t0.1s\n"
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("bash", "../../../.ci/failures", path).CombinedOutput()
	if want := 40*1001 + 100; err != nil || len(out) > want || !strings.HasSuffix(string(out), "(60 more lines)\n") {
		t.Errorf("%v, %d bytes, want at most %d that end with the number of lines left out", err, len(out), want)
	}
}

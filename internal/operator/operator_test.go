package operator

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"yokemast/internal/control/cells"
	"yokemast/internal/control/pooling"
)

const good = `; tenants of this installation
(control (socket "/run/yokemast/control.sock") (mode 0660))
(cells
  (claims yes) (size 3) (overlap 1)
  (cell "coast" (weight 2) (pin s-1 "s-2") (rate 200) (burst 50))
  (cell hills)
  (tenant "apollo" (cell "coast") (prefix "ap/" "apl-") (concurrency 20))
  (user "apollo-app" (tenants "apollo"))
  (moves (ramp 10s) (hold 0)))
`

func TestParse(t *testing.T) {
	f, err := Parse("f", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	want := &File{Path: "f", Pools: Pools{Prepared: 100, Wait: 100 * time.Millisecond, Limits: pooling.Limits{MinRest: 30 * time.Millisecond}}, Control: Control{"/run/yokemast/control.sock", 0o660}, Cells: &cells.Config{Claims: true, Size: 3,
		Overlap: 1, ReservedShare: 0.5, Buckets: 1024, QueueFactor: 4, MinHeld: 16, Gateways: 1,
		Cells: []cells.Cell{{Name: "coast", Weight: 2, Pins: []string{"s-1", "s-2"}, Rate: 200, Burst: 50},
			{Name: "hills", Weight: 1}},
		Tenants: []cells.Tenant{{Name: "apollo", Cell: "coast", Prefixes: []string{"ap/", "apl-"}, Concurrency: 20}},
		Users:   map[string][]string{"apollo-app": {"apollo"}},
		Moves:   cells.MoveLimits{MaxConcurrent: 4, MinRamp: 10 * time.Second, WarmTimeout: time.Minute, FenceTimeout: 5 * time.Second}}}
	if diff := cmp.Diff(want, f, cmpopts.IgnoreUnexported(File{})); diff != "" {
		t.Error(diff)
	}
	if f, err := Parse("f", []byte(" ; nothing\n")); err != nil || f.Cells != nil || f.Control.Socket != "" {
		t.Errorf("file without entries: %+v, %v", f, err)
	}
}

func TestParseErrors(t *testing.T) {
	for in, want := range map[string]string{
		strings.Repeat("(a ", 50):                        `f:1:61: forms are nested`,
		`(cells (cell "\q"))`:                            `f:1:14: "\q" has an invalid escape`,
		`((`:                                             `f:1:2: "(" where the name`,
		`(cells`:                                         `f:1:7: `,
		`cells`:                                          `f:1:1: `,
		"(cells\n  (cell \"a\nb\"))":                     `f:2:9: `,
		`(cell "a")`:                                     `f:1:1: cell: no such entry`,
		"(cells (cell a)\n  (sise 2))":                   `f:2:3: cells.sise: no such entry`,
		"(cells (cell a) (size 2)\n(size 3))":            `f:2:1: cells.size: already given at line 1`,
		"(cells (cell a)\n(cell a))":                     `f:2:1: cells.cell: "a" is already given at line 1`,
		`(cells (cell a) (size two))`:                    `f:1:23: cells.size: "two" is not a whole number`,
		`(cells (cell a) (size 0))`:                      `f:1:23: cells.size: 0 is below the minimum 1`,
		`(cells (cell a) (size 1 2))`:                    `f:1:25: cells.size: takes one whole number`,
		`(cells (cell a) (size))`:                        `f:1:17: cells.size: takes a whole number`,
		`(cells (cell a) (size (x)))`:                    `f:1:23: cells.size: takes no nested entry here`,
		`(cells (cell a) (reserve 1.5))`:                 `f:1:26: cells.reserve: 1.5 is above the maximum 1`,
		`(cells (cell a) (reserve NaN))`:                 `f:1:26: cells.reserve: "NaN" is not a number`,
		`(cells (cell a) (claims maybe))`:                `f:1:25: cells.claims: "maybe" is neither yes nor no`,
		`(cells (cell a) (moves (ramp 5)))`:              `f:1:30: cells.moves.ramp: "5" is not a duration such as 250ms or 5s`,
		`(cells (cell a) (moves (ramp 2h)))`:             `f:1:30: cells.moves.ramp: 2h is above the maximum 1h0m0s`,
		`(cells (cell (weight 2)))`:                      `f:1:14: cells.cell: takes no nested entry here`,
		`(cells (cell))`:                                 `f:1:8: cells.cell: the name is missing`,
		`(cells (cell ""))`:                              `f:1:14: cells.cell: the name is empty`,
		`(cells x (cell a))`:                             `f:1:8: cells: "x" is not an entry`,
		`(cells)`:                                        `f:1:1: cells: no cell is named`,
		`(cells (cell a (weight 0)))`:                    `f:1:8: cells.cell: "a": weight is not above 0`,
		`(cells (cell a (pin "")))`:                      `f:1:21: cells.cell.pin: the text is empty`,
		`(cells (overlap 3) (cell a))`:                   `f:1:8: cells.overlap: not between 0 and size 2`,
		"(cells (cell a)\n(tenant t (cell b)))":          `f:2:1: cells.tenant: "t": no cell is named "b"`,
		"(cells (cell a)\n(user u (tenants x)))":         `f:2:1: cells.user: "u": no tenant is named "x"`,
		"(cells (cell a)\n(user u))":                     `f:2:1: cells.user: "u": no tenant`,
		`(pools (pool p (read a) (write b) (mode all)))`: `f:1:35: pools.pool.mode: "all" is not one of statement`,
		`(pools (pool p (read a)))`:                      `f:1:8: pools.pool: "p": read and write must each name a class`,
		"(control)":                                      `f:1:1: control: socket is missing`,
		"(control (socket here))":                        `f:1:10: control.socket: "here" is not an absolute path`,
		"(control (socket /s) (mode 999))":               `f:1:28: control.mode: "999" is not an octal mode such as 0600`,
	} {
		_, err := Parse("f", []byte(in))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %s", in, err, want)
		}
	}
	if _, err := Load("/nowhere/at/all"); err == nil || !strings.HasPrefix(err.Error(), "/nowhere/at/all: no such file") {
		t.Errorf("missing file: %v", err)
	}
}

func TestLoadErrorWrapsCause(t *testing.T) {
	if _, err := Load(t.TempDir() + "/none"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want one that wraps fs.ErrNotExist", err)
	}
}

func TestPrintRoundTrip(t *testing.T) {
	check := func(t rapid.TB, text string) {
		f, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		var out bytes.Buffer
		if err := f.Print(&out); err != nil {
			t.Fatal(err)
		}
		again, err := Parse("f", out.Bytes())
		if err != nil {
			t.Fatalf("%v in\n%s", err, out.String())
		}
		if diff := cmp.Diff(f, again, cmpopts.IgnoreUnexported(File{})); diff != "" {
			t.Fatalf("%s\n%s", diff, out.String())
		}
		if f.Cells != nil && !strings.Contains(out.String(), "(at-once 4) ; default") {
			t.Fatalf("defaults are not printed:\n%s", out.String())
		}
	}
	check(t, good)
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringOfN(rapid.RuneFrom([]rune("a;()\"\\ \n\té#")), 1, 8, -1)
		check(t, "(cells (cell "+quote(name.Draw(t, "cell"))+") (tenant "+quote("t"+name.Draw(t, "tenant"))+" (prefix "+
			quote(name.Draw(t, "prefix"))+")))")
	})
}

func TestReferenceMatchesDocumentation(t *testing.T) {
	var want bytes.Buffer
	if err := Reference(&want); err != nil {
		t.Fatal(err)
	}
	doc, err := os.ReadFile("../../docs/operate/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(doc), want.String()) {
		t.Errorf("docs/operate/configuration.md does not hold the tables of `yokemast check --reference`:\n%s", want.String())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("(cells (cell a) (size 1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if file, err := Parse("f", b); err == nil {
			var out bytes.Buffer
			if err := file.Print(&out); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString("(cells (cell a)\n")
	for i := range 10_000 {
		text.WriteString("(tenant \"t" + string(rune('a'+i%26)) + formatNumber(float64(i)) + "\" (cell a) (rate 10))\n")
	}
	text.WriteString(")")
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("f", []byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}

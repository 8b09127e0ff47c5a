package pg

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func readLarge(text string, readSize int, take func(int) error) (*Statement, *Error, error) {
	r := bytes.NewReader([]byte(text))
	l := LargeReader{Reserve: take, Read: func(p []byte) (int, error) { return r.Read(p[:min(len(p), readSize)]) }}
	s, bad, _, err := l.Statement(len(text))
	return s, bad, err
}

const insertEnd = "') RETURNING content /* id=9b1f,c=order,d=480,cluster=2 */\x00"

// A large statement is written as it was read, except for d, whatever the sizes of the reads. Its memory is
// half of its digits unless they have mixed case.
func TestLargeStatement(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	digits := func(n int, from string) string {
		out := make([]byte, n)
		for i := range out {
			out[i] = from[rng.IntN(len(from))]
		}
		return string(out)
	}
	for name, value := range map[string]string{
		"lower":      digits(2*SmallValue+2, "0123456789abcdef"),
		"upper":      digits(2*SmallValue+2, "0123456789ABCDEF"),
		"numbers":    digits(2*SmallValue+2, "0123456789"),
		"both":       digits(2*SmallValue+2, "0123456789abcdefABCDEF"),
		"late other": digits(2*SmallValue+1, "0123456789abcdef") + "F",
		"largest":    digits(2*MaxValue, "0123456789abcdef"),
	} {
		text := insertHead + "'it''s \\x', '\\x" + value + insertEnd
		for _, readSize := range []int{7, 1000, ChunkSize + 1} {
			if readSize == 7 && name == "largest" {
				continue
			}
			reserved := 0
			s, bad, err := readLarge(text, readSize, func(n int) error { reserved += n; return nil })
			if err != nil || bad != nil {
				t.Fatalf("%s in reads of %d bytes: %v %v", name, readSize, bad, err)
			}
			if s.ID != "9b1f" || s.Class != "order" || s.Group != 2 || s.Key != `it's \x` || !s.Write || !s.Large() {
				t.Errorf("%s: %+v", name, s)
			}
			var out bytes.Buffer
			if err := s.WriteQuery(&out, 333*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			want := AppendQuery(nil, strings.TrimSuffix(strings.Replace(text, "d=480", "d=333", 1), "\x00"))
			if !bytes.Equal(out.Bytes(), want) {
				t.Errorf("%s in reads of %d bytes: the output differs from the input", name, readSize)
			}
			typical, limit := LargeMemory(len(text))
			if name == "both" || name == "late other" {
				typical = limit
			}
			if int64(reserved) > typical {
				t.Errorf("%s in reads of %d bytes: %d bytes reserved, at most %d expected", name, readSize, reserved, typical)
			}
		}
	}
}

func TestLargeStatementInvalid(t *testing.T) {
	many := strings.Repeat("9f", SmallValue+1)
	head := insertHead + "'k', '\\x"
	for name, c := range map[string]struct{ text, code string }{
		"a long read":         {selectHead + "'" + many + "'" + insertEnd, CodeProtocolViolation},
		"no value in hex":     {insertHead + "'k', '" + many + insertEnd, CodeProtocolViolation},
		"odd digits":          {head + many + "9" + insertEnd, CodeSyntax},
		"odd digits, raw":     {head + many + "9F9" + insertEnd, CodeSyntax},
		"another end":         {head + many + "') " + insertEnd, CodeSyntax},
		"no end":              {head + many + "\x00", CodeSyntax},
		"only digits":         {head + many, CodeSyntax},
		"a long end":          {head + many + "')" + many + insertEnd, CodeSyntax},
		"no zero byte":        {head + many + strings.TrimSuffix(insertEnd, "\x00"), CodeProtocolViolation},
		"over 4 MiB":          {head + strings.Repeat("9f", MaxValue+1) + insertEnd, CodeProtocolViolation},
		"an open quote":       {insertHead + "'" + many + insertEnd, CodeProtocolViolation},
		"a name that is long": {insertHead + "'" + strings.Repeat("k", 2*maxKeyLength+20) + "', '\\x" + many + insertEnd, CodeProtocolViolation},
	} {
		s, bad, err := readLarge(c.text, 1000, func(int) error { return nil })
		if s != nil || err != nil || bad == nil || bad.Code != c.code {
			t.Errorf("%s: %v %v %v, want %s", name, s, bad, err, c.code)
		}
	}
	full := errors.New("full")
	if _, _, err := readLarge(head+many+insertEnd, 1000, func(int) error { return full }); !errors.Is(err, full) {
		t.Error(err)
	}
}

func BenchmarkLargeStatement(b *testing.B) {
	text := insertHead + "'k', '\\x" + strings.Repeat("9f", MaxValue) + insertEnd
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		s, _, _ := readLarge(text, ChunkSize, func(int) error { return nil })
		_ = s.WriteQuery(discard{}, time.Second)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

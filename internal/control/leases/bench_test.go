package leases

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkApplyRenew measures the renewal of one of 300 leases at a voter, the hot path of the machine.
func BenchmarkApplyRenew(b *testing.B) {
	var m Machine
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprint("scout/", i)
		m.Apply(uint64(i+1), Entry{Op: Acquire, Name: names[i], Holder: names[i], TTL: 2 * time.Second, Term: 1})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		k := i % 300
		r := m.Apply(uint64(301+i), Entry{Op: Renew, Name: names[k], Holder: names[k], Token: uint64(k + 1),
			TTL: 2 * time.Second, Term: 1, Now: time.Duration(i) * time.Microsecond})
		if r.Err != nil {
			b.Fatal(r.Err)
		}
	}
}

// BenchmarkCodec measures encoding and decoding an entry, as for each entry of the log.
func BenchmarkCodec(b *testing.B) {
	e := Entry{Op: Renew, Name: "scout/cell-3", Holder: "n217", Token: 99, TTL: 2 * time.Second, Term: 4}
	buf := make([]byte, 0, MaxEncoded)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		if _, _, err := Decode(Encode(buf[:0], uint64(i), e)); err != nil {
			b.Fatal(err)
		}
	}
}

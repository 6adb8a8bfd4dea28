package chain

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// Measures one request with a number of distinct sub-calls while other chains are
// running.
func BenchmarkRequestWithSubCalls(b *testing.B) {
	for _, running := range []int{10, 1000} {
		for _, calls := range []int{0, 1, 8, 64} {
			b.Run(fmt.Sprintf("running=%d/calls=%d", running, calls), func(b *testing.B) {
				table := NewTable(Config{})
				token := func(i int) (t Token) {
					binary.LittleEndian.PutUint64(t[:], uint64(i))
					return t
				}
				c := Chain{ID: "id", Allowance: 2, Path: []string{"a.x", "b.x", "c.x"}}
				for i := range running {
					_ = table.Enter(at(0), token(i), c, 15)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					tok := token(running + i)
					_ = table.Enter(at(0), tok, c, 15)
					for f := range uint64(calls) {
						g, _ := table.BeginCall(at(0), tok, Call{Service: "d.x", Fingerprint: f, MaxDepth: 15})
						table.EndCall(at(1), tok, &g, Outcome{Answered: true, Unused: g.Allowance()})
					}
					table.Leave(at(2), tok)
				}
			})
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1024)
	b.ReportAllocs()
	for range b.N {
		Fingerprint("GET", "routebook.qureshi", "/v1/routes/17?day=today", "", BodyHash(body))
	}
}

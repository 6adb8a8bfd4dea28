package claims

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

func newBenchGuard(b *testing.B) (*Guard, *fakeLog) {
	log := newFakeLog()
	g, err := NewGuard(Options{Service: policy.ServiceName{Customer: "qureshi", Service: "paydesk"},
		Process: uuid.New(), Log: log, OutcomeClient: &fakePeers{}, ClaimTimeout: 10 * time.Second,
		Config: idempotency.Config{MaxKeys: 1 << 30}})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-done })
	for !g.Ready() {
		runtime.Gosched()
	}
	return g, log
}

// BenchmarkBegin reports the claims per append and the latency of a call with many
// calls in flight. The log responds to an append after logLatency.
func BenchmarkBegin(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			g, log := newBenchGuard(b)
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := c; i < b.N; i += callers {
						v, err := g.Begin(context.Background(), fmt.Sprintf("order-%d", i), 1)
						if err != nil {
							b.Error(err)
							return
						}
						v.Token.Finish(nil)
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/float64(log.appends), "claims/append")
			b.ReportMetric(float64(b.Elapsed().Milliseconds())*float64(min(callers, b.N))/float64(b.N), "ms/call")
		})
	}
}

// BenchmarkBeginIssued measures a call with an issued key, which does not need the
// log.
func BenchmarkBeginIssued(b *testing.B) {
	g, _ := newBenchGuard(b)
	b.ReportAllocs()
	for b.Loop() {
		keys, _, _ := g.IssueKeys(1)
		v, err := g.Begin(context.Background(), keys[0], 1)
		require.NoError(b, err)
		v.Token.Finish(nil)
	}
}

// BenchmarkReplay measures a repeat that receives the stored response.
func BenchmarkReplay(b *testing.B) {
	g, _ := newBenchGuard(b)
	v, err := g.Begin(context.Background(), "order", 1)
	require.NoError(b, err)
	v.Token.Finish([]byte("placed"))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = g.Begin(context.Background(), "order", 1)
	}
}

// BenchmarkMemory reports the heap bytes per key claimed by another process, and
// per key executed by this process without and with a stored response.
func BenchmarkMemory(b *testing.B) {
	const keys = 100_000
	heap := func() float64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	for b.Loop() {
		config := idempotency.Config{MaxResponseBytes: 1 << 30, MaxKeys: 1 << 30}.WithDefaults()
		m := idempotency.NewMachine(config, uuid.New(), idempotency.Seed{})
		before := heap()
		for i := range uint64(keys) {
			r := idempotency.Record{Type: idempotency.RecordClaim, Format: idempotency.FormatOpaque, Owner: uuid.Nil, Nonce: i}
			copy(r.Hash[:], fmt.Sprintf("%016d", i))
			m.Step(0, idempotency.Records{Batch: logservice.Batch{Next: i + 1,
				Records: []logservice.Record{{Offset: i, Time: time.UnixMilli(1e9), Data: r.Encode()}}}})
		}
		b.ReportMetric((heap()-before)/keys, "B/claimed-key")
		m2 := idempotency.NewMachine(config, uuid.New(), idempotency.Seed{})
		for _, size := range []int{0, 64} {
			start := heap()
			for i := range uint64(keys) {
				key, _ := idempotency.ParseKey(m2.IssueKey(0))
				m2.Step(0, idempotency.Request{Attempt: i + 1, Key: key})
				m2.Step(0, idempotency.Finish{Token: i + 1 + uint64(size/64)*keys, Response: make([]byte, size)})
			}
			b.ReportMetric((heap()-start)/keys, fmt.Sprintf("B/executed-key-with-%d-B-response", size))
		}
		runtime.KeepAlive([]any{m, m2})
	}
}

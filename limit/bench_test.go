package limit

import (
	"testing"
	"time"
)

func BenchmarkObserve(b *testing.B) {
	now := time.Unix(0, 0)
	l := New(Config{Slots: 50, MinLimit: 2}, now)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(400 * time.Microsecond)
		l.Observe(now, Sample{Latency: time.Duration(15+i%10) * time.Millisecond, InFlight: l.Limit()})
	}
}

func BenchmarkLimit(b *testing.B) {
	l := New(Config{Slots: 50, MinLimit: 2}, time.Unix(0, 0))
	b.ReportAllocs()
	for range b.N {
		l.Limit()
	}
}

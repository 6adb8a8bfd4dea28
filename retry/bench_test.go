package retry

import (
	"testing"
	"time"
)

func BenchmarkSplitAndReclaim(b *testing.B) {
	a := NewAllowance(4)
	b.ReportAllocs()
	for range b.N {
		share := a.Split(0)
		a.Reclaim(&share, 2)
	}
}

func BenchmarkBudgetAttemptAndRetry(b *testing.B) {
	now := time.Unix(0, 0)
	budget := NewBudget(BudgetConfig{Ratio: 0.1, MinRatePerSecond: 1, Burst: 20}, now)
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Millisecond)
		budget.RecordAttempt(now)
		budget.AllowRetry(now)
	}
}

package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a retry storm: in any sequence of calls the retries stay within
// the sum of the burst, the ratio of first attempts and the minimum rate.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := BudgetConfig{Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"),
			MinRatePerSecond: rapid.Float64Range(0, 5).Draw(t, "rate"), Burst: rapid.Float64Range(1, 50).Draw(t, "burst")}
		start := time.Unix(0, 0)
		now, latest := start, start
		b := NewBudget(config, now)
		attempts, retries := 0.0, 0.0
		for _, step := range rapid.SliceOfN(rapid.IntRange(-1, 200), 1, 300).Draw(t, "steps") {
			// A clock that steps back must not add tokens.
			now = now.Add(time.Duration(step) * time.Millisecond)
			if now.After(latest) {
				latest = now
			}
			if step%2 == 0 {
				b.RecordAttempt(now)
				attempts++
			}
			if b.AllowRetry(now) {
				retries++
			}
		}
		bound := config.Burst + config.Ratio*attempts + config.MinRatePerSecond*latest.Sub(start).Seconds()
		require.LessOrEqual(t, retries, bound+1e-6)
	})
}

// Guards against a service with little traffic that never gets a token.
func TestBudgetMinimumRateAllowsRetryWithoutTraffic(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(BudgetConfig{Ratio: 0.1, MinRatePerSecond: 1, Burst: 2}, now)
	require.True(t, b.AllowRetry(now))
	require.True(t, b.AllowRetry(now))
	require.False(t, b.AllowRetry(now))
	require.True(t, b.AllowRetry(now.Add(time.Second)))
	require.False(t, b.AllowRetry(now.Add(time.Second)))
	b.Configure(BudgetConfig{Burst: 1}, now.Add(time.Minute))
	require.InDelta(t, 1, b.Tokens(now.Add(time.Hour)), 1e-9)
}

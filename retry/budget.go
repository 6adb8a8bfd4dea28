package retry

import "time"

// Defaults of BudgetConfig. The minimum rate lets a service with little traffic
// retry: at ratio 0.1, a service with one call per second would otherwise wait ten
// seconds for a token. The burst covers the calls that were in flight to one
// target when it failed.
const (
	DefaultMinRatePerSecond = 1.0
	DefaultBurst            = 20.0
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the share of first attempts that may be retried, 0 to 1.
	Ratio float64
	// MinRatePerSecond is the number of tokens added per second, independent
	// of traffic.
	MinRatePerSecond float64
	// Burst is the maximum number of tokens.
	Burst float64
}

// Budget limits the retries of one service with a token bucket: each first attempt
// adds Ratio tokens, each retry consumes one. Over time this limits the load to
// 1+Ratio times the first attempts, plus the minimum rate.
//
// Source: the retry budget of Finagle (Twitter) and chapter 22 of "Site
// Reliability Engineering" (Beyer and others, 2016).
//
// A Budget is not safe for concurrent use.
type Budget struct {
	config     BudgetConfig
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a budget with Burst tokens.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Burst, refilledAt: now}
}

// Configure replaces the configuration; tokens above the new burst are discarded.
func (b *Budget) Configure(config BudgetConfig, now time.Time) {
	b.refill(now)
	b.config = config
	b.tokens = min(b.tokens, config.Burst)
}

// RecordAttempt records one first attempt.
func (b *Budget) RecordAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// AllowRetry reports whether a retry may be sent, and consumes a token if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Consume consumes n tokens, or all tokens if there are fewer.
func (b *Budget) Consume(now time.Time, n float64) {
	b.refill(now)
	b.tokens = max(0, b.tokens-n)
}

// Tokens returns the number of available tokens.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed.Seconds()*b.config.MinRatePerSecond, b.config.Burst)
}

package retry

import "time"

// Defaults of a budget. MinRate lets a service with little traffic retry at
// all: at ratio 0.1 a service with one call per second would otherwise wait ten
// seconds for its first token. Burst covers the calls that were in flight to
// one target when it failed.
const (
	DefaultMinRatePerSecond = 1.0
	DefaultBurst            = 20.0
)

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Ratio is the share of first attempts that may be retried, 0 to 1.
	Ratio float64
	// MinRatePerSecond adds tokens over time, whatever the traffic is.
	MinRatePerSecond float64
	// Burst bounds the tokens that can be saved up.
	Burst float64
}

// Budget bounds the retries of one service with a token bucket: each first
// attempt adds Ratio, each retry costs 1. It bounds the total load from
// retries at 1+Ratio times the first attempts, plus the minimum rate.
//
// Source: the retry budget of Finagle (Twitter) and chapter 22 of "Site
// Reliability Engineering" (Beyer and others, 2016).
//
// A Budget is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	tokens float64
	at     time.Time
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Burst, at: now}
}

// Configure replaces the settings; saved tokens above the new burst are lost.
func (b *Budget) Configure(config BudgetConfig, now time.Time) {
	b.refill(now)
	b.config = config
	b.tokens = min(b.tokens, config.Burst)
}

// Attempt records one first attempt.
func (b *Budget) Attempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Retry reports whether a retry may be sent, and pays for it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Spend pays for n retries, as far as the tokens go.
func (b *Budget) Spend(now time.Time, n float64) {
	b.refill(now)
	b.tokens = max(0, b.tokens-n)
}

// Tokens returns the number of retries that could be sent at once.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.tokens+elapsed.Seconds()*b.config.MinRatePerSecond, b.config.Burst)
}

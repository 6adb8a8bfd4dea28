package node

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// budgets holds the retry budget of each service that this node calls.
type budgets struct {
	mu        sync.Mutex
	byService map[policy.ServiceName]*retry.Budget
}

func newBudgets() *budgets { return &budgets{byService: map[policy.ServiceName]*retry.Budget{}} }

func (b *budgets) get(q *request, now time.Time) *retry.Budget {
	config := retry.BudgetConfig{
		Ratio: q.policy.RetryBudgetRatio, MinRatePerSecond: retry.DefaultMinRatePerSecond, Burst: retry.DefaultBurst,
	}
	budget := b.byService[q.name]
	if budget == nil {
		budget = retry.NewBudget(config, now)
		b.byService[q.name] = budget
	}
	return budget
}

// attempt records a first attempt.
func (b *budgets) attempt(q *request) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(q, now).RecordAttempt(now)
}

// retry reports whether the budget allows one more attempt, and deducts it.
func (b *budgets) retry(q *request) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(q, now).AllowRetry(now)
}

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

// recordAttempt adds the first attempt of a request to the budget.
func (b *budgets) recordAttempt(q *request) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(q, now).RecordAttempt(now)
}

// allowRetry reports whether the budget allows another attempt, and if so
// deducts it.
func (b *budgets) allowRetry(q *request) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(q, now).AllowRetry(now)
}

package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// burstSpendTime is the time over which saved tokens are spent while they do
// not suffice for all retries: half of the platform's 10 s budget window.
const burstSpendTime = 5 * time.Second

// serviceBudget is this node's share of the retry budget of one service.
type serviceBudget struct {
	*retry.Budget
	// retrySelector selects the chains that may use the budget.
	retrySelector *pressure.RetryController
	// firstAttempts counts the first attempts since intervalStart,
	// recentAttempts those of the previous intervals.
	firstAttempts  float64
	recentAttempts [burstIntervals]float64
	intervalStart  time.Time
}

// totalRecentAttempts returns the number of first attempts in the previous
// intervals.
func (s *serviceBudget) totalRecentAttempts() float64 {
	total := 0.0
	for _, n := range s.recentAttempts {
		total += n
	}
	return total
}

// retryRate returns the retries per second that the budget allows: the current
// earnings plus a share of the saved tokens.
func (s *serviceBudget) retryRate(now time.Time, config retry.BudgetConfig) float64 {
	earnRate := config.Ratio*s.recentAttempts[burstIntervals-1]/rateInterval.Seconds() + config.MinRatePerSecond
	return earnRate + s.Tokens(now)/burstSpendTime.Seconds()
}

// budgetState is the state of the retry budget of a service.
type budgetState struct {
	// Tokens is the number of retries that could be sent at once.
	Tokens float64 `json:"tokens"`
	// Cutoff is the position below which the refused calls of chains are
	// retried.
	Cutoff float64 `json:"cutoff"`
}

func (s *serviceBudget) state(now time.Time) budgetState {
	return budgetState{s.Tokens(now), float64(s.retrySelector.Cutoff())}
}

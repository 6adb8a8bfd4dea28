package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// spendTime is the time in which saved repeats are to be used up while they do
// not suffice for all: half of the 10 s window that the platform's budgets have.
const spendTime = 5 * time.Second

// serviceBudget is this node's part of the budget of one service.
type serviceBudget struct {
	*retry.Budget
	// repeats chooses what the budget is spent on.
	repeats *pressure.RetryController
	// attempts counts the first attempts since measured, and recent those of the
	// intervals before.
	attempts float64
	recent   [savedIntervals]float64
	measured time.Time
}

// sum returns the first attempts of the recent intervals.
func (s *serviceBudget) sum() float64 {
	sum := 0.0
	for _, n := range s.recent {
		sum += n
	}
	return sum
}

// supply returns the repeats per second that the budget allows: those that are
// being earned, and a part of the saved ones.
func (s *serviceBudget) supply(now time.Time, part retry.BudgetConfig) float64 {
	earned := part.Ratio*s.recent[savedIntervals-1]/rateInterval.Seconds() + part.MinRatePerSecond
	return earned + s.Tokens(now)/spendTime.Seconds()
}

// budgetState is what is left of the budget of a service.
type budgetState struct {
	// Tokens is the number of repeats that could be sent at once.
	Tokens float64 `json:"tokens"`
	// Cutoff is the position of chains up to which refused calls are repeated.
	Cutoff float64 `json:"cutoff"`
}

func (s *serviceBudget) state(now time.Time) budgetState {
	return budgetState{s.Tokens(now), float64(s.repeats.Cutoff())}
}

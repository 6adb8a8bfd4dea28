package mesh

import "time"

// RetryBudgetConfig bounds the retries of requests to one service, summed over
// all nodes: in any Window at most Ratio times the number of requests to it,
// plus Slack.
type RetryBudgetConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

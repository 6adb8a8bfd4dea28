package mesh

import "time"

// BudgetConfig bounds the repeated requests of one service, summed over all
// nodes: in any Window at most Ratio times the requests for it plus Slack.
type BudgetConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

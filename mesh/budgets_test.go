package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against nodes whose retries together exceed the budget of a service in
// some window. The sub-calls of a retried request count as retries. The bound
// is the platform's: ratio times the requests of a window, plus the slack.
func TestNodesStayWithinTheSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(4, 40).Draw(t, "nodes")
		rate := rapid.IntRange(1, 300).Draw(t, "requests a second at each node")
		runs := rapid.IntRange(1, 8).Draw(t, "runs below")
		config := RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 49}
		now := time.Unix(0, 0)
		nodeBudgets := make([]*budgets, nodes)
		for i := range nodeBudgets {
			nodeBudgets[i] = newBudgets(config)
			nodeBudgets[i].setNodeCount(now, nodes)
		}
		const seconds = 30
		retries := make([]float64, seconds)
		for second := range seconds {
			for range rate {
				now = now.Add(time.Second / time.Duration(rate))
				for _, b := range nodeBudgets {
					b.recordFirstAttempt(now, "below")
					if b.trySpend(now, map[string]float64{"below": float64(runs)}, 0) {
						retries[second] += float64(runs)
					}
				}
			}
		}
		for second := 0; second+10 <= seconds; second++ {
			sum := 0.0
			for _, n := range retries[second : second+10] {
				sum += n
			}
			require.LessOrEqual(t, sum, config.Ratio*float64(10*rate*nodes)+config.Slack)
		}
	})
}

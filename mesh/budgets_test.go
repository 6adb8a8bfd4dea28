package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against nodes that together repeat more than the budget of a service
// allows in some window, with the repeats that the sub-calls of repeated runs
// are. The bound is that of the platform: ratio times the requests of a window
// plus the slack.
func TestNodesStayWithinTheSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(4, 40).Draw(t, "nodes")
		rate := rapid.IntRange(1, 300).Draw(t, "requests a second at each node")
		runs := rapid.IntRange(1, 8).Draw(t, "runs below")
		config := BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 49}
		now := time.Unix(0, 0)
		all := make([]*budgets, nodes)
		for i := range all {
			all[i] = newBudgets(config)
			all[i].resize(now, nodes)
		}
		const seconds = 30
		repeats := make([]float64, seconds)
		for s := range seconds {
			for range rate {
				now = now.Add(time.Second / time.Duration(rate))
				for _, b := range all {
					b.attempt(now, "below")
					if b.take(now, map[string]float64{"below": float64(runs)}, 0) {
						repeats[s] += float64(runs)
					}
				}
			}
		}
		for s := 0; s+10 <= seconds; s++ {
			sum := 0.0
			for _, n := range repeats[s : s+10] {
				sum += n
			}
			require.LessOrEqual(t, sum, config.Ratio*float64(10*rate*nodes)+config.Slack)
		}
	})
}

package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against targets that stay idle for many seconds after a mass start or a
// healed partition: in a cluster of hundreds the news that they are ready is delayed,
// and all work goes to the few that are known as ready.
func TestStartingTargetIsTriedBeforeNewsOfReadinessArrives(t *testing.T) {
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	table := NewTable(Options{Node: "n", AssumeReadyAfter: time.Second})
	table.Update(now, Member{ID: "known", State: Ready, Slots: 8})
	table.Update(now, Member{ID: "late", State: Starting, Slots: 8})
	picked := func() int {
		late := 0
		for range 100 {
			id, err := table.Pick(rng, now, PickInput{})
			require.NoError(t, err)
			if id == "late" {
				late++
			}
		}
		return late
	}
	require.Zero(t, picked())
	now = now.Add(time.Second)
	require.NotZero(t, picked())

	// A refusal because the target is not ready excludes it for longer and longer.
	for _, exclusion := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		table.Start(now, "late")
		table.Done(now, "late", Result{Kind: kind.Starting, Responded: true})
		now = now.Add(exclusion - time.Millisecond)
		require.Zero(t, picked())
		now = now.Add(time.Millisecond)
		require.NotZero(t, picked())
	}

	// News ends the exclusion, and starts a new one if the target starts again.
	table.Start(now, "late")
	table.Done(now, "late", Result{Kind: kind.Starting, Responded: true})
	table.Update(now, Member{ID: "late", State: Ready, Slots: 8})
	require.NotZero(t, picked())
	table.Update(now, Member{ID: "late", State: Starting, Slots: 8})
	require.Zero(t, picked())
	table.Update(now, Member{ID: "late", State: Draining, Slots: 8})
	now = now.Add(time.Minute)
	require.Zero(t, picked())
}

// Guards against calls to a starting target in a deployment that waits for the
// announcement of its state.
func TestStartingTargetGetsNoCallsByDefault(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(Options{Node: "n"})
	table.Update(now, Member{ID: "t", State: Starting, Slots: 8})
	_, err := table.Pick(rand.New(rand.NewPCG(1, 1)), now.Add(time.Minute), PickInput{})
	require.Equal(t, kind.NoTarget, kind.Of(err).Kind)
}

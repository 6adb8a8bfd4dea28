package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against sending calls to a target whose node has reported that it is
// draining, before the membership has propagated that state.
func TestDrainingResponseExcludesTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Options{})
	for _, id := range []TargetID{"a", "b"} {
		table.Update(now, Member{ID: id, State: Ready, Slots: 4})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	table.Start(now, "a")
	table.Done(now, "a", Result{Kind: kind.Draining, Responded: true})
	for range 100 {
		id, err := table.Pick(rng, now.Add(time.Second), PickInput{})
		require.NoError(t, err)
		require.Equal(t, TargetID("b"), id)
	}
}

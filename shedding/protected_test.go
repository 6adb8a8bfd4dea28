package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// Guards against refusing a payout or an order because of an outdated level while
// the service already serves less important requests again.
func TestProtectedRequestsAreLeftToTheQueue(t *testing.T) {
	now, rng := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 2))
	refused := func(protected, importance int) (n int) {
		table := NewTable(Config{ProtectedImportances: protected})
		table.Observe("pris", "t1", admission.MakeRank(1, false, 3), now)
		for range 200 {
			if table.Check(Request{Service: "pris", Class: "c", Importance: importance, ChainLevel: 100}, now, rng).Refuse {
				n++
			}
		}
		return n
	}
	require.Positive(t, refused(0, 1))
	require.Zero(t, refused(2, 1))
	require.Zero(t, refused(2, 0))
	require.Positive(t, refused(1, 1), "importance 1 is not protected")
	require.Positive(t, refused(2, 5), "less important than the level")
}

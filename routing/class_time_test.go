package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The pattern: targets of unequal speed at light load, each in a failure domain
// of its own, and calls of two classes, one of which a slow target often answers
// too late. missed returns the part of these that took longer than the deadline,
// and the part that left the failure domain.
func missed(t *testing.T, seed uint64, within time.Duration) (late, left float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(0, 0)
	table := NewTable(Options{Node: "n", DomainFactor: 3, FullUtilization: 1, SaturatedFactor: 1.7})
	speeds := []float64{0.5, 1, 1, 1.5}
	for i := range speeds {
		table.Update(now, Member{ID: TargetID(fmt.Sprint(i)), FailureDomain: fmt.Sprint(i), State: Ready, Slots: 100})
	}
	const deadline = 1200 * time.Millisecond
	calls, lateCalls, remote := 0.0, 0.0, 0.0
	for range 4000 {
		now = now.Add(20 * time.Millisecond)
		class, mean := "long", 400*time.Millisecond
		if rng.IntN(2) == 0 {
			class, mean = "short", 15*time.Millisecond
		}
		in := PickInput{FailureDomain: "0", Class: class}
		if class == "long" {
			in.Within = within
		}
		id, err := table.Pick(rng, now, in)
		require.NoError(t, err)
		table.Start(now, id)
		// Log-normal with a spread of 0.5.
		factor := math.Exp(0.5*rng.NormFloat64() - 0.125)
		took := time.Duration(float64(mean) * factor / speeds[id[0]-'0'])
		table.Done(now.Add(took), id, Result{Latency: took, Class: class, Load: &Load{InFlight: 5, Limit: 100}})
		if class == "long" {
			calls++
			if took > deadline {
				lateCalls++
			}
			if id != "0" {
				remote++
			}
		}
	}
	return lateCalls / calls, remote / calls
}

// Guards against a slow target that keeps the calls it answers too late because
// it is near, or because short calls make it look as fast as others.
func TestSlowTargetLosesTheCallsItAnswersTooLate(t *testing.T) {
	for seed := range uint64(5) {
		late, _ := missed(t, seed, 600*time.Millisecond)
		kept, _ := missed(t, seed, 0)
		require.Less(t, late, kept/3, "seed %d", seed)
	}
}

// Guards against calls that leave the failure domain although its target is fast
// enough for them.
func TestFastEnoughTargetKeepsItsCalls(t *testing.T) {
	for seed := range uint64(5) {
		_, left := missed(t, seed, 2*time.Second)
		_, before := missed(t, seed, 0)
		require.LessOrEqual(t, left, before+0.02, "seed %d", seed)
	}
}

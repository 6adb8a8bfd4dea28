package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// simulateSlowTarget simulates targets of unequal speed at light load, each in its
// own failure domain, and calls of two classes. The slow target often misses the
// deadline of the long class. It returns the share of long calls that missed
// the deadline and the share that left the failure domain.
func simulateSlowTarget(t *testing.T, seed uint64, allowed time.Duration) (late, left float64) {
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
			in.TimeLeft = allowed
		}
		id, err := table.Pick(rng, now, in)
		require.NoError(t, err)
		table.Start(now, id)
		// Log-normal with sigma 0.5 and mean 1.
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

// Guards against a slow target that keeps getting calls that miss their deadline,
// because it is in the local failure domain or because short calls lower its mean
// latency.
func TestSlowTargetGetsFewerLateCalls(t *testing.T) {
	for seed := range uint64(5) {
		late, _ := simulateSlowTarget(t, seed, 1200*time.Millisecond)
		lateWithoutBound, _ := simulateSlowTarget(t, seed, 0)
		require.Less(t, late, lateWithoutBound/3, "seed %d", seed)
	}
}

// Guards against calls that leave the failure domain although the local target
// meets their deadline.
func TestSufficientlyFastTargetKeepsItsCalls(t *testing.T) {
	for seed := range uint64(5) {
		_, left := simulateSlowTarget(t, seed, 4*time.Second)
		_, before := simulateSlowTarget(t, seed, 0)
		require.LessOrEqual(t, left, before+0.02, "seed %d", seed)
	}
}

// One target has become so slow that every call with a short deadline sent to it
// times out, while calls with longer deadlines succeed and the other targets
// have long queues. Guards against routing short calls to it once its recent
// refusals have decayed; each would fail its chain.
func TestTargetThatNeverRespondsInTimeGetsNoShortCalls(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	now := time.Unix(0, 0)
	table := NewTable(Options{Node: "n", DomainFactor: 3, FullUtilization: 1, SaturatedFactor: 1.7})
	for i := range 3 {
		table.Update(now, Member{ID: TargetID(fmt.Sprint(i)), FailureDomain: fmt.Sprint(i), State: Ready, Slots: 10})
	}
	const left = 700 * time.Millisecond
	done := func(id TargetID, class string, took time.Duration, result kind.Kind) {
		load := &Load{InFlight: 10, Waiting: 30, Limit: 10, ServiceTime: 120 * time.Millisecond}
		if id == "0" {
			load = &Load{InFlight: 10, Limit: 10, ServiceTime: 400 * time.Millisecond}
		}
		now = now.Add(2 * time.Millisecond)
		table.Start(now, id)
		table.Done(now, id, Result{Latency: took, Class: class, Kind: result, Load: load})
	}
	for range 500 {
		done("1", "rates", 100*time.Millisecond, "")
		done("2", "rates", 100*time.Millisecond, "")
		done("0", "rates", left, kind.DeadlineExpired)
		done("0", "quotes", 850*time.Millisecond, "")
	}
	now = now.Add(time.Second)
	done("1", "rates", 100*time.Millisecond, "")
	done("2", "rates", 100*time.Millisecond, "")
	for range 100 {
		id, err := table.Pick(rng, now, PickInput{FailureDomain: "0", Class: "rates", TimeLeft: left})
		require.NoError(t, err)
		require.NotEqual(t, TargetID("0"), id)
	}
}

// A service is saturated and the queue of the local target takes longer to drain
// than the call has time left, but its cost does not outweigh the preference for
// the local failure domain. Guards against calls that time out in that queue
// while remote targets would serve them.
func TestCallAvoidsQueueLongerThanTimeLeft(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	now := time.Unix(0, 0)
	table := NewTable(Options{Node: "n", DomainFactor: 3, FullUtilization: 1, SaturatedFactor: 1.7})
	const slots, work, left = 49, 90 * time.Millisecond, 700 * time.Millisecond
	for i, queues := range []int{8, 5, 5} {
		id := TargetID(fmt.Sprint(i))
		table.Update(now, Member{ID: id, FailureDomain: fmt.Sprint(i), State: Ready, Slots: slots})
		for range 50 {
			now = now.Add(time.Millisecond)
			table.Start(now, id)
			table.Done(now, id, Result{
				Latency: 300 * time.Millisecond, Class: "rates", Load: &Load{InFlight: slots, Waiting: queues * slots, Limit: slots, ServiceTime: work},
			})
		}
	}
	for range 100 {
		id, err := table.Pick(rng, now, PickInput{FailureDomain: "0", Class: "rates", TimeLeft: left})
		require.NoError(t, err)
		require.NotEqual(t, TargetID("0"), id, "0.72 s to drain the queue and 0.09 s for the call")
	}
}

// Calls of 15 ms and of 700 ms go to equal targets, and each target reports the
// mean service time of the calls it received. Guards against short calls herding
// to one target, which then reports a short service time and attracts more,
// until they queue there behind one another.
func TestCallMixDoesNotBiasTargetComparison(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	now := time.Unix(0, 0)
	table := NewTable(Options{Node: "n", MaxLatencyFactor: 16})
	for i := range 4 {
		table.Update(now, Member{ID: TargetID(fmt.Sprint(i)), State: Ready, Slots: 100})
	}
	calls := map[TargetID]int{}
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		id, err := table.Pick(rng, now, PickInput{})
		require.NoError(t, err)
		calls[id]++
		// Target 0 has received only short calls, the others long ones as well.
		class, own, mean := "short", 15*time.Millisecond, 15*time.Millisecond
		if id != "0" {
			mean = 300 * time.Millisecond
			if i%2 == 0 {
				class, own = "long", 700*time.Millisecond
			}
		}
		table.Start(now, id)
		table.Done(now, id, Result{Latency: own, OwnTime: own, Class: class, Load: &Load{InFlight: 50, Limit: 100, ServiceTime: mean}})
	}
	require.Less(t, calls["0"], 4000/4*5/4)
}

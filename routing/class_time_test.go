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

// The pattern: targets of unequal speed at light load, each in a failure domain
// of its own, and calls of two classes, one of which a slow target often answers
// too late. missed returns the part of these that took longer than the deadline,
// and the part that left the failure domain.
func missed(t *testing.T, seed uint64, allowed time.Duration) (late, left float64) {
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
			in.Left = allowed
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
		late, _ := missed(t, seed, 1200*time.Millisecond)
		kept, _ := missed(t, seed, 0)
		require.Less(t, late, kept/3, "seed %d", seed)
	}
}

// Guards against calls that leave the failure domain although its target is fast
// enough for them.
func TestFastEnoughTargetKeepsItsCalls(t *testing.T) {
	for seed := range uint64(5) {
		_, left := missed(t, seed, 4*time.Second)
		_, before := missed(t, seed, 0)
		require.LessOrEqual(t, left, before+0.02, "seed %d", seed)
	}
}

// The pattern: one target has become so slow that no short call sent to it ends
// in time, while longer calls do and the queues of the others are long. Guards
// against short calls that go there all the same once the refusals are
// forgotten, each of which would fail its chain.
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
		id, err := table.Pick(rng, now, PickInput{FailureDomain: "0", Class: "rates", Left: left})
		require.NoError(t, err)
		require.NotEqual(t, TargetID("0"), id)
	}
}

// The pattern: a service is saturated, and the queue of the near target is longer
// than a call has time, though not by so much that its cost outweighs the
// preference for the failure domain. Guards against calls that wait there until
// they run out of time while others would serve them.
func TestCallLeavesAQueueThatOutlastsIt(t *testing.T) {
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
		id, err := table.Pick(rng, now, PickInput{FailureDomain: "0", Class: "rates", Left: left})
		require.NoError(t, err)
		require.NotEqual(t, TargetID("0"), id, "0.72 s until the queue is worked off and 0.09 s for the call")
	}
}

// The pattern: calls of 15 ms and of 700 ms go to equal targets, and a target
// reports the mean time of what it happened to get. Guards against the short
// calls herding to one target, which then reports a short time and attracts
// more, until they wait there behind one another.
func TestMixOfCallsDoesNotMakeATargetLookFast(t *testing.T) {
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
		// Target 0 has got short calls only so far, the others long ones as well.
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

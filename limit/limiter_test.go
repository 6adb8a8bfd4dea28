package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/limit"
	sim "github.com/goldcrestsail/goldcrestsail/limit/limitsim"
)

const ms = time.Millisecond

var epoch = sim.Epoch()

// seeds returns the number of seeds to run. Short runs use one, since the race
// detector slows the simulation down.
func seeds(full uint64) uint64 {
	if testing.Short() {
		return 1
	}
	return full
}

func newLimiter() *limit.Limiter {
	return limit.New(limit.Config{Slots: 50, MinLimit: 2, ColdStart: time.Second}, epoch)
}

// runSeeds simulates a changed base target with a new limiter for several seeds
// and checks each result.
func runSeeds(t *testing.T, change func(*sim.Target), check func(sim.Result)) {
	for seed := range seeds(3) {
		target := sim.Base()
		change(&target)
		check(target.Run(newLimiter(), seed))
	}
}

// Guards against a limit that falls although the target serves its published
// slots.
func TestLimitStaysAtAccurateSlots(t *testing.T) {
	for _, spread := range []float64{0.5, 1} {
		runSeeds(t, func(target *sim.Target) { target.Spread = spread }, func(r sim.Result) {
			mean, last := r.Limit(2*time.Second, r.Length())
			require.GreaterOrEqual(t, mean, 49.0)
			require.Equal(t, 50.0, last)
			require.GreaterOrEqual(t, r.Share(2*time.Second, r.Length()), 0.97)
		})
	}
}

// Guards against requests that queue inside the target, where no priority
// applies, when it can serve only half of its published slots.
func TestLimitConvergesToHalfOfTheSlots(t *testing.T) {
	for _, coldStart := range []time.Duration{0, time.Second} {
		for seed := range seeds(3) {
			target := sim.Base()
			target.Workers = sim.Constant(25)
			r := target.Run(limit.New(limit.Config{Slots: 50, MinLimit: 2, ColdStart: coldStart}, epoch), seed)
			mean, _ := r.Limit(5*time.Second, target.Length)
			require.InDelta(t, 25, mean, 9)
			require.GreaterOrEqual(t, r.Share(5*time.Second, target.Length), 0.9)
		}
	}
}

// Guards against goodput lost to a lower limit on a target that is slow but
// does not queue internally.
func TestLimitStaysWhenTargetSlowsWithoutQueueing(t *testing.T) {
	slow := sim.Base()
	slow.Service = sim.During(20*ms, 80*ms)
	runSeeds(t, func(target *sim.Target) { *target = slow }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom, sim.SlowTo)
		require.GreaterOrEqual(t, mean, 46.0)
		plain := slow.Run(sim.Plain{Slots: 50}, 0)
		require.GreaterOrEqual(t, r.Share(sim.SlowFrom, sim.SlowTo), 0.95*plain.Share(sim.SlowFrom, sim.SlowTo))
	})
}

// Guards against a limit that falls because a service that the target calls is
// slow, and against a queue inside the target that its sub-calls mask.
func TestSubCallTimeIsExcluded(t *testing.T) {
	slow := sim.Base()
	slow.Rate, slow.SubCalls = sim.Constant(1500.0), sim.During(30*ms, 100*ms)
	slow.Deadline = 250 * ms
	runSeeds(t, func(target *sim.Target) { *target = slow }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom, sim.SlowTo)
		require.GreaterOrEqual(t, mean, 46.0)
		require.GreaterOrEqual(t, r.Share(sim.SlowFrom, sim.SlowTo), 0.93)
	})
	runSeeds(t, func(target *sim.Target) { target.Workers, target.SubCalls = sim.Constant(15), sim.Constant(20*ms) }, func(r sim.Result) {
		mean, _ := r.Limit(5*time.Second, r.Length())
		t.Logf("15 workers, 30 requests in flight are enough: mean limit %.1f, goodput %.1f%%", mean, 100*r.Share(5*time.Second, r.Length()))
		require.InDelta(t, 30, mean, 11)
		require.GreaterOrEqual(t, r.Share(5*time.Second, r.Length()), 0.9)
	})
}

// Guards against goodput that stays low after the trigger has passed.
func TestLimitRecoversWithinTwoSeconds(t *testing.T) {
	for _, change := range []func(*sim.Target){
		func(target *sim.Target) { target.Workers = sim.During(50, 6) },
		func(target *sim.Target) { target.Workers = sim.During(50, 25) },
		func(target *sim.Target) {
			target.Slots, target.Workers, target.Rate, target.Service = 50, sim.During(50, 10), sim.Constant(1500.0), sim.Constant(50*ms)
			target.Expected, target.Deadline = 50*ms, 400*ms
		},
		func(target *sim.Target) { target.Service = sim.During(20*ms, 3*time.Second); target.Cancels = true },
	} {
		runSeeds(t, change, func(r sim.Result) {
			recovery := r.Recovery()
			require.GreaterOrEqual(t, recovery, time.Duration(0))
			require.LessOrEqual(t, recovery, 2*time.Second)
			_, last := r.Limit(sim.SlowTo, sim.SlowTo+2*time.Second)
			require.GreaterOrEqual(t, last, 47.0)
		})
	}
}

// Guards against requests that are still sent to a target that hangs or refuses.
func TestLimitDropsQuicklyOnTimeoutsAndRefusals(t *testing.T) {
	runSeeds(t, func(target *sim.Target) { target.Service = sim.During(20*ms, 3*time.Second); target.Cancels = true }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom+time.Second, sim.SlowTo)
		require.LessOrEqual(t, mean, 10.0)
	})
	runSeeds(t, func(tgt *sim.Target) { tgt.Workers = sim.During(50, 10); tgt.Bound = 10; tgt.Length = 12 * time.Second }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom+time.Second, sim.SlowFrom+2*time.Second)
		require.LessOrEqual(t, mean, 16.0)
	})
	// A constant share of failures that no limit reduces must not lower the limit.
	runSeeds(t, func(target *sim.Target) { target.Fault = 0.3 }, func(r sim.Result) {
		mean, _ := r.Limit(3*time.Second, r.Length())
		require.GreaterOrEqual(t, mean, 45.0)
	})
}

// Guards against full load on a target whose process has just started, and
// against a ramp that needs traffic or does not end at the slots.
func TestColdStartRamp(t *testing.T) {
	l := limit.New(limit.Config{Slots: 102, MinLimit: 2, ColdStart: 4 * time.Second}, epoch)
	at := func(s float64) int {
		l.Tick(epoch.Add(time.Duration(s * float64(time.Second))))
		return l.Limit()
	}
	require.Equal(t, []int{2, 27, 52, 102, 102}, []int{at(0), at(1), at(2), at(4), at(60)})
	l.TargetStarted(epoch.Add(time.Hour))
	require.Equal(t, 2, l.Limit())
	require.Equal(t, 52, at(3602))
	l.Configure(epoch.Add(time.Hour), limit.Config{Slots: 10, MinLimit: 20})
	require.Equal(t, 10, at(3603))

	for seed := range seeds(3) {
		target := sim.Base()
		target.Service = func(t time.Duration) time.Duration { return 20*ms + max(0, 60*ms-t/50) } // Slow until warm.
		r := target.Run(limit.New(limit.Config{Slots: 50, MinLimit: 2, ColdStart: 3 * time.Second}, epoch), seed)
		_, last := r.Limit(0, 4*time.Second)
		require.Equal(t, 50.0, last)
	}
}

// constantReport is a limiter that observes the same report at every tick,
// whatever the state of the target.
type constantReport struct {
	*limit.Limiter
	report limit.Report
}

func (l constantReport) Tick(now time.Time) { l.ObserveReport(now, l.report); l.Limiter.Tick(now) }

// Guards against a load or health endpoint that is wrong: a report of bad health
// must not cost much goodput, and a good one must not raise the limit.
func TestWrongReports(t *testing.T) {
	for seed := range seeds(3) {
		target := sim.Base()
		r := target.Run(constantReport{newLimiter(), limit.Report{Healthy: false, Capacity: 1}}, seed)
		require.GreaterOrEqual(t, r.Share(2*time.Second, target.Length), 0.95)
		mean, _ := r.Limit(2*time.Second, target.Length)
		require.GreaterOrEqual(t, mean, 47.0)

		target.Workers = sim.Constant(25)
		unreported, overstated := target.Run(newLimiter(), seed), target.Run(constantReport{newLimiter(), limit.Report{Healthy: true, Capacity: 1000}}, seed)
		require.Equal(t, unreported.Limits, overstated.Limits)
	}
}

// Guards against a limit that stays low after a sequence of faults.
func TestLimitRecoversAfterAnyFaults(t *testing.T) {
	for seed := range seeds(8) {
		rng := rand.New(rand.NewPCG(seed, 9))
		type phase struct {
			workers int
			service time.Duration
		}
		phases := make([]phase, 20)
		for i := range phases {
			phases[i] = phase{1 + rng.IntN(50), 20 * ms << rng.IntN(6)}
		}
		target := sim.Base()
		target.Cancels = true
		target.Spread = rng.Float64()
		at := func(t time.Duration) phase {
			if t >= sim.SlowTo {
				return phase{50, 20 * ms}
			}
			return phases[t/time.Second]
		}
		target.Workers = func(t time.Duration) int { return at(t).workers }
		target.Service = func(t time.Duration) time.Duration { return at(t).service }
		r := target.Run(newLimiter(), seed)
		mean, _ := r.Limit(sim.SlowTo+5*time.Second, target.Length)
		require.GreaterOrEqual(t, mean, 48.0, "seed %d", seed)
		require.GreaterOrEqual(t, r.Share(sim.SlowTo+3*time.Second, target.Length), 0.95, "seed %d", seed)
	}
	// Without load too, a low limit must rise before the next overload.
	l := newLimiter()
	for i := range 1000 {
		l.Observe(epoch.Add(2*time.Second+time.Duration(i)*5*ms), limit.Sample{Latency: ms, InFlight: l.Limit(), Refused: true})
	}
	require.Equal(t, 2, l.Limit())
	for i := range 2000 {
		l.Observe(epoch.Add(10*time.Second+time.Duration(i)*5*ms), limit.Sample{Latency: 20 * ms, InFlight: 1})
	}
	require.Equal(t, 50, l.Limit())
}

// Guards against an idle target that gets no requests because the mean service
// time from before is too long for their deadlines.
func TestServiceTimeExpires(t *testing.T) {
	l := newLimiter()
	for range 100 {
		l.Observe(epoch, limit.Sample{Latency: 400 * ms, InFlight: 1})
	}
	l.Tick(epoch.Add(400 * ms))
	require.Equal(t, 400*ms, l.ServiceTime())
	// A refusal carries no information about the service time.
	l.Observe(epoch.Add(450*ms), limit.Sample{Latency: ms, InFlight: 1, Refused: true})
	l.Tick(epoch.Add(600 * ms))
	require.Zero(t, l.ServiceTime())
	require.Zero(t, l.State().ServiceTime)
	l.Observe(epoch.Add(650*ms), limit.Sample{Latency: 20 * ms, InFlight: 1})
	require.Equal(t, 20*ms, l.ServiceTime())
}

// Guards against a limit outside the configured bounds, and against a panic, on
// arbitrary samples.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawConfig := func() limit.Config {
			return limit.Config{Slots: rapid.IntRange(0, 200).Draw(t, "slots"), MinLimit: rapid.IntRange(-1, 20).Draw(t, "floor"),
				ColdStart: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ramp")) * ms}
		}
		config, now := drawConfig(), epoch
		l := limit.New(config, now)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				config = drawConfig()
				l.Configure(now, config)
			case 1:
				l.TargetStarted(now)
			case 2:
				l.ObserveReport(now, limit.Report{Healthy: rng.IntN(2) == 0, Capacity: rng.IntN(300) - 50})
			}
			latency, failureRatio, step := rng.IntN(300)-1, rng.Float64(), rng.IntN(20)-1
			for range rng.IntN(300) {
				now = now.Add(time.Duration(step) * ms)
				s := limit.Sample{Latency: time.Duration(latency) * ms, Total: time.Duration(rng.IntN(400)) * ms, InFlight: rng.IntN(2 * (l.Limit() + 1))}
				s.TimedOut, s.Refused = rng.Float64() < failureRatio, rng.Float64() < failureRatio
				l.Observe(now, s)
				l.Tick(now)
				require.GreaterOrEqual(t, l.Limit(), max(min(config.MinLimit, config.Slots), 1))
				require.LessOrEqual(t, l.Limit(), max(config.Slots, 1))
			}
		}
	})
}

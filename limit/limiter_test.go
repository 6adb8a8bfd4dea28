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

// seeds is the number of seeds; the short run is for the race detector, which
// slows the simulation down.
func seeds(full uint64) uint64 {
	if testing.Short() {
		return 1
	}
	return full
}

func limiter() *limit.Limiter {
	return limit.New(limit.Config{Slots: 50, MinLimit: 2, ColdStart: time.Second}, epoch)
}

// eachSeed runs a fake against a fresh limiter with several seeds.
func eachSeed(t *testing.T, change func(*sim.Target), check func(sim.Result)) {
	for seed := range seeds(3) {
		f := sim.Base()
		change(&f)
		check(f.Run(limiter(), seed))
	}
}

// Guards against a limit that falls on a target that is as published.
func TestLimitStaysAtTrueSlots(t *testing.T) {
	for _, spread := range []float64{0.5, 1} {
		eachSeed(t, func(f *sim.Target) { f.Spread = spread }, func(r sim.Result) {
			mean, last := r.Limit(2*time.Second, r.Length())
			require.GreaterOrEqual(t, mean, 49.0)
			require.Equal(t, 50.0, last)
			require.GreaterOrEqual(t, r.Share(2*time.Second, r.Length()), 0.97)
		})
	}
}

// Guards against a queue inside the target, where no priority applies.
func TestLimitFindsTheTrueHalf(t *testing.T) {
	for _, coldStart := range []time.Duration{0, time.Second} {
		for seed := range seeds(3) {
			f := sim.Base()
			f.Workers = sim.Constant(25)
			r := f.Run(limit.New(limit.Config{Slots: 50, MinLimit: 2, ColdStart: coldStart}, epoch), seed)
			mean, _ := r.Limit(5*time.Second, f.Length)
			require.InDelta(t, 25, mean, 9)
			require.GreaterOrEqual(t, r.Share(5*time.Second, f.Length), 0.9)
		}
	}
}

// Guards against goodput lost to a lower limit on a target that is slow but
// does not queue.
func TestLimitStaysWhenTheTargetSlowsWithoutQueueing(t *testing.T) {
	slow := sim.Base()
	slow.Service = sim.During(20*ms, 80*ms)
	eachSeed(t, func(f *sim.Target) { *f = slow }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom, sim.SlowTo)
		require.GreaterOrEqual(t, mean, 46.0)
		plain := slow.Run(sim.Plain{Slots: 50}, 0)
		require.GreaterOrEqual(t, r.Share(sim.SlowFrom, sim.SlowTo), 0.95*plain.Share(sim.SlowFrom, sim.SlowTo))
	})
}

// Guards against a limit that falls because a service below the target is slow,
// and against a queue inside the target that hides behind its sub-calls.
func TestSubCallsAreNotTheTargetsOwnTime(t *testing.T) {
	slow := sim.Base()
	slow.Rate, slow.SubCalls = sim.Constant(1500.0), sim.During(30*ms, 100*ms)
	slow.Deadline = 250 * ms
	eachSeed(t, func(f *sim.Target) { *f = slow }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom, sim.SlowTo)
		require.GreaterOrEqual(t, mean, 46.0)
		require.GreaterOrEqual(t, r.Share(sim.SlowFrom, sim.SlowTo), 0.93)
	})
	eachSeed(t, func(f *sim.Target) { f.Workers, f.SubCalls = sim.Constant(15), sim.Constant(20*ms) }, func(r sim.Result) {
		mean, _ := r.Limit(5*time.Second, r.Length())
		t.Logf("15 workers, 30 requests in flight are enough: mean limit %.1f, goodput %.1f%%", mean, 100*r.Share(5*time.Second, r.Length()))
		require.InDelta(t, 30, mean, 11)
		require.GreaterOrEqual(t, r.Share(5*time.Second, r.Length()), 0.9)
	})
}

// Guards against goodput that stays low after the trigger has passed.
func TestLimitRecoversWithinTwoSeconds(t *testing.T) {
	for _, change := range []func(*sim.Target){
		func(f *sim.Target) { f.Workers = sim.During(50, 6) },
		func(f *sim.Target) { f.Workers = sim.During(50, 25) },
		func(f *sim.Target) {
			f.Slots, f.Workers, f.Rate, f.Service = 50, sim.During(50, 10), sim.Constant(1500.0), sim.Constant(50*ms)
			f.Expected, f.Deadline = 50*ms, 400*ms
		},
		func(f *sim.Target) { f.Service = sim.During(20*ms, 3*time.Second); f.Cancels = true },
	} {
		eachSeed(t, change, func(r sim.Result) {
			recovery := r.Recovery()
			require.GreaterOrEqual(t, recovery, time.Duration(0))
			require.LessOrEqual(t, recovery, 2*time.Second)
			_, last := r.Limit(sim.SlowTo, sim.SlowTo+2*time.Second)
			require.GreaterOrEqual(t, last, 47.0)
		})
	}
}

// Guards against work that is sent to a target that hangs or refuses.
func TestLimitFallsFastOnTimeoutsAndRefusals(t *testing.T) {
	eachSeed(t, func(f *sim.Target) { f.Service = sim.During(20*ms, 3*time.Second); f.Cancels = true }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom+time.Second, sim.SlowTo)
		require.LessOrEqual(t, mean, 10.0)
	})
	eachSeed(t, func(f *sim.Target) { f.Workers = sim.During(50, 10); f.Bound = 10; f.Length = 12 * time.Second }, func(r sim.Result) {
		mean, _ := r.Limit(sim.SlowFrom+time.Second, sim.SlowFrom+2*time.Second)
		require.LessOrEqual(t, mean, 16.0)
	})
	// A constant share of failures that no limit reduces is no reason to lower it.
	eachSeed(t, func(f *sim.Target) { f.Fault = 0.3 }, func(r sim.Result) {
		mean, _ := r.Limit(3*time.Second, r.Length())
		require.GreaterOrEqual(t, mean, 45.0)
	})
}

// Guards against a full load on a target whose process has just started, and
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
		f := sim.Base()
		f.Service = func(t time.Duration) time.Duration { return 20*ms + max(0, 60*ms-t/50) } // Slow until warm.
		r := f.Run(limit.New(limit.Config{Slots: 50, MinLimit: 2, ColdStart: 3 * time.Second}, epoch), seed)
		_, last := r.Limit(0, 4*time.Second)
		require.Equal(t, 50.0, last)
	}
}

// lying reports the same thing every 50 ms whatever is true.
type lying struct {
	*limit.Limiter
	report limit.Report
}

func (l lying) Tick(now time.Time) { l.ObserveReport(now, l.report); l.Limiter.Tick(now) }

// Guards against a load or health endpoint that lies: a bad report must not
// cost much goodput, and a good one must not raise the limit.
func TestLyingEndpoint(t *testing.T) {
	for seed := range seeds(3) {
		f := sim.Base()
		r := f.Run(lying{limiter(), limit.Report{Healthy: false, Capacity: 1}}, seed)
		require.GreaterOrEqual(t, r.Share(2*time.Second, f.Length), 0.95)
		mean, _ := r.Limit(2*time.Second, f.Length)
		require.GreaterOrEqual(t, mean, 47.0)

		f.Workers = sim.Constant(25)
		honest, praised := f.Run(limiter(), seed), f.Run(lying{limiter(), limit.Report{Healthy: true, Capacity: 1000}}, seed)
		require.Equal(t, honest.Limits, praised.Limits)
	}
}

// Guards against a limit that stays low after any sequence of faults.
func TestLimitIsNeverStuckLow(t *testing.T) {
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
		f := sim.Base()
		f.Cancels = true
		f.Spread = rng.Float64()
		at := func(t time.Duration) phase {
			if t >= sim.SlowTo {
				return phase{50, 20 * ms}
			}
			return phases[t/time.Second]
		}
		f.Workers = func(t time.Duration) int { return at(t).workers }
		f.Service = func(t time.Duration) time.Duration { return at(t).service }
		r := f.Run(limiter(), seed)
		mean, _ := r.Limit(sim.SlowTo+5*time.Second, f.Length)
		require.GreaterOrEqual(t, mean, 48.0, "seed %d", seed)
		require.GreaterOrEqual(t, r.Share(sim.SlowTo+3*time.Second, f.Length), 0.95, "seed %d", seed)
	}
	// The same without load: a low limit must not wait for the next overload.
	l := limiter()
	for i := range 1000 {
		l.Observe(epoch.Add(2*time.Second+time.Duration(i)*5*ms), limit.Sample{Latency: ms, InFlight: l.Limit(), Refused: true})
	}
	require.Equal(t, 2, l.Limit())
	for i := range 2000 {
		l.Observe(epoch.Add(10*time.Second+time.Duration(i)*5*ms), limit.Sample{Latency: 20 * ms, InFlight: 1})
	}
	require.Equal(t, 50, l.Limit())
}

// Guards against a target that was slow and is refused every request for which
// it was too slow, although it has had no work since.
func TestServiceTimeAges(t *testing.T) {
	l := limiter()
	for range 100 {
		l.Observe(epoch, limit.Sample{Latency: 400 * ms, InFlight: 1})
	}
	l.Tick(epoch.Add(400 * ms))
	require.Equal(t, 400*ms, l.ServiceTime())
	// A refusal says nothing about the service time.
	l.Observe(epoch.Add(450*ms), limit.Sample{Latency: ms, InFlight: 1, Refused: true})
	l.Tick(epoch.Add(600 * ms))
	require.Zero(t, l.ServiceTime())
	require.Zero(t, l.State().ServiceTime)
	l.Observe(epoch.Add(650*ms), limit.Sample{Latency: 20 * ms, InFlight: 1})
	require.Equal(t, 20*ms, l.ServiceTime())
}

// Guards against a limit outside the bounds of the policy, and against a crash,
// on samples that make no sense.
func TestLimitStaysWithinItsBounds(t *testing.T) {
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
			slow, bad, step := rng.IntN(300)-1, rng.Float64(), rng.IntN(20)-1
			for range rng.IntN(300) {
				now = now.Add(time.Duration(step) * ms)
				s := limit.Sample{Latency: time.Duration(slow) * ms, Total: time.Duration(rng.IntN(400)) * ms, InFlight: rng.IntN(2 * (l.Limit() + 1))}
				s.TimedOut, s.Refused = rng.Float64() < bad, rng.Float64() < bad
				l.Observe(now, s)
				l.Tick(now)
				require.GreaterOrEqual(t, l.Limit(), max(min(config.MinLimit, config.Slots), 1))
				require.LessOrEqual(t, l.Limit(), max(config.Slots, 1))
			}
		}
	})
}

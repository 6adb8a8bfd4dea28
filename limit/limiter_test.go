package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds is the number of seeds; the short run is for the race detector, which
// slows the simulation down.
func seeds(full uint64) uint64 {
	if testing.Short() {
		return 1
	}
	return full
}

func limiter() *Limiter {
	return New(Config{Slots: 50, MinLimit: 2, ColdStart: time.Second}, epoch)
}

// eachSeed runs a fake against a fresh limiter with several seeds.
func eachSeed(t *testing.T, change func(*fake), check func(result)) {
	for seed := range seeds(3) {
		f := base()
		change(&f)
		check(f.run(limiter(), seed))
	}
}

// Guards against a limit that falls on a target that is as published.
func TestLimitStaysAtTrueSlots(t *testing.T) {
	for _, spread := range []float64{0.5, 1} {
		eachSeed(t, func(f *fake) { f.spread = spread }, func(r result) {
			_, mean, last := r.limit(2*time.Second, r.f.length)
			require.GreaterOrEqual(t, mean, 49.0)
			require.Equal(t, 50.0, last)
			require.GreaterOrEqual(t, r.share(2*time.Second, r.f.length), 0.97)
		})
	}
}

// Guards against a queue inside the target, where no priority applies.
func TestLimitFindsTheTrueHalf(t *testing.T) {
	for _, coldStart := range []time.Duration{0, time.Second} {
		for seed := range seeds(3) {
			f := base()
			f.workers = constant(25)
			r := f.run(New(Config{Slots: 50, MinLimit: 2, ColdStart: coldStart}, epoch), seed)
			_, mean, _ := r.limit(5*time.Second, f.length)
			require.InDelta(t, 25, mean, 9)
			require.GreaterOrEqual(t, r.share(5*time.Second, f.length), 0.9)
		}
	}
}

// Guards against goodput lost to a lower limit on a target that is slow but
// does not queue.
func TestLimitStaysWhenTheTargetSlowsWithoutQueueing(t *testing.T) {
	eachSeed(t, func(f *fake) { f.service = during(20*ms, 80*ms) }, func(r result) {
		_, mean, _ := r.limit(slowFrom, slowTo)
		require.GreaterOrEqual(t, mean, 46.0)
		plain := r.f.run(plain{50}, 0)
		require.GreaterOrEqual(t, r.share(slowFrom, slowTo), 0.95*plain.share(slowFrom, slowTo))
	})
}

// Guards against goodput that stays low after the trigger has passed.
func TestLimitRecoversWithinTwoSeconds(t *testing.T) {
	for _, change := range []func(*fake){
		func(f *fake) { f.workers = during(50, 6) },
		func(f *fake) { f.workers = during(50, 25) },
		func(f *fake) { f.service = during(20*ms, 3*time.Second); f.cancels = true },
	} {
		eachSeed(t, change, func(r result) {
			recovery := r.recovery()
			require.GreaterOrEqual(t, recovery, time.Duration(0))
			require.LessOrEqual(t, recovery, 2*time.Second)
			_, _, last := r.limit(slowTo, slowTo+2*time.Second)
			require.GreaterOrEqual(t, last, 47.0)
		})
	}
}

// Guards against work that is sent to a target that hangs or refuses.
func TestLimitFallsFastOnTimeoutsAndRefusals(t *testing.T) {
	eachSeed(t, func(f *fake) { f.service = during(20*ms, 3*time.Second); f.cancels = true }, func(r result) {
		_, mean, _ := r.limit(slowFrom+time.Second, slowTo)
		require.LessOrEqual(t, mean, 10.0)
	})
	eachSeed(t, func(f *fake) { f.workers = during(50, 10); f.bound = 10; f.length = 12 * time.Second }, func(r result) {
		_, mean, _ := r.limit(slowFrom+time.Second, slowFrom+2*time.Second)
		require.LessOrEqual(t, mean, 16.0)
	})
	// A constant share of failures that no limit reduces is no reason to lower it.
	eachSeed(t, func(f *fake) { f.fault = 0.3 }, func(r result) {
		_, mean, _ := r.limit(3*time.Second, r.f.length)
		require.GreaterOrEqual(t, mean, 45.0)
	})
}

// Guards against a full load on a target whose process has just started, and
// against a ramp that needs traffic or does not end at the slots.
func TestColdStartRamp(t *testing.T) {
	l := New(Config{Slots: 102, MinLimit: 2, ColdStart: 4 * time.Second}, epoch)
	at := func(s float64) int {
		l.Tick(epoch.Add(time.Duration(s * float64(time.Second))))
		return l.Limit()
	}
	require.Equal(t, []int{2, 27, 52, 102, 102}, []int{at(0), at(1), at(2), at(4), at(60)})
	l.TargetStarted(epoch.Add(time.Hour))
	require.Equal(t, 2, l.Limit())
	require.Equal(t, 52, at(3602))
	l.Configure(epoch.Add(time.Hour), Config{Slots: 10, MinLimit: 20})
	require.Equal(t, 10, at(3603))

	for seed := range seeds(3) {
		f := base()
		f.service = func(t time.Duration) time.Duration { return 20*ms + max(0, 60*ms-t/50) } // Slow until warm.
		r := f.run(New(Config{Slots: 50, MinLimit: 2, ColdStart: 3 * time.Second}, epoch), seed)
		_, _, last := r.limit(0, 4*time.Second)
		require.Equal(t, 50.0, last)
	}
}

// lying reports the same thing every 50 ms whatever is true.
type lying struct {
	*Limiter
	report Report
}

func (l lying) Tick(now time.Time) { l.ObserveReport(now, l.report); l.Limiter.Tick(now) }

// Guards against a load or health endpoint that lies: a bad report must not
// cost much goodput, and a good one must not raise the limit.
func TestLyingEndpoint(t *testing.T) {
	for seed := range seeds(3) {
		f := base()
		r := f.run(lying{limiter(), Report{Healthy: false, Capacity: 1}}, seed)
		require.GreaterOrEqual(t, r.share(2*time.Second, f.length), 0.95)
		_, mean, _ := r.limit(2*time.Second, f.length)
		require.GreaterOrEqual(t, mean, 47.0)

		f.workers = constant(25)
		honest, praised := f.run(limiter(), seed), f.run(lying{limiter(), Report{Healthy: true, Capacity: 1000}}, seed)
		require.Equal(t, honest.limits, praised.limits)
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
		f := base()
		f.cancels = true
		f.spread = rng.Float64()
		at := func(t time.Duration) phase {
			if t >= slowTo {
				return phase{50, 20 * ms}
			}
			return phases[t/time.Second]
		}
		f.workers = func(t time.Duration) int { return at(t).workers }
		f.service = func(t time.Duration) time.Duration { return at(t).service }
		r := f.run(limiter(), seed)
		_, mean, _ := r.limit(slowTo+5*time.Second, f.length)
		require.GreaterOrEqual(t, mean, 48.0, "seed %d", seed)
		require.GreaterOrEqual(t, r.share(slowTo+3*time.Second, f.length), 0.95, "seed %d", seed)
	}
	// The same without load: a low limit must not wait for the next overload.
	l := limiter()
	l.limit, l.baseline = 2, 20*ms
	for i := range 2000 {
		l.Observe(epoch.Add(2*time.Second+time.Duration(i)*5*ms), Sample{Latency: 20 * ms, InFlight: 1})
	}
	require.Equal(t, 50, l.Limit())
}

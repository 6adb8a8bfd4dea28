package limitsim

import (
	"slices"
	"time"
)

// bucket is the resolution of a Result.
const bucket = 100 * time.Millisecond

// Result is what one run has shown.
type Result struct {
	// Limits holds the limit of each 100 ms.
	Limits    []float64
	good      []float64
	latencies []time.Duration
	target    Target
}

// Length returns the length of the run.
func (r Result) Length() time.Duration { return r.target.Length }

// Share returns the goodput from one time to another as a share of the best.
func (r Result) Share(from, to time.Duration) float64 {
	good, best := 0.0, 0.0
	for i := from / bucket; i < to/bucket; i++ {
		good += r.good[i]
		best += r.target.best(i * bucket)
	}
	return good / best
}

// Recovery returns the time from SlowTo until the goodput of half a second
// reaches 95% of its share before SlowFrom, or -1.
func (r Result) Recovery() time.Duration {
	before := r.Share(SlowFrom-3*time.Second, SlowFrom)
	for t := time.Duration(SlowTo); t+5*bucket <= r.target.Length; t += bucket {
		if r.Share(t, t+5*bucket) >= 0.95*before {
			return t - SlowTo
		}
	}
	return -1
}

// Limit returns the mean limit from one time to another, and the last one.
func (r Result) Limit(from, to time.Duration) (mean, last float64) {
	part := r.Limits[from/bucket : to/bucket]
	for _, l := range part {
		mean += l / float64(len(part))
	}
	return mean, part[len(part)-1]
}

// P95 returns the 95th percentile of the target's time for good responses.
func (r Result) P95() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.latencies))
	return sorted[len(sorted)*95/100]
}

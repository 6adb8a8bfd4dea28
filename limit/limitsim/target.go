package limitsim

import "time"

// Target is a simulated target behind a priority queue with open-loop Poisson
// arrivals. Times are since the start of the run.
type Target struct {
	Slots int
	// Workers is how many requests run at once; more wait inside the target.
	Workers func(t time.Duration) int
	Service func(t time.Duration) time.Duration
	// SubCalls is the time for which a request waits for sub-calls after its own
	// work; it holds a slot but no worker. Nil means none.
	SubCalls func(t time.Duration) time.Duration
	// Rate is the number of arrivals per second.
	Rate func(t time.Duration) float64
	// Spread 1 gives exponentially distributed service times, 0 constant ones.
	Spread float64
	// Bound makes the target refuse what exceeds it, if positive.
	Bound int
	// Fault is the share of requests that the target refuses whatever its load.
	Fault float64
	// Contention makes each request above the workers slow down all of them.
	Contention bool
	// Cancels makes the target stop a request whose caller has given up.
	Cancels bool
	// Expected is the service time that the queue assumes.
	Expected time.Duration
	// Deadline is the time from arrival after which a response is useless.
	Deadline time.Duration
	// Length is the length of the run.
	Length time.Duration
}

// Bounds of the phase in which During changes a value.
const (
	SlowFrom = 10 * time.Second
	SlowTo   = 20 * time.Second
)

// Constant is a value that does not change.
func Constant[T any](v T) func(time.Duration) T { return func(time.Duration) T { return v } }

// During is changed from SlowFrom to SlowTo and normal outside.
func During[T any](normal, changed T) func(time.Duration) T {
	return func(t time.Duration) T {
		if t >= SlowFrom && t < SlowTo {
			return changed
		}
		return normal
	}
}

// Base returns a target with 50 slots that it can serve at 20 ms each, offered
// 1.5 times its capacity of 2,500 requests per second for 30 s.
func Base() Target {
	return Target{Slots: 50, Workers: Constant(50), Service: Constant(20 * time.Millisecond), Rate: Constant(3750.0), Spread: 0.5,
		Expected: 20 * time.Millisecond, Deadline: 150 * time.Millisecond, Length: 30 * time.Second}
}

// best is the goodput per bucket that the target could reach.
func (f Target) best(t time.Duration) float64 {
	capacity := float64(f.Workers(t)) / f.Service(t).Seconds()
	if f.SubCalls != nil {
		capacity = min(capacity, float64(f.Slots)/(f.Service(t)+f.SubCalls(t)).Seconds())
	}
	return min(capacity, f.Rate(t)) * bucket.Seconds()
}

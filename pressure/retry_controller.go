package pressure

import "time"

// maxRefusedShare bounds the refused share used to estimate the retries per call;
// above it the estimate would exceed the number of retries that callers make.
const maxRefusedShare = 0.9

// RetryController selects the chains whose refused calls are retried while the
// retry budget does not suffice for all of them. A chain succeeds only if all of
// its calls do, so retries spread over all chains would complete hardly any. More
// important chains come first, and within an importance every node selects the
// same chains, since a chain has the same position at every node.
//
// It is not safe for concurrent use.
type RetryController struct {
	cutoff        Cutoff
	intervalStart time.Time
	// firstRefusals counts the requests of this interval whose first attempt was
	// refused, by importance.
	firstRefusals [ImportanceLevels]float64
	// attempts and refusals count all attempts of this interval and those refused.
	attempts, refusals float64
	// refusedRates is the moving average of firstRefusals per second, refusedShare
	// that of refusals per attempt.
	refusedRates [ImportanceLevels]float64
	refusedShare float64
}

// NewRetryController returns a RetryController that allows all retries.
func NewRetryController(now time.Time) *RetryController {
	return &RetryController{cutoff: AdmitAll, intervalStart: now}
}

// Cutoff returns the position up to which refused calls are retried.
func (r *RetryController) Cutoff() Cutoff { return r.cutoff }

// RecordAttempt records an attempt that reached a target. first is false for
// retries; refused reports whether the target refused the attempt.
func (r *RetryController) RecordAttempt(importance int, first, refused bool) {
	r.attempts++
	if !refused {
		return
	}
	r.refusals++
	if first {
		r.firstRefusals[min(max(importance, 0), ImportanceLevels-1)]++
	}
}

// Tick updates the cutoff if an interval has elapsed since the last update. supply
// returns the number of retries per second that the budget allows.
func (r *RetryController) Tick(now time.Time, supply func() float64) {
	elapsed := now.Sub(r.intervalStart)
	if elapsed < UpdateInterval {
		return
	}
	for i, n := range r.firstRefusals {
		r.refusedRates[i] += arrivalWeight * (n/elapsed.Seconds() - r.refusedRates[i])
	}
	if r.attempts > 0 {
		r.refusedShare += arrivalWeight * (r.refusals/r.attempts - r.refusedShare)
	}
	r.cutoff = r.computeCutoff(supply())
	r.intervalStart, r.attempts, r.refusals, r.firstRefusals = now, 0, 0, [ImportanceLevels]float64{}
}

// computeCutoff returns the position up to which the supply suffices. A request
// whose first attempt was refused takes 1/(1-refusedShare) retries on average.
func (r *RetryController) computeCutoff(supply float64) Cutoff {
	retriesPerRequest := 1 / (1 - min(r.refusedShare, maxRefusedShare))
	for i, rate := range r.refusedRates {
		demand := rate * retriesPerRequest
		if demand > supply {
			return Cutoff(float64(i) + max(supply, 0)/demand)
		}
		supply -= demand
	}
	return AdmitAll
}

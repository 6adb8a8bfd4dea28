package pressure

import "time"

// maxRefusedShare bounds the share of refusals that is counted on: beyond it a
// call would be repeated more often than callers do.
const maxRefusedShare = 0.9

// Repeats chooses the chains whose refused calls are sent again while the retry
// budget does not suffice for all of them. A chain is served only if all of its
// calls are: repeats that are spread over all chains complete hardly any. The
// important ones come first, and within an importance the same chains at every
// node, since a chain's position is the same everywhere.
//
// It is not safe for concurrent use.
type Repeats struct {
	cutoff Cutoff
	began  time.Time
	// refused counts the requests of this interval whose first attempt was
	// refused, by importance.
	refused [Importances]float64
	// attempts and refusals count all attempts of this interval.
	attempts, refusals float64
	// rate is the mean of refused per second, share that of refusals per attempt.
	rate  [Importances]float64
	share float64
}

// NewRepeats returns a Repeats that lets everything be repeated.
func NewRepeats(now time.Time) *Repeats { return &Repeats{cutoff: Open, began: now} }

// Cutoff returns the position up to which refused calls are sent again.
func (r *Repeats) Cutoff() Cutoff { return r.cutoff }

// Answered records an attempt that reached a target: the first one of a request
// or a repeat, and whether the target refused it.
func (r *Repeats) Answered(importance int, first, refused bool) {
	r.attempts++
	if !refused {
		return
	}
	r.refusals++
	if first {
		r.refused[min(max(importance, 0), Importances-1)]++
	}
}

// Tick ends the interval if it is over. supply returns the number of repeats per
// second that the budget allows.
func (r *Repeats) Tick(now time.Time, supply func() float64) {
	elapsed := now.Sub(r.began)
	if elapsed < Interval {
		return
	}
	for i, n := range r.refused {
		r.rate[i] += arrivalWeight * (n/elapsed.Seconds() - r.rate[i])
	}
	if r.attempts > 0 {
		r.share += arrivalWeight * (r.refusals/r.attempts - r.share)
	}
	r.cutoff = r.fit(supply())
	r.began, r.attempts, r.refusals, r.refused = now, 0, 0, [Importances]float64{}
}

// fit returns the position up to which the supply suffices. A request that was
// refused once takes 1/(1-share) repeats in the mean.
func (r *Repeats) fit(supply float64) Cutoff {
	each := 1 / (1 - min(r.share, maxRefusedShare))
	for i, rate := range r.rate {
		demand := rate * each
		if demand > supply {
			return Cutoff(float64(i) + max(supply, 0)/demand)
		}
		supply -= demand
	}
	return Open
}

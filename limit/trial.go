package limit

import (
	"math"
	"time"
)

// cause says why a trial was begun.
type cause string

const (
	causeLatency cause = "lowering"
	causeBad     cause = "lowering after failures"
	causeRaise   cause = "raising"
)

// trial is a limit that is kept only if the measured goodput supports it.
type trial struct {
	cause    cause
	from, to float64
	// before was measured at the limit from.
	before window
	began  time.Time
	// after begins when the concurrency has followed the limit.
	after window
}

// needed is the number of samples that tell a ratio of limits from 1. With
// exponentially distributed service times the mean of n samples has a relative
// error of 1/sqrt(n), and the two outcomes differ by log(ratio), so that the
// middle is sqrt(evidence/8) standard errors of the quotient away. Service
// times with less spread do better.
func (t *trial) needed() int {
	d := math.Log(t.to / t.from)
	return max(int(evidence/(d*d)), minSamples)
}

// raiseStep is the smallest step up that a trial at the given goodput can judge
// in raiseTime, but at least the wanted one.
func raiseStep(wanted, goodput float64) float64 {
	samples := max(goodput*raiseTime.Seconds(), minSamples)
	return max(wanted, math.Exp(math.Sqrt(evidence/samples)))
}

// supported reports whether the goodput speaks for the new limit. Goodput that
// is proportional to the limit means that the target does not queue; goodput
// that does not depend on it means that it does. The bound is between the two.
func (t *trial) supported() bool {
	exponent := lowerExponent
	if t.cause == causeRaise {
		exponent = raiseExponent
	}
	return t.after.goodput() >= t.before.goodput()*math.Pow(t.to/t.from, exponent)
}

// observe takes one sample and reports whether the trial can be decided.
// response is the mean time of a request that was not refused.
func (t *trial) observe(now time.Time, s Sample, bad bool, response time.Duration) bool {
	elapsed := now.Sub(t.began)
	if t.after.began.IsZero() {
		// A queue in front of the target follows a higher limit at once.
		if t.cause == causeRaise || float64(s.InFlight) <= t.to+1 || elapsed >= settleTimeout {
			// By then most requests in flight have started at the new limit.
			// Selecting samples by their start instead would favour short ones,
			// such as refusals.
			if t.cause == causeRaise {
				// A target that queues needs this long to fill its queue.
				response = time.Duration(float64(response) * t.to / t.from)
			}
			t.after.began = now.Add(response)
		}
		return false
	}
	if now.Before(t.after.began) {
		return false
	}
	t.after.add(s, bad)
	return t.after.long(now) && (t.after.n >= t.needed() || elapsed >= trialTime+4*response)
}

// overdue reports that too few samples came for a decision.
func (t *trial) overdue(now time.Time) bool {
	return now.Sub(t.began) >= 4*trialTime+8*t.before.response()
}

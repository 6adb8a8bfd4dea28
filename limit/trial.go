package limit

import (
	"math"
	"time"
)

// cause says why a trial was started.
type cause string

const (
	causeLatency  cause = "lowering"
	causeFailures cause = "lowering after failures"
	causeRaise    cause = "raising"
)

// trial is a temporary limit that is kept only if the measured goodput
// justifies it.
type trial struct {
	cause              cause
	oldLimit, newLimit float64
	// before was measured at oldLimit.
	before window
	start  time.Time
	// after starts when the concurrency has reached newLimit.
	after window
}

// samplesNeeded is the number of samples needed to tell the ratio of the limits
// from 1. With exponentially distributed service times the mean of n samples has
// a relative error of 1/sqrt(n). The two hypotheses differ by log(ratio), so the
// midpoint is sqrt(sampleFactor/8) standard errors of the quotient away. Service
// times with less spread give a smaller error.
func (t *trial) samplesNeeded() int {
	logRatio := math.Log(t.newLimit / t.oldLimit)
	return max(int(sampleFactor/(logRatio*logRatio)), minSamples)
}

// raiseStep returns the smallest step up that a trial at the given goodput can
// evaluate within raiseTrialDuration, but at least minStep.
func raiseStep(minStep, goodput float64) float64 {
	samples := max(goodput*raiseTrialDuration.Seconds(), minSamples)
	return max(minStep, math.Exp(math.Sqrt(sampleFactor/samples)))
}

// goodputSupportsLimit reports whether the goodput justifies the new limit. Goodput
// proportional to the limit means that the target does not queue internally;
// goodput independent of the limit means that it does. The threshold is between
// the two.
func (t *trial) goodputSupportsLimit() bool {
	exponent := lowerGoodputExponent
	if t.cause == causeRaise {
		exponent = raiseGoodputExponent
	}
	return t.after.goodput() >= t.before.goodput()*math.Pow(t.newLimit/t.oldLimit, exponent)
}

// observe records one sample and reports whether the trial can be decided.
// responseTime is the mean time of a request that was not refused.
func (t *trial) observe(now time.Time, s Sample, failed bool, responseTime time.Duration) bool {
	elapsed := now.Sub(t.start)
	if t.after.start.IsZero() {
		// A queue in front of the target uses a higher limit immediately.
		if t.cause == causeRaise || float64(s.InFlight) <= t.newLimit+1 || elapsed >= settleTimeout {
			// After one more response time most requests in flight have started at
			// the new limit. Selecting samples by their start time instead would be
			// biased towards short requests, such as refusals.
			if t.cause == causeRaise {
				// A target that queues internally needs this long to fill its queue.
				responseTime = time.Duration(float64(responseTime) * t.newLimit / t.oldLimit)
			}
			t.after.start = now.Add(responseTime)
		}
		return false
	}
	if now.Before(t.after.start) {
		return false
	}
	t.after.add(s, failed)
	return t.after.sufficient(now) && (t.after.n >= t.samplesNeeded() || elapsed >= trialDuration+4*responseTime)
}

// overdue reports whether the trial has run for too long without enough samples
// for a decision.
func (t *trial) overdue(now time.Time) bool {
	return now.Sub(t.start) >= 4*trialDuration+8*t.before.meanResponseTime()
}

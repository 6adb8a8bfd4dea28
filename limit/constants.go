package limit

import "time"

// TickInterval is how often Tick has to be called. It is a fraction of the
// shortest trial.
const TickInterval = 50 * time.Millisecond

const (
	// minSamples is the smallest number of samples that a value is computed from.
	minSamples = 8
	// windowSamples ends a window outside a trial. At 128 samples a mean is known
	// to 9% even for exponentially distributed service times.
	windowSamples = 128
	// windowDuration ends a window with fewer samples.
	windowDuration = 250 * time.Millisecond
	// trialDuration, plus a few service times, bounds the length of a trial.
	trialDuration = 500 * time.Millisecond
	// settleTimeout bounds the wait for the concurrency to reach a new limit.
	settleTimeout = time.Second
	// sampleFactor is the number of samples that a trial needs when the ratio of
	// its limits is e. The number grows with the inverse square of the logarithm
	// of the ratio.
	sampleFactor = 12.0
	// raiseTrialDuration is the intended length of the first trial of a higher
	// limit. On a slow target a small step would take most of the 2 s in which
	// goodput has to recover.
	raiseTrialDuration = 200 * time.Millisecond
	// A trial compares the change in goodput with the ratio of its limits raised
	// to one of these exponents. An exponent of 0 describes a target that queues
	// internally, 1 one that does not. The bound for raising is stricter, since a
	// limit that was raised in error stays in force until the next trial that
	// lowers it, which costs more than raising late.
	lowerGoodputExponent = 0.5
	raiseGoodputExponent = 0.65
	// meanDecaySamples is the number of samples over which the recent means decay.
	meanDecaySamples = 32
	// maxServiceTimeAge is the age from which the mean service time is not used.
	// It equals the longest backoff between raises, so that a target that is fast
	// again gets work in time to recover within 2 s.
	maxServiceTimeAge = 500 * time.Millisecond

	// saturationThreshold is the share of the limit above which it counts as
	// fully used.
	saturationThreshold = 0.9
	// latencyRiseFactor over the baseline in two consecutive windows starts a
	// trial. In a window of few samples the bound is 3 standard errors of the mean
	// above the baseline if that is more.
	latencyRiseFactor = 1.3
	// latencyFallFactor below the baseline in two consecutive windows resets the
	// baseline.
	latencyFallFactor = 0.75
	// baselineTimeConstant is the time constant with which the baseline follows
	// latency between the two factors, so that the noise of its first window
	// averages out.
	baselineTimeConstant = time.Minute

	// lowerStepFactor is the step of a trial of a lower limit. A smaller step
	// would need more samples to be told from noise.
	lowerStepFactor = 0.7
	// failureStepFactor is the step down after failures.
	failureStepFactor = 0.5
	// failureThreshold is the share of failures that lowers the limit, from at
	// least minFailures of them.
	failureThreshold = 0.25
	minFailures      = 4
	// massFailureThreshold is the share of failures that lowers the limit without
	// a trial: there is too little goodput to measure or to lose.
	massFailureThreshold = 0.9
	// failureStepInterval lets the concurrency reach the new limit before the
	// next step.
	failureStepInterval = 100 * time.Millisecond
	// timeoutBaselineFactor times the baseline is how long a request must have
	// run for its timeout to count as a failure of the target. A shorter one is
	// due to the deadline that the caller set.
	timeoutBaselineFactor = 2

	// initialRaiseStep is the first step up after a failed trial, raiseStepGrowth
	// the growth of the step after a successful one. From a floor of 2 to 150
	// slots takes 5 trials. In the scenarios of docs/measurements-limit.md a first
	// step of 1.25 takes up to 1.7 s to recover, and one of 2 costs 5% of the
	// goodput under a tight deadline.
	initialRaiseStep = 1.4
	raiseStepGrowth  = 1.6
	maxRaiseStep     = 4.0
	// idleRaiseStep is the step per window, without a trial, while the limit is
	// not fully used.
	idleRaiseStep = 1.25
	// Backoff between trials of a higher limit. The longest leaves 1.5 s of the
	// 2 s in which goodput has to recover to the trials themselves; with 750 ms a
	// target of 10 slots took up to 2.2 s in all.
	minRaiseBackoff = 250 * time.Millisecond
	maxRaiseBackoff = 500 * time.Millisecond
	// Backoff between trials of a lower limit that were reverted. A reverted trial
	// costs up to 30% of the goodput for about 100 ms.
	minLowerBackoff = time.Second
	maxLowerBackoff = 16 * time.Second
	// initialBaselineChecks is how many trials test a baseline that was measured
	// at full concurrency after a start without a ramp. A single trial is wrong
	// too often, since its first window contains the transient of the start.
	initialBaselineChecks = 3
	// lowerBackoffReset is the time without a trial of a lower limit after which
	// its backoff is reset to the minimum.
	lowerBackoffReset = 30 * time.Second
)

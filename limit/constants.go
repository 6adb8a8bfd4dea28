package limit

import "time"

// TickInterval is how often Tick has to be called. It is a fraction of the
// shortest trial.
const TickInterval = 50 * time.Millisecond

const (
	// minSamples is the smallest number of samples that anything is derived from.
	minSamples = 8
	// steadySamples ends a window outside a trial. At 128 samples a mean is known
	// to 9% even for exponentially distributed service times.
	steadySamples = 128
	// steadyTime ends a window with fewer samples.
	steadyTime = 250 * time.Millisecond
	// trialTime bounds a trial together with a few service times.
	trialTime = 500 * time.Millisecond
	// settleTimeout bounds the wait for the concurrency to follow a new limit.
	settleTimeout = time.Second
	// evidence is the number of samples that a trial needs when the ratio of its
	// limits is e; it grows with the inverse square of the logarithm.
	evidence = 12.0
	// raiseTime is the wanted length of the first trial that raises. On a slow
	// target a small step would take most of the 2 s for recovery.
	raiseTime = 200 * time.Millisecond
	// Exponents of the ratio of limits between 0, the target queues, and 1, it
	// does not. A limit that was raised in error costs more than a late one,
	// since it is in force until the next trial that lowers.
	lowerExponent = 0.5
	raiseExponent = 0.65
	// serviceSamples is the number of samples over which the recent means decay.
	serviceSamples = 32
	// serviceTimeAge is the age from which the mean service time is not used. It
	// equals the longest wait between raises, so that a target that is fast again
	// gets work in time for the 2 s for recovery.
	serviceTimeAge = 500 * time.Millisecond

	// saturated is the share of the limit in use above which it is binding.
	saturated = 0.9
	// riseFactor over the baseline in two windows begins a trial; in a window of
	// few samples the factor is 3 standard errors of the mean.
	riseFactor = 1.3
	// fallFactor below the baseline in two windows resets the baseline.
	fallFactor = 0.75
	// baselineTime is the time constant with which the baseline follows latency
	// between the two factors, so that it forgets the noise of its first window.
	baselineTime = time.Minute

	// lowerFactor is the step of a trial that lowers. A smaller step would need
	// more samples to be told from noise.
	lowerFactor = 0.7
	// badFactor is the step after failures.
	badFactor = 0.5
	// badLimit is the share of failures that lowers the limit, from at least
	// minBad of them.
	badLimit = 0.25
	minBad   = 4
	// hopeless is the share of failures that lowers the limit without a trial:
	// there is too little goodput to measure or to lose.
	hopeless = 0.9
	// badInterval lets the concurrency follow before the next step.
	badInterval = 100 * time.Millisecond
	// timeoutFactor times the baseline is how long a request must have run for
	// its timeout to count against the target rather than its caller.
	timeoutFactor = 2

	// firstRaise is the first step up after a trial that failed, raiseGrowth the
	// growth of the step after one that succeeded. From a floor of 2 to 150 slots
	// takes 5 trials. In the scenarios of docs/measurements-limit.md a first step
	// of 1.25 takes up to 1.7 s to recover, and one of 2 costs 5% of the goodput
	// under a tight deadline.
	firstRaise  = 1.4
	raiseGrowth = 1.6
	maxRaise    = 4.0
	// idleRaise is the step per window without a trial, while the limit is not in
	// use.
	idleRaise = 1.25
	// Waits between trials that raise. The longest one leaves 1.5 s of the 2 s for
	// recovery to the trials themselves; 750 ms took up to 2.2 s in all on a
	// target of 10 slots.
	minRaiseWait = 250 * time.Millisecond
	maxRaiseWait = 500 * time.Millisecond
	// Waits between trials that lower and were reverted. A reverted trial costs
	// up to 30% of the goodput for about 100 ms.
	minLowerWait = time.Second
	maxLowerWait = 16 * time.Second
	// startDoubts is how often a baseline from full concurrency is tested after a
	// start without a ramp. One trial is wrong too often: its first window holds
	// the transient of the start.
	startDoubts = 3
	// forgetLower is the time without such a trial after which the wait is short
	// again.
	forgetLower = 30 * time.Second
)

package routing

import (
	"math"
	"time"
)

const (
	// idleCost is the cost of an idle target. It bounds the ratio of two costs, so
	// that a single call in flight does not move work out of the node's failure
	// domain.
	idleCost = 0.25
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// serviceTimeHalfLife smooths reported service times, each of which is a mean
	// over few requests.
	serviceTimeHalfLife = 500 * time.Millisecond
	// latencyNoise is the ratio up to which two latencies count as equal. Within
	// it, balancing by load gives better results.
	latencyNoise = 1.5
	// latencyHalfLife is the age at which a latency counts half.
	latencyHalfLife = 2 * time.Second
	// outlierLatency is the multiple of the mean latency from which a target
	// that lets deadlines expire counts as failing.
	outlierLatency = 2
	// refusalHalfLife is about the time to drain a queue that is as long as the
	// queue timeout.
	refusalHalfLife = 200 * time.Millisecond
	// maxRefusals bounds the count so that it decays within a second.
	maxRefusals = 8
	// negligibleEffect is the relative change of a cost below which a decaying
	// penalty is ignored. Otherwise a target that was slow once would stay slightly
	// more expensive for ever and get no calls at a concurrency of one.
	negligibleEffect = 0.01
	// meanWeight is the weight of one report in the averages over all targets.
	meanWeight = 0.05
)

// cost returns the cost of sending a call of the given importance to a target;
// lower is better. It is the estimated utilization multiplied by a factor for
// latency and a factor for recent refusals.
func (t *Table) cost(tgt *target, now time.Time, importance int) float64 {
	return (idleCost + t.utilization(tgt, now, importance)) * t.latencyFactor(tgt, now) * (1 + tgt.refusalsAt(now, importance))
}

// utilization estimates the requests at a target relative to its concurrency
// limit. A report says less about the target as it ages, so its weight shifts to
// the mean over all targets; a stale report must not make the target look idle.
//
// A call waits for a free slot and behind calls of at least its importance. All
// requests count until the slots are full, and beyond that only those served
// before the call. Otherwise a long queue of less important calls would hide
// which targets have room for important ones.
func (t *Table) utilization(tgt *target, now time.Time, importance int) float64 {
	return utilizationOf(t.loadOf(tgt, now, importance))
}

func utilizationOf(all, ahead float64) float64 { return (min(all, 1) + min(ahead, all)) / 2 }

// loadOf returns the estimated requests at a target relative to its limit: all of
// them, and those of at least the given importance.
func (t *Table) loadOf(tgt *target, now time.Time, importance int) (all, ahead float64) {
	others, othersAhead := t.meanOtherUtilization, t.meanAheadUtilization[clampImportance(importance)]
	if !tgt.loadAt.IsZero() {
		w := decayed(1, now.Sub(tgt.loadAt), t.options.LoadHalfLife)
		others = w*tgt.reportedOtherUtilization() + (1-w)*others
		othersAhead = w*tgt.reportedAheadUtilization(importance) + (1-w)*othersAhead
	}
	return float64(tgt.inFlight)/tgt.limit() + others, float64(sumUpTo(tgt.inFlightByImportance[:], importance))/tgt.limit() + othersAhead
}

// reportedOtherUtilization returns the utilization by other nodes according to
// the last load report.
func (tgt *target) reportedOtherUtilization() float64 {
	return float64(max(0, tgt.load.InFlight+tgt.load.Waiting-tgt.inFlightAtReport)) / tgt.limit()
}

// reportedAheadUtilization returns the part of reportedOtherUtilization that is of
// at least the given importance. If the report has no counts by importance, it
// returns all of it.
func (tgt *target) reportedAheadUtilization(importance int) float64 {
	if len(tgt.load.ByImportance) == 0 {
		return tgt.reportedOtherUtilization()
	}
	return float64(max(0, sumUpTo(tgt.load.ByImportance, importance)-sumUpTo(tgt.inFlightByImportanceAtReport[:], importance))) / tgt.limit()
}

// sumUpTo adds the counts up to and including an importance.
func sumUpTo(counts []int, importance int) int {
	n := 0
	for i := range min(importance+1, len(counts)) {
		n += counts[i]
	}
	return n
}

func (t *Table) latencyFactor(tgt *target, now time.Time) float64 {
	if tgt.latency == 0 || t.meanLatency == 0 {
		return 1
	}
	ratio := min(max(tgt.latency/t.meanLatency, 1/t.options.MaxLatencyFactor), t.options.MaxLatencyFactor)
	if ratio > 1/latencyNoise && ratio < latencyNoise {
		return 1
	}
	factor := math.Pow(ratio, decayed(1, now.Sub(tgt.latencyAt), latencyHalfLife))
	if math.Abs(factor-1) < negligibleEffect {
		return 1
	}
	return factor
}

// recordMinLatency records a lower bound of the latency, from a call that ended
// without a response.
func (t *Table) recordMinLatency(tgt *target, now time.Time, latency time.Duration) {
	if latency.Seconds() > tgt.latency {
		t.recordLatency(tgt, now, latency)
	}
}

// isOutlier reports whether a target is much slower than the mean.
func (t *Table) isOutlier(tgt *target) bool {
	return tgt.latency > outlierLatency*t.meanLatency
}

// refusalsAt returns the decayed count of refusals of calls of at least the given
// importance. Under strict priority, refusals of less important calls do not
// predict one of this call.
func (tgt *target) refusalsAt(now time.Time, importance int) float64 {
	if tgt.refusedAt.IsZero() {
		return 0
	}
	n := 0.0
	for _, r := range tgt.refusals[:clampImportance(importance)+1] {
		n += r
	}
	n = min(decayed(n, now.Sub(tgt.refusedAt), refusalHalfLife), maxRefusals)
	if n < negligibleEffect {
		return 0
	}
	return n
}

func (t *Table) recordLoad(tgt *target, now time.Time, load Load) {
	tgt.load, tgt.loadAt, tgt.inFlightAtReport, tgt.inFlightByImportanceAtReport = load, now, tgt.inFlight, tgt.inFlightByImportance
	if load.ServiceTime > 0 && !t.relativeLatencies {
		// Every refusal carries a report too, so the weight depends on the elapsed
		// time: repeated reports of the same mean add no information.
		weight := 1 - decayed(1, now.Sub(tgt.latencyAt), serviceTimeHalfLife)
		t.updateLatency(tgt, now, load.ServiceTime, weight)
	}
	t.meanOtherUtilization += meanWeight * (tgt.reportedOtherUtilization() - t.meanOtherUtilization)
	for i := range t.meanAheadUtilization {
		t.meanAheadUtilization[i] += meanWeight * (tgt.reportedAheadUtilization(i) - t.meanAheadUtilization[i])
	}
}

func (t *Table) recordLatency(tgt *target, now time.Time, latency time.Duration) {
	t.updateLatency(tgt, now, latency, latencyWeight)
}

func (t *Table) updateLatency(tgt *target, now time.Time, latency time.Duration, weight float64) {
	s := latency.Seconds()
	if s <= 0 {
		return
	}
	if tgt.latency == 0 {
		tgt.latency = s
	}
	tgt.latency += weight * (s - tgt.latency)
	tgt.latencyAt = now
	if t.meanLatency == 0 {
		t.meanLatency = s
	}
	t.meanLatency += weight / float64(len(t.ranking)) * (s - t.meanLatency)
}

func (tgt *target) recordRefusal(now time.Time, importance int) {
	left := decayed(1, now.Sub(tgt.refusedAt), refusalHalfLife)
	for i := range tgt.refusals {
		tgt.refusals[i] *= left
	}
	i := clampImportance(importance)
	tgt.refusals[i] = min(tgt.refusals[i]+1, maxRefusals)
	tgt.refusedAt = now
}

// decayed returns v after exponential decay with the given half-life.
func decayed(v float64, age, halfLife time.Duration) float64 {
	if age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(halfLife))
}

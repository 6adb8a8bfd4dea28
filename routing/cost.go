package routing

import (
	"math"
	"time"
)

const (
	// idleCost is the cost of an idle target. It keeps the ratio of two costs
	// finite, so that one call in flight does not drive work out of the node's
	// failure domain.
	idleCost = 0.25
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// serviceTimeHalfLife smooths reported service times, whose means are over
	// few requests.
	serviceTimeHalfLife = 500 * time.Millisecond
	// latencyNoise is the ratio of two latencies up to which they count as
	// equal. Within it, balancing by load does better.
	latencyNoise = 1.5
	// latencyHalfLife is the age at which a latency counts half.
	latencyHalfLife = 2 * time.Second
	// outlierLatency is the multiple of the mean latency from which a target
	// that lets deadlines expire counts as failing.
	outlierLatency = 2
	// refusalHalfLife is about the time in which a queue of one queue timeout
	// drains.
	refusalHalfLife = 200 * time.Millisecond
	// maxRefusals bounds the count, so that it is forgotten within a second.
	maxRefusals = 8
	// negligible is the part of a cost below which a memory that fades counts as
	// gone. Otherwise a target that was slow once stays the more expensive one
	// for ever, and gets no call while there is one at a time.
	negligible = 0.01
	// meanWeight is the weight of one report in the averages over all targets.
	meanWeight = 0.05
)

// cost compares targets for a call of the given importance; lower is better.
// It is the expected utilization times a factor for latency and a factor for
// recent refusals.
func (t *Table) cost(g *target, now time.Time, importance int) float64 {
	return (idleCost + t.utilization(g, now, importance)) * t.latencyFactor(g, now) * (1 + g.refusalsAt(now, importance))
}

// utilization estimates the work at a target over its limit. A reported load
// loses its weight to the mean over all targets with age: with age it says
// less about this target, but a stale report must not make it look idle.
//
// A call waits for a free slot and then behind the calls that are at least as
// important. So all work counts until the slots are full, and beyond that only
// the work that goes first. Otherwise a long queue of less important calls
// would hide which targets have room for important ones.
func (t *Table) utilization(g *target, now time.Time, importance int) float64 {
	return utilizationOf(t.loadOf(g, now, importance))
}

func utilizationOf(all, first float64) float64 { return (min(all, 1) + min(first, all)) / 2 }

// loadOf returns the work at a target over its limit: all of it, and the part
// that is at least as important as a call.
func (t *Table) loadOf(g *target, now time.Time, importance int) (all, first float64) {
	others, ahead := t.meanOthers, t.meanAhead[clamp(importance)]
	if !g.loadAt.IsZero() {
		w := halved(1, now.Sub(g.loadAt), t.options.LoadHalfLife)
		others = w*g.othersAtLoad() + (1-w)*others
		ahead = w*g.aheadAtLoad(importance) + (1-w)*ahead
	}
	return float64(g.own)/g.limit() + others, float64(sumTo(g.ownBy[:], importance))/g.limit() + ahead
}

// othersAtLoad is the utilization by other nodes in the last report.
func (g *target) othersAtLoad() float64 {
	return float64(max(0, g.load.InFlight+g.load.Waiting-g.ownAtLoad)) / g.limit()
}

// aheadAtLoad is the part of othersAtLoad up to an importance. Without a report
// by importance everything counts.
func (g *target) aheadAtLoad(importance int) float64 {
	if len(g.load.ByImportance) == 0 {
		return g.othersAtLoad()
	}
	return float64(max(0, sumTo(g.load.ByImportance, importance)-sumTo(g.ownByAtLoad[:], importance))) / g.limit()
}

// sumTo adds the counts up to and including an importance.
func sumTo(counts []int, importance int) int {
	n := 0
	for i := range min(importance+1, len(counts)) {
		n += counts[i]
	}
	return n
}

func (t *Table) latencyFactor(g *target, now time.Time) float64 {
	if g.latency == 0 || t.meanLatency == 0 {
		return 1
	}
	ratio := min(max(g.latency/t.meanLatency, 1/t.options.MaxLatencyFactor), t.options.MaxLatencyFactor)
	if ratio > 1/latencyNoise && ratio < latencyNoise {
		return 1
	}
	factor := math.Pow(ratio, halved(1, now.Sub(g.latencyAt), latencyHalfLife))
	if math.Abs(factor-1) < negligible {
		return 1
	}
	return factor
}

// learnAtLeast enters the latency of a call that ended without a response.
func (t *Table) learnAtLeast(g *target, now time.Time, latency time.Duration) {
	if latency.Seconds() > g.latency {
		t.learnLatency(g, now, latency)
	}
}

// isOutlier reports whether a target is much slower than the mean.
func (t *Table) isOutlier(g *target) bool {
	return g.latency > outlierLatency*t.meanLatency
}

// refusalsAt returns the recent refusals of calls that were at least as
// important. Under strict priority the others say nothing.
func (g *target) refusalsAt(now time.Time, importance int) float64 {
	if g.refusedAt.IsZero() {
		return 0
	}
	n := 0.0
	for _, r := range g.refusals[:clamp(importance)+1] {
		n += r
	}
	n = min(halved(n, now.Sub(g.refusedAt), refusalHalfLife), maxRefusals)
	if n < negligible {
		return 0
	}
	return n
}

func (t *Table) learnLoad(g *target, now time.Time, load Load) {
	g.load, g.loadAt, g.ownAtLoad, g.ownByAtLoad = load, now, g.own, g.ownBy
	if load.ServiceTime > 0 && !t.relative {
		// Reports come with every refusal as well, so their weight follows from
		// time: many reports of one mean say no more than one.
		weight := 1 - halved(1, now.Sub(g.latencyAt), serviceTimeHalfLife)
		t.enterLatency(g, now, load.ServiceTime, weight)
	}
	t.meanOthers += meanWeight * (g.othersAtLoad() - t.meanOthers)
	for i := range t.meanAhead {
		t.meanAhead[i] += meanWeight * (g.aheadAtLoad(i) - t.meanAhead[i])
	}
}

func (t *Table) learnLatency(g *target, now time.Time, latency time.Duration) {
	t.enterLatency(g, now, latency, latencyWeight)
}

func (t *Table) enterLatency(g *target, now time.Time, latency time.Duration, weight float64) {
	s := latency.Seconds()
	if s <= 0 {
		return
	}
	if g.latency == 0 {
		g.latency = s
	}
	g.latency += weight * (s - g.latency)
	g.latencyAt = now
	if t.meanLatency == 0 {
		t.meanLatency = s
	}
	t.meanLatency += weight / float64(len(t.ranking)) * (s - t.meanLatency)
}

func (g *target) learnRefusal(now time.Time, importance int) {
	left := halved(1, now.Sub(g.refusedAt), refusalHalfLife)
	for i := range g.refusals {
		g.refusals[i] *= left
	}
	i := clamp(importance)
	g.refusals[i] = min(g.refusals[i]+1, maxRefusals)
	g.refusedAt = now
}

// halved returns v halved once per halfLife of age.
func halved(v float64, age, halfLife time.Duration) float64 {
	if age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(halfLife))
}

package admission

import "time"

const (
	// LevelInterval is the interval between updates of the level. At 100 ms
	// several updates fit into the second after which callers discard a level.
	LevelInterval = 100 * time.Millisecond
	// levelHoldTime is the minimum time before a lowered level rises. Without it
	// the level would rise in the interval after each refusal and oscillate.
	levelHoldTime = 2 * LevelInterval
	// initialLevelStep is the first step up, 1/16 of the ranks of one importance
	// and stage (fresh or admitted upstream). While the queue stays empty the step
	// doubles, so that the level passes all 4,096 ranks in 9 intervals.
	initialLevelStep = ChainLevels / 16
	// minRefusedWeight is the weight of refusals below which the level is not
	// lowered, so that a single request cannot lower it.
	minRefusedWeight = 2 * decisionWeight
	// decisionWeight is the weight of one decision. Weights halve every interval.
	decisionWeight = 16
	// maxCatchUpIntervals bounds the number of intervals evaluated after a long
	// idle time. The level has reached MaxRank by then.
	maxCatchUpIntervals = 16
)

// levelTracker computes the admission level from the decisions of the last few
// intervals. It lowers the level to the rank that best separates admitted from
// refused requests, and raises it in steps when nothing was refused and the
// queue was empty at some time.
type levelTracker struct {
	level                    Rank
	step                     Rank
	intervalStart, heldUntil time.Time
	// admittedByRank and refusedByRank hold the weights of the decisions per rank.
	admittedByRank, refusedByRank    [MaxRank + 1]uint32
	admittedWeight, refusedWeight    uint32
	sawWaiting, sawEmpty, hasWeights bool
	refusedInInterval                bool
}

func newLevelTracker(now time.Time) levelTracker {
	return levelTracker{level: MaxRank, step: initialLevelStep, intervalStart: now}
}

func (t *levelTracker) recordAdmitted(r Rank) {
	t.admittedByRank[r] += decisionWeight
	t.admittedWeight += decisionWeight
	t.hasWeights = true
}

func (t *levelTracker) recordRefused(r Rank) {
	t.refusedByRank[r] += decisionWeight
	t.refusedWeight += decisionWeight
	t.hasWeights, t.refusedInInterval = true, true
}

// advance ends the intervals that have passed.
func (t *levelTracker) advance(now time.Time, waiting int) {
	elapsed := now.Sub(t.intervalStart)
	if elapsed < LevelInterval {
		return
	}
	n := int(elapsed / LevelInterval)
	t.intervalStart = t.intervalStart.Add(time.Duration(n) * LevelInterval)
	for range min(n, maxCatchUpIntervals) {
		t.endInterval(now)
		t.sawWaiting, t.sawEmpty, t.refusedInInterval = waiting > 0, waiting == 0, false
	}
}

func (t *levelTracker) endInterval(now time.Time) {
	switch {
	case t.refusedInInterval:
		t.step = initialLevelStep
		if t.refusedWeight >= minRefusedWeight {
			if best := t.separatingLevel(); best < t.level {
				t.level, t.heldUntil = best, now.Add(levelHoldTime)
			}
		}
	case t.level == MaxRank || now.Before(t.heldUntil):
	case !t.sawWaiting:
		t.level = min(t.level+t.step, MaxRank)
		t.step *= 2
	case t.sawEmpty:
		t.level = min(t.level+initialLevelStep, MaxRank)
		t.step = initialLevelStep
	}
	t.decay()
}

// separatingLevel returns the level with the smallest weight of contradicting
// decisions: admitted requests above it and refused requests at or below it.
func (t *levelTracker) separatingLevel() Rank {
	best, contradictions := MinRank-1, t.admittedWeight
	fewest := contradictions
	for r := MinRank; r <= MaxRank; r++ {
		contradictions += t.refusedByRank[r] - t.admittedByRank[r]
		if contradictions <= fewest {
			best, fewest = r, contradictions
		}
	}
	// A level of 0 carries no information.
	return max(best, MinRank)
}

func (t *levelTracker) decay() {
	if !t.hasWeights {
		return
	}
	t.admittedWeight, t.refusedWeight = 0, 0
	for r := range t.admittedByRank {
		t.admittedByRank[r] /= 2
		t.refusedByRank[r] /= 2
		t.admittedWeight += t.admittedByRank[r]
		t.refusedWeight += t.refusedByRank[r]
	}
	t.hasWeights = t.admittedWeight+t.refusedWeight > 0
}

package admission

import "time"

const (
	// LevelInterval is how often the level is set anew. At 100 ms several
	// updates fit into the second after which callers discard a level.
	LevelInterval = 100 * time.Millisecond
	// levelHold keeps a lowered level for a time; without it the level would
	// rise in the interval after each refusal and flap.
	levelHold = 2 * LevelInterval
	// levelStep is the first step up, 1/16 of the requests of one importance and
	// stage. While the queue stays empty the step doubles, so that the level
	// passes all 4,096 ranks in 9 intervals.
	levelStep = ChainLevels / 16
	// minRefusals is the weight of refusals below which the level stays, so that
	// a single request does not lower it.
	minRefusals = 2 * countUnit
	// countUnit is the weight of one decision. Weights halve every interval.
	countUnit = 16
	// maxIdleIntervals bounds the work after a long idle time; the level is at
	// MaxRank by then.
	maxIdleIntervals = 16
)

// levelTracker derives the admission level from the decisions of the last few
// intervals. It lowers the level to the rank that best separates admitted from
// refused requests, and raises it in steps when nothing was refused and the
// queue was empty.
type levelTracker struct {
	level              Rank
	step               Rank
	started, heldUntil time.Time
	// admits and refusals are weights by rank.
	admits, refusals             [MaxRank + 1]uint32
	admitWeight, refusalWeight   uint32
	sawWaiting, sawEmpty, active bool
	refusedNow                   bool
}

func newLevelTracker(now time.Time) levelTracker {
	return levelTracker{level: MaxRank, step: levelStep, started: now}
}

func (t *levelTracker) admitted(r Rank) {
	t.admits[r] += countUnit
	t.admitWeight += countUnit
	t.active = true
}

func (t *levelTracker) refused(r Rank) {
	t.refusals[r] += countUnit
	t.refusalWeight += countUnit
	t.active, t.refusedNow = true, true
}

// roll ends the intervals that are over.
func (t *levelTracker) roll(now time.Time, waiting int) {
	elapsed := now.Sub(t.started)
	if elapsed < LevelInterval {
		return
	}
	n := int(elapsed / LevelInterval)
	t.started = t.started.Add(time.Duration(n) * LevelInterval)
	for range min(n, maxIdleIntervals) {
		t.endInterval(now)
		t.sawWaiting, t.sawEmpty, t.refusedNow = waiting > 0, waiting == 0, false
	}
}

func (t *levelTracker) endInterval(now time.Time) {
	switch {
	case t.refusedNow:
		t.step = levelStep
		if t.refusalWeight >= minRefusals {
			if best := t.separation(); best < t.level {
				t.level, t.heldUntil = best, now.Add(levelHold)
			}
		}
	case t.level == MaxRank || now.Before(t.heldUntil):
	case !t.sawWaiting:
		t.level = min(t.level+t.step, MaxRank)
		t.step *= 2
	case t.sawEmpty:
		t.level = min(t.level+levelStep, MaxRank)
		t.step = levelStep
	}
	t.decay()
}

// separation returns the level with the fewest contradictions: admitted
// requests above it and refused requests at or below it.
func (t *levelTracker) separation() Rank {
	best, cost := MinRank-1, t.admitWeight
	least := cost
	for r := MinRank; r <= MaxRank; r++ {
		cost += t.refusals[r] - t.admits[r]
		if cost <= least {
			best, least = r, cost
		}
	}
	// 0 would mean that there is no information.
	return max(best, MinRank)
}

func (t *levelTracker) decay() {
	if !t.active {
		return
	}
	t.admitWeight, t.refusalWeight = 0, 0
	for r := range t.admits {
		t.admits[r] /= 2
		t.refusals[r] /= 2
		t.admitWeight += t.admits[r]
		t.refusalWeight += t.refusals[r]
	}
	t.active = t.admitWeight+t.refusalWeight > 0
}

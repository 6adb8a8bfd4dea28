package pressure

import "time"

const (
	// Interval is how often the cutoff is set anew.
	Interval = 100 * time.Millisecond
	// targetDelay is the queueing time that counts as overload. Under strict
	// priority only the least important work waits that long.
	targetDelay = 60 * time.Millisecond
	// lowDelay is the queueing time below which more work may start.
	lowDelay = targetDelay / 2
	// minCut and maxCut bound the part of the load that one step takes away.
	// Between them it grows with the queueing time.
	minCut = 0.03
	maxCut = 0.15
	// settle is the time in which the effect of a cut arrives: requests that have
	// started before it still make calls.
	settle = 300 * time.Millisecond
	// raise is the part of the load that one step adds, fastRaise while slots are
	// free.
	raise     = 0.03
	fastRaise = 0.10
	// freeSlots is the utilization below which slots count as free.
	freeSlots = 0.8
	// densityWeight is the weight of one interval in the density of arrivals.
	densityWeight = 0.3
	// minShare is the part of an importance that has to be admitted for its
	// arrivals to say something about all of it.
	minShare = 0.1
	// minDensity is the number of arrivals per second below which an importance
	// counts as absent.
	minDensity = 0.5
	// floor keeps a little of the most important work coming, without which
	// nothing would be measured.
	floor = 0.05
)

// Controller keeps the cutoff of one target. It is not safe for concurrent use.
type Controller struct {
	cutoff Cutoff
	// arrivals counts the requests of this interval by importance; density is
	// what would arrive per second if all were admitted.
	arrivals [Importances]float64
	density  [Importances]float64
	// waitingSum and samples give the mean length of the queue.
	waitingSum, samples, completed float64
	began                          time.Time
	nextCut                        time.Time
}

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller { return &Controller{cutoff: Open, began: now} }

// Arrived records a request that was offered to the queue, and its length.
func (c *Controller) Arrived(importance, waiting int) {
	c.arrivals[min(max(importance, 0), Importances-1)]++
	c.Sample(waiting)
}

// Sample records the length of the queue.
func (c *Controller) Sample(waiting int) {
	c.waitingSum += float64(waiting)
	c.samples++
}

// Completed records a request that left the target.
func (c *Controller) Completed() { c.completed++ }

// Cutoff returns the cutoff in force.
func (c *Controller) Cutoff() Cutoff { return c.cutoff }

// Tick ends the interval if it is over. busy is the part of the slots in use.
func (c *Controller) Tick(now time.Time, busy float64) {
	elapsed := now.Sub(c.began)
	if elapsed < Interval {
		return
	}
	total := c.learn(elapsed)
	delay := c.delay(elapsed, busy)
	switch {
	case delay > targetDelay:
		if !now.Before(c.nextCut) {
			excess := float64(delay)/float64(targetDelay) - 1
			c.lower(total * min(minCut*(1+excess), maxCut))
			c.nextCut = now.Add(settle)
		}
	case delay < lowDelay && busy < freeSlots:
		c.higher(max(total, 1) * fastRaise)
	case delay < lowDelay:
		c.higher(max(total, 1) * raise)
	}
	c.began, c.arrivals = now, [Importances]float64{}
	c.waitingSum, c.samples, c.completed = 0, 0, 0
}

// learn updates the densities and returns the arrivals per second.
func (c *Controller) learn(elapsed time.Duration) float64 {
	total := 0.0
	for i, n := range c.arrivals {
		rate := n / elapsed.Seconds()
		total += rate
		if share := c.cutoff.share(i); share >= minShare {
			c.density[i] += densityWeight * (rate/share - c.density[i])
		}
	}
	return total
}

// delay is the mean queueing time by Little's law. A target that completes
// nothing while requests wait counts as one that takes the whole interval.
func (c *Controller) delay(elapsed time.Duration, busy float64) time.Duration {
	if c.samples == 0 || c.waitingSum == 0 {
		return 0
	}
	waiting := c.waitingSum / c.samples
	if c.completed == 0 {
		if busy == 0 {
			return 0
		}
		return elapsed
	}
	return time.Duration(waiting / c.completed * float64(elapsed))
}

// lower moves the cutoff so that work arrives less often by the given rate, the
// least important first.
func (c *Controller) lower(rate float64) {
	at := float64(c.cutoff)
	for i := Importances - 1; i >= 0 && rate > 0; i-- {
		share := c.cutoff.share(i)
		if share == 0 {
			continue
		}
		available := c.density[i] * share
		if c.density[i] < minDensity || available <= rate {
			at = float64(i)
			rate -= available
			continue
		}
		at = float64(i) + share - rate/c.density[i]
		rate = 0
	}
	c.cutoff = Cutoff(max(at, floor))
}

// higher moves the cutoff so that work arrives more often by the given rate.
func (c *Controller) higher(rate float64) {
	at := float64(c.cutoff)
	for i := int(at); i < Importances && rate > 0; i++ {
		share := c.cutoff.share(i)
		missing := c.density[i] * (1 - share)
		if c.density[i] < minDensity || missing <= rate {
			at = float64(i + 1)
			rate -= missing
			continue
		}
		at = float64(i) + share + rate/c.density[i]
		rate = 0
	}
	c.cutoff = Cutoff(min(at, Importances))
}

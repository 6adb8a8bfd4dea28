package pressure

import "time"

const (
	// Interval is how often the cutoff is set anew.
	Interval = 100 * time.Millisecond
	// usedCapacity is the part of the capacity that new chains may fill: with all
	// of it the queue would grow at random.
	usedCapacity = 0.97
	// drainTime is the time in which a queue longer than queueAllowance times the
	// slots is to be worked off.
	drainTime      = 300 * time.Millisecond
	queueAllowance = 0.15
	// arrivalWeight is the weight of one interval in the arrival rates.
	arrivalWeight = 0.25
	// minShare is the part of an importance that has to be admitted for its
	// arrivals to say something about all of it.
	minShare = 0.1
	// densityDecay is what remains per interval of what is known about an
	// importance that is refused: after 5 s half, so that it is tried again.
	densityDecay = 0.986
	// effectDelay is the number of intervals from a cutoff to the arrivals that
	// it has let through: the way to the start of the chains, and the time until
	// these make their calls.
	effectDelay = 4
	// floor keeps a little of the most important work coming, without which
	// nothing would be measured.
	floor = 0.05
)

// Controller keeps the cutoff of one target. It is not safe for concurrent use.
type Controller struct {
	cutoff Cutoff
	began  time.Time
	// arrivals counts the requests of this interval by importance, rate is the
	// mean per second, and density what the rate would be if all were admitted.
	arrivals, rate, density [Importances]float64
	// past holds the cutoffs that were in force, the oldest first.
	past [effectDelay]Cutoff
}

// Input is the state of the target and its queue.
type Input struct {
	// Capacity is the number of requests per second that the target serves when
	// all slots are in use; 0 means unknown.
	Capacity float64
	// Slots is the number of slots, Waiting the number of requests in the queue.
	Slots, Waiting int
	// InForce is the cutoff that the starts of chains apply: the mean over the
	// targets of the service.
	InForce Cutoff
}

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller {
	c := &Controller{cutoff: Open, began: now}
	for i := range c.past {
		c.past[i] = Open
	}
	return c
}

// Arrived records a request that was offered to the queue.
func (c *Controller) Arrived(importance int) {
	c.arrivals[min(max(importance, 0), Importances-1)]++
}

// Cutoff returns the cutoff in force.
func (c *Controller) Cutoff() Cutoff { return c.cutoff }

// Arrivals returns the mean number of requests per second that were offered to
// the queue, up to the given importance.
func (c *Controller) Arrivals(importance int) float64 {
	sum := 0.0
	for _, rate := range c.rate[:min(importance+1, Importances)] {
		sum += rate
	}
	return sum
}

// Tick ends the interval if it is over.
func (c *Controller) Tick(now time.Time, in Input) {
	elapsed := now.Sub(c.began)
	if elapsed < Interval {
		return
	}
	c.learn(elapsed)
	copy(c.past[:], c.past[1:])
	c.past[len(c.past)-1] = in.InForce
	c.cutoff = c.fit(in)
	c.began, c.arrivals = now, [Importances]float64{}
}

// learn updates the rates. The arrivals of an interval were let through by the
// cutoff of some intervals ago.
func (c *Controller) learn(elapsed time.Duration) {
	for i, n := range c.arrivals {
		c.rate[i] += arrivalWeight * (n/elapsed.Seconds() - c.rate[i])
		if share := c.past[0].share(i); share >= minShare {
			c.density[i] = c.rate[i] / share
		} else {
			c.density[i] = max(c.density[i]*densityDecay, c.rate[i])
		}
	}
}

// fit returns the cutoff up to which the arrivals fit into the capacity.
func (c *Controller) fit(in Input) Cutoff {
	if in.Capacity <= 0 {
		return Open
	}
	left := in.Capacity * usedCapacity
	if excess := float64(in.Waiting) - queueAllowance*float64(in.Slots); excess > 0 {
		left -= excess / drainTime.Seconds()
	}
	for i, density := range c.density {
		if density > left {
			return Cutoff(max(float64(i)+max(left, 0)/density, floor))
		}
		left -= density
	}
	return Open
}

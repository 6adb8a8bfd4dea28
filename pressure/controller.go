package pressure

import "time"

const (
	// UpdateInterval is the interval between updates of the cutoff.
	UpdateInterval = 100 * time.Millisecond
	// targetUtilization is the share of the capacity that new chains may use. At full
	// utilization random variations would make the queue grow without bound.
	targetUtilization = 0.97
	// queueDrainTime is the time in which the part of the queue that exceeds
	// queueAllowancePerSlot times the number of slots is to be drained.
	queueDrainTime        = 300 * time.Millisecond
	queueAllowancePerSlot = 0.15
	// arrivalWeight is the weight of one interval in the moving averages of rates.
	arrivalWeight = 0.25
	// minAdmittedShare is the minimum admitted share of an importance level from
	// which its total demand is extrapolated.
	minAdmittedShare = 0.1
	// demandDecay is the factor per interval for the estimated demand of an
	// importance level that is refused. It halves the estimate in 5 s, so that the
	// level is admitted again on trial.
	demandDecay = 0.986
	// effectDelayIntervals is the number of intervals until a cutoff takes effect on
	// arrivals: the time to propagate to the starts of chains and the time until
	// those chains make their calls.
	effectDelayIntervals = 4
	// minCutoff admits a small share of the most important requests even under
	// overload, because demand cannot be measured without arrivals.
	minCutoff = 0.05
)

// Controller computes the cutoff of one target. It is not safe for concurrent use.
type Controller struct {
	cutoff        Cutoff
	intervalStart time.Time
	// By importance, arrivals counts the requests of this interval, rates is the
	// moving average per second, and demand the estimated rate if all were admitted.
	arrivals, rates, demand [ImportanceLevels]float64
	// appliedCutoffs holds the recent values of Input.AppliedCutoff, oldest first.
	appliedCutoffs [effectDelayIntervals]Cutoff
}

// Input is the state of a target and its queue.
type Input struct {
	// Capacity is the number of requests per second that the target serves when
	// all slots are in use; 0 means unknown.
	Capacity float64
	// Slots is the number of slots, Waiting the number of requests in the queue.
	Slots, Waiting int
	// AppliedCutoff is the cutoff applied at the start of chains, which is the mean
	// over the targets of the service.
	AppliedCutoff Cutoff
}

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller {
	c := &Controller{cutoff: AdmitAll, intervalStart: now}
	for i := range c.appliedCutoffs {
		c.appliedCutoffs[i] = AdmitAll
	}
	return c
}

// RecordArrival records a request that was offered to the queue.
func (c *Controller) RecordArrival(importance int) {
	c.arrivals[min(max(importance, 0), ImportanceLevels-1)]++
}

// Cutoff returns the cutoff in force.
func (c *Controller) Cutoff() Cutoff { return c.cutoff }

// ArrivalRate returns the mean number of requests per second of at least the given
// importance that were offered to the queue.
func (c *Controller) ArrivalRate(importance int) float64 {
	sum := 0.0
	for _, rate := range c.rates[:min(importance+1, ImportanceLevels)] {
		sum += rate
	}
	return sum
}

// Tick updates the cutoff if an interval has elapsed since the last update.
func (c *Controller) Tick(now time.Time, in Input) {
	elapsed := now.Sub(c.intervalStart)
	if elapsed < UpdateInterval {
		return
	}
	c.updateRates(elapsed)
	copy(c.appliedCutoffs[:], c.appliedCutoffs[1:])
	c.appliedCutoffs[len(c.appliedCutoffs)-1] = in.AppliedCutoff
	c.cutoff = c.computeCutoff(in)
	c.intervalStart, c.arrivals = now, [ImportanceLevels]float64{}
}

// updateRates updates the rates and the estimated demand. The arrivals of an
// interval were admitted by the cutoff of effectDelayIntervals ago.
func (c *Controller) updateRates(elapsed time.Duration) {
	for i, n := range c.arrivals {
		c.rates[i] += arrivalWeight * (n/elapsed.Seconds() - c.rates[i])
		if share := c.appliedCutoffs[0].admittedShare(i); share >= minAdmittedShare {
			c.demand[i] = c.rates[i] / share
		} else {
			c.demand[i] = max(c.demand[i]*demandDecay, c.rates[i])
		}
	}
}

// computeCutoff returns the highest cutoff at which the estimated demand fits the
// capacity left after draining the queue.
func (c *Controller) computeCutoff(in Input) Cutoff {
	if in.Capacity <= 0 {
		return AdmitAll
	}
	left := in.Capacity * targetUtilization
	if excess := float64(in.Waiting) - queueAllowancePerSlot*float64(in.Slots); excess > 0 {
		left -= excess / queueDrainTime.Seconds()
	}
	for i, density := range c.demand {
		if density > left {
			return Cutoff(max(float64(i)+max(left, 0)/density, minCutoff))
		}
		left -= density
	}
	return AdmitAll
}

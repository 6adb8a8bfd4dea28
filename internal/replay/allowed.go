package replay

import (
	"slices"
	"time"
)

// allowedStep is the resolution at which the allowed goodput is added up.
const allowedStep = 50 * time.Millisecond

// recordedWindow is the time over which recorded arrivals are averaged to a
// rate. In a shorter one, the noise of the arrivals would count as demand above
// the slots and lower the bound.
const recordedWindow = time.Second

// allowed is the number of whole requests that the slots allow between two
// times. It is worked out from the trace alone:
//
//   - A request holds a slot of each service on its path for its own service
//     time plus the time of its sub-calls, each with the latency of two hops
//     inside a failure domain and without any waiting. Service times are those
//     in force at that moment.
//   - The slots of a service are its targets times the slots of each.
//   - At each moment the slots are given to the operations in the order of
//     importance, each up to its demand: the requests that arrive, without
//     repeats. Within the same importance the shorter operation goes first.
//     Recorded requests count as a constant rate in each recordedWindow.
func allowed(t *Trace, from, to time.Duration) float64 {
	total := 0.0
	var recorded map[string]float64
	for at := from; at < to; at += allowedStep {
		if (at-from)%recordedWindow == 0 {
			recorded = t.recordedDemand(at, min(at+recordedWindow, to))
		}
		free := map[string]float64{}
		for _, s := range t.Head.Services {
			free[s.Name] = float64(s.Targets * s.Slots)
		}
		demand := t.demand(at)
		for _, o := range byImportance(&t.Head) {
			rate := demand[o.Name] + recorded[o.Name]
			use := map[string]float64{}
			t.holdingSeconds(o, at, use)
			for service, hold := range use {
				rate = min(rate, free[service]/hold)
			}
			for service, hold := range use {
				free[service] = max(0, free[service]-rate*hold)
			}
			total += rate * allowedStep.Seconds()
		}
	}
	return total
}

// recordedDemand returns the mean rate of the recorded requests of each
// operation between two times.
func (t *Trace) recordedDemand(from, to time.Duration) map[string]float64 {
	rates := map[string]float64{}
	for _, e := range t.Events {
		if e.Method != "" && ms(e.At) >= from && ms(e.At) < to {
			rates[t.Head.find(e.Service, e.Method, e.Path).Name] += 1 / (to - from).Seconds()
		}
	}
	return rates
}

// demand returns the arrival rate of each operation at a time, without recorded
// requests.
func (t *Trace) demand(at time.Duration) map[string]float64 {
	rates := map[string]float64{}
	for _, e := range t.Events {
		if e.Arrivals == nil || at < ms(e.At) || at >= ms(e.Until) {
			continue
		}
		for name, share := range e.Mix {
			rates[name] += *e.Arrivals * share
		}
	}
	return rates
}

// holdingSeconds adds to use how long one request of an operation holds a slot
// of each service, and returns its time at the operation's own service.
func (t *Trace) holdingSeconds(o *Operation, at time.Duration, use map[string]float64) float64 {
	hold := o.OwnMS / 1000 * t.slowAt(o.Service, at)
	for _, name := range o.Calls {
		hold += 2*sameDomainLatency.Seconds() + t.holdingSeconds(t.Head.operation(name), at, use)
	}
	use[o.Service] += hold
	return hold
}

func (t *Trace) slowAt(service string, at time.Duration) float64 {
	factor := 1.0
	for _, e := range t.Events {
		if e.Fault == FaultSlow && e.Service == service && at >= ms(e.At) && (e.Until == 0 || at < ms(e.Until)) {
			factor = e.Factor
		}
	}
	return factor
}

// byImportance returns the operations, the most important first, and the
// shorter first within the same importance.
func byImportance(h *Head) []*Operation {
	all := make([]*Operation, 0, len(h.Operations))
	for i := range h.Operations {
		all = append(all, &h.Operations[i])
	}
	slices.SortStableFunc(all, func(a, b *Operation) int {
		if a.Importance != b.Importance {
			return a.Importance - b.Importance
		}
		return int(1000 * (a.OwnMS - b.OwnMS))
	})
	return all
}

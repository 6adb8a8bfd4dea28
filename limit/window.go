package limit

import "time"

// window aggregates the samples of a period with a constant limit.
type window struct {
	start time.Time
	// n counts all samples, successes those in which the target responded.
	// failures counts those caused by the target, which leaves out requests whose
	// deadline was too short for any target.
	n, successes, failures int
	// ownTime is the sum of the target's own latency over the served samples,
	// which are those that were not refused.
	ownTime time.Duration
	served  int
	// total and inFlight are sums over all samples.
	total    time.Duration
	inFlight int
}

func (w *window) add(s Sample, failed bool) {
	w.n++
	w.total += s.Total
	w.inFlight += s.InFlight
	if failed {
		w.failures++
	}
	if !s.Refused && !s.TimedOut {
		w.successes++
	}
	if !s.Refused {
		w.ownTime += s.Latency
		w.served++
	}
}

func (w *window) failureRatio() float64 { return float64(w.failures) / float64(max(w.n, 1)) }

// decayAndAdd adds a newer window and halves the weight of the older ones.
func (w *window) decayAndAdd(newer *window) {
	w.n, w.successes, w.failures, w.served = w.n/2+newer.n, w.successes/2+newer.successes, w.failures/2+newer.failures, w.served/2+newer.served
	w.ownTime, w.total, w.inFlight = w.ownTime/2+newer.ownTime, w.total/2+newer.total, w.inFlight/2+newer.inFlight
}

// sufficient reports whether the window spans a response time and has enough
// samples. In a shorter one the concurrency and the latencies have not settled.
func (w *window) sufficient(now time.Time) bool {
	return w.n >= minSamples && now.Sub(w.start) >= w.meanResponseTime()
}

// concurrency is the mean number of requests in flight.
func (w *window) concurrency() float64 { return float64(w.inFlight) / float64(max(w.n, 1)) }

// meanLatency is the mean of the target's own latency, or 0 when every sample
// was refused.
func (w *window) meanLatency() time.Duration { return w.ownTime / time.Duration(max(w.served, 1)) }

// meanResponseTime is the mean time from the start of a request to its end.
func (w *window) meanResponseTime() time.Duration { return w.total / time.Duration(max(w.n, 1)) }

// goodput is the number of successful requests per second by Little's law:
// concurrency divided by the mean response time, times the success ratio. It has
// less noise than a count over a short time, and idle time needs no correction.
func (w *window) goodput() float64 {
	if w.total <= 0 {
		return 0
	}
	return w.concurrency() * float64(w.successes) / w.total.Seconds()
}

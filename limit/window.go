package limit

import "time"

// window sums the samples of one stretch of time at one limit.
type window struct {
	began time.Time
	// n counts all samples, good those with a response of the target. bad counts
	// the failures that speak against the target: not those of a caller whose
	// deadline was too short for any target.
	n, good, bad int
	// own sums the own latency of the served samples that were not refused.
	own    time.Duration
	served int
	// total and inFlight are summed over all samples.
	total    time.Duration
	inFlight int
}

func (w *window) add(s Sample, bad bool) {
	w.n++
	w.total += s.Total
	w.inFlight += s.InFlight
	if bad {
		w.bad++
	}
	if !s.Refused && !s.TimedOut {
		w.good++
	}
	if !s.Refused {
		w.own += s.Latency
		w.served++
	}
}

func (w *window) badShare() float64 { return float64(w.bad) / float64(max(w.n, 1)) }

// merge adds a newer window and halves the weight of the older ones.
func (w *window) merge(newer *window) {
	w.n, w.good, w.bad, w.served = w.n/2+newer.n, w.good/2+newer.good, w.bad/2+newer.bad, w.served/2+newer.served
	w.own, w.total, w.inFlight = w.own/2+newer.own, w.total/2+newer.total, w.inFlight/2+newer.inFlight
}

// long reports that the window spans a response time and enough samples; in a
// shorter one the concurrency and the times have not settled.
func (w *window) long(now time.Time) bool {
	return w.n >= minSamples && now.Sub(w.began) >= w.response()
}

// concurrency is the mean number of requests in flight.
func (w *window) concurrency() float64 { return float64(w.inFlight) / float64(max(w.n, 1)) }

// latency is the mean own latency, or 0 when every sample was refused.
func (w *window) latency() time.Duration { return w.own / time.Duration(max(w.served, 1)) }

// response is the mean total time.
func (w *window) response() time.Duration { return w.total / time.Duration(max(w.n, 1)) }

// goodput is the rate of requests per second that ended well, by Little's law:
// concurrency divided by the mean time, times the share that ended well. It has
// less noise than a count over a short time, and needs no idle time excluded.
func (w *window) goodput() float64 {
	if w.total <= 0 {
		return 0
	}
	return w.concurrency() * float64(w.good) / w.total.Seconds()
}

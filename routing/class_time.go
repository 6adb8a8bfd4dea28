package routing

import "time"

const (
	// classSampleWeight is the weight of a new sample in the moving average of a
	// class. Response times have a relative standard deviation of about one half,
	// so this weight gives the average to within about 10%.
	classSampleWeight = 0.05
	// timeoutSampleWeight is the weight of a call that timed out. A single timeout
	// may be a lost message; a few in a row indicate a slow target.
	timeoutSampleWeight = 0.2
	// classLatencyHalfLife is the age at which a target's deviation from the mean of
	// a class counts half, so that an avoided target is tried again. Calls that
	// it gets before it has proved to be still slow are lost.
	classLatencyHalfLife = 5 * time.Second
	// timeoutLatencyFactor times the wait before a timeout is the assumed response
	// time of a call that timed out.
	timeoutLatencyFactor = 2
	// maxClasses bounds the classes tracked per service. Calls of further classes
	// are routed without regard to their class.
	maxClasses = 128
	// preferredTimeShare is the share of the time left that a target's mean response
	// time may take for calls to it to time out rarely: about one response in
	// twenty takes twice the mean. Above maxTimeShare most calls time out.
	preferredTimeShare = 0.5
	maxTimeShare       = 0.9
	// spareCapacityUtilization is the utilization below which a target can take the
	// calls that others are too slow for.
	spareCapacityUtilization = 0.8
)

// movingAverage is an exponentially weighted moving average of the response
// times of one class of calls.
type movingAverage struct {
	seconds float64
	at      time.Time
}

func (c *movingAverage) add(now time.Time, seconds, weight float64) {
	if c.at.IsZero() {
		c.seconds = seconds
	}
	c.seconds += weight * (seconds - c.seconds)
	c.at = now
}

// recordClassLatency adds a response time to the averages of its class, over all
// targets and for this target.
func (t *Table) recordClassLatency(tgt *target, now time.Time, class string, latency time.Duration) {
	if class == "" || latency <= 0 {
		return
	}
	mean := t.classLatencies[class]
	if mean == nil {
		if len(t.classLatencies) >= maxClasses {
			return
		}
		mean = &movingAverage{}
		t.classLatencies[class] = mean
	}
	mean.add(now, latency.Seconds(), classSampleWeight)
	tgt.classLatency(class).add(now, latency.Seconds(), classSampleWeight)
}

// recordOwnTime adds the processing time of a call, without queueing and
// sub-calls, to the target's latency, relative to the mean of the call's class.
func (t *Table) recordOwnTime(tgt *target, now time.Time, class string, own time.Duration) {
	mean := t.classOwnTimes[class]
	if mean == nil {
		if len(t.classOwnTimes) >= maxClasses {
			return
		}
		mean = &movingAverage{}
		t.classOwnTimes[class] = mean
	}
	mean.add(now, own.Seconds(), classSampleWeight)
	if !t.relativeLatencies {
		// Earlier samples are absolute times and cannot be compared with ratios.
		t.relativeLatencies, t.meanLatency = true, 0
		for _, other := range t.ranking {
			other.latency = 0
		}
	}
	t.recordLatency(tgt, now, time.Duration(own.Seconds()/mean.seconds*float64(time.Second)))
}

// recordTimeout updates the class average of a target after a call that had no
// response within the given wait.
func (t *Table) recordTimeout(tgt *target, now time.Time, class string, waited time.Duration) {
	if t.classLatencies[class] == nil || waited.Seconds() < t.expectedLatency(tgt, now, class) {
		return
	}
	own := tgt.classLatency(class)
	if own.at.IsZero() {
		own.add(now, t.classLatencies[class].seconds, 1)
	}
	own.add(now, timeoutLatencyFactor*waited.Seconds(), timeoutSampleWeight)
}

// classLatency returns the average of a class at this target and creates it if
// necessary.
func (tgt *target) classLatency(class string) *movingAverage {
	own := tgt.classLatencies[class]
	if own == nil {
		own = &movingAverage{}
		tgt.classLatencies[class] = own
	}
	return own
}

// expectedLatency returns the expected response time, in seconds, of a call of a
// class at a target, or 0 if there are no samples.
func (t *Table) expectedLatency(tgt *target, now time.Time, class string) float64 {
	mean, own := t.classLatencies[class], tgt.classLatencies[class]
	if mean == nil || own == nil {
		return 0
	}
	return mean.seconds + decayed(own.seconds-mean.seconds, now.Sub(own.at), classLatencyHalfLife)
}

// targetsWithinTime returns the targets of the subset that are likely to respond
// within the time left. Targets that often time out are skipped while faster ones
// have spare capacity, since queueing at a few fast targets costs more than a slow
// response. Targets that mostly time out are skipped unless there is no other.
func (t *Table) targetsWithinTime(now time.Time, in *PickInput) (local, remote []*target) {
	if in.TimeLeft <= 0 || t.classLatencies[in.Class] == nil {
		return t.local, t.remote
	}
	t.fastLocal, t.fastRemote = t.fastLocal[:0], t.fastRemote[:0]
	if t.collectWithinShare(now, in, preferredTimeShare) {
		return t.fastLocal, t.fastRemote
	}
	t.fastLocal, t.fastRemote = t.fastLocal[:0], t.fastRemote[:0]
	t.collectWithinShare(now, in, maxTimeShare)
	if len(t.fastLocal)+len(t.fastRemote) > 0 {
		return t.fastLocal, t.fastRemote
	}
	return t.local, t.remote
}

// collectWithinShare collects the targets whose mean response time is within a
// share of the time left, and reports whether one of them has spare capacity.
func (t *Table) collectWithinShare(now time.Time, in *PickInput, share float64) (spare bool) {
	bound := in.TimeLeft.Seconds() * share
	collect := func(from, to []*target) []*target {
		for _, tgt := range from {
			if t.expectedLatency(tgt, now, in.Class) > bound || in.excludes(tgt) {
				continue
			}
			all, ahead := t.loadOf(tgt, now, in.Importance)
			// The time to drain the queue ahead of the call, plus its own service time.
			if (max(ahead-1, 0)+1)*tgt.load.ServiceTime.Seconds() > bound {
				continue
			}
			to = append(to, tgt)
			spare = spare || utilizationOf(all, ahead) < spareCapacityUtilization
		}
		return to
	}
	t.fastLocal, t.fastRemote = collect(t.local, t.fastLocal), collect(t.remote, t.fastRemote)
	return spare
}

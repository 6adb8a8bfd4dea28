package routing

import "time"

const (
	// classWeight is the weight of a new sample in the mean response time of a
	// class at one target. Response times vary by half, so that the mean is known
	// to about a tenth.
	classWeight = 0.05
	// unansweredWeight is that of a call without a response in time: a single one
	// may have been lost, a few say that the target is slow.
	unansweredWeight = 0.2
	// classHalfLife is the age at which the difference of a target from the mean
	// of a class counts half, so that a target that was avoided is tried again.
	// Until it has shown that it is still slow, calls are lost there.
	classHalfLife = 5 * time.Second
	// unansweredFactor times the time after which there was no response stands
	// for the time that a response would have taken.
	unansweredFactor = 2
	// maxClasses bounds the classes of one service. Calls of others are routed
	// without regard to their class.
	maxClasses = 128
	// comfortableShare is the part of the time left within which a target responds
	// in the mean if it rarely takes longer than all of it: response times vary,
	// and about one in twenty is twice the mean. Beyond hopelessShare most calls
	// run out of time.
	comfortableShare = 0.5
	hopelessShare    = 0.9
	// spareUtilization is the share of the limit in use up to which targets take
	// the calls that others are too slow for.
	spareUtilization = 0.8
)

// classTime is the mean response time of the calls of one class.
type classTime struct {
	seconds float64
	at      time.Time
}

func (c *classTime) learn(now time.Time, seconds, weight float64) {
	if c.at.IsZero() {
		c.seconds = seconds
	}
	c.seconds += weight * (seconds - c.seconds)
	c.at = now
}

// learnClass enters the response time of a call.
func (t *Table) learnClass(g *target, now time.Time, class string, latency time.Duration) {
	if class == "" || latency <= 0 {
		return
	}
	mean := t.classes[class]
	if mean == nil {
		if len(t.classes) >= maxClasses {
			return
		}
		mean = &classTime{}
		t.classes[class] = mean
	}
	mean.learn(now, latency.Seconds(), classWeight)
	g.classTime(class).learn(now, latency.Seconds(), classWeight)
}

// learnOwnTime enters the time that a target took for a call itself, relative to
// the mean of its class.
func (t *Table) learnOwnTime(g *target, now time.Time, class string, own time.Duration) {
	mean := t.ownTimes[class]
	if mean == nil {
		if len(t.ownTimes) >= maxClasses {
			return
		}
		mean = &classTime{}
		t.ownTimes[class] = mean
	}
	mean.learn(now, own.Seconds(), classWeight)
	if !t.relative {
		// What was learned before has another unit.
		t.relative, t.meanLatency = true, 0
		for _, other := range t.ranking {
			other.latency = 0
		}
	}
	t.learnLatency(g, now, time.Duration(own.Seconds()/mean.seconds*float64(time.Second)))
}

// learnUnanswered enters the time after which a call had no response.
func (t *Table) learnUnanswered(g *target, now time.Time, class string, waited time.Duration) {
	if t.classes[class] == nil || waited.Seconds() < t.expected(g, now, class) {
		return
	}
	own := g.classTime(class)
	if own.at.IsZero() {
		own.learn(now, t.classes[class].seconds, 1)
	}
	own.learn(now, unansweredFactor*waited.Seconds(), unansweredWeight)
}

// classTime returns the mean of a class, a new one if there is none.
func (g *target) classTime(class string) *classTime {
	own := g.classes[class]
	if own == nil {
		own = &classTime{}
		g.classes[class] = own
	}
	return own
}

// expected returns the response time, in seconds, that a call of a class would
// take at a target. It is 0 if nothing is known.
func (t *Table) expected(g *target, now time.Time, class string) float64 {
	mean, own := t.classes[class], g.classes[class]
	if mean == nil || own == nil {
		return 0
	}
	return mean.seconds + halved(own.seconds-mean.seconds, now.Sub(own.at), classHalfLife)
}

// fastEnough returns the targets of the subset that are likely to respond in
// time. Those that would not respond at all within the time left are avoided as
// long as there is another one, and those that often would not while faster ones
// have slots to spare: a late response is better than a wait for few targets.
func (t *Table) fastEnough(now time.Time, in *PickInput) (local, remote []*target) {
	if in.Left <= 0 || t.classes[in.Class] == nil {
		return t.local, t.remote
	}
	t.fastLocal, t.fastRemote = t.fastLocal[:0], t.fastRemote[:0]
	if t.keepWithin(now, in, comfortableShare) {
		return t.fastLocal, t.fastRemote
	}
	t.fastLocal, t.fastRemote = t.fastLocal[:0], t.fastRemote[:0]
	t.keepWithin(now, in, hopelessShare)
	if len(t.fastLocal)+len(t.fastRemote) > 0 {
		return t.fastLocal, t.fastRemote
	}
	return t.local, t.remote
}

// keepWithin collects the targets that respond within a share of the time left
// in the mean, and reports whether one of them has slots to spare.
func (t *Table) keepWithin(now time.Time, in *PickInput, share float64) (spare bool) {
	bound := in.Left.Seconds() * share
	keep := func(from, to []*target) []*target {
		for _, g := range from {
			if t.expected(g, now, in.Class) > bound || in.excludes(g) {
				continue
			}
			all, first := t.loadOf(g, now, in.Importance)
			// The queue that goes first, and then the call itself.
			if (max(first-1, 0)+1)*g.load.ServiceTime.Seconds() > bound {
				continue
			}
			to = append(to, g)
			spare = spare || utilizationOf(all, first) < spareUtilization
		}
		return to
	}
	t.fastLocal, t.fastRemote = keep(t.local, t.fastLocal), keep(t.remote, t.fastRemote)
	return spare
}

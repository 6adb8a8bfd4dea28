package routing

import "time"

const (
	// classWeight is the weight of a new sample in the mean response time of a
	// class at one target. Response times vary by half, so that the mean is known
	// to about a tenth.
	classWeight = 0.05
	// classHalfLife is the age at which the difference of a target from the mean
	// of a class counts half, so that a target that was avoided is tried again.
	classHalfLife = 3 * time.Second
	// maxClasses bounds the classes of one service. Calls of others are routed
	// without regard to their class.
	maxClasses = 128
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
	own := g.classes[class]
	if own == nil {
		own = &classTime{}
		g.classes[class] = own
	}
	own.learn(now, latency.Seconds(), classWeight)
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

// fastEnough returns the targets of the subset that would respond in time. If
// there is none, or none with slots to spare, all remain: a call that is late is
// better than one that waits for a few fast targets.
func (t *Table) fastEnough(now time.Time, in *PickInput) (local, remote []*target) {
	if in.Within <= 0 || t.classes[in.Class] == nil {
		return t.local, t.remote
	}
	spare := false
	keep := func(from, to []*target) []*target {
		for _, g := range from {
			if t.expected(g, now, in.Class) <= in.Within.Seconds() && !in.excludes(g) {
				to = append(to, g)
				spare = spare || t.utilization(g, now, in.Importance) < spareUtilization
			}
		}
		return to
	}
	t.fastLocal, t.fastRemote = keep(t.local, t.fastLocal[:0]), keep(t.remote, t.fastRemote[:0])
	if !spare {
		return t.local, t.remote
	}
	return t.fastLocal, t.fastRemote
}

package limit

import (
	"math"
	"time"
)

// Limiter adapts the concurrency limit of one target.
//
// The limit equals the published slots until requests fail, or until the
// target's own latency rises above its baseline while the limit is fully used.
// The limiter then tries a lower limit. It keeps that limit only if goodput does
// not fall in proportion, which means that the target queues internally.
// Otherwise the target is slow without queueing, and the old limit is restored.
// A lowered limit is raised again by trials of the same kind, or without a trial
// while it is not fully used. The backoff between trials is bounded, so the limit
// cannot stay low.
//
// The trials, and comparing goodput by Little's law, are not taken from a
// published algorithm. docs/measurements-limit.md compares them with AIMD and a
// gradient algorithm.
//
// A Limiter is not safe for concurrent use.
type Limiter struct {
	config  Config
	started time.Time
	// limit is the learned limit. Limit also applies a running trial and the cold
	// start ramp.
	limit float64
	now   time.Time

	baseline time.Duration
	// baselineChecks counts the trials that still have to confirm a baseline that
	// was measured only at full concurrency.
	baselineChecks int
	// highWindows and lowWindows count consecutive windows whose latency is above
	// latencyRiseFactor or below latencyFallFactor.
	highWindows, lowWindows int
	// serviceTime and responseTime are recent means of Sample.Latency and
	// Sample.Total over requests that were not refused.
	serviceTime, responseTime time.Duration
	// serviceTimeAt is the time of the newest sample in serviceTime.
	serviceTimeAt time.Time
	window        window
	// recent aggregates the windows since the limit last changed; each new window
	// halves the weight of the older ones.
	recent window
	trial  *trial

	raiseStep                  float64
	raiseBackoff, lowerBackoff time.Duration
	nextRaise, nextLower       time.Time
	nextFailureStep            time.Time
	// toleratedFailures is the share of failures that a lower limit did not reduce.
	toleratedFailures float64
	// reportedDegraded is set while the target reports that it is unhealthy or
	// that its capacity is below the limit.
	reportedDegraded bool
}

// New returns a limiter for a target that has just started.
func New(config Config, now time.Time) *Limiter {
	l := &Limiter{config: config.withBounds()}
	l.TargetStarted(now)
	return l
}

// Configure replaces the settings. The learned limit is kept, clamped to the new
// bounds.
func (l *Limiter) Configure(now time.Time, config Config) {
	l.abortTrial(now)
	atCeiling := l.limit >= float64(l.config.Slots)
	l.config = config.withBounds()
	l.limit = min(max(l.limit, float64(l.config.MinLimit)), float64(l.config.Slots))
	if atCeiling {
		l.limit = float64(l.config.Slots)
	}
}

// TargetStarted starts the cold start ramp for a new process of the target and
// discards what was learned about the old one.
func (l *Limiter) TargetStarted(now time.Time) {
	*l = Limiter{config: l.config, started: now, now: now, limit: float64(l.config.Slots),
		raiseStep: initialRaiseStep, raiseBackoff: minRaiseBackoff, lowerBackoff: minLowerBackoff}
	l.window.start = now
	if l.config.ColdStart == 0 {
		l.baselineChecks = initialBaselineChecks
	}
}

// ObserveReport records a report of the target's health or load endpoint. A
// report of bad health or low capacity starts a trial of a lower limit but does
// not change the limit by itself, since the endpoint can lag or be wrong. The
// next good report cancels this.
func (l *Limiter) ObserveReport(now time.Time, r Report) {
	l.advance(now)
	l.reportedDegraded = !r.Healthy || r.Capacity > 0 && r.Capacity < l.Limit()
}

// Tick advances the time while no request ends. It must be called every
// TickInterval.
func (l *Limiter) Tick(now time.Time) {
	l.advance(now)
	if l.trial != nil && l.trial.overdue(now) {
		l.abortTrial(now)
	}
}

// Observe records the end of a request.
func (l *Limiter) Observe(now time.Time, s Sample) {
	l.advance(now)
	if s.Total < s.Latency {
		s.Total = s.Latency
	}
	failed := s.Refused || s.TimedOut && s.Latency >= timeoutBaselineFactor*l.baseline
	if !s.Refused {
		if l.responseTime == 0 {
			l.responseTime = s.Total
		}
		if l.ServiceTime() == 0 {
			l.serviceTime = s.Latency
		}
		l.serviceTimeAt = l.now
		l.serviceTime += (s.Latency - l.serviceTime) / meanDecaySamples
		l.responseTime += (s.Total - l.responseTime) / meanDecaySamples
	}
	if t := l.trial; t != nil {
		if t.observe(now, s, failed, l.responseTime) {
			l.decideTrial(now)
		} else if t.cause == causeRaise && l.failing(&t.after) {
			l.revertTrial(now)
		} else if t.overdue(now) {
			l.abortTrial(now)
		}
		return
	}
	if !now.Before(l.window.start) {
		l.window.add(s, failed)
		l.evaluate(now)
	}
}

// Limit returns the concurrency limit at the time of the last call that took a
// time.
func (l *Limiter) Limit() int {
	limit := l.limit
	if l.trial != nil {
		limit = l.trial.newLimit
	}
	return max(min(int(limit+0.5), l.ceiling()), l.config.MinLimit)
}

// ServiceTime returns the recent mean of the target's own latency, or 0 when
// nothing has been observed within maxServiceTimeAge. The mean then restarts with
// the next sample. Without this limit on its age, a queue that refuses requests
// for which the target was too slow would never detect that it is fast again.
func (l *Limiter) ServiceTime() time.Duration {
	if l.now.Sub(l.serviceTimeAt) > maxServiceTimeAge {
		return 0
	}
	return l.serviceTime
}

// State returns the state of the limiter.
func (l *Limiter) State() State {
	s := State{Limit: l.Limit(), Phase: "steady", Baseline: l.baseline, ServiceTime: l.ServiceTime(), Ceiling: l.ceiling()}
	if l.trial != nil {
		s.Phase = string(l.trial.cause)
	}
	return s
}

// ceiling returns the upper bound set by the slots and the cold start ramp.
func (l *Limiter) ceiling() int {
	elapsed := l.now.Sub(l.started)
	if elapsed >= l.config.ColdStart {
		return l.config.Slots
	}
	share := float64(elapsed) / float64(l.config.ColdStart)
	return l.config.MinLimit + int(share*float64(l.config.Slots-l.config.MinLimit))
}

func (l *Limiter) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
}

// failing reports whether the share of failures is high enough to lower the
// limit.
func (l *Limiter) failing(w *window) bool {
	margin := 1 / math.Sqrt(float64(max(w.n, 1))) // At least two standard errors.
	return w.failures >= minFailures && w.failureRatio()-margin >= max(failureThreshold, l.toleratedFailures)
}

// evaluate ends the window if it is long enough, and starts a trial if the window
// gives reason for one.
func (l *Limiter) evaluate(now time.Time) {
	w := l.window
	limit := float64(l.Limit())
	if !now.Before(l.nextLower) {
		l.toleratedFailures = 0
	}
	if l.failing(&w) && !now.Before(l.nextFailureStep) {
		l.nextFailureStep = now.Add(failureStepInterval)
		if w.failureRatio() >= massFailureThreshold {
			l.limit = max(limit*failureStepFactor, float64(l.config.MinLimit))
			l.nextRaise = now.Add(l.raiseBackoff)
			l.window, l.recent = window{start: now.Add(l.responseTime)}, window{}
		} else {
			l.beginTrial(now, causeFailures, limit*failureStepFactor, w)
		}
		return
	}
	age := now.Sub(w.start)
	if !w.sufficient(now) || w.n < windowSamples && age < windowDuration {
		return
	}
	l.window = window{start: now}
	limitBinding := w.concurrency() >= saturationThreshold*limit
	l.updateBaseline(&w, age, limitBinding)
	l.recent.decayAndAdd(&w)
	switch {
	case !limitBinding:
		// While the limit is not fully used, a trial could measure nothing and a
		// higher limit costs nothing.
		if l.limit < float64(l.config.Slots) && l.highWindows == 0 && !l.failing(&w) {
			l.limit = min(max(l.limit*idleRaiseStep, l.limit+1), float64(l.config.Slots))
		}
	case (l.highWindows >= 2 || l.baselineChecks > 0 || l.reportedDegraded) && limit > float64(l.config.MinLimit) && !now.Before(l.nextLower):
		l.highWindows = 0
		l.beginTrial(now, causeLatency, min(math.Ceil(limit*lowerStepFactor), limit-1), w)
	case l.limit < float64(l.ceiling()) && !now.Before(l.nextRaise):
		l.beginTrial(now, causeRaise, max(limit*raiseStep(l.raiseStep, w.goodput()), limit+1), l.recent)
	}
}

// updateBaseline updates the baseline with the mean latency of a window.
func (l *Limiter) updateBaseline(w *window, age time.Duration, limitBinding bool) {
	latency := w.meanLatency()
	if latency == 0 {
		return
	}
	if l.baseline == 0 {
		l.baseline = latency
	}
	if !limitBinding {
		l.baselineChecks = 0
	}
	ratio := float64(latency) / float64(l.baseline)
	switch {
	case ratio > max(latencyRiseFactor, 1+3/math.Sqrt(float64(w.n))):
		l.highWindows, l.lowWindows = l.highWindows+1, 0
	case ratio < latencyFallFactor:
		l.highWindows, l.lowWindows = 0, l.lowWindows+1
		if l.lowWindows >= 2 {
			l.baseline, l.lowWindows = latency, 0
		}
	default:
		l.highWindows, l.lowWindows = 0, 0
		share := min(age.Seconds()/baselineTimeConstant.Seconds(), 1)
		l.baseline += time.Duration(share * float64(latency-l.baseline))
	}
}

func (l *Limiter) beginTrial(now time.Time, c cause, newLimit float64, before window) {
	oldLimit := float64(l.Limit())
	newLimit = float64(int(min(max(newLimit, float64(l.config.MinLimit)), float64(l.ceiling()))))
	l.window = window{start: now}
	if newLimit == oldLimit {
		return
	}
	l.trial = &trial{cause: c, oldLimit: oldLimit, newLimit: newLimit, before: before, start: now}
}

// decideTrial ends a trial that has enough samples.
func (l *Limiter) decideTrial(now time.Time) {
	t := l.trial
	binding := t.after.concurrency() >= saturationThreshold*t.newLimit
	switch {
	case t.cause == causeRaise && (!binding || t.goodputSupportsLimit()):
		l.acceptTrial(now)
		l.raiseStep = min(l.raiseStep*raiseStepGrowth, maxRaiseStep)
		l.raiseBackoff, l.nextRaise = minRaiseBackoff, now
		if binding && l.limit < float64(l.ceiling()) {
			// The next trial uses the measurement of this one as its reference.
			l.beginTrial(now, causeRaise, max(t.newLimit*l.raiseStep, t.newLimit+1), t.after)
		}
	case t.cause == causeFailures && t.after.failureRatio() < t.before.failureRatio()/2, t.cause != causeRaise && binding && t.goodputSupportsLimit():
		l.acceptTrial(now)
		l.nextRaise = now.Add(l.raiseBackoff)
		// Continue lowering until a step does not help, which shows that the baseline
		// no longer includes internal queueing.
		l.baselineChecks, l.nextLower = max(l.baselineChecks, 1), now
	default:
		l.revertTrial(now)
	}
}

// revertTrial restores the limit from before the trial and increases the backoff.
func (l *Limiter) revertTrial(now time.Time) {
	t := l.trial
	l.endTrial(now)
	if t.cause == causeRaise {
		l.raiseStep = initialRaiseStep
		l.nextRaise = now.Add(l.raiseBackoff)
		l.raiseBackoff = min(2*l.raiseBackoff, maxRaiseBackoff)
		return
	}
	if now.Sub(l.nextLower) > lowerBackoffReset {
		l.lowerBackoff = minLowerBackoff
	}
	l.nextLower = now.Add(l.lowerBackoff)
	l.lowerBackoff = min(2*l.lowerBackoff, maxLowerBackoff)
	if t.cause == causeFailures {
		l.toleratedFailures = min(1.25*t.before.failureRatio(), 1)
		return
	}
	l.baselineChecks = max(l.baselineChecks-1, 0)
	// Lower concurrency did not help, so this is the latency without queueing.
	if latency := (t.before.meanLatency() + t.after.meanLatency()) / 2; t.after.n > 0 && latency > 0 {
		if float64(latency) > latencyRiseFactor*float64(l.baseline) {
			// If the trial was wrong, the higher baseline would hide an internal queue
			// for as long as it lasts.
			l.baselineChecks = max(l.baselineChecks, 1)
		}
		l.baseline = latency
	}
}

// abortTrial ends a trial that cannot be decided. The backoff is not increased.
func (l *Limiter) abortTrial(now time.Time) {
	if l.trial == nil {
		return
	}
	if l.trial.cause == causeFailures {
		// Too few requests end to compare; keep the lower limit until they do.
		l.acceptTrial(now)
		return
	}
	backoff := minRaiseBackoff
	if l.trial.cause == causeLatency {
		backoff = minLowerBackoff
	}
	l.endTrial(now)
	l.nextRaise, l.nextLower = now.Add(backoff), now.Add(backoff)
}

// endTrial returns to the limit that was learned before the trial.
func (l *Limiter) endTrial(now time.Time) {
	l.trial, l.recent = nil, window{}
	// Requests that end before the new window starts ran at the limit of the trial.
	l.window = window{start: now.Add(l.responseTime)}
}

// acceptTrial ends the trial and adopts its limit.
func (l *Limiter) acceptTrial(now time.Time) {
	l.limit = l.trial.newLimit
	l.endTrial(now)
}

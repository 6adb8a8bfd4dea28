package limit

import (
	"math"
	"time"
)

// Limiter adapts the concurrency limit of one target.
//
// The limit is the published slots until the target's own latency rises above
// its baseline while the limit is in use, or until requests fail. A lower limit
// is then tried. It is kept only if goodput does not fall in proportion, which
// means that the target queues inside; otherwise the target is slow without
// queueing and the old limit is restored. A lowered limit is raised again by
// trials of the same kind, and without a trial while it is not in use. Every
// wait between trials is bounded, so the limit cannot stay low.
//
// The trial and Little's law as its measure are our own; see
// docs/measurements-limit.md for the comparison with AIMD and a gradient rule.
//
// A Limiter is not safe for concurrent use.
type Limiter struct {
	config  Config
	started time.Time
	// limit is what was learned; Limit also applies the bounds of the moment.
	limit float64
	now   time.Time

	baseline time.Duration
	// doubts counts the trials that still have to confirm a baseline that was
	// never seen at less than full concurrency.
	doubts int
	// high and low count consecutive windows outside the two factors.
	high, low int
	// service and response are recent means of the own and the total time of
	// requests that were not refused.
	service, response time.Duration
	// servedAt is the time of the newest sample in service.
	servedAt time.Time
	window   window
	// recent sums the windows since the limit last changed, with weights that
	// halve.
	recent window
	trial  *trial

	raiseStep            float64
	raiseWait, lowerWait time.Duration
	nextRaise, nextLower time.Time
	nextBad              time.Time
	// tolerated is the share of failures that a lower limit did not reduce.
	tolerated float64
	doubted   bool
}

// New returns a limiter for a target that has just started.
func New(config Config, now time.Time) *Limiter {
	l := &Limiter{config: config.withBounds()}
	l.TargetStarted(now)
	return l
}

// Configure replaces the settings. What was learned is kept within the bounds.
func (l *Limiter) Configure(now time.Time, config Config) {
	l.abort(now)
	atCeiling := l.limit >= float64(l.config.Slots)
	l.config = config.withBounds()
	l.limit = min(max(l.limit, float64(l.config.MinLimit)), float64(l.config.Slots))
	if atCeiling {
		l.limit = float64(l.config.Slots)
	}
}

// TargetStarted begins the cold start ramp: the target's process is new, and
// what was learned about the old one is dropped.
func (l *Limiter) TargetStarted(now time.Time) {
	*l = Limiter{config: l.config, started: now, now: now, limit: float64(l.config.Slots),
		raiseStep: firstRaise, raiseWait: minRaiseWait, lowerWait: minLowerWait}
	l.window.began = now
	if l.config.ColdStart == 0 {
		l.doubts = startDoubts
	}
}

// ObserveReport records what the target's health or load endpoint says. A bad
// report leads to a trial with a lower limit and decides nothing by itself,
// since the endpoint can lag or be wrong. A good one ends that.
func (l *Limiter) ObserveReport(now time.Time, r Report) {
	l.advance(now)
	l.doubted = !r.Healthy || r.Capacity > 0 && r.Capacity < l.Limit()
}

// Tick advances the time while no request ends. Call it every TickInterval.
func (l *Limiter) Tick(now time.Time) {
	l.advance(now)
	if l.trial != nil && l.trial.overdue(now) {
		l.abort(now)
	}
}

// Observe records a request that ended.
func (l *Limiter) Observe(now time.Time, s Sample) {
	l.advance(now)
	if s.Total < s.Latency {
		s.Total = s.Latency
	}
	bad := s.Refused || s.TimedOut && s.Latency >= timeoutFactor*l.baseline
	if !s.Refused {
		if l.response == 0 {
			l.response = s.Total
		}
		if l.ServiceTime() == 0 {
			l.service = s.Latency
		}
		l.servedAt = l.now
		l.service += (s.Latency - l.service) / serviceSamples
		l.response += (s.Total - l.response) / serviceSamples
	}
	if t := l.trial; t != nil {
		if t.observe(now, s, bad, l.response) {
			l.decide(now)
		} else if t.cause == causeRaise && l.failing(&t.after) {
			l.revert(now)
		} else if t.overdue(now) {
			l.abort(now)
		}
		return
	}
	if !now.Before(l.window.began) {
		l.window.add(s, bad)
		l.evaluate(now)
	}
}

// Limit returns the concurrency limit as of the last call with a time.
func (l *Limiter) Limit() int {
	limit := l.limit
	if l.trial != nil {
		limit = l.trial.to
	}
	return max(min(int(limit+0.5), l.ceiling()), l.config.MinLimit)
}

// ServiceTime returns the recent mean of the target's own latency, or 0 when
// nothing has been observed within serviceTimeAge. The mean then starts again
// with the next sample. Otherwise a queue that refuses requests for which the
// target was too slow would never learn that it is fast again.
func (l *Limiter) ServiceTime() time.Duration {
	if l.now.Sub(l.servedAt) > serviceTimeAge {
		return 0
	}
	return l.service
}

// State returns the state of the limiter.
func (l *Limiter) State() State {
	s := State{Limit: l.Limit(), Phase: "steady", Baseline: l.baseline, ServiceTime: l.ServiceTime(), Ceiling: l.ceiling()}
	if l.trial != nil {
		s.Phase = string(l.trial.cause)
	}
	return s
}

// ceiling is the bound from the slots and the cold start ramp.
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

// failing reports a share of failures that lowers the limit.
func (l *Limiter) failing(w *window) bool {
	noise := 1 / math.Sqrt(float64(max(w.n, 1))) // Two standard errors at most.
	return w.bad >= minBad && w.badShare()-noise >= max(badLimit, l.tolerated)
}

// evaluate ends the window when it is long enough, and begins a trial if there
// is reason for one.
func (l *Limiter) evaluate(now time.Time) {
	w := l.window
	limit := float64(l.Limit())
	if !now.Before(l.nextLower) {
		l.tolerated = 0
	}
	if l.failing(&w) && !now.Before(l.nextBad) {
		l.nextBad = now.Add(badInterval)
		if w.badShare() >= hopeless {
			l.limit = max(limit*badFactor, float64(l.config.MinLimit))
			l.nextRaise = now.Add(l.raiseWait)
			l.window, l.recent = window{began: now.Add(l.response)}, window{}
		} else {
			l.begin(now, causeBad, limit*badFactor, w)
		}
		return
	}
	age := now.Sub(w.began)
	if !w.long(now) || w.n < steadySamples && age < steadyTime {
		return
	}
	l.window = window{began: now}
	busy := w.concurrency() >= saturated*limit
	l.follow(&w, age, busy)
	l.recent.merge(&w)
	switch {
	case !busy:
		// The limit is not in use, so nothing can be measured and nothing be lost.
		if l.limit < float64(l.config.Slots) && l.high == 0 && !l.failing(&w) {
			l.limit = min(max(l.limit*idleRaise, l.limit+1), float64(l.config.Slots))
		}
	case (l.high >= 2 || l.doubts > 0 || l.doubted) && limit > float64(l.config.MinLimit) && !now.Before(l.nextLower):
		l.high = 0
		l.begin(now, causeLatency, min(math.Ceil(limit*lowerFactor), limit-1), w)
	case l.limit < float64(l.ceiling()) && !now.Before(l.nextRaise):
		l.begin(now, causeRaise, max(limit*raiseStep(l.raiseStep, w.goodput()), limit+1), l.recent)
	}
}

// follow updates the baseline with the mean latency of a window.
func (l *Limiter) follow(w *window, age time.Duration, busy bool) {
	latency := w.latency()
	if latency == 0 {
		return
	}
	if l.baseline == 0 {
		l.baseline = latency
	}
	if !busy {
		l.doubts = 0
	}
	ratio := float64(latency) / float64(l.baseline)
	switch {
	case ratio > max(riseFactor, 1+3/math.Sqrt(float64(w.n))):
		l.high, l.low = l.high+1, 0
	case ratio < fallFactor:
		l.high, l.low = 0, l.low+1
		if l.low >= 2 {
			l.baseline, l.low = latency, 0
		}
	default:
		l.high, l.low = 0, 0
		share := min(age.Seconds()/baselineTime.Seconds(), 1)
		l.baseline += time.Duration(share * float64(latency-l.baseline))
	}
}

func (l *Limiter) begin(now time.Time, c cause, to float64, before window) {
	from := float64(l.Limit())
	to = float64(int(min(max(to, float64(l.config.MinLimit)), float64(l.ceiling()))))
	l.window = window{began: now}
	if to == from {
		return
	}
	l.trial = &trial{cause: c, from: from, to: to, before: before, began: now}
}

// decide ends a trial that has enough samples.
func (l *Limiter) decide(now time.Time) {
	t := l.trial
	binding := t.after.concurrency() >= saturated*t.to
	switch {
	case t.cause == causeRaise && (!binding || t.supported()):
		l.keep(now)
		l.raiseStep = min(l.raiseStep*raiseGrowth, maxRaise)
		l.raiseWait, l.nextRaise = minRaiseWait, now
		if binding && l.limit < float64(l.ceiling()) {
			// The next step starts from what this one has measured.
			l.begin(now, causeRaise, max(t.to*l.raiseStep, t.to+1), t.after)
		}
	case t.cause == causeBad && t.after.badShare() < t.before.badShare()/2, t.cause != causeRaise && binding && t.supported():
		l.keep(now)
		l.nextRaise = now.Add(l.raiseWait)
		// Go on until a step does not help; that one shows the true baseline.
		l.doubts, l.nextLower = max(l.doubts, 1), now
	default:
		l.revert(now)
	}
}

// revert restores the limit from before the trial and takes its lesson.
func (l *Limiter) revert(now time.Time) {
	t := l.trial
	l.end(now)
	if t.cause == causeRaise {
		l.raiseStep = firstRaise
		l.nextRaise = now.Add(l.raiseWait)
		l.raiseWait = min(2*l.raiseWait, maxRaiseWait)
		return
	}
	if now.Sub(l.nextLower) > forgetLower {
		l.lowerWait = minLowerWait
	}
	l.nextLower = now.Add(l.lowerWait)
	l.lowerWait = min(2*l.lowerWait, maxLowerWait)
	if t.cause == causeBad {
		l.tolerated = min(1.25*t.before.badShare(), 1)
		return
	}
	l.doubts = max(l.doubts-1, 0)
	// Lower concurrency did not help: this is the latency without queueing.
	if latency := (t.before.latency() + t.after.latency()) / 2; t.after.n > 0 && latency > 0 {
		if float64(latency) > riseFactor*float64(l.baseline) {
			// A wrong lesson would hide a queue for as long as it lasts.
			l.doubts = max(l.doubts, 1)
		}
		l.baseline = latency
	}
}

// abort ends a trial that cannot be decided, without a lesson.
func (l *Limiter) abort(now time.Time) {
	if l.trial == nil {
		return
	}
	if l.trial.cause == causeBad {
		// Nothing ends at all; the lower limit stands until something does.
		l.keep(now)
		return
	}
	wait := minRaiseWait
	if l.trial.cause == causeLatency {
		wait = minLowerWait
	}
	l.end(now)
	l.nextRaise, l.nextLower = now.Add(wait), now.Add(wait)
}

// end returns to the limit that was learned before the trial.
func (l *Limiter) end(now time.Time) {
	l.trial, l.recent = nil, window{}
	// What ends before then still ran at the limit of the trial.
	l.window = window{began: now.Add(l.response)}
}

// keep ends the trial with its limit.
func (l *Limiter) keep(now time.Time) {
	l.limit = l.trial.to
	l.end(now)
}

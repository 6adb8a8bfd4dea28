package limit

import "time"

// Limiter adapts the concurrency limit of one target. It is not safe for
// concurrent use.
type Limiter struct {
	config  Config
	started time.Time
	service time.Duration
}

// New returns a limiter for a target that has just started.
func New(config Config, now time.Time) *Limiter {
	return &Limiter{config: config.withBounds(), started: now}
}

// Configure replaces the settings.
func (l *Limiter) Configure(now time.Time, config Config) { l.config = config.withBounds() }

// TargetStarted begins the cold start ramp: the target's process is new.
func (l *Limiter) TargetStarted(now time.Time) { l.started = now }

// Observe records a request that ended.
func (l *Limiter) Observe(now time.Time, s Sample) { l.service = s.Latency }

// ObserveReport records what the target's health or load endpoint says.
func (l *Limiter) ObserveReport(now time.Time, r Report) {}

// Tick advances the time while no request ends. Call it every TickInterval.
func (l *Limiter) Tick(now time.Time) {}

// Limit returns the concurrency limit as of the last call with a time.
func (l *Limiter) Limit() int { return l.config.Slots }

// ServiceTime returns the recent mean of the target's own latency, or 0 when
// nothing has been observed.
func (l *Limiter) ServiceTime() time.Duration { return l.service }

// State returns the state of the limiter.
func (l *Limiter) State() State { return State{Limit: l.Limit(), ServiceTime: l.service} }

// TickInterval is how often Tick has to be called.
const TickInterval = 50 * time.Millisecond

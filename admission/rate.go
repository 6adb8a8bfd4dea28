package admission

import "time"

const (
	// burstTime is the time of which the unused part of a rate may be made up for.
	burstTime = 500 * time.Millisecond
	// maxRateWait bounds the wait for the rate while other targets take more.
	maxRateWait = 50 * time.Millisecond
	// MinRatePerSecond is the lowest rate that a queue applies. A target that gets
	// nothing could never tell that it takes more.
	MinRatePerSecond = 0.2
)

// rateLimit bounds the requests that are admitted in any time t to one plus the rate
// times t + burstTime. The zero value is no limit.
type rateLimit struct {
	perSecond float64
	tokens    float64
	at        time.Time
}

// set replaces the rate; 0 or less removes the limit.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		*r = rateLimit{}
		return
	}
	r.refill(now)
	if r.perSecond == 0 {
		r.tokens, r.at = 1, now
	}
	r.perSecond = max(perSecond, MinRatePerSecond)
	r.tokens = min(r.tokens, r.burst())
}

func (r *rateLimit) burst() float64 { return 1 + r.perSecond*burstTime.Seconds() }

func (r *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.at); r.perSecond > 0 && elapsed > 0 {
		r.tokens, r.at = min(r.tokens+r.perSecond*elapsed.Seconds(), r.burst()), now
	}
}

// tokenTolerance covers the rounding of times to nanoseconds.
const tokenTolerance = 1e-6

// allows reports whether a request may be admitted now.
func (r *rateLimit) allows(now time.Time) bool {
	r.refill(now)
	return r.perSecond == 0 || r.tokens >= 1-tokenTolerance
}

// take counts an admitted request.
func (r *rateLimit) take() {
	if r.perSecond > 0 {
		r.tokens--
	}
}

// wait returns the time until a request may be admitted that has the given number of
// others before it.
func (r *rateLimit) wait(now time.Time, before int) time.Duration {
	r.refill(now)
	if missing := float64(before) + 1 - r.tokens; r.perSecond > 0 && missing > 0 {
		return time.Duration(missing / r.perSecond * float64(time.Second))
	}
	return 0
}
